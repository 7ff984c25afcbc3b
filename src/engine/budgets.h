// A balancer's lease of the fleet-wide budgets: the lease holder, the agent that requests leases from the coordinator, and
// the admission check that the core uses. Created only if the operator's file has [budget].
//
// Threading: the executor's one thread at a time.
// Ownership: executor and log are borrowed and outlive it; it outlives the core.
// Errors:    the constructor throws std::invalid_argument if the balancer has no name that the coordinator accepts, or if
//            no random bytes are available.
#pragma once

#include <memory>

#include "budget/admission.h"
#include "budget/holder.h"
#include "coordinator/agent.h"
#include "engine/config.h"
#include "loop/boot_clock.h"
#include "settings/values.h"

namespace flaxdoor::engine {

class FleetBudgets {
public:
    FleetBudgets(const loop::Executor& executor, core::Log& log, const Config& config,
                 const settings::Values& operators);

    core::Admission& admission() { return admission_; }
    void start() { agent_.start(); }
    void leave() { agent_.leave(); }

private:
    loop::BootClock clock_;
    budget::Holder holder_;
    coordinator::Agent agent_;
    budget::Admission admission_;
};

// Returns null without [budget].
[[nodiscard]] std::unique_ptr<FleetBudgets> make_fleet_budgets(const loop::Executor& executor, core::Log& log,
                                                               const Config& config,
                                                               const settings::Values& operators);

}  // namespace flaxdoor::engine
