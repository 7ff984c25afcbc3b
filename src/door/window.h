// Adaptive concurrency window: estimates whether the module has room for another call, from the dispatched
// calls that have not been sent yet and from those that were refused for lack of room. It makes no requests
// to the module.
//
//   - A dispatched call that has not been sent waits in the module or for a connection. While requests are
//     queued, more than 1 + sent/8 unsent calls mean that there is no room: the next call would wait in the
//     module too, out of its fair order. While none is queued, they mean so once the oldest has been unsent
//     for `patience`, or if at least 64 plus twice the sent calls are unsent.
//   - After a refusal for lack of room, the window shrinks to 0.8 of the calls in flight, at most once per
//     window of calls. It grows by one with each window of answers, and by one with each answer after two
//     windows of calls without such a refusal. There is no limit before the first refusal, and again once no
//     request is queued and two windows of calls had none.
//
// Threading: one thread at a time.   Cost: constant.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>

#include "flaxdoor/decide.h"

namespace flaxdoor::door {

class ConcurrencyWindow {
public:
    explicit ConcurrencyWindow(Micros patience) : patience_(patience) {}

    struct InFlight {
        std::list<Time>::iterator unsent;
        bool sent = false;
        std::uint64_t number = 0;  // in the order of dispatching
    };

    // Returns true if another call would be sent at once, as far as can be observed.
    bool has_room(Time now, bool others_wait) const;
    InFlight dispatch(Time now, bool others_wait);
    void sending(InFlight& call);
    enum class End { served, no_room, other };
    void end(InFlight& call, End end);

    std::size_t in_flight() const { return in_flight_; }
    std::size_t unsent() const { return unsent_.size(); }
    double size() const { return size_; }

private:
    static constexpr double no_limit = std::numeric_limits<double>::infinity();
    bool no_recent_refusal() const { return static_cast<double>(dispatched_ - shrunk_at_) > 2 * size_; }

    const Micros patience_;
    std::list<Time> unsent_;  // dispatch times, oldest first
    std::size_t in_flight_ = 0;
    double size_ = no_limit;
    std::uint64_t dispatched_ = 0;
    std::uint64_t shrunk_at_ = 0;  // the last shrink covers refusals of calls dispatched up to this one
};

}  // namespace flaxdoor::door
