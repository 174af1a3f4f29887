/// \file
/// Records of replicas that crashed while they ran a request, and the requests
/// that are held, i.e. not run again, because of them.
///
/// A request that crashes one replica crashes the next one too, and its callers
/// retry it at any host. The records therefore outlive the attempt in which a
/// host made them, and hosts share them (CrashSync, ViewExchange). A record
/// names one request and one replica that crashed while it ran it. Records are
/// only added, or raised in their standing (CrashStanding), which never falls.
/// Hosts that received the same records are therefore in the same state, in
/// whatever order they received them, and a host that returns with old records
/// reverts nothing.
///
/// Suspects: all requests that ran at a replica when it crashed are suspects,
/// including those that did not cause the crash. Suspects are still run. The
/// first complete response to a suspect, at any host, clears it.
///
/// Requests of callers are held. What counts towards a hold:
/// - Only a run that the replica had begun. If nothing shows that the replica
///   was alive when the request arrived, the record is unproven. It does not
///   count, but hosts send the request over new connections from then on, and a
///   replica that accepts one is alive.
/// - Crashes one after the other: the host that sent the request knew of the
///   earlier crash, or the replica crashed kSameMomentSpan later. Other crashes
///   count once: replicas that are ended at one moment while they all run one
///   frequent request are one crash.
///
/// Progress: a stream resumes after the last event that its client received. A
/// replica that delivers a later event has survived the point at which an
/// earlier replica crashed, so that the request did not crash that one there
/// (PassEvent).
///
/// A request is held after kCrashesToHold crashes at one point, or kMaxCrashes
/// crashes if it gets further between them. Bound: if a request crashes every
/// replica, one at a time, that number of replicas crash, and one more if the
/// first crash comes within a round trip of the request on a reused connection.
/// Hosts that have not received the latest records yet may still send it.
///
/// Owed requests (CrashRecord::mOwed) were handed in to be run later. They are
/// never held, except by an operator: replicas crash under them by chance. The
/// number of their crashes only spaces their runs (CrashPacer).
///
/// Limits: a record expires kRecordLifetime after it was made. A held request
/// may then run again, which costs as many replicas if nothing has changed.
/// Beyond kMaxRecords records, cleared records are evicted first, then records
/// of the requests with the fewest records, oldest first. A client that sends
/// many different requests therefore cannot evict the records of held requests.
///
/// With K records, a lookup costs O(log K), and one of a request with three
/// crashes or more O(K). Each record is sent once to each of H hosts, in some
/// 200 bytes.
///
/// Pure: the time of day is an argument. Clocks of hosts may differ by seconds,
/// which is small against the hour that records are kept.

#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/request_digest.h"

namespace rillwall {

/// What a crash says about a request that was at the replica. Values rise only.
enum class CrashStanding {
  Unproven,  ///< the replica may have crashed before the request arrived
  Suspect,   ///< the request may have crashed the replica
  Passed,    ///< another replica has survived the point of the crash since
  Cleared,   ///< the request did not cause the crash
};

/// Records that a replica crashed while it ran a request.
struct CrashRecord {
  RequestDigest mRequest;
  /// Identifies one process of the replica, not only the replica.
  std::string mReplica;
  /// Time of day at the host that saw the crash, in ms since 1970.
  int64_t mAtMs = 0;
  bool mCleared = false;     ///< see CrashStanding::Cleared
  std::string mDescription;  ///< method, host and path, for operators
  /// Events of the response that were received before the crash, including
  /// those of earlier runs; kAllEvents: no later event clears the record.
  int64_t mEvents = 0;
  static constexpr int64_t kAllEvents = std::numeric_limits<int64_t>::max();
  /// Time of day when the request was sent; 0: unknown.
  int64_t mSentMs = 0;
  /// 1, or one more than the highest order among the records of the request
  /// that the host knew when it sent the request.
  int64_t mOrder = 1;
  bool mReached = true;  ///< false: see CrashStanding::Unproven
  bool mPassed = false;  ///< see CrashStanding::Passed
  /// The request was handed in to be run later, so that it must be run in the
  /// end: an item of a step, or its scorer call.
  bool mOwed = false;

  /// Prefix of the name that takes the place of a replica in the records of an
  /// operator's hold.
  static constexpr char kOperatorPrefix[] = "by-hand-";
  bool ByOperator() const { return mReplica.starts_with(kOperatorPrefix); }
  CrashStanding Standing() const {
    return mCleared    ? CrashStanding::Cleared
           : mPassed   ? CrashStanding::Passed
           : !mReached ? CrashStanding::Unproven
                       : CrashStanding::Suspect;
  }
  bool operator==(const CrashRecord&) const = default;
};

/// State of one request that has records.
struct Suspect {
  RequestDigest mRequest;
  std::vector<CrashRecord> mRecords;  ///< suspect and passed ones
  bool mHeld = false;
};

/// Crash records by request and replica.
class CrashTable {
 public:
  /// Crashes without progress after which a request is held. With one, every
  /// request that runs beside a crashing request is held too, including
  /// harmless plain requests; with two and with three, only some texts are.
  static constexpr size_t kCrashesToHold = 3;
  /// Crashes after which a request is held that gets further between them.
  /// Texts that are hit by chance have fewer.
  static constexpr size_t kMaxCrashes = 6;
  /// Crashes after which a request is not retried at another replica within the
  /// same attempt, because a third replica would more likely crash than answer.
  static constexpr size_t kCrashesToStopRetries = 2;
  /// Lifetime of a record: much longer than callers keep retrying a failed
  /// request, and short enough that a request that was held by mistake is
  /// released automatically.
  static constexpr Millis kRecordLifetime{3600000};
  /// Hosts see the ends of replicas that are ended at one moment within this
  /// time. A request that crashes replicas does so as it is run, at different
  /// times.
  static constexpr Millis kSameMomentSpan{50};
  /// At some 200 bytes each, a small part of the 88 MB of the smallest host.
  static constexpr size_t kMaxRecords = 1024;

