// A balancer for hosts without an event loop: it runs a thread, and its calls block.
//
// Threading: call() may be called from any number of threads. Each call waits for its own answer and delays
//            no other call. call() and drain() throw std::logic_error on the instance's thread (in a handler
//            of balancer(), or in a sink), where the wait would never end.
// Lifetime:  The destructor ends every open call with cause `closed` and joins the instance's thread. If it
//            runs on that thread (in a sink, for example), it detaches the thread, which then ends by itself.
// Errors:    As for Balancer.
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

    // Waits until the call has ended, at most for its budget. A stop request cancels the call.
    CallResult call(CallRequest request, std::stop_token stop = {});
    // Shuts down gracefully: waits until open calls have been answered.
    void drain();

    // For asynchronous calls and all other functions. Valid as long as this object.
    Balancer& balancer();

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor
