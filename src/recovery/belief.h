// What to believe after a start: the list that the configuration came with or the one that was stored, and
// what of the memory of its upstreams. A function of what was handed in; no I/O, no clock.
//
// The rules, each with a test of its own (tests/recovery/belief_test.cpp):
//   1  A stored list of another history is not used, nor is anything that was learned with it.
//   2  A configuration that holds all there is to know (kind `full`) keeps its list.
//   3  Of two lists of one history the newer sequence wins; of equal ones the configuration's, but whoever
//      drains in either drains.
//   4  What is believed of a store is of kind `cached` and carries its age.
//   5  What was learned belongs to an address and a start: at another address, or with a later start, it is
//      dropped.
//   6  Latencies and what may be in flight fade by half with each half-life, towards what a new upstream has.
//      They are forgotten when a sixteenth is left.
//   7  The later of all starts that are known counts. One that may be cold is given no more in flight than a
//      new one.
//   8  Who died stays out however long ago; who was out for other reasons, until the memory is forgotten.
//      Each balancer tries it at a time of its own: those that come back together do not all try it at once.
//   9  When the clock has gone back, no time has passed as far as can be told: times move back with it, and
//      what fades is forgotten.
#pragma once

#include <string>

#include "core/call.h"
#include "recovery/record.h"

namespace flaxdoor::recovery {

struct Belief {
    core::MemberList list;       // with UpstreamEntry::memory
    bool stored = false;         // the list is the stored one
    std::size_t remembered = 0;  // upstreams with a memory
    bool clock_went_back = false;
    bool other_history = false;
};

[[nodiscard]] Belief believe(core::MemberList known, Stored stored, const History& history,
                             const Settings& settings, Time now, Micros half_life);

}  // namespace flaxdoor::recovery
