// The core's back for one database: connections to its servers, given to units as the pool decides.
//
// Threading: the loop's one.   Ownership: all that is handed in is borrowed and outlives it.
// Life:      units must be gone, or have left, before it is destroyed.
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

// Connections to servers that are open in the process, cancels among them.
struct ServerBudget {
    std::size_t most = 0;
    std::size_t open = 0;
};

struct BackOptions {
    std::string database;  // its name at the servers
    Role role = Role::any;
    PoolLimits pool;
    ServerOptions::Tls tls = ServerOptions::Tls::off;
    std::shared_ptr<const tls::Context> context;  // null: no TLS
    std::map<UpstreamId, std::string> names;      // by which a server's certificate is known
    Micros login_limit = std::chrono::seconds(10);
    Micros cancel_limit = std::chrono::seconds(5);  // until what was told to stop has stopped
    Micros drain_limit = std::chrono::minutes(1);   // what is open at a server that drains
    // Answers that begin sooner than this are told to the module as this late: units differ a thousandfold in
    // their work, and what is that short says nothing of a crowd. See core::latency_floor().
    Micros latency_floor{};
    std::size_t prepared_most = 200;
    std::size_t message_most = 16 << 20;
};

// Passwords by user, shared by all databases.
using Secrets = std::map<std::string, ScramSecret>;

class Back final : public core::Back {
public:
    Back(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, LoginGate& gate,
         ServerBudget& budget, Secrets& secrets, BackOptions options);
    ~Back() override;

    void set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) override;
    void remove_upstream(UpstreamId upstream) override;
    void send(core::Attempt attempt) override;
    void cancel(core::AttemptKey attempt) override;
    void expire(core::AttemptKey attempt) override;
    void close_idle(UpstreamId upstream) override;

    void set_options(BackOptions options);
    // A login somewhere has ended.
    void on_gate();
    // Called when one ends here.
    void on_login_end(std::function<void()> call);

    // Called when a server that is listed turns out to have the wrong role, and when it may have the right
    // one again: it has said so, or nobody listens any more. Until then one connection to it is kept to hear
    // that.
    void on_role(std::function<void(UpstreamId, bool right)> call);

    // What a server said of itself last; null before that.
    const std::map<std::string, ServerMachine::Reported>* parameters() const;
    // Why the last login failed; empty: it did not.
    const std::string& login_error() const;
    std::size_t links() const;
    std::size_t waiting() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::pg
