#include "fair_queue.h"

#include <algorithm>

namespace rillwall {

namespace {
constexpr size_t kTenantReuseThreshold = 1024;
}  // namespace

FairQueue::Tenant FairQueue::FindOrAdd(std::string_view aName) {
  const auto found = mByName.find(aName);
  if (found != mByName.end()) {
    return found->second;
  }
  TenantState state{.mName = std::string(aName), .mTime = mVirtualTime};
  Tenant tenant = static_cast<Tenant>(mTenants.size());
  if (const auto idle = FindReusable()) {
    tenant = *idle;
    mByName.erase(mTenants[tenant].mName);
    mTenants[tenant] = std::move(state);
  } else {
    mTenants.push_back(std::move(state));
  }
  mByName.emplace(std::string(aName), tenant);
  return tenant;
}

std::optional<FairQueue::Tenant> FairQueue::FindReusable() const {
  if (mTenants.size() < kTenantReuseThreshold) {
    return std::nullopt;
  }
  for (Tenant tenant = 0; tenant < mTenants.size(); ++tenant) {
    const TenantState& state = mTenants[tenant];
    // A tenant ahead of the virtual time stays: replacing it would forgive the
    // tokens that it was served in advance.
    const bool idle = state.mQueue.empty() && state.mRunning == 0 &&
                      state.mTime <= mVirtualTime && state.mShare == 1;
    if (idle) {
      return tenant;
    }
  }
  return std::nullopt;
}

void FairQueue::ResetShares() {
  for (TenantState& state : mTenants) {
    state.mShare = 1;
  }
}

void FairQueue::SetShare(Tenant aTenant, int64_t aShare) {
  mTenants[aTenant].mShare = static_cast<double>(std::max<int64_t>(aShare, 1));
}

FairQueue::Position FairQueue::Push(Tenant aTenant, uint64_t aTicket) {
  TenantState& state = mTenants[aTenant];
  if (state.mQueue.empty()) {
    state.mTime = std::max(state.mTime, mVirtualTime);
    mBacklogged.emplace(state.mTime, aTenant);
  }
  ++mSize;
  return state.mQueue.insert(state.mQueue.end(), aTicket);
}

void FairQueue::Remove(Tenant aTenant, Position aPosition) {
  TenantState& state = mTenants[aTenant];
  state.mQueue.erase(aPosition);
  --mSize;
  if (state.mQueue.empty()) {
    mBacklogged.erase({state.mTime, aTenant});
  }
}

double FairQueue::CallsAhead(Tenant aTenant) const {
  const TenantState& state = mTenants[aTenant];
  double shares = state.mQueue.empty() ? state.mShare : 0;
  for (const auto& [time, tenant] : mBacklogged) {
    shares += mTenants[tenant].mShare;
  }
  const double own = static_cast<double>(state.mQueue.size());
  return std::min(own * shares / state.mShare + shares / state.mShare - 1,
                  static_cast<double>(mSize));
}

std::optional<uint64_t> FairQueue::ShedCandidate() const {
  const TenantState* most = nullptr;
  for (const auto& [time, tenant] : mBacklogged) {
    const TenantState& state = mTenants[tenant];
    const auto length = [](const TenantState& aState) {
      return static_cast<double>(aState.mQueue.size()) / aState.mShare;
    };
    if (!most || length(state) > length(*most)) {
      most = &state;
    }
  }
  if (!most) {
    return std::nullopt;
  }
  return most->mQueue.back();
}

void FairQueue::Started(Tenant aTenant, int64_t aTokens) {
  TenantState& state = mTenants[aTenant];
  if (state.mQueue.empty()) {
    state.mTime = std::max(state.mTime, mVirtualTime);
  }
  mVirtualTime = std::max(mVirtualTime, state.mTime);
  ++state.mRunning;
  Charge(aTenant, aTokens);
}

void FairQueue::Ended(Tenant aTenant, int64_t aTokens) {
  --mTenants[aTenant].mRunning;
  Charge(aTenant, aTokens);
}

void FairQueue::Charge(Tenant aTenant, int64_t aTokens) {
  TenantState& state = mTenants[aTenant];
  const bool backlogged = !state.mQueue.empty();
  if (backlogged) {
    mBacklogged.erase({state.mTime, aTenant});
  }
  state.mServed += aTokens;
  state.mTime += static_cast<double>(aTokens) / state.mShare;
  if (backlogged) {
    mBacklogged.emplace(state.mTime, aTenant);
  }
}

}  // namespace rillwall
