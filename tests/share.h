// How much of a long loop is gone through: all of it, but under the address sanitizer a part, the first of what the seed
// draws. FLAXDOOR_WHOLE=1: all of it there too.
#pragma once

#include <cstdlib>

namespace flaxdoor::test {

template <typename Count>
[[nodiscard]] Count share_of(Count whole, [[maybe_unused]] Count part) {
#ifdef __SANITIZE_ADDRESS__
    if (!std::getenv("FLAXDOOR_WHOLE")) return part;
#endif
    return whole;
}

}  // namespace flaxdoor::test
