/// \file
/// The rillwall binary: `rillwall serve` runs a node, the other verbs are
/// command-line tools.

#include <CLI/CLI.hpp>
#include <iostream>
#include <string_view>

#include "cli_verbs.h"
#include "platform/node_file.h"
#include "platform/platform_node.h"
#include "rillwall/held_signals.h"
#include "rillwall/log.h"
#include "rillwall/settings.h"
#include "serve.h"

namespace {

constexpr char kServe[] = "serve";

}  // namespace

int main(int aCount, char** aArgs) {
  if (aCount > 1 && std::string_view(aArgs[1]) == kServe) {
    rillwall::HoldSignals();
  }
  CLI::App app("Rollout service for reinforcement learning");
  app.require_subcommand(1);
  app.set_help_all_flag("--help-all", "Print the help of all verbs");
  int exitCode = 0;
  CLI::App* serve = app.add_subcommand(kServe, "Run a node");
  rillwall::SettingsReader reader;
  reader.AddTo(*serve);
  bool check = false;
  serve->add_flag("--check", check, "Check the settings and exit");
  serve->callback([&] {
    const std::optional<std::string> file = rillwall::platform::NodeFilePath();
    if (file) {
      exitCode = check ? rillwall::platform::CheckNodeFile(*file)
                       : rillwall::platform::Serve(*file);
      return;
    }
    const rillwall::Result<rillwall::NodeSettings> settings = reader.Read();
    if (!settings) {
      std::cerr << settings.error().Detail() << '\n';
      exitCode = 2;
      return;
    }
    if (check) {
      std::cout << "The settings are valid.\n";
      return;
    }
    rillwall::StartLog(settings->mLog);
    exitCode = rillwall::Serve(*settings);
  });
  rillwall::AddClientVerbs(app, exitCode);
  CLI11_PARSE(app, aCount, aArgs);
  return exitCode;
}
