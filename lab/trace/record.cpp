#include "trace/record.h"

#include <array>
#include <cstddef>
#include <cstdio>

namespace flaxdoor::lab {

namespace {

// Returns the name of a value, or "unknown" for one beyond the names, which a file may contain.
template <std::size_t N, typename Kind>
std::string_view name_of(const std::array<std::string_view, N>& names, Kind kind) {
    const auto number = static_cast<std::size_t>(kind);
    return number < N ? names[number] : "unknown";
}

}  // namespace

std::string_view text_of(Event event) {
    static constexpr std::array<std::string_view, event_kinds> names{
        "asked",        "repeats", "received",    "gave_up", "unreached", "taken",
        "final_answer", "sending", "heard",       "came_up", "killed",    "told_to_end",
        "ended",        "arrived", "turned_away", "ran",     "replied",   "server_up",
        "server_down",  "fell",    "load",        "told",    "trouble",   "over"};
    return name_of(names, event);
}

std::string_view text_of(Verdict verdict) {
    return name_of(std::array<std::string_view, 3>{"served", "refused", "failed"}, verdict);
}

std::string_view text_of(Reply reply) {
    return name_of(std::array<std::string_view, 3>{"ok", "error", "spoilt"}, reply);
}

std::string_view text_of(Heard heard) {
    return name_of(
        std::array<std::string_view, 6>{"ok", "error", "turned_away", "never_left", "reset", "timed_out"},
        heard);
}

std::string_view text_of(Word word) {
    return name_of(std::array<std::string_view, 3>{"ready", "draining", "gone"}, word);
}

std::string text_of_time(std::uint64_t us) {
    char text[40];
    std::snprintf(text, sizeof text, "%llu.%06llu s", static_cast<unsigned long long>(us / 1000000),
                  static_cast<unsigned long long>(us % 1000000));
    return text;
}

}  // namespace flaxdoor::lab
