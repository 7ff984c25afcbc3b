#include "pg/session.h"

#include <algorithm>
#include <array>

#include "pg/text.h"

namespace flaxdoor::pg {

namespace {

// Settings that the server reports and a client may choose: they are carried over from server to server.
constexpr std::array carried_over_settings{"client_encoding",  "datestyle",
                                           "timezone",         "intervalstyle",
                                           "application_name", "standard_conforming_strings"};

// Quotes the text as an E'' string, whose meaning does not depend on standard_conforming_strings.
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

// The error of statements in a transaction that was lost or whose outcome is unknown.
constexpr std::string_view in_failed_transaction =
    "current transaction is aborted, commands ignored until end of transaction block";

// Detail of the errors that leave open whether a transaction was committed.
constexpr std::string_view detail_in_doubt = "It may have run: look before it is repeated.";

std::string in_seconds(Micros span) {
    const auto ms = (span.count() + 999) / 1000;
    return std::to_string(ms) + " ms";
}

}  // namespace

bool Session::is_carried_over(std::string_view setting) {
    const std::string name = lower(setting);
    return std::any_of(carried_over_settings.begin(), carried_over_settings.end(),
                       [&](const char* each) { return name == each; });
}

Session::Session(SessionHost& host, Statements& statements, SessionOptions options,
                 std::vector<StartupOption> client_settings)
    : host_(host), statements_(statements), options_(options), client_settings_(std::move(client_settings)) {}

void Session::request_parameters() {
    unit_kind_ = UnitKind::parameters_only;
    requesting_parameters_ = true;
    phase_ = Phase::waiting;
    request_server(false);
}

void Session::begin(const std::map<std::string, ServerMachine::Reported>& parameters) {
    parameters_ = parameters;
    for (const auto& option : client_settings_) {
        const auto known = parameters_.find(lower(option.name));
        if (known != parameters_.end() && is_carried_over(known->first)) known->second.value = option.value;
    }
    std::erase_if(client_settings_, [&](const auto& option) {
        return is_carried_over(option.name) && parameters_.contains(lower(option.name));
    });
    begun_ = true;
}

std::vector<StartupOption> Session::parameters() const {
    std::vector<StartupOption> all;
    for (const auto& [name, reported] : parameters_) all.push_back({reported.name, reported.value});
    return all;
}

// --- Client messages ---

std::size_t Session::held_bytes() const {
    return buffered_bytes_ + buffered_.size() * sizeof(BufferedMessage) + prepared_.held_bytes() +
           portals_.held_bytes() + unconfirmed_.size() * sizeof(std::string) +
           (server_ ? server_->held_bytes() : 0);
}

bool Session::can_accept_message() const {
    switch (phase_) {
        case Phase::idle: return begun_;
        case Phase::skipping: return true;
        case Phase::waiting: return begun_ && buffered_bytes_ < options_.max_held && !unit_is_complete();
        case Phase::running: return segment_.copying || (!segment_.sync_sent && !segment_.query_sent);
        case Phase::over: return false;
    }
    return false;
}

void Session::on_message(const Message& message) {
    if (phase_ == Phase::over) return;
    if (message.type == 'X') return on_client_gone();
    if (!is_well_formed(message))
        return protocol_violation(std::string("malformed message '") + message.type + "'");
    switch (phase_) {
        case Phase::idle: return handle_idle(message);
        case Phase::waiting: return buffer_message(message);
        case Phase::running: buffer_message(message); return forward(message);
        case Phase::skipping:
            if (message.type != 'S') return;
            phase_ = Phase::idle;
            return write_ready(output(), status_);
        case Phase::over: return;
    }
}

bool Session::is_well_formed(const Message& message) const {
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

void Session::handle_idle(const Message& message) {
    switch (message.type) {
        case 'd':
        case 'c':
        case 'f': return;  // of a COPY that has failed: dropped, as PostgreSQL does
        case 'H': return;
        case 'S': return write_ready(output(), status_);
        default: break;
    }
    if (pending_loss_error_) {
        const ErrorText error = *pending_loss_error_;
        pending_loss_error_.reset();
        write_error(output(), error);
        if (message.type == 'Q' || message.type == 'F') return write_ready(output(), status_);
        phase_ = Phase::skipping;
        return;
    }
    if (transaction_lost_) return handle_in_lost_transaction(message);
    start(message);
}

void Session::start(const Message& message) {
    buffered_.clear();
    buffered_bytes_ = 0;
    replayable_ = true;
    unconfirmed_.clear();
    unit_kind_ = message.type == 'Q' || message.type == 'F' ? UnitKind::simple : UnitKind::segment;
    if (unit_open_) {  // the next segment of a transaction
        phase_ = Phase::running;
        begin_segment(message.type);
        host_.set_deadline(options_.deadline);
        return forward(message);
    }
    answer_started_ = deadline_passed_ = commit_in_doubt_ = false;
    lost_status_ = status_;
    phase_ = Phase::waiting;
    buffer_message(message);
    request_server(server_ != nullptr);
}

void Session::request_server(bool linked_only) {
    unit_open_ = true;
    requires_linked_server_ = linked_only;
    host_.request_server(unit_kind_, linked_only);
}

void Session::begin_segment(char first) {
    segment_ = Segment{};
    segment_.simple = first == 'Q' || first == 'F';
    segment_.in_transaction = status_ != 'I';
}

// Buffers the unit until it is linked, and for sending it again to another server.
void Session::buffer_message(const Message& message) {
    if (answer_started_ && phase_ == Phase::running) return;
    if (phase_ == Phase::running && (unit_open_ && status_ != 'I')) return;
    if (phase_ == Phase::running && buffered_bytes_ + message.body.size() > options_.max_held) {
        replayable_ = false;
        return;
    }
    // A statement is analyzed now, in the client's turn, and not with all others when the unit is forwarded.
    PreparedPtr statement;
    if (message.type == 'P') {
        const ParseBody parse = *read_parse(message.body);
        statement = statements_.intern(parse.text, parse.types);
    }
    buffered_.push_back({message.type, message.length, message.first, message.last, std::string(message.body),
                         std::move(statement)});
    buffered_bytes_ += message.body.size() + 16;
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
    if (phase_ != Phase::waiting || requesting_parameters_) return;
    constexpr std::string_view message = "canceling statement due to user request";
    const bool keep = requires_linked_server_ && server_ && !applying_settings_;
    if (!keep && state_at_server_) return end_session("57014", std::string(message));
    if (!keep) unlink();
    unit_open_ = false;
    host_.leave_unit(keep);
    answer_unit("57014", std::string(message), {}, status_after_loss());
}

// --- Linking ---

bool Session::on_link(ServerMachine& server) {
    if (phase_ != Phase::waiting || !unit_open_) return false;
    if (requesting_parameters_) {
        requesting_parameters_ = false;
        begin(server.parameters());
        phase_ = Phase::idle;
        unit_open_ = false;
        host_.unit_served();
        host_.release(false);
        return true;
    }
    if (!replayable_ || state_lost_) return false;
    server_ = &server;
    pinned_ = state_at_server_;  // what the unit itself pins is found as it is forwarded
    server.begin_unit();
    applying_settings_ = apply_settings();
    if (!applying_settings_) forward_buffered();
    return true;
}

bool Session::apply_settings() {
    server_->close_least_recently_used();
    std::string sql;
    for (auto& [name, client_value] : parameters_) {
        const auto reported = server_->parameters().find(name);
        if (reported == server_->parameters().end() || reported->second.value == client_value.value) continue;
        if (is_carried_over(name)) {
            add_setting(sql, name, client_value.value);
        } else {
            // The client can't choose this parameter, so it is told the server's value.
            client_value = reported->second;
            Writer(output()).begin('S').text(client_value.name).text(client_value.value).end();
        }
    }
    for (const auto& option : client_settings_) {
        add_setting(sql, option.name, option.value);
    }
    if (sql.empty()) return false;
    server_->internal_query(sql);
    return true;
}

// Adopts the server's spelling of the values it was set to ("utc" becomes "UTC").
void Session::adopt_parameters() {
    for (auto& [name, client_value] : parameters_) {
        const auto reported = server_->parameters().find(name);
        if (reported == server_->parameters().end() || reported->second.value == client_value.value) continue;
        client_value = reported->second;
        Writer(output()).begin('S').text(client_value.name).text(client_value.value).end();
    }
}

void Session::on_settings_applied(const ServerEvent& event) {
    if (!applying_settings_ || !server_) return;
    applying_settings_ = false;
    if (!event.code.empty()) {
        // Which settings were applied is not known, so the server's session must be reset.
        pinned_ = true;
        return end_session(event.code, event.text);
    }
    // Settings that the server does not report stay with this connection.
    if (!client_settings_.empty()) pinned_ = state_at_server_ = true;
    client_settings_.clear();
    adopt_parameters();
    forward_buffered();
}

void Session::forward_buffered() {
    phase_ = Phase::running;
    begin_segment(buffered_.empty() ? 'S' : buffered_.front().type);
    host_.set_deadline(options_.deadline);
    // The messages stay buffered until the client receives a part of the answer.
    for (std::size_t i = 0; i < buffered_.size() && phase_ == Phase::running; ++i)
        forward(buffered_[i].message());
}

bool Session::unit_is_complete() const {
    if (segment_.sync_sent || segment_.query_sent) return true;
    return !buffered_.empty() && (unit_kind_ == UnitKind::simple || buffered_.back().type == 'S');
}

bool Session::buffered_begins_transaction() const {
    return std::any_of(buffered_.begin(), buffered_.end(), [&](const BufferedMessage& held) {
        if (held.type == 'Q') {
            const SqlFacts& facts = statements_.facts(*read_text(held.body));
            return facts.begins || !facts.parsed;
        }
        if (held.type == 'P') {
            const SqlFacts& facts = statements_.facts(read_parse(held.body)->text);
            return facts.begins || !facts.parsed;
        }
        if (held.type != 'B') return false;
        const auto known = prepared_.find(std::string(read_bind(held.body)->statement));
        return known != prepared_.end() && (known->second->facts.begins || !known->second->facts.parsed);
    });
}

// --- Forwarding to the server ---

std::string Session::server_name(std::string_view name, const PreparedPtr& statement) const {
    if (name.empty() || options_.mode == Mode::session) return std::string(name);
    return "flaxdoor_" + std::to_string(statement->id);
}

void Session::forward(const Message& message) {
    if (message.type == 'S') return forward_sync();
    if (segment_.rejected) return;  // the server has been made to fail and would discard the message too
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

void Session::pin_if_needed(const SqlFacts& facts) {
    if (facts.pins) pinned_ = true;
}

void Session::fail_at_server(std::string_view code, std::string message, std::string hint) {
    std::string error;
    write_error(error, {Severity::error, code, message, {}, std::move(hint)});
    if (segment_.simple) {
        server_->fail_query(std::move(error));
    } else {
        segment_.rejected = true;
        server_->fail_segment(std::move(error));
    }
}

bool Session::reject_session_state(const SqlFacts& facts) {
    if (!facts.pins || options_.unreported == Unreported::pin || options_.mode == Mode::session) return false;
    fail_at_server(
        "0A000",
        facts.parsed ? "this would leave something in the session, which clients share here"
                     : "this can't be understood here, so it might leave something in the session, which "
                       "clients share",
        "Use SET LOCAL, transaction-level locks and ON COMMIT DROP, or a database in session mode.");
    return true;
}

void Session::forward_query(const Message& message) {
    const SqlFacts facts = statements_.facts(*read_text(message.body));
    segment_.query_sent = true;
    if (reject_session_state(facts)) return;
    pin_if_needed(facts);
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
    const PreparedPtr statement = statements_.intern(parse.text, parse.types);
    if (!statement) return fail_at_server("53200", "out of memory for prepared statements");
    if (reject_session_state(statement->facts)) return;
    if (!name.empty() && prepared_.contains(name))
        return fail_at_server("42P05", "prepared statement \"" + name + "\" already exists");
    if (prepared_.size() >= options_.max_statements)
        return fail_at_server("53400", "too many prepared statements in one session");
    const std::string name_at_server = server_name(name, statement);
    prepared_.set(name, statement);
    if (!name.empty() && server_->is_prepared(name_at_server, statement)) {
        std::string complete;
        Writer(complete).empty('1');
        return server_->answer_locally(std::move(complete));
    }
    unconfirmed_.push_back(name);
    server_->parse(name_at_server, statement, false);
}

void Session::forward_bind(const Message& message) {
    const BindBody bind = *read_bind(message.body);
    const auto known = prepared_.find(std::string(bind.statement));
    if (known == prepared_.end()) {
        portals_.erase(std::string(bind.portal));
        return server_->bind(bind.portal, std::string(bind.statement), bind.rest);
    }
    const std::string name_at_server = server_name(bind.statement, known->second);
    server_->ensure_prepared(name_at_server, known->second);
    portals_.set(std::string(bind.portal), known->second);
    server_->bind(bind.portal, name_at_server, bind.rest);
}

void Session::forward_execute(const Message& message) {
    const auto known = portals_.find(std::string(Fields(message.body).text()));
    SqlFacts facts;
    if (known != portals_.end()) {
        facts = known->second->facts;
    } else {
        facts.pins = false;  // a cursor declared by SQL, or an unknown portal: it leaves no new session state
    }
    pin_if_needed(facts);
    server_->mark(true, facts.may_commit);
    segment_.executes_uncommitted = true;
    if (facts.begins) {
        segment_.begins = segment_.in_transaction = true;
    }
    if (facts.ends) {
        segment_.ends = true;
        segment_.begins = segment_.in_transaction = segment_.executes_uncommitted = false;
    }
    server_->execute(message.body);
}

void Session::forward_target(const Message& message) {
    const TargetBody target = *read_target(message.body);
    const std::string name(target.name);
    const auto known = target.kind == 'S' ? prepared_.find(name) : prepared_.end();
    if (message.type == 'D') {
        if (known == prepared_.end()) return server_->describe(target.kind, name);
        const std::string name_at_server = server_name(name, known->second);
        server_->ensure_prepared(name_at_server, known->second);
        return server_->describe('S', name_at_server);
    }
    if (target.kind == 'P') {
        portals_.erase(name);
        return server_->close('P', name);
    }
    if (known != prepared_.end()) prepared_.erase(name);
    if (name.empty() || options_.mode == Mode::session) return server_->close('S', name);
    std::string complete;  // other sessions may use the statement there
    Writer(complete).empty('3');
    server_->answer_locally(std::move(complete));
}

void Session::forward_copy(const Message& message) {
    if (message.type != 'd') {
        // A COPY that is a Query of its own can't end before this message.
        if (message.type == 'c') server_->mark(false, segment_.simple && !segment_.in_transaction);
        segment_.copying = false;
        segment_.copy_ended = true;
    }
    server_->copy(message);
}

void Session::forward_sync() {
    if (segment_.copying) return;  // the server ignores Sync in COPY mode too
    if (segment_.simple) return;
    segment_.sync_sent = true;
    server_->mark(false, segment_.executes_uncommitted && !segment_.in_transaction);
    server_->sync();
}

// --- Server answers ---

void Session::on_server(const ServerEvent& event) {
    if (phase_ == Phase::over || !server_) return;
    switch (event.kind) {
        case ServerEvent::Kind::message: return pass_to_client(event.message);
        case ServerEvent::Kind::local_answer:
            if (!answer_started_) {
                answer_started_ = true;
                buffered_.clear();
                host_.unit_started();
            }
            output() += event.text;
            if (!event.text.empty() && event.text.front() == 'E') {
                for (const auto& name : unconfirmed_) prepared_.erase(name);
                unconfirmed_.clear();
                segment_.failed = true;
            }
            return;
        case ServerEvent::Kind::ready: return on_ready(event.status);
        case ServerEvent::Kind::internal_query_done: return on_settings_applied(event);
        default: return;
    }
}

void Session::pass_to_client(const Message& message) {
    const bool unasked = message.type == 'N' || message.type == 'A' || message.type == 'S';
    if (!answer_started_ && !unasked && phase_ == Phase::running) {
        answer_started_ = true;
        buffered_.clear();
        host_.unit_started();
    }
    if (message.first) {
        switch (message.type) {
            case 'S': {
                const auto setting = read_setting(message.body);
                if (setting) on_parameter(*setting);
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
                    server_->forget_sync();
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
        Writer(output()).header(message.type, message.length);
    }
    output() += message.body;
    inside_message_ = !message.last;
}

void Session::on_parameter(const Setting& setting) {
    ServerMachine::Reported& reported = parameters_[lower(setting.name)];
    if (unit_open_ && !reported.name.empty())
        parameters_before_unit_.try_emplace(lower(setting.name), reported);
    reported = {std::string(setting.name), std::string(setting.value)};
}

void Session::restore_parameters() {
    for (const auto& [name, before] : parameters_before_unit_) {
        ServerMachine::Reported& reported = parameters_[name];
        if (reported.value == before.value) continue;
        reported = before;
        if (!inside_message_) Writer(output()).begin('S').text(before.name).text(before.value).end();
    }
    parameters_before_unit_.clear();
}

void Session::on_ready(char status) {
    if (!answer_started_) {
        answer_started_ = true;
        buffered_.clear();
        host_.unit_started();
    }
    status_ = status;
    write_ready(output(), status);
    host_.set_deadline(Micros{0});
    phase_ = Phase::idle;
    segment_ = Segment{};
    buffered_.clear();
    buffered_bytes_ = 0;
    if (status != 'I') return server_->begin_segment();
    portals_.clear();
    unit_open_ = false;
    state_at_server_ = pinned_;
    parameters_before_unit_.clear();
    const bool keep = options_.mode == Mode::session || pinned_;
    host_.unit_served();
    if (keep || !server_) return;
    server_ = nullptr;
    host_.release(false);
}

// --- Lost servers, rejections and ends ---

void Session::unlink() {
    server_ = nullptr;
    applying_settings_ = false;
}

LossReport Session::on_server_lost() {
    if (!server_) return {};
    LossReport loss;
    loss.may_have_run = unit_is_sent() && server_->may_have_run();
    loss.answer_started = unit_open_ && answer_started_;
    const bool was_open = status_ != 'I';
    commit_in_doubt_ = may_have_committed();
    const bool open_after = segment_.begins || (was_open && !segment_.ends);
    lost_status_ = phase_ == Phase::idle ? status_ : open_after ? 'E' : 'I';
    state_lost_ = state_at_server_ || (pinned_ && answer_started_);
    for (const auto& name : unconfirmed_) prepared_.erase(name);
    unconfirmed_.clear();
    portals_.clear();
    restore_parameters();
    unlink();
    if (phase_ == Phase::running) phase_ = Phase::waiting;
    return loss;
}

void Session::on_loss_cause(LossCause cause) {
    // Before its answer has started, the unit may still be sent to another server.
    deadline_passed_ |= unit_open_ && answer_started_ && cause == LossCause::time_limit;
    if (state_lost_) end_for_lost_state(cause);
}

void Session::end_for_lost_state(LossCause cause) {
    if (cause == LossCause::draining && !commit_in_doubt_)
        return end_session("57P01", "the server that holds this session's state drains");
    if (cause != LossCause::time_limit && !commit_in_doubt_)
        return end_session("08006", "the server that held this session's state has gone");
    const ErrorText error = loss_error(cause == LossCause::time_limit);
    end_session(error.code, std::string(error.message), error.detail);
}

void Session::on_rejected(const Rejection& rejection) {
    if (phase_ == Phase::over || !unit_open_) return;
    unit_open_ = false;
    host_.set_deadline(Micros{0});
    std::string detail = "It has not run: a repeat is harmless.";
    if (rejection.retry_after > Micros{0})
        detail += " Come back in " + in_seconds(rejection.retry_after) + ".";
    if (requesting_parameters_)
        return end_session("57P03", "no server of this database is to be had: " + rejection.reason, detail);
    if (requires_linked_server_ && server_ && rejection.drains) {
        if (pinned_) return end_session("57P01", "the server that holds this session's state drains");
        server_ = nullptr;
        host_.release(true);
        return request_server(false);
    }
    if (state_lost_) return end_for_lost_state(LossCause::connection_lost);
    if (!server_) pinned_ = false;  // what the unit would have pinned has not run
    answer_unit("53000", "no server took this: " + rejection.reason, detail, status_after_loss());
}

void Session::on_failed(Failure failure) {
    if (phase_ == Phase::over || !unit_open_) return;
    unit_open_ = false;
    host_.set_deadline(Micros{0});
    if (requesting_parameters_) return end_session("57P03", "no server of this database is to be had");
    const ErrorText error = loss_error(deadline_passed_ || failure == Failure::timed_out);
    if (state_lost_ || pinned_) return end_session(error.code, std::string(error.message), error.detail);
    if (phase_ == Phase::idle) {  // between the segments of a transaction
        transaction_lost_ = true;
        status_ = 'E';
        pending_loss_error_ = error;
        return;
    }
    answer_unit(error.code, std::string(error.message), error.detail, status_after_loss());
}

ErrorText Session::loss_error(bool timed_out) const {
    ErrorText error{Severity::error,
                    "08006",
                    "the server was lost; its transaction was rolled back",
                    "What was sent since the transaction began has had no effect.",
                    {}};
    if (commit_in_doubt_) {
        error.code = "08007";
        error.message = "the server was lost; whether its transaction was committed is not known";
        error.detail = detail_in_doubt;
    }
    // In a transaction, 57014 tells that it is rolled back.
    if (timed_out && !(commit_in_doubt_ && status_ != 'I')) {
        error.code = "57014";
        error.message = "canceling statement due to the time limit of this database";
    }
    return error;
}

void Session::answer_unit(std::string_view code, std::string message, std::string detail, char status) {
    if (inside_message_) {  // no error can be inserted within a message
        phase_ = Phase::over;
        return;
    }
    if (!segment_.failed) write_error(output(), {Severity::error, code, message, std::move(detail), {}});
    status_ = status;
    transaction_lost_ = status != 'I';
    const bool synced =
        segment_.sync_sent || std::any_of(buffered_.begin(), buffered_.end(),
                                          [](const BufferedMessage& held) { return held.type == 'S'; });
    const bool simple = unit_kind_ == UnitKind::simple;
    buffered_.clear();
    buffered_bytes_ = 0;
    segment_ = Segment{};
    portals_.clear();
    phase_ = simple || synced ? Phase::idle : Phase::skipping;
    if (phase_ == Phase::idle) write_ready(output(), status_);
}

void Session::on_deadline() {
    // The core enforces the time limit until the answer has started.
    if (phase_ != Phase::running || !unit_open_ || !answer_started_) return;
    deadline_passed_ = true;
    host_.expire_unit();
}

void Session::terminate(std::string_view reason) {
    if (!may_have_committed()) return end_session("57P01", std::string(reason));
    end_session("08007", std::string(reason) + "; whether its transaction was committed is not known",
                std::string(detail_in_doubt));
}

void Session::end_with_error(std::string_view code, std::string_view reason) {
    end_session(code, std::string(reason));
}

void Session::on_drain() {
    if (phase_ != Phase::idle || unit_open_ || !server_ || pinned_) return;
    server_ = nullptr;
    host_.release(true);
}

void Session::end_session(std::string_view code, std::string message, std::string detail) {
    if (phase_ == Phase::over) return;
    if (!inside_message_) write_error(output(), {Severity::fatal, code, message, std::move(detail), {}});
    on_client_gone();
}

void Session::protocol_violation(const std::string& message) { end_session("08P01", message); }

// --- Lost transactions ---

void Session::handle_in_lost_transaction(const Message& message) {
    if (message.type == 'Q') {
        const std::string_view text = *read_text(message.body);
        const SqlFacts facts = statements_.facts(text);
        if (facts.leaves_failed) {
            transaction_lost_ = false;
            status_ = 'I';
            Writer(output()).begin('C').text("ROLLBACK").end();
        } else if (facts.parsed && facts.statements == 0) {
            Writer(output()).empty('I');
        } else {
            write_error(output(), {Severity::error, "25P02", in_failed_transaction, {}, {}});
        }
        return write_ready(output(), status_);
    }
    if (message.type == 'F') {
        write_error(output(), {Severity::error, "25P02", in_failed_transaction, {}, {}});
        return write_ready(output(), status_);
    }
    handle_extended_in_lost_transaction(message);
}

// Accepts only ROLLBACK or COMMIT, as PostgreSQL does in a failed transaction.
void Session::handle_extended_in_lost_transaction(const Message& message) {
    const auto reject = [&] {
        write_error(output(), {Severity::error, "25P02", in_failed_transaction, {}, {}});
        phase_ = Phase::skipping;
    };
    const auto ends_failed = [](const auto& known, const auto& all) {
        return known != all.end() && known->second->facts.leaves_failed;
    };
    switch (message.type) {
        case 'P': {
            const ParseBody parse = *read_parse(message.body);
            const PreparedPtr statement = statements_.intern(parse.text, parse.types);
            if (!statement || !statement->facts.leaves_failed || prepared_.size() >= options_.max_statements)
                return reject();
            prepared_.set(std::string(parse.name), statement);
            return Writer(output()).empty('1');
        }
        case 'B': {
            const BindBody bind = *read_bind(message.body);
            const auto known = prepared_.find(std::string(bind.statement));
            if (!ends_failed(known, prepared_)) return reject();
            portals_.set(std::string(bind.portal), known->second);
            return Writer(output()).empty('2');
        }
        case 'D': {
            const TargetBody target = *read_target(message.body);
            const auto& all = target.kind == 'S' ? prepared_ : portals_;
            if (!ends_failed(all.find(std::string(target.name)), all)) return reject();
            if (target.kind == 'S') Writer(output()).begin('t').i16(0).end();
            return Writer(output()).empty('n');
        }
        case 'E': {
            if (!ends_failed(portals_.find(std::string(Fields(message.body).text())), portals_))
                return reject();
            transaction_lost_ = false;
            status_ = 'I';
            return Writer(output()).begin('C').text("ROLLBACK").end();
        }
        case 'C': {
            const TargetBody target = *read_target(message.body);
            (target.kind == 'S' ? prepared_ : portals_).erase(std::string(target.name));
            return Writer(output()).empty('3');
        }
        default: return;
    }
}

}  // namespace flaxdoor::pg
