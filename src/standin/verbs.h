/// \file
/// The stand-ins' verbs: each adds one subcommand that runs one process.

#pragma once

#include <CLI/CLI.hpp>

namespace rillwall::standin {

/// A model engine.
void AddEngineVerb(CLI::App& aApp);
/// A trainer, a driver that pulls steps.
void AddTrainerVerb(CLI::App& aApp);
/// Interactive callers, a driver.
void AddCallersVerb(CLI::App& aApp);
/// The key-value service.
void AddKvVerb(CLI::App& aApp);
/// The lagging list of hosts.
void AddHostsVerb(CLI::App& aApp);
/// The rate-limited weight store.
void AddWeightsVerb(CLI::App& aApp);
/// A service that scores rollouts.
void AddScorerVerb(CLI::App& aApp);
/// A plain service with a journal.
void AddServiceVerb(CLI::App& aApp);

}  // namespace rillwall::standin
