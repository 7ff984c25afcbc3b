#include "pg/server_machine.h"

#include <algorithm>

#include "pg/text.h"

namespace flaxdoor::pg {

namespace {

// Output that was handed over is let go of beyond so many bytes.
constexpr std::size_t spent_most = 64 << 10;
constexpr std::string_view mechanism = "SCRAM-SHA-256";

}  // namespace

std::string_view text_of(ServerState state) {
    switch (state) {
        case ServerState::asking_tls: return "asking_tls";
        case ServerState::securing: return "securing";
        case ServerState::logging_in: return "logging_in";
        case ServerState::up: return "up";
        case ServerState::spoilt: return "spoilt";
    }
    return "unknown";
}

ServerMachine::ServerMachine(ServerOptions options)
    : options_(std::move(options)), decoder_(Sender::server, options_.limits) {
    if (options_.tls == ServerOptions::Tls::off) {
        state_ = ServerState::asking_tls;  // for a moment
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
    written_ += bytes;
    written_here_ += bytes;
    if (written_here_ == output_.size()) {
        output_.clear();
        written_here_ = 0;
        if (output_.capacity() > spent_most) output_.shrink_to_fit();
    } else if (written_here_ > spent_most) {
        output_.erase(0, written_here_);
        written_here_ = 0;
    }
}

bool ServerMachine::is_standby() const {
    const auto found = parameters_.find("in_hot_standby");
    return found != parameters_.end() && found->second.value == "on";
}

bool ServerMachine::ends_by_itself() const {
    return std::any_of(dues_.begin(), dues_.end(), [](const Due& due) {
        return due.kind == Expect::sync || due.kind == Expect::query || due.kind == Expect::own ||
               due.kind == Expect::function;
    });
}

// --------------------------------------------------------------------------------------------------- login

ServerEvent ServerMachine::failed(std::string code, std::string text) {
    state_ = ServerState::spoilt;
    return {ServerEvent::Kind::failed, {}, std::move(text), std::move(code), 'I'};
}

std::optional<ServerEvent> ServerMachine::next_login() {
    if (state_ == ServerState::asking_tls) {
        const auto byte = decoder_.next_byte();
        if (!byte) return std::nullopt;
        // What stands in clear behind the answer could have been put there by anybody (CVE-2021-23222).
        if (decoder_.buffered() > 0) return failed("08P01", "received unencrypted data after SSL response");
        if (*byte == 'S') {
            state_ = ServerState::securing;
            return ServerEvent{ServerEvent::Kind::begin_tls, {}, {}, {}, 'I'};
        }
        if (*byte != 'N') return failed("08P01", "received an invalid response to SSL negotiation");
        if (options_.tls == ServerOptions::Tls::verify_full)
            return failed("08001", "the server does not support TLS");
        secured();
    }
    while (state_ == ServerState::logging_in) {
        const auto message = decoder_.next();
        if (!message) {
            if (!decoder_.error().empty()) return failed("08P01", decoder_.error());
            return std::nullopt;
        }
        if (auto event = login(*message)) return event;
    }
    return std::nullopt;
}

std::optional<ServerEvent> ServerMachine::login(const Message& message) {
    switch (message.type) {
        case 'R': {
            Fields fields(message.body);
            const std::uint32_t kind = fields.i32();
            if (!fields.ok()) return failed("08P01", "malformed authentication request");
            return sasl(kind, fields.rest());
        }
        case 'S': report(message); return std::nullopt;
        case 'K': {
            Fields fields(message.body);
            key_.process = fields.i32();
            key_.secret = fields.i32();
            if (!fields.done()) return failed("08P01", "malformed key");
            return std::nullopt;
        }
        case 'N':
        case 'v': return std::nullopt;
        case 'E': {
            const auto error = read_error(message.body);
            if (!error) return failed("08P01", "malformed error");
            return failed(std::string(error->code), std::string(error->message));
        }
        case 'Z':
            if (!authenticated_ || message.body != "I") return failed("08P01", "ready before its time");
            state_ = ServerState::up;
            status_ = 'I';
            return ServerEvent{ServerEvent::Kind::logged_in, {}, {}, {}, 'I'};
        default: return failed("08P01", std::string("message out of turn in a login: ") + message.type);
    }
}

std::optional<ServerEvent> ServerMachine::sasl(std::uint32_t kind, std::string_view body) {
    switch (kind) {
        case 0:
            if (scram_ && !scram_proven_)
                return failed("08P01", "the server has not shown that it knows the secret");
            authenticated_ = true;
            return std::nullopt;
        case 5:
            if (!options_.secret) return failed("28000", "the server asks for a password, and none is set");
            if (body.size() != 4) return failed("08P01", "malformed salt");
            Writer(output_).begin('p').text(md5_answer(options_.user, options_.secret->password, body)).end();
            return std::nullopt;
        case 10: {
            if (!options_.secret) return failed("28000", "the server asks for a password, and none is set");
            Fields fields(body);
            bool offered = false;
            for (auto name = fields.text(); !name.empty(); name = fields.text()) offered |= name == mechanism;
            if (!offered) return failed("28000", "the server offers no SCRAM-SHA-256");
            scram_.emplace(*options_.secret, options_.nonce);
            const std::string first = scram_->first();
            Writer(output_)
                .begin('p')
                .text(mechanism)
                .i32(static_cast<std::uint32_t>(first.size()))
                .bytes(first)
                .end();
            return std::nullopt;
        }
        case 11: {
            const auto final = scram_ ? scram_->final(body) : std::nullopt;
            if (!final) return failed("08P01", "malformed SCRAM message");
            Writer(output_).begin('p').bytes(*final).end();
            return std::nullopt;
        }
        case 12:
            if (!scram_ || !scram_->proven(body))
                return failed("28P01", "the server does not know the secret");
            scram_proven_ = true;
            return std::nullopt;
        default: return failed("28000", "the server asks for authentication of kind " + std::to_string(kind));
    }
}

void ServerMachine::report(const Message& message) {
    const auto setting = read_setting(message.body);
    if (setting)
        parameters_[lower(setting->name)] = {std::string(setting->name), std::string(setting->value)};
}

// -------------------------------------------------------------------------------------------------- answers

ServerEvent ServerMachine::spoil(std::string text, std::string code) {
    state_ = ServerState::spoilt;
    return {ServerEvent::Kind::spoilt, {}, std::move(text), std::move(code), status_};
}

std::optional<ServerEvent> ServerMachine::next() {
    if (state_ == ServerState::asking_tls || state_ == ServerState::logging_in) return next_login();
    while (state_ == ServerState::up) {
        if (!dues_.empty() && dues_.front().kind == Expect::local && !row_open_) {
            ServerEvent event{ServerEvent::Kind::local, {}, std::move(dues_.front().text), {}, status_};
            dues_.pop_front();
            return event;
        }
        const auto message = decoder_.next();
        if (!message) {
            if (!decoder_.error().empty()) return spoil(decoder_.error(), "08P01");
            return std::nullopt;
        }
        bool passes = true;
        if (message->first) {
            if (auto event = take(*message, passes)) return event;
        } else {
            passes = row_passes_;
        }
        row_open_ = !message->last;
        row_passes_ = passes;
        if (passes) return ServerEvent{ServerEvent::Kind::message, *message, {}, {}, status_};
    }
    return std::nullopt;
}

bool ServerMachine::pop(Expect kind) {
    if (dues_.empty() || dues_.front().kind != kind) return false;
    dues_.pop_front();
    return true;
}

// An event where the message is not, or not only, one to be passed on.
std::optional<ServerEvent> ServerMachine::take(const Message& message, bool& passes) {
    const bool any = !dues_.empty();
    const Expect head = any ? dues_.front().kind : Expect::query;
    const auto due_now = [&](std::initializer_list<Expect> kinds) {
        return any && std::find(kinds.begin(), kinds.end(), head) != kinds.end();
    };
    const bool own = any && head == Expect::own;
    const bool hidden = any && dues_.front().hidden;
    passes = !own && !hidden;
    bool in_turn = true;
    switch (message.type) {
        case 'N':
        case 'A': passes = !own; return std::nullopt;
        case 'S':
            report(message);
            passes = !own;
            return std::nullopt;
        case 'E': return take_error(message);
        case 'Z': return take_ready(message);
        case '1':
            if (in_turn = due_now({Expect::parse}); in_turn) {
                const auto known = known_.find(dues_.front().text);
                if (known != known_.end()) known->second.confirmed = true;
                dues_.pop_front();
            }
            break;
        case '2': in_turn = pop(Expect::bind); break;
        case '3': in_turn = pop(Expect::close); break;
        case 't': in_turn = due_now({Expect::describe}); break;
        case 'T': in_turn = due_now({Expect::query, Expect::own}) || pop(Expect::describe); break;
        case 'n': in_turn = pop(Expect::describe); break;
        case 'D':
        case 'G':
        case 'H':
        case 'W':
        case 'd':
        case 'c': in_turn = due_now({Expect::query, Expect::own, Expect::execute}); break;
        case 'I':
        case 'C': {
            in_turn = due_now({Expect::query, Expect::own}) || pop(Expect::execute);
            const auto tag = message.type == 'C' ? read_text(message.body) : std::string_view();
            if (!tag) return spoil("malformed command tag", "08P01");
            if (*tag == "DISCARD ALL" || *tag == "DEALLOCATE ALL") forget_all();
            break;
        }
        case 's': in_turn = pop(Expect::execute); break;
        case 'V': in_turn = due_now({Expect::function}); break;
        default: in_turn = false; break;
    }
    if (!in_turn) return spoil(std::string("message out of turn: '") + message.type + "'", "08P01");
    return std::nullopt;
}

std::optional<ServerEvent> ServerMachine::take_error(const Message& message) {
    const auto error = read_error(message.body);
    if (!error) return spoil("malformed error", "08P01");
    const bool fatal = error->severity == "FATAL" || error->severity == "PANIC";
    if (fatal || dues_.empty()) return spoil(std::string(error->message), std::string(error->code));
    Due& head = dues_.front();
    if (head.kind == Expect::own) {
        own_code_ = error->code;
        own_text_ = error->message;
        return std::nullopt;
    }
    std::optional<ServerEvent> instead;
    if (!head.instead.empty()) instead = {ServerEvent::Kind::local, {}, std::move(head.instead), {}, status_};
    if (head.kind == Expect::query || head.kind == Expect::function || head.kind == Expect::sync)
        return instead;
    // Guards against a plan that the server will never take again: the statement is prepared anew next time.
    if (error->code == "0A000" && error->routine == "RevalidateCachedQuery") {
        for (const Due& each : dues_) {
            if (each.kind == Expect::sync) break;
            const auto known = each.kind == Expect::bind ? known_.find(each.text) : known_.end();
            if (known == known_.end()) continue;
            known->second.stale = true;
            break;
        }
    }
    skipping_ = true;
    while (!dues_.empty() && dues_.front().kind != Expect::sync) {
        const Due& dropped = dues_.front();
        if (dropped.kind == Expect::parse) {
            const auto known = known_.find(dropped.text);
            if (known != known_.end() && !known->second.confirmed) forget(dropped.text);
            if (dropped.text.empty()) unnamed_.reset();
        }
        dues_.pop_front();
    }
    if (!dues_.empty()) skipping_ = false;
    return instead;
}

std::optional<ServerEvent> ServerMachine::take_ready(const Message& message) {
    const char status = message.body.front();
    if (status != 'I' && status != 'T' && status != 'E') return spoil("malformed status", "08P01");
    if (dues_.empty()) return spoil("ready out of turn", "08P01");
    const Expect kind = dues_.front().kind;
    if (kind != Expect::query && kind != Expect::own && kind != Expect::sync && kind != Expect::function)
        return spoil("ready out of turn", "08P01");
    dues_.pop_front();
    status_ = status;
    if (kind != Expect::own) return ServerEvent{ServerEvent::Kind::ready, {}, {}, {}, status};
    ServerEvent event{ServerEvent::Kind::settled, {}, std::move(own_text_), std::move(own_code_), status};
    own_text_.clear();
    own_code_.clear();
    return event;
}

// ---------------------------------------------------------------------------------------------------- units

void ServerMachine::begin_unit() {
    runs_.reset();
    commits_.reset();
}

void ServerMachine::mark(bool runs, bool commits) {
    if (runs && !runs_) runs_ = offset();
    if (commits && !commits_) commits_ = offset();
}

void ServerMachine::due(Expect kind, bool hidden, std::string text) {
    if (kind == Expect::sync) {
        skipping_ = false;
    } else if (skipping_) {
        return;  // the server drops it
    }
    dues_.push_back({kind, hidden, std::move(text), {}});
}

void ServerMachine::query(std::string_view body) {
    Writer(output_).begin('Q').bytes(body).end();
    due(Expect::query);
    unnamed_.reset();  // a simple query ends the unnamed statement
}

void ServerMachine::parse(const std::string& name, const PreparedPtr& statement, bool hidden) {
    const auto known = known_.find(name);
    if (known != known_.end() && known->second.stale) {
        Writer(output_).begin('C').i8('S').text(name).end();
        due(Expect::close, true);
        forget(name);
    }
    Writer(output_).begin('P').text(name).text(statement->text).bytes(statement->types).end();
    due(Expect::parse, hidden, name);
    if (skipping_) return;
    if (name.empty()) {
        unnamed_ = statement;
    } else {
        remember(name, statement);
    }
}

void ServerMachine::bind(std::string_view portal, const std::string& statement, std::string_view rest) {
    Writer(output_).begin('B').text(portal).text(statement).bytes(rest).end();
    due(Expect::bind, false, statement);
}

void ServerMachine::describe(char kind, std::string_view name) {
    Writer(output_).begin('D').i8(kind).text(name).end();
    due(Expect::describe);
}

void ServerMachine::execute(std::string_view body) {
    Writer(output_).begin('E').bytes(body).end();
    due(Expect::execute);
}

void ServerMachine::close(char kind, std::string_view name) {
    Writer(output_).begin('C').i8(kind).text(name).end();
    due(Expect::close);
    if (kind != 'S') return;
    if (name.empty()) unnamed_.reset();
    forget(std::string(name));
}

void ServerMachine::flush() { Writer(output_).empty('H'); }

void ServerMachine::sync() {
    Writer(output_).empty('S');
    due(Expect::sync);
}

void ServerMachine::function_call(std::string_view body) {
    Writer(output_).begin('F').bytes(body).end();
    due(Expect::function);
}

void ServerMachine::copy(const Message& piece) {
    if (piece.first) Writer(output_).header(piece.type, piece.length);
    output_ += piece.body;
}

void ServerMachine::answer_locally(std::string bytes) { due(Expect::local, false, std::move(bytes)); }

void ServerMachine::unsend_sync() {
    for (auto each = dues_.rbegin(); each != dues_.rend(); ++each) {
        if (each->kind != Expect::sync) continue;
        dues_.erase(std::next(each).base());
        return;
    }
}

namespace {
// No statement: the parser of no version takes it.
constexpr std::string_view no_statement = "refused before it came here";
}  // namespace

void ServerMachine::fail_query(std::string error) {
    Writer(output_).begin('Q').text(no_statement).end();
    due(Expect::query);
    unnamed_.reset();
    dues_.back().instead = std::move(error);
}

void ServerMachine::fail_segment(std::string error) {
    Writer(output_).begin('P').text("").text(no_statement).i16(0).end();
    if (skipping_) return;
    due(Expect::parse);
    unnamed_.reset();
    dues_.back().instead = std::move(error);
}

void ServerMachine::own_query(std::string_view text) {
    Writer(output_).begin('Q').text(text).end();
    due(Expect::own);
    unnamed_.reset();
}

void ServerMachine::terminate() { Writer(output_).empty('X'); }

// ------------------------------------------------------------------------------------------------ statements

bool ServerMachine::has(const std::string& name, const PreparedPtr& statement) const {
    if (name.empty()) return unnamed_ == statement;
    const auto known = known_.find(name);
    return known != known_.end() && known->second.statement == statement && !known->second.stale;
}

void ServerMachine::ensure(const std::string& name, const PreparedPtr& statement) {
    if (!has(name, statement)) return parse(name, statement, true);
    const auto known = known_.find(name);
    if (known != known_.end()) order_.splice(order_.end(), order_, known->second.place);
}

void ServerMachine::remember(const std::string& name, const PreparedPtr& statement) {
    if (known_.contains(name)) return;  // the server keeps what it has
    order_.push_back(name);
    known_[name] = {statement, false, false, std::prev(order_.end())};
}

void ServerMachine::forget(const std::string& name) {
    const auto known = known_.find(name);
    if (known == known_.end()) return;
    order_.erase(known->second.place);
    known_.erase(known);
}

void ServerMachine::forget_oldest() {
    while (known_.size() > options_.prepared_most) {
        const std::string name = order_.front();
        Writer(output_).begin('C').i8('S').text(name).end();
        due(Expect::close, true);
        forget(name);
    }
}

void ServerMachine::forget_all() {
    known_.clear();
    order_.clear();
    unnamed_.reset();
}

}  // namespace flaxdoor::pg
