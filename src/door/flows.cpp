#include "door/flows.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace flaxdoor::door {

Flows::Flows(Time now, std::uint64_t key) : key_(key), perturb_at_(now + perturb_every) {}

std::size_t Flows::assign_flow(Time now, std::uint64_t client, double cost, std::uint64_t next_key) {
    if (now >= perturb_at_) {
        key_ = next_key;
        perturb_at_ = now + perturb_every;
        hitters_.halve();
    }
    const std::size_t counter = hitters_.add(client, cost);
    if (hitters_.heavy(counter)) return hashed + counter;
    return XXH3_64bits_withSeed(&client, sizeof client, key_) % hashed;
}

void Flows::push(std::size_t flow, const Waiting& waiting, std::optional<double> earliest_start) {
    queues_[flow].insert(waiting);
    scheduler_.activate(flow, earliest_start);
}

void Flows::remove(std::size_t flow, const Waiting& waiting) {
    queues_[flow].erase(waiting);
    if (queues_[flow].empty()) scheduler_.deactivate(flow);
}

std::optional<std::pair<std::size_t, Flows::Waiting>> Flows::next() const {
    const auto flow = scheduler_.next();
    if (!flow) return std::nullopt;
    return std::pair(*flow, *queues_[*flow].begin());
}

std::size_t Flows::bytes() {
    // A participant of the scheduler holds five numbers and flags.
    return sizeof(Flows) + count * (sizeof(std::set<Waiting>) + 6 * sizeof(double));
}

}  // namespace flaxdoor::door
