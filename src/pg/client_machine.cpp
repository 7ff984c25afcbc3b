#include "pg/client_machine.h"

#include <algorithm>

namespace flaxdoor::pg {

namespace {

constexpr std::uint32_t auth_ok = 0, auth_sasl = 10, auth_sasl_continue = 11, auth_sasl_final = 12;
constexpr std::string_view mechanism = "SCRAM-SHA-256";

}  // namespace

std::string_view text_of(ClientState state) {
    switch (state) {
        case ClientState::first: return "first";
        case ClientState::securing: return "securing";
        case ClientState::starting: return "starting";
        case ClientState::authenticating: return "authenticating";
        case ClientState::welcoming: return "welcoming";
        case ClientState::session: return "session";
        case ClientState::over: return "over";
    }
    return "unknown";
}

std::optional<ClientEvent> ClientMachine::next() {
    switch (state_) {
        case ClientState::first: return next_first();
        case ClientState::authenticating: return next_password();
        case ClientState::session: break;
        default: return std::nullopt;
    }
    const auto message = decoder_.next();
    if (!message) {
        if (!decoder_.error().empty()) return protocol_error("08P01", decoder_.error());
        return std::nullopt;
    }
    if (message->type == 'p') return protocol_error("08P01", "unexpected password message");
    return ClientEvent{ClientEvent::Kind::message, {}, *message, {}};
}

std::optional<ClientEvent> ClientMachine::next_first() {
    const auto body = decoder_.next_startup();
    if (!body) {
        if (!decoder_.error().empty()) return protocol_error("08P01", decoder_.error());
        return std::nullopt;
    }
    Startup startup = read_startup(*body);
    switch (startup.kind) {
        case Startup::Kind::ssl:
            if (tls_requested_) return protocol_error("08P01", "TLS was asked for twice");
            tls_requested_ = true;
            if (!options_.tls_offered || secure_) {
                output_ += 'N';
                return next_first();
            }
            // Unencrypted bytes behind the request could have been injected by an attacker (CVE-2021-23214).
            if (decoder_.buffered() > 0)
                return protocol_error("08P01", "received unencrypted data after SSL request");
            output_ += 'S';
            state_ = ClientState::securing;
            return ClientEvent{ClientEvent::Kind::begin_tls, {}, {}, {}};
        case Startup::Kind::gss:
            if (gss_requested_) return protocol_error("08P01", "GSSAPI encryption was asked for twice");
            gss_requested_ = true;
            output_ += 'N';
            return next_first();
        case Startup::Kind::cancel:
            state_ = ClientState::over;
            return ClientEvent{ClientEvent::Kind::cancel, std::move(startup), {}, {}};
        case Startup::Kind::start: return start(std::move(startup));
        case Startup::Kind::malformed: break;
    }
    return protocol_error("08P01", startup.version >> 16 == 3
                                       ? "invalid startup packet layout"
                                       : "unsupported frontend protocol " +
                                             std::to_string(startup.version >> 16) + "." +
                                             std::to_string(startup.version & 0xffff));
}

std::optional<ClientEvent> ClientMachine::start(Startup startup) {
    if (options_.tls_required && !secure_)
        return protocol_error("28000", "this server takes encrypted connections only");
    // The client uses a newer minor version or unknown protocol options: it is told what is supported.
    std::vector<std::string_view> unknown;
    for (const auto& option : startup.options) {
        if (option.name.starts_with("_pq_.")) unknown.push_back(option.name);
    }
    if ((startup.version & 0xffff) != 0 || !unknown.empty()) {
        Writer writer(output_);
        writer.begin('v').i32(protocol_3_0 & 0xffff).i32(static_cast<std::uint32_t>(unknown.size()));
        for (const auto name : unknown) writer.text(name);
        writer.end();
    }
    std::erase_if(startup.options, [](const auto& option) { return option.name.starts_with("_pq_."); });
    const std::string* const replication = startup.find("replication");
    if (replication && *replication != "false" && *replication != "off" && *replication != "0" &&
        *replication != "no")
        return protocol_error("0A000", "replication connections are not served here");
    const std::string* const user = startup.find("user");
    if (!user || user->empty())
        return protocol_error("28000", "no PostgreSQL user name specified in startup packet");
    state_ = ClientState::starting;
    return ClientEvent{ClientEvent::Kind::start, std::move(startup), {}, {}};
}

void ClientMachine::secured() {
    secure_ = true;
    state_ = ClientState::first;
}

void ClientMachine::authenticate(Authentication how) {
    if (how.kind == Authentication::Kind::trust) {
        state_ = ClientState::welcoming;
        return;
    }
    scram_.emplace(std::move(how.verifier), std::move(how.nonce));
    decoder_.expect_password(true);
    state_ = ClientState::authenticating;
    Writer(output_).begin('R').i32(auth_sasl).text(mechanism).i8(0).end();
}

std::optional<ClientEvent> ClientMachine::next_password() {
    const auto message = decoder_.next();
    if (!message) {
        if (!decoder_.error().empty()) return protocol_error("08P01", decoder_.error());
        return std::nullopt;
    }
    if (message->type == 'X') {
        state_ = ClientState::over;
        return ClientEvent{ClientEvent::Kind::broken, {}, {}, "left while it was asked for its password"};
    }
    if (message->type != 'p') return protocol_error("08P01", "expected a password message");
    if (!scram_begun_) {
        Fields fields(message->body);
        const std::string_view requested_mechanism = fields.text();
        const auto length = static_cast<std::int32_t>(fields.i32());
        if (!fields.ok() || length < 0 || static_cast<std::size_t>(length) != fields.rest().size())
            return protocol_error("08P01", "malformed SASL message");
        if (requested_mechanism != mechanism)
            return protocol_error("08P01", "client selected an invalid SASL mechanism");
        const auto reply = scram_->first(fields.rest());
        if (!reply) return protocol_error("08P01", "malformed SCRAM message");
        scram_begun_ = true;
        Writer(output_).begin('R').i32(auth_sasl_continue).bytes(*reply).end();
        return next_password();
    }
    std::string proof;
    switch (scram_->final(message->body, proof)) {
        case ScramServer::Result::malformed: return protocol_error("08P01", "malformed SCRAM message");
        case ScramServer::Result::refused: return protocol_error("28P01", "password authentication failed");
        case ScramServer::Result::accepted: break;
    }
    Writer(output_).begin('R').i32(auth_sasl_final).bytes(proof).end();
    scram_.reset();
    decoder_.expect_password(false);
    state_ = ClientState::welcoming;
    return ClientEvent{ClientEvent::Kind::accepted, {}, {}, {}};
}

void ClientMachine::welcome(const std::vector<StartupOption>& parameters, Key key) {
    Writer writer(output_);
    writer.begin('R').i32(auth_ok).end();
    for (const auto& each : parameters) {
        writer.begin('S').text(each.name).text(each.value).end();
    }
    writer.begin('K').i32(key.process).i32(key.secret).end();
    write_ready(output_, 'I');
    state_ = ClientState::session;
}

void ClientMachine::fail(const ErrorText& error) {
    if (state_ == ClientState::over) return;
    ErrorText fatal = error;
    fatal.severity = Severity::fatal;
    write_error(output_, fatal);
    state_ = ClientState::over;
}

std::optional<ClientEvent> ClientMachine::protocol_error(std::string_view code, const std::string& text) {
    fail({Severity::fatal, code, text, {}, {}});
    return ClientEvent{ClientEvent::Kind::broken, {}, {}, text};
}

}  // namespace flaxdoor::pg