  /// Called when this host has added or cleared records.
  std::function<void()> mOnLocalChange;

  /// Records that a replica crashed here while it ran a request.
  /// \return whether the record is new
  bool AddCrash(const CrashRecord& aRecord);
  /// Clears the records of a request, because it was answered here or an
  /// operator decided so.
  /// \return number of records that were cleared
  size_t Clear(const RequestDigest& aRequest);
  /// Marks the records of crashes before an event of a request's response as
  /// passed, because a replica has delivered that event.
  /// \param aEvents number of the event
  /// \return number of records that were marked
  size_t PassEvent(const RequestDigest& aRequest, int64_t aEvents);
  /// Adds records from other hosts or from the store.
  /// \return the records that were new or newly cleared
  std::vector<CrashRecord> Merge(const std::vector<CrashRecord>& aRecords);
  /// Drops expired records.
  /// \param aNowMs time of day, in ms since 1970
  void Forget(int64_t aNowMs);

  /// \return whether any record is not cleared
  bool HasSuspects() const { return mSuspects > 0; }
  /// \return number of replicas that are recorded as crashed by this request,
  /// possibly, since it was last answered or got further
  size_t Crashes(const RequestDigest& aRequest) const;
  /// \return number of replicas that crashed while they ran this request or as
  /// it was sent to them, since it was last answered. Without an operator's
  /// hold.
  size_t CrashesMet(const RequestDigest& aRequest) const;
  /// \return whether any record of a request is not cleared
  bool Knows(const RequestDigest& aRequest) const;
  /// \return CrashRecord::mOrder of a run that is sent now
  int64_t NextOrder(const RequestDigest& aRequest) const;
  /// \return whether a request must not be run, unless it is owed
  bool Held(const RequestDigest& aRequest) const;
  /// \return how long a request is still held; 0 if it is not held
  Millis HeldFor(const RequestDigest& aRequest, int64_t aNowMs) const;
  /// \return how long an operator holds a request; 0 if none does
  Millis HeldByOperatorFor(const RequestDigest& aRequest, int64_t aNowMs) const;

  /// \return sequence number of the last change, to pass to Since()
  int64_t Number() const { return mNumber; }
  /// \return the records that changed after a sequence number
  std::vector<CrashRecord> Since(int64_t aNumber) const;
  /// \return records of this host that are not in the store yet, at most aLimit
  std::vector<CrashRecord> Unsaved(size_t aLimit) const;
  /// \return whether any unsaved record is a crash and not only a cleared mark
  bool UnsavedIsUrgent() const;
  /// Marks records as saved, if they have not changed since Unsaved() returned
  /// them.
  void MarkSaved(const std::vector<CrashRecord>& aRecords);
  /// \return all requests with records that are not cleared
  std::vector<Suspect> Suspects() const;
  size_t Size() const { return mRecords.size(); }

 private:
  struct Key {
    RequestDigest mRequest;
    std::string mReplica;
    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    CrashRecord mRecord;
    int64_t mNumber = 0;    ///< sequence number of its last change
    bool mUnsaved = false;  ///< this host must write it to the store
  };
  using Entries = std::map<Key, Entry>;
  /// Calls aAction with each record of a request that is not cleared.
  template <class Action>
  void ForEachUnclearedRecord(const RequestDigest& aRequest,
                              Action aAction) const;
  /// Adds a record or raises its standing.
  /// \param aLocal whether this host made the change
  /// \return whether that changed anything
  bool Apply(const CrashRecord& aRecord, bool aLocal);
  /// Changes the records of a request that a predicate selects.
  /// \param aChange raises the standing of a record
  /// \return number of records that were changed
  template <class Predicate, class Change>
  size_t Raise(const RequestDigest& aRequest, Predicate aSelects,
               Change aChange);
  /// \param aMost highest standing that is counted: Suspect or Passed
  /// \return times of the records that count towards a hold of a request,
  /// ascending
  std::vector<int64_t> CountingTimes(const RequestDigest& aRequest,
                                     CrashStanding aMost) const;
  /// \return time of day until which a request is held; nothing if it is not
  std::optional<int64_t> HeldUntil(const RequestDigest& aRequest) const;
  Entries::iterator Erase(Entries::iterator aAt);
  void Evict();

  Entries mRecords;
  int64_t mNumber = 0;
  size_t mSuspects = 0;  ///< records that are not cleared
};

}  // namespace rillwall
