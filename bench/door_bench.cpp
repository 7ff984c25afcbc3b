// The door: a request's time and the bytes held, straight through and past a full door, with 10, 1,000 and
// 1,000,000 clients; and a flood beside a client that keeps its manners, before the door, before no door, and
// before a plain token bucket by address (a baseline of our own).
#include <benchmark/benchmark.h>

#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>

#include "door/door.h"

namespace {

using namespace flaxdoor::door;
using flaxdoor::Micros;
using flaxdoor::Time;
using namespace std::chrono_literals;

Terms terms() {
    Terms all;
    all.tenants = {{"a", 1, {}}, {"b", 1, {}}, {"c", 2, {}}};
    all.classes = {{"only", 1, 10ms, {}}};
    return all;
}

std::vector<std::string> names(std::size_t count) {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < count; ++i) all.push_back("10.1.2." + std::to_string(i));
    return all;
}

Request request(const std::string& client, std::uint64_t n, Time now) {
    Request one;
    one.tenant = n % 3;
    one.client = client;
    one.deadline = now + 500ms;
    one.bytes = 500;
    return one;
}

void straight_through(benchmark::State& state) {
    const auto clients = names(static_cast<std::size_t>(state.range(0)));
    Time now = 1000s;
    AdmissionQueue door(terms(), now, 1, {});
    std::uint64_t n = 0;
    for (auto _ : state) {
        now += 100us;
        const auto arrival = door.enqueue(now, request(clients[(n * 7919) % clients.size()], n, now));
        ++n;
        door.on_first_byte(arrival.ticket, now);
        benchmark::DoNotOptimize(door.end(arrival.ticket, now, ConcurrencyWindow::End::served));
    }
    state.counters["bytes"] = static_cast<double>(door.figures(now).bytes);
}
BENCHMARK(straight_through)->Arg(10)->Arg(1000)->Arg(1'000'000);

// Twice what can be served: half of all are refused, the rest wait their turn.
void waiting(benchmark::State& state) {
    const auto clients = names(static_cast<std::size_t>(state.range(0)));
    Time now = 1000s;
    AdmissionQueue door(terms(), now, 1, {});
    std::uint64_t n = 0;
    std::deque<Ticket> handed;
    const auto settle = [&] {
        while (const auto step = door.next(now)) {
            if (!step->refused) handed.push_back(step->ticket);
        }
    };
    std::size_t most = 0;
    for (auto _ : state) {
        now += 500us;
        const auto arrival = door.enqueue(now, request(clients[(n * 7919) % clients.size()], n, now));
        if (arrival.handed) handed.push_back(arrival.ticket);
        settle();
        // Eight are sent, 10 ms each: one ends with every second request that comes.
        if (++n % 2 == 0 && handed.size() > 8) {
            const Ticket first = handed.front();
            handed.pop_front();
            benchmark::DoNotOptimize(door.end(first, now, ConcurrencyWindow::End::served));
            door.on_first_byte(handed[7], now);
            settle();
        } else if (handed.size() <= 8 && !handed.empty()) {
            door.on_first_byte(handed.back(), now);
            settle();
        }
        most = std::max(most, door.waiting());
    }
    const Figures figures = door.figures(now);
    state.counters["bytes"] = static_cast<double>(figures.bytes);
    state.counters["waiting"] = static_cast<double>(most);
    state.counters["bytes_each"] =
        figures.waiting ? static_cast<double>(figures.waiting_bytes) / static_cast<double>(figures.waiting)
                        : 0;
}
BENCHMARK(waiting)->Arg(10)->Arg(1000)->Arg(1'000'000);

// ------------------------------------------------------------------------------------------------ the flood

enum Before { with_door, no_door, bucket };

struct Client {
    std::size_t tenant = 0;
    double per_s = 10;
    std::size_t came = 0, served = 0;
    std::vector<double> waits;
};

