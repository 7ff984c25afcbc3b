// What a call and a list cost in the core, under virtual time, and what of that is the decision module's: the
// same events go to a module alone. The difference is the core's own: open calls, guards, queues, names.
//
//   flaxdoor_core_bench [--benchmark_filter=call ...] --benchmark_counters_tabular=true
//
// all_ns is the core with its module, module_ns the module alone, own_ns what the core adds.
//
// A `call`: all upstreams are in one zone, so the module chooses among all of them. A `call_zone`: 48 of them
// are in its zone, the others are listed; the module's part is small then, and the core's shows beside any
// number. A `call_beside`: the
// pool has 48, and another pool of the same core lists so many, which the module of the first never sees.
// Each call is taken, sent, answered, over, while so many are open. It ends 10 ms after its start by the
// virtual clock, whatever the number, so that the module sees the same latency everywhere. That the module
// alone gets the same events is checked: it must send the same calls to the same upstreams.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "allocations.h"
#include "core/core.h"
#include "core/timers.h"
#include "flaxdoor/decide.h"

namespace flaxdoor::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time start = seconds(1'000'000);
constexpr Micros latency = milliseconds(10);
constexpr std::uint64_t seed = 1;
constexpr std::size_t calls_timed = 4000;
constexpr std::size_t in_zone = 48;
constexpr std::size_t lists_timed = 51;
constexpr std::size_t changes_timed = 5000;

struct Fleet {
    std::size_t upstreams = 0;
    bool zoned = false;
    std::size_t beside = 0;  // listed by another pool of the core
    std::size_t zones() const { return zoned ? std::max<std::size_t>(1, upstreams / in_zone) : 1; }
};

Settings settings(int zones = 1) {
    Settings s;
    s.zones = zones;
    ClassSettings browse;
    browse.name = "browse";
    browse.aim = milliseconds(150);
    browse.deadline = seconds(5);
    browse.effect = Effect::safe;
    s.classes = {browse};
    s.may_cancel = true;
    s.parallel_attempts = true;
    s.max_attempts = 5;
    s.drain_grace = seconds(2);
    s.cold_share = 0.33;
    s.ramp_time = milliseconds(8600);
    s.fall_multiple = 4;
    s.fall_span = seconds(1);
    return s;
}

core::Member member(std::size_t number) {
    core::Member m;
    m.entry.id = 1 + number;
    m.name = "s-" + std::to_string(number);
    m.address = "10." + std::to_string(number >> 16) + "." + std::to_string(number >> 8 & 255) + "." +
                std::to_string(number & 255) + ":5000";
    return m;
}

core::MemberList list_of(std::size_t upstreams, std::size_t first = 0) {
    core::MemberList list;
    for (std::size_t i = 0; i < upstreams; ++i) list.members.push_back(member(first + i));
    return list;
}

core::MemberList list_of(const Fleet& fleet) {
    core::MemberList list = list_of(fleet.upstreams);
    for (auto& m : list.members) m.entry.zone = static_cast<int>(m.entry.id % fleet.zones());
    return list;
}

Settings settings_of(const Fleet& fleet) { return settings(static_cast<int>(fleet.zones())); }

std::vector<UpstreamEntry> entries_of(const core::MemberList& list) {
    std::vector<UpstreamEntry> entries;
    for (const auto& m : list.members) {
        entries.push_back(m.entry);
        entries.back().slow_start = std::make_shared<SlowStartBucket>();
    }
    return entries;
}

// The order in which attempts were sent and have not ended. Takes no memory once it is made.
class Sent {
public:
    struct Attempt {
        core::AttemptKey key;
        UpstreamId upstream = 0;
    };
    explicit Sent(std::size_t most) : ring_(most) {}
    void push(Attempt attempt) {
        ring_[(first_ + size_++) % ring_.size()] = attempt;
        print_ = (print_ ^ attempt.key.call * 31 ^ attempt.upstream) * 0x9e3779b97f4a7c15ULL;
    }
    Attempt pop() {
        --size_;
        const Attempt oldest = ring_[first_];
        first_ = (first_ + 1) % ring_.size();
        return oldest;
    }
    std::size_t size() const { return size_; }
    std::uint64_t print() const { return print_; }  // of all that were ever sent

private:
    std::vector<Attempt> ring_;
    std::size_t first_ = 0;
    std::size_t size_ = 0;
    std::uint64_t print_ = 0;
};

