// The gateway from end to end, before a stand-in API server: from an event to the first request that is
// routed by it and to the status; service while endpoints change; a swap of 20,000 routes; 200 idle pools.
#include <malloc.h>
#include <sys/resource.h>

#include <cmath>
#include <cstdio>

#include "gateway/rig.h"

namespace {

using namespace flaxdoor;
using namespace flaxdoor::gateway::test;
using Steady = std::chrono::steady_clock;

double ms(Steady::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

struct Percentiles {
    std::vector<double> all;
    double at(double share) {
        std::sort(all.begin(), all.end());
        return all.empty() ? 0
                           : all[std::min(all.size() - 1,
                                          static_cast<std::size_t>(share * static_cast<double>(all.size())))];
    }
};

double cpu_ms() {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto of = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_usec) / 1e3;
    };
    return of(usage.ru_utime) + of(usage.ru_stime);
}

// Ten endpoints more of a Service, which drain: they are there, and get nothing.
std::string slice_of_many(const std::string& name, int endpoints) {
    std::string out = "kind: EndpointSlice\nmetadata: {name: " + name +
                      "-more, namespace: booking, labels: {kubernetes.io/service-name: " + name +
                      "}}\naddressType: IPv4\nports: [{name: http, port: 1}]\nendpoints:\n";
    for (int i = 0; i < endpoints; ++i) {
        out += "  - {addresses: [127.0.1." + std::to_string(1 + i) +
               "], conditions: {ready: false, terminating: true}, targetRef: {name: " + name + "-" +
               std::to_string(i) + "}}\n";
    }
    return out + "---\n";
}

void events_to_requests() {
    Rig rig;
    rig.options.apply_every = 50ms;
    rig.options.lease.every = 2s;
    Backend& a = rig.add_backend("a");
    rig.api.play(class_and_gateway());
    std::string all;
    for (int i = 0; i < 100; ++i) {
        const std::string name = "s" + std::to_string(i);
        all += service(name) + slice(name, {{a.port(), "p" + name}}) + slice_of_many(name, 10) +
               http_route("r" + std::to_string(i),
                          to_service(name, "{path: {value: /" + std::to_string(i) + "}}"));
    }
    rig.api.play(all);
    rig.begin();
    if (!rig.until([&] { return rig.runtime->address(80).has_value(); })) std::abort();
    Percentiles routed, written;
    for (int i = 0; i < 60; ++i) {
        const std::string path = "/new" + std::to_string(i);
        // Not in step with the least time between two changes.
        const auto pause = Steady::now() + std::chrono::milliseconds(60 + (i * 17) % 50);
        rig.until([&] { return Steady::now() >= pause; });
        const auto began = Steady::now();
        rig.api.play(http_route("n" + std::to_string(i), to_service("s1", "{path: {value: " + path + "}}")));
        if (!rig.until([&] { return rig.ask(get("h", path)) == "200 a"; })) std::abort();
        routed.all.push_back(ms(Steady::now() - began));
        if (!rig.until([&] {
                return rig.route_condition("booking/n" + std::to_string(i), "Accepted") == "True Accepted";
            }))
            std::abort();
        written.all.push_back(ms(Steady::now() - began));
    }
    std::printf(
        "100 routes, 1,000 endpoints: event to first request p50 %.1f ms, p99 %.1f ms; to the status p50 "
        "%.1f ms, p99 %.1f ms\n",
        routed.at(0.5), routed.at(0.99), written.at(0.5), written.at(0.99));
}

void service_under_change(int changes_per_s, Percentiles& latency, std::size_t& bad) {
    Rig rig;
    rig.options.apply_every = 50ms;
    rig.options.lease.every = 2s;
    std::vector<Pod> stable;
    for (int i = 0; i < 4; ++i)
        stable.push_back({rig.add_backend("b" + std::to_string(i)).port(), "stable" + std::to_string(i)});
    rig.api.play(class_and_gateway() + service("a") + slice("a", stable) +
                 http_route("r", to_service("a"), ", annotations: {flaxdoor.dev/effect: by-method}"));
    rig.begin();
    if (!rig.until([&] { return rig.runtime->address(80).has_value(); })) std::abort();
    std::vector<std::shared_ptr<Client>> clients;
    for (int i = 0; i < 50; ++i) clients.push_back(rig.client());
    std::vector<Steady::time_point> sent(clients.size());
    std::vector<bool> busy(clients.size());
    const auto began = Steady::now();
    const int requests = 200 * 10;
    int asked = 0, changed = 0;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < clients.size(); ++i) {
        clients[i]->on_answer = [&, i] {
            latency.all.push_back(ms(Steady::now() - sent[i]));
            bad += clients[i]->status(clients[i]->answers.size() - 1) == "200" ? 0 : 1;
            clients[i]->answers.clear();
            busy[i] = false;
            ++answered;
        };
    }
    asio::steady_timer timer(rig.io);
    while (answered < static_cast<std::size_t>(requests)) {
        const double seconds = ms(Steady::now() - began) / 1e3;
        while (asked < std::min(requests, static_cast<int>(seconds * 200))) {
            const auto free = std::find(busy.begin(), busy.end(), false);
            if (free == busy.end()) break;
            const auto i = static_cast<std::size_t>(free - busy.begin());
            busy[i] = true;
            sent[i] = Steady::now();
            clients[i]->send(get("h", "/"));
            ++asked;
        }
        while (changed < static_cast<int>(seconds * changes_per_s)) {
            // One of the four comes and goes under other names, and others that never serve.
            const int n = changed++;
            const std::string state =
                n % 2 ? "ready: true" : "ready: false, serving: true, terminating: true";
            rig.api.play(slice(
                "a",
                {{stable[static_cast<std::size_t>(n / 2 % 4)].port, "turn" + std::to_string(n / 8), state}},
                "t" + std::to_string(n / 2 % 4)));
        }
        timer.expires_after(1ms);
        timer.async_wait([](auto) {});
        rig.io.restart();
        rig.io.run_one();
        rig.io.poll();
    }
}

