#include "store/identity.h"

#include <cstdio>

#include "store/coding.h"

namespace flaxdoor::store {

namespace {

constexpr std::string_view identity_magic = "flaxstor";
constexpr std::uint32_t version = 1;
constexpr std::size_t identity_bytes = 40;

}  // namespace

std::string encode(const Identity& identity) {
    std::string out(identity_magic);
    put_u32(out, version);
    put_u32(out, 0);
    put_identity(out, identity);
    put_u64(out, hash_of(out, 0));
    return out;
}

std::optional<Identity> decode_identity(std::string_view bytes, bool& newer_version) {
    newer_version = false;
    if (bytes.size() != identity_bytes || bytes.substr(0, identity_magic.size()) != identity_magic)
        return std::nullopt;
    if (hash_of(bytes.substr(0, 32), 0) != u64_at(bytes, 32)) return std::nullopt;
    newer_version = u32_at(bytes, 8) > version;
    if (!newer_version && (u32_at(bytes, 8) != version || u32_at(bytes, 12) != 0)) return std::nullopt;
    return identity_at(bytes, 16);
}

std::string text_of(const Identity& identity) {
    std::string text;
    for (const std::uint8_t byte : identity) {
        char hex[3];
        std::snprintf(hex, sizeof hex, "%02x", byte);
        text.append(hex);
    }
    return text;
}

void put_identity(std::string& out, const Identity& identity) {
    for (const std::uint8_t byte : identity) out.push_back(static_cast<char>(byte));
}

Identity identity_at(std::string_view bytes, std::size_t at) {
    Identity identity{};
    for (std::size_t i = 0; i < identity.size(); ++i) identity[i] = static_cast<std::uint8_t>(bytes[at + i]);
    return identity;
}

}  // namespace flaxdoor::store
