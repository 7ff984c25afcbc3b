// Protocol state machine of one server connection, independent of its socket: login as a client of the
// server, then units. A unit is a sequence of messages to the server and its answers. The machine tracks
// which answers are expected, which detects answers out of order. It also tracks the byte offset in the
// output at which each message starts that may execute or commit something.
//
// Threading: one thread at a time.
// Ownership: views in an event point into the machine and are valid until its next call; the secret in the
//            options is borrowed.
// Use:       after receive() and every call that may cause an event, call next() until it returns nothing;
//            then write output() and report the written bytes by wrote().
// Errors:    `failed` before the login has completed, `broken` afterwards: the connection can't be used any
//            more, whatever the reason, and no event follows.
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
    asking_tls,  // expects the server's one-byte answer
    securing,    // the owner performs the handshake, then calls secured()
    logging_in,
    up,
    broken,
};
[[nodiscard]] std::string_view text_of(ServerState state);

struct ServerOptions {
    std::string user, database;
    ScramSecret* secret = nullptr;  // null: no password is configured
    enum class Tls : std::uint8_t { off, prefer, verify_full } tls = Tls::off;
    std::string nonce;
    Limits limits{};
    std::size_t max_prepared = 200;  // statements that stay prepared at the server
};

struct ServerEvent {
    enum class Kind : std::uint8_t {
        begin_tls,  // the owner performs the handshake once output() has been written
        logged_in,
        failed,               // the login failed: `text`, and `code` if the server sent one
        message,              // for the client, unchanged
        local_answer,         // bytes for the client in place of a server's answer
        ready,                // end of a unit or segment for the client: `status`
        internal_query_done,  // an internal query has ended; `code` and `text` if it failed
        broken,               // the connection is unusable: `code` and `text`
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

    std::string_view output() const { return std::string_view(output_).substr(output_written_); }
    void wrote(std::size_t bytes);

    ServerState state() const { return state_; }
    char status() const { return status_; }  // of the latest ReadyForQuery
    Key key() const { return key_; }
    // A parameter that the server has reported; parameters() has the latest ones by name in lower case.
    struct Reported {
        std::string name, value;
    };
    const std::map<std::string, Reported>& parameters() const { return parameters_; }
    bool is_standby() const;
    // Returns true if no answer is expected: the connection can become idle, or be closed by Terminate.
    bool is_idle() const { return state_ == ServerState::up && expected_answers_.empty(); }
    // Returns true if the next event needs nothing of the server.
    bool has_local_answer() const;
    // Returns true if a ReadyForQuery will follow without another message to the server.
    bool ready_will_follow() const;
    // Returns false while a message is partly read: the next client of the connection would receive the rest
    // of it.
    bool between_messages() const { return decoder_.between_messages(); }

    // Memory that the machine holds for bytes and for answers that are expected.
    std::size_t held_bytes() const {
        return output_.capacity() + decoder_.held_bytes() + expected_answers_.size() * sizeof(ExpectedAnswer);
    }

    // --- One unit ---

    // Clears the offsets of the previous unit.
    void begin_unit();
    // Starts a segment within a transaction that the server has reported as open, so that nothing of the
    // transaction has been committed.
    void begin_segment() { committing_offset_.reset(); }
    // Returns whether the server may have begun to execute something of the unit, or to end its transaction
    // other than by rollback: whether any byte of such a message was written.
    bool may_have_run() const { return executing_offset_ && total_written_ > *executing_offset_; }
    bool may_have_committed() const { return committing_offset_ && total_written_ > *committing_offset_; }

    // Records that the next message to be written executes something, or may commit.
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
    // Passes on CopyData (in pieces), CopyDone or CopyFail.
    void copy(const Message& piece);
    // Queues `bytes` in place of an answer; they are returned after all answers that were expected before.
    void answer_locally(std::string bytes);
    // The server was in COPY mode when it read the latest Sync and ignored it, so no answer to it is
    // expected.
    void forget_sync();
    // Makes the server fail, as if it had rejected what the balancer rejects, so that its transaction state
    // matches the client's. The client receives `error` in place of the server's error.
    void fail_query(std::string error);
    void fail_segment(std::string error);
    // Sends a query of the balancer itself; its answers are not passed to the client.
    void internal_query(std::string_view text);
    void terminate();

    // --- Prepared statements ---

    // Returns true if the statement is prepared at the server under this name and usable.
    bool is_prepared(const std::string& name, const PreparedPtr& statement) const;
    // Prepares the statement unless it is prepared already; the client does not see the answer.
    void ensure_prepared(const std::string& name, const PreparedPtr& statement);
    // Closes the least recently used statements beyond the limit; only between units.
    void close_least_recently_used();
    void clear_prepared();
    PreparedPtr unnamed() const { return unnamed_; }

private:
    enum class AnswerKind : std::uint8_t {
        query,
        internal,
        parse,
        bind,
        describe,
        execute,
        close,
        sync,
        function,
        local
    };
    struct ExpectedAnswer {
        AnswerKind kind = AnswerKind::query;
        bool hidden = false;
        std::string text;               // local: the bytes; parse, bind: the statement's name at the server
        std::string replacement_error;  // sent to the client in place of the error that is certain to follow
    };
    struct PreparedEntry {
        PreparedPtr statement;
        bool confirmed = false, stale = false;
        std::list<std::string>::iterator position;
    };

    std::optional<ServerEvent> next_login();
    std::optional<ServerEvent> handle_login_message(const Message& message);
    std::optional<ServerEvent> handle_authentication(std::uint32_t kind, std::string_view body);
    std::optional<ServerEvent> handle_message(const Message& message, bool& passes_on);
    std::optional<ServerEvent> handle_error(const Message& message);
    std::optional<ServerEvent> handle_ready(const Message& message);
    ServerEvent login_failed(std::string code, std::string text);
    ServerEvent break_connection(std::string text, std::string code = {});
    void store_parameter(const Message& message);
    bool pop_if(AnswerKind kind);
    void expect_answer(AnswerKind kind, bool hidden = false, std::string text = {});
    void record_prepared(const std::string& name, const PreparedPtr& statement);
    void remove_prepared(const std::string& name);
    void unconfirm();
    std::size_t offset() const { return total_written_ + output_.size() - output_written_; }

    ServerOptions options_;
    Decoder decoder_;
    ServerState state_;
    std::string output_;
    std::size_t output_written_ = 0;  // bytes of output_ that were written
    std::size_t total_written_ = 0;   // bytes that were written since the connection was opened
    std::optional<ScramClient> scram_;
    bool scram_proven_ = false, authenticated_ = false;
    char status_ = 'I';
    Key key_;
    std::map<std::string, Reported> parameters_;
    std::deque<ExpectedAnswer> expected_answers_;
    std::string internal_error_code_, internal_error_text_;  // error of the internal query in progress
    bool skipping_to_sync_ = false;  // after an error, the server discards all messages up to the Sync
    // message_open_: a message is arriving in pieces. message_passes_: that message is for the client.
    bool message_open_ = false;
    bool message_passes_ = false;
    // Offsets in the output, counted as in total_written_.
    std::optional<std::size_t> executing_offset_, committing_offset_;
    std::unordered_map<std::string, PreparedEntry> prepared_;
    std::list<std::string> lru_order_;  // the most recently used one is last
    PreparedPtr unnamed_;
};

}  // namespace flaxdoor::pg
