#include "rillwall/replica_load.h"

#include <algorithm>
#include <array>
#include <string>

#include "rillwall/numbers.h"

namespace rillwall {

namespace {

/// Above any real replica; a larger figure is a fault of the sender.
constexpr int64_t kMaxRequests = 1'000'000;
/// A hundred times the usual time. A replica that is slower serves nobody.
constexpr int64_t kMaxWorkPercent = 10'000;

struct Figure {
  const char* mName;
  int64_t mLeast;
  int64_t mMost;
};

constexpr std::array<Figure, 4> kFigures = {{{"running", 0, kMaxRequests},
                                             {"waiting", 0, kMaxRequests},
                                             {"slots", 1, kMaxRequests},
                                             {"percent", 1, kMaxWorkPercent}}};
constexpr size_t kRequiredFigures = 3;

/// Assumed time of a request while none has been observed.
constexpr double kAssumedWorkMs = 30;
/// The usual time is a low quantile of the observed times: requests of several
/// times the work, and waits that the host does not know of, only lengthen.
constexpr double kWorkQuantile = 0.4;
/// Relative step of the quantile per observation.
constexpr double kWorkStep = 0.1;
constexpr double kSlotTimeWeight = 0.1;

/// A percentage that the host derives from its own requests is kept longer than
/// a reported one, as such requests are seldom.
constexpr Millis kObservedMaxAge{2000};
constexpr double kObservedWeight = 0.5;
constexpr double kLeastObservedPercent = 20;
constexpr double kMostObservedPercent = 1000;
/// Periods whose percentages are kept. A median of five is rarely a slow one
/// while one period in six is slow.
constexpr size_t kPastPercents = 5;
constexpr double kUsualPercent = 100;

constexpr double kRoundTripWeight = 0.2;

constexpr double kErrorWeight = 0.4;
constexpr Millis kErrorMaxAge{5000};

/// Time for which a replica is avoided after a failed health check, and the
/// time after it in which failed checks are ignored, so that a request shows
/// whether it serves.
constexpr Millis kUnhealthySpan{1000};
constexpr Millis kHealthTrialSpan{1000};
/// Time for which failed checks are ignored after a request was served.
constexpr Millis kServedSpan{10000};

/// \return weight of a figure, falling from 1 to 0 over its maximum age
double WeightAt(Millis aAge, Millis aMaxAge) {
  const double share =
      static_cast<double>(aAge.Count()) / static_cast<double>(aMaxAge.Count());
  return std::clamp(1 - share, 0.0, 1.0);
}

void Blend(std::optional<double>& aMean, double aValue, double aWeight) {
  aMean = aMean ? *aMean * (1 - aWeight) + aValue * aWeight : aValue;
}

}  // namespace

Result<ReplicaLoad> ParseReplicaLoad(std::string_view aText) {
  std::array<int64_t, kFigures.size()> values{};
  size_t count = 0;
  bool more = true;
  while (more && count < kFigures.size()) {
    const size_t comma = aText.find(',');
    const Figure& figure = kFigures[count];
    const std::optional<int64_t> value = ParseNumber(aText.substr(0, comma));
    if (!value || *value < figure.mLeast || *value > figure.mMost) {
      return Error(ErrorKind::BadRequest,
                   std::string("The load report's figure '") + figure.mName +
                       "' is not a number from " +
                       std::to_string(figure.mLeast) + " to " +
                       std::to_string(figure.mMost) + ".");
    }
    values[count] = *value;
    ++count;
    more = comma != std::string_view::npos;
    aText.remove_prefix(more ? comma + 1 : aText.size());
  }
  if (count < kRequiredFigures) {
    return Error(ErrorKind::BadRequest,
                 "The load report has fewer than three figures.");
  }
  ReplicaLoad report{values[0], values[1], values[2], std::nullopt};
  if (count > kRequiredFigures) {
    report.mWorkPercent = values[kRequiredFigures];
  }
  return report;
}

void WorkTimes::ObserveWork(const std::string& aRoute, double aMs) {
  for (const std::string& key : {aRoute, std::string()}) {
    const auto [at, added] = mUsual.try_emplace(key, aMs);
    if (!added) {
      at->second *= aMs > at->second ? 1 + kWorkStep * kWorkQuantile
                                     : 1 - kWorkStep * (1 - kWorkQuantile);
    }
    if (aRoute.empty()) {
      return;
    }
  }
}

void WorkTimes::ObserveSlotTime(double aMs) {
  mSlotMs = mSlotMs == 0
                ? aMs
                : mSlotMs * (1 - kSlotTimeWeight) + aMs * kSlotTimeWeight;
}

double WorkTimes::UsualMs(const std::string& aRoute) const {
  auto found = mUsual.find(aRoute);
  if (found == mUsual.end()) {
    found = mUsual.find(std::string());
  }
  return found == mUsual.end() ? kAssumedWorkMs : found->second;
}

double WorkTimes::SlotMs() const {
  return mSlotMs == 0 ? UsualMs(std::string()) : mSlotMs;
}

void CurrentLoad::Report(const ReplicaLoad& aReport, int64_t aOwn,
                         Millis aNow) {
  mReport = aReport;
  mReportedAt = aNow;
  mOthers = std::max<int64_t>(0, aReport.mRunning + aReport.mWaiting - aOwn);
  const bool newPeriod =
      mPastPercents.empty() || aNow - mPastAt >= kPercentMaxAge;
  if (aReport.mWorkPercent && newPeriod) {
    mPastPercents.push_back(*aReport.mWorkPercent);
    mPastAt = aNow;
    if (mPastPercents.size() > kPastPercents) {
      mPastPercents.erase(mPastPercents.begin());
    }
  }
}

double CurrentLoad::UsualPercent() const {
  if (mPastPercents.empty()) {
    return kUsualPercent;
  }
  std::vector<int64_t> sorted = mPastPercents;
  std::sort(sorted.begin(), sorted.end());
  return static_cast<double>(sorted[(sorted.size() - 1) / 2]);
}

void CurrentLoad::ObservePercent(double aPercent, Millis aNow) {
  if (aNow - mObservedAt > kObservedMaxAge) {
    mObservedPercent.reset();
  }
  Blend(mObservedPercent,
        std::clamp(aPercent, kLeastObservedPercent, kMostObservedPercent),
        kObservedWeight);
  mObservedAt = aNow;
}

void CurrentLoad::ObserveRoundTrip(Millis aSpan) {
  Blend(mRoundTripMs, static_cast<double>(aSpan.Count()), kRoundTripWeight);
}

void CurrentLoad::ObserveAnswer(bool aError, Millis aNow) {
  mErrorShare =
      ErrorShare(aNow) * (1 - kErrorWeight) + (aError ? kErrorWeight : 0);
  mErrorsAt = aNow;
  if (!aError) {
    mAvoidUntil = Millis();
    mHealthIgnoredUntil = aNow + kServedSpan;
  }
}

void CurrentLoad::ObserveUnhealthy(Millis aNow) {
  if (aNow >= mHealthIgnoredUntil) {
    mAvoidUntil = aNow + kUnhealthySpan;
    mHealthIgnoredUntil = mAvoidUntil + kHealthTrialSpan;
  }
}

bool CurrentLoad::Recent(Millis aNow) const {
  return mReport && aNow - mReportedAt < kRequestsMaxAge;
}

std::optional<Millis> CurrentLoad::Age(Millis aNow) const {
  return mReport ? std::optional(aNow - mReportedAt) : std::nullopt;
}

double CurrentLoad::OtherRequests(double aTypical, Millis aNow) const {
  const double weight =
      mReport ? WeightAt(aNow - mReportedAt, kRequestsMaxAge) : 0;
  return static_cast<double>(mOthers) * weight + aTypical * (1 - weight);
}

double CurrentLoad::Percent(Millis aNow) const {
  if (mReport && mReport->mWorkPercent) {
    const double weight = WeightAt(aNow - mReportedAt, kPercentMaxAge);
    return static_cast<double>(*mReport->mWorkPercent) * weight +
           UsualPercent() * (1 - weight);
  }
  if (!mObservedPercent) {
    return kUsualPercent;
  }
  const double weight = WeightAt(aNow - mObservedAt, kObservedMaxAge);
  return *mObservedPercent * weight + kUsualPercent * (1 - weight);
}

double CurrentLoad::ErrorShare(Millis aNow) const {
  return mErrorShare * WeightAt(aNow - mErrorsAt, kErrorMaxAge);
}

}  // namespace rillwall
