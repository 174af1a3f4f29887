/// \file
/// The platform's list of live and leaving hosts, shown late.

#include <deque>

#include "control_serve.h"
#include "verbs.h"

namespace rillwall::standin {

namespace {

constexpr char kListPath[] = "/hosts";
constexpr char kLeave[] = "/leave";

/// The list as it stood from one instant on.
struct Snapshot {
  Millis mSince;
  std::string mTag;
  json::array mHosts;
};

class HostList {
 public:
  /// \param aTagBase differs between processes, so that a tag is never reused
  explicit HostList(std::string aTagBase) : mTagBase(std::move(aTagBase)) {
    Replace({});
  }
  /// Makes these the hosts from now on.
  void Replace(json::array aHosts);
  /// \return the hosts as they truly are
  const json::array& Newest() const { return mSnapshots.back().mHosts; }
  /// \return the list as seen with this lag
  const Snapshot& Visible(Millis aLag) const;

 private:
  std::string mTagBase;
  uint64_t mChanges = 0;
  std::deque<Snapshot> mSnapshots;
};

void HostList::Replace(json::array aHosts) {
  constexpr size_t kKept = 1000;
  std::string tag = "\"" + mTagBase + "-" + std::to_string(mChanges++) + "\"";
  mSnapshots.push_back({Now(), std::move(tag), std::move(aHosts)});
  if (mSnapshots.size() > kKept) {
    mSnapshots.pop_front();
  }
}

const Snapshot& HostList::Visible(Millis aLag) const {
  const Millis instant = Now() - aLag;
  for (auto each = mSnapshots.rbegin(); each != mSnapshots.rend(); ++each) {
    if (each->mSince <= instant) {
      return *each;
    }
  }
  return mSnapshots.front();
}

bool IsHost(const json::value& aValue) {
  return aValue.is_object() && !TextOf(aValue.get_object(), "id").empty() &&
         !TextOf(aValue.get_object(), "address").empty();
}

bool HasId(const json::value& aHost, std::string_view aId) {
  return TextOf(aHost.get_object(), "id") == aId;
}

json::array Without(const json::array& aHosts, std::string_view aId) {
  json::array left;
  for (const json::value& host : aHosts) {
    if (!HasId(host, aId)) {
      left.push_back(host);
    }
  }
  return left;
}

class HostsService {
 public:
  void Run(const ServeOptions& aOptions);

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  HttpResponse Answer(const HttpRequest& aRequest);
  HttpResponse Show(const HttpRequest& aRequest) const;
  HttpResponse ReplaceAll(const HttpRequest& aRequest);
  HttpResponse ChangeOne(const HttpRequest& aRequest, std::string_view aId);
  HttpResponse PutOne(const HttpRequest& aRequest, std::string_view aId);
  HttpResponse Leave(std::string_view aId);
  HttpResponse Remove(std::string_view aId);

  Control mControl;
  Fault& mLag = mControl.Add("lag_ms");
  HostList mList{std::to_string(Now().Count())};
};

void HostsService::Run(const ServeOptions& aOptions) {
  Serve(aOptions, mControl,
        [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
          return Handle(aRequest, aExchange);
        });
}

asio::awaitable<void> HostsService::Handle(const HttpRequest& aRequest,
                                           HttpExchange& aExchange) {
  HttpResponse answer = Answer(aRequest);
  co_await aExchange.Respond(std::move(answer));
}

HttpResponse HostsService::Answer(const HttpRequest& aRequest) {
  std::string_view path = aRequest.Path();
  if (path == kListPath) {
    return aRequest.mMethod == "PUT" ? ReplaceAll(aRequest) : Show(aRequest);
  }
  const std::string prefix = std::string(kListPath) + "/";
  if (!path.starts_with(prefix)) {
    return ErrorAnswer(404, "not-found", "Known: /hosts, /hosts/{id}.");
  }
  path.remove_prefix(prefix.size());
  return ChangeOne(aRequest, path);
}

HttpResponse HostsService::Show(const HttpRequest& aRequest) const {
  const Snapshot& visible = mList.Visible(mLag.Span());
  const std::string* known = aRequest.Find("If-None-Match");
  HttpResponse answer;
  if (known && *known == visible.mTag) {
    answer.mStatus = 304;
  } else {
    answer = JsonAnswer(200, json::object{{"hosts", visible.mHosts}});
  }
  answer.mHeaders.push_back({"ETag", visible.mTag});
  return answer;
}

HttpResponse HostsService::ReplaceAll(const HttpRequest& aRequest) {
  const Result<json::object> body = ParseObject(aRequest.mBody);
  const json::value* hosts =
      body.has_value() ? body.value().if_contains("hosts") : nullptr;
  if (!hosts || !hosts->is_array()) {
    return ErrorAnswer(400, "bad-request", "Send {\"hosts\":[...]}.");
  }
  for (const json::value& host : hosts->get_array()) {
    if (!IsHost(host)) {
      return ErrorAnswer(400, "bad-request", "A host needs id and address.");
    }
  }
  mList.Replace(hosts->get_array());
  return JsonAnswer(200, json::object{{"hosts", mList.Newest()}});
}

HttpResponse HostsService::ChangeOne(const HttpRequest& aRequest,
                                     std::string_view aId) {
  if (aRequest.mMethod == "PUT") {
    return PutOne(aRequest, aId);
  }
  if (aRequest.mMethod == "DELETE") {
    return Remove(aId);
  }
  if (aRequest.mMethod == "POST" && aId.ends_with(kLeave)) {
    aId.remove_suffix(sizeof(kLeave) - 1);
    return Leave(aId);
  }
  return ErrorAnswer(405, "bad-request", "PUT, DELETE or POST {id}/leave.");
}

HttpResponse HostsService::PutOne(const HttpRequest& aRequest,
                                  std::string_view aId) {
  const Result<json::object> host = ParseObject(aRequest.mBody);
  if (!host.has_value() || !IsHost(host.value()) || !HasId(host.value(), aId)) {
    return ErrorAnswer(400, "bad-request",
                       "Send the host with the id of the path and address.");
  }
  json::array hosts = Without(mList.Newest(), aId);
  hosts.push_back(host.value());
  mList.Replace(std::move(hosts));
  return JsonAnswer(200, json::object{{"hosts", mList.Newest()}});
}

HttpResponse HostsService::Leave(std::string_view aId) {
  json::array hosts = mList.Newest();
  for (json::value& host : hosts) {
    if (HasId(host, aId)) {
      host.get_object()["leaving"] = true;
      mList.Replace(std::move(hosts));
      return JsonAnswer(200, json::object{{"id", aId}, {"leaving", true}});
    }
  }
  return ErrorAnswer(404, "not-found", "No such host.");
}

HttpResponse HostsService::Remove(std::string_view aId) {
  json::array left = Without(mList.Newest(), aId);
  if (left.size() == mList.Newest().size()) {
    return ErrorAnswer(404, "not-found", "No such host.");
  }
  mList.Replace(std::move(left));
  return JsonAnswer(200, json::object{{"id", aId}});
}

}  // namespace

void AddHostsVerb(CLI::App& aApp) {
  CLI::App* verb = aApp.add_subcommand("hosts", "The lagging list of hosts");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*verb, *options);
  verb->callback([options] { HostsService().Run(*options); });
}

}  // namespace rillwall::standin