void many_routes() {
    Rig rig;
    rig.options.apply_every = 50ms;
    rig.options.write_status = false;
    Backend& a = rig.add_backend("a");
    rig.api.play(class_and_gateway() + service("a") + slice("a", {{a.port(), "p"}}));
    for (int i = 0; i < 20000; ++i) {
        const std::string n = std::to_string(i);
        nlohmann::json object = {
            {"kind", "HTTPRoute"},
            {"metadata", {{"name", "r" + n}, {"namespace", "booking"}}},
            {"spec",
             {{"parentRefs", {{{"name", "front"}}}},
              {"hostnames", {"h" + n + ".example"}},
              {"rules",
               {{{"matches", {{{"path", {{"type", "PathPrefix"}, {"value", "/s" + n}}}}}},
                 {"backendRefs", {{{"name", "a"}, {"port", 80}}}}}}}}}};
        rig.api.put(std::move(object));
    }
    const auto began = Steady::now();
    rig.begin();
    // The loop's longest turn, the stand-in's own left out: it answers its lists on this same thread.
    if (!rig.until([&] { return rig.runtime->address(80).has_value(); }, 120s)) std::abort();
    std::printf("20,000 routes from nothing: %.0f ms\n", ms(Steady::now() - began));
    Percentiles turned, swapped;
    for (int i = 0; i < 20; ++i) {
        const std::string path = "/again" + std::to_string(i);
        const auto told = Steady::now();
        rig.api.play(http_route(
            "again", to_service("a", "{path: {value: " + path + "}}") + "  hostnames: [again.example]\n"));
        const std::size_t before = rig.applied;
        if (!rig.until([&] { return rig.applied > before; }, 60s)) std::abort();
        turned.all.push_back(ms(Steady::now() - told));
        if (rig.ask(get("again.example", path)) != "200 a") std::abort();
    }
    std::printf(
        "one route of 20,000 changes: served after p50 %.0f ms; longest hold of the loop by a change %.3f "
        "ms\n",
        turned.at(0.5), static_cast<double>(rig.runtime->figures().longest_change.count()) / 1e3);
}

void idle_pools() {
    Rig rig;
    rig.options.lease.every = 2s;
    rig.options.write_status = false;
    Backend& a = rig.add_backend("a");
    rig.api.play(class_and_gateway() + service("s0") + slice("s0", {{a.port(), "p"}}) +
                 http_route("r", to_service("s0")));
    rig.begin();
    if (!rig.until([&] { return rig.runtime->address(80).has_value(); })) std::abort();
    rig.ask(get("h", "/"));
    const auto memory = ::mallinfo2().uordblks;
    ingress::Change change;
    for (int i = 0; i < 200; ++i) {
        ingress::PoolChange pool;
        pool.key = "idle" + std::to_string(i);
        routes::CallClass call;
        call.aim = 1s;
        call.deadline = 15s;
        pool.classes.push_back(call);
        for (int s = 0; s < 5; ++s) {
            ingress::Server server;
            server.name = pool.key + "-" + std::to_string(s);
            server.address = "127.0.0.1:" + std::to_string(10000 + i * 5 + s);
            server.id = ingress::id_of(server.name);
            pool.servers.push_back(server);
        }
        change.pools.push_back(std::move(pool));
    }
    const auto began = Steady::now();
    rig.runtime->apply(std::move(change));
    const double took = ms(Steady::now() - began);
    const double kib = static_cast<double>(::mallinfo2().uordblks - memory) / 1024;
    const auto cpu = cpu_ms();
    const auto end = Steady::now() + 10s;
    rig.until([&] { return Steady::now() >= end; }, 11s);
    std::printf(
        "200 pools of 5 servers: made in %.1f ms (one turn of the loop), %.1f KiB a pool, %.2f ms CPU a "
        "second when idle\n",
        took, kib / 200, (cpu_ms() - cpu) / 10);
}

}  // namespace

int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    events_to_requests();
    for (const int changes : {0, 50, 0, 50}) {
        Percentiles latency;
        std::size_t bad = 0;
        service_under_change(changes, latency, bad);
        std::printf(
            "200 requests a second, endpoints change %2d times a second: p50 %.2f ms, p99 %.2f ms, not 200: "
            "%zu of %zu\n",
            changes, latency.at(0.5), latency.at(0.99), bad, latency.all.size());
    }
    idle_pools();
    many_routes();
    return 0;
}
