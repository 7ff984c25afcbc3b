// The HTTP/1.1 listener: client connections, exactly one response for each request, and limits on the number of
// connections and on the time that each may take. ServerMachine (server_machine.h) handles the bytes of one connection
// and Handler (handler.h) the meaning of a request; this class handles sockets and timers.
//
// Threading: only the event loop's thread may call it.
// Ownership: borrows loop, core, clock, handler and intake, which must outlive it.
// Errors:    listen() throws boost::system::system_error. Network errors throw nothing elsewhere.
// Lifetime:  may be destroyed at any time except from within a call that it makes into the core. Destruction abandons
//            the open calls (Core::leave).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "core/core.h"
#include "core/intake.h"
#include "http/handler.h"
#include "loop/executor.h"

namespace flaxdoor::http {

struct FrontLimits {
    std::size_t most = 512;  // open connections
    // Open connections that have sent a request for an upstream; beyond this, the one idle longest is evicted.
    std::size_t asked = 256;
    // Time to receive a request: from the accept of a new connection, or from a later request's first byte, to the
    // request's last byte.
    Micros request = std::chrono::seconds(2);
    Micros idle = std::chrono::seconds(300);  // between requests
    Micros idle_crowded =
        std::chrono::seconds(2);               // between requests, while more than half of `most` are open
    Micros answer = std::chrono::seconds(10);  // for the client to take a response
    Micros linger = std::chrono::seconds(1);   // for the client to close after the connection's last response
    std::size_t linger_bytes = 256 * 1024;     // bytes read and discarded while lingering
    std::size_t body = body_most;              // longest request body, in bytes
};

struct FrontFigures {
    std::size_t connections = 0, idle = 0;
    std::uint64_t accepted = 0;
    std::uint64_t evicted_idle = 0;  // idle connections evicted because FrontLimits::asked was exceeded
};

class Front {
public:
    // Makes the TLS channel of a new connection. A null channel closes the connection.
    using MakeChannel = std::function<std::unique_ptr<Channel>()>;

    // `intake`: receives the calls in place of the core; null: the core receives them.
    // `tls`: makes the channel of each connection; empty: connections are plain text.
    Front(const loop::Executor& loop, core::Core& core, Handler& handler, const core::Clock& clock,
          FrontLimits limits, MakeChannel tls = {}, core::Intake* intake = nullptr);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    void listen(const boost::asio::ip::tcp::endpoint& address);
    boost::asio::ip::tcp::endpoint address() const;

    // Applies the limits from now on, to open connections as well.
    void set_limits(const FrontLimits& limits);
    // Makes readiness checks fail from now on; everything else continues.
    void begin_drain();
    // Drains the connections: every response closes its connection from now on, connections between requests are
    // closed, and only clients that have already connected are accepted. Returns whether a connection is left, which
    // is receiving a request, waiting for a response, or may not have delivered one. The owner calls it again until
    // it returns false.
    [[nodiscard]] bool wind_down();
    // Closes all connections and abandons their calls.
    void stop();

    FrontFigures figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::http
