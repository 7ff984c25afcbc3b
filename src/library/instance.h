// What stands behind a Balancer: the table of open operations, which any thread may touch, and the engine,
// which lives on the executor. Operations are completed by whoever takes them out of the table, so exactly
// once.
//
// Threading: as each function says. The table is under a lock that is never held over a call to anybody.
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

// Whether a list that holds this server can be used.
bool usable(const Server& server, const membership::ListNames& names);

class Instance final : public core::Front, public core::Log, public std::enable_shared_from_this<Instance> {
public:
    // Throws as Balancer's constructor does. On the executor's thread, or before it runs.
    Instance(boost::asio::any_io_executor executor, const BalancerOptions& options);
    ~Instance() override;
    // Once it is shared.
    void begin();

    // ------------------------------------------------------------------------------ from any thread
    const boost::asio::any_io_executor& executor() const { return executor_; }
    std::uint64_t reserve() { return ++last_; }
    void start(std::uint64_t number, CallRequest request, std::unique_ptr<Operation> operation);
    void start(std::uint64_t number, HttpRequest request, std::unique_ptr<Operation> operation);
    void cancel(std::uint64_t number, boost::asio::cancellation_type type);
    void end(bool orderly, std::unique_ptr<Operation> operation);
    // The Balancer goes: all that is open is completed as closed, the rest is taken down on the executor.
    void abandon();
    void reconfigure(const BalancerOptions& options);
    void set_servers(ServerList servers);
    const std::string& address() const { return address_; }
    BalancerFigures figures() const;

    // ------------------------------------------------------------------------------ on the executor
    bool on_sending(std::uint64_t token) override;
    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
    void on_final(std::uint64_t token, core::Final answer) override;
    void event(const core::Event& event, std::span<const core::Value> values) noexcept override;

private:
    struct Pending {
        std::unique_ptr<Operation> operation;
        std::string id;
        bool web = false;                    // its caller is told in the words of HTTP
        bool head = false;                   // asked for with HEAD: no answer has a body
        bool sending = false;                // a byte of it is out
        core::CallId call = 0;               // once the core has taken it
        std::optional<bool> may_have_run{};  // once it has left the core
    };

    // False when the instance takes no further calls: the operation has been completed.
    bool enter(std::uint64_t number, const std::string& id, bool web, bool head,
               std::unique_ptr<Operation> operation);
    // Posts the work on a call that has entered. What the executor throws goes to the caller, and the call is
    // none: its handler is not called as well.
    template <typename Work>
    void post(std::uint64_t number, Work work);
    // Guards against a call without an end, and a host's loop that ends, whatever throws here.
    template <typename Work>
    void guarded(std::uint64_t number, Work work);
    void take(std::uint64_t number, const CallRequest& request);
    void serve(std::uint64_t number, HttpRequest& request);
    void hand_over(std::uint64_t number, http::ClientRequest request, std::optional<UpstreamId> pinned,
                   Micros unseen);
    void tell_final(std::uint64_t token, core::Final final);
    void cancel_here(std::uint64_t number, boost::asio::cancellation_type type);
    void finish(std::uint64_t number, HttpAnswer answer);
    // One whose executor can't take it costs no other its own.
    void complete(Operation& operation, HttpAnswer answer);
    void complete_all(CallCause cause);
    void leave_all();
    void take_no_more();
    void take_down();
    void tell_ended();
    void loop_ends();
    void take_figures();
    void tell_figures();
    std::string draw_id(std::uint64_t number) const;

    boost::asio::any_io_executor executor_;  // none once the loop has gone
    LoopEnd* loop_end_ = nullptr;
    const std::string name_;
    const std::function<void(std::string_view, std::string_view)> log_;
    core::Log* events_ = nullptr;  // the daemon's, beside it
    const std::function<void(std::string_view, const BalancerFigures&)> figures_sink_;
    const Micros figures_every_;
    const std::uint64_t seed_;
    const membership::ListNames names_;
    const std::size_t open_calls_;
    const Micros keep_taking_;
    std::atomic<std::uint64_t> last_ = 0;
    std::atomic<std::uint64_t> library_calls_ = 0;
    std::atomic<bool> silent_ = false;  // the sinks are the host's no more
    std::string address_;

    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, Pending> pending_;
    std::vector<std::unique_ptr<Operation>> waiting_for_end_;
    bool closed_ = false;  // no further call is taken
    BalancerFigures figures_;

    // On the executor.
    std::unique_ptr<engine::Engine> engine_;
    std::optional<boost::asio::steady_timer> figures_timer_;
    std::optional<boost::asio::steady_timer> taking_timer_;
    bool draining_ = false;
    bool ended_ = false;
};

}  // namespace flaxdoor::detail
