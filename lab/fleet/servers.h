// The servers of a simulated world. A server has cores that serve requests in order of arrival, a bounded queue,
// a slow start, injected faults, and deduplication of keyed effects. Servers that start later get their numbers
// before the world begins (plan()), because the head of the trace names the zones of all servers.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "fleet/flights.h"
#include "fleet/parts.h"

namespace flaxdoor::lab {

// Returns the mean work of a call over the mix of classes, in microseconds on a core of speed 1.
double mean_work(const Experiment& experiment);

class Servers {
public:
    explicit Servers(Parts& parts);

    // Allocates a server that will replace the given one. Requires that the world has not begun.
    std::uint32_t plan(std::uint32_t in_place_of);

    struct Server {
        std::uint32_t number = 0;
        std::uint32_t pool = 0;  // 1 for the PostgreSQL servers
        int zone = 0;
        double speed = 1;
        bool up = false;
        bool hangs = false;
        std::uint32_t process = 0;  // counts the starts of the server
        Time started{};             // zero stands for long ago
        double slower = 1;
        double fails = 0;
        bool draining = false;
        bool cold = false;  // in slow start and may fail from overload
        int busy = 0;       // busy cores
        int connections = 0;
        std::deque<std::uint64_t> waiting;
        std::vector<std::uint64_t> working;
        // Arrivals within the last fall span, as time and work; they decide whether a cold server fails.
        std::deque<std::pair<Time, double>> arrivals;
        double arrived_work = 0;
        // The load report in the server's answers, refreshed at intervals.
        Time reported_at = Time::min();
        Report report;
        double service_ms = 0;  // exponentially weighted moving average
        double errors = 0;      // errors a second, with exponential decay
        Time error_at{};
    };

    std::size_t size() const { return servers_.size(); }
    Server& at(std::uint32_t number) { return servers_[number]; }
    const std::vector<Server>& all() const { return servers_; }

    void begin();                                 // starts the initial servers, warm
    void start(std::uint32_t number, bool cold);  // starts a process
    void stop(std::uint32_t number);              // kills the process and resets its connections
    bool takes_connection(Server& server);        // counts the connection when it returns true
    void drop_connection(std::uint32_t number, std::uint32_t process);

    void comes(std::uint32_t number, std::uint64_t flight);
    void done(std::uint32_t number, std::uint64_t flight);
    void samples(std::uint32_t number);

    void slow_all(double factor) { shared_slowdown_ *= factor; }

private:
    double speed_now(const Server& server) const;
    void start_work(Server& server);
    void answer(Server& server, std::uint64_t handle, How how);
    bool fails_from_overload(Server& server, Micros work);
    // Returns false for a keyed effect that is dropped as a duplicate.
    bool apply_effect(const Server& server, const Flight& flight);
    const Report& report(Server& server);

    Parts& parts_;
    std::vector<Server> servers_;
    double shared_slowdown_ = 1;
    double mean_work_ = 1;
    // Deduplication of keyed effects: the end of each effect's window, by class, group and key.
    struct Effect {
        std::uint64_t class_and_group;
        std::uint32_t key;
        auto operator<=>(const Effect&) const = default;
    };
    std::map<Effect, Time> effect_windows_;
    std::deque<std::pair<Time, Effect>> effect_expiry_;
};

}  // namespace flaxdoor::lab
