// What is to happen in a world, in order of time and, at one instant, in the order in which it was set; or in
// another order at one instant, where somebody wants to see them all (explore/).
//
// Threading: a world's one thread.   Bounds: what is set and has not happened; the world bounds that.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::lab {

enum class What : std::uint32_t {
    client_calls,     // who: client
    client_repeats,   // who: client; a: its try
    try_comes,        // who: balancer; a: try
    try_answered,     // who: client; a: try; b: its answer
    try_broken,       // who: client; a: try: its link broke without an answer
    try_given_up,     // who: client; a: try
    try_left,         // who: balancer; a: try: the balancer learns that its client went
    connected,        // who: balancer; a: flight
    connect_refused,  // who: balancer; a: flight
    flight_comes,     // who: server; a: flight
    flight_answered,  // who: balancer; a: flight; b: how
    server_done,      // who: server; a: flight
    server_reports,   // who: server: a sample of its load
    alarm,            // who: balancer; a: which of its alarms
    balancer_up,      // who: balancer
    balancer_ended,   // who: balancer; a: which process
    sweep,            // who: balancer: idle connections; a: which process
    front_forgets,    // who: balancer; a: which process: the layer before it has noticed
    roster_tells,     // who: balancer; a: change
    roster_answers,   // who: balancer; a: pool; b: which call
    watch_checked,    // who: balancer; a: pool; b: which call: is it silent?
    trouble_begins,   // a: its number
    trouble_ends,     // a: its number
    trouble_step,     // a: its number; b: step
    end,
};

struct Happening {
    Time at{};
    std::uint64_t order = 0;
    What what = What::end;
    std::uint32_t who = 0;
    std::uint64_t a = 0, b = 0;
};

// Picks one of those that stand at one instant, in the order in which they were set.
class Chooser {
public:
    virtual ~Chooser() = default;
    virtual std::size_t choose(std::span<const Happening> standing) = 0;
};

class Scheduler {
public:
    // Over 0, everything happens at whole multiples of `grid` from there, at the next one if need be.
    Scheduler(Time begins, Micros grid, Chooser* chooser = nullptr)
        : now_(begins), begins_(begins), grid_(grid), chooser_(chooser) {}

    Time now() const { return now_; }
    // What is set for the past happens now, after all that was set for now before.
    void set(Time at, What what, std::uint32_t who, std::uint64_t a = 0, std::uint64_t b = 0);
    // The next one, taken out; the clock goes to its time. There must be one: a world has an end.
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
    std::vector<Happening> standing_;  // of the present instant, where there is a chooser
    std::uint64_t orders_ = 0, happened_ = 0;
};

}  // namespace flaxdoor::lab
