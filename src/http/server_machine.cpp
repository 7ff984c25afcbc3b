#include "http/server_machine.h"

#include <algorithm>

namespace flaxdoor::http {

namespace {

constexpr std::string_view blank_line = "\r\n";
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

std::string_view text_of(ServerState state) {
    switch (state) {
        case ServerState::reading: return "reading";
        case ServerState::waiting: return "waiting";
        case ServerState::writing: return "writing";
        case ServerState::lingering: return "lingering";
        case ServerState::over: return "over";
    }
    return "unknown";
}

ServerState after(ServerState state, ServerSignal signal) {
    using State = ServerState;
    using Signal = ServerSignal;
    if (signal == Signal::broken) return State::over;
    switch (state) {
        case State::reading:
            if (signal == Signal::request_received) return State::waiting;
            if (signal == Signal::request_rejected) return State::writing;
            if (signal == Signal::client_done) return State::over;
            break;
        case State::waiting:
            if (signal == Signal::answer_given) return State::writing;
            break;
        case State::writing:
            if (signal == Signal::answer_written) return State::reading;
            if (signal == Signal::last_answer_written) return State::lingering;
            break;
        case State::lingering:
            if (signal == Signal::client_done || signal == Signal::discard_limit_reached) return State::over;
            break;
        case State::over: break;
    }
    return state;
}

void ServerMachine::apply(ServerSignal signal) {
    state_ = after(state_, signal);
    if (state_ != ServerState::over && state_ != ServerState::lingering) return;
    input_.release();
    reader_.reset();
    if (state_ == ServerState::over) {
        std::string().swap(output_);  // an assignment would not free the memory
        output_offset_ = 0;
    }
}

void ServerMachine::receive(std::string_view bytes) {
    if (state_ == ServerState::over || client_ended_) return;
    const bool discard =
        state_ == ServerState::lingering || (state_ == ServerState::writing && last_response_);
    if (!discard) {
        input_.append(bytes);
        return;
    }
    discarded_bytes_ += bytes.size();
    if (discarded_bytes_ > linger_limit_) apply(ServerSignal::discard_limit_reached);
}

void ServerMachine::receive_end() {
    client_ended_ = true;
    if (state_ == ServerState::lingering) apply(ServerSignal::client_done);
}

void ServerMachine::reset() { apply(ServerSignal::broken); }

std::optional<ServerEvent> ServerMachine::next() {
    if (answered_event_due_) {
        answered_event_due_ = false;
        ServerEvent event;
        event.kind = ServerEvent::Kind::answered;
        return event;
    }
    if (state_ == ServerState::reading) {
        if (auto event = parse_request()) return event;
    }
    if (state_ == ServerState::waiting && client_ended_ && !half_close_reported_) {
        half_close_reported_ = true;
        ServerEvent event;
        event.kind = ServerEvent::Kind::half_closed;
        return event;
    }
    return std::nullopt;
}

std::optional<ServerEvent> ServerMachine::parse_request() {
    Progress progress = Progress::incomplete;
    // Skips empty lines before a request line (RFC 9112, 2.2): some clients send one after a body, and it must not be
    // rejected as a malformed request.
    while (!reader_ && input_.view().substr(0, blank_line.size()) == blank_line)
        input_.consume(blank_line.size());
    const bool partial_blank_line = !reader_ && input_.view() == blank_line.substr(0, 1);
    if (!input_.empty() && !partial_blank_line) {
        if (!reader_) reader_ = std::make_unique<Reader<Request>>(max_body_bytes_);
        progress = reader_->parse(input_);
    }
    ServerEvent event;
    if (progress == Progress::incomplete) {
        const bool expects_continue =
            !continue_sent_ && reader_ && reader_->header_done() && reader_->message().version >= 11 &&
            equals_ignoring_case(reader_->message().fields["Expect"], "100-continue");
        if (client_ended_) {
            apply(ServerSignal::client_done);
        } else if (expects_continue) {
            continue_sent_ = true;
            output_.append(continue_line);
        }
        input_.shrink();
        return std::nullopt;
    }
    const auto reader = std::move(reader_);
    continue_sent_ = false;
    half_close_reported_ = false;
    is_http_1_0_ = reader->message().version < 11;
    is_head_ = reader->message().method == "HEAD";
    input_.shrink();
    if (progress == Progress::malformed) {
        keep_alive_ = false;
        apply(ServerSignal::request_rejected);
        write_response(plain_answer(reader->error().status, reader->error().why), true);
        event.kind = ServerEvent::Kind::malformed;
        event.status = reader->error().status;
        event.why = reader->error().why;
        return event;
    }
    keep_alive_ = reader->keep_alive();
    apply(ServerSignal::request_received);
    event.request = std::move(reader->message());
    return event;
}

bool ServerMachine::answer(const Response& response, bool last) {
    if (state_ != ServerState::waiting) return false;
    apply(ServerSignal::answer_given);
    write_response(response, last);
    return true;
}

bool ServerMachine::reject(int status, std::string_view why) {
    return answer(plain_answer(status, why), true);
}

bool ServerMachine::reject_incomplete(int status, std::string_view why) {
    if (state_ != ServerState::reading || (input_.empty() && !reader_)) return false;
    reader_.reset();
    keep_alive_ = is_http_1_0_ = is_head_ = false;
    apply(ServerSignal::request_rejected);
    write_response(plain_answer(status, why), true);
    return true;
}

void ServerMachine::write_response(const Response& response, bool last) {
    last_response_ = last || !keep_alive_ || (client_ended_ && input_.empty());
    // An HTTP/1.0 client assumes that the connection closes after the response unless told otherwise.
    const Persistence persistence = last_response_ ? Persistence::close
                                    : is_http_1_0_ ? Persistence::keep_alive
                                                   : Persistence::unspecified;
    append(output_, response, persistence, is_head_);
    if (last_response_) input_.release();
}

bool ServerMachine::send_continue() {
    if (state_ != ServerState::waiting || is_http_1_0_) return false;
    if (output().empty()) output_.append(continue_line);
    return true;
}

void ServerMachine::wrote(std::size_t n) {
    output_offset_ += std::min(n, output_.size() - output_offset_);
    if (output_offset_ < output_.size() || output_.empty()) return;
    std::string().swap(output_);  // an assignment would not free the memory
    output_offset_ = 0;
    if (state_ != ServerState::writing) return;
    answered_event_due_ = true;
    served_ = true;
    apply(last_response_ ? ServerSignal::last_answer_written : ServerSignal::answer_written);
    if (client_ended_ && state_ == ServerState::lingering) apply(ServerSignal::client_done);
}

bool ServerMachine::wants_read() const {
    if (state_ == ServerState::over || client_ended_) return false;
    if (state_ == ServerState::lingering) return true;
    return input_.size() + discarded_bytes_ <= max_header_bytes + max_body_bytes_;
}

bool ServerMachine::between_requests() const {
    return state_ == ServerState::reading && input_.empty() && !reader_ && output_.empty() && !client_ended_;
}

}  // namespace flaxdoor::http
