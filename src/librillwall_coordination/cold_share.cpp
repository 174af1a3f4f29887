#include "rillwall/cold_share.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rillwall {

namespace {

constexpr double kClientShare = 0.5;
constexpr double kOwnerShare = 0.5;
/// Number of hosts assumed while it is unknown: twice the largest planned
/// deployment.
constexpr size_t kAssumedHosts = 4096;
/// A second, plus a tenth for requests that are delayed on their way.
constexpr Millis kWindow{1100};

/// \return a number from 0 to 1 that depends only on the host and the replica
double HashFraction(const std::string& aHost, const std::string& aReplica) {
  const std::string text = aHost + '\n' + aReplica;
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(XXH64(text.data(), text.size(), 0)) / kRange;
}

}  // namespace

void ColdShare::SetHost(std::string aHost, bool aTakesClients) {
  mHost = std::move(aHost);
  mTakesClients = aTakesClients;
}

void ColdShare::SetHostCount(size_t aHosts) { mHosts = aHosts; }

int64_t ColdShare::PerSecond(const std::string& aReplica, double aRate) const {
  if (!mTakesClients) {
    return std::max<int64_t>(1, static_cast<int64_t>(aRate * kOwnerShare));
  }
  const auto hosts = static_cast<double>(mHosts == 0 ? kAssumedHosts : mHosts);
  const double perHost = aRate * kClientShare / hosts;
  if (perHost >= 1) {
    return static_cast<int64_t>(perHost);
  }
  return HashFraction(mHost, aReplica) < perHost ? 1 : 0;
}

void SendWindow::Sent(Millis aNow, int64_t aLimit) {
  mSent.push_back(aNow);
  while (mSent.size() > static_cast<size_t>(std::max<int64_t>(aLimit, 1))) {
    mSent.pop_front();
  }
}

bool SendWindow::Allows(int64_t aLimit, Millis aNow) const {
  const auto recent =
      std::count_if(mSent.begin(), mSent.end(),
                    [aNow](const Millis& aAt) { return aNow - aAt < kWindow; });
  return recent < aLimit;
}

}  // namespace rillwall
