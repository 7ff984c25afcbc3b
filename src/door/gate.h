// Places the admission queue between a listener and the core: a call acceptor that queues calls, and the
// core's downstream for the calls that it dispatched.
//
//   - A queued call keeps its deadline: `received` stays its arrival time, so the wait reduces its time
//     budget.
//   - Answers of the core to dispatched calls are passed on at once. A refusal by the module carries the
//     later of the module's retry time and the queue's. The queue's retry time is used only if the platform
//     observes it.
//   - A call whose client leaves while it is queued is removed; the core never receives it.
//
// Threading: the core's thread.   Ownership: all constructor arguments are borrowed and outlive the acceptor.
//            The acceptor outlives the downstreams that submit calls, and must exist until their pool is
//            removed.
// Errors:    the constructor and change() throw std::invalid_argument for inconsistent terms.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/call_acceptor.h"
#include "door/door.h"

namespace flaxdoor::door {

class QueuedCallAcceptor final : public core::CallAcceptor, public core::Downstream {
public:
    struct Dependencies {
        core::Core& core;
        const core::Clock& clock;
        core::Alarm& alarm;  // used by this object only; on_alarm() is called when it expires
    };
    struct Options {
        bool tells = false;                                 // refusals carry a retry time
        Micros default_timeout = std::chrono::seconds(30);  // as in core::Options
        bool client_by_key = false;  // a call's key identifies its client, if it has one
    };
    QueuedCallAcceptor(const Dependencies& world, Terms terms, Options options, std::uint64_t seed,
                       const RetryTokens::Secret& secret);
    ~QueuedCallAcceptor() override;

    // Applies new terms. Queued calls keep their class and tenant by name; a call whose class was removed is
    // refused when it is dispatched. Must be called immediately before the core's change_pool().
    void change(Terms terms, Options options);
    // Queues no more calls.
    void begin_drain();
    // Refuses all queued calls.
    void stop();
    void on_alarm();
    Figures figures() const;

    // Sets the client, its retry token and the size of the request that the next accept_call() passes.
    void set_next_requester(std::string client, std::string retry_token, std::size_t bytes);
    core::AcceptResult accept_call(core::Call call, core::Downstream& front, std::uint64_t token,
                                   core::CallId* id) override;
    void abandon_call(core::CallId call) override;
    // Returns the retry token for the answer, during the on_final() of a downstream. Empty if there is none.
    const std::string& current_retry_token() const { return retry_token_; }

    bool on_sending(std::uint64_t token) override;
    void on_started(std::uint64_t token, std::unique_ptr<core::Payload> head) override;
    void on_final(std::uint64_t token, core::FinalAnswer answer) override;

private:
    struct HeldCall {
        core::Downstream* front = nullptr;
        std::uint64_t token = 0;
        core::CallId in_core = 0;
        bool handed = false;
        core::Call call;  // while it is queued
    };

    void dispatch(Ticket ticket);
    void answer(Ticket ticket, core::FinalAnswer final, const std::string& token);
    core::FinalAnswer refused_final(const Refusal& refusal) const;
    void fail(Ticket ticket) noexcept;
    void run_queue();

    Dependencies world_;
    Options options_;
    AdmissionQueue queue_;
    std::unordered_map<Ticket, HeldCall> calls_;
    std::unordered_set<std::string> queued_names_;  // of queued calls
    std::string request_client_, request_token_;    // of the request that the next accept_call() passes
    std::size_t request_bytes_ = 0;                 // of the same request
    std::string retry_token_;
    bool running_queue_ = false;
};

}  // namespace flaxdoor::door
