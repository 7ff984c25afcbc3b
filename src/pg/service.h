// All of PostgreSQL put together: a front, and for each database a pool of the core with its back.
//
// Threading: the loop's one.   Ownership: core, clock and log are borrowed and outlive it.
// Errors:    the constructor throws std::invalid_argument when a pool's settings contradict themselves, and
//            boost::system::system_error when the address can't be listened on.
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
#include "pg/back.h"
#include "pg/front.h"

namespace flaxdoor::pg {

struct DatabaseOptions {
    std::string name;  // as clients ask for it
    Settings settings;
    BackOptions back;
    FrontDatabase front;  // pool and back are filled in here
    std::vector<core::Member> members;
};

struct ServiceOptions {
    loop::tcp::endpoint listen;
    FrontOptions front;  // databases are filled in here
    std::vector<DatabaseOptions> databases;
    Secrets secrets;
    std::size_t logins_at_once = 4;   // at one server, over all pools
    std::size_t servers_most = 1000;  // connections to servers
    std::uint64_t seed = 0;
    Micros role_again = std::chrono::seconds(1);  // until a server of the wrong role is listed again
};

class Service {
public:
    Service(const loop::Executor& executor, core::Core& core, const loop::Clock& clock,
            ServiceOptions options);
    // Answers what is open.
    ~Service();

    loop::tcp::endpoint address() const { return front_->address(); }
    // Servers, limits, users and files; databases that come or go take a restart.
    void change(ServiceOptions options);

    void begin_drain() { front_->begin_drain(); }
    bool busy() const { return front_->busy(); }
    void stop() { front_->stop(); }

    FrontFigures figures() const { return front_->figures(); }
    std::size_t links() const { return budget_.open; }
    Micros longest_deadline() const { return longest_; }

private:
    struct Database {
        core::PoolId pool = 0;
        std::unique_ptr<Back> back;
        std::uint64_t version = 0;
        std::vector<core::Member> members;
        // Of these, those that have said to have another role, and when they are listed again.
        std::map<UpstreamId, std::unique_ptr<Alarms::One>> wrong;
    };

    void give_front(FrontOptions& front, DatabaseOptions& options, Database& database);
    void tell_members(Database& database);
    void on_role(Database& database, UpstreamId upstream, bool right);
    void list_again(Database& database, UpstreamId upstream);

    core::Core& core_;
    Alarms alarms_;
    LoginGate gate_;
    ServerBudget budget_;
    Micros longest_{};
    Micros role_again_{};
    Secrets secrets_;
    std::map<std::string, Database> databases_;
    std::unique_ptr<Front> front_;
};

}  // namespace flaxdoor::pg
