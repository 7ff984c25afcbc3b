// An optional protocol front end with its own pools, beside the HTTP listener. The owner of an engine passes factories of
// front ends to it, so that the library does not link what they depend on.
//
// Threading: the executor's one thread.   Ownership: everything in ExtensionContext is borrowed and outlives the front
// end.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "overload/memory_budget.h"
#include "settings/values.h"

namespace flaxdoor::engine {

class Extension {
public:
    virtual ~Extension() = default;
    // Applies changed settings of the operator's file. Returns false if something that they name cannot be used; the
    // previous settings stay in effect then.
    virtual bool apply_settings(const settings::Values& operators) = 0;
    // Called when the drain begins. The front end either stops accepting new work now and closes its idle connections, or
    // goes on until finish_drain(), which is called once no new client should be routed to this process any more.
    virtual void begin_drain() = 0;
    // Stops accepting new clients. Returns whether clients remain that must still be answered; it is called again until
    // none do.
    [[nodiscard]] virtual bool finish_drain() { return false; }
    // Answers what is still open. The pools of the front end still exist.
    virtual void stop() = 0;
    // Returns the longest deadline that a call of this front end may have.
    virtual Micros longest_deadline() const = 0;
};

struct ExtensionContext {
    const loop::Executor& executor;
    core::Core& core;
    const loop::Clock& clock;
    core::Log& log;
    const settings::Values& operator_settings;
    std::uint64_t seed = 0;
    overload::MemoryBudget* memory = nullptr;  // counts and limits what connections hold; null: no limit
};

struct ExtensionFactory {
    std::string table;  // of the operator's file; its presence enables the front end
    // Throws std::invalid_argument when the settings cannot be used.
    std::function<std::unique_ptr<Extension>(const ExtensionContext&)> make;
};

}  // namespace flaxdoor::engine

namespace flaxdoor::detail {

// The part of BalancerOptions that is reserved for the programs of this project.
struct InternalOptions {
    std::vector<engine::ExtensionFactory> extensions;
    core::Log* log = nullptr;  // receives events unformatted; outlives the Balancer
    std::function<void(const settings::Values&)> on_operator_settings{};
};

}  // namespace flaxdoor::detail
