/// \file
/// Entry point of the stand-ins; each process runs one subcommand.

#include <CLI/CLI.hpp>

#include "commands.h"

int main(int aCount, char** aArgs) {
  CLI::App app{"Stand-ins for the systems around rillwall", "rillwall_standin"};
  app.require_subcommand(1);
  rillwall::standin::AddEngineCommand(app);
  rillwall::standin::AddTrainerCommand(app);
  rillwall::standin::AddCallersCommand(app);
  rillwall::standin::AddKvCommand(app);
  rillwall::standin::AddHostsCommand(app);
  rillwall::standin::AddWeightsCommand(app);
  rillwall::standin::AddScorerCommand(app);
  rillwall::standin::AddServiceCommand(app);
  CLI11_PARSE(app, aCount, aArgs);
  return 0;
}
