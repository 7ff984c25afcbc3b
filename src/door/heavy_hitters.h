// The clients of one tenant that send the most, by Space-Saving (Metwally, Agrawal, El Abbadi 2005): 64
// counters, whoever they are. A count is at most the smallest counter too high (at most total/64) and never too
// low; count less `error` is never too high.
//
// Threading: one thread at a time.   Work and bytes: constant.
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
        double error = 0;  // of the count: what whoever had the counter before had
        // For limits of a client; they begin with its counter, so they err in its favour.
        Time paid_until{};
        std::uint32_t open = 0;

        double sure() const { return count - error; }
    };

    // Books it, and returns its place.
    std::size_t add(std::uint64_t client, double amount);
    std::optional<std::size_t> find(std::uint64_t client) const;
    Counter& at(std::size_t place) { return counters_[place]; }
    const Counter& at(std::size_t place) const { return counters_[place]; }
    double total() const { return total_; }
    // Surely more than a quarter of all.
    bool heavy(std::size_t place) const { return counters_[place].sure() > total_ / 4; }
    // What was long ago counts less: all are halved.
    void halve();

private:
    std::array<std::uint64_t, counters> clients_{};
    std::array<Counter, counters> counters_{};
    std::size_t used_ = 0;
    double total_ = 0;
};

}  // namespace flaxdoor::door
