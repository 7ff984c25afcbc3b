// The event queue of a simulated world. Events are processed in order of time, and events of the same time in the
// order in which they were scheduled. A Chooser may pick another order among events of the same time (explore/).
//
// Threading: used by the world's only thread.
// Bounds:    memory grows with the number of pending events, which the world bounds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::lab {

// The kind of a scheduled event; the comments say what `who`, `a` and `b` of Happening hold.
enum class What : std::uint32_t {
    client_calls,     // who: client
    client_repeats,   // who: client; a: request
    try_comes,        // who: balancer; a: request
    try_answered,     // who: client; a: request; b: the packed answer
    try_broken,       // who: client; a: request: the connection broke without an answer
    try_given_up,     // who: client; a: request
    try_left,         // who: balancer; a: request: the balancer learns that its client disconnected
    connected,        // who: balancer; a: flight
    connect_refused,  // who: balancer; a: flight
    flight_comes,     // who: server; a: flight
    flight_answered,  // who: balancer; a: flight; b: How
    server_done,      // who: server; a: flight
    server_reports,   // who: server: its load is sampled
    alarm,            // who: balancer; a: number of the alarm
    balancer_up,      // who: balancer
    balancer_ended,   // who: balancer; a: process
    sweep,            // who: balancer; a: process: idle connections are closed
    front_forgets,    // who: balancer; a: process: the front layer detects that it died
    roster_tells,     // who: balancer; a: version
    roster_answers,   // who: balancer; a: pool; b: watch
    watch_checked,    // who: balancer; a: pool; b: watch: checks whether the watch is silent
    trouble_begins,   // a: index of the trouble
    trouble_ends,     // a: index of the trouble
    trouble_step,     // a: index of the trouble; b: step
    end,
};

struct Happening {
    Time at{};
    std::uint64_t order = 0;
    What what = What::end;
    std::uint32_t who = 0;
    std::uint64_t a = 0, b = 0;
};

// Picks the next event among those of the same time, which are given in the order of their scheduling.
class Chooser {
public:
    virtual ~Chooser() = default;
    virtual std::size_t choose(std::span<const Happening> standing) = 0;
};

class Scheduler {
public:
    // A positive `grid` delays every event to the next whole multiple of `grid` after `begins`.
    Scheduler(Time begins, Micros grid, Chooser* chooser = nullptr)
        : now_(begins), begins_(begins), grid_(grid), chooser_(chooser) {}

    Time now() const { return now_; }
    // Schedules an event. A time in the past means now, after the events already scheduled for now.
    void set(Time at, What what, std::uint32_t who, std::uint64_t a = 0, std::uint64_t b = 0);
    // Removes and returns the next event, and advances the clock to its time. Requires a pending event; a world
    // always has its `end` event pending.
    Happening next();
    std::uint64_t happened() const { return happened_; }
    std::size_t waiting() const { return heap_.size() + standing_.size(); }

private:
    Happening pop();

    Time now_;
    const Time begins_;
    const Micros grid_;
    Chooser* chooser_;
    std::vector<Happening> heap_;
    std::vector<Happening> standing_;  // events of the current time; used only with a chooser
    std::uint64_t next_order_ = 0, happened_ = 0;
};

}  // namespace flaxdoor::lab
