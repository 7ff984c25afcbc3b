// The door: holds requests ahead of the core while it would not send them at once, fair by tenant and client,
// in bounded memory, and tells those it refuses when to come back. It decides by itself and does nothing: time
// comes with each call, chance with the seed.
//
// Use:       whatever is called, take all of next() after it, and again at next_due().
// What went: a request handed over is never the door's again: it is known by its ticket until end().
// Threading: one thread at a time.   Ownership: it holds no request, only what it was told of one.
// Work:      a request costs the logarithm of what waits, and with the queue full a look at each tenant.
// Errors:    a ticket that is not open any more is heeded by nobody; terms that contradict themselves:
//            std::invalid_argument, naming the term, and nothing has changed.
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
    total_entries,  // the door is full, and nobody is further over its share
    total_bytes,
    gave_way,  // it waited, and its tenant was the furthest over its share when the door was full
    tenant_open,
    tenant_rate,
    client_open,
    client_rate,
    class_open,
    class_rate,
    too_late,  // it could not be served in its time any more
    draining,
    module,  // refused by the module, after it was handed over
};
inline constexpr std::size_t reasons = 12;
const char* text_of(Reason reason);

// Where one of that name is.
template <class Items>
std::optional<std::size_t> place_of(const Items& items, std::string_view name) {
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].name == name) return i;
    }
    return std::nullopt;
}

// 0: no limit.
struct Limits {
    std::uint32_t open = 0;  // waiting, or handed over and not ended
    double per_s = 0;
    double burst = 1;  // that may come at once
};

struct TenantTerms {
    std::string name;
    double weight = 1;
    Limits limits{};
};

struct ClassTerms {
    std::string name;
    double worth = 1;
    Micros service = std::chrono::milliseconds(10);  // believed before the first one has ended
    Limits limits{};
};

struct Terms {
    std::vector<TenantTerms> tenants;     // 256 at most
    TenantTerms others{"others", 1, {}};  // that none of the tenants is, together
    std::vector<ClassTerms> classes;
    Limits client;  // of each client; held to those that the tenant's counters surely know
    std::size_t most_entries = 10'000;
    std::size_t most_bytes = 64u << 20;
    // One worth the most goes ahead of those worth nothing of its flow that came up to so long before it.
    Micros head_start{};
    Micros patience = std::chrono::milliseconds(5);  // see Window
    Book::Options book;
};

struct Request {
    std::size_t tenant = 0;  // its place in Terms::tenants; beyond: others
    std::string_view client;
    int class_index = 0;
    Time deadline{};
    std::optional<Micros> cost_hint;
    std::size_t bytes = 0;
    std::string_view token;  // that it came back with
};

using Ticket = std::uint64_t;  // never 0, never used again

struct Refusal {
    Reason reason = Reason::too_late;
    Micros retry_after{};
    std::string token;
};

struct Step {
    Ticket ticket = 0;
    std::optional<Refusal> refused;  // else: to be handed over now
};

struct TenantFigures {
    std::string name;
    std::uint64_t came = 0, handed = 0, left = 0;
    std::array<std::uint64_t, reasons> refused{};
    std::uint64_t promised = 0;  // times told
    std::uint64_t returned = 0;  // with a token, in its time
    std::uint64_t unheeded = 0;  // with a token that counts as none
    double served_seconds = 0;   // what its calls took
    double waited_seconds = 0;
    std::size_t waiting = 0, open = 0;
};

struct Figures {
    std::vector<TenantFigures> tenants;  // others last
    std::size_t waiting = 0, waiting_bytes = 0, in_flight = 0;
    std::size_t bytes = 0;  // all that the door holds
    double window = 0, capacity_per_s = 0;
    std::uint64_t promised = 0, excess = 0;
};

class Door {
public:
    Door(Terms terms, Time now, std::uint64_t seed, const Tokens::Secret& secret);
    ~Door();
    Door(const Door&) = delete;
    Door& operator=(const Door&) = delete;

    // New terms: tenants and classes are told apart by name; what waits of a tenant that is gone waits among
    // the others.
    void change(Terms terms, Time now);
    const Terms& terms() const { return terms_; }

    struct Arrival {
        Ticket ticket = 0;    // 0: refused
        bool handed = false;  // to be handed over now; else it waits
        std::optional<Refusal> refused;
    };
    [[nodiscard]] Arrival arrive(Time now, const Request& request);
    // What is to be done now, one after another until there is nothing more.
    [[nodiscard]] std::optional<Step> next(Time now);
    // When to ask for next() again though nothing was called.
    [[nodiscard]] std::optional<Time> next_due(Time now) const;

    // Of one handed over: its first byte goes out, and its end. For one that the module refused, what to say.
    void sending(Ticket ticket, Time now);
    [[nodiscard]] std::optional<Refusal> end(Ticket ticket, Time now, Window::End end);
    // The client has gone, whether it waits or was handed over.
    void leave(Ticket ticket, Time now);
    // Nothing new waits from now on; what waits is still handed over.
    void drain() { draining_ = true; }

    std::size_t waiting() const { return waiting_; }
    std::size_t in_flight() const { return window_.in_flight(); }
    Figures figures(Time now) const;
    // At most, with the door full: what waits and the tables of all tenants.
    std::size_t most_bytes() const;

private:
    struct Entry;
    struct Tenant;
    struct Class;
    struct Lane {  // a limit's state
        std::uint32_t open = 0;
        Time paid_until{};
    };

    Entry* find(Ticket ticket);
    std::optional<std::pair<Reason, Micros>> over_limits(Time now, Tenant& tenant, Class& its,
                                                         std::uint64_t client);
    std::optional<Reason> make_room(std::size_t tenant, double worth, std::size_t bytes);
    Micros expected_wait(Time now, const Tenant& tenant, std::size_t flow) const;
    double over_share(const Tenant& tenant, std::size_t entries, std::size_t bytes) const;
    Refusal refusal(Time now, std::size_t tenant, int class_index, std::uint64_t client, Reason reason,
                    Micros soonest);
    void wait(std::uint32_t at, std::optional<double> no_earlier);
    void stop_waiting(std::uint32_t at);
    void hand(std::uint32_t at, Time now, bool others_wait);
    void close(std::uint32_t at);
    std::size_t held_bytes(const Request& request) const;
    std::uint64_t draw();

    Terms terms_;
    double most_worth_ = 0, weights_ = 0;
    std::uint64_t drawn_, client_key_;
    Tokens tokens_;
    Window window_;
    Book book_;
    Scheduler scheduler_;
    std::vector<std::unique_ptr<Tenant>> tenants_;
    std::vector<Class> classes_;
    std::vector<Entry> entries_;
    std::vector<std::uint32_t> free_;
    std::set<std::pair<Time, std::uint32_t>> points_;  // of service: the last moment of use
    std::deque<std::pair<std::uint32_t, Reason>> giving_way_;
    std::size_t waiting_ = 0, waiting_bytes_ = 0;
    double flight_cost_ = 0;  // estimated, of all in flight
    std::uint64_t arrivals_ = 0;
    bool draining_ = false;
};

}  // namespace flaxdoor::door
