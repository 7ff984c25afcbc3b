#include "budgets/figures.h"

#include <algorithm>
#include <map>
#include <set>

#include "budget/authority.h"
#include "budgets/draw.h"

namespace flaxdoor::lab::budgets {

namespace {

using Kind_ = Trouble::Kind;
constexpr std::int64_t second = 1'000'000;
constexpr std::int64_t bin = second / 20;

// How much of each whole was in use in each bin: permits by the rate, places by the time that they were taken.
class Meter {
public:
    explicit Meter(const Setup& setup)
        : setup_(setup),
          bins_(setup.terms.budgets.size(),
                std::vector<double>(static_cast<std::size_t>(setup.lasts / bin) + 1, 0)),
          running_(bins_.size(), 0),
          since_(bins_.size(), 0) {}

    void put(const Record& r) {
        if (r.what != What::begun && r.what != What::ended) return;
        if (!places(r.budget)) {
            bins_[r.budget][static_cast<std::size_t>(r.at / bin)] += 1;
            return;
        }
        fill(r.budget, r.at);
        running_[r.budget] += r.what == What::begun ? 1 : -1;
    }

    // A part of the whole, over the time from `from` to `to`.
    double share(std::size_t budget, std::int64_t from, std::int64_t to) {
        if (places(budget)) fill(budget, setup_.lasts);
        double all = 0;
        for (std::int64_t at = from / bin; at < to / bin; ++at)
            all += bins_[budget][static_cast<std::size_t>(at)];
        const budget::Amount whole = setup_.terms.budgets[budget].whole;
        const double span = static_cast<double>(to / bin - from / bin) * bin;
        return places(budget) ? all / (static_cast<double>(whole.size) * span)
                              : all / (static_cast<double>(whole.rate) / 1e9 * span);
    }

private:
    bool places(std::size_t budget) const {
        return setup_.terms.budgets[budget].counts == budget::Counts::concurrency;
    }
    void fill(std::size_t budget, std::int64_t to) {
        std::int64_t& from = since_[budget];
        while (from < to) {
            const std::int64_t edge = std::min(to, (from / bin + 1) * bin);
            bins_[budget][static_cast<std::size_t>(from / bin)] +=
                static_cast<double>(running_[budget] * (edge - from));
            from = edge;
        }
    }

    const Setup& setup_;
    std::vector<std::vector<double>> bins_;
    std::vector<std::int64_t> running_, since_;
};

std::vector<Figure> spreads(const std::string& name, const std::string& unit, std::uint64_t seeds,
                            const std::function<std::vector<double>(std::uint64_t)>& of) {
    std::vector<std::vector<double>> by_budget;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<double> one = of(seed);
        by_budget.resize(one.size());
        for (std::size_t i = 0; i < one.size(); ++i) by_budget[i].push_back(one[i]);
    }
    static constexpr const char* names[] = {", rate", ", places"};
    std::vector<Figure> figures;
    for (std::size_t i = 0; i < by_budget.size(); ++i) {
        const std::string which = by_budget.size() > 1 ? names[i] : "";
        figures.push_back({name + which, unit, spread_of(by_budget[i])});
    }
    return figures;
}

void append(std::vector<Figure>& to, std::vector<Figure> more) {
    to.insert(to.end(), more.begin(), more.end());
}

}  // namespace

