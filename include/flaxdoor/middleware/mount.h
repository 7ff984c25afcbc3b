// Serves part of a web framework's requests through a balancer. A Mount decides which requests are the
// balancer's, serves those of one connection one after the other, and cancels them when their client
// disconnects. It depends on no framework; restinio.h connects it to RESTinio.
//
// Threading: serve(), left(), wind_down(), when_quiet() and the destructor may be called from any thread. All
//            work happens on the executor, which may belong to the framework's loop or to another one, and
//            must never run two handlers at once. No function blocks. `Answered` callbacks run on the
//            executor.
// Ownership: The balancer is borrowed and must outlive the mount; it may be destroyed right after the mount.
//            The framework numbers the connections. A number must not be reused before left() has been called
//            for it. Each server needs a mount of its own; several mounts may use one balancer.
// Limits:    At most options.waiting requests of a connection wait for the one that is being served; further
//            ones are refused. A mount holds no state for a connection without a request, except for one that
//            the last answer closes: its state stays until left().
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "flaxdoor/balancer.h"

namespace flaxdoor::middleware {

using Connection = std::uint64_t;

struct MountOptions {
    // Each path covers its own requests and those of all paths below it. A request of "/booking?day=3" is
    // sent to the upstreams as "/api?day=3". Paths below are answered with 404, as the daemon answers all
    // paths but /api.
    std::vector<std::string> paths = {"/api"};
    std::string ready = "/ready";  // path of the readiness check; empty: the mount serves none
    std::size_t waiting = 16;      // requests per connection that may wait behind the one being served
};

// Returns the standard reason phrase of a status code.
[[nodiscard]] std::string_view reason_of(int status);

struct ClientRequest {
    Connection connection = 0;
    bool last = false;  // the client asked to close the connection after it (Connection: close, HTTP/1.0)
    HttpRequest request{};
};

class Mount {
public:
    // Receives the answer, and a token that the framework must hold until the answer has been written or the
    // write has failed. when_quiet() waits for the token's release.
    using Answered = std::function<void(HttpAnswer answer, std::shared_ptr<void> until_written)>;

    Mount(boost::asio::any_io_executor executor, Balancer& balancer, MountOptions options = {});
    // Cancels open requests. Their `answered` callbacks are not called.
    ~Mount();
    Mount(const Mount&) = delete;
    Mount& operator=(const Mount&) = delete;

    // Returns whether the mount serves requests of this target. The application serves all others.
    bool takes(std::string_view target) const;
    // Calls `answered` once, unless left() is called for the connection first. Serves the requests of one
    // connection one after the other, as the daemon does, and none after an answer that closes the
    // connection.
    void serve(ClientRequest request, Answered answered);
    // Reports that a connection has ended: cancels the request that is being served and drops those that
    // wait. Has no effect on an unknown connection, so it may be called repeatedly.
    void left(Connection connection);
    // Makes each further answer close its connection. For the shutdown of a server that accepts no new
    // connections: requests on existing ones are still served.
    void wind_down();
    // Calls `quiet` once no request is open and every answer has been written. The host may then stop its
    // loop.
    void when_quiet(std::function<void()> quiet);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::middleware