// Brings so many calls open, a few more with each step, so that the module learns its limits on the way.
constexpr std::size_t steps_to(std::size_t open) { return 3 * open + 1000; }
constexpr std::size_t open_at(std::size_t step, std::size_t open) {
    return std::min(open, 1 + step * open / (steps_to(open) * 2 / 3));
}
constexpr Micros gap_at(std::size_t open) {
    return std::max(Micros{1}, latency / static_cast<Micros::rep>(open));
}

// ------------------------------------------------------------------------------------------------ the core

class World final : public core::Clock, public core::Alarm, public core::Log {
public:
    Time now() const override { return now_; }
    void set(Time at) override { alarm_ = at; }
    void event(const core::Event&, std::span<const core::Value>) override { ++lines_; }

    void pass(Micros span, core::Core& core) {
        now_ += span;
        while (alarm_ && *alarm_ <= now_) {
            alarm_.reset();
            core.on_alarm();
        }
    }
    std::uint64_t lines() const { return lines_; }

private:
    Time now_ = start;
    std::optional<Time> alarm_;
    std::uint64_t lines_ = 0;
};

class Host final : public core::Downstream, public core::UpstreamConnectionPool {
public:
    explicit Host(std::size_t open, bool at_once = false, const Settings& its = settings())
        : at_once_(at_once), core_(world_, world_, world_), sent_(2 * open + 64) {
        pool_ = core_.add_pool({"bench", its, seed}, *this, nullptr);
    }

    void list(core::MemberList list) { core_.on_list(pool_, std::move(list)); }
    // Another pool, which no call is for.
    void list_beside(core::MemberList list) {
        const auto beside = core_.add_pool({"beside", settings(), seed}, *this, nullptr);
        core_.on_list(beside, std::move(list));
    }

    // One more call; those beyond `open` that were sent first are answered.
    void call(std::string name, std::size_t open, Micros gap) {
        world_.pass(gap, core_);
        core::Call call;
        call.pool = pool_;
        call.call_id = std::move(name);
        call.budget = seconds(5);
        if (core_.accept_call(std::move(call), *this, 0) != core::AcceptResult::accepted) ++not_taken_;
        while (sent_.size() > open) answer(sent_.pop());
    }

    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
    void on_final(std::uint64_t, core::FinalAnswer) override {}
    void set_upstream(UpstreamId, const std::string&, bool) override {}
    void remove_upstream(UpstreamId) override {}
    void send(core::Attempt attempt) override {
        if (at_once_) return answer({attempt.key, attempt.upstream});
        sent_.push({attempt.key, attempt.upstream});
    }
    void cancel(core::AttemptKey) override { ++cancelled_; }
    void expire(core::AttemptKey) override { ++expired_; }
    void close_idle(UpstreamId) override {}

    core::Stats figures() const { return core_.figures(); }
    std::uint64_t print() const { return sent_.print(); }
    // What no run is meant to have; empty: there was nothing of the kind.
    std::string surprises() const {
        const auto failed = core_.figures().failed;
        if (failed + not_taken_ + cancelled_ + expired_ == 0) return {};
        return std::to_string(failed) + " calls failed, " + std::to_string(not_taken_) + " were not taken, " +
               std::to_string(cancelled_) + " attempts cancelled, " + std::to_string(expired_) + " expired";
    }

private:
    void answer(const Sent::Attempt& attempt) {
        core_.on_attempt_sending(attempt.key);
        core::AttemptResult result;
        result.key = attempt.key;
        result.outcome = Outcome::ok;
        result.fully_sent = true;
        result.latency = latency;
        core_.on_attempt_end(std::move(result));
    }

    const bool at_once_;
    World world_;
    core::Core core_;
    core::PoolId pool_ = 0;
    Sent sent_;
    std::uint64_t cancelled_ = 0;
    std::uint64_t expired_ = 0;
    std::uint64_t not_taken_ = 0;
};

// ---------------------------------------------------------------------------------------- the module alone

