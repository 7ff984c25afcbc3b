#include "overload/memory_budget.h"

#include <algorithm>

namespace flaxdoor::overload {

namespace {

constexpr std::size_t process_share_divisor =
    2;  // of what the platform allows: the aim for the whole process
constexpr std::size_t least_connections_divisor =
    8;  // of what the platform allows: always left to connections

}  // namespace

void MemoryBudget::remove_holder(MemoryHolder& holder) { std::erase(holders_, &holder); }

void MemoryBudget::enforce() {
    if (enforcing_) return;
    enforcing_ = true;
    for (const ReclaimStage stage : reclaim_stages) {
        while (exceeded() && reclaim_one(stage)) ++reclaimed_;
    }
    enforcing_ = false;
}

bool MemoryBudget::reclaim_one(ReclaimStage stage) {
    MemoryHolder* largest_holder = nullptr;
    std::size_t largest = least_reclaimed - 1;
    for (MemoryHolder* const holder : holders_) {
        const std::size_t bytes = holder->largest_reclaimable(stage);
        if (bytes <= largest) continue;
        largest = bytes;
        largest_holder = holder;
    }
    if (!largest_holder) return false;
    const std::size_t before = used_;
    largest_holder->reclaim_largest(stage);
    return used_ < before;
}

std::size_t connection_memory_limit(std::size_t allowed, std::size_t resident, std::size_t used) {
    const std::size_t target = allowed / process_share_divisor;
    const std::size_t rest = resident > used ? resident - used : 0;
    const std::size_t left = target > rest ? target - rest : 0;
    return std::max(left, allowed / least_connections_divisor);
}

}  // namespace flaxdoor::overload
