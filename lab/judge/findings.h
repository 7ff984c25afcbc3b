// The judge's findings: the broken rules, and counts of what was judged.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flaxdoor::lab {

// `trace` is not a rule: it stands for contradictory records, a fault of the program that wrote them.
enum class Rule : std::uint8_t { trace, answers, effects, drains, cold };
inline constexpr std::size_t rules = 5;
std::string_view text_of(Rule rule);

struct Broken {
    Rule rule = Rule::trace;
    std::uint64_t at = 0;    // microseconds
    std::uint64_t call = 0;  // 0 for none
    std::optional<std::uint32_t> balancer, server;
    std::string what;  // a description with the figures
    [[nodiscard]] std::string text() const;
};

struct Counts {
    std::uint64_t records = 0;
    std::uint64_t asked = 0, taken = 0;
    std::array<std::uint64_t, 3> answers{};  // by Verdict
    std::uint64_t not_owed = 0;              // accepted calls whose client disconnected or timed out before
    std::uint64_t orphaned = 0;              // calls of balancers that were killed
    std::uint64_t undecided = 0;             // calls not yet due at the world's end
    std::uint64_t sendings = 0;              // attempts
    std::uint64_t unsafe_again = 0;          // of these: repeated attempts of unsafe calls
    std::uint64_t keyed_again = 0;           // attempts of a keyed call after one that may have executed
    std::uint64_t keyed_twice = 0;           // keyed calls with more than one effect; reported, not judged
    std::uint64_t while_leaving = 0;         // attempts sent within the drain grace period
    std::uint64_t cold_starts = 0, falls = 0;
    std::uint64_t ran_unwatched = 0;  // effects of calls that were no longer tracked
    std::array<std::uint64_t, rules> broken{};
};

class Findings {
public:
    // Limit of the stored findings; all are counted.
    static constexpr std::size_t most_kept = 1000;

    void add(Broken broken) {
        ++counts.broken[static_cast<std::size_t>(broken.rule)];
        if (broken_.size() < most_kept) broken_.push_back(std::move(broken));
    }
    // In the order of their detection.
    const std::vector<Broken>& broken() const { return broken_; }

    Counts counts;

private:
    std::vector<Broken> broken_;
};

}  // namespace flaxdoor::lab
