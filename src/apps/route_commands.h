// `flaxdoor routes ...` shows the routes, pools and statuses that result from a set of Gateway API resources, without a
// cluster.
// Exit status: 0: done (diff: no difference); 1: resources that cannot be read (diff: there are differences); 2: invalid
//   command line.
#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace flaxdoor::apps {

// Adds the commands to the program. A command that was given sets `action` to what it does.
void add_route_commands(CLI::App& program, std::function<int()>& action);

}  // namespace flaxdoor::apps
