// Dump of the dispatcher's state as JSON.

#include <boost/json.hpp>

#include "dispatcher_impl.h"

namespace rillwall {

namespace {

boost::json::object DumpEngine(const EngineState& aEngine, double aPrior,
                               Millis aNow) {
  const LoadReport& report = aEngine.LastReport();
  return {{"id", aEngine.Info().mId},
          {"zone", aEngine.Info().mZone},
          {"leaving", aEngine.Leaving()},
          {"breaker", BreakerStateName(aEngine.Circuit().State())},
          {"interactive", aEngine.OwnCalls(CallClass::Interactive)},
          {"training", aEngine.OwnCalls(CallClass::Training)},
          {"load", aEngine.Load(aPrior, aNow)},
          {"limit", aEngine.Limit(CallClass::Interactive, aNow)},
          {"version", report.mVersion},
          {"report_age_ms", (aNow - report.mAt).Count()}};
}

boost::json::array DumpQueue(const FairQueue& aQueue) {
  boost::json::array tenants;
  for (FairQueue::Tenant tenant = 0; tenant < aQueue.Tenants(); ++tenant) {
    tenants.push_back(
        boost::json::object{{"name", aQueue.Name(tenant)},
                            {"queued", aQueue.Size(tenant)},
                            {"served_tokens", aQueue.Served(tenant)}});
  }
  return tenants;
}

}  // namespace

std::string Dispatcher::Impl::Dump() const {
  boost::json::array models;
  for (const auto& [name, model] : mModels) {
    boost::json::array engines;
    for (const EngineState* engine : model->mPool.Engines()) {
      engines.push_back(DumpEngine(*engine, model->mPool.Prior(), mNow));
    }
    models.push_back(
        boost::json::object{{"model", name},
                            {"engines", std::move(engines)},
                            {"interactive", DumpQueue(model->mInteractive)},
                            {"training", DumpQueue(model->mTraining)},
                            {"preempting", model->mPreempting}});
  }
  const boost::json::object dump = {{"models", std::move(models)},
                                    {"calls", mCalls.size()},
                                    {"queued", mQueuedCalls},
                                    {"started", mCounts.mStarted},
                                    {"refused", mCounts.mRefused},
                                    {"preempted", mCounts.mPreempted},
                                    {"retries", mCounts.mRetries},
                                    {"retries_denied", mBudget.Denied()},
                                    {"retry_balance", mBudget.Balance()}};
  return boost::json::serialize(dump);
}

}  // namespace rillwall
