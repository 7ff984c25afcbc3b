// What each entity of a world has met, as a hash: two worlds with equal histories are the same (explore.h).
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "fleet/world.h"

namespace flaxdoor::lab {

class Histories final : public Watcher {
public:
    void meets(const Happening& happening, std::uint64_t name) override;
    // Of all entities together.
    std::uint64_t state() const { return state_; }

private:
    enum class Kind : std::uint32_t { client, balancer, server, troubles, front, effects, roster };
    using Entity = std::pair<Kind, std::uint32_t>;
    std::uint64_t& of(Kind kind, std::uint32_t number = 0) { return histories_[Entity{kind, number}]; }
    void grow(Kind kind, std::uint32_t number, std::uint64_t by);

    std::map<Entity, std::uint64_t> histories_;
    std::uint64_t state_ = 0;
};

}  // namespace flaxdoor::lab
