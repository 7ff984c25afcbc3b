// Restores a pool's state after a restart: chooses between the configured list and the stored one, and
// restores that part of the learned state of each upstream which is still valid. A pure function; does no
// I/O and reads no clock.
//
// The rules, each with its own test (tests/recovery/restored_state_test.cpp):
//   1  A stored list from another origin (History) is not used, nor is any state that was learned with it.
//   2  A configured list that is complete (kind `full`) is used.
//   3  Of two lists from one origin the one with the higher version is used. If the versions are equal, the
//      configured list is used, and an upstream that drains in either list drains.
//   4  A list that is restored from the store has the kind `cached` and carries its age.
//   5  Learned state belongs to an address and a start time. It is dropped for an upstream that is listed at
//      another address or with a later start time.
//   6  Latencies and concurrency limits decay exponentially, by half in each half-life, towards the values of
//      a new upstream. They are dropped when less than a sixteenth is left.
//   7  The latest known start time counts. An upstream that may be in slow start gets at most the concurrency
//      limit of a new one.
//   8  An upstream that was ejected because it died stays ejected, however long ago that was. One that was
//      ejected for other reasons stays ejected until its state has decayed. Each balancer probes it at a time
//      of its own, so that balancers which restart together do not all probe it at once.
//   9  If the clock has been set back, the elapsed time is unknown: stored times are shifted by the same
//      amount, and values that decay are dropped.
#pragma once

#include <string>

#include "core/call.h"
#include "recovery/record.h"

namespace flaxdoor::recovery {

// The restored state of a pool.
struct RestoredState {
    core::MemberList list;       // its entries carry the restored state in UpstreamEntry::restored
    bool stored = false;         // `list` is the stored one
    std::size_t remembered = 0;  // number of upstreams with restored state
    bool clock_went_back = false;
    bool different_origin = false;  // the stored list was from another origin, and was not used
};

// Restores from the configured list and the store. `half_life` is that of the decay.
[[nodiscard]] RestoredState restore(core::MemberList configured, StoredSnapshot stored,
                                    const ListOrigin& history, const Settings& settings, Time now,
                                    Micros half_life);

}  // namespace flaxdoor::recovery
