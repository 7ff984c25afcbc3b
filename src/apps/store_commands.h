// `flaxdoor store ...` inspects and repairs the folder of a store.
// Exit status: 0: done, and the store is intact; 1: the store is damaged, or data was lost; 2: invalid command line; 3: not
//   done (the store is in use, missing, another one than expected, of a newer format, or the disk failed); standard error
//   has the reason.
#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace flaxdoor::apps {

// Adds the commands to the program. A command that was given sets `action` to what it does.
void add_store_commands(CLI::App& program, std::function<int()>& action);

}  // namespace flaxdoor::apps
