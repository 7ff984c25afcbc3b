// Listeners and pools on the event loop. It applies changes and serves requests by their route tables.
//
// Threading: the executor's single thread.   Ownership: core, clock and log are borrowed and outlive the
//            Runtime.
// Errors:    a port that can't be opened causes no exception: it is reported and opening is retried.
// Changes:   pools are updated first, then all tables in one step. A removed pool ends with its last call.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/core.h"
#include "http/listener.h"
#include "http/upstream_connection_pool.h"
#include "ingress/change.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "loop/sockets.h"
#include "overload/memory_budget.h"

namespace flaxdoor::ingress {

struct RuntimeOptions {
    std::string address = "0.0.0.0";                  // on which ports are opened
    std::map<std::uint16_t, std::uint16_t> moved;     // port number to open instead; 0: any free port
    http::ListenerLimits clients;                     // limits of each listener
    std::size_t max_servers = 1000;                   // maximum number of connections to upstreams
    std::size_t body = http::default_max_body_bytes;  // maximum body size of a request or response, bytes
    // Settings of every pool:
    Settings settings;  // the Runtime sets classes and zones
    std::string zone;   // zone of this balancer; empty: unknown
    // Interval at which opening a failed port is retried.
    Micros port_retry_interval = std::chrono::seconds(2);
    std::uint64_t seed = 0;
    // Counts and limits what connections hold; null: no limit. Cannot be changed later.
    overload::MemoryBudget* memory = nullptr;
};

struct RuntimeFigures {
    std::size_t listeners = 0, pools = 0, retired = 0, servers = 0, idle_connections = 0, clients = 0;
    std::uint64_t routed = 0;   // requests forwarded to a pool
    std::uint64_t told = 0;     // requests with a local response
    std::uint64_t unready = 0;  // of those: the pool had no ready upstream
    std::uint64_t changes = 0;  // applied
    Micros longest_change{};    // longest time to apply one
};

class Runtime {
public:
    // Called with the result of opening each port: empty if it is open, else the error.
    using OnPorts = std::function<void(std::map<std::uint16_t, std::string>)>;

    Runtime(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, core::Log& log,
            RuntimeOptions options, OnPorts on_ports);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    void apply(Change change);

    // Sets the limits of listeners and the settings of pools. They apply from now on.
    void set_options(const RuntimeOptions& options);
    // Begins draining: new connections are still accepted.
    void begin_drain();
    // Stops accepting connections. Returns whether open connections still wait for responses.
    [[nodiscard]] bool wind_down();
    // Closes all connections without waiting for requests in progress, and removes the pools.
    void stop();

    // Returns the address on which a port is actually open.
    std::optional<loop::tcp::endpoint> address(std::uint16_t port) const;
    Micros longest_deadline() const;
    RuntimeFigures figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::ingress
