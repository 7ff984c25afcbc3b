// Client of one API server over sockets. Each call passes on the response as it arrives and ends exactly
// once.
//
// Threading: the executor's single thread, also for the handlers.   Ownership: a call keeps its handlers
//            until its end. The client may be destroyed at any time; then no handler is called any more.
// Names:     the system's resolver resolves the server's host name.
// Errors:    the constructor throws std::runtime_error for unusable certificates.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "flaxdoor/decide.h"
#include "kube/config.h"
#include "loop/executor.h"

namespace flaxdoor::kube {

class Client {
public:
    struct Call {
        std::string method = "GET", target, body, accept = "application/json", content_type;
        Micros limit = std::chrono::seconds(30);  // longest time without progress, connecting included
    };
    struct Handlers {
        std::function<void(int status, Micros retry_after)> on_status;
        std::function<void(std::string_view)> on_body;
        // Called once, never from within start().
        std::function<void(bool complete, const std::string& error)> on_end;
    };

    Client(const loop::Executor& executor, Config config);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Starts a call and returns its number for cancel().
    std::uint64_t start(Call call, Handlers handlers);
    // Ends a call without calling its handlers any more.
    void cancel(std::uint64_t number);
    std::size_t open() const;  // calls in flight

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::kube
