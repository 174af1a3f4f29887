/// \file
/// The protocol that runs a non-idempotent call at most once.
///
/// Before the first byte is sent to an upstream, a claim for (house, service,
/// key) is created in the key-value service by compare-and-swap. Only the
/// creator of the claim, identified by its nonce, runs the call. Only the
/// creator removes the claim, and only if nothing was sent. The call therefore
/// runs at most once even if responses of the key-value service are lost, late
/// or duplicated. The outcome is then recorded in the claim, and repeated calls
/// are answered from that record.
///
/// A claim can outlive a call that was not run, if the key-value service did
/// not respond or the node died. The key is then blocked (outcome-unknown): the
/// caller has to check the upstream's records and use another key.
///
/// The code performs no I/O: the owner of a ClaimCall reports events to it and
/// carries out the actions that it returns.

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

/// Identifies the call that a claim is for.
struct ClaimKey {
  std::string mHouse;
  std::string mService;
  std::string mKey;  ///< value of the caller's Idempotency-Key header

  /// \return the key of the claim's entry in the key-value service,
  /// "claim/<house>/<service>/<key>" with each part percent-encoded
  std::string Path() const;
  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ClaimKey&) const = default;
};

/// A header of a recorded response.
struct ClaimHeader {
  std::string mName;
  std::string mValue;
  bool operator==(const ClaimHeader&) const = default;
};

/// A complete response of an upstream, as recorded and replayed.
struct ClaimAnswer {
  int mStatus = 0;
  std::vector<ClaimHeader> mHeaders;
  std::string mBody;
  bool mBodyOmitted = false;  ///< the body was too large to be recorded
  bool operator==(const ClaimAnswer&) const = default;
};

/// Whether the outcome of the claimed call is recorded.
enum class ClaimState { Claimed, Done };

/// A claim as stored in the key-value service.
struct ClaimRecord {
  ClaimKey mKey;
  std::string mNonce;   ///< nonce of the call that created the claim
  std::string mDigest;  ///< digest of the request
  ClaimState mState = ClaimState::Claimed;
  ClaimAnswer mAnswer;  ///< set if mState is Done
  bool operator==(const ClaimRecord&) const = default;
};

/// \return the record as JSON text
std::string EncodeClaim(const ClaimRecord& aRecord);
/// \return the record, or an Internal error if EncodeClaim did not make the
/// text
Result<ClaimRecord> DecodeClaim(std::string_view aText);

/// \return the SHA-256 digest of a request, in hexadecimal
std::string RequestDigest(std::string_view aMethod, std::string_view aTarget,
                          std::string_view aBody);
/// \return whether a response header is recorded in the claim
bool IsRecordedHeader(std::string_view aName);
/// Checks that a caller's key consists of 1 to 255 visible ASCII characters.
/// \return a BadRequest error that names the remedy, or nothing if the key is
/// valid
std::optional<Error> CheckIdempotencyKey(std::string_view aKey);

/// The next action for the owner of a ClaimCall.
enum class ClaimAction {
  Create,  ///< compare-and-swap the entry from absent to mValue
  Read,    ///< read the entry
  Run,     ///< send the call to the upstream
  Record,  ///< compare-and-swap the entry from mRevision to mValue
  Remove,  ///< compare-and-delete the entry at mRevision
  End,     ///< the call has ended; no action follows
};

/// An action with its parameters.
struct ClaimStep {
  ClaimAction mNext = ClaimAction::End;
  Millis mPause;          ///< delay before the action
  int64_t mRevision = 0;  ///< expected revision; for Record and Remove
  std::string mValue;     ///< entry to write; for Create and Record
};

/// The kind of response that the caller receives.
enum class ClaimOutcomeKind {
  Answer,  ///< the upstream's response, just received
  Replay,  ///< the recorded response of an earlier call
  Refuse,  ///< an error; the call was refused or its outcome is unknown
};

/// The response to the caller.
struct ClaimOutcome {
  ClaimOutcomeKind mKind = ClaimOutcomeKind::Refuse;
  ClaimAnswer mAnswer;                    ///< set for Answer and Replay
  Error mError{ErrorKind::Internal, ""};  ///< set for Refuse
};

/// Numbers of attempts, backoff and size limits of a ClaimCall.
struct ClaimLimits {
  int mMaxCreateAttempts = 3;
  int mMaxReadAttempts = 3;
  int mMaxCleanupReads = 5;  ///< reads that look for a claim to remove
  int mMaxRecordAttempts = 8;
  int mMaxRemoveAttempts = 4;
  Millis mInitialBackoff{50};  ///< delay after the first failure; doubles
  Millis mMaxBackoff{4000};
  size_t mMaxRecordedBody = 512 * 1024;  ///< bytes; larger bodies are omitted
};

/// State machine of one non-idempotent call. Every event returns the next step.
/// The caller can be answered as soon as Outcome() is set; further steps may
/// follow.
class ClaimCall {
 public:
  /// \param aDigest RequestDigest() of the request
  /// \param aNonce unique to this call: at least 128 random bits, as text
  ClaimCall(ClaimKey aKey, std::string aDigest, std::string aNonce,
            ClaimLimits aLimits = ClaimLimits());
  ~ClaimCall();

  /// Begins the call. Invoke once, before any event.
  ClaimStep Start();
  /// \name Results of the key-value service
  /// @{
  /// The write was applied; \p aRevision is the new revision of the entry.
  ClaimStep Applied(int64_t aRevision);
  /// The entry exists with this value, according to a read or to a write that
  /// was not applied because of it.
  ClaimStep Found(std::string_view aValue, int64_t aModRevision);
  /// The entry is absent, according to a read or to a write that was not
  /// applied because of it.
  ClaimStep Absent();
  /// The write was certainly not applied (error KvUnavailable), or a read
  /// failed.
  ClaimStep Unavailable();
  /// The write may have been applied (error KvUncertain).
  ClaimStep Uncertain();
  /// @}
  /// \name Results of the action Run
  /// @{
  /// The upstream's complete response was received.
  ClaimStep Answered(ClaimAnswer aAnswer);
  /// Nothing was sent, or the upstream refused the call without running it.
  ClaimStep NotRun(Error aError);
  /// The call may have run, but no complete response was received.
  ClaimStep Lost(Error aError);
  /// @}

  /// \return the response to the caller, once it is known
  const std::optional<ClaimOutcome>& Outcome() const;
  /// \return whether the entry could not be removed after a call that was not
  /// run, or the outcome of a call could not be recorded
  bool LeftBehind() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
