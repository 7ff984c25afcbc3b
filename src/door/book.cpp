#include "door/book.h"

#include <algorithm>
#include <cmath>

namespace flaxdoor::door {

namespace {
constexpr Micros one_second = std::chrono::seconds(1);
double seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }
}  // namespace

double RetrySchedule::Rate::decay(Time now) const {
    return std::exp(-static_cast<double>((now - updated_at_).count()) / time_constant_);
}

void RetrySchedule::Rate::add(Time now) {
    if (started_at_ < Time{}) started_at_ = now;
    decayed_count_ = decayed_count_ * decay(now) + 1;
    updated_at_ = now;
}

// Corrects the average for its age: while it is younger than its time constant, events count for the elapsed
// part only.
double RetrySchedule::Rate::per_second(Time now) const {
    if (started_at_ < Time{}) return 0;
    const double age = std::max(static_cast<double>((now - started_at_).count()), time_constant_ / 100);
    return decayed_count_ * decay(now) / (time_constant_ * (1 - std::exp(-age / time_constant_))) * 1e6;
}

RetrySchedule::RetrySchedule(const Options& options) : options_(options) {
    if (options_.whole_seconds)
        options_.longest = std::max(one_second, options_.longest / one_second * one_second);
    // All delays that clients observe must fit into the slots.
    const Micros least(options_.longest.count() / static_cast<Micros::rep>(slots - 2) + 1);
    const Micros sixteenth(options_.longest.count() / 16);
    // With whole seconds each second is one slot; otherwise only a part of each second would be assigned.
    options_.slot = options_.whole_seconds
                        ? std::max(least, one_second)
                        : std::max({least, std::min(options_.slot, sixteenth), Micros(1000)});
}

void RetrySchedule::completed(Time now) {
    fast_rate_.add(now);
    slow_rate_.add(now);
}

void RetrySchedule::unscheduled_arrival(Time now) { unscheduled_rate_.add(now); }

double RetrySchedule::capacity(Time now, Micros ahead) const {
    const double fast = fast_rate_.per_second(now), slow = slow_rate_.per_second(now);
    // The averages lag by their time constants, so their values are 18 s apart.
    const double trend = (fast - slow) / 18 * std::min(seconds(ahead), 5.0);
    return std::clamp(fast + trend, 0.25 * slow, 1.25 * slow);
}

RetrySchedule::Slot& RetrySchedule::slot_with(std::uint64_t number) {
    Slot& slot = slots_[number % slots];
    if (slot.number != number) slot = {number, 0};
    return slot;
}

RetrySchedule::Assignment RetrySchedule::assign(Time now, Micros soonest, std::size_t waiting,
                                                double random) {
    const Micros longest = options_.longest;
    const bool whole_seconds = options_.whole_seconds;
    Micros first = std::min(soonest, longest);
    if (whole_seconds)
        first = std::clamp((first + one_second - Micros(1)) / one_second * one_second, one_second, longest);
    ++assigned_;
    // Some of the queued requests are served before the first slot.
    double queued = static_cast<double>(waiting) - capacity(now, {}) * seconds(first);
    const double unscheduled_rate = unscheduled_rate_.per_second(now);
    Slot* chosen = nullptr;
    Slot* fewest = nullptr;
    Micros chosen_delay{}, fewest_delay{};
    for (Micros after = first; after <= longest; after += whole_seconds ? one_second : options_.slot) {
        const double slot_capacity = capacity(now, after) * seconds(options_.slot);
        const double taken_by_queue = std::clamp(queued, 0.0, slot_capacity);
        queued -= taken_by_queue;
        const double unscheduled =
            std::min(unscheduled_rate * seconds(options_.slot), 0.9 * (slot_capacity - taken_by_queue));
        Slot& slot = slot_with(slot_number(now + after));
        const bool in_last_half = after >= first + (longest - first) / 2;
        const bool fewest_in_first_half = fewest_delay < first + (longest - first) / 2;
        if (!fewest || (in_last_half && (fewest_in_first_half || slot.booked < fewest->booked))) {
            fewest = &slot;
            fewest_delay = after;
        }
        if (slot.booked + 1 <= slot_capacity - taken_by_queue - unscheduled) {
            chosen = &slot;
            chosen_delay = after;
            break;
        }
    }
    const bool excess = !chosen;
    if (excess) {
        ++excess_;
        chosen = fewest;
        chosen_delay = fewest_delay;
    }
    ++chosen->booked;
    // Retries of the same second are spread already, since their requests were refused at different times.
    if (whole_seconds) return {chosen_delay, static_cast<std::uint32_t>(chosen->number), excess};
    const Time begin(static_cast<Time::rep>(chosen->number) * options_.slot.count());
    const Time from = std::max(begin, now + first);
    const Time until = std::min(begin + options_.slot, now + longest);
    Micros after = from - now;
    if (until > from)
        after += Micros(static_cast<Micros::rep>(random * static_cast<double>((until - from).count())));
    return {after, static_cast<std::uint32_t>(slot_number(now + after)), excess};
}

bool RetrySchedule::in_time(Time now, std::uint32_t slot) const {
    const auto slots_late = static_cast<std::uint32_t>(slot_number(now)) - slot;
    return slots_late <= 1;
}

}  // namespace flaxdoor::door
