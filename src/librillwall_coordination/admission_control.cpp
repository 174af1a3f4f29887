#include "rillwall/admission_control.h"

#include <functional>
#include <map>

#include "service_admission.h"

namespace rillwall {

namespace {

/// Accounts come from the configuration; this bounds them after many changes of
/// it.
constexpr size_t kMaxAccounts = 4096;

}  // namespace

const char* AdmissionReasonName(AdmissionReason aReason) {
  switch (aReason) {
    case AdmissionReason::Unknown:
      return "unknown";
    case AdmissionReason::InTime:
      return "in-time";
    case AdmissionReason::Promised:
      return "promised";
    case AdmissionReason::Queued:
      return "queued";
    case AdmissionReason::TooLate:
      return "too-late";
    case AdmissionReason::Reserved:
      return "reserved";
    case AdmissionReason::Waited:
      return "waited";
  }
  return "unknown";
}

/// Services and accounts by name.
class AdmissionControl::Impl {
 public:
  explicit Impl(uint64_t aSeed) : mSeed(aSeed) {}

  ServiceAdmission& Service(const std::string& aName) {
    const uint64_t seed = mSeed + std::hash<std::string>()(aName);
    return mServices.try_emplace(aName, seed).first->second;
  }
  const ServiceAdmission* Find(std::string_view aName) const {
    const auto found = mServices.find(aName);
    return found == mServices.end() ? nullptr : &found->second;
  }
  ServiceAdmission* Find(std::string_view aName) {
    const auto found = mServices.find(aName);
    return found == mServices.end() ? nullptr : &found->second;
  }
  AccountUse& Account(const AdmissionCall& aCall) {
    if (mAccounts.size() >= kMaxAccounts &&
        !mAccounts.contains(aCall.mAccount)) {
      mAccounts.clear();
    }
    AccountUse& use = mAccounts[aCall.mAccount];
    use.mAccount = aCall.mAccount;
    return use;
  }
  void Waits(const AdmissionCall& aCall, bool aBegins) {
    AccountUse& use = Account(aCall);
    if (aBegins) {
      ++use.mWaiting;
    } else if (use.mWaiting > 0) {
      --use.mWaiting;
    }
  }

  std::map<std::string, ServiceAdmission, std::less<>> mServices;
  std::map<std::string, AccountUse> mAccounts;

 private:
  const uint64_t mSeed;
};

AdmissionControl::AdmissionControl(uint64_t aSeed)
    : mImpl(std::make_unique<Impl>(aSeed)) {}
AdmissionControl::~AdmissionControl() = default;
AdmissionControl::AdmissionControl(AdmissionControl&&) noexcept = default;
AdmissionControl& AdmissionControl::operator=(AdmissionControl&&) noexcept =
    default;

AdmissionDecision AdmissionControl::Arrive(
    const AdmissionCall& aCall, const std::optional<AnswerEstimate>& aEstimate,
    Millis aNow) {
  const AdmissionDecision decision =
      mImpl->Service(aCall.mService).Arrive(aCall, aEstimate, aNow);
  AccountUse& use = mImpl->Account(aCall);
  use.mPriority = aCall.mPriority;
  use.mLastUse = aNow;
  use.mAdmitted += decision.mAction == AdmissionAction::Send ? 1 : 0;
  use.mRefused += decision.mAction == AdmissionAction::Refuse ? 1 : 0;
  use.mWaiting += decision.mAction == AdmissionAction::Wait ? 1 : 0;
  return decision;
}

std::optional<uint64_t> AdmissionControl::StartNext(
    std::string_view aService, const std::optional<AnswerEstimate>& aEstimate,
    Millis aNow) {
  ServiceAdmission* service = mImpl->Find(aService);
  const std::optional<AdmissionCall> call =
      service == nullptr ? std::nullopt : service->StartNext(aEstimate, aNow);
  if (!call) {
    return std::nullopt;
  }
  mImpl->Waits(*call, false);
  ++mImpl->Account(*call).mAdmitted;
  return call->mTicket;
}

AdmissionDecision AdmissionControl::Refuse(
    const AdmissionCall& aCall, AdmissionReason aReason,
    const std::optional<AnswerEstimate>& aEstimate, Millis aNow) {
  Abandon(aCall);
  ++mImpl->Account(aCall).mRefused;
  return mImpl->Service(aCall.mService).Refuse(aCall, aReason, aEstimate, aNow);
}

void AdmissionControl::Abandon(const AdmissionCall& aCall) {
  if (mImpl->Service(aCall.mService).Abandon(aCall.mTicket)) {
    mImpl->Waits(aCall, false);
  }
}

void AdmissionControl::Sent(const AdmissionCall& aCall) {
  mImpl->Service(aCall.mService).Sent();
}

void AdmissionControl::Ended(const AdmissionCall& aCall, Millis aSpan) {
  mImpl->Service(aCall.mService).Ended(aCall, aSpan);
}

bool AdmissionControl::RefusedByReplica(const AdmissionCall& aCall,
                                        Millis aNow) {
  return mImpl->Service(aCall.mService).RefusedByReplica(aNow);
}

bool AdmissionControl::MaySend(const AdmissionCall& aCall,
                               const std::optional<AnswerEstimate>& aEstimate,
                               Millis aNow) const {
  const ServiceAdmission* service = mImpl->Find(aCall.mService);
  return service == nullptr || service->MaySend(aCall, aEstimate, aNow);
}

size_t AdmissionControl::Waiting(std::string_view aService) const {
  const ServiceAdmission* service = mImpl->Find(aService);
  return service == nullptr ? 0 : service->Waiting();
}

std::vector<AdmissionCounts> AdmissionControl::Services() const {
  std::vector<AdmissionCounts> all;
  for (const auto& [name, service] : mImpl->mServices) {
    all.push_back(service.Counts());
    all.back().mService = name;
  }
  return all;
}

std::vector<AccountUse> AdmissionControl::Accounts() const {
  std::vector<AccountUse> all;
  for (const auto& [name, use] : mImpl->mAccounts) {
    all.push_back(use);
  }
  return all;
}

}  // namespace rillwall
