/// \file
/// The engine verb.

#include "engine_server.h"
#include "verbs.h"

namespace rillwall::standin {

namespace {

constexpr HttpLimits kEngineLimits;

void RunEngine(const EngineOptions& aOptions) {
  Control control({"/journal"});
  EngineServer server(aOptions, control);
  Serve(
      aOptions.mServe, control,
      [&](const HttpRequest& aRequest,
          HttpExchange& aExchange) -> asio::awaitable<void> {
        return server.Handle(aRequest, aExchange);
      },
      kEngineLimits,
      [&](asio::io_context& aContext) { server.Start(aContext); });
}

}  // namespace

void AddEngineVerb(CLI::App& aApp) {
  auto options = std::make_shared<EngineOptions>();
  CLI::App* verb = aApp.add_subcommand("engine", "A model engine");
  AddServeOptions(*verb, options->mServe);
  EngineSettings& settings = options->mSettings;
  verb->add_option("--model", options->mModel, "Model served");
  verb->add_option("--zone", options->mZone, "Availability zone, for logs");
  verb->add_option("--weights", options->mWeightStore,
                   "ip:port of the weight store for orders without a host");
  verb->add_option("--version", options->mVersion, "First weight version");
  verb->add_option("--slots", settings.mSlots, "Streams batched at most");
  verb->add_option("--queue", settings.mQueue, "Streams waiting at most");
  verb->add_option("--rate", settings.mRate,
                   "Tokens per second of a lone stream");
  verb->add_option("--batch-cost", settings.mBatchCost,
                   "Slowdown of each stream per stream in the batch");
  verb->add_option("--prefill-rate", settings.mPrefillRate,
                   "Prompt tokens per second");
  verb->add_option("--cache-tokens", settings.mCacheTokens,
                   "Memory for streams and prefixes, in tokens");
  verb->add_option("--chunk-ms", options->mChunkMillis,
                   "Time between two chunks of a stream");
  verb->add_option("--swap-ms", options->mSwapMillis,
                   "How long a swap stops decoding");
  verb->add_option("--load-lag-ms", options->mLoadLagMillis,
                   "Lag of /load at the start");
  verb->add_option("--event-lag-ms", options->mEventLagMillis,
                   "Lag of /events");
  verb->callback([options] { RunEngine(*options); });
}

}  // namespace rillwall::standin
