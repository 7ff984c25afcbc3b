// The interfaces through which the core reaches its environment. Implementations with virtual time let the
// whole core run under virtual time.
//
// Threading:   all functions are called on the core's one thread.
// Ownership:   all objects are borrowed and must outlive the core (an UpstreamConnectionPool or Source: its
//              pool).
// Re-entrancy: each function may call the core from within; what it reports waits in the core's queue. None
//              may destroy the core, or throw because of outside events. One that throws (out of memory) must
//              have had no effect.
#pragma once

#include <array>
#include <span>
#include <string_view>

#include "core/call.h"
#include "core/event.h"

namespace flaxdoor::core {

class Clock {
public:
    virtual ~Clock() = default;
    virtual Time now() const = 0;
};

// A single alarm: the latest set() replaces those before it. At its time the alarm calls Core::on_alarm
// once, never from within set().
class Alarm {
public:
    virtual ~Alarm() = default;
    virtual void set(Time at) = 0;
};

class Log {
public:
    virtual ~Log() = default;
    // Requires as many values as the event has fields. The values borrow their texts for the duration of the
    // call.
    virtual void event(const Event& event, std::span<const Value> values) = 0;

    template <std::size_t N, class... Values>
    requires(sizeof...(Values) == N) void write(const EventOf<N>& kind, const Values&... values) {
        const std::array<Value, N> all{Value(values)...};
        event(kind, all);
    }
};

// The client side: hands in calls and receives their answers. `token` is the value that it gave with the
// call. No function is called for a call that it has abandoned.
class Downstream {
public:
    virtual ~Downstream() = default;
    // Called once for each call, before its first byte is sent: from then on the call may have executed until
    // the contrary is known. Returns false if the call is no longer wanted: then nothing is sent.
    virtual bool on_sending(std::uint64_t) { return true; }
    // Receives the answer's first bytes. From then on the attempt's answer goes to the client, and nothing is
    // sent to another upstream.
    virtual void on_started(std::uint64_t token, std::unique_ptr<Payload> head) = 0;
    // Called exactly once for each accepted call, possibly while Core::accept_call is on the stack.
    virtual void on_final(std::uint64_t token, FinalAnswer answer) = 0;
};

// The upstream side: runs the attempts of one pool. Each attempt that was sent ends in exactly one
// Core::on_attempt_end, which may be called from within.
class UpstreamConnectionPool {
public:
    virtual ~UpstreamConnectionPool() = default;
    // Sets an upstream's address, and whether the upstream accepts new attempts. A connection that is
    // established after the upstream was set to accept none carries nothing: its attempt ends as
    // inconclusive.
    virtual void set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) = 0;
    // Attempts in flight at the upstream end by themselves. No connection is kept, and no attempt begins.
    virtual void remove_upstream(UpstreamId upstream) = 0;
    virtual void send(Attempt attempt) = 0;
    // Called at most once for an attempt, possibly while its end is already reported. Ends the attempt as
    // cancelled, now or later; no byte of an attempt that has not begun is sent after it.
    virtual void cancel(AttemptKey attempt) = 0;
    // Called when an attempt's time is up. Ends it as timed out, as never sent, or as answered if the answer
    // turns out to be there. Should end it from within: after a stall the deadline watchdog may be due right
    // after it. Called again if it throws.
    virtual void expire(AttemptKey attempt) = 0;
    // May name an upstream that was just removed.
    virtual void close_idle(UpstreamId upstream) = 0;
};

// The source of a pool's lists, which it hands to Core::on_list. The policy controls it through the core.
class Source {
public:
    virtual ~Source() = default;
    virtual void watch() = 0;
    virtual void unwatch() = 0;
    virtual void fetch() = 0;
    // Hands in at once the lists that were received and not read yet. Called before work that may have waited
    // in this process.
    virtual void deliver_pending() {}
};

}  // namespace flaxdoor::core
