// What passes through the core: calls in, attempts out, what came of each, and final answers. Plain values;
// the core never opens a payload, so that a front and a back of any protocol can hand theirs through.
//
// Units:     Micros for spans, Time on the clock that the core was given (include/flaxdoor/decide.h).
// Ownership: a call's payload is shared by its attempts; an answer's payload goes to the front alone.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::core {

using CallId = RequestId;      // given by the core, never used again
using PoolId = std::uint32_t;  // the same: a pool made again under an old name has another one

// What a front hands to a back, or back. Both sides of a protocol know the type behind it.
class Payload {
public:
    virtual ~Payload() = default;
};

// Who a call is booked to. Numbers are places in the pool's Settings::tenants, so they are bounded; a name
// that is none of theirs is `unknown`, which never gains by that: all unknown ones share the smallest quota
// of the known.
struct Tenant {
    enum class Kind { none, known, unknown };
    Kind kind = Kind::none;
    int number = 0;  // of a known one
};

// Narrows what the module may do with a call: asked before each attempt that follows one which was begun.
// False ends the call at once: refused where nothing can have run, else failed.
class RetryGate {
public:
    virtual ~RetryGate() = default;
    virtual bool allow(Time now) = 0;
};

struct Call {
    PoolId pool = 0;
    int class_index = 0;  // in the pool's settings
    // Two calls of one name are never open at once, nor is one taken while an unsafe call of its name may
    // still run somewhere. Empty: the call has none.
    std::string name;
    Tenant tenant;
    std::uint64_t key = 0;  // zero: none
    // How long the client waits, from `received`. Zero: it does not say; the operator's limit counts instead.
    Micros budget{};
    Time received{};  // when the whole call was there; zero: now
    // Of the budget, what passes unseen on the ways to this front and back. The module gets what is left, and
    // the last guard answers with half of this to go.
    Micros unseen{};
    // How long the answer may go on after its first bytes, where it belongs to the client; zero: no limit.
    Micros started_limit{};
    std::optional<Micros> cost_hint;
    bool client_retry = false;
    bool write = false;
    std::optional<UpstreamId> pinned;    // served there or nowhere
    Micros attempt_limit{};              // of one attempt, where the module allows it more; zero: none
    std::shared_ptr<RetryGate> retries;  // null: whatever the module wants
    std::shared_ptr<Payload> payload;
};

enum class Verdict { served, refused, failed };

// Why a call was not served, for a front to word in its own protocol.
enum class Cause {
    none,           // served
    no_room,        // refused by the module with nothing sent: nobody had room in time
    over_budget,    // refused by the core's admission: nothing was sent, or what was sent never ran
    turned_away,    // every attempt was turned away or never got through
    timed_out,      // the last attempt got no answer in its time
    broken,         // the last attempt's connection broke after the request was whole
    error,          // the last attempt's answer was an error, or spoilt
    broken_off,     // the answer broke off after its first bytes
    overdue,        // the last guard: nothing had answered it by its time
    own_shortage,   // this program's own want: descriptors, ports, memory
    pool_removed,   // its pool went while it was open
    shutting_down,  // not taken: the core is closed
    fault,          // an error of this program
};
const char* text_of(Cause cause);

// The one final answer of a call.
struct Final {
    Verdict verdict = Verdict::failed;
    Cause cause = Cause::none;
    Micros retry_after{};       // refused: when to come back; zero: no advice
    bool may_have_run = false;  // refused: only where a repeat is harmless; failed: unknown counts as true
    std::unique_ptr<Payload> answer;  // served: what the back brought; null where it has all been streamed
};

struct AttemptKey {
    CallId call = 0;
    int number = 0;  // from 0, in the order of sending, without gaps
    auto operator<=>(const AttemptKey&) const = default;
};

struct Attempt {
    AttemptKey key;
    UpstreamId upstream = 0;
    Time expires{};  // the core says when it has come, by Back::expire
    std::shared_ptr<Payload> payload;
};

// What came of an attempt. `Outcome::moot` is also what ends one for this program's own want (`own_fault`):
// it never ran and says nothing of the upstream.
struct AttemptResult {
    AttemptKey key;
    Outcome outcome = Outcome::moot;
    bool own_fault = false;
    bool whole = false;  // its last byte was handed over: tells whether one that was cancelled may have run
    Micros latency{};
    Report report;
    std::unique_ptr<Payload> answer;  // of an outcome `ok`
};

// One server of a pool, as a source names it.
struct Member {
    UpstreamEntry entry;
    std::string name;     // for people; the id in `entry` is drawn from it
    std::string address;  // compared as text: one server must be written in one way
};

// A whole list, or changes to the last one; `cached` for one that may be old. A `failed` one has no members
// and says that the source could not be heard.
struct MemberList {
    ListKind kind = ListKind::full;
    std::uint64_t version = 0;
    Micros age{};  // how old it was known to be when it was handed in
    std::vector<Member> members;
};

}  // namespace flaxdoor::core
