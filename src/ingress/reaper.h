// Moves the destruction of route tables away from the event loop, since freeing a table of 20,000 routes
// takes milliseconds. The thread that built a table frees it after the last request that uses it has ended.
//
// Threading: any thread.
#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "routes/table.h"

namespace flaxdoor::ingress {

class Reaper : public std::enable_shared_from_this<Reaper> {
public:
    // Returns a pointer to the same table. When its last copy is destroyed, the table is queued here.
    [[nodiscard]] std::shared_ptr<const routes::Table> track(std::shared_ptr<const routes::Table> table);
    // Frees the queued tables and returns their number.
    std::size_t reap();

private:
    void enqueue(std::shared_ptr<const routes::Table> table);

    std::mutex mutex_;
    std::vector<std::shared_ptr<const routes::Table>> queue_;
};

}  // namespace flaxdoor::ingress
