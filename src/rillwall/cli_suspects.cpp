/// \file
/// The verb `suspects`: requests that have ended replicas.

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
    return Tell(aContext, answer.error());
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
      "Show the requests that have ended replicas, as a host of the users' "
      "platform knows them; those held are run by no host",
      "rillwall suspects --node 10.0.0.1:7720", &Suspects);
  CLI::Option* clear = verb.mApp->add_option(
      "--clear", verb.mArguments->mClear,
      "Have the request of this digest run again, on all hosts");
  verb.mApp
      ->add_option("--hold", verb.mArguments->mHold,
                   "Have no host run the request of this digest")
      ->excludes(clear);
}

}  // namespace rillwall
