#include "real/recorder.h"

#include <algorithm>
#include <map>
#include <utility>

namespace flaxdoor::lab::real {

namespace {

// Of one microsecond: what comes first.
int rank(Event event) {
    switch (event) {
        case Event::trouble: return 0;
        case Event::server_up: return 1;
        case Event::came_up: return 2;
        case Event::told: return 3;
        case Event::asked: return 4;
        case Event::repeats: return 5;
        case Event::taken: return 6;
        case Event::sending: return 7;
        case Event::arrived: return 8;
        case Event::turned_away: return 9;
        case Event::ran: return 10;
        case Event::replied: return 11;
        case Event::heard: return 12;
        case Event::final_answer: return 13;
        case Event::received: return 14;
        case Event::gave_up: return 15;
        case Event::over: return 100;
        default: return 50;
    }
}

}  // namespace

std::vector<Record> Recorder::finish() {
    const auto in_order = [](const Record& a, const Record& b) {
        return a.at != b.at ? a.at < b.at : rank(a.event) < rank(b.event);
    };
    std::stable_sort(records_.begin(), records_.end(), in_order);
    // A node sees what a killed balancer had written after its death: it was sent before that.
    std::map<std::uint32_t, std::uint64_t> killed_at;
    for (Record& record : records_) {
        if (record.event == Event::killed) killed_at[record.who] = record.at;
        if (record.event == Event::came_up) killed_at.erase(record.who);
        const auto dead = record.event == Event::sending ? killed_at.find(record.who) : killed_at.end();
        if (dead != killed_at.end()) record.at = dead->second;
    }
    std::stable_sort(records_.begin(), records_.end(), in_order);
    records_.push_back({records_.empty() ? 0 : records_.back().at, Event::over, 0, 0, 0, 0, 0});
    return std::move(records_);
}

}  // namespace flaxdoor::lab::real
