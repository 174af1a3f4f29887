/// \file
/// Types and helpers shared by the verbs of the command line.

#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "cli_client.h"

namespace rillwall {

/// Output streams of a verb, and the place for its exit code.
struct CliContext {
  std::ostream& mOut;
  std::ostream& mError;
  int& mExitCode;
};

/// Arguments of all verbs. Each verb uses only those for which it adds options.
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
  bool mWhy = false;
  bool mSteps = false;
  bool mJson = false;
};

/// Runs a verb.
using RunVerb = ExitCode (*)(const CliContext& aContext,
                             const VerbArguments& aArguments);

/// A verb that was added to the command line.
struct Verb {
  CLI::App* mApp;                             ///< takes the verb's options
  std::shared_ptr<VerbArguments> mArguments;  ///< values of the options
};
/// Adds a verb.
/// \param aExample command line that the help shows as an example
/// \param aRun called when the command line names the verb
Verb AddVerb(CLI::App& aParent, const CliContext& aContext, const char* aName,
             const char* aHelp, const char* aExample, RunVerb aRun);
/// Adds a verb with the options that select the node to call.
Verb AddNodeVerb(CLI::App& aParent, const CliContext& aContext,
                 const char* aName, const char* aHelp, const char* aExample,
                 RunVerb aRun);

/// Prints a failure to the error stream.
/// \return its exit code
ExitCode ReportFailure(const CliContext& aContext, const CliFailure& aFailure);

/// \return the named array of a response, empty if the field is missing or of
/// another type
const boost::json::array& ArrayOf(const CliAnswer& aAnswer, const char* aField);
/// \return the named number of an object, 0 if the field is missing or of
/// another type
int64_t NumberOf(const boost::json::value& aValue, const char* aField);
/// \return the named string of an object, empty if the field is missing or of
/// another type
std::string TextOf(const boost::json::value& aValue, const char* aField);

/// Adds `policy` with its subcommands.
void AddPolicyVerbs(CLI::App& aApp, const CliContext& aContext);
/// Adds `hosts`, `upstreams`, `trainers`, `steps`, `dump` and `health`.
void AddFleetVerbs(CLI::App& aApp, const CliContext& aContext);
/// Adds `drain`.
void AddDrainVerb(CLI::App& aApp, const CliContext& aContext);
/// Adds `load`.
void AddLoadVerb(CLI::App& aApp, const CliContext& aContext);
/// Adds `accounts`.
void AddAccountsVerb(CLI::App& aApp, const CliContext& aContext);
/// Adds `suspects`.
void AddSuspectsVerb(CLI::App& aApp, const CliContext& aContext);
/// Adds `scale` and `usage`.
void AddScaleVerbs(CLI::App& aApp, const CliContext& aContext);
/// Adds `token`, `explain` and `settings`, which call no node.
void AddLocalVerbs(CLI::App& aApp, const CliContext& aContext);

}  // namespace rillwall
