#include "trainer_api.h"

#include <algorithm>
#include <map>

#include "rillwall/log.h"
#include "rillwall/wire_convert.h"
#include "tasks.h"

namespace rillwall {

namespace {

constexpr Millis kOpenTimeout{10000};
constexpr Millis kOwnerTimeout{40000};
constexpr Millis kOwnerPause{200};
constexpr Millis kFetchTimeout{5000};
constexpr Millis kLostGroupPause{100};
constexpr Millis kRetryAfter{1000};
constexpr int64_t kMaxWaitMs = 30000;
constexpr int64_t kDefaultWaitMs = 10000;
constexpr int64_t kMaxGroupsPerPull = 64;
constexpr int64_t kMaxTokens = 1 << 20;
constexpr size_t kMaxTrainerNameLength = 128;

json::object EncodeSample(const wire::Sample& aSample) {
  json::object sample;
  sample["index"] = aSample.index();
  sample["text"] = aSample.text();
  sample["score"] = aSample.score();
  sample["finish"] = aSample.finish();
  json::array& label = sample["label"].emplace_array();
  for (const wire::VersionSpan& span : aSample.label()) {
    label.push_back(json::object{{"version", span.version()},
                                 {"begin", span.begin()},
                                 {"end", span.end()}});
  }
  return sample;
}

std::string EncodeState(const StepId& aId, const wire::StepState& aState) {
  json::object body;
  body["trainer"] = aId.mTrainer;
  body["step"] = aId.mStep;
  body["groups"] = aState.groups();
  body["digest"] = aState.digest();
  body["delivered"] = aState.delivered();
  body["held"] = aState.held();
  body["running"] = aState.running();
  body["waiting"] = aState.waiting();
  return json::serialize(body);
}

}  // namespace

TrainerApi::TrainerApi(Node& aNode, StepOwner& aSteps,
                       WeightController& aWeights)
    : mNode(aNode), mSteps(aSteps), mWeights(aWeights) {}

asio::awaitable<HttpResponse> TrainerApi::Handle(
    const HttpRequest& aRequest, std::vector<std::string> aParts) {
  mNode.Meter().Add(Counter::RequestsTrainer);
  Result<HttpResponse> response = co_await Route(aRequest, aParts);
  co_return response ? std::move(*response) : ErrorResponse(response.error());
}

asio::awaitable<Result<HttpResponse>> TrainerApi::Route(
    const HttpRequest& aRequest, const std::vector<std::string>& aParts) {
  const Error unknown(ErrorKind::NotFound,
                      "Unknown path; docs/API.md lists the paths of the API.");
  if (aParts.size() < 2 || aParts[0].size() > kMaxTrainerNameLength) {
    co_return unknown;
  }
  const std::string& trainer = aParts[0];
  const auto policies = mNode.Policies().Read();
  const Result<Identity> who = Identify(*policies, aRequest, "trainer");
  if (!who) {
    co_return who.error();
  }
  if (!who->mUnauthenticated && who->mName != trainer) {
    co_return Error(
        ErrorKind::Forbidden,
        "This token does not belong to the trainer '" + trainer + "'.");
  }
  if (policies->Rules().Trainer(trainer) == nullptr) {
    co_return Error(ErrorKind::NotFound, "No policy names the trainer '" +
                                             trainer + "'; put one that does.");
  }
  const bool post = aRequest.mMethod == "POST";
  if (aParts.size() == 2 && aParts[1] == "versions" && post) {
    co_return co_await Announce(trainer, aRequest);
  }
  if (aParts[1] != "steps") {
    co_return unknown;
  }
  if (aParts.size() == 2 && post) {
    co_return co_await Open(trainer, aRequest);
  }
  if (aParts.size() < 3) {
    co_return unknown;
  }
  const Result<uint64_t> step = ParseNumber(aParts[2], "step");
  if (!step) {
    co_return step.error();
  }
  StepId id;
  id.mTrainer = trainer;
  id.mStep = *step;
  if (aParts.size() == 4 && aParts[3] == "pull" && post) {
    co_return co_await PullStep(id, aRequest);
  }
  if (aParts.size() == 3 && aRequest.mMethod == "GET") {
    co_return co_await Progress(id);
  }
  if (aParts.size() == 3 && aRequest.mMethod == "DELETE") {
    co_return co_await Close(id);
  }
  co_return unknown;
}

asio::awaitable<Result<HttpResponse>> TrainerApi::Announce(
    std::string aTrainer, const HttpRequest& aRequest) {
  const Result<json::object> body = ParseJsonObject(aRequest.mBody);
  if (!body) {
    co_return body.error();
  }
  JsonReader reader(*body);
  const int64_t version =
      ReadInt(reader, "version", 1, INT64_MAX, std::nullopt);
  const std::string weights = reader.String("weights");
  const int64_t bytes = ReadInt(reader, "bytes", 0, INT64_MAX, 0);
  if (reader.Failed()) {
    co_return reader.Failure();
  }
  const auto policies = mNode.Policies().Read();
  WeightVersion announced;
  announced.mModel = policies->Rules().Trainer(aTrainer)->mModel;
  announced.mVersion = version;
  announced.mWeights = weights;
  announced.mBytes = bytes;
  const std::optional<Error> refused =
      co_await mNode.OnControl([&] { return mWeights.Announce(announced); });
  if (refused) {
    co_return *refused;
  }
  json::object answer;
  answer["model"] = announced.mModel;
  answer["version"] = announced.mVersion;
  co_return HttpResponse::Json(200, json::serialize(answer));
}

asio::awaitable<Result<HttpResponse>> TrainerApi::Open(
    std::string aTrainer, const HttpRequest& aRequest) {
  const Result<json::object> body = ParseJsonObject(aRequest.mBody);
  if (!body) {
    co_return body.error();
  }
  JsonReader reader(*body);
  StepSpec spec;
  spec.mId.mTrainer = aTrainer;
  spec.mId.mStep = static_cast<uint64_t>(
      ReadInt(reader, "step", 0, INT64_MAX, std::nullopt));
  spec.mGroupSize = ReadInt(reader, "group_size", 1, kMaxGroupSize, 8);
  spec.mMaxTokens = ReadInt(reader, "max_tokens", 1, kMaxTokens, 1024);
  spec.mSeed = reader.Int("seed", 0);
  spec.mPrompts = reader.Strings("prompts");
  const size_t groups = spec.mPrompts.size();
  if (groups == 0 || groups > static_cast<size_t>(kMaxStepGroups)) {
    reader.Fail("prompts", "must contain one text per group, at least one");
  }
  if (reader.Failed()) {
    co_return reader.Failure();
  }
  wire::PeerRequest request;
  *request.mutable_open_step()->mutable_spec() = ToWire(spec);
  const Result<wire::PeerReply> reply = co_await CallOwner(
      spec.mId, std::move(request), mNode.Now() + kOpenTimeout);
  if (!reply) {
    co_return reply.error();
  }
  co_return HttpResponse::Json(200, EncodeState(spec.mId, reply->step_state()));
}

// Calls the owner of a step. If the owner fails, retries until aEnd; once the
// membership has changed, the retries go to the next owner.
asio::awaitable<Result<wire::PeerReply>> TrainerApi::CallOwner(
    StepId aId, wire::PeerRequest aRequest, Millis aEnd) {
  while (true) {
    const std::vector<Member> owners = co_await mNode.OnControl(
        [&] { return DutyOwners(mNode.Members().Live(), aId.Duty(), 1); });
    Result<wire::PeerReply> reply =
        Error(ErrorKind::Unavailable, "No live node can own the step.");
    if (!owners.empty()) {
      reply = co_await mNode.CallPeer(owners[0].mId, owners[0].mRpc, aRequest,
                                      kOwnerTimeout);
    }
    const bool ownerUnreachable =
        !reply && (reply.error().Kind() == ErrorKind::ConnectionLost ||
                   reply.error().Kind() == ErrorKind::Timeout ||
                   reply.error().Kind() == ErrorKind::Unavailable);
    if (!ownerUnreachable) {
      co_return reply;
    }
    if (mNode.Now() + kOwnerPause >= aEnd) {
      co_return Error(ErrorKind::Unavailable,
                      "The step's owner does not answer.")
          .WithRetryAfter(kRetryAfter);
    }
    co_await Node::Sleep(kOwnerPause);
  }
}

asio::awaitable<Result<HttpResponse>> TrainerApi::PullStep(
    StepId aId, const HttpRequest& aRequest) {
  const Result<json::object> body = ParseJsonObject(aRequest.mBody);
  if (!body) {
    co_return body.error();
  }
  JsonReader reader(*body);
  const Millis start = mNode.Now();
  Pull pull;
  pull.mId = aId;
  pull.mReceipt = reader.String("receipt", "");
  pull.mVersion = ReadInt(reader, "version", 0, INT64_MAX, 0);
  pull.mMaxGroups = ReadInt(reader, "max_groups", 1, kMaxGroupsPerPull, 16);
  pull.mEnd =
      start + Millis(ReadInt(reader, "wait_ms", 0, kMaxWaitMs, kDefaultWaitMs));
  if (reader.Failed()) {
    co_return reader.Failure();
  }
  std::vector<wire::HeldGroup> lost;
  while (true) {
    Result<Round> round = co_await PullRound(pull, lost);
    if (!round) {
      co_return round.error();
    }
    const Result<Receipt> held =
        Receipt::Parse(pull.mReceipt, aId, round->mPlan.total());
    if (!held) {
      co_return held.error();
    }
    const bool enough = !round->mGroups.empty() || round->mPlan.complete();
    if (enough || mNode.Now() >= pull.mEnd) {
      mNode.Meter().Measure(Timing::PullWait, mNode.Now() - start);
      mNode.Meter().Add(Counter::PullsAnswered);
      co_return Deliver(pull, *round, *held);
    }
    lost = std::move(round->mLost);
    co_await Node::Sleep(kLostGroupPause);
  }
}

asio::awaitable<Result<wire::PeerReply>> TrainerApi::FetchFrom(
    std::string aRunner, std::string aRpc, wire::PeerRequest aRequest) {
  co_return co_await mNode.CallPeer(std::move(aRunner), std::move(aRpc),
                                    std::move(aRequest), kFetchTimeout);
}

asio::awaitable<Result<TrainerApi::Round>> TrainerApi::PullRound(
    const Pull& aPull, const std::vector<wire::HeldGroup>& aLost) {
  wire::PeerRequest request;
  wire::PlanPull& plan = *request.mutable_plan_pull();
  *plan.mutable_id() = ToWire(aPull.mId);
  plan.set_receipt(aPull.mReceipt);
  plan.set_newest_version(aPull.mVersion);
  plan.set_max_groups(static_cast<uint32_t>(aPull.mMaxGroups));
  plan.set_wait_ms(std::max<int64_t>(0, (aPull.mEnd - mNode.Now()).Count()));
  for (const wire::HeldGroup& group : aLost) {
    *plan.add_lost() = group;
  }
  Result<wire::PeerReply> reply =
      co_await CallOwner(aPull.mId, std::move(request), aPull.mEnd);
  if (!reply) {
    if (reply.error().Kind() == ErrorKind::Superseded) {
      mNode.Meter().Add(Counter::PullsSuperseded);
    }
    co_return reply.error();
  }
  Round round;
  round.mPlan = std::move(*reply->mutable_pull_plan());
  std::map<std::string, wire::PeerRequest> fetches;
  std::map<std::string, std::string> addresses;
  for (const wire::HeldGroup& group : round.mPlan.groups()) {
    wire::FetchGroups& fetch = *fetches[group.runner()].mutable_fetch_groups();
    *fetch.mutable_id() = ToWire(aPull.mId);
    *fetch.add_groups() = group;
    addresses[group.runner()] = group.runner_rpc();
  }
  std::vector<asio::awaitable<Result<wire::PeerReply>>> tasks;
  for (const auto& [runner, fetch] : fetches) {
    tasks.push_back(FetchFrom(runner, addresses[runner], fetch));
  }
  std::vector<Result<wire::PeerReply>> fetched =
      co_await RunAll(asio::make_strand(mNode.Context()), std::move(tasks));
  std::map<uint32_t, wire::FetchedGroup> got;
  for (Result<wire::PeerReply>& part : fetched) {
    if (!part) {
      continue;
    }
    for (wire::FetchedGroup& group :
         *part->mutable_fetched()->mutable_groups()) {
      got[group.group()] = std::move(group);
    }
  }
  const int64_t known = co_await mNode.OnControl(
      [this, &aPull] { return mSteps.NewestVersion(aPull.mId.mTrainer); });
  const int64_t newest = std::max(known, aPull.mVersion);
  for (const wire::HeldGroup& planned : round.mPlan.groups()) {
    const auto found = got.find(planned.group());
    const bool good =
        found != got.end() && Deliverable(aPull, found->second, newest);
    if (good) {
      round.mGroups.push_back(std::move(found->second));
    } else {
      round.mLost.push_back(planned);
    }
  }
  co_return round;
}

bool TrainerApi::Deliverable(const Pull& aPull,
                             const wire::FetchedGroup& aGroup,
                             int64_t aNewest) {
  const auto policies = mNode.Policies().Read();
  const TrainerRule* rule = policies->Rules().Trainer(aPull.mId.mTrainer);
  mNode.Meter().Add(Counter::ChecksStaleness);
  const bool fresh =
      rule != nullptr &&
      WithinStalenessBound(rule->mStaleness, aGroup.oldest_version(), aNewest,
                           Millis(aGroup.age_ms()));
  if (!fresh) {
    mNode.Meter().Add(Counter::SamplesStaleDropped, aGroup.samples_size());
  }
  return fresh;
}

HttpResponse TrainerApi::Deliver(const Pull& aPull, const Round& aRound,
                                 const Receipt& aReceipt) {
  Receipt next = aReceipt;
  json::object body;
  body["extends"] = aPull.mReceipt;
  json::array& groups = body["groups"].emplace_array();
  for (const wire::FetchedGroup& group : aRound.mGroups) {
    mNode.Meter().Add(Counter::ChecksExactlyOnce);
    if (next.Has(group.group())) {
      mNode.ReportBrokenInvariant(
          "A pull was assigned a group that its receipt lists.");
      continue;
    }
    next.Add(group.group());
    json::object encoded;
    encoded["group"] = group.group();
    json::array& samples = encoded["samples"].emplace_array();
    for (const wire::Sample& sample : group.samples()) {
      samples.push_back(EncodeSample(sample));
    }
    mNode.Meter().Add(Counter::GroupsDelivered);
    mNode.Meter().Add(Counter::SamplesDelivered, group.samples_size());
    mNode.Meter().Measure(Timing::SampleAge, Millis(group.age_ms()));
    groups.push_back(std::move(encoded));
  }
  body["receipt"] = next.Text();
  body["complete"] = next.Complete();
  return HttpResponse::Json(200, json::serialize(body));
}

asio::awaitable<Result<HttpResponse>> TrainerApi::Progress(StepId aId) {
  wire::PeerRequest request;
  *request.mutable_ask_step()->mutable_id() = ToWire(aId);
  const Result<wire::PeerReply> reply =
      co_await CallOwner(aId, std::move(request), mNode.Now() + kOpenTimeout);
  if (!reply) {
    co_return reply.error();
  }
  if (!reply->step_state().known()) {
    co_return Error(ErrorKind::NotFound,
                    "The step is not open; open it with its contents.");
  }
  co_return HttpResponse::Json(200, EncodeState(aId, reply->step_state()));
}

asio::awaitable<Result<HttpResponse>> TrainerApi::Close(StepId aId) {
  const std::vector<Member> members =
      co_await mNode.OnControl([this] { return mNode.Members().Live(); });
  std::vector<asio::awaitable<Result<wire::PeerReply>>> tasks;
  for (const Member& member : members) {
    wire::PeerRequest request;
    *request.mutable_close_step()->mutable_id() = ToWire(aId);
    tasks.push_back(FetchFrom(member.mId, member.mRpc, std::move(request)));
  }
  const std::vector<Result<wire::PeerReply>> replies =
      co_await RunAll(asio::make_strand(mNode.Context()), std::move(tasks));
  const bool known = std::ranges::any_of(replies, [](const auto& aReply) {
    return aReply && aReply->step_state().known();
  });
  if (!known) {
    co_return Error(ErrorKind::NotFound, "The step is not open.");
  }
  co_return HttpResponse::Json(200, "{\"closed\":true}");
}

}  // namespace rillwall
