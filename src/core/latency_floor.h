// The least latency that some protocols report to the policy. Their requests differ in work by a factor of a
// thousand, and a latency below this floor says nothing about load. The policy estimates an upstream's
// unloaded latency, and counts one such latency for each request in flight.
#pragma once

#include <algorithm>
#include <cstdint>

#include "flaxdoor/decide.h"

namespace flaxdoor::core {

// Returns a latency at which `at_once` concurrent requests at one upstream stay within half of the latency
// aim by the policy's estimate. With a shorter one the policy would take a few requests for overload. The
// result is at most a twelfth of the aim. This leaves the policy's timer at its shortest value, a quarter of
// the aim: the timer is three times the first latency that the policy gets.
[[nodiscard]] inline Micros latency_floor(Micros aim, std::size_t at_once) {
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(at_once, 1));
    return std::min(Micros(2 * aim.count() / (5 * count)), aim / 12);
}

}  // namespace flaxdoor::core
