#include "judge/calls.h"

#include <algorithm>

namespace flaxdoor::lab {

namespace {

std::string attempt_text(std::uint64_t number, std::uint32_t server) {
    return "attempt " + std::to_string(number) + " to server " + std::to_string(server);
}

// Adds two times; saturates at the maximum.
std::uint64_t saturating_sum(std::uint64_t a, std::uint64_t b) { return a + std::min(b, ~a); }

}  // namespace

Calls::Calls(const Terms& terms, Findings& findings) : terms_(terms), findings_(findings) {
    for (const Terms::Class& call_class : terms.classes)
        keep_ = std::max({keep_, call_class.window_us, call_class.deadline_us});
    keep_ += terms.answer_slack_us;
}

Calls::Call* Calls::find(std::uint64_t call) {
    const auto found = calls_.find(call);
    return found == calls_.end() ? nullptr : &found->second;
}

// Returns the latest attempt with the record's number, because a number may be used twice.
Calls::Attempt* Calls::find(Call& call, const Record& record) {
    const auto found = std::find_if(call.attempts.rbegin(), call.attempts.rend(),
                                    [&](const Attempt& attempt) { return attempt.number == record.a; });
    return found == call.attempts.rend() ? nullptr : &*found;
}

void Calls::report_broken(Rule rule, const Record& by, std::uint32_t balancer, std::string what) {
    findings_.add({rule, by.at, by.call, balancer, std::nullopt, std::move(what)});
}

void Calls::asked(const Record& asked) {
    const auto [at, fresh] = calls_.try_emplace(asked.call);
    if (!fresh) {
        report_broken(Rule::trace, asked, asked.peer, "the call's number is used a second time");
        return;
    }
    ++findings_.counts.asked;
    Call& call = at->second;
    call.number = asked.call;
    call.asked_at = asked.at;
    call.waits = asked.a;
    call.due = saturating_sum(saturating_sum(asked.at, asked.a), terms_.answer_slack_us);
    const std::size_t kind = Asked::unpacked(asked.b).class_index;
    if (kind < terms_.classes.size()) {
        call.effect = terms_.classes[kind].effect;
        call.by_zone = terms_.classes[kind].by_zone;
        call.window = terms_.classes[kind].window_us;
    } else {
        report_broken(Rule::trace, asked, asked.peer,
                      "the call is of class " + std::to_string(kind) + ", the terms have " +
                          std::to_string(terms_.classes.size()));
    }
    timers_.emplace(call.due, call.number);
}

void Calls::advance(std::uint64_t now) {
    while (!timers_.empty() && timers_.top().first < now) {
        const auto [at, number] = timers_.top();
        timers_.pop();
        const auto found = calls_.find(number);
        if (found == calls_.end()) continue;
        Call& call = found->second;
        if (at > call.due) {  // not needed any longer
            if (call.overdue) judge_unanswered(call, at, "nor until " + text_of_time(at));
            calls_.erase(found);
            continue;
        }
        call.overdue = call.held && call.owed;
        const bool settled = std::all_of(
            call.attempts.begin(), call.attempts.end(),
            [](const Attempt& attempt) { return attempt.never_ran || attempt.ran || attempt.turned_away; });
        const bool unsafe = call.effect == Terms::Effect::unsafe;
        if (call.answered && (settled || !unsafe)) {
            calls_.erase(found);
        } else {
            timers_.emplace(saturating_sum(call.due, std::max<std::uint64_t>(keep_, 1)), number);
        }
    }
}

void Calls::judge_unanswered(const Call& call, std::uint64_t at, const std::string& end) {
    findings_.add({Rule::answers, at, call.number, call.holder, std::nullopt,
                   "balancer " + std::to_string(call.holder) + " took the call and did not answer it by " +
                       text_of_time(call.due) + " (asked at " + text_of_time(call.asked_at) +
                       ", the client waits " + text_of_time(call.waits) + ", slack " +
                       text_of_time(terms_.answer_slack_us) + "), " + end});
}

void Calls::received(const Record& received) {
    const Call* call = find(received.call);
    if (call == nullptr || call->answered) return;
    report_broken(Rule::answers, received, received.peer,
                  "the client received an answer that no balancer gave");
}

void Calls::gave_up(const Record& gave_up) {
    Call* call = find(gave_up.call);
    // A client that gives up only when its timeout has passed is still owed its answer.
    if (call == nullptr || gave_up.at >= saturating_sum(call->asked_at, call->waits)) return;
    if (call->held && call->owed) ++findings_.counts.not_owed;
    call->owed = false;
}

void Calls::unreached(const Record& unreached) {
    Call* call = find(unreached.call);
    if (call == nullptr) return;
    if (call->held && call->owed) ++findings_.counts.not_owed;
    call->owed = false;
}

void Calls::taken(const Record& taken) {
    Call* call = find(taken.call);
    if (call == nullptr) {
        report_broken(Rule::trace, taken, taken.who, "the call is taken, but was never asked or has expired");
        return;
    }
    if (call->held) {
        report_broken(Rule::trace, taken, taken.who,
                      "the call is taken while balancer " + std::to_string(call->holder) + " has it");
        return;
    }
    ++findings_.counts.taken;
    call->held = true;
    call->holder = taken.who;
    if (call->owed && taken.at > saturating_sum(call->asked_at, call->waits)) call->owed = false;
    if (!call->owed) ++findings_.counts.not_owed;
}

void Calls::final_answer(const Record& answer) {
    Call* call = find(answer.call);
    const auto verdict = static_cast<Verdict>(answer.a);
    const std::string given(text_of(verdict));
    if (call != nullptr && call->answered) {
        report_broken(Rule::answers, answer, answer.who,
                      "a second final answer, " + given + ", " + text_of_time(answer.at - call->answered_at) +
                          " after the first, " + std::string(text_of(call->verdict)));
        return;
    }
    if (call == nullptr || !call->held || call->holder != answer.who) {
        report_broken(Rule::answers, answer, answer.who,
                      "balancer " + std::to_string(answer.who) + " answers " + given +
                          " a call that it does not have" +
                          (call == nullptr ? ": never asked, or over long ago" : ""));
        return;
    }
    if (answer.a < findings_.counts.answers.size()) ++findings_.counts.answers[answer.a];
    call->answered = true;
    call->held = false;
    call->overdue = false;
    call->answered_at = answer.at;
    call->verdict = verdict;
    if (call->owed && answer.at > call->due) {
        report_broken(Rule::answers, answer, answer.who,
                      "answered " + given + " " + text_of_time(answer.at - call->due) +
                          " after the client's time: asked at " + text_of_time(call->asked_at) +
                          ", it waits " + text_of_time(call->waits) + ", slack " +
                          text_of_time(terms_.answer_slack_us));
    }
    if (verdict == Verdict::served && !call->replied_ok) {
        report_broken(Rule::answers, answer, answer.who,
                      "answered served, and no server made an answer for it");
    }
    if (verdict == Verdict::refused) judge_refusal(*call, answer);
}

void Calls::judge_refusal(const Call& call, const Record& answer) {
    // A rejection states that a retry is harmless. That holds where all servers drop duplicates of a key.
    if (call.effect != Terms::Effect::unsafe && !call.by_zone) return;
    for (const Attempt& attempt : call.attempts) {
        if (attempt.never_ran) continue;
        const char* kind = call.effect == Terms::Effect::unsafe ? "unsafe" : "keyed by zone";
        report_broken(Rule::effects, answer, answer.who,
                      "refused, a call that is " + std::string(kind) + ", although " +
                          attempt_text(attempt.number, attempt.server) +
                          (attempt.ran ? " ran at " + text_of_time(attempt.ran_at)
                                       : std::string(" may have run or may yet")));
        return;
    }
}

void Calls::sending(const Record& sending) {
    ++findings_.counts.sendings;
    Call* call = find(sending.call);
    if (call != nullptr && call->answered) {
        report_broken(Rule::answers, sending, sending.who,
                      attempt_text(sending.a, sending.peer) + " goes " +
                          text_of_time(sending.at - call->answered_at) + " after the final answer, " +
                          std::string(text_of(call->verdict)));
    } else if (call == nullptr || !call->held || call->holder != sending.who) {
        report_broken(Rule::answers, sending, sending.who,
                      attempt_text(sending.a, sending.peer) + " goes for a call that balancer " +
                          std::to_string(sending.who) + " does not have");
    }
    if (call == nullptr || call->effect == Terms::Effect::safe) return;
    judge_repeated_attempt(*call, sending);
    call->attempts.push_back({sending.a, sending.at, 0, sending.peer});
}

bool Calls::same_zone(std::uint32_t server, std::uint32_t other) const {
    const auto& zones = terms_.server_zones;
    return server < zones.size() && other < zones.size() && zones[server] == zones[other];
}

void Calls::judge_repeated_attempt(const Call& call, const Record& sending) {
    if (call.attempts.empty()) return;
    const bool unsafe = call.effect == Terms::Effect::unsafe;
    if (unsafe) ++findings_.counts.unsafe_again;
    bool may_have_run = false;
    for (const Attempt& earlier : call.attempts) {
        if (earlier.never_ran) continue;
        may_have_run = true;
        const std::uint64_t after = sending.at - earlier.sent_at;
        std::string why;
        if (unsafe) {
            why = earlier.ran ? "which ran at " + text_of_time(earlier.ran_at)
                              : std::string("of which it is not known that it never runs");
        } else if (call.by_zone && !same_zone(earlier.server, sending.peer)) {
            why = "which may have run, and whose zone's servers alone drop repeats";
        } else if (after > call.window) {
            why = "which may have run and is remembered for " + text_of_time(call.window);
        } else {
            continue;
        }
        report_broken(Rule::effects, sending, sending.who,
                      (unsafe ? "an unsafe call: " : "a keyed call: ") +
                          attempt_text(sending.a, sending.peer) + " goes " + text_of_time(after) + " after " +
                          attempt_text(earlier.number, earlier.server) + ", " + why);
        break;
    }
    if (!unsafe && may_have_run) ++findings_.counts.keyed_again;
}

void Calls::heard(const Record& heard) {
    Call* call = find(heard.call);
    Attempt* attempt = call == nullptr ? nullptr : find(*call, heard);
    if (attempt == nullptr) return;
    const auto attempt_end = static_cast<Heard>(heard.b);
    if (attempt_end == Heard::turned_away || attempt_end == Heard::never_left)
        attempt->never_ran = !attempt->ran;
}

void Calls::turned_away(const Record& turned_away) {
    Call* call = find(turned_away.call);
    Attempt* attempt = call == nullptr ? nullptr : find(*call, turned_away);
    if (attempt != nullptr) attempt->turned_away = true;
}

void Calls::ran(const Record& ran) {
    Call* call = find(ran.call);
    if (call == nullptr) {
        ++findings_.counts.ran_unwatched;
        return;
    }
    if (Attempt* attempt = find(*call, ran)) {
        attempt->ran = true;
        attempt->never_ran = false;
        attempt->ran_at = ran.at;
    }
    if (ran.b == 0 || call->effect == Terms::Effect::safe) return;
    ++call->effects;
    if (call->effect == Terms::Effect::keyed) {
        if (call->effects == 2) ++findings_.counts.keyed_twice;
        return;
    }
    const auto report = [&](std::string what) {
        findings_.add({Rule::effects, ran.at, ran.call, call->holder, ran.who, std::move(what)});
    };
    if (call->effects > 1) {
        report("an unsafe call's effect happens " + std::to_string(call->effects) + " times: now by " +
               attempt_text(ran.a, ran.who));
    }
    if (call->answered && call->verdict == Verdict::refused) {
        report("an unsafe call was refused at " + text_of_time(call->answered_at) + ", and " +
               attempt_text(ran.a, ran.who) + " runs " + text_of_time(ran.at - call->answered_at) + " later");
    }
}

void Calls::replied(const Record& replied) {
    Call* call = find(replied.call);
    if (call != nullptr && static_cast<Reply>(replied.b) == Reply::ok) call->replied_ok = true;
}

void Calls::lost(const Record& end, bool by_itself) {
    std::vector<std::uint64_t> owed;
    for (auto& [number, call] : calls_) {
        if (!call.held || call.holder != end.who) continue;
        if (call.overdue || (by_itself && call.owed)) {
            owed.push_back(number);
        } else if (!by_itself) {
            ++findings_.counts.orphaned;
        }
        call.held = false;
        call.owed = false;
    }
    std::sort(owed.begin(), owed.end());  // makes the order of findings independent of the hash table
    for (const std::uint64_t number : owed) {
        Call& call = calls_.at(number);
        judge_unanswered(call, end.at,
                         std::string("nor before it ") + (by_itself ? "ended by itself" : "was killed") +
                             " at " + text_of_time(end.at));
        call.overdue = false;
    }
}

void Calls::over(const Record& over) {
    std::vector<std::uint64_t> never;
    for (const auto& [number, call] : calls_) {
        if (call.overdue) {
            never.push_back(number);
        } else if (call.held && call.owed) {
            ++findings_.counts.undecided;
        }
    }
    std::sort(never.begin(), never.end());
    for (const std::uint64_t number : never) {
        judge_unanswered(calls_.at(number), over.at, "nor before the world ended");
    }
    calls_.clear();
    timers_ = {};
}

}  // namespace flaxdoor::lab
