#include "pg/stream.h"

#include <array>

namespace flaxdoor::pg {

using loop::error_code;
using loop::tcp;

namespace {

constexpr std::size_t read_most = 64 << 10;
// Reads in one turn, so that one busy connection does not keep the others waiting.
constexpr int reads_at_once = 4;
// Plain bytes are given to TLS while less than this waits to be written.
constexpr std::size_t encrypted_most = 256 << 10;

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
    begun_ = true;
    await_read();
}

void Stream::secure(std::unique_ptr<tls::Channel> channel) {
    channel_ = std::move(channel);
    secure_next_ = true;
    flush();
}

void Stream::await_read() {
    if (!begun_ || reading_ || paused_ || !owner_) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->reading_ = false;
        if (error || !self->owner_ || self->paused_) return;
        self->read();
        self->await_read();
    });
}

void Stream::read_now() {
    if (begun_ && owner_) read();
}

void Stream::read() {
    const auto self = shared_from_this();
    std::array<char, read_most> room;
    for (int i = 0; i < reads_at_once && owner_ && !paused_; ++i) {
        const loop::Read got = loop::read_some(socket_, room);
        switch (got.kind) {
            case loop::Read::Kind::nothing: return;
            case loop::Read::Kind::end: return ended("");
            case loop::Read::Kind::broken: return ended("the connection broke");
            case loop::Read::Kind::bytes: took(got.bytes); break;
        }
        if (got.bytes.size() < room.size()) return;
    }
}

void Stream::took(std::string_view bytes) {
    if (shut_) return;  // dropped
    if (!channel_ || secure_next_) return owner_->on_bytes(bytes);
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
    if (owner_ && !open) ended(channel_->failed() ? "TLS: " + channel_->error() : "");
}

void Stream::ended(const std::string& why) {
    if (owner_) owner_->on_end(why);
}

// True: all of it has gone.
bool Stream::write_raw() {
    while (owner_) {
        const bool encrypted = channel_ && !secure_next_;
        if (encrypted && secured_ && channel_->output().size() < encrypted_most) {
            const std::string_view plain = owner_->pending().substr(0, encrypted_most);
            if (!plain.empty()) {
                channel_->send(plain);
                owner_->wrote(plain.size());
            }
        }
        const std::string_view out = encrypted ? channel_->output() : owner_->pending();
        if (out.empty()) {
            if (!secure_next_) return true;
            secure_next_ = false;
            continue;
        }
        const loop::Written written = loop::write_some(socket_, out);
        if (encrypted) {
            channel_->wrote(written.bytes);
        } else {
            owner_->wrote(written.bytes);
        }
        if (written.broken) {
            // What has come before may still be read: its end shows there.
            return false;
        }
        if (written.bytes == out.size()) continue;
        blocked_ = true;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
            self->blocked_ = false;
            if (!error && self->owner_) self->flush();
        });
        return false;
    }
    return false;
}

void Stream::flush() {
    if (!owner_ || blocked_ || shut_ || !socket_.is_open()) return;
    const auto self = shared_from_this();
    if (!write_raw()) {
        behind_ = true;
        return;
    }
    if (behind_) {
        behind_ = false;
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
    if (shut_ || blocked_) return;
    if (channel_ && secured_) {
        channel_->finish();
        const std::string_view out = channel_->output();
        channel_->wrote(loop::write_some(socket_, out).bytes);  // a goodbye that does not fit is left out
    }
    shut_ = true;
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
