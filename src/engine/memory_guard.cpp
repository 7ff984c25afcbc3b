#include "engine/memory_guard.h"

#include "log/events.h"
#include "loop/process_memory.h"

namespace flaxdoor::engine {

namespace {

constexpr auto measure_interval = std::chrono::milliseconds(250);
constexpr int measurements_between_trims = 4;  // trimming takes milliseconds on a large heap
constexpr std::size_t trim_divisor = 2;        // of what is allowed: a larger process gives freed memory back
// Trimming pays only after connections have freed this much.
constexpr std::size_t least_freed_bytes = 1024 * 1024;

}  // namespace

MemoryGuard::MemoryGuard(const loop::Executor& executor, core::Log& log, overload::MemoryBudget& budget)
    : log_(log), budget_(budget), timer_(executor) {}

void MemoryGuard::set_allowed(std::size_t bytes) {
    if (bytes == allowed_) return;
    allowed_ = bytes;
    if (allowed_ == 0) {
        timer_.cancel();
        return budget_.set_limit(overload::MemoryBudget::unlimited);
    }
    loop::return_freed_memory();
    measure();
}

void MemoryGuard::measure() {
    const std::size_t resident = loop::resident_bytes();
    budget_.set_limit(overload::connection_memory_limit(allowed_, resident, budget_.used()));
    budget_.enforce();
    trim_if_useful(resident);
    if (budget_.reclaimed() != reported_) {
        log_.write(log::events::memory_reclaimed, budget_.reclaimed() - reported_, budget_.used(),
                   budget_.limit());
        reported_ = budget_.reclaimed();
    }
    schedule();
}

void MemoryGuard::trim_if_useful(std::size_t resident) {
    ++measurements_since_trim_;
    const bool large = resident > allowed_ / trim_divisor;
    const bool freed = budget_.peak() >= budget_.used() + least_freed_bytes;
    if (!large || !freed || measurements_since_trim_ < measurements_between_trims) return;
    measurements_since_trim_ = 0;
    budget_.restart_peak();
    loop::trim_heap();
}

void MemoryGuard::schedule() {
    timer_.expires_after(measure_interval);
    timer_.async_wait(alive_.wrap([this](const boost::system::error_code& error) {
        if (!error) measure();
    }));
}

}  // namespace flaxdoor::engine
