#include "fair_queue.h"

#include <algorithm>

namespace rillwall {

namespace {
constexpr size_t kManyTenants = 1024;
}  // namespace

FairQueue::Tenant FairQueue::Find(std::string_view aName) {
  const auto found = mByName.find(aName);
  if (found != mByName.end()) {
    return found->second;
  }
  State state{.mName = std::string(aName), .mTime = mVirtual};
  Tenant tenant = static_cast<Tenant>(mTenants.size());
  if (const auto idle = Idle()) {
    tenant = *idle;
    mByName.erase(mTenants[tenant].mName);
    mTenants[tenant] = std::move(state);
  } else {
    mTenants.push_back(std::move(state));
  }
  mByName.emplace(std::string(aName), tenant);
  return tenant;
}

std::optional<FairQueue::Tenant> FairQueue::Idle() const {
  if (mTenants.size() < kManyTenants) {
    return std::nullopt;
  }
  for (Tenant tenant = 0; tenant < mTenants.size(); ++tenant) {
    const State& state = mTenants[tenant];
    // One that is ahead of its time would be let off by a new start.
    const bool idle = state.mQueue.empty() && state.mRunning == 0 &&
                      state.mTime <= mVirtual && state.mShare == 1;
    if (idle) {
      return tenant;
    }
  }
  return std::nullopt;
}

void FairQueue::ResetShares() {
  for (State& state : mTenants) {
    state.mShare = 1;
  }
}

void FairQueue::SetShare(Tenant aTenant, int64_t aShare) {
  mTenants[aTenant].mShare = static_cast<double>(std::max<int64_t>(aShare, 1));
}

FairQueue::Position FairQueue::Push(Tenant aTenant, uint64_t aTicket) {
  State& state = mTenants[aTenant];
  if (state.mQueue.empty()) {
    state.mTime = std::max(state.mTime, mVirtual);
    mBacklogged.emplace(state.mTime, aTenant);
  }
  ++mSize;
  return state.mQueue.insert(state.mQueue.end(), aTicket);
}

void FairQueue::Remove(Tenant aTenant, Position aPosition) {
  State& state = mTenants[aTenant];
  state.mQueue.erase(aPosition);
  --mSize;
  if (state.mQueue.empty()) {
    mBacklogged.erase({state.mTime, aTenant});
  }
}

double FairQueue::Ahead(Tenant aTenant) const {
  const State& state = mTenants[aTenant];
  double shares = state.mQueue.empty() ? state.mShare : 0;
  for (const auto& [time, tenant] : mBacklogged) {
    shares += mTenants[tenant].mShare;
  }
  const double own = static_cast<double>(state.mQueue.size());
  return std::min(own * shares / state.mShare + shares / state.mShare - 1,
                  static_cast<double>(mSize));
}

std::optional<uint64_t> FairQueue::Newest() const {
  const State* most = nullptr;
  for (const auto& [time, tenant] : mBacklogged) {
    const State& state = mTenants[tenant];
    const auto length = [](const State& aState) {
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
  State& state = mTenants[aTenant];
  if (state.mQueue.empty()) {
    state.mTime = std::max(state.mTime, mVirtual);
  }
  mVirtual = std::max(mVirtual, state.mTime);
  ++state.mRunning;
  Move(aTenant, aTokens);
}

void FairQueue::Ended(Tenant aTenant, int64_t aTokens) {
  --mTenants[aTenant].mRunning;
  Move(aTenant, aTokens);
}

void FairQueue::Move(Tenant aTenant, int64_t aTokens) {
  State& state = mTenants[aTenant];
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
