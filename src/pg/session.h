// One client's session behind its login: cuts what the client says into units, passes each on to the server
// that the module chose, and says what the client is told when that server dies, nobody has room, or the time
// is up. No I/O and no clock.
//
// Threading:   one thread at a time.   Ownership: the host and the statements are borrowed; the server's
//              machine is borrowed between on_link() and release() or the loss of it.
// Re-entrancy: the host may link, refuse or fail from within take_unit(); it must not destroy the session
//              from within any call.
// Use:         while can_take(), hand in the client's messages; hand in all events of the linked server.
//              After each, look at over(): then nothing more is read, and the connection ends once its output
//              is out.
// Answers:     each unit gets one: what a server answered, or one ErrorResponse at its first unanswered
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
    std::size_t held_most = 1 << 20;  // of a unit, before it is linked and to be sent again elsewhere
    std::size_t statements_most = 10'000;
    Micros deadline{};  // of a unit that has begun to be answered or stands in a transaction; zero: none
};

enum class UnitKind : std::uint8_t {
    hello,    // carries nothing: only what the server says of itself is wanted
    simple,   // begins with a Query or FunctionCall
    segment,  // begins with a message of the extended protocol
};

// Why nobody serves a unit, for the client.
struct Refusal {
    std::string reason;    // a clause
    Micros retry_after{};  // zero: no advice
    bool drains = false;   // the server that the session is tied to drains or has gone
};
enum class Failure : std::uint8_t { lost, timed_out, error };

// What of a unit a lost server may have run.
struct Loss {
    bool may_have_run = false;
    bool passed = false;  // the client has had a part of the answer
};

class SessionHost {
public:
    virtual ~SessionHost() = default;
    // Wants a server: on_link(), on_refused() or on_failed() follows, maybe from within, unless leave_unit()
    // comes first. `tied`: the one that it is linked to, or none.
    virtual void take_unit(UnitKind kind, bool tied) = 0;
    // Not wanted any more, wherever it is. The link, if there is one, is gone with it, and so is what the
    // server holds for it, unless it is to be kept: then nothing of the unit has come to the server yet.
    virtual void leave_unit(bool keep_link) = 0;
    virtual void unit_started() = 0;
    // Its end. The server stays linked unless release() follows.
    virtual void unit_served() = 0;
    // Not linked any more. `dirty`: something was left in the session there.
    virtual void release(bool dirty) = 0;
    // The linked server should stop what it runs for this session.
    virtual void cancel_running() = 0;
    // Its time is up: the server is asked to stop, the link is gone; on_failed() follows, maybe from within.
    virtual void expire_unit() = 0;
    // on_deadline() after so long; zero: no more.
    virtual void set_deadline(Micros after) = 0;
    virtual std::string& client_output() = 0;
};

class Session {
public:
    // What the client asked for with its start-up packet, beyond user and database.
    Session(SessionHost& host, Statements& statements, SessionOptions options,
            std::vector<StartupOption> wanted);

    // Asks for a server, to learn what one says of itself.
    void hello();
    // That is known: the session begins.
    void begin(const std::map<std::string, ServerMachine::Reported>& parameters);
    // What the client is to be told at its welcome.
    std::vector<StartupOption> parameters() const;

    // --------------------------------------------------------------------------------------------- the
    // client
    bool can_take() const;
    void take(const Message& message);
    // It has left, politely or not.
    void on_client_gone();
    // It has asked for a cancel of whatever runs.
    void on_cancel();

    // --------------------------------------------------------------------------------------------- the
    // server False: this unit can't be sent again; it stays unlinked.
    [[nodiscard]] bool on_link(ServerMachine& server);
    void on_server(const ServerEvent& event);
    // The linked server is lost. What is told decides whether the unit may go elsewhere; on_link, on_refused
    // or on_failed follows where a unit was open.
    Loss on_server_lost();

    // ----------------------------------------------------------------------------------------------- the end
    void on_refused(const Refusal& refusal);
    void on_failed(Failure failure);
    void on_deadline();
    // Tells the client and ends (57P01).
    void shut(std::string_view reason) { end_with("57P01", reason); }
    void end_with(std::string_view code, std::string_view reason);
    // The linked server drains: what is not in a unit and has no state there leaves it.
    void on_drain();

