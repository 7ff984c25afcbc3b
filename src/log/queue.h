// Lines that the descriptor does not take yet: bounded in bytes and in entries, and of one event no more than a quarter of
// either, so that a flood of one leaves room for the others. What finds no room is the caller's to count.
//
// Threading: one thread.   No I/O.   Memory: that of the lines, none while none waits.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

namespace flaxdoor::log {

class LineQueue {
public:
    struct Bounds {
        std::size_t bytes = 64 << 10;  // each line counts `entry` beside its own
        std::size_t entries = 256;
    };
    static constexpr std::size_t entry = 96;  // of a list's node and a string
    static constexpr std::size_t share = 4;

    // What waits stays, also beyond new bounds.
    void set(Bounds bounds) { bounds_ = bounds; }
    // False: there is no room.
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
