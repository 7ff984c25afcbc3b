// Ways from zone to zone: how long they take now, and what does not pass. No state but the troubles of now.
#pragma once

#include <set>
#include <vector>

#include "fleet/parts.h"

namespace flaxdoor::lab {

class Network {
public:
    explicit Network(Parts& parts) : parts_(parts) {}

    Micros way(int from, int to, Stream& stream) const;
    // Whether what goes from one zone to the other arrives.
    bool passes(int from, int to) const { return from == to || (!cut_.contains(from) && !cut_.contains(to)); }
    // Added to the time until a connection is up.
    Micros late_connect(Stream& stream) const;
    bool loses_answer(Stream& stream) const { return stream.chance(answers_lost_); }
    bool breaks(Stream& stream) const { return stream.chance(resets_); }

    void cut(int zone) { cut_.insert(zone); }
    void mend(int zone) {
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
