// A statement for which a fleet budget has no permit is rejected at once and never executed, and the session
// continues.
#include "fake_admission.h"
#include "rig.h"

namespace flaxdoor::pg::test {
namespace {

using flaxdoor::test::FakeAdmission;

TEST(PgBudget, StatementWithoutPermitIsNotExecutedAndGetsARetryTime) {
    FakeAdmission quota;
    Rig rig(&quota);
    rig.start({"a"});
    const auto client = Client::logged_in(rig);
    quota.remaining_calls = 0;
    for (const std::string& bytes : {simple(insert(1)), unit(insert(1))}) {
        const Answer refused = client->ask(bytes);
        EXPECT_EQ(refused.code, "53000") << refused.text;
        EXPECT_NE(refused.text.find("over budget"), std::string::npos) << refused.text;
        EXPECT_NE(refused.detail.find("Come back in 7"), std::string::npos) << refused.detail;
        EXPECT_EQ(refused.status, 'I');
    }
    EXPECT_EQ(rig.journal.effects[1].executed, 0);
    quota.remaining_calls = FakeAdmission::no_limit;
    EXPECT_EQ(client->ask(simple(insert(1))).errors, 0);
    EXPECT_EQ(rig.journal.effects[1].committed, 1);
}

// A transaction is one call, under the permit of its first statement, so none is aborted halfway for lack of
// another permit.
TEST(PgBudget, StartedTransactionNeedsNoFurtherPermit) {
    FakeAdmission quota;
    Rig rig(&quota);
    rig.start({"a"});
    const auto client = Client::logged_in(rig);
    quota.remaining_calls = 1;
    EXPECT_EQ(client->ask(simple("BEGIN")).status, 'T');
    EXPECT_EQ(client->ask(simple(insert(1))).errors, 0);
    EXPECT_EQ(client->ask(unit(insert(2))).errors, 0);
    EXPECT_EQ(client->ask(simple("COMMIT")).tag, "COMMIT");
    for (const long i : {1, 2}) EXPECT_EQ(rig.journal.effects[i].committed, 1) << i;
    EXPECT_EQ(client->ask(simple("BEGIN")).code, "53000") << "the next transaction needs its own permit";
    EXPECT_EQ(client->ask(simple(insert(3))).code, "25P02")
        << "no statement runs outside of the rejected transaction";
    EXPECT_EQ(rig.journal.effects[3].executed, 0);
}

// The coordinator gives a permit to another balancer once the longest attempt must have ended. A transaction that
// went on for longer had its permit used twice.
TEST(PgBudget, TransactionEndsWithTheLimitOfItsPermit) {
    for (const bool under_way : {false, true}) {
        SCOPED_TRACE(under_way);
        FakeAdmission quota;
        quota.whole_attempt_limit = 1s;
        Rig rig(&quota);
        rig.start({"a"});
        const auto client = Client::logged_in(rig);
        EXPECT_EQ(client->ask(simple("BEGIN")).status, 'T');
        EXPECT_EQ(client->ask(simple(insert(1))).errors, 0);
        if (under_way) client->send(simple("SELECT pg_sleep(100)"));
        // The server is idle again, or has lost the connection: the transaction is rolled back.
        ASSERT_TRUE(rig.until([&] { return rig.servers[0]->sessions() == 0; }));
        if (!under_way) client->send(simple(insert(2)));
        ASSERT_TRUE(client->answered(3));
        const Answer told = client->answers()[2];
        EXPECT_EQ(told.code, "57014");
        EXPECT_EQ(told.status, 'E');
        EXPECT_EQ(client->ask(simple("COMMIT")).tag, "ROLLBACK");
        for (const long i : {1, 2}) EXPECT_EQ(rig.journal.effects[i].committed, 0) << i;
    }
}

// The server is dead, and there is no permit for another attempt: the statement was not executed, and the
// client is told so.
TEST(PgBudget, RetryWithoutPermitIsRejected) {
    FakeAdmission quota;
    Rig rig(&quota);
    rig.start({"a", "b"});
    const auto client = Client::logged_in(rig);
    quota.remaining_retries = 0;
    std::size_t served = 0;
    for (long i = 1; i <= 20 && quota.refused == 0; ++i) {
        rig.servers[static_cast<std::size_t>(i % 2)]->die(true);
        const Answer answer = client->ask(simple(insert(i)));
        served += answer.errors == 0;
        EXPECT_EQ(rig.journal.effects[i].committed, answer.errors == 0 ? 1 : 0) << i << " " << answer.code;
        if (answer.errors > 0) {
            EXPECT_EQ(answer.code, "53000") << answer.text;
        }
        rig.servers[static_cast<std::size_t>(i % 2)]->restart();
    }
    EXPECT_GT(quota.refused, 0) << served << " served";
    quota.remaining_retries = FakeAdmission::no_limit;
    EXPECT_EQ(client->ask(simple(insert(99))).errors, 0);
}

}  // namespace
}  // namespace flaxdoor::pg::test
