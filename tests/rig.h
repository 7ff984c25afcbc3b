// Drives a Policy by hand: a sink that records what it is asked to do, and short ways to make events.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::test {

using std::chrono::milliseconds;

inline Time ms(long n) { return Time(milliseconds(n)); }

struct Submit {
    RequestId request;
    UpstreamId upstream;
    Micros timeout;
};

class Recorder : public Actions {
public:
    void submit(RequestId request, UpstreamId upstream, Micros timeout) override {
        submits.push_back({request, upstream, timeout});
        note("submit", request);
    }
    void refuse(RequestId request, Micros) override {
        refused.push_back(request);
        note("refuse", request);
    }
    void fail(RequestId request) override {
        failed.push_back(request);
        note("fail", request);
    }
    void cancel(RequestId request, int attempt) override {
        cancelled.emplace_back(request, attempt);
        note("cancel", request);
    }
    void probe(UpstreamId upstream) override {
        probed.push_back(upstream);
        note("probe", upstream);
    }
    void set_timer(Time at, std::uint64_t token) override {
        timers.emplace_back(at, token);
        note("timer", static_cast<std::uint64_t>(at.count()));
    }
    void watch() override {
        ++watches;
        note("watch", 0);
    }
    void unwatch() override { note("unwatch", 0); }
    void fetch() override { note("fetch", 0); }
    void close_idle(UpstreamId upstream) override {
        closed.push_back(upstream);
        note("close", upstream);
    }
    void tell(std::optional<int> peer, std::string_view payload) override {
        told.emplace_back(peer, payload);
        note("tell", payload.size());
    }
    void log(std::string_view line) override { lines.emplace_back(line); }

    std::size_t answers(RequestId id) const {
        return static_cast<std::size_t>(std::count(refused.begin(), refused.end(), id) +
                                        std::count(failed.begin(), failed.end(), id));
    }
    std::size_t sends(RequestId id) const {
        return static_cast<std::size_t>(
            std::count_if(submits.begin(), submits.end(), [&](const Submit& s) { return s.request == id; }));
    }
    std::size_t sends_to(UpstreamId id) const {
        return static_cast<std::size_t>(
            std::count_if(submits.begin(), submits.end(), [&](const Submit& s) { return s.upstream == id; }));
    }

    std::vector<Submit> submits;
    std::vector<RequestId> refused, failed;
    std::vector<std::pair<RequestId, int>> cancelled;
    std::vector<UpstreamId> probed, closed;
    std::vector<std::pair<std::optional<int>, std::string>> told;
    std::vector<std::pair<Time, std::uint64_t>> timers;
    std::vector<std::string> lines, script;
    int watches = 0;

private:
    void note(const char* what, std::uint64_t id) {
        script.push_back(std::string(what) + std::to_string(id));
    }
};

enum ClassIndex { safe, keyed_zone, unsafe, keyed_all, keyed_cell };

inline Settings plain_settings() {
    Settings s;
    s.zones = 2;
    s.tick = milliseconds(1);
    const auto add = [&](const char* name, Effect effect, Group group) {
        ClassSettings c;
        c.name = name;
        c.aim = milliseconds(100);
        c.deadline = milliseconds(1000);
        c.late_worth = 0.5;
        c.effect = effect;
        c.group = group;
        c.window = milliseconds(400);
        s.classes.push_back(c);
    };
    add("safe", Effect::safe, Group::all);
    add("keyed in the zone", Effect::keyed, Group::zone);
    add("unsafe", Effect::unsafe, Group::all);
    add("keyed everywhere", Effect::keyed, Group::all);
    add("keyed in the cell", Effect::keyed, Group::cell);
    s.max_attempts = 4;
    s.may_cancel = true;
    s.parallel_attempts = true;
    s.cold_share = 0.25;
    s.ramp_time = std::chrono::seconds(8);
    s.fall_multiple = 3;
    s.fall_span = std::chrono::seconds(2);
    return s;
}

class Rig {
public:
    explicit Rig(Settings settings = plain_settings(), std::uint64_t seed = 1)
        : policy(std::make_unique<Policy>(settings, seed, now, sink)) {}

