// Client connections up to the start of their session.
#include "pg/client_machine.h"

#include <gtest/gtest.h>

#include "standins/pg_text.h"

namespace flaxdoor::pg {
namespace {

namespace wire = standins::pg;
using Kind = ClientEvent::Kind;

std::string code_of(std::string out) {
    while (const auto message = wire::take(out)) {
        if (message->type == 'E') return wire::fields(message->body)['C'];
    }
    return {};
}

TEST(ClientMachine, TrustLoginStartsASession) {
    ClientMachine machine({});
    machine.receive(wire::startup({{"user", "u"}}));
    const auto start = machine.next();
    ASSERT_TRUE(start);
    ASSERT_EQ(start->kind, Kind::start);
    EXPECT_EQ(*start->startup.find("user"), "u");
    machine.authenticate({});
    EXPECT_EQ(machine.state(), ClientState::welcoming);
    machine.welcome({{"server_version", "15"}}, {1, 2});
    std::string out = machine.output();
    std::string types;
    while (const auto message = wire::take(out)) types += message->type;
    EXPECT_EQ(types, "RSKZ");
    machine.receive(wire::query("SELECT 1"));
    const auto message = machine.next();
    ASSERT_TRUE(message);
    EXPECT_EQ(message->message.type, 'Q');
}

TEST(ClientMachine, ScramLoginByteByByte) {
    ScramSecret secret{"pw", {}, {}, 0};
    for (const bool right : {true, false}) {
        ClientMachine machine({});
        const auto feed = [&](const std::string& bytes) {
            std::optional<ClientEvent> last;
            for (const char c : bytes) {
                machine.receive(std::string_view(&c, 1));
                if (auto event = machine.next()) last = std::move(event);
            }
            return last;
        };
        ASSERT_EQ(feed(wire::startup({{"user", "u"}}))->kind, Kind::start);
        machine.authenticate(
            {Authentication::Kind::scram, make_verifier(right ? "pw" : "other", "salt", 10), "nonce"});
        std::string out = std::exchange(machine.output(), {});
        auto request = wire::take(out);
        ASSERT_TRUE(request);
        EXPECT_EQ(request->body, wire::int32(10) + wire::text0("SCRAM-SHA-256") + '\0');
        ScramClient client(secret, "mine");
        const std::string first = client.first();
        EXPECT_FALSE(
            feed(wire::message('p', wire::text0("SCRAM-SHA-256") +
                                        wire::int32(static_cast<std::uint32_t>(first.size())) + first)));
        out = std::exchange(machine.output(), {});
        request = wire::take(out);
        ASSERT_TRUE(request);
        const auto end = feed(wire::message('p', *client.final(request->body.substr(4))));
        ASSERT_TRUE(end);
        EXPECT_EQ(end->kind, right ? Kind::accepted : Kind::broken);
        if (!right) {
            EXPECT_EQ(code_of(machine.output()), "28P01");
        }
        EXPECT_EQ(machine.state(), right ? ClientState::welcoming : ClientState::over);
    }
}

TEST(ClientMachine, TlsIsOfferedIfConfigured) {
    const std::string ssl_request = wire::untyped(wire::int32(80877103));
    ClientMachine without({});
    without.receive(ssl_request);
    EXPECT_FALSE(without.next());
    EXPECT_EQ(without.output(), "N");
    ClientMachine with({true, true, {}});
    with.receive(ssl_request);
    EXPECT_EQ(with.next()->kind, Kind::begin_tls);
    EXPECT_EQ(with.output(), "S");
    with.secured();
    with.receive(wire::startup({{"user", "u"}}));
    EXPECT_EQ(with.next()->kind, Kind::start);
    // Unencrypted bytes behind the request: CVE-2021-23214.
    ClientMachine injected({true, false, {}});
    injected.receive(ssl_request + wire::startup({{"user", "u"}}));
    EXPECT_EQ(injected.next()->kind, Kind::broken);
    ClientMachine clear({true, true, {}});
    clear.receive(wire::startup({{"user", "u"}}));
    EXPECT_EQ(clear.next()->kind, Kind::broken);
    EXPECT_EQ(code_of(clear.output()), "28000");
    ClientMachine twice({});
    twice.receive(ssl_request + ssl_request);
    EXPECT_EQ(twice.next()->kind, Kind::broken);
}

TEST(ClientMachine, NewerProtocolVersionIsNegotiatedDown) {
    ClientMachine machine({});
    machine.receive(wire::untyped(wire::int32(3 << 16 | 2) + wire::text0("user") + wire::text0("u") +
                                  wire::text0("_pq_.x") + wire::text0("1") + '\0'));
    const auto start = machine.next();
    ASSERT_TRUE(start);
    EXPECT_EQ(start->kind, Kind::start);
    EXPECT_EQ(start->startup.find("_pq_.x"), nullptr);
    std::string out = machine.output();
    const auto told = wire::take(out);
    ASSERT_TRUE(told);
    EXPECT_EQ(told->type, 'v');
    EXPECT_EQ(told->body, wire::int32(0) + wire::int32(1) + wire::text0("_pq_.x"));
}

TEST(ClientMachine, UnsupportedStartupsAreRejected) {
    const auto refused = [](const std::string& packet) {
        ClientMachine machine({});
        machine.receive(packet);
        const auto event = machine.next();
        EXPECT_TRUE(event && event->kind == Kind::broken);
        EXPECT_EQ(machine.state(), ClientState::over);
        return code_of(machine.output());
    };
    EXPECT_EQ(refused(wire::startup({{"user", "u"}, {"replication", "database"}})), "0A000");
    EXPECT_EQ(refused(wire::startup({{"database", "u"}})), "28000");
    EXPECT_EQ(refused(wire::untyped(wire::int32(2 << 16))), "08P01");
}

TEST(ClientMachine, UnexpectedPasswordIsRejected) {
    ClientMachine machine({});
    machine.receive(wire::startup({{"user", "u"}}));
    (void)machine.next();
    machine.authenticate({});
    machine.welcome({}, {});
    machine.receive(wire::message('p', wire::text0("x")));
    EXPECT_EQ(machine.next()->kind, Kind::broken);
}

}  // namespace
}  // namespace flaxdoor::pg
