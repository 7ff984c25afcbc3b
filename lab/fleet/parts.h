// The context that connects the components of a simulated world. The components reach each other only through
// it. World's constructor fills it in before any component uses it.
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
    // The simulated clock starts at one hour, because some times lie before the start of the world. Zero stands for
    // a time long ago.
    static constexpr Time begins = std::chrono::hours(1);
    static std::uint64_t since_begin(Time at) {
        return at <= begins ? 0 : static_cast<std::uint64_t>((at - begins).count());
    }
    // Appends a record to the trace at the current time.
    void note(Event event, std::uint32_t who, std::uint32_t peer = 0, std::uint64_t call = 0,
              std::uint64_t a = 0, std::uint64_t b = 0) {
        sink.put({since_begin(now()), event, who, peer, call, a, b});
    }
};

// Draws a duration from the given distribution; at least one microsecond.
Micros drawn(const Draw& draw, Stream& stream);

// The properties of a client's call. They depend only on the seed and the call's number.
struct DrawnCall {
    int class_index = 0;
    Micros work{};
    std::uint32_t key = 0;  // for a keyed class
};
DrawnCall draw_call(const Experiment& experiment, std::uint64_t first);

// The random properties of one request of a call: the client's timeout, when the client disconnects early (if it
// does), and a position in [0, 1) among the balancers.
struct DrawnTry {
    Micros patience{};
    std::optional<Micros> leaves;
    double pick = 0;
};
DrawnTry draw_try(const ClientModel& clients, Micros deadline, Stream& stream);
// Returns the random stream for draw_try().
Stream stream_of_try(std::uint64_t seed, std::uint64_t first, int number);

// A request that has ended without success.
struct Over {
    std::uint64_t call = 0;  // includes the request's number
    int number = 0;          // 0 for the original request
    bool unsafe = false;
    bool refused = false;
    Micros retry_after{};
};
// Returns the delay before the client retries, or nothing if the client does not retry.
std::optional<Micros> asks_again(const ClientModel& clients, std::uint64_t seed, const Over& over);

}  // namespace flaxdoor::lab
