// Finds the clients of one tenant with the largest cost by the Space-Saving algorithm (Metwally, Agrawal, El
// Abbadi 2005) with 64 counters for any number of clients. A count is never too low, and too high by at most
// the smallest counter (at most total/64). The count minus `error` is never too high.
//
// Threading: one thread at a time.   Cost and memory: constant.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "flaxdoor/decide.h"

namespace flaxdoor::door {

class HeavyHitters {
public:
    static constexpr std::size_t counters = 64;

    struct Counter {
        double count = 0;
        double error = 0;  // largest error of the count: the count of the counter's previous client
        // State of the client's limits. It starts with the client's counter, so it errs in the client's
        // favour.
        Time paid_until{};
        std::uint32_t open = 0;

        double guaranteed() const { return count - error; }
    };

    // Adds to the client's count. Returns the index of its counter.
    std::size_t add(std::uint64_t client, double amount);
    std::optional<std::size_t> find(std::uint64_t client) const;
    Counter& at(std::size_t index) { return counters_[index]; }
    const Counter& at(std::size_t index) const { return counters_[index]; }
    double total() const { return total_; }
    // Returns true if the client is guaranteed to have more than a quarter of the total.
    bool heavy(std::size_t index) const { return counters_[index].guaranteed() > total_ / 4; }
    // Halves all counts, so that older cost weighs less.
    void halve();

private:
    std::array<std::uint64_t, counters> clients_{};
    std::array<Counter, counters> counters_{};
    std::size_t used_ = 0;
    double total_ = 0;
};

}  // namespace flaxdoor::door
