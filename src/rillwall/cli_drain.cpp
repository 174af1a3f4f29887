/// \file
/// The verb `drain`: shuts a node down without interrupting its requests.

#include <boost/json.hpp>
#include <chrono>
#include <thread>

#include "cli_verb.h"

namespace rillwall {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds kPollPeriod{500};

// Formats the state of the node, such as "draining, groups running 3, groups
// held 2".
std::string Progress(const json::value& aState) {
  std::string text = TextOf(aState, "phase");
  const json::object* object = aState.if_object();
  if (!object) {
    return text;
  }
  for (const auto& field : *object) {
    if (field.key() == "phase") {
      continue;
    }
    std::string name(field.key());
    std::replace(name.begin(), name.end(), '_', ' ');
    text += ", " + name + " " + json::serialize(field.value());
  }
  return text;
}

void ShowProgress(const CliContext& aContext, const VerbArguments& aArguments,
                  const CliAnswer& aAnswer) {
  if (aArguments.mNode.mJson) {
    aContext.mOut << aAnswer.mText << std::endl;
  } else {
    aContext.mOut << Progress(aAnswer.mValue) << std::endl;
  }
}

ExitCode Drain(const CliContext& aContext, const VerbArguments& aArguments) {
  const AdminClient client(aArguments.mNode);
  CliResult<CliAnswer> state = client.Call("POST", "/admin/drain");
  if (!state) {
    return ReportFailure(aContext, state.error());
  }
  ShowProgress(aContext, aArguments, *state);
  std::string last = state->mText;
  while (!aArguments.mNoWait) {
    std::this_thread::sleep_for(kPollPeriod);
    state = client.Call("GET", "/admin/drain");
    if (!state) {
      break;
    }
    if (state->mText != last) {
      last = state->mText;
      ShowProgress(aContext, aArguments, *state);
    }
  }
  // A draining node closes its port, so an unreachable node and a lost response
  // both mean that it no longer accepts requests.
  if (!state && state.error().mCode != ExitCode::Unreachable &&
      state.error().mCode != ExitCode::Unknown) {
    return ReportFailure(aContext, state.error());
  }
  if (!aArguments.mNoWait && !aArguments.mNode.mJson) {
    aContext.mOut << "Node " << aArguments.mNode.mNode
                  << " takes no more requests and ends with the last one in "
                     "flight.\n";
  }
  return ExitCode::Done;
}

}  // namespace

void AddDrainVerb(CLI::App& aApp, const CliContext& aContext) {
  const Verb verb =
      AddNodeVerb(aApp, aContext, "drain",
                  "Let a node finish its work and exit; shows the progress",
                  "rillwall drain --node 10.0.0.1:8080", &Drain);
  verb.mApp->add_flag("--no-wait", verb.mArguments->mNoWait,
                      "Start draining and return at once");
}

}  // namespace rillwall
