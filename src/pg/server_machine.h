// One connection to a server, without its socket: login as a client of it, then units, each of which is a
// stream of messages out and answers in. It knows which answers are due, so that one out of turn is seen, and
// at which byte of its output each message that matters for the rules begins.
//
// Threading: one thread at a time.   Ownership: views in an event point into the machine, until its next
//            call; the secret in the options is borrowed.
// Use:       after receive() and every call that may bring something, pull next() until it is empty; then
//            write output() and tell wrote().
// Errors:    `failed` before the login is over, `spoilt` after: the connection is of no use any more, for
//            whatever reason; nothing comes after that.
// Format:    https://www.postgresql.org/docs/15/protocol-flow.html
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pg/prepared.h"
#include "pg/scram.h"
#include "pg/wire.h"

namespace flaxdoor::pg {

enum class ServerState : std::uint8_t {
    asking_tls,  // the server's one byte is due
    securing,    // the owner shakes hands, then calls secured()
    logging_in,
    up,
    spoilt,
};
[[nodiscard]] std::string_view text_of(ServerState state);

struct ServerOptions {
    std::string user, database;
    ScramSecret* secret = nullptr;  // null: no password is known
    enum class Tls : std::uint8_t { off, prefer, verify_full } tls = Tls::off;
    std::string nonce;
    Limits limits{};
    std::size_t prepared_most = 200;  // statements that are kept prepared there
};

struct ServerEvent {
    enum class Kind : std::uint8_t {
        begin_tls,  // shake hands; what stands in output() must have gone before
        logged_in,
        failed,   // the login: code (empty where there is none) and text
        message,  // for the client, as it came
        local,    // bytes for the client that stand in the place of an answer
        ready,    // a unit's end for the client: status
        settled,  // an own query has ended; code and text where it failed
        spoilt,   // code and text
    };
    Kind kind = Kind::message;
    Message message{};
    std::string text{}, code{};
    char status = 'I';
};

class ServerMachine {
public:
    explicit ServerMachine(ServerOptions options);

    void receive(std::string_view bytes) { decoder_.feed(bytes); }
    [[nodiscard]] std::optional<ServerEvent> next();
    void secured();

    std::string_view output() const { return std::string_view(output_).substr(written_here_); }
    void wrote(std::size_t bytes);

    ServerState state() const { return state_; }
    char status() const { return status_; }  // of the last ReadyForQuery
    Key key() const { return key_; }
    // What the server reported last, by its name in lower case.
    struct Reported {
        std::string name, value;
    };
    const std::map<std::string, Reported>& parameters() const { return parameters_; }
    bool is_standby() const;
    // No answer is due: it can be put by, or closed politely.
    bool quiet() const { return state_ == ServerState::up && dues_.empty(); }
    // A ReadyForQuery is due without another word to the server.
    bool ends_by_itself() const;
    // Bytes of a message stand half read: whoever the connection is given to would get the rest.
    bool between_messages() const { return decoder_.between_messages(); }

    // ------------------------------------------------------------------------------------------------- a
    // unit Forgets the marks of the unit before.
    void begin_unit();
    // Within a transaction that is open by the server's word: nothing of it has been committed.
    void begin_segment() { commits_.reset(); }
    // Whether the server may have begun to run something of the unit, or to end a transaction of it otherwise
    // than by rollback: whether a byte of such a message was handed over.
    bool may_have_run() const { return runs_ && written_ > *runs_; }
    bool may_have_committed() const { return commits_ && written_ > *commits_; }

    // The next message that is written runs something, or may commit.
    void mark(bool runs, bool commits);
    void query(std::string_view body);
    void parse(const std::string& name, const PreparedPtr& statement, bool hidden);
    void bind(std::string_view portal, const std::string& statement, std::string_view rest);
    void describe(char kind, std::string_view name);
    void execute(std::string_view body);
    void close(char kind, std::string_view name);
    void flush();
    void sync();
    void function_call(std::string_view body);
    // CopyData (in pieces), CopyDone, CopyFail.
    void copy(const Message& piece);
    // Stands in the place of an answer: handed out when all that is due before has come.
    void answer_locally(std::string bytes);
    // The Sync that was sent last has been read by a COPY, which takes no notice of it.
    void unsend_sync();
    // Makes the server fail, as it would have to for what is refused here: the client gets `error` for its
    // word.
    void fail_query(std::string error);
    void fail_segment(std::string error);
    // A query of our own: its answers are not for the client.
    void own_query(std::string_view text);
    void terminate();

    // ----------------------------------------------------------------------------------------------
    // statements Whether this statement is prepared there under this name and good.
    bool has(const std::string& name, const PreparedPtr& statement) const;
    // Prepares it, unseen by the client, where it is not.
    void ensure(const std::string& name, const PreparedPtr& statement);
    // So that no more than allowed are kept; between units.
    void forget_oldest();
    void forget_all();
    PreparedPtr unnamed() const { return unnamed_; }

private:
    enum class Expect : std::uint8_t {
        query,
        own,
        parse,
        bind,
        describe,
        execute,
        close,
        sync,
        function,
        local
    };
    struct Due {
        Expect kind = Expect::query;
        bool hidden = false;
        std::string text;     // local: the bytes; parse, bind: the statement's name there
        std::string instead;  // for the client, in the place of the error that is sure to come
    };
    struct Known {
        PreparedPtr statement;
        bool confirmed = false, stale = false;
        std::list<std::string>::iterator place;
    };

    std::optional<ServerEvent> next_login();
    std::optional<ServerEvent> login(const Message& message);
    std::optional<ServerEvent> sasl(std::uint32_t kind, std::string_view body);
    std::optional<ServerEvent> take(const Message& message, bool& passed);
    std::optional<ServerEvent> take_error(const Message& message);
    std::optional<ServerEvent> take_ready(const Message& message);
    ServerEvent failed(std::string code, std::string text);
    ServerEvent spoil(std::string text, std::string code = {});
    void report(const Message& message);
    bool pop(Expect kind);
    void due(Expect kind, bool hidden = false, std::string text = {});
    void remember(const std::string& name, const PreparedPtr& statement);
    void forget(const std::string& name);
    void unconfirm();
    std::size_t offset() const { return written_ + output_.size() - written_here_; }

    ServerOptions options_;
    Decoder decoder_;
    ServerState state_;
    std::string output_;
    std::size_t written_here_ = 0;  // of output_
    std::size_t written_ = 0;       // since the begin
    std::optional<ScramClient> scram_;
    bool scram_proven_ = false, authenticated_ = false;
    char status_ = 'I';
    Key key_;
    std::map<std::string, Reported> parameters_;
    std::deque<Due> dues_;
    std::string own_code_, own_text_;  // how the own query under way has failed
    bool skipping_ = false;            // an error came: the server drops all up to the Sync
    bool row_open_ = false;            // a message is coming in pieces, and whether it is for the client
    bool row_passes_ = false;
    std::optional<std::size_t> runs_, commits_;  // offsets in the output
    std::unordered_map<std::string, Known> known_;
    std::list<std::string> order_;  // the one used last stands last
    PreparedPtr unnamed_;
};

}  // namespace flaxdoor::pg
