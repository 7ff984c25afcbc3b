// What a call through the library costs beside a bare Beast client, and the same client through the daemon or
// through a web server with the middleware; and how many calls a second one or several instances make. The
// other programs are started by run.py library. Closed loops, rounds that alternate, each way's loop its
// own.
#include <pthread.h>
#include <sched.h>
#include <time.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <barrier>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "flaxdoor/balancer.h"

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Error = boost::system::error_code;

constexpr const char* its_class = "browse";
constexpr const char* caller = "acme";

std::uint64_t nanoseconds(clockid_t clock) {
    timespec t{};
    ::clock_gettime(clock, &t);
    return static_cast<std::uint64_t>(t.tv_sec) * 1'000'000'000U + static_cast<std::uint64_t>(t.tv_nsec);
}

tcp::endpoint endpoint_of(const std::string& text) {
    const auto colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

// --------------------------------------------------------------------------------------------------- ways

// A way to have calls answered. `done` tells whether the answer was a node's.
class Way {
public:
    virtual ~Way() = default;
    virtual void call(std::size_t slot, std::function<void(bool served)> done) = 0;
    asio::io_context loop{1};
};

// One kept connection for each slot, no time limit: the least that a client can be.
class BareClient final : public Way {
public:
    BareClient(std::vector<std::string> targets, std::size_t slots) : targets_(std::move(targets)) {
        for (std::size_t i = 0; i < slots; ++i) {
            connections_.push_back(std::make_unique<Connection>(loop));
            auto& socket = connections_.back()->stream.socket();
            socket.connect(endpoint_of(targets_[i % targets_.size()]));
            socket.set_option(tcp::no_delay(true));
        }
        prefix_ = "b" + std::to_string(::getpid()) + "-" +
                  std::to_string(Clock::now().time_since_epoch().count()) + "-";
    }

    void call(std::size_t slot, std::function<void(bool)> done) override {
        Connection& its = *connections_[slot];
        its.done = std::move(done);
        its.request = {http::verb::get, "/api", 11};
        its.request.set(http::field::host, "api.internal");
        its.request.set("X-Call-Id", prefix_ + std::to_string(++calls_));
        its.request.set("X-Call-Class", its_class);
        its.request.set("X-Caller", caller);
        its.request.set("X-Budget-Ms", "2000");
        http::async_write(its.stream, its.request, [this, &its](Error error, std::size_t) {
            if (error) throw std::runtime_error("write: " + error.message());
            read(its);
        });
    }

private:
    struct Connection {
        explicit Connection(asio::io_context& loop) : stream(loop) {}
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::empty_body> request;
        http::response<http::string_body> response;
        std::function<void(bool)> done;
    };

    void read(Connection& its) {
        its.response = {};
        http::async_read(its.stream, its.buffer, its.response, [&its](Error error, std::size_t) {
            if (error) throw std::runtime_error("read: " + error.message());
            const auto done = std::move(its.done);
            done(its.response.result() == http::status::ok);
        });
    }

    const std::vector<std::string> targets_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::string prefix_;
    std::uint64_t calls_ = 0;
};

class Library final : public Way {
public:
    explicit Library(flaxdoor::BalancerOptions options) {
        options.listen.clear();
        options.seed += static_cast<std::uint64_t>(Clock::now().time_since_epoch().count());
        balancer_.emplace(loop.get_executor(), options);
    }

    void call(std::size_t, std::function<void(bool)> done) override {
        flaxdoor::CallRequest request;
        request.class_name = its_class;
        request.tenant = caller;
        request.budget = std::chrono::seconds(2);
        balancer_->async_call(std::move(request),
                              [done = std::move(done)](const flaxdoor::CallResult& result) {
                                  done(result.verdict == flaxdoor::CallVerdict::served);
                              });
    }

private:
    std::optional<flaxdoor::Balancer> balancer_;
};

// ------------------------------------------------------------------------------------------------- rounds

struct Round {
    std::uint64_t calls = 0, not_served = 0;
    double seconds = 0;
    double own_cpu = 0;  // nanoseconds of the thread
    std::vector<std::uint32_t> latencies;
};

// Closed loop: each slot has one call at a time until the time is over.
Round run(Way& way, std::size_t slots, std::chrono::duration<double> time) {
    Round round;
    round.latencies.reserve(1 << 20);
    std::size_t open = slots;
    const auto begun = Clock::now();
    const auto end = begun + std::chrono::duration_cast<Clock::duration>(time);
    const auto cpu = nanoseconds(CLOCK_THREAD_CPUTIME_ID);
    auto last = begun;
    std::function<void(std::size_t)> next = [&](std::size_t slot) {
        const auto at = Clock::now();
        way.call(slot, [&, slot, at](bool served) {
            last = Clock::now();
            ++round.calls;
            if (!served) ++round.not_served;
            round.latencies.push_back(static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::nanoseconds>(last - at).count()));
            if (last < end) return next(slot);
            if (--open == 0) way.loop.stop();
        });
    };
    for (std::size_t i = 0; i < slots; ++i) next(i);
    way.loop.restart();
    way.loop.run();
    round.own_cpu = static_cast<double>(nanoseconds(CLOCK_THREAD_CPUTIME_ID) - cpu);
    round.seconds = std::chrono::duration<double>(last - begun).count();
    return round;
}

