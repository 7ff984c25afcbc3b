// A balancer's agent: asks the coordinator for leases when its holder wants to, over one kept connection, and hands the
// replies to the holder. It tells the log when leases come and go, and why.
//
// Threading: the executor's one thread at a time.   Ownership: executor, clock, log and holder are borrowed and outlive it.
// Time:      the holder's clock says when to ask; what waits here is timed by the loop's steady clock.
// Errors:    none. What fails costs time: the holder asks again, and its leases and reserve count on meanwhile.
// Bounds:    one connection, one request under way, which is given up after a third of the term; replies of
//            `message_most` bytes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "budget/holder.h"
#include "core/ports.h"
#include "loop/alive.h"
#include "loop/executor.h"

namespace flaxdoor::coordinator {

class Agent {
public:
    Agent(const loop::Executor& executor, const core::Clock& clock, core::Log& log, budget::Holder& holder,
          boost::asio::ip::tcp::endpoint coordinator);
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    void start();
    // The holder may want to ask sooner than it did.
    void on_want();
    // Lets go of everything, for good, and tells the coordinator where the connection is free to carry it: nothing
    // is waited for. What could not be told ends with its lease.
    void leave();

private:
    class Link;
    friend class Link;

    void wake_at(Time at);
    void on_wake();
    void ask();
    void on_link_up();
    void on_reply(const budget::LeaseReply& reply);
    void on_no_reply(const std::string& why);
    void tell(const std::string& why);

    const loop::Executor executor_;
    const core::Clock& clock_;
    core::Log& log_;
    budget::Holder& holder_;
    const boost::asio::ip::tcp::endpoint coordinator_;

    std::shared_ptr<Link> link_;
    boost::asio::steady_timer wake_;
    std::optional<Time> wakes_at_;  // of the holder's clock
    bool asking_ = false;
    bool over_ = false;
    std::optional<bool> leased_;  // as it was told last; empty: nothing was
    budget::Verdict told_ = budget::Verdict::granted;
    loop::Alive alive_;
};

}  // namespace flaxdoor::coordinator
