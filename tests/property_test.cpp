// Random but legal events, from fixed seeds, with all combinations of class effects and settings: the
// decision module's invariants 1, 2, 3 and 5 hold (see src/policy/decide.cpp), no request is left open, and
// the same events give the same actions.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <stdexcept>

#include "policy_rig.h"

namespace flaxdoor::test {
namespace {

// An attempt that the host carries out.
struct SentAttempt {
    UpstreamEntry to;
    Time at{};
    bool in_flight = true;
    bool may_have_executed = true;
    bool reused = false;  // sent on an idle connection
};

// A request and what the host knows about it.
struct TrackedRequest {
    Request request;
    ClassSettings class_settings;  // of its class when it arrived
    std::vector<SentAttempt> attempts;
    bool finished = false;
};

// A host that checks each action when the Policy requests it.
class Checker : public Actions {
public:
    Checker(const Settings& settings, std::uint32_t seed)
        : settings(settings), random(seed), policy_(settings, seed, now, *this) {}

    void submit(RequestId id, UpstreamId upstream, Micros timeout) override {
        TrackedRequest& tracked = requests.at(id);
        const UpstreamEntry& to = listed.at(upstream);
        record("submit", id * 1000 + upstream);
        EXPECT_FALSE(tracked.finished) << "sent after the end of request " << id;
        EXPECT_EQ(tracked.request.pinned.value_or(upstream), upstream);
        EXPECT_LE(now + timeout, tracked.request.deadline);
        EXPECT_LT(tracked.attempts.size(), static_cast<std::size_t>(settings.max_attempts));
        EXPECT_EQ(to.state, UpstreamState::ready) << "sent to an upstream that is draining or gone";
        const ClassSettings& class_settings = tracked.class_settings;
        for (const SentAttempt& attempt : tracked.attempts) {
            EXPECT_TRUE(!attempt.in_flight || settings.parallel_attempts);
            if (!attempt.may_have_executed || class_settings.effect == Effect::safe) continue;
            EXPECT_EQ(class_settings.effect, Effect::keyed) << "an unsafe request was sent twice";
            EXPECT_LT(now, attempt.at + class_settings.window);
            if (class_settings.group == DeduplicationScope::zone) {
                EXPECT_EQ(attempt.to.zone, to.zone);
            }
            if (class_settings.group == DeduplicationScope::cell) {
                EXPECT_EQ(attempt.to.cell, to.cell);
            }
        }
        tracked.attempts.push_back({to, now});
        last_event[upstream] = now;
        tracked.attempts.back().reused = idle_connections[upstream] > 0;
        idle_connections[upstream] -= tracked.attempts.back().reused;
    }
    void reject(RequestId id, Micros) override {
        const TrackedRequest& tracked = requests.at(id);
        const ClassSettings& class_settings = tracked.class_settings;
        const bool harmless =
            class_settings.effect == Effect::safe ||
            (class_settings.effect == Effect::keyed && class_settings.group == DeduplicationScope::all);
        for (const SentAttempt& attempt : tracked.attempts)
            EXPECT_TRUE(harmless || !attempt.may_have_executed) << "refused, but may have been executed";
        end(id, "refuse");
    }
    void fail(RequestId id) override { end(id, "fail"); }
    void cancel(RequestId id, int attempt) override {
        EXPECT_TRUE(settings.may_cancel);
        EXPECT_LT(static_cast<std::size_t>(attempt), requests.at(id).attempts.size());
    }
    void probe(UpstreamId upstream) override {
        EXPECT_TRUE(settings.may_probe);
        record("probe", upstream);
    }
    void set_timer(Time at, std::uint64_t token) override { timers.emplace(at, token); }
    void watch() override { record("watch", 0); }
    void unwatch() override { record("unwatch", 0); }
    void fetch() override { record("fetch", 0); }
    void close_idle(UpstreamId upstream) override { idle_connections[upstream] = 0; }
    void send_to_peer(std::optional<int>, std::string_view payload) override {
        EXPECT_TRUE(settings.may_message_peers);
        EXPECT_LE(payload.size(), 256u);
    }
    void log(std::string_view) override {}

