/// \file
/// `explain --steps`: how the time of rollout steps was spent.

#pragma once

#include "cli_verb.h"

namespace rillwall {

/// Prints the critical path of each step found in the logs aArguments.mFiles,
/// and a summary by model. Warnings about the logs go to the error stream.
/// \return NotFound if the logs contain no step that reached its target
ExitCode ExplainSteps(const CliContext& aContext,
                      const VerbArguments& aArguments);

}  // namespace rillwall
