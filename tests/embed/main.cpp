// The smallest host of the decision module: two upstreams, one request, a failed connection and a retry.
// Prints the actions that the module requests.
#include <flaxdoor/decide.h>

#include <cstdio>
#include <map>

using std::chrono::milliseconds;

struct Host : flaxdoor::Actions {
    void submit(flaxdoor::RequestId request, flaxdoor::UpstreamId upstream, flaxdoor::Micros) override {
        std::printf("request %d to upstream %d\n", static_cast<int>(request), static_cast<int>(upstream));
        last = upstream;
        ++sent;
    }
    void reject(flaxdoor::RequestId, flaxdoor::Micros) override { std::puts("refused"); }
    void fail(flaxdoor::RequestId) override { std::puts("failed"); }
    void cancel(flaxdoor::RequestId, int) override {}
    void probe(flaxdoor::UpstreamId) override {}
    void set_timer(flaxdoor::Time at, std::uint64_t token) override { timers.emplace(at, token); }
    void watch() override {}
    void unwatch() override {}
    void fetch() override {}
    void send_to_peer(std::optional<int>, std::string_view) override {}
    void close_idle(flaxdoor::UpstreamId) override {}
    void log(std::string_view) override {}

    std::multimap<flaxdoor::Time, std::uint64_t> timers;
    flaxdoor::UpstreamId last = 0;
    int sent = 0;
};

int main() {
    flaxdoor::Settings settings;
    settings.max_attempts = 2;
    flaxdoor::ClassSettings search;
    search.aim = milliseconds(100);
    search.deadline = milliseconds(500);
    search.late_worth = 0.5;
    search.effect = flaxdoor::Effect::safe;
    settings.classes.push_back(search);

    Host host;
    flaxdoor::Policy policy(settings, 1, milliseconds(0), host);
    flaxdoor::UpstreamEntry upstreams[2];
    upstreams[0].id = 41;
    upstreams[1].id = 42;
    policy.on_list(milliseconds(0), flaxdoor::ListKind::full, {upstreams[0], upstreams[1]});

    flaxdoor::Request request;
    request.id = 7;
    request.deadline = milliseconds(500);
    policy.on_request(milliseconds(1), request);
    const flaxdoor::UpstreamId first = host.last;

    flaxdoor::AttemptEnd end;  // the connection fails: the module retries at once or after a back-off
    end.request = request.id;
    end.outcome = flaxdoor::Outcome::connect_failed;
    end.latency = milliseconds(2);
    end.upstream = first;
    policy.on_attempt_end(milliseconds(3), end);

    while (host.sent < 2 && !host.timers.empty()) {  // the host's loop: runs due timers in order of time
        const auto [at, token] = *host.timers.begin();
        host.timers.erase(host.timers.begin());
        if (at > request.deadline) break;
        policy.on_timer(at, token);
    }
    std::puts(host.sent == 2 && host.last != first ? "retried elsewhere" : "not retried");
}
