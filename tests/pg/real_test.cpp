// Real servers and real clients: PostgreSQL 15, psql, pgbench in its three query modes, libpq with its
// pipeline mode, libpqxx; servers that are killed, stopped and promoted under load.
#include <libpq-fe.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <pqxx/pqxx>
#include <set>
#include <thread>

#include "clusters.h"
#include "rig.h"
#include "tls/certificates.h"

namespace flaxdoor::pg::test {
namespace {

using std::string;

// The service before real clusters, on a thread of its own.
struct Running {
    explicit Running(const std::vector<Cluster*>& clusters, Mode mode = Mode::transaction,
                     Role role = Role::any, const string& password = "") {
        rig.session.mode = mode;
        rig.role = role;
        rig.pool.connections = 16;
        auto made = rig.make();
        auto& db = made.databases[0];
        db.name = db.back.database = "postgres";
        made.front.users.clear();
        auto& user = made.front.users["app"];
        user.kind = password.empty() ? Authentication::Kind::trust : Authentication::Kind::scram;
        user.verifier = make_verifier(password, "0123456789abcdef", scram_iterations);
        made.secrets["app"].password = password;
        for (std::size_t i = 0; i < clusters.size(); ++i) {
            core::Member member;
            member.name = "c" + std::to_string(i);
            member.address = "127.0.0.1:" + std::to_string(clusters[i]->port());
            member.entry.id = i + 1;
            member.entry.memory.emplace().limit = 16;
            db.members.push_back(member);
        }
        rig.begin(std::move(made));
        port = rig.service->address().port();
        thread = std::thread([this] {
            const auto work = asio::make_work_guard(rig.io);
            rig.io.run();
        });
    }
    ~Running() {
        asio::post(rig.io, [this] { rig.io.stop(); });
        thread.join();
    }
    string at() const {
        return "host=127.0.0.1 port=" + std::to_string(port) + " user=app dbname=postgres sslmode=disable";
    }
    string flags() const { return " -h 127.0.0.1 -p " + std::to_string(port) + " -U app "; }

