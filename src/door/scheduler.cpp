#include "door/scheduler.h"

#include <algorithm>

namespace flaxdoor::door {

namespace {
constexpr double max_carry_over = 10;  // in largest charges of a participant
}

void Scheduler::enqueue(std::size_t index, double start) {
    participants_[index].start = start;
    order_.emplace(start, index);
}

void Scheduler::activate(std::size_t index, std::optional<double> earliest_start) {
    Participant& participant = participants_[index];
    if (participant.active) return;
    const double start = std::min(virtual_time_, earliest_start.value_or(virtual_time_));
    if (virtual_time_ > participant.finish) {
        // A credit expires while the participant is idle, and a debt is paid off by the time that it waited.
        participant.carry_over =
            std::max(0.0, participant.carry_over - (virtual_time_ - participant.finish) * participant.weight);
    }
    participant.active = true;
    participant.early = start < virtual_time_;
    active_weight_ += participant.weight;
    enqueue(index, std::max(start, participant.finish));
}

void Scheduler::deactivate(std::size_t index) {
    Participant& participant = participants_[index];
    if (!participant.active) return;
    order_.erase({participant.start, index});
    participant.active = false;
    active_weight_ = order_.empty() ? 0 : active_weight_ - participant.weight;
}

std::optional<std::size_t> Scheduler::next() const {
    if (order_.empty()) return std::nullopt;
    return order_.begin()->second;
}

double Scheduler::charge(std::size_t index, double estimate) {
    Participant& participant = participants_[index];
    if (!participant.active && virtual_time_ > participant.finish)
        participant.carry_over =
            std::max(0.0, participant.carry_over - (virtual_time_ - participant.finish) * participant.weight);
    const double start = participant.active ? participant.start : std::max(virtual_time_, participant.finish);
    const double charged = std::max(0.0, estimate + participant.carry_over);
    participant.carry_over = estimate + participant.carry_over - charged;
    participant.largest_charge = std::max(participant.largest_charge, estimate);
    participant.finish = start + charged / participant.weight;
    virtual_time_ = std::max(virtual_time_, start);
    if (participant.early) participant.finish = std::max(participant.finish, virtual_time_);
    participant.early = false;
    if (participant.active) {
        order_.erase({participant.start, index});
        enqueue(index, participant.finish);
    }
    return charged;
}

void Scheduler::settle(std::size_t index, double difference) {
    Participant& participant = participants_[index];
    const double limit = max_carry_over * participant.largest_charge;
    participant.carry_over = std::clamp(participant.carry_over + difference, -limit, limit);
}

}  // namespace flaxdoor::door
