// Parses durations, sizes and addresses as operators write them, and formats values for operators.
//   duration: a number and one of us, ms, s, m, h, as in "250ms" or "1.5s"; a whole number of microseconds
//   size:     a whole number and one of B, KiB, MiB, GiB, as in "64KiB"
//   address:  HOST:PORT, an IPv6 address in brackets
// Pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "settings/types.h"

namespace flaxdoor::settings {

// Why a text cannot be parsed, and the text that was likely meant.
struct ParseError {
    std::string what;
    std::string suggestion;               // empty if there is no likely meaning
    std::optional<double> bare_number{};  // set if only the unit is missing
};

[[nodiscard]] std::variant<Micros, ParseError> parse_duration(std::string_view text);
[[nodiscard]] std::variant<Bytes, ParseError> parse_bytes(std::string_view text);
[[nodiscard]] std::variant<Address, ParseError> parse_address(std::string_view text);

// Each returns a short text that parses to the same value. Durations and sizes use the largest unit in which
// they are whole numbers.
std::string text_of(Micros duration);
std::string text_of(Bytes size);
std::string text_of(double number);
std::string text_of(const Address& address);

// Returns the value as TOML.
std::string toml_of(const Value& value);

// Returns the number with the unit that was likely meant: the one whose value is in the range and closest to
// `usual`. Empty if no unit gives a value in the range.
std::string suggest_duration(double number, Micros least, Micros most, Micros usual);
std::string suggest_size(double number, Bytes least, Bytes most, Bytes usual);

// Quotes text of an operator for a message. Truncates long text and escapes control characters, so that the
// text cannot control a terminal.
std::string in_quotes(std::string_view text);

// Returns the word most similar to what was written, if the difference is small enough to be a typing error.
template <class Words>
std::optional<std::string> nearest(std::string_view written, const Words& words);

// Returns the edit distance of two words: letters inserted, deleted, replaced, or two adjacent letters
// swapped.
std::size_t edit_distance(std::string_view a, std::string_view b);
// Returns the greatest edit distance that still counts as a typing error in a word of this length.
constexpr std::size_t max_edit_distance(std::size_t length) { return length < 5 ? 1 : length < 9 ? 2 : 3; }

template <class Words>
std::optional<std::string> nearest(std::string_view written, const Words& words) {
    std::optional<std::string> best;
    std::size_t best_distance = max_edit_distance(written.size()) + 1;
    for (const auto& word : words) {
        const std::size_t distance = edit_distance(written, word);
        if (distance >= best_distance) continue;
        best_distance = distance;
        best = std::string(word);
    }
    return best;
}

}  // namespace flaxdoor::settings
