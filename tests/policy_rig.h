// A test harness for a Policy: Recorder records the actions that the Policy requests, and PolicyRig sends it
// events.
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
        record("submit", request);
    }
    void reject(RequestId request, Micros) override {
        refused.push_back(request);
        record("refuse", request);
    }
    void fail(RequestId request) override {
        failed.push_back(request);
        record("fail", request);
    }
    void cancel(RequestId request, int attempt) override {
        cancelled.emplace_back(request, attempt);
        record("cancel", request);
    }
    void probe(UpstreamId upstream) override {
        probed.push_back(upstream);
        record("probe", upstream);
    }
    void set_timer(Time at, std::uint64_t token) override {
        timers.emplace_back(at, token);
        record("timer", static_cast<std::uint64_t>(at.count()));
    }
    void watch() override {
        ++watches;
        record("watch", 0);
    }
    void unwatch() override { record("unwatch", 0); }
    void fetch() override { record("fetch", 0); }
    void close_idle(UpstreamId upstream) override {
        closed.push_back(upstream);
        record("close", upstream);
    }
    void send_to_peer(std::optional<int> peer, std::string_view payload) override {
        peer_messages.emplace_back(peer, payload);
        record("tell", payload.size());
    }
    void log(std::string_view line) override { log_lines.emplace_back(line); }

    std::size_t answers(RequestId id) const {
        return static_cast<std::size_t>(std::count(refused.begin(), refused.end(), id) +
                                        std::count(failed.begin(), failed.end(), id));
    }
    std::size_t sends(RequestId id) const {
        return static_cast<std::size_t>(std::count_if(
            submits.begin(), submits.end(), [&](const Submit& sent) { return sent.request == id; }));
    }
    std::size_t sends_to(UpstreamId id) const {
        return static_cast<std::size_t>(std::count_if(
            submits.begin(), submits.end(), [&](const Submit& sent) { return sent.upstream == id; }));
    }

    std::vector<Submit> submits;
    std::vector<RequestId> refused, failed;
    std::vector<std::pair<RequestId, int>> cancelled;
    std::vector<UpstreamId> probed, closed;
    std::vector<std::pair<std::optional<int>, std::string>> peer_messages;
    std::vector<std::pair<Time, std::uint64_t>> timers;
    std::vector<std::string> log_lines, action_log;
    int watches = 0;

private:
    void record(const char* what, std::uint64_t id) {
        action_log.push_back(std::string(what) + std::to_string(id));
    }
};

enum ClassIndex { safe, keyed_zone, unsafe, keyed_all, keyed_cell };

inline Settings plain_settings() {
    Settings settings;
    settings.zones = 2;
    settings.tick = milliseconds(1);
    const auto add = [&](const char* name, Effect effect, DeduplicationScope group) {
        ClassSettings class_settings;
        class_settings.name = name;
        class_settings.aim = milliseconds(100);
        class_settings.deadline = milliseconds(1000);
        class_settings.late_worth = 0.5;
        class_settings.effect = effect;
        class_settings.group = group;
        class_settings.window = milliseconds(400);
        settings.classes.push_back(class_settings);
    };
    add("safe", Effect::safe, DeduplicationScope::all);
    add("keyed in the zone", Effect::keyed, DeduplicationScope::zone);
    add("unsafe", Effect::unsafe, DeduplicationScope::all);
    add("keyed everywhere", Effect::keyed, DeduplicationScope::all);
    add("keyed in the cell", Effect::keyed, DeduplicationScope::cell);
    settings.max_attempts = 4;
    settings.may_cancel = true;
    settings.parallel_attempts = true;
    settings.cold_share = 0.25;
    settings.ramp_time = std::chrono::seconds(8);
    settings.fall_multiple = 3;
    settings.fall_span = std::chrono::seconds(2);
    return settings;
}

class PolicyRig {
public:
    explicit PolicyRig(Settings settings = plain_settings(), std::uint64_t seed = 1)
        : policy(std::make_unique<Policy>(settings, seed, now, sink)) {}

