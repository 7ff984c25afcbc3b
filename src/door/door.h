// Admission queue: queues requests ahead of the core while the core would not send them at once. The queue is
// fair by tenant and client and bounded in memory. Refused requests get a retry time. The queue only decides
// and performs no action itself: time is passed to each call, and randomness comes from the seed.
//
// Usage:     after every other call, call next() until it returns empty, and again at next_deadline().
// Requests:  a dispatched request never returns to the queue; its ticket is valid until end().
// Threading: one thread at a time.   Ownership: owns no requests, only their descriptions.
// Cost:      logarithmic in the queued requests; linear in the tenants if the queue is full.
// Errors:    calls with a ticket that is no longer valid have no effect. Inconsistent terms cause
//            std::invalid_argument, which names the term; then nothing has changed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "door/book.h"
#include "door/flows.h"
#include "door/scheduler.h"
#include "door/token.h"
#include "door/window.h"

namespace flaxdoor::door {

enum class Reason {
    total_entries,  // the queue is full, and no other tenant exceeds its share by more
    total_bytes,
    evicted,  // evicted from the full queue, since its tenant exceeded its share by the most
    tenant_open,
    tenant_rate,
    client_open,
    client_rate,
    class_open,
    class_rate,
    too_late,  // it can no longer be served before its deadline
    draining,
    module,  // refused by the module after it was dispatched
};
inline constexpr std::size_t reasons = 12;
const char* text_of(Reason reason);

// Returns the index of the item with this name.
template <class Items>
std::optional<std::size_t> place_of(const Items& items, std::string_view name) {
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].name == name) return i;
    }
    return std::nullopt;
}

// Limits of a tenant, a class or a client. Zero means no limit.
struct Limits {
    std::uint32_t open = 0;  // queued, or dispatched and not ended
    double per_s = 0;
    double burst = 1;  // depth of the token bucket
};

struct TenantTerms {
    std::string name;
    double weight = 1;
    Limits limits{};
};

struct ClassTerms {
    std::string name;
    double worth = 1;
    Micros service = std::chrono::milliseconds(10);  // estimate until the first request has ended
    Limits limits{};
};

struct Terms {
    std::vector<TenantTerms> tenants;     // 256 at most
    TenantTerms others{"others", 1, {}};  // all requests of other tenants together
    std::vector<ClassTerms> classes;
    Limits client;  // of each client; enforced for clients with a counter (HeavyHitters)
    std::size_t most_entries = 10'000;
    std::size_t most_bytes = 64u << 20;
    // A request of the highest worth is ordered before requests of worth zero in its flow that arrived up to
    // this long before.
    Micros head_start{};
    Micros patience = std::chrono::milliseconds(5);  // see Window
    RetrySchedule::Options book;
};

struct Request {
    std::size_t tenant = 0;  // index in Terms::tenants; a larger one means others
    std::string_view client;
    int class_index = 0;
    Time deadline{};
    std::optional<Micros> cost_hint;
    std::size_t bytes = 0;
    std::string_view token;  // retry token; empty if there is none
};

using Ticket = std::uint64_t;  // never 0, never reused

struct Refusal {
    Reason reason = Reason::too_late;
    Micros retry_after{};
    std::string token;
};

struct Step {
    Ticket ticket = 0;
    std::optional<Refusal> refused;  // if empty, the request is to be dispatched now
};

struct TenantFigures {
    std::string name;
    std::uint64_t came = 0, handed = 0, left = 0;
    std::array<std::uint64_t, reasons> refused{};
    std::uint64_t promised = 0;  // retry times assigned
    std::uint64_t returned = 0;  // retries with a valid token, in time
    std::uint64_t ignored = 0;   // requests whose token was invalid or out of time
    double served_seconds = 0;   // total service time
    double waited_seconds = 0;
    std::size_t waiting = 0, open = 0;
};

struct Figures {
    std::vector<TenantFigures> tenants;  // others last
    std::size_t waiting = 0, waiting_bytes = 0, in_flight = 0;
    std::size_t bytes = 0;  // total memory of the queue
    double window = 0, capacity_per_s = 0;
    std::uint64_t promised = 0, excess = 0;
};

