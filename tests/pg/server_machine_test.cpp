// Server connections: login, expected answers, and which bytes were written.
#include "pg/server_machine.h"

#include <gtest/gtest.h>

#include "standins/pg_text.h"

namespace flaxdoor::pg {
namespace {

namespace wire = standins::pg;
using Kind = ServerEvent::Kind;

const std::string welcome = wire::message('R', wire::int32(0)) +
                            wire::message('S', wire::text0("in_hot_standby") + wire::text0("off")) +
                            wire::message('K', wire::int32(1) + wire::int32(2)) + wire::message('Z', "I");

ServerOptions plain_options() {
    ServerOptions options;
    options.user = "u";
    options.database = "d";
    return options;
}

ServerMachine logged_in_machine() {
    ServerMachine machine(plain_options());
    machine.receive(welcome);
    EXPECT_EQ(machine.next()->kind, Kind::logged_in);
    machine.wrote(machine.output().size());
    return machine;
}

std::string error(const std::string& severity, const std::string& code) {
    return wire::message('E', 'S' + wire::text0(severity) + 'V' + wire::text0(severity) + 'C' +
                                  wire::text0(code) + 'M' + wire::text0("x") + '\0');
}

TEST(ServerMachine, FailedLogins) {
    const auto fails = [](const std::string& said, ScramSecret* secret = nullptr) {
        ServerOptions options = plain_options();
        options.secret = secret;
        options.nonce = "n";
        ServerMachine machine(options);
        machine.receive(said);
        const auto event = machine.next();
        EXPECT_TRUE(event && event->kind == Kind::failed);
        EXPECT_EQ(machine.state(), ServerState::broken);
        return event ? event->code : "";
    };
    ScramSecret secret{"pw", {}, {}, 0};
    EXPECT_EQ(fails(error("FATAL", "57P03")), "57P03");
    EXPECT_EQ(fails(wire::message('R', wire::int32(3))), "28000");
    EXPECT_EQ(fails(wire::message('R', wire::int32(5) + "salt")), "28000") << "no password is configured";
    EXPECT_EQ(fails(wire::message('R', wire::int32(10) + wire::text0("OTHER") + '\0'), &secret), "28000");
    EXPECT_EQ(fails(wire::message('Z', "I")), "08P01");
    EXPECT_EQ(fails(wire::message('D', "")), "08P01");
    EXPECT_EQ(fails("?"), "08P01");
    // The server omits the proof that it knows the secret.
    EXPECT_EQ(fails(wire::message('R', wire::int32(10) + wire::text0("SCRAM-SHA-256") + '\0') +
                        wire::message('R', wire::int32(0)),
                    &secret),
              "08P01");
}

TEST(ServerMachine, RequestsTls) {
    ServerOptions options = plain_options();
    options.tls = ServerOptions::Tls::verify_full;
    ServerMachine strict(options);
    EXPECT_EQ(strict.output(), wire::untyped(wire::int32(80877103)));
    strict.receive("N");
    EXPECT_EQ(strict.next()->kind, Kind::failed);
    ServerMachine injected(options);
    injected.receive("S" + welcome);
    EXPECT_EQ(injected.next()->kind, Kind::failed) << "CVE-2021-23222";
    options.tls = ServerOptions::Tls::prefer;
    ServerMachine prefers(options);
    prefers.receive("N" + welcome);
    EXPECT_EQ(prefers.next()->kind, Kind::failed) << "bytes followed the one-byte answer";
    ServerMachine clear(options);
    clear.receive("N");
    EXPECT_FALSE(clear.next());
    clear.receive(welcome);
    EXPECT_EQ(clear.next()->kind, Kind::logged_in);
}

TEST(ServerMachine, TracksWrittenBytesExactly) {
    ServerMachine machine = logged_in_machine();
    machine.begin_unit();
    machine.flush();
    machine.mark(true, false);
    machine.query("SELECT 1" + std::string(1, '\0'));
    machine.mark(false, true);
    machine.sync();
    EXPECT_FALSE(machine.may_have_run());
    machine.wrote(5);  // the Flush
    EXPECT_FALSE(machine.may_have_run());
    machine.wrote(1);
    EXPECT_TRUE(machine.may_have_run());
    EXPECT_FALSE(machine.may_have_committed());
    machine.wrote(13);
    EXPECT_FALSE(machine.may_have_committed());
    machine.wrote(1);
    EXPECT_TRUE(machine.may_have_committed());
}

TEST(ServerMachine, UnexpectedMessagesBreakTheConnection) {
    for (const std::string& said :
         {wire::message('D', wire::int16(0)), wire::message('1', ""), wire::message('Z', "I"),
          error("ERROR", "XX000"), error("FATAL", "57P01"),
          wire::message('K', wire::int32(1) + wire::int32(2)), wire::message('t', "")}) {
        ServerMachine machine = logged_in_machine();
        machine.receive(said);
        EXPECT_EQ(machine.next()->kind, Kind::broken);
        EXPECT_FALSE(machine.next());
    }
    ServerMachine machine = logged_in_machine();
    machine.sync();
    machine.receive(wire::message('C', wire::text0("SELECT 1")));
    EXPECT_EQ(machine.next()->kind, Kind::broken);
}

TEST(ServerMachine, ErrorSkipsToSync) {
    ServerMachine machine = logged_in_machine();
    Statements statements;
    const auto statement = statements.intern("SELECT 1", wire::int16(0));
    machine.parse("s", statement, false);
    machine.bind("", "s", wire::int16(0) + wire::int16(0) + wire::int16(0));
    machine.receive(error("ERROR", "42601"));
    EXPECT_EQ(machine.next()->kind, Kind::message);
    EXPECT_FALSE(machine.is_prepared("s", statement)) << "the statement was not prepared";
    machine.execute(wire::text0("") + wire::int32(0));  // already in transit: the server discards it
    machine.sync();
    machine.receive(wire::message('Z', "E"));
    const auto ready = machine.next();
    ASSERT_TRUE(ready);
    EXPECT_EQ(ready->kind, Kind::ready);
    EXPECT_EQ(ready->status, 'E');
    EXPECT_TRUE(machine.is_idle());
}

TEST(ServerMachine, FunctionCallIsAnsweredOnce) {
    ServerMachine machine = logged_in_machine();
    machine.begin_unit();
    machine.mark(true, true);
    machine.function_call(wire::int32(1) + wire::int16(0) + wire::int16(0) + wire::int16(0));
    EXPECT_EQ(machine.output().front(), 'F');
    machine.receive(wire::message('V', wire::int32(~0u)) + wire::message('Z', "I"));
    EXPECT_EQ(machine.next()->message.type, 'V');
    EXPECT_EQ(machine.next()->kind, Kind::ready);
    EXPECT_TRUE(machine.is_idle());
    machine.receive(wire::message('V', wire::int32(~0u)));
    EXPECT_EQ(machine.next()->kind, Kind::broken);
}

TEST(ServerMachine, HiddenParsesAreNotPassedOn) {
    ServerMachine machine = logged_in_machine();
    Statements statements;
    const auto statement = statements.intern("SELECT 1", wire::int16(0));
    machine.ensure_prepared("s", statement);
    machine.ensure_prepared("s", statement);
    machine.answer_locally("local");
    machine.sync();
    std::string out(machine.output());
    std::string types;
    while (const auto message = wire::take(out)) types += message->type;
    EXPECT_EQ(types, "PS");
    machine.receive(wire::message('1', "") + wire::message('Z', "I"));
    EXPECT_EQ(machine.next()->kind, Kind::local_answer);
    EXPECT_EQ(machine.next()->kind, Kind::ready);
    EXPECT_FALSE(machine.next());
    EXPECT_EQ(statements.intern("SELECT 1", wire::int16(0)), statement) << "equal texts share one statement";
}

TEST(ServerMachine, PreparedStatementsAreLimited) {
    ServerOptions options = plain_options();
    options.max_prepared = 3;
    ServerMachine machine(options);
    machine.receive(welcome);
    (void)machine.next();
    Statements statements;
    std::vector<PreparedPtr> held;
    for (int i = 0; i < 6; ++i) {
        held.push_back(statements.intern("SELECT " + std::to_string(i), wire::int16(0)));
        machine.ensure_prepared("s" + std::to_string(i), held.back());
    }
    machine.ensure_prepared("s0", held[0]);  // used again
    machine.close_least_recently_used();
    EXPECT_TRUE(machine.is_prepared("s0", held[0]));
    EXPECT_FALSE(machine.is_prepared("s1", held[1]));
    EXPECT_TRUE(machine.is_prepared("s5", held[5]));
}

}  // namespace
}  // namespace flaxdoor::pg
