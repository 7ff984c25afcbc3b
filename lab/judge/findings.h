// What the judge found: rules that were broken, and how much it judged.
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

// `trace`: no rule, but records that contradict each other; the fault of the world that wrote them.
enum class Rule : std::uint8_t { trace, answers, effects, drains, cold };
inline constexpr std::size_t rules = 5;
std::string_view text_of(Rule rule);

struct Broken {
    Rule rule = Rule::trace;
    std::uint64_t at = 0;    // us
    std::uint64_t call = 0;  // 0: none
    std::optional<std::uint32_t> balancer, server;
    std::string what;  // a sentence with the figures
    [[nodiscard]] std::string text() const;
};

struct Counts {
    std::uint64_t records = 0;
    std::uint64_t asked = 0, taken = 0;
    std::array<std::uint64_t, 3> answers{};  // by Verdict
    std::uint64_t not_owed = 0;       // taken, but the client went earlier, or its time was over by then
    std::uint64_t orphaned = 0;       // held by a balancer that was killed
    std::uint64_t undecided = 0;      // the world ended before their time did
    std::uint64_t sendings = 0;       // attempts
    std::uint64_t unsafe_again = 0;   // of these: of an unsafe call, after another one
    std::uint64_t keyed_again = 0;    // of a keyed call, after one that may have run
    std::uint64_t keyed_twice = 0;    // keyed calls whose effect happened more than once; told, not judged
    std::uint64_t while_leaving = 0;  // sendings within the grace
    std::uint64_t cold_starts = 0, falls = 0;
    std::uint64_t ran_unwatched = 0;  // effects of calls that were forgotten by then
    std::array<std::uint64_t, rules> broken{};
};

class Findings {
public:
    // So many are kept; all are counted.
    static constexpr std::size_t most_kept = 1000;

    void add(Broken broken) {
        ++counts.broken[static_cast<std::size_t>(broken.rule)];
        if (broken_.size() < most_kept) broken_.push_back(std::move(broken));
    }
    // In the order in which they were found.
    const std::vector<Broken>& broken() const { return broken_; }

    Counts counts;

private:
    std::vector<Broken> broken_;
};

}  // namespace flaxdoor::lab
