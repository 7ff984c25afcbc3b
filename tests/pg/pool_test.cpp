// The connection pool: which attempt gets which connection in random sequences of events, and its limits one
// by one.
#include "pg/pool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace flaxdoor::pg {
namespace {

using namespace std::chrono_literals;
using Kind = PoolAction::Kind;
constexpr Time start = 1000s;

core::AttemptKey key(core::CallId call) { return {call, 0}; }

std::vector<PoolAction> pull_all(Pool& pool) {
    std::vector<PoolAction> actions;
    while (auto action = pool.next()) actions.push_back(std::move(*action));
    return actions;
}

TEST(Pool, OpensConnectionsUpToTheLimitAndReusesThemInOrder) {
    LoginGate gate(10);
    Pool pool(gate, {.connections = 2});
    pool.set_server(1, "x", true);
    for (core::CallId i = 1; i <= 4; ++i) pool.request_connection(key(i), 1, "u", start);
    auto actions = pull_all(pool);
    ASSERT_EQ(actions.size(), 2u);
    EXPECT_EQ(actions[0].kind, Kind::open);
    pool.on_login(actions[0].connection, LoginResult::succeeded, start);
    const auto linked = pull_all(pool);
    ASSERT_EQ(linked.size(), 1u);
    EXPECT_EQ(linked[0].attempt, key(1));
    pool.on_free(linked[0].connection, start);
    EXPECT_EQ(pull_all(pool).at(0).attempt, key(2));
}

TEST(Pool, AllPoolsShareTheLoginGate) {
    LoginGate gate(2);
    Pool a(gate, {}), b(gate, {});
    a.set_server(1, "x", true);
    b.set_server(7, "x", true);
    for (core::CallId i = 1; i <= 5; ++i) a.request_connection(key(i), 1, "u", start);
    b.request_connection(key(6), 7, "u", start);
    const auto opened = pull_all(a);
    EXPECT_EQ(opened.size(), 2u);
    EXPECT_EQ(pull_all(b).size(), 0u);
    a.on_login(opened[0].connection, LoginResult::unreachable, start);
    b.on_gate();
    EXPECT_EQ(pull_all(b).size(), 1u);
}

TEST(Pool, UnreachableServerEndsWaitingAttempts) {
    LoginGate gate(1);
    Pool pool(gate, {});
    pool.set_server(1, "x", true);
    for (core::CallId i = 1; i <= 3; ++i) pool.request_connection(key(i), 1, "u", start);
    pool.on_login(pull_all(pool).at(0).connection, LoginResult::unreachable, start);
    const auto actions = pull_all(pool);
    ASSERT_EQ(actions.size(), 3u);
    for (const auto& action : actions) {
        EXPECT_EQ(action.kind, Kind::end);
        EXPECT_EQ(action.outcome, Outcome::connect_failed);
    }
}

TEST(Pool, LocalFailureIsNoFailureOfTheServer) {
    LoginGate gate(4);
    Pool pool(gate, {.login_again = 1s});
    pool.set_server(1, "x", true);
    pool.request_connection(key(1), 1, "u", start);
    pool.on_login(pull_all(pool).at(0).connection, LoginResult::local_failure, start);
    EXPECT_EQ(pull_all(pool).at(0).outcome, Outcome::inconclusive);
}

TEST(Pool, DrainClosesIdleConnectionsAndRejectsAttempts) {
    LoginGate gate(4);
    Pool pool(gate, {});
    pool.set_server(1, "x", true);
    pool.request_connection(key(1), 1, "u", start);
    const ConnectionId connection = pull_all(pool).at(0).connection;
    pool.on_login(connection, LoginResult::succeeded, start);
    (void)pull_all(pool);
    pool.set_server(1, "x", false);
    pool.request_connection(key(2), 1, "u", start);
    const auto actions = pull_all(pool);
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_EQ(actions[0].outcome, Outcome::inconclusive);
    pool.on_free(connection, start);
    EXPECT_EQ(pull_all(pool).at(0).kind, Kind::close);
}

TEST(Pool, IdleAndOldConnectionsAreClosed) {
    LoginGate gate(4);
    Pool pool(gate, {.idle = 10s, .age = 100s});
    pool.set_server(1, "x", true);
    pool.request_connection(key(1), 1, "u", start);
    const ConnectionId connection = pull_all(pool).at(0).connection;
    pool.on_login(connection, LoginResult::succeeded, start);
    (void)pull_all(pool);
    pool.on_free(connection, start + 1s);
    EXPECT_EQ(pool.next_time(), start + 11s);
    pool.on_time(start + 10s);
    EXPECT_TRUE(pull_all(pool).empty());
    pool.on_time(start + 11s);
    EXPECT_EQ(pull_all(pool).at(0).kind, Kind::close);
    pool.request_connection(key(2), 1, "u", start + 20s);
    const ConnectionId second = pull_all(pool).at(0).connection;
    pool.on_login(second, LoginResult::succeeded, start + 20s);
    (void)pull_all(pool);
    pool.on_free(second, start + 121s);
    EXPECT_EQ(pull_all(pool).at(0).kind, Kind::close);
}

TEST(Pool, RejectedLoginIsRetriedAfterBackoff) {
    LoginGate gate(4);
    Pool pool(gate, {.login_again = 1s});
    pool.set_server(1, "x", true);
    pool.request_connection(key(1), 1, "u", start);
    const ConnectionId up = pull_all(pool).at(0).connection;
    pool.on_login(up, LoginResult::succeeded, start);
    (void)pull_all(pool);
    pool.request_connection(key(2), 1, "u", start);
    pool.on_login(pull_all(pool).at(0).connection, LoginResult::full, start);
    EXPECT_TRUE(pull_all(pool).empty()) << "the attempt waits for the existing connection";
    pool.on_gate();
    EXPECT_TRUE(pull_all(pool).empty());
    EXPECT_EQ(pool.next_time(), start + 1s);
    pool.on_time(start + 1s);
    EXPECT_EQ(pull_all(pool).at(0).kind, Kind::open);
}

// In random sequences of events, each attempt ends with exactly one link or one end, no connection serves two
// attempts at once, and the limits hold.
TEST(Pool, RandomEvents) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE(seed);
        std::uint64_t state = seed;
        const auto random = [&](std::uint64_t below) {
            state = state * 6364136223846793005ull + 1442695040888963407ull;
            return (state >> 33) % below;
        };
        LoginGate gate(3);
        const PoolLimits limits{
            .connections = 4, .line = 8, .wait = 2s, .idle = 5s, .login_again = 1s, .age = 20s};
        Pool pool(gate, limits);
        Time now = start;
        std::set<core::AttemptKey> waiting;
        std::set<ConnectionId> opening, busy, idle;
        std::map<ConnectionId, UpstreamId> at;
        core::CallId last = 0;
        for (UpstreamId id = 1; id <= 3; ++id) pool.set_server(id, "s" + std::to_string(id), true);
        const auto pull = [&] {
            while (const auto action = pool.next()) {
                switch (action->kind) {
                    case Kind::open:
                        ASSERT_TRUE(opening.insert(action->connection).second);
                        at[action->connection] = action->upstream;
                        break;
                    case Kind::link:
                        ASSERT_EQ(waiting.erase(action->attempt), 1u);
                        ASSERT_EQ(idle.erase(action->connection), 1u)
                            << "a connection was assigned that is not idle";
                        busy.insert(action->connection);
                        break;
                    case Kind::close:
                        ASSERT_EQ(idle.erase(action->connection) + busy.erase(action->connection), 1u);
                        break;
                    case Kind::end: ASSERT_EQ(waiting.erase(action->attempt), 1u); break;
                }
            }
        };
        const auto pick = [&](const std::set<ConnectionId>& from) {
            return *std::next(from.begin(), static_cast<long>(random(from.size())));
        };
        for (int step = 0; step < 500; ++step) {
            now += Micros(random(300'000));
            switch (random(9)) {
                case 0:
                case 1:
                case 2:
                    waiting.insert(key(++last));
                    pool.request_connection(key(last), 1 + random(4), random(2) ? "u" : "v", now);
                    break;
                case 3:
                    if (!opening.empty()) {
                        const ConnectionId connection = pick(opening);
                        opening.erase(connection);
                        const auto end = static_cast<LoginResult>(random(3));
                        if (end == LoginResult::succeeded) idle.insert(connection);
                        pool.on_login(connection, end, now);
                    }
                    break;
                case 4:
                    if (!busy.empty()) {
                        const ConnectionId connection = pick(busy);
                        busy.erase(connection);
                        idle.insert(connection);
                        pool.on_free(connection, now);
                    }
                    break;
                case 5: {
                    auto& from = random(2) ? busy : idle;
                    if (!from.empty()) {
                        const ConnectionId connection = pick(from);
                        from.erase(connection);
                        pool.on_closed(connection);
                    }
                    break;
                }
                case 6: pool.set_server(1 + random(3), "s" + std::to_string(random(4)), random(4) > 0); break;
                case 7: pool.on_time(now); break;
                default:
                    if (!waiting.empty() && pool.cancel_request(*waiting.begin()))
                        waiting.erase(waiting.begin());
            }
            pull();
            if (HasFatalFailure()) return;
            std::map<UpstreamId, std::size_t> count;
            for (const auto* links : {&opening, &busy, &idle}) {
                for (const ConnectionId connection : *links) ++count[at[connection]];
            }
            for (const auto& [upstream, n] : count)
                ASSERT_LE(n, 2 * limits.connections);  // there are two users
            ASSERT_EQ(pool.waiting(), waiting.size());
            ASSERT_EQ(pool.links(), opening.size() + busy.size() + idle.size());
        }
    }
}

}  // namespace
}  // namespace flaxdoor::pg
