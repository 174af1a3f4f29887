#include "upstream_table.h"

#include <algorithm>

namespace rillwall {

namespace {

constexpr int64_t kFailuresToOpen = 3;
constexpr Millis kCircuitOpenTime{1000};

bool AcceptsCalls(const UpstreamEntry& aEntry, Millis aNow) {
  const int64_t openUntil =
      aEntry.mLoad->mOpenUntil.load(std::memory_order_relaxed);
  return !aEntry.mLeaving && openUntil <= aNow.Count();
}

int64_t InFlight(const UpstreamEntry& aEntry) {
  return aEntry.mLoad->mInFlight.load(std::memory_order_relaxed);
}

}  // namespace

UpstreamTable::UpstreamTable(std::vector<UpstreamEntry> aEntries)
    : mEntries(std::move(aEntries)) {
  std::ranges::sort(mEntries, {}, [](const UpstreamEntry& aEntry) {
    return std::string_view(aEntry.mUpstream.mId);
  });
}

const UpstreamEntry* UpstreamTable::Find(std::string_view aId) const {
  const auto found = std::ranges::lower_bound(
      mEntries, aId, {}, [](const UpstreamEntry& aEntry) {
        return std::string_view(aEntry.mUpstream.mId);
      });
  const bool same = found != mEntries.end() && found->mUpstream.mId == aId;
  return same ? &*found : nullptr;
}

const UpstreamEntry* UpstreamTable::Choose(UpstreamKind aKind,
                                           std::string_view aName,
                                           std::string_view aZone,
                                           uint64_t aRandom,
                                           Millis aNow) const {
  std::vector<const UpstreamEntry*> candidates;
  for (const UpstreamEntry& entry : mEntries) {
    const bool named = aName.empty() || entry.mUpstream.mName == aName;
    if (entry.mUpstream.mKind == aKind && named && AcceptsCalls(entry, aNow)) {
      candidates.push_back(&entry);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  constexpr int kHalfBits = 32;
  const UpstreamEntry* first =
      candidates[(aRandom >> kHalfBits) % candidates.size()];
  const UpstreamEntry* second =
      candidates[(aRandom & 0xffffffffU) % candidates.size()];
  if (InFlight(*first) != InFlight(*second)) {
    return InFlight(*first) < InFlight(*second) ? first : second;
  }
  return second->mUpstream.mZone == aZone ? second : first;
}

InFlightCall::InFlightCall(std::shared_ptr<UpstreamLoad> aLoad)
    : mLoad(std::move(aLoad)) {
  mLoad->mInFlight.fetch_add(1, std::memory_order_relaxed);
}

InFlightCall::~InFlightCall() {
  mLoad->mInFlight.fetch_sub(1, std::memory_order_relaxed);
}

void InFlightCall::End(bool aFailed, Millis aNow) {
  if (!aFailed) {
    mLoad->mFailures.store(0, std::memory_order_relaxed);
    return;
  }
  const int64_t failures =
      mLoad->mFailures.fetch_add(1, std::memory_order_relaxed) + 1;
  if (failures >= kFailuresToOpen) {
    mLoad->mOpenUntil.store((aNow + kCircuitOpenTime).Count(),
                            std::memory_order_relaxed);
  }
}

}  // namespace rillwall
