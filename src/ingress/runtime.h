// Listeners and pools by routes, on the loop: applies changes, and serves by the tables that they bring.
//
// Threading: the executor's one thread.   Ownership: core, clock and log are borrowed and outlive it.
// Errors:    none is thrown for a port that can't be opened: it is told, and tried again.
// A change:  pools first, then the tables in one step. A pool that is wanted no more ends with its last call.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/core.h"
#include "http/back.h"
#include "http/front.h"
#include "ingress/change.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "loop/sockets.h"

namespace flaxdoor::ingress {

struct RuntimeOptions {
    std::string address = "0.0.0.0";               // at which ports are opened
    std::map<std::uint16_t, std::uint16_t> moved;  // where a port is opened instead; 0: any that is free
    http::FrontLimits clients;                     // of each listener
    std::size_t servers_most = 1000;               // connections to servers
    std::size_t body = http::body_most;            // of a request or an answer
    // Of every pool.
    Settings settings;                            // classes and zones are filled in here
    std::string zone;                             // this balancer's; empty: not told
    Micros port_again = std::chrono::seconds(2);  // a port that could not be opened is tried again
    std::uint64_t seed = 0;
};

struct RuntimeFigures {
    std::size_t listeners = 0, pools = 0, retired = 0, servers = 0, idle_connections = 0, clients = 0;
    std::uint64_t routed = 0;   // requests handed to a pool
    std::uint64_t told = 0;     // answered here, without one
    std::uint64_t unready = 0;  // of those, for a pool without a ready server
    std::uint64_t changes = 0;  // applied
    Micros longest_change{};    // that one took
};

class Runtime {
public:
    // What came of each port that is wanted: empty: it is open.
    using OnPorts = std::function<void(std::map<std::uint16_t, std::string>)>;

    Runtime(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, core::Log& log,
            RuntimeOptions options, OnPorts on_ports);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    void apply(Change change);

    // Limits, and what pools are made with, for what comes from now on.
    void set_options(const RuntimeOptions& options);
    // Whoever connects is still taken.
    void begin_drain();
    // Nobody new is. Returns whether there are others, who are still to be answered.
    [[nodiscard]] bool wind_down();
    // Closes all; what is open is left. The pools are removed.
    void stop();

    // Where a port is really open.
    std::optional<loop::tcp::endpoint> address(std::uint16_t port) const;
    Micros longest_deadline() const;
    RuntimeFigures figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::ingress
