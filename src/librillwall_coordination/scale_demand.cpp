#include "rillwall/scale_demand.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {

/// Resolution of the remembered peaks.
constexpr Millis kInterval{5000};
/// How long peaks are remembered. A trainer that pauses for a shorter time
/// finds its slots when it returns; without them its first step would be late.
constexpr Millis kMemory{300000};
/// Share of the slots that texts may take at the peak of all trainers. A full
/// batch slows all of its texts down.
constexpr int64_t kMaxFillPercent = 85;
constexpr int64_t kPercent = 100;

/// Longest time of a text, relative to the longest one seen: longer texts come,
/// and texts on slow replicas take longer.
constexpr double kLongestFactor = 1.5;

/// Time constant of the average; two steps of a trainer.
constexpr double kAverageMs = 8000;
/// Bounds of the utilization, and the value that is restored outside of them.
constexpr double kMaxUtilization = 0.8;
constexpr double kMinUtilization = 0.5;
constexpr double kTargetUtilization = 0.65;

}  // namespace

int64_t SlotsByDueTime(const StepDemand& aStep) {
  // With S slots and work W, every order of the texts ends within W / S plus
  // the longest text (Graham's bound).
  const double spare = static_cast<double>(aStep.mDueIn.Count()) -
                       aStep.mLongestMs * kLongestFactor;
  if (aStep.mLongestMs <= 0 || spare <= 0) {
    return aStep.mTexts;
  }
  const double slots = std::ceil(aStep.mWorkMs / spare);
  return slots >= static_cast<double>(aStep.mTexts)
             ? aStep.mTexts
             : static_cast<int64_t>(slots);
}

void ScaleDemand::Observe(const std::vector<StepDemand>& aSteps, int64_t aOther,
                          Millis aNow) {
  if (mPeaks.empty() || aNow - mPeaks.back().mFrom >= kInterval) {
    mPeaks.push_back({aNow, {}, 0, 0});
  }
  while (aNow - mPeaks.front().mFrom > kMemory) {
    mPeaks.pop_front();
  }
  std::map<std::string, int64_t> slots;
  int64_t all = 0;
  int64_t texts = 0;
  for (StepDemand step : aSteps) {
    double& longest = mLongestMs[step.mTrainer];
    longest = std::max(longest, step.mLongestMs);
    step.mLongestMs = longest;
    const int64_t needed = SlotsByDueTime(step);
    slots[step.mTrainer] += needed;
    all += needed;
    texts += step.mTexts;
  }
  Peaks& peaks = mPeaks.back();
  for (const auto& [trainer, needed] : slots) {
    int64_t& peak = peaks.mByTrainer[trainer];
    peak = std::max(peak, needed);
  }
  peaks.mAtOnce = std::max(peaks.mAtOnce, all);
  peaks.mOther = std::max(peaks.mOther, aOther);
  mSeen = mSeen || !aSteps.empty();
  ObserveAverage(texts + aOther, aNow);
  std::erase_if(mLongestMs, [this](const auto& aEntry) {
    return std::none_of(mPeaks.begin(), mPeaks.end(), [&](const Peaks& aOne) {
      return aOne.mByTrainer.contains(aEntry.first);
    });
  });
}

void ScaleDemand::ObserveAverage(int64_t aTexts, Millis aNow) {
  const auto past = static_cast<double>((aNow - mObservedAt).Count());
  const double weight = 1 - std::exp(-past / kAverageMs);
  mObservedAt = aNow;
  mAverage += (static_cast<double>(aTexts) - mAverage) * weight;
  const auto slots = static_cast<double>(mUtilizationSlots);
  if (mAverage > slots * kMaxUtilization ||
      mAverage < slots * kMinUtilization) {
    mUtilizationSlots = std::llround(std::ceil(mAverage / kTargetUtilization));
  }
}

SlotNeed ScaleDemand::Need() const {
  std::map<std::string, int64_t> byTrainer;
  SlotNeed need;
  int64_t other = 0;
  for (const Peaks& peaks : mPeaks) {
    for (const auto& [trainer, peak] : peaks.mByTrainer) {
      byTrainer[trainer] = std::max(byTrainer[trainer], peak);
    }
    need.mTextsAtOnce = std::max(need.mTextsAtOnce, peaks.mAtOnce);
    other = std::max(other, peaks.mOther);
  }
  for (const auto& [trainer, peak] : byTrainer) {
    need.mTextsByTrainer += peak;
  }
  if (mPolicy == ScalePolicy::Utilization) {
    need.mUsual = mUtilizationSlots;
    return need;
  }
  // The phases of the trainers drift, so that all of them may submit at once.
  const int64_t usual = need.mTextsByTrainer + other;
  need.mUsual = (usual * kPercent + kMaxFillPercent - 1) / kMaxFillPercent;
  need.mLeast = need.mTextsAtOnce + other;
  return need;
}

}  // namespace rillwall
