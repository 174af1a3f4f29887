#include "group_runner.h"

#include <algorithm>
#include <functional>

#include "rillwall/json.h"
#include "rillwall/log.h"
#include "rillwall/wire_convert.h"
#include "tasks.h"

namespace rillwall {

namespace {

constexpr Millis kSampleDeadline{600000};
constexpr Millis kScoreRetryPause{100};
constexpr Millis kScoreTimeout{3000};
constexpr int kScoreAttempts = 6;
constexpr int kTrainingPriority = 5;
constexpr size_t kPrefixLength = 256;
constexpr int kOk = 200;

}  // namespace

GroupRunner::GroupRunner(Node& aNode, ModelCalls& aCalls)
    : mNode(aNode), mCalls(aCalls) {}

asio::awaitable<Result<wire::GroupSummary>> GroupRunner::RunGroup(
    wire::RunGroup aOrder) {
  const auto policies = mNode.Policies().Read();
  const TrainerRule* rule = policies->Rules().Trainer(aOrder.id().trainer());
  if (rule == nullptr) {
    co_return Error(ErrorKind::NotFound, "No policy names the trainer '" +
                                             aOrder.id().trainer() + "'.");
  }
  const Key key{FromWire(aOrder.id()).value(), aOrder.group(),
                aOrder.attempt()};
  const auto cancel = std::make_shared<std::atomic<bool>>(false);
  const int64_t size = aOrder.group_size();
  const bool started = co_await mNode.OnControl([&] {
    return mRunning.emplace(key, RunningGroup{cancel, size}).second;
  });
  if (!started) {
    co_return Error(ErrorKind::Conflict, "This attempt is running already.");
  }
  std::vector<asio::awaitable<std::optional<GeneratedSample>>> tasks;
  for (int64_t i = 0; i < size; ++i) {
    tasks.push_back(
        GenerateSample(aOrder, *rule, static_cast<size_t>(i), cancel));
  }
  std::vector<std::optional<GeneratedSample>> generated =
      co_await RunAll(asio::make_strand(mNode.Context()), std::move(tasks));
  const bool complete = std::ranges::all_of(
      generated, [](const auto& aSample) { return aSample.has_value(); });
  std::vector<GeneratedSample> samples;
  for (auto& sample : generated) {
    if (complete) {
      samples.push_back(std::move(*sample));
    }
  }
  co_return co_await mNode.OnControl([&]() -> Result<wire::GroupSummary> {
    mRunning.erase(key);
    if (!complete) {
      return Error(ErrorKind::UpstreamFailed,
                   "A sample of the group could not be generated.");
    }
    Hold(key, std::move(samples));
    mNode.Meter().Add(Counter::GroupsRun);
    return Summary(key, mHeld.at(key));
  });
}

ModelRequest GroupRunner::MakeRequest(const wire::RunGroup& aOrder,
                                      const TrainerRule& aRule,
                                      size_t aIndex) const {
  ModelRequest request;
  const std::string prompt = aOrder.prompt();
  request.mSpec.mClass = CallClass::Training;
  request.mSpec.mTenant = aRule.mName;
  request.mSpec.mModel = aRule.mModel;
  request.mSpec.mZones = aRule.mZones;
  request.mSpec.mPrefixHash =
      std::hash<std::string>()(prompt.substr(0, kPrefixLength));
  request.mSpec.mExpectedTokens = aOrder.max_tokens();
  request.mSpec.mMinVersion = aOrder.min_version();
  request.mSpec.mDeadline = mNode.Now() + kSampleDeadline;
  request.mCompletion.mModel = aRule.mModel;
  request.mCompletion.mPrompt = prompt;
  request.mCompletion.mMaxTokens = aOrder.max_tokens();
  // The samples of a group need different seeds. Attempts at the same sample
  // may share one.
  request.mCompletion.mSeed = aOrder.seed() * 1000003 + aOrder.group() * 1009 +
                              static_cast<int64_t>(aIndex);
  request.mCompletion.mPriority = kTrainingPriority;
  request.mCompletion.mRequestId =
      aRule.mName + "/" + std::to_string(aOrder.id().step()) + "/" +
      std::to_string(aOrder.group()) + "/" + std::to_string(aIndex) + "/" +
      std::to_string(aOrder.attempt());
  return request;
}

asio::awaitable<std::optional<GroupRunner::GeneratedSample>>
GroupRunner::GenerateSample(wire::RunGroup aOrder, TrainerRule aRule,
                            size_t aIndex, CancelFlag aCancel) {
  ModelRequest request = MakeRequest(aOrder, aRule, aIndex);
  request.mCancel = aCancel;
  Result<ModelAnswer> answer = co_await mCalls.Run(request, ChunkSink());
  if (!answer) {
    Log(Part::Step)
        .Request(request.mCompletion.mRequestId)
        .Info("A sample failed: " + answer.error().Detail());
    co_return std::nullopt;
  }
  GeneratedSample generated;
  generated.mFirstToken = answer->mFirstToken;
  wire::Sample& sample = generated.mSample;
  sample.set_group(aOrder.group());
  sample.set_index(static_cast<uint32_t>(aIndex));
  sample.set_finish(answer->mFinish);
  *sample.mutable_label() = ToWire(answer->mLabel);
  for (const std::string& engine : answer->mEngines) {
    sample.add_engines(engine);
  }
  if (!aRule.mScorer.empty()) {
    const Result<double> score =
        co_await Score(aRule.mScorer, aOrder.prompt(), answer->mText);
    if (!score) {
      co_return std::nullopt;
    }
    sample.set_score(*score);
  }
  sample.set_text(std::move(answer->mText));
  co_return generated;
}

// Scoring has no side effects, so a failed attempt is retried, possibly at
// another scorer.
asio::awaitable<Result<double>> GroupRunner::Score(std::string aScorer,
                                                   std::string aPrompt,
                                                   std::string aText) {
  json::object body;
  body["prompt"] = aPrompt;
  body["text"] = aText;
  const std::string encoded = json::serialize(body);
  for (int attempt = 0; attempt < kScoreAttempts; ++attempt) {
    if (attempt > 0) {
      co_await Node::Sleep(kScoreRetryPause * (int64_t{1} << attempt));
    }
    const auto table = mNode.Upstreams().Read();
    const UpstreamEntry* scorer =
        table->Choose(UpstreamKind::Scorer, aScorer, mNode.Settings().mZone,
                      std::hash<std::string>()(encoded) + attempt, mNode.Now());
    if (scorer == nullptr) {
      continue;
    }
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/score";
    request.mBody = encoded;
    InFlightCall inFlight(scorer->mLoad);
    const Result<HttpResponse> response = co_await mNode.Http().Send(
        scorer->mEndpoint, std::move(request), kScoreTimeout);
    const bool good = response && response->mStatus == kOk;
    inFlight.End(!good, mNode.Now());
    if (!good) {
      continue;
    }
    const Result<json::object> object = ParseJsonObject(response->mBody);
    if (!object) {
      continue;
    }
    JsonReader reader(*object);
    const double score = reader.Double("score");
    if (!reader.Failed()) {
      co_return score;
    }
  }
  co_return Error(ErrorKind::UpstreamFailed,
                  "The scorer '" + aScorer + "' could not be reached.");
}

void GroupRunner::CheckLabel(const wire::Sample& aSample) {
  mNode.Meter().Add(Counter::ChecksLabel);
  int64_t expectedBegin = 0;
  for (const wire::VersionSpan& span : aSample.label()) {
    if (span.begin() != expectedBegin || span.end() <= span.begin()) {
      mNode.ReportBrokenInvariant("A label has a gap or an empty span.");
      return;
    }
    expectedBegin = span.end();
  }
  if (expectedBegin == 0 && !aSample.text().empty()) {
    mNode.ReportBrokenInvariant("A sample has text but no label.");
  }
}

void GroupRunner::Hold(const Key& aKey, std::vector<GeneratedSample> aSamples) {
  HeldGroup held;
  held.mFirstToken = mNode.Now();
  held.mOldestVersion = INT64_MAX;
  for (GeneratedSample& generated : aSamples) {
    CheckLabel(generated.mSample);
    held.mFirstToken = std::min(held.mFirstToken, generated.mFirstToken);
    for (const wire::VersionSpan& span : generated.mSample.label()) {
      held.mOldestVersion = std::min(held.mOldestVersion, span.version());
      held.mTokens += span.end() - span.begin();
    }
    held.mSamples.push_back(std::move(generated.mSample));
  }
  mHeld[aKey] = std::move(held);
}

wire::GroupSummary GroupRunner::Summary(const Key& aKey,
                                        const HeldGroup& aHeld) const {
  wire::GroupSummary summary;
  summary.set_group(static_cast<uint32_t>(aKey.mGroup));
  summary.set_attempt(aKey.mAttempt);
  summary.set_oldest_version(aHeld.mOldestVersion);
  summary.set_age_ms((mNode.Now() - aHeld.mFirstToken).Count());
  summary.set_tokens(aHeld.mTokens);
  return summary;
}

wire::FetchedGroup GroupRunner::Fetched(const Key& aKey,
                                        const HeldGroup& aHeld) const {
  wire::FetchedGroup fetched;
  fetched.set_group(static_cast<uint32_t>(aKey.mGroup));
  fetched.set_attempt(aKey.mAttempt);
  fetched.set_oldest_version(aHeld.mOldestVersion);
  fetched.set_age_ms((mNode.Now() - aHeld.mFirstToken).Count());
  for (const wire::Sample& sample : aHeld.mSamples) {
    *fetched.add_samples() = sample;
  }
  return fetched;
}

void GroupRunner::Cancel(const wire::CancelGroup& aCancel) {
  const Key key{FromWire(aCancel.id()).value(), aCancel.group(),
                aCancel.attempt()};
  const auto running = mRunning.find(key);
  if (running != mRunning.end()) {
    running->second.mCancel->store(true, std::memory_order_relaxed);
  }
  mHeld.erase(key);
}

void GroupRunner::Release(const wire::ReleaseGroups& aRelease) {
  const StepId step = FromWire(aRelease.id()).value();
  const auto released = [&](const Key& aKey) {
    const bool named =
        aRelease.all() || std::ranges::find(aRelease.groups(), aKey.mGroup) !=
                              aRelease.groups().end();
    return aKey.mStep == step && named;
  };
  std::erase_if(mHeld,
                [&](const auto& aEntry) { return released(aEntry.first); });
  for (auto& [key, running] : mRunning) {
    if (released(key)) {
      running.mCancel->store(true, std::memory_order_relaxed);
    }
  }
}

wire::FetchedGroups GroupRunner::Fetch(const wire::FetchGroups& aFetch) const {
  wire::FetchedGroups fetched;
  const StepId step = FromWire(aFetch.id()).value();
  for (const wire::HeldGroup& wanted : aFetch.groups()) {
    const auto held = mHeld.find(Key{step, wanted.group(), wanted.attempt()});
    if (held != mHeld.end()) {
      *fetched.add_groups() = Fetched(held->first, held->second);
    }
  }
  return fetched;
}

void GroupRunner::TakeOver(const wire::HandOver& aHandOver) {
  const StepId step = FromWire(aHandOver.id()).value();
  for (const wire::FetchedGroup& group : aHandOver.groups()) {
    HeldGroup held;
    held.mSamples.assign(group.samples().begin(), group.samples().end());
    held.mOldestVersion = group.oldest_version();
    held.mFirstToken = mNode.Now() - Millis(group.age_ms());
    for (const wire::Sample& sample : held.mSamples) {
      held.mTokens +=
          sample.label().empty() ? 0 : sample.label().rbegin()->end();
    }
    mHeld[Key{step, group.group(), group.attempt()}] = std::move(held);
  }
}

std::vector<wire::HandOver> GroupRunner::ExtractHeldGroups() {
  std::vector<wire::HandOver> parts;
  for (const auto& [key, held] : mHeld) {
    if (parts.empty() || FromWire(parts.back().id()).value() != key.mStep) {
      parts.emplace_back();
      *parts.back().mutable_id() = ToWire(key.mStep);
    }
    *parts.back().add_groups() = Fetched(key, held);
  }
  mHeld.clear();
  return parts;
}

void GroupRunner::Inventory(const StepId& aStep,
                            wire::Inventory& aInventory) const {
  for (const auto& [key, held] : mHeld) {
    if (key.mStep == aStep) {
      *aInventory.add_held() = Summary(key, held);
    }
  }
  for (const auto& [key, running] : mRunning) {
    if (key.mStep == aStep) {
      wire::GroupSummary* summary = aInventory.add_running();
      summary->set_group(static_cast<uint32_t>(key.mGroup));
      summary->set_attempt(key.mAttempt);
    }
  }
}

int64_t GroupRunner::FreeCapacity(const TrainerRule& aRule) const {
  return mNode.Calls().FreeTrainingSlots(aRule.mModel);
}

size_t GroupRunner::Held() const { return mHeld.size(); }

}  // namespace rillwall
