/// \file
/// The verbs `scale` and `usage`: duties that the lead does for the platform.

#include "cli_table.h"
#include "cli_verb.h"
#include "rillwall/scale_orders.h"

namespace rillwall {

namespace {

constexpr TableColumn kGroups[] = {{"ZONE", "zone"},
                                   {"KIND", "kind"},
                                   {"PRESENT", "present"},
                                   {"LEAVING", "leaving"},
                                   {"NEEDED", "needed"},
                                   {"ORDERED", "ordered"},
                                   {"REFUSED FOR (ms)", "refused_for_ms"}};
constexpr TableColumn kWindows[] = {{"WINDOW", "window"},
                                    {"STATE", "state"},
                                    {"ACCOUNTS", "accounts"},
                                    {"TRIES", "tries"}};

/// Prints a field with its title unless it is empty.
void PrintField(const CliContext& aContext, const CliAnswer& aAnswer,
                const char* aTitle, const char* aField) {
  const std::string text = TextOf(aAnswer.mValue, aField);
  if (!text.empty()) {
    aContext.mOut << aTitle << ": " << text << "\n";
  }
}

/// Calls a path and prints the array of its answer.
ExitCode Show(const CliContext& aContext, const VerbArguments& aArguments,
              const std::string& aTarget, const char* aField,
              std::span<const TableColumn> aColumns) {
  const AdminClient client(aArguments.mNode);
  const CliResult<CliAnswer> answer = client.Call("GET", aTarget);
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
    return ExitCode::Done;
  }
  PrintTable(aContext.mOut, aColumns, ArrayOf(*answer, aField));
  PrintField(aContext, *answer, "fault", "fault");
  PrintField(aContext, *answer, "the lead knows more; ask", "ask");
  if (aArguments.mWhy) {
    PrintField(aContext, *answer, "why", "reason");
  }
  return ExitCode::Done;
}

ExitCode Scale(const CliContext& aContext, const VerbArguments& aArguments) {
  return Show(aContext, aArguments,
              std::string(ScaleOrders::kPath) + "?service=" + aArguments.mName,
              "groups", kGroups);
}

ExitCode Usage(const CliContext& aContext, const VerbArguments& aArguments) {
  return Show(aContext, aArguments, UsageReporter::kPath, "windows", kWindows);
}

}  // namespace

void AddScaleVerbs(CLI::App& aApp, const CliContext& aContext) {
  const Verb scale = AddNodeVerb(
      aApp, aContext, "scale",
      "Show the replicas of a service that the lead needs and has ordered, by "
      "zone and kind",
      "rillwall scale --why letters-llm --node 10.0.0.1:7720", &Scale);
  scale.mApp->add_option("service", scale.mArguments->mName, "The service")
      ->required();
  scale.mApp->add_flag("--why", scale.mArguments->mWhy,
                       "Show the figures behind the last plan");
  AddNodeVerb(aApp, aContext, "usage",
              "Show the usage windows that are counted, fixed for the report "
              "and accepted by the platform",
              "rillwall usage --node 10.0.0.1:7720", &Usage);
}

}  // namespace rillwall
