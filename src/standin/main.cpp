/// \file
/// Entry of the stand-ins: one verb a process.

#include <CLI/CLI.hpp>

#include "verbs.h"

int main(int aCount, char** aArgs) {
  CLI::App app{"Stand-ins for the systems around rillwall", "rillwall_standin"};
  app.require_subcommand(1);
  rillwall::standin::AddEngineVerb(app);
  rillwall::standin::AddTrainerVerb(app);
  rillwall::standin::AddCallersVerb(app);
  rillwall::standin::AddKvVerb(app);
  rillwall::standin::AddHostsVerb(app);
  rillwall::standin::AddWeightsVerb(app);
  rillwall::standin::AddScorerVerb(app);
  rillwall::standin::AddServiceVerb(app);
  CLI11_PARSE(app, aCount, aArgs);
  return 0;
}
