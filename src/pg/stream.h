// A socket with or without TLS round it, for the front and the back: bytes that come are handed to the owner,
// what the owner has pending is written as the socket takes it.
//
// Threading: the loop's one.   Ownership: the owner is borrowed until close() or abandon(); nothing comes
//            after.
// Life:      held by shared pointers; what the loop holds of it ends soon after close(). Waits: never.
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
    // Nothing more comes: the other side has ended, or the connection is broken.
    virtual void on_end(const std::string& why) = 0;
    virtual void on_secured() {}
    // Plain bytes to write, and how many were handed over.
    virtual std::string_view pending() = 0;
    virtual void wrote(std::size_t bytes) = 0;
    // All that was pending has been handed over, after it had not been.
    virtual void on_drained() {}
};

class Stream : public std::enable_shared_from_this<Stream> {
public:
    Stream(const loop::Executor& executor, StreamOwner& owner) : owner_(&owner), socket_(executor) {}
    Stream(loop::tcp::socket socket, StreamOwner& owner);

    // on_connected() follows, later.
    void connect(const loop::tcp::endpoint& address);
    // Begins to listen for bytes.
    void begin();
    // What is pending goes in clear; all after it is TLS. on_secured() follows, or on_end().
    void secure(std::unique_ptr<tls::Channel> channel);
    void flush();
    // Takes what has come and is not read yet, now.
    void read_now();
    void pause(bool paused);
    bool is_paused() const { return paused_; }
    // Writes what is pending, ends the sending side, and drops what still comes, until the other side ends:
    // then on_end().
    void finish();
    void close();

    loop::tcp::socket& socket() { return socket_; }

private:
    void await_read();
    void read();
    void took(std::string_view bytes);
    void ended(const std::string& why);
    bool write_raw();
    void try_finish();

    StreamOwner* owner_;
    loop::tcp::socket socket_;
    std::unique_ptr<tls::Channel> channel_;
    bool secured_ = false, secure_next_ = false;
    bool begun_ = false, reading_ = false, paused_ = false, blocked_ = false;
    bool finishing_ = false, shut_ = false, behind_ = false;
};

}  // namespace flaxdoor::pg
