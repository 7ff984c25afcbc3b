// Assigns server connections to attempts: tracks the connections to the servers of one database, the attempts
// that wait for one, and the logins in progress. The pool only decides; the owner pulls the resulting actions
// by next() and performs them. No I/O; time is an argument.
//
// Threading: one thread at a time.
// Ownership: the gate is borrowed and shared by all pools of the process.
// Fairness:  attempts that wait for a connection of one user at one server are served first come, first
//            served. The idle connection that was used last is reused first, so that the others reach their
//            idle limit and are closed.
// Bounds:    PoolLimits; an attempt beyond them ends as `full`, and the policy module decides what follows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call.h"

namespace flaxdoor::pg {

using ConnectionId = std::uint64_t;

// Limits the concurrent logins to each address over all pools, so that a restarted server is not overloaded
// by logins.
class LoginGate {
public:
    explicit LoginGate(std::size_t max) : max_(max) {}
    [[nodiscard]] bool begin(const std::string& address) {
        std::size_t& count = in_progress_[address];
        if (count >= max_) return false;
        ++count;
        return true;
    }
    void end(const std::string& address) {
        const auto found = in_progress_.find(address);
        if (found != in_progress_.end() && --found->second == 0) in_progress_.erase(found);
    }
    void set_max(std::size_t max) { max_ = max; }

private:
    std::size_t max_;
    std::unordered_map<std::string, std::size_t> in_progress_;
};

struct PoolLimits {
    std::size_t connections = 20;  // to one server for one user
    std::size_t line = 1000;       // attempts that wait at one server for a connection of one user
    Micros wait = std::chrono::seconds(10);
    Micros idle = std::chrono::minutes(10);  // an idle connection is closed after this time
    // No login is tried for this time after one failed for lack of server connections or local resources.
    Micros login_again = std::chrono::seconds(1);
    Micros age = std::chrono::hours(1);  // an older connection is closed when it becomes idle
};

enum class LoginResult : std::uint8_t {
    succeeded,
    unreachable,    // the server can't be reached, or is starting up or shutting down
    full,           // the server is up and accepts no more connections
    local_failure,  // this process lacks descriptors or ports; says nothing about the server
    reserved,       // the login succeeded; the connection stays out of the pool until on_free()
};

struct PoolAction {
    enum class Kind : std::uint8_t { link, open, close, end };
    Kind kind = Kind::link;
    ConnectionId connection = 0;
    core::AttemptKey attempt{};
    UpstreamId upstream = 0;
    std::string user{};
    Outcome outcome = Outcome::inconclusive;  // of kind `end`
};

class Pool {
public:
    Pool(LoginGate& gate, PoolLimits limits) : gate_(gate), limits_(limits) {}

    void set_limits(PoolLimits limits) { limits_ = limits; }
    void set_server(UpstreamId upstream, const std::string& address, bool takes_work);
    void remove_server(UpstreamId upstream);
    void close_idle(UpstreamId upstream);

    // Queues an attempt for a connection of its user to the server.
    void request_connection(core::AttemptKey attempt, UpstreamId upstream, const std::string& user, Time now);
    // Removes a waiting attempt. Returns false if it was not waiting here.
    bool cancel_request(core::AttemptKey attempt);

    void on_login(ConnectionId connection, LoginResult result, Time now);
    // The connection serves no client any more and has no session state left.
    void on_free(ConnectionId connection, Time now);
    // The connection is closed, whatever its state was.
    void on_closed(ConnectionId connection);
    // Takes an idle connection out of the pool until on_free(), so that it is not closed with the idle ones.
    // Returns false if it is not idle.
    bool reserve(ConnectionId connection);
    // A login of any pool has ended: the gate may admit another one.
    void on_gate();
    void on_time(Time now);
    std::optional<Time> next_time() const;

    // Returns the connection that has been idle longest, to be closed when no further one may be opened.
    std::optional<ConnectionId> longest_idle() const;

    std::optional<PoolAction> next();

    std::size_t links() const { return connections_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    enum class State : std::uint8_t { logging_in, idle, busy };
    struct Server {
        std::string address;
        bool takes_work = true;
    };
    using UserPoolKey = std::pair<UpstreamId, std::string>;
    struct WaitingAttempt {
        core::AttemptKey attempt;
        Time until{};
    };
    struct UserPool {
        std::list<WaitingAttempt> queue;
        std::vector<ConnectionId> idle;  // the most recently used one is last
        std::size_t total = 0, logging_in = 0;
        Time login_backoff_until{};  // the server rejected a login: no further login before this time
    };
    struct Connection {
        UserPoolKey key;
        std::string address;
        State state = State::logging_in;
        Time idle_since{}, logged_in_at{};
    };

    void serve(const UserPoolKey& key, UserPool& user_pool);
    void end_waiting(UserPool& user_pool, Outcome outcome, std::size_t count);
    void remove_connection(ConnectionId id);
    void remove_if_unused(const UserPoolKey& key);
    bool takes_work(const Connection& connection) const;

    LoginGate& gate_;
    PoolLimits limits_;
    std::unordered_map<UpstreamId, Server> servers_;
    std::map<UserPoolKey, UserPool> user_pools_;
    std::unordered_map<ConnectionId, Connection> connections_;
    std::map<core::AttemptKey, std::pair<UserPoolKey, std::list<WaitingAttempt>::iterator>> waiting_;
    std::deque<PoolAction> actions_;
    ConnectionId last_id_ = 0;
    Time now_{};
};

}  // namespace flaxdoor::pg
