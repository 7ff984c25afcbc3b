// Upstream stand-ins that run on their own thread, for tests of hosts with several threads.
#pragma once

#include <future>
#include <thread>

#include "rig.h"

namespace flaxdoor::test {

class Fleet {
public:
    explicit Fleet(std::size_t nodes, BookingNode::Settings settings = {}, const std::string& prefix = "n") {
        settings.effects = effects_;
        if (!settings.keys) settings.keys = keys_;
        for (std::size_t i = 0; i < nodes; ++i) {
            settings.name = prefix + std::to_string(i);
            settings.seed = i + 1;
            nodes_.push_back(std::make_unique<BookingNode>(loop_, settings));
            addresses_.push_back(text_of(nodes_.back()->address()));
        }
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~Fleet() {
        work_.reset();
        loop_.stop();
        thread_.join();
    }

    const std::vector<std::string>& addresses() const { return addresses_; }

    // Runs the function on the stand-ins' thread, waits for it and returns its result.
    template <typename Function>
    auto run_on_loop(Function function) {
        std::packaged_task<decltype(function(*this))()> task([&] { return function(*this); });
        auto result = task.get_future();
        asio::post(loop_, [&] { task(); });
        return result.get();
    }
    // May be called only within run_on_loop().
    BookingNode& node(std::size_t i) { return *nodes_[i]; }
    std::size_t size() const { return nodes_.size(); }
    const standins::Effects& effects() const { return *effects_; }

    void fault(std::size_t i, const std::string& spec) {
        run_on_loop([&](Fleet&) {
            const auto parsed = standins::parse_fault(spec);
            EXPECT_TRUE(parsed.fault) << parsed.error.text;
            nodes_[i]->add(*parsed.fault);
            return 0;
        });
    }
    // Waits until no stand-in has a connection, a running or a queued request, so that the counts are final.
    // Returns false after 20 s, a limit that only a failed test reaches.
    bool wait_until_idle() {
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        while (std::chrono::steady_clock::now() < end) {
            const bool idle = run_on_loop([](Fleet& fleet) {
                for (const auto& node : fleet.nodes_) {
                    const auto counts = node->counts();
                    if (counts.open + counts.running + counts.queued > 0) return false;
                }
                return true;
            });
            if (idle) return true;
            std::this_thread::yield();
        }
        return false;
    }

private:
    asio::io_context loop_{1};
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work_{loop_.get_executor()};
    std::shared_ptr<standins::Effects> effects_ = std::make_shared<standins::Effects>();
    std::shared_ptr<standins::KeyWindow> keys_ =
        std::make_shared<standins::KeyWindow>(milliseconds(60'000), std::size_t{200'000});
    std::vector<std::unique_ptr<BookingNode>> nodes_;
    std::vector<std::string> addresses_;
    std::thread thread_;
};

// A loop that runs on its own thread. finish() waits until the loop has no more work.
class LoopThread {
public:
    LoopThread() : thread_([this] { loop_.run(); }) {}
    ~LoopThread() { finish(); }
    void finish() {
        work_.reset();
        if (thread_.joinable()) thread_.join();
    }
    asio::io_context& get() { return loop_; }

private:
    asio::io_context loop_{1};
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work_{loop_.get_executor()};
    std::thread thread_;
};

inline CallResult call_and_wait(Balancer& balancer, CallRequest request) {
    return balancer.async_call(std::move(request), asio::use_future).get();
}

}  // namespace flaxdoor::test
