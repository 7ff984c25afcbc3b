// What the core needs of the world, handed in as small interfaces so that all of it runs under virtual time.
//
// Threading:   everything here is called on the core's one thread.
// Ownership:   all are borrowed, and must outlive the core (a Back or Source: its pool).
// Re-entrancy: each may call the core from within; what it reports waits its turn in the core's queue. None
//              may destroy the core or throw for what the world does. One that throws (no memory) has done
//              nothing.
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

// One alarm: the latest set() counts. When its time has come, Core::on_alarm is called, once, never from
// within.
class Alarm {
public:
    virtual ~Alarm() = default;
    virtual void set(Time at) = 0;
};

class Log {
public:
    virtual ~Log() = default;
    // As many values as the event has fields; what they borrow is there for the call.
    virtual void event(const Event& event, std::span<const Value> values) = 0;

    template <std::size_t N, class... Values>
    requires(sizeof...(Values) == N) void tell(const EventOf<N>& kind, const Values&... values) {
        const std::array<Value, N> all{Value(values)...};
        event(kind, all);
    }
};

// Whoever hands in calls. `token` is what it gave with the call; nothing comes for a call that it has left.
class Front {
public:
    virtual ~Front() = default;
    // The call's first byte is about to go out: from now on it may have run until the contrary is known. Once
    // for each call. False when it is not wanted any more: then none does.
    virtual bool on_sending(std::uint64_t) { return true; }
    // The answer's first bytes: from now on the attempt is the client's, and nothing is sent elsewhere.
    virtual void on_started(std::uint64_t token, std::unique_ptr<Payload> head) = 0;
    // Exactly once for each call taken; may come while Core::take is on the stack.
    virtual void on_final(std::uint64_t token, Final answer) = 0;
};

// Runs attempts of one pool. Each one sent ends in exactly one Core::on_attempt_end, which may come from
// within.
class Back {
public:
    virtual ~Back() = default;
    // What is known of an upstream: where it is, and whether it takes new work. A connection that comes up
    // after it was told to take none carries nothing: its attempt ends as moot.
    virtual void set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) = 0;
    // What is under way there ends by itself; nothing is kept, nothing new begins.
    virtual void remove_upstream(UpstreamId upstream) = 0;
    virtual void send(Attempt attempt) = 0;
    // Told once at most, also for one whose end is on its way. Ends it as cancelled, now or later; nothing of
    // it begins from now on.
    virtual void cancel(AttemptKey attempt) = 0;
    // Its time is up: ends it as a time-out, as never sent, or as answered if the answer turns out to be
    // there. Should end it from within: after a stall the last guard may be due right behind it. Told again
    // if it throws.
    virtual void expire(AttemptKey attempt) = 0;
    // Also of one that was just removed.
    virtual void close_idle(UpstreamId upstream) = 0;
};

// Where a pool's lists come from: each is handed to Core::on_list. The module asks for it through the core.
class Source {
public:
    virtual ~Source() = default;
    virtual void watch() = 0;
    virtual void unwatch() = 0;
    virtual void fetch() = 0;
    // Hands in at once what has come and is not read yet. Called ahead of work that may have waited here.
    virtual void catch_up() {}
};

}  // namespace flaxdoor::core
