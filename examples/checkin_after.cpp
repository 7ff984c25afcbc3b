// A check-in service that uses the library (checkin_before.cpp is the same service without it). The balancer
// makes all permitted retries; the service only has to act on the result.
//
//     checkin_after COUNT ADDRESS:PORT...     prints "donor-N in", "donor-N unknown" or "donor-N failed"
#include <flaxdoor/blocking_balancer.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <thread>

namespace {

using flaxdoor::CallVerdict;
using std::chrono::milliseconds;

constexpr int max_calls = 10;  // per donor; a further call is made only if it is harmless

flaxdoor::BalancerOptions options(int servers, char** addresses) {
    flaxdoor::BalancerOptions options;
    options.settings.classes = {{.name = "check-in",
                                 .aim = milliseconds(100),
                                 .deadline = milliseconds(150),
                                 .late_worth = 0.5,
                                 .effect = flaxdoor::Effect::unsafe}};  // must not be executed twice
    options.settings.max_attempts = 3;
    options.settings.may_cancel = true;
    options.settings.connect_timeout = milliseconds(50);
    options.zones = {"here"};
    options.seed = std::random_device{}();
    for (int i = 0; i < servers; ++i) {
        options.servers.servers.push_back({.name = addresses[i], .address = addresses[i], .zone = "here"});
    }
    return options;
}

const char* check_in(flaxdoor::BlockingBalancer& balancer, int donor) {
    for (int i = 0; i < max_calls; ++i) {
        flaxdoor::CallRequest request{.class_name = "check-in", .budget = milliseconds(150)};
        request.target = "/api?op=donor-" + std::to_string(donor);
        request.body = "donor=" + std::to_string(donor);
        const flaxdoor::CallResult result = balancer.call(request);
        if (result.verdict == CallVerdict::served) return "in";
        // The check-in may have been executed; only a lookup can tell. A second call could check the donor in
        // twice.
        if (result.verdict == CallVerdict::failed && result.may_have_run) return "unknown";
        // The check-in was not executed. Waits until an upstream may have capacity, then makes a new call.
        std::this_thread::sleep_for(std::max<flaxdoor::Micros>(result.retry_after, milliseconds(5)));
    }
    return "failed";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return std::puts("usage: checkin_after COUNT ADDRESS:PORT..."), 2;
    flaxdoor::BlockingBalancer balancer(options(argc - 2, argv + 2));
    for (int donor = 1; donor <= std::atoi(argv[1]); ++donor) {
        std::printf("donor-%d %s\n", donor, check_in(balancer, donor));
    }
    balancer.drain();
    return 0;
}