struct TimerDue {
    std::uint64_t token = 0;
};
using ModuleEvent = std::variant<Request, AttemptEnd, TimerDue>;

// What the module was told in each step, to be told again to another one.
struct Trace {
    struct Told {
        Time at{};
        ModuleEvent event;
    };
    std::vector<Told> told;
    std::vector<std::size_t> ends;  // of each step, in `told`
    std::uint64_t print = 0;
};

// Hosts a module as plainly as can be, and writes down what it told it.
class Scribe final : public Actions {
public:
    Scribe(std::size_t open, const Settings& its) : sent_(2 * open + 64), policy_(its, seed, start, *this) {}

    void list(const std::vector<UpstreamEntry>& entries) { policy_.on_list(now_, ListKind::full, entries); }

    void call(std::size_t open, Micros gap) {
        now_ += gap;
        while (const auto token = timers_.take(now_)) tell(TimerDue{*token});
        Request request;
        request.id = ++last_;
        request.deadline = now_ + seconds(5);
        tell(request);
        while (sent_.size() > open) {
            const auto attempt = sent_.pop();
            AttemptEnd end;
            end.request = attempt.key.call;
            end.attempt = attempt.key.number;
            end.request_answered = true;
            end.latency = latency;
            end.upstream = attempt.upstream;
            tell(end);
        }
        trace_.ends.push_back(trace_.told.size());
    }

    Trace trace() {
        trace_.print = sent_.print();
        return std::move(trace_);
    }

    void submit(RequestId request, UpstreamId upstream, Micros) override {
        sent_.push({{request, attempts_[request]++}, upstream});
    }
    void reject(RequestId, Micros) override {}
    void fail(RequestId) override {}
    void cancel(RequestId, int) override {}
    void probe(UpstreamId) override {}
    void set_timer(Time at, std::uint64_t token) override { timers_.set(at, token); }
    void watch() override {}
    void unwatch() override {}
    void fetch() override {}
    void close_idle(UpstreamId) override {}
    void send_to_peer(std::optional<int>, std::string_view) override {}
    void log(std::string_view) override {}

private:
    void tell(ModuleEvent event);

    Time now_ = start;
    Sent sent_;
    core::Timers<std::uint64_t> timers_;
    std::map<RequestId, int> attempts_;
    RequestId last_ = 0;
    Trace trace_;
    Policy policy_;
};

void give(Policy& policy, const Trace::Told& told) {
    if (const auto* request = std::get_if<Request>(&told.event)) {
        policy.on_request(told.at, *request);
    } else if (const auto* end = std::get_if<AttemptEnd>(&told.event)) {
        policy.on_attempt_end(told.at, *end);
    } else {
        policy.on_timer(told.at, std::get<TimerDue>(told.event).token);
    }
}

void Scribe::tell(ModuleEvent event) {
    trace_.told.push_back({now_, std::move(event)});
    give(policy_, trace_.told.back());
}

class Nobody final : public Actions {
public:
    void submit(RequestId, UpstreamId, Micros) override { ++asked_; }
    void reject(RequestId, Micros) override { ++asked_; }
    void fail(RequestId) override { ++asked_; }
    void cancel(RequestId, int) override { ++asked_; }
    void probe(UpstreamId) override { ++asked_; }
    void set_timer(Time, std::uint64_t) override { ++asked_; }
    void watch() override { ++asked_; }
    void unwatch() override { ++asked_; }
    void fetch() override { ++asked_; }
    void close_idle(UpstreamId) override { ++asked_; }
    void send_to_peer(std::optional<int>, std::string_view) override { ++asked_; }
    void log(std::string_view) override { ++asked_; }

private:
    std::uint64_t asked_ = 0;
};

Trace trace_of(const Fleet& fleet, std::size_t open) {
    Scribe scribe(open, settings_of(fleet));
    scribe.list(entries_of(list_of(fleet)));
    for (std::size_t i = 0; i < steps_to(open); ++i) scribe.call(open_at(i, open), gap_at(open_at(i, open)));
    for (std::size_t i = 0; i < calls_timed; ++i) scribe.call(open, gap_at(open));
    return scribe.trace();
}

// -------------------------------------------------------------------------------------------------- calls

