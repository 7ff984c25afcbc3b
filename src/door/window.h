// How the door knows whether the module has room: it sees which of the calls handed over have not been sent
// yet, and which were refused for want of room. It asks the module nothing.
//
//   - A call handed over that is not on its way yet waits in the module, or for a connection. While others wait
//     at the door, more than 1 + sent/8 of them mean that there is no room: whoever came next would wait there
//     too, out of turn. With nobody waiting it means so once the oldest of them has been there for `patience`,
//     or when they are more than 64 + 2 sent.
//   - Refused for want of room: the window falls to 0.8 of what is in flight, once for each window full. It
//     grows by one with each window of answers, and by one with each answer once two windows full went without
//     such a sign. Before the first sign, and again once nothing waits at the door and two windows full went
//     without one, it is no limit.
//
// Threading: one thread at a time.   Work: constant.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>

#include "flaxdoor/decide.h"

namespace flaxdoor::door {

class Window {
public:
    explicit Window(Micros patience) : patience_(patience) {}

    struct Handed {
        std::list<Time>::iterator unsent;
        bool sent = false;
        std::uint64_t number = 0;  // in the order of handing over
    };

    // Whether one more would be sent at once, as far as can be seen.
    bool room(Time now, bool others_wait) const;
    Handed hand_over(Time now, bool others_wait);
    void sending(Handed& handed);
    enum class End { served, no_room, other };
    void end(Handed& handed, End end);

    std::size_t in_flight() const { return in_flight_; }
    std::size_t unsent() const { return unsent_.size(); }
    double size() const { return size_; }

private:
    static constexpr double no_limit = std::numeric_limits<double>::infinity();
    bool calm() const { return static_cast<double>(handed_ - shrunk_at_) > 2 * size_; }

    const Micros patience_;
    std::list<Time> unsent_;  // when each was handed over, oldest first
    std::size_t in_flight_ = 0;
    double size_ = no_limit;
    std::uint64_t handed_ = 0;
    std::uint64_t shrunk_at_ = 0;  // signs of calls handed over before this were heeded by the last fall
};

}  // namespace flaxdoor::door
