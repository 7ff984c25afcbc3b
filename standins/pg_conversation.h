// What one logged-in session of the PostgreSQL stand-in answers: messages in, bytes out, by the manual's
// chapter "Message Flow". No sockets. Statements and portals by name, row limits, errors that skip to the
// Sync, implicit transactions, COPY, settings that are reported with the end of a query.
//
// Threading: one thread.   Ownership: shares the database; journal and `standby` are borrowed.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "standins/pg_engine.h"
#include "standins/pg_text.h"

namespace standins::pg {

[[nodiscard]] std::string error_message(const std::string& severity, const Problem& problem);

class Conversation {
public:
    // `settings` are those that the server reports, as its welcome told them.
    Conversation(std::shared_ptr<Database> database, Journal& journal, Backend::Identity identity,
                 const std::map<std::string, std::string>& settings, const bool& standby)
        : backend_(std::move(database), journal, std::move(identity), settings),
          told_(settings),
          standby_(standby) {}

    void take(const Message& m);
    // The answers so far; they are taken away.
    std::string& out() { return out_; }
    bool sleeps() const { return sleeping_; }  // takes no message meanwhile
    bool endless() const { return endless_; }  // rows for a COPY without end are wanted

    void interrupt();  // a cancel has come: it hits what sleeps
    void wake();       // what sleeps ends by itself

private:
    struct Prepared {
        StatementPtr statement;
        std::vector<Column> columns;  // of its result, when it was prepared
    };
    struct Portal {
        StatementPtr statement;
        Row values;
        std::optional<Result> result;  // once it has been executed
        std::size_t at = 0;            // rows of it that were sent
    };

    const Prepared& prepared(const std::string& name) const;
    Portal& portal(const std::string& name);
    void take_sound(const Message& m);
    void parse(const std::string& body);
    void bind(const std::string& body);
    void describe(const std::string& body);
    void execute(const std::string& body);
    void simple(const std::string& sql);
    const Result& run(const StatementPtr& statement, const Row& values);
    void show(const Result& result, std::size_t& at, std::size_t most);
    void take_copy(const Message& m);
    void fail(const Problem& problem);
    void ready();

    Backend backend_;
    std::map<std::string, std::string> told_;
    const bool& standby_;
    std::string out_, copied_;
    std::map<std::string, Prepared> prepared_;
    std::map<std::string, Portal> portals_;
    StatementPtr running_;
    Result result_;
    bool skipping_ = false, extended_ = false, simple_ = false;
    bool copying_ = false, sleeping_ = false, endless_ = false;
};

}  // namespace standins::pg
