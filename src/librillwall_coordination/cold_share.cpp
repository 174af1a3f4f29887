#include "rillwall/cold_share.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rillwall {

namespace {

constexpr double kClientsPart = 0.5;
constexpr double kOwnerPart = 0.5;
/// Assumed before any host has told how many there are: twice the largest
/// deployment that is planned for.
constexpr size_t kUnknownHosts = 4096;
/// A second, and a tenth more for requests that arrive later than others.
constexpr Millis kWindow{1100};

/// \return a number from 0 to 1 that is the same at each look
double Draw(const std::string& aHost, const std::string& aReplica) {
  const std::string text = aHost + '\n' + aReplica;
  constexpr double kRange = 18446744073709551616.0;  // of 64 bits
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
    return std::max<int64_t>(1, static_cast<int64_t>(aRate * kOwnerPart));
  }
  const auto hosts = static_cast<double>(mHosts == 0 ? kUnknownHosts : mHosts);
  const double each = aRate * kClientsPart / hosts;
  if (each >= 1) {
    return static_cast<int64_t>(each);
  }
  return Draw(mHost, aReplica) < each ? 1 : 0;
}

void SendWindow::Sent(Millis aNow, int64_t aMost) {
  mSent.push_back(aNow);
  while (mSent.size() > static_cast<size_t>(std::max<int64_t>(aMost, 1))) {
    mSent.pop_front();
  }
}

bool SendWindow::Allows(int64_t aMost, Millis aNow) const {
  const auto recent =
      std::count_if(mSent.begin(), mSent.end(),
                    [aNow](const Millis& aAt) { return aNow - aAt < kWindow; });
  return recent < aMost;
}

}  // namespace rillwall
