// What real mode plays, taken from the emulated world of the same part: which calls come when, which servers
// come and go, which balancers die or are told to end, and when each balancer is told of what. So both sides
// meet the same calls with the same work, and the same timetable.
//
// Threading: one thread. Memory: a call and an event each; plan.h bounds the calls.
#pragma once

#include <cstdint>
#include <vector>

#include "experiment/experiment.h"
#include "trace/record.h"

namespace flaxdoor::lab::real {

struct PlannedCall {
    std::uint64_t due = 0;    // us
    std::uint64_t first = 0;  // its number without a try's
    std::uint32_t client = 0;
    std::uint8_t zone = 0;
    std::int32_t tenant = -1;
    int class_index = 0;
    std::uint32_t key = 0;
    Micros work{};
};

class Script final : public Sink {
public:
    explicit Script(const Experiment& part) : part_(part) {}
    void put(const Record& record) override;

    std::vector<PlannedCall> calls;  // in order of time
    // server_up, server_down (not of those that fell), killed, told_to_end, came_up after a kill, told, trouble.
    std::vector<Record> events;

private:
    const Experiment& part_;
    std::uint64_t fell_at_ = ~0ULL;
    std::uint32_t fell_ = 0;
    std::vector<bool> killed_;
};

}  // namespace flaxdoor::lab::real
