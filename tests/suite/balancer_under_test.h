// The suite's interface to the balancer under test: start it with a configuration, reconfigure it, shut it down, and
// observe its exit. The same tests run against every form of the balancer: a program, a library in the test's process,
// or a web framework's server that passes its requests to the library.
//
// Threading: results are reported in the caller's thread, while it runs the event loop.
// Ownership: borrows the loop, which must outlive the form. Destroying a form stops its balancer at once.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flaxdoor::test {

struct LaunchOptions {
    std::string config;                    // JSON, the content of the NODE_CONFIG file
    std::optional<std::string> operators;  // the operator's configuration file, TOML
    // Additional environment variables. A form in the test's process uses only those that inject socket failures (see
    // standins/socket_faults/faults.cpp).
    std::vector<std::pair<std::string, std::string>> environment;
};

class BalancerUnderTest {
public:
    virtual ~BalancerUnderTest() = default;

    // The balancer's process, once started: its own, or the test's.
    virtual pid_t process() const = 0;

    // Starts the balancer and waits until it listens. Returns its address, or nothing if it has exited instead; the log
    // then holds the error. May be called once.
    virtual std::optional<boost::asio::ip::tcp::endpoint> start(const LaunchOptions& options) = 0;
    // Hands over a new configuration. The log shows whether it was applied.
    virtual void take(const std::string& config) = 0;
    // Requests a graceful shutdown. May be called repeatedly.
    virtual void end() = 0;

    // Suspends and resumes the balancer. Everything sent in between has arrived before the balancer reads any of it.
    virtual void hold() = 0;
    virtual void go_on() = 0;

    virtual bool ended() const = 0;
    // The exit status once it has ended: 0 after a graceful shutdown; negative: the signal that terminated it.
    virtual int status() const = 0;
    // The lines logged so far, in order.
    virtual const std::vector<std::string>& log() const = 0;
};

// A test that a form does not support, with the reason. main.cpp verifies the list: each entry must match a test (a
// final '*' matches any suffix), and a form may leave out at most one test in ten.
struct UnsupportedTest {
    std::string_view test;  // "Limits.IdleClientsMakeRoom"
    std::string_view why;
};

// Defined once by each form.
std::unique_ptr<BalancerUnderTest> make_form(boost::asio::io_context& loop);
std::vector<UnsupportedTest> unsupported_tests();

}  // namespace flaxdoor::test
