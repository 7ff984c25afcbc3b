// The roster as a source of a pool's lists: the watch on changes and the call for the whole list, over
// sockets. Moves to another address without a gap.
//
// Threading: the loop's one thread.   Ownership: loop, log and sink are borrowed and outlive it.
// Errors:    what fails is told to the sink as a list of kind `failed`, and logged; nothing throws for the
//            network.
// Bounds:    two watches and one call at once; a call that is silent for `silence` has failed.
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
    // An empty line comes every 2 s: two of them missed is silence. A call waits its turn no longer either.
    Micros silence = std::chrono::seconds(5);
};

class Roster final : public core::Source {
public:
    using Sink = std::function<void(core::MemberList)>;

    // `pushed`: lists come without being asked for, from an agent that costs nothing: a watch that fails is
    // begun again here after a while (0.5 to 1 s, drawn from `seed`).
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
    boost::asio::steady_timer again_;
    loop::Alive alive_;
};

}  // namespace flaxdoor::membership
