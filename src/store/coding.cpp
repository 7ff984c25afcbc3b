#include "store/coding.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>
#include <cstdio>

namespace flaxdoor::store {

namespace {

template <typename Number>
void put_number(std::string& out, Number value) {
    for (std::size_t i = 0; i < sizeof(Number); ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}

template <typename Number>
Number number_at(std::string_view bytes, std::size_t at) {
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value |= static_cast<Number>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    }
    return value;
}

constexpr std::size_t number_digits = 10;

}  // namespace

void put_u32(std::string& out, std::uint32_t value) { put_number(out, value); }
void put_u64(std::string& out, std::uint64_t value) { put_number(out, value); }

void put_varint(std::string& out, std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) out.push_back(static_cast<char>(value | 0x80));
    out.push_back(static_cast<char>(value));
}

void put_text(std::string& out, std::string_view text) {
    put_varint(out, text.size());
    out.append(text);
}

std::uint32_t u32_at(std::string_view bytes, std::size_t at) { return number_at<std::uint32_t>(bytes, at); }
std::uint64_t u64_at(std::string_view bytes, std::size_t at) { return number_at<std::uint64_t>(bytes, at); }

std::uint64_t hash_of(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t Reader::varint() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64 && !rest_.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(rest_.front());
        rest_.remove_prefix(1);
        if (shift == 63 && byte > 1) break;
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if (byte < 0x80) return good_ ? value : 0;
    }
    good_ = false;
    rest_ = {};
    return 0;
}

std::string_view Reader::bytes(std::uint64_t n) {
    if (n > rest_.size()) {
        good_ = false;
        rest_ = {};
        return {};
    }
    const auto field = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return field;
}

std::uint64_t Reader::u64() {
    const auto field = bytes(8);
    return good_ ? u64_at(field, 0) : 0;
}
std::uint32_t Reader::u32() {
    const auto field = bytes(4);
    return good_ ? u32_at(field, 0) : 0;
}
std::uint8_t Reader::u8() {
    const auto field = bytes(1);
    return good_ ? static_cast<std::uint8_t>(field.front()) : 0;
}

std::string printable_key(std::string_view key) {
    constexpr std::size_t max_bytes = 80;
    Reader reader(key);
    std::string text = std::to_string(reader.varint()) + ":";
    const std::string_view user_key = key.substr(key.size() - reader.left());
    for (const char byte : user_key.substr(0, max_bytes)) {
        if (byte >= ' ' && byte <= '~' && byte != '\\') {
            text.push_back(byte);
        } else {
            char code[8];
            std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned char>(byte));
            text += code;
        }
    }
    return user_key.size() > max_bytes ? text + "..." : text;
}

std::string name_of(std::uint64_t number, std::string_view kind) {
    char text[32];
    std::snprintf(text, sizeof text, "%010llu.", static_cast<unsigned long long>(number));
    return std::string(text).append(kind);
}

std::optional<ParsedFileName> parse_file_name(std::string_view name) {
    ParsedFileName parsed;
    if (name.size() < number_digits + 2 || name[number_digits] != '.') return std::nullopt;
    const auto [end, error] = std::from_chars(name.data(), name.data() + number_digits, parsed.number);
    if (error != std::errc{} || end != name.data() + number_digits) return std::nullopt;
    parsed.kind = name.substr(number_digits + 1);
    return parsed;
}

}  // namespace flaxdoor::store
