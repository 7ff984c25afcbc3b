// The relay between a client and a node: what passes, what is lost on which way, what comes twice.
#include "standins/relay.h"

#include "rig.h"

namespace flaxdoor::standins {
namespace {

class RelayTest : public Rig {
protected:
    RelayTest() { relay.to(server->address()); }
    std::unique_ptr<ScriptedClient> client() { return connect(relay.address()); }

    std::unique_ptr<BookingNode> server = node();
    std::vector<std::string> bodies;
    Relay relay{loop, {1, [this](std::string_view body) { bodies.emplace_back(body); }}};
};

TEST_F(RelayTest, PassesAndTells) {
    const auto asking = client();
    for (int i = 0; i < 3; ++i) expect_served(*asking, call());
    expect_served(*asking, call(CallKind::unsafe));
    EXPECT_EQ(relay.counts().answers, 4u);
    ASSERT_EQ(bodies.size(), 4u);
    EXPECT_EQ(bodies[0], "");
    EXPECT_EQ(bodies[3], "seats=4");
}

TEST_F(RelayTest, CutsOneWayOrBoth) {
    struct Case {
        Relay::Cut cut;
        std::uint64_t ran;
    };
    for (const auto& [cut, ran] :
         {Case{Relay::Cut::requests, 0}, Case{Relay::Cut::answers, 1}, Case{Relay::Cut::both, 0}}) {
        const auto before = server->counts().ran;
        const auto lost = relay.counts().lost;
        relay.cut(cut);
        const auto cut_off = client();
        cut_off->send(call());
        ASSERT_TRUE(wait_until([&] { return relay.counts().lost > lost; }));
        EXPECT_EQ(server->counts().ran - before, ran);
        EXPECT_EQ(cut_off->end(), End::open);
        EXPECT_TRUE(cut_off->answers().empty());
        relay.cut(Relay::Cut::none);
        expect_end(*cut_off, End::rst);
        expect_served(*client(), call());
    }
}

TEST_F(RelayTest, DropsHoldsDoublesRepeats) {
    relay.chances({.dropped = 1});
    const auto dropped = client();
    dropped->send(call());
    expect_end(*dropped, End::fin);
    EXPECT_EQ(server->counts().ran, 1u);

    relay.chances({.held = 1, .hold = milliseconds(30), .delay = milliseconds(5)});
    expect_served(*client(), call());
    EXPECT_EQ(relay.counts().held, 1u);

    relay.chances({.doubled = 1});
    expect_served(*client(), call());
    EXPECT_TRUE(wait_until([&] { return server->counts().ran == 4; }));

    relay.chances({.repeated = 1});
    expect_served(*client(), call());
    EXPECT_EQ(server->counts().ran, 6u);
    EXPECT_EQ(relay.counts().repeated, 1u);
}

TEST_F(RelayTest, OfOneSeedOneFate) {
    const auto fates = [&](std::uint64_t seed) {
        Relay by_seed(loop, {seed, {}});
        by_seed.to(server->address());
        by_seed.chances({.dropped = 0.5});
        std::string all;
        for (int i = 0; i < 24; ++i) {
            const auto asking = connect(by_seed.address());
            const auto asked = call();
            asking->send(asked);
            EXPECT_TRUE(wait_until([&] { return !asking->answers().empty() || asking->end() != End::open; }));
            all += asking->answers().empty() ? 'x' : '.';
        }
        return all;
    };
    const auto first = fates(7);
    EXPECT_EQ(first, fates(7));
    EXPECT_NE(first, fates(8));
}

TEST_F(RelayTest, NoServerClosesTheClient) {
    server->die();
    const auto asking = client();
    asking->send(call());
    expect_end(*asking, End::fin);
    EXPECT_EQ(relay.counts().unreachable, 1u);
}

}  // namespace
}  // namespace flaxdoor::standins
