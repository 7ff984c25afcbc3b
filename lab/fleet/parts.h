// What the parts of a world know of one another. Each part is a class of its own; they reach each other
// through this alone, and nothing of it is used before all of them stand (World's constructor).
#pragma once

#include "experiment/experiment.h"
#include "fleet/scheduler.h"
#include "random/stream.h"
#include "trace/record.h"

namespace flaxdoor::lab {

class Network;
class Servers;
class Roster;
class Balancers;
class Clients;
class Flights;

struct Parts {
    const Experiment& experiment;
    Scheduler& scheduler;
    Sink& sink;
    Network* network = nullptr;
    Servers* servers = nullptr;
    Roster* roster = nullptr;
    Balancers* balancers = nullptr;
    Clients* clients = nullptr;
    Flights* flights = nullptr;

    Time now() const { return scheduler.now(); }
    std::uint64_t seed() const { return experiment.seed; }
    // The world's clock is an hour old at its beginning: times before it are told, too (long ago is 0).
    static constexpr Time begins = std::chrono::hours(1);
    static std::uint64_t since_begin(Time at) {
        return at <= begins ? 0 : static_cast<std::uint64_t>((at - begins).count());
    }
    void note(Event event, std::uint32_t who, std::uint32_t peer = 0, std::uint64_t call = 0,
              std::uint64_t a = 0, std::uint64_t b = 0) {
        sink.put({since_begin(now()), event, who, peer, call, a, b});
    }
};

// A number drawn by its law; at least a microsecond.
Micros drawn(const Draw& draw, Stream& stream);

}  // namespace flaxdoor::lab
