// Tests of the budgets with real processes and faults between them: in each case the shares in force and the
// work at the servers stay within the whole, and without faults the whole is used. By default each test runs
// with one seed. FLAXDOOR_BUDGET_LONG=SEEDS runs more seeds; docs/measurements/budget_fleet.md shows its
// lines "took".
#include "fleet.h"

#include <cstdlib>
#include <iostream>

#include "../random_source.h"

namespace flaxdoor::test {
namespace {

using Cut = standins::Relay::Cut;
using judge::Microseconds;

std::uint64_t seed_count() {
    const char* const count = std::getenv("FLAXDOOR_BUDGET_LONG");
    return count ? std::stoull(count) : 1;
}

constexpr std::size_t calls = 0;  // index in limits()

// A rate of short calls, and a concurrency limit of long ones. A demand of `fleet_demand` exceeds both.
std::vector<Fleet::Limit> limits(std::int64_t burst = 40) {
    return {{"calls", judge::Counts::requests, {200'000, burst}, {2'000, 1}, "look", 4, milliseconds(2)},
            {"places", judge::Counts::concurrency, {0, 16}, {0, 1}, "once", 1, milliseconds(250)}};
}
// Calls a second over the whole fleet: twice the rate of the first limit, and half as much again as the
// concurrency of the second.
constexpr double fleet_demand = 500;

Fleet::Options fleet_of(int balancers, std::uint64_t seed, std::int64_t burst = 40) {
    Fleet::Options options;
    options.balancers = balancers;
    options.seed = seed;
    options.limits = limits(burst);
    return options;
}

// Prints a time in lease terms, so that machines can be compared.
void print_terms(const std::string& what, const Fleet::Options& options, Microseconds time) {
    std::cout << "took " << what << ": "
              << static_cast<double>(time) / 1000 / static_cast<double>(options.term.count()) << " terms\n";
}

// Starts the fleet and waits until the rate limit is in full use.
void start_in_full_use(Fleet& fleet) {
    const Microseconds from = boot_now();
    fleet.start_coordinator();
    fleet.start_all();
    fleet.demand_all(fleet_demand / static_cast<double>(fleet.size()));
    (void)fleet.wait_until_full(calls, from);
}

TEST(BudgetFleet, WholeIsUsedWithoutFaults) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        Fleet fleet(fleet_of(6, seed));
        start_in_full_use(fleet);
        const double use = fleet.usage_over(calls, 6);
        std::cout << "used " << use << '\n';
        EXPECT_GE(use, 0.95);
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, HalfOfTheBalancersKilledAndRestarted) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        const auto options = fleet_of(12, seed);
        Fleet fleet(options);
        start_in_full_use(fleet);
        std::vector<std::size_t> half;
        for (std::size_t i = 0; i < fleet.size(); i += 2) half.push_back(i);
        fleet.kill(half);
        const Microseconds killed = boot_now();
        fleet.demand_all(fleet_demand / 6);
        // The reserves of the killed balancers stay unused.
        print_terms("after half of the fleet died", options,
                    fleet.wait_until_full(calls, killed, 0.95 * 0.94));
        fleet.start(half);
        const Microseconds restarted = boot_now();
        fleet.demand_all(fleet_demand / 12);
        print_terms("after it came back", options, fleet.wait_until_full(calls, restarted));
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, SuspendedBeyondItsTermAndResumedWithQueuedRequests) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        const auto options = fleet_of(3, seed, 12);
        Fleet fleet(options);
        start_in_full_use(fleet);
        fleet.demand(0, fleet_demand, milliseconds(4000));  // it gets most of the whole
        fleet.run_terms(1.5);
        fleet.pause(0);
        const Microseconds paused = boot_now();
        fleet.demand(1, fleet_demand);
        // Its clients continue to send requests to its sockets.
        print_terms("after one was paused", options, fleet.wait_until_full(calls, paused, 0.9));
        fleet.resume(0);
        fleet.run_terms(2);
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, NameUsedByTwoProcesses) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        Fleet fleet(fleet_of(3, seed));
        start_in_full_use(fleet);
        const std::size_t duplicate = fleet.add("n0");
        fleet.start({duplicate});
        fleet.demand(duplicate, fleet_demand / 3);
        fleet.run_terms(4);
        fleet.kill(duplicate);
        (void)fleet.wait_until_full(calls, boot_now());
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, BalancerCutOff) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        for (const auto& [cut, name] :
             {std::pair(Cut::both, "both ways"), std::pair(Cut::requests, "requests"),
              std::pair(Cut::answers, "answers")}) {
            SCOPED_TRACE(name);
            const auto options = fleet_of(3, seed, 12);
            Fleet fleet(options);
            start_in_full_use(fleet);
            fleet.demand(0, fleet_demand);
            fleet.run_terms(1.5);
            fleet.relay(0).cut(cut);
            const Microseconds cut_at = boot_now();
            fleet.demand(1, fleet_demand);
            print_terms(std::string("after a cut, ") + name, options, fleet.wait_until_full(calls, cut_at));
            fleet.run_terms(1);  // past the end of its lease
            EXPECT_GT(fleet.served_by(0, 2), 0) << "it still has its reserve";
            fleet.relay(0).cut(Cut::none);
            const Microseconds healed = boot_now();
            fleet.demand(1, 0);
            print_terms(std::string("after the heal, ") + name, options,
                        fleet.wait_until_full(calls, healed, 0.9));
            fleet.expect_budgets_kept();
        }
    }
}

