// The states of a store after each write, and the check of what a power cut left of it.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model.h"
#include "sim_files.h"
#include "workload.h"

namespace flaxdoor::store::test {

// States of the store after each batch. The first one is empty.
struct History {
    struct State {
        std::uint64_t sequence = 0;
        std::shared_ptr<const Model> model;
        std::shared_ptr<const std::string> text;
    };
    std::vector<State> states;

    History();
    void add(std::uint64_t sequence, std::shared_ptr<const Model> model);
    [[nodiscard]] History up_to(std::size_t state) const;  // states 0 to `state`
    const Model& last() const { return *states.back().model; }
};

// A recorded workload.
struct Recording {
    static constexpr std::size_t never = std::numeric_limits<std::size_t>::max();
    struct Times {
        std::size_t submitted = 0;    // file operations done before the batch was submitted
        std::size_t durable = never;  // file operations done when it was acknowledged as durable
    };
    History history;
    std::vector<Times> times;  // times[n - 1] belongs to state n
    std::vector<Operation> operations;
    std::uint64_t flushes = 0, merges = 0, levels = 0;
    // number of operations done, and what started then
    std::vector<std::pair<std::size_t, std::string>> marks;

    // The least and greatest number of batches that may be found after `done` operations while the next one
    // is under way.
    [[nodiscard]] std::size_t min_batches(std::size_t done) const;
    [[nodiscard]] std::size_t max_batches(std::size_t done) const;
};

// Runs a random workload of batches, background steps and one reopening through `through`. `files` records
// all operations.
Recording record(SimFiles& files, Files& through, std::uint64_t seed, std::uint64_t salts, int batches);

// Result of a check.
struct Checked {
    std::string violation;  // empty if the check passed
    std::size_t state = 0;  // index of the state that was found
};

// Checks images of a disk against a history.
class Checker {
public:
    // Checks that `image` opens to a state of the history from `min_batches` to `max_batches`, and that a
    // second opening yields the same state. Then writes a batch, cuts the disk after the acknowledgement,
    // and checks that the batch and nothing else was added.
    [[nodiscard]] Checked check(const Image& image, const History& history, std::size_t min_batches,
                                std::size_t max_batches);
    // As check(), but skips images that have been checked before.
    [[nodiscard]] Checked check_once(const Image& image, const History& history, std::size_t min_batches,
                                     std::size_t max_batches);
    // Cuts the power at a random point of the opening, and checks the result.
    [[nodiscard]] std::string check_nested(const Image& image, const History& history,
                                           std::size_t min_batches, std::size_t max_batches, Random& random);
    // Simulates a killed process: opens what the kernel kept, continues to write, and then cuts the power.
    [[nodiscard]] std::string check_killed(const Disk& disk, const History& history, std::size_t min_batches,
                                           std::size_t max_batches, Random& random);
    std::uint64_t states() const { return states_ + repeated_; }
    std::uint64_t distinct_states() const { return states_; }
    std::uint64_t dropped() const { return dropped_; }  // states in which an incomplete tail was dropped

private:
    std::uint64_t states_ = 0, repeated_ = 0;
    std::set<std::uint64_t> checked_hashes_;
    std::uint64_t dropped_ = 0;
};

// Returns a cut with probabilities drawn from `random`.
Cut random_cut(Random& random, std::string_view stale);

}  // namespace flaxdoor::store::test
