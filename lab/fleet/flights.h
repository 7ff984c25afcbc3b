// Attempts under way between balancers and servers. A flight lives until both sides have done with it: the
// balancer when its attempt has ended, the server when it has answered or never will.
#pragma once

#include <cstdint>

#include "core/call.h"
#include "fleet/handles.h"
#include "fleet/parts.h"

namespace flaxdoor::lab {

struct Flight {
    explicit Flight(Stream its) : stream(std::move(its)) {}
    enum class Phase : std::uint8_t { connecting, out };
    std::uint32_t balancer = 0;
    int zone = 0;               // the balancer's
    std::uint32_t process = 0;  // of the balancer, when it was sent
    std::uint32_t pool = 0;
    std::uint32_t server = 0;
    core::AttemptKey key;
    std::uint64_t call = 0;    // the trace's number
    std::uint32_t number = 0;  // of the attempt
    std::uint32_t link = 0;    // which process of the server its connection reaches
    Time sent{};
    Micros work{};
    std::uint32_t effect_key = 0;
    int class_index = 0;
    Phase phase = Phase::connecting;
    bool fresh = false;      // on a connection of its own that was just made
    bool breaks = false;     // its connection breaks under it
    bool awaited = true;     // the balancer still waits for it
    bool at_server = false;  // the server has it, or it is on its way there
    Report report{};         // of load, that its answer carries
    Stream stream;
};

enum class How : std::uint64_t { ok, error, turned_away, reset };

class Flights : public Handles<Flight> {
public:
    // One of its sides has done with it.
    void release(std::uint64_t handle) {
        const Flight* const flight = find(handle);
        if (flight && !flight->awaited && !flight->at_server) erase(handle);
    }
};

}  // namespace flaxdoor::lab