    static UpstreamEntry entry(UpstreamId id, int zone = 0, UpstreamState state = UpstreamState::ready,
                               Time started_at = Time{}, int cell = 0) {
        UpstreamEntry entry;
        entry.id = id;
        entry.zone = zone;
        entry.state = state;
        entry.started_at = started_at;
        entry.cell = cell;
        return entry;
    }
    void list(ListKind kind, const std::vector<UpstreamEntry>& entries) {
        policy->on_list(now, kind, entries);
    }
    // Lists the upstreams 1 to `home` in this balancer's zone and 101 to 100 + `away` in the other one.
    void fleet(int home, int away = 0) {
        std::vector<UpstreamEntry> entries;
        for (int i = 1; i <= home; ++i) entries.push_back(entry(static_cast<UpstreamId>(i)));
        for (int i = 1; i <= away; ++i) entries.push_back(entry(static_cast<UpstreamId>(100 + i), 1));
        list(ListKind::full, entries);
    }
    // Adds upstreams to the list, in this balancer's zone.
    void add_upstreams(UpstreamId first, UpstreamId last) {
        std::vector<UpstreamEntry> entries;
        for (UpstreamId id = first; id <= last; ++id) entries.push_back(entry(id));
        list(ListKind::delta, entries);
    }
    void drain(std::initializer_list<UpstreamId> ids) {
        std::vector<UpstreamEntry> entries;
        for (const UpstreamId id : ids) entries.push_back(entry(id, 0, UpstreamState::draining));
        list(ListKind::delta, entries);
    }
    // Reports a new process under the same id, started now.
    void restart(UpstreamId id) { list(ListKind::delta, {entry(id, 0, UpstreamState::ready, now)}); }
    RequestId request(int class_index = safe, Micros left = milliseconds(1000), std::uint64_t key = 0,
                      std::optional<int> tenant = {}) {
        Request request;
        request.id = ++last_id;
        request.class_index = class_index;
        request.deadline = now + left;
        request.key = key;
        request.tenant = tenant;
        policy->on_request(now, request);
        return request.id;
    }
    RequestId pinned(UpstreamId to, int class_index = safe, Micros left = milliseconds(1000)) {
        Request request;
        request.id = ++last_id;
        request.class_index = class_index;
        request.deadline = now + left;
        request.pinned = to;
        policy->on_request(now, request);
        return request.id;
    }
    void end(RequestId id, int attempt, Outcome outcome, Micros latency = milliseconds(10),
             Report report = {}) {
        AttemptEnd attempt_end;
        attempt_end.request = id;
        attempt_end.attempt = attempt;
        attempt_end.outcome = outcome;
        attempt_end.request_answered = outcome == Outcome::ok;
        attempt_end.latency = latency;
        attempt_end.report = std::move(report);
        policy->on_attempt_end(now, attempt_end);
    }
    // Sends a request to each of these upstreams and ends its attempt with the outcome.
    void end_one_on_each(UpstreamId first, UpstreamId last, Outcome outcome) {
        for (UpstreamId to = first; to <= last; ++to) end(pinned(to, unsafe, ms(50)), 0, outcome, ms(1));
    }
    // Sends a request and answers it after `latency`.
    void served(int class_index = safe, Micros latency = milliseconds(10)) {
        const RequestId id = request(class_index);
        now += latency;
        if (sink.sends(id) == 1) end(id, 0, Outcome::ok, latency);
    }
    // Sends `count` requests and answers them. Those that are sent to the upstream `bad` end with
    // `bad_outcome` instead. Returns how many requests `bad` got.
    int serve_all_except(UpstreamId bad, int count, Outcome bad_outcome, Micros between = Micros{0}) {
        int sent_there = 0;
        for (int i = 0; i < count; ++i) {
            const auto id = request(safe);
            const bool is_bad = sink.submits.back().upstream == bad;
            sent_there += is_bad;
            now += between;
            end(id, 0, is_bad ? bad_outcome : Outcome::ok, ms(1));
        }
        return sent_there;
    }
    // Makes `size` requests at once. Returns those that were sent to an upstream.
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
    // Makes `size` requests at once and answers them after `latency`. Returns how many were sent.
    std::size_t served_wave(int class_index, int size, Micros latency) {
        const auto sent = wave(class_index, size);
        now += latency;
        answer(sent, latency);
        return sent.size();
    }
    // Fires the timers that are due up to `until`, in order of time.
    void run(Time until) {
        for (;;) {
            auto due = sink.timers.end();
            for (auto candidate = sink.timers.begin(); candidate != sink.timers.end(); ++candidate) {
                if (candidate->first <= until && (due == sink.timers.end() || candidate->first < due->first))
                    due = candidate;
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
