// Simulates loads, the admission queue and a module that queues calls beyond its servers, in virtual time.
// The quantities that the tests check are recorded here, independently of the queue's own figures.
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
    bool exponential = false;  // exponentially distributed service times
    double hint = 0;           // cost hint as a multiple of the true cost; 0 means no hint
    Micros deadline = 2s;
    Micros on = 1h, off = 0s;  // alternates between sending for `on` and pausing for `off`
    int class_index = 0;
    Micros from = 0s;
};

// First-in-first-out queue with the interface of AdmissionQueue, to show that the checks can fail.
class FifoQueue {
public:
    FifoQueue(const Terms&, Time, std::uint64_t, const RetryTokens::Secret&) {}
    AdmissionQueue::Arrival enqueue(Time now, const Request& request) {
        const Ticket ticket = ++last_;
        if (queue_.empty() && in_flight_ < limit)
            return ++in_flight_, AdmissionQueue::Arrival{ticket, true, {}};
        queue_.push_back({ticket, request.deadline});
        (void)now;
        return {ticket, false, {}};
    }
    std::optional<Step> next(Time now) {
        if (queue_.empty()) return std::nullopt;
        const auto [ticket, deadline] = queue_.front();
        const bool late = deadline < now;
        if (!late && in_flight_ >= limit) return std::nullopt;
        queue_.pop_front();
        if (late) return Step{ticket, Refusal{}};
        ++in_flight_;
        return Step{ticket, std::nullopt};
    }
    std::optional<Time> next_deadline(Time) const { return std::nullopt; }
    void on_first_byte(Ticket, Time) {}
    std::optional<Refusal> end(Ticket, Time, ConcurrencyWindow::End) { return --in_flight_, std::nullopt; }
    std::size_t waiting() const { return queue_.size(); }

private:
    static constexpr std::size_t limit = 9;
    std::deque<std::pair<Ticket, Time>> queue_;
    std::size_t in_flight_ = 0;
    Ticket last_ = 0;
};

template <class Front>
class World {
public:
    World(const Terms& terms, std::size_t servers, std::uint64_t seed)
        : terms_(terms), front_(terms, Time{1s}, seed, {}), random_(seed), free_servers_(servers) {
        now_ = 1s;
        tenants_.resize(terms.tenants.size() + 1);
    }

    struct Call {
        std::size_t load = 0, tenant = 0;
        Micros service{};
        double hinted_cost = 0;  // cost hint; 0 if there is none
        Time arrived{}, deadline{};
    };
    struct Observed {
        std::size_t waiting = 0;
        double dispatched = 0, ended = 0;  // service time of the dispatched and of the ended calls so far
        double largest = 0, error = 0;     // largest cost of a call, and largest error of an estimate
        std::size_t calls = 0, dispatched_calls = 0, served = 0;
        std::map<Reason, std::size_t> refused;
        std::vector<double> waits;  // in milliseconds, of dispatched calls
    };

    void run(const std::vector<Load>& loads, Micros span) {
        for (std::size_t i = 0; i < loads.size(); ++i)
            at(now_ + loads[i].from, [this, &loads, i] { send_call(loads, i); });
        end_ = now_ + span;
        while (!events_.empty() && events_.top().at <= end_) step();
    }
    void at(Time time, std::function<void()> action) { events_.push({time, ++order_, std::move(action)}); }
    // Called after each event, when no action is pending.
    std::function<void()> after;

    Terms terms_;
    Front front_;
    std::mt19937_64 random_;
    std::size_t free_servers_;
    double slowed = 1;
    Time now_{};
    std::vector<Observed> tenants_;
    std::map<Ticket, Call> open_;
    std::size_t most_in_flight = 0, idle_with_queue = 0, late_refusals = 0, most_waiting = 0;

private:
    struct Event {
        Time at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void step() {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
        while (const auto step = front_.next(now_)) {
            const Call call = open_.at(step->ticket);
            Observed& observed = tenants_[call.tenant];
            --observed.waiting;
            if (!step->refused) {
                dispatch(step->ticket);
                continue;
            }
            ++observed.refused[step->refused->reason];
            // Refused at its latest useful start: the deadline minus the class's median, or minus a part of
            // it by the cost hint.
            const double expected =
                call.hinted_cost > 0 ? std::min(call.hinted_cost, static_cast<double>(call.service.count()))
                                     : static_cast<double>(terms_.classes[0].service.count());
            if (step->refused->reason == Reason::too_late &&
                now_ > call.deadline - Micros(static_cast<long>(expected / 3)))
                ++late_refusals;
            open_.erase(step->ticket);
        }
        if (const auto due = front_.next_deadline(now_);
            due && (!scheduled_check_ || *due < *scheduled_check_ || *scheduled_check_ <= now_)) {
            scheduled_check_ = *due;
            at(*due, [] {});
        }
        most_waiting = std::max(most_waiting, front_.waiting());
        if (front_.waiting() > 0 && free_servers_ > 0) ++idle_with_queue;
        if (after) after();
    }

