#include "judge/cold.h"

#include <cmath>

namespace flaxdoor::lab {

void Cold::up(const Record& up) {
    starts_.erase(up.who);
    if (up.b == 0 || terms_.fall_multiple <= 0) return;
    ++findings_.counts.cold_starts;
    Start& start = starts_[up.who];
    start.at = up.at;
    start.capacity = up.a;
}

void Cold::expire_arrivals(Start& start, std::uint64_t now) const {
    while (!start.span.empty() && now - start.span.front().at >= terms_.fall_span_us) {
        const Arrival& oldest = start.span.front();
        start.work -= oldest.work;
        if (oldest.informed) start.informed_work -= oldest.work;
        start.span.pop_front();
    }
}

double Cold::bearable_work(const Start& start, std::uint64_t now) const {
    const double grown = static_cast<double>(now - start.at) / static_cast<double>(terms_.ramp_us);
    const double share = terms_.cold_share + (1 - terms_.cold_share) * grown;
    const double work = terms_.fall_multiple * share * static_cast<double>(start.capacity) *
                        static_cast<double>(terms_.fall_span_us) / 1e6;
    if (terms_.mean_work_us <= 0) return work;
    return work + (3 * std::sqrt(work / terms_.mean_work_us) + 3) * terms_.mean_work_us;
}

void Cold::arrived(const Record& arrived) {
    const auto found = starts_.find(arrived.who);
    if (found == starts_.end()) return;
    Start& start = found->second;
    if (arrived.at - start.at >= terms_.ramp_us) {
        starts_.erase(found);  // the slow start is over
        return;
    }
    expire_arrivals(start, arrived.at);
    const bool informed = words_.told_of_start(arrived.peer, arrived.who, start.at);
    start.span.push_back({arrived.at, arrived.b, informed});
    start.work += arrived.b;
    if (informed) start.informed_work += arrived.b;
    if (static_cast<double>(start.work) <= bearable_work(start, arrived.at)) return;
    judge_fall(arrived, arrived.who, start);
    starts_.erase(found);
}

void Cold::fell(const Record& fell) {
    const auto found = starts_.find(fell.who);
    if (found == starts_.end()) return;  // judged at the arrival that caused it, or the server was warm
    expire_arrivals(found->second, fell.at);
    judge_fall(fell, fell.who, found->second);
    starts_.erase(found);
}

void Cold::judge_fall(const Record& by, std::uint32_t server, const Start& start) {
    ++findings_.counts.falls;
    if (3 * start.informed_work <= 2 * start.work) return;
    const auto percent = static_cast<std::uint64_t>(100 * static_cast<double>(start.informed_work) /
                                                    static_cast<double>(start.work));
    findings_.add({Rule::cold, by.at, by.call, std::nullopt, server,
                   "server " + std::to_string(server) + " is pushed over " + text_of_time(by.at - start.at) +
                       " after it started cold: work of " + text_of_time(start.work) + " came within " +
                       text_of_time(terms_.fall_span_us) + ", it bears " +
                       text_of_time(static_cast<std::uint64_t>(bearable_work(start, by.at))) + "; " +
                       std::to_string(percent) + " % of it from balancers that were told of the start"});
}

std::size_t Cold::held() const {
    std::size_t held = starts_.size();
    for (const auto& [server, start] : starts_) held += start.span.size();
    return held;
}

}  // namespace flaxdoor::lab
