// Random but legal events, from fixed seeds, through all combinations of class effects and settings: whatever
// comes, rules 1, 2, 3 and 5 hold, no request is left open, and the same events give the same actions.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <stdexcept>

#include "rig.h"

namespace flaxdoor::test {
namespace {

struct Sent {
    UpstreamEntry to;
    Time at{};
    bool out = true;
    bool may_have_run = true;
    bool reused = false;  // an idle connection
};

struct Asked {
    Request request;
    ClassSettings rules;  // of its class, as they were when it came
    std::vector<Sent> attempts;
    bool over = false;
};

// A host that checks each action as it comes.
class Checker : public Actions {
public:
    Checker(const Settings& settings, std::uint32_t seed)
        : s(settings), random(seed), policy(settings, seed, now, *this) {}

    void submit(RequestId id, UpstreamId upstream, Micros timeout) override {
        Asked& a = asked.at(id);
        const UpstreamEntry& to = listed.at(upstream);
        note("submit", id * 1000 + upstream);
        EXPECT_FALSE(a.over) << "sent after the end of request " << id;
        EXPECT_EQ(a.request.pinned.value_or(upstream), upstream);
        EXPECT_LE(now + timeout, a.request.deadline);
        EXPECT_LT(a.attempts.size(), static_cast<std::size_t>(s.max_attempts));
        EXPECT_EQ(to.state, UpstreamState::ready) << "sent to an upstream that drains or is gone";
        const ClassSettings& c = a.rules;
        for (const Sent& e : a.attempts) {
            EXPECT_TRUE(!e.out || s.parallel_attempts);
            if (!e.may_have_run || c.effect == Effect::safe) continue;
            EXPECT_EQ(c.effect, Effect::keyed) << "an unsafe effect twice";
            EXPECT_LT(now, e.at + c.window);
            if (c.group == Group::zone) {
                EXPECT_EQ(e.to.zone, to.zone);
            }
            if (c.group == Group::cell) {
                EXPECT_EQ(e.to.cell, to.cell);
            }
        }
        a.attempts.push_back({to, now});
        touched[upstream] = now;
        a.attempts.back().reused = idle[upstream] > 0;
        idle[upstream] -= a.attempts.back().reused;
    }
    void refuse(RequestId id, Micros) override {
        const Asked& a = asked.at(id);
        const ClassSettings& c = a.rules;
        const bool harmless =
            c.effect == Effect::safe || (c.effect == Effect::keyed && c.group == Group::all);
        for (const Sent& e : a.attempts) EXPECT_TRUE(harmless || !e.may_have_run) << "refused, may have run";
        end(id, "refuse");
    }
    void fail(RequestId id) override { end(id, "fail"); }
    void cancel(RequestId id, int attempt) override {
        EXPECT_TRUE(s.may_cancel);
        EXPECT_LT(static_cast<std::size_t>(attempt), asked.at(id).attempts.size());
    }
    void probe(UpstreamId upstream) override {
        EXPECT_TRUE(s.may_probe);
        note("probe", upstream);
    }
    void set_timer(Time at, std::uint64_t token) override { timers.emplace(at, token); }
    void watch() override { note("watch", 0); }
    void unwatch() override { note("unwatch", 0); }
    void fetch() override { note("fetch", 0); }
    void close_idle(UpstreamId upstream) override { idle[upstream] = 0; }
    void tell(std::optional<int>, std::string_view payload) override {
        EXPECT_TRUE(s.may_tell_peers);
        EXPECT_LE(payload.size(), 256u);
    }
    void log(std::string_view) override {}

    std::uint32_t below(std::uint32_t n) { return random() % n; }

