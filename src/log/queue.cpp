#include "log/queue.h"

namespace flaxdoor::log {

bool LineQueue::push(std::size_t event, std::string_view line) {
    const std::size_t cost = line.size() + entry_overhead;
    if (lines_.size() >= bounds_.entries || bytes_ + cost > bounds_.bytes) return false;
    // The usage of the event is recounted for each line. That is cheap enough: the queue is bounded and is used only
    // while nothing reads the log.
    std::size_t event_bytes = cost, event_entries = 1;
    for (const Line& queued : lines_) {
        if (queued.event != event) continue;
        event_bytes += queued.text.size() + entry_overhead;
        ++event_entries;
    }
    if (event_entries > bounds_.entries / event_divisor || event_bytes > bounds_.bytes / event_divisor)
        return false;
    lines_.push_back({event, std::string(line)});
    bytes_ += cost;
    return true;
}

void LineQueue::pop() {
    bytes_ -= lines_.front().text.size() + entry_overhead;
    lines_.pop_front();
}

}  // namespace flaxdoor::log
