// The client of service discovery, as the source of a pool's lists: the watch for changes and the call for the snapshot,
// over sockets. It moves to another address without missing changes.
//
// Threading: the loop's one thread.   Ownership: loop, log and sink are borrowed and outlive it.
// Errors:    a failure is reported to the sink as a list of kind `failed`, and logged; network errors do not throw.
// Bounds:    two watches and one snapshot call at once. A call without a first update, or a watch without a line, within the
//            time of its limit has failed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "core/ports.h"
#include "loop/executor.h"
#include "loop/lifetime_guard.h"
#include "membership/discovery_parser.h"

namespace flaxdoor::membership {

struct DiscoveryLimits {
    std::size_t max_line_size = DiscoveryParser::default_max_line_size;
    // Until the first update of a call, which may wait in the service's queue.
    Micros answer = std::chrono::seconds(4);
    // Between two lines of a watch. The service sends at least an empty line every 2 s; the limit adds half an interval for
    // a line that is late.
    Micros silence = std::chrono::seconds(3);
};

class DiscoveryClient final : public core::Source {
public:
    using Sink = std::function<void(core::MemberList)>;

    // `pushed`: an agent pushes the lists without being asked, at no cost, and counts its changes as delivered whether or
    // not a watch is open. The client then restarts a failed watch itself: at once if the watch had delivered an update and
    // lasted for 0.1 s. The starts of watches that never deliver one are spaced by a back-off that doubles up to 1 s, with
    // jitter drawn from `seed` (between half of the interval and all of it).
    DiscoveryClient(const loop::Executor& loop, core::Log& log, boost::asio::ip::tcp::endpoint address,
                    ListNames names, bool pushed, std::uint64_t seed, Sink sink);
    ~DiscoveryClient() override;

    void start_from(std::uint64_t version) { version_ = version; }
    void set_limits(const DiscoveryLimits& limits) { limits_ = limits; }  // for calls that start from now on

    void watch() override;  // resumes after the last version received; does nothing while a watch is open
    void unwatch() override;
    void fetch() override;  // requests the snapshot once
    void deliver_pending() override;
    // Changes the address of the service. An open watch or call is repeated at the new address at once. Updates of the old
    // watch are still used until the new watch delivers its first; the end of the old watch is not a failure.
    void move_to(const boost::asio::ip::tcp::endpoint& address);
    void stop();

private:
    class Call;
    friend class Call;
    void on_update(Call& call, DiscoveryUpdate update);
    void on_end(Call& call, const std::string& why, bool failed);

    loop::Executor loop_;
    core::Log& log_;
    boost::asio::ip::tcp::endpoint address_;
    const ListNames names_;
    const bool pushed_;
    std::uint64_t random_;
    const Sink sink_;
    DiscoveryLimits limits_;
    std::uint64_t version_ = 0;
    bool received_list_ = false;  // since the start of this process
    bool watching_ = false;       // a watch is wanted
    std::shared_ptr<Call> watch_;
    std::shared_ptr<Call> former_watch_;  // at the previous address, until the new watch delivers an update
    std::shared_ptr<Call> fetch_;
    Micros backoff_{};  // between the starts of a failed watch and of the next one, where lists are pushed
    boost::asio::steady_timer retry_timer_;
    loop::LifetimeGuard alive_;
};

}  // namespace flaxdoor::membership
