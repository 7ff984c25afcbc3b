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

void ClientMachine::move(ClientSignal signal) {
    state_ = after(state_, signal);
    if (state_ == ClientState::exchanging) return;
    in_.release();
    std::string().swap(out_);  // an assignment would keep the memory
    out_at_ = 0;
    reader_.reset();
}

bool ClientMachine::begin(std::string bytes, bool head) {
    if (state_ != ClientState::idle || bytes.empty()) return false;
    move(ClientSignal::begun);
    out_ = std::move(bytes);
    whole_ = false;
    head_ = head;
    interims_ = 0;
    return true;
}

void ClientMachine::wrote(std::size_t n) {
    out_at_ += std::min(n, out_.size() - out_at_);
    if (out_at_ < out_.size() || out_.empty()) return;
    whole_ = true;
    std::string().swap(out_);  // an assignment would keep the memory
    out_at_ = 0;
}

std::optional<ClientResult> ClientMachine::receive(std::string_view bytes) {
    using Kind = ClientResult::Kind;
    if (state_ == ClientState::over || bytes.empty()) return std::nullopt;
    if (state_ == ClientState::idle) return end(Kind::unasked);
    in_.append(bytes);
    while (!in_.empty()) {
        if (!reader_) reader_ = std::make_unique<Reader<Response>>(body_, head_);
        const Progress progress = reader_->take(in_);
        if (progress == Progress::bad) return end(Kind::spoilt, reader_->fault().why);
        if (progress == Progress::more) break;
        const int status = reader_->message().status;
        if (status >= 200) return answered();
        // Nobody asked for another protocol: nothing that follows could be understood.
        if (status == 101) return end(Kind::spoilt, "another protocol that nobody asked for");
        if (++interims_ > interim_most) return end(Kind::spoilt, "too many interim answers");
        reader_.reset();
    }
    in_.settle();
    return std::nullopt;
}

std::optional<ClientResult> ClientMachine::receive_end() {
    if (state_ == ClientState::exchanging && reader_ && reader_->ends_here()) return answered();
    return broken();
}
std::optional<ClientResult> ClientMachine::reset() { return broken(); }

std::optional<ClientResult> ClientMachine::broken() {
    using Kind = ClientResult::Kind;
    if (state_ == ClientState::over) return std::nullopt;
    if (state_ == ClientState::idle) return end(Kind::unasked);
    return end(whole_ ? Kind::may_have_run : Kind::never_ran);
}

std::optional<ClientResult> ClientMachine::end(ClientResult::Kind kind, std::string why) {
    ClientResult result;
    result.kind = kind;
    result.why = std::move(why);
    move(ClientSignal::failed);
    return result;
}

std::optional<ClientResult> ClientMachine::answered() {
    ClientResult result;
    // An answer to a request that is not whole yet leaves the framing in doubt.
    result.reusable = whole_ && reader_->keep_alive() && in_.empty() && !reader_->ends_here();
    result.answer = std::move(reader_->message());
    move(result.reusable ? ClientSignal::answered : ClientSignal::last_answered);
    return result;
}

}  // namespace flaxdoor::http