double percentile(std::vector<std::uint32_t>& values, double share) {
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at] / 1000.0;
}

struct Spread {
    std::vector<double> values;
    std::string text() {
        if (values.empty()) return "-";
        std::sort(values.begin(), values.end());
        const auto n = values.size();
        const double median = n % 2 == 1 ? values[n / 2] : (values[n / 2 - 1] + values[n / 2]) / 2;
        char out[96];
        std::snprintf(out, sizeof out, "%.4g (%.4g..%.4g)", median, values.front(), values.back());
        return out;
    }
};

// Nanoseconds that a process of one thread has run.
double cpu_of(int pid) {
    if (pid == 0) return 0;
    std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
    double ran = 0;
    if (!(file >> ran)) throw std::runtime_error("no process " + std::to_string(pid));
    return ran;
}

// As count_allocations.cpp tells; zero without it.
double allocations_of(int pid) {
    const char* const folder = std::getenv("FLAXDOOR_COUNTS");
    if (!folder || pid == 0) return 0;
    std::ifstream file(std::string(folder) + "/" + std::to_string(pid), std::ios::binary);
    std::uint64_t count = 0;
    file.read(reinterpret_cast<char*>(&count), sizeof count);
    return static_cast<double>(count);
}

struct Measured {
    std::string name;
    int hop = 0;  // the process between, if there is one
    std::unique_ptr<Way> way{};
    std::vector<double> rate{}, p50{}, p99{}, cpu{}, own{}, hop_cpu{}, allocations{};
    std::uint64_t calls = 0, not_served = 0;
};

std::string spread_of(std::vector<double> values) { return Spread{std::move(values)}.text(); }

std::vector<double> added(const std::vector<double>& one, const std::vector<double>& base) {
    std::vector<double> all;
    for (std::size_t i = 0; i < one.size(); ++i) all.push_back(one[i] - base[i]);
    return all;
}

std::vector<double> ratio(const std::vector<double>& one, const std::vector<double>& base) {
    std::vector<double> all;
    for (std::size_t i = 0; i < one.size(); ++i) all.push_back(one[i] / base[i]);
    return all;
}