Spread spread_of(std::vector<double> values) {
    if (values.empty()) return {};
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

Setup typical(std::uint32_t names, std::uint64_t seed) {
    Setup setup;
    setup.seed = seed;
    setup.names = names;
    setup.terms.expected_balancers = static_cast<int>(names);
    setup.terms.lease_term = Micros(3 * second);
    setup.terms.max_attempt_duration = Micros(2 * second);
    setup.terms.budgets = {{"rate", budget::Counts::requests, {}, {}, {}, {600'000, 120}, {}},
                           {"pool", budget::Counts::concurrency, {}, {}, {}, {0, 60}, {}}};
    setup.lasts = 30 * second;
    setup.demand = 2;
    setup.places_demand = 10;  // someone always waits: what is measured is the division, not a loss system
    setup.unheard = 0;
    setup.authority_clocks = {{100 * second, 0}};
    return setup;
}

std::vector<double> in_use(const Setup& setup, std::int64_t from, std::int64_t to) {
    Meter meter(setup);
    play(setup, [&](const Record& r) { meter.put(r); });
    std::vector<double> shares;
    for (std::size_t i = 0; i < setup.terms.budgets.size(); ++i) shares.push_back(meter.share(i, from, to));
    return shares;
}

std::vector<double> until_full(const Setup& setup, std::int64_t from) {
    Meter meter(setup);
    play(setup, [&](const Record& r) { meter.put(r); });
    std::vector<double> found(setup.terms.budgets.size(), -1);
    for (std::size_t i = 0; i < found.size(); ++i) {
        for (std::int64_t at = from; at + second / 2 <= setup.lasts; at += bin) {
            if (meter.share(i, at, at + second / 2) < 0.95) continue;
            found[i] = static_cast<double>(at - from) / 1e6;
            break;
        }
    }
    return found;
}

double until_each_had_one(std::uint32_t names, std::uint64_t seed) {
    Setup setup = typical(names, seed);
    setup.terms.budgets.erase(setup.terms.budgets.begin());
    setup.terms.budgets[0].whole.size = 7;
    setup.lasts = 120 * second;
    setup.demand = 4;
    std::set<std::uint32_t> had;
    std::int64_t last = -1;
    play(setup, [&](const Record& r) {
        if (r.what == What::begun && had.insert(r.process).second && had.size() == names) last = r.at;
    });
    return last < 0 ? -1 : static_cast<double>(last) / 1e6;
}

std::vector<Figure> use_figures(std::uint64_t seeds) {
    std::vector<Figure> all;
    for (const std::uint32_t names : {12U, 30U}) {
        for (const Kind_ kind : {Kind_::demand_even, Kind_::demand_skewed, Kind_::demand_to_one}) {
            append(all, spreads(std::to_string(names) + " balancers, " + text_of(kind), "share", seeds,
                                [&](std::uint64_t seed) {
                                    Setup setup = typical(names, seed);
                                    setup.troubles = {{second, kind, 0, 0, Trouble::Store::own}};
                                    return in_use(setup, 12 * second, 30 * second);
                                }));
        }
    }
    // What saves up less than chance brings loses what it can't save.
    append(all, spreads("30 balancers, demand is skewed, a burst of a second's rate,", "share", seeds,
                        [](std::uint64_t seed) {
                            Setup setup = typical(30, seed);
                            setup.terms.budgets[0].whole.size = 600;
                            setup.troubles = {{second, Kind_::demand_skewed, 0, 0, Trouble::Store::own}};
                            return in_use(setup, 12 * second, 30 * second);
                        }));
    append(all, spreads("7 places among 30: each had one after", "s", seeds, [](std::uint64_t seed) {
               return std::vector<double>{until_each_had_one(30, seed)};
           }));
    return all;
}

std::vector<Figure> recovery_figures(std::uint64_t seeds) {
    constexpr std::uint32_t names = 12;
    constexpr std::int64_t when = 10 * second;
    const auto all_of = [](Setup& setup, Kind_ kind, std::int64_t lasts) {
        for (std::uint32_t name = 0; name < setup.names; ++name)
            setup.troubles.push_back({when, kind, name, lasts, Trouble::Store::own});
    };
    struct Row {
        const char* name;
        std::function<std::int64_t(Setup&)> trouble;  // when what it is measured from is over
    };
    const auto authority = [](Trouble::Store store) {
        return [store](Setup& setup) {
            setup.troubles.push_back({when, Kind_::authority_dies, 0, 8 * second, store});
            return when + 8 * second;
        };
    };
    const Row rows[] = {
        {"half of the fleet dies",
         [](Setup& setup) {
             setup.demand = 4;
             for (std::uint32_t name = 0; name < names / 2; ++name)
                 setup.troubles.push_back({when, Kind_::kill, name, 0, Trouble::Store::own});
             return when;
         }},
        {"demand goes from one to another",
         [](Setup& setup) {
             setup.troubles.push_back({second, Kind_::demand_to_one, 0, 0, Trouble::Store::own});
             setup.troubles.push_back({when, Kind_::demand_to_one, 1, 0, Trouble::Store::own});
             return when;
         }},
        {"all are cut off for 8 s, then heal",
         [&](Setup& setup) {
             all_of(setup, Kind_::cut_to, 8 * second);
             return when + 8 * second;
         }},
        {"the authority is back after 8 s, store and witness", authority(Trouble::Store::own)},
        {"the authority is back after 8 s, no witness", authority(Trouble::Store::own_without_witness)},
        {"the authority is back after 8 s, an older store", authority(Trouble::Store::older)},
        {"the authority is back after 8 s, an empty store", authority(Trouble::Store::empty)},
        {"all balancers die, back after 1 s",
         [&](Setup& setup) {
             all_of(setup, Kind_::kill, second);
             return when + second;
         }},
    };
    std::vector<Figure> all;
    for (const Row& row : rows) {
        append(all, spreads(std::string(row.name) + ": full use after", "s", seeds, [&](std::uint64_t seed) {
                   Setup setup = typical(names, seed);
                   setup.lasts = 40 * second;
                   const std::int64_t from = row.trouble(setup);
                   return until_full(setup, from);
               }));
    }
    return all;
}

std::vector<Figure> cost_figures(const std::function<double()>& cpu_seconds, const Wire& wire) {
    constexpr std::uint32_t names = 300;
    constexpr std::size_t budgets = 20;
    constexpr std::int64_t lasts = 4;
    std::vector<Figure> all;
    const auto one = [&](std::string name, std::string unit, double value) {
        all.push_back({std::move(name), std::move(unit), {value, value, value}});
    };
    for (const double demand : {0.8, 1.5}) {
        Setup setup = typical(names, 1);
        setup.lasts = lasts * second;
        setup.demand = demand;
        setup.terms.budgets.clear();
        for (std::size_t i = 0; i < budgets; ++i) {
            const bool places = i % 4 == 3;
            budget::Budget b;
            b.name = "budget-" + std::to_string(i);
            b.counts = places ? budget::Counts::concurrency : budget::Counts::requests;
            b.whole = places ? budget::Amount{0, 600} : budget::Amount{300'000, 600};
            setup.terms.budgets.push_back(std::move(b));
        }
        const double before = cpu_seconds();
        const Counts counts = play(setup, [](const Record&) {});
        const double took = cpu_seconds() - before;
        const std::string which = "demand " + std::to_string(demand).substr(0, 3) + " of the whole: ";
        one(which + "requests", "a second", static_cast<double>(counts.requests) / lasts);
        one(which + "whole world, CPU", "s", took);
    }

    // The authority alone: all have leases already and ask in turn.
    budget::BudgetConfig terms;
    terms.expected_balancers = names;
    std::vector<budget::BudgetDemand> needs;
    for (std::size_t i = 0; i < budgets; ++i) {
        const std::string name = "budget-" + std::to_string(i);
        terms.budgets.push_back({name, budget::Counts::requests, {}, {}, {}, {3'000'000, 3000}, {}});
        needs.push_back({name, budget::Counts::requests, {9'000, 9}, {8'000, 8}, {}, 0});
    }
    budget::Authority::RestoredState start;
    start.epoch = 1'700'000'000'000'000;
    start.complete = true;
    budget::Authority authority(terms, start, Time(second));
    std::vector<budget::FencingToken> taken(names);
    std::vector<double> calls;
    std::size_t request_bytes = 0, reply_bytes = 0;
    for (std::uint64_t round = 1; round <= 4; ++round) {
        const double before = cpu_seconds();
        for (std::uint32_t n = 0; n < names; ++n) {
            const Time now(second + static_cast<std::int64_t>(round * 1'000'000 + n * 3'000));
            const budget::LeaseRequest request{
                "balancer-" + std::to_string(n), "i", round, taken[n], taken[n].epoch, now, false, needs};
            std::vector<budget::Change> changes;
            const budget::LeaseReply reply = authority.on_request(request, now, changes);
            taken[n] = {reply.epoch, reply.seq};
            request_bytes = std::max(request_bytes, wire.request(request));
            reply_bytes = std::max(reply_bytes, wire.reply(reply));
        }
        if (round > 1) calls.push_back((cpu_seconds() - before) / names * 1e6);
    }
    all.push_back({"Authority::on_request, CPU", "us", spread_of(calls)});
    one("request's JSON", "bytes", static_cast<double>(request_bytes));
    one("reply's JSON", "bytes", static_cast<double>(reply_bytes));
    return all;
}

std::vector<Figure> broken_figures(std::uint64_t seeds) {
    std::vector<Figure> all;
    for (const Kind& kind : kinds()) {
        if (kind.holds) continue;
        std::vector<double> terms, most, seen;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const Setup setup = draw(kind.name, seed);
            const Played played = judged(setup);
            terms.push_back(static_cast<double>(played.over_us) /
                            static_cast<double>(setup.terms.lease_term.count()));
            most.push_back(static_cast<double>(played.over_most) / 1000);
            seen.push_back(static_cast<double>(kind.name == "drift" ? played.counts.clock_off
                                                                    : played.counts.stepped_down));
        }
        const std::string name(kind.name);
        all.push_back(
            {name + ": the sum is over the whole for (all budgets together)", "terms", spread_of(terms)});
        all.push_back({name + ": by at most", "of the whole", spread_of(most)});
        all.push_back({name + (name == "drift" ? ": clock_off was told" : ": stepped_down was told"), "times",
                       spread_of(seen)});
    }
    return all;
}

}  // namespace flaxdoor::lab::budgets
