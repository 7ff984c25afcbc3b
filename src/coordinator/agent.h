// A balancer's agent: sends the holder's lease requests to the coordinator over one persistent connection and
// passes the replies to the holder. Logs when leases are gained and lost, and why.
//
// Threading: the executor, one thread at a time.   Ownership: executor, clock, log and holder are borrowed
//            and outlive the agent.
// Time:      the holder's clock determines when to send a request; timers use the event loop's steady clock.
// Errors:    none. After a failure the holder sends another request later; its leases and its reserve stay in
//            force meanwhile.
// Bounds:    one connection and one request in flight, which times out after a third of the lease term;
//            replies of at most `max_message_size` bytes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "budget/holder.h"
#include "core/ports.h"
#include "loop/executor.h"
#include "loop/lifetime_guard.h"

namespace flaxdoor::coordinator {

class Agent {
public:
    Agent(const loop::Executor& executor, const core::Clock& clock, core::Log& log, budget::Holder& holder,
          boost::asio::ip::tcp::endpoint coordinator);
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    void start();
    // To be called when the holder may want to send a request earlier than scheduled.
    void on_want();
    // Releases all leases and the reserve for good. Reports it to the coordinator if the connection is idle,
    // and does not wait for a reply. An unreported lease counts at the coordinator until it ends.
    void leave();

private:
    class Connection;
    friend class Connection;

    void schedule(Time at);
    void on_timer();
    void send_request();
    void on_connected();
    void on_reply(const budget::LeaseReply& reply);
    void on_no_reply(const std::string& why);
    void log_changes(const std::string& why);

    const loop::Executor executor_;
    const core::Clock& clock_;
    core::Log& log_;
    budget::Holder& holder_;
    const boost::asio::ip::tcp::endpoint coordinator_;

    std::shared_ptr<Connection> connection_;
    boost::asio::steady_timer timer_;
    std::optional<Time> scheduled_at_;  // by the holder's clock
    bool request_pending_ = false;
    bool left_ = false;
    std::optional<bool> logged_lease_;  // as logged last; empty if nothing was logged
    budget::Verdict logged_verdict_ = budget::Verdict::granted;
    loop::LifetimeGuard alive_;
};

}  // namespace flaxdoor::coordinator
