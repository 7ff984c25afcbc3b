// The core: hosts one policy (Policy) for each pool, for any protocol on the client side and the upstream
// side. It owns the open calls, the numbers, deadlines and watchdogs of their attempts, the queue of events
// and actions, and the state that pools share by address. It makes none of the policy's decisions: it never
// delays an attempt.
//
// Time:        read from the Clock at each event; it never goes back.
// Threading:   not thread-safe: all functions and all ports are called on one thread.
// Ownership:   ports are borrowed and must outlive the core; a pool's UpstreamConnectionPool and Source must
//              outlive the pool.
// Re-entrancy: every function may be called from within any port. Events wait in a queue and are handled one
//              after another, each followed by the actions that it caused, in order. The stack does not grow
//              with them.
// Errors:      an exception from a port or the policy ends the event that met it, and never stops the queue.
//              It is logged as a fault, and the call concerned is answered.
// Answers:     each accepted call gets exactly one final answer by its deadline, unless it is abandoned. No
//              attempt is sent for it after that.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/admission.h"
#include "core/call.h"
#include "core/ports.h"

namespace flaxdoor::core {

struct Options {
    std::size_t open_calls = 0;  // maximum of unanswered calls; further ones are refused; 0: none
    Micros default_timeout = std::chrono::seconds(30);  // default timeout of a call whose client gives none
    // Whether calls of a tenant that is not in the settings are rejected. Otherwise all such tenants share
    // one quota.
    bool refuse_unknown_tenants = false;
    // How long the id of an unsafe call stays in use after the call ended in doubt: its end at the upstream
    // is unknown.
    Micros in_doubt_retention = std::chrono::seconds(10);
    std::size_t max_in_doubt = 4096;  // maximum of such ids; beyond it the oldest is dropped
    Admission* admission = nullptr;   // borrowed; null: only the policy decides
};

struct PoolOptions {
    std::string name;
    Settings settings;
    std::uint64_t seed = 0;
};

// The result of Core::accept_call.
enum class AcceptResult {
    accepted,
    no_pool,         // the pool does not exist or was removed
    bad_class,       // the pool's settings have no class of that number
    name_in_use,     // a call with that id is open, or may still be executing
    too_many,        // Options::open_calls are open: a retry is harmless
    shutting_down,   // close() was called: a retry elsewhere is harmless
    unknown_tenant,  // Options::refuse_unknown_tenants
};

// Counters since the start, and current sizes.
struct Stats {
    std::uint64_t accepted = 0, served = 0, refused = 0, failed = 0, abandoned = 0;
    std::uint64_t attempts = 0;          // handed to the upstream side
    std::uint64_t watchdog_answers = 0;  // calls that the deadline watchdog answered
    std::uint64_t faults = 0;            // events that met an error in this program
    std::size_t open = 0;                // calls that are not answered or have an attempt that has not ended
    std::size_t waiting = 0;             // open calls that are not answered
    std::size_t pools = 0, addresses = 0, timers = 0, in_doubt = 0;
};

class Core {
public:
    Core(const Clock& clock, Alarm& alarm, Log& log, Options options = {});
    // Open calls are not answered. For a graceful shutdown, see close() and Stats::open.
    ~Core();
    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;

    // ---------------------------------------------------------------------------------------------- pools
    // Throws std::invalid_argument, which names the setting, if the settings are inconsistent.
    [[nodiscard]] PoolId add_pool(PoolOptions options, UpstreamConnectionPool& back, Source* source);
    // Throws as add_pool() does, and changes nothing then. The policy keeps the state that still applies, and
    // calls that it has received keep their class.
    void change_pool(PoolId pool, const Settings& settings);
    // Answers all open calls of the pool at once: refused if a retry is harmless, otherwise failed. The
    // pool's UpstreamConnectionPool and Source are not called after this returns. When it is called from
    // within a port, they are not called after the outermost call into the core has returned.
    void remove_pool(PoolId pool);
    // Returns null if there is no such pool. The pointer is valid until the pool changes.
    const Settings* settings(PoolId pool) const;
    // Returns what the pool's policy has learned about an upstream, for the first list after a restart
    // (UpstreamEntry::restored).
    std::optional<LearnedState> learned_state(PoolId pool, UpstreamId upstream) const;

    // ---------------------------------------------------------------------------------------- client side
    // Accepts a call, or returns why not; in that case it has no other effect.
    [[nodiscard]] AcceptResult accept_call(Call call, Downstream& front, std::uint64_t token,
                                           CallId* id = nullptr);
    // Abandons a call whose client has gone: its Downstream is not called for it any more. Returns whether
    // the call may have executed.
    bool abandon_call(CallId call);
    // Returns whether a call with that id is open or may still be executing: accept_call() would return
    // name_in_use.
    bool is_name_in_use(const std::string& name);
    // Accepts no further calls. Open calls are answered as usual.
    void close();
    // Sets Options::default_timeout for further calls.
    void set_default_timeout(Micros limit);

    // -------------------------------------------------------------------------------------- upstream side
    // To be called before an attempt's first byte is handed to the socket, and again whenever the remaining
    // bytes had to wait. If it returns false, the bytes must not be sent, and the attempt must end as
    // inconclusive.
    bool on_attempt_sending(AttemptKey attempt);
    void on_attempt_started(AttemptKey attempt, Micros latency, std::unique_ptr<Payload> head);
    void on_attempt_end(AttemptResult result);

    // --------------------------------------------------------------------------------------------- sources
    void on_list(PoolId pool, MemberList list);
    // Applies the lists that the sources have received and not handed in yet, unless the core did so just
    // before. To be called before anything is sent that may have waited, so that after a stall the updates
    // that arrived meanwhile are applied first. The core does this itself for every accepted call, every end
    // of an attempt and every alarm.
    void apply_pending_lists();

    // ----------------------------------------------------------------------------------------------- alarm
    void on_alarm();

    Stats figures() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor::core
