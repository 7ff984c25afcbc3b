// The number of iterations of a long test loop: `whole`, but under AddressSanitizer only the first `part` of them.
// FLAXDOOR_WHOLE=1 runs all of them there, too.
#pragma once

#include <cstdlib>

namespace flaxdoor::test {

template <typename Count>
[[nodiscard]] Count iterations(Count whole, [[maybe_unused]] Count part) {
#ifdef __SANITIZE_ADDRESS__
    if (!std::getenv("FLAXDOOR_WHOLE")) return part;
#endif
    return whole;
}

}  // namespace flaxdoor::test
