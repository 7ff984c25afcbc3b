#include "real/recorder.h"

#include <algorithm>
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
    std::stable_sort(records_.begin(), records_.end(), [](const Record& a, const Record& b) {
        return a.at != b.at ? a.at < b.at : rank(a.event) < rank(b.event);
    });
    records_.push_back({records_.empty() ? 0 : records_.back().at, Event::over, 0, 0, 0, 0, 0});
    return std::move(records_);
}

}  // namespace flaxdoor::lab::real
