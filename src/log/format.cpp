#include "log/format.h"

#include <fmt/format.h>

#include <ctime>
#include <iterator>
#include <nlohmann/json.hpp>

namespace flaxdoor::log {

namespace {

using fmt::format_to;
using fmt::memory_buffer;

// Formats as ISO 8601 in UTC: 2026-12-02T09:05:01.250Z
std::string timestamp(Time at) {
    const auto seconds = std::chrono::floor<std::chrono::seconds>(at);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(at - seconds).count();
    const std::time_t unix = seconds.count();
    std::tm tm{};
    ::gmtime_r(&unix, &tm);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", tm.tm_year + 1900, tm.tm_mon + 1,
                       tm.tm_mday, tm.tm_hour, tm.tm_min, tm.tm_sec, millis);
}

// Returns the text as a quoted JSON string in ASCII.
std::string quoted(std::string_view text) {
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

// Returns whether logfmt may write the text without quotes.
bool is_bare(std::string_view text) {
    if (text.empty()) return false;
    for (const char c : text) {
        const bool allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                             c == '.' || c == ':' || c == '_' || c == '-' || c == '/';
        if (!allowed) return false;
    }
    return true;
}

// Truncates a quoted text to at most `max_bytes` bytes without splitting an escape sequence, and closes the quotes.
std::string truncated(std::string text, std::size_t max_bytes) {
    std::size_t at = 1;  // after the opening quote
    while (at + 1 < text.size()) {
        std::size_t unit = text[at] != '\\' ? 1 : text[at + 1] == 'u' ? 6 : 2;
        // A surrogate pair stands for one character.
        if (unit == 6 && text.compare(at + 2, 1, "d") == 0 && text[at + 3] >= '8' && text[at + 3] <= 'b')
            unit = 12;
        if (at + unit + 1 > max_bytes) break;
        at += unit;
    }
    text.resize(at);
    return text + '"';
}

// Appends fields as long as they and the end of the line fit into max_line_bytes.
class Fields {
public:
    explicit Fields(bool json) : json_(json) {}

    void add(std::string_view name, const core::Value& value) {
        if (truncated_) return;
        std::string key;
        if (json_) {
            key = fmt::format("{}\"{}\":", out_.empty() ? "{" : ",", name);
        } else {
            key = fmt::format("{}{}=", out_.empty() ? "" : " ", name);
        }
        std::string formatted = std::visit([&](auto held) { return format_value(held); }, value.held());
        const std::size_t available = max_line_bytes - max_end_bytes - out_.size();
        if (key.size() + formatted.size() > available) {
            truncated_ = true;
            const auto* const text = std::get_if<std::string_view>(&value.held());
            if (key.size() + 2 > available || !text) return;
            formatted = quoted(*text);  // logfmt, too, quotes a truncated value
            formatted = truncated(std::move(formatted), available - key.size());
        }
        out_ += key;
        out_ += formatted;
    }

    std::string line() && {
        if (truncated_) out_ += json_ ? ",\"cut\":true" : " cut=true";
        return std::move(out_) + (json_ ? "}\n" : "\n");
    }

private:
    static constexpr std::size_t max_end_bytes = std::string_view(",\"cut\":true}\n").size();

    std::string format_value(std::string_view text) const {
        return !json_ && is_bare(text) ? std::string(text) : quoted(text);
    }
    template <std::integral T>
    std::string format_value(T number) const {
        return fmt::to_string(number);
    }

    const bool json_;
    bool truncated_ = false;
    std::string out_;
};

// Formats the text for people. Control characters are escaped: they would start a new line or control a terminal.
std::string text_line(const core::Event& event, std::span<const core::Value> values) {
    const std::string text = core::text_of(event, values);
    std::string line;
    line.reserve(text.size() + 1);
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= 0x20 && byte != 0x7f) {
            line += c;
        } else {
            format_to(std::back_inserter(line), "\\x{:02x}", byte);
        }
        if (line.size() >= max_line_bytes) break;
    }
    if (line.size() >= max_line_bytes) line.resize(max_line_bytes - 1);
    return line + '\n';
}

}  // namespace

std::string_view level_name(core::Level level) {
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names[static_cast<std::size_t>(level)];
}

std::string format_line(Format format, Time at, core::Level level, const core::Event& event,
                        std::span<const core::Value> values) {
    if (format == Format::text) return text_line(event, values);
    Fields fields(format == Format::json);
    fields.add("time", timestamp(at));
    fields.add("level", level_name(level));
    fields.add("event", event.name);
    for (std::size_t i = 0; i < event.count && i < values.size(); ++i) fields.add(event.names[i], values[i]);
    return std::move(fields).line();
}

}  // namespace flaxdoor::log
