/// \file
/// The callers subcommand.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <iostream>

#include "callers_run.h"
#include "commands.h"
#include "control_serve.h"

namespace rillwall::standin {

namespace {

constexpr Millis kRetryTimeout{10000};

void RunCallers(const CallersOptions& aOptions) {
  auto inputs = ReadInputs(aOptions.mInputs);
  auto endpoints = NodeSet::Parse(aOptions.mNodes);
  if (!inputs.has_value() || !endpoints.has_value()) {
    const Error error = inputs.has_value() ? endpoints.error() : inputs.error();
    std::cerr << "callers: " << error.Message() << std::endl;
    throw CLI::RuntimeError(1);
  }
  asio::io_context context(1);
  HttpClient client(context);
  NodeSet nodes(client, std::move(endpoints.value()), aOptions.mToken,
                kRetryTimeout, aOptions.mSeed);
  CallersRun run(context, aOptions, std::move(inputs.value()), nodes, client);
  bool ended = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await run.Run();
        ended = true;
      },
      asio::detached);
  while (!ended && context.run_one() > 0) {
  }
  const json::object result = CallersResult(run.Stats());
  const std::string text = json::serialize(result);
  std::cout << text << std::endl;
  if (!aOptions.mOut.empty()) {
    std::ofstream(aOptions.mOut) << text << "\n";
  }
  if (!result.at("ok").as_bool()) {
    throw CLI::RuntimeError(1);
  }
}

void AddLoadOptions(CLI::App& aCommand, CallersOptions& aOptions) {
  aCommand.add_option("--seconds", aOptions.mSeconds,
                      "Duration in which calls are started, in seconds");
  aCommand.add_option("--rate", aOptions.mRate, "Streams per second");
  aCommand.add_option("--read-rate", aOptions.mReadRate, "Reads per second");
  aCommand.add_option("--charge-rate", aOptions.mChargeRate,
                      "Charges per second");
  aCommand.add_option("--max-tokens", aOptions.mMaxTokens,
                      "Maximum tokens of an answer");
  aCommand.add_option("--longest", aOptions.mMaxAnswerTokens,
                      "Skip prompts with longer answers, in tokens");
  aCommand.add_option("--seed", aOptions.mSeed,
                      "Seed of random choices and of idempotency keys");
}

}  // namespace

void AddCallersCommand(CLI::App& aApp) {
  auto options = std::make_shared<CallersOptions>();
  CLI::App* command =
      aApp.add_subcommand("callers", "Load generator of interactive callers");
  command->add_option("--node", options->mNodes, "ip:port of nodes")
      ->delimiter(',')
      ->required();
  command
      ->add_option("--engines", options->mEngines,
                   "ip:port of engines whose journals are checked")
      ->delimiter(',');
  command
      ->add_option("--houses", options->mClientAccounts,
                   "Client accounts of the callers")
      ->delimiter(',');
  command->add_option("--model", options->mModel, "Model to request");
  command->add_option("--service", options->mService,
                      "Name of the service to call");
  command->add_option("--service-address", options->mServiceAddress,
                      "ip:port of the service, to check its journal");
  command->add_option("--inputs", options->mInputs, "File of prompts")
      ->required();
  command->add_option("--token", options->mToken, "Credential");
  command->add_option("--out", options->mOut, "File for the result");
  AddLoadOptions(*command, *options);
  command->callback([options] { RunCallers(*options); });
}

}  // namespace rillwall::standin
