#include "trainer_sample.h"

#include <algorithm>

#include "control_serve.h"
#include "engine_text.h"

namespace rillwall::standin {

namespace {

const json::array& ArrayOf(const json::object& aObject,
                           std::string_view aName) {
  static const json::array kNone;
  const json::value* value = aObject.if_contains(aName);
  return value && value->is_array() ? value->get_array() : kNone;
}

const json::object& ObjectOf(const json::value& aValue) {
  static const json::object kNone;
  return aValue.is_object() ? aValue.get_object() : kNone;
}

DeliveredSample ParseSample(const json::object& aObject) {
  DeliveredSample sample;
  sample.mIndex = static_cast<size_t>(NumberOf(aObject, "index", -1));
  sample.mText = TextOf(aObject, "text");
  sample.mFinish = TextOf(aObject, "finish");
  const json::value* score = aObject.if_contains("score");
  sample.mScore = score && score->is_number() ? score->to_number<double>() : -1;
  for (const json::value& value : ArrayOf(aObject, "label")) {
    const json::object& span = ObjectOf(value);
    sample.mLabel.push_back({NumberOf(span, "version", -1),
                             NumberOf(span, "begin", -1),
                             NumberOf(span, "end", -1)});
  }
  return sample;
}

DeliveredGroup ParseGroup(const json::object& aObject) {
  DeliveredGroup group;
  group.mGroup = static_cast<size_t>(NumberOf(aObject, "group", -1));
  for (const json::value& value : ArrayOf(aObject, "samples")) {
    group.mSamples.push_back(ParseSample(ObjectOf(value)));
  }
  return group;
}

bool LabelCovers(const std::vector<VersionSpan>& aLabel, int64_t aTokens) {
  int64_t reached = 0;
  for (const VersionSpan& span : aLabel) {
    if (span.mBegin != reached || span.mEnd <= span.mBegin) {
      return false;
    }
    reached = span.mEnd;
  }
  return reached == aTokens && aTokens > 0;
}

int64_t NewestOf(const std::vector<VersionSpan>& aLabel) {
  int64_t newest = 0;
  for (const VersionSpan& span : aLabel) {
    newest = std::max(newest, span.mVersion);
  }
  return newest;
}

void CheckSample(const DeliveredSample& aSample,
                 const GroupExpectation& aExpected, FaultCounts& aFaults) {
  const int64_t length = AnswerLength(aExpected.mPrompt);
  const int64_t tokens = std::min(length, aExpected.mMaxTokens);
  if (CountTokens(aSample.mText) != tokens ||
      !IsAnswerTo(aExpected.mPrompt, aSample.mText)) {
    ++aFaults[SampleFault::WrongText];
  }
  if (!LabelCovers(aSample.mLabel, CountTokens(aSample.mText))) {
    ++aFaults[SampleFault::BrokenLabel];
  }
  if (NewestOf(aSample.mLabel) > aExpected.mNewestVersion) {
    ++aFaults[SampleFault::FutureVersion];
  }
  if (aExpected.mMaxStaleness >= 0 &&
      StalenessOf(aSample, aExpected.mStatedVersion) >
          aExpected.mMaxStaleness) {
    ++aFaults[SampleFault::Stale];
  }
  if (aSample.mFinish != (length > aExpected.mMaxTokens ? "length" : "stop")) {
    ++aFaults[SampleFault::WrongFinish];
  }
  if (aSample.mScore < 0 || aSample.mScore > 1) {
    ++aFaults[SampleFault::WrongScore];
  }
}

}  // namespace

const char* SampleFaultName(SampleFault aFault) {
  switch (aFault) {
    case SampleFault::Repeated:
      return "repeated";
    case SampleFault::WrongGroup:
      return "wrong_group";
    case SampleFault::WrongText:
      return "wrong_text";
    case SampleFault::SameText:
      return "same_text";
    case SampleFault::BrokenLabel:
      return "broken_label";
    case SampleFault::FutureVersion:
      return "future_version";
    case SampleFault::Stale:
      return "stale";
    case SampleFault::WrongFinish:
      return "wrong_finish";
    case SampleFault::WrongScore:
      return "wrong_score";
    case SampleFault::Count:
      break;
  }
  return "unknown";
}

Result<PullResponse> ParsePullResponse(const std::string& aBody) {
  const auto object = ParseObject(aBody);
  if (!object.has_value()) {
    return object.error();
  }
  PullResponse answer;
  answer.mExtends = TextOf(object.value(), "extends");
  answer.mReceipt = TextOf(object.value(), "receipt");
  const json::value* complete = object.value().if_contains("complete");
  answer.mComplete = complete && complete->is_bool() && complete->get_bool();
  for (const json::value& value : ArrayOf(object.value(), "groups")) {
    answer.mGroups.push_back(ParseGroup(ObjectOf(value)));
  }
  return answer;
}

void CheckGroup(const DeliveredGroup& aGroup, const GroupExpectation& aExpected,
                FaultCounts& aFaults) {
  std::set<size_t> indices;
  std::set<std::string> texts;
  for (const DeliveredSample& sample : aGroup.mSamples) {
    CheckSample(sample, aExpected, aFaults);
    indices.insert(sample.mIndex);
    if (!texts.insert(sample.mText).second) {
      ++aFaults[SampleFault::SameText];
    }
  }
  if (indices.size() != aExpected.mGroupSize ||
      aGroup.mSamples.size() != aExpected.mGroupSize) {
    ++aFaults[SampleFault::WrongGroup];
  }
}

int64_t StalenessOf(const DeliveredSample& aSample, int64_t aNewestVersion) {
  int64_t oldest = aNewestVersion;
  for (const VersionSpan& span : aSample.mLabel) {
    oldest = std::min(oldest, span.mVersion);
  }
  return aNewestVersion - oldest;
}

}  // namespace rillwall::standin
