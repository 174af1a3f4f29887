/// \file
/// What a trainer checks of every sample that it receives.

#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/step.h"

namespace rillwall::standin {

/// One sample of an answer.
struct DeliveredSample {
  size_t mIndex = 0;
  std::string mText;
  double mScore = 0;
  std::vector<VersionSpan> mLabel;
  std::string mFinish;
};

/// One group of an answer.
struct DeliveredGroup {
  size_t mGroup = 0;
  std::vector<DeliveredSample> mSamples;
};

/// An answer to a pull.
struct DeliveredAnswer {
  std::string mExtends;
  std::string mReceipt;
  bool mComplete = false;
  std::vector<DeliveredGroup> mGroups;
};

/// \return the answer, or BadRequest if it is not as docs/API.md says
Result<DeliveredAnswer> ParseAnswer(const std::string& aBody);

/// Broken promises found in samples, by kind.
enum class SampleFault {
  Repeated,       ///< identity received before
  WrongGroup,     ///< unknown group, or indices that are not the group's
  WrongText,      ///< not the whole answer to the prompt
  SameText,       ///< two samples of a group are one answer
  BrokenLabel,    ///< spans do not cover the tokens without gaps
  FutureVersion,  ///< a version that was never announced
  Stale,          ///< over the bound
  WrongFinish,
  WrongScore,
  Count
};

/// \return the fault's name in results
const char* SampleFaultName(SampleFault aFault);

using FaultCounts = std::map<SampleFault, uint64_t>;

/// What the samples of a group must be.
struct GroupExpectation {
  std::string mPrompt;
  size_t mGroupSize = 0;
  int64_t mMaxTokens = 0;
  int64_t mNewest = 0;        ///< version announced, also if not answered yet
  int64_t mStated = 0;        ///< version stated in the pull
  int64_t mMaxStaleness = 0;  ///< versions; -1: no bound
};

/// Checks all but identities.
/// \param aFaults counts are added to it
void CheckGroup(const DeliveredGroup& aGroup, const GroupExpectation& aWanted,
                FaultCounts& aFaults);

/// \return the newest version less the label's oldest
int64_t StalenessOf(const DeliveredSample& aSample, int64_t aNewest);

}  // namespace rillwall::standin
