#include "pg/server_machine.h"

#include <algorithm>

#include "pg/text.h"

namespace flaxdoor::pg {

namespace {

// Written output beyond this size is released.
constexpr std::size_t max_written_bytes = 64 << 10;
constexpr std::string_view mechanism = "SCRAM-SHA-256";

}  // namespace

std::string_view text_of(ServerState state) {
    switch (state) {
        case ServerState::asking_tls: return "asking_tls";
        case ServerState::securing: return "securing";
        case ServerState::logging_in: return "logging_in";
        case ServerState::up: return "up";
        case ServerState::broken: return "spoilt";
    }
    return "unknown";
}

ServerMachine::ServerMachine(ServerOptions options)
    : options_(std::move(options)), decoder_(Sender::server, options_.limits) {
    if (options_.tls == ServerOptions::Tls::off) {
        state_ = ServerState::asking_tls;  // until secured() below
        secured();
        return;
    }
    state_ = ServerState::asking_tls;
    Writer(output_).begin_startup().i32(ssl_code).end();
}

void ServerMachine::secured() {
    state_ = ServerState::logging_in;
    write_startup(output_, {{"user", options_.user}, {"database", options_.database}});
}

void ServerMachine::wrote(std::size_t bytes) {
    total_written_ += bytes;
    output_written_ += bytes;
    if (output_written_ == output_.size()) {
        output_.clear();
        output_written_ = 0;
        if (output_.capacity() > max_written_bytes) output_.shrink_to_fit();
    } else if (output_written_ > max_written_bytes) {
        output_.erase(0, output_written_);
        output_written_ = 0;
    }
}

bool ServerMachine::is_standby() const {
    const auto found = parameters_.find("in_hot_standby");
    return found != parameters_.end() && found->second.value == "on";
}

bool ServerMachine::has_local_answer() const {
    return state_ == ServerState::up && !expected_answers_.empty() &&
           expected_answers_.front().kind == AnswerKind::local && !message_open_;
}

bool ServerMachine::ready_will_follow() const {
    return std::any_of(expected_answers_.begin(), expected_answers_.end(), [](const ExpectedAnswer& answer) {
        return answer.kind == AnswerKind::sync || answer.kind == AnswerKind::query ||
               answer.kind == AnswerKind::internal || answer.kind == AnswerKind::function;
    });
}

// --- Login ---

ServerEvent ServerMachine::login_failed(std::string code, std::string text) {
    state_ = ServerState::broken;
    return {ServerEvent::Kind::failed, {}, std::move(text), std::move(code), 'I'};
}

std::optional<ServerEvent> ServerMachine::next_login() {
    if (state_ == ServerState::asking_tls) {
        const auto byte = decoder_.next_byte();
        if (!byte) return std::nullopt;
        // Unencrypted bytes behind the answer could have been injected by an attacker (CVE-2021-23222).
        if (decoder_.buffered() > 0)
            return login_failed("08P01", "received unencrypted data after SSL response");
        if (*byte == 'S') {
            state_ = ServerState::securing;
            return ServerEvent{ServerEvent::Kind::begin_tls, {}, {}, {}, 'I'};
        }
        if (*byte != 'N') return login_failed("08P01", "received an invalid response to SSL negotiation");
        if (options_.tls == ServerOptions::Tls::verify_full)
            return login_failed("08001", "the server does not support TLS");
        secured();
    }
    while (state_ == ServerState::logging_in) {
        const auto message = decoder_.next();
        if (!message) {
            if (!decoder_.error().empty()) return login_failed("08P01", decoder_.error());
            return std::nullopt;
        }
        if (auto event = handle_login_message(*message)) return event;
    }
    return std::nullopt;
}

std::optional<ServerEvent> ServerMachine::handle_login_message(const Message& message) {
    switch (message.type) {
        case 'R': {
            Fields fields(message.body);
            const std::uint32_t kind = fields.i32();
            if (!fields.ok()) return login_failed("08P01", "malformed authentication request");
            return handle_authentication(kind, fields.rest());
        }
        case 'S': store_parameter(message); return std::nullopt;
        case 'K': {
            Fields fields(message.body);
            key_.process = fields.i32();
            key_.secret = fields.i32();
            if (!fields.done()) return login_failed("08P01", "malformed key");
            return std::nullopt;
        }
        case 'N':
        case 'v': return std::nullopt;
        case 'E': {
            const auto error = read_error(message.body);
            if (!error) return login_failed("08P01", "malformed error");
            return login_failed(std::string(error->code), std::string(error->message));
        }
        case 'Z':
            if (!authenticated_ || message.body != "I") return login_failed("08P01", "ready before its time");
            state_ = ServerState::up;
            status_ = 'I';
            return ServerEvent{ServerEvent::Kind::logged_in, {}, {}, {}, 'I'};
        default: return login_failed("08P01", std::string("message out of turn in a login: ") + message.type);
    }
}

std::optional<ServerEvent> ServerMachine::handle_authentication(std::uint32_t kind, std::string_view body) {
    switch (kind) {
        case 0:
            if (scram_ && !scram_proven_)
                return login_failed("08P01", "the server has not shown that it knows the secret");
            authenticated_ = true;
            return std::nullopt;
        case 5:
            if (!options_.secret)
                return login_failed("28000", "the server asks for a password, and none is set");
            if (body.size() != 4) return login_failed("08P01", "malformed salt");
            Writer(output_).begin('p').text(md5_answer(options_.user, options_.secret->password, body)).end();
            return std::nullopt;
        case 10: {
            if (!options_.secret)
                return login_failed("28000", "the server asks for a password, and none is set");
            Fields fields(body);
            bool offered = false;
            for (auto name = fields.text(); !name.empty(); name = fields.text()) offered |= name == mechanism;
            if (!offered) return login_failed("28000", "the server offers no SCRAM-SHA-256");
            scram_.emplace(*options_.secret, options_.nonce);
            const std::string client_first = scram_->first();
            Writer(output_)
                .begin('p')
                .text(mechanism)
                .i32(static_cast<std::uint32_t>(client_first.size()))
                .bytes(client_first)
                .end();
            return std::nullopt;
        }
        case 11: {
            const auto final = scram_ ? scram_->final(body) : std::nullopt;
            if (!final) return login_failed("08P01", "malformed SCRAM message");
            Writer(output_).begin('p').bytes(*final).end();
            return std::nullopt;
        }
        case 12:
            if (!scram_ || !scram_->proven(body))
                return login_failed("28P01", "the server does not know the secret");
            scram_proven_ = true;
            return std::nullopt;
        default:
            return login_failed("28000",
                                "the server asks for authentication of kind " + std::to_string(kind));
    }
}

void ServerMachine::store_parameter(const Message& message) {
    const auto setting = read_setting(message.body);
    if (setting)
        parameters_[lower(setting->name)] = {std::string(setting->name), std::string(setting->value)};
}

// --- Answers ---

ServerEvent ServerMachine::break_connection(std::string text, std::string code) {
    state_ = ServerState::broken;
    return {ServerEvent::Kind::broken, {}, std::move(text), std::move(code), status_};
}

std::optional<ServerEvent> ServerMachine::next() {
    if (state_ == ServerState::asking_tls || state_ == ServerState::logging_in) return next_login();
    while (state_ == ServerState::up) {
        if (has_local_answer()) {
            ServerEvent event{
                ServerEvent::Kind::local_answer, {}, std::move(expected_answers_.front().text), {}, status_};
            expected_answers_.pop_front();
            return event;
        }
        const auto message = decoder_.next();
        if (!message) {
            if (!decoder_.error().empty()) return break_connection(decoder_.error(), "08P01");
            return std::nullopt;
        }
        bool passes_on = true;
        if (message->first) {
            if (auto event = handle_message(*message, passes_on)) return event;
        } else {
            passes_on = message_passes_;
        }
        message_open_ = !message->last;
        message_passes_ = passes_on;
        if (passes_on) return ServerEvent{ServerEvent::Kind::message, *message, {}, {}, status_};
    }
    return std::nullopt;
}

bool ServerMachine::pop_if(AnswerKind kind) {
    if (expected_answers_.empty() || expected_answers_.front().kind != kind) return false;
    expected_answers_.pop_front();
    return true;
}

// Returns an event if the message is not simply passed on.
std::optional<ServerEvent> ServerMachine::handle_message(const Message& message, bool& passes_on) {
    const bool has_expected = !expected_answers_.empty();
    const AnswerKind first = has_expected ? expected_answers_.front().kind : AnswerKind::query;
    const auto expecting = [&](std::initializer_list<AnswerKind> kinds) {
        return has_expected && std::find(kinds.begin(), kinds.end(), first) != kinds.end();
    };
    const bool is_internal = has_expected && first == AnswerKind::internal;
    const bool is_hidden = has_expected && expected_answers_.front().hidden;
    passes_on = !is_internal && !is_hidden;
    bool in_turn = true;
    switch (message.type) {
        case 'N':
        case 'A': passes_on = !is_internal; return std::nullopt;
        case 'S':
            store_parameter(message);
            passes_on = !is_internal;
            return std::nullopt;
        case 'E':
            // An error to a hidden message ends the segment: the server skips what follows up to the Sync.
            passes_on = !is_internal;
            return handle_error(message);
        case 'Z': return handle_ready(message);
        case '1':
            if (in_turn = expecting({AnswerKind::parse}); in_turn) {
                const auto entry = prepared_.find(expected_answers_.front().text);
                if (entry != prepared_.end()) entry->second.confirmed = true;
                expected_answers_.pop_front();
            }
            break;
        case '2': in_turn = pop_if(AnswerKind::bind); break;
        case '3': in_turn = pop_if(AnswerKind::close); break;
        case 't': in_turn = expecting({AnswerKind::describe}); break;
        case 'T':
            in_turn = expecting({AnswerKind::query, AnswerKind::internal}) || pop_if(AnswerKind::describe);
            break;
        case 'n': in_turn = pop_if(AnswerKind::describe); break;
        case 'D':
        case 'G':
        case 'H':
        case 'W':
        case 'd':
        case 'c': in_turn = expecting({AnswerKind::query, AnswerKind::internal, AnswerKind::execute}); break;
        case 'I':
        case 'C': {
            in_turn = expecting({AnswerKind::query, AnswerKind::internal}) || pop_if(AnswerKind::execute);
            const auto tag = message.type == 'C' ? read_text(message.body) : std::string_view();
            if (!tag) return break_connection("malformed command tag", "08P01");
            if (*tag == "DISCARD ALL" || *tag == "DEALLOCATE ALL") clear_prepared();
            break;
        }
        case 's': in_turn = pop_if(AnswerKind::execute); break;
        case 'V': in_turn = expecting({AnswerKind::function}); break;
        default: in_turn = false; break;
    }
    if (!in_turn)
        return break_connection(std::string("message out of turn: '") + message.type + "'", "08P01");
    return std::nullopt;
}

std::optional<ServerEvent> ServerMachine::handle_error(const Message& message) {
    const auto error = read_error(message.body);
    if (!error) return break_connection("malformed error", "08P01");
    const bool fatal = error->severity == "FATAL" || error->severity == "PANIC";
    if (fatal || expected_answers_.empty())
        return break_connection(std::string(error->message), std::string(error->code));
    ExpectedAnswer& first = expected_answers_.front();
    if (first.kind == AnswerKind::internal) {
        internal_error_code_ = error->code;
        internal_error_text_ = error->message;
        return std::nullopt;
    }
    std::optional<ServerEvent> replacement_error;
    if (!first.replacement_error.empty())
        replacement_error = {
            ServerEvent::Kind::local_answer, {}, std::move(first.replacement_error), {}, status_};
    if (first.kind == AnswerKind::query || first.kind == AnswerKind::function ||
        first.kind == AnswerKind::sync)
        return replacement_error;
    // Prevents a plan that the server will reject forever: the statement is prepared anew next time.
    if (error->code == "0A000" && error->routine == "RevalidateCachedQuery") {
        for (const ExpectedAnswer& each : expected_answers_) {
            if (each.kind == AnswerKind::sync) break;
            const auto entry = each.kind == AnswerKind::bind ? prepared_.find(each.text) : prepared_.end();
            if (entry == prepared_.end()) continue;
            entry->second.stale = true;
            break;
        }
    }
    skipping_to_sync_ = true;
    while (!expected_answers_.empty() && expected_answers_.front().kind != AnswerKind::sync) {
        const ExpectedAnswer& dropped = expected_answers_.front();
        if (dropped.kind == AnswerKind::parse) {
            const auto entry = prepared_.find(dropped.text);
            if (entry != prepared_.end() && !entry->second.confirmed) remove_prepared(dropped.text);
            if (dropped.text.empty()) unnamed_.reset();
        }
        expected_answers_.pop_front();
    }
    if (!expected_answers_.empty()) skipping_to_sync_ = false;
    return replacement_error;
}

std::optional<ServerEvent> ServerMachine::handle_ready(const Message& message) {
    const char status = message.body.front();
    if (status != 'I' && status != 'T' && status != 'E') return break_connection("malformed status", "08P01");
    if (expected_answers_.empty()) return break_connection("ready out of turn", "08P01");
    const AnswerKind kind = expected_answers_.front().kind;
    if (kind != AnswerKind::query && kind != AnswerKind::internal && kind != AnswerKind::sync &&
        kind != AnswerKind::function)
        return break_connection("ready out of turn", "08P01");
    expected_answers_.pop_front();
    status_ = status;
    if (kind != AnswerKind::internal) return ServerEvent{ServerEvent::Kind::ready, {}, {}, {}, status};
    ServerEvent event{ServerEvent::Kind::internal_query_done,
                      {},
                      std::move(internal_error_text_),
                      std::move(internal_error_code_),
                      status};
    internal_error_text_.clear();
    internal_error_code_.clear();
    return event;
}

// --- Units ---

void ServerMachine::begin_unit() {
    executing_offset_.reset();
    committing_offset_.reset();
}

void ServerMachine::mark(bool runs, bool commits) {
    if (runs && !executing_offset_) executing_offset_ = offset();
    if (commits && !committing_offset_) committing_offset_ = offset();
}

void ServerMachine::expect_answer(AnswerKind kind, bool hidden, std::string text) {
    if (kind == AnswerKind::sync) {
        skipping_to_sync_ = false;
    } else if (skipping_to_sync_) {
        return;  // the server discards the message
    }
    expected_answers_.push_back({kind, hidden, std::move(text), {}});
}

void ServerMachine::query(std::string_view body) {
    Writer(output_).begin('Q').bytes(body).end();
    expect_answer(AnswerKind::query);
    unnamed_.reset();  // a simple query destroys the unnamed statement
}

void ServerMachine::parse(const std::string& name, const PreparedPtr& statement, bool hidden) {
    const auto entry = prepared_.find(name);
    if (entry != prepared_.end() && entry->second.stale) {
        Writer(output_).begin('C').i8('S').text(name).end();
        expect_answer(AnswerKind::close, true);
        remove_prepared(name);
    }
    Writer(output_).begin('P').text(name).text(statement->text).bytes(statement->types).end();
    expect_answer(AnswerKind::parse, hidden, name);
    if (skipping_to_sync_) return;
    if (name.empty()) {
        unnamed_ = statement;
    } else {
        record_prepared(name, statement);
    }
}

void ServerMachine::bind(std::string_view portal, const std::string& statement, std::string_view rest) {
    Writer(output_).begin('B').text(portal).text(statement).bytes(rest).end();
    expect_answer(AnswerKind::bind, false, statement);
}

void ServerMachine::describe(char kind, std::string_view name) {
    Writer(output_).begin('D').i8(kind).text(name).end();
    expect_answer(AnswerKind::describe);
}

void ServerMachine::execute(std::string_view body) {
    Writer(output_).begin('E').bytes(body).end();
    expect_answer(AnswerKind::execute);
}

void ServerMachine::close(char kind, std::string_view name) {
    Writer(output_).begin('C').i8(kind).text(name).end();
    expect_answer(AnswerKind::close);
    if (kind != 'S') return;
    if (name.empty()) unnamed_.reset();
    remove_prepared(std::string(name));
}

void ServerMachine::flush() { Writer(output_).empty('H'); }

void ServerMachine::sync() {
    Writer(output_).empty('S');
    expect_answer(AnswerKind::sync);
}

void ServerMachine::function_call(std::string_view body) {
    Writer(output_).begin('F').bytes(body).end();
    expect_answer(AnswerKind::function);
}

void ServerMachine::copy(const Message& piece) {
    if (piece.first) Writer(output_).header(piece.type, piece.length);
    output_ += piece.body;
}

void ServerMachine::answer_locally(std::string bytes) {
    expect_answer(AnswerKind::local, false, std::move(bytes));
}

void ServerMachine::forget_sync() {
    for (auto each = expected_answers_.rbegin(); each != expected_answers_.rend(); ++each) {
        if (each->kind != AnswerKind::sync) continue;
        expected_answers_.erase(std::next(each).base());
        return;
    }
}

namespace {
// Not valid SQL in any version.
constexpr std::string_view invalid_statement = "refused before it came here";
}  // namespace

void ServerMachine::fail_query(std::string error) {
    Writer(output_).begin('Q').text(invalid_statement).end();
    expect_answer(AnswerKind::query);
    unnamed_.reset();
    expected_answers_.back().replacement_error = std::move(error);
}

void ServerMachine::fail_segment(std::string error) {
    Writer(output_).begin('P').text("").text(invalid_statement).i16(0).end();
    if (skipping_to_sync_) return;
    expect_answer(AnswerKind::parse);
    unnamed_.reset();
    expected_answers_.back().replacement_error = std::move(error);
}

void ServerMachine::internal_query(std::string_view text) {
    Writer(output_).begin('Q').text(text).end();
    expect_answer(AnswerKind::internal);
    unnamed_.reset();
}

void ServerMachine::terminate() { Writer(output_).empty('X'); }

// --- Prepared statements ---

bool ServerMachine::is_prepared(const std::string& name, const PreparedPtr& statement) const {
    if (name.empty()) return unnamed_ == statement;
    const auto entry = prepared_.find(name);
    return entry != prepared_.end() && entry->second.statement == statement && !entry->second.stale;
}

void ServerMachine::ensure_prepared(const std::string& name, const PreparedPtr& statement) {
    if (!is_prepared(name, statement)) return parse(name, statement, true);
    const auto entry = prepared_.find(name);
    if (entry != prepared_.end()) lru_order_.splice(lru_order_.end(), lru_order_, entry->second.position);
}

void ServerMachine::record_prepared(const std::string& name, const PreparedPtr& statement) {
    if (prepared_.contains(name)) return;  // the server keeps the existing statement
    lru_order_.push_back(name);
    prepared_[name] = {statement, false, false, std::prev(lru_order_.end())};
}

void ServerMachine::remove_prepared(const std::string& name) {
    const auto entry = prepared_.find(name);
    if (entry == prepared_.end()) return;
    lru_order_.erase(entry->second.position);
    prepared_.erase(entry);
}

void ServerMachine::close_least_recently_used() {
    while (prepared_.size() > options_.max_prepared) {
        const std::string name = lru_order_.front();
        Writer(output_).begin('C').i8('S').text(name).end();
        expect_answer(AnswerKind::close, true);
        remove_prepared(name);
    }
}

void ServerMachine::clear_prepared() {
    prepared_.clear();
    lru_order_.clear();
    unnamed_.reset();
}

}  // namespace flaxdoor::pg
