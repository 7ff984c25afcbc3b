// Connections of one database to its PostgreSQL servers. Receives attempts from the core and assigns them to
// server connections as pg::Pool decides.
//
// Threading: the loop's thread only.
// Ownership: all references passed in are borrowed and must outlive the object.
// Life:      client sessions must be destroyed, or have released their server connections, before the object
//            is destroyed.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/core.h"
#include "core/latency_floor.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "pg/pool.h"
#include "pg/scram.h"
#include "pg/server_machine.h"
#include "tls/tls.h"

namespace flaxdoor::pg {

enum class Role : std::uint8_t { any, primary, replica };

// Counts the connections to servers that are open in the process, including those for cancel requests.
struct ServerBudget {
    std::size_t most = 0;
    std::size_t open = 0;
};

struct ServerConnectionPoolOptions {
    std::string database;  // database name that is sent to the servers
    Role role = Role::any;
    PoolLimits pool;
    ServerOptions::Tls tls = ServerOptions::Tls::off;
    std::shared_ptr<const tls::Context> context;  // null: no TLS
    std::map<UpstreamId, std::string> names;      // name that each server's certificate must carry
    Micros login_limit = std::chrono::seconds(10);
    Micros cancel_limit = std::chrono::seconds(5);  // until a cancelled query must have ended
    Micros drain_limit = std::chrono::minutes(1);   // until a draining server's open transactions are ended
    // Shorter latencies are reported to the policy module as this value. The work of units differs by a
    // factor of up to a thousand, so that a very short latency says nothing about a server's load. See
    // core::latency_floor().
    Micros latency_floor{};
    std::size_t max_prepared = 200;
    std::size_t max_message = 16 << 20;
};

// Passwords by user name, shared by all databases.
using Secrets = std::map<std::string, ScramSecret>;

class ServerConnectionPool final : public core::UpstreamConnectionPool {
public:
    ServerConnectionPool(const loop::Executor& executor, core::Core& core, const loop::Clock& clock,
                         LoginGate& gate, ServerBudget& budget, Secrets& secrets,
                         ServerConnectionPoolOptions options);
    ~ServerConnectionPool() override;

    void set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) override;
    void remove_upstream(UpstreamId upstream) override;
    void send(core::Attempt attempt) override;
    void cancel(core::AttemptKey attempt) override;
    void expire(core::AttemptKey attempt) override;
    void close_idle(UpstreamId upstream) override;

    void set_options(ServerConnectionPoolOptions options);
    // A login of any database has ended, so that LoginGate may admit another one.
    void on_gate();
    // `call` runs whenever a login of this database has ended.
    void on_login_end(std::function<void()> call);

    // `call` runs with false when a listed server turns out to have the wrong role. It runs with true when
    // the server may have the right role again: the server has reported it, or no connection is left on which
    // it could. Until then, one connection to the server stays open to receive that report.
    void on_role(std::function<void(UpstreamId, bool right)> call);

    // Returns the parameters that a server reported at the latest login; null before the first login.
    const std::map<std::string, ServerMachine::Reported>* parameters() const;
    // Returns why the latest login failed; empty if it succeeded.
    const std::string& login_error() const;
    std::size_t links() const;
    std::size_t waiting() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::pg
