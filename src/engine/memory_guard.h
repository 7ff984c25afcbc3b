// Keeps the process within the memory that the platform allows it: measures the process at intervals, sets the limit
// on what connections may hold (overload/memory_budget.h), and gives freed memory back when the process is large.
//
// Threading: the executor's one thread.   Ownership: borrows executor, log and budget, which must outlive it.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>

#include "core/ports.h"
#include "loop/executor.h"
#include "loop/lifetime_guard.h"
#include "overload/memory_budget.h"

namespace flaxdoor::engine {

class MemoryGuard {
public:
    MemoryGuard(const loop::Executor& executor, core::Log& log, overload::MemoryBudget& budget);
    MemoryGuard(const MemoryGuard&) = delete;
    MemoryGuard& operator=(const MemoryGuard&) = delete;

    // Sets what the platform allows the process, in bytes; zero: no limit. Takes effect at once, also when it lowers the
    // limit while connections hold more.
    void set_allowed(std::size_t bytes);

private:
    void measure();
    void trim_if_useful(std::size_t resident);
    void schedule();

    core::Log& log_;
    overload::MemoryBudget& budget_;
    boost::asio::steady_timer timer_;
    std::size_t allowed_ = 0;
    std::uint64_t reported_ = 0;  // MemoryBudget::reclaimed() when it was last logged
    int measurements_since_trim_ = 0;
    loop::LifetimeGuard alive_;
};

}  // namespace flaxdoor::engine
