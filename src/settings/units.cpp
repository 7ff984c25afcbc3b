#include "settings/units.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <span>

namespace flaxdoor::settings {

namespace {

struct Unit {
    std::string_view name;
    std::uint64_t size;
};

constexpr std::array<Unit, 5> duration_units{
    {{"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"m", 60'000'000}, {"h", 3'600'000'000}}};
constexpr std::array<Unit, 4> size_units{
    {{"B", 1}, {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}}};

// Upper bounds of parsed values: about 31 years in microseconds, and one pebibyte. Both are far above the
// range of any setting and low enough that the arithmetic here cannot overflow.
constexpr std::uint64_t max_duration_us = 1'000'000'000'000'000;
constexpr std::uint64_t max_size_bytes = 1ULL << 50;
constexpr std::size_t max_quoted_bytes = 60;  // greatest number of bytes of an operator's text in a message

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

std::string to_lower(std::string_view text) {
    std::string lowered(text);
    for (char& c : lowered) {
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    }
    return lowered;
}

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

// A decimal number and the text after it.
struct SplitNumber {
    std::string_view whole;
    std::string_view fraction;  // the digits after the decimal point
    std::string_view literal;   // the number as written, with its fraction
    std::string_view rest;
};

std::optional<SplitNumber> split_number(std::string_view text) {
    SplitNumber parts;
    std::size_t at = 0;
    while (at < text.size() && is_digit(text[at])) ++at;
    parts.whole = text.substr(0, at);
    if (parts.whole.empty()) return std::nullopt;
    if (at + 1 < text.size() && text[at] == '.' && is_digit(text[at + 1])) {
        const std::size_t begin = ++at;
        while (at < text.size() && is_digit(text[at])) ++at;
        parts.fraction = text.substr(begin, at - begin);
    }
    parts.literal = text.substr(0, at);
    parts.rest = text.substr(at);
    return parts;
}

const Unit* find_unit(std::span<const Unit> units, std::string_view name) {
    const auto found =
        std::find_if(units.begin(), units.end(), [&](const Unit& unit) { return unit.name == name; });
    return found == units.end() ? nullptr : &*found;
}

std::optional<std::uint64_t> whole_number(std::string_view digits) {
    std::uint64_t number = 0;
    const auto [last, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || last != digits.data() + digits.size()) return std::nullopt;
    return number;
}

enum class ConversionError { none, too_large, too_fine };

// Sets `total` to the number times the size of the unit.
ConversionError to_smallest_unit(const SplitNumber& parts, std::uint64_t unit, std::uint64_t max_total,
                                 std::uint64_t& total) {
    const auto whole = whole_number(parts.whole);
    if (!whole || *whole > max_total / unit) return ConversionError::too_large;
    total = *whole * unit;
    std::string_view fraction = parts.fraction;
    while (!fraction.empty() && fraction.back() == '0') fraction.remove_suffix(1);
    if (fraction.size() > 9) return ConversionError::too_fine;  // up to nine digits cannot overflow below
    std::uint64_t part = 0, scale = 1;
    for (const char digit : fraction) {
        part = 10 * part + static_cast<std::uint64_t>(digit - '0');
        scale *= 10;
    }
    if (part * unit % scale != 0) return ConversionError::too_fine;
    total += part * unit / scale;
    return total > max_total ? ConversionError::too_large : ConversionError::none;
}

std::string canonical_duration_unit(std::string_view written) {
    const std::string unit = to_lower(written);
    const auto is = [&](std::initializer_list<std::string_view> names) {
        return std::find(names.begin(), names.end(), unit) != names.end();
    };
    if (is({"us", "usec", "usecs", "microsecond", "microseconds", "\xc2\xb5s", "\xce\xbcs"})) return "us";
    if (is({"ms", "msec", "msecs", "milli", "millis", "millisecond", "milliseconds"})) return "ms";
    if (is({"s", "sec", "secs", "second", "seconds"})) return "s";
    if (is({"m", "min", "mins", "minute", "minutes"})) return "m";
    if (is({"h", "hr", "hrs", "hour", "hours"})) return "h";
    return {};
}

std::string canonical_size_unit(std::string_view written) {
    const std::string unit = to_lower(written);
    if (unit == "b" || unit == "byte" || unit == "bytes") return "B";
    for (const char letter : {'k', 'm', 'g'}) {
        const std::string one(1, letter);
        if (unit == one || unit == one + "b" || unit == one + "i" || unit == one + "ib") {
            return std::string(1, static_cast<char>(letter - 'a' + 'A')) + "iB";
        }
    }
    return {};
}

struct UnitGrammar {
    std::string_view kind;  // used in messages
    std::string_view example;
    std::span<const Unit> units;
    std::string_view unit_list;
    std::uint64_t max_total;
    std::string (*canonical_unit)(std::string_view);
};

constexpr UnitGrammar duration_grammar{"a duration",        "250ms",         duration_units,
                                       "us, ms, s, m or h", max_duration_us, canonical_duration_unit};
constexpr UnitGrammar size_grammar{
    "a size", "64KiB", size_units, "B, KiB, MiB or GiB", max_size_bytes, canonical_size_unit};

std::variant<std::uint64_t, ParseError> parse(std::string_view text, const UnitGrammar& grammar) {
    const std::string kind(grammar.kind);
    const std::string_view inner = trim(text);
    if (!inner.empty() && inner.front() == '-') return ParseError{kind + " cannot be negative", {}};
    const auto parts = split_number(inner);
    if (!parts) {
        return ParseError{
            in_quotes(text) + " is not " + kind + " such as \"" + std::string(grammar.example) + "\"", {}};
    }
    if (parts->rest.empty()) {
        double bare_number = 0;
        std::from_chars(parts->literal.data(), parts->literal.data() + parts->literal.size(), bare_number);
        return ParseError{
            in_quotes(text) + " has no unit (" + std::string(grammar.unit_list) + ")", {}, bare_number};
    }
    const Unit* const unit = find_unit(grammar.units, parts->rest);
    if (!unit || inner != text) {
        const std::string_view written = trim(parts->rest);
        const std::string usual = grammar.canonical_unit(written);
        ParseError why{
            in_quotes(text) + " is not a number followed at once by " + std::string(grammar.unit_list), {}};
        if (!usual.empty()) why.suggestion = std::string(parts->literal) + usual;
        const auto days = whole_number(parts->literal);  // empty if the number has a fraction
        const bool is_duration = grammar.canonical_unit == canonical_duration_unit;
        const bool in_days = written == "d" || written == "day" || written == "days";
        if (is_duration && in_days && days && *days < 10'000)
            why.suggestion = std::to_string(24 * *days) + "h";
        return why;
    }
    std::uint64_t total = 0;
    switch (to_smallest_unit(*parts, unit->size, grammar.max_total, total)) {
        case ConversionError::none: return total;
        case ConversionError::too_large: return ParseError{in_quotes(text) + " is too large", {}};
        case ConversionError::too_fine:
            return ParseError{in_quotes(text) + " is not a whole number of " +
                                  (grammar.units.front().name == "B" ? "bytes" : "microseconds"),
                              {}};
    }
    return ParseError{};
}

std::string format_in_largest_unit(std::uint64_t total, std::span<const Unit> units, std::string_view zero) {
    if (total == 0) return std::string(zero);
    const Unit* best = &units.front();
    for (const Unit& unit : units) {
        if (total % unit.size == 0) best = &unit;
    }
    return std::to_string(total / best->size) + std::string(best->name);
}

std::string add_likely_unit(double number, std::span<const Unit> units, double least, double most,
                            double usual) {
    const double near = std::max(1.0, usual);
    const Unit* best = nullptr;
    double best_distance = std::numeric_limits<double>::infinity();
    for (const Unit& unit : units) {
        const double total = number * static_cast<double>(unit.size);
        if (!(total >= least && total <= most)) continue;
        const double distance = std::abs(std::log(std::max(1.0, total) / near));
        if (distance >= best_distance) continue;
        best = &unit;
        best_distance = distance;
    }
    if (!best) return {};
    return text_of(number) + std::string(best->name);
}

bool is_host_name(std::string_view host) {
    if (host.empty() || host.size() > 253) return false;
    bool letter = false;  // a name of digits and dots alone is a malformed IPv4 address
    std::size_t label = 0;
    for (std::size_t i = 0; i < host.size(); ++i) {
        const char c = host[i];
        if (c == '.') {
            if (label == 0 || host[i - 1] == '-') return false;
            label = 0;
            continue;
        }
        const bool hyphen = c == '-' && label > 0;
        if (!is_digit(c) && !is_letter(c) && c != '_' && !hyphen) return false;
        letter = letter || is_letter(c);
        if (++label > 63) return false;
    }
    return letter && label > 0 && host.back() != '-';
}

bool is_host(const std::string& host, bool in_brackets) {
    unsigned char bytes[sizeof(in6_addr)];
    if (in_brackets) return ::inet_pton(AF_INET6, host.c_str(), bytes) == 1;
    return ::inet_pton(AF_INET, host.c_str(), bytes) == 1 || is_host_name(host);
}

std::string quote_toml(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (c == '\n') {
            out += "\\n";
        } else if (c == '\t') {
            out += "\\t";
        } else {
            out += c;
        }
    }
    return out + '"';
}

}  // namespace

std::variant<Micros, ParseError> parse_duration(std::string_view text) {
    auto parsed = parse(text, duration_grammar);
    if (auto* why = std::get_if<ParseError>(&parsed)) return std::move(*why);
    return Micros(static_cast<std::int64_t>(std::get<std::uint64_t>(parsed)));
}

std::variant<Bytes, ParseError> parse_bytes(std::string_view text) {
    auto parsed = parse(text, size_grammar);
    if (auto* why = std::get_if<ParseError>(&parsed)) return std::move(*why);
    return Bytes{std::get<std::uint64_t>(parsed)};
}

std::variant<Address, ParseError> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        const bool host = is_host(std::string(text), false);
        return ParseError{in_quotes(text) + (host ? " has no port" : " is not HOST:PORT"), {}};
    }
    std::string host(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    const bool in_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (in_brackets) host = host.substr(1, host.size() - 2);
    if (!in_brackets && host.find(':') != std::string::npos) {
        ParseError why{in_quotes(text) + " is not HOST:PORT", {}};
        if (is_host(host, true)) why.suggestion = "[" + host + "]:" + std::string(digits);
        return why;
    }
    if (!is_host(host, in_brackets)) {
        return ParseError{in_quotes(text) + " has an invalid host", {}};
    }
    const auto port = whole_number(digits);
    if (!port || *port > 65535) return ParseError{in_quotes(text) + " has no port from 0 to 65535", {}};
    return Address{std::move(host), static_cast<std::uint16_t>(*port)};
}

std::string text_of(Micros duration) {
    return format_in_largest_unit(static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count())),
                                  duration_units, "0s");
}

std::string text_of(Bytes size) { return format_in_largest_unit(size.count, size_units, "0B"); }

std::string text_of(double number) {
    std::array<char, 32> text{};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} ? std::string(text.data(), end) : std::string("?");
}

