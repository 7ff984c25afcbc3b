// The interface between a listener and the application: a Handler interprets each request, as a local response or as a
// call of the core, and words the response to the call's end. The listener owns the connections.
//
// Threading: only the event loop's thread calls it.
// Ownership: the listener borrows its handler, which must outlive it.
// Errors:    a handler throws nothing because of a request's content; it responds with an error instead.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <variant>

#include "core/core.h"
#include "http/message.h"

namespace flaxdoor::http {

// Base class of a handler's state for one request; the listener keeps it until the request ends.
class RequestContext {
public:
    virtual ~RequestContext() = default;
};

class Handler {
public:
    // The connection on which a request was received.
    struct ConnectionInfo {
        bool draining = false;         // readiness checks are to fail
        std::string_view server_name;  // the TLS server name that the client sent; empty: none, or no TLS
        bool tls = false;
        const boost::asio::ip::tcp::socket* socket = nullptr;

        // The client's address. Makes a system call each time.
        boost::asio::ip::tcp::endpoint peer() const {
            boost::system::error_code ignored;
            return socket ? socket->remote_endpoint(ignored) : boost::asio::ip::tcp::endpoint();
        }
    };
    // A response of the balancer's own.
    struct LocalResponse {
        Response message;
        bool close_connection = false;  // closes the connection
    };
    // A call to pass to the core.
    struct Forward {
        core::Call call;
        std::unique_ptr<RequestContext> context;  // passed back with the call's end; may be null
    };

    virtual ~Handler() = default;
    [[nodiscard]] virtual std::variant<LocalResponse, Forward> on_request(Request message,
                                                                          const ConnectionInfo& from) = 0;
    // One of these two is called, once, for each Ask whose client has not disconnected: on_final() with the core's
    // final answer, or on_call_rejected() when the core did not accept the call.
    [[nodiscard]] virtual Response on_final(core::FinalAnswer final, RequestContext* asked) = 0;
    [[nodiscard]] virtual LocalResponse on_call_rejected(core::AcceptResult taken, RequestContext* asked) = 0;
};

// The transport layer of a connection between its socket and its plain text; implemented by TLS.
class Channel {
public:
    virtual ~Channel() = default;
    // Handles bytes received from the socket. Returns false when the channel has ended or failed.
    [[nodiscard]] virtual bool receive(std::string_view bytes) = 0;
    // Returns the plain text received and removes it from the channel.
    [[nodiscard]] virtual std::string take_plain() = 0;
    virtual void send(std::string_view plain) = 0;
    // Bytes to write to the socket.
    [[nodiscard]] virtual std::string_view output() = 0;
    // Reports how many bytes of output() were written.
    virtual void wrote(std::size_t bytes) = 0;
    // Queues the closure alert (close_notify) behind all data sent before.
    virtual void finish() = 0;
    [[nodiscard]] virtual std::string server_name() const = 0;
};

}  // namespace flaxdoor::http
