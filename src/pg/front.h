// The core's front for PostgreSQL: a listener, and the clients behind it.
//
// Threading: the loop's one.   Ownership: core and backs are borrowed and outlive it.
// Bounds:    clients, those of one user or database, those not logged in yet, each one's bytes and time.
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
#include "pg/back.h"
#include "pg/client_machine.h"
#include "pg/session.h"

namespace flaxdoor::pg {

constexpr int unsafe_class = 0, safe_class = 1;  // of each pool's settings

struct FrontDatabase {
    core::PoolId pool = 0;
    Back* back = nullptr;
    SessionOptions session;
    Micros deadline{};
    std::size_t line = 1000;  // units that may wait for the module to have room
    Micros line_wait = std::chrono::seconds(10);
    std::size_t clients_most = 0;  // 0: no limit of its own
    bool safe = false;             // by the operator's word: its units may be repeated
};

struct FrontUser {
    Authentication::Kind kind = Authentication::Kind::scram;
    ScramVerifier verifier;
    std::size_t clients_most = 0;
    bool safe = false;
};

struct FrontLimits {
    std::size_t clients = 1000;
    std::size_t strangers = 100;  // of them, connections that have not logged in
    Micros login = std::chrono::seconds(10);
    Micros message = std::chrono::seconds(30);           // from a message's first byte to its last
    Micros idle_transaction = std::chrono::minutes(10);  // zero: no limit
    std::size_t message_most = 16 << 20;
};

struct FrontOptions {
    FrontLimits limits;
    std::shared_ptr<const tls::Context> context;  // null: no TLS
    bool tls_required = false;
    std::map<std::string, std::shared_ptr<const FrontDatabase>> databases;
    std::map<std::string, FrontUser> users;
    std::set<std::string> ignored_settings;   // of a start-up packet, in lower case
    std::set<std::string> safe_applications;  // application names whose units may be repeated
    bool client_says_safe = false;            // whether the start-up setting flaxdoor.effect is heeded
};

struct FrontFigures {
    std::size_t connections = 0, sessions = 0;
    std::uint64_t units = 0;  // that were handed to the core
};

class Front final : public core::Front {
public:
    Front(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, FrontOptions options);
    ~Front() override;

    // Throws boost::system::system_error when the address can't be listened on.
    void listen(const loop::tcp::endpoint& address);
    loop::tcp::endpoint address() const;
    void set_options(FrontOptions options);

    // Takes no more connections; ends clients as they come to rest.
    void begin_drain();
    // Some client is still at work.
    bool busy() const;
    // Ends all that are left.
    void stop();

    void on_started(std::uint64_t token, std::unique_ptr<core::Payload> head) override;
    void on_final(std::uint64_t token, core::Final answer) override;

    FrontFigures figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::pg
