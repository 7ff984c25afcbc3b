// PostgreSQL service of the balancer: one listener, and for each database a pool of the core with its server
// connections.
//
// Threading: the loop's thread only.
// Ownership: core, clock and log are borrowed and must outlive the object.
// Errors:    the constructor throws std::invalid_argument if a pool's settings contradict each other, and
//            boost::system::system_error if the address can't be listened on.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "loop/sockets.h"
#include "pg/alarms.h"
#include "pg/listener.h"
#include "pg/server_connection_pool.h"

namespace flaxdoor::pg {

struct DatabaseOptions {
    std::string name;  // database name that clients request
    Settings settings;
    ServerConnectionPoolOptions back;
    ListenerDatabase front;  // pool and back are set by Service
    std::vector<core::Member> members;
};

struct ServiceOptions {
    loop::tcp::endpoint listen;
    ListenerOptions front;  // databases are set by Service
    std::vector<DatabaseOptions> databases;
    Secrets secrets;
    std::size_t logins_at_once = 4;  // maximum number of concurrent logins at one server, over all pools
    std::size_t max_servers = 1000;  // maximum number of connections to servers
    std::uint64_t seed = 0;
    Micros role_again = std::chrono::seconds(1);  // until a server of the wrong role is listed again
};

class Service {
public:
    Service(const loop::Executor& executor, core::Core& core, const loop::Clock& clock,
            ServiceOptions options, overload::MemoryBudget* memory = nullptr);
    // Ends all clients with an error.
    ~Service();

    loop::tcp::endpoint address() const { return front_->address(); }
    // Applies servers, limits, users and files. Adding or removing a database takes effect at a restart.
    void change(ServiceOptions options);

    void begin_drain() { front_->begin_drain(); }
    bool busy() const { return front_->busy(); }
    void stop() { front_->stop(); }

    ListenerStats figures() const { return front_->figures(); }
    std::size_t links() const { return budget_.open; }
    Micros longest_deadline() const { return longest_deadline_; }

private:
    struct Database {
        core::PoolId pool = 0;
        std::unique_ptr<ServerConnectionPool> back;
        std::uint64_t version = 0;
        std::vector<core::Member> members;
        // Those of `members` that have reported another role; the timer lists each again.
        std::map<UpstreamId, std::unique_ptr<TimerSet::Timer>> wrong_role;
    };

    void add_to_listener(ListenerOptions& front, DatabaseOptions& options, Database& database);
    void publish_members(Database& database);
    void on_role(Database& database, UpstreamId upstream, bool right);
    void relist(Database& database, UpstreamId upstream);

    core::Core& core_;
    TimerSet timers_;
    LoginGate gate_;
    ServerBudget budget_;
    Micros longest_deadline_{};
    Micros role_again_{};
    Secrets secrets_;
    std::map<std::string, Database> databases_;
    std::unique_ptr<Listener> front_;
};

}  // namespace flaxdoor::pg
