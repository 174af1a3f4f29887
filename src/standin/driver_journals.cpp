#include "driver_journals.h"

#include <algorithm>

#include "control_serve.h"

namespace rillwall::standin {

namespace {

constexpr Millis kJournalTimeout{30000};
/// Largest journal, in bytes.
constexpr size_t kMaxJournal = 256 * 1024 * 1024;

bool ReadJournal(const std::string& aBody, EngineJournals& aJournals) {
  const auto journal = ParseObject(aBody);
  const json::value* requests =
      journal.has_value() ? journal.value().if_contains("requests") : nullptr;
  if (!requests || !requests->is_array()) {
    return false;
  }
  for (const json::value& request : requests->get_array()) {
    const json::object& entry = request.as_object();
    auto& spans = aJournals.mProduced[TextOf(entry, "text_id")];
    for (const json::value& value : entry.at("spans").as_array()) {
      const json::object& span = value.as_object();
      spans.push_back({NumberOf(span, "version"), NumberOf(span, "begin"),
                       NumberOf(span, "end")});
    }
  }
  return true;
}

}  // namespace

bool Covers(std::vector<VersionSpan> aProduced, const VersionSpan& aSpan) {
  std::sort(aProduced.begin(), aProduced.end(),
            [](const VersionSpan& aLeft, const VersionSpan& aRight) {
              return aLeft.mBegin < aRight.mBegin;
            });
  int64_t reached = aSpan.mBegin;
  for (const VersionSpan& span : aProduced) {
    if (span.mVersion == aSpan.mVersion && span.mBegin <= reached) {
      reached = std::max(reached, span.mEnd);
    }
  }
  return reached >= aSpan.mEnd;
}

asio::awaitable<EngineJournals> ReadJournals(
    HttpClient& aClient, const std::vector<Endpoint>& aEngines) {
  EngineJournals journals;
  HttpRequest request;
  request.mTarget = "/journal";
  for (const Endpoint& engine : aEngines) {
    const auto answer =
        co_await aClient.Send(engine, request, kJournalTimeout, kMaxJournal);
    if (!answer.has_value() || !ReadJournal(answer.value().mBody, journals)) {
      ++journals.mUnreadable;
    }
  }
  co_return journals;
}

}  // namespace rillwall::standin
