/// \file
/// The engine subcommand.

#include "commands.h"
#include "engine_server.h"

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

void AddEngineCommand(CLI::App& aApp) {
  auto options = std::make_shared<EngineOptions>();
  CLI::App* command = aApp.add_subcommand("engine", "A model engine");
  AddServeOptions(*command, options->mServe);
  EngineSettings& settings = options->mSettings;
  command->add_option("--model", options->mModel, "Model to serve");
  command->add_option("--zone", options->mZone, "Availability zone, for logs");
  command->add_option("--weights", options->mWeightStore,
                      "ip:port of the weight store for orders without a host");
  command->add_option("--version", options->mVersion, "Initial weight version");
  command->add_option("--slots", settings.mSlots,
                      "Maximum streams in the batch");
  command->add_option("--queue", settings.mQueue, "Maximum waiting streams");
  command->add_option("--rate", settings.mRate,
                      "Tokens per second of a single stream");
  command->add_option("--batch-cost", settings.mBatchCost,
                      "Relative slowdown per stream in the batch");
  command->add_option("--prefill-rate", settings.mPrefillRate,
                      "Prompt tokens per second");
  command->add_option("--cache-tokens", settings.mCacheTokens,
                      "Memory for streams and cached prefixes, in tokens");
  command->add_option("--chunk-ms", options->mChunkMillis,
                      "Interval between the chunks of a stream");
  command->add_option("--swap-ms", options->mSwapMillis,
                      "Pause of decoding during a weight swap");
  command->add_option("--load-lag-ms", options->mLoadLagMillis,
                      "Initial age of the reports of /load");
  command->add_option("--event-lag-ms", options->mEventLagMillis,
                      "Delay of events in /events");
  command->callback([options] { RunEngine(*options); });
}

}  // namespace rillwall::standin
