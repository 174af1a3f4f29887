/// \file
/// The verb `accounts`: admission of the calls of client accounts.

#include "cli_table.h"
#include "cli_verb.h"
#include "rillwall/account_report.h"

namespace rillwall {

namespace {

constexpr TableColumn kAccounts[] = {
    {"ACCOUNT", "account"},   {"PRIORITY", "priority"},
    {"ADMITTED", "admitted"}, {"WAITING", "waiting"},
    {"REFUSED", "refused"},   {"LAST USE (ms ago)", "last_use_ms"}};

ExitCode Accounts(const CliContext& aContext, const VerbArguments& aArguments) {
  const AdminClient client(aArguments.mNode);
  const CliResult<CliAnswer> answer = client.Call("GET", kAccountsPath);
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
  } else {
    PrintTable(aContext.mOut, kAccounts, ArrayOf(*answer, "accounts"));
  }
  return ExitCode::Done;
}

}  // namespace

void AddAccountsVerb(CLI::App& aApp, const CliContext& aContext) {
  AddNodeVerb(aApp, aContext, "accounts",
              "Show the client accounts whose calls one host of the users' "
              "platform has admitted, held or refused",
              "rillwall accounts --node 10.0.0.1:7720", &Accounts);
}

}  // namespace rillwall
