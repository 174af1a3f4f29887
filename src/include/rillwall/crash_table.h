/// \file
/// Which requests have ended the replicas that ran them, and which of them are
/// not to be run again.
///
/// A request that crashes a replica crashes the next one too; its callers come
/// again, to any host. So what a host sees is kept beyond the attempt that it
/// saw it in, and shared: each host keeps the records that it made and those
/// that it was told (CrashSync, ViewExchange). A record names one request and
/// one replica that ended under it. Records are only ever added, or marked as
/// cleared, which stays: hosts that were told the same come out with the same,
/// in whatever order they heard of it, and a host that comes back with old
/// records undoes nothing.
///
/// Blame. All requests that ran at a replica when it ended are suspects, the
/// innocent ones too. A suspect is run on; the first whole answer to it, at any
/// host, clears it. One that has kCrashesToHold records not cleared is held:
/// no host runs it. While that news is on its way, hosts that have not heard it
/// may still send; an innocent one is held only if three replicas ended under
/// it in a row, without an answer in between.
///
/// Bounded. A record is forgotten kRecordLifetime after it was made, so that a
/// request that is held may be run again then; it costs three more replicas if
/// nothing has changed. Beyond kMaxRecords the cleared ones go first, then
/// those of requests with the fewest records, the oldest of them first:
/// somebody who sends many different requests does not push out those that are
/// held.
///
/// With K records, a lookup takes log K, what is told of one record some 200
/// bytes to each of H hosts, once.
///
/// Pure: the time of day is an argument. Hosts' clocks may differ by seconds,
/// against the hour that records are kept.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/request_digest.h"

namespace rillwall {

/// A replica ended while it ran a request.
struct CrashRecord {
  RequestDigest mRequest;
  std::string mReplica;      ///< one start of it
  int64_t mAtMs = 0;         ///< ms since 1970, by the host that saw it
  bool mCleared = false;     ///< the request has been answered since
  std::string mDescription;  ///< method, host and path, for operators
  bool operator==(const CrashRecord&) const = default;
};

/// What is known of one request.
struct Suspect {
  RequestDigest mRequest;
  std::vector<CrashRecord> mRecords;  ///< those that are not cleared
  bool mHeld = false;
};

class CrashTable {
 public:
  /// Replicas that end under a request before it is held. With one, whatever
  /// runs beside a request that crashes is held too: in three soaks all of one
  /// kind of plain requests. With two and with three it was some texts, and no
  /// plain request; three is the most that a request may end.
  static constexpr size_t kCrashesToHold = 3;
  /// With so many, a request is not tried at another replica within the same
  /// attempt: a third one would more likely end than answer.
  static constexpr size_t kCrashesToStopRetries = 2;
  /// How long a record counts: far over the time in which callers repeat what
  /// failed, and short enough that a mistake ends by itself.
  static constexpr Millis kRecordLifetime{3600000};
  /// Some 200 bytes each, a small part of the smallest host's 88 MB.
  static constexpr size_t kMaxRecords = 1024;

  /// Called when this host has made or cleared records.
  std::function<void()> mOnLocalChange;

  /// A replica ended under a request here.
  /// \return whether that is news
  bool AddCrash(CrashRecord aRecord);
  /// A request has been answered here, or an operator knows better.
  /// \return how many records were cleared by that
  size_t Clear(const RequestDigest& aRequest);
  /// Takes in what was told or read. \return records that were news
  std::vector<CrashRecord> Merge(const std::vector<CrashRecord>& aRecords);
  /// Forgets what is too old or too much.
  /// \param aNowMs time of day, in ms since 1970
  void Forget(int64_t aNowMs);

  /// \return whether there is any record that is not cleared
  bool HasSuspects() const { return mSuspects > 0; }
  /// \return replicas that ended under a request since it was answered last
  size_t Crashes(const RequestDigest& aRequest) const;
  /// \return whether a request is not to be run
  bool Held(const RequestDigest& aRequest) const {
    return Crashes(aRequest) >= kCrashesToHold;
  }
  /// \return how long a request is still held; 0 if it is not
  Millis HeldFor(const RequestDigest& aRequest, int64_t aNowMs) const;

  /// \return number of the last change, to be told from
  int64_t Number() const { return mNumber; }
  /// \return what changed after a number
  std::vector<CrashRecord> Since(int64_t aNumber) const;
  /// \return own records that are not in the store yet, some at a time
  std::vector<CrashRecord> Unsaved(size_t aMost) const;
  /// \return whether some of them are not marks that records are cleared
  bool UnsavedIsUrgent() const;
  /// These are in the store, as they were given out.
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
    int64_t mNumber = 0;    ///< of its last change
    bool mUnsaved = false;  ///< to be written to the store by this host
  };
  using Entries = std::map<Key, Entry>;
  /// Calls an action with each record of a request that is not cleared.
  template <class Action>
  void ForOpenRecords(const RequestDigest& aRequest, Action aAction) const;
  /// Adds a record or the mark that it is cleared. \return whether it is news
  bool Take(const CrashRecord& aRecord, bool aOwn);
  Entries::iterator Erase(Entries::iterator aAt);
  void Evict();

  Entries mRecords;
  int64_t mNumber = 0;
  size_t mSuspects = 0;  ///< records that are not cleared
};

}  // namespace rillwall