    bool begun() const { return begun_; }
    bool over() const { return phase_ == Phase::over; }
    // Between units, in no transaction, tied to nothing.
    bool idle() const { return phase_ == Phase::idle && !unit_open_ && !lost_; }
    // Something of the unit that is open is at the linked server.
    bool uses_server() const { return server_ && unit_open_ && (phase_ != Phase::waiting || settling_); }
    // Whether this setting goes with the session from server to server; any other stays where it was set.
    static bool carries(std::string_view setting);
    bool in_unit() const { return unit_open_; }
    bool pinned() const { return pinned_; }
    // A transaction is open and nothing of it runs: the client's word is due.
    bool idle_in_transaction() const { return phase_ == Phase::idle && unit_open_; }

private:
    enum class Phase : std::uint8_t {
        idle,      // between units, or between the segments of a transaction
        waiting,   // for a link
        running,   // messages pass
        skipping,  // all is dropped up to Sync, which is answered here
        over,
    };
    // What is known of one segment, worked out anew for each link.
    struct Segment {
        bool simple = false;
        bool sync_sent = false, query_sent = false;
        bool copying = false;         // the server takes a COPY
        bool in_transaction = false;  // an explicit one is open, as far as it is known
        bool executes = false;        // since an explicit transaction ended, or the begin
        bool begins = false;          // it may leave one open
        bool ends = false;            // a COMMIT or ROLLBACK went out
        bool refused = false;         // by the operator's choice; the rest up to Sync is dropped
        bool failed = false;          // the client has its error; only ReadyForQuery is due
        bool copy_ended = false;      // CopyDone or CopyFail went out
        bool copies_in = false;       // its Query is one COPY FROM STDIN
    };
    struct Held {
        char type = 0;
        std::size_t length = 0;
        bool first = true, last = true;
        std::string body;
        Message message() const { return {type, length, body, first, last}; }
    };

    void take_idle(const Message& message);
    void start(const Message& message);
    void take_unit(bool tied);
    void begin_segment(char first);
    void hold(const Message& message);
    void run_held();
    // All of the unit that may come without a word of the server's is there.
    bool held_whole() const;
    bool held_begins() const;
    char status_after_loss() const { return held_begins() ? 'E' : lost_status_; }
    void forward(const Message& message);
    void forward_query(const Message& message);
    void forward_parse(const Message& message);
    void forward_bind(const Message& message);
    void forward_execute(const Message& message);
    void forward_target(const Message& message);
    void forward_copy(const Message& message);
    void forward_sync();
    bool well_formed(const Message& message) const;
    // Refused by the operator's choice; the server is made to fail, so that all counts there as for the
    // client.
    bool refuse_state(const SqlFacts& facts);
    void fail_there(std::string_view code, std::string message, std::string hint = {});
    void pin(const SqlFacts& facts);
    void take_lost(const Message& message);
    void take_lost_segment(const Message& message);
    void pass(const Message& message);
    void on_ready(char status);
    void on_settled(const ServerEvent& event);
    // True: the server has to be told something first.
    bool adapt_server();
    void adopt_parameters();
    // Answers what is open of the unit with an error, and what the protocol wants behind that.
    void answer_unit(std::string_view code, std::string message, std::string detail, char status);
    void close_with(std::string_view code, std::string message, std::string detail = {});
    void violated(const std::string& message);
    void unlink();
    std::string server_name(std::string_view name, const PreparedPtr& statement) const;
    std::string& out() { return host_.client_output(); }

    SessionHost& host_;
    Statements& statements_;
    const SessionOptions options_;
    std::vector<StartupOption> wanted_;
    std::map<std::string, ServerMachine::Reported> parameters_;  // as the client has them
    Phase phase_ = Phase::idle;
    ServerMachine* server_ = nullptr;
    bool begun_ = false;
    bool unit_open_ = false;  // a call of the core
    bool tied_unit_ = false;  // it wanted the server that is linked
    bool hello_ = false;
    bool started_ = false;  // the client has a part of this unit's answer
    bool mid_message_ = false;
    bool lost_ = false;                    // a transaction was lost: as a failed one until ROLLBACK
    std::optional<ErrorText> lost_error_;  // what its next message is told
    bool pinned_ = false;
    bool settling_ = false;  // the linked server was told the session's settings
    bool expired_ = false;   // the unit's own deadline has come
    char status_ = 'I';      // as the client was told last
    Segment segment_;
    UnitKind kind_ = UnitKind::simple;
    std::deque<Held> held_;
    std::size_t held_bytes_ = 0;
    bool replayable_ = true;
    bool lost_commit_ = false;                               // of a loss: a commit may have been out
    char lost_status_ = 'I';                                 //   and where the client stands after it
    bool state_lost_ = false;                                //   and what the session had there is gone
    std::unordered_map<std::string, PreparedPtr> prepared_;  // by the client's name
    std::unordered_map<std::string, PreparedPtr> portals_;
    std::deque<std::string> unconfirmed_;  // names whose ParseComplete is due, in order
};

}  // namespace flaxdoor::pg
