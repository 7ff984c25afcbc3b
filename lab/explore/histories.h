// Hashes of the event history of each entity in a world. Two worlds with equal histories are equal (explore.h).
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "fleet/world.h"

namespace flaxdoor::lab {

class Histories final : public Watcher {
public:
    void meets(const Happening& happening, std::uint64_t name) override;
    // Returns a hash of all histories.
    std::uint64_t state() const { return state_; }

private:
    enum class Kind : std::uint32_t { client, balancer, server, troubles, front, effects, roster };
    using Entity = std::pair<Kind, std::uint32_t>;
    std::uint64_t& history(Kind kind, std::uint32_t number = 0) { return histories_[Entity{kind, number}]; }
    void append(Kind kind, std::uint32_t number, std::uint64_t by);

    std::map<Entity, std::uint64_t> histories_;
    std::uint64_t state_ = 0;
};

}  // namespace flaxdoor::lab