class AdmissionQueue {
public:
    AdmissionQueue(Terms terms, Time now, std::uint64_t seed, const RetryTokens::Secret& secret);
    ~AdmissionQueue();
    AdmissionQueue(const AdmissionQueue&) = delete;
    AdmissionQueue& operator=(const AdmissionQueue&) = delete;

    // Applies new terms. Tenants and classes are identified by name. Queued requests of a removed tenant move
    // to others.
    void change(Terms terms, Time now);
    const Terms& terms() const { return terms_; }

    struct Arrival {
        Ticket ticket = 0;    // 0 if refused
        bool handed = false;  // true if the request is to be dispatched now, false if it is queued
        std::optional<Refusal> refused;
    };
    [[nodiscard]] Arrival enqueue(Time now, const Request& request);
    // Returns the next action, or empty if there is none.
    [[nodiscard]] std::optional<Step> next(Time now);
    // Returns when to call next() again if no other call is made before.
    [[nodiscard]] std::optional<Time> next_deadline(Time now) const;

    // on_first_byte() reports that the first byte of a dispatched request is sent, end() that the request has
    // ended. For a request that the module refused, end() returns the refusal with its retry time.
    void on_first_byte(Ticket ticket, Time now);
    [[nodiscard]] std::optional<Refusal> end(Ticket ticket, Time now, ConcurrencyWindow::End end);
    // Reports that the client has gone, whether its request is queued or dispatched.
    void leave(Ticket ticket, Time now);
    // Queues no more requests. Queued ones are still dispatched.
    void drain() { draining_ = true; }

    std::size_t waiting() const { return waiting_; }
    std::size_t in_flight() const { return window_.in_flight(); }
    Figures figures(Time now) const;
    // Returns the memory of a full queue, with the tables of all tenants.
    std::size_t most_bytes() const;

private:
    struct Entry;
    struct Tenant;
    struct Class;
    struct LimitState {  // state of a Limits
        std::uint32_t open = 0;
        Time paid_until{};
    };

    Entry* find(Ticket ticket);
    std::optional<std::pair<Reason, Micros>> check_limits(Time now, Tenant& tenant, Class& request_class,
                                                          std::uint64_t client);
    std::optional<Reason> evict_for(std::size_t tenant, double worth, std::size_t bytes);
    Micros expected_wait(Time now, const Tenant& tenant, std::size_t flow) const;
    double share_excess(const Tenant& tenant, std::size_t entries, std::size_t bytes) const;
    Refusal make_refusal(Time now, std::size_t tenant, int class_index, std::uint64_t client, Reason reason,
                         Micros soonest);
    void enqueue(std::uint32_t index, std::optional<double> earliest_start);
    void dequeue(std::uint32_t index);
    void dispatch(std::uint32_t index, Time now, bool others_wait);
    void free_entry(std::uint32_t index);
    std::size_t memory_of(const Request& request) const;
    std::uint64_t next_random();

    Terms terms_;
    double max_worth_ = 0, total_weight_ = 0;
    std::uint64_t random_state_, client_hash_key_;
    RetryTokens tokens_;
    ConcurrencyWindow window_;
    RetrySchedule retry_schedule_;
    Scheduler scheduler_;
    std::vector<std::unique_ptr<Tenant>> tenants_;
    std::vector<Class> classes_;
    std::vector<Entry> entries_;
    std::vector<std::uint32_t> free_;
    // Latest useful start of service of each queued request.
    std::set<std::pair<Time, std::uint32_t>> latest_starts_;
    std::deque<std::pair<std::uint32_t, Reason>> evicted_;
    std::size_t waiting_ = 0, waiting_bytes_ = 0;
    double in_flight_cost_ = 0;  // estimated cost of the calls in flight
    std::uint64_t arrivals_ = 0;
    bool draining_ = false;
};

}  // namespace flaxdoor::door
