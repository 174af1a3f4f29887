/// \file
/// The trainer subcommand.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <iostream>

#include "commands.h"
#include "control_serve.h"
#include "trainer_result.h"

namespace rillwall::standin {

namespace {

constexpr int64_t kMillisPerSecond = 1000;

template <class Value>
Value ValueOrExit(Result<Value> aResult) {
  if (!aResult.has_value()) {
    std::cerr << "trainer: " << aResult.error().Message() << std::endl;
    throw CLI::RuntimeError(1);
  }
  return std::move(aResult.value());
}

void RunTrainer(const TrainerOptions& aOptions) {
  auto inputs = ValueOrExit(ReadInputs(aOptions.mInputs));
  const auto engines = ValueOrExit(NodeSet::Parse(aOptions.mEngines));
  asio::io_context context(1);
  HttpClient client(context);
  NodeSet nodes(
      client, ValueOrExit(NodeSet::Parse(aOptions.mNodes)), aOptions.mToken,
      Millis(aOptions.mPatienceSeconds * kMillisPerSecond), aOptions.mSeed);
  TrainerLog log;
  TrainerProgress progress = ValueOrExit(log.Open(aOptions.mState));
  TrainerRun run(context, aOptions, std::move(inputs), nodes, client, log,
                 std::move(progress));
  LabelCounts labels;
  bool ended = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await run.Run();
        if (!engines.empty()) {
          const EngineJournals journals =
              co_await ReadJournals(client, engines);
          labels = CompareLabels(journals, run.Progress().mLabels,
                                 aOptions.mEngineRestarts);
        }
        ended = true;
      },
      asio::detached);
  while (!ended && context.run_one() > 0) {
  }
  const json::object result = TrainerResult(
      aOptions, run.Progress(), run.Stats(), nodes.Retries(), labels);
  const std::string text = json::serialize(result);
  std::cout << text << std::endl;
  if (!aOptions.mOut.empty()) {
    std::ofstream(aOptions.mOut) << text << "\n";
  }
  if (!result.at("ok").as_bool()) {
    throw CLI::RuntimeError(1);
  }
}

void AddStepOptions(CLI::App& aCommand, TrainerOptions& aOptions) {
  aCommand.add_option("--first-step", aOptions.mFirstStep,
                      "Number of the first step");
  aCommand.add_option("--steps", aOptions.mSteps, "Steps to run");
  aCommand.add_option("--seconds", aOptions.mSeconds,
                      "Start no step after this time; 0: no limit");
  aCommand.add_option("--groups", aOptions.mGroups, "Groups per step");
  aCommand.add_option("--group-size", aOptions.mGroupSize, "Samples per group");
  aCommand.add_option("--max-tokens", aOptions.mMaxTokens,
                      "Maximum tokens of a sample");
  aCommand.add_option("--ahead", aOptions.mAhead,
                      "Steps opened before the current one is trained");
  aCommand.add_option("--train-ms-per-group", aOptions.mTrainMillis,
                      "Training time per group");
  aCommand.add_option("--pull-groups", aOptions.mPullGroups,
                      "Maximum groups per pull");
  aCommand.add_option("--pull-wait-ms", aOptions.mPullWaitMillis,
                      "Maximum wait of a pull");
  aCommand.add_option("--patience-s", aOptions.mPatienceSeconds,
                      "Give up after this time without progress");
}

void AddVersionOptions(CLI::App& aCommand, TrainerOptions& aOptions) {
  aCommand.add_option("--weights-store", aOptions.mWeightStore, "ip:port")
      ->required();
  aCommand.add_option("--bytes", aOptions.mBytes,
                      "Size of the weights of a version");
  aCommand.add_option("--first-version", aOptions.mFirstVersion,
                      "Version announced at the start");
  aCommand.add_flag("--swap-every-step", aOptions.mSwapEveryStep,
                    "Announce a version after each step");
  aCommand.add_flag("--swap-mid-step", aOptions.mSwapMidStep,
                    "Announce a version when half of a step is received");
  aCommand.add_option("--max-staleness", aOptions.mMaxStaleness,
                      "Staleness bound to check, in versions; -1: none");
}

}  // namespace

void AddTrainerCommand(CLI::App& aApp) {
  auto options = std::make_shared<TrainerOptions>();
  CLI::App* command =
      aApp.add_subcommand("trainer", "Trainer that pulls steps");
  command->add_option("--node", options->mNodes, "ip:port of nodes")
      ->delimiter(',')
      ->required();
  command
      ->add_option("--engines", options->mEngines,
                   "ip:port of engines whose journals are checked")
      ->delimiter(',');
  command->add_option("--engine-restarts", options->mEngineRestarts,
                      "Number of engine restarts; their journals are lost");
  command->add_option("--name", options->mName, "Name of the trainer");
  command->add_option("--model", options->mModel, "Model, for logs");
  command->add_option("--inputs", options->mInputs, "File of prompts")
      ->required();
  command->add_option("--token", options->mToken, "Credential");
  command->add_option("--seed", options->mSeed,
                      "Seed of the steps and of random choices");
  command->add_option("--out", options->mOut, "File for the result");
  command->add_option("--state", options->mState,
                      "File with the state kept over restarts");
  AddStepOptions(*command, *options);
  AddVersionOptions(*command, *options);
  command->callback([options] { RunTrainer(*options); });
}

}  // namespace rillwall::standin
