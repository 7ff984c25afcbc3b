#include "pg/scram.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>
#include <charconv>

namespace flaxdoor::pg {

namespace {

// Upper bound for the iterations that a server may request: more would block the event loop.
constexpr int max_iterations = 1'000'000;

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string hmac(std::string_view key, std::string_view text) {
    std::string out(SHA256_DIGEST_LENGTH, '\0');
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(text), text.size(),
         reinterpret_cast<unsigned char*>(out.data()), &length);
    return out;
}

std::string sha256(std::string_view text) {
    std::string out(SHA256_DIGEST_LENGTH, '\0');
    SHA256(bytes_of(text), text.size(), reinterpret_cast<unsigned char*>(out.data()));
    return out;
}

std::string salted_password(std::string_view password, std::string_view salt, int iterations) {
    std::string out(SHA256_DIGEST_LENGTH, '\0');
    PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()), bytes_of(salt),
                      static_cast<int>(salt.size()), iterations, EVP_sha256(), static_cast<int>(out.size()),
                      reinterpret_cast<unsigned char*>(out.data()));
    return out;
}

std::string exclusive_or(std::string a, std::string_view b) {
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i) a[i] = static_cast<char>(a[i] ^ b[i]);
    return a;
}

bool constant_time_equal(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

// Returns the value of the attribute `name` at the start of `rest`, and removes it with its comma.
std::optional<std::string_view> attribute(std::string_view& rest, char name) {
    if (rest.size() < 2 || rest[0] != name || rest[1] != '=') return std::nullopt;
    const std::size_t comma = rest.find(',');
    const std::string_view value = rest.substr(2, comma == std::string_view::npos ? comma : comma - 2);
    rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    return value;
}

std::string hex_md5(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_md5(), nullptr);
    std::string out;
    for (unsigned i = 0; i < length; ++i) {
        out += "0123456789abcdef"[digest[i] >> 4];
        out += "0123456789abcdef"[digest[i] & 15];
    }
    return out;
}

}  // namespace

std::string base64(std::string_view bytes) {
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()), bytes_of(bytes),
                                       static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

std::optional<std::string> from_base64(std::string_view text) {
    if (text.size() % 4 != 0) return std::nullopt;
    std::string out(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()), bytes_of(text),
                                       static_cast<int>(text.size()));
    if (length < 0) return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
    out.resize(static_cast<std::size_t>(length) - padding);
    return out;
}

ScramVerifier make_verifier(std::string_view password, std::string_view salt, int iterations) {
    const std::string secret = salted_password(password, salt, iterations);
    return {std::string(salt), iterations, sha256(hmac(secret, "Client Key")), hmac(secret, "Server Key")};
}

std::optional<std::string> ScramServer::first(std::string_view client_first) {
    // gs2-header "n,," or "y,," (no channel binding); PostgreSQL does not use an authorization name.
    if (!client_first.starts_with("n,,") && !client_first.starts_with("y,,")) return std::nullopt;
    header_ = client_first.substr(0, 3);
    client_first_bare_ = client_first.substr(3);
    std::string_view rest = client_first_bare_;
    const auto user = attribute(rest, 'n');
    const auto nonce = attribute(rest, 'r');
    if (!user || !nonce || nonce->empty()) return std::nullopt;
    nonce_ = std::string(*nonce) + nonce_;
    server_first_ =
        "r=" + nonce_ + ",s=" + base64(verifier_.salt) + ",i=" + std::to_string(verifier_.iterations);
    return server_first_;
}

ScramServer::Result ScramServer::final(std::string_view client_final, std::string& server_final) {
    const std::size_t proof_at = client_final.rfind(",p=");
    if (proof_at == std::string_view::npos) return Result::malformed;
    const std::string_view without_proof = client_final.substr(0, proof_at);
    std::string_view rest = client_final;
    const auto binding = attribute(rest, 'c');
    const auto nonce = attribute(rest, 'r');
    const auto proof = from_base64(client_final.substr(proof_at + 3));
    if (!binding || !nonce || !proof || proof->size() != SHA256_DIGEST_LENGTH) return Result::malformed;
    if (*binding != base64(header_) || *nonce != nonce_) return Result::malformed;
    const std::string message = client_first_bare_ + "," + server_first_ + "," + std::string(without_proof);
    const std::string client_key = exclusive_or(hmac(verifier_.stored_key, message), *proof);
    if (!constant_time_equal(sha256(client_key), verifier_.stored_key)) return Result::refused;
    server_final = "v=" + base64(hmac(verifier_.server_key, message));
    return Result::accepted;
}

std::string ScramClient::first() {
    client_first_bare_ = "n=,r=" + nonce_;
    return "n,," + client_first_bare_;
}

std::optional<std::string> ScramClient::final(std::string_view server_first) {
    std::string_view rest = server_first;
    const auto nonce = attribute(rest, 'r');
    const auto salt_text = attribute(rest, 's');
    const auto iterations_text = attribute(rest, 'i');
    if (!nonce || !salt_text || !iterations_text || !nonce->starts_with(nonce_) ||
        nonce->size() == nonce_.size())
        return std::nullopt;
    const auto salt = from_base64(*salt_text);
    int iterations = 0;
    const auto [end, error] = std::from_chars(iterations_text->data(),
                                              iterations_text->data() + iterations_text->size(), iterations);
    if (!salt || error != std::errc() || end != iterations_text->data() + iterations_text->size() ||
        iterations < 1 || iterations > max_iterations) {
        return std::nullopt;
    }
    if (secret_.iterations != iterations || secret_.salt != *salt) {
        secret_.salted = salted_password(secret_.password, *salt, iterations);
        secret_.salt = *salt;
        secret_.iterations = iterations;
    }
    const std::string without_proof = "c=" + base64("n,,") + ",r=" + std::string(*nonce);
    const std::string message = client_first_bare_ + "," + std::string(server_first) + "," + without_proof;
    const std::string client_key = hmac(secret_.salted, "Client Key");
    server_signature_ = hmac(hmac(secret_.salted, "Server Key"), message);
    return without_proof + ",p=" + base64(exclusive_or(client_key, hmac(sha256(client_key), message)));
}

bool ScramClient::proven(std::string_view server_final) const {
    const auto value = attribute(server_final, 'v');
    return value && !server_signature_.empty() && *value == base64(server_signature_);
}

std::string md5_answer(std::string_view user, std::string_view password, std::string_view salt) {
    return "md5" + hex_md5(hex_md5(std::string(password) + std::string(user)) + std::string(salt));
}

}  // namespace flaxdoor::pg
