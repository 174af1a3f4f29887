/// \file
/// Parses pull responses and checks every sample that a trainer receives.

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

/// A sample of a pull response.
struct DeliveredSample {
  size_t mIndex = 0;
  std::string mText;
  double mScore = 0;
  std::vector<VersionSpan> mLabel;
  std::string mFinish;
};

/// A group of samples for one prompt.
struct DeliveredGroup {
  size_t mGroup = 0;
  std::vector<DeliveredSample> mSamples;
};

/// The response to a pull.
struct PullResponse {
  std::string mExtends;  ///< receipt that the response continues
  std::string mReceipt;  ///< receipt after the response
  bool mComplete = false;
  std::vector<DeliveredGroup> mGroups;
};

/// \return the response, in the format of docs/API.md, or BadRequest
Result<PullResponse> ParsePullResponse(const std::string& aBody);

/// Kinds of violated guarantees in samples.
enum class SampleFault {
  Repeated,       ///< the group was received before
  WrongGroup,     ///< unknown group, or wrong sample indices
  WrongText,      ///< not the complete answer to the prompt
  SameText,       ///< two samples of a group are identical
  BrokenLabel,    ///< spans do not cover all tokens without gaps
  FutureVersion,  ///< a version that was not announced
  Stale,          ///< exceeds the staleness bound
  WrongFinish,
  WrongScore,
  Count
};

/// \return the name of the fault in results
const char* SampleFaultName(SampleFault aFault);

using FaultCounts = std::map<SampleFault, uint64_t>;

/// Expected properties of the samples of a group.
struct GroupExpectation {
  std::string mPrompt;
  size_t mGroupSize = 0;
  int64_t mMaxTokens = 0;
  int64_t mNewestVersion =
      0;  ///< highest version announced, even without a response
  int64_t mStatedVersion = 0;  ///< version stated in the pull
  int64_t mMaxStaleness = 0;   ///< versions; -1: no bound
};

/// Checks a group for all faults except Repeated.
/// \param aFaults increased by the faults found
void CheckGroup(const DeliveredGroup& aGroup, const GroupExpectation& aExpected,
                FaultCounts& aFaults);

/// \return by how many versions the oldest version in the label lags behind
/// aNewestVersion
int64_t StalenessOf(const DeliveredSample& aSample, int64_t aNewestVersion);

}  // namespace rillwall::standin
