// Rule 4: no server fails from overload during its slow start. In any span, a cold server can bear the configured
// multiple of its current capacity, plus an allowance for random arrivals if the terms define one. The capacity grows
// linearly over the ramp, from the cold share to the full capacity. The server fails in the first span with more
// work. The rule is broken if over two thirds of that work came from balancers that knew of the start when the work
// arrived. Work counts from its arrival, even if it is rejected. A failure that the server reports itself is judged
// in the same way.
//
// Memory: the arrivals of cold servers within the last span.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "judge/findings.h"
#include "judge/words.h"
#include "trace/record.h"
#include "trace/terms.h"

namespace flaxdoor::lab {

class Cold {
public:
    Cold(const Terms& terms, const Words& words, Findings& findings)
        : terms_(terms), words_(words), findings_(findings) {}

    void up(const Record& up);
    void down(const Record& down) { starts_.erase(down.who); }
    void arrived(const Record& arrived);
    void fell(const Record& fell);

    std::size_t held() const;

private:
    struct Arrival {
        std::uint64_t at = 0, work = 0;
        bool informed = false;
    };
    struct Start {
        std::uint64_t at = 0, capacity = 0;
        std::deque<Arrival> span;
        std::uint64_t work = 0, informed_work = 0;  // sums of the span
    };
    void expire_arrivals(Start& start, std::uint64_t now) const;
    double bearable_work(const Start& start, std::uint64_t now) const;
    void judge_fall(const Record& by, std::uint32_t server, const Start& start);

    const Terms& terms_;
    const Words& words_;
    Findings& findings_;
    std::unordered_map<std::uint32_t, Start> starts_;
};

}  // namespace flaxdoor::lab
