// A host that uses coroutines on its own loop. Each visitor is a coroutine that makes one call. At closing
// time the host cancels the calls that have not been sent yet, and drains the balancer.
//
//     coroutine_host COUNT CLOSES_AFTER_MS ADDRESS:PORT...
#include <flaxdoor/balancer.h>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <cstdlib>
#include <list>
#include <random>

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

asio::awaitable<void> visit(flaxdoor::Balancer& balancer, int visitor) {
    // By default a coroutine passes only `terminal` cancellation on to the call.
    co_await asio::this_coro::reset_cancellation_state(asio::enable_total_cancellation());
    flaxdoor::CallRequest request{.class_name = "check-in", .budget = milliseconds(500)};
    request.target = "/api?op=visitor-" + std::to_string(visitor);
    const flaxdoor::CallResult result = co_await balancer.async_call(request, asio::use_awaitable);
    std::printf(
        "visitor-%d %s (%s)%s\n", visitor, text_of(result.verdict).data(), text_of(result.cause).data(),
        result.verdict != flaxdoor::CallVerdict::served && result.may_have_run ? ", may have run" : "");
}

asio::awaitable<void> day(flaxdoor::Balancer& balancer, std::list<asio::cancellation_signal>& visitors,
                          milliseconds until) {
    asio::steady_timer closing(co_await asio::this_coro::executor, until);
    co_await closing.async_wait(asio::use_awaitable);
    // `total` cancels only calls that have not been sent. The drain waits until the others are answered.
    for (auto& visitor : visitors) visitor.emit(asio::cancellation_type::total);
    co_await balancer.async_drain(asio::use_awaitable);
    std::puts("closed");
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return std::puts("usage: coroutine_host COUNT CLOSES_AFTER_MS ADDRESS:PORT..."), 2;
    flaxdoor::BalancerOptions options;
    options.settings.classes = {{.name = "check-in",
                                 .aim = milliseconds(100),
                                 .deadline = milliseconds(500),
                                 .late_worth = 0.5,
                                 .effect = flaxdoor::Effect::unsafe}};
    options.settings.max_attempts = 3;
    options.zones = {"here"};
    options.seed = std::random_device{}();
    for (int i = 3; i < argc; ++i) {
        options.servers.servers.push_back({.name = argv[i], .address = argv[i], .zone = "here"});
    }
    asio::io_context loop(1);
    flaxdoor::Balancer balancer(loop.get_executor(), options);
    std::list<asio::cancellation_signal> visitors;
    for (int visitor = 1; visitor <= std::atoi(argv[1]); ++visitor) {
        asio::co_spawn(loop, visit(balancer, visitor),
                       asio::bind_cancellation_slot(visitors.emplace_back().slot(), asio::detached));
    }
    asio::co_spawn(loop, day(balancer, visitors, milliseconds(std::atoi(argv[2]))), asio::detached);
    loop.run();  // returns once the drained instance has no more work
    return 0;
}
