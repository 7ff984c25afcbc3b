// Incremental parser of one response of an API server. It receives bytes in pieces of any size and passes on
// the status and the body as they arrive: lists and watches may be too long to buffer.
//
// Threading: one thread at a time.   Format: RFC 9112, by Boost.Beast.
// Bounds:    16 KiB of header; the body is not buffered here.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "flaxdoor/decide.h"

namespace flaxdoor::kube {

class Answer {
public:
    using OnBody = std::function<void(std::string_view)>;
    explicit Answer(OnBody on_body);
    ~Answer();

    // Returns false if the bytes are no valid response, or if bytes follow a complete one; error() says why.
    [[nodiscard]] bool receive(std::string_view bytes);
    // The server has closed its sending side.
    void receive_end();

    bool header_done() const;
    bool done() const;           // the response is complete
    bool keep_alive() const;     // after done(): another response may follow on the connection
    int status() const;          // valid after header_done()
    Micros retry_after() const;  // zero: not given
    const std::string& error() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor::kube