// Longer than what a string holds by itself, as the platform's ids are.
std::string name_of(std::size_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016zx", number);
    return text;
}

// What is timed is timed in pairs, the core with its module and then the module alone, and the middle is
// told: other programs on the same core disturb some pairs, and both of a pair alike.
class Pairs {
public:
    template <typename Core, typename Module>
    void time(benchmark::State& state, Core core, Module module) {
        // Each goes first in turn: the second finds less of the cache as it left it.
        Cost its;
        const bool module_first = all_.size() % 2 == 1;
        if (module_first) its = cost_of(module);
        const Cost all = cost_of(core);
        if (!module_first) its = cost_of(module);
        state.SetIterationTime(all.ns * 1e-9);
        all_.push_back(all.ns);
        module_.push_back(its.ns);
        own_.push_back(all.ns - its.ns);
        allocations_ += all.allocations;
        module_allocations_ += its.allocations;
    }

    void report(benchmark::State& state) {
        const auto count = static_cast<double>(all_.size());
        state.counters["all_ns"] = middle(all_);
        state.counters["module_ns"] = middle(module_);
        state.counters["own_ns"] = middle(own_);
        state.counters["module_allocs"] = static_cast<double>(module_allocations_) / count;
        state.counters["own_allocs"] = static_cast<double>(allocations_ - module_allocations_) / count;
    }

private:
    struct Cost {
        double ns = 0;
        std::uint64_t allocations = 0;
    };
    template <typename Work>
    static Cost cost_of(Work& work) {
        const auto allocations = heap().allocations;
        const auto since = std::chrono::steady_clock::now();
        work();
        const auto took = std::chrono::steady_clock::now() - since;
        return {std::chrono::duration<double, std::nano>(took).count(), heap().allocations - allocations};
    }
    static double middle(std::vector<double>& values) {
        if (values.empty()) return 0;
        const auto half = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), half, values.end());
        return *half;
    }

    std::vector<double> all_;
    std::vector<double> module_;
    std::vector<double> own_;
    std::uint64_t allocations_ = 0;
    std::uint64_t module_allocations_ = 0;
};

// Tells a module again what a trace says it was told.
class Replay {
public:
    Replay(const Fleet& fleet, const Trace& trace)
        : trace_(trace), policy_(settings_of(fleet), seed, start, nobody_) {
        policy_.on_list(start, ListKind::full, entries_of(list_of(fleet)));
    }
    void step() {
        for (; told_ < trace_.ends[step_]; ++told_) give(policy_, trace_.told[told_]);
        ++step_;
    }

private:
    const Trace& trace_;
    Nobody nobody_;
    Policy policy_;
    std::size_t told_ = 0;
    std::size_t step_ = 0;
};

void call(benchmark::State& state, const Fleet& fleet, std::size_t open) {
    const Trace trace = trace_of(fleet, open);
    Host host(open, false, settings_of(fleet));
    host.list(list_of(fleet));
    if (fleet.beside > 0) host.list_beside(list_of(fleet.beside, fleet.upstreams));
    Replay replay(fleet, trace);
    const std::size_t warm = steps_to(open);
    for (std::size_t i = 0; i < warm; ++i) {
        host.call(name_of(i), open_at(i, open), gap_at(open_at(i, open)));
        replay.step();
    }
    std::size_t i = warm;
    Pairs pairs;
    for (auto _ : state) {
        std::string name = name_of(i++);
        pairs.time(
            state, [&] { host.call(std::move(name), open, gap_at(open)); }, [&] { replay.step(); });
    }
    pairs.report(state);
    state.counters["open"] = static_cast<double>(host.figures().open);
    state.counters["timers"] = static_cast<double>(host.figures().timers);
    state.counters["refused"] = static_cast<double>(host.figures().refused);
    if (host.print() != trace.print) state.SkipWithError("the module alone got other events");
    if (const auto what = host.surprises(); !what.empty()) state.SkipWithError(what.c_str());
}

// -------------------------------------------------------------------------------------------------- lists

enum class News { first, change, replaced };

// One server's weight, now this and now that.
core::MemberList change_of(std::size_t upstreams, std::size_t round) {
    core::MemberList list;
    list.kind = ListKind::delta;
    list.members = {member(round % upstreams)};
    list.members.front().entry.weight = round % 2 == 0 ? 0.5 : 1.0;
    return list;
}

