#include "budgets/explore.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <unordered_set>

#include "budget/authority.h"
#include "budget/holder.h"
#include "budget_judge/judge.h"
#include "budgets/world.h"

namespace flaxdoor::lab::budgets {

namespace {

constexpr std::int64_t tick = 100'000;
constexpr std::uint32_t holders = 2;

std::uint64_t mixed(std::uint64_t a, std::uint64_t b) {
    std::uint64_t x = a ^ (b + 0x9E3779B97F4A7C15ULL + (a << 6U) + (a >> 2U));
    x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27U)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31U);
}

budget::BudgetConfig small_terms() {
    budget::BudgetConfig terms;
    terms.budgets = {{"rate", budget::Counts::requests, {}, {}, {}, {20'000, 3}, {}},
                     {"pool", budget::Counts::concurrency, {}, {}, {}, {0, 3}, {}}};
    terms.expected_balancers = holders;
    terms.lease_term = Micros(3 * tick);
    terms.max_clock_drift = 0.01;
    terms.max_attempt_duration = Micros(2 * tick);
    return terms;
}

struct Message {
    std::uint32_t holder = 0;
    std::optional<budget::LeaseRequest> request;  // else it is a reply
    budget::LeaseReply reply;
    std::uint64_t print = 0;  // who had met what when it was sent: its content follows from that
};

struct One {
    std::optional<budget::Holder> holder;  // empty: dead
    std::uint64_t print = 0;
};

struct State {
    explicit State(const Ground& ground) : judge(ground) {}
    std::array<One, holders> ones;
    std::optional<budget::Authority> authority;
    std::map<std::pair<std::string, std::string>, budget::Record> written;  // its store
    std::uint64_t authority_print = 0;
    std::vector<Message> under_way;
    std::vector<std::pair<std::int64_t, std::uint32_t>> runs;  // attempts' ends, by holder
    std::int64_t now = 0;
    int losses = 0, deaths = 0, starts = 0;
    Judge judge;
};

class Explorer {
public:
    explicit Explorer(const SmallWorld& small) : small_(small), terms_(small_terms()) {
        ground_.budgets = {{"rate", false, {}}, {"pool", true, {}}};
        ground_.term_us = terms_.lease_term.count();
        ground_.longest_us = terms_.max_attempt_duration.count();
        // The holders' clocks as slow as they may be, the authority's as fast.
        const auto bound = static_cast<std::int64_t>(terms_.max_clock_drift * 1e9);
        clock_ = {50'000'000, -bound};
        authority_clock_ = {9'000'000, bound};
    }

    Orders go() {
        State first(ground_);
        first.losses = small_.losses;
        first.deaths = small_.deaths;
        first.starts = small_.starts;
        for (std::uint32_t b = 0; b < terms_.budgets.size(); ++b) {
            const budget::Amount whole = terms_.budgets[b].whole;
            first.judge.put({0, What::whole, 0, b, {whole.rate, whole.size}, 0, ""});
        }
        for (std::uint32_t h = 0; h < holders; ++h) {
            first.ones[h].holder.emplace(budget::Holder::Options{terms_, "n" + std::to_string(h), "i", h + 1},
                                         local());
            first.ones[h].print = h + 1;
            ask(first, h);
        }
        budget::Authority::RestoredState start;
        start.complete = true;
        first.authority.emplace(terms_, start, Time(authority_clock_.at(0)));
        orders_.all = true;
        visit(first);
        return orders_;
    }

private:
    Time local(std::int64_t now = 0) const { return Time(clock_.at(now)); }

    std::uint64_t print_of(const State& s) const {
        std::uint64_t print = mixed(static_cast<std::uint64_t>(s.now), s.authority_print);
        for (const One& one : s.ones) print = mixed(mixed(print, one.print), one.holder ? 1U : 0U);
        std::vector<std::uint64_t> messages;
        for (const Message& m : s.under_way) messages.push_back(m.print);
        std::sort(messages.begin(), messages.end());
        for (const std::uint64_t each : messages) print = mixed(print, each);
        return mixed(print, static_cast<std::uint64_t>((s.losses * 16 + s.deaths) * 16 + s.starts));
    }

    void step(const State& from, const std::string& what, const auto& change) {
        if (!orders_.wrong.empty()) return;
        if (orders_.states >= small_.states_most) {
            orders_.all = false;
            return;
        }
        State next(from);
        change(next);
        ++orders_.steps;
        path_.push_back(what);
        if (!next.judge.broken().empty()) {
            orders_.wrong = path_;
            orders_.wrong.push_back(next.judge.broken().front().text);
        } else if (seen_.insert(print_of(next)).second) {
            ++orders_.states;
            visit(next);
        } else {
            ++orders_.met_again;
        }
        path_.pop_back();
    }

    void visit(const State& s) {
        for (std::size_t m = 0; m < s.under_way.size(); ++m) {
            const Message& message = s.under_way[m];
            const std::string name =
                (message.request ? "request " + std::to_string(message.request->number) + " of "
                                 : "reply " + std::to_string(message.reply.number) + " to ") +
                std::to_string(message.holder);
            step(s, name + " arrives", [&](State& next) { arrive(next, m); });
            if (s.losses > 0) {
                step(s, name + " is lost", [&](State& next) {
                    --next.losses;
                    next.under_way.erase(next.under_way.begin() + static_cast<std::ptrdiff_t>(m));
                });
            }
        }
        for (std::uint32_t h = 0; h < holders; ++h) {
            const One& one = s.ones[h];
            if (!one.holder) continue;
            if (s.deaths > 0 && h == 0) {
                step(s, std::to_string(h) + " dies", [&](State& next) {
                    --next.deaths;
                    next.ones[h].holder.reset();
                    next.judge.put({next.now, What::gone, h, 0, {}, 0, ""});
                });
            }
        }
        if (s.starts > 0) step(s, "the authority dies and is back", [&](State& next) { start_anew(next); });
        if (s.now < small_.ticks * tick) {
            step(s, "time goes on to " + std::to_string(s.now / 1000 + tick / 1000) + " ms",
                 [&](State& next) { go_on(next); });
        }
    }

    // With its store and its witness.
    void start_anew(State& s) {
        --s.starts;
        budget::Authority::RestoredState start;
        start.complete = true;
        start.epoch = s.authority->epoch() + 1;
        start.longest_term = terms_.lease_term;
        for (const auto& [key, record] : s.written) start.records.push_back(record);
        s.authority.emplace(terms_, std::move(start), Time(authority_clock_.at(s.now)));
        s.authority_print = mixed(s.authority_print, 1000 + static_cast<std::uint64_t>(s.now));
    }

    // As soon as it may, once a tick; when its request arrives is what varies.
    void ask(State& s, std::uint32_t h) {
        One& one = s.ones[h];
        const auto open = std::count_if(s.under_way.begin(), s.under_way.end(),
                                        [&](const Message& m) { return m.holder == h; });
        if (open >= small_.under_way_most || one.holder->next_request() > local(s.now)) return;
        Message message{h, one.holder->request(local(s.now)), {}, 0};
        one.print = mixed(one.print, 100 + static_cast<std::uint64_t>(s.now));
        message.print = one.print;
        s.under_way.push_back(std::move(message));
    }

    void arrive(State& s, std::size_t m) {
        const Message message = s.under_way[m];
        s.under_way.erase(s.under_way.begin() + static_cast<std::ptrdiff_t>(m));
        One& one = s.ones[message.holder];
        const std::uint64_t met = mixed(message.print, static_cast<std::uint64_t>(s.now));
        if (message.request) {
            std::vector<budget::Change> changes;
            Message reply{message.holder, std::nullopt, {}, 0};
            reply.reply =
                s.authority->on_request(*message.request, Time(authority_clock_.at(s.now)), changes);
            for (const budget::Change& change : changes) {
                const std::pair key{change.holder, change.instance};
                if (change.record) {
                    s.written.insert_or_assign(key, *change.record);
                } else {
                    s.written.erase(key);
                }
            }
            s.authority_print = mixed(s.authority_print, met);
            reply.print = mixed(s.authority_print, 7);
            s.under_way.push_back(std::move(reply));
            return;
        }
        if (!one.holder) return;
        one.holder->on_reply(message.reply, local(s.now));
        one.print = mixed(one.print, met);
        for (std::uint32_t b = 0; b < terms_.budgets.size(); ++b) {
            budget::Allowance& allowance = one.holder->allowance(b);
            const budget::Amount share = allowance.leased(local(s.now));
            s.judge.put({s.now,
                         What::lease,
                         message.holder,
                         b,
                         {share.rate, share.size},
                         clock_.when(allowance.leased_until().count()),
                         ""});
        }
        use(s, message.holder);
    }

    // All that there is, at once; each attempt runs for as long as it may, and its end is not known.
    void use(State& s, std::uint32_t h) {
        budget::Holder& holder = *s.ones[h].holder;
        const Time now = local(s.now);
        for (std::uint32_t b = 0; b < terms_.budgets.size(); ++b) {
            while (holder.allowance(b).reserve(now)) {
                if (!holder.allowance(b).commit(now)) continue;
                s.judge.put({s.now, What::begun, h, b, {}, 0, ""});
                if (b == 0) continue;
                s.runs.emplace_back(s.now + terms_.max_attempt_duration.count(), h);
                holder.allowance(b).end_attempt(false, now, now);
            }
            holder.on_refusal(b, now);
        }
    }

    void go_on(State& s) {
        s.now += tick;
        while (!s.runs.empty() && s.runs.front().first <= s.now) {
            s.judge.put({s.runs.front().first, What::ended, s.runs.front().second, 1, {}, 0, ""});
            s.runs.erase(s.runs.begin());
        }
        for (std::uint32_t h = 0; h < holders; ++h) {
            if (!s.ones[h].holder) continue;
            use(s, h);
            ask(s, h);
        }
    }

    const SmallWorld small_;
    const budget::BudgetConfig terms_;
    Ground ground_;
    Clock clock_, authority_clock_;
    std::unordered_set<std::uint64_t> seen_;
    std::vector<std::string> path_;
    Orders orders_;
};

}  // namespace

Orders explore(const SmallWorld& small) { return Explorer(small).go(); }

}  // namespace flaxdoor::lab::budgets
