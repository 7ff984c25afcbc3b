// Hosts of the library for tests: nodes (stand-ins) with one ledger of effects, options that list them,
// calls, and what became of them.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../on_loop.h"
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

// Three classes, one of each effect, with time enough for all but what a test's own budget cuts.
inline Settings settings() {
    Settings s;
    const auto of = [](const char* name, Effect effect) {
        ClassSettings c;
        c.name = name;
        c.aim = milliseconds(200);
        c.deadline = seconds(20);
        c.late_worth = 0.5;
        c.effect = effect;
        c.window = effect == Effect::keyed ? Micros(seconds(10)) : Micros{0};
        return c;
    };
    s.classes = {of("look", Effect::safe), of("hold", Effect::keyed), of("check-in", Effect::unsafe)};
    s.max_attempts = 3;
    s.may_cancel = true;
    s.connect_timeout = seconds(10);
    return s;
}

inline BalancerOptions options_for(const std::vector<std::string>& addresses, std::uint64_t seed = 1) {
    BalancerOptions options;
    options.settings = settings();
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

inline CallRequest call(const char* its_class, Micros budget = seconds(15)) {
    CallRequest request;
    request.class_name = its_class;
    request.budget = budget;
    return request;
}
inline CallRequest look(Micros budget = seconds(15)) { return call("look", budget); }
inline CallRequest check_in(Micros budget = seconds(15)) {
    CallRequest request = call("check-in", budget);
    request.body = "donor=17";
    return request;
}

// What a handler was called with, and how often.
struct Ending {
    int times = 0;
    CallResult result;

    bool over() const { return times > 0; }
};
using EndingPointer = std::shared_ptr<Ending>;
inline auto into(const EndingPointer& ending) {
    return [ending](CallResult result) {
        ++ending->times;
        ending->result = std::move(result);
    };
}

inline void expect_cancelled(const Ending& ending, bool may_have_run, const std::string& where) {
    EXPECT_EQ(ending.times, 1) << where;
    EXPECT_EQ(ending.result.verdict, CallVerdict::failed) << where;
    EXPECT_EQ(ending.result.cause, CallCause::cancelled) << where;
    EXPECT_EQ(ending.result.may_have_run, may_have_run) << where;
    EXPECT_EQ(ending.result.error, asio::error::operation_aborted) << where;
}

// Nodes and instances on one loop, which the test runs.
class Rig : public standins::OnLoop {
protected:
    std::shared_ptr<standins::Effects> effects = std::make_shared<standins::Effects>();
    std::vector<std::unique_ptr<BookingNode>> nodes;

    BookingNode& add_node(BookingNode::Settings settings = {}) {
        settings.effects = effects;
        settings.name = std::string("n") + std::to_string(nodes.size());
        nodes.push_back(std::make_unique<BookingNode>(loop, std::move(settings)));
        return *nodes.back();
    }
    // Each with another seed, so that no two instances draw one id.
    BalancerOptions options() { return options(++seed_); }
    BalancerOptions options(std::uint64_t seed) const {
        std::vector<std::string> addresses;
        for (const auto& node : nodes) addresses.push_back(text_of(node->address()));
        return options_for(addresses, seed);
    }
    // A node, under a fault where one is named, and an instance that lists it; it goes with the test.
    Balancer& serving(const char* spec = nullptr) {
        BookingNode& node = add_node();
        if (spec) fault(node, spec);
        return serving(options());
    }
    Balancer& serving(const BalancerOptions& options) {
        return instance_.emplace(loop.get_executor(), options);
    }
    // Until a fault has struck at a node.
    bool struck(std::size_t node = 0) {
        return until([&] { return nodes[node]->count_of(Kind::fault) > 0; });
    }
    template <typename... Endings>
    bool over(const Endings&... endings) {
        return until([&] { return (endings->over() && ...); });
    }
    bool over(const std::vector<EndingPointer>& all) {
        return until(
            [&] { return std::all_of(all.begin(), all.end(), [](const auto& e) { return e->over(); }); });
    }
    EndingPointer begin(Balancer& balancer, CallRequest request) {
        auto ending = std::make_shared<Ending>();
        balancer.async_call(std::move(request), into(ending));
        return ending;
    }
    // A call to its end, whichever.
    CallResult ended(Balancer& balancer, CallRequest request) {
        const auto ending = begin(balancer, std::move(request));
        EXPECT_TRUE(over(ending));
        EXPECT_EQ(ending->times, 1);
        return ending->result;
    }
    // A call that is served, to its end: whatever was under way before has had its turns meanwhile.
    void expect_served(Balancer& balancer, CallRequest request) {
        const CallResult result = ended(balancer, request);
        EXPECT_EQ(result.verdict, CallVerdict::served) << text_of(result);
        EXPECT_TRUE(standins::made_for(result.body, result.id, request.class_name, request.idempotency_key,
                                       request.body))
            << result.body;
    }
    static std::string text_of(const CallResult& result) {
        return std::string(flaxdoor::text_of(result.verdict)) + "/" +
               std::string(flaxdoor::text_of(result.cause)) + " " + result.why;
    }
    static std::string text_of(const tcp::endpoint& at) { return test::text_of(at); }
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
    std::optional<Balancer> instance_;  // goes first
};

}  // namespace flaxdoor::test
