// The clients of a simulated world. Calls arrive in an open loop, and each client has random streams of its own.
// The model covers client timeouts, client retries and the load-balancing layer in front of the balancers. That
// layer spreads requests over the balancers of a zone and detects a dead balancer with a delay.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/balancers.h"
#include "fleet/handles.h"
#include "fleet/parts.h"

namespace flaxdoor::lab {

struct Answer {
    Verdict verdict = Verdict::failed;
    Micros retry_after{};
};

class Clients {
public:
    explicit Clients(Parts& parts);

    void begin();
    void calls(std::uint32_t client);
    void retry(std::uint32_t client, std::uint64_t handle);
    void request_arrived(std::uint32_t balancer, std::uint64_t handle);
    void answered(std::uint32_t client, std::uint64_t handle, std::uint64_t answer);
    void connection_broken(std::uint32_t client, std::uint64_t handle);
    void given_up(std::uint32_t client, std::uint64_t handle);

    // Add a balancer that is up to the front layer, or remove one that the layer found to be down.
    void add_balancer(std::uint32_t balancer);
    void remove_balancer(std::uint32_t balancer);

    ClientRequest* find(std::uint64_t handle) { return tries_.find(handle); }
    // Sends an answer from its balancer to the client, which receives it after the network latency.
    void send_answer(std::uint64_t handle, const Answer& answer);
    // Breaks the client's connection because the balancer that held the request died.
    void break_connection(std::uint64_t handle);

    void burst(double factor) { burst_factor_ *= factor; }
    void flood(int tenant, double factor) { tenant_factors_[static_cast<std::size_t>(tenant)] *= factor; }
    void heavier(int class_index, double factor) {
        class_work_factors_[static_cast<std::size_t>(class_index)] *= factor;
    }

    std::uint32_t count() const { return static_cast<std::uint32_t>(clients_.size()); }
    std::size_t open() const { return tries_.size(); }

private:
    struct Client {
        int zone = 0;
        int tenant = -1;
        bool postgres = false;
        std::uint32_t calls = 0;
        Stream stream;
    };
    double rate_factor(const Client& client) const;
    void plan_next(std::uint32_t client);
    void send(ClientRequest attempt);
    void schedule_retry(const ClientRequest& over, bool refused, Micros retry_after);

    Parts& parts_;
    std::vector<Client> clients_;
    std::vector<std::vector<std::uint32_t>>
        balancers_by_zone_;  // by zone: balancers that receive requests, in ascending order
    Handles<ClientRequest> tries_;
    double burst_factor_ = 1;
    std::vector<double> tenant_factors_, class_work_factors_;  // factors by tenant and by class
    double max_rate_factor_ = 1;
    double rate_per_client_ = 0, postgres_rate_ = 0;
};

}  // namespace flaxdoor::lab