    Rig rig;
    int port = 0;
    std::thread thread;
};

class Real : public testing::Test {
protected:
    void SetUp() override {
        if (!have_postgres()) GTEST_SKIP() << "no PostgreSQL 15 here (package postgresql-15)";
    }
};

using Connection = std::unique_ptr<PGconn, decltype(&PQfinish)>;
Connection connect(const string& at) { return {PQconnectdb(at.c_str()), PQfinish}; }

struct Said {
    bool ok = false;
    string code;
};
Said ask(PGconn* connection, const string& sql) {
    PGresult* const result = PQexec(connection, sql.c_str());
    const auto status = PQresultStatus(result);
    Said said{status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK, ""};
    if (const char* const code = PQresultErrorField(result, PG_DIAG_SQLSTATE)) said.code = code;
    PQclear(result);
    return said;
}

TEST_F(Real, PsqlAndPgbenchInAllTheirModes) {
    Cluster cluster;
    cluster.make();
    for (const Mode mode : {Mode::transaction, Mode::session}) {
        Running running({&cluster}, mode);
        const Ran psql =
            run("psql -X -A -t" + running.flags() +
                "-d postgres -c 'SELECT 41 + 1' -c 'CREATE TEMP TABLE t (a int)' "
                "-c '\\copy t from /dev/stdin' -c 'SELECT sum(a) FROM t' <<'X'\n1\n2\n39\n\\.\nX");
        EXPECT_EQ(psql.output, "42\nCREATE TABLE\nCOPY 3\n42\n");
        const Ran made = run("pgbench -i -s 1 -q" + running.flags() + "postgres");
        ASSERT_EQ(made.status, 0) << made.output;
        for (const string protocol : {"simple", "extended", "prepared"}) {
            const Ran ran = run("pgbench -n -c 8 -j 2 -t 100 -M " + protocol + running.flags() + "postgres");
            EXPECT_EQ(ran.status, 0) << ran.output;
            EXPECT_NE(ran.output.find("800/800"), string::npos) << ran.output;
        }
        EXPECT_EQ(cluster.sql("SELECT count(*) FROM pgbench_history"), "2400");
    }
}

TEST_F(Real, LibpqsPipelineMode) {
    Cluster cluster;
    cluster.make();
    cluster.sql("CREATE TABLE t (a int)");
    Running running({&cluster});
    const auto connection = connect(running.at());
    ASSERT_EQ(PQstatus(connection.get()), CONNECTION_OK) << PQerrorMessage(connection.get());
    ASSERT_EQ(PQenterPipelineMode(connection.get()), 1);
    for (int i = 0; i < 100; ++i) {
        const string value = std::to_string(i);
        const char* const values[] = {value.c_str()};
        ASSERT_EQ(PQsendQueryParams(connection.get(),
                                    i == 50 ? "SELECT 1/(50-$1::int)" : "INSERT INTO t VALUES ($1::int)", 1,
                                    nullptr, values, nullptr, nullptr, 0),
                  1);
        ASSERT_EQ(PQpipelineSync(connection.get()), 1);
    }
    int done = 0, failed = 0;
    for (int i = 0; i < 100; ++i) {
        PGresult* result = PQgetResult(connection.get());
        done += PQresultStatus(result) == PGRES_COMMAND_OK;
        failed += PQresultStatus(result) == PGRES_FATAL_ERROR;
        PQclear(result);
        EXPECT_EQ(PQgetResult(connection.get()), nullptr);
        result = PQgetResult(connection.get());
        EXPECT_EQ(PQresultStatus(result), PGRES_PIPELINE_SYNC);
        PQclear(result);
    }
    EXPECT_EQ(done, 99);
    EXPECT_EQ(failed, 1);
    EXPECT_EQ(cluster.sql("SELECT count(*) FROM t"), "99");
}

TEST_F(Real, Libpqxx) {
    Cluster cluster;
    cluster.make();
    cluster.sql("CREATE TABLE t (a int, b text)");
    Running running({&cluster});
    pqxx::connection connection(running.at());
    connection.prepare("put", "INSERT INTO t VALUES ($1, $2)");
    {
        pqxx::work work(connection);
        for (int i = 0; i < 20; ++i) work.exec_prepared("put", i, "x");
        work.commit();
    }
    {
        pqxx::work work(connection);
        pqxx::stream_to stream(work, "t", std::vector<string>{"a", "b"});
        for (int i = 0; i < 1000; ++i) stream << std::make_tuple(i, string(100, 'y'));
        stream.complete();
        work.commit();
    }
    {
        pqxx::work work(connection);
        work.exec_prepared("put", 1, "never");
        work.abort();
    }
    pqxx::nontransaction reading(connection);
    EXPECT_EQ(reading.exec1("SELECT count(*) FROM t")[0].as<int>(), 1020);
    EXPECT_THROW(reading.exec("SELECT 1/0"), pqxx::data_exception);
}

TEST_F(Real, PasswordsOnBothSidesAndCancel) {
    for (const string auth : {"scram-sha-256", "md5"}) {
        Cluster cluster;
        cluster.make(auth);
        Running running({&cluster}, Mode::transaction, Role::any, "secret");
        const auto right = connect(running.at() + " password=secret");
        ASSERT_EQ(PQstatus(right.get()), CONNECTION_OK) << auth << PQerrorMessage(right.get());
        EXPECT_TRUE(ask(right.get(), "SELECT 1").ok);
        const auto wrong = connect(running.at() + " password=other");
        EXPECT_EQ(PQstatus(wrong.get()), CONNECTION_BAD);
        PGcancel* const cancel = PQgetCancel(right.get());
        ASSERT_EQ(PQsendQuery(right.get(), "SELECT pg_sleep(60)"), 1);
        std::array<char, 256> error{};
        // It may come before the query has: then it does nothing, and another is sent.
        while (PQisBusy(right.get())) {
            ASSERT_EQ(PQcancel(cancel, error.data(), error.size()), 1) << error.data();
            ASSERT_EQ(PQconsumeInput(right.get()), 1);
        }
        PQfreeCancel(cancel);
        PGresult* const result = PQgetResult(right.get());
        EXPECT_STREQ(PQresultErrorField(result, PG_DIAG_SQLSTATE), "57014");
        PQclear(result);
        while (PGresult* const more = PQgetResult(right.get())) PQclear(more);
        EXPECT_TRUE(ask(right.get(), "SELECT 1").ok);
    }
}

TEST_F(Real, SettingsAndPlansGoWithTheClient) {
    Cluster cluster;
    cluster.make();
    cluster.sql("CREATE TABLE t (a int)");
    Running running({&cluster});
    const auto first = connect(running.at()), second = connect(running.at());
    const auto zone = [](PGconn* connection) {
        PGresult* const result = PQexec(connection, "SHOW TimeZone");
        const string value = PQresultStatus(result) == PGRES_TUPLES_OK ? PQgetvalue(result, 0, 0)
                                                                       : PQresultErrorMessage(result);
        PQclear(result);
        return value;
    };
    const string before = zone(second.get());
    ASSERT_TRUE(ask(first.get(), "SET TimeZone TO 'Asia/Tokyo'").ok);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(zone(second.get()), before);
        EXPECT_EQ(zone(first.get()), "Asia/Tokyo");
    }
    // One that is rolled back is not kept.
    (void)ask(second.get(), "BEGIN");
    (void)ask(second.get(), "SET TimeZone TO 'Asia/Tokyo'");
    (void)ask(second.get(), "ROLLBACK");
    EXPECT_EQ(zone(second.get()), before);

