/// \file
/// The verbs of the command line that talk to a node.

#pragma once

namespace CLI {  // NOLINT(readability-identifier-naming): the library's
class App;
}

namespace rillwall {

/// Adds all verbs but `serve`.
/// \param aApp the whole command line
/// \param aExitCode set by the verb that is run: 0 done, 1 failed, or one of
/// the codes that `rillwall --help` lists
void AddClientVerbs(CLI::App& aApp, int& aExitCode);

}  // namespace rillwall