    std::uint32_t below(std::uint32_t n) { return random() % n; }

    void update_list() {
        std::vector<UpstreamEntry> changed;
        const bool full = below(6) == 0;
        for (UpstreamId id = 1; id <= 8; ++id) {
            UpstreamEntry& entry = listed[id];
            if (entry.id == 0)
                entry = PolicyRig::entry(id, id > 5, UpstreamState::ready, Time{}, static_cast<int>(id % 3));
            if (below(5) == 0) {
                entry.state = static_cast<UpstreamState>(below(3));
                if (entry.state == UpstreamState::ready && below(2) == 0)
                    entry.started_at = now - ms(below(400));
                changed.push_back(entry);
                last_event[id] = now;
                // Without the drain_close rule the connections end when the upstream is gone.
                if (settings.drain_close <= Micros{0} && entry.state == UpstreamState::gone)
                    idle_connections[id] = 0;
            } else if (full) {
                changed.push_back(entry);
            }
        }
        policy_.on_list(now, full ? ListKind::full : ListKind::delta, changed);
    }
    void request() {
        TrackedRequest tracked;
        tracked.request.id = ++last_id;
        tracked.request.class_index =
            static_cast<int>(below(static_cast<std::uint32_t>(settings.classes.size())));
        tracked.request.deadline = now + ms(below(600));
        tracked.request.key = below(4);
        if (below(4) == 0) tracked.request.pinned = 1 + below(9);  // 9 is never listed
        tracked.class_settings = settings.classes[static_cast<std::size_t>(tracked.request.class_index)];
        requests[last_id] = tracked;
        policy_.on_request(now, tracked.request);
    }
    // Ends a random attempt in flight, or all attempts whose request is past its deadline.
    void end_attempts(bool overdue) {
        for (auto& [id, tracked] : requests) {
            for (std::size_t i = 0; i < tracked.attempts.size(); ++i) {
                SentAttempt& attempt = tracked.attempts[i];
                if (!attempt.in_flight || (overdue ? now < tracked.request.deadline : below(4) != 0))
                    continue;
                AttemptEnd end;
                end.request = id;
                end.attempt = static_cast<int>(i);
                end.outcome = overdue ? Outcome::timeout : static_cast<Outcome>(below(8));
                end.latency = now - attempt.at;
                end.upstream = attempt.to.id;
                attempt.in_flight = false;
                attempt.may_have_executed = end.outcome != Outcome::full &&
                                            end.outcome != Outcome::connect_failed &&
                                            end.outcome != Outcome::inconclusive;
                if (end.outcome == Outcome::ok) tracked.finished = true;
                end.request_answered = tracked.finished;
                last_event[attempt.to.id] = now;
                const bool opens = end.outcome != Outcome::connect_failed && end.outcome != Outcome::reset &&
                                   end.outcome != Outcome::inconclusive;
                const bool left =
                    settings.drain_close <= Micros{0} && listed[attempt.to.id].state == UpstreamState::gone;
                if (left) {
                    idle_connections[attempt.to.id] = 0;
                } else if (opens || (end.outcome == Outcome::inconclusive && attempt.reused)) {
                    ++idle_connections[attempt.to.id];
                }
                policy_.on_attempt_end(now, end);
                if (!overdue) return;
            }
        }
    }
    // Applies settings in which classes have moved, changed or gone, and which are inconsistent at times.
    void change_settings(Settings next) {
        std::rotate(next.classes.begin(), next.classes.begin() + below(5), next.classes.end());
        next.classes.resize(1 + below(5));
        for (auto& class_settings : next.classes) {
            if (below(6) == 0) class_settings.name += " anew";
            if (below(6) == 0) class_settings.effect = static_cast<Effect>(below(3));
            if (below(6) == 0) class_settings.group = static_cast<DeduplicationScope>(below(3));
            if (below(3) == 0) class_settings.window = ms(5 + below(600));
        }
        next.zone = static_cast<int>(below(2));
        const bool broken = below(4) == 0;
        if (broken) next.classes[0].aim = Micros{0};
        bool accepted = true;
        try {
            policy_.on_settings(now, next);
        } catch (const std::invalid_argument&) {
            accepted = false;
        }
        EXPECT_NE(accepted, broken);
        if (accepted) settings = next;
    }
    void client_leaves() {
        for (auto& [id, tracked] : requests) {
            if (tracked.finished || below(8) != 0) continue;
            tracked.finished = true;
            policy_.on_client_gone(now, id);
            return;
        }
    }
    void advance(Micros span) {
        const Time until = now + span;
        while (!timers.empty() && timers.begin()->first <= until) {
            const auto [at, token] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, at);
            policy_.on_timer(now, token);
        }
        now = until;
        end_attempts(true);
        for (const auto& [id, tracked] : requests) {
            EXPECT_TRUE(tracked.finished || now <= tracked.request.deadline + settings.tick)
                << "request " << id << " left open";
        }
        if (settings.drain_close <= Micros{0}) return;
        for (const auto& [id, entry] : listed) {
            if (entry.state != UpstreamState::draining || now < last_event[id] + settings.drain_close)
                continue;
            EXPECT_EQ(idle_connections[id], 0) << "idle connections to draining upstream " << id;
        }
    }

