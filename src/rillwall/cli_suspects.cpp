/// \file
/// The verb `suspects`: requests that crashed replicas.

#include "cli_table.h"
#include "cli_verb.h"
#include "rillwall/suspects.h"

namespace rillwall {

namespace {

constexpr TableColumn kSuspects[] = {
    {"REQUEST", "request"},           {"WHAT", "what"},
    {"REPLICAS ENDED", "crashes"},    {"HELD", "held"},
    {"HELD FOR (ms)", "held_for_ms"}, {"LAST (ms since 1970)", "last_ms"}};

ExitCode Suspects(const CliContext& aContext, const VerbArguments& aArguments) {
  const AdminClient client(aArguments.mNode);
  const bool clears = !aArguments.mClear.empty();
  const bool holds = !aArguments.mHold.empty();
  std::string target = kSuspectsPath;
  if (clears) {
    target += "?action=clear&request=" + aArguments.mClear;
  } else if (holds) {
    target += "?action=hold&request=" + aArguments.mHold;
  }
  const CliResult<CliAnswer> answer =
      client.Call(clears || holds ? "POST" : "GET", target);
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
  } else {
    PrintTable(aContext.mOut, kSuspects, ArrayOf(*answer, "suspects"));
  }
  return ExitCode::Done;
}

}  // namespace

void AddSuspectsVerb(CLI::App& aApp, const CliContext& aContext) {
  const Verb verb = AddNodeVerb(
      aApp, aContext, "suspects",
      "Show the requests that crashed replicas, as known to one host of the "
      "users' platform; no host runs a request that is held",
      "rillwall suspects --node 10.0.0.1:7720", &Suspects);
  CLI::Option* clear = verb.mApp->add_option(
      "--clear", verb.mArguments->mClear,
      "Let all hosts run the request with this digest again");
  verb.mApp
      ->add_option("--hold", verb.mArguments->mHold,
                   "Stop all hosts from running the request with this digest")
      ->excludes(clear);
}

}  // namespace rillwall
