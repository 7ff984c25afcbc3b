// A socket with optional TLS: received bytes are passed to the owner, and the owner's pending bytes are
// written as the socket accepts them.
//
// Threading: the loop's thread only; no call blocks.
// Ownership: the owner is borrowed until close(); it is not called afterwards.
// Life:      held by shared pointers; the loop drops its references soon after close().
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "loop/executor.h"
#include "loop/sockets.h"
#include "tls/tls.h"

namespace flaxdoor::pg {

class StreamOwner {
public:
    virtual ~StreamOwner() = default;
    virtual void on_connected(const loop::error_code& /*error*/) {}
    virtual void on_bytes(std::string_view bytes) = 0;
    // No more bytes follow: the other side has closed its end, or the connection is broken.
    virtual void on_end(const std::string& why) = 0;
    virtual void on_secured() {}
    // Returns the plain bytes to be written; wrote() reports how many of them were accepted.
    virtual std::string_view pending() = 0;
    virtual void wrote(std::size_t bytes) = 0;
    // All pending bytes have been accepted, after the socket had blocked.
    virtual void on_drained() {}
};

class Stream : public std::enable_shared_from_this<Stream> {
public:
    Stream(const loop::Executor& executor, StreamOwner& owner) : owner_(&owner), socket_(executor) {}
    Stream(loop::tcp::socket socket, StreamOwner& owner);

    // on_connected() follows; a local error is reported from within this call.
    void connect(const loop::tcp::endpoint& address);
    // Starts to wait for bytes.
    void begin();
    // Sends the pending bytes unencrypted, then starts TLS. on_secured() or on_end() follows.
    void secure(std::unique_ptr<tls::Channel> channel);
    void flush();
    // Processes at once the bytes that have arrived and are not read yet.
    void read_now();
    void pause(bool paused);
    bool is_paused() const { return paused_; }
    // Returns whether the other side has reset the connection, which a paused stream does not read.
    bool is_reset() { return broken_ || loop::is_reset(socket_); }
    // Writes the pending bytes, closes the sending side and discards received bytes until the other side
    // closes its end; then on_end() follows.
    void finish();
    void close();

    loop::tcp::socket& socket() { return socket_; }

private:
    void await_read();
    void read();
    void process_bytes(std::string_view bytes);
    void report_end(const std::string& why);
    bool write_raw();
    void try_finish();

    StreamOwner* owner_;
    loop::tcp::socket socket_;
    std::unique_ptr<tls::Channel> channel_;
    bool broken_ = false;  // a write has failed
    bool secured_ = false, tls_after_pending_ = false;
    bool reading_enabled_ = false, read_wait_pending_ = false, paused_ = false, write_wait_pending_ = false;
    bool finishing_ = false, send_closed_ = false, write_pending_ = false;
};

}  // namespace flaxdoor::pg
