// Attempts in flight between balancers and servers. A flight exists until both sides have released it. The
// balancer releases it when its attempt has ended, the server when it has answered or will never answer.
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
    int zone = 0;               // zone of the balancer
    std::uint32_t process = 0;  // process of the balancer that sent the attempt
    std::uint32_t pool = 0;
    std::uint32_t server = 0;
    core::AttemptKey key;
    std::uint64_t call = 0;    // number in the trace
    std::uint32_t number = 0;  // number of the attempt
    std::uint32_t link = 0;    // process of the server that the connection leads to
    Time sent{};
    Micros work{};
    std::uint32_t effect_key = 0;
    int class_index = 0;
    Phase phase = Phase::connecting;
    bool fresh = false;      // uses a connection that was established for it
    bool breaks = false;     // the connection breaks during the attempt
    bool awaited = true;     // the balancer still waits for the result
    bool at_server = false;  // the server has the attempt, or the attempt is on its way there
    Report report{};         // load report in the answer
    Stream stream;
};

// How a server ends an attempt.
enum class How : std::uint64_t { ok, error, turned_away, reset };

class Flights : public Handles<Flight> {
public:
    // Removes the flight once neither side needs it. Called by each side when it is done.
    void release(std::uint64_t handle) {
        const Flight* const flight = find(handle);
        if (flight && !flight->awaited && !flight->at_server) erase(handle);
    }
};

}  // namespace flaxdoor::lab
