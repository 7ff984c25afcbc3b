// Why some backs tell the module of no latency below a floor: work differs a thousandfold, and what is that
// short says nothing of a crowd. The module reckons a lone latency for each request in flight.
#pragma once

#include <algorithm>
#include <cstdint>

#include "flaxdoor/decide.h"

namespace flaxdoor::core {

// So much that so many at once at one server still keep within half of the aim by the module's reckoning:
// with less, it would take few of them for a crowd. And at most what leaves the module's timer at its
// shortest, a quarter of the aim (three times the first latency that it hears).
[[nodiscard]] inline Micros latency_floor(Micros aim, std::size_t at_once) {
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(at_once, 1));
    return std::min(Micros(2 * aim.count() / (5 * count)), aim / 12);
}

}  // namespace flaxdoor::core