void measure_ways(std::vector<Measured> ways, std::size_t slots, int rounds, double seconds) {
    for (auto& each : ways) run(*each.way, slots, std::chrono::duration<double>(0.3));
    for (int i = 0; i < rounds; ++i) {
        for (std::size_t k = 0; k < ways.size(); ++k) {
            // Each goes first in turn, so that none always follows the same one.
            Measured& each = ways[(k + static_cast<std::size_t>(i)) % ways.size()];
            run(*each.way, slots, std::chrono::duration<double>(0.03));  // what was asleep is awake
            const double hop = cpu_of(each.hop);
            const double heap = allocations_of(each.hop) + allocations_of(::getpid());
            Round round = run(*each.way, slots, std::chrono::duration<double>(seconds));
            const double calls = static_cast<double>(round.calls);
            const double its_heap = allocations_of(each.hop) + allocations_of(::getpid()) - heap;
            const double its_hop = (cpu_of(each.hop) - hop) / calls / 1000;
            each.calls += round.calls;
            each.not_served += round.not_served;
            each.rate.push_back(calls / round.seconds);
            each.own.push_back(round.own_cpu / calls / 1000);
            each.hop_cpu.push_back(its_hop);
            each.cpu.push_back(each.own.back() + its_hop);
            each.allocations.push_back(its_heap / calls);
            each.p50.push_back(percentile(round.latencies, 0.5));
            each.p99.push_back(percentile(round.latencies, 0.99));
        }
    }
    const bool heap = std::getenv("FLAXDOOR_COUNTS") != nullptr;
    std::printf("\n%zu at a time, %d rounds of %.2g s; median (least..most); us a request\n", slots, rounds,
                seconds);
    std::printf("| way | calls/s | p50 | p99 | CPU | of it: the client's thread | the hop |%s not served |\n",
                heap ? " allocations |" : "");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |%s --- |\n", heap ? " --- |" : "");
    for (const auto& each : ways) {
        std::printf("| %s | %s | %s | %s | %s | %s | %s |", each.name.c_str(), spread_of(each.rate).c_str(),
                    spread_of(each.p50).c_str(), spread_of(each.p99).c_str(), spread_of(each.cpu).c_str(),
                    spread_of(each.own).c_str(), each.hop ? spread_of(each.hop_cpu).c_str() : "");
        if (heap) std::printf(" %s |", spread_of(each.allocations).c_str());
        std::printf(" %llu of %llu |\n", static_cast<unsigned long long>(each.not_served),
                    static_cast<unsigned long long>(each.calls));
    }
    const Measured& bare = ways[0];
    std::printf(
        "\nAdded over the bare client, round by round:\n| way | p50 | p99 | CPU |%s\n| --- | --- | --- | --- "
        "|%s\n",
        heap ? " allocations |" : "", heap ? " --- |" : "");
    for (std::size_t i = 1; i < ways.size(); ++i) {
        std::printf(
            "| %s | %s | %s | %s |", ways[i].name.c_str(), spread_of(added(ways[i].p50, bare.p50)).c_str(),
            spread_of(added(ways[i].p99, bare.p99)).c_str(), spread_of(added(ways[i].cpu, bare.cpu)).c_str());
        if (heap) std::printf(" %s |", spread_of(added(ways[i].allocations, bare.allocations)).c_str());
        std::printf("\n");
    }
    const Measured& daemon = ways[2];
    std::printf("| library / daemon | %s | %s | %s |",
                spread_of(ratio(added(ways[1].p50, bare.p50), added(daemon.p50, bare.p50))).c_str(),
                spread_of(ratio(added(ways[1].p99, bare.p99), added(daemon.p99, bare.p99))).c_str(),
                spread_of(ratio(added(ways[1].cpu, bare.cpu), added(daemon.cpu, bare.cpu))).c_str());
    if (heap) {
        std::printf(" %s |", spread_of(ratio(added(ways[1].allocations, bare.allocations),
                                             added(daemon.allocations, bare.allocations)))
                                 .c_str());
    }
    std::printf("\n");
    std::fflush(stdout);
}

// ------------------------------------------------------------------------------------------------ threads

void pin(int core) {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(static_cast<std::size_t>(core), &set);
    if (::pthread_setaffinity_np(::pthread_self(), sizeof set, &set) != 0) {
        throw std::runtime_error("core " + std::to_string(core) + " can't be had");
    }
}

struct Together {
    double rate = 0;      // calls a second of all
    double cpu = 0;       // us a call
    double per_core = 0;  // calls a second of a core's own time, summed over the threads
    double share = 0;     // of its core that a thread had, least of all
};

Together run_threads(const flaxdoor::BalancerOptions& options, const std::vector<int>& cores,
                     std::size_t slots, double seconds) {
    std::vector<Round> rounds(cores.size());
    std::barrier ready(static_cast<std::ptrdiff_t>(cores.size()));
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < cores.size(); ++i) {
        threads.emplace_back([&, i] {
            pin(cores[i]);
            auto its = options;
            its.seed += i * 1000;
            Library way(its);
            run(way, slots, std::chrono::duration<double>(0.2));
            ready.arrive_and_wait();
            rounds[i] = run(way, slots, std::chrono::duration<double>(seconds));
        });
    }
    for (auto& each : threads) each.join();
    Together all;
    double calls = 0, cpu = 0;
    all.share = 1;
    for (const auto& each : rounds) {
        const auto n = static_cast<double>(each.calls - each.not_served);
        calls += n;
        cpu += each.own_cpu;
        all.rate += n / each.seconds;
        all.per_core += n / each.own_cpu * 1e9;
        all.share = std::min(all.share, each.own_cpu / 1e9 / each.seconds);
    }
    all.cpu = cpu / calls / 1000;
    return all;
}

