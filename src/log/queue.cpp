#include "log/queue.h"

namespace flaxdoor::log {

bool LineQueue::push(std::size_t event, std::string_view line) {
    const std::size_t cost = line.size() + entry;
    if (lines_.size() >= bounds_.entries || bytes_ + cost > bounds_.bytes) return false;
    // Counted anew each time: only a log that nobody reads gets here, and it is bounded.
    std::size_t its_bytes = cost, its_entries = 1;
    for (const Line& each : lines_) {
        if (each.event != event) continue;
        its_bytes += each.text.size() + entry;
        ++its_entries;
    }
    if (its_entries > bounds_.entries / share || its_bytes > bounds_.bytes / share) return false;
    lines_.push_back({event, std::string(line)});
    bytes_ += cost;
    return true;
}

void LineQueue::pop() {
    bytes_ -= lines_.front().text.size() + entry;
    lines_.pop_front();
}

}  // namespace flaxdoor::log
