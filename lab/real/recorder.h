// What was seen on sockets, as records of a trace. Times are this machine's one monotonic clock, counted from
// the world's beginning. Things are seen in another order than they happened (a node tells of a request's first
// byte once it is whole), so records are put in order at the end: by time, and at one microsecond by what can
// follow from what.
//
// Threading: one thread. Memory: 48 bytes a record until its end; plan.h bounds the calls.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "trace/record.h"

namespace flaxdoor::lab::real {

class Recorder {
public:
    using Time = std::chrono::steady_clock::time_point;

    // What was noted before stands at 0.
    void begin(Time at) {
        begin_ = at;
        for (Record& record : records_) record.at = 0;
    }
    std::uint64_t since_begin(Time at) const {
        return at <= begin_ ? 0
                            : static_cast<std::uint64_t>(
                                  std::chrono::duration_cast<std::chrono::microseconds>(at - begin_).count());
    }
    Time time_of(std::uint64_t us) const { return begin_ + std::chrono::microseconds(us); }
    void note(std::uint64_t at, Event event, std::uint32_t who, std::uint32_t peer = 0,
              std::uint64_t call = 0, std::uint64_t a = 0, std::uint64_t b = 0) {
        records_.push_back({at, event, who, peer, call, a, b});
    }
    // All of them in order, with `over` at the end.
    std::vector<Record> finish();

private:
    Time begin_{};
    std::vector<Record> records_;
};

}  // namespace flaxdoor::lab::real
