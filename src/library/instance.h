// The implementation of a Balancer: a table of pending operations, which any thread may access, and the
// engine, which runs on the executor. The code that removes an operation from the table completes it, so each
// is completed exactly once.
//
// Threading: The sections below say which functions may be called from any thread. A mutex guards the table.
//            It is never held while a handler, a sink, the engine or the executor is called.
#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "engine/engine.h"
#include "flaxdoor/balancer.h"
#include "http/platform.h"
#include "library/loop_end.h"

namespace flaxdoor::detail {

// Returns whether the server has a valid name, address, zone and weight.
bool usable(const Server& server, const membership::ListNames& names);

class Instance final : public core::Downstream,
                       public core::Log,
                       public std::enable_shared_from_this<Instance> {
public:
    // Throws as Balancer's constructor does. Must be called on the executor's thread, or before it runs.
    Instance(boost::asio::any_io_executor executor, const BalancerOptions& options);
    ~Instance() override;
    // Must be called once, after a shared_ptr owns the instance.
    void begin();

    // ------------------------------------------------------------------ may be called from any thread
    const boost::asio::any_io_executor& executor() const { return executor_; }
    std::uint64_t reserve() { return ++last_number_; }
    void start(std::uint64_t number, CallRequest request, std::unique_ptr<Operation> operation);
    void start(std::uint64_t number, HttpRequest request, std::unique_ptr<Operation> operation);
    void cancel(std::uint64_t number, boost::asio::cancellation_type type);
    void end(bool orderly, std::unique_ptr<Operation> operation);
    // For the Balancer's destructor: completes open operations as closed, and tears down the rest on the
    // executor.
    void abandon();
    void reconfigure(const BalancerOptions& options);
    void set_servers(ServerList servers);
    const std::string& address() const { return address_; }
    BalancerFigures figures() const;

    // ------------------------------------------------------------------ must be called on the executor
    bool on_sending(std::uint64_t token) override;
    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
    void on_final(std::uint64_t token, core::FinalAnswer answer) override;
    void event(const core::Event& event, std::span<const core::Value> values) noexcept override;

private:
    struct Pending {
        std::unique_ptr<Operation> operation;
        std::string id;
        bool web = false;                    // from async_serve: the answer must be a whole HTTP response
        bool head = false;                   // a HEAD request: its answer must have no body
        bool sending = false;                // the core has begun to send it
        core::CallId call = 0;               // of the core; zero until the core has accepted the call
        std::optional<bool> may_have_run{};  // the core's verdict, after the call has been withdrawn from it
    };

    // Adds an operation to the table. Returns false if no further call is accepted; the operation has then
    // been completed.
    bool add_pending(std::uint64_t number, const std::string& id, bool web, bool head,
                     std::unique_ptr<Operation> operation);
    // Posts work for a call of the table to the executor. If the executor throws, removes the call without
    // calling its handler, and rethrows.
    template <typename Work>
    void post(std::uint64_t number, Work work);
    // Runs the work and completes the call if it throws. Otherwise the call would never end, and the
    // exception would leave the host's loop.
    template <typename Work>
    void run_guarded(std::uint64_t number, Work work);
    void start_call(std::uint64_t number, const CallRequest& request);
    void start_http(std::uint64_t number, HttpRequest& request);
    // `unseen` is the client's transit time: see http::make_call().
    void submit_to_core(std::uint64_t number, http::ClientRequest request, std::optional<UpstreamId> pinned,
                        Micros unseen);
    void complete_final(std::uint64_t token, core::FinalAnswer final);
    void cancel_on_executor(std::uint64_t number, boost::asio::cancellation_type type);
    void finish(std::uint64_t number, HttpAnswer answer);
    // Logs an exception of the handler's executor, so that other operations are still completed.
    void complete(Operation& operation, HttpAnswer answer);
    void complete_all(CallCause cause);
    void withdraw_all_from_core();
    void stop_accepting();
    void tear_down();
    void complete_end_operations();
    void on_loop_shutdown();
    void update_figures();
    void report_figures();
    std::string generate_id(std::uint64_t number) const;

    boost::asio::any_io_executor executor_;  // empty once the loop has been destroyed
    LoopShutdownService* loop_shutdown_ = nullptr;
    const std::string name_;
    const std::function<void(std::string_view, std::string_view)> log_;
    core::Log* events_ = nullptr;  // receives events unformatted, in programs of this project
    const std::function<void(std::string_view, const BalancerFigures&)> figures_sink_;
    const Micros figures_every_;
    const std::uint64_t seed_;
    const membership::ListNames names_;
    const std::size_t open_calls_;
    const Micros keep_taking_;
    std::atomic<std::uint64_t> last_number_ = 0;
    std::atomic<std::uint64_t> library_calls_ = 0;
    std::atomic<bool> silent_ = false;  // destruction has begun: sinks must not be called
    std::string address_;

    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, Pending> pending_;
    std::vector<std::unique_ptr<Operation>> end_operations_;  // of async_drain and async_close
    bool closed_ = false;                                     // no further call is accepted
    BalancerFigures figures_;

    // Accessed on the executor only.
    std::unique_ptr<engine::Engine> engine_;
    std::optional<boost::asio::steady_timer> figures_timer_;
    // Ends the acceptance of calls during a drain: see BalancerOptions::keep_taking.
    std::optional<boost::asio::steady_timer> drain_accept_timer_;
    bool draining_ = false;
    bool torn_down_ = false;
};

}  // namespace flaxdoor::detail
