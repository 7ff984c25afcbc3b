// The balancer for hosts without a loop: a thread of its own, and calls that wait.
//
// Threading: call() from any number of threads; each waits for its own answer and holds nobody up. On the
//            instance's own thread (in a handler of balancer(), or a sink) it would wait for itself, so it
//            throws std::logic_error there.
// Life:      destruction ends every open call as closed and joins the instance's own thread; destroyed on
//            that thread itself (from a sink, say) it lets it end by itself.
// Errors:    as Balancer's.
#pragma once

#include <memory>
#include <stop_token>

#include "flaxdoor/balancer.h"

namespace flaxdoor {

class BlockingBalancer {
public:
    explicit BlockingBalancer(const BalancerOptions& options);
    ~BlockingBalancer();
    BlockingBalancer(const BlockingBalancer&) = delete;
    BlockingBalancer& operator=(const BlockingBalancer&) = delete;

    // Waits until the call has ended, at the latest after its budget. A stop that is asked for meanwhile
    // cancels it.
    CallResult call(CallRequest request, std::stop_token stop = {});
    // Waits for the orderly end: what is open is answered.
    void drain();

    // For asynchronous calls and everything else; lives as long as this object.
    Balancer& balancer();

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor
