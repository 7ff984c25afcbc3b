// Rule 4: no cold server is pushed over. A server that starts cold bears, in any span, the stated multiple of
// what it can do at that instant (its share grows in a straight line from the cold share to all of its
// capacity over the ramp), and what chance may add, where the terms say so. At the first span with more work
// than that it falls; the rule is broken when over two thirds of that work came from balancers that had been
// told of the start when it arrived. Work counts from its arrival, also what is turned away. A fall that the
// server itself tells is judged alike.
//
// Held: of cold servers, the arrivals within the last span.
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
        bool told = false;
    };
    struct Start {
        std::uint64_t at = 0, capacity = 0;
        std::deque<Arrival> span;
        std::uint64_t work = 0, told_work = 0;  // sums of the span
    };
    void forget_older(Start& start, std::uint64_t now) const;
    double bears(const Start& start, std::uint64_t now) const;
    void fall(const Record& by, std::uint32_t server, const Start& start);

    const Terms& terms_;
    const Words& words_;
    Findings& findings_;
    std::unordered_map<std::uint32_t, Start> starts_;
};

}  // namespace flaxdoor::lab
