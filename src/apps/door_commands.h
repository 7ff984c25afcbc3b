// `flaxdoor door ...` shows how an operator's file configures the admission queue, without running a balancer.
// Exit status: 0: done; 1: the file or the load script has faults; 2: invalid command line.
#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace flaxdoor::apps {

// Adds the commands to the program. A command that was given sets `action` to what it does.
void add_door_commands(CLI::App& program, std::function<int()>& action);

}  // namespace flaxdoor::apps
