// Matching a request against tables of 10, 1,000 and 20,000 routes, on one host and on many; building a
// table, and freeing it.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <chrono>
#include <cstdio>

#include "routes/table.h"

namespace {

using namespace flaxdoor::routes;

TableSpec spec_of(int routes, bool one_host) {
    TableSpec spec;
    Listener& listener = spec.listeners.emplace_back();
    listener.name = "l";
    for (int i = 0; i < routes; ++i) {
        auto rule = std::make_shared<Rule>();
        const std::string n = std::to_string(i);
        Match match;
        match.path.value = "/team" + std::to_string(i % 100) + "/service" + n;
        if (i % 10 == 0) match.headers.push_back({false, "X-Canary", "yes"});
        rule->matches.push_back(match);
        rule->backends.emplace_back().pool = "ns/service" + n + ":80";
        Route route;
        route.name = "ns/route" + n;
        route.created = i;
        route.hosts.push_back(one_host ? "book.donors.example" : "h" + n + ".donors.example");
        route.rules.push_back(std::move(rule));
        listener.routes.push_back(std::move(route));
    }
    return spec;
}

std::shared_ptr<const Table> table_of(int routes, bool one_host) {
    return std::get<std::shared_ptr<const Table>>(Table::build(spec_of(routes, one_host)));
}

void match(benchmark::State& state) {
    const int routes = static_cast<int>(state.range(0));
    const bool one_host = state.range(1) == 1;
    const auto table = table_of(routes, one_host);
    flaxdoor::http::Fields fields;
    for (const char* name : {"Host", "User-Agent", "Accept", "X-Request-Id", "Cookie", "Accept-Encoding"})
        fields.add(name, "some value that is as long as they are");
    std::vector<std::pair<std::string, std::string>> asked;
    for (int i = 0; i < 512; ++i) {
        int n = static_cast<int>(static_cast<long>(i) * 7919 % routes);
        if (n % 10 == 0) n = (n + 1) % routes;  // those want a header
        asked.emplace_back(
            one_host ? "book.donors.example" : "h" + std::to_string(n) + ".donors.example",
            "/team" + std::to_string(n % 100) + "/service" + std::to_string(n) + "/slots/2026");
    }
    std::size_t at = 0, missed = 0;
    for (auto _ : state) {
        const auto& [host, path] = asked[++at % asked.size()];
        const Hit hit = table->match({"GET", host, path, "day=2", &fields});
        missed += hit.rule ? 0 : 1;
        benchmark::DoNotOptimize(hit);
    }
    if (missed > 0 && routes > 10) state.SkipWithError("a request without a route");
}
BENCHMARK(match)
    ->ArgNames({"routes", "one_host"})
    ->Args({10, 1})
    ->Args({1000, 1})
    ->Args({20000, 1})
    ->Args({10, 0})
    ->Args({1000, 0})
    ->Args({20000, 0});

// Many expressions on one host: tried together.
void match_regex(benchmark::State& state) {
    TableSpec spec;
    Listener& listener = spec.listeners.emplace_back();
    for (int i = 0; i < state.range(0); ++i) {
        auto rule = std::make_shared<Rule>();
        Match each;
        each.path = {PathKind::regex, "/s" + std::to_string(i) + "/[0-9]+(/.*)?"};
        rule->matches.push_back(each);
        Route route;
        route.name = "r" + std::to_string(i);
        route.rules.push_back(std::move(rule));
        listener.routes.push_back(std::move(route));
    }
    const auto table = std::get<std::shared_ptr<const Table>>(Table::build(std::move(spec)));
    const flaxdoor::http::Fields fields;
    const std::string path = "/s" + std::to_string(state.range(0) / 2) + "/123/x";
    for (auto _ : state) benchmark::DoNotOptimize(table->match({"GET", "h", path, "", &fields}));
}
BENCHMARK(match_regex)->Arg(10)->Arg(100)->Arg(1000);

void build(benchmark::State& state) {
    const auto spec = spec_of(static_cast<int>(state.range(0)), false);
    for (auto _ : state) {
        auto copy = spec;
        auto made = Table::build(std::move(copy));
        state.PauseTiming();
        made = std::string();
        state.ResumeTiming();
    }
}
BENCHMARK(build)->Arg(1000)->Arg(20000)->Unit(benchmark::kMillisecond);

void release(benchmark::State& state) {
    for (auto _ : state) {
        state.PauseTiming();
        auto table = table_of(static_cast<int>(state.range(0)), false);
        state.ResumeTiming();
        table.reset();
    }
}
BENCHMARK(release)->Arg(20000)->Unit(benchmark::kMillisecond);

}  // namespace

int main(int count, char** words) {
    const auto before = ::mallinfo2().uordblks;
    {
        const auto table = table_of(20000, false);
        std::printf("memory of a table of 20,000 routes: %.1f MiB\n",
                    static_cast<double>(::mallinfo2().uordblks - before) / (1 << 20));
    }
    benchmark::Initialize(&count, words);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
