// `flaxdoor door ...`: what an operator's file would do at the door, without running a balancer.
//   0: done; 1: the file or the script has faults; 2: not understood.
#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace flaxdoor::apps {

void add_door(CLI::App& program, std::function<int()>& todo);

}  // namespace flaxdoor::apps
