// What the fleet's budgets cost a call: its permits are set aside, used ahead of the first byte, and given back with its end,
// by the machine's own clock. The core's part, a check of a pointer, is in flaxdoor_core_bench.
//
//   flaxdoor_budget_bench --benchmark_counters_tabular=true
//
// `call/N`: a call that falls under N budgets, a quarter of each kind, and has a permit of each. `beside/N`: N budgets of
// other tenants, none of which it falls under. `refused`: one that finds none.
#include <benchmark/benchmark.h>

#include <string>

#include "budget/admission.h"
#include "loop/boot_clock.h"

namespace flaxdoor::bench {

namespace {

Settings settings() {
    Settings s;
    ClassSettings browse;
    browse.name = "browse";
    s.classes = {browse};
    s.tenants = {{"a", 0, 0}, {"b", 0, 0}};
    return s;
}

// All of every budget is leased: more than is used up here.
struct Fleet {
    Fleet(std::int64_t budgets, const char* tenant, budget::Amount whole)
        : holder({terms_of(budgets, tenant, whole), "n1", "1", 1}, clock.now()),
          admission(holder, clock, [] {}) {
        budget::LeaseReply reply;
        reply.number = holder.request(clock.now()).number;
        reply.epoch = reply.seq = 1;
        reply.term = std::chrono::hours(20);
        for (const auto& each : holder.terms().budgets) reply.grants.push_back({each.name, each.whole});
        holder.on_reply(reply, clock.now());
        call.tenant = {core::Tenant::Kind::known, 0};
    }
    static budget::BudgetConfig terms_of(std::int64_t budgets, const char* tenant, budget::Amount whole) {
        budget::BudgetConfig terms;
        for (std::int64_t i = 0; i < budgets; ++i) {
            budget::Budget each;
            each.name = "b" + std::to_string(i);
            each.counts = static_cast<budget::Counts>(i % 4);
            each.tenant = tenant;
            each.whole = {each.counts == budget::Counts::concurrency ? 0 : whole.rate, whole.size};
            terms.budgets.push_back(std::move(each));
        }
        return terms;
    }
    core::AdmissionResult admit() { return admission.admit(call, "api", its, Time{}); }

    loop::BootClock clock;
    budget::Holder holder;
    budget::Admission admission;
    const Settings its = settings();
    core::Call call;
};

// Ten million a second: beyond what a file may say, so that none is refused.
constexpr budget::Amount plenty{10'000'000'000, 1'000'000};

void serve(benchmark::State& state, const char* tenant) {
    Fleet fleet(state.range(0), tenant, plenty);
    std::uint64_t refused = 0;
    // A share begins empty.
    while (fleet.holder.size() > 0 &&
           fleet.holder.allowance(0).time_to_next_permit(fleet.clock.now()) != Micros{0}) {
    }
    for (auto _ : state) {
        core::AdmissionResult admitted = fleet.admit();
        refused += admitted.refused;
        if (!admitted.permits) continue;
        benchmark::DoNotOptimize(admitted.permits->reserve(0, Time{}));
        benchmark::DoNotOptimize(admitted.permits->commit(0, Time{}));
        admitted.permits->release(0, true, Time{});
    }
    state.counters["refused"] = static_cast<double>(refused);
}

void call(benchmark::State& state) { serve(state, ""); }
void beside(benchmark::State& state) { serve(state, "b"); }

void refused(benchmark::State& state) {
    Fleet fleet(1, "", {1, 1});
    for (auto _ : state) benchmark::DoNotOptimize(fleet.admit().refused);
}

BENCHMARK(call)->Arg(0)->Arg(1)->Arg(4)->Arg(20);
BENCHMARK(beside)->Arg(1)->Arg(20);
BENCHMARK(refused);

}  // namespace

}  // namespace flaxdoor::bench

BENCHMARK_MAIN();
