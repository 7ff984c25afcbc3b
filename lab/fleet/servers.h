// The servers of a world: cores that work first come first served, a waiting room, a cold start, troubles,
// effects that happen once. Servers that come later have their numbers from the beginning (plan()), so that
// a trace's head can name their zones.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "fleet/flights.h"
#include "fleet/parts.h"

namespace flaxdoor::lab {

// Of a call as they come, in microseconds on a core of speed 1.
double mean_work(const Experiment& experiment);

class Servers {
public:
    explicit Servers(Parts& parts);

    // A server that will take the place of this one. Before the world begins.
    std::uint32_t plan(std::uint32_t in_place_of);

    struct Server {
        std::uint32_t number = 0;
        std::uint32_t pool = 0;  // 1: PostgreSQL's
        int zone = 0;
        double speed = 1;
        bool up = false;
        bool hangs = false;
        std::uint32_t process = 0;  // counts its starts
        Time started{};             // zero: long ago
        double slower = 1;
        double fails = 0;
        bool draining = false;
        bool cold = false;  // began cold and may fall
        int busy = 0;       // of its cores
        int connections = 0;
        std::deque<std::uint64_t> waiting;
        std::vector<std::uint64_t> working;
        // What came of late, for its fall: time and work.
        std::deque<std::pair<Time, double>> came;
        double came_sum = 0;
        // The report of load that its answers carry, refreshed at intervals.
        Time reported_at = Time::min();
        Report report;
        double service_ms = 0;  // smoothed
        double errors = 0;      // a second, smoothed
        Time error_at{};
    };

    std::size_t size() const { return servers_.size(); }
    Server& at(std::uint32_t number) { return servers_[number]; }
    const std::vector<Server>& all() const { return servers_; }

    void begin();                                 // those that are there from the beginning come up, warm
    void start(std::uint32_t number, bool cold);  // a process begins
    void stop(std::uint32_t number);              // it dies: what it holds breaks
    bool takes_connection(Server& server);        // counted when it does
    void drop_connection(std::uint32_t number, std::uint32_t process);

    void comes(std::uint32_t number, std::uint64_t flight);
    void done(std::uint32_t number, std::uint64_t flight);
    void samples(std::uint32_t number);

    void slow_all(double factor) { shared_slow_ *= factor; }

private:
    double speed_now(const Server& server) const;
    void work_on(Server& server);
    void answer(Server& server, std::uint64_t handle, How how);
    bool falls(Server& server, Micros work);
    // 1: the effect happens; 0: it is a repeat.
    bool effect(const Server& server, const Flight& flight);
    const Report& report(Server& server);

    Parts& parts_;
    std::vector<Server> servers_;
    double shared_slow_ = 1;
    double mean_work_ = 1;
    // Repeats of keyed effects: when an effect's window ends, by class, group and key.
    struct Effect {
        std::uint64_t who;
        std::uint32_t key;
        auto operator<=>(const Effect&) const = default;
    };
    std::map<Effect, Time> effects_;
    std::deque<std::pair<Time, Effect>> effects_end_;
};

}  // namespace flaxdoor::lab
