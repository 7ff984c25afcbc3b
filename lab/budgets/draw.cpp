#include "budgets/draw.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include "random/stream.h"

namespace flaxdoor::lab::budgets {

namespace {

using Kind_ = Trouble::Kind;

constexpr std::array<Kind, 11> all_kinds{{
    {"mixed", "all that the design holds against, at once"},
    {"calm", "nothing goes wrong but the clocks, within their bound"},
    {"network", "messages lost, doubled, late, in another order; one-way cuts"},
    {"processes", "kills, pauses, leaves, returns under a name"},
    {"authority", "it dies, also at a write, and comes back with its store, an empty or an older one"},
    {"demand", "it moves: all to one, told falsely high, joins and leaves"},
    {"cut", "every whole is cut to a tenth while in force"},
    {"another", "a second authority takes the address, the first goes on"},
    {"second", "two processes with one name: one reserve beyond the whole is allowed for"},
    {"drift", "a clock that is off by more than the bound", false},
    {"split", "two authorities at once, each with half of the names", false},
}};

class Drawer {
public:
    Drawer(std::string_view kind, std::uint64_t seed) : kind_(kind), draws_(seed, Whose::trouble, 1) {
        setup_.seed = seed;
    }

    Setup draw() {
        const bool mixed = kind_ == "mixed";
        cut_ = kind_ == "cut" || (mixed && one_in(3));
        ground();
        clocks();
        if (mixed || kind_ == "network" || kind_ == "another") network();
        if (mixed || kind_ == "processes") processes(mixed ? 4 : 8);
        if (mixed || kind_ == "authority") authority(mixed ? 2 : 4);
        if (mixed || kind_ == "demand") demand(mixed ? 3 : 6);
        if (cut_) add(Kind_::whole_cut, 0);
        if ((mixed && one_in(4)) || kind_ == "another") add(Kind_::another, 0);
        if ((mixed && one_in(4)) || kind_ == "second") {
            setup_.beyond_reserve = true;
            add(Kind_::second, 4 * term_);
        }
        if (kind_ == "split") add(Kind_::split, 4 * term_);
        std::stable_sort(setup_.troubles.begin(), setup_.troubles.end(),
                         [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
        return std::move(setup_);
    }

private:
    std::int64_t between(std::int64_t least, std::int64_t most) {
        return least + static_cast<std::int64_t>(draws_.below(static_cast<std::uint64_t>(most - least) + 1));
    }
    bool one_in(std::uint64_t n) { return draws_.below(n) == 0; }
    std::uint32_t name() { return static_cast<std::uint32_t>(draws_.below(setup_.names)); }
    Trouble& add(Kind_ kind, std::int64_t lasts_most) {
        setup_.troubles.push_back({between(2 * term_, setup_.lasts - term_), kind, name(),
                                   between(1, std::max<std::int64_t>(lasts_most, 1)), Trouble::Store::own});
        return setup_.troubles.back();
    }

    void ground() {
        static constexpr std::array<std::int64_t, 3> terms{400'000, 1'000'000, 3'000'000};
        static constexpr std::array<double, 3> drifts{0.001, 0.01, 0.05};
        term_ = terms[draws_.below(terms.size())];
        setup_.terms.lease_term = Micros(term_);
        setup_.terms.max_clock_drift = drifts[draws_.below(drifts.size())];
        setup_.terms.max_attempt_duration = Micros(between(term_ / 2, 4 * term_));
        setup_.names = static_cast<std::uint32_t>(between(2, 10));
        setup_.terms.expected_balancers = static_cast<int>(setup_.names);
        setup_.lasts = 14 * term_;
        const std::int64_t names = setup_.names;
        // Permits a term, whatever the term.
        const auto rate = [&](std::int64_t least, std::int64_t most) {
            return between(least, most) * 1'000'000'000 / term_;
        };
        std::vector<budget::Budget> budgets(3);
        budgets[0].name = "bookings";
        budgets[0].counts = budget::Counts::requests;
        budgets[0].whole = {rate(20, 400), between(1, 100)};
        budgets[1].name = "retries";
        budgets[1].counts = budget::Counts::retries;
        budgets[1].whole = {rate(1, 40), between(1, 2 * names)};
        budgets[2].name = "pool";
        budgets[2].counts = budget::Counts::concurrency;
        budgets[2].whole = {0, between(1, 40)};
        for (budget::Budget& b : budgets) {
            if (cut_ || one_in(2)) continue;  // a tenth of the whole would be less than the reserves
            b.reserve = {b.whole.rate / (2 * names), b.whole.size / (2 * names)};
            if (b.reserve.size == 0) b.reserve.rate = 0;
        }
        setup_.terms.budgets = std::move(budgets);
        setup_.demand = 0.5 + 2 * draws_.share();
        setup_.delay_most = between(100, term_ / 20);
        if (one_in(3)) setup_.aside = 0.05;
        setup_.unheard = draws_.share() * 0.6;
    }

    void clocks() {
        const auto bound = static_cast<std::int64_t>(setup_.terms.max_clock_drift * 1e9);
        const std::uint64_t all_alike = draws_.below(6);  // 0: fast, 1: slow, by the whole bound
        const auto one = [&] {
            if (all_alike < 2) {
                return Clock{between(10'000'000, 1'000'000'000'000), all_alike == 0 ? bound : -bound};
            }
            const std::int64_t ppb = one_in(2) ? (one_in(2) ? bound : -bound) : between(-bound, bound);
            return Clock{between(10'000'000, 1'000'000'000'000), ppb};
        };
        for (std::uint32_t i = 0; i < setup_.names; ++i) setup_.clocks.push_back(one());
        for (int i = 0; i < 2; ++i) setup_.authority_clocks.push_back(one());
        if (kind_ == "drift") {
            const double off = std::max(0.1, 2 * setup_.terms.max_clock_drift) * (1 + 4 * draws_.share());
            setup_.clocks[0].ppb = -static_cast<std::int64_t>(1e9 * std::min(off, 0.6));
        }
    }

    void network() {
        setup_.lost = draws_.share() * 0.3;
        setup_.doubled = draws_.share() * 0.3;
        setup_.late = draws_.share() * 0.2;
        for (std::int64_t n = between(0, 3); n > 0; --n)
            add(one_in(2) ? Kind_::cut_to : Kind_::cut_from, 4 * term_);
    }

    void processes(std::int64_t most) {
        for (std::int64_t n = between(1, most); n > 0; --n) {
            switch (draws_.below(3)) {
                case 0: add(Kind_::kill, one_in(4) ? 6 * term_ : term_ / 4); break;
                case 1: add(Kind_::pause, 3 * term_); break;
                default: add(Kind_::leave, 3 * term_); break;
            }
        }
        if (setup_.aside == 0 && one_in(2)) setup_.aside = 0.1;
    }

    void authority(std::int64_t most) {
        static constexpr std::array stores{Trouble::Store::own, Trouble::Store::own_without_witness,
                                           Trouble::Store::empty, Trouble::Store::older,
                                           Trouble::Store::rebooted};
        for (std::int64_t n = between(1, most); n > 0; --n) {
            switch (draws_.below(4)) {
                case 0: add(Kind_::writes_fail, term_); continue;
                case 1: add(Kind_::dies_ahead, one_in(2) ? term_ / 20 : 2 * term_); break;
                case 2: add(Kind_::dies_after, one_in(2) ? term_ / 20 : 2 * term_); break;
                default: add(Kind_::authority_dies, one_in(2) ? term_ / 20 : 2 * term_); break;
            }
            setup_.troubles.back().store =
                one_in(2) ? Trouble::Store::own : stores[draws_.below(stores.size())];
        }
    }

    void demand(std::int64_t most) {
        for (std::int64_t n = between(1, most); n > 0; --n) {
            switch (draws_.below(5)) {
                case 0: add(Kind_::demand_to_one, 0); break;
                case 1: add(Kind_::demand_even, 0); break;
                case 2: add(Kind_::demand_none, 0); break;
                case 3: add(Kind_::lie, 3 * term_); break;
                default:
                    for (std::int64_t at = 3 * term_; at < setup_.lasts - term_; at += term_)
                        setup_.troubles.push_back({at, Kind_::leave, name(), term_ / 2, Trouble::Store::own});
            }
        }
    }

    const std::string_view kind_;
    Stream draws_;
    Setup setup_;
    std::int64_t term_ = 0;
    bool cut_ = false;
};

}  // namespace

std::span<const Kind> kinds() { return all_kinds; }

Setup draw(std::string_view kind, std::uint64_t seed) {
    std::string names;
    for (const Kind& each : all_kinds) {
        if (each.name == kind) return Drawer(kind, seed).draw();
        names += (names.empty() ? "" : ", ") + std::string(each.name);
    }
    throw std::invalid_argument("no world is called " + std::string(kind) + "; there are " + names);
}

Played judged(const Setup& setup) {
    Judge judge(ground_of(setup));
    Played played;
    played.counts = play(setup, [&](const Record& record) { judge.put(record); });
    judge.end(setup.lasts);
    played.broken = judge.broken();
    played.over_us = judge.over_us();
    played.over_most = judge.over_most();
    return played;
}

}  // namespace flaxdoor::lab::budgets