    Settings settings;
    std::mt19937 random;
    Time now = std::chrono::hours(1);
    std::map<RequestId, TrackedRequest> requests;
    std::map<UpstreamId, UpstreamEntry> listed;
    std::map<UpstreamId, Time> last_event;       // last notice, send or outcome
    std::map<UpstreamId, int> idle_connections;  // number of idle connections
    std::multimap<Time, std::uint64_t> timers;
    std::vector<std::string> action_log;
    RequestId last_id = 0;

private:
    void record(const char* what, std::uint64_t id) { action_log.push_back(what + std::to_string(id)); }
    void end(RequestId id, const char* how) {
        EXPECT_FALSE(requests.at(id).finished) << "a second answer for request " << id;
        requests.at(id).finished = true;
        record(how, id);
    }

    Policy policy_;
};

Settings settings_of(std::uint32_t seed) {
    Settings settings = plain_settings();
    const auto bit = [&](int n) { return (seed >> n & 1U) != 0; };
    settings.parallel_attempts = bit(0);
    settings.may_cancel = bit(1);
    settings.may_probe = bit(2);
    settings.drain_close = bit(3) ? ms(50) : ms(0);
    settings.warm_keys = bit(4);
    settings.must_request_list = bit(5);
    settings.ask_within = ms(500);
    settings.max_attempts = bit(6) ? 4 : 1;
    settings.balancers = bit(7) ? 40 : 1;
    for (auto& class_settings : settings.classes) class_settings.late_worth = bit(8) ? 0.5 : 0;
    return settings;
}

std::vector<std::string> drive(std::uint32_t seed, bool changes_settings = false) {
    Checker host(settings_of(seed), seed);
    host.update_list();
    for (int step = 0; step < 400; ++step) {
        if (changes_settings && host.below(12) == 0) host.change_settings(settings_of(host.below(512)));
        switch (host.below(8)) {
            case 0: host.update_list(); break;
            case 1: host.client_leaves(); break;
            case 2:
            case 3: host.end_attempts(false); break;
            case 4: host.advance(ms(1 + host.below(60))); break;
            default: host.request();
        }
    }
    host.advance(ms(2000));
    for (const auto& [id, tracked] : host.requests) EXPECT_TRUE(tracked.finished) << "request " << id;
    return host.action_log;
}

TEST(Properties, InvariantsHold) {
    std::size_t actions = 0;
    for (std::uint32_t seed = 0; seed < 512; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        actions += drive(seed).size();
        if (HasFailure()) return;
    }
    EXPECT_GT(actions, 50000u);
}

TEST(Properties, InvariantsHoldWhileSettingsChange) {
    for (std::uint32_t seed = 0; seed < 512; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        drive(seed, true);
        if (HasFailure()) return;
    }
}

TEST(Properties, TheSameEventsGiveTheSameActions) {
    for (std::uint32_t seed = 0; seed < 512; seed += 37) {
        EXPECT_EQ(drive(seed), drive(seed));
        EXPECT_EQ(drive(seed, true), drive(seed, true));
    }
}

}  // namespace
}  // namespace flaxdoor::test
