// A PostgreSQL session between a client and model servers: each byte of the input is one step of the client, of
// the server, or of a fault. Checks two rules after each step: a session with state at its server never runs a
// statement at a connection without that state, and what a client is told to be rolled back is never committed.
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fuzz/require.h"
#include "pg/server_machine.h"
#include "pg/session.h"

using namespace flaxdoor::pg;
using flaxdoor::Micros;

using flaxdoor::fuzz::require;

namespace {

constexpr std::string_view set_statement = "SET search_path TO b";
constexpr std::string_view welcome("R\0\0\0\x08\0\0\0\0K\0\0\0\x0c\0\0\0\1\0\0\0\2Z\0\0\0\x05I", 28);

// One connection to a server that answers each message, with the transaction and the state of its session.
class ServerConnection {
public:
    ServerConnection() : machine(options()), inbox_(Sender::client, {}) {
        machine.receive(welcome);
        (void)machine.next();
        machine.wrote(machine.output().size());
    }

    // Moves what the balancer has written to the server.
    void deliver() {
        inbox_.feed(machine.output());
        machine.wrote(machine.output().size());
    }
    // Runs the next message that was delivered. Returns false if there is none.
    bool run_next() {
        if (closed) return false;
        const auto message = inbox_.next();
        if (!message) return false;
        run(*message);
        return true;
    }

    ServerMachine machine;
    std::string answers;  // written by the server, not yet read by the balancer
    bool closed = false;  // what was delivered and has not run is lost
    bool has_state = false;
    bool ran_without_state = false;  // a statement other than the one that sets the state
    std::size_t committed = 0;       // rows

private:
    static ServerOptions options() {
        ServerOptions options;
        options.user = options.database = "x";
        return options;
    }

    void run(const Message& message) {
        if (skipping_ && message.type != 'S') return;
        switch (message.type) {
            case 'Q':
                run_statement(*read_text(message.body));
                if (!in_transaction_) commit();
                return ready();
            case 'P': {
                const ParseBody parse = *read_parse(message.body);
                statements_[std::string(parse.name)] = parse.text;
                return Writer(answers).empty('1');
            }
            case 'B': return bind(*read_bind(message.body));
            case 'D': Writer(answers).begin('t').i16(0).end(); return Writer(answers).empty('n');
            case 'E': return run_statement(portal_);
            case 'S':
                skipping_ = false;
                if (!in_transaction_) commit();
                return ready();
            default: return;
        }
    }

    void bind(const BindBody& bind) {
        const auto known = statements_.find(std::string(bind.statement));
        if (known == statements_.end()) return fail("26000");
        portal_ = known->second;
        Writer(answers).empty('2');
    }

    void run_statement(std::string_view text) {
        if (text == set_statement) has_state = true;
        ran_without_state |= !has_state;
        if (text == "INSERT") ++uncommitted_;
        if (text == "BEGIN") in_transaction_ = true;
        if (text == "COMMIT") {
            commit();
            in_transaction_ = false;
        }
        if (text == "ROLLBACK") {
            uncommitted_ = 0;
            in_transaction_ = false;
        }
        Writer(answers).begin('C').text(text).end();
    }

    void fail(std::string_view code) {
        write_error(answers, {Severity::error, code, "failed", {}, {}});
        uncommitted_ = 0;
        skipping_ = true;
    }
    void commit() {
        committed += uncommitted_;
        uncommitted_ = 0;
    }
    void ready() { write_ready(answers, in_transaction_ ? 'T' : 'I'); }

    Decoder inbox_;
    std::map<std::string, std::string> statements_;
    std::string portal_;
    std::size_t uncommitted_ = 0;
    bool in_transaction_ = false, skipping_ = false;
};

enum class Step : std::uint8_t {
    set_state,
    begin,
    insert,
    commit,
    rollback,
    parse_insert,
    parse_commit,
    bind,
    describe,
    execute,
    sync,
    server_runs_one,
    server_runs_all,
    balancer_reads,
    lost_before_it_ran,
    lost_after_it_ran,
    drain_limit,
    deadline,
    count,
};

// Does what the listener and the connection pool do around a session.
class Host final : public SessionHost {
public:
    Host() : session_(*this, statements_, {}, {}) {
        const ServerConnection first;
        session_.begin(first.machine.parameters());
    }

    void perform(Step step) {
        if (const std::string message = client_message(step); !message.empty()) {
            if (step == Step::set_state && !session_.idle()) return;
            send(message);
            if (step != Step::set_state) return;
            // The state counts once the client was told that it is set.
            run_all();
            read_answers();
            if (!linked_ || !linked_->has_state || !session_.idle()) return;
            state_told_ = true;
            for (const auto& connection : connections_) connection->ran_without_state = false;
            return;
        }
        switch (step) {
            case Step::server_runs_one:
                if (linked_) (void)linked_->run_next();
                return;
            case Step::server_runs_all: return run_all();
            case Step::balancer_reads: return read_answers();
            case Step::lost_before_it_ran: return lose(false);
            case Step::lost_after_it_ran: return lose(true);
            case Step::drain_limit: return session_.terminate("drain");
            case Step::deadline: return session_.on_deadline();
            default: return;
        }
    }

