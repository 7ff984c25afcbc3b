// A fixture with an event loop that the test itself runs. Tests wait for conditions; the time limit of run_until() only keeps
// a failing test from hanging.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "standins/booking_node.h"
#include "standins/run_until.h"

namespace flaxdoor::standins {

class EventLoopTest : public ::testing::Test {
protected:
    boost::asio::io_context loop{1};  // destroyed last

    // Runs the loop until the condition holds. Returns false if it does not within the time limit.
    template <typename Condition>
    bool wait_until(Condition condition) {
        return run_until(loop, condition);
    }
    // Runs all handlers that are ready, without waiting.
    void run_ready() {
        if (loop.stopped()) loop.restart();
        while (loop.poll() > 0) {
        }
    }
    static void fault(BookingNode& to, const std::string& spec) {
        const auto parsed = parse_fault(spec);
        ASSERT_TRUE(parsed.fault) << parsed.error.text;
        to.add(*parsed.fault);
    }
    // Settings of a node that works on each request for the given time.
    static BookingNode::Settings working(std::chrono::microseconds time = std::chrono::hours(1)) {
        BookingNode::Settings settings;
        settings.work.mean = time;
        return settings;
    }
};

}  // namespace flaxdoor::standins
