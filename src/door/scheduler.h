// Weighted fair queueing by start-time fair queueing for a server of unknown rate with several requests in
// service, SFQ(D). Participants with work are served in the order of their start tags, and the virtual time
// is the start tag of the last one served. Used at both levels of the admission queue: among tenants, and
// among the flows of one tenant.
//
// Bound:     for two participants that always have work, with at most D requests in service, the normalised
//            service differs by at most (D + 1)(ci/wi + cj/wj), where c is the largest charge of each: proven
//            for SFQ(D) (Jin, Chase, Kaur 2004, theorem 1). A charge is the estimate plus the carry-over from
//            ended requests. Requests that are not settled yet add 2(D + 1)(ei/wi + ej/wj), where e is the
//            largest error of an estimate.
// Carrying:  the carry-over is bounded to ten of the participant's largest charges. A charge is never below
//            zero, so tags never decrease.
// Idleness:  a participant that becomes active again starts at the virtual time and never before it: it earns
//            no credit.
// Threading: one thread at a time.   Cost: logarithmic in the active participants.   Units: any unit of cost,
//            used consistently.
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
    explicit Scheduler(std::size_t participants = 0) : participants_(participants) {}

    std::size_t size() const { return participants_.size(); }
    void resize(std::size_t participants) { participants_.resize(participants); }
    // Takes effect with the next charge. Requires a weight above 0.
    void set_weight(std::size_t participant, double weight) { participants_[participant].weight = weight; }
    double weight(std::size_t participant) const { return participants_[participant].weight; }

    // Marks a participant as having work; no effect if it had. A request with an assigned retry time may
    // start at `earliest_start`, which may be before the virtual time. This applies to that request only, not
    // to those behind it.
    void activate(std::size_t participant, std::optional<double> earliest_start = {});
    // Marks a participant as having no work.
    void deactivate(std::size_t participant);
    bool active(std::size_t participant) const { return participants_[participant].active; }
    std::size_t active_count() const { return order_.size(); }
    double active_weight() const { return active_weight_; }

    // Returns the active participant that is served next.
    std::optional<std::size_t> next() const;
    // Charges a participant that was served, in its turn or immediately, by the estimated cost. Returns the
    // charge.
    double charge(std::size_t participant, double estimate);
    // Accounts for the difference between the actual and the estimated cost of a charged request.
    void settle(std::size_t participant, double difference);

    double virtual_time() const { return virtual_time_; }

private:
    struct Participant {
        double weight = 1;
        double start = 0;  // start tag, while active
        double finish = 0;
        double carry_over = 0;
        double largest_charge = 0;
        bool active = false;
        bool early = false;  // it starts before the virtual time by an assigned retry time
    };
    void enqueue(std::size_t participant, double start);

    std::vector<Participant> participants_;
    std::set<std::pair<double, std::size_t>> order_;
    double virtual_time_ = 0;
    double active_weight_ = 0;
};

}  // namespace flaxdoor::door
