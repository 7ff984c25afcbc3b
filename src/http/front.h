// The HTTP/1.1 front: clients on a listener, one answer for each request, and what clients may hold, for how
// long. What comes as bytes is the machine's (server_machine.h), what it means the handler's; here are
// sockets and time.
//
// Threading: the loop's one thread.   Ownership: loop, core, clock and handler are borrowed and outlive it.
// Errors:    listen() throws boost::system::system_error; nothing else throws for what the network does.
// Life:      it may be destroyed at any time but from within its own calls of the core: open calls are left.
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
    std::size_t most = 512;                    // connections held at once
    std::size_t asked = 256;                   // of which have asked before one that is idle gives way
    Micros request = std::chrono::seconds(2);  // from a connection's start, or a request's first byte, to
                                               // the request's last
    Micros idle = std::chrono::seconds(300);   // between requests
    Micros idle_crowded = std::chrono::seconds(2);  // the same while over half of `most` are held
    Micros answer = std::chrono::seconds(10);       // to take an answer
    Micros linger = std::chrono::seconds(1);        // to end a connection after its last answer
    std::size_t linger_bytes = 256 * 1024;          // that are read and dropped meanwhile
    std::size_t body = body_most;                   // of a request
};

struct FrontFigures {
    std::size_t connections = 0, idle = 0;
    std::uint64_t accepted = 0;
    std::uint64_t gave_way = 0;  // idle ones that were closed for others
};

class Front {
public:
    // For a new connection; null: it is closed.
    using MakeChannel = std::function<std::unique_ptr<Channel>()>;

    // `intake`: takes the calls in the core's place, and outlives it.
    // `tls`: makes what each connection's bytes pass through; empty: nothing does.
    Front(const loop::Executor& loop, core::Core& core, Handler& handler, const core::Clock& clock,
          FrontLimits limits, MakeChannel tls = {}, core::Intake* intake = nullptr);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    void listen(const boost::asio::ip::tcp::endpoint& address);
    boost::asio::ip::tcp::endpoint address() const;

    // What is under way goes by the new ones from now on.
    void set_limits(const FrontLimits& limits);
    // From now on readiness is denied; all else goes on.
    void begin_drain();
    // From now on every answer closes its connection; those between requests are closed, and nobody new is
    // taken but who had connected by now. Returns whether there are others: a request is coming in or waits,
    // or an answer may not have arrived. To be called again until there are none.
    [[nodiscard]] bool wind_down();
    // Closes all; what is open is left.
    void stop();

    FrontFigures figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::http
