#include "rillwall/shared_view.h"

#include "json_array.h"
#include "rillwall/numbers.h"

namespace rillwall {

namespace {

constexpr JsonLimits kViewLimits{kMaxViewBytes, 16};

json::object ToJson(const LeadHolder& aHolder) {
  json::object object;
  object["name"] = aHolder.mName;
  object["address"] = aHolder.mAddress;
  object["run"] = aHolder.mRun;
  if (!aHolder.mZone.empty()) {
    object["zone"] = aHolder.mZone;
  }
  if (aHolder.mFence != 0) {
    object["fence"] = aHolder.mFence;
  }
  return object;
}

LeadHolder LeadFrom(JsonReader& aReader) {
  LeadHolder holder;
  holder.mName = aReader.String("name");
  holder.mAddress = aReader.String("address");
  holder.mRun = aReader.String("run");
  holder.mZone = aReader.String("zone", "");
  holder.mFence = aReader.Int("fence", 0);
  return holder;
}

json::object ToJson(const Replica& aReplica) {
  json::object models;
  for (const ModelVersion& model : aReplica.mModels) {
    models[model.mModel] = model.mVersion;
  }
  json::object object;
  object["id"] = aReplica.mId;
  object["service"] = aReplica.mService;
  object["address"] = aReplica.mAddress;
  object["zone"] = aReplica.mZone;
  object["slots"] = aReplica.mSlots;
  object["draining"] = aReplica.mDraining;
  if (aReplica.mCold) {
    object["cold"] = true;
  }
  if (aReplica.mSpot) {
    object["spot"] = true;
  }
  if (aReplica.mLapsed) {
    object["lapsed"] = true;
  }
  if (aReplica.mLeavesIn > Millis(0)) {
    object["leaves_ms"] = aReplica.mLeavesIn.Count();
  }
  if (aReplica.mStartedAtMs != 0) {
    object["born"] = aReplica.mStartedAtMs;
  }
  if (!models.empty()) {
    object["models"] = std::move(models);
  }
  return object;
}

Replica ReplicaFrom(JsonReader& aReader) {
  Replica replica;
  replica.mId = aReader.String("id");
  replica.mService = aReader.String("service");
  replica.mAddress = aReader.String("address");
  replica.mZone = aReader.String("zone");
  replica.mSlots = aReader.Int("slots");
  replica.mDraining = aReader.Bool("draining");
  replica.mCold = aReader.Bool("cold", false);
  replica.mSpot = aReader.Bool("spot", false);
  replica.mLapsed = aReader.Bool("lapsed", false);
  replica.mLeavesIn = Millis(aReader.Int("leaves_ms", 0));
  replica.mStartedAtMs = aReader.Int("born", 0);
  const json::object* models = aReader.Object("models");
  if (models == nullptr) {
    return replica;
  }
  JsonReader versions(*models, "models");
  for (const auto& [name, version] : *models) {
    replica.mModels.push_back({std::string(name), versions.Int(name)});
  }
  if (versions.Failed()) {
    aReader.Fail("models", "holds a version that is not an integer");
  }
  return replica;
}

json::object ToJson(const NodeEntry& aNode) {
  json::object object;
  object["address"] = aNode.mAddress;
  object["clients"] = aNode.mTakesClients;
  if (!aNode.mZone.empty()) {
    object["zone"] = aNode.mZone;
  }
  return object;
}

NodeEntry NodeFrom(JsonReader& aReader) {
  return {aReader.String("address"), aReader.Bool("clients"),
          aReader.String("zone", "")};
}

/// \return the number at the start of the text; 0 if there is none
uint64_t ParseUnsigned(const std::string& aText) {
  uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

template <class Value>
json::array ToArray(const std::vector<Value>& aValues) {
  json::array rows;
  for (const Value& value : aValues) {
    rows.push_back(ToJson(value));
  }
  return rows;
}

}  // namespace

std::string EncodeLead(const LeadHolder& aHolder) {
  return json::serialize(ToJson(aHolder));
}

Result<LeadHolder> DecodeLead(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "lead");
  LeadHolder holder = LeadFrom(reader);
  if (reader.Failed()) {
    return reader.Failure();
  }
  return holder;
}

std::string EncodeViewRequest(const ViewRequest& aRequest) {
  return std::string(kViewPath) + "?from=" + aRequest.mFrom.mAddress +
         "&clients=" + (aRequest.mFrom.mTakesClients ? "1" : "0") +
         "&run=" + aRequest.mRun +
         "&replicas=" + std::to_string(aRequest.mReplicas.mNumber) +
         "&digest=" + std::to_string(aRequest.mReplicas.mDigest) +
         "&crashes=" + std::to_string(aRequest.mCrashes) +
         "&nodes=" + std::to_string(aRequest.mNodes) +
         "&versions=" + (aRequest.mVersions ? "1" : "0") +
         "&help=" + (aRequest.mHelpRequested ? "1" : "0") +
         "&zone=" + aRequest.mFrom.mZone +
         "&replicas_wanted=" + (aRequest.mWantsReplicas ? "1" : "0");
}

ViewRequest DecodeViewRequest(
    const std::function<std::string(std::string_view)>& aField) {
  ViewRequest request;
  request.mFrom = {aField("from"), aField("clients") == "1", aField("zone")};
  request.mWantsReplicas = aField("replicas_wanted") != "0";
  request.mRun = aField("run");
  request.mReplicas = {ParseNumber(aField("replicas")).value_or(0),
                       ParseUnsigned(aField("digest"))};
  request.mCrashes = ParseNumber(aField("crashes")).value_or(0);
  request.mNodes = ParseUnsigned(aField("nodes"));
  request.mVersions = aField("versions") != "0";
  request.mHelpRequested = aField("help") == "1";
  return request;
}

std::string EncodeView(const SharedView& aView) {
  json::object object;
  object["run"] = aView.mRun;
  object["number"] = aView.mReplicas.mNumber;
  object["full"] = aView.mReplicas.mFull;
  // As a string, because other JSON readers keep only 53 bits of a number.
  object["digest"] = std::to_string(aView.mReplicas.mDigest);
  object["versions"] = aView.mVersions;
  object["changed"] = ToArray(aView.mReplicas.mChanged);
  object["gone"] = json::value_from(aView.mReplicas.mGone);
  object["config"] = aView.mConfig;
  if (aView.mNodes) {
    object["nodes"] = ToArray(*aView.mNodes);
  }
  if (aView.mLead) {
    object["lead"] = ToJson(*aView.mLead);
  }
  if (aView.mLarge) {
    object["large"] = true;
  }
  if (aView.mHosts > 0) {
    object["hosts"] = aView.mHosts;
  }
  if (!aView.mEvacuated.empty()) {
    object["evacuated"] = json::value_from(aView.mEvacuated);
  }
  if (aView.mEvacuatedRevision > 0) {
    object["evacuated-revision"] = aView.mEvacuatedRevision;
  }
  object["crash_number"] = aView.mCrashNumber;
  if (!aView.mCrashes.empty()) {
    object["crashes"] = ToArray(aView.mCrashes);
  }
  return json::serialize(object);
}

Result<SharedView> DecodeView(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText, kViewLimits);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "view");
  SharedView view;
  view.mRun = reader.String("run");
  view.mReplicas.mNumber = reader.Int("number");
  view.mReplicas.mFull = reader.Bool("full");
  view.mReplicas.mDigest = ParseUnsigned(reader.String("digest"));
  view.mVersions = reader.Bool("versions");
  view.mReplicas.mChanged = ReadArray(reader, "changed", ReplicaFrom);
  view.mReplicas.mGone = reader.Strings("gone");
  view.mConfig = reader.Int("config");
  if (reader.Has("nodes")) {
    view.mNodes = ReadArray(reader, "nodes", NodeFrom);
  }
  view.mLarge = reader.Bool("large", false);
  view.mHosts = reader.Int("hosts", 0);
  if (reader.Has("evacuated")) {
    view.mEvacuated = reader.Strings("evacuated");
  }
  view.mEvacuatedRevision = reader.Int("evacuated-revision", 0);
  view.mCrashNumber = reader.Int("crash_number", 0);
  view.mCrashes = ReadArray(reader, "crashes", CrashFromJson);
  const json::object* lead = reader.Object("lead");
  if (lead != nullptr) {
    JsonReader fields(*lead, "lead");
    view.mLead = LeadFrom(fields);
    if (fields.Failed()) {
      return fields.Failure();
    }
  }
  if (reader.Failed()) {
    return reader.Failure();
  }
  return view;
}

}  // namespace rillwall
