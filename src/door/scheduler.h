// Start-time fair queueing for a server of unknown rate that has several in hand (SFQ(D)): who has work is
// served in the order of start tags, and the virtual time is the start tag of the last one served. Used at
// both levels of the door: over tenants, and over the flows of one tenant.
//
// Bound:     of two parties with work throughout, served with at most D in hand, normalised service differs by
//            at most (D + 1)(ci/wi + cj/wj), with c the largest charge of each: proven for SFQ(D) (Jin, Chase,
//            Kaur 2004, theorem 1). A charge is the estimate and what is carried from those that ended; what is
//            not settled yet adds 2(D + 1)(ei/wi + ej/wj), with e the largest error of an estimate.
// Carrying:  bounded to ten of the party's largest charges; a charge is never below zero, so tags never go back.
// Quiet:     a party that comes back starts at the virtual time and never before it: it has no credit.
// Threading: one thread at a time.   Work: logarithmic in the parties with work.   Units: any one of cost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace flaxdoor::door {

class Scheduler {
public:
    explicit Scheduler(std::size_t parties = 0) : parties_(parties) {}

    std::size_t size() const { return parties_.size(); }
    void resize(std::size_t parties) { parties_.resize(parties); }
    // Counts from the next charge on; above 0.
    void set_weight(std::size_t party, double weight) { parties_[party].weight = weight; }
    double weight(std::size_t party) const { return parties_[party].weight; }

    // It has work from now on; nothing happens when it had. `no_earlier`, where it is before the virtual time,
    // is where one may start that was promised so: that one, and not what comes behind it.
    void wake(std::size_t party, std::optional<double> no_earlier = {});
    // It has none any more.
    void rest(std::size_t party);
    bool awake(std::size_t party) const { return parties_[party].awake; }
    std::size_t awake() const { return order_.size(); }
    double weight_awake() const { return weight_awake_; }

    // Whose turn it is, of those with work.
    std::optional<std::size_t> next() const;
    // It was served by this estimate, in its turn or straight through. Returns what was charged.
    double charge(std::size_t party, double estimate);
    // One that was charged by an estimate took so much more, or less.
    void settle(std::size_t party, double difference);

    double virtual_time() const { return virtual_time_; }

private:
    struct Party {
        double weight = 1;
        double start = 0;  // while awake
        double finish = 0;
        double carried = 0;
        double largest = 0;
        bool awake = false;
        bool early = false;  // it starts before the virtual time, as promised
    };
    void order(std::size_t party, double start);

    std::vector<Party> parties_;
    std::set<std::pair<double, std::size_t>> order_;
    double virtual_time_ = 0;
    double weight_awake_ = 0;
};

}  // namespace flaxdoor::door
