// The HTTP/1.1 listener: client connections, exactly one response for each request, and limits on the number of
// connections and on the time that each may take. ServerMachine (server_machine.h) handles the bytes of one connection
// and Handler (handler.h) the meaning of a request; this class handles sockets and timers.
//
// Threading: only the event loop's thread may call it.
// Ownership: borrows loop, core, clock, handler, call acceptor and memory budget, which must outlive it.
// Errors:    listen() throws boost::system::system_error. Network errors throw nothing elsewhere.
// Lifetime:  may be destroyed at any time except from within a call that it makes into the core. Destruction abandons
//            the open calls (Core::abandon_call).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "core/call_acceptor.h"
#include "core/core.h"
#include "http/handler.h"
#include "loop/executor.h"
#include "overload/memory_budget.h"

namespace flaxdoor::http {

struct ListenerLimits {
    std::size_t max_connections = 512;  // open connections
    // Open connections that have sent a request for an upstream; beyond this, the one idle longest is evicted.
    std::size_t max_keepalive_connections = 256;
    // Time to receive a request: from the accept of a new connection, or from a later request's first byte, to the
    // request's last byte.
    Micros request_timeout = std::chrono::seconds(2);
    Micros idle_timeout = std::chrono::seconds(300);  // between requests
    // Between requests, while more than half of `max_connections` are open.
    Micros crowded_idle_timeout = std::chrono::seconds(2);
    Micros response_write_timeout = std::chrono::seconds(10);  // for the client to take a response
    // For the client to close after the connection's last response.
    Micros linger_timeout = std::chrono::seconds(1);
    std::size_t linger_bytes = 256 * 1024;                // bytes read and discarded while lingering
    std::size_t max_body_bytes = default_max_body_bytes;  // longest request body, in bytes
};

struct ListenerStats {
    std::size_t connections = 0, idle = 0;
    std::uint64_t accepted = 0;
    // Idle connections evicted because ListenerLimits::max_keepalive_connections was exceeded.
    std::uint64_t evicted_idle = 0;
    // Connections given up because the memory budget was exceeded.
    std::uint64_t reclaimed = 0;
};

class Listener {
public:
    // Makes the TLS channel of a new connection. A null channel closes the connection.
    using MakeChannel = std::function<std::unique_ptr<Channel>()>;

    // `intake`: receives the calls in place of the core; null: the core receives them.
    // `tls`: makes the channel of each connection; empty: connections are plain text.
    // `memory`: counts what the connections hold, and limits it together with all else that it counts; null: no limit.
    Listener(const loop::Executor& loop, core::Core& core, Handler& handler, const core::Clock& clock,
             ListenerLimits limits, MakeChannel tls = {}, core::CallAcceptor* intake = nullptr,
             overload::MemoryBudget* memory = nullptr);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    void listen(const boost::asio::ip::tcp::endpoint& address);
    boost::asio::ip::tcp::endpoint address() const;

    // Applies the limits from now on, to open connections as well.
    void set_limits(const ListenerLimits& limits);
    // Makes readiness checks fail from now on; everything else continues.
    void begin_drain();
    // Drains the connections: every response closes its connection from now on, connections between requests are
    // closed, and only clients that have already connected are accepted. Returns whether a connection is left, which
    // is receiving a request, waiting for a response, or may not have delivered one. The owner calls it again until
    // it returns false.
    [[nodiscard]] bool drain_connections();
    // Closes all connections and abandons their calls.
    void stop();

    ListenerStats figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::http
