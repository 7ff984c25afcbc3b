// The balancer behind a web framework's server in this process: a RESTinio host that knows nothing of what it
// passes on, and an application that answers all else. The whole suite speaks to the framework's address.
//
// What RESTinio does with its sockets is its own; the tests that this leaves out stand at the end.
#include <gtest/gtest.h>

#include "restinio_host.h"

namespace flaxdoor::test {

std::unique_ptr<Form> make_form(asio::io_context& loop) {
    return std::make_unique<Hosted>(loop, [](asio::io_context& its_loop, const BalancerOptions& options) {
        return std::make_unique<MiddlewareHost>(its_loop, options);
    });
}

// What differs for operators stands in docs/operators/library.md.
std::vector<CannotHold> cannot_hold() {
    return {
        {"BadInput.WhatIsNoRequestIsAnsweredAndClosed", "RESTinio closes on what it can't read, unanswered"},
        {"BadInput.SilenceAndHalvesAreClosed",
         "RESTinio has one time for slow requests and idle connections"},
        {"BadInput.LingeringIsBounded",
         "RESTinio gives no answer to what it can't read, which this waits for"},
        {"Limits.IdleClientsMakeRoom", "RESTinio holds the clients: none of them gives way"},
        {"Limits.ClientsThatAskedOnceGiveWay", "RESTinio holds the clients: none of them gives way"},
        {"Drain.AnswersWhatIsStillOpenAtItsEnd",
         "RESTinio does not tell of a request that is half here: nobody waits for it"},
        {"Drain.ClosesIdleConnections", "RESTinio has no way to close a connection that is idle"},
        {"Crossings.WhatLayUnreadAtTheEndIsServed",
         "RESTinio holds the connections: what it has not read when the host drains, the library does not "
         "know of"},
        {"Faults.AnEndBehindMuchThatWasSentAheadIsSeen",
         "RESTinio does not look at a connection with a full pipeline"},
        {"Some/ManySocketFailures.Pass/NoDescriptorToAccept",
         "RESTinio never takes up an accept again that has failed: with the last of them its listener is "
         "dead"},
    };
}

}  // namespace flaxdoor::test