std::string text_of(const Address& address) {
    const bool v6 = address.host.find(':') != std::string::npos;
    return (v6 ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
}

std::string toml_of(const Value& value) {
    struct Writer {
        std::string operator()(bool held) const { return held ? "true" : "false"; }
        std::string operator()(std::int64_t held) const { return std::to_string(held); }
        std::string operator()(double held) const {
            const std::string text = text_of(held);
            return text.find_first_of(".e") == std::string::npos ? text + ".0" : text;
        }
        std::string operator()(Micros held) const { return quote_toml(text_of(held)); }
        std::string operator()(Bytes held) const { return quote_toml(text_of(held)); }
        std::string operator()(const std::string& held) const { return quote_toml(held); }
        std::string operator()(const std::vector<std::string>& held) const {
            std::string out = "[";
            for (std::size_t i = 0; i < held.size(); ++i) out += (i ? ", " : "") + quote_toml(held[i]);
            return out + "]";
        }
    };
    return std::visit(Writer{}, value);
}

std::string suggest_duration(double number, Micros least, Micros most, Micros usual) {
    return add_likely_unit(number, duration_units, static_cast<double>(least.count()),
                           static_cast<double>(most.count()), static_cast<double>(usual.count()));
}

std::string suggest_size(double number, Bytes least, Bytes most, Bytes usual) {
    if (number != std::floor(number)) return {};
    // A size in bytes, as other programs accept it.
    if (number >= 1024 && number >= static_cast<double>(least.count) &&
        number <= static_cast<double>(most.count)) {
        return text_of(Bytes{static_cast<std::uint64_t>(number)});
    }
    return add_likely_unit(number, size_units, static_cast<double>(least.count),
                           static_cast<double>(most.count), static_cast<double>(usual.count));
}

std::string in_quotes(std::string_view text) {
    std::string out = "\"";
    std::size_t end = text.size();
    if (end > max_quoted_bytes) {
        end = max_quoted_bytes;
        while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80)
            --end;  // do not cut within a UTF-8 character
    }
    constexpr std::string_view hex = "0123456789abcdef";
    for (std::size_t i = 0; i < end; ++i) {
        const char c = text[i];
        const auto byte = static_cast<unsigned char>(c);
        // U+0080 to U+009F are control characters of terminals, too.
        const bool upper_control =
            byte == 0xC2 && i + 1 < end && static_cast<unsigned char>(text[i + 1]) < 0xA0;
        if (upper_control) continue;
        if (byte < 0x20 || byte == 0x7F || (i > 0 && text[i - 1] == '\xC2' && byte < 0xA0)) {
            out += "\\x";
            out += hex[byte >> 4];
            out += hex[byte & 15];
        } else {
            out += c;
        }
    }
    return out + (end < text.size() ? "...\"" : "\"");
}

std::size_t edit_distance(std::string_view a, std::string_view b) {
    constexpr std::size_t longest = 64;  // no key is longer; bounds the time for long words
    if (a.size() > longest || b.size() > longest) return longest;
    // The current and the two previous rows of the distance matrix (optimal string alignment).
    std::array<std::array<std::size_t, longest + 1>, 3> rows{};
    for (std::size_t j = 0; j <= b.size(); ++j) rows[0][j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        auto& row = rows[i % 3];
        const auto& above = rows[(i + 2) % 3];
        const auto& two_above = rows[(i + 1) % 3];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t changed = above[j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({above[j] + 1, row[j - 1] + 1, changed});
            if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1]) {
                row[j] = std::min(row[j], two_above[j - 2] + 1);
            }
        }
    }
    return rows[a.size() % 3][b.size()];
}

}  // namespace flaxdoor::settings
