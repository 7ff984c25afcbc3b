// Slow start over all pools of an address (rule 4): the requests that all pools together send to a server
// that has just started must stay within its capacity, whatever happens to the pools in the meantime. The
// servers are modelled here: each has a capacity and a service time, which are worse during its slow start.
#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "fakes.h"

namespace flaxdoor::core::test {
namespace {

using namespace flaxdoor::test;

Settings slow_start_settings() {
    Settings settings = plain_settings();
    for (auto& class_settings : settings.classes) class_settings.aim = ms(400);
    return settings;
}

// Models the servers by address, and runs the attempts of all pools.
class ServerFarm {
public:
    ServerFarm(Stage& stage, std::uint32_t seed) : random(seed), stage_(stage) {}

    struct Server {
        double capacity_per_s = 0;  // after the slow start
        Micros service_time{};      // of a request, after the slow start
        Time started{};             // zero: so long ago that the slow start is over
        Time free_at{};             // when the next request can begin
        std::deque<Time> sent;
        std::uint64_t received = 0;
    };

    struct PoolBack final : FakeBack {
        PoolBack(ServerFarm& owner, Trip& trip) : FakeBack(trip), farm(owner) {
            when_sent = [this](AttemptKey key) { farm.serve(*this, key); };
        }
        ServerFarm& farm;
    };

    double capacity_share(const Server& server, Time at) const {
        if (server.started == Time{}) return 1;
        const double age = static_cast<double>((at - server.started).count()) /
                           static_cast<double>(settings.ramp_time.count());
        return std::min(1.0, settings.cold_share + (1 - settings.cold_share) * age);
    }

    void serve(PoolBack& back, AttemptKey key) {
        Server& server = servers.at(back.upstreams.at(back.sent.back().upstream).first);
        const Time now = stage_.clock.at;
        server.sent.push_back(now);
        ++server.received;
        while (server.sent.front() <= now - settings.fall_span) server.sent.pop_front();
        // The most requests that the server may get within fall_span, by its present capacity.
        const double capacity = server.capacity_per_s * capacity_share(server, now);
        const double max_requests =
            settings.fall_multiple * capacity * static_cast<double>(settings.fall_span.count()) / 1e6;
        if (capacity_share(server, now) < 1) {
            EXPECT_LE(static_cast<double>(server.sent.size()), max_requests)
                << "overloaded during its slow start";
            max_load_ratio = std::max(max_load_ratio, static_cast<double>(server.sent.size()) / max_requests);
        }
        // Requests begin one after another at the rate of the capacity, and each takes the service time.
        const double slowdown = 1 / capacity_share(server, now);
        const Time begins_at = std::max(now, server.free_at);
        server.free_at = begins_at + Micros(static_cast<long>(1e6 / server.capacity_per_s * slowdown));
        const Time ends_at =
            begins_at +
            Micros(static_cast<long>(static_cast<double>(server.service_time.count()) * slowdown));
        back.begin(key);
        back.whole.insert(key);
        ends.emplace(ends_at, std::pair(&back, key));
    }

    // Makes calls at random times for the given duration, at the given rate over all pools.
    void run(Micros span, double calls_per_s, const std::function<PoolId()>& pool) {
        const Time until = stage_.clock.at + span;
        std::exponential_distribution<double> interarrival(calls_per_s / 1e6);
        Time next = stage_.clock.at + Micros(1 + static_cast<long>(interarrival(random)));
        while (next < until || (!ends.empty() && ends.begin()->first < until)) {
            if (!ends.empty() && ends.begin()->first <= next) {
                const auto [at, attempt] = *ends.begin();
                ends.erase(ends.begin());
                stage_.run(std::max(at, stage_.clock.at));
                if (!attempt.first->gone) attempt.first->end(attempt.second, Outcome::ok);
            } else {
                stage_.run(next);
                call(pool());
                next = stage_.clock.at + Micros(1 + static_cast<long>(interarrival(random)));
            }
        }
        stage_.run(until);
    }
    void call(PoolId pool) {
        Call new_call = stage_.call(pool, static_cast<int>(random() % 5));
        EXPECT_EQ(stage_.take(new_call, ++token), AcceptResult::accepted);
    }

