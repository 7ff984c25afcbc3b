// One client's session after its login: divides the client's messages into units, passes each unit to the
// server that the policy module has chosen, and decides which error the client receives when that server is
// lost, no server accepts the unit, or the time limit is reached. No I/O and no clock.
//
// A segment is a Query or FunctionCall, or the messages of the extended protocol up to Sync; it ends with one
// ReadyForQuery. A unit is what needs one server connection: a transaction, or a segment outside of one. A
// session is linked to a server connection while a unit runs. It is pinned while the server's session holds
// state of the client that can't be moved to another server.
//
// Threading:   one thread at a time.
// Ownership:   the host and the statements are borrowed; the server's machine is borrowed from on_link()
//              until release() or the loss of the server.
// Re-entrancy: the host may call on_link(), on_rejected() or on_failed() from within request_server(); it
//              must not destroy the session from within any call.
// Use:         while can_accept_message(), pass in the client's messages; pass in all events of the linked
//              server. After each call, check over(): if it is true, nothing more is read, and the connection
//              ends once its output is written.
// Answers:     each unit gets exactly one: the server's answer, or one ErrorResponse at its first unanswered
//              message.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "flaxdoor/decide.h"
#include "pg/prepared.h"
#include "pg/server_machine.h"
#include "pg/wire.h"

namespace flaxdoor::pg {

enum class Mode : std::uint8_t { transaction, session };
enum class Unreported : std::uint8_t { pin, refuse };

struct SessionOptions {
    Mode mode = Mode::transaction;
    Unreported unreported = Unreported::pin;
    // Bytes of a unit that are buffered until it is linked, and for sending it again to another server.
    std::size_t max_held = 1 << 20;
    std::size_t max_statements = 10'000;
    Micros deadline{};  // of a unit that has been answered in part or is in a transaction; zero: none
};

enum class UnitKind : std::uint8_t {
    parameters_only,  // carries no messages: only the server's parameters are needed
    simple,           // begins with a Query or FunctionCall
    segment,          // begins with a message of the extended protocol
};

// Why no server accepts a unit, for the error to the client.
struct Rejection {
    std::string reason;    // a clause
    Micros retry_after{};  // zero: no advice
    bool drains = false;   // the server to which the session is linked is draining or has been removed
};
enum class Failure : std::uint8_t { lost, timed_out, error };

// Why a session loses its link.
enum class LossCause : std::uint8_t {
    connection_lost,  // by the server, the network or the balancer
    time_limit,       // the unit's time limit has passed
    draining,         // the server is draining, or has another address
};

// What a lost server may have executed of a unit.
struct LossReport {
    bool may_have_run = false;
    bool answer_started = false;  // the client has received a part of the answer
};

class SessionHost {
public:
    virtual ~SessionHost() = default;
    // Requests a server: on_link(), on_rejected() or on_failed() follows, possibly from within this call,
    // unless leave_unit() comes first. `linked_only`: only the linked server will do.
    virtual void request_server(UnitKind kind, bool linked_only) = 0;
    // Withdraws the unit, wherever it is. This also ends the link, if there is one, and discards the session
    // state at the server, unless `keep_link`: then no message of the unit has been sent to the server yet.
    virtual void leave_unit(bool keep_link) = 0;
    virtual void unit_started() = 0;
    // The unit has ended. The server stays linked unless release() follows.
    virtual void unit_served() = 0;
    // Ends the link. `dirty`: the client's session state remains at the server.
    virtual void release(bool dirty) = 0;
    // Asks the linked server to cancel what it runs for this session.
    virtual void cancel_running() = 0;
    // The unit's time limit has passed: asks the server to cancel it and ends the link. on_failed() follows,
    // possibly from within this call.
    virtual void expire_unit() = 0;
    // Calls on_deadline() after this time; zero cancels the timer.
    virtual void set_deadline(Micros after) = 0;
    virtual std::string& client_output() = 0;
};

class Session {
public:
    // `client_settings`: the settings of the client's start-up packet, except user and database.
    Session(SessionHost& host, Statements& statements, SessionOptions options,
            std::vector<StartupOption> client_settings);

