/// \file
/// Verbs that call no node: `token make`, `settings` and `explain`.

#include <filesystem>
#include <fstream>

#include "cli_steps.h"
#include "cli_verb.h"
#include "log_trace.h"
#include "rillwall/settings.h"
#include "rillwall/token.h"

namespace rillwall {

namespace {

ExitCode TokenMake(const CliContext& aContext,
                   const VerbArguments& aArguments) {
  const Result<NewToken> made = MakeToken(aArguments.mScope, aArguments.mName);
  if (!made) {
    return ReportFailure(
        aContext, {ExitCodeOf(made.error().Kind()), made.error().Detail()});
  }
  // The token goes to the output stream and the explanation to the error
  // stream, so that a script can separate them.
  aContext.mOut << made->mToken << "\n";
  aContext.mError << "Give the token to its user; it is not stored. Add this "
                     "line to a policy:\n"
                  << made->Declaration() << "\n";
  return ExitCode::Done;
}

ExitCode Settings(const CliContext& aContext, const VerbArguments&) {
  aContext.mOut << SettingsPage();
  return ExitCode::Done;
}

ExitCode Explain(const CliContext& aContext, const VerbArguments& aArguments) {
  if (aArguments.mSteps) {
    // With --steps there is no id, so the first argument names a log too.
    VerbArguments all = aArguments;
    all.mFiles.insert(all.mFiles.begin(), aArguments.mName);
    return ExplainSteps(aContext, all);
  }
  if (aArguments.mFiles.empty()) {
    return ReportFailure(aContext,
                         {ExitCode::BadRequest,
                          "No log is named. Give the logs of the nodes after "
                          "the id."});
  }
  LogTrace trace(aArguments.mName);
  for (const std::string& path : aArguments.mFiles) {
    std::ifstream log(path);
    if (!log) {
      return ReportFailure(
          aContext,
          {ExitCode::BadRequest,
           "The log " + path + " can't be read. Give files of JSON lines."});
    }
    trace.Read(log, std::filesystem::path(path).filename().string());
  }
  const std::vector<TraceLine> lines = trace.Lines();
  const int64_t first = lines.empty() ? 0 : lines.front().mTimeMs;
  for (const TraceLine& line : lines) {
    aContext.mOut << "+" << line.mTimeMs - first << " ms  " << line.mNode
                  << "  " << line.mEvent << "  " << line.mText << "\n";
  }
  for (const std::string& gap : trace.Warnings()) {
    aContext.mError << gap << "\n";
  }
  return lines.empty() ? ExitCode::NotFound : ExitCode::Done;
}

}  // namespace

void AddLocalVerbs(CLI::App& aApp, const CliContext& aContext) {
  CLI::App* token = aApp.add_subcommand("token", "Make credentials");
  token->require_subcommand(1);
  const Verb make =
      AddVerb(*token, aContext, "make",
              "Make a token and the line that declares it in a policy",
              "rillwall token make operator ayse", &TokenMake);
  make.mApp
      ->add_option("scope", make.mArguments->mScope,
                   "caller, trainer or operator")
      ->required();
  make.mApp
      ->add_option("name", make.mArguments->mName,
                   "House, trainer or operator that the token stands for")
      ->required();
  const Verb explain =
      AddVerb(aApp, aContext, "explain",
              "Follow one request, step or item through the logs of nodes, or "
              "show how the time of all steps was spent",
              "rillwall explain 7c41e09b52d6a3f8 logs/*.log, or rillwall "
              "explain --steps logs/*.log",
              &Explain);
  explain.mApp
      ->add_option("id", explain.mArguments->mName,
                   "Its id, as the client sent it (with --steps: a log)")
      ->required();
  explain.mApp->add_option("files", explain.mArguments->mFiles,
                           "Logs of the nodes, one file each");
  explain.mApp->add_flag("--steps", explain.mArguments->mSteps,
                         "Show the critical path of each step, in ms");
  explain.mApp->add_flag("--json", explain.mArguments->mJson,
                         "With --steps: print JSON");
  AddVerb(aApp, aContext, "settings", "Print the page of all settings",
          "rillwall settings > docs/SETTINGS.md", &Settings);
}

}  // namespace rillwall
