/// \file
/// Verbs that ask no node: `token make` and `settings`.

#include "cli_verb.h"
#include "rillwall/settings.h"
#include "rillwall/token.h"

namespace rillwall {

namespace {

ExitCode TokenMake(const CliContext& aContext,
                   const VerbArguments& aArguments) {
  const Result<NewToken> made = MakeToken(aArguments.mScope, aArguments.mName);
  if (!made) {
    return Tell(aContext,
                {ExitCodeOf(made.error().Kind()), made.error().Detail()});
  }
  // The token goes to one stream and the rest to the other, so that a script
  // can keep them apart.
  aContext.mOut << made->mToken << "\n";
  aContext.mError << "Give the token to its user; it is kept nowhere. Put this "
                     "line into a policy:\n"
                  << made->Declaration() << "\n";
  return ExitCode::Done;
}

ExitCode Settings(const CliContext& aContext, const VerbArguments&) {
  aContext.mOut << SettingsPage();
  return ExitCode::Done;
}

}  // namespace

void AddLocalVerbs(CLI::App& aApp, const CliContext& aContext) {
  CLI::App* token = aApp.add_subcommand("token", "Make credentials");
  token->require_subcommand(1);
  const Verb make =
      AddVerb(*token, aContext, "make",
              "Make a token and the line of policy that admits it",
              "rillwall token make operator ayse", &TokenMake);
  make.mApp
      ->add_option("scope", make.mArguments->mScope,
                   "caller, trainer or operator")
      ->required();
  make.mApp
      ->add_option("name", make.mArguments->mName,
                   "House, trainer or operator that the token stands for")
      ->required();
  AddVerb(aApp, aContext, "settings", "Print the page of all settings",
          "rillwall settings > docs/SETTINGS.md", &Settings);
}

}  // namespace rillwall
