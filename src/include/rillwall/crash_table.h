/// \file
/// Records of replicas that crashed while they ran a request, and the requests
/// that are held, i.e. not run again, because of them.
///
/// A request that crashes one replica crashes the next one too, and its callers
/// retry it at any host. The records therefore outlive the attempt in which a
/// host made them, and hosts share them (CrashSync, ViewExchange). A record
/// names one request and one replica that crashed while it ran it. Records are
/// only added or marked as cleared, and a cleared record stays cleared. Hosts
/// that received the same records are therefore in the same state, in whatever
/// order they received them, and a host that returns with old records reverts
/// nothing.
///
/// Suspects: all requests that ran at a replica when it crashed are suspects,
/// including those that did not cause the crash. Suspects are still run. The
/// first complete response to a suspect, at any host, clears it. A request with
/// kCrashesToHold records that are not cleared is held: no host runs it. Hosts
/// that have not received the latest records yet may still send it. A harmless
/// request is held only if three replicas in a row crashed while they ran it,
/// without a response in between.
///
/// Progress: a request that is answered by events resumes after the last event
/// that was received. A replica that delivers a later event has survived the
/// point at which an earlier replica crashed, so that the request did not cause
/// that crash. This clears the earlier record (ClearBefore). A text that is hit
/// by crashes of other origin is therefore held only if three replicas crash
/// without one event more, while a request that crashes every replica at the
/// same point is held after three.
///
/// Crashes without a cause among the requests: a crash whose requests have all
/// been cleared was caused by none of them. A record that was made within
/// kSameCauseSpan of such a crash of another replica, which did not run the
/// request, does not count towards a hold: several replicas were ended together
/// from outside. The hold of a harmless request therefore ends when the
/// requests that ran elsewhere at that time have been answered. Where only a
/// bad request crashes replicas, no crash is without a cause.
///
/// Limits: a record expires kRecordLifetime after it was made. A held request
/// may then run again, which costs three more replicas if nothing has changed.
/// Beyond kMaxRecords records, cleared records are evicted first, then records
/// of the requests with the fewest records, oldest first. A client that sends
/// many different requests therefore cannot evict the records of held requests.
///
/// With K records, a lookup costs O(log K). Each record is sent once to each of
/// H hosts, in some 200 bytes.
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

/// Records that a replica crashed while it ran a request.
struct CrashRecord {
  RequestDigest mRequest;
  /// Identifies one process of the replica, not only the replica.
  std::string mReplica;
  /// Time of day at the host that saw the crash, in ms since 1970.
  int64_t mAtMs = 0;
  bool mCleared = false;     ///< the request has been answered since
  std::string mDescription;  ///< method, host and path, for operators
  /// Events of the response that were received before the crash, including
  /// those of earlier runs; kAllEvents: no later event clears the record.
  int64_t mEvents = 0;
  static constexpr int64_t kAllEvents = std::numeric_limits<int64_t>::max();
  bool operator==(const CrashRecord&) const = default;
};

/// State of one request that has records.
struct Suspect {
  RequestDigest mRequest;
  std::vector<CrashRecord> mRecords;  ///< records that are not cleared
  bool mHeld = false;
};

/// Crash records by request and replica.
class CrashTable {
 public:
  /// Crashes after which a request is held. With one, every request that runs
  /// beside a crashing request is held too, including harmless plain requests;
  /// with two and with three, only some texts are. Three is the most replicas
  /// that one request may crash.
  static constexpr size_t kCrashesToHold = 3;
  /// Crashes after which a request is not retried at another replica within the
  /// same attempt, because a third replica would more likely crash than answer.
  static constexpr size_t kCrashesToStopRetries = 2;
  /// Lifetime of a record: much longer than callers keep retrying a failed
  /// request, and short enough that a request that was held by mistake is
  /// released automatically.
  static constexpr Millis kRecordLifetime{3600000};
  /// Replicas that are ended together, for example with their rack, end within
  /// this time.
  static constexpr Millis kSameCauseSpan{1000};
  /// At some 200 bytes each, a small part of the 88 MB of the smallest host.
  static constexpr size_t kMaxRecords = 1024;

  /// Called when this host has added or cleared records.
  std::function<void()> mOnLocalChange;

  /// Records that a replica crashed here while it ran a request.
  /// \return whether the record is new
  bool AddCrash(CrashRecord aRecord);
  /// Clears the records of a request, because it was answered here or an
  /// operator decided so.
  /// \return number of records that were cleared
  size_t Clear(const RequestDigest& aRequest);
  /// Clears the records of crashes before an event of a request's response,
  /// because a replica has delivered that event.
  /// \param aEvents number of the event
  /// \return number of records that were cleared
  size_t ClearBefore(const RequestDigest& aRequest, int64_t aEvents);
  /// Adds records from other hosts or from the store.
  /// \return the records that were new or newly cleared
  std::vector<CrashRecord> Merge(const std::vector<CrashRecord>& aRecords);
  /// Drops expired records.
  /// \param aNowMs time of day, in ms since 1970
  void Forget(int64_t aNowMs);

  /// \return whether any record is not cleared
  bool HasSuspects() const { return mSuspects > 0; }
  /// \return number of replicas that crashed with this request since it was
  /// last answered
  size_t Crashes(const RequestDigest& aRequest) const;
  /// \return whether a request must not be run
  bool Held(const RequestDigest& aRequest) const {
    return Crashes(aRequest) >= kCrashesToHold &&
           CountingTimes(aRequest).size() >= kCrashesToHold;
  }
  /// \return how long a request is still held; 0 if it is not held
  Millis HeldFor(const RequestDigest& aRequest, int64_t aNowMs) const;

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
  /// One crash of a replica.
  struct Crash {
    size_t mRecords = 0;
    size_t mUncleared = 0;  ///< records that are not cleared
    int64_t mAtMs = 0;      ///< time of the record that was added first
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
  /// Adds a record or its cleared mark.
  /// \param aLocal whether this host made the change
  /// \return whether that changed anything
  bool Apply(const CrashRecord& aRecord, bool aLocal);
  /// Clears the records of a request that a predicate selects.
  /// \return number of records that were cleared
  template <class Predicate>
  size_t ClearIf(const RequestDigest& aRequest, Predicate aSelects);
  /// \return times of the records that count towards a hold of a request
  std::vector<int64_t> CountingTimes(const RequestDigest& aRequest) const;
  /// \return whether a replica that did not run the request crashed at about
  /// the same time as the one of a record, and none of its requests was the
  /// cause
  bool CrashedWithoutCauseNear(const CrashRecord& aRecord) const;
  Entries::iterator Erase(Entries::iterator aAt);
  void Evict();

  Entries mRecords;
  std::map<std::string, Crash> mCrashes;  ///< by replica
  int64_t mNumber = 0;
  size_t mSuspects = 0;  ///< records that are not cleared
};

}  // namespace rillwall