// A lease counts from its request. A balancer that receives late replies and is then cut off has released its
// share by the time that others get it.
TEST(BudgetFleet, BalancerCutOffAfterLateReplies) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        auto options = fleet_of(2, seed, 8);
        options.term = milliseconds(1500);
        Fleet fleet(options);
        start_in_full_use(fleet);
        fleet.relay(0).chances(
            {.held = 1, .hold = options.term * 4 / 15});  // just within the agent's timeout
        fleet.demand(1, 0);
        fleet.demand(0, fleet_demand);
        fleet.run_terms(1.5);
        // The last request has been answered, and the relay holds the reply.
        const auto held = fleet.relay(0).counts().held;
        fleet.wait_until([&] { return fleet.relay(0).counts().held > held; });
        fleet.relay(0).cut(Cut::requests);
        fleet.demand(1, fleet_demand);
        fleet.run_terms(2);  // past the end of the lease, when both would use the share
        (void)fleet.wait_until_full(calls, boot_now());
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, RepliesLostDuplicatedAndLate) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        const auto options = fleet_of(4, seed, 12);
        Fleet fleet(options);
        start_in_full_use(fleet);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.relay(i).chances({.dropped = 0.2,
                                    .held = 0.2,
                                    .doubled = 0.2,
                                    .repeated = 0.2,
                                    .hold = options.term * 3 / 2,
                                    .delay = options.term / 10});
        }
        // The demand moves, so that shares must move constantly.
        for (std::size_t turn = 0; turn < 8; ++turn) {
            for (std::size_t i = 0; i < fleet.size(); ++i) fleet.demand(i, i == turn % 4 ? fleet_demand : 20);
            fleet.run_terms(1);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) fleet.relay(i).chances({});
        fleet.demand_all(fleet_demand / 4);
        (void)fleet.wait_until_full(calls, boot_now());
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, CoordinatorKilledAndRestarted) {
    struct Case {
        const char* name;
        bool witness, copy, empty;
        bool cut = true;  // the holder of most of the whole can't report to the restarted coordinator
    };
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
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
            start_in_full_use(fleet);
            if (each.copy) {
                fleet.kill_coordinator();  // between two commits
                fleet.copy_store();
                fleet.start_coordinator();
                (void)fleet.wait_until_full(calls, boot_now());
            }
            fleet.demand(0, fleet_demand);
            fleet.demand(1, 0);
            fleet.demand(2, 0);
            fleet.run_terms(2);
            if (each.cut) fleet.relay(0).cut(Cut::both);
            fleet.kill_coordinator();
            if (each.copy) fleet.restore_store();
            if (each.empty) fleet.empty_store();
            fleet.start_coordinator();
            const Microseconds restarted = boot_now();
            fleet.demand(1, fleet_demand);
            fleet.demand(2, fleet_demand);
            print_terms(std::string("after the coordinator's return ") + each.name, options,
                        fleet.wait_until_full(calls, restarted));
            fleet.run_terms(1);  // past the end of every lease
            fleet.relay(0).cut(Cut::none);
            fleet.run_terms(1);
            fleet.expect_budgets_kept();
        }
    }
}

