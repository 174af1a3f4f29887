/// \file
/// Persistent state of a rollout step in the store, encoded as JSON.
///
/// Keys of the step whose scoped id is ID (ScopedStepId()):
///   rillwall/step/ID           StepRecord: the owner, and whether it has ended
///   rillwall/body/ID/NNN       the submission as received, in parts
///   rillwall/page/ID/NNNNNNNN  results from position NNNNNNNN on
///   rillwall/taken/RUN         written when a step is taken over from the
///                              owner with run id RUN; holds the wall clock
///   rillwall/part/ID/NNNNNNNN  segments of unfinished texts, in write order
/// One transaction creates the record and the parts of the submission, provided
/// that the record does not exist. The transaction that creates a page requires
/// that the record has its expected revision and that the page does not exist.
/// So a replaced owner cannot append results, and a written position never
/// changes.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/rollout.h"

namespace rillwall {

/// Owner and progress of a step.
struct StepRecord {
  std::string mOwner;    ///< name of the node that runs the step
  std::string mAddress;  ///< ip:port where the owner serves other nodes
  /// Id of the owner's process start. A restarted owner has lost its state.
  std::string mRun;
  std::string mHost;        ///< Host header of the submission
  std::string mPath;        ///< path of the submission
  int64_t mAcceptedMs = 0;  ///< wall clock of the first acceptance
  int64_t mTotal = 0;       ///< number of items
  bool mEnded = false;
  std::string mAccount;  ///< client account of the submission; empty: none
  bool operator==(const StepRecord&) const = default;
};

/// Results that are appended in one write.
struct ResultPage {
  int64_t mFirst = 0;  ///< position of the first result
  std::vector<RolloutResult> mResults;
  int64_t mTotal = 0;  ///< number of items of the step
  bool operator==(const ResultPage&) const = default;
};

/// JSON codecs. Decoding returns BadRequest naming the wrong field.
std::string EncodeStepRecord(const StepRecord& aRecord);
Result<StepRecord> DecodeStepRecord(std::string_view aText);
std::string EncodeResultPage(const ResultPage& aPage);
Result<ResultPage> DecodeResultPage(std::string_view aText);

std::string EncodeParts(const std::vector<RolloutPart>& aParts);
Result<std::vector<RolloutPart>> DecodeParts(std::string_view aText);

/// Combines a step id and its client account, so that accounts never see each
/// other's steps even if they choose the same id.
/// \param aAccount client account; empty: none
/// \return the id under which the step is stored
std::string ScopedStepId(const std::string& aId, const std::string& aAccount);

/// Keys of the store. aId is a scoped step id.
std::string StepKey(std::string_view aId);
/// \return prefix of the keys of all parts of a submission
std::string BodyPrefix(std::string_view aId);
std::string BodyKey(std::string_view aId, size_t aPart);
/// Submissions up to this size are kept in memory and written to the store
/// together with their record. The parts of larger ones are written before, and
/// the bodies of their items are read back from them.
inline constexpr size_t kMaxKeptSubmission = 4 * 1024 * 1024;
/// \return bytes of each part of a submission but the last
size_t SubmissionPartBytes(size_t aSubmission);
/// \return prefix of the keys of all result pages of a step
std::string PagePrefix(std::string_view aId);
std::string PageKey(std::string_view aId, int64_t aFirst);
std::string TakeoverKey(std::string_view aRun);
/// \return prefix of the keys of all segments of unfinished texts
std::string PartPrefix(std::string_view aId);
std::string PartKey(std::string_view aId, int64_t aNumber);

}  // namespace rillwall
