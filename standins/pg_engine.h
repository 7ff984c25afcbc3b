// The tables and statements behind the PostgreSQL stand-in: what a session's statements do, what of it
// becomes visible by commit, and which errors they meet. No bytes and no sockets.
//
// A new database has the tables t (a bigint) and changed (c text), the latter with one row.
//
// Transactions: a change is kept with its session and applied when that commits. An UPDATE adds, so that it
// needs no locks: additions come out the same in any order.
// Threading: one thread.   Ownership: a Backend shares its database and borrows its journal.
// Errors: a Problem is thrown; the transaction has not heard of it before failed() is called.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/pg_statement.h"

namespace standins::pg {

struct Effect {
    int executed = 0, committed = 0;
};

constexpr std::size_t never = ~std::size_t{0};

// What all servers of a test did, and where the first of them dies.
struct Journal {
    std::map<long, Effect> effects;  // by the first value of each row that went into `t`
    std::vector<std::string> texts;  // run, in their order, with the server's name in front
    // The server that receives, or sends, the last of so many bytes of sessions (logins left out) dies. What
    // is whole among the bytes received is still run, and its answer lost.
    std::size_t receive_left = never, send_left = never;
    std::size_t received = 0, sent = 0;  // so far
};

using Row = std::vector<Value>;

struct Table {
    bool there = false;
    std::vector<Column> columns;
    std::vector<Row> rows;
};

// What is committed. It outlives the servers that show it: a server that dies and starts again has it, and
// one that follows another synchronously shows the same.
struct Database {
    Database();
    std::map<std::string, Table> tables;
};

struct Result {
    enum class Kind { command, rows, sleep, copy_in, copy_out, endless, empty };
    Kind kind = Kind::command;
    std::vector<Column> columns{};
    std::vector<Row> rows{};
    std::string tag{};
};

// One session's.
class Backend {
public:
    struct Identity {
        std::string server;
        std::uint32_t process = 0;
        bool tls = false;
        bool standby = false;  // takes no changes
    };
    Backend(std::shared_ptr<Database> database, Journal& journal, Identity identity,
            std::map<std::string, std::string> settings);
    ~Backend();
    Backend(const Backend&) = delete;

    char status() const { return status_; }  // I, T or E, as in ReadyForQuery
    void set_standby(bool standby) { its_.standby = standby; }
    const std::map<std::string, std::string>& settings() const { return settings_; }

    // In a failed transaction nothing is taken but its end (25P02).
    void admit(const Statement& statement) const;
    // Of its result, as the tables are now; none: it has no rows.
    [[nodiscard]] std::vector<Column> columns_of(const Statement& statement) const;
    [[nodiscard]] Result run(const Statement& statement, const Row& parameters);
    // What came for a COPY FROM; how many rows it was.
    std::size_t copy(const Statement& statement, const std::string& data);
    void failed();
    void end_of_query();  // a transaction that no BEGIN opened is committed

private:
    struct Change {
        std::string table;
        std::function<void(Table&)> apply;
    };
    struct Scope;

    [[nodiscard]] std::string key_of(const std::string& table) const;
    [[nodiscard]] Table view(const std::string& table, bool with_rows = true) const;
    [[nodiscard]] Table shape(const std::string& table) const { return view(table, false); }
    Value value_of(const Expression& x, const Scope& scope);
    Result select(const Statement& statement, const Row& parameters);
    void change(const std::string& table, std::function<void(Table&)> apply);
    void put(const Statement& statement, const Table& table, Row row);
    void commit();
    void forget_changes();
    void drop_temporary();

    std::shared_ptr<Database> database_;
    Journal& journal_;
    Identity its_;
    char status_ = 'I';
    std::vector<Change> changes_;
    std::vector<long> effects_;
    std::map<std::string, std::string> at_login_, committed_settings_, settings_;
    bool touched_ = false;            // settings, since the last commit
    std::vector<std::string> local_;  // settings that end with the transaction
};

}  // namespace standins::pg
