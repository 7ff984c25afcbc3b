// A web server in the test's process with a mounted balancer: RESTinio on the host's event loop, or on a loop and a
// thread of its own, and an application for all requests outside the mounts. Compiling this header takes long.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "flaxdoor/middleware/restinio.h"
#include "in_process_balancer.h"

namespace flaxdoor::test {

namespace asio = boost::asio;
using asio::ip::tcp;

// Phases of a shutdown: new connections are accepted for as long as the daemon accepts them (keep_accepting), partially
// received requests may then be completed (keep_taking), and clients finally have some time to close (end_wait).
inline constexpr auto keep_accepting = std::chrono::milliseconds(450);
inline constexpr auto keep_taking = keep_accepting + std::chrono::milliseconds(500);
inline constexpr auto end_wait = std::chrono::milliseconds(500);

using Application = std::function<restinio::request_handling_status_t(const restinio::request_handle_t&)>;

inline restinio::request_handling_status_t respond_not_found(const restinio::request_handle_t& request) {
    return request->create_response(restinio::status_not_found())
        .set_body("the application has no such page\n")
        .connection_close()
        .done();
}

struct HostPlan {
    std::vector<middleware::MountOptions> mounts = {{}};  // of the same balancer
    Application application = respond_not_found;
    bool server_thread = false;  // runs RESTinio on its own loop and thread
};

// Tracks the open client connections: the host stops when none is left.
class ConnectionTracker {
public:
    explicit ConnectionTracker(std::vector<std::shared_ptr<middleware::Mount>> mounts)
        : departures_(std::move(mounts)) {}

    void state_changed(const restinio::connection_state::notice_t& notice) {
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            open_.insert(notice.connection_id());
        } else {
            open_.erase(notice.connection_id());
        }
        departures_.state_changed(notice);
        if (open_.empty() && on_none_open_) on_none_open_();
    }
    void when_none_open(std::function<void()> call) {
        on_none_open_ = std::move(call);
        if (open_.empty()) on_none_open_();
    }

private:
    middleware::Departures departures_;
    std::set<restinio::connection_id_t> open_;
    std::function<void()> on_none_open_;
};

struct Traits : restinio::default_single_thread_traits_t {
    using stream_socket_t = middleware::Socket;
    using request_handler_t = restinio::sync_chain::fixed_size_chain_t<2>;
    using connection_state_listener_t = ConnectionTracker;
};

class MiddlewareHost final : public Host {
public:
    MiddlewareHost(asio::io_context& loop, const BalancerOptions& options, HostPlan plan = {})
        : loop_(loop),
          balancer_(loop.get_executor(), without_listener(options)),
          own_loop_(plan.server_thread ? std::make_unique<asio::io_context>(1) : nullptr),
          server_loop_(own_loop_ ? *own_loop_ : loop),
          timer_(server_loop_) {
        for (auto& mount : plan.mounts) {
            mounts_.push_back(
                std::make_shared<middleware::Mount>(loop.get_executor(), balancer_, std::move(mount)));
        }
        connections_ = std::make_shared<ConnectionTracker>(mounts_);
        server_.emplace(restinio::external_io_context(server_loop_), settings(options, plan.application));
        server_->open_sync();
        if (own_loop_) thread_ = std::thread([this] { own_loop_->run(); });
    }

    ~MiddlewareHost() override {
        if (!own_loop_) return;
        own_loop_->stop();
        thread_.join();
    }

    tcp::endpoint address() const override { return address_; }
    Balancer& balancer() override { return balancer_; }

    void drain() override {
        if (std::exchange(draining_, true)) return;
        balancer_.async_drain([this] { await_mount(0); });
        asio::post(server_loop_, [this] {
            after(keep_accepting, [this] {
                server_->close_sync();
                for (const auto& mount : mounts_) mount->wind_down();
            });
        });
    }

    // Closes the balancer, which ends all open calls and makes its figures final, then stops the host's loop whatever
    // work RESTinio has on it.
    void close() override {
        balancer_.async_close([this] { loop_.stop(); });
    }

private:
    static BalancerOptions without_listener(BalancerOptions options) {
        options.listen.clear();
        options.keep_taking = keep_taking;
        return options;
    }

    // Waits for the mounts one after the other, then lets clients close their connections.
    void await_mount(std::size_t i) {
        if (i < mounts_.size()) return mounts_[i]->when_quiet([this, i] { await_mount(i + 1); });
        asio::post(server_loop_, [this] {
            after(end_wait, [this] { loop_.stop(); });
            connections_->when_none_open([this] { loop_.stop(); });
        });
    }

    void after(std::chrono::milliseconds delay, std::function<void()> step) {
        timer_.expires_after(delay);
        timer_.async_wait([step = std::move(step)](boost::system::error_code error) {
            if (!error) step();
        });
    }

    restinio::server_settings_t<Traits> settings(const BalancerOptions& options, Application application) {
        const auto colon = options.listen.rfind(':');
        restinio::server_settings_t<Traits> settings;
        std::vector<middleware::Handler> handlers(mounts_.begin(), mounts_.end());
        middleware::set_limits(settings, options.settings)
            .address(options.listen.substr(0, colon))
            .port(static_cast<std::uint16_t>(std::stoul(options.listen.substr(colon + 1))))
            .acceptor_post_bind_hook(
                [this](tcp::acceptor& acceptor) { address_ = acceptor.local_endpoint(); })
            .concurrent_accepts_count(16)
            .connection_state_listener(connections_)
            .request_handler(
                [handlers](const restinio::request_handle_t& request) {
                    for (const auto& handler : handlers) {
                        const auto handled = handler(request);
                        if (handled != restinio::request_not_handled()) return handled;
                    }
                    return restinio::request_not_handled();
                },
                std::move(application));
        return settings;
    }

    asio::io_context& loop_;
    Balancer balancer_;
    std::vector<std::shared_ptr<middleware::Mount>> mounts_;
    const std::unique_ptr<asio::io_context> own_loop_;
    asio::io_context& server_loop_;
    std::shared_ptr<ConnectionTracker> connections_;
    tcp::endpoint address_;
    std::optional<restinio::http_server_t<Traits>> server_;
    asio::steady_timer timer_;
    std::thread thread_;
    bool draining_ = false;
};

}  // namespace flaxdoor::test
