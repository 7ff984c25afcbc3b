// Loads, the door, and a module that holds what it has no room for, under virtual time. What the tests judge is
// kept here by the world itself, from what it saw: nothing is asked of the door.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "door/door.h"

namespace flaxdoor::door::testing {

using namespace std::chrono_literals;

struct Load {
    std::size_t tenant = 0;
    double per_s = 100;
    std::size_t clients = 1;
    Micros service = 10ms;
    bool exponential = false;  // of service
    double hint = 0;           // told cost as a multiple of the true one; 0: none is told
    Micros deadline = 2s;
    Micros on = 1h, off = 0s;  // sends for so long, then rests for so long
    int class_index = 0;
    Micros from = 0s;
};

// Fronts: what stands ahead of the module. The door itself, or one that is first-in-first-out on purpose.
class Fifo {
public:
    Fifo(const Terms&, Time, std::uint64_t, const Tokens::Secret&) {}
    Door::Arrival arrive(Time now, const Request& request) {
        const Ticket ticket = ++last_;
        if (queue_.empty() && in_flight_ < most) return ++in_flight_, Door::Arrival{ticket, true, {}};
        queue_.push_back({ticket, request.deadline});
        (void)now;
        return {ticket, false, {}};
    }
    std::optional<Step> next(Time now) {
        if (queue_.empty()) return std::nullopt;
        const auto [ticket, deadline] = queue_.front();
        const bool late = deadline < now;
        if (!late && in_flight_ >= most) return std::nullopt;
        queue_.pop_front();
        if (late) return Step{ticket, Refusal{}};
        ++in_flight_;
        return Step{ticket, std::nullopt};
    }
    std::optional<Time> next_due(Time) const { return std::nullopt; }
    void sending(Ticket, Time) {}
    std::optional<Refusal> end(Ticket, Time, Window::End) { return --in_flight_, std::nullopt; }
    std::size_t waiting() const { return queue_.size(); }

private:
    static constexpr std::size_t most = 9;
    std::deque<std::pair<Ticket, Time>> queue_;
    std::size_t in_flight_ = 0;
    Ticket last_ = 0;
};

template <class Front>
class World {
public:
    World(const Terms& terms, std::size_t servers, std::uint64_t seed)
        : terms_(terms), front_(terms, Time{1s}, seed, {}), random_(seed), free_(servers) {
        now_ = 1s;
        tenants_.resize(terms.tenants.size() + 1);
    }

    struct Call {
        std::size_t load = 0, tenant = 0;
        Micros service{};
        double told = 0;  // the estimate, where one was told
        Time came{}, deadline{};
    };
    struct Seen {
        std::size_t waiting = 0;
        double handed = 0, ended = 0;   // service of those handed over, and of those ended, so far
        double largest = 0, error = 0;  // of one call: cost, and what the estimate was off
        std::size_t calls = 0, taken = 0, served = 0;
        std::map<Reason, std::size_t> refused;
        std::vector<double> waits;  // in milliseconds, of those handed over
    };

    void run(const std::vector<Load>& loads, Micros span) {
        for (std::size_t i = 0; i < loads.size(); ++i)
            at(now_ + loads[i].from, [this, &loads, i] { send(loads, i); });
        end_ = now_ + span;
        while (!events_.empty() && events_.top().at <= end_) step();
    }
    void at(Time time, std::function<void()> what) { events_.push({time, ++order_, std::move(what)}); }
    // Called after each event with everything settled.
    std::function<void()> after;

