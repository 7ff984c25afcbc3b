// Budgets over real processes with faults between them: in each case the shares in force and the work at the servers
// hold the whole, and where nothing hinders it the whole is used. The short form has one seed; by hand
// FLAXDOOR_BUDGET_LONG=SEEDS goes through more of them, and its lines "took" are what docs/measurements/budget_fleet.md has.
#include "fleet.h"

#include <cstdlib>
#include <iostream>

#include "../drawn.h"

namespace flaxdoor::test {
namespace {

using Cut = standins::Relay::Cut;
using judge::Us;

std::uint64_t seeds() {
    const char* const told = std::getenv("FLAXDOOR_BUDGET_LONG");
    return told ? std::stoull(told) : 1;
}

constexpr std::size_t calls = 0;  // places in the limits below

// Calls a second, and places of what works for long; each wanted beyond what there is when `wanted` of it come.
std::vector<Fleet::Limit> limits(std::int64_t burst = 40) {
    return {{"calls", judge::Counts::requests, {200'000, burst}, {2'000, 1}, "look", 4, milliseconds(2)},
            {"places", judge::Counts::concurrency, {0, 16}, {0, 1}, "once", 1, milliseconds(250)}};
}
// Calls a second over the whole fleet: twice the rate of the one, and half as much again as the other has places.
constexpr double wanted = 500;

Fleet::Options fleet_of(int balancers, std::uint64_t seed, std::int64_t burst = 40) {
    Fleet::Options options;
    options.balancers = balancers;
    options.seed = seed;
    options.limits = limits(burst);
    return options;
}

// Times as parts of a term, so that they can be compared between machines.
void took(const std::string& what, const Fleet::Options& options, Us time) {
    std::cout << "took " << what << ": "
              << static_cast<double>(time) / 1000 / static_cast<double>(options.term.count()) << " terms\n";
}

// Started, and in full use.
void begin(Fleet& fleet) {
    const Us from = boot_now();
    fleet.start_coordinator();
    fleet.start_all();
    fleet.demand_all(wanted / static_cast<double>(fleet.size()));
    (void)fleet.until_full(calls, from);
}

TEST(BudgetFleet, WithoutFaultsTheWholeIsUsed) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        Fleet fleet(fleet_of(6, seed));
        begin(fleet);
        const double use = fleet.use_over(calls, 6);
        std::cout << "used " << use << '\n';
        EXPECT_GE(use, 0.95);
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, HalfKilledAtOnceAndBack) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const auto options = fleet_of(12, seed);
        Fleet fleet(options);
        begin(fleet);
        std::vector<std::size_t> half;
        for (std::size_t i = 0; i < fleet.size(); i += 2) half.push_back(i);
        fleet.kill(half);
        const Us killed = boot_now();
        fleet.demand_all(wanted / 6);
        // What is set aside for the dead is used by nobody.
        took("after half of the fleet died", options, fleet.until_full(calls, killed, 0.95 * 0.94));
        fleet.start(half);
        const Us back = boot_now();
        fleet.demand_all(wanted / 12);
        took("after it came back", options, fleet.until_full(calls, back));
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, PausedPastItsTermAndWokenWithRequestsQueued) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const auto options = fleet_of(3, seed, 12);
        Fleet fleet(options);
        begin(fleet);
        fleet.demand(0, wanted, milliseconds(4000));  // most of the share is its own
        fleet.run_terms(1.5);
        fleet.pause(0);
        const Us paused = boot_now();
        fleet.demand(1, wanted);
        // Its clients' requests go on to its sockets meanwhile.
        took("after one was paused", options, fleet.until_full(calls, paused, 0.9));
        fleet.wake(0);
        fleet.run_terms(2);
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, ANameThatTwoProcessesUse) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        Fleet fleet(fleet_of(3, seed));
        begin(fleet);
        const std::size_t twin = fleet.add("n0");
        fleet.start({twin});
        fleet.demand(twin, wanted / 3);
        fleet.run_terms(4);
        fleet.kill(twin);
        (void)fleet.until_full(calls, boot_now());
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, CutOff) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        for (const auto& [cut, name] :
             {std::pair(Cut::both, "both ways"), std::pair(Cut::requests, "requests"),
              std::pair(Cut::answers, "answers")}) {
            SCOPED_TRACE(name);
            const auto options = fleet_of(3, seed, 12);
            Fleet fleet(options);
            begin(fleet);
            fleet.demand(0, wanted);
            fleet.run_terms(1.5);
            fleet.relay(0).cut(cut);
            const Us at = boot_now();
            fleet.demand(1, wanted);
            took(std::string("after a cut, ") + name, options, fleet.until_full(calls, at));
            fleet.run_terms(1);  // past its lease's end
            EXPECT_GT(fleet.served_by(0, 2), 0) << "it has its reserve";
            fleet.relay(0).cut(Cut::none);
            const Us healed = boot_now();
            fleet.demand(1, 0);
            took(std::string("after the heal, ") + name, options, fleet.until_full(calls, healed, 0.9));
            fleet.expect_holds();
        }
    }
}