// The next start knows a grant even if the coordinator was killed before the reply could be read.
TEST(BudgetFleet, CoordinatorKilledRightAfterAGrant) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        const auto options = fleet_of(2, seed, 12);
        Fleet fleet(options);
        fleet.start_coordinator();
        // Waits until the coordinator's records are complete, concurrency permits included. Only then is its
        // next start current.
        fleet.run_for(options.term + options.longest + milliseconds(200));
        fleet.start({0});
        fleet.demand(0, fleet_demand);
        fleet.wait_until([&] { return fleet.granted(); });
        fleet.relay(0).cut(Cut::requests);
        fleet.kill_coordinator();
        fleet.start_coordinator();
        fleet.start({1});
        fleet.demand(1, fleet_demand);
        (void)fleet.wait_until_full(calls, boot_now(), 0.9);
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, AllDemandAtOneBalancer) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        const auto options = fleet_of(4, seed);
        Fleet fleet(options);
        start_in_full_use(fleet);
        for (std::size_t hot = 0; hot < fleet.size(); ++hot) {
            fleet.demand_all(0);
            fleet.demand(hot, fleet_demand);
            // The reserves of the other balancers stay unused.
            print_terms("until one has all", options, fleet.wait_until_full(calls, boot_now(), 0.95 * 0.97));
        }
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, OneBalancerLeavesAndRejoinsRepeatedly) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        Fleet fleet(fleet_of(4, seed, 12));
        start_in_full_use(fleet);
        for (int i = 0; i < 4; ++i) {
            fleet.leave(3);
            fleet.start({3});
            fleet.demand(3, fleet_demand / 2);
            fleet.run_for(std::chrono::seconds(1));
        }
        fleet.expect_budgets_kept();
    }
}

TEST(BudgetFleet, WholeReducedToATenth) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        Fleet fleet(fleet_of(4, seed));
        start_in_full_use(fleet);
        fleet.set_whole(calls, {20'000, 8});
        fleet.run_terms(2);
        const double use = fleet.usage_over(calls, 5);
        std::cout << "used of the tenth " << use << '\n';
        EXPECT_GE(use, 0.8);
        fleet.set_whole(calls, {200'000, 40});
        (void)fleet.wait_until_full(calls, boot_now());
        fleet.expect_budgets_kept();
    }
}

// Random faults, one after the other.
TEST(BudgetFleet, FaultsBySeed) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        const auto options = fleet_of(5, seed, 12);
        Fleet fleet(options);
        start_in_full_use(fleet);
        RandomSource random(seed);
        std::vector<bool> paused(fleet.size());
        for (int step = 0; step < 24; ++step) {
            const std::size_t i = random.below(fleet.size());
            switch (random.below(8)) {
                case 0:
                    if (fleet.running(i) && !paused[i]) fleet.kill(i);
                    break;
                case 1:
                    if (!fleet.running(i)) fleet.start({i});
                    if (!paused[i]) fleet.demand(i, fleet_demand / 2);
                    break;
                case 2:
                    if (fleet.running(i) && !paused[i]) {
                        fleet.pause(i);
                        paused[i] = true;
                    }
                    break;
                case 3:
                    if (paused[i]) fleet.resume(i);
                    paused[i] = false;
                    break;
                case 4:
                    fleet.relay(i).cut(std::array{Cut::both, Cut::requests, Cut::answers}[random.below(3)]);
                    break;
                case 5: fleet.relay(i).cut(Cut::none); break;
                case 6:
                    fleet.kill_coordinator();
                    if (random.one_in(3)) fleet.empty_store();
                    fleet.start_coordinator();
                    break;
                case 7:
                    fleet.relay(i).chances({.dropped = random.chance() / 2,
                                            .held = random.chance() / 2,
                                            .doubled = random.chance() / 2,
                                            .repeated = random.chance() / 2,
                                            .hold = options.term * static_cast<int>(random.below(3)) / 2,
                                            .delay = options.term / 10});
                    break;
            }
            fleet.run_terms(random.chance());
        }
        std::vector<std::size_t> stopped;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (paused[i]) fleet.resume(i);
            if (!fleet.running(i)) stopped.push_back(i);
            fleet.relay(i).cut(Cut::none);
            fleet.relay(i).chances({});
        }
        fleet.start(stopped);
        fleet.demand_all(fleet_demand / 5);
        const Microseconds healed = boot_now();
        print_terms("after everything by chance", options, fleet.wait_until_full(calls, healed));
        fleet.expect_budgets_kept();
    }
}

}  // namespace
}  // namespace flaxdoor::test
