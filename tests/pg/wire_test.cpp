// Decoder and message bodies: every split gives the same result, every limit holds, and each malformed input
// gives one clear error.
#include "pg/wire.h"

#include <gtest/gtest.h>

#include "standins/pg_text.h"

namespace flaxdoor::pg {
namespace {

namespace wire = standins::pg;

// Returns all messages of a decoder, with pieces joined: "Q:select 1|S:|".
std::string read_all(Decoder& decoder) {
    std::string all;
    while (const auto message = decoder.next()) {
        if (message->first) all += std::string(1, message->type) + std::to_string(message->length) + ":";
        all += message->body;
        if (message->last) all += "|";
    }
    return all;
}

const std::string traffic = wire::query("SELECT 1") + wire::parse("s", "SELECT 2") + wire::bind("p", "s") +
                            wire::describe('P', "p") + wire::execute("p", 7) + wire::flush() + wire::sync() +
                            wire::copy_data(std::string(300, 'x')) + wire::copy_done() + wire::terminate();

TEST(Wire, EverySplitGivesTheSameMessages) {
    Limits limits;
    limits.held = 100;
    Decoder whole(Sender::client, limits);
    whole.feed(traffic);
    const std::string expected = read_all(whole);
    ASSERT_EQ(whole.error(), "");
    for (std::size_t at = 0; at <= traffic.size(); ++at) {
        Decoder split(Sender::client, limits);
        split.feed(std::string_view(traffic).substr(0, at));
        std::string got = read_all(split);
        split.feed(std::string_view(traffic).substr(at));
        got += read_all(split);
        EXPECT_EQ(got, expected) << at;
        EXPECT_TRUE(split.between_messages());
    }
    Decoder bytes(Sender::client, limits);
    std::string got;
    for (const char c : traffic) {
        bytes.feed(std::string_view(&c, 1));
        got += read_all(bytes);
    }
    EXPECT_EQ(got, expected);
}

TEST(Wire, RowsAndCopyDataAreNotBuffered) {
    Limits limits;
    limits.held = 1000;
    Decoder decoder(Sender::server, limits);
    std::string header;
    Writer(header).header('D', 100'000'000);
    decoder.feed(header);
    std::size_t passed = 0;
    const std::string piece(10'000, 'x');
    while (passed < 100'000'000) {
        decoder.feed(piece);
        while (const auto message = decoder.next()) passed += message->body.size();
        EXPECT_LE(decoder.buffered(), 1000u);
    }
    EXPECT_TRUE(decoder.between_messages());
}

TEST(Wire, MalformedInputGivesOneError) {
    const auto error_of = [](Sender sender, const std::string& bytes, bool password = false) {
        Limits limits;
        limits.whole = 1000;
        Decoder decoder(sender, limits);
        decoder.expect_password(password);
        decoder.feed(bytes);
        while (decoder.next()) {
        }
        const std::string error = decoder.error();
        decoder.feed(wire::sync());
        EXPECT_FALSE(decoder.next()) << "a failed decoder stays failed";
        return error;
    };
    EXPECT_EQ(error_of(Sender::client, "!"), "invalid message type '!'");
    EXPECT_EQ(error_of(Sender::client, wire::message('Z', "I")), "invalid message type 'Z'");
    EXPECT_EQ(error_of(Sender::server, wire::message('Q', "")), "invalid message type 'Q'");
    EXPECT_EQ(error_of(Sender::client, std::string("Q\0\0\0\3", 5)), "invalid message length for type 'Q'");
    EXPECT_EQ(error_of(Sender::client, wire::message('S', "x")), "invalid message length for type 'S'");
    EXPECT_EQ(error_of(Sender::server, wire::message('Z', "II")), "invalid message length for type 'Z'");
    EXPECT_EQ(error_of(Sender::client, "Q" + wire::int32(5000)),
              "message of type 'Q' is too large: 4996 bytes");
    EXPECT_EQ(error_of(Sender::client, "d" + wire::int32(0x7fffffff)), "invalid message length for type 'd'");
    EXPECT_EQ(error_of(Sender::client, "p" + wire::int32(1500), true),
              "message of type 'p' is too large: 1496 bytes");
}

TEST(Wire, StartUpPackets) {
    const auto read = [](const std::string& packet) {
        Decoder decoder(Sender::client, {});
        decoder.feed(packet);
        const auto body = decoder.next_startup();
        return body ? read_startup(*body) : Startup{};
    };
    const Startup start = read(wire::startup({{"user", "u"}, {"database", "d"}}));
    EXPECT_EQ(start.kind, Startup::Kind::start);
    EXPECT_EQ(*start.find("database"), "d");
    EXPECT_EQ(read(wire::cancel(5, 6)).key, (Key{5, 6}));
    EXPECT_EQ(read(wire::untyped(wire::int32(80877103))).kind, Startup::Kind::ssl);
    EXPECT_EQ(read(wire::untyped(wire::int32(80877104))).kind, Startup::Kind::gss);
    EXPECT_EQ(read(wire::untyped(wire::int32(2 << 16))).kind, Startup::Kind::malformed);
    EXPECT_EQ(read(wire::untyped(wire::int32(3 << 16) + "user")).kind, Startup::Kind::malformed);
    EXPECT_EQ(read(wire::untyped(wire::int32(3 << 16) + wire::text0("user"))).kind, Startup::Kind::malformed);
    EXPECT_EQ(read(wire::untyped(wire::int32(80877102) + "123")).kind, Startup::Kind::malformed);
    Decoder decoder(Sender::client, {});
    decoder.feed(wire::int32(20'000));
    EXPECT_FALSE(decoder.next_startup());
    EXPECT_NE(decoder.error(), "");
    std::string ours;
    write_startup(ours, {{"user", "u"}, {"database", "d"}});
    EXPECT_EQ(ours, wire::startup({{"user", "u"}, {"database", "d"}}));
}

// A body that is cut at any byte is rejected, and so is one with an extra byte.
TEST(Wire, TruncatedOrOverlongBodiesAreRejected) {
    const std::string parse =
        wire::text0("s") + wire::text0("SELECT 1") + wire::int16(2) + wire::int32(23) + wire::int32(25);
    const std::string bind = wire::text0("p") + wire::text0("s") + wire::int16(1) + wire::int16(0) +
                             wire::int16(2) + wire::int32(3) + "abc" + wire::int32(~0u) + wire::int16(1) +
                             wire::int16(0);
    ASSERT_TRUE(read_parse(parse));
    ASSERT_TRUE(read_bind(bind));
    EXPECT_EQ(read_bind(bind)->statement, "s");
    for (std::size_t at = 0; at < parse.size(); ++at) EXPECT_FALSE(read_parse(parse.substr(0, at))) << at;
    for (std::size_t at = 0; at < bind.size(); ++at) EXPECT_FALSE(read_bind(bind.substr(0, at))) << at;
    EXPECT_FALSE(read_parse(parse + "x"));
    EXPECT_FALSE(read_bind(bind + "x"));
    EXPECT_FALSE(read_bind(wire::text0("") + wire::text0("") + wire::int16(0) + wire::int16(1) +
                           wire::int32(-5u) + wire::int16(0)));
    EXPECT_FALSE(read_parse(wire::text0("") + wire::text0("") + wire::int16(-1)));
    EXPECT_FALSE(read_target("Xname" + std::string(1, '\0')));
    EXPECT_FALSE(read_target("Sname"));
    EXPECT_FALSE(read_text("no end"));
    EXPECT_FALSE(read_text(std::string("two\0ends\0", 9)));
    EXPECT_FALSE(read_error("Sno end"));
}

TEST(Wire, WrittenErrorsAreReadBack) {
    std::string out;
    write_error(out, {Severity::fatal, "57P01", "bye", "because", "do not"});
    const auto message = wire::take(out);
    ASSERT_TRUE(message);
    EXPECT_EQ(wire::fields(message->body), (std::map<char, std::string>{{'S', "FATAL"},
                                                                        {'V', "FATAL"},
                                                                        {'C', "57P01"},
                                                                        {'M', "bye"},
                                                                        {'D', "because"},
                                                                        {'H', "do not"}}));
    const auto ours = read_error(message->body);
    ASSERT_TRUE(ours);
    EXPECT_EQ(ours->severity, "FATAL");
    EXPECT_EQ(ours->code, "57P01");
}

}  // namespace
}  // namespace flaxdoor::pg
