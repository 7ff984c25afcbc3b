// `flaxdoor coordinator FILE`: the process that grants leases of the fleet's budgets. `flaxdoor budget show`: who holds
// what.
//   0: ended in order, or shown; 1: the file has faults, the store can't be used, the address can't be listened on, or
//   nobody answers; 2: not understood.
#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace flaxdoor::apps {

// Adds the commands to the program; each sets what is to be done when it was given.
void add_coordinator(CLI::App& program, std::function<int()>& todo);

}  // namespace flaxdoor::apps