    // Checks what the client was told since the latest check.
    void check() {
        for (const auto& connection : connections_)
            require(!state_told_ || !connection->ran_without_state,
                    "a session with state ran a statement at a connection without it");
        client_reads_.feed(output_);
        output_.clear();
        while (const auto message = client_reads_.next()) {
            if (message->type == 'E') on_error(*read_error(message->body));
            if (message->type != 'Z') continue;
            answered_commits_ = committed();
            client_status_ = message->body.front();
        }
        require(client_reads_.error().empty(), "the client received no whole messages");
    }

    // Lets every server run what it was sent, on connections that the session has left too.
    void finish() {
        for (const auto& connection : connections_) {
            while (connection->run_next()) {
            }
        }
        for (const auto& [connection, committed] : rolled_back_)
            require(connection->committed == committed, "what was told to be rolled back is committed");
    }

    bool over() const { return session_.over(); }

private:
    static std::string client_message(Step step) {
        std::string out;
        Writer message(out);
        switch (step) {
            case Step::set_state: message.begin('Q').text(set_statement).end(); break;
            case Step::begin: message.begin('Q').text("BEGIN").end(); break;
            case Step::insert: message.begin('Q').text("INSERT").end(); break;
            case Step::commit: message.begin('Q').text("COMMIT").end(); break;
            case Step::rollback: message.begin('Q').text("ROLLBACK").end(); break;
            case Step::parse_insert: message.begin('P').text("").text("INSERT").i16(0).end(); break;
            case Step::parse_commit: message.begin('P').text("").text("COMMIT").i16(0).end(); break;
            case Step::bind: message.begin('B').text("").text("").i16(0).i16(0).i16(0).end(); break;
            case Step::describe: message.begin('D').i8('P').text("").end(); break;
            case Step::execute: message.begin('E').text("").i32(0).end(); break;
            case Step::sync: message.empty('S'); break;
            default: break;
        }
        return out;
    }

    void send(const std::string& bytes) {
        if (!session_.can_accept_message()) return;
        Decoder decoder(Sender::client, {});
        decoder.feed(bytes);
        session_.on_message(*decoder.next());
        link();
        if (linked_) linked_->deliver();
    }

    void link() {
        if (!wanted_ || !session_.in_unit()) return;
        wanted_ = false;
        if (!linked_) linked_ = connections_.emplace_back(std::make_shared<ServerConnection>());
        if (!session_.on_link(linked_->machine)) return session_.on_rejected({"no server", {}, false});
        linked_->deliver();
    }

    void run_all() {
        while (linked_ && linked_->run_next()) {
        }
    }

    void read_answers() {
        const auto connection = linked_;
        if (!connection) return;
        connection->machine.receive(std::exchange(connection->answers, {}));
        while (const auto event = connection->machine.next()) {
            require(event->kind != ServerEvent::Kind::broken, "an answer out of turn");
            if (linked_ == connection) session_.on_server(*event);
        }
        if (linked_) linked_->deliver();
    }

    void lose(bool after_it_ran) {
        if (!linked_) return;
        if (after_it_ran) run_all();
        linked_->closed = true;
        left_ = std::exchange(linked_, nullptr);
        const LossReport loss = session_.on_server_lost();
        session_.on_loss_cause(LossCause::connection_lost);
        if (!session_.in_unit()) return;
        if (loss.may_have_run || loss.answer_started) return session_.on_failed(Failure::lost);
        wanted_ = true;
        link();
    }

    void on_error(const ErrorBody& error) {
        const auto left = std::exchange(left_, nullptr);
        const std::size_t answered = std::exchange(answered_commits_, committed());
        if (!tells_rollback(error.code)) return;
        require(answered == committed(), "what was told to be rolled back is committed already");
        if (left) rolled_back_.emplace(left, left->committed);
    }

    bool tells_rollback(std::string_view code) const {
        if (code == "57014") return client_status_ != 'I';
        static constexpr std::array codes{"57P01", "08006", "53000"};
        return std::find(codes.begin(), codes.end(), code) != codes.end();
    }

    std::size_t committed() const {
        std::size_t rows = 0;
        for (const auto& connection : connections_) rows += connection->committed;
        return rows;
    }

    // --- Session host ---

    void request_server(UnitKind, bool) override { wanted_ = true; }
    void leave_unit(bool keep_link) override {
        wanted_ = false;
        if (!keep_link) release(true);
    }
    void unit_started() override {}
    void unit_served() override {}
    void release(bool) override { left_ = std::exchange(linked_, nullptr); }
    void cancel_running() override {}
    void expire_unit() override {
        left_ = std::exchange(linked_, nullptr);
        (void)session_.on_server_lost();
        session_.on_failed(Failure::timed_out);
    }
    void set_deadline(Micros) override {}
    std::string& client_output() override { return output_; }

    std::string output_;
    Decoder client_reads_{Sender::server, {}};
    std::vector<std::shared_ptr<ServerConnection>> connections_;
    // left_: the connection that the session has left since the client's latest error.
    std::shared_ptr<ServerConnection> linked_, left_;
    std::map<std::shared_ptr<ServerConnection>, std::size_t> rolled_back_;  // with the rows committed then
    Statements statements_;
    Session session_;
    bool wanted_ = false, state_told_ = false;
    std::size_t answered_commits_ = 0;  // rows
    char client_status_ = 'I';
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    Host host;
    for (std::size_t i = 0; i < size && !host.over(); ++i) {
        host.perform(static_cast<Step>(data[i] % static_cast<std::uint8_t>(Step::count)));
        host.check();
    }
    host.finish();
    return 0;
}