    // Requests a server, to learn the parameters that it reports.
    void request_parameters();
    // Starts the session with the parameters of a server.
    void begin(const std::map<std::string, ServerMachine::Reported>& parameters);
    // Returns the parameters to be reported to the client at the end of its login.
    std::vector<StartupOption> parameters() const;

    // --- Calls of the client side ---
    bool can_accept_message() const;
    void on_message(const Message& message);
    // The client has disconnected, with or without Terminate.
    void on_client_gone();
    // The client has requested to cancel whatever runs.
    void on_cancel();

    // --- Calls of the server side ---

    // Returns false if this unit can't be sent again; it then stays unlinked.
    [[nodiscard]] bool on_link(ServerMachine& server);
    void on_server(const ServerEvent& event);
    // The linked server is lost. The result decides whether the unit may be sent to another server; if a unit
    // was open, on_link(), on_rejected() or on_failed() follows.
    LossReport on_server_lost();
    // Says why the latest loss came. Ends the session if the loss included session state, which no other server
    // has.
    void on_loss_cause(LossCause cause);

    // --- End of a unit or of the session ---
    void on_rejected(const Rejection& rejection);
    void on_failed(Failure failure);
    void on_deadline();
    // Ends the session with the error 57P01, which tells the client that its open transaction is rolled back, or
    // with 08007 if the transaction may have been committed.
    void terminate(std::string_view reason);
    void end_with_error(std::string_view code, std::string_view reason);
    // The linked server is draining: the session releases it unless a unit is open or the session is pinned.
    void on_drain();

    bool begun() const { return begun_; }
    bool over() const { return phase_ == Phase::over; }
    // Returns true between units, if no transaction is open and no lost transaction has to be ended.
    bool idle() const { return phase_ == Phase::idle && !unit_open_ && !transaction_lost_; }
    // Returns true if anything of the open unit, its settings included, was sent to the linked server.
    bool uses_server() const {
        return server_ && unit_open_ && (phase_ != Phase::waiting || applying_settings_);
    }
    // Returns true if the setting is carried over when the session moves to another server; any other setting
    // stays at the server where it was set.
    static bool is_carried_over(std::string_view setting);
    bool in_unit() const { return unit_open_; }
    // Memory that the session and the server connection that it uses hold.
    std::size_t held_bytes() const;
    bool pinned() const { return pinned_; }
    // Returns true if a transaction is open and nothing of it runs: the client has to act.
    bool idle_in_transaction() const { return phase_ == Phase::idle && unit_open_; }

private:
    enum class Phase : std::uint8_t {
        idle,      // between units, or between the segments of a transaction
        waiting,   // waits for a link
        running,   // passes messages on
        skipping,  // drops all messages up to Sync, which is answered here
        over,
    };
    // State of one segment, determined anew for each link.
    struct Segment {
        bool simple = false;
        bool sync_sent = false, query_sent = false;
        bool copying = false;         // the server is in COPY FROM STDIN mode
        bool in_transaction = false;  // an explicit transaction is open, as far as is known
        // An Execute was sent since the start of the segment or the end of an explicit transaction.
        bool executes_uncommitted = false;
        bool begins = false;      // the segment may leave a transaction open
        bool ends = false;        // a COMMIT or ROLLBACK was sent
        bool rejected = false;    // rejected by the configured policy; the rest up to Sync is dropped
        bool failed = false;      // the client has received an error; only ReadyForQuery is expected
        bool copy_ended = false;  // CopyDone or CopyFail was sent
        bool copies_in = false;   // its Query is a single COPY FROM STDIN
    };
    struct BufferedMessage {
        char type = 0;
        std::size_t length = 0;
        bool first = true, last = true;
        std::string body;
        PreparedPtr statement{};  // of a Parse: keeps its analysis until the message is forwarded
        Message message() const { return {type, length, body, first, last}; }
    };

