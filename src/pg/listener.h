// Listener for PostgreSQL clients, and their sessions.
//
// Threading: the loop's thread only.
// Ownership: the core and the backs are borrowed and must outlive the object.
// Bounds:    the numbers of clients in all, per user, per database and before login; the buffered bytes and
//            the time of each client.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "loop/sockets.h"
#include "pg/client_machine.h"
#include "pg/server_connection_pool.h"
#include "pg/session.h"

namespace flaxdoor::pg {

constexpr int unsafe_class = 0, safe_class = 1;  // class indices of each pool's settings

struct ListenerDatabase {
    core::PoolId pool = 0;
    ServerConnectionPool* back = nullptr;
    SessionOptions session;
    Micros deadline{};
    std::size_t line = 1000;  // maximum number of units that wait for the policy module to admit them
    Micros line_wait = std::chrono::seconds(10);
    std::size_t max_clients = 0;  // 0: no limit for this database
    bool safe = false;            // configured by the operator: units of this database may be retried
};

struct ListenerUser {
    Authentication::Kind kind = Authentication::Kind::scram;
    ScramVerifier verifier;
    std::size_t max_clients = 0;
    bool safe = false;
};

struct ListenerLimits {
    std::size_t clients = 1000;
    // Maximum number of connections that have not logged in, in addition to `clients`.
    std::size_t strangers = 100;
    Micros login = std::chrono::seconds(10);
    Micros message = std::chrono::seconds(30);           // from the first byte of a message to its last byte
    Micros idle_transaction = std::chrono::minutes(10);  // zero: no limit
    std::size_t max_message = 16 << 20;
};

struct ListenerOptions {
    ListenerLimits limits;
    std::shared_ptr<const tls::Context> context;  // null: no TLS
    bool tls_required = false;
    std::map<std::string, std::shared_ptr<const ListenerDatabase>> databases;
    std::map<std::string, ListenerUser> users;
    std::set<std::string> ignored_settings;   // names of start-up settings that are ignored, in lower case
    std::set<std::string> safe_applications;  // application names whose units may be retried
    bool client_says_safe = false;            // whether the start-up setting flaxdoor.effect is applied
};

struct ListenerStats {
    std::size_t connections = 0, sessions = 0;
    std::uint64_t units = 0;      // units that were passed to the core
    std::uint64_t reclaimed = 0;  // clients that were ended because the memory budget was exceeded
};

class Listener final : public core::Downstream {
public:
    // `memory`: counts what the clients hold, and limits it together with all else that it counts; null: no limit.
    Listener(const loop::Executor& executor, core::Core& core, const loop::Clock& clock,
             ListenerOptions options, overload::MemoryBudget* memory = nullptr);
    ~Listener() override;

    // Throws boost::system::system_error if the address can't be listened on.
    void listen(const loop::tcp::endpoint& address);
    loop::tcp::endpoint address() const;
    void set_options(ListenerOptions options);

    // Accepts no more connections and ends each client once it is idle.
    void begin_drain();
    // Returns true while any client has an open unit.
    bool busy() const;
    // Ends all remaining clients.
    void stop();

    void on_started(std::uint64_t token, std::unique_ptr<core::Payload> head) override;
    void on_final(std::uint64_t token, core::FinalAnswer answer) override;

    ListenerStats figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::pg
