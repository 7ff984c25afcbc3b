// Random identity of a store, repeated in its files; docs/store_format.md, "IDENTITY".
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flaxdoor::store {

using Identity = std::array<std::uint8_t, 16>;
// Encode and decode the content of the file IDENTITY. decode_identity() returns nothing if the bytes are
// damaged, and sets `newer_version` if they are of a newer format version.
[[nodiscard]] std::string encode(const Identity& identity);
[[nodiscard]] std::optional<Identity> decode_identity(std::string_view bytes, bool& newer_version);
[[nodiscard]] std::string text_of(const Identity& identity);  // 32 hexadecimal digits

// Encode and decode the identity within other files. identity_at() requires that `bytes` holds it completely.
void put_identity(std::string& out, const Identity& identity);
[[nodiscard]] Identity identity_at(std::string_view bytes, std::size_t at);

}  // namespace flaxdoor::store
