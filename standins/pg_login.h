// The server's side of a login at the PostgreSQL stand-in: SCRAM-SHA-256 (RFC 5802, RFC 7677; the manual's
// chapter "SASL Authentication"), MD5 (the manual's "AuthenticationMD5Password"), and TLS by OpenSSL over
// buffers. Written apart from src/pg and src/tls, so that the product's faults are not shared by its judge.
//
// Threading: one thread.   Errors: told by the result; a certificate that can't be read throws.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace standins::pg {

// One login's. The salt and the server's part of the nonce are drawn here.
class ScramExchange {
public:
    explicit ScramExchange(std::string password);
    // The client's first message in, the server's first out. Nothing: malformed.
    [[nodiscard]] std::optional<std::string> first(std::string_view message);
    // The server's last message; nothing: the client does not know the password.
    [[nodiscard]] std::optional<std::string> final(std::string_view message);

private:
    std::string password_, salt_, nonce_, client_first_, server_first_;
};

// What a client that knows the password answers to the salt.
[[nodiscard]] std::string md5_password(const std::string& user, const std::string& password,
                                       const std::string& salt);

// Bytes from the wire in, plain bytes out, and back.
class TlsSide {
public:
    TlsSide(const std::string& certificate_file, const std::string& key_file);
    ~TlsSide();
    TlsSide(const TlsSide&) = delete;

    // The plain bytes in it; false: it is no TLS, or the client turned the certificate down.
    [[nodiscard]] bool receive(std::string_view bytes, std::string& plain);
    void seal(std::string_view plain);
    [[nodiscard]] std::string output();  // to the wire, the handshake's included

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace standins::pg
