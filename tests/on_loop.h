// A loop that the test itself runs. Tests wait for what happens; the limit in run_until is a net only.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "standins/booking_node.h"
#include "standins/run_until.h"

namespace flaxdoor::standins {

class OnLoop : public ::testing::Test {
protected:
    boost::asio::io_context loop{1};  // goes last

    template <typename Happened>
    bool until(Happened happened) {
        return run_until(loop, happened);
    }
    // All that is ready now is done; nothing is waited for.
    void settle() {
        if (loop.stopped()) loop.restart();
        while (loop.poll() > 0) {
        }
    }
    static void fault(BookingNode& to, const std::string& spec) {
        const auto parsed = parse_fault(spec);
        ASSERT_TRUE(parsed.fault) << parsed.error.text;
        to.add(*parsed.fault);
    }
    // A node whose every request works so long.
    static BookingNode::Settings working(std::chrono::microseconds time = std::chrono::hours(1)) {
        BookingNode::Settings settings;
        settings.work.mean = time;
        return settings;
    }
};

}  // namespace flaxdoor::standins
