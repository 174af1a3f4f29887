/// \file
/// Verbs that show what a node knows: hosts, upstreams, trainers, steps, dump
/// and health.

#include <boost/json.hpp>

#include "cli_table.h"
#include "cli_verb.h"

namespace rillwall {

namespace json = boost::json;

namespace {

constexpr TableColumn kHosts[] = {
    {"NODE", "id"},   {"ZONE", "zone"}, {"STATE", "state"},
    {"HTTP", "http"}, {"RPC", "rpc"},   {"INCARNATION", "incarnation"}};

constexpr TableColumn kUpstreams[] = {
    {"UPSTREAM", "id"},         {"KIND", "kind"},       {"NAME", "name"},
    {"ZONE", "zone"},           {"ADDRESS", "address"}, {"LEAVING", "leaving"},
    {"OWN CALLS", "in_flight"}, {"RUNNING", "running"}, {"WAITING", "waiting"},
    {"SLOTS", "slots"},         {"VERSION", "version"}, {"LOADING", "loading"}};

constexpr TableColumn kTrainers[] = {{"TRAINER", "name"},
                                     {"MODEL", "model"},
                                     {"NEWEST", "newest_version"},
                                     {"SHARE", "share"},
                                     {"VERSIONS BEHIND", "max_versions_behind"},
                                     {"MAX AGE (ms)", "max_age_ms"}};

constexpr TableColumn kSteps[] = {
    {"TRAINER", "trainer"}, {"STEP", "step"},
    {"GROUPS", "groups"},   {"DELIVERED", "delivered"},
    {"HELD", "held"},       {"RUNNING", "running"},
    {"WAITING", "waiting"}, {"STALE", "stale_dropped"}};

// Requests a list and prints it as a table or as JSON.
template <size_t Columns>
ExitCode ShowList(const CliContext& aContext, const VerbArguments& aArguments,
                  const char* aTarget, const char* aList,
                  const TableColumn (&aColumns)[Columns]) {
  const AdminClient client(aArguments.mNode);
  const CliResult<CliAnswer> answer = client.Call("GET", aTarget);
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
  } else {
    PrintTable(aContext.mOut, aColumns, ArrayOf(*answer, aList));
  }
  return ExitCode::Done;
}

ExitCode Hosts(const CliContext& aContext, const VerbArguments& aArguments) {
  return ShowList(aContext, aArguments, "/admin/hosts", "hosts", kHosts);
}

ExitCode Upstreams(const CliContext& aContext,
                   const VerbArguments& aArguments) {
  return ShowList(aContext, aArguments, "/admin/upstreams", "upstreams",
                  kUpstreams);
}

ExitCode Trainers(const CliContext& aContext, const VerbArguments& aArguments) {
  return ShowList(aContext, aArguments, "/admin/trainers", "trainers",
                  kTrainers);
}

ExitCode Steps(const CliContext& aContext, const VerbArguments& aArguments) {
  return ShowList(aContext, aArguments, "/admin/steps", "steps", kSteps);
}

ExitCode Dump(const CliContext& aContext, const VerbArguments& aArguments) {
  const AdminClient client(aArguments.mNode);
  const CliResult<CliAnswer> answer = client.Call("GET", "/admin/dump");
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
  } else {
    PrintIndented(aContext.mOut, answer->mValue);
  }
  return ExitCode::Done;
}

ExitCode Health(const CliContext& aContext, const VerbArguments& aArguments) {
  const AdminClient client(aArguments.mNode);
  const CliResult<CliAnswer> health = client.Call("GET", "/health");
  if (!health) {
    return ReportFailure(aContext, health.error());
  }
  const CliResult<CliAnswer> ready = client.Call("GET", "/ready");
  const json::object shown = {{"alive", true}, {"ready", ready.has_value()}};
  if (aArguments.mNode.mJson) {
    aContext.mOut << json::serialize(shown) << "\n";
  } else {
    aContext.mOut << "Node " << aArguments.mNode.mNode << " is alive and "
                  << (ready ? "takes work.\n" : "takes no work now.\n");
  }
  return ready ? ExitCode::Done : ExitCode::Unavailable;
}

/// Definition of a verb.
struct Row {
  const char* mName;
  const char* mHelp;
  const char* mExample;
  RunVerb mRun;
};

constexpr Row kRows[] = {
    {"hosts", "Show the nodes of the fleet as one node sees them",
     "rillwall hosts --node 10.0.0.1:8080", &Hosts},
    {"upstreams", "Show engines and services with their load",
     "rillwall upstreams --node 10.0.0.1:8080", &Upstreams},
    {"trainers", "Show the trainers that policies declare",
     "rillwall trainers --json", &Trainers},
    {"steps", "Show the steps that one node owns",
     "rillwall steps --node 10.0.0.1:8080", &Steps},
    {"dump", "Print the whole state of one node",
     "rillwall dump --node 10.0.0.1:8080 --json > dump.json", &Dump},
    {"health", "Show whether a node is alive and accepts work",
     "rillwall health --node 10.0.0.1:8080", &Health},
};

}  // namespace

void AddFleetVerbs(CLI::App& aApp, const CliContext& aContext) {
  for (const Row& row : kRows) {
    AddNodeVerb(aApp, aContext, row.mName, row.mHelp, row.mExample, row.mRun);
  }
}

}  // namespace rillwall
