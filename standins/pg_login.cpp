#include "standins/pg_login.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>

#include <array>
#include <stdexcept>
#include <utility>
#include <vector>

namespace standins::pg {

namespace {

constexpr int rounds = 4096;

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}
std::string text_of(const unsigned char* bytes, std::size_t size) {
    return {reinterpret_cast<const char*>(bytes), size};
}

std::string encoded(std::string_view bytes) {
    std::vector<unsigned char> room(bytes.size() / 3 * 4 + 5);
    const int size = EVP_EncodeBlock(room.data(), bytes_of(bytes), static_cast<int>(bytes.size()));
    return text_of(room.data(), static_cast<std::size_t>(size));
}
std::optional<std::string> decoded(std::string_view text) {
    std::vector<unsigned char> room(text.size() + 4);
    const int size = EVP_DecodeBlock(room.data(), bytes_of(text), static_cast<int>(text.size()));
    if (size < 0 || text.empty()) return std::nullopt;
    // It counts the padding as bytes.
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    return text_of(room.data(), static_cast<std::size_t>(size) - padding);
}
std::string hashed(const EVP_MD* hash, std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> room{};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), room.data(), &size, hash, nullptr);
    return text_of(room.data(), size);
}
std::string keyed(std::string_view key, std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> room{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(text), text.size(), room.data(),
         &size);
    return text_of(room.data(), size);
}
std::string hex(std::string_view bytes) {
    std::string out;
    for (const char c : bytes) {
        for (const int shift : {4, 0}) out += "0123456789abcdef"[static_cast<unsigned char>(c) >> shift & 15];
    }
    return out;
}
std::string drawn(std::size_t size) {
    std::vector<unsigned char> room(size);
    RAND_bytes(room.data(), static_cast<int>(size));
    return text_of(room.data(), size);
}

// The value of an attribute of RFC 5802: "r=…" among those that commas part.
std::string attribute(std::string_view message, char name) {
    for (std::size_t at = 0; at < message.size();) {
        const std::size_t end = std::min(message.find(',', at), message.size());
        if (message[at] == name && message.substr(at + 1, 1) == "=")
            return std::string(message.substr(at + 2, end - at - 2));
        at = end + 1;
    }
    return {};
}

}  // namespace

ScramExchange::ScramExchange(std::string password)
    : password_(std::move(password)), salt_(drawn(16)), nonce_(encoded(drawn(18))) {}

std::optional<std::string> ScramExchange::first(std::string_view message) {
    // No channel binding, and no other name than the login's.
    if (!message.starts_with("n,,")) return std::nullopt;
    client_first_ = message.substr(3);
    const std::string theirs = attribute(client_first_, 'r');
    if (theirs.empty()) return std::nullopt;
    nonce_ = theirs + nonce_;
    server_first_ = "r=" + nonce_ + ",s=" + encoded(salt_) + ",i=" + std::to_string(rounds);
    return server_first_;
}

std::optional<std::string> ScramExchange::final(std::string_view message) {
    const std::size_t proof_at = message.rfind(",p=");
    const auto proof = decoded(attribute(message, 'p'));
    if (proof_at == std::string_view::npos || !proof || proof->size() != 32 ||
        attribute(message, 'r') != nonce_ || attribute(message, 'c') != "biws")
        return std::nullopt;
    std::array<unsigned char, 32> salted{};
    PKCS5_PBKDF2_HMAC(password_.data(), static_cast<int>(password_.size()), bytes_of(salt_),
                      static_cast<int>(salt_.size()), rounds, EVP_sha256(), static_cast<int>(salted.size()),
                      salted.data());
    const std::string key = text_of(salted.data(), salted.size());
    const std::string stored = hashed(EVP_sha256(), keyed(key, "Client Key"));
    const std::string all =
        client_first_ + "," + server_first_ + "," + std::string(message.substr(0, proof_at));
    std::string client_key = keyed(stored, all);
    for (std::size_t i = 0; i < client_key.size(); ++i)
        client_key[i] = static_cast<char>(client_key[i] ^ (*proof)[i]);
    if (hashed(EVP_sha256(), client_key) != stored) return std::nullopt;
    return "v=" + encoded(keyed(keyed(key, "Server Key"), all));
}

std::string md5_password(const std::string& user, const std::string& password, const std::string& salt) {
    return "md5" + hex(hashed(EVP_md5(), hex(hashed(EVP_md5(), password + user)) + salt));
}

struct TlsSide::Impl {
    std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context{SSL_CTX_new(TLS_server_method()), SSL_CTX_free};
    std::unique_ptr<SSL, decltype(&SSL_free)> ssl{nullptr, SSL_free};
    BIO* in = nullptr;  // the SSL's
    BIO* out = nullptr;
    std::string waiting;  // for the handshake to be over
};

TlsSide::TlsSide(const std::string& certificate_file, const std::string& key_file)
    : impl_(std::make_unique<Impl>()) {
    SSL_CTX* const context = impl_->context.get();
    if (SSL_CTX_use_certificate_chain_file(context, certificate_file.c_str()) != 1 ||
        SSL_CTX_use_PrivateKey_file(context, key_file.c_str(), SSL_FILETYPE_PEM) != 1)
        throw std::runtime_error("no certificate can be read from " + certificate_file);
    impl_->ssl.reset(SSL_new(context));
    impl_->in = BIO_new(BIO_s_mem());
    impl_->out = BIO_new(BIO_s_mem());
    SSL_set_bio(impl_->ssl.get(), impl_->in, impl_->out);
    SSL_set_accept_state(impl_->ssl.get());
}
TlsSide::~TlsSide() = default;

bool TlsSide::receive(std::string_view bytes, std::string& plain) {
    SSL* const ssl = impl_->ssl.get();
    if (!bytes.empty()) BIO_write(impl_->in, bytes.data(), static_cast<int>(bytes.size()));
    std::array<char, 16384> room{};
    int got = 0;
    while ((got = SSL_read(ssl, room.data(), static_cast<int>(room.size()))) > 0)
        plain.append(room.data(), static_cast<std::size_t>(got));
    const int why = SSL_get_error(ssl, got);
    if (SSL_is_init_finished(ssl) && !impl_->waiting.empty()) seal(std::exchange(impl_->waiting, {}));
    return why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE;
}

void TlsSide::seal(std::string_view plain) {
    if (!SSL_is_init_finished(impl_->ssl.get())) {
        impl_->waiting += plain;
    } else if (!plain.empty()) {
        SSL_write(impl_->ssl.get(), plain.data(), static_cast<int>(plain.size()));
    }
}

std::string TlsSide::output() {
    char* bytes = nullptr;
    const long size = BIO_get_mem_data(impl_->out, &bytes);
    std::string all(bytes, static_cast<std::size_t>(size));
    (void)BIO_reset(impl_->out);
    return all;
}

}  // namespace standins::pg
