// How a fuzz target says that something is broken.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace flaxdoor::fuzz {

inline void require(bool holds, std::string_view what) {
    if (holds) return;
    std::fprintf(stderr, "broken: %.*s\n", static_cast<int>(what.size()), what.data());
    std::abort();
}

}  // namespace flaxdoor::fuzz
