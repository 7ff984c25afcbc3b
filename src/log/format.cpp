#include "log/format.h"

#include <fmt/format.h>

#include <ctime>
#include <iterator>
#include <nlohmann/json.hpp>

namespace flaxdoor::log {

namespace {

using fmt::format_to;
using fmt::memory_buffer;

// 2026-12-02T09:05:01.250Z
std::string time_of(Time at) {
    const auto seconds = std::chrono::floor<std::chrono::seconds>(at);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(at - seconds).count();
    const std::time_t unix = seconds.count();
    std::tm tm{};
    ::gmtime_r(&unix, &tm);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", tm.tm_year + 1900, tm.tm_mon + 1,
                       tm.tm_mday, tm.tm_hour, tm.tm_min, tm.tm_sec, millis);
}

// In quotes, ASCII only.
std::string quoted(std::string_view text) {
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

bool is_bare(std::string_view text) {
    if (text.empty()) return false;
    for (const char c : text) {
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                           c == '.' || c == ':' || c == '_' || c == '-' || c == '/';
        if (!plain) return false;
    }
    return true;
}

// The longest beginning of a quoted text that has so many bytes and no escape cut in two, its quotes closed.
std::string cut(std::string text, std::size_t room) {
    std::size_t at = 1;  // behind the opening quote
    while (at + 1 < text.size()) {
        std::size_t unit = text[at] != '\\' ? 1 : text[at + 1] == 'u' ? 6 : 2;
        // Two halves of one character.
        if (unit == 6 && text.compare(at + 2, 1, "d") == 0 && text[at + 3] >= '8' && text[at + 3] <= 'b')
            unit = 12;
        if (at + unit + 1 > room) break;
        at += unit;
    }
    text.resize(at);
    return text + '"';
}

// Writes fields as long as they fit beside what ends the line.
class Fields {
public:
    explicit Fields(bool json) : json_(json) {}

    void add(std::string_view name, const core::Value& value) {
        if (cut_) return;
        std::string key;
        if (json_) {
            key = fmt::format("{}\"{}\":", out_.empty() ? "{" : ",", name);
        } else {
            key = fmt::format("{}{}=", out_.empty() ? "" : " ", name);
        }
        std::string worded = std::visit([&](auto held) { return word(held); }, value.held());
        const std::size_t room = line_most - end_most - out_.size();
        if (key.size() + worded.size() > room) {
            cut_ = true;
            const auto* const text = std::get_if<std::string_view>(&value.held());
            if (key.size() + 2 > room || !text) return;
            worded = quoted(*text);  // also what logfmt writes bare
            worded = cut(std::move(worded), room - key.size());
        }
        out_ += key;
        out_ += worded;
    }

    std::string line() && {
        if (cut_) out_ += json_ ? ",\"cut\":true" : " cut=true";
        return std::move(out_) + (json_ ? "}\n" : "\n");
    }

private:
    static constexpr std::size_t end_most = std::string_view(",\"cut\":true}\n").size();

    std::string word(std::string_view text) const {
        return !json_ && is_bare(text) ? std::string(text) : quoted(text);
    }
    template <std::integral T>
    std::string word(T number) const {
        return fmt::to_string(number);
    }

    const bool json_;
    bool cut_ = false;
    std::string out_;
};

// As it always was, but for what would begin another line or speak to a terminal.
std::string plain(const core::Event& event, std::span<const core::Value> values) {
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
        if (line.size() >= line_most) break;
    }
    if (line.size() >= line_most) line.resize(line_most - 1);
    return line + '\n';
}

}  // namespace

std::string_view word_of(core::Level level) {
    constexpr std::array<std::string_view, 4> words{"debug", "info", "warning", "error"};
    return words[static_cast<std::size_t>(level)];
}

std::string line_of(Format format, Time at, core::Level level, const core::Event& event,
                    std::span<const core::Value> values) {
    if (format == Format::text) return plain(event, values);
    Fields fields(format == Format::json);
    fields.add("time", time_of(at));
    fields.add("level", word_of(level));
    fields.add("event", event.name);
    for (std::size_t i = 0; i < event.count && i < values.size(); ++i) fields.add(event.names[i], values[i]);
    return std::move(fields).line();
}

}  // namespace flaxdoor::log
