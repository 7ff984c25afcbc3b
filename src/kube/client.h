// Calls to one API server over sockets: each gives the answer as it comes, and ends once.
//
// Threading: the executor's one thread, also for the handlers.   Ownership: what a call is given is kept
//            until its end; the client may be destroyed at any time: then nothing more is called.
// Names:     the server's name is looked up, where it is one, by the system's resolver.
// Errors:    the constructor throws std::runtime_error for certificates that can't be used.
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
        Micros limit = std::chrono::seconds(30);  // of silence, connecting included
    };
    struct Handlers {
        std::function<void(int status, Micros retry_after)> on_status;
        std::function<void(std::string_view)> on_body;
        std::function<void(bool whole, const std::string& why)> on_end;  // once, never from within start()
    };

    Client(const loop::Executor& executor, Config config);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Returns a number for cancel().
    std::uint64_t start(Call call, Handlers handlers);
    // Nothing more is called for it.
    void cancel(std::uint64_t number);
    std::size_t open() const;  // calls under way

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::kube
