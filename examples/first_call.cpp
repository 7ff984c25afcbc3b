// The smallest host: one upstream, one class, one blocking call. Usage: first_call ADDRESS:PORT
#include <flaxdoor/blocking_balancer.h>

#include <cstdio>
#include <random>

int main(int argc, char** argv) {
    if (argc < 2) return std::puts("usage: first_call ADDRESS:PORT"), 2;
    flaxdoor::BalancerOptions options;
    options.settings.classes = {{.name = "look",
                                 .aim = std::chrono::milliseconds(100),
                                 .deadline = std::chrono::milliseconds(500),
                                 .late_worth = 0.5,
                                 .effect = flaxdoor::Effect::safe}};
    options.settings.max_attempts = 3;
    options.zones = {"here"};
    options.servers.servers = {{.name = "node-1", .address = argv[1], .zone = "here", .kind = "any"}};
    options.seed = std::random_device{}();  // seeds generated ids, so it must differ from start to start
    flaxdoor::BlockingBalancer balancer(options);

    const flaxdoor::CallResult result =
        balancer.call({.class_name = "look", .budget = std::chrono::milliseconds(500)});
    std::printf("%s (%s): %s\n", text_of(result.verdict).data(), text_of(result.cause).data(),
                result.body.c_str());
    return result.verdict == flaxdoor::CallVerdict::served ? 0 : 1;
}
