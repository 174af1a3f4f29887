/// \file
/// The subcommands of rillwall_standin. Each function adds one subcommand,
/// which runs one stand-in or driver process.

#pragma once

#include <CLI/CLI.hpp>

namespace rillwall::standin {

/// A model engine.
void AddEngineCommand(CLI::App& aApp);
/// A trainer that pulls steps.
void AddTrainerCommand(CLI::App& aApp);
/// A load generator of interactive callers.
void AddCallersCommand(CLI::App& aApp);
/// The key-value service.
void AddKvCommand(CLI::App& aApp);
/// The host list of the platform, shown with a lag.
void AddHostsCommand(CLI::App& aApp);
/// The rate-limited weight store.
void AddWeightsCommand(CLI::App& aApp);
/// A service that scores rollouts.
void AddScorerCommand(CLI::App& aApp);
/// A service with non-idempotent calls and a journal.
void AddServiceCommand(CLI::App& aApp);

}  // namespace rillwall::standin
