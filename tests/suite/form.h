// What the suite knows of the balancer under test: one that is started with a configuration, told of another,
// told to end, and ends. The same tests run over every form of it: a program, a library in this process, or a
// web framework's server that passes its requests to the library.
//
// Threading: everything that is told here happens in the caller's thread, while it runs the loop.
// Ownership: the loop is borrowed and must outlive the form. Destroying a form ends its balancer at once.
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

struct Launch {
    std::string config;                    // JSON, as NODE_CONFIG names it
    std::optional<std::string> operators;  // the operator's file, TOML
    // Further variables. A form in this process heeds those alone that make its calls on sockets fail (see
    // standins/socket_faults/faults.cpp).
    std::vector<std::pair<std::string, std::string>> environment;
};

class Form {
public:
    virtual ~Form() = default;

    // Which process it is in, once started: its own, or this one.
    virtual pid_t process() const = 0;

    // Returns when it listens (the address), or has ended instead (nothing; the log tells why). Once only.
    virtual std::optional<boost::asio::ip::tcp::endpoint> start(const Launch& launch) = 0;
    // A new configuration is there; whether it was taken stands in the log.
    virtual void take(const std::string& config) = 0;
    // Told to end, as often as it is called.
    virtual void end() = 0;

    // It does nothing between the two: what is sent meanwhile is all there before it looks.
    virtual void hold() = 0;
    virtual void go_on() = 0;

    virtual bool ended() const = 0;
    // Once it has ended: 0 after an orderly end, else what it ended with; negative: the signal that ended it.
    virtual int status() const = 0;
    // The lines that it has logged so far, in order.
    virtual const std::vector<std::string>& log() const = 0;
};

// A test that a form cannot hold, and why. The list is kept true by the suite's main: each entry names a test
// that there is (a final '*' stands for any ending), and no form may be without more than one test in ten.
struct CannotHold {
    std::string_view test;  // "Limits.IdleClientsMakeRoom"
    std::string_view why;
};

// Defined once for each form, beside it.
std::unique_ptr<Form> make_form(boost::asio::io_context& loop);
std::vector<CannotHold> cannot_hold();

}  // namespace flaxdoor::test
