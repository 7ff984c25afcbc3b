// `flaxdoor coordinator FILE` runs the process that grants leases of the fleet's budgets. `flaxdoor budget show` shows the
// leases and their holders.
// Exit status: 0: graceful shutdown, or shown; 1: the file has faults, the store cannot be used, the address cannot be
//   listened on, or the coordinator does not answer; 2: invalid command line.
#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace flaxdoor::apps {

// Adds the commands to the program. A command that was given sets `action` to what it does.
void add_coordinator_commands(CLI::App& program, std::function<int()>& action);

}  // namespace flaxdoor::apps
