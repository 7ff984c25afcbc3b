#include "flaxdoor/middleware/mount.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <list>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "http/message.h"

namespace flaxdoor::middleware {

namespace asio = boost::asio;

namespace {

constexpr std::string_view upstream_path = "/api";

bool is_at_or_below(std::string_view path, std::string_view target) {
    if (path.empty() || !target.starts_with(path)) return false;
    return target.size() == path.size() || target[path.size()] == '/' || target[path.size()] == '?';
}

HttpAnswer too_many_requests() {
    HttpAnswer answer;
    answer.status = 503;
    answer.close = true;
    answer.result.verdict = CallVerdict::refused;
    answer.result.cause = CallCause::own_shortage;
    return answer;
}

}  // namespace

std::string_view reason_of(int status) { return http::reason_of(status); }

class Mount::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::any_io_executor executor, Balancer& balancer, MountOptions options)
        : executor_(std::move(executor)), balancer_(&balancer), options_(std::move(options)) {}

    const asio::any_io_executor& executor() const { return executor_; }

    // The target under which the balancer serves this target; empty if the application serves it.
    std::string upstream_target(std::string_view target) const {
        if (!options_.ready.empty()) {
            if (target.substr(0, target.find('?')) == options_.ready) return "/ready";
        }
        // Prefers the longest of the matching paths, which is the most specific.
        const std::string* longest = nullptr;
        for (const std::string& path : options_.paths) {
            if (is_at_or_below(path, target) && (!longest || path.size() > longest->size())) longest = &path;
        }
        if (!longest) return {};
        return std::string(upstream_path) + std::string(target.substr(longest->size()));
    }

    void serve(ClientRequest request, Answered answered) {
        request.request.target = upstream_target(request.request.target);
        auto& state = connections_[request.connection];
        if (!state) state = std::make_shared<ConnectionState>();
        if (state->closed) return;
        if (state->signal && state->waiting.size() >= options_.waiting) {
            // The answer may be given out of order: the framework writes a connection's answers in the order
            // of its requests.
            return answered(too_many_requests(), make_write_token());
        }
        PendingRequest pending{std::move(request), std::move(answered)};
        if (!state->signal) return begin(state, std::move(pending));
        state->waiting.push_back(std::move(pending));
    }

    void left(Connection connection) {
        const auto found = connections_.find(connection);
        if (found == connections_.end()) return;
        const auto state = found->second;
        connections_.erase(found);
        state->closed = true;
        state->waiting.clear();
        if (const auto signal = std::exchange(state->signal, nullptr)) {
            signal->emit(asio::cancellation_type::terminal);
        }
        notify_if_idle();
    }

    // May be called from any thread. Functions that are already posted to the loop then no longer use the
    // balancer, which may be destroyed right after the mount.
    void detach_balancer() {
        const std::lock_guard lock(mutex_);
        balancer_ = nullptr;
    }

    void end() {
        idle_callbacks_.clear();
        while (!connections_.empty()) left(connections_.begin()->first);
    }

    void wind_down() { closing_connections_ = true; }

    void when_quiet(std::function<void()> quiet) {
        idle_callbacks_.push_back(std::move(quiet));
        notify_if_idle();
    }

private:
    struct PendingRequest {
        ClientRequest request;
        Answered answered;
    };
    // The requests of one connection.
    struct ConnectionState {
        std::shared_ptr<asio::cancellation_signal> signal;  // of the request being served; null: none
        std::list<PendingRequest> waiting;                  // a list, which allocates nothing while empty
        bool closed = false;  // it has ended, or the answer just given closes it
    };

    void begin_next(const std::shared_ptr<ConnectionState>& state) {
        PendingRequest pending = std::move(state->waiting.front());
        state->waiting.pop_front();
        begin(state, std::move(pending));
    }

    void begin(const std::shared_ptr<ConnectionState>& state, PendingRequest pending) {
        // Held until the call has been started, which runs no foreign code.
        const std::lock_guard lock(mutex_);
        if (!balancer_) return;
        state->signal = std::make_shared<asio::cancellation_signal>();
        ++open_requests_;
        auto on_answer = [self = shared_from_this(), state, connection = pending.request.connection,
                          last = pending.request.last, answered = std::move(pending.answered),
                          signal = state->signal](HttpAnswer answer) mutable {
            --self->open_requests_;
            if (!state->closed) {
                answer.close = answer.close || last || self->closing_connections_;
                self->finish_request(state, connection, std::move(answer), answered);
            }
            self->notify_if_idle();
        };
        balancer_->async_serve(
            std::move(pending.request.request),
            asio::bind_cancellation_slot(state->signal->slot(),
                                         asio::bind_executor(executor_, std::move(on_answer))));
    }

    void finish_request(const std::shared_ptr<ConnectionState>& state, Connection connection,
                        HttpAnswer answer, const Answered& callback) {
        state->signal = nullptr;
        if (answer.close) {
            state->closed = true;
            state->waiting.clear();
        } else if (state->waiting.empty()) {
            connections_.erase(connection);
        } else {
            begin_next(state);
        }
        callback(std::move(answer), make_write_token());
    }

    // The framework holds the token until the answer is written. It may release it on any thread; the count
    // changes on the executor.
    std::shared_ptr<void> make_write_token() {
        ++unwritten_answers_;
        return {nullptr, [weak = weak_from_this(), executor = executor_](void*) {
                    asio::post(executor, [weak] {
                        const auto self = weak.lock();
                        if (!self) return;
                        --self->unwritten_answers_;
                        self->notify_if_idle();
                    });
                }};
    }

    void notify_if_idle() {
        if (open_requests_ > 0 || unwritten_answers_ > 0) return;
        for (auto& callback : std::exchange(idle_callbacks_, {})) asio::post(executor_, std::move(callback));
    }

    const asio::any_io_executor executor_;
    std::mutex mutex_;
    Balancer* balancer_;  // null once the mount has been destroyed
    const MountOptions options_;
    std::unordered_map<Connection, std::shared_ptr<ConnectionState>> connections_;
    std::vector<std::function<void()>> idle_callbacks_;
    std::size_t open_requests_ = 0;
    std::size_t unwritten_answers_ = 0;
    bool closing_connections_ = false;
};

Mount::Mount(asio::any_io_executor executor, Balancer& balancer, MountOptions options)
    : impl_(std::make_shared<Impl>(std::move(executor), balancer, std::move(options))) {}

Mount::~Mount() {
    impl_->detach_balancer();
    asio::dispatch(impl_->executor(), [impl = impl_] { impl->end(); });
}

bool Mount::takes(std::string_view target) const { return !impl_->upstream_target(target).empty(); }

void Mount::serve(ClientRequest request, Answered answered) {
    asio::dispatch(impl_->executor(),
                   [impl = impl_, request = std::move(request), answered = std::move(answered)]() mutable {
                       impl->serve(std::move(request), std::move(answered));
                   });
}

void Mount::left(Connection connection) {
    asio::dispatch(impl_->executor(), [impl = impl_, connection] { impl->left(connection); });
}

void Mount::wind_down() {
    asio::dispatch(impl_->executor(), [impl = impl_] { impl->wind_down(); });
}

void Mount::when_quiet(std::function<void()> quiet) {
    asio::dispatch(impl_->executor(), [impl = impl_, quiet = std::move(quiet)]() mutable {
        impl->when_quiet(std::move(quiet));
    });
}

}  // namespace flaxdoor::middleware
