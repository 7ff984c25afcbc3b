// Drives a reflector, which tracks one kind of resource, with the calls of a client and a timer.
//
// Threading: the executor's single thread.   Ownership: client and clock are borrowed and outlive it.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>

#include "kube/client.h"
#include "kube/reflector.h"
#include "loop/clock.h"
#include "loop/lifetime_guard.h"

namespace flaxdoor::ingress {

class ResourceWatcher {
public:
    using OnChange = std::function<void(kube::Change)>;
    using OnError = std::function<void(const std::string&)>;  // empty: the error is resolved

    ResourceWatcher(const loop::Executor& executor, kube::Client& client, const loop::Clock& clock,
                    kube::ReflectorOptions options, std::uint64_t seed, OnChange on_change, OnError on_error);

    void start() { start_next_call(); }
    bool listed() const { return reflector_.listed(); }
    const kube::Reflector& reflector() const { return reflector_; }

private:
    void start_next_call();
    void notify();
    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    kube::Client& client_;
    const loop::Clock& clock_;
    kube::Reflector reflector_;
    std::mt19937_64 random_;
    const OnChange on_change_;
    const OnError on_error_;
    boost::asio::steady_timer timer_;
    std::uint64_t call_number_ = 0;  // number of the call in flight
    std::string last_error_;
    loop::LifetimeGuard alive_;
};

}  // namespace flaxdoor::ingress
