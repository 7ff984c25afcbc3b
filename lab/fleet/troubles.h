// The timetable of troubles: who is hit is drawn before the world begins, so that a trouble's victims are the
// same whatever else happens.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/parts.h"

namespace flaxdoor::lab {

class Troubles {
public:
    // Gives servers that come later their numbers.
    explicit Troubles(Parts& parts);

    void begin();
    void begins(std::uint64_t number);
    void ends(std::uint64_t number);
    void step(std::uint64_t number, std::uint64_t which);
    // The servers that a trouble hits, drawn or named.
    const std::vector<std::uint32_t>& servers_hit(std::size_t number) const {
        return planned_[number].servers;
    }

private:
    struct Planned {
        std::vector<std::uint32_t> servers;  // hit
        std::vector<std::uint32_t> fresh;    // in place of each of them
        std::vector<std::uint32_t> balancers;
        int on = -1;  // a zone, tenant or class
    };
    void server_dies(std::uint32_t server);
    void server_comes(std::uint32_t server);
    void hit(const Trouble& trouble, const Planned& planned, bool on);

    Parts& parts_;
    std::vector<Planned> planned_;
};

}  // namespace flaxdoor::lab
