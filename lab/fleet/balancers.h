// The balancers of a simulated world. Each balancer process runs the real Core with the real policy module.
// Simulated adapters connect the Core to the world: a server side for client requests, connection pools to the
// servers, and service discovery as the source of endpoint lists.
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

// One request of a client: the original request of a call or one of its client retries.
struct ClientRequest {
    std::uint64_t call = 0;  // number in the trace; 0 for a free slot
    std::uint32_t client = 0;
    std::uint32_t balancer = 0;
    std::uint32_t process = 0;  // process of the balancer that accepted the request
    std::uint32_t first_part = 0;
    std::uint64_t first = 0;  // number of the call's first request
    int number = 0;           // 0 for the original, 1 for the first client retry
    int class_index = 0;      // one past the last class: a PostgreSQL unit
    int tenant = -1;
    std::uint32_t key = 0;
    Micros work{};
    Time asked{};
    Time gives_up{};
    Time leaves{};  // when the client disconnects before `gives_up`; zero: it does not
    bool over = false;
};

class Balancers final {
public:
    explicit Balancers(Parts& parts);
    ~Balancers();

    std::size_t size() const;
    int zone(std::uint32_t balancer) const;
    // Returns whether a process of the balancer runs, which a sender learns by connecting.
    bool up(std::uint32_t balancer) const;
    std::uint32_t process(std::uint32_t balancer) const;

    void begin();
    void start(std::uint32_t balancer);
    void kill(std::uint32_t balancer);
    void request_shutdown(std::uint32_t balancer);
    void end(std::uint32_t balancer, std::uint64_t process);

    // Hands a request to the balancer. Returns false when the balancer is down or shuts down.
    bool accept(std::uint32_t balancer, std::uint64_t handle, const ClientRequest& from);
    void left(std::uint32_t balancer, std::uint64_t handle);

    void connected(std::uint32_t balancer, std::uint64_t flight);
    void connect_refused(std::uint32_t balancer, std::uint64_t flight);
    void answered(std::uint32_t balancer, std::uint64_t flight, How how);
    void alarm(std::uint32_t balancer, std::uint64_t which);
    void sweep(std::uint32_t balancer, std::uint64_t process);

    // Applies an endpoint list from service discovery.
    void list(std::uint32_t balancer, std::uint32_t pool, core::MemberList list);
    std::size_t open() const;  // open calls of all balancers
    // Sums the figures of the running processes. Faults also include those of ended processes.
    core::Stats figures() const;

private:
    class Process;
    struct Balancer {
        int zone = 0;
        std::uint32_t process = 0;
        std::unique_ptr<Process> running;
        core::MemberList last_lists[2];  // last endpoint list of each pool
    };
    Process* running(std::uint32_t balancer, std::uint64_t process);

    Parts& parts_;
    std::vector<Balancer> balancers_;
    std::uint64_t alarms_ = 0;
    std::uint64_t faults_ = 0;  // faults that the cores of ended processes reported
    friend class Process;
};

// Returns the policy module's settings for one balancer of the experiment.
Settings settings_for(const Experiment& experiment, std::uint32_t balancer, int zone);
Settings postgres_settings_for(const Experiment& experiment, std::uint32_t balancer, int zone);
// Returns the zone of a balancer. Balancers are assigned to zones in proportion to the zones' traffic.
int balancer_zone(const Experiment& experiment, std::uint32_t balancer);

}  // namespace flaxdoor::lab
