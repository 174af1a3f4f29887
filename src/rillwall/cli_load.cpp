/// \file
/// The verb `load`: the current load of a service's replicas.

#include "cli_table.h"
#include "cli_verb.h"
#include "rillwall/load_status.h"

namespace rillwall {

namespace {

constexpr TableColumn kReplicas[] = {
    {"REPLICA", "replica"},   {"ZONE", "zone"},
    {"RUNNING", "running"},   {"WAITING", "waiting"},
    {"SLOTS", "slots"},       {"WORK (%)", "percent"},
    {"AGE (ms)", "age_ms"},   {"OWN", "own"},
    {"WAIT (ms)", "wait_ms"}, {"EXPECTED (ms)", "expected_ms"},
    {"AVOIDED", "avoided"}};

ExitCode Load(const CliContext& aContext, const VerbArguments& aArguments) {
  const AdminClient client(aArguments.mNode);
  const CliResult<CliAnswer> answer = client.Call(
      "GET", std::string(kLoadPath) + "?service=" + aArguments.mName);
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
    return ExitCode::Done;
  }
  PrintTable(aContext.mOut, kReplicas, ArrayOf(*answer, "replicas"));
  const auto count = [&](const char* aField) {
    return NumberOf(answer->mValue, aField);
  };
  aContext.mOut << "probes: " << count("probes_sent") << " sent, "
                << count("probes_answered") << " answered, "
                << count("probes_late")
                << " late; hedged requests: " << count("hedges_sent")
                << " sent, " << count("hedges_won") << " won\n";
  return ExitCode::Done;
}

}  // namespace

void AddLoadVerb(CLI::App& aApp, const CliContext& aContext) {
  const Verb verb = AddNodeVerb(
      aApp, aContext, "load",
      "Show the load of a service's replicas, as known to one host of the "
      "users' platform, and the response times that it expects of them",
      "rillwall load search --node 10.0.0.1:7720", &Load);
  verb.mApp
      ->add_option("service", verb.mArguments->mName, "Name of the service")
      ->required();
}

}  // namespace rillwall
