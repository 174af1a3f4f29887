/// \file
/// The verb `policy` with its subcommands.

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cli_diff.h"
#include "cli_table.h"
#include "cli_verb.h"

namespace rillwall {

namespace json = boost::json;

namespace {

constexpr TableColumn kPolicies[] = {
    {"POLICY", "name"}, {"CHANGED AT", "changed_at"}, {"AUTHOR", "author"}};

constexpr TableColumn kChanges[] = {{"REVISION", "revision"},
                                    {"POLICY", "name"},
                                    {"REMOVED", "removed"},
                                    {"AUTHOR", "author"}};

constexpr TableColumn kDifferences[] = {
    {"CHANGE", "change"}, {"KIND", "kind"}, {"NAME", "name"}};

// Returns the path of a policy. Refuses names that would need escaping in a
// path; no valid policy name does.
CliResult<std::string> PolicyTarget(const VerbArguments& aArguments) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  const std::string& name = aArguments.mName;
  if (name.empty() || name.find_first_not_of(kAllowed) != std::string::npos) {
    return CliFailure{ExitCode::BadRequest,
                      "'" + name +
                          "' is not a valid policy name. Use letters, digits, "
                          "'.', '_' or '-'."};
  }
  return "/admin/policies/" + name;
}

CliResult<std::string> ReadProgram(const std::string& aFile) {
  std::ostringstream text;
  if (aFile == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(aFile);
  if (!file || !(text << file.rdbuf())) {
    return CliFailure{
        ExitCode::BadRequest,
        "The file '" + aFile + "' cannot be read or is empty. Check its name."};
  }
  return text.str();
}

std::string WithRevision(std::string aTarget, const std::string& aRevision) {
  return aRevision.empty() ? aTarget : aTarget + "?revision=" + aRevision;
}

ExitCode ShowAccepted(const CliContext& aContext,
                      const VerbArguments& aArguments,
                      const CliAnswer& aAnswer) {
  const json::array& missing = ArrayOf(aAnswer, "missing");
  if (aArguments.mNode.mJson) {
    aContext.mOut << aAnswer.mText << "\n";
  } else {
    aContext.mOut << "Accepted as revision "
                  << NumberOf(aAnswer.mValue, "revision") << ", in force on "
                  << NumberOf(aAnswer.mValue, "in_force") << " of "
                  << NumberOf(aAnswer.mValue, "nodes") << " nodes.\n";
  }
  if (missing.empty()) {
    return ExitCode::Done;
  }
  aContext.mError << "Not yet confirmed by:";
  for (const json::value& node : missing) {
    const json::string* id = node.if_string();
    aContext.mError << " " << (id ? id->c_str() : "?");
  }
  aContext.mError << ". It takes effect there as soon as they are reached; "
                     "'rillwall hosts' shows their state.\n";
  return ExitCode::Partial;
}

// Sends a change and prints on how many nodes it is in force.
ExitCode Change(const CliContext& aContext, const VerbArguments& aArguments,
                const char* aMethod, std::string aProgram) {
  const CliResult<std::string> target = PolicyTarget(aArguments);
  if (!target) {
    return ReportFailure(aContext, target.error());
  }
  const AdminClient client(aArguments.mNode);
  const CliResult<CliAnswer> answer =
      client.Call(aMethod, WithRevision(*target, aArguments.mRevision),
                  std::move(aProgram));
  return answer ? ShowAccepted(aContext, aArguments, *answer)
                : ReportFailure(aContext, answer.error());
}

ExitCode Put(const CliContext& aContext, const VerbArguments& aArguments) {
  CliResult<std::string> program = ReadProgram(aArguments.mFile);
  if (!program) {
    return ReportFailure(aContext, program.error());
  }
  return Change(aContext, aArguments, "PUT", std::move(*program));
}

ExitCode Delete(const CliContext& aContext, const VerbArguments& aArguments) {
  return Change(aContext, aArguments, "DELETE", "");
}

CliResult<CliAnswer> Fetch(const VerbArguments& aArguments) {
  const CliResult<std::string> target = PolicyTarget(aArguments);
  if (!target) {
    return target.error();
  }
  return AdminClient(aArguments.mNode).Call("GET", *target);
}

ExitCode Get(const CliContext& aContext, const VerbArguments& aArguments) {
  const CliResult<CliAnswer> answer = Fetch(aArguments);
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
  } else {
    aContext.mOut << TextOf(answer->mValue, "program");
  }
  return ExitCode::Done;
}

ExitCode Diff(const CliContext& aContext, const VerbArguments& aArguments) {
  const CliResult<std::string> program = ReadProgram(aArguments.mFile);
  if (!program) {
    return ReportFailure(aContext, program.error());
  }
  const CliResult<CliAnswer> answer = Fetch(aArguments);
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  const std::string diff =
      DiffLines(TextOf(answer->mValue, "program"), *program);
  if (aArguments.mNode.mJson) {
    aContext.mOut << json::serialize(json::object{{"diff", diff}}) << "\n";
  } else {
    aContext.mOut << (diff.empty() ? "No difference.\n" : diff);
  }
  return diff.empty() ? ExitCode::Done : ExitCode::Different;
}

ExitCode Check(const CliContext& aContext, const VerbArguments& aArguments) {
  CliResult<std::string> program = ReadProgram(aArguments.mFile);
  const CliResult<std::string> target = PolicyTarget(aArguments);
  if (!program || !target) {
    return ReportFailure(aContext, program ? target.error() : program.error());
  }
  const AdminClient client(aArguments.mNode);
  const CliResult<CliAnswer> answer =
      client.Call("POST", *target + "/check", std::move(*program));
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  const json::array& changes = ArrayOf(*answer, "changes");
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
  } else if (changes.empty()) {
    aContext.mOut << "Valid; it would change no rule.\n";
  } else {
    aContext.mOut << "Valid; over revision "
                  << NumberOf(answer->mValue, "revision")
                  << " it would change:\n";
    PrintTable(aContext.mOut, kDifferences, changes);
  }
  return ExitCode::Done;
}

