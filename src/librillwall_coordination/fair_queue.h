/// \file
/// Weighted fair queueing between tenants by served tokens.
///
/// Start-time fair queueing: every tenant has a virtual time, which its served
/// tokens move on at a rate inverse to its share; the tenant furthest behind
/// goes first. A tenant that comes back from idleness starts at the virtual
/// time of the last call started, so that it is served next but has saved up
/// nothing. Within a tenant the order is that of arrival.
/// Sans-IO and single-threaded.

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

class FairQueue {
 public:
  using Tenant = uint32_t;
  using Position = std::list<uint64_t>::iterator;

  /// \return the tenant of this name, made on first use with share 1. Of very
  /// many tenants one that has no calls gives up its place.
  Tenant Find(std::string_view aName);
  void SetShare(Tenant aTenant, int64_t aShare);
  /// Sets all shares to 1.
  void ResetShares();

  /// \return a handle for Remove()
  Position Push(Tenant aTenant, uint64_t aTicket);
  void Remove(Tenant aTenant, Position aPosition);

  size_t Size() const { return mSize; }
  size_t Size(Tenant aTenant) const { return mTenants[aTenant].mQueue.size(); }
  /// \return how many calls go before a new one of this tenant, estimated
  double Ahead(Tenant aTenant) const;
  /// \return the newest ticket of the tenant that has most queued for its
  /// share, the one to shed first; nothing if empty
  std::optional<uint64_t> Newest() const;

  /// Offers the tenants' first tickets in fair order until one is taken.
  /// \param aTake bool(uint64_t ticket): whether it was started
  /// \return the ticket taken, by now removed
  template <class Take>
  std::optional<uint64_t> TakeFirst(Take&& aTake) {
    for (const auto& entry : mBacklogged) {
      // A copy: taking a ticket moves its tenant within the order.
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
  /// \param aVisit bool(uint64_t ticket): whether to go on with this tenant
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

  /// A tenant's call was started, from the queue or past it.
  /// \param aTokens what it is expected to take
  void Started(Tenant aTenant, int64_t aTokens);
  /// A started call ended.
  /// \param aTokens what it took more than expected; negative: less
  void Ended(Tenant aTenant, int64_t aTokens);

  /// \return tokens served to a tenant
  int64_t Served(Tenant aTenant) const { return mTenants[aTenant].mServed; }
  size_t Tenants() const { return mTenants.size(); }
  const std::string& Name(Tenant aTenant) const {
    return mTenants[aTenant].mName;
  }

 private:
  struct State {
    std::string mName;
    double mShare = 1;
    double mTime = 0;
    int64_t mServed = 0;
    int64_t mRunning = 0;
    std::list<uint64_t> mQueue;
  };
  using Order = std::set<std::pair<double, Tenant>>;

  void Move(Tenant aTenant, int64_t aTokens);
  std::optional<Tenant> Idle() const;

  std::vector<State> mTenants;
  std::map<std::string, Tenant, std::less<>> mByName;
  Order mBacklogged;
  double mVirtual = 0;
  size_t mSize = 0;
};

}  // namespace rillwall
