#include "door/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <bit>
#include <stdexcept>

namespace flaxdoor::door {

namespace {

constexpr std::size_t body_size = 16, mac_size = 8, token_size = body_size + mac_size;
using Bytes = std::array<unsigned char, token_size>;
constexpr std::string_view digits = "0123456789abcdef";

void write_big_endian(Bytes& bytes, std::size_t offset, std::uint32_t value, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i)
        bytes[offset + i] = static_cast<unsigned char>(value >> (8 * (size - 1 - i)));
}

std::uint32_t read_big_endian(const Bytes& bytes, std::size_t offset, std::size_t size) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < size; ++i) value = value << 8 | bytes[offset + i];
    return value;
}

std::array<unsigned char, 32> mac_of(const RetryTokens::Secret& secret, const Bytes& bytes) {
    std::array<unsigned char, 32> mac{};
    unsigned size = 0;
    if (!HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes.data(), body_size,
              mac.data(), &size))
        throw std::runtime_error("HMAC-SHA256 failed");
    return mac;
}

}  // namespace

std::string RetryTokens::sign(const RetryClaim& claim) const {
    Bytes bytes{};
    write_big_endian(bytes, 0, claim.slot, 4);
    write_big_endian(bytes, 4, claim.tenant, 2);
    write_big_endian(bytes, 6, claim.class_index, 2);
    write_big_endian(bytes, 8, claim.client, 4);
    write_big_endian(bytes, 12, std::bit_cast<std::uint32_t>(claim.virtual_time), 4);
    const auto mac = mac_of(secret_, bytes);
    for (std::size_t i = 0; i < mac_size; ++i) bytes[body_size + i] = mac[i];
    std::string text;
    text.reserve(2 * token_size);
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::optional<RetryClaim> RetryTokens::verify(std::string_view text) const {
    if (text.size() != 2 * token_size) return std::nullopt;
    Bytes bytes{};
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto digit = digits.find(text[i]);
        if (digit == std::string_view::npos) return std::nullopt;
        bytes[i / 2] = static_cast<unsigned char>(bytes[i / 2] << 4 | digit);
    }
    const auto mac = mac_of(secret_, bytes);
    if (CRYPTO_memcmp(mac.data(), bytes.data() + body_size, mac_size) != 0) return std::nullopt;
    RetryClaim claim;
    claim.slot = read_big_endian(bytes, 0, 4);
    claim.tenant = static_cast<std::uint16_t>(read_big_endian(bytes, 4, 2));
    claim.class_index = static_cast<std::uint16_t>(read_big_endian(bytes, 6, 2));
    claim.client = read_big_endian(bytes, 8, 4);
    claim.virtual_time = std::bit_cast<float>(read_big_endian(bytes, 12, 4));
    return claim;
}

}  // namespace flaxdoor::door
