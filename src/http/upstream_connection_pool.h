// The HTTP/1.1 connection pool of the balancer's upstream side: kept connections to the upstreams of one core pool,
// the attempts sent on them, the results of the attempts and the load reports in their responses. ClientMachine
// (client_machine.h) handles the bytes of one connection; this class handles sockets and timers.
//
// Threading: only the event loop's thread may call it.
// Ownership: borrows loop, core, clock, connection limit and memory budget, which must outlive it.
// Lifetime:  must outlive its pool in the core; may be destroyed at any time after that.
// Attempts:  an attempt carries one request on one connection; a connection carries one request at a time. An attempt
//            that fails for lack of a local resource (descriptor, port, connection limit) ends as
//            Outcome::inconclusive, which says nothing about the upstream.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "http/message.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "overload/memory_budget.h"

namespace flaxdoor::http {

// The limit on open upstream connections, with their current number, over all connection pools that share it.
struct ConnectionLimit {
    std::size_t max_open = 512;
    std::size_t open = 0;
};

struct ConnectionPoolOptions {
    Micros connect_timeout{};        // connect time-out; 0: none beyond the system's
    Micros upstream_idle_timeout{};  // time after which the upstream closes an idle connection; 0: unknown
    // Fields to read from load reports, in the order of Settings::report_fields.
    std::vector<std::string> report_fields;
    // Maps a complete response to an outcome. Null: the platform's mapping, outcome_of() of platform.h.
    Outcome (*classify_response)(const Response& answer) = nullptr;
    bool keep_error_responses = false;  // keeps the last error response in RequestPayload::error_response
    Micros latency_floor{};  // lower bound of the reported latency of successes: core::latency_floor()
    std::size_t max_body_bytes = default_max_body_bytes;  // longest response body, in bytes
    // Least idle time before a connection is reused, and so the longest delay of a surplus response (a second copy of
    // the last one) that can't be taken for the response to the next request. HTTP/1.1 has nothing else that tells the
    // two apart. A connection on which surplus bytes arrive while it is idle is closed.
    Micros reuse_delay = std::chrono::milliseconds(15);
    // Time that the requests to one upstream may wait in a burst for connections to pass `reuse_delay`; over time a tenth
    // of the time (wait_allowance.h). A request that may not wait gets a new connection.
    Micros reuse_wait_burst = std::chrono::milliseconds(100);
};

class UpstreamConnectionPool final : public core::UpstreamConnectionPool {
public:
    // `memory`: counts what the connections hold. When nothing else is left to give up, it ends the attempt whose
    // incomplete response holds most as Outcome::error. Null: no limit.
    UpstreamConnectionPool(const loop::Executor& loop, core::Core& core, const loop::Clock& clock,
                           ConnectionLimit& budget, ConnectionPoolOptions options,
                           overload::MemoryBudget* memory = nullptr);
    ~UpstreamConnectionPool() override;

    void set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) override;
    void remove_upstream(UpstreamId upstream) override;
    void send(core::Attempt attempt) override;
    void cancel(core::AttemptKey attempt) override;
    void expire(core::AttemptKey attempt) override;
    void close_idle(UpstreamId upstream) override;

    // Applies to connections made or returned to the pool from now on.
    void set_options(ConnectionPoolOptions options);
    // Number of idle connections.
    std::size_t idle() const;
    // Number of upstreams that were set and not removed.
    std::size_t known() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::http
