// Injects the faults of the experiment's timetable. The affected servers and balancers are drawn before the world
// begins, so that they do not depend on anything that happens in it.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/parts.h"

namespace flaxdoor::lab {

class Troubles {
public:
    // Allocates the numbers of the servers that start later.
    explicit Troubles(Parts& parts);

    void begin();
    void begins(std::uint64_t number);
    void ends(std::uint64_t number);
    void step(std::uint64_t number, std::uint64_t which);
    // Returns the servers that a trouble affects, whether drawn or named in the experiment.
    const std::vector<std::uint32_t>& servers_hit(std::size_t number) const {
        return planned_[number].servers;
    }

private:
    struct Planned {
        std::vector<std::uint32_t> servers;       // affected
        std::vector<std::uint32_t> replacements;  // replacement of each affected server
        std::vector<std::uint32_t> balancers;
        int on = -1;  // index of the zone, tenant or class; -1 for none
    };
    void kill_server(std::uint32_t server);
    void start_server(std::uint32_t server);
    void apply(const Trouble& trouble, const Planned& planned, bool on);

    Parts& parts_;
    std::vector<Planned> planned_;
};

}  // namespace flaxdoor::lab
