// The balancers of a world: each process of one is a real Core with the real module, and the ports round it:
// a front for the clients' calls, a back of connections to servers, the roster's lists as its source.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "fleet/flights.h"
#include "fleet/parts.h"

namespace flaxdoor::lab {

// What a client sends.
struct Try {
    std::uint64_t call = 0;  // the trace's number; 0: the slot is free
    std::uint32_t client = 0;
    std::uint32_t balancer = 0;
    std::uint32_t process = 0;  // of the balancer that took it
    std::uint32_t first_part = 0;
    std::uint64_t first = 0;  // the call's first try
    int number = 0;           // of the try
    int class_index = 0;      // behind the last class: a PostgreSQL unit
    int tenant = -1;
    std::uint32_t key = 0;
    Micros work{};
    Time asked{};
    Time gives_up{};
    Time leaves{};  // before that; zero: never
    bool over = false;
};

class Balancers final {
public:
    explicit Balancers(Parts& parts);
    ~Balancers();

    std::size_t size() const;
    int zone(std::uint32_t balancer) const;
    // Up, as far as whoever sends to it can tell by trying.
    bool up(std::uint32_t balancer) const;
    std::uint32_t process(std::uint32_t balancer) const;

    void begin();
    void start(std::uint32_t balancer);
    void kill(std::uint32_t balancer);
    void tell_to_end(std::uint32_t balancer);
    void end(std::uint32_t balancer, std::uint64_t process);

    // Whether it takes new ones: false when it is down.
    bool takes(std::uint32_t balancer, std::uint64_t handle, const Try& from);
    void left(std::uint32_t balancer, std::uint64_t handle);

    void connected(std::uint32_t balancer, std::uint64_t flight);
    void connect_refused(std::uint32_t balancer, std::uint64_t flight);
    void answered(std::uint32_t balancer, std::uint64_t flight, How how);
    void alarm(std::uint32_t balancer, std::uint64_t which);
    void sweep(std::uint32_t balancer, std::uint64_t process);

    // The roster's.
    void list(std::uint32_t balancer, std::uint32_t pool, core::MemberList list);
    std::size_t open() const;  // calls of all
    // Summed over the processes that run; faults over all that ever did.
    core::Figures figures() const;

private:
    class Process;
    struct Balancer {
        int zone = 0;
        std::uint32_t process = 0;
        std::unique_ptr<Process> running;
        core::MemberList kept[2];  // the last list of each pool that it had
    };
    Process* running(std::uint32_t balancer, std::uint64_t process);

    Parts& parts_;
    std::vector<Balancer> balancers_;
    std::uint64_t alarms_ = 0;
    std::uint64_t faults_ = 0;  // that cores which have gone told of
    friend class Process;
};

// What balancers are told of the world: the module's settings for one of them.
Settings settings_for(const Experiment& experiment, std::uint32_t balancer, int zone);
Settings postgres_settings_for(const Experiment& experiment, std::uint32_t balancer, int zone);
// Zones by proportion of traffic.
int balancer_zone(const Experiment& experiment, std::uint32_t balancer);

}  // namespace flaxdoor::lab
