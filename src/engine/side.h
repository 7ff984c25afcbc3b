// A further front with its own pools beside HTTP's, brought by whoever makes an engine: so that the library
// needs none of what they need.
//
// Threading: the executor's one thread.   Ownership: what a side is made with is borrowed and outlives it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "settings/values.h"

namespace flaxdoor::engine {

class Side {
public:
    virtual ~Side() = default;
    // The operator's file has changed. False: something that it names can't be used, and what there was
    // stays.
    virtual bool change(const settings::Values& operators) = 0;
    // The end has begun. Either takes nothing new from now on, and lets go of what rests; or goes on until
    // wind_down(), which comes once nobody should be led here any more.
    virtual void begin_drain() = 0;
    // From now on nobody new is taken. Returns whether there are others, who are still to be answered; to be
    // called again until there are none.
    [[nodiscard]] virtual bool wind_down() { return false; }
    // Answers what is left. Its pools are still there.
    virtual void stop() = 0;
    // The longest that a call of it may take.
    virtual Micros longest_deadline() const = 0;
};

struct SideWorld {
    const loop::Executor& executor;
    core::Core& core;
    const loop::Clock& clock;
    core::Log& log;
    const settings::Values& operators;
    std::uint64_t seed = 0;
};

struct SideMaker {
    std::string table;  // of the operator's file, which turns it on
    // Throws std::invalid_argument when what the file says can't be used.
    std::function<std::unique_ptr<Side>(const SideWorld&)> make;
};

}  // namespace flaxdoor::engine

namespace flaxdoor::detail {

// What BalancerOptions carries, for the programs of this project.
struct Sides {
    std::vector<engine::SideMaker> makers;
    core::Log* log = nullptr;  // gets events as they are; outlives the Balancer
    std::function<void(const settings::Values&)> on_operators{};
};

}  // namespace flaxdoor::detail
