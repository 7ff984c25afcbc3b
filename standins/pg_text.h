// PostgreSQL's messages for the stand-ins and for tests: written here a second time, so that a fault of the
// program's own codec is not shared by what judges it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standins::pg {

struct Message {
    char type = 0;
    std::string body;
};

inline std::string int32(std::uint32_t value) {
    return {static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
            static_cast<char>(value)};
}
inline std::string int16(int value) { return {static_cast<char>(value >> 8), static_cast<char>(value)}; }
inline std::uint32_t int32_at(std::string_view text, std::size_t at) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(text.at(at + i));
    return value;
}
inline std::string text0(std::string_view text) { return std::string(text) + '\0'; }
inline std::string message(char type, std::string_view body) {
    return std::string(1, type) + int32(static_cast<std::uint32_t>(body.size() + 4)) + std::string(body);
}
inline std::string untyped(std::string_view body) {
    return int32(static_cast<std::uint32_t>(body.size() + 4)) + std::string(body);
}

// ------------------------------------------------------------------------------------------- what clients
// send

inline std::string startup(const std::vector<std::pair<std::string, std::string>>& options) {
    std::string body = int32(3 << 16);
    for (const auto& [name, value] : options) body += text0(name) + text0(value);
    return untyped(body + '\0');
}
inline std::string cancel(std::uint32_t process, std::uint32_t secret) {
    return untyped(int32(80877102) + int32(process) + int32(secret));
}
inline std::string query(std::string_view sql) { return message('Q', text0(sql)); }
inline std::string parse(std::string_view name, std::string_view sql) {
    return message('P', text0(name) + text0(sql) + int16(0));
}
inline std::string bind(std::string_view portal, std::string_view name) {
    return message('B', text0(portal) + text0(name) + int16(0) + int16(0) + int16(0));
}
inline std::string describe(char kind, std::string_view name) {
    return message('D', std::string(1, kind) + text0(name));
}
inline std::string close(char kind, std::string_view name) {
    return message('C', std::string(1, kind) + text0(name));
}
inline std::string execute(std::string_view portal, std::uint32_t rows = 0) {
    return message('E', text0(portal) + int32(rows));
}
inline std::string sync() { return message('S', ""); }
inline std::string flush() { return message('H', ""); }
inline std::string terminate() { return message('X', ""); }
inline std::string copy_data(std::string_view data) { return message('d', data); }
inline std::string copy_done() { return message('c', ""); }
// One statement by the extended protocol, without its Sync.
inline std::string extended(std::string_view sql) {
    return parse("", sql) + bind("", "") + describe('P', "") + execute("");
}

// -------------------------------------------------------------------------------------------- what comes
// back

// Takes whole messages off the front of a text.
inline std::optional<Message> take(std::string& text) {
    if (text.size() < 5) return std::nullopt;
    const std::size_t length = int32_at(text, 1);
    if (text.size() < length + 1) return std::nullopt;
    Message message{text[0], text.substr(5, length - 4)};
    text.erase(0, length + 1);
    return message;
}

inline std::map<char, std::string> fields(const std::string& body) {
    std::map<char, std::string> all;
    for (std::size_t at = 0; at < body.size() && body[at] != '\0';) {
        const char name = body[at++];
        const std::size_t end = body.find('\0', at);
        all[name] = body.substr(at, end - at);
        at = end + 1;
    }
    return all;
}

}  // namespace standins::pg
