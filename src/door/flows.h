// What waits of one tenant, fair by client: clients are hashed into 1,024 flows, with a key that is drawn anew
// every 30 s (for whoever comes from then on: what waits stays where it is), so two clients share a flow by
// chance for 30 s and what waits then. A client with surely more than a quarter of the tenant's cost has a flow
// of its own, so that no collision with it starves anyone.
//
// Bytes:     about 110 kB, whoever comes, and a node for each that waits.
// Work:      constant but for the logarithm of what waits.   Threading: one thread at a time.
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

    // The order within a flow: by time, then by arrival.
    struct Waiting {
        Time order{};
        std::uint64_t arrival = 0;
        std::uint32_t entry = 0;
        auto operator<=>(const Waiting&) const = default;
    };

    // Books the client's cost and tells its flow. `drawn` becomes the next key where it is time for one.
    std::size_t place(Time now, std::uint64_t client, double cost, std::uint64_t drawn);
    void push(std::size_t flow, const Waiting& waiting, std::optional<double> no_earlier);
    void remove(std::size_t flow, const Waiting& waiting);
    // The first of the flow whose turn it is.
    std::optional<std::pair<std::size_t, Waiting>> next() const;
    void charge(std::size_t flow, double estimate) { (void)scheduler_.charge(flow, estimate); }
    void settle(std::size_t flow, double difference) { scheduler_.settle(flow, difference); }

    std::size_t waiting(std::size_t flow) const { return queues_[flow].size(); }
    std::size_t busy() const { return scheduler_.awake(); }
    double virtual_time() const { return scheduler_.virtual_time(); }
    HeavyHitters& hitters() { return hitters_; }
    static std::size_t bytes();  // without nodes

private:
    Scheduler scheduler_{count};
    std::vector<std::set<Waiting>> queues_{count};
    HeavyHitters hitters_;
    std::uint64_t key_;
    Time perturb_at_;
};

}  // namespace flaxdoor::door
