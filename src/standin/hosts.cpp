/// \file
/// Stand-in of the host list of the platform: live and leaving hosts, shown
/// with a configurable lag.

#include <deque>

#include "commands.h"
#include "control_serve.h"

namespace rillwall::standin {

namespace {

constexpr char kListPath[] = "/hosts";
constexpr char kLeaveSuffix[] = "/leave";

/// The list as of one change.
struct Snapshot {
  Millis mSince;
  std::string mTag;
  json::array mHosts;
};

/// The list and its history. Single-threaded.
class HostList {
 public:
  /// \param aTagBase prefix of the entity tags; it differs between processes so
  /// that no tag is reused
  explicit HostList(std::string aTagBase) : mTagBase(std::move(aTagBase)) {
    Replace({});
  }
  /// Replaces all hosts.
  void Replace(json::array aHosts);
  /// \return the hosts without lag
  const json::array& Current() const { return mSnapshots.back().mHosts; }
  /// \return the list as of aLag ago
  const Snapshot& Visible(Millis aLag) const;

 private:
  std::string mTagBase;
  uint64_t mChanges = 0;
  std::deque<Snapshot> mSnapshots;
};

void HostList::Replace(json::array aHosts) {
  constexpr size_t kMaxSnapshots = 1000;
  std::string tag = "\"" + mTagBase + "-" + std::to_string(mChanges++) + "\"";
  mSnapshots.push_back({Now(), std::move(tag), std::move(aHosts)});
  if (mSnapshots.size() > kMaxSnapshots) {
    mSnapshots.pop_front();
  }
}

const Snapshot& HostList::Visible(Millis aLag) const {
  const Millis instant = Now() - aLag;
  for (auto snapshot = mSnapshots.rbegin(); snapshot != mSnapshots.rend();
       ++snapshot) {
    if (snapshot->mSince <= instant) {
      return *snapshot;
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

json::array WithoutHost(const json::array& aHosts, std::string_view aId) {
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
    return MakeErrorResponse(404, "not-found",
                             "Unknown path; use /hosts or /hosts/{id}.");
  }
  path.remove_prefix(prefix.size());
  return ChangeOne(aRequest, path);
}

HttpResponse HostsService::Show(const HttpRequest& aRequest) const {
  const Snapshot& visible = mList.Visible(mLag.Duration());
  const std::string* known = aRequest.Find("If-None-Match");
  HttpResponse answer;
  if (known && *known == visible.mTag) {
    answer.mStatus = 304;
  } else {
    answer = MakeJsonResponse(200, json::object{{"hosts", visible.mHosts}});
  }
  answer.mHeaders.push_back({"ETag", visible.mTag});
  return answer;
}

HttpResponse HostsService::ReplaceAll(const HttpRequest& aRequest) {
  const Result<json::object> body = ParseObject(aRequest.mBody);
  const json::value* hosts =
      body.has_value() ? body.value().if_contains("hosts") : nullptr;
  if (!hosts || !hosts->is_array()) {
    return MakeErrorResponse(400, "bad-request", "Send {\"hosts\":[...]}.");
  }
  for (const json::value& host : hosts->get_array()) {
    if (!IsHost(host)) {
      return MakeErrorResponse(400, "bad-request",
                               "Each host needs id and address.");
    }
  }
  mList.Replace(hosts->get_array());
  return MakeJsonResponse(200, json::object{{"hosts", mList.Current()}});
}

HttpResponse HostsService::ChangeOne(const HttpRequest& aRequest,
                                     std::string_view aId) {
  if (aRequest.mMethod == "PUT") {
    return PutOne(aRequest, aId);
  }
  if (aRequest.mMethod == "DELETE") {
    return Remove(aId);
  }
  if (aRequest.mMethod == "POST" && aId.ends_with(kLeaveSuffix)) {
    aId.remove_suffix(sizeof(kLeaveSuffix) - 1);
    return Leave(aId);
  }
  return MakeErrorResponse(405, "bad-request",
                           "Use PUT, DELETE or POST {id}/leave.");
}

HttpResponse HostsService::PutOne(const HttpRequest& aRequest,
                                  std::string_view aId) {
  const Result<json::object> host = ParseObject(aRequest.mBody);
  if (!host.has_value() || !IsHost(host.value()) || !HasId(host.value(), aId)) {
    return MakeErrorResponse(
        400, "bad-request",
        "Send a host with address and with the id of the path.");
  }
  json::array hosts = WithoutHost(mList.Current(), aId);
  hosts.push_back(host.value());
  mList.Replace(std::move(hosts));
  return MakeJsonResponse(200, json::object{{"hosts", mList.Current()}});
}

HttpResponse HostsService::Leave(std::string_view aId) {
  json::array hosts = mList.Current();
  for (json::value& host : hosts) {
    if (HasId(host, aId)) {
      host.get_object()["leaving"] = true;
      mList.Replace(std::move(hosts));
      return MakeJsonResponse(200,
                              json::object{{"id", aId}, {"leaving", true}});
    }
  }
  return MakeErrorResponse(404, "not-found", "No such host.");
}

HttpResponse HostsService::Remove(std::string_view aId) {
  json::array left = WithoutHost(mList.Current(), aId);
  if (left.size() == mList.Current().size()) {
    return MakeErrorResponse(404, "not-found", "No such host.");
  }
  mList.Replace(std::move(left));
  return MakeJsonResponse(200, json::object{{"id", aId}});
}

}  // namespace

void AddHostsCommand(CLI::App& aApp) {
  CLI::App* command =
      aApp.add_subcommand("hosts", "Host list, shown with a lag");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*command, *options);
  command->callback([options] { HostsService().Run(*options); });
}

}  // namespace rillwall::standin
