#include "budget_judge/judge.h"

#include <algorithm>

namespace flaxdoor::lab::budgets {

namespace {

constexpr std::int64_t permit = 1'000'000'000;  // a thousandth a second, times a microsecond
constexpr std::size_t story_most = 16;

Quantity sum(Quantity a, Quantity b) { return {a.rate + b.rate, a.size + b.size}; }
Quantity most(Quantity a, Quantity b) { return {std::max(a.rate, b.rate), std::max(a.size, b.size)}; }
std::string text(Quantity q) { return std::to_string(q.rate) + "/" + std::to_string(q.size); }
std::string ms(std::int64_t us) { return std::to_string(us / 1000) + " ms"; }

}  // namespace

std::string text_of(Rule rule) {
    switch (rule) {
        case Rule::shares: return "shares";
        case Rule::work: return "work";
        case Rule::places: return "places";
        case Rule::trace: return "trace";
    }
    return "unknown";
}

std::string text_of(const Record& r, const Ground& ground) {
    const std::string who = "process " + std::to_string(r.process);
    const std::string budget = r.budget < ground.budgets.size() ? ground.budgets[r.budget].name : "?";
    const std::string when = ms(r.at) + ": ";
    switch (r.what) {
        case What::whole: return when + budget + " has a whole of " + text(r.quantity);
        case What::lease:
            return when + who + " has a lease of " + budget + " " + text(r.quantity) + " until " +
                   ms(r.until);
        case What::reserve: return when + who + " has a reserve of " + budget + " " + text(r.quantity);
        case What::gone: return when + who + " is gone";
        case What::begun: return when + who + " begins an attempt under " + budget;
        case What::ended: return when + "an attempt of " + who + " under " + budget + " ends";
        case What::note: return when + r.text + " " + std::to_string(r.process);
    }
    return when;
}

Judge::Judge(Ground ground)
    : ground_(std::move(ground)), states_(ground_.budgets.size()), held_(ground_.budgets.size()) {}

void Judge::add(std::int64_t at, Rule rule, std::uint32_t budget, std::string text) {
    if (!known_.insert({rule, budget}).second) return;
    const std::string name = budget < ground_.budgets.size() ? ground_.budgets[budget].name : "?";
    Broken broken{at, rule, ms(at) + ": " + text_of(rule) + " of " + name + ": " + std::move(text), {}};
    for (const Record& record : lately_) broken.story.push_back(text_of(record, ground_));
    broken_.push_back(std::move(broken));
}

// The most of the wholes that count at that moment, and what the world may have beyond them.
Quantity Judge::allowed(const State& state, std::int64_t at, std::int64_t longer) const {
    Quantity all;
    for (std::size_t i = 0; i < state.wholes.size(); ++i) {
        if (state.wholes[i].from > at) break;
        const bool last = i + 1 == state.wholes.size();
        if (last || at < state.wholes[i + 1].from + longer) all = most(all, state.wholes[i].quantity);
    }
    return sum(all, ground_.budgets[static_cast<std::size_t>(&state - states_.data())].beyond);
}

// Piece by piece, since the rate changes where an old whole no longer counts; there new windows begin, which know
// nothing of the old size.
void Judge::drain(State& state, std::int64_t to) {
    while (state.drained < to) {
        std::int64_t next = to;
        for (std::size_t i = 1; i < state.wholes.size(); ++i) {
            for (const std::int64_t edge : {state.wholes[i].from, state.wholes[i].from + ground_.term_us}) {
                if (edge > state.drained) next = std::min(next, edge);
            }
        }
        const Quantity now = allowed(state, state.drained, ground_.term_us);
        for (Windows& each : state.windows) {
            each.level = std::max<std::int64_t>(each.level - now.rate * (next - state.drained), 0);
            each.size_most = std::max(each.size_most, now.size);
        }
        state.drained = next;
        const Quantity then = allowed(state, next, ground_.term_us);
        if (then != now) state.windows.push_back({next, 0, then.size});
    }
}

void Judge::check_shares(std::uint32_t budget, std::int64_t at) {
    State& state = states_[budget];
    Quantity all;
    for (const auto& [process, holding] : held_[budget]) {
        all = sum(all, holding.reserve);
        if (at < holding.until) all = sum(all, holding.leased);
    }
    const Quantity whole = allowed(state, at, ground_.term_us);
    const bool over = all.rate > whole.rate || all.size > whole.size;
    if (over) {
        add(at, Rule::shares, budget, "in force " + text(all) + " of " + text(whole));
        for (const auto& [has, may] : {std::pair{all.rate, whole.rate}, std::pair{all.size, whole.size}}) {
            if (may > 0) over_most_ = std::max(over_most_, (has - may) * 1000 / may);
        }
    }
    if (over && state.over_since < 0) state.over_since = at;
    if (!over && state.over_since >= 0) {
        over_us_ += at - state.over_since;
        state.over_since = -1;
    }
}

// Leases end by themselves.
void Judge::advance(std::int64_t at) {
    while (!ends_.empty() && ends_.begin()->first <= at) {
        const auto [when, whose] = *ends_.begin();
        ends_.erase(ends_.begin());
        check_shares(whose.first, when);
    }
    now_ = at;
}

void Judge::end(std::int64_t at) {
    advance(std::max(now_, at));
    for (std::uint32_t budget = 0; budget < states_.size(); ++budget) {
        State& state = states_[budget];
        check_shares(budget, now_);
        if (state.over_since >= 0) over_us_ += now_ - state.over_since;
        state.over_since = -1;
    }
}

void Judge::put(const Record& record) {
    if (record.at < now_) add(record.at, Rule::trace, record.budget, "time goes back");
    advance(std::max(now_, record.at));
    if (record.what != What::begun && record.what != What::ended) {
        if (lately_.size() == story_most) lately_.pop_front();
        lately_.push_back(record);
    }
    const auto unknown = [&] {
        if (record.budget < states_.size()) return false;
        add(now_, Rule::trace, record.budget, "no such budget");
        return true;
    };
    switch (record.what) {
        case What::whole: {
            if (unknown()) return;
            State& state = states_[record.budget];
            if (state.wholes.empty()) {
                state.drained = now_;
                state.windows.push_back({now_, 0, 0});
            }
            drain(state, now_);
            state.wholes.push_back({now_, record.quantity});
            if (state.wholes.size() > 1) {
                const Quantity now = allowed(state, now_, ground_.term_us);
                state.windows.push_back({now_, 0, now.size});
                ends_.insert({now_ + ground_.term_us, {record.budget, 0}});
            }
            check_shares(record.budget, now_);
            return;
        }
        case What::lease:
        case What::reserve: {
            if (unknown()) return;
            Holding& holding = held_[record.budget][record.process];
            if (record.what == What::reserve) {
                holding.reserve = record.quantity;
            } else {
                holding.leased = record.quantity;
                holding.until = record.until;
                if (record.until > now_) ends_.insert({record.until, {record.budget, record.process}});
            }
            check_shares(record.budget, now_);
            return;
        }
        case What::gone:
            for (std::uint32_t budget = 0; budget < held_.size(); ++budget) {
                if (held_[budget].erase(record.process) > 0) check_shares(budget, now_);
            }
            return;
        case What::begun: {
            if (unknown()) return;
            State& state = states_[record.budget];
            if (ground_.budgets[record.budget].places) {
                ++state.running;
                const Quantity whole = allowed(state, now_, ground_.term_us + ground_.longest_us);
                if (state.running > whole.size) {
                    add(now_, Rule::places, record.budget,
                        std::to_string(state.running) + " run at once of " + std::to_string(whole.size) +
                            ", the last of process " + std::to_string(record.process));
                }
                return;
            }
            drain(state, now_);
            const Quantity whole = allowed(state, now_, ground_.term_us);
            for (Windows& each : state.windows) {
                each.size_most = std::max(each.size_most, whole.size);
                each.level += permit;
                if (each.level > each.size_most * permit) {
                    add(now_, Rule::work, record.budget,
                        std::to_string(each.level / permit) + " permits and " +
                            std::to_string(each.level % permit) + "e-9 over the rate, of a size of " +
                            std::to_string(each.size_most) + ", the last of process " +
                            std::to_string(record.process));
                }
            }
            return;
        }
        case What::ended:
            if (unknown()) return;
            if (--states_[record.budget].running < 0)
                add(now_, Rule::trace, record.budget, "an end too many");
            return;
        case What::note: return;
    }
}

}  // namespace flaxdoor::lab::budgets
