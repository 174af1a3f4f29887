/// \file
/// All verbs of the command line except `serve`.

#pragma once

namespace CLI {  // NOLINT(readability-identifier-naming): the library's
class App;
}

namespace rillwall {

/// Adds all verbs except `serve`.
/// \param aApp the whole command line
/// \param aExitCode set by the verb that runs: 0 on success, 1 on failure, or
/// another code of the list that `rillwall --help` prints
void AddClientVerbs(CLI::App& aApp, int& aExitCode);

}  // namespace rillwall