    static UpstreamEntry entry(UpstreamId id, int zone = 0, UpstreamState state = UpstreamState::ready,
                               Time started_at = Time{}, int cell = 0) {
        UpstreamEntry e;
        e.id = id;
        e.zone = zone;
        e.state = state;
        e.started_at = started_at;
        e.cell = cell;
        return e;
    }
    void list(ListKind kind, const std::vector<UpstreamEntry>& entries) {
        policy->on_list(now, kind, entries);
    }
    // Upstreams 1..home in this zone, 101..100+away in the other one.
    void fleet(int home, int away = 0) {
        std::vector<UpstreamEntry> entries;
        for (int i = 1; i <= home; ++i) entries.push_back(entry(static_cast<UpstreamId>(i)));
        for (int i = 1; i <= away; ++i) entries.push_back(entry(static_cast<UpstreamId>(100 + i), 1));
        list(ListKind::full, entries);
    }
    // More of them, in this zone.
    void join(UpstreamId first, UpstreamId last) {
        std::vector<UpstreamEntry> entries;
        for (UpstreamId id = first; id <= last; ++id) entries.push_back(entry(id));
        list(ListKind::delta, entries);
    }
    void drain(std::initializer_list<UpstreamId> ids) {
        std::vector<UpstreamEntry> entries;
        for (const UpstreamId id : ids) entries.push_back(entry(id, 0, UpstreamState::draining));
        list(ListKind::delta, entries);
    }
    // A new process under the old name, from now on.
    void restart(UpstreamId id) { list(ListKind::delta, {entry(id, 0, UpstreamState::ready, now)}); }
    RequestId request(int class_index = safe, Micros left = milliseconds(1000), std::uint64_t key = 0,
                      std::optional<int> tenant = {}) {
        Request r;
        r.id = ++last_id;
        r.class_index = class_index;
        r.deadline = now + left;
        r.key = key;
        r.tenant = tenant;
        policy->on_request(now, r);
        return r.id;
    }
    RequestId pinned(UpstreamId to, int class_index = safe, Micros left = milliseconds(1000)) {
        Request r;
        r.id = ++last_id;
        r.class_index = class_index;
        r.deadline = now + left;
        r.pinned = to;
        policy->on_request(now, r);
        return r.id;
    }
    void end(RequestId id, int attempt, Outcome outcome, Micros latency = milliseconds(10),
             Report report = {}) {
        AttemptEnd e;
        e.request = id;
        e.attempt = attempt;
        e.outcome = outcome;
        e.closed = outcome == Outcome::ok;
        e.latency = latency;
        e.report = std::move(report);
        policy->on_attempt_end(now, e);
    }
    // An attempt to each of these upstreams, which ends so.
    void each_ends(UpstreamId first, UpstreamId last, Outcome outcome) {
        for (UpstreamId to = first; to <= last; ++to) end(pinned(to, unsafe, ms(50)), 0, outcome, ms(1));
    }
    // One request, answered after `latency`.
    void served(int class_index = safe, Micros latency = milliseconds(10)) {
        const RequestId id = request(class_index);
        now += latency;
        if (sink.sends(id) == 1) end(id, 0, Outcome::ok, latency);
    }
    // So many requests, of which all but those to one upstream are served; how many those were.
    int all_but(UpstreamId bad, int count, Outcome its_outcome, Micros between = Micros{0}) {
        int there = 0;
        for (int i = 0; i < count; ++i) {
            const auto id = request(safe);
            const bool is_bad = sink.submits.back().upstream == bad;
            there += is_bad;
            now += between;
            end(id, 0, is_bad ? its_outcome : Outcome::ok, ms(1));
        }
        return there;
    }
    // Several requests at once: those that were sent.
    std::vector<RequestId> wave(int class_index, int size, std::optional<int> tenant = {}) {
        std::vector<RequestId> sent;
        for (int i = 0; i < size; ++i) {
            const auto id = request(class_index, milliseconds(1000), 0, tenant);
            if (sink.sends(id) == 1) sent.push_back(id);
        }
        return sent;
    }
    void answer(const std::vector<RequestId>& sent, Micros latency) {
        for (const auto id : sent) end(id, 0, Outcome::ok, latency);
    }
    // The same, answered after `latency`: how many were sent.
    std::size_t served_wave(int class_index, int size, Micros latency) {
        const auto sent = wave(class_index, size);
        now += latency;
        answer(sent, latency);
        return sent.size();
    }
    // Fires the timers that come due up to `until`, in order of time.
    void run(Time until) {
        for (;;) {
            auto due = sink.timers.end();
            for (auto t = sink.timers.begin(); t != sink.timers.end(); ++t) {
                if (t->first <= until && (due == sink.timers.end() || t->first < due->first)) due = t;
            }
            if (due == sink.timers.end()) break;
            const auto timer = *due;
            sink.timers.erase(due);
            now = std::max(now, timer.first);
            policy->on_timer(now, timer.second);
        }
        now = until;
    }

    Time now = std::chrono::hours(1);
    Recorder sink;
    std::unique_ptr<Policy> policy;
    RequestId last_id = 0;
};

}  // namespace flaxdoor::test
