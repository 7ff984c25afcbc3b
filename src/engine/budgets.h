// A balancer's part in the fleet's budgets, put together: its holder, the agent that asks the coordinator, and the admission
// that the core is given. Made only where the operator's file has [budget].
//
// Threading: the executor's one thread at a time.   Ownership: executor and log are borrowed and outlive it; it outlives the
//            core.
// Errors:    the constructor throws std::invalid_argument where the balancer has no name that a coordinator could know it
//            by, or no random bytes are to be had.
#pragma once

#include <memory>

#include "budget/admission.h"
#include "budget/holder.h"
#include "coordinator/agent.h"
#include "engine/config.h"
#include "loop/boot_clock.h"
#include "settings/values.h"

namespace flaxdoor::engine {

class Budgets {
public:
    Budgets(const loop::Executor& executor, core::Log& log, const Config& config,
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

// Null without [budget].
[[nodiscard]] std::unique_ptr<Budgets> make_budgets(const loop::Executor& executor, core::Log& log,
                                                    const Config& config, const settings::Values& operators);

}  // namespace flaxdoor::engine