// A lease counts from when it was asked for: one whose answers are late, and which is then cut off, has let go of its
// share by the time that others get it.
TEST(BudgetFleet, CutOffBehindLateAnswers) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        auto options = fleet_of(2, seed, 8);
        options.term = milliseconds(1500);
        Fleet fleet(options);
        begin(fleet);
        fleet.relay(0).chances({.held = 1, .hold = options.term * 4 / 15});  // as late as is still waited for
        fleet.demand(1, 0);
        fleet.demand(0, wanted);
        fleet.run_terms(1.5);
        // The last request has been answered, and the answer is on its way.
        const auto held = fleet.relay(0).counts().held;
        fleet.until([&] { return fleet.relay(0).counts().held > held; });
        fleet.relay(0).cut(Cut::requests);
        fleet.demand(1, wanted);
        fleet.run_terms(2);  // past the lease's end, where both would use it
        (void)fleet.until_full(calls, boot_now());
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, AnswersLostDoubledAndLate) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const auto options = fleet_of(4, seed, 12);
        Fleet fleet(options);
        begin(fleet);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.relay(i).chances({.dropped = 0.2,
                                    .held = 0.2,
                                    .doubled = 0.2,
                                    .repeated = 0.2,
                                    .hold = options.term * 3 / 2,
                                    .delay = options.term / 10});
        }
        // Shares have to move all the time.
        for (std::size_t turn = 0; turn < 8; ++turn) {
            for (std::size_t i = 0; i < fleet.size(); ++i) fleet.demand(i, i == turn % 4 ? wanted : 20);
            fleet.run_terms(1);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) fleet.relay(i).chances({});
        fleet.demand_all(wanted / 4);
        (void)fleet.until_full(calls, boot_now());
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, TheCoordinatorKilledAndBack) {
    struct Case {
        const char* name;
        bool witness, copy, empty;
        bool cut = true;  // who has most of it can't tell whoever comes
    };
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        for (const Case& each :
             {Case{"with its store and witness", true, false, false},
              Case{"with its store, no witness", false, false, false},
              Case{"with a copy of its store", true, true, false},
              Case{"with a copy of its store, no witness", false, true, false},
              Case{"with an empty store", true, false, true},
              Case{"with an empty store, no witness", false, false, true},
              Case{"with its store and witness, nobody cut off", true, false, false, false},
              Case{"with its store, no witness, nobody cut off", false, false, false, false}}) {
            SCOPED_TRACE(each.name);
            auto options = fleet_of(3, seed, 12);
            options.witness = each.witness;
            Fleet fleet(options);
            begin(fleet);
            if (each.copy) {
                fleet.kill_coordinator();  // between two commits
                fleet.copy_store();
                fleet.start_coordinator();
                (void)fleet.until_full(calls, boot_now());
            }
            fleet.demand(0, wanted);
            fleet.demand(1, 0);
            fleet.demand(2, 0);
            fleet.run_terms(2);
            if (each.cut) fleet.relay(0).cut(Cut::both);
            fleet.kill_coordinator();
            if (each.copy) fleet.restore_store();
            if (each.empty) fleet.empty_store();
            fleet.start_coordinator();
            const Us back = boot_now();
            fleet.demand(1, wanted);
            fleet.demand(2, wanted);
            took(std::string("after the coordinator's return ") + each.name, options,
                 fleet.until_full(calls, back));
            fleet.run_terms(1);  // past every lease's end
            fleet.relay(0).cut(Cut::none);
            fleet.run_terms(1);
            fleet.expect_holds();
        }
    }
}

