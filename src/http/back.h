// The HTTP/1.1 back: kept connections to the upstreams of one pool, the attempts on them, what came of each,
// and load reports. What comes as bytes is the machine's (client_machine.h); here are sockets and time.
//
// Threading: the loop's one thread.   Ownership: loop, core, clock and the budget are borrowed and outlive
//            the back.
// Life:      it must outlive its pool in the core; it may be destroyed any time after that.
// Attempts:  an attempt carries one request on one connection, and a connection one request at a time. What
//            is this program's own want (no descriptor, no port, the cap on connections) ends it as moot.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "http/message.h"
#include "loop/clock.h"
#include "loop/executor.h"

namespace flaxdoor::http {

// Connections to upstreams over all backs that share it.
struct ConnectionBudget {
    std::size_t most = 512;
    std::size_t open = 0;
};

struct BackOptions {
    Micros connect{};  // a connection that is not made after this has failed; 0: no limit of its own
    Micros idle{};     // kept connections are closed after this by the other side; 0: not told
    std::vector<std::string> report_fields;  // of load reports, in the order of Settings::report_fields
    // What an upstream's whole answer means; null: what it means on the platform (platform.h).
    Outcome (*meaning)(const Response& answer) = nullptr;
    bool keep_errors = false;  // RequestPayload::error_answer
    Micros latency_floor{};    // answers that come sooner are told as this late: core::latency_floor()
    std::size_t body = body_most;
    // Nothing in HTTP/1.1 tells a late second answer from the answer to the next request: a connection that has rested
    // for so long after its last one goes before one that has not, and of a server that spoke unasked lately no other
    // is used again.
    Micros rest = std::chrono::milliseconds(10);
};

class Back final : public core::Back {
public:
    Back(const loop::Executor& loop, core::Core& core, const loop::Clock& clock, ConnectionBudget& budget,
         BackOptions options);
    ~Back() override;

    void set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) override;
    void remove_upstream(UpstreamId upstream) override;
    void send(core::Attempt attempt) override;
    void cancel(core::AttemptKey attempt) override;
    void expire(core::AttemptKey attempt) override;
    void close_idle(UpstreamId upstream) override;

    // For new connections and those put by from now on.
    void set_options(BackOptions options);
    std::size_t idle() const;
    std::size_t known() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::http
