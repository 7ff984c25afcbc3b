// The least latency that some protocols report to the policy. Their requests differ in work by a factor of a
// thousand, and a latency below this floor says nothing about load. The policy estimates an upstream's
// unloaded latency, and adds at most the upstream's latency per request for each request in flight
// (answers_in_time in src/policy/decide.cpp).
#pragma once

#include <algorithm>
#include <cstdint>

#include "flaxdoor/decide.h"

namespace flaxdoor::core {

// Returns a latency at which `at_once` concurrent requests at one upstream take at most two fifths of the
// latency aim by the policy's estimate, which accepts about half. With a shorter one the policy would take a
// few requests for overload. The result is at most a twelfth of the aim, so that the floor does not lengthen
// the policy's retry timeout: after the first answer the timeout is three times that answer's latency,
// clamped to between a quarter and four fifths of the aim (update_retry_timeout in src/policy/decide.cpp).
// Before the first answer the timeout is four fifths of the aim.
[[nodiscard]] inline Micros latency_floor(Micros aim, std::size_t at_once) {
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(at_once, 1));
    return std::min(Micros(2 * aim.count() / (5 * count)), aim / 12);
}

}  // namespace flaxdoor::core
