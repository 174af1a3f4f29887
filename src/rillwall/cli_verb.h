/// \file
/// What the verbs of the command line share.

#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "cli_client.h"

namespace rillwall {

/// Where a verb writes, and the code that it leaves.
struct CliContext {
  std::ostream& mOut;
  std::ostream& mError;
  int& mExitCode;
};

/// Arguments of any verb; each uses those that it adds options for.
struct VerbArguments {
  NodeOptions mNode;
  std::string mName;
  std::string mFile;
  std::string mScope;
  std::string mRevision;
  std::string mClear;
  std::string mHold;
  std::vector<std::string> mFiles;
  bool mNoWait = false;
  bool mSteps = false;
  bool mJson = false;
};

/// Does a verb's work.
using RunVerb = ExitCode (*)(const CliContext& aContext,
                             const VerbArguments& aArguments);

/// Makes a verb: its help with an example, and what it runs.
/// \return the verb's options go to .first, their values to .second
struct Verb {
  CLI::App* mApp;
  std::shared_ptr<VerbArguments> mArguments;
};
Verb AddVerb(CLI::App& aParent, const CliContext& aContext, const char* aName,
             const char* aHelp, const char* aExample, RunVerb aRun);
/// The same, with the options that say which node to ask.
Verb AddNodeVerb(CLI::App& aParent, const CliContext& aContext,
                 const char* aName, const char* aHelp, const char* aExample,
                 RunVerb aRun);

/// Tells a failure. \return its exit code
ExitCode Tell(const CliContext& aContext, const CliFailure& aFailure);

/// \return the named array of an answer, empty if there is none
const boost::json::array& ArrayOf(const CliAnswer& aAnswer, const char* aField);
/// \return the named number of an answer, 0 if there is none
int64_t NumberOf(const boost::json::value& aValue, const char* aField);
/// \return the named text of an answer, empty if there is none
std::string TextOf(const boost::json::value& aValue, const char* aField);

/// Adds `policy` with its verbs.
void AddPolicyVerbs(CLI::App& aApp, const CliContext& aContext);
/// Adds `hosts`, `upstreams`, `trainers`, `steps`, `dump` and `health`.
void AddFleetVerbs(CLI::App& aApp, const CliContext& aContext);
/// Adds `drain`.
void AddDrainVerb(CLI::App& aApp, const CliContext& aContext);
/// Adds `suspects`.
void AddSuspectsVerb(CLI::App& aApp, const CliContext& aContext);
/// Adds `token` with its verbs and `settings`, which ask no node.
void AddLocalVerbs(CLI::App& aApp, const CliContext& aContext);

}  // namespace rillwall
