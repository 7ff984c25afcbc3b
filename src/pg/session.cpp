#include "pg/session.h"

#include <algorithm>
#include <array>

#include "pg/text.h"

namespace flaxdoor::pg {

namespace {

// Settings that the server reports and that a client may choose: they go with it from server to server.
constexpr std::array carried{"client_encoding", "datestyle",        "timezone",
                             "intervalstyle",   "application_name", "standard_conforming_strings"};

// As an E'' string, which reads the same whatever standard_conforming_strings says.
std::string quoted(std::string_view text) {
    std::string out = "E'";
    for (const char c : text) {
        if (c == '\'' || c == '\\') out += c;
        out += c;
    }
    return out + "'";
}

void add_setting(std::string& sql, std::string_view name, std::string_view value) {
    sql += sql.empty() ? "SELECT " : ", ";
    sql += "pg_catalog.set_config(" + quoted(name) + ", " + quoted(value) + ", false)";
}

// Of a transaction that was lost, or can't be told what came of it.
constexpr std::string_view in_failed_transaction =
    "current transaction is aborted, commands ignored until end of transaction block";

std::string in_seconds(Micros span) {
    const auto ms = (span.count() + 999) / 1000;
    return std::to_string(ms) + " ms";
}

}  // namespace

bool Session::carries(std::string_view setting) {
    const std::string name = lower(setting);
    return std::any_of(carried.begin(), carried.end(), [&](const char* each) { return name == each; });
}

Session::Session(SessionHost& host, Statements& statements, SessionOptions options,
                 std::vector<StartupOption> wanted)
    : host_(host), statements_(statements), options_(options), wanted_(std::move(wanted)) {}

void Session::hello() {
    kind_ = UnitKind::hello;
    hello_ = true;
    phase_ = Phase::waiting;
    take_unit(false);
}

void Session::begin(const std::map<std::string, ServerMachine::Reported>& parameters) {
    parameters_ = parameters;
    for (const auto& option : wanted_) {
        const auto known = parameters_.find(lower(option.name));
        if (known != parameters_.end() && carries(known->first)) known->second.value = option.value;
    }
    std::erase_if(wanted_, [&](const auto& option) {
        return carries(option.name) && parameters_.contains(lower(option.name));
    });
    begun_ = true;
}

std::vector<StartupOption> Session::parameters() const {
    std::vector<StartupOption> all;
    for (const auto& [name, reported] : parameters_) all.push_back({reported.name, reported.value});
    return all;
}

// -------------------------------------------------------------------------------------------------- the
// client

bool Session::can_take() const {
    switch (phase_) {
        case Phase::idle: return begun_;
        case Phase::skipping: return true;
        case Phase::waiting: return begun_ && held_bytes_ < options_.held_most && !held_whole();
        case Phase::running: return segment_.copying || (!segment_.sync_sent && !segment_.query_sent);
        case Phase::over: return false;
    }
    return false;
}

void Session::take(const Message& message) {
    if (phase_ == Phase::over) return;
    if (message.type == 'X') return on_client_gone();
    if (!well_formed(message)) return violated(std::string("malformed message '") + message.type + "'");
    switch (phase_) {
        case Phase::idle: return take_idle(message);
        case Phase::waiting: return hold(message);
        case Phase::running: hold(message); return forward(message);
        case Phase::skipping:
            if (message.type != 'S') return;
            phase_ = Phase::idle;
            return write_ready(out(), status_);
        case Phase::over: return;
    }
}

bool Session::well_formed(const Message& message) const {
    switch (message.type) {
        case 'Q':
        case 'f': return read_text(message.body).has_value();
        case 'P': return read_parse(message.body).has_value();
        case 'B': return read_bind(message.body).has_value();
        case 'D':
        case 'C': return read_target(message.body).has_value();
        case 'E': {
            Fields fields(message.body);
            fields.text();
            fields.i32();
            return fields.done();
        }
        default: return true;
    }
}

void Session::take_idle(const Message& message) {
    switch (message.type) {
        case 'd':
        case 'c':
        case 'f': return;  // of a COPY that has failed: as the server, we drop it
        case 'H': return;
        case 'S': return write_ready(out(), status_);
        default: break;
    }
    if (lost_error_) {
        const ErrorText error = *lost_error_;
        lost_error_.reset();
        write_error(out(), error);
        if (message.type == 'Q' || message.type == 'F') return write_ready(out(), status_);
        phase_ = Phase::skipping;
        return;
    }
    if (lost_) return take_lost(message);
    start(message);
}

void Session::start(const Message& message) {
    held_.clear();
    held_bytes_ = 0;
    replayable_ = true;
    unconfirmed_.clear();
    kind_ = message.type == 'Q' || message.type == 'F' ? UnitKind::simple : UnitKind::segment;
    if (unit_open_) {  // the next of a transaction
        phase_ = Phase::running;
        begin_segment(message.type);
        host_.set_deadline(options_.deadline);
        return forward(message);
    }
    started_ = expired_ = lost_commit_ = state_lost_ = false;
    lost_status_ = status_;
    phase_ = Phase::waiting;
    hold(message);
    take_unit(server_ != nullptr);
}

void Session::take_unit(bool tied) {
    unit_open_ = true;
    tied_unit_ = tied;
    host_.take_unit(kind_, tied);
}

void Session::begin_segment(char first) {
    segment_ = Segment{};
    segment_.simple = first == 'Q' || first == 'F';
    segment_.in_transaction = status_ != 'I';
}

// So that the unit can be sent when it is linked, and again where it may go elsewhere.
void Session::hold(const Message& message) {
    if (started_ && phase_ == Phase::running) return;
    if (phase_ == Phase::running && (unit_open_ && status_ != 'I')) return;
    if (phase_ == Phase::running && held_bytes_ + message.body.size() > options_.held_most) {
        replayable_ = false;
        return;
    }
    held_.push_back({message.type, message.length, message.first, message.last, std::string(message.body)});
    held_bytes_ += message.body.size() + 16;
}

void Session::on_client_gone() {
    if (phase_ == Phase::over) return;
    phase_ = Phase::over;
    host_.set_deadline(Micros{0});
    if (unit_open_) {
        unit_open_ = false;
        server_ = nullptr;
        host_.leave_unit(false);
    } else if (server_) {
        server_ = nullptr;
        host_.release(pinned_ || options_.mode == Mode::session);
    }
}

void Session::on_cancel() {
    if (phase_ == Phase::running && server_) return host_.cancel_running();
    if (phase_ != Phase::waiting || hello_) return;
    const bool keep = tied_unit_ && server_ && !settling_;
    if (!keep) unlink();
    unit_open_ = false;
    host_.leave_unit(keep);
    answer_unit("57014", "canceling statement due to user request", {}, status_after_loss());
}

// ---------------------------------------------------------------------------------------------------- linked

bool Session::on_link(ServerMachine& server) {
    if (phase_ != Phase::waiting || !unit_open_) return false;
    if (hello_) {
        hello_ = false;
        begin(server.parameters());
        phase_ = Phase::idle;
        unit_open_ = false;
        host_.unit_served();
        host_.release(false);
        return true;
    }
    if (!replayable_) return false;
    server_ = &server;
    server.begin_unit();
    settling_ = adapt_server();
    if (!settling_) run_held();
    return true;
}

bool Session::adapt_server() {
    server_->forget_oldest();
    std::string sql;
    for (auto& [name, mine] : parameters_) {
        const auto there = server_->parameters().find(name);
        if (there == server_->parameters().end() || there->second.value == mine.value) continue;
        if (carries(name)) {
            add_setting(sql, name, mine.value);
        } else {
            mine = there->second;  // not the client's to choose: it is told
            Writer(out()).begin('S').text(mine.name).text(mine.value).end();
        }
    }
    for (const auto& option : wanted_) {
        add_setting(sql, option.name, option.value);
    }
    if (sql.empty()) return false;
    server_->own_query(sql);
    return true;
}

// The server has its own way to write what it was told ("utc" is "UTC").
void Session::adopt_parameters() {
    for (auto& [name, mine] : parameters_) {
        const auto there = server_->parameters().find(name);
        if (there == server_->parameters().end() || there->second.value == mine.value) continue;
        mine = there->second;
        Writer(out()).begin('S').text(mine.name).text(mine.value).end();
    }
}

void Session::on_settled(const ServerEvent& event) {
    if (!settling_ || !server_) return;
    settling_ = false;
    if (!event.code.empty()) {
        pinned_ = true;  // what it has taken of it is not known: it is made clean
        return close_with(event.code, event.text);
    }
    if (!wanted_.empty()) pinned_ = true;  // what it does not report stays with this connection
    wanted_.clear();
    adopt_parameters();
    run_held();
}

void Session::run_held() {
    phase_ = Phase::running;
    begin_segment(held_.empty() ? 'S' : held_.front().type);
    host_.set_deadline(options_.deadline);
    // What is held stays so until the client has a part of the answer.
    for (std::size_t i = 0; i < held_.size() && phase_ == Phase::running; ++i) forward(held_[i].message());
}

bool Session::held_whole() const {
    if (segment_.sync_sent || segment_.query_sent) return true;
    return !held_.empty() && (kind_ == UnitKind::simple || held_.back().type == 'S');
}

bool Session::held_begins() const {
    return std::any_of(held_.begin(), held_.end(), [&](const Held& held) {
        if (held.type == 'Q') {
            const auto facts = facts_of(*read_text(held.body));
            return facts.begins || !facts.parsed;
        }
        if (held.type == 'P') {
            const auto facts = facts_of(read_parse(held.body)->text);
            return facts.begins || !facts.parsed;
        }
        if (held.type != 'B') return false;
        const auto known = prepared_.find(std::string(read_bind(held.body)->statement));
        return known != prepared_.end() && (known->second->facts.begins || !known->second->facts.parsed);
    });
}

// --------------------------------------------------------------------------------------------------
// forwarding

std::string Session::server_name(std::string_view name, const PreparedPtr& statement) const {
    if (name.empty() || options_.mode == Mode::session) return std::string(name);
    return "flaxdoor_" + std::to_string(statement->id);
}

void Session::forward(const Message& message) {
    if (message.type == 'S') return forward_sync();
    if (segment_.refused) return;  // the server has been made to fail: it would drop it too
    switch (message.type) {
        case 'Q': return forward_query(message);
        case 'F':
            segment_.query_sent = true;
            server_->mark(true, !segment_.in_transaction);
            return server_->function_call(message.body);
        case 'P': return forward_parse(message);
        case 'B': return forward_bind(message);
        case 'E': return forward_execute(message);
        case 'D':
        case 'C': return forward_target(message);
        case 'H':
            if (!segment_.copying) server_->flush();
            return;
        default: return forward_copy(message);
    }
}

void Session::pin(const SqlFacts& facts) {
    if (facts.pins) pinned_ = true;
}

void Session::fail_there(std::string_view code, std::string message, std::string hint) {
    std::string error;
    write_error(error, {Severity::error, code, message, {}, std::move(hint)});
    if (segment_.simple) {
        server_->fail_query(std::move(error));
    } else {
        segment_.refused = true;
        server_->fail_segment(std::move(error));
    }
}

bool Session::refuse_state(const SqlFacts& facts) {
    if (!facts.pins || options_.unreported == Unreported::pin || options_.mode == Mode::session) return false;
    fail_there("0A000",
               facts.parsed
                   ? "this would leave something in the session, which clients share here"
                   : "this can't be understood here, so it might leave something in the session, which "
                     "clients share",
               "Use SET LOCAL, transaction-level locks and ON COMMIT DROP, or a database in session mode.");
    return true;
}

void Session::forward_query(const Message& message) {
    const SqlFacts facts = facts_of(*read_text(message.body));
    segment_.query_sent = true;
    if (refuse_state(facts)) return;
    pin(facts);
    const bool only_begins = facts.begins && facts.statements == 1;
    segment_.begins |= facts.begins;
    segment_.ends |= facts.ends && facts.leaves_failed;
    segment_.copies_in = facts.copies_in;
    const bool commits = facts.may_commit || (!segment_.in_transaction && !facts.copies_in && !only_begins);
    server_->mark(true, commits);
    server_->query(message.body);
}

void Session::forward_parse(const Message& message) {
    const ParseBody parse = *read_parse(message.body);
    const std::string name(parse.name);
    const PreparedPtr statement = statements_.take(parse.text, parse.types);
    if (refuse_state(statement->facts)) return;
    if (!name.empty() && prepared_.contains(name))
        return fail_there("42P05", "prepared statement \"" + name + "\" already exists");
    if (prepared_.size() >= options_.statements_most)
        return fail_there("53400", "too many prepared statements in one session");
    const std::string there = server_name(name, statement);
    prepared_[name] = statement;
    if (!name.empty() && server_->has(there, statement)) {
        std::string complete;
        Writer(complete).empty('1');
        return server_->answer_locally(std::move(complete));
    }
    unconfirmed_.push_back(name);
    server_->parse(there, statement, false);
}

void Session::forward_bind(const Message& message) {
    const BindBody bind = *read_bind(message.body);
    const auto known = prepared_.find(std::string(bind.statement));
    if (known == prepared_.end()) {
        portals_.erase(std::string(bind.portal));
        return server_->bind(bind.portal, std::string(bind.statement), bind.rest);
    }
    const std::string there = server_name(bind.statement, known->second);
    server_->ensure(there, known->second);
    portals_[std::string(bind.portal)] = known->second;
    server_->bind(bind.portal, there, bind.rest);
}

void Session::forward_execute(const Message& message) {
    const auto known = portals_.find(std::string(Fields(message.body).text()));
    SqlFacts facts;
    if (known != portals_.end()) {
        facts = known->second->facts;
    } else {
        facts.pins = false;  // a cursor that SQL declared, or none: nothing new begins
    }
    pin(facts);
    server_->mark(true, facts.may_commit);
    segment_.executes = true;
    if (facts.begins) {
        segment_.begins = segment_.in_transaction = true;
    }
    if (facts.ends) {
        segment_.ends = true;
        segment_.begins = segment_.in_transaction = segment_.executes = false;
    }
    server_->execute(message.body);
}

void Session::forward_target(const Message& message) {
    const TargetBody target = *read_target(message.body);
    const std::string name(target.name);
    const auto known = target.kind == 'S' ? prepared_.find(name) : prepared_.end();
    if (message.type == 'D') {
        if (known == prepared_.end()) return server_->describe(target.kind, name);
        const std::string there = server_name(name, known->second);
        server_->ensure(there, known->second);
        return server_->describe('S', there);
    }
    if (target.kind == 'P') {
        portals_.erase(name);
        return server_->close('P', name);
    }
    if (known != prepared_.end()) prepared_.erase(known);
    if (name.empty() || options_.mode == Mode::session) return server_->close('S', name);
    std::string complete;  // others may use it there
    Writer(complete).empty('3');
    server_->answer_locally(std::move(complete));
}

void Session::forward_copy(const Message& message) {
    if (message.type != 'd') {
        // A COPY that is a Query of its own can end with this message at the earliest.
        if (message.type == 'c') server_->mark(false, segment_.simple && !segment_.in_transaction);
        segment_.copying = false;
        segment_.copy_ended = true;
    }
    server_->copy(message);
}

void Session::forward_sync() {
    if (segment_.copying) return;  // the server takes no notice of it either
    if (segment_.simple) return;
    segment_.sync_sent = true;
    server_->mark(false, segment_.executes && !segment_.in_transaction);
    server_->sync();
}

// --------------------------------------------------------------------------------------------------- answers

void Session::on_server(const ServerEvent& event) {
    if (phase_ == Phase::over || !server_) return;
    switch (event.kind) {
        case ServerEvent::Kind::message: return pass(event.message);
        case ServerEvent::Kind::local:
            if (!started_) {
                started_ = true;
                held_.clear();
                host_.unit_started();
            }
            out() += event.text;
            if (!event.text.empty() && event.text.front() == 'E') {
                for (const auto& name : unconfirmed_) prepared_.erase(name);
                unconfirmed_.clear();
                segment_.failed = true;
            }
            return;
        case ServerEvent::Kind::ready: return on_ready(event.status);
        case ServerEvent::Kind::settled: return on_settled(event);
        default: return;
    }
}

void Session::pass(const Message& message) {
    const bool unasked = message.type == 'N' || message.type == 'A' || message.type == 'S';
    if (!started_ && !unasked && phase_ == Phase::running) {
        started_ = true;
        held_.clear();
        host_.unit_started();
    }
    if (message.first) {
        switch (message.type) {
            case 'S': {
                const auto setting = read_setting(message.body);
                if (setting)
                    parameters_[lower(setting->name)] = {std::string(setting->name),
                                                         std::string(setting->value)};
                break;
            }
            case '1':
                if (!unconfirmed_.empty()) unconfirmed_.pop_front();
                break;
            case 'E':
                for (const auto& name : unconfirmed_) prepared_.erase(name);
                unconfirmed_.clear();
                segment_.copying = false;
                segment_.failed = true;
                break;
            case 'G':
                if (segment_.copy_ended) break;
                segment_.copying = true;
                if (segment_.sync_sent) {
                    segment_.sync_sent = false;
                    server_->unsend_sync();
                }
                break;
            case 'C': {
                const auto tag = read_text(message.body);
                if (tag == "DISCARD ALL" || tag == "DEALLOCATE ALL") prepared_.clear();
                if (tag == "DISCARD ALL") pinned_ = false;
                break;
            }
            default: break;
        }
        Writer(out()).header(message.type, message.length);
    }
    out() += message.body;
    mid_message_ = !message.last;
}

void Session::on_ready(char status) {
    if (!started_) {
        started_ = true;
        held_.clear();
        host_.unit_started();
    }
    status_ = status;
    write_ready(out(), status);
    host_.set_deadline(Micros{0});
    phase_ = Phase::idle;
    segment_ = Segment{};
    held_.clear();
    held_bytes_ = 0;
    if (status != 'I') return server_->begin_segment();
    portals_.clear();
    unit_open_ = false;
    const bool keep = options_.mode == Mode::session || pinned_;
    host_.unit_served();
    if (keep || !server_) return;
    server_ = nullptr;
    host_.release(false);
}

// -----------------------------------------------------------------------------------------------------
// losses

void Session::unlink() {
    server_ = nullptr;
    settling_ = false;
}

Loss Session::on_server_lost() {
    if (!server_) return {};
    Loss loss;
    loss.may_have_run = unit_open_ && !settling_ && server_->may_have_run();
    loss.passed = unit_open_ && started_;
    const bool was_open = status_ != 'I';
    lost_commit_ = unit_open_ && !settling_ && server_->may_have_committed();
    const bool open_after = segment_.begins || (was_open && !segment_.ends);
    lost_status_ = phase_ == Phase::idle ? status_ : open_after ? 'E' : 'I';
    state_lost_ = pinned_;
    for (const auto& name : unconfirmed_) prepared_.erase(name);
    unconfirmed_.clear();
    portals_.clear();
    unlink();
    if (phase_ == Phase::running) phase_ = Phase::waiting;
    if (!unit_open_ && state_lost_) close_with("08006", "the server that held this session's state has gone");
    return loss;
}

void Session::on_refused(const Refusal& refusal) {
    if (phase_ == Phase::over || !unit_open_) return;
    unit_open_ = false;
    host_.set_deadline(Micros{0});
    std::string detail = "It has not run: a repeat is harmless.";
    if (refusal.retry_after > Micros{0}) detail += " Come back in " + in_seconds(refusal.retry_after) + ".";
    if (hello_)
        return close_with("57P03", "no server of this database is to be had: " + refusal.reason, detail);
    if (tied_unit_ && server_ && refusal.drains) {
        if (pinned_) return close_with("57P01", "the server that holds this session's state drains");
        server_ = nullptr;
        host_.release(true);
        return take_unit(false);
    }
    if (state_lost_ && !server_)
        return close_with("08006", "the server that held this session's state has gone");
    answer_unit("53000", "no server took this: " + refusal.reason, detail, status_after_loss());
}

void Session::on_failed(Failure failure) {
    if (phase_ == Phase::over || !unit_open_) return;
    unit_open_ = false;
    host_.set_deadline(Micros{0});
    if (hello_) return close_with("57P03", "no server of this database is to be had");
    const bool timed_out = expired_ || failure == Failure::timed_out;
    std::string_view code = lost_commit_ ? "08007" : "08006";
    std::string message = "the server was lost; its transaction was rolled back";
    std::string detail = "What was sent since the transaction began has had no effect.";
    if (lost_commit_) {
        message = "the server was lost; whether its transaction was committed is not known";
        detail = "It may have run: look before it is repeated.";
    }
    if (timed_out) {
        code = "57014";
        message = "canceling statement due to the time limit of this database";
    }
    if (state_lost_) return close_with(code, message, detail);
    if (phase_ == Phase::idle) {  // between the units of a transaction
        lost_ = true;
        status_ = 'E';
        lost_error_ = ErrorText{
            Severity::error, code, "the server was lost; its transaction was rolled back", detail, {}};
        return;
    }
    answer_unit(code, message, detail, status_after_loss());
}

void Session::answer_unit(std::string_view code, std::string message, std::string detail, char status) {
    if (mid_message_) {  // nothing can be said within a row
        phase_ = Phase::over;
        return;
    }
    if (!segment_.failed) write_error(out(), {Severity::error, code, message, std::move(detail), {}});
    status_ = status;
    lost_ = status != 'I';
    const bool synced = segment_.sync_sent ||
                        std::any_of(held_.begin(), held_.end(), [](const Held& h) { return h.type == 'S'; });
    const bool simple = kind_ == UnitKind::simple;
    held_.clear();
    held_bytes_ = 0;
    segment_ = Segment{};
    portals_.clear();
    phase_ = simple || synced ? Phase::idle : Phase::skipping;
    if (phase_ == Phase::idle) write_ready(out(), status_);
}

void Session::on_deadline() {
    if (phase_ != Phase::running || !unit_open_ || !started_) return;  // else the core minds it
    expired_ = true;
    host_.expire_unit();
}

void Session::end_with(std::string_view code, std::string_view reason) {
    close_with(code, std::string(reason));
}

void Session::on_drain() {
    if (phase_ != Phase::idle || unit_open_ || !server_ || pinned_) return;
    server_ = nullptr;
    host_.release(true);
}

void Session::close_with(std::string_view code, std::string message, std::string detail) {
    if (phase_ == Phase::over) return;
    if (!mid_message_) write_error(out(), {Severity::fatal, code, message, std::move(detail), {}});
    on_client_gone();
}

void Session::violated(const std::string& message) { close_with("08P01", message); }

// ------------------------------------------------------------------------------------------ a lost
// transaction

void Session::take_lost(const Message& message) {
    if (message.type == 'Q') {
        const std::string_view text = *read_text(message.body);
        const SqlFacts facts = facts_of(text);
        if (facts.leaves_failed) {
            lost_ = false;
            status_ = 'I';
            Writer(out()).begin('C').text("ROLLBACK").end();
        } else if (facts.parsed && facts.statements == 0) {
            Writer(out()).empty('I');
        } else {
            write_error(out(), {Severity::error, "25P02", in_failed_transaction, {}, {}});
        }
        return write_ready(out(), status_);
    }
    if (message.type == 'F') {
        write_error(out(), {Severity::error, "25P02", in_failed_transaction, {}, {}});
        return write_ready(out(), status_);
    }
    take_lost_segment(message);
}

// Only a ROLLBACK or COMMIT is taken, as the server does in a failed transaction.
void Session::take_lost_segment(const Message& message) {
    const auto refuse = [&] {
        write_error(out(), {Severity::error, "25P02", in_failed_transaction, {}, {}});
        phase_ = Phase::skipping;
    };
    const auto leaves = [](const auto& known, const auto& all) {
        return known != all.end() && known->second->facts.leaves_failed;
    };
    switch (message.type) {
        case 'P': {
            const ParseBody parse = *read_parse(message.body);
            const PreparedPtr statement = statements_.take(parse.text, parse.types);
            if (!statement->facts.leaves_failed || prepared_.size() >= options_.statements_most)
                return refuse();
            prepared_[std::string(parse.name)] = statement;
            return Writer(out()).empty('1');
        }
        case 'B': {
            const BindBody bind = *read_bind(message.body);
            const auto known = prepared_.find(std::string(bind.statement));
            if (!leaves(known, prepared_)) return refuse();
            portals_[std::string(bind.portal)] = known->second;
            return Writer(out()).empty('2');
        }
        case 'D': {
            const TargetBody target = *read_target(message.body);
            const auto& all = target.kind == 'S' ? prepared_ : portals_;
            if (!leaves(all.find(std::string(target.name)), all)) return refuse();
            if (target.kind == 'S') Writer(out()).begin('t').i16(0).end();
            return Writer(out()).empty('n');
        }
        case 'E': {
            if (!leaves(portals_.find(std::string(Fields(message.body).text())), portals_)) return refuse();
            lost_ = false;
            status_ = 'I';
            return Writer(out()).begin('C').text("ROLLBACK").end();
        }
        case 'C': {
            const TargetBody target = *read_target(message.body);
            (target.kind == 'S' ? prepared_ : portals_).erase(std::string(target.name));
            return Writer(out()).empty('3');
        }
        default: return;
    }
}

}  // namespace flaxdoor::pg
