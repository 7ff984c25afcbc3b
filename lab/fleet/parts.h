// What the parts of a world know of one another. Each part is a class of its own; they reach each other
// through this alone, and nothing of it is used before all of them stand (World's constructor).
#pragma once

#include <optional>

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

// What a client's call is, by its number and nothing else.
struct DrawnCall {
    int class_index = 0;
    Micros work{};
    std::uint32_t key = 0;  // of a keyed class
};
DrawnCall draw_call(const Experiment& experiment, std::uint64_t first);

// One try of it: when its client gives up and when it leaves (none: not), and its place among the balancers.
struct DrawnTry {
    Micros patience{};
    std::optional<Micros> leaves;
    double pick = 0;
};
DrawnTry draw_try(const ClientModel& clients, Micros deadline, Stream& stream);
// Whose stream that is.
Stream stream_of_try(std::uint64_t seed, std::uint64_t first, int number);

// Whether a client asks again after this, and if so how long it waits.
struct Over {
    std::uint64_t call = 0;  // with its try's number
    int number = 0;          // of the try
    bool unsafe = false;
    bool refused = false;
    Micros retry_after{};
};
std::optional<Micros> asks_again(const ClientModel& clients, std::uint64_t seed, const Over& over);

}  // namespace flaxdoor::lab
