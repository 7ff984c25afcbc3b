// Twelve balancers, each a core with its policy, in front of the same servers under virtual time. Half of
// them crash and restart within the same second with the same snapshot while service discovery is down. No
// server in slow start may be overloaded, and the restarted balancers must not all choose the same server.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <queue>
#include <random>

#include "core/core.h"
#include "iterations.h"
#include "samples.h"

namespace flaxdoor::recovery::test {
namespace {

constexpr int balancers = 12;
constexpr int servers = 8;
constexpr int dead_server = 3;                                 // refuses connections from the start
constexpr Micros service_time = std::chrono::milliseconds(8);  // of a request, after the slow start
constexpr std::size_t workers = 4;                             // 500 requests a second after the slow start
constexpr double rate = 0.5 * servers * 500;                   // calls per second of all clients together
constexpr Time start_time = now0;

Settings settings_of(int rank) {
    Settings settings = flaxdoor::test::plain_settings();
    settings.rank = rank;
    settings.balancers = balancers;
    settings.zones = 1;
    settings.cold_share = 0.05;
    settings.ramp_time = seconds(30);
    settings.fall_multiple = 1.5;
    return settings;
}

// A server with a queue and workers. During its slow start it answers as fast as any other, so that its
// latency gives no warning of overload: only its known start time limits its load. It counts the requests
// that it is sent, for the checks.
struct Server {
    Time started_at{};
    bool alive = true;
    std::size_t busy = 0;
    std::deque<std::function<void(Micros)>> queue;
    std::deque<Time> sent;      // within the last fall_span
    double max_load_ratio = 0;  // greatest load during its slow start, relative to its capacity

    double capacity_share(Time now, const Settings& settings) const {
        if (started_at == Time{}) return 1;
        const double age =
            static_cast<double>((now - started_at).count()) / static_cast<double>(settings.ramp_time.count());
        return age >= 1 ? 1 : settings.cold_share + (1 - settings.cold_share) * std::max(0.0, age);
    }
};

class World {
public:
    explicit World(std::uint32_t seed) : random(seed), fall_settings(settings_of(0)) {
        for (int i = 0; i < balancers; ++i) nodes_.push_back(std::make_unique<Node>(*this, i, seed));
        list.kind = ListKind::full;
        list.version = 1;
        for (int i = 0; i < servers; ++i) list.members.push_back(member(id(i)));
        all_servers[dead_server].alive = false;
        for (auto& node : nodes_) node->start({}, now);
        for (auto& node : nodes_) node->receive_list(list);
        arrive();
    }

    static UpstreamId id(int server) { return static_cast<UpstreamId>(server + 1) * 0x9e3779b97f4a7c15ULL; }
    static int server_of(UpstreamId upstream) {
        for (int i = 0; i < servers; ++i) {
            if (id(i) == upstream) return i;
        }
        return -1;
    }

    void schedule(Time when, std::function<void()> action) {
        events_.push({when, ++last_order_, std::move(action)});
    }
    void run(Time until) {
        while (!events_.empty() && events_.top().when <= until) {
            const TimedEvent next = events_.top();
            events_.pop();
            now = std::max(now, next.when);
            next.action();
        }
        now = until;
    }