    PQclear(PQprepare(first.get(), "s", "SELECT * FROM t", 0, nullptr));
    const auto use = [&] {
        PGresult* const result = PQexecPrepared(first.get(), "s", 0, nullptr, nullptr, nullptr, 0);
        const char* const code = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        const string said = code ? code : "columns " + std::to_string(PQnfields(result));
        PQclear(result);
        return said;
    };
    EXPECT_EQ(use(), "columns 1");
    ASSERT_TRUE(ask(second.get(), "ALTER TABLE t ADD COLUMN b int").ok);
    EXPECT_EQ(use(), "0A000") << "once, as without a pooler";
    EXPECT_EQ(use(), "columns 2");
}

TEST_F(Real, TlsOnBothSides) {
    const tls::test::Certificate here("here.example"), there("there.example"), stranger("there.example");
    Cluster cluster;
    cluster.make("trust", "", {there.certificate(), there.key()});
    for (const bool trusted : {true, false}) {
        Rig rig;
        rig.deadline = 2s;
        auto made = rig.make();
        made.front.context = tls::Context::for_clients(here.certificate(), here.key());
        made.front.tls_required = true;
        made.front.users["app"].kind = Authentication::Kind::trust;
        auto& db = made.databases[0];
        db.name = db.back.database = "postgres";
        db.back.tls = ServerOptions::Tls::verify_full;
        db.back.context = tls::Context::for_servers((trusted ? there : stranger).certificate());
        core::Member member;
        member.name = "c";
        member.address = "127.0.0.1:" + std::to_string(cluster.port());
        member.entry.id = 1;
        db.back.names[1] = "there.example";
        db.members = {member};
        rig.begin(std::move(made));
        std::thread thread([&] {
            const auto work = asio::make_work_guard(rig.io);
            rig.io.run();
        });
        const string at =
            "hostaddr=127.0.0.1 host=here.example port=" + std::to_string(rig.service->address().port()) +
            " user=app dbname=postgres ";
        EXPECT_EQ(PQstatus(connect(at + "sslmode=disable").get()), CONNECTION_BAD);
        const auto secure = connect(at + "sslmode=verify-full sslrootcert=" + here.certificate());
        EXPECT_EQ(PQstatus(secure.get()), trusted ? CONNECTION_OK : CONNECTION_BAD)
            << PQerrorMessage(secure.get());
        if (trusted) {
            PGresult* const result =
                PQexec(secure.get(), "SELECT ssl FROM pg_stat_ssl WHERE pid = pg_backend_pid()");
            EXPECT_STREQ(PQgetvalue(result, 0, 0), "t");
            PQclear(result);
            PGresult* const large = PQexec(secure.get(), "SELECT repeat('x', 3000000)");
            EXPECT_EQ(PQgetlength(large, 0, 0), 3'000'000);
            PQclear(large);
        }
        asio::post(rig.io, [&] { rig.io.stop(); });
        thread.join();
    }
}

// What clients were told of each number they put in.
struct Notes {
    std::mutex lock;
    std::set<long> committed, unknown, refused;
    std::atomic<long> told{0};
    void note(long number, const Said& said) {
        const std::lock_guard guard(lock);
        ++told;
        if (said.ok) {
            committed.insert(number);
        } else if (said.code.empty() || said.code == "08007" || said.code == "57014") {
            unknown.insert(number);
        } else {
            refused.insert(number);
        }
    }
};

// Half of them single statements, half transactions of three; each number once.
void put_in(const Running& running, Notes& notes, long first, const std::atomic<bool>& over) {
    auto connection = connect(running.at());
    for (long number = first; !over; ++number) {
        if (PQstatus(connection.get()) != CONNECTION_OK) {
            connection = connect(running.at());
            --number;
            continue;
        }
        const string insert = "INSERT INTO t VALUES (" + std::to_string(number) + ")";
        if (number % 2) {
            notes.note(number, ask(connection.get(), insert));
            continue;
        }
        Said said = ask(connection.get(), "BEGIN");
        if (said.ok) said = ask(connection.get(), insert);
        if (said.ok) said = ask(connection.get(), "SELECT 1");
        if (said.ok) {
            said = ask(connection.get(), "COMMIT");
        } else if (said.code == "08007") {
            said.code = "08006";  // no COMMIT was out: whatever became of the rest, it is not there
        } else if (said.code.empty()) {
            said.code = "08006";
        }
        notes.note(number, said);
        if (!said.ok && PQstatus(connection.get()) == CONNECTION_OK &&
            PQtransactionStatus(connection.get()) != PQTRANS_IDLE)
            (void)ask(connection.get(), "ROLLBACK");
    }
}

struct Load {
    Load(const Running& running, Notes& notes) {
        for (long i = 0; i < 8; ++i)
            threads.emplace_back(
                [&running, &notes, i, this] { put_in(running, notes, i * 10'000'000, over); });
    }
    ~Load() { end(); }
    void end() {
        over = true;
        for (auto& each : threads) each.join();
        threads.clear();
    }
    static void wait_for(Notes& notes, long more) {
        const long before = notes.told;
        while (notes.told < before + more) std::this_thread::yield();
    }
    std::atomic<bool> over{false};
    std::vector<std::thread> threads;
};

void judge(const std::vector<Cluster*>& clusters, const Notes& notes) {
    std::set<long> there;
    for (const Cluster* const cluster : clusters) {
        const Ran all = run("psql -X -q -A -t -h 127.0.0.1 -U app -d postgres -p " +
                            std::to_string(cluster->port()) + " -c 'SELECT a FROM t'");
        ASSERT_EQ(all.status, 0) << all.output;
        std::istringstream lines(all.output);
        for (long number; lines >> number;) EXPECT_TRUE(there.insert(number).second) << "twice: " << number;
    }
    for (const long number : notes.committed)
        EXPECT_TRUE(there.contains(number)) << "told committed and is not: " << number;
    for (const long number : there)
        EXPECT_TRUE(notes.committed.contains(number) || notes.unknown.contains(number))
            << "there, and told it is not: " << number;
    std::cout << "told committed " << notes.committed.size() << ", unknown " << notes.unknown.size()
              << ", not run or rolled back " << notes.refused.size() << "; there " << there.size() << "\n";
}

TEST_F(Real, OneKilledAndOneStoppedUnderLoad) {
    for (const Mode mode : {Mode::transaction, Mode::session}) {
        Cluster first, second;
        first.make();
        second.make();
        first.sql("CREATE TABLE t (a bigint)");
        second.sql("CREATE TABLE t (a bigint)");
        Notes notes;
        {
            Running running({&first, &second}, mode);
            Load load(running, notes);
            Load::wait_for(notes, 400);
            first.kill_all();
            Load::wait_for(notes, 400);
            first.start();
            Load::wait_for(notes, 400);
            second.stop("fast");
            Load::wait_for(notes, 400);
            load.end();
        }
        second.start();
        EXPECT_GE(notes.committed.size(), 500u);
        judge({&first, &second}, notes);
    }
}

TEST_F(Real, APrimaryDiesAndItsStandbyIsPromoted) {
    Cluster first, second;
    first.make("trust", "synchronous_standby_names = '*'\nsynchronous_commit = on\n");
    second.follow(first);
    first.sql("CREATE TABLE t (a bigint)");
    Notes notes;
    {
        Running running({&first, &second}, Mode::transaction, Role::primary);
        Load load(running, notes);
        using Steady = std::chrono::steady_clock;
        const auto ms = [](Steady::duration span) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) +
                   " ms";
        };
        const auto counts = [&] {
            const std::lock_guard guard(notes.lock);
            return std::array{notes.committed.size(), notes.unknown.size(), notes.refused.size()};
        };
        const auto served = [&](std::size_t so_many) {
            while (counts()[0] < so_many) std::this_thread::yield();
        };
        Load::wait_for(notes, 400);
        first.kill_all();
        const auto died = Steady::now();
        const auto then = counts();
        second.promote();
        const auto promoted = Steady::now();
        served(then[0] + 1);
        const auto now = counts();
        std::cout << "from the primary's death: promoted after " << ms(promoted - died)
                  << ", the successor served after " << ms(Steady::now() - died) << "; meanwhile "
                  << now[2] - then[2] << " told not run or rolled back, " << now[1] - then[1] << " unknown\n";
        served(then[0] + 100);
        load.end();
    }
    judge({&second}, notes);
}

}  // namespace
}  // namespace flaxdoor::pg::test
