/// \file
/// Weighted fair queueing between tenants by served tokens.
///
/// Start-time fair queueing: every tenant has a virtual time that its served
/// tokens advance at a rate inverse to its share, and the tenant with the
/// lowest virtual time is served first. A tenant that was idle restarts at the
/// virtual time of the last call started, so it is served next but gets no
/// credit for its idle time. Calls of one tenant are served in the order of
/// arrival. Sans-IO and single-threaded.

#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rillwall {

/// Queue of tickets with weighted fair order between tenants.
class FairQueue {
 public:
  using Tenant = uint32_t;
  using Position = std::list<uint64_t>::iterator;

  /// \return the tenant with this name, added with share 1 on first use. If
  /// there are very many tenants, one without calls is replaced.
  Tenant FindOrAdd(std::string_view aName);
  void SetShare(Tenant aTenant, int64_t aShare);
  /// Sets all shares to 1.
  void ResetShares();

  /// \return a handle for Remove()
  Position Push(Tenant aTenant, uint64_t aTicket);
  void Remove(Tenant aTenant, Position aPosition);

  size_t Size() const { return mSize; }
  size_t Size(Tenant aTenant) const { return mTenants[aTenant].mQueue.size(); }
  /// \return estimated number of calls that start before a new one of the
  /// tenant
  double CallsAhead(Tenant aTenant) const;
  /// \return the ticket to shed first, or nothing if the queue is empty: the
  /// newest one of the tenant with the longest queue relative to its share
  std::optional<uint64_t> ShedCandidate() const;

  /// Offers the tenants' first tickets in fair order until one is taken.
  /// \param aTake bool(uint64_t ticket): whether the call was started
  /// \return the ticket taken, which has been removed
  template <class Take>
  std::optional<uint64_t> TakeFirst(Take&& aTake) {
    for (const auto& entry : mBacklogged) {
      // A copy, because taking a ticket changes the position of its tenant.
      const Tenant tenant = entry.second;
      const uint64_t ticket = mTenants[tenant].mQueue.front();
      if (aTake(ticket)) {
        Remove(tenant, mTenants[tenant].mQueue.begin());
        return ticket;
      }
    }
    return std::nullopt;
  }

  /// Visits tickets tenant by tenant in fair order, oldest first.
  /// \param aVisit bool(uint64_t ticket): whether to continue with this tenant
  template <class Visit>
  void ForEach(Visit&& aVisit) const {
    for (const auto& [time, tenant] : mBacklogged) {
      for (const uint64_t ticket : mTenants[tenant].mQueue) {
        if (!aVisit(ticket)) {
          break;
        }
      }
    }
  }

  /// Charges a tenant for a call that started, from the queue or directly.
  /// \param aTokens expected tokens
  void Started(Tenant aTenant, int64_t aTokens);
  /// Corrects the charge for a started call that ended.
  /// \param aTokens actual minus expected tokens
  void Ended(Tenant aTenant, int64_t aTokens);

  /// \return whether a tenant has been served more than its share, compared
  /// with the tenant of the last call started
  bool Ahead(Tenant aTenant) const {
    return mTenants[aTenant].mTime > mVirtualTime;
  }
  /// \return tokens served to a tenant
  int64_t Served(Tenant aTenant) const { return mTenants[aTenant].mServed; }
  size_t Tenants() const { return mTenants.size(); }
  const std::string& Name(Tenant aTenant) const {
    return mTenants[aTenant].mName;
  }

 private:
  struct TenantState {
    std::string mName;
    double mShare = 1;
    double mTime = 0;  ///< virtual time
    int64_t mServed = 0;
    int64_t mRunning = 0;
    std::list<uint64_t> mQueue;
  };
  using Order = std::set<std::pair<double, Tenant>>;

  /// Advances the virtual time of a tenant.
  void Charge(Tenant aTenant, int64_t aTokens);
  /// \return a tenant without calls that may be replaced, if there are many
  std::optional<Tenant> FindReusable() const;

  std::vector<TenantState> mTenants;
  std::map<std::string, Tenant, std::less<>> mByName;
  Order mBacklogged;        ///< tenants with queued calls, by virtual time
  double mVirtualTime = 0;  ///< of the last call started
  size_t mSize = 0;
};

}  // namespace rillwall
