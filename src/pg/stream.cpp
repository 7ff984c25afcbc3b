#include "pg/stream.h"

#include <array>

namespace flaxdoor::pg {

using loop::error_code;
using loop::tcp;

namespace {

constexpr std::size_t read_buffer_size = 64 << 10;
// Reads per readiness event, so that one busy connection does not delay the others.
constexpr int reads_per_event = 4;
// Plain bytes are passed to TLS while less encrypted output than this is pending.
constexpr std::size_t max_encrypted_output = 256 << 10;

}  // namespace

Stream::Stream(tcp::socket socket, StreamOwner& owner) : owner_(&owner), socket_(std::move(socket)) {
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
}

void Stream::connect(const tcp::endpoint& address) {
    error_code error;
    loop::open(socket_, error);
    if (!error) socket_.non_blocking(true, error);
    if (error) {
        if (owner_) owner_->on_connected(error);
        return;
    }
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.async_connect(address, [self = shared_from_this()](error_code failed) {
        if (self->owner_) self->owner_->on_connected(failed);
    });
}

void Stream::begin() {
    reading_enabled_ = true;
    await_read();
}

void Stream::secure(std::unique_ptr<tls::Channel> channel) {
    channel_ = std::move(channel);
    tls_after_pending_ = true;
    flush();
}

void Stream::await_read() {
    if (!reading_enabled_ || read_wait_pending_ || paused_ || !owner_) return;
    read_wait_pending_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->read_wait_pending_ = false;
        if (error || !self->owner_ || self->paused_) return;
        self->read();
        self->await_read();
    });
}

void Stream::read_now() {
    if (reading_enabled_ && owner_) read();
}

void Stream::read() {
    const auto self = shared_from_this();
    std::array<char, read_buffer_size> buffer;
    for (int i = 0; i < reads_per_event && owner_ && !paused_; ++i) {
        const loop::Read result = loop::read_some(socket_, buffer);
        switch (result.kind) {
            case loop::Read::Kind::nothing: return;
            case loop::Read::Kind::end: return report_end("");
            case loop::Read::Kind::broken: return report_end("the connection broke");
            case loop::Read::Kind::bytes: process_bytes(result.bytes); break;
        }
        if (result.bytes.size() < buffer.size()) return;
    }
}

void Stream::process_bytes(std::string_view bytes) {
    if (send_closed_) return;  // discarded
    if (!channel_ || tls_after_pending_) return owner_->on_bytes(bytes);
    const bool open = channel_->receive(bytes);
    if (!secured_ && channel_->established()) {
        secured_ = true;
        owner_->on_secured();
        if (!owner_) return;
    }
    const std::string plain = channel_->take_plain();
    if (!plain.empty()) owner_->on_bytes(plain);
    if (!owner_) return;
    flush();
    if (owner_ && !open) report_end(channel_->failed() ? "TLS: " + channel_->error() : "");
}

void Stream::report_end(const std::string& why) {
    if (owner_) owner_->on_end(why);
}

// Returns true if all pending bytes have been written.
bool Stream::write_raw() {
    while (owner_) {
        const bool encrypted = channel_ && !tls_after_pending_;
        if (encrypted && secured_ && channel_->output().size() < max_encrypted_output) {
            const std::string_view plain = owner_->pending().substr(0, max_encrypted_output);
            if (!plain.empty()) {
                channel_->send(plain);
                owner_->wrote(plain.size());
            }
        }
        const std::string_view out = encrypted ? channel_->output() : owner_->pending();
        if (out.empty()) {
            if (!tls_after_pending_) return true;
            tls_after_pending_ = false;
            continue;
        }
        const loop::Written written = loop::write_some(socket_, out);
        if (encrypted) {
            channel_->wrote(written.bytes);
        } else {
            owner_->wrote(written.bytes);
        }
        if (written.broken) {
            // Bytes that arrived before may still be read; the read reports the end, unless the stream is paused.
            broken_ = true;
            return false;
        }
        if (written.bytes == out.size()) continue;
        write_wait_pending_ = true;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
            self->write_wait_pending_ = false;
            if (!error && self->owner_) self->flush();
        });
        return false;
    }
    return false;
}

void Stream::flush() {
    if (!owner_ || write_wait_pending_ || send_closed_ || !socket_.is_open()) return;
    const auto self = shared_from_this();
    if (!write_raw()) {
        write_pending_ = true;
        return;
    }
    if (write_pending_) {
        write_pending_ = false;
        owner_->on_drained();
        if (!owner_) return;
    }
    if (finishing_) try_finish();
}

void Stream::pause(bool paused) {
    if (paused_ == paused) return;
    paused_ = paused;
    if (!paused) await_read();
}

void Stream::finish() {
    finishing_ = true;
    if (channel_ && secured_) flush();
    flush();
}

void Stream::try_finish() {
    if (send_closed_ || write_wait_pending_) return;
    if (channel_ && secured_) {
        channel_->finish();
        const std::string_view out = channel_->output();
        channel_->wrote(loop::write_some(socket_, out).bytes);  // a close_notify that does not fit is dropped
    }
    send_closed_ = true;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    paused_ = false;
    await_read();
}

void Stream::close() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
}

}  // namespace flaxdoor::pg
