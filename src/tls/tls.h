// TLS by OpenSSL, without sockets: what came from the wire in, what is to go there out, plain bytes on the
// other side. For fronts (a certificate of ours) and backs (verify-full: the chain and the name).
//
// Threading: a Context may be shared by channels of one thread; a Channel belongs to one thread.
// Ownership: a Channel keeps its Context.
// Errors:    a Context that can't be made throws Error, which names the file; a Channel that has failed says
//            why.
// Versions:  1.2 and 1.3.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::tls {

// What is wrong with a file that was named.
struct Error : std::runtime_error {
    Error(std::string file, const std::string& what) : std::runtime_error(what), file(std::move(file)) {}
    std::string file;
};

class Context {
public:
    // Files in PEM. The key must be the certificate's.
    static std::shared_ptr<const Context> for_clients(const std::string& certificate_file,
                                                      const std::string& key_file);
    // The authorities to trust; empty: those of the system.
    static std::shared_ptr<const Context> for_servers(const std::string& authorities_file);
    // The same from texts in PEM, with a certificate of our own where the server asks for one; each may be
    // empty.
    struct ServerTexts {
        std::string authorities, certificate, key;
    };
    static std::shared_ptr<const Context> for_servers(const ServerTexts& texts);

    // Several certificates behind one address, in PEM, told apart by what the client asks for (SNI): `host`
    // is exact, "*.suffix", or empty for any. Who asks for none of them is turned away (unrecognized_name).
    // HTTP/1.1 by ALPN.
    struct Named {
        std::string host, certificate, key;
    };
    static std::shared_ptr<const Context> for_clients(const std::vector<Named>& all);
    // What is wrong with a certificate and its key, in PEM; empty: nothing.
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
    // As the server of a connection.
    explicit Channel(std::shared_ptr<const Context> context);
    // As its client: the certificate must be for `name`, a host name or an address; empty: it is not
    // verified.
    Channel(std::shared_ptr<const Context> context, const std::string& name);
    ~Channel();
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    // From the wire. False: the channel has failed, or the other side has ended it; what was read before
    // still counts.
    bool receive(std::string_view bytes);
    // Plain bytes that came; they are taken away.
    std::string take_plain();
    // Plain bytes to send: before the handshake is over they wait.
    void send(std::string_view plain);
    // To the wire, and how much of it went.
    std::string_view output();
    void wrote(std::size_t bytes);
    // Says goodbye to the other side, behind all that was sent.
    void finish();

    bool established() const;
    // What the client asked for; empty: nothing.
    std::string server_name() const;
    bool failed() const;
    // The other side has said goodbye.
    bool ended() const;
    const std::string& error() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor::tls
