// Structured log events. An event has a stable name, a level, named fields, and a text template for people.
// Its values are passed in the order of its fields; the compiler checks their number.
//
// Ownership: an Event is a constant with static storage duration; a Value borrows its text for the duration
// of a call.
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

// The value of a field: a number or a text.
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
    static constexpr std::size_t max_fields = 4;

    std::string_view name{};
    Level level = Level::info;
    // "{field}" is replaced by the field's value, "{field:server}" by "1 server" or "2 servers".
    std::string_view text{};
    std::array<std::string_view, max_fields> names{};
    std::size_t count = 0;

    std::span<const std::string_view> fields() const { return {names.data(), count}; }
};

// An event with N fields.
template <std::size_t N>
struct EventOf : Event {};

// Makes an event. Does not compile unless the text names each field exactly once and has nothing else in
// braces, so that the text and the fields always carry the same information.
template <class... Fields>
consteval EventOf<sizeof...(Fields)> event(std::string_view name, Level level, std::string_view text,
                                           Fields... fields) {
    static_assert(sizeof...(Fields) <= Event::max_fields);
    EventOf<sizeof...(Fields)> result;
    result.name = name;
    result.level = level;
    result.text = text;
    result.names = {std::string_view(fields)...};
    result.count = sizeof...(Fields);
    std::array<bool, Event::max_fields> seen{};
    for (auto open = text.find('{'); open != text.npos; open = text.find('{', open + 1)) {
        const auto close = text.find('}', open);
        if (close == text.npos) throw "unclosed brace in the text of an event";
        std::string_view field = text.substr(open + 1, close - open - 1);
        field = field.substr(0, field.find(':'));
        std::size_t index = 0;
        while (index < result.count && result.names[index] != field) ++index;
        if (index == result.count || seen[index]) throw "the text names an unknown field, or a field twice";
        seen[index] = true;
    }
    for (std::size_t i = 0; i < result.count; ++i) {
        if (!seen[i]) throw "the text does not name a field of the event";
    }
    return result;
}

// Returns the event's text with the values in place of the fields. The length is not limited. Requires as
// many values as the event has fields.
std::string text_of(const Event& event, std::span<const Value> values);

// The events of the core. All others are in src/log/events.h.
namespace events {
inline constexpr auto from_module = event("module", Level::info, "{text}", "text");
inline constexpr auto fault = event("fault", Level::error, "fault: {what}", "what");
}  // namespace events

}  // namespace flaxdoor::core
