// The network between zones: its latency and its faults. The only state is that of the faults now injected.
#pragma once

#include <set>
#include <vector>

#include "fleet/parts.h"

namespace flaxdoor::lab {

class Network {
public:
    explicit Network(Parts& parts) : parts_(parts) {}

    // Returns the one-way latency between two zones, with jitter from `stream`.
    Micros latency(int from, int to, Stream& stream) const;
    // Returns whether messages from one zone reach the other.
    bool reachable(int from, int to) const {
        return from == to || (!cut_.contains(from) && !cut_.contains(to));
    }
    // Returns the delay added to establishing a connection.
    Micros late_connect(Stream& stream) const;
    bool loses_answer(Stream& stream) const { return stream.chance(answers_lost_); }
    bool breaks(Stream& stream) const { return stream.chance(resets_); }

    // Partitions a zone from all others. Each cut() needs one reconnect().
    void cut(int zone) { cut_.insert(zone); }
    void reconnect(int zone) {
        if (const auto found = cut_.find(zone); found != cut_.end()) cut_.erase(found);
    }
    void add_answers_lost(double share) { answers_lost_ += share; }
    void add_resets(double share) { resets_ += share; }
    void add_late_connect(Micros most) { late_connect_ += most; }

private:
    Parts& parts_;
    std::multiset<int> cut_;
    double answers_lost_ = 0, resets_ = 0;
    Micros late_connect_{};
};

}  // namespace flaxdoor::lab