core::MemberList news_of(News news, std::size_t upstreams, std::size_t round) {
    if (news == News::change) return change_of(upstreams, round);
    const bool others = news == News::replaced && round % 2 == 0;
    return list_of(upstreams, others ? upstreams : 0);
}

void list(benchmark::State& state, News news, std::size_t upstreams) {
    Nobody nobody;
    std::unique_ptr<Host> host;
    std::optional<Policy> policy;
    const auto begin = [&] {
        host = std::make_unique<Host>(1);
        policy.emplace(settings(), seed, start, nobody);
    };
    begin();
    if (news != News::first) {
        host->list(list_of(upstreams));
        policy->on_list(start, ListKind::full, entries_of(list_of(upstreams)));
    }
    std::size_t round = 0;
    Pairs pairs;
    for (auto _ : state) {
        if (news == News::first) begin();
        core::MemberList list = news_of(news, upstreams, round++);
        const ListKind kind = list.kind;
        const auto entries = entries_of(list);
        pairs.time(
            state, [&] { host->list(std::move(list)); }, [&] { policy->on_list(start, kind, entries); });
    }
    pairs.report(state);
}

// ------------------------------------------------------------------------------------------------- timers

// 30,000 calls a second that could wait 5 s and are answered at once: what is set for each must go with it.
void timers_at_once(benchmark::State& state) {
    constexpr std::size_t a_second = 30'000;
    Host host(1, true);
    host.list(list_of(48));
    std::size_t number = 0;
    std::size_t most = 0;
    const auto run = [&](std::size_t calls) {
        for (std::size_t i = 0; i < calls; ++i) {
            host.call(name_of(number++), 1, Micros{1'000'000 / a_second});
            if (number % 100 == 0) most = std::max(most, host.figures().timers);
        }
    };
    run(a_second);
    const auto held_at_one = heap().live_bytes;
    for (auto _ : state) run(a_second);
    state.counters["per_call"] =
        benchmark::Counter(static_cast<double>(a_second),
                           benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
    state.counters["timers_most"] = static_cast<double>(most);
    state.counters["KiB_at_1s"] = static_cast<double>(held_at_one) / 1024;
    state.counters["KiB_at_end"] = static_cast<double>(heap().live_bytes) / 1024;
    if (const auto what = host.surprises(); !what.empty()) state.SkipWithError(what.c_str());
}

void add_all() {
    for (const bool zoned : {false, true}) {
        for (const std::size_t upstreams : {48, 500, 5000}) {
            for (const std::size_t open : {100, 1000, 10'000}) {
                const std::string name = std::string(zoned ? "call_zone/" : "call/") +
                                         std::to_string(upstreams) + "/" + std::to_string(open);
                benchmark::RegisterBenchmark(name.c_str(), call, Fleet{upstreams, zoned}, open)
                    ->Iterations(calls_timed)
                    ->UseManualTime();
            }
        }
    }
    for (const std::size_t beside : {500, 5000}) {
        benchmark::RegisterBenchmark(("call_beside/" + std::to_string(beside) + "/1000").c_str(), call,
                                     Fleet{48, false, beside}, 1000)
            ->Iterations(calls_timed)
            ->UseManualTime();
    }
    const std::pair<News, const char*> kinds[] = {
        {News::first, "list_first/"}, {News::change, "list_change/"}, {News::replaced, "list_replaced/"}};
    for (const auto& [news, name] : kinds) {
        for (const std::size_t upstreams : {48, 500, 5000}) {
            benchmark::RegisterBenchmark((name + std::to_string(upstreams)).c_str(), list, news, upstreams)
                ->Iterations(news == News::change ? changes_timed : lists_timed)
                ->UseManualTime();
        }
    }
    benchmark::RegisterBenchmark("timers/30000_a_second", timers_at_once)
        ->Iterations(20)
        ->Unit(benchmark::kMillisecond);
}

}  // namespace

}  // namespace flaxdoor::bench

int main(int argc, char** argv) {
    benchmark::Initialize(&argc, argv);
    if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 2;
    flaxdoor::bench::add_all();
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
