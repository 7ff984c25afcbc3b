// The balancer behind a web framework's server in the test's process: a RESTinio host with a mounted balancer, and an
// application that responds to all other requests. The suite connects to the framework's address.
//
// RESTinio manages its own sockets, so some tests are not supported; they are listed at the end.
#include <gtest/gtest.h>

#include "restinio_host.h"

namespace flaxdoor::test {

std::unique_ptr<BalancerUnderTest> make_form(asio::io_context& loop) {
    return std::make_unique<InProcessBalancer>(
        loop, [](asio::io_context& host_loop, const BalancerOptions& options) {
            return std::make_unique<MiddlewareHost>(host_loop, options);
        });
}

// docs/operators/library.md describes the differences for operators.
std::vector<UnsupportedTest> unsupported_tests() {
    return {
        {"BadInput.WhatIsNoRequestIsAnsweredAndClosed",
         "RESTinio closes the connection without a response when it cannot parse a request"},
        {"BadInput.SilenceAndHalvesAreClosed",
         "RESTinio has a single time-out for slow requests and idle connections"},
        {"BadInput.LingeringIsBounded",
         "RESTinio does not respond to a request that it cannot parse, and the test waits for the response"},
        {"Limits.IdleClientsMakeRoom", "RESTinio owns the client connections and evicts none of them"},
        {"Limits.ClientsThatAskedOnceGiveWay",
         "RESTinio owns the client connections and evicts none of them"},
        {"Drain.AnswersWhatIsStillOpenAtItsEnd",
         "RESTinio does not report a partially received request, so the shutdown does not wait for it"},
        {"Drain.ClosesIdleConnections", "RESTinio cannot close an idle connection on request"},
        {"Crossings.WhatLayUnreadAtTheEndIsServed",
         "RESTinio owns the connections: the library does not know of requests that are unread when the host "
         "drains"},
        {"Faults.AnEndBehindMuchThatWasSentAheadIsSeen",
         "RESTinio does not check a connection with a full pipeline for its end"},
        {"Some/ManySocketFailures.Pass/NoDescriptorToAccept",
         "RESTinio does not repeat a failed accept: after the last one has failed, its listener accepts "
         "nothing"},
    };
}

}  // namespace flaxdoor::test
