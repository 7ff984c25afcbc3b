// The types of setting values that C++ does not provide. Plain values, safe to copy to any thread.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace flaxdoor::settings {

using Micros = std::chrono::microseconds;  // a duration, never negative in settings

struct Bytes {
    std::uint64_t count = 0;
    friend constexpr auto operator<=>(const Bytes&, const Bytes&) = default;
};

constexpr Bytes kibibytes(std::uint64_t count) { return {count << 10}; }
constexpr Bytes mebibytes(std::uint64_t count) { return {count << 20}; }

// HOST:PORT. The host is an IPv4 address, an IPv6 address (stored without brackets) or a name that is not
// resolved yet.
struct Address {
    std::string host;
    std::uint16_t port = 0;
    friend bool operator==(const Address&, const Address&) = default;
};

// A path as written. A relative path is resolved against the working directory of the program at its start.
struct Path {
    std::string text;
    friend bool operator==(const Path&, const Path&) = default;
};

enum class Type { boolean, integer, real, duration, bytes, text, choice, address, path, texts };

// A value of any type. A choice, an address and a path are stored as text.
using Value = std::variant<bool, std::int64_t, double, Micros, Bytes, std::string, std::vector<std::string>>;

// When a changed value is applied: on SIGHUP or at the next start.
enum class Takes { reload, restart };

// A position in a file. Lines and columns count from 1; columns count characters. Line 0 means no position.
struct Position {
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    friend constexpr auto operator<=>(const Position&, const Position&) = default;
};

}  // namespace flaxdoor::settings
