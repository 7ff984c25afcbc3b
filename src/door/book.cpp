#include "door/book.h"

#include <algorithm>
#include <cmath>

namespace flaxdoor::door {

namespace {
constexpr Micros a_second = std::chrono::seconds(1);
double seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }
}  // namespace

double Book::Rate::fading(Time now) const {
    return std::exp(-static_cast<double>((now - at_).count()) / over_);
}

void Book::Rate::add(Time now) {
    if (first_ < Time{}) first_ = now;
    held_ = held_ * fading(now) + 1;
    at_ = now;
}

// An exponential mean that knows how young it is: what came in a part of its span counts for that part.
double Book::Rate::a_second(Time now) const {
    if (first_ < Time{}) return 0;
    const double age = std::max(static_cast<double>((now - first_).count()), over_ / 100);
    return held_ * fading(now) / (over_ * (1 - std::exp(-age / over_))) * 1e6;
}

Book::Book(const Options& options) : options_(options) {
    if (options_.whole_seconds) options_.longest = std::max(a_second, options_.longest / a_second * a_second);
    // All that clients heed must lie within the slots that there are.
    const Micros least(options_.longest.count() / static_cast<Micros::rep>(slots - 2) + 1);
    const Micros fine(options_.longest.count() / 16);
    // In whole seconds there is one slot to each of them, else only a part of each would be promised.
    options_.slot = options_.whole_seconds ? std::max(least, a_second)
                                           : std::max({least, std::min(options_.slot, fine), Micros(1000)});
}

void Book::completed(Time now) {
    fast_.add(now);
    slow_.add(now);
}

void Book::came_untold(Time now) { untold_.add(now); }

double Book::capacity(Time now, Micros ahead) const {
    const double fast = fast_.a_second(now), slow = slow_.a_second(now);
    // The two means lag by their spans, so that 18 s lie between what they tell.
    const double trend = (fast - slow) / 18 * std::min(seconds(ahead), 5.0);
    return std::clamp(fast + trend, 0.25 * slow, 1.25 * slow);
}

Book::Slot& Book::slot_at(std::uint64_t number) {
    Slot& slot = booked_[number % slots];
    if (slot.number != number) slot = {number, 0};
    return slot;
}

Book::Told Book::promise(Time now, Micros soonest, std::size_t waiting, double drawn) {
    const Micros longest = options_.longest;
    const bool whole = options_.whole_seconds;
    Micros first = std::min(soonest, longest);
    if (whole) first = std::clamp((first + a_second - Micros(1)) / a_second * a_second, a_second, longest);
    ++promised_;
    // Of what waits, the time before the first slot takes its part.
    double ahead = static_cast<double>(waiting) - capacity(now, {}) * seconds(first);
    const double fresh_rate = untold_.a_second(now);
    Slot* chosen = nullptr;
    Slot* fewest = nullptr;
    Micros chosen_after{}, fewest_after{};
    for (Micros after = first; after <= longest; after += whole ? a_second : options_.slot) {
        const double room = capacity(now, after) * seconds(options_.slot);
        const double taken = std::clamp(ahead, 0.0, room);
        ahead -= taken;
        const double fresh = std::min(fresh_rate * seconds(options_.slot), 0.9 * (room - taken));
        Slot& slot = slot_at(number_of(now + after));
        const bool last_half = after >= first + (longest - first) / 2;
        const bool before_it = fewest_after < first + (longest - first) / 2;
        if (!fewest || (last_half && (before_it || slot.booked < fewest->booked))) {
            fewest = &slot;
            fewest_after = after;
        }
        if (slot.booked + 1 <= room - taken - fresh) {
            chosen = &slot;
            chosen_after = after;
            break;
        }
    }
    const bool excess = !chosen;
    if (excess) {
        ++excess_;
        chosen = fewest;
        chosen_after = fewest_after;
    }
    ++chosen->booked;
    // Who was told the same second was refused at another moment, so they are spread by that.
    if (whole) return {chosen_after, static_cast<std::uint32_t>(chosen->number), excess};
    const Time begin(static_cast<Time::rep>(chosen->number) * options_.slot.count());
    const Time from = std::max(begin, now + first);
    const Time until = std::min(begin + options_.slot, now + longest);
    Micros after = from - now;
    if (until > from)
        after += Micros(static_cast<Micros::rep>(drawn * static_cast<double>((until - from).count())));
    return {after, static_cast<std::uint32_t>(number_of(now + after)), excess};
}

bool Book::in_time(Time now, std::uint32_t slot) const {
    const auto late = static_cast<std::uint32_t>(number_of(now)) - slot;
    return late <= 1;
}

}  // namespace flaxdoor::door
