// TLS connections over OpenSSL, independent of sockets: the caller moves encrypted bytes between a Channel
// and the network, and plain bytes between the Channel and the application. Contexts exist for the server
// side (with a certificate) and for the client side (which verifies the certificate chain and the host name).
//
// Threading: channels of one thread may share a Context; a Channel belongs to one thread.
// Ownership: a Channel shares ownership of its Context.
// Errors:    creating a Context throws Error, which names the file; a failed Channel reports the reason by
//            error().
// Versions:  TLS 1.2 and 1.3.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::tls {

// Reports which file could not be used, and why.
struct Error : std::runtime_error {
    Error(std::string file, const std::string& what) : std::runtime_error(what), file(std::move(file)) {}
    std::string file;
};

class Context {
public:
    // Returns a context for accepting connections from clients. Both files are PEM; the key must belong to
    // the certificate.
    static std::shared_ptr<const Context> for_clients(const std::string& certificate_file,
                                                      const std::string& key_file);
    // Returns a context for connections to servers. `authorities_file` is a PEM file of the trusted
    // authorities; if it is empty, the system's authorities are trusted.
    static std::shared_ptr<const Context> for_servers(const std::string& authorities_file);
    // Returns a context for connections to servers from PEM texts. `certificate` and `key` are presented to
    // servers that request a client certificate. Each text may be empty.
    struct ServerTexts {
        std::string authorities, certificate, key;
    };
    static std::shared_ptr<const Context> for_servers(const ServerTexts& texts);

    // Returns a context with several certificates, in PEM, for one address. The client's SNI host name
    // selects the certificate: `host` is an exact name, "*.suffix", or empty to match any name. A client
    // whose name matches none is rejected with the alert unrecognized_name. ALPN offers HTTP/1.1.
    struct Named {
        std::string host, certificate, key;
    };
    static std::shared_ptr<const Context> for_clients(const std::vector<Named>& all);
    // Returns what is wrong with a certificate and its key, both in PEM; empty if nothing is.
    static std::string fault_of(const std::string& certificate, const std::string& key);

    ~Context();

private:
    friend class Channel;
    struct Impl;
    explicit Context(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

class Channel {
public:
    // Creates the server side of a connection.
    explicit Channel(std::shared_ptr<const Context> context);
    // Creates the client side of a connection. The server's certificate must be valid for `name`, a host name
    // or an IP address. If `name` is empty, the certificate is not verified.
    Channel(std::shared_ptr<const Context> context, const std::string& name);
    ~Channel();
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    // Processes bytes from the network. Returns false if the channel has failed or the other side has closed
    // it; plain bytes that were decrypted before remain available.
    bool receive(std::string_view bytes);
    // Returns the decrypted bytes and removes them from the channel.
    std::string take_plain();
    // Encrypts plain bytes for the other side. Until the handshake is complete, they are queued.
    void send(std::string_view plain);
    // Returns the bytes to be written to the network; wrote() then removes those that were written.
    std::string_view output();
    void wrote(std::size_t bytes);
    // Sends close_notify to the other side, behind all bytes that were sent.
    void finish();

    bool established() const;
    // Returns the host name that the client requested by SNI; empty if it requested none.
    std::string server_name() const;
    bool failed() const;
    // Returns true if the other side has sent close_notify.
    bool ended() const;
    const std::string& error() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor::tls
