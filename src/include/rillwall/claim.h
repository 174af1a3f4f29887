/// \file
/// The protocol by which a non-idempotent call runs at most once.
///
/// Before the first byte goes to an upstream, a claim for (house, service, key)
/// is created in the key-value service by compare-and-swap. Only the creator of
/// the claim, known by its nonce, runs the call, and a claim is removed only by
/// its creator and only if nothing was sent. So whatever answers of the
/// key-value service are lost, late or repeated, the call runs at most once.
/// The outcome is then written into the claim, for repeats to be answered with.
///
/// A claim may outlive a call that was not run: when the key-value service did
/// not answer, or the node died. The key is then blocked (outcome-unknown); the
/// caller looks into the upstream's records and uses another key.
///
/// Sans-IO: a ClaimCall is told what happened and says what to do next.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/millis.h"

namespace rillwall {

/// What a claim is for.
struct ClaimKey {
  std::string mHouse;
  std::string mService;
  std::string mKey;  ///< the caller's Idempotency-Key

  /// \return the name of the claim's entry, "claim/<house>/<service>/<key>"
  /// with each part percent-encoded
  std::string Path() const;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ClaimKey&) const = default;
};

/// A header of a recorded answer.
struct ClaimHeader {
  std::string mName;
  std::string mValue;
  bool operator==(const ClaimHeader&) const = default;
};

/// An upstream's whole answer, as recorded and repeated.
struct ClaimAnswer {
  int mStatus = 0;
  std::vector<ClaimHeader> mHeaders;
  std::string mBody;
  bool mBodyLeftOut = false;  ///< it was too large to be recorded
  bool operator==(const ClaimAnswer&) const = default;
};

enum class ClaimState { Claimed, Done };

/// A claim as it stands in the key-value service.
struct ClaimRecord {
  ClaimKey mKey;
  std::string mNonce;   ///< of the call that created it
  std::string mDigest;  ///< of the request
  ClaimState mState = ClaimState::Claimed;
  ClaimAnswer mAnswer;  ///< if Done
  bool operator==(const ClaimRecord&) const = default;
};

/// \return the record as JSON text
std::string EncodeClaim(const ClaimRecord& aRecord);
/// \return the record, or Internal for anything not made by EncodeClaim
Result<ClaimRecord> DecodeClaim(std::string_view aText);

/// \return SHA-256 of a request, hex
std::string RequestDigest(std::string_view aMethod, std::string_view aTarget,
                          std::string_view aBody);
/// \return whether a header of an answer is recorded
bool IsRecordedHeader(std::string_view aName);
/// Checks a caller's key: 1 to 255 visible ASCII characters.
/// \return BadRequest with the remedy, or nothing
std::optional<Error> CheckIdempotencyKey(std::string_view aKey);

/// What the owner of a ClaimCall does next.
enum class ClaimAction {
  Create,  ///< compare-and-swap the entry from absent to mValue
  Read,    ///< read the entry
  Run,     ///< send the call to the upstream
  Record,  ///< compare-and-swap the entry from mRevision to mValue
  Remove,  ///< compare-and-delete the entry at mRevision
  End,     ///< nothing more
};

struct ClaimStep {
  ClaimAction mNext = ClaimAction::End;
  Millis mPause;          ///< wait this long first
  int64_t mRevision = 0;  ///< for Record and Remove
  std::string mValue;     ///< for Create and Record
};

enum class ClaimOutcomeKind {
  Answer,  ///< the upstream's answer, just received
  Replay,  ///< the recorded answer of an earlier call
  Refuse,  ///< an error
};

/// What the caller is told.
struct ClaimOutcome {
  ClaimOutcomeKind mKind = ClaimOutcomeKind::Refuse;
  ClaimAnswer mAnswer;                    ///< for Answer and Replay
  Error mError{ErrorKind::Internal, ""};  ///< for Refuse
};

struct ClaimLimits {
  int mCreateTries = 3;
  int mReadTries = 3;
  int mCleanTries = 5;  ///< reads after a refusal, to remove what is left
  int mRecordTries = 8;
  int mRemoveTries = 4;
  Millis mPause{50};  ///< after the first failure; doubles
  Millis mLongestPause{4000};
  size_t mMaxBody = 512 * 1024;  ///< largest answer recorded whole
};

/// One non-idempotent call. Every event returns the next step. The caller is
/// answered as soon as Outcome() is set; steps may still follow it.
class ClaimCall {
 public:
  /// \param aNonce unique to this call: 128 random bits or more, as text
  ClaimCall(ClaimKey aKey, std::string aDigest, std::string aNonce,
            ClaimLimits aLimits = ClaimLimits());
  ~ClaimCall();

  ClaimStep Start();
  /// \name What the key-value service did
  /// @{
  /// It took the write; \p aRevision is the entry's after it.
  ClaimStep Applied(int64_t aRevision);
  /// The entry holds this: found by a read, or why a write was not applied.
  ClaimStep Found(std::string_view aValue, int64_t aModRevision);
  /// The entry is absent: by a read, or why a write was not applied.
  ClaimStep Absent();
  /// It certainly did not take the call (KvUnavailable), or a read failed.
  ClaimStep Unavailable();
  /// It may have taken the write (KvUncertain).
  ClaimStep Uncertain();
  /// @}
  /// \name How Run ended
  /// @{
  /// The upstream's whole answer was received.
  ClaimStep Answered(ClaimAnswer aAnswer);
  /// Nothing was sent, or the upstream refused before it ran anything.
  ClaimStep NotRun(Error aError);
  /// The call may have run; no whole answer was received.
  ClaimStep Lost(Error aError);
  /// @}

  /// \return what the caller is told, once it is known
  const std::optional<ClaimOutcome>& Outcome() const;
  /// \return whether the entry was left behind by a call that was not run, or
  /// an outcome could not be recorded
  bool LeftBehind() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