    Terms terms_;
    Front front_;
    std::mt19937_64 random_;
    std::size_t free_;
    double slowed = 1;
    Time now_{};
    std::vector<Seen> tenants_;
    std::map<Ticket, Call> open_;
    std::size_t most_in_flight = 0, wasted = 0, late_refusals = 0, most_waiting = 0;

private:
    struct Event {
        Time at{};
        std::uint64_t order = 0;
        std::function<void()> what;
        bool operator<(const Event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void step() {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.what();
        while (const auto step = front_.next(now_)) {
            const Call call = open_.at(step->ticket);
            Seen& seen = tenants_[call.tenant];
            --seen.waiting;
            if (!step->refused) {
                hand(step->ticket);
                continue;
            }
            ++seen.refused[step->refused->reason];
            // Refused at the point of service: by its class's median, or its part of it by what was told.
            const double expected = call.told > 0
                                        ? std::min(call.told, static_cast<double>(call.service.count()))
                                        : static_cast<double>(terms_.classes[0].service.count());
            if (step->refused->reason == Reason::too_late &&
                now_ > call.deadline - Micros(static_cast<long>(expected / 3)))
                ++late_refusals;
            open_.erase(step->ticket);
        }
        if (const auto due = front_.next_due(now_); due && (!asked_ || *due < *asked_ || *asked_ <= now_)) {
            asked_ = *due;
            at(*due, [] {});
        }
        most_waiting = std::max(most_waiting, front_.waiting());
        if (front_.waiting() > 0 && free_ > 0) ++wasted;
        if (after) after();
    }

    void send(const std::vector<Load>& loads, std::size_t which) {
        const Load& load = loads[which];
        std::exponential_distribution<double> gap(load.per_s);
        const Micros phase = load.off > 0s ? (now_ - 1s - load.from) % (load.on + load.off) : Micros{};
        const Micros skip = phase < load.on ? Micros{} : load.on + load.off - phase;
        at(now_ + skip + std::max(1us, Micros(static_cast<long>(gap(random_) * 1e6))),
           [this, &loads, which] { send(loads, which); });
        if (skip > 0s) return;
        Call call{
            which, std::min(load.tenant, tenants_.size() - 1), load.service, 0, now_, now_ + load.deadline};
        if (load.exponential) {
            std::exponential_distribution<double> drawn(1);
            call.service = std::max(
                100us,
                Micros(static_cast<long>(drawn(random_) * 1.0 * static_cast<double>(load.service.count()))));
        }
        Request request;
        request.tenant = load.tenant;
        const std::string client = std::to_string(which) + "/" + std::to_string(random_() % load.clients);
        request.client = client;
        request.class_index = load.class_index;
        request.deadline = call.deadline;
        request.bytes = 500;
        if (load.hint > 0) {
            call.told = load.hint * static_cast<double>(call.service.count());
            request.cost_hint = Micros(static_cast<long>(call.told));
        }
        Seen& seen = tenants_[call.tenant];
        ++seen.calls;
        const double cost = static_cast<double>(call.service.count()) * slowed;
        seen.largest = std::max({seen.largest, cost, call.told});
        seen.error = std::max(
            seen.error,
            std::abs(cost -
                     (call.told > 0 ? call.told : static_cast<double>(terms_.classes[0].service.count()))));
        const auto arrival = front_.arrive(now_, request);
        if (arrival.refused) {
            ++seen.refused[arrival.refused->reason];
            return;
        }
        open_.emplace(arrival.ticket, call);
        if (arrival.handed) return hand(arrival.ticket);
        ++seen.waiting;
    }

    void hand(Ticket ticket) {
        const Call& call = open_.at(ticket);
        tenants_[call.tenant].handed += static_cast<double>(call.service.count()) * slowed;
        ++tenants_[call.tenant].taken;
        tenants_[call.tenant].waits.push_back(static_cast<double>((now_ - call.came).count()) / 1e3);
        ++in_flight_;
        most_in_flight = std::max(most_in_flight, in_flight_);
        if (free_ == 0) return module_.push_back(ticket);
        begin(ticket);
    }

    void begin(Ticket ticket) {
        --free_;
        front_.sending(ticket, now_);
        const Call& call = open_.at(ticket);
        const double took = static_cast<double>(call.service.count()) * slowed;
        at(now_ + Micros(static_cast<long>(took)), [this, ticket, took] {
            Seen& seen = tenants_[open_.at(ticket).tenant];
            seen.ended += took;
            ++seen.served;
            ++free_;
            --in_flight_;
            open_.erase(ticket);
            (void)front_.end(ticket, now_, Window::End::served);
            if (module_.empty()) return;
            const Ticket first = module_.front();
            module_.pop_front();
            begin(first);
        });
    }

    std::priority_queue<Event> events_;
    std::deque<Ticket> module_;
    std::uint64_t order_ = 0;
    std::size_t in_flight_ = 0;
    Time end_{};
    std::optional<Time> asked_;
};

}  // namespace flaxdoor::door::testing
