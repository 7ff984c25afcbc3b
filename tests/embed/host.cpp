// A host of the installed library that uses nothing else of this repository. It makes one call without any
// server, which must be refused, with Balancer on its own loop and with BlockingBalancer.
#include <flaxdoor/balancer.h>
#include <flaxdoor/blocking_balancer.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>

namespace {

flaxdoor::BalancerOptions options() {
    flaxdoor::BalancerOptions options;
    flaxdoor::ClassSettings look;
    look.name = "look";
    look.aim = std::chrono::milliseconds(20);
    look.deadline = std::chrono::milliseconds(50);
    look.effect = flaxdoor::Effect::safe;
    options.settings.classes.push_back(look);
    return options;
}

flaxdoor::CallRequest look() {
    flaxdoor::CallRequest request;
    request.class_name = "look";
    request.budget = std::chrono::milliseconds(50);
    return request;
}

}  // namespace

int main() {
    boost::asio::io_context loop;
    flaxdoor::Balancer balancer(loop.get_executor(), options());
    balancer.async_call(look(), [&](flaxdoor::CallResult result) {
        std::printf("%s, %s\n", text_of(result.verdict).data(), text_of(result.cause).data());
        balancer.async_close([] {});
    });
    loop.run();

    flaxdoor::BlockingBalancer blocking(options());
    std::stop_source stop;
    const auto result = blocking.call(look(), stop.get_token());
    std::printf("%s, %s\n", text_of(result.verdict).data(), text_of(result.cause).data());
}
