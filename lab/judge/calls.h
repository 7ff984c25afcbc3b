// Rules 1 and 2: one final answer for each accepted call, and no effect twice.
//
// Memory: a call is tracked from `asked` to its due time, which is the client's timeout plus the slack. Overdue calls
//         and unsafe calls with an attempt in doubt are tracked for `keep_` longer: the longest window or deadline
//         of a class, plus the slack. A record for a call that is no longer tracked breaks a rule, except for an
//         effect, which is only counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "judge/findings.h"
#include "trace/record.h"
#include "trace/terms.h"

namespace flaxdoor::lab {

class Calls {
public:
    Calls(const Terms& terms, Findings& findings);

    // Judges all calls whose due time lies before `now`. Called before each record.
    void advance(std::uint64_t now);

    void asked(const Record& asked);
    void received(const Record& received);
    void gave_up(const Record& gave_up);
    void unreached(const Record& unreached);
    void taken(const Record& taken);
    void final_answer(const Record& answer);
    void sending(const Record& sending);
    void heard(const Record& heard);
    void turned_away(const Record& turned_away);
    void ran(const Record& ran);
    void replied(const Record& replied);
    // A balancer's process has ended. With `by_itself` it shut down and had to answer its calls first; otherwise it
    // was killed.
    void lost(const Record& end, bool by_itself);
    void over(const Record& over);

    std::size_t held() const { return calls_.size() + timers_.size(); }

private:
    struct Attempt {
        std::uint64_t number = 0, sent_at = 0, ran_at = 0;
        std::uint32_t server = 0;
        bool never_ran = false;  // the balancer knows that it never executes
        bool ran = false;
        bool turned_away = false;  // the server rejected it
    };
    struct Call {
        std::uint64_t number = 0, asked_at = 0, waits = 0;
        std::uint64_t due = 0;  // the latest time at which an answer counts
        std::uint64_t answered_at = 0;
        std::uint32_t holder = 0;
        std::uint32_t effects = 0;
        Terms::Effect effect = Terms::Effect::safe;
        Verdict verdict = Verdict::failed;
        bool by_zone = false;
        std::uint64_t window = 0;
        bool held = false;  // balancer `holder` has the call
        bool owed = true;
        bool overdue = false;
        bool answered = false;
        bool replied_ok = false;        // a server replied to it
        std::vector<Attempt> attempts;  // empty for safe calls
    };
    Call* find(std::uint64_t call);
    Attempt* find(Call& call, const Record& record);
    void judge_repeated_attempt(const Call& call, const Record& sending);
    void judge_refusal(const Call& call, const Record& answer);
    void judge_unanswered(const Call& call, std::uint64_t at, const std::string& end);
    void report_broken(Rule rule, const Record& by, std::uint32_t balancer, std::string what);
    bool same_zone(std::uint32_t server, std::uint32_t other) const;

    const Terms& terms_;
    Findings& findings_;
    std::uint64_t keep_ = 0;
    std::unordered_map<std::uint64_t, Call> calls_;
    using Timer = std::pair<std::uint64_t, std::uint64_t>;  // time and call
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

}  // namespace flaxdoor::lab
