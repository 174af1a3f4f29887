/// \file
/// `explain --steps`: where the time of rollout steps went.

#pragma once

#include "cli_verb.h"

namespace rillwall {

/// Prints the steps that the logs mFiles tell of, and a table by model.
ExitCode ExplainSteps(const CliContext& aContext,
                      const VerbArguments& aArguments);

}  // namespace rillwall
