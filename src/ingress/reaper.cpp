#include "ingress/reaper.h"

namespace flaxdoor::ingress {

std::shared_ptr<const routes::Table> Reaper::track(std::shared_ptr<const routes::Table> table) {
    const routes::Table* const raw_table = table.get();
    return {raw_table, [reaper = shared_from_this(), shared_table = std::move(table)](
                           const routes::Table*) mutable { reaper->enqueue(std::move(shared_table)); }};
}

void Reaper::enqueue(std::shared_ptr<const routes::Table> table) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(table));
}

std::size_t Reaper::reap() {
    std::vector<std::shared_ptr<const routes::Table>> expired;
    {
        const std::lock_guard lock(mutex_);
        expired.swap(queue_);
    }
    return expired.size();
}

}  // namespace flaxdoor::ingress