    void send_call(const std::vector<Load>& loads, std::size_t load_index) {
        const Load& load = loads[load_index];
        std::exponential_distribution<double> interarrival(load.per_s);
        const Micros phase = load.off > 0s ? (now_ - 1s - load.from) % (load.on + load.off) : Micros{};
        const Micros pause = phase < load.on ? Micros{} : load.on + load.off - phase;
        at(now_ + pause + std::max(1us, Micros(static_cast<long>(interarrival(random_) * 1e6))),
           [this, &loads, load_index] { send_call(loads, load_index); });
        if (pause > 0s) return;
        Call call{load_index,          std::min(load.tenant, tenants_.size() - 1), load.service, 0, now_,
                  now_ + load.deadline};
        if (load.exponential) {
            std::exponential_distribution<double> unit_exponential(1);
            call.service =
                std::max(100us, Micros(static_cast<long>(unit_exponential(random_) * 1.0 *
                                                         static_cast<double>(load.service.count()))));
        }
        Request request;
        request.tenant = load.tenant;
        const std::string client =
            std::to_string(load_index) + "/" + std::to_string(random_() % load.clients);
        request.client = client;
        request.class_index = load.class_index;
        request.deadline = call.deadline;
        request.bytes = 500;
        if (load.hint > 0) {
            call.hinted_cost = load.hint * static_cast<double>(call.service.count());
            request.cost_hint = Micros(static_cast<long>(call.hinted_cost));
        }
        Observed& observed = tenants_[call.tenant];
        ++observed.calls;
        const double cost = static_cast<double>(call.service.count()) * slowed;
        observed.largest = std::max({observed.largest, cost, call.hinted_cost});
        observed.error = std::max(
            observed.error,
            std::abs(cost - (call.hinted_cost > 0 ? call.hinted_cost
                                                  : static_cast<double>(terms_.classes[0].service.count()))));
        const auto arrival = front_.enqueue(now_, request);
        if (arrival.refused) {
            ++observed.refused[arrival.refused->reason];
            return;
        }
        open_.emplace(arrival.ticket, call);
        if (arrival.handed) return dispatch(arrival.ticket);
        ++observed.waiting;
    }

    void dispatch(Ticket ticket) {
        const Call& call = open_.at(ticket);
        tenants_[call.tenant].dispatched += static_cast<double>(call.service.count()) * slowed;
        ++tenants_[call.tenant].dispatched_calls;
        tenants_[call.tenant].waits.push_back(static_cast<double>((now_ - call.arrived).count()) / 1e3);
        ++in_flight_;
        most_in_flight = std::max(most_in_flight, in_flight_);
        if (free_servers_ == 0) return module_queue_.push_back(ticket);
        start_call(ticket);
    }

    void start_call(Ticket ticket) {
        --free_servers_;
        front_.on_first_byte(ticket, now_);
        const Call& call = open_.at(ticket);
        const double service = static_cast<double>(call.service.count()) * slowed;
        at(now_ + Micros(static_cast<long>(service)), [this, ticket, service] {
            Observed& observed = tenants_[open_.at(ticket).tenant];
            observed.ended += service;
            ++observed.served;
            ++free_servers_;
            --in_flight_;
            open_.erase(ticket);
            (void)front_.end(ticket, now_, ConcurrencyWindow::End::served);
            if (module_queue_.empty()) return;
            const Ticket first = module_queue_.front();
            module_queue_.pop_front();
            start_call(first);
        });
    }

    std::priority_queue<Event> events_;
    std::deque<Ticket> module_queue_;
    std::uint64_t order_ = 0;
    std::size_t in_flight_ = 0;
    Time end_{};
    std::optional<Time> scheduled_check_;
};

}  // namespace flaxdoor::door::testing
