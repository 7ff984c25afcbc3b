// Lines that the sink cannot accept yet. The queue is bounded in bytes and in entries, and one event may use at most a
// quarter of each bound, so that a flood of one event leaves space for the others. The caller counts the lines that the
// queue rejects.
//
// Threading: one thread.   No I/O.   Memory: that of the queued lines; none while the queue is empty.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

namespace flaxdoor::log {

class LineQueue {
public:
    struct Bounds {
        std::size_t bytes = 64 << 10;  // each line counts with its length and `entry_overhead`
        std::size_t entries = 256;
    };
    static constexpr std::size_t entry_overhead = 96;  // bytes of a list node and a string object
    static constexpr std::size_t event_divisor = 4;    // one event may use 1 / event_divisor of each bound

    // Lines that are already queued stay, even beyond the new bounds.
    void set_bounds(Bounds bounds) { bounds_ = bounds; }
    // Returns false if there is no space for the line.
    [[nodiscard]] bool push(std::size_t event, std::string_view line);
    bool empty() const { return lines_.empty(); }
    std::string_view front() const { return lines_.front().text; }
    void pop();

    std::size_t bytes() const { return bytes_; }
    std::size_t entries() const { return lines_.size(); }

private:
    struct Line {
        std::size_t event;
        std::string text;
    };
    Bounds bounds_;
    std::list<Line> lines_;
    std::size_t bytes_ = 0;
};

}  // namespace flaxdoor::log
