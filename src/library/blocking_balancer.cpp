#include "flaxdoor/blocking_balancer.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <optional>
#include <stdexcept>
#include <thread>

namespace flaxdoor {

namespace asio = boost::asio;

// The thread shares ownership of the loop, because it may outlive the object that started it.
class BlockingBalancer::Impl {
public:
    explicit Impl(const BalancerOptions& options)
        : loop_(std::make_shared<asio::io_context>(1)),
          balancer_(std::in_place, loop_->get_executor(), options) {
        thread_ = std::thread([loop = loop_] { loop->run(); });
    }

    ~Impl() {
        // The loop's run() returns once the instance has been torn down and the last handler has run.
        work_.reset();
        balancer_.reset();
        if (thread_.get_id() == std::this_thread::get_id()) {
            thread_.detach();
        } else {
            thread_.join();
        }
    }

    CallResult call(CallRequest request, const std::stop_token& stop) {
        require_other_thread();
        auto signal = std::make_shared<asio::cancellation_signal>();
        auto promise = std::make_shared<std::promise<CallResult>>();
        auto future = promise->get_future();
        balancer_->async_call(std::move(request),
                              asio::bind_cancellation_slot(signal->slot(), [promise](CallResult result) {
                                  promise->set_value(std::move(result));
                              }));
        // The handler runs on the loop's thread, so from now on only that thread may use the signal.
        const std::stop_callback on_stop(stop, [loop = loop_, signal] {
            asio::post(*loop, [signal] { signal->emit(asio::cancellation_type::terminal); });
        });
        return future.get();
    }

    void drain() {
        require_other_thread();
        // The handler shares ownership: set_value() still uses the promise for a moment after it has woken
        // this thread.
        auto drained = std::make_shared<std::promise<void>>();
        auto future = drained->get_future();
        balancer_->async_drain([drained] { drained->set_value(); });
        future.get();
    }

    Balancer& balancer() { return *balancer_; }

private:
    void require_other_thread() const {
        if (thread_.get_id() != std::this_thread::get_id()) return;
        throw std::logic_error(
            "BlockingBalancer: a blocking call on the instance's own thread would never return");
    }

    const std::shared_ptr<asio::io_context> loop_;
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work_{loop_->get_executor()};
    std::optional<Balancer> balancer_;
    std::thread thread_;
};

BlockingBalancer::BlockingBalancer(const BalancerOptions& options) : impl_(std::make_shared<Impl>(options)) {}
BlockingBalancer::~BlockingBalancer() = default;

CallResult BlockingBalancer::call(CallRequest request, std::stop_token stop) {
    return impl_->call(std::move(request), stop);
}
void BlockingBalancer::drain() { impl_->drain(); }
Balancer& BlockingBalancer::balancer() { return impl_->balancer(); }

}  // namespace flaxdoor
