// A stand-in of the platform's clients under load: many calls, each checked and put down under one outcome.
// Open loop: arrivals are drawn ahead from the seed, and a call's time and budget count from its intended
// moment, whenever it could be sent. Closed loop: N connections, each with one call at a time.
//
// Threading: on the thread of the io_context, which must outlive it. Errors: settings that can't be followed
// throw std::invalid_argument with the field's name. Bounded: connections, calls out, arrivals, bytes of an
// answer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scripted_client.h"
#include "tally.h"

namespace flaxdoor::standins {

struct ClassPlan {
    std::string name = "browse";
    CallKind kind = CallKind::safe;
    double weight = 1;
    int budget_ms = 1000;
    std::size_t body_bytes = 0;  // of the request, for classes that are not safe
};

// One call with its outcome.
struct CallResult {
    std::string call_id, first_call_id, cls, key, operation;
    CallKind kind{};
    Outcome outcome{};
    int status = 0;  // of the last whole answer; 0: none came
    std::uint32_t tries = 1;
    Time intended, ended;
};

class LoadClient {
public:
    struct Settings {
        std::vector<boost::asio::ip::tcp::endpoint> targets;  // connections are dealt out in turn
        std::vector<ClassPlan> classes{ClassPlan{}};
        std::uint64_t seed = 1;  // call ids follow from it: clients at one node need different ones

        double rate = 0;                // calls a second, open loop; 0: closed loop
        std::size_t connections = 8;    // closed loop: how many; open loop: the most
        std::size_t out_most = 50'000;  // open loop: calls out or waiting; arrivals beyond are left out
        std::uint64_t calls = 0;        // ends after as many; 0: no such end
        std::chrono::milliseconds duration{0};  // ends sending after this time; 0: no such end
        bool keep_alive = true;                 // false: a connection for each call

        std::chrono::milliseconds wait_beyond{
            500};  // after its budget, how long an answer is still waited for
        // By hand, as a careless client does: anything but served is sent again at once, with a new call id,
        // the same key and the same operation, whether or not it is safe.
        unsigned retries = 0;
        // A kept connection that ends with no byte of an answer: the request goes once more on a new one.
        bool resend_crossed = false;

        std::vector<std::string> callers;  // X-Caller, in turn
        std::uint64_t about = 0;           // so many different cookies `key`; 0: none
        bool operations = true;            // ?op= for what is not safe, the same for each try of a call

        // Shares of calls, 0 to 1: the client leaves within its budget; ends its sending behind the request;
        // sends the request byte by byte.
        double leaves = 0, half_closes = 0, slow = 0;

        std::function<void(const CallResult&)> on_result;
        std::function<void()> on_done;  // all calls have ended and every connection is closed
    };

    LoadClient(boost::asio::io_context& loop, Settings settings);
    ~LoadClient();
    LoadClient(const LoadClient&) = delete;
    LoadClient& operator=(const LoadClient&) = delete;

    void start();
    void stop();  // sends no more; what is out ends as it does
    [[nodiscard]] bool done() const;
    [[nodiscard]] ClientReport report() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::standins
