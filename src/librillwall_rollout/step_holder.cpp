/// \file
/// Finds the node that already runs a submission, so that two nodes do not
/// generate its texts.
///
/// A step runs while its record is being written to a store that does not
/// answer (rollout_accept.cpp), and its sender submits it again meanwhile. The
/// repeated submission may reach another node, because the lead has changed or
/// did not answer in time, and the record does not show yet that the step runs.
/// Nodes therefore ask each other before they start such a step. Whoever writes
/// the record fetches the texts from the node that has run the step.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rillwall/event_log.h"
#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// After the store failed to answer here, or this node became the lead, for so
/// long a submission may be a repeated one that runs elsewhere without a
/// record. Senders submit again every few seconds.
constexpr Millis kUnsettledPeriod{30000};

}  // namespace

struct RolloutService::HolderSearch {
  explicit HolderSearch(asio::io_context& aIo) : mDone(aIo) {
    mDone.expires_at(asio::steady_timer::time_point::max());
  }
  size_t mUnanswered = 0;
  std::optional<StepHolder> mFound;
  asio::steady_timer mDone;  ///< cancelled when the search has ended
};

void RolloutService::RecordUnsettled() { mUnsettledAt = mNode.Now(); }

bool RolloutService::MayRunElsewhere() const {
  // Entry hosts accept steps only if they reach no lead.
  return mNode.mIdentity.mTakesClients ||
         (mUnsettledAt && mNode.Now() - *mUnsettledAt < kUnsettledPeriod);
}

asio::awaitable<void> RolloutService::AskHolder(
    std::shared_ptr<HolderSearch> aSearch, std::string aAddress,
    std::string aId) {
  const std::optional<OwnerState> state =
      co_await AskOwnerState(mNode, aAddress);
  --aSearch->mUnanswered;
  if (state && state->mHolding.contains(aId) && !aSearch->mFound) {
    aSearch->mFound = StepHolder{aAddress, state->mRun};
  }
  if (aSearch->mFound || aSearch->mUnanswered == 0) {
    aSearch->mDone.cancel();
  }
}

asio::awaitable<std::optional<RolloutService::StepHolder>>
RolloutService::FindHolder(std::string aId) {
  const std::vector<std::string> peers = mPeers();
  const auto search = std::make_shared<HolderSearch>(mNode.mIo);
  search->mUnanswered = peers.size();
  for (const std::string& address : peers) {
    Launch(mNode.mIo, "ask-holder", AskHolder(search, address, aId));
  }
  while (!search->mFound && search->mUnanswered > 0) {
    co_await search->mDone.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return search->mFound;
}

asio::awaitable<void> RolloutService::CollectTexts(StepPtr aStep) {
  const std::string& id = aStep->Id();
  const Millis begun = mNode.Now();
  const std::optional<StepHolder> holder = co_await FindHolder(id);
  if (holder && aStep->mRunning) {
    HandoverRequest request{id, holder->mRun, aStep->mRevision,
                            mNode.mIdentity.mAddress};
    std::vector<RolloutPart> parts =
        co_await FetchTexts(mNode, holder->mAddress, std::move(request));
    const int64_t restored = aStep->mTracker.RestoreTexts(
        UsableParts(aStep->mTracker, std::move(parts)), false);
    Event("texts-collected")
        .Id(id)
        .Text("node", holder->mAddress)
        .Number("events", restored)
        .Number("took_ms", (mNode.Now() - begun).Count())
        .Write();
    mNode.mMetrics.Count("texts_collected_total");
  }
  aStep->mAwaitsTexts = false;
  ScheduleFlush(aStep);
  StartReadyItems();
}

}  // namespace rillwall
