#include "http/client_machine.h"

#include <algorithm>

namespace flaxdoor::http {

std::string_view text_of(ClientState state) {
    switch (state) {
        case ClientState::idle: return "idle";
        case ClientState::exchanging: return "exchanging";
        case ClientState::over: return "over";
    }
    return "unknown";
}

ClientState after(ClientState state, ClientSignal signal) {
    using State = ClientState;
    using Signal = ClientSignal;
    if (signal == Signal::failed) return State::over;
    if (state == State::idle && signal == Signal::begun) return State::exchanging;
    if (state == State::exchanging && signal == Signal::answered) return State::idle;
    if (state == State::exchanging && signal == Signal::last_answered) return State::over;
    return state;
}

void ClientMachine::apply(ClientSignal signal) {
    state_ = after(state_, signal);
    if (state_ == ClientState::exchanging) return;
    input_.release();
    std::string().swap(output_);  // an assignment would not free the memory
    output_offset_ = 0;
    reader_.reset();
}

bool ClientMachine::begin(std::string bytes, bool head) {
    if (state_ != ClientState::idle || bytes.empty()) return false;
    apply(ClientSignal::begun);
    output_ = std::move(bytes);
    request_written_ = false;
    is_head_ = head;
    interim_responses_ = 0;
    return true;
}

void ClientMachine::wrote(std::size_t n) {
    output_offset_ += std::min(n, output_.size() - output_offset_);
    if (output_offset_ < output_.size() || output_.empty()) return;
    request_written_ = true;
    std::string().swap(output_);  // an assignment would not free the memory
    output_offset_ = 0;
}

std::optional<ClientResult> ClientMachine::receive(std::string_view bytes) {
    using Kind = ClientResult::Kind;
    if (state_ == ClientState::over || bytes.empty()) return std::nullopt;
    if (state_ == ClientState::idle) return fail(Kind::unsolicited);
    input_.append(bytes);
    while (!input_.empty()) {
        if (!reader_) reader_ = std::make_unique<Reader<Response>>(max_body_bytes_, is_head_);
        const Progress progress = reader_->parse(input_);
        if (progress == Progress::malformed) return fail(Kind::malformed, reader_->error().why);
        if (progress == Progress::incomplete) break;
        const int status = reader_->message().status;
        if (status >= 200) return answered();
        // The balancer never requests an upgrade, so the bytes that follow cannot be interpreted.
        if (status == 101) return fail(Kind::malformed, "unrequested switch to another protocol");
        if (++interim_responses_ > max_interim_responses)
            return fail(Kind::malformed, "too many interim responses");
        reader_.reset();
    }
    input_.shrink();
    return std::nullopt;
}

std::optional<ClientResult> ClientMachine::receive_end() {
    if (state_ == ClientState::exchanging && reader_ && reader_->ends_with_connection()) return answered();
    return broken();
}
std::optional<ClientResult> ClientMachine::reset() { return broken(); }

std::optional<ClientResult> ClientMachine::broken() {
    using Kind = ClientResult::Kind;
    if (state_ == ClientState::over) return std::nullopt;
    if (state_ == ClientState::idle) return fail(Kind::unsolicited);
    return fail(request_written_ ? Kind::may_have_executed : Kind::never_executed);
}

std::optional<ClientResult> ClientMachine::fail(ClientResult::Kind kind, std::string why) {
    ClientResult result;
    result.kind = kind;
    result.why = std::move(why);
    apply(ClientSignal::failed);
    return result;
}

std::optional<ClientResult> ClientMachine::answered() {
    ClientResult result;
    // After a response to a partially written request, the framing of the connection is unknown.
    result.reusable =
        request_written_ && reader_->keep_alive() && input_.empty() && !reader_->ends_with_connection();
    result.answer = std::move(reader_->message());
    apply(result.reusable ? ClientSignal::answered : ClientSignal::last_answered);
    return result;
}

}  // namespace flaxdoor::http