    Settings settings = slow_start_settings();
    std::map<std::string, Server> servers;
    std::multimap<Time, std::pair<PoolBack*, AttemptKey>> ends;
    std::mt19937 random;
    std::uint64_t token = 0;
    double max_load_ratio = 0;  // greatest load of a server in slow start, relative to max_requests

private:
    Stage& stage_;
};

struct Cold : testing::Test {
    // Runs several pools over the same servers. One server restarts, and some pools are removed and added
    // again during its slow start. A slot is the index of a pool.
    static double run_pools(std::uint32_t seed, std::size_t pools, double capacity_per_s, double load_factor,
                            int replacements) {
        Stage stage;
        ServerFarm farm(stage, seed);
        const std::size_t count = 3;
        for (std::size_t i = 0; i < count; ++i) {
            auto& server = farm.servers[name_of("s", i)];
            server.capacity_per_s = capacity_per_s;
            server.service_time = Micros(static_cast<long>(1e6 / capacity_per_s));
        }
        std::vector<std::unique_ptr<ServerFarm::PoolBack>> backs;
        std::vector<PoolId> ids;
        std::uint64_t process = 0;
        const auto members = [&](std::size_t slot) {
            std::vector<Member> listed;
            for (std::size_t i = 0; i < count; ++i) {
                const auto& server = farm.servers[name_of("s", i)];
                listed.push_back(member(1 + i + 10 * slot + (i == 0 ? 100 * process : 0), name_of("s", i),
                                        UpstreamState::ready, server.started));
            }
            return listed;
        };
        const auto add = [&](std::size_t slot) {
            backs.push_back(std::make_unique<ServerFarm::PoolBack>(farm, stage.trip));
            backs.back()->core = stage.core.get();
            ids[slot] =
                stage.add(*backs.back(), farm.settings, nullptr, name_of("pool ", slot), farm.random());
            stage.list(ids[slot], ListKind::full, members(slot));
        };
        ids.resize(pools);
        for (std::size_t slot = 0; slot < pools; ++slot) add(slot);
        std::vector<ServerFarm::PoolBack*> current;
        for (auto& back : backs) current.push_back(back.get());
        const auto random_pool = [&] { return ids[farm.random() % pools]; };
        const double load = capacity_per_s * static_cast<double>(count) * load_factor;
        farm.run(seconds(6), load, random_pool);
        EXPECT_GT(farm.servers["s0"].received, 0u);

        // The server is removed from all pools, and listed again as a new process in one pool after another.
        ++process;
        for (std::size_t slot = 0; slot < pools; ++slot) {
            auto listed = members(slot);
            listed.erase(listed.begin());
            stage.list(ids[slot], ListKind::full, listed);
        }
        farm.run(seconds(1), load, random_pool);
        auto& restarted = farm.servers["s0"];
        restarted.started = stage.clock.at;
        restarted.sent.clear();
        restarted.free_at = stage.clock.at;
        const std::uint64_t before = restarted.received;
        for (std::size_t slot = 0; slot < pools; ++slot) {
            stage.list(ids[slot], ListKind::full, members(slot));
            farm.run(ms(20), load, random_pool);
        }
        for (int i = 0; i < replacements; ++i) {
            const std::size_t slot = farm.random() % pools;
            stage.core->remove_pool(ids[slot]);
            current[slot]->gone = true;
            add(slot);
            current[slot] = backs.back().get();
            for (int extra = 0; extra < 3; ++extra) farm.call(ids[slot]);
            farm.run(ms(25), load, random_pool);
        }
        farm.run(farm.settings.ramp_time, load, random_pool);
        EXPECT_GT(restarted.received, before) << "the server is used during its slow start";
        EXPECT_EQ(stage.core->figures().watchdog_answers, 0u);
        for (const PoolId id : ids) stage.core->remove_pool(id);
        return farm.max_load_ratio;
    }
};

TEST_F(Cold, PoolsTogetherDoNotOverloadAServerInSlowStart) {
    for (std::uint32_t seed = 0; seed < 24; ++seed) {
        SCOPED_TRACE(name_of("seed ", seed));
        run_pools(seed, 1 + seed % 4, 100, 0.6, 0);
        if (HasFailure()) return;
    }
}

// With slow servers, many pools and an excess of calls, the first request that each pool may send has the
// greatest effect.
TEST_F(Cold, ManyPoolsDoNotOverloadASlowServerInSlowStart) {
    for (std::uint32_t seed = 0; seed < 24; ++seed) {
        SCOPED_TRACE(name_of("seed ", seed));
        run_pools(seed, 40, 10, 2, 0);
        if (HasFailure()) return;
    }
}

// An operator changes the configuration repeatedly during the slow start of a server.
TEST_F(Cold, PoolsAddedAgainContinueWithTheRemainingTokens) {
    for (std::uint32_t seed = 0; seed < 24; ++seed) {
        SCOPED_TRACE(name_of("seed ", seed));
        run_pools(seed, 1 + seed % 2, 10, 2, 80);
        if (HasFailure()) return;
    }
}

}  // namespace
}  // namespace flaxdoor::core::test