    void list() {
        std::vector<UpstreamEntry> changed;
        const bool full = below(6) == 0;
        for (UpstreamId id = 1; id <= 8; ++id) {
            UpstreamEntry& e = listed[id];
            if (e.id == 0) e = Rig::entry(id, id > 5, UpstreamState::ready, Time{}, static_cast<int>(id % 3));
            if (below(5) == 0) {
                e.state = static_cast<UpstreamState>(below(3));
                if (e.state == UpstreamState::ready && below(2) == 0) e.started_at = now - ms(below(400));
                changed.push_back(e);
                touched[id] = now;
                // Where no rule tells the module to close them, they end with what they lead to.
                if (s.drain_close <= Micros{0} && e.state == UpstreamState::gone) idle[id] = 0;
            } else if (full) {
                changed.push_back(e);
            }
        }
        policy.on_list(now, full ? ListKind::full : ListKind::delta, changed);
    }
    void request() {
        Asked a;
        a.request.id = ++last_id;
        a.request.class_index = static_cast<int>(below(static_cast<std::uint32_t>(s.classes.size())));
        a.request.deadline = now + ms(below(600));
        a.request.key = below(4);
        if (below(4) == 0) a.request.pinned = 1 + below(9);  // 9 is never listed
        a.rules = s.classes[static_cast<std::size_t>(a.request.class_index)];
        asked[last_id] = a;
        policy.on_request(now, a.request);
    }
    // Ends an attempt that is out: a random one, or the first whose time is up.
    void outcome(bool overdue) {
        for (auto& [id, a] : asked) {
            for (std::size_t i = 0; i < a.attempts.size(); ++i) {
                Sent& e = a.attempts[i];
                if (!e.out || (overdue ? now < a.request.deadline : below(4) != 0)) continue;
                AttemptEnd end;
                end.request = id;
                end.attempt = static_cast<int>(i);
                end.outcome = overdue ? Outcome::timeout : static_cast<Outcome>(below(8));
                end.latency = now - e.at;
                end.upstream = e.to.id;
                e.out = false;
                e.may_have_run = end.outcome != Outcome::full && end.outcome != Outcome::connect_failed &&
                                 end.outcome != Outcome::moot;
                if (end.outcome == Outcome::ok) a.over = true;
                end.closed = a.over;
                touched[e.to.id] = now;
                const bool opens = end.outcome != Outcome::connect_failed && end.outcome != Outcome::reset &&
                                   end.outcome != Outcome::moot;
                const bool left = s.drain_close <= Micros{0} && listed[e.to.id].state == UpstreamState::gone;
                if (left) {
                    idle[e.to.id] = 0;
                } else if (opens || (end.outcome == Outcome::moot && e.reused)) {
                    ++idle[e.to.id];
                }
                policy.on_attempt_end(now, end);
                if (!overdue) return;
            }
        }
    }
    // Other settings: classes that moved, changed or are gone, and now and then a contradiction.
    void change(Settings next) {
        std::rotate(next.classes.begin(), next.classes.begin() + below(5), next.classes.end());
        next.classes.resize(1 + below(5));
        for (auto& c : next.classes) {
            if (below(6) == 0) c.name += " anew";
            if (below(6) == 0) c.effect = static_cast<Effect>(below(3));
            if (below(6) == 0) c.group = static_cast<Group>(below(3));
            if (below(3) == 0) c.window = ms(5 + below(600));
        }
        next.zone = static_cast<int>(below(2));
        const bool broken = below(4) == 0;
        if (broken) next.classes[0].aim = Micros{0};
        bool taken = true;
        try {
            policy.on_settings(now, next);
        } catch (const std::invalid_argument&) {
            taken = false;
        }
        EXPECT_NE(taken, broken);
        if (taken) s = next;
    }
    void leave() {
        for (auto& [id, a] : asked) {
            if (a.over || below(8) != 0) continue;
            a.over = true;
            policy.on_client_gone(now, id);
            return;
        }
    }
    void pass(Micros span) {
        const Time until = now + span;
        while (!timers.empty() && timers.begin()->first <= until) {
            const auto [at, token] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, at);
            policy.on_timer(now, token);
        }
        now = until;
        outcome(true);
        for (const auto& [id, a] : asked) {
            EXPECT_TRUE(a.over || now <= a.request.deadline + s.tick) << "request " << id << " left open";
        }
        if (s.drain_close <= Micros{0}) return;
        for (const auto& [id, e] : listed) {
            if (e.state != UpstreamState::draining || now < touched[id] + s.drain_close) continue;
            EXPECT_EQ(idle[id], 0) << "idle connections to draining upstream " << id;
        }
    }

    Settings s;
    std::mt19937 random;
    Time now = std::chrono::hours(1);
    std::map<RequestId, Asked> asked;
    std::map<UpstreamId, UpstreamEntry> listed;
    std::map<UpstreamId, Time> touched;  // the last notice, send or outcome
    std::map<UpstreamId, int> idle;      // connections that carry nothing
    std::multimap<Time, std::uint64_t> timers;
    std::vector<std::string> script;
    RequestId last_id = 0;

private:
    void note(const char* what, std::uint64_t id) { script.push_back(what + std::to_string(id)); }
    void end(RequestId id, const char* how) {
        EXPECT_FALSE(asked.at(id).over) << "a second answer for request " << id;
        asked.at(id).over = true;
        note(how, id);
    }

    Policy policy;
};

Settings settings_of(std::uint32_t seed) {
    Settings s = plain_settings();
    const auto bit = [&](int n) { return (seed >> n & 1U) != 0; };
    s.parallel_attempts = bit(0);
    s.may_cancel = bit(1);
    s.may_probe = bit(2);
    s.drain_close = bit(3) ? ms(50) : ms(0);
    s.warm_keys = bit(4);
    s.must_ask_list = bit(5);
    s.ask_within = ms(500);
    s.max_attempts = bit(6) ? 4 : 1;
    s.balancers = bit(7) ? 40 : 1;
    for (auto& c : s.classes) c.late_worth = bit(8) ? 0.5 : 0;
    return s;
}

std::vector<std::string> drive(std::uint32_t seed, bool settings_change = false) {
    Checker host(settings_of(seed), seed);
    host.list();
    for (int step = 0; step < 400; ++step) {
        if (settings_change && host.below(12) == 0) host.change(settings_of(host.below(512)));
        switch (host.below(8)) {
            case 0: host.list(); break;
            case 1: host.leave(); break;
            case 2:
            case 3: host.outcome(false); break;
            case 4: host.pass(ms(1 + host.below(60))); break;
            default: host.request();
        }
    }
    host.pass(ms(2000));
    for (const auto& [id, a] : host.asked) EXPECT_TRUE(a.over) << "request " << id;
    return host.script;
}

TEST(Properties, TheRulesHoldWhateverComes) {
    std::size_t actions = 0;
    for (std::uint32_t seed = 0; seed < 512; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        actions += drive(seed).size();
        if (HasFailure()) return;
    }
    EXPECT_GT(actions, 50000u);
}

TEST(Properties, TheRulesHoldWhileSettingsChange) {
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
