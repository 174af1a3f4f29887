/// \file
/// What the store keeps of a rollout step, in rillwall's own format.
///
/// Keys of the step with identity ID (ScopedStepId()):
///   rillwall/step/ID           StepRecord: who owns it, whether it has ended
///   rillwall/body/ID/NNN       the submission as it came, in parts
///   rillwall/page/ID/NNNNNNNN  results from position NNNNNNNN on
///   rillwall/taken/RUN         written when a step is taken from the owner
///                              whose start is RUN; its value is the wall clock
///   rillwall/part/ID/NNNNNNNN  stretches of unfinished texts, as written
/// The record and the parts are created by one change, guarded by the record
/// not existing. A page is created by a change that is guarded by the record's
/// revision and the page not existing, so that an owner that was replaced can
/// append nothing, and a position once written never changes.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/rollout.h"

namespace rillwall {

/// The record of a step.
struct StepRecord {
  std::string mOwner;       ///< name of the node that runs it
  std::string mAddress;     ///< where that node answers other nodes, ip:port
  std::string mRun;         ///< the owner's start; another start knows nothing
  std::string mHost;        ///< Host header of the submission
  std::string mPath;        ///< its path
  int64_t mAcceptedMs = 0;  ///< wall clock of the first acceptance
  int64_t mTotal = 0;       ///< items
  bool mEnded = false;
  std::string mAccount;  ///< client account that submitted it; empty: none
  bool operator==(const StepRecord&) const = default;
};

/// Results that were appended together.
struct ResultPage {
  int64_t mFirst = 0;  ///< position of its first result
  std::vector<RolloutResult> mResults;
  int64_t mTotal = 0;  ///< items of the step
  bool operator==(const ResultPage&) const = default;
};

std::string EncodeStepRecord(const StepRecord& aRecord);
Result<StepRecord> DecodeStepRecord(std::string_view aText);
std::string EncodeResultPage(const ResultPage& aPage);
Result<ResultPage> DecodeResultPage(std::string_view aText);

std::string EncodeParts(const std::vector<RolloutPart>& aParts);
Result<std::vector<RolloutPart>> DecodeParts(std::string_view aText);

/// \return the identity of a step: accounts do not see each other's steps, also
/// if they choose the same name
/// \param aAccount empty: none
std::string ScopedStepId(const std::string& aId, const std::string& aAccount);

std::string StepKey(std::string_view aId);
/// The prefix of all parts of a submission.
std::string BodyPrefix(std::string_view aId);
std::string BodyKey(std::string_view aId, size_t aPart);
/// The prefix of all pages of a step.
std::string PagePrefix(std::string_view aId);
std::string PageKey(std::string_view aId, int64_t aFirst);
std::string TakeoverKey(std::string_view aRun);
/// The prefix of all stretches of unfinished texts.
std::string PartPrefix(std::string_view aId);
std::string PartKey(std::string_view aId, int64_t aNumber);

}  // namespace rillwall
