// What is told of: an event has a name that stays, a level, fields, and the line that people read. Values come with the
// event, in the order of its fields; how many there must be the compiler holds.
//
// Ownership: an Event is a constant and lives as long as the program; a Value borrows its text for the call.
#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace flaxdoor::core {

enum class Level : std::uint8_t { debug, info, warning, error };

class Value {
public:
    template <std::signed_integral T>
    Value(T number) : held_(static_cast<std::int64_t>(number)) {}
    template <std::unsigned_integral T>
    Value(T number) : held_(static_cast<std::uint64_t>(number)) {}
    template <std::convertible_to<std::string_view> T>
    Value(const T& text) : held_(std::string_view(text)) {}

    const auto& held() const { return held_; }

private:
    std::variant<std::int64_t, std::uint64_t, std::string_view> held_;
};

struct Event {
    static constexpr std::size_t fields_most = 4;

    std::string_view name{};
    Level level = Level::info;
    // "{field}" stands for its value, "{field:server}" for "1 server", "2 servers".
    std::string_view text{};
    std::array<std::string_view, fields_most> names{};
    std::size_t count = 0;

    std::span<const std::string_view> fields() const { return {names.data(), count}; }
};

// One with so many fields.
template <std::size_t N>
struct EventOf : Event {};

// Does not compile unless the text has each field once, and nothing else in braces: neither the line nor the
// fields know more than the other.
template <class... Fields>
consteval EventOf<sizeof...(Fields)> event(std::string_view name, Level level, std::string_view text,
                                           Fields... fields) {
    static_assert(sizeof...(Fields) <= Event::fields_most);
    EventOf<sizeof...(Fields)> made;
    made.name = name;
    made.level = level;
    made.text = text;
    made.names = {std::string_view(fields)...};
    made.count = sizeof...(Fields);
    std::array<bool, Event::fields_most> seen{};
    for (auto open = text.find('{'); open != text.npos; open = text.find('{', open + 1)) {
        const auto close = text.find('}', open);
        if (close == text.npos) throw "a brace is not closed";
        std::string_view field = text.substr(open + 1, close - open - 1);
        field = field.substr(0, field.find(':'));
        std::size_t at = 0;
        while (at < made.count && made.names[at] != field) ++at;
        if (at == made.count || seen[at]) throw "no such field, or there twice";
        seen[at] = true;
    }
    for (std::size_t i = 0; i < made.count; ++i) {
        if (!seen[i]) throw "a field that the text leaves out";
    }
    return made;
}

// The line that people read, as long as it comes out. `values` are as many as the event has fields.
std::string text_of(const Event& event, std::span<const Value> values);

// The core's own. All others: src/log/events.h.
namespace events {
inline constexpr auto from_module = event("module", Level::info, "{text}", "text");
inline constexpr auto fault = event("fault", Level::error, "fault: {what}", "what");
}  // namespace events

}  // namespace flaxdoor::core
