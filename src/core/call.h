// The values that pass through the core: calls, attempts, their results, final answers, and lists of pool
// members. The core never opens a payload, so that the client side and the upstream side can implement any
// protocol.
//
// Units:     Micros for durations, Time on the clock that the core was given (include/flaxdoor/decide.h).
// Ownership: a call's payload is shared by its attempts; an answer's payload is moved to the client side.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::core {

using CallId = RequestId;      // assigned by the core, never reused
using PoolId = std::uint32_t;  // assigned by the core, never reused: a pool added again has a new id

// A message of a protocol. The protocol's client side and upstream side know the concrete type.
class Payload {
public:
    virtual ~Payload() = default;
};

// The tenant that a call is accounted to. A number is an index into the pool's Settings::tenants, which
// bounds the numbers. All unknown tenants share the smallest quota of the known ones, so that a client gains
// nothing by a name that the settings do not have.
struct Tenant {
    enum class Kind { none, known, unknown };
    Kind kind = Kind::none;
    int number = 0;  // if known
};

// A limit on retries besides the policy's. The core asks it before each attempt that follows one whose
// sending has begun. When it returns false the call ends at once: refused if no attempt may have executed,
// otherwise failed.
class RetryAdmission {
public:
    virtual ~RetryAdmission() = default;
    virtual bool allow(Time now) = 0;
};

struct Call {
    PoolId pool = 0;
    int class_index = 0;  // in the pool's settings
    // The client's id of the call; empty if it has none. Two calls with one id are never open at once, and
    // none is accepted while an unsafe call with its id may still be executing at an upstream.
    std::string call_id;
    Tenant tenant;
    std::uint64_t key = 0;  // zero: none
    // How long the client waits, counted from `received`. Zero: the client does not say, and
    // Options::default_timeout applies.
    Micros budget{};
    Time received{};  // when the call was received completely; zero: now
    // The part of the budget that passes on the network, before the call is received and after it is
    // answered. The policy gets the rest as the deadline. If the call is not answered by then, the deadline
    // watchdog answers it when half of this part is left.
    Micros network_allowance{};
    // How long an answer may continue after its first bytes have been passed to the client; zero: no limit.
    Micros max_answer_duration{};
    std::optional<Micros> cost_hint;
    bool client_retry = false;
    bool write = false;
    std::optional<UpstreamId> pinned;  // the only upstream that may serve the call
    Micros attempt_limit{};            // upper bound on an attempt's timeout, beside the policy's; zero: none
    // Upper bound on a whole attempt, its answer included, unless CallPermits::remaining() allows more; zero: none.
    Micros whole_attempt_limit{};
    std::shared_ptr<RetryAdmission> retries;  // null: only the policy limits retries
    std::shared_ptr<Payload> payload;
};

enum class Verdict { served, refused, failed };

// Why a call was not served. The client side words it in its own protocol.
enum class Cause {
    none,         // served
    no_capacity,  // refused by the policy with nothing sent: no upstream had capacity in time
    over_budget,  // refused by the core's admission: nothing was sent, or nothing that was sent was executed
    rejected_by_upstreams,  // upstreams rejected every attempt, or could not be reached
    timed_out,              // the last attempt was not answered within its timeout
    broken,                 // the last attempt's connection broke after the request had been sent completely
    error,                  // the last attempt's answer was an error or malformed
    answer_truncated,       // the answer ended prematurely after its first bytes
    watchdog,               // answered by the deadline watchdog: nothing else had answered the call by then
    local_resources,        // this process lacks descriptors, ports or memory
    pool_removed,           // the pool was removed while the call was open
    shutting_down,          // not accepted: the core is closed
    fault,                  // an error in this program
};
// Returns a text for people, which the protocols may pass on to clients.
const char* text_of(Cause cause);

// The one final answer of a call.
struct FinalAnswer {
    Verdict verdict = Verdict::failed;
    Cause cause = Cause::none;
    Micros retry_after{};             // refused: when the client should retry; zero: no advice
    bool may_have_run = false;        // refused: set only if a retry is harmless; failed: also set if unknown
    std::unique_ptr<Payload> answer;  // served: the upstream's answer; null if all of it has been streamed
};

struct AttemptKey {
    CallId call = 0;
    int number = 0;  // from 0, in the order of sending, without gaps
    auto operator<=>(const AttemptKey&) const = default;
};

struct Attempt {
    AttemptKey key;
    UpstreamId upstream = 0;
    Time expires{};  // the core calls UpstreamConnectionPool::expire at this time
    std::shared_ptr<Payload> payload;
};

// The result of an attempt. `Outcome::inconclusive` also ends an attempt that this process had no resources
// for (`local_failure`): such an attempt was not executed, and its result says nothing about the upstream.
struct AttemptResult {
    AttemptKey key;
    Outcome outcome = Outcome::inconclusive;
    bool local_failure = false;
    // The request's last byte was handed to the socket: a cancelled attempt may have executed.
    bool fully_sent = false;
    Micros latency{};
    Report report;
    std::unique_ptr<Payload> answer;  // if the outcome is `ok`
};

// One server of a pool, as a source lists it.
struct Member {
    UpstreamEntry entry;
    std::string name;     // for people; the id in `entry` is derived from it
    std::string address;  // compared as text: a server's address must always be written in the same way
};

// A full list, or changes to the last one; `cached` marks a list that may be outdated. A `failed` one has no
// members and reports that the source could not be reached.
struct MemberList {
    ListKind kind = ListKind::full;
    std::uint64_t version = 0;
    Micros age{};  // the list's known age when it was handed in
    std::vector<Member> members;
};

}  // namespace flaxdoor::core
