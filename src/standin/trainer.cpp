/// \file
/// The trainer verb.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <iostream>

#include "control_serve.h"
#include "trainer_result.h"
#include "verbs.h"

namespace rillwall::standin {

namespace {

constexpr int64_t kMillisPerSecond = 1000;

template <class Value>
Value OrFail(Result<Value> aResult) {
  if (!aResult.has_value()) {
    std::cerr << "trainer: " << aResult.error().Message() << std::endl;
    throw CLI::RuntimeError(1);
  }
  return std::move(aResult.value());
}

void RunTrainer(const TrainerOptions& aOptions) {
  auto inputs = OrFail(ReadInputs(aOptions.mInputs));
  const auto engines = OrFail(NodeSet::Parse(aOptions.mEngines));
  asio::io_context context(1);
  HttpClient client(context);
  NodeSet nodes(
      client, OrFail(NodeSet::Parse(aOptions.mNodes)), aOptions.mToken,
      Millis(aOptions.mPatienceSeconds * kMillisPerSecond), aOptions.mSeed);
  TrainerLog log;
  TrainerProgress progress = OrFail(log.Open(aOptions.mState));
  TrainerRun run(context, aOptions, std::move(inputs), nodes, client, log,
                 std::move(progress));
  TruthCounts truth;
  bool ended = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await run.Run();
        if (!engines.empty()) {
          const EngineJournals journals =
              co_await ReadJournals(client, engines);
          truth = CompareLabels(journals, run.Progress().mLabels,
                                aOptions.mEngineRestarts);
        }
        ended = true;
      },
      asio::detached);
  while (!ended && context.run_one() > 0) {
  }
  const json::object result = TrainerResult(
      aOptions, run.Progress(), run.Figures(), nodes.Repeats(), truth);
  const std::string text = json::serialize(result);
  std::cout << text << std::endl;
  if (!aOptions.mOut.empty()) {
    std::ofstream(aOptions.mOut) << text << "\n";
  }
  if (!result.at("ok").as_bool()) {
    throw CLI::RuntimeError(1);
  }
}

void AddStepOptions(CLI::App& aVerb, TrainerOptions& aOptions) {
  aVerb.add_option("--first-step", aOptions.mFirstStep, "Number of step one");
  aVerb.add_option("--steps", aOptions.mSteps, "Steps to run");
  aVerb.add_option("--seconds", aOptions.mSeconds,
                   "Begins no step after that long; 0: no limit");
  aVerb.add_option("--groups", aOptions.mGroups, "Groups per step");
  aVerb.add_option("--group-size", aOptions.mGroupSize, "Samples per group");
  aVerb.add_option("--max-tokens", aOptions.mMaxTokens, "Of a sample");
  aVerb.add_option("--ahead", aOptions.mAhead,
                   "Steps open before the present one is trained");
  aVerb.add_option("--train-ms-per-group", aOptions.mTrainMillis,
                   "Training time per group");
  aVerb.add_option("--pull-groups", aOptions.mPullGroups,
                   "Groups per pull at most");
  aVerb.add_option("--pull-wait-ms", aOptions.mPullWaitMillis,
                   "Longest wait of a pull");
  aVerb.add_option("--patience-s", aOptions.mPatienceSeconds,
                   "Gives up without progress for so long");
}

void AddVersionOptions(CLI::App& aVerb, TrainerOptions& aOptions) {
  aVerb.add_option("--weights-store", aOptions.mWeightStore, "ip:port")
      ->required();
  aVerb.add_option("--bytes", aOptions.mBytes, "Size of a version's weights");
  aVerb.add_option("--first-version", aOptions.mFirstVersion,
                   "Version announced at the start");
  aVerb.add_flag("--swap-every-step", aOptions.mSwapEveryStep,
                 "Announce a version after each step");
  aVerb.add_flag("--swap-mid-step", aOptions.mSwapMidStep,
                 "Announce a version once half of a step is received");
  aVerb.add_option("--max-staleness", aOptions.mMaxStaleness,
                   "Bound to check, in versions; -1: none");
}

}  // namespace

void AddTrainerVerb(CLI::App& aApp) {
  auto options = std::make_shared<TrainerOptions>();
  CLI::App* verb = aApp.add_subcommand("trainer", "A trainer that pulls steps");
  verb->add_option("--node", options->mNodes, "ip:port of nodes")
      ->delimiter(',')
      ->required();
  verb->add_option("--engines", options->mEngines,
                   "ip:port of engines whose journals are compared")
      ->delimiter(',');
  verb->add_option("--engine-restarts", options->mEngineRestarts,
                   "Engines restarted meanwhile: their journals are lost");
  verb->add_option("--name", options->mName, "The trainer's name");
  verb->add_option("--model", options->mModel, "Model, for logs");
  verb->add_option("--inputs", options->mInputs, "File of prompts")->required();
  verb->add_option("--token", options->mToken, "Credential");
  verb->add_option("--seed", options->mSeed, "Seed of steps and of choices");
  verb->add_option("--out", options->mOut, "File for the result");
  verb->add_option("--state", options->mState, "File that outlives a restart");
  AddStepOptions(*verb, *options);
  AddVersionOptions(*verb, *options);
  verb->callback([options] { RunTrainer(*options); });
}

}  // namespace rillwall::standin
