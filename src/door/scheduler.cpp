#include "door/scheduler.h"

#include <algorithm>

namespace flaxdoor::door {

namespace {
constexpr double most_carried = 10;  // of a party's largest charges
}

void Scheduler::order(std::size_t party, double start) {
    parties_[party].start = start;
    order_.emplace(start, party);
}

void Scheduler::wake(std::size_t party, std::optional<double> no_earlier) {
    Party& its = parties_[party];
    if (its.awake) return;
    const double now = std::min(virtual_time_, no_earlier.value_or(virtual_time_));
    if (virtual_time_ > its.finish) {
        // What it was owed ends with its rest, and what it owes was waited for.
        its.carried = std::max(0.0, its.carried - (virtual_time_ - its.finish) * its.weight);
    }
    its.awake = true;
    its.early = now < virtual_time_;
    weight_awake_ += its.weight;
    order(party, std::max(now, its.finish));
}

void Scheduler::rest(std::size_t party) {
    Party& its = parties_[party];
    if (!its.awake) return;
    order_.erase({its.start, party});
    its.awake = false;
    weight_awake_ = order_.empty() ? 0 : weight_awake_ - its.weight;
}

std::optional<std::size_t> Scheduler::next() const {
    if (order_.empty()) return std::nullopt;
    return order_.begin()->second;
}

double Scheduler::charge(std::size_t party, double estimate) {
    Party& its = parties_[party];
    if (!its.awake && virtual_time_ > its.finish)
        its.carried = std::max(0.0, its.carried - (virtual_time_ - its.finish) * its.weight);
    const double start = its.awake ? its.start : std::max(virtual_time_, its.finish);
    const double charged = std::max(0.0, estimate + its.carried);
    its.carried = estimate + its.carried - charged;
    its.largest = std::max(its.largest, estimate);
    its.finish = start + charged / its.weight;
    virtual_time_ = std::max(virtual_time_, start);
    if (its.early) its.finish = std::max(its.finish, virtual_time_);
    its.early = false;
    if (its.awake) {
        order_.erase({its.start, party});
        order(party, its.finish);
    }
    return charged;
}

void Scheduler::settle(std::size_t party, double difference) {
    Party& its = parties_[party];
    const double most = most_carried * its.largest;
    its.carried = std::clamp(its.carried + difference, -most, most);
}

}  // namespace flaxdoor::door