    void restart(int server) {
        all_servers[server].started_at = now;
        list.members[static_cast<std::size_t>(server)].entry.started_at = now;
        ++list.version;
        for (auto& node : nodes_) node->receive_list(list);
    }
    // Crashes half of the balancers at once, and restarts them together with the snapshot of the first one.
    void crash_half(Micros downtime) {
        StoredSnapshot snapshot = nodes_[0]->map_store.read();
        ASSERT_TRUE(snapshot.list);
        EXPECT_GT(snapshot.remembered.size(), 4U);
        restart_at = now + downtime;
        for (int i = 0; i < balancers / 2; ++i) {
            nodes_[static_cast<std::size_t>(i)]->stop();
            const auto delay = Micros(std::uniform_int_distribution<int>(0, 49'999)(random));
            schedule(restart_at + delay, [this, i, snapshot] {
                Node& node = *nodes_[static_cast<std::size_t>(i)];
                node.start(snapshot, now);
            });
        }
    }

    Time now = start_time;
    std::mt19937 random;
    const Settings fall_settings;
    std::array<Server, servers> all_servers;
    core::MemberList list;
    std::uint64_t served = 0, answered = 0, calls = 0;
    Time restart_at{};
    // For each restarted balancer: its first choices, and the time of its first probe of the dead server.
    std::vector<std::pair<int, int>> first_choices;  // balancer, server
    std::vector<Time> probe_times;

private:
    struct TimedEvent {
        Time when{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const TimedEvent& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    struct Node final : core::Clock, core::Alarm, core::Log, core::Downstream, core::UpstreamConnectionPool {
        Node(World& owner, int balancer_rank, std::uint32_t world_seed)
            : world(owner),
              rank(balancer_rank),
              seed(world_seed * 1000 + static_cast<std::uint32_t>(balancer_rank)) {}

        void start(StoredSnapshot stored, Time when) {
            ++incarnation;
            started = when;
            const ListOrigin history{"d", "api", "n"};
            core::MemberList configured;
            configured.kind = ListKind::cached;
            const Settings settings = settings_of(rank);
            const auto restored =
                restore(configured, std::move(stored), history, settings, when, minutes(10));
            recorder.emplace(history, restored.list, when);
            core = std::make_unique<core::Core>(*this, *this, *this);
            pool = core->add_pool({"api", settings, seed + static_cast<std::uint64_t>(incarnation) * 7919},
                                  *this, nullptr);
            core->on_list(pool, restored.list);
            tick(incarnation);
        }
        void stop() {
            ++incarnation;
            core.reset();
            active_attempts.clear();
        }
        void receive_list(const core::MemberList& list) {
            if (!core) return;
            map_store.receive_list(*recorder, world.now, list);
            core->on_list(pool, list);
        }
        void tick(int captured_incarnation) {
            if (captured_incarnation != incarnation) return;
            map_store.apply(recorder->take_memory_changes(
                world.now, [&](UpstreamId upstream) { return core->learned_state(pool, upstream); }));
            world.schedule(world.now + ms(200), [this, captured_incarnation] { tick(captured_incarnation); });
        }
        void call() {
            ++world.calls;
            if (!core) return;
            core::Call new_call;
            new_call.pool = pool;
            new_call.class_index = 0;
            new_call.budget = ms(1000);
            (void)core->accept_call(std::move(new_call), *this, 0);
        }

        Time now() const override { return world.now; }
        void set(Time at) override {
            const int captured_incarnation = incarnation;
            const std::uint64_t alarm_number = ++last_alarm;
            world.schedule(at, [this, captured_incarnation, alarm_number] {
                if (captured_incarnation == incarnation && alarm_number == last_alarm) core->on_alarm();
            });
        }
        void event(const core::Event&, std::span<const core::Value>) override {}
        void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
        void on_final(std::uint64_t, core::FinalAnswer answer) override {
            ++world.answered;
            world.served += answer.verdict == core::Verdict::served;
        }
        void set_upstream(UpstreamId, const std::string&, bool) override {}
        void remove_upstream(UpstreamId) override {}
        void send(core::Attempt attempt) override {
            active_attempts.insert(attempt.key);
            const int server = server_of(attempt.upstream);
            if (incarnation > 1) {
                auto& choices = world.first_choices;
                if (std::count_if(choices.begin(), choices.end(),
                                  [&](auto& choice) { return choice.first == rank; }) < 10) {
                    choices.emplace_back(rank, server);
                }
            }
            const int captured_incarnation = incarnation;
            const Time sent = world.now;
            const auto key = attempt.key;
            const auto end = [this, captured_incarnation, key, sent](Outcome outcome) {
                if (captured_incarnation == incarnation) end_attempt(key, outcome, world.now - sent);
            };
            if (!world.all_servers[static_cast<std::size_t>(server)].alive) {
                if (incarnation > 1 && !std::exchange(probed, true)) world.probe_times.push_back(sent);
                world.schedule(sent + ms(1), [end] { end(Outcome::connect_failed); });
                return;
            }
            core->on_attempt_sending(key);
            world.arrive_at(server, [end](Micros) { end(Outcome::ok); });
        }
        void end_attempt(core::AttemptKey key, Outcome outcome, Micros latency) {
            if (active_attempts.erase(key) == 0) return;
            core::AttemptResult result;
            result.key = key;
            result.outcome = outcome;
            result.fully_sent = outcome == Outcome::ok;
            result.latency = latency;
            core->on_attempt_end(std::move(result));
        }
        void cancel(core::AttemptKey key) override { end_attempt(key, Outcome::cancelled, {}); }
        void expire(core::AttemptKey key) override { end_attempt(key, Outcome::timeout, ms(500)); }
        void close_idle(UpstreamId) override {}

        World& world;
        const int rank;
        const std::uint64_t seed;
        int incarnation = 0;
        bool probed = false;  // the dead server, since the restart
        std::uint64_t last_alarm = 0;
        Time started{};
        MapStore map_store;
        std::optional<Recorder> recorder;
        std::unique_ptr<core::Core> core;
        core::PoolId pool = 0;
        std::set<core::AttemptKey> active_attempts;
    };

    void arrive() {
        const double interarrival_us =
            -std::log(1 - std::generate_canonical<double, 30>(random)) / rate * 1e6;
        schedule(now + Micros(static_cast<std::int64_t>(interarrival_us)), [this] {
            // Clients use the balancers that are running.
            std::vector<Node*> running;
            for (auto& node : nodes_) {
                if (node->core) running.push_back(node.get());
            }
            running[std::uniform_int_distribution<std::size_t>(0, running.size() - 1)(random)]->call();
            arrive();
        });
    }

    // Checks for overload: a server must not get more than fall_multiple times its present capacity within
    // fall_span.
    void arrive_at(int number, std::function<void(Micros)> done) {
        Server& server = all_servers[static_cast<std::size_t>(number)];
        server.sent.push_back(now);
        while (now - server.sent.front() > fall_settings.fall_span) server.sent.pop_front();
        const double share = server.capacity_share(now, fall_settings);
        if (share < 1 && now - server.started_at >= fall_settings.fall_span) {
            const double span_s = static_cast<double>(fall_settings.fall_span.count()) / 1e6;
            const double capacity = share * 500 * span_s;
            server.max_load_ratio =
                std::max(server.max_load_ratio, static_cast<double>(server.sent.size()) / capacity);
        }
        if (server.busy >= workers) {
            server.queue.push_back(std::move(done));
            return;
        }
        serve(number, std::move(done));
    }
    void serve(int number, std::function<void(Micros)> done) {
        Server& server = all_servers[static_cast<std::size_t>(number)];
        ++server.busy;
        const double factor = 0.5 + std::generate_canonical<double, 30>(random);
        const auto time =
            Micros(static_cast<std::int64_t>(static_cast<double>(service_time.count()) * factor));
        schedule(now + time, [this, number, time, done = std::move(done)] {
            Server& finished = all_servers[static_cast<std::size_t>(number)];
            --finished.busy;
            done(time);
            if (finished.queue.empty() || finished.busy >= workers) return;
            auto next = std::move(finished.queue.front());
            finished.queue.pop_front();
            serve(number, std::move(next));
        });
    }

    std::vector<std::unique_ptr<Node>> nodes_;
    std::priority_queue<TimedEvent> events_;
    std::uint64_t last_order_ = 0;
};

TEST(Herd, HalfOfTheBalancersRestartWithTheSameSnapshot) {
    for (std::uint32_t seed = 1; seed <= flaxdoor::test::iterations(20U, 5U); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        World world(seed);
        world.run(start_time + seconds(20));
        world.restart(5);  // all balancers are notified: its slow start takes half a minute
        world.run(start_time + seconds(22));
        const auto served = world.served, answered = world.answered;
        world.crash_half(seconds(1));
        world.run(start_time + seconds(31));
        const double max_load_ratio = world.all_servers[5].max_load_ratio;
        EXPECT_LT(max_load_ratio, world.fall_settings.fall_multiple)
            << "a server was overloaded during its slow start";
        const double share =
            static_cast<double>(world.served - served) / static_cast<double>(world.answered - answered);
        EXPECT_GT(share, 0.97);

        // The first ten requests of each restarted balancer.
        std::map<int, int> by_server, first;
        std::set<int> restarted;
        for (const auto& [balancer, server] : world.first_choices) {
            ++by_server[server];
            if (restarted.insert(balancer).second) ++first[server];
        }
        ASSERT_EQ(restarted.size(), balancers / 2);
        for (const auto& [server, count] : first)
            EXPECT_LE(count, 4) << "too many balancers begin with server " << server;
        for (const auto& [server, count] : by_server) {
            EXPECT_LE(count, static_cast<int>(world.first_choices.size()) * 2 / 5) << "server " << server;
        }
        // The ejected server gets no ordinary traffic, and is not probed by all balancers at once.
        EXPECT_GE(world.probe_times.size(), 3U);
        std::size_t max_simultaneous = 0;
        for (const Time probe_time : world.probe_times) {
            max_simultaneous = std::max<std::size_t>(
                max_simultaneous, static_cast<std::size_t>(std::count_if(
                                      world.probe_times.begin(), world.probe_times.end(), [&](Time other) {
                                          return other >= probe_time && other - probe_time < ms(100);
                                      })));
        }
        EXPECT_LE(max_simultaneous, 2U);
    }
}

}  // namespace
}  // namespace flaxdoor::recovery::test