// What it has granted is known to its next start, also when it is killed before the reply can have been read.
TEST(BudgetFleet, TheCoordinatorKilledRightBehindAGrant) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const auto options = fleet_of(2, seed, 12);
        Fleet fleet(options);
        fleet.start_coordinator();
        // Until it knows all, places too; only then does its store tell its next start enough.
        fleet.run_for(options.term + options.longest + milliseconds(200));
        fleet.start({0});
        fleet.demand(0, wanted);
        fleet.until([&] { return fleet.granted(); });
        fleet.relay(0).cut(Cut::requests);
        fleet.kill_coordinator();
        fleet.start_coordinator();
        fleet.start({1});
        fleet.demand(1, wanted);
        (void)fleet.until_full(calls, boot_now(), 0.9);
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, AllDemandAtOne) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const auto options = fleet_of(4, seed);
        Fleet fleet(options);
        begin(fleet);
        for (std::size_t hot = 0; hot < fleet.size(); ++hot) {
            fleet.demand_all(0);
            fleet.demand(hot, wanted);
            // The reserves of the others stay with them.
            took("until one has all", options, fleet.until_full(calls, boot_now(), 0.95 * 0.97));
        }
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, OneJoinsAndLeavesAllTheTime) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        Fleet fleet(fleet_of(4, seed, 12));
        begin(fleet);
        for (int i = 0; i < 4; ++i) {
            fleet.leave(3);
            fleet.start({3});
            fleet.demand(3, wanted / 2);
            fleet.run_for(std::chrono::seconds(1));
        }
        fleet.expect_holds();
    }
}

TEST(BudgetFleet, TheWholeCutToATenth) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        Fleet fleet(fleet_of(4, seed));
        begin(fleet);
        fleet.set_whole(calls, {20'000, 8});
        fleet.run_terms(2);
        const double use = fleet.use_over(calls, 5);
        std::cout << "used of the tenth " << use << '\n';
        EXPECT_GE(use, 0.8);
        fleet.set_whole(calls, {200'000, 40});
        (void)fleet.until_full(calls, boot_now());
        fleet.expect_holds();
    }
}

// All of it by chance, one thing after the other.
TEST(BudgetFleet, FaultsBySeed) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        const auto options = fleet_of(5, seed, 12);
        Fleet fleet(options);
        begin(fleet);
        Drawn drawn(seed);
        std::vector<bool> paused(fleet.size());
        for (int step = 0; step < 24; ++step) {
            const std::size_t i = drawn.below(fleet.size());
            switch (drawn.below(8)) {
                case 0:
                    if (fleet.running(i) && !paused[i]) fleet.kill(i);
                    break;
                case 1:
                    if (!fleet.running(i)) fleet.start({i});
                    if (!paused[i]) fleet.demand(i, wanted / 2);
                    break;
                case 2:
                    if (fleet.running(i) && !paused[i]) {
                        fleet.pause(i);
                        paused[i] = true;
                    }
                    break;
                case 3:
                    if (paused[i]) fleet.wake(i);
                    paused[i] = false;
                    break;
                case 4:
                    fleet.relay(i).cut(std::array{Cut::both, Cut::requests, Cut::answers}[drawn.below(3)]);
                    break;
                case 5: fleet.relay(i).cut(Cut::none); break;
                case 6:
                    fleet.kill_coordinator();
                    if (drawn.once_in(3)) fleet.empty_store();
                    fleet.start_coordinator();
                    break;
                case 7:
                    fleet.relay(i).chances({.dropped = drawn.chance() / 2,
                                            .held = drawn.chance() / 2,
                                            .doubled = drawn.chance() / 2,
                                            .repeated = drawn.chance() / 2,
                                            .hold = options.term * static_cast<int>(drawn.below(3)) / 2,
                                            .delay = options.term / 10});
                    break;
            }
            fleet.run_terms(drawn.chance());
        }
        std::vector<std::size_t> away;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (paused[i]) fleet.wake(i);
            if (!fleet.running(i)) away.push_back(i);
            fleet.relay(i).cut(Cut::none);
            fleet.relay(i).chances({});
        }
        fleet.start(away);
        fleet.demand_all(wanted / 5);
        const Us healed = boot_now();
        took("after everything by chance", options, fleet.until_full(calls, healed));
        fleet.expect_holds();
    }
}

}  // namespace
}  // namespace flaxdoor::test