void measure_threads(const flaxdoor::BalancerOptions& options, const std::vector<int>& cores,
                     std::size_t slots, int rounds, double seconds) {
    struct Kind {
        std::vector<int> cores;
        std::vector<double> rate{}, cpu{}, per_core{}, share{};
    };
    std::vector<Kind> kinds;
    for (std::size_t n = 1; n <= cores.size(); n *= 2)
        kinds.push_back({{cores.begin(), cores.begin() + static_cast<std::ptrdiff_t>(n)}});
    for (int i = 0; i < rounds; ++i) {
        for (std::size_t k = 0; k < kinds.size(); ++k) {
            Kind& kind = kinds[(k + static_cast<std::size_t>(i)) % kinds.size()];
            const Together all = run_threads(options, kind.cores, slots, seconds);
            kind.rate.push_back(all.rate);
            kind.cpu.push_back(all.cpu);
            kind.per_core.push_back(all.per_core);
            kind.share.push_back(all.share);
        }
    }
    std::printf("\n%zu at a time for each instance, %d rounds of %.2g s; median (least..most)\n", slots,
                rounds, seconds);
    std::printf(
        "| instances, a thread and a core each | served/s | beside one | CPU us a call | served a second of "
        "own CPU time | beside one | least share of its core |\n| --- | --- | --- | --- | --- | --- | --- "
        "|\n");
    for (auto& kind : kinds) {
        std::printf("| %zu | %s | %s | %s | %s | %s | %s |\n", kind.cores.size(),
                    spread_of(kind.rate).c_str(), spread_of(ratio(kind.rate, kinds[0].rate)).c_str(),
                    spread_of(kind.cpu).c_str(), spread_of(kind.per_core).c_str(),
                    spread_of(ratio(kind.per_core, kinds[0].per_core)).c_str(),
                    spread_of(kind.share).c_str());
    }
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"The library measured; started by run.py library."};
    std::string config, daemon, web;
    std::vector<std::string> nodes;
    std::vector<int> cores;
    std::vector<std::size_t> slots{1, 32};
    int daemon_pid = 0, web_pid = 0, rounds = 9;
    double seconds = 0.5;
    app.add_option("--config", config, "the daemon's configuration, for the library")->required();
    app.add_option("--nodes", nodes, "ADDRESS:PORT,...")->delimiter(',')->required();
    app.add_option("--daemon", daemon, "its ADDRESS:PORT");
    app.add_option("--daemon-pid", daemon_pid);
    app.add_option("--web", web, "ADDRESS:PORT of the web server with the middleware");
    app.add_option("--web-pid", web_pid);
    app.add_option("--cores", cores, "measure instances on these cores instead")->delimiter(',');
    app.add_option("--slots", slots, "calls at a time")->delimiter(',')->capture_default_str();
    app.add_option("--rounds", rounds)->capture_default_str();
    app.add_option("--seconds", seconds, "of a round")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        std::ifstream file(config);
        auto options = flaxdoor::options_from(std::string(std::istreambuf_iterator<char>(file), {}));
        // A loop that stands still between rounds would miss what the roster says.
        options.discovery.clear();
        options.servers.servers.clear();
        options.servers.version = 1;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            flaxdoor::Server server;
            server.name = "node-" + std::to_string(i);
            server.address = nodes[i];
            server.zone = options.zones.at(0);
            server.kind = options.kinds.at(0);
            options.servers.servers.push_back(std::move(server));
        }
        for (const auto n : slots) {
            if (!cores.empty()) {
                measure_threads(options, cores, n, rounds, seconds);
                continue;
            }
            std::vector<Measured> ways;
            ways.push_back({"bare client", 0, std::make_unique<BareClient>(nodes, n)});
            ways.push_back({"library", 0, std::make_unique<Library>(options)});
            if (!daemon.empty()) {
                ways.push_back({"daemon as a hop", daemon_pid,
                                std::make_unique<BareClient>(std::vector<std::string>{daemon}, n)});
            }
            if (!web.empty()) {
                ways.push_back({"RESTinio middleware as a hop", web_pid,
                                std::make_unique<BareClient>(std::vector<std::string>{web}, n)});
            }
            if (daemon.empty()) throw std::invalid_argument("--daemon is missing");
            measure_ways(std::move(ways), n, rounds, seconds);
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flaxdoor_library_bench: %s\n", error.what());
        return 1;
    }
    return 0;
}