// Eight servers of 10 ms. One tenant with a thousand clients of 4 a second beside one with 20 of 10 a second:
// 200 of 800 a second are wanted by those with manners. Deadlines of 500 ms.
void flood(benchmark::State& state) {
    const auto before = static_cast<Before>(state.range(0));
    for (auto _ : state) {
        std::vector<Client> clients(1020);
        for (std::size_t i = 0; i < clients.size(); ++i)
            clients[i] = {i < 1000 ? std::size_t{0} : 1, i < 1000 ? 4.0 : 10.0, 0, 0, {}};
        Terms two;
        two.tenants = {{"flood", 1, {}}, {"fair", 1, {}}};
        two.classes = {{"only", 1, 10ms, {}}};
        Time now = 1000s;
        const Time end = now + 30s;
        AdmissionQueue door(two, now, 1, {});
        struct Call {
            std::size_t client = 0;
            Time came{}, deadline{};
        };
        std::unordered_map<Ticket, Call> calls;
        std::deque<Ticket> module;
        std::vector<std::pair<Time, Ticket>> busy;
        std::mt19937_64 random(1);
        std::vector<Time> next(clients.size());
        std::vector<double> tokens(clients.size(), 5);
        std::vector<Time> filled(clients.size(), now);
        Ticket last = 0;
        const auto gap = [&](std::size_t i) {
            return Micros(
                1 + static_cast<long>(std::exponential_distribution<double>(clients[i].per_s)(random) * 1e6));
        };
        for (std::size_t i = 0; i < clients.size(); ++i) next[i] = now + gap(i);
        const auto begin = [&] {
            while (busy.size() < 8 && !module.empty()) {
                const Ticket ticket = module.front();
                module.pop_front();
                const Call& call = calls.at(ticket);
                if (now > call.deadline - 10ms) {  // the module gives up what can't be in time
                    if (before == with_door) (void)door.end(ticket, now, ConcurrencyWindow::End::other);
                    calls.erase(ticket);
                    continue;
                }
                clients[call.client].waits.push_back(static_cast<double>((now - call.came).count()) / 1e3);
                if (before == with_door) door.on_first_byte(ticket, now);
                busy.emplace_back(now + 10ms, ticket);
            }
        };
        const auto settle = [&] {
            while (before == with_door) {
                const auto step = door.next(now);
                if (!step) break;
                if (step->refused) {
                    calls.erase(step->ticket);
                } else {
                    module.push_back(step->ticket);
                }
            }
            begin();
        };
        while (now < end) {
            const auto first =
                static_cast<std::size_t>(std::min_element(next.begin(), next.end()) - next.begin());
            const auto ends = std::min_element(busy.begin(), busy.end());
            if (ends != busy.end() && ends->first <= next[first]) {
                now = ends->first;
                const Ticket ticket = ends->second;
                busy.erase(ends);
                ++clients[calls.at(ticket).client].served;
                calls.erase(ticket);
                if (before == with_door) (void)door.end(ticket, now, ConcurrencyWindow::End::served);
                settle();
                continue;
            }
            now = next[first];
            next[first] = now + gap(first);
            ++clients[first].came;
            const Call call{first, now, now + 500ms};
            if (before == with_door) {
                Request one;
                one.tenant = clients[first].tenant;
                const std::string name = std::to_string(first);
                one.client = name;
                one.deadline = call.deadline;
                const auto arrival = door.enqueue(now, one);
                if (arrival.ticket) calls.emplace(arrival.ticket, call);
                if (arrival.handed) module.push_back(arrival.ticket);
            } else {
                if (before == bucket) {  // 5 a second and 5 at once by address
                    tokens[first] = std::min(
                        5.0, tokens[first] + 5.0 * static_cast<double>((now - filled[first]).count()) / 1e6);
                    filled[first] = now;
                    if (tokens[first] < 1) continue;
                    tokens[first] -= 1;
                }
                calls.emplace(++last, call);
                module.push_back(last);
            }
            settle();
        }
        const auto jain = [&](auto share_of) {
            double sum = 0, squares = 0, count = 0;
            for (const double each : share_of()) {
                sum += each;
                squares += each * each;
                ++count;
            }
            return sum * sum / (count * squares);
        };
        std::vector<double> fair_waits;
        double fair_came = 0, fair_served = 0, tenants[2]{};
        for (const Client& each : clients) {
            tenants[each.tenant] += static_cast<double>(each.served);
            if (each.tenant == 0) continue;
            fair_waits.insert(fair_waits.end(), each.waits.begin(), each.waits.end());
            fair_came += static_cast<double>(each.came);
            fair_served += static_cast<double>(each.served);
        }
        std::sort(fair_waits.begin(), fair_waits.end());
        const auto at = [&](double part) {
            return fair_waits.empty() ? 0
                                      : fair_waits[static_cast<std::size_t>(
                                            part * static_cast<double>(fair_waits.size() - 1))];
        };
        state.counters["fair_served"] = fair_served / fair_came;
        state.counters["wait_p50_ms"] = at(0.5);
        state.counters["wait_p99_ms"] = at(0.99);
        // Over what each wants, capped at its max-min fair share of 800 a second: 600 and 200.
        state.counters["jain_tenants"] = jain([&] {
            return std::vector<double>{tenants[0] / 600, tenants[1] / 200};
        });
        state.counters["jain_flood_clients"] = jain([&] {
            std::vector<double> all;
            for (std::size_t i = 0; i < 1000; ++i) all.push_back(static_cast<double>(clients[i].served));
            return all;
        });
    }
}
BENCHMARK(flood)->ArgName("before")->Arg(with_door)->Arg(no_door)->Arg(bucket)->Iterations(1)->Unit(
    benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
