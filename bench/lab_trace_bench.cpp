// The lab's trace: records a second digested, written, read and judged; bytes a record.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <vector>

#include "judge/judge.h"
#include "random/stream.h"
#include "trace/file.h"

namespace {

using namespace flaxdoor::lab;

Terms terms() {
    Terms terms;
    terms.classes = {{"safe"},
                     {"keyed", Terms::Effect::keyed, false, 2000000, 0, 250000},
                     {"zoned", Terms::Effect::keyed, true, 2000000, 0, 250000},
                     {"unsafe", Terms::Effect::unsafe, false, 0, 0, 250000}};
    terms.server_zones.resize(200);
    terms.answer_slack_us = 20000;
    terms.cold_share = 0.33;
    terms.ramp_us = 8600000;
    terms.fall_multiple = 4;
    terms.fall_span_us = 1000000;
    return terms;
}

// 3,000 calls a second at 300 balancers and 200 servers, one in twenty turned away once, in order of time.
const std::vector<Record>& records() {
    static const std::vector<Record> made = [] {
        constexpr std::uint64_t calls = 100000;
        Stream draw(1, Whose::hunt, 1);
        std::vector<Record> all;
        const auto below = [&](std::uint64_t n) { return static_cast<std::uint32_t>(draw.below(n)); };
        for (std::uint64_t call = 1; call <= calls; ++call) {
            std::uint64_t at = call * 333;
            const auto client = below(5000);
            const auto balancer = below(300);
            std::uint64_t attempt = 1;
            Asked asked;
            asked.class_index = static_cast<std::uint8_t>(below(4));
            asked.tenant = static_cast<std::uint16_t>(below(5));
            asked.key = below(100000);
            all.push_back({at, Event::asked, client, balancer, call, 250000, asked.packed()});
            all.push_back({at += 300 + below(200), Event::taken, balancer, client, call});
            if (draw.chance(0.05)) {
                const auto server = below(200);
                all.push_back({at, Event::sending, balancer, server, call, attempt});
                all.push_back(
                    {at += 300 + below(200), Event::arrived, server, balancer, call, attempt, 5000});
                all.push_back({at, Event::turned_away, server, balancer, call, attempt});
                all.push_back({at += 300 + below(200), Event::heard, balancer, server, call, attempt, 2});
                ++attempt;
            }
            const auto server = below(200);
            all.push_back({at, Event::sending, balancer, server, call, attempt});
            all.push_back({at += 300 + below(200), Event::arrived, server, balancer, call, attempt, 5000});
            all.push_back({at += below(60000), Event::ran, server, balancer, call, attempt, 1});
            all.push_back({at, Event::replied, server, balancer, call, attempt, 0});
            all.push_back({at += 300 + below(200), Event::heard, balancer, server, call, attempt, 0});
            all.push_back({at, Event::final_answer, balancer, client, call, 0});
            all.push_back({at += 300 + below(200), Event::received, client, balancer, call, 0});
        }
        std::stable_sort(all.begin(), all.end(),
                         [](const Record& one, const Record& other) { return one.at < other.at; });
        all.push_back({all.back().at, Event::over});
        return all;
    }();
    return made;
}

std::string file() {
    std::ostringstream out;
    TraceWriter writer(out, terms());
    for (const Record& record : records()) writer.put(record);
    if (!writer.finish()) return {};
    return out.str();
}

void counted(benchmark::State& state) {
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * records().size()));
}

void digested(benchmark::State& state) {
    for (auto _ : state) {
        DigestSink sink;
        for (const Record& record : records()) sink.put(record);
        benchmark::DoNotOptimize(sink.finish());
    }
    counted(state);
}
BENCHMARK(digested)->Unit(benchmark::kMillisecond);

void written(benchmark::State& state) {
    std::size_t bytes = 0;
    for (auto _ : state) bytes = file().size();
    counted(state);
    state.counters["bytes_a_record"] = static_cast<double>(bytes) / static_cast<double>(records().size());
}
BENCHMARK(written)->Unit(benchmark::kMillisecond);

struct Nothing final : Sink {
    void put(const Record& record) override { benchmark::DoNotOptimize(record); }
};

void read(benchmark::State& state) {
    const std::string bytes = file();
    for (auto _ : state) {
        std::istringstream in(bytes);
        Nothing nothing;
        if (read_trace(in, [&](const Terms&) -> Sink& { return nothing; })) state.SkipWithError("damaged");
    }
    counted(state);
}
BENCHMARK(read)->Unit(benchmark::kMillisecond);

void judged(benchmark::State& state) {
    const Terms told = terms();
    std::size_t held = 0;
    for (auto _ : state) {
        Judge judge(told);
        for (const Record& record : records()) {
            judge.put(record);
            if (record.event == Event::final_answer) held = std::max(held, judge.held());
        }
        if (!judge.finish().broken().empty()) state.SkipWithError("a rule is broken");
    }
    counted(state);
    state.counters["entries_held"] = static_cast<double>(held);
}
BENCHMARK(judged)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
