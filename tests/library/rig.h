// Fixture for tests of the library: upstream stand-ins that share a record of what they executed, options
// that list them, calls, and the results that handlers received.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../event_loop_test.h"
#include "flaxdoor/balancer.h"
#include "standins/peers.h"

namespace flaxdoor::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using standins::BookingNode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = standins::NodeEvent::Kind;

using standins::peers::DeafPeer;
using standins::peers::text_of;

// Settings with three classes, one for each effect. Their deadlines are long: only a test's own budget ends a
// call early.
inline Settings test_settings() {
    Settings settings;
    const auto make_class = [](const char* name, Effect effect) {
        ClassSettings class_settings;
        class_settings.name = name;
        class_settings.aim = milliseconds(200);
        class_settings.deadline = seconds(20);
        class_settings.late_worth = 0.5;
        class_settings.effect = effect;
        class_settings.window = effect == Effect::keyed ? Micros(seconds(10)) : Micros{0};
        return class_settings;
    };
    settings.classes = {make_class("look", Effect::safe), make_class("hold", Effect::keyed),
                        make_class("check-in", Effect::unsafe)};
    settings.max_attempts = 3;
    settings.may_cancel = true;
    settings.connect_timeout = seconds(10);
    return settings;
}

inline BalancerOptions options_for(const std::vector<std::string>& addresses, std::uint64_t seed = 1) {
    BalancerOptions options;
    options.settings = test_settings();
    options.zones = {"here"};
    options.seed = seed;
    for (const auto& address : addresses) {
        Server server;
        server.name = std::string("n") + std::to_string(options.servers.servers.size());
        server.address = address;
        server.zone = "here";
        options.servers.servers.push_back(server);
    }
    options.servers.version = 1;
    return options;
}

inline CallRequest call(const char* class_name, Micros budget = seconds(15)) {
    CallRequest request;
    request.class_name = class_name;
    request.budget = budget;
    return request;
}
inline CallRequest look(Micros budget = seconds(15)) { return call("look", budget); }
inline CallRequest check_in(Micros budget = seconds(15)) {
    CallRequest request = call("check-in", budget);
    request.body = "donor=17";
    return request;
}

// The result that a handler received, and how often the handler was called.
struct Completion {
    int times = 0;
    CallResult result;

    bool completed() const { return times > 0; }
};
using CompletionPointer = std::shared_ptr<Completion>;
inline auto record_into(const CompletionPointer& completion) {
    return [completion](CallResult result) {
        ++completion->times;
        completion->result = std::move(result);
    };
}

inline void expect_cancelled(const Completion& completion, bool may_have_run, const std::string& where) {
    EXPECT_EQ(completion.times, 1) << where;
    EXPECT_EQ(completion.result.verdict, CallVerdict::failed) << where;
    EXPECT_EQ(completion.result.cause, CallCause::cancelled) << where;
    EXPECT_EQ(completion.result.may_have_run, may_have_run) << where;
    EXPECT_EQ(completion.result.error, asio::error::operation_aborted) << where;
}

// Upstream stand-ins and instances on one loop, which the test runs.
class LibraryTest : public standins::EventLoopTest {
protected:
    std::shared_ptr<standins::Effects> effects = std::make_shared<standins::Effects>();
    std::vector<std::unique_ptr<BookingNode>> nodes;

    BookingNode& add_node(BookingNode::Settings settings = {}) {
        settings.effects = effects;
        settings.name = std::string("n") + std::to_string(nodes.size());
        nodes.push_back(std::make_unique<BookingNode>(loop, std::move(settings)));
        return *nodes.back();
    }
    // Every call returns another seed, so that no two instances generate the same id.
    BalancerOptions options() { return options(++seed_); }
    BalancerOptions options(std::uint64_t seed) const {
        std::vector<std::string> addresses;
        for (const auto& node : nodes) addresses.push_back(text_of(node->address()));
        return options_for(addresses, seed);
    }
    // Adds a stand-in, with a fault if `spec` is given, and returns an instance that lists it. The fixture
    // owns the instance.
    Balancer& make_balancer(const char* spec = nullptr) {
        BookingNode& node = add_node();
        if (spec) fault(node, spec);
        return make_balancer(options());
    }
    Balancer& make_balancer(const BalancerOptions& options) {
        return instance_.emplace(loop.get_executor(), options);
    }
    // Waits until a stand-in has triggered its fault.
    bool wait_for_fault(std::size_t node = 0) {
        return wait_until([&] { return nodes[node]->count_of(Kind::fault) > 0; });
    }
    template <typename... Completions>
    bool wait_for_completion(const Completions&... completions) {
        return wait_until([&] { return (completions->completed() && ...); });
    }
    bool wait_for_completion(const std::vector<CompletionPointer>& all) {
        return wait_until([&] {
            return std::all_of(all.begin(), all.end(),
                               [](const auto& completion) { return completion->completed(); });
        });
    }
    CompletionPointer start_call(Balancer& balancer, CallRequest request) {
        auto completion = std::make_shared<Completion>();
        balancer.async_call(std::move(request), record_into(completion));
        return completion;
    }
    // Makes a call and waits for its result.
    CallResult call_and_wait(Balancer& balancer, CallRequest request) {
        const auto completion = start_call(balancer, std::move(request));
        EXPECT_TRUE(wait_for_completion(completion));
        EXPECT_EQ(completion->times, 1);
        return completion->result;
    }
    // Makes a call that must be served, and waits for it. The loop meanwhile also runs whatever was pending.
    void expect_served(Balancer& balancer, CallRequest request) {
        const CallResult result = call_and_wait(balancer, request);
        EXPECT_EQ(result.verdict, CallVerdict::served) << text_of(result);
        EXPECT_TRUE(standins::made_for(result.body, result.id, request.class_name, request.idempotency_key,
                                       request.body))
            << result.body;
    }
    static std::string text_of(const CallResult& result) {
        return std::string(flaxdoor::text_of(result.verdict)) + "/" +
               std::string(flaxdoor::text_of(result.cause)) + " " + result.why;
    }
    static std::string text_of(const tcp::endpoint& endpoint) { return test::text_of(endpoint); }
    std::uint32_t runs_of(const std::string& id) const {
        const auto* const record = effects->find(id);
        return record ? record->runs : 0;
    }
    std::uint32_t attempts_of(const std::string& id) const {
        const auto* const record = effects->find(id);
        return record ? record->attempts : 0;
    }

private:
    std::uint64_t seed_ = 100;
    std::optional<Balancer> instance_;  // destroyed first
};

}  // namespace flaxdoor::test
