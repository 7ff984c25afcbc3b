// What a client saw of its calls, by class: counts of outcomes and latencies, as a table and as JSON.
// Threading: plain values. Bounded: a fixed table of buckets for latencies, at most 64 classes.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "standins/latencies.h"

namespace flaxdoor::standins {

enum class Outcome {
    served,      // 200, and the body was made for this request
    refused,     // 429 or 503
    failed,      // any other status
    foreign,     // 200, and the body was not made for this request
    broken,      // the connection could not be made, or ended with no whole answer, or what came is no HTTP
    late,        // a whole answer, after the budget
    unanswered,  // nothing whole until the client gave up, some time after the budget
    left,        // the client went away by itself before an answer
};
inline constexpr std::size_t outcomes = 8;
[[nodiscard]] std::string_view name_of(Outcome outcome);

struct ClassTally {
    std::uint64_t calls = 0;  // that have an outcome
    std::array<std::uint64_t, outcomes> by_outcome{};
    std::uint64_t again = 0;   // requests sent beyond the first of a call, by hand
    std::uint64_t resent = 0;  // sent once more as a kept connection had ended under the request
    Latencies served;          // of served calls
    Latencies answered;        // of all calls with a whole answer

    [[nodiscard]] std::uint64_t operator[](Outcome o) const {
        return by_outcome[static_cast<std::size_t>(o)];
    }
    void merge(const ClassTally& other);
};

struct ClientReport {
    std::map<std::string, ClassTally> classes;
    std::uint64_t connections = 0, connects_failed = 0;
    std::uint64_t surplus = 0;        // connections on which bytes came that no request asked for
    std::uint64_t garbled = 0;        // of the broken: what came is no HTTP
    std::uint64_t broken_kept = 0;    // of the broken: a kept connection ended with no byte of an answer
    std::uint64_t informational = 0;  // 1xx answers
    std::uint64_t retry_after = 0;    // refusals with a Retry-After that can be read
    std::uint64_t not_sent = 0;       // open loop: arrivals left out, as too many calls were out
    std::chrono::microseconds lag_most{0};  // open loop: the most that a send was behind its time
    double seconds = 0;
    std::uint64_t seed = 0;

    [[nodiscard]] ClassTally total() const;
    [[nodiscard]] std::string table() const;
    [[nodiscard]] std::string json() const;  // one line
};

}  // namespace flaxdoor::standins
