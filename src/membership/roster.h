// The roster as a source of a pool's lists: the watch on changes and the call for the whole list, over
// sockets. Moves to another address without a gap.
//
// Threading: the loop's one thread.   Ownership: loop, log and sink are borrowed and outlive it.
// Errors:    what fails is told to the sink as a list of kind `failed`, and logged; nothing throws for the
//            network.
// Bounds:    two watches and one call at once; a call that has no answer, or a watch that is silent, for the time in
//            its limits has failed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "core/ports.h"
#include "loop/alive.h"
#include "loop/executor.h"
#include "membership/roster_machine.h"

namespace flaxdoor::membership {

struct RosterLimits {
    std::size_t line_most = RosterMachine::default_line_most;
    // Until a call's first news: it may have to wait its turn.
    Micros answer = std::chrono::seconds(4);
    // Between two lines of a watch, of which an empty one comes every 2 s: one missed, and half a turn of lateness.
    Micros silence = std::chrono::seconds(3);
};

class Roster final : public core::Source {
public:
    using Sink = std::function<void(core::MemberList)>;

    // `pushed`: lists come without being asked for, from an agent that costs nothing, and what it has counts as told
    // whether or not a watch is open: one that fails is begun again here, at once if it lasted for 0.1 s. Those that
    // never speak begin at gaps that double up to 1 s (drawn from `seed`, between the half and the whole).
    Roster(const loop::Executor& loop, core::Log& log, boost::asio::ip::tcp::endpoint address,
           ListNames names, bool pushed, std::uint64_t seed, Sink sink);
    ~Roster() override;

    void start_from(std::uint64_t version) { version_ = version; }
    void set_limits(const RosterLimits& limits) { limits_ = limits; }  // for calls from now on

    void watch() override;  // resumes after the last version heard; nothing while a watch is open
    void unwatch() override;
    void fetch() override;  // the whole list, once
    void catch_up() override;
    // From now on another service is asked. What was wanted of the old one is asked of the new one at once;
    // the old watch is heard until the new one speaks, and its end is no failure.
    void move_to(const boost::asio::ip::tcp::endpoint& address);
    void stop();

private:
    class Call;
    friend class Call;
    void hear(Call& call, RosterNews news);
    void ended(Call& call, const std::string& why, bool failed);

    loop::Executor loop_;
    core::Log& log_;
    boost::asio::ip::tcp::endpoint address_;
    const ListNames names_;
    const bool pushed_;
    std::uint64_t random_;
    const Sink sink_;
    RosterLimits limits_;
    std::uint64_t version_ = 0;
    bool heard_ = false;     // a list, since the start
    bool watching_ = false;  // a watch is wanted
    std::shared_ptr<Call> watch_;
    std::shared_ptr<Call> former_;  // the watch on the service before, until the new one speaks
    std::shared_ptr<Call> fetch_;
    Micros gap_{};  // from the start of a watch that failed to the next one's, where lists are pushed
    boost::asio::steady_timer again_;
    loop::Alive alive_;
};

}  // namespace flaxdoor::membership
