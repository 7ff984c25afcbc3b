// The clients of a world: open arrivals, each client with streams of its own; tries, patience, repeats; and
// the plain layer before the balancers that deals calls out within a zone and notices a dead one late.
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
    void repeats(std::uint32_t client, std::uint64_t handle);
    void comes(std::uint32_t balancer, std::uint64_t handle);
    void answered(std::uint32_t client, std::uint64_t handle, std::uint64_t answer);
    void broken(std::uint32_t client, std::uint64_t handle);
    void given_up(std::uint32_t client, std::uint64_t handle);

    // Of the balancers: one is up, or was noticed to be down.
    void front_takes(std::uint32_t balancer);
    void front_forgets(std::uint32_t balancer);

    Try* find(std::uint64_t handle) { return tries_.find(handle); }
    // The answer leaves its balancer now.
    void send_back(std::uint64_t handle, const Answer& answer);
    // The balancer that held it died.
    void break_off(std::uint64_t handle);

    void burst(double factor) { burst_ *= factor; }
    void flood(int tenant, double factor) { flood_[static_cast<std::size_t>(tenant)] *= factor; }
    void heavier(int class_index, double factor) {
        heavier_[static_cast<std::size_t>(class_index)] *= factor;
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
    double factor_now(const Client& client) const;
    void plan_next(std::uint32_t client);
    void send(Try attempt);
    void again(const Try& over, bool refused, Micros retry_after);

    Parts& parts_;
    std::vector<Client> clients_;
    std::vector<std::vector<std::uint32_t>> front_;  // by zone: balancers that it sends to, in order
    Handles<Try> tries_;
    double burst_ = 1;
    std::vector<double> flood_, heavier_;
    double most_factor_ = 1;
    double each_rate_ = 0, postgres_rate_ = 0;
};

}  // namespace flaxdoor::lab
