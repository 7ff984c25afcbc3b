// Encoding of numbers and strings as bytes, and the hash function; docs/store_format.md describes the
// encoding. Functions without state. Reader never reads past the end of its input.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flaxdoor::store {

void put_u32(std::string& out, std::uint32_t value);
void put_u64(std::string& out, std::uint64_t value);
void put_varint(std::string& out, std::uint64_t value);
void put_text(std::string& out, std::string_view text);  // the length as a varint, then the bytes

// Decode the number at offset `at`. Requires that `bytes` holds it completely.
[[nodiscard]] std::uint32_t u32_at(std::string_view bytes, std::size_t at);
[[nodiscard]] std::uint64_t u64_at(std::string_view bytes, std::size_t at);

[[nodiscard]] std::uint64_t hash_of(std::string_view bytes, std::uint64_t seed);

// Decodes values from the front of a byte string. After a value was missing or malformed, good() is false
// and all later reads return zero or empty values.
class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
    std::uint64_t varint();
    std::uint64_t u64();
    std::uint32_t u32();
    std::uint8_t u8();
    std::string_view bytes(std::uint64_t n);
    std::string_view text() { return bytes(varint()); }

    bool good() const { return good_; }
    bool empty() const { return rest_.empty(); }
    std::size_t left() const { return rest_.size(); }

private:
    std::string_view rest_;
    bool good_ = true;
};

// Formats an internal key for people as "space:key", e.g. "3:name". Bytes that are not printable appear as
// \xHH.
[[nodiscard]] std::string printable_key(std::string_view key);

// File names consist of a number of ten digits and a kind, e.g. "0000000007.log".
[[nodiscard]] std::string name_of(std::uint64_t number, std::string_view kind);
struct ParsedFileName {
    std::uint64_t number = 0;
    std::string kind;
};
[[nodiscard]] std::optional<ParsedFileName> parse_file_name(std::string_view name);

}  // namespace flaxdoor::store
