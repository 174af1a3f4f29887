#include "engine_journal.h"

#include <algorithm>

namespace rillwall::standin {

namespace json = boost::json;

namespace {

constexpr size_t kMaxStreams = 100000;
constexpr size_t kMaxOrders = 10000;

json::object OrderJson(const OrderEntry& aEntry) {
  json::object text;
  text["kind"] = "load";
  text["version"] = aEntry.mVersion;
  text["fence"] = aEntry.mFence;
  text["accepted"] = aEntry.mAccepted;
  text["outcome"] = aEntry.mOutcome;
  return text;
}

json::object StreamJson(const EngineStream& aStream) {
  json::array spans;
  for (const VersionSpan& span : aStream.mSpans) {
    json::object part;
    part["version"] = span.mVersion;
    part["begin"] = span.mBegin;
    part["end"] = span.mEnd;
    spans.push_back(std::move(part));
  }
  json::object text;
  text["request_id"] = aStream.mRequest.mRequestId;
  text["text_id"] = aStream.mAnswer.Id();
  text["priority"] = aStream.mRequest.mPriority;
  text["finish"] = aStream.mEndReason.empty() ? "running" : aStream.mEndReason;
  text["spans"] = std::move(spans);
  return text;
}

}  // namespace

void EngineJournal::Add(OrderEntry aEntry) {
  mOrders.push_back(std::move(aEntry));
  if (mOrders.size() > kMaxOrders) {
    mOrders.pop_front();
  }
}

void EngineJournal::Add(StreamHandle aStream) {
  // The checks do not need the blocks; dropping them saves memory.
  aStream->mBlocks.clear();
  mStreams.push_back(std::move(aStream));
  if (mStreams.size() > kMaxStreams) {
    mStreams.pop_front();
  }
}

StreamHandle EngineJournal::Find(const std::string& aRequestId) const {
  const auto found = std::find_if(
      mStreams.rbegin(), mStreams.rend(), [&](const StreamHandle& aStream) {
        return aStream->mRequest.mRequestId == aRequestId;
      });
  return found == mStreams.rend() ? nullptr : *found;
}

StreamHandle EngineJournal::LastCompleted() const {
  const auto found = std::find_if(
      mStreams.rbegin(), mStreams.rend(),
      [](const StreamHandle& aStream) { return aStream->IsComplete(); });
  return found == mStreams.rend() ? nullptr : *found;
}

json::object EngineJournal::ToJson(
    const std::list<StreamHandle>& aRunning) const {
  json::array orders;
  for (const OrderEntry& entry : mOrders) {
    orders.push_back(OrderJson(entry));
  }
  json::array requests;
  for (const StreamHandle& stream : mStreams) {
    requests.push_back(StreamJson(*stream));
  }
  for (const StreamHandle& stream : aRunning) {
    requests.push_back(StreamJson(*stream));
  }
  json::object text;
  text["orders"] = std::move(orders);
  text["requests"] = std::move(requests);
  return text;
}

}  // namespace rillwall::standin
