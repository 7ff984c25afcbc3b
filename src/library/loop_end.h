// Notifies instances that their loop is being destroyed. An instance that outlives its loop must release its
// sockets, timers and executors before then, since they access the loop.
//
// Threading: add() and remove() may be called from any thread, but not during the loop's destruction.
#pragma once

#include <boost/asio/execution_context.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace flaxdoor::detail {

class LoopShutdownService final : public boost::asio::execution_context::service {
public:
    static inline boost::asio::execution_context::id id;
    explicit LoopShutdownService(boost::asio::execution_context& loop) : service(loop) {}

    // Calls `callback` once when the loop is destroyed, unless remove() is called for `owner` before.
    void add(const void* owner, std::function<void()> callback) {
        const std::lock_guard lock(mutex_);
        callbacks_.emplace(owner, std::move(callback));
    }
    void remove(const void* owner) {
        const std::lock_guard lock(mutex_);
        callbacks_.erase(owner);
    }

private:
    void shutdown() override {
        std::map<const void*, std::function<void()>> callbacks;
        {
            const std::lock_guard lock(mutex_);
            callbacks.swap(callbacks_);
        }
        for (const auto& [owner, callback] : callbacks) callback();
    }

    std::mutex mutex_;
    std::map<const void*, std::function<void()>> callbacks_;
};

}  // namespace flaxdoor::detail
