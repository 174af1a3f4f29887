#include "rillwall/upstream_codec.h"

#include "rillwall/json.h"

namespace rillwall {

namespace {

// A malformed message is an error of the upstream, not of the caller.
Error Malformed(const char* aWhat, const Error& aCause) {
  return Error(ErrorKind::UpstreamFailed,
               std::string(aWhat) + " cannot be read: " + aCause.Detail(),
               RunState::Run);
}

Result<UpstreamKind> ParseKind(const std::string& aName) {
  if (aName == "engine") {
    return UpstreamKind::Engine;
  }
  if (aName == "service") {
    return UpstreamKind::Service;
  }
  if (aName == "scorer") {
    return UpstreamKind::Scorer;
  }
  if (aName == "weights") {
    return UpstreamKind::WeightStore;
  }
  return Error(ErrorKind::UpstreamFailed,
               "The host list names the unknown kind '" + aName + "'.");
}

Result<Upstream> ParseUpstream(const json::object& aObject) {
  JsonReader reader(aObject, "hosts[]");
  Upstream upstream;
  upstream.mId = reader.String("id");
  upstream.mName = reader.String("name", "");
  upstream.mAddress = reader.String("address");
  upstream.mZone = reader.String("zone", "");
  upstream.mGeneration = reader.Uint("generation", 0);
  upstream.mLeaving = reader.Bool("leaving", false);
  const std::string kindName = reader.String("kind");
  if (reader.Failed()) {
    return Malformed("The host list", reader.Failure());
  }
  const Result<UpstreamKind> kind = ParseKind(kindName);
  if (!kind) {
    return kind.error();
  }
  upstream.mKind = *kind;
  return upstream;
}

}  // namespace

std::string EncodeCompletion(const EngineCompletion& aCompletion) {
  json::object body;
  body["model"] = aCompletion.mModel;
  body["prompt"] = aCompletion.mPrompt;
  body["max_tokens"] = aCompletion.mMaxTokens;
  body["stream"] = true;
  body["priority"] = aCompletion.mPriority;
  body["seed"] = aCompletion.mSeed;
  body["request_id"] = aCompletion.mRequestId;
  if (aCompletion.mResumeTokens > 0) {
    body["resume"] = aCompletion.mResumeText;
    body["resume_tokens"] = aCompletion.mResumeTokens;
  }
  return json::serialize(body);
}

std::string EncodeLoadOrder(const LoadOrder& aOrder) {
  json::object body;
  body["kind"] = "load";
  body["version"] = aOrder.mVersion;
  body["weights"] = aOrder.mWeights;
  body["bytes"] = aOrder.mBytes;
  body["fence"] = aOrder.mFence;
  return json::serialize(body);
}

Result<ModelChunk> ParseChunk(std::string_view aJson) {
  const Result<json::object> object = ParseJsonObject(aJson);
  if (!object) {
    return Malformed("An engine's chunk", object.error());
  }
  JsonReader reader(*object);
  ModelChunk chunk;
  chunk.mId = reader.String("id");
  chunk.mTokens = reader.Int("tokens");
  chunk.mVersion = reader.Int("weight_version");
  const json::array* choices = reader.Array("choices");
  const bool hasChoice =
      choices != nullptr && !choices->empty() && choices->front().is_object();
  if (!hasChoice || chunk.mVersion < 0 || chunk.mTokens < 0) {
    reader.Fail(
        "choices",
        "must contain an object; version and tokens must not be negative");
  }
  if (reader.Failed()) {
    return Malformed("An engine's chunk", reader.Failure());
  }
  JsonReader choice(choices->front().as_object());
  chunk.mText = choice.String("text", "");
  chunk.mFinish = choice.String("finish_reason", "");
  return chunk;
}

Result<LoadReport> ParseLoadReport(std::string_view aJson, Millis aNow) {
  const Result<json::object> object = ParseJsonObject(aJson);
  if (!object) {
    return Malformed("A load report", object.error());
  }
  JsonReader reader(*object);
  LoadReport report;
  report.mRunning = reader.Int("running");
  report.mWaiting = reader.Int("waiting", 0);
  report.mSlots = std::max<int64_t>(1, reader.Int("slots"));
  report.mTokensPerSecond = reader.Double("tokens_per_second", 0);
  report.mVersion = reader.Int("version", 0);
  report.mLoading = reader.Int("loading", 0);
  report.mLeaving = reader.Bool("leaving", false);
  report.mAt = aNow;
  if (reader.Failed()) {
    return Malformed("A load report", reader.Failure());
  }
  return report;
}

Result<std::vector<Upstream>> ParseHostList(std::string_view aJson) {
  const Result<json::object> object = ParseJsonObject(aJson);
  if (!object) {
    return Malformed("The host list", object.error());
  }
  JsonReader reader(*object);
  const json::array* hosts = reader.Array("hosts");
  if (hosts == nullptr) {
    reader.Fail("hosts", "must be an array");
    return Malformed("The host list", reader.Failure());
  }
  std::vector<Upstream> upstreams;
  for (const json::value& entry : *hosts) {
    if (!entry.is_object()) {
      return Error(ErrorKind::UpstreamFailed,
                   "An entry of the host list is not an object.");
    }
    Result<Upstream> upstream = ParseUpstream(entry.as_object());
    if (!upstream) {
      return upstream.error();
    }
    upstreams.push_back(std::move(*upstream));
  }
  return upstreams;
}

}  // namespace rillwall
