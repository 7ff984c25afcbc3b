// Nodes and plain connections to them.
#pragma once

#include <memory>
#include <string>

#include "../event_loop_test.h"
#include "standins/scripted_client.h"

namespace flaxdoor::standins {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using Kind = NodeEvent::Kind;
using End = ScriptedClient::End;

class Rig : public EventLoopTest {
protected:
    std::unique_ptr<BookingNode> node(BookingNode::Settings settings = {}) {
        return std::make_unique<BookingNode>(loop, std::move(settings));
    }
    std::unique_ptr<ScriptedClient> connect(const tcp::endpoint& to) {
        return std::make_unique<ScriptedClient>(loop, to);
    }
    std::unique_ptr<ScriptedClient> connect(const BookingNode& to) { return connect(to.address()); }
    Call call(CallKind kind = CallKind::safe, const std::string& cls = "browse") {
        Call made;
        made.call_id = "call-" + std::to_string(++calls_);
        made.cls = cls;
        made.kind = kind;
        if (kind == CallKind::keyed) made.key = "key-" + std::to_string(calls_);
        if (kind != CallKind::safe) made.body = "seats=" + std::to_string(calls_);
        return made;
    }
    bool answered(const ScriptedClient& client, std::size_t answers = 1) {
        return wait_until([&] { return client.answers().size() >= answers; });
    }
    // Sends the call and waits for what answers it.
    Answer ask(ScriptedClient& client, const Call& asked) {
        const auto before = client.answers().size();
        client.send(asked);
        if (answered(client, before + 1)) return client.answers()[before];
        ADD_FAILURE() << asked.call_id << " was not answered";
        return {};
    }
    Answer ask(ScriptedClient& client) { return ask(client, call()); }
    // The next answer is the one that was made for this call.
    void expect_served(ScriptedClient& client, const Call& asked) {
        const auto answer = ask(client, asked);
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(made_for(answer, asked)) << answer.body;
    }
    // A new client's call is served.
    void expect_serves(const BookingNode& to) { expect_served(*connect(to), call()); }
    bool ended(const ScriptedClient& client) {
        return wait_until([&] { return client.end() != End::open; });
    }
    void expect_end(const ScriptedClient& client, End end) {
        EXPECT_TRUE(ended(client));
        EXPECT_EQ(client.end(), end);
    }
    bool happened(const BookingNode& on, Kind kind, std::size_t times = 1) {
        return wait_until([&] { return on.count_of(kind) >= times; });
    }

private:
    int calls_ = 0;
};

}  // namespace flaxdoor::standins
