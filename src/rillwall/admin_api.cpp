#include "admin_api.h"

#include <algorithm>

#include "rillwall/json.h"

namespace rillwall {

namespace {

constexpr int kDumpSchemaVersion = 1;

const char* MemberStateName(MemberState aState) {
  constexpr const char* kNames[] = {"alive", "suspect", "leaving", "dead"};
  return kNames[static_cast<size_t>(aState)];
}

const char* KindName(UpstreamKind aKind) {
  constexpr const char* kNames[] = {"engine", "service", "scorer", "weights"};
  return kNames[static_cast<size_t>(aKind)];
}

json::object EncodeMember(const Member& aMember) {
  json::object member;
  member["id"] = aMember.mId;
  member["zone"] = aMember.mZone;
  member["state"] = MemberStateName(aMember.mState);
  member["http"] = aMember.mHttp;
  member["rpc"] = aMember.mRpc;
  member["gossip"] = aMember.mGossip;
  member["incarnation"] = aMember.mIncarnation;
  return member;
}

json::object EncodePolicy(const PolicySource& aSource) {
  json::object policy;
  policy["name"] = aSource.mName;
  policy["changed_at"] = aSource.mChangedRevision;
  policy["author"] = aSource.mAuthor;
  policy["program"] = aSource.mProgram;
  return policy;
}

// Appends the rules that were added, changed or removed between two lists.
template <class Rule>
void Compare(const char* aKind, const std::vector<Rule>& aBefore,
             const std::vector<Rule>& aAfter, json::array& aChanges) {
  const auto add = [&](const std::string& aName, const char* aChange) {
    aChanges.push_back(
        json::object{{"kind", aKind}, {"name", aName}, {"change", aChange}});
  };
  for (const Rule& rule : aAfter) {
    const auto old = std::ranges::find(aBefore, rule.mName, &Rule::mName);
    if (old == aBefore.end()) {
      add(rule.mName, "added");
    } else if (!(*old == rule)) {
      add(rule.mName, "changed");
    }
  }
  for (const Rule& rule : aBefore) {
    if (std::ranges::find(aAfter, rule.mName, &Rule::mName) == aAfter.end()) {
      add(rule.mName, "removed");
    }
  }
}

json::array Differences(const PolicyRules& aBefore, const PolicyRules& aAfter) {
  json::array changes;
  Compare("trainer", aBefore.mTrainers, aAfter.mTrainers, changes);
  Compare("house", aBefore.mHouses, aAfter.mHouses, changes);
  Compare("service", aBefore.mServices, aAfter.mServices, changes);
  Compare("model", aBefore.mModels, aAfter.mModels, changes);
  Compare("token", aBefore.mTokens, aAfter.mTokens, changes);
  return changes;
}

HttpResponse Ok(const json::value& aBody) {
  return HttpResponse::Json(200, json::serialize(aBody));
}

}  // namespace

AdminApi::AdminApi(Node& aNode, PolicyKeeper& aPolicies,
                   UpstreamKeeper& aUpstreams, StepOwner& aSteps,
                   GroupRunner& aRunner, std::function<void()> aDrain)
    : mNode(aNode),
      mPolicies(aPolicies),
      mUpstreams(aUpstreams),
      mSteps(aSteps),
      mRunner(aRunner),
      mDrain(std::move(aDrain)) {}

asio::awaitable<HttpResponse> AdminApi::Handle(
    const HttpRequest& aRequest, std::vector<std::string> aParts) {
  Result<HttpResponse> response = co_await Route(aRequest, aParts);
  co_return response ? std::move(*response) : ErrorResponse(response.error());
}

AdminApi::Answer AdminApi::Route(const HttpRequest& aRequest,
                                 const std::vector<std::string>& aParts) {
  const auto policies = mNode.Policies().Read();
  const Result<Identity> who = Identify(*policies, aRequest, "operator");
  if (!who) {
    co_return who.error();
  }
  const std::string& method = aRequest.mMethod;
  const std::string first = aParts.empty() ? "" : aParts[0];
  if (first == "policies" && aParts.size() == 1 && method == "GET") {
    co_return co_await ListPolicies();
  }
  if (first == "policies" && aParts.size() == 2) {
    if (method == "PUT" || method == "DELETE") {
      co_return co_await ChangePolicy(aRequest, aParts[1], who->mName,
                                      method == "DELETE");
    }
    if (method == "GET") {
      co_return co_await ShowPolicy(aParts[1]);
    }
  }
  if (first == "policies" && aParts.size() == 3 && aParts[2] == "check") {
    co_return co_await CheckPolicy(aRequest, aParts[1]);
  }
  if (first == "drain" && method == "POST") {
    mDrain();
    co_return co_await DrainState();
  }
  /// A read-only view of the state of the fleet or this node.
  struct Page {
    const char* mName;
    Answer (AdminApi::*mShow)();
  };
  static constexpr Page kPages[] = {
      {"history", &AdminApi::History},     {"hosts", &AdminApi::Hosts},
      {"upstreams", &AdminApi::Upstreams}, {"trainers", &AdminApi::Trainers},
      {"steps", &AdminApi::Steps},         {"drain", &AdminApi::DrainState}};
  for (const Page& page : kPages) {
    if (first == page.mName && aParts.size() == 1 && method == "GET") {
      co_return co_await (this->*page.mShow)();
    }
  }
  if (first == "dump" && method == "GET") {
    std::string dump = co_await mNode.OnControl([this] { return Dump(); });
    co_return HttpResponse::Json(200, std::move(dump));
  }
  co_return Error(ErrorKind::NotFound,
                  "Unknown path; docs/API.md lists the paths of the API.");
}

AdminApi::Answer AdminApi::ListPolicies() {
  const auto policies = mNode.Policies().Read();
  json::object body;
  body["revision"] = policies->Revision();
  json::array& list = body["policies"].emplace_array();
  for (const PolicySource& source : policies->Sources()) {
    list.push_back(EncodePolicy(source));
  }
  co_return Ok(body);
}

AdminApi::Answer AdminApi::ShowPolicy(std::string aName) {
  const auto policies = mNode.Policies().Read();
  const PolicySource* source = policies->Find(aName);
  if (source == nullptr) {
    co_return Error(ErrorKind::NotFound, "There is no policy '" + aName + "'.");
  }
  json::object body = EncodePolicy(*source);
  body["revision"] = policies->Revision();
  co_return Ok(body);
}

AdminApi::Answer AdminApi::History() {
  const std::vector<PolicyChange> changes = co_await mNode.OnControl(
      [this] { return mPolicies.Document().mChanges; });
  json::object body;
  json::array& list = body["changes"].emplace_array();
  for (const PolicyChange& change : changes) {
    list.push_back(json::object{{"revision", change.mRevision},
                                {"name", change.mName},
                                {"removed", change.mRemoved},
                                {"author", change.mAuthor}});
  }
  co_return Ok(body);
}

AdminApi::Answer AdminApi::ChangePolicy(const HttpRequest& aRequest,
                                        std::string aName, std::string aAuthor,
                                        bool aRemove) {
  PolicyEdit edit;
  edit.mName = std::move(aName);
  edit.mProgram = aRequest.mBody;
  edit.mRemove = aRemove;
  edit.mAuthor = std::move(aAuthor);
  const std::string revision = aRequest.Query("revision");
  if (!revision.empty()) {
    const Result<uint64_t> number = ParseNumber(revision, "revision");
    if (!number) {
      co_return number.error();
    }
    edit.mBasedOn = *number;
  }
  const Result<PolicyAccepted> accepted =
      co_await mPolicies.Change(std::move(edit));
  if (!accepted) {
    co_return accepted.error();
  }
  json::object body;
  body["accepted"] = true;
  body["revision"] = accepted->mRevision;
  body["nodes"] = accepted->mNodes;
  body["in_force"] = accepted->mNodes - accepted->mMissing.size();
  json::array& missing = body["missing"].emplace_array();
  for (const std::string& node : accepted->mMissing) {
    missing.push_back(json::string(node));
  }
  co_return Ok(body);
}

AdminApi::Answer AdminApi::CheckPolicy(const HttpRequest& aRequest,
                                       std::string aName) {
  const auto policies = mNode.Policies().Read();
  PolicySource source;
  source.mName = aName;
  source.mProgram = aRequest.mBody;
  const Result<PolicySet> next = policies->With(std::move(source));
  if (!next) {
    co_return next.error();
  }
  json::object body;
  body["revision"] = policies->Revision();
  body["changes"] = Differences(policies->Rules(), next->Rules());
  co_return Ok(body);
}

AdminApi::Answer AdminApi::Hosts() {
  const std::vector<Member> members =
      co_await mNode.OnControl([this] { return mNode.Members().All(); });
  json::object body;
  json::array& list = body["hosts"].emplace_array();
  for (const Member& member : members) {
    list.push_back(EncodeMember(member));
  }
  body["self"] = mNode.Settings().mNodeId;
  co_return Ok(body);
}

AdminApi::Answer AdminApi::Upstreams() {
  const auto table = mNode.Upstreams().Read();
  const std::map<std::string, LoadReport> reports =
      co_await mNode.OnControl([this] { return mUpstreams.Reports(); });
  json::object body;
  json::array& list = body["upstreams"].emplace_array();
  for (const UpstreamEntry& entry : table->Entries()) {
    json::object upstream;
    upstream["id"] = entry.mUpstream.mId;
    upstream["kind"] = KindName(entry.mUpstream.mKind);
    upstream["name"] = entry.mUpstream.mName;
    upstream["address"] = entry.mUpstream.mAddress;
    upstream["zone"] = entry.mUpstream.mZone;
    upstream["leaving"] = entry.mLeaving;
    upstream["in_flight"] = entry.mLoad->mInFlight.load();
    const auto report = reports.find(entry.mUpstream.mId);
    if (report != reports.end()) {
      upstream["version"] = report->second.mVersion;
      upstream["loading"] = report->second.mLoading;
      upstream["running"] = report->second.mRunning;
      upstream["waiting"] = report->second.mWaiting;
      upstream["slots"] = report->second.mSlots;
    }
    list.push_back(std::move(upstream));
  }
  co_return Ok(body);
}

AdminApi::Answer AdminApi::Trainers() {
  const auto policies = mNode.Policies().Read();
  json::object body;
  json::array& list = body["trainers"].emplace_array();
  for (const TrainerRule& rule : policies->Rules().mTrainers) {
    const int64_t newest = co_await mNode.OnControl(
        [this, &rule] { return mSteps.NewestVersion(rule.mName); });
    json::object trainer;
    trainer["name"] = rule.mName;
    trainer["model"] = rule.mModel;
    trainer["newest_version"] = newest;
    trainer["share"] = rule.mShare;
    trainer["max_versions_behind"] = rule.mStaleness.mVersions;
    trainer["max_age_ms"] = rule.mStaleness.mAge.Count();
    list.push_back(std::move(trainer));
  }
  co_return Ok(body);
}

AdminApi::Answer AdminApi::Steps() {
  const std::string steps =
      co_await mNode.OnControl([this] { return mSteps.Dump(); });
  co_return HttpResponse::Json(200, "{\"steps\":" + steps + "}");
}

AdminApi::Answer AdminApi::DrainState() {
  json::object body = co_await mNode.OnControl([this] {
    json::object state;
    state["phase"] = NodePhaseName(mNode.Lifecycle().Phase());
    state["groups_held"] = mRunner.Held();
    state["groups_running"] = mRunner.Running();
    state["steps_owned"] = mSteps.OpenSteps();
    return state;
  });
  co_return Ok(body);
}

std::string AdminApi::Dump() {
  json::object dump;
  dump["schema"] = kDumpSchemaVersion;
  dump["node"] = mNode.Settings().mNodeId;
  dump["zone"] = mNode.Settings().mZone;
  dump["phase"] = NodePhaseName(mNode.Lifecycle().Phase());
  dump["policy_revision"] = mPolicies.Document().mSet.Revision();
  dump["http_connections"] = mNode.Http().Connections();
  json::array& members = dump["members"].emplace_array();
  for (const Member& member : mNode.Members().All()) {
    members.push_back(EncodeMember(member));
  }
  json::array& facts = dump["facts"].emplace_array();
  for (const Fact& fact : mNode.Members().FactsWithPrefix("")) {
    facts.push_back(
        json::object{{"key", fact.mKey}, {"revision", fact.mRevision}});
  }
  dump["groups_held"] = mRunner.Held();
  dump["groups_running"] = mRunner.Running();
  // StepOwner and Dispatcher return their dumps as JSON text.
  boost::system::error_code failed;
  dump["steps"] = json::parse(mSteps.Dump(), failed);
  dump["calls"] = json::parse(mNode.Calls().Dump(), failed);
  return json::serialize(dump);
}

}  // namespace rillwall
