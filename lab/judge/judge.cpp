#include "judge/judge.h"

namespace flaxdoor::lab {

std::string_view text_of(Rule rule) {
    switch (rule) {
        case Rule::trace: return "trace";
        case Rule::answers: return "rule 1 (answers)";
        case Rule::effects: return "rule 2 (effects)";
        case Rule::drains: return "rule 3 (drains)";
        case Rule::cold: return "rule 4 (cold)";
    }
    return "unknown";
}

std::string Broken::text() const {
    std::string text = text_of_time(at) + " " + std::string(text_of(rule));
    if (call != 0) text += ", call " + std::to_string(call);
    return text + ": " + what;
}

Judge::Judge(const Terms& terms)
    : terms_(terms), calls_(terms_, findings_), words_(terms_, findings_), cold_(terms_, words_, findings_) {}

void Judge::put(const Record& record) {
    ++findings_.counts.records;
    const auto contradiction = [&](const char* what) {
        findings_.add({Rule::trace, record.at, record.call, std::nullopt, std::nullopt, what});
    };
    if (over_) return contradiction("a record follows the world's end");
    if (record.at < now_) return contradiction("time goes back");
    now_ = record.at;
    calls_.advance(now_);
    switch (record.event) {
        case Event::asked: return calls_.asked(record);
        case Event::received: return calls_.received(record);
        case Event::gave_up: return calls_.gave_up(record);
        case Event::unreached: return calls_.unreached(record);
        case Event::taken: return calls_.taken(record);
        case Event::final_answer: return calls_.final_answer(record);
        case Event::sending: words_.sending(record); return calls_.sending(record);
        case Event::heard: return calls_.heard(record);
        case Event::came_up:
        case Event::killed: words_.began_anew(record.who); return calls_.lost(record, false);
        case Event::ended: words_.began_anew(record.who); return calls_.lost(record, true);
        case Event::arrived: return cold_.arrived(record);
        case Event::turned_away: return calls_.turned_away(record);
        case Event::ran: return calls_.ran(record);
        case Event::replied: return calls_.replied(record);
        case Event::server_up: return cold_.up(record);
        case Event::server_down: return cold_.down(record);
        case Event::fell: return cold_.fell(record);
        case Event::told: return words_.told(record);
        case Event::over: over_ = true; return calls_.over(record);
        case Event::repeats:
        case Event::told_to_end:
        case Event::load:
        case Event::trouble: return;
    }
    contradiction("a record of an unknown kind");
}

const Findings& Judge::finish() {
    if (!over_) {
        findings_.add({Rule::trace, now_, 0, std::nullopt, std::nullopt, "the trace has no end (over)"});
        over_ = true;
    }
    return findings_;
}

}  // namespace flaxdoor::lab