ExitCode List(const CliContext& aContext, const VerbArguments& aArguments) {
  const CliResult<CliAnswer> answer =
      AdminClient(aArguments.mNode).Call("GET", "/admin/policies");
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
  } else {
    aContext.mOut << "Revision " << NumberOf(answer->mValue, "revision")
                  << "\n";
    PrintTable(aContext.mOut, kPolicies, ArrayOf(*answer, "policies"));
  }
  return ExitCode::Done;
}

ExitCode History(const CliContext& aContext, const VerbArguments& aArguments) {
  const CliResult<CliAnswer> answer =
      AdminClient(aArguments.mNode).Call("GET", "/admin/history");
  if (!answer) {
    return ReportFailure(aContext, answer.error());
  }
  if (aArguments.mNode.mJson) {
    aContext.mOut << answer->mText << "\n";
  } else {
    PrintTable(aContext.mOut, kChanges, ArrayOf(*answer, "changes"));
  }
  return ExitCode::Done;
}

/// Definition of a subcommand and the arguments that it takes.
struct Row {
  const char* mName;
  const char* mHelp;
  const char* mExample;
  RunVerb mRun;
  bool mTakesName;
  bool mTakesFile;
  bool mTakesRevision;
};

constexpr Row kRows[] = {
    {"put", "Write or replace a policy",
     "rillwall policy put letters letters.lua --revision 41", &Put, true, true,
     true},
    {"get", "Print a policy's program", "rillwall policy get letters", &Get,
     true, false, false},
    {"list", "Show the policies in force", "rillwall policy list", &List, false,
     false, false},
    {"delete", "Remove a policy", "rillwall policy delete letters", &Delete,
     true, false, true},
    {"check", "Show what a policy would change, without changing anything",
     "rillwall policy check letters letters.lua", &Check, true, true, false},
    {"diff", "Compare the policy in force with a file",
     "rillwall policy diff letters letters.lua", &Diff, true, true, false},
    {"history", "Show the latest changes of policies",
     "rillwall policy history", &History, false, false, false},
};

void AddArguments(const Verb& aVerb, const Row& aRow) {
  VerbArguments& arguments = *aVerb.mArguments;
  if (aRow.mTakesName) {
    aVerb.mApp->add_option("name", arguments.mName, "The policy")->required();
  }
  if (aRow.mTakesFile) {
    aVerb.mApp
        ->add_option("file", arguments.mFile,
                     "File with its program; - reads the standard input")
        ->required();
  }
  if (aRow.mTakesRevision) {
    aVerb.mApp
        ->add_option(
            "--revision", arguments.mRevision,
            "Refuse the change unless the policies are at this revision")
        ->check(CLI::NonNegativeNumber);
  }
}

}  // namespace

void AddPolicyVerbs(CLI::App& aApp, const CliContext& aContext) {
  CLI::App* policy =
      aApp.add_subcommand("policy", "Write, replace and remove policies");
  policy->require_subcommand(1);
  for (const Row& row : kRows) {
    const Verb verb = AddNodeVerb(*policy, aContext, row.mName, row.mHelp,
                                  row.mExample, row.mRun);
    AddArguments(verb, row);
  }
}

}  // namespace rillwall
