#include "door/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <bit>
#include <stdexcept>

namespace flaxdoor::door {

namespace {

constexpr std::size_t body_bytes = 16, seal_bytes = 8, all_bytes = body_bytes + seal_bytes;
using Bytes = std::array<unsigned char, all_bytes>;
constexpr std::string_view digits = "0123456789abcdef";

void put(Bytes& bytes, std::size_t at, std::uint32_t value, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i)
        bytes[at + i] = static_cast<unsigned char>(value >> (8 * (size - 1 - i)));
}

std::uint32_t get(const Bytes& bytes, std::size_t at, std::size_t size) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < size; ++i) value = value << 8 | bytes[at + i];
    return value;
}

std::array<unsigned char, 32> mac_of(const Tokens::Secret& secret, const Bytes& bytes) {
    std::array<unsigned char, 32> mac{};
    unsigned size = 0;
    if (!HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes.data(), body_bytes,
              mac.data(), &size))
        throw std::runtime_error("no HMAC-SHA256");
    return mac;
}

}  // namespace

std::string Tokens::seal(const Promise& promise) const {
    Bytes bytes{};
    put(bytes, 0, promise.slot, 4);
    put(bytes, 4, promise.tenant, 2);
    put(bytes, 6, promise.class_index, 2);
    put(bytes, 8, promise.client, 4);
    put(bytes, 12, std::bit_cast<std::uint32_t>(promise.stamp), 4);
    const auto mac = mac_of(secret_, bytes);
    for (std::size_t i = 0; i < seal_bytes; ++i) bytes[body_bytes + i] = mac[i];
    std::string text;
    text.reserve(2 * all_bytes);
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::optional<Promise> Tokens::open(std::string_view text) const {
    if (text.size() != 2 * all_bytes) return std::nullopt;
    Bytes bytes{};
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto digit = digits.find(text[i]);
        if (digit == std::string_view::npos) return std::nullopt;
        bytes[i / 2] = static_cast<unsigned char>(bytes[i / 2] << 4 | digit);
    }
    const auto mac = mac_of(secret_, bytes);
    if (CRYPTO_memcmp(mac.data(), bytes.data() + body_bytes, seal_bytes) != 0) return std::nullopt;
    Promise promise;
    promise.slot = get(bytes, 0, 4);
    promise.tenant = static_cast<std::uint16_t>(get(bytes, 4, 2));
    promise.class_index = static_cast<std::uint16_t>(get(bytes, 6, 2));
    promise.client = get(bytes, 8, 4);
    promise.stamp = std::bit_cast<float>(get(bytes, 12, 4));
    return promise;
}

}  // namespace flaxdoor::door