    void handle_idle(const Message& message);
    void start(const Message& message);
    void request_server(bool linked_only);
    void begin_segment(char first);
    void buffer_message(const Message& message);
    void forward_buffered();
    // Returns true if all messages of the unit that the client can send without an answer of the server are
    // buffered.
    bool unit_is_complete() const;
    bool buffered_begins_transaction() const;
    char status_after_loss() const { return buffered_begins_transaction() ? 'E' : lost_status_; }
    void forward(const Message& message);
    void forward_query(const Message& message);
    void forward_parse(const Message& message);
    void forward_bind(const Message& message);
    void forward_execute(const Message& message);
    void forward_target(const Message& message);
    void forward_copy(const Message& message);
    void forward_sync();
    bool is_well_formed(const Message& message) const;
    // Rejects a statement that would leave session state behind, if the settings say so. Also makes the
    // server fail, so that its transaction state matches the client's.
    bool reject_session_state(const SqlFacts& facts);
    void fail_at_server(std::string_view code, std::string message, std::string hint = {});
    void pin_if_needed(const SqlFacts& facts);
    void handle_in_lost_transaction(const Message& message);
    void handle_extended_in_lost_transaction(const Message& message);
    void pass_to_client(const Message& message);
    void on_parameter(const Setting& setting);
    // Takes back what the lost unit has changed, SET LOCAL included, and tells the client.
    void restore_parameters();
    void on_ready(char status);
    void on_settings_applied(const ServerEvent& event);
    // Returns true if the server's settings have to be changed first.
    bool apply_settings();
    void adopt_parameters();
    // Returns true if anything of the open unit itself, beyond the settings, was passed to the server.
    bool unit_is_sent() const { return server_ && unit_open_ && phase_ != Phase::waiting; }
    bool may_have_committed() const { return unit_is_sent() && server_->may_have_committed(); }
    void end_for_lost_state(LossCause cause);
    // The error of a unit whose server was lost when the unit may have run.
    ErrorText loss_error(bool timed_out) const;
    // Answers the open unit with an error, and with the ReadyForQuery that the protocol requires behind it.
    void answer_unit(std::string_view code, std::string message, std::string detail, char status);
    void end_session(std::string_view code, std::string message, std::string detail = {});
    void protocol_violation(const std::string& message);
    void unlink();
    std::string server_name(std::string_view name, const PreparedPtr& statement) const;
    std::string& output() { return host_.client_output(); }

    SessionHost& host_;
    Statements& statements_;
    const SessionOptions options_;
    std::vector<StartupOption> client_settings_;
    std::map<std::string, ServerMachine::Reported> parameters_;  // as last reported to the client
    // Values from before the open unit of the parameters that it has changed.
    std::map<std::string, ServerMachine::Reported> parameters_before_unit_;
    Phase phase_ = Phase::idle;
    ServerMachine* server_ = nullptr;
    bool begun_ = false;
    bool unit_open_ = false;               // the core has a call for it
    bool requires_linked_server_ = false;  // it requested the linked server and no other
    bool requesting_parameters_ = false;
    bool answer_started_ = false;  // the client has received a part of this unit's answer
    bool inside_message_ = false;
    bool transaction_lost_ = false;  // a transaction was lost: the client sees a failed one until ROLLBACK
    std::optional<ErrorText> pending_loss_error_;  // error that answers the client's next message
    bool pinned_ = false;
    // The linked server holds session state from before the open unit, which sending the unit again does not
    // restore.
    bool state_at_server_ = false;
    bool applying_settings_ = false;  // the session's settings were sent to the linked server
    bool deadline_passed_ = false;    // the unit's own deadline has passed
    char status_ = 'I';               // transaction status that was last reported to the client
    Segment segment_;
    UnitKind unit_kind_ = UnitKind::simple;
    std::deque<BufferedMessage> buffered_;
    std::size_t buffered_bytes_ = 0;
    bool replayable_ = true;
    bool commit_in_doubt_ = false;  // at the latest loss, a commit may have been sent
    char lost_status_ = 'I';        // transaction status of the client after the latest loss
    bool state_lost_ = false;  // the latest loss included session state: no server may be linked any more
    NamedStatements prepared_;
    NamedStatements portals_;
    std::deque<std::string> unconfirmed_;  // names whose ParseComplete is outstanding, in order
};

}  // namespace flaxdoor::pg
