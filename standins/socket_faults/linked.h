// The plan of one thread of this program. Linked into it with faults.cpp, whose calls stand ahead of the C
// library's for all that the program itself holds; other threads' calls pass through untouched.
#pragma once

#include <string>

#include "faults.h"

namespace flaxdoor::standins::sockets {

// While it lives, the calls of the thread that made it meet with its plan. One for each thread at a time, and
// destroyed by the same thread.
class FaultsHere {
public:
    FaultsHere(const std::string& plan, const std::string& calls);
    ~FaultsHere();
    FaultsHere(const FaultsHere&) = delete;
    FaultsHere& operator=(const FaultsHere&) = delete;

private:
    Faults faults_;
};

}  // namespace flaxdoor::standins::sockets
