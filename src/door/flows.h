// The queued requests of one tenant, fair by client. Clients are hashed into 1,024 flows. The hash key
// changes every 30 s for new requests, while queued requests stay in their flows. Two clients therefore share
// a flow for at most 30 s plus the wait of the requests queued then. A client that is guaranteed to have more
// than a quarter of the tenant's cost has its own flow, so that a collision with it starves no other client.
//
// Memory:    about 110 kB for any number of clients, and a node for each queued request.
// Cost:      logarithmic in the queued requests.   Threading: one thread at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "door/heavy_hitters.h"
#include "door/scheduler.h"

namespace flaxdoor::door {

class Flows {
public:
    static constexpr std::size_t hashed = 1024;
    static constexpr std::size_t count = hashed + HeavyHitters::counters;
    static constexpr Micros perturb_every = std::chrono::seconds(30);

    Flows(Time now, std::uint64_t key);

    // A queued request. Within a flow, requests are ordered by time, then by arrival.
    struct Waiting {
        Time order{};
        std::uint64_t arrival = 0;
        std::uint32_t entry = 0;
        auto operator<=>(const Waiting&) const = default;
    };

    // Adds the client's cost and returns its flow. `next_key` becomes the hash key if the current key has
    // expired.
    std::size_t assign_flow(Time now, std::uint64_t client, double cost, std::uint64_t next_key);
    void push(std::size_t flow, const Waiting& waiting, std::optional<double> earliest_start);
    void remove(std::size_t flow, const Waiting& waiting);
    // Returns the first request of the flow that is served next.
    std::optional<std::pair<std::size_t, Waiting>> next() const;
    void charge(std::size_t flow, double estimate) { (void)scheduler_.charge(flow, estimate); }
    void settle(std::size_t flow, double difference) { scheduler_.settle(flow, difference); }

    std::size_t waiting(std::size_t flow) const { return queues_[flow].size(); }
    std::size_t active_flows() const { return scheduler_.active_count(); }
    double virtual_time() const { return scheduler_.virtual_time(); }
    HeavyHitters& hitters() { return hitters_; }
    static std::size_t bytes();  // without the nodes of queued requests

private:
    Scheduler scheduler_{count};
    std::vector<std::set<Waiting>> queues_{count};
    HeavyHitters hitters_;
    std::uint64_t key_;
    Time perturb_at_;
};

}  // namespace flaxdoor::door
