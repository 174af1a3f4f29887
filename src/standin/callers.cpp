/// \file
/// The callers verb.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <iostream>

#include "callers_run.h"
#include "control_serve.h"
#include "verbs.h"

namespace rillwall::standin {

namespace {

constexpr Millis kPatience{10000};

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
                kPatience, aOptions.mSeed);
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
  const json::object result = CallersResult(run.Figures());
  const std::string text = json::serialize(result);
  std::cout << text << std::endl;
  if (!aOptions.mOut.empty()) {
    std::ofstream(aOptions.mOut) << text << "\n";
  }
  if (!result.at("ok").as_bool()) {
    throw CLI::RuntimeError(1);
  }
}

void AddLoadOptions(CLI::App& aVerb, CallersOptions& aOptions) {
  aVerb.add_option("--seconds", aOptions.mSeconds, "How long calls are begun");
  aVerb.add_option("--rate", aOptions.mRate, "Streams per second");
  aVerb.add_option("--read-rate", aOptions.mReadRate, "Reads per second");
  aVerb.add_option("--charge-rate", aOptions.mChargeRate, "Charges per second");
  aVerb.add_option("--max-tokens", aOptions.mMaxTokens, "Of an answer");
  aVerb.add_option("--longest", aOptions.mLongest,
                   "Prompts with longer answers are left out");
  aVerb.add_option("--seed", aOptions.mSeed, "Seed of choices and keys");
}

}  // namespace

void AddCallersVerb(CLI::App& aApp) {
  auto options = std::make_shared<CallersOptions>();
  CLI::App* verb = aApp.add_subcommand("callers", "Interactive callers");
  verb->add_option("--node", options->mNodes, "ip:port of nodes")
      ->delimiter(',')
      ->required();
  verb->add_option("--engines", options->mEngines,
                   "ip:port of engines whose journals are compared")
      ->delimiter(',');
  verb->add_option("--houses", options->mHouses, "Houses of the callers")
      ->delimiter(',');
  verb->add_option("--model", options->mModel, "Model asked for");
  verb->add_option("--service", options->mService, "Plain service's name");
  verb->add_option("--service-address", options->mServiceAddress,
                   "ip:port of the plain service, for its journal");
  verb->add_option("--inputs", options->mInputs, "File of prompts")->required();
  verb->add_option("--token", options->mToken, "Credential");
  verb->add_option("--out", options->mOut, "File for the result");
  AddLoadOptions(*verb, *options);
  verb->callback([options] { RunCallers(*options); });
}

}  // namespace rillwall::standin
