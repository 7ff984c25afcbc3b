#include "door/door.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace flaxdoor::door {

namespace {

constexpr std::size_t max_tenants = 256;
// Memory of a queued request in addition to its own bytes and its entry: a node in each of three sets.
constexpr std::size_t node_bytes = 3 * 72;

double micros(Micros span) { return static_cast<double>(span.count()); }
// Time spans are limited to this (thirty years), infinite ones and NaN included, so that sums of spans and a
// time don't overflow.
constexpr double max_span = 1e15;
Micros micros(double span) {
    return Micros(static_cast<Micros::rep>(span < max_span ? std::max(span, -max_span) : max_span));
}

void check(const Limits& limits, const std::string& owner) {
    if (limits.per_s < 0) throw std::invalid_argument(owner + ": a rate must be 0 (no limit) or above");
    if (limits.per_s > 0 && limits.burst < 1)
        throw std::invalid_argument(owner + ": a burst must be 1 or above");
}

void check(const Terms& terms) {
    if (terms.tenants.size() > max_tenants) throw std::invalid_argument("more than 256 tenants");
    if (terms.classes.empty()) throw std::invalid_argument("no class is configured");
    std::set<std::string_view> names;
    for (const TenantTerms& each : terms.tenants) {
        if (!names.insert(each.name).second)
            throw std::invalid_argument("tenant " + each.name + " is configured twice");
        if (!(each.weight > 0))
            throw std::invalid_argument("tenant " + each.name + ": a weight must be above 0");
        check(each.limits, "tenant " + each.name);
    }
    if (!(terms.others.weight > 0)) throw std::invalid_argument("others: a weight must be above 0");
    check(terms.others.limits, "others");
    for (const ClassTerms& each : terms.classes) check(each.limits, "class " + each.name);
    check(terms.client, "client");
    if (terms.most_entries == 0) throw std::invalid_argument("the number of entries must be above 0");
}

// A token bucket, kept as the time up to which tokens are spent. Takes a token and returns empty, or returns
// the time until one is available.
std::optional<Micros> take_token(const Limits& limits, Time& paid_until, Time now) {
    if (limits.per_s <= 0) return std::nullopt;
    const Micros interval = micros(1e6 / limits.per_s);
    const Micros depth = micros(1e6 / limits.per_s * limits.burst);
    const Time from = std::max(paid_until, now);
    if (from + interval - now > depth) return from + interval - now - depth;
    paid_until = from + interval;
    return std::nullopt;
}

}  // namespace

const char* text_of(Reason reason) {
    constexpr std::array<const char*, reasons> texts{
        "total_entries", "total_bytes", "gave_way",   "tenant_open", "tenant_rate", "client_open",
        "client_rate",   "class_open",  "class_rate", "too_late",    "draining",    "module"};
    return texts[static_cast<std::size_t>(reason)];
}

struct AdmissionQueue::Entry {
    enum class State { free, queued, evicted, handed };
    State state = State::free;
    std::uint32_t generation = 0;
    std::uint32_t flow = 0;
    int class_index = 0;
    std::size_t tenant = 0;
    std::uint64_t client = 0;
    Flows::Waiting queue_key;
    Time arrived{};
    Time latest_start{};
    Time sent_at{};
    double cost = 0;
    double worth = 0;  // at the arrival; stays the same if the class changes later
    std::size_t bytes = 0;
    bool in_flows = false;  // charged to its flow as well as to its tenant
    ConcurrencyWindow::InFlight handed;
};

struct AdmissionQueue::Tenant {
    TenantTerms terms;
    LimitState limit_state;
    std::unique_ptr<Flows> flows;  // created when a request is first queued
    // Queued requests; the least worth first, and the latest first among equals.
    std::set<std::tuple<double, std::uint64_t, std::uint32_t>> by_worth;
    std::size_t bytes = 0;
    TenantFigures figures;
};

struct AdmissionQueue::Class {
    ClassTerms terms;
    LimitState limit_state;
    double mean = 0;    // of the service time, in microseconds
    double median = 0;  // the same; moves in steps of a fiftieth of the mean
};

AdmissionQueue::~AdmissionQueue() = default;

AdmissionQueue::AdmissionQueue(Terms terms, Time now, std::uint64_t seed, const RetryTokens::Secret& secret)
    : random_state_(seed),
      client_hash_key_(0),
      tokens_(secret),
      window_(terms.patience),
      retry_schedule_(terms.book) {
    client_hash_key_ = next_random();
    change(std::move(terms), now);
}

// SplitMix64 (Steele, Lea, Flood 2014).
std::uint64_t AdmissionQueue::next_random() {
    std::uint64_t z = (random_state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

void AdmissionQueue::change(Terms terms, Time now) {
    check(terms);
    std::vector<std::unique_ptr<Tenant>> tenants;
    Scheduler scheduler(terms.tenants.size() + 1);
    const auto old_index = [&](const std::string& name) -> std::optional<std::size_t> {
        for (std::size_t i = 0; i + 1 < tenants_.size(); ++i) {
            if (tenants_[i] && tenants_[i]->terms.name == name) return i;
        }
        return std::nullopt;
    };
    // The state of a tenant follows its name. The scheduler's tags start anew, at the same virtual time for
    // all tenants.
    std::vector<std::size_t> new_index(tenants_.size(), terms.tenants.size());
    total_weight_ = 0;
    for (std::size_t i = 0; i <= terms.tenants.size(); ++i) {
        const bool last = i == terms.tenants.size();
        const TenantTerms& tenant_terms = last ? terms.others : terms.tenants[i];
        const auto old = last ? (tenants_.empty() ? std::nullopt : std::optional(tenants_.size() - 1))
                              : old_index(tenant_terms.name);
        tenants.push_back(old ? std::move(tenants_[*old]) : std::make_unique<Tenant>());
        if (old) new_index[*old] = i;
        tenants.back()->terms = tenant_terms;
        tenants.back()->figures.name = tenant_terms.name;
        scheduler.set_weight(i, tenant_terms.weight);
        total_weight_ += tenant_terms.weight;
    }
    std::vector<std::unique_ptr<Tenant>> removed;
    for (auto& each : tenants_) {
        if (each) removed.push_back(std::move(each));
    }
    tenants_ = std::move(tenants);
    scheduler_ = std::move(scheduler);
    // The state of a class follows its name too. Requests of a removed class count for the last class.
    std::vector<Class> classes(terms.classes.size());
    std::vector<int> new_class_index;
    for (const Class& each : classes_) {
        const auto class_index = place_of(terms.classes, each.terms.name);
        new_class_index.push_back(static_cast<int>(class_index.value_or(classes.size() - 1)));
        if (class_index && classes[*class_index].mean == 0) classes[*class_index] = each;
    }
    classes_ = std::move(classes);
    max_worth_ = 0;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        if (classes_[i].mean == 0) classes_[i].mean = classes_[i].median = micros(terms.classes[i].service);
        classes_[i].terms = terms.classes[i];
        max_worth_ = std::max(max_worth_, terms.classes[i].worth);
    }
    if (!(terms_.book == terms.book)) retry_schedule_ = RetrySchedule(terms.book);
    terms_ = std::move(terms);
    const std::size_t others = tenants_.size() - 1;
    for (Class& each : classes_) each.limit_state.open = 0;
    for (std::uint32_t index = 0; index < entries_.size(); ++index) {
        Entry& entry = entries_[index];
        if (entry.state == Entry::State::free) continue;
        const std::size_t tenant = new_index[entry.tenant];
        entry.class_index = new_class_index[static_cast<std::size_t>(entry.class_index)];
        ++classes_[static_cast<std::size_t>(entry.class_index)].limit_state.open;
        const bool orphaned = tenant == others && entry.tenant + 1 != new_index.size();
        entry.tenant = tenant;
        if (!orphaned) continue;
        Tenant& new_tenant = *tenants_[others];
        ++new_tenant.limit_state.open;
        entry.in_flows = false;
        if (entry.state != Entry::State::queued) continue;
        if (!new_tenant.flows) new_tenant.flows = std::make_unique<Flows>(now, next_random());
        entry.flow = static_cast<std::uint32_t>(
            new_tenant.flows->assign_flow(now, entry.client, entry.cost, next_random()));
        new_tenant.flows->push(entry.flow, entry.queue_key, {});
        new_tenant.by_worth.emplace(entry.worth, ~entry.queue_key.arrival, index);
        new_tenant.bytes += entry.bytes;
        ++new_tenant.figures.waiting;
    }
    for (std::size_t i = 0; i < tenants_.size(); ++i) {
        if (!tenants_[i]->by_worth.empty()) scheduler_.activate(i);
    }
}

AdmissionQueue::Entry* AdmissionQueue::find(Ticket ticket) {
    const auto index = static_cast<std::uint32_t>(ticket) - 1;
    if (index >= entries_.size()) return nullptr;
    Entry& entry = entries_[index];
    return entry.state != Entry::State::free && entry.generation == ticket >> 32 ? &entry : nullptr;
}

std::size_t AdmissionQueue::memory_of(const Request& request) const {
    return request.bytes + sizeof(Entry) + node_bytes;
}

std::optional<std::pair<Reason, Micros>> AdmissionQueue::check_limits(Time now, Tenant& tenant,
                                                                      Class& request_class,
                                                                      std::uint64_t client) {
    const auto open = [](const Limits& limits, std::uint32_t count) {
        return limits.open != 0 && count >= limits.open;
    };
    const Micros median_service = micros(request_class.median);
    if (open(tenant.terms.limits, tenant.limit_state.open))
        return std::pair(Reason::tenant_open, median_service);
    if (open(request_class.terms.limits, request_class.limit_state.open))
        return std::pair(Reason::class_open, median_service);
    if (terms_.client.open != 0 || terms_.client.per_s > 0) {
        if (!tenant.flows) tenant.flows = std::make_unique<Flows>(now, next_random());
        HeavyHitters& hitters = tenant.flows->hitters();
        // Refused requests are counted too; otherwise the client's counter would be reassigned to another
        // client.
        const std::size_t counter_index = hitters.find(client).value_or(HeavyHitters::counters);
        if (counter_index != HeavyHitters::counters) {
            HeavyHitters::Counter& counter = hitters.at(counter_index);
            if (open(terms_.client, counter.open)) return std::pair(Reason::client_open, median_service);
            if (const auto until = take_token(terms_.client, counter.paid_until, now)) {
                (void)hitters.add(client, request_class.mean);
                return std::pair(Reason::client_rate, *until);
            }
        }
    }
    if (const auto until = take_token(tenant.terms.limits, tenant.limit_state.paid_until, now))
        return std::pair(Reason::tenant_rate, *until);
    if (const auto until = take_token(request_class.terms.limits, request_class.limit_state.paid_until, now))
        return std::pair(Reason::class_rate, *until);
    return std::nullopt;
}

double AdmissionQueue::share_excess(const Tenant& tenant, std::size_t entries, std::size_t bytes) const {
    const double share = tenant.terms.weight / total_weight_;
    return std::max(static_cast<double>(entries) / static_cast<double>(terms_.most_entries),
                    static_cast<double>(bytes) / static_cast<double>(terms_.most_bytes)) /
           share;
}

// Makes room for a request. While the queue is full, chooses the tenant that exceeds its share by the most and
// evicts its request of least worth, the latest among equals. If that would be the arriving request, evicts
// nothing and returns the reason for refusing it.
std::optional<Reason> AdmissionQueue::evict_for(std::size_t tenant, double worth, std::size_t bytes) {
    // If the limits were reduced while more requests were queued, an arriving request replaces one of them
    // and the rest stay queued.
    const std::size_t most_entries = std::max(terms_.most_entries, waiting_);
    const std::size_t most_bytes = std::max(terms_.most_bytes, waiting_bytes_);
    if (waiting_ < most_entries && waiting_bytes_ + bytes <= most_bytes) return std::nullopt;
    // Evictions are determined first and performed afterwards, so that none takes place for a request that is
    // refused in the end.
    struct Remaining {
        std::size_t entries, bytes;
        decltype(Tenant::by_worth)::const_iterator next;
    };
    std::vector<Remaining> remaining;
    remaining.reserve(tenants_.size());
    for (const auto& each : tenants_)
        remaining.push_back({each->by_worth.size(), each->bytes, each->by_worth.begin()});
    std::vector<std::uint32_t> evicted;
    std::size_t entries = waiting_, all_bytes = waiting_bytes_;
    while (entries >= most_entries || all_bytes + bytes > most_bytes) {
        const Reason reason = entries >= most_entries ? Reason::total_entries : Reason::total_bytes;
        std::size_t furthest = tenant;
        double largest_excess =
            share_excess(*tenants_[tenant], remaining[tenant].entries + 1, remaining[tenant].bytes + bytes);
        for (std::size_t i = 0; i < tenants_.size(); ++i) {
            const double excess = share_excess(*tenants_[i], remaining[i].entries, remaining[i].bytes);
            if (excess > largest_excess && remaining[i].entries > 0) {
                largest_excess = excess;
                furthest = i;
            }
        }
        Remaining& victim = remaining[furthest];
        if (victim.entries == 0) return reason;
        if (furthest == tenant && worth <= std::get<0>(*victim.next)) return reason;
        const std::uint32_t index = std::get<2>(*victim.next);
        evicted.push_back(index);
        ++victim.next;
        --victim.entries;
        victim.bytes -= entries_[index].bytes;
        --entries;
        all_bytes -= entries_[index].bytes;
    }
    for (const std::uint32_t index : evicted) {
        dequeue(index);
        entries_[index].state = Entry::State::evicted;
        evicted_.emplace_back(index, Reason::evicted);
    }
    return std::nullopt;
}

// Estimates the wait of a new request, assuming calls of equal cost: its flow is served once in a round of
// the tenant's active flows, and the tenant by its weight among the active tenants. The estimate never
// exceeds the time to serve all queued requests.
Micros AdmissionQueue::expected_wait(Time now, const Tenant& tenant, std::size_t flow) const {
    // Little's law gives the rate until completions show the capacity.
    const double in_flight = static_cast<double>(window_.in_flight());
    const double by_in_flight = in_flight * in_flight / std::max(in_flight_cost_, 1.0) * 1e6;
    const double rate = std::max(retry_schedule_.capacity(now, {}), by_in_flight);
    if (rate <= 0) return {};
    const double active_flows = tenant.flows->active_flows() + (tenant.flows->waiting(flow) == 0 ? 1 : 0);
    const double weights = scheduler_.active_weight() + (tenant.by_worth.empty() ? tenant.terms.weight : 0);
    const double flow_wait =
        static_cast<double>(tenant.flows->waiting(flow)) * active_flows * weights / tenant.terms.weight;
    return micros(std::min(flow_wait, static_cast<double>(waiting_)) / rate * 1e6);
}

Refusal AdmissionQueue::make_refusal(Time now, std::size_t tenant, int class_index, std::uint64_t client,
                                     Reason reason, Micros soonest) {
    Tenant& refused_tenant = *tenants_[tenant];
    ++refused_tenant.figures.refused[static_cast<std::size_t>(reason)];
    ++refused_tenant.figures.promised;
    const double random = static_cast<double>(next_random() >> 11) / 9007199254740992.0;
    const RetrySchedule::Assignment assignment = retry_schedule_.assign(now, soonest, waiting_, random);
    const double virtual_time = refused_tenant.flows ? refused_tenant.flows->virtual_time() : 0;
    return {reason, assignment.after,
            tokens_.sign({assignment.slot, static_cast<std::uint16_t>(tenant),
                          static_cast<std::uint16_t>(class_index), static_cast<std::uint32_t>(client),
                          static_cast<float>(virtual_time)})};
}

AdmissionQueue::Arrival AdmissionQueue::enqueue(Time now, const Request& request) {
    const std::size_t tenant = std::min(request.tenant, tenants_.size() - 1);
    Tenant& tenant_state = *tenants_[tenant];
    // A request that arrives while the classes change may have an invalid index; it counts for the last
    // class, as in change().
    const int class_index = std::clamp(request.class_index, 0, static_cast<int>(classes_.size()) - 1);
    Class& request_class = classes_[static_cast<std::size_t>(class_index)];
    const std::uint64_t client =
        XXH3_64bits_withSeed(request.client.data(), request.client.size(), client_hash_key_);
    ++tenant_state.figures.came;

    std::optional<double> earliest_start;
    bool token_valid = false;
    if (!request.token.empty()) {
        const auto claim = tokens_.verify(request.token);
        token_valid = claim && claim->tenant == tenant && claim->class_index == class_index &&
                      claim->client == static_cast<std::uint32_t>(client) &&
                      retry_schedule_.in_time(now, claim->slot);
        if (token_valid) earliest_start = claim->virtual_time;
        ++(token_valid ? tenant_state.figures.returned : tenant_state.figures.ignored);
    }
    if (!token_valid) retry_schedule_.unscheduled_arrival(now);

    const auto refuse = [&](Reason reason, Micros soonest) {
        return Arrival{0, false, make_refusal(now, tenant, class_index, client, reason, soonest)};
    };
    const Micros median = micros(request_class.median);
    if (const auto limit = check_limits(now, tenant_state, request_class, client))
        return refuse(limit->first, limit->second);

    // The hint is under the client's control. The lower bound lets the scheduler's carry-over (ten of the
    // largest estimates) make up for a hint below the mean. A hint that is too high is charged to the whole
    // tenant.
    const double cost = request.cost_hint ? std::clamp(micros(*request.cost_hint), request_class.mean / 8,
                                                       request_class.mean * 32)
                                          : request_class.mean;
    // The service time that half of such requests exceed.
    const Micros service =
        micros(request_class.median * std::clamp(cost / std::max(request_class.mean, 1.0), 1.0 / 32, 32.0));
    const bool queued = waiting_ > 0 || !window_.has_room(now, false);
    std::uint32_t flow = 0;
    if (queued && !tenant_state.flows) tenant_state.flows = std::make_unique<Flows>(now, next_random());
    if (tenant_state.flows)
        flow = static_cast<std::uint32_t>(tenant_state.flows->assign_flow(now, client, cost, next_random()));
    if (queued) {
        if (draining_) return refuse(Reason::draining, median);
        if (memory_of(request) > terms_.most_bytes) return refuse(Reason::total_bytes, median);
        if (now + expected_wait(now, tenant_state, flow) + service > request.deadline)
            return refuse(Reason::too_late, median);
        if (const auto reason = evict_for(tenant, request_class.terms.worth, memory_of(request)))
            return refuse(*reason, median);
    }

    if (free_.empty()) {
        free_.push_back(static_cast<std::uint32_t>(entries_.size()));
        entries_.emplace_back();
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    Entry& entry = entries_[index];
    const std::uint32_t generation = entry.generation;
    entry = {};
    entry.generation = generation;
    entry.tenant = tenant;
    entry.flow = flow;
    entry.class_index = class_index;
    entry.client = client;
    entry.arrived = now;
    entry.latest_start = request.deadline - service;
    entry.cost = cost;
    entry.worth = request_class.terms.worth;
    entry.bytes = memory_of(request);
    entry.in_flows = tenant_state.flows != nullptr;
    const double rank = max_worth_ > 0 ? request_class.terms.worth / max_worth_ : 0;
    entry.queue_key = {now - micros(rank * micros(terms_.head_start)), ++arrivals_, index};
    ++tenant_state.limit_state.open;
    ++request_class.limit_state.open;
    if (tenant_state.flows) {
        if (const auto counter = tenant_state.flows->hitters().find(client))
            ++tenant_state.flows->hitters().at(*counter).open;
    }
    const Ticket ticket = static_cast<Ticket>(generation) << 32 | (index + 1);
    if (queued) {
        enqueue(index, earliest_start);
    } else {
        dispatch(index, now, false);
    }
    return {ticket, !queued, std::nullopt};
}

void AdmissionQueue::enqueue(std::uint32_t index, std::optional<double> earliest_start) {
    Entry& entry = entries_[index];
    Tenant& tenant_state = *tenants_[entry.tenant];
    entry.state = Entry::State::queued;
    tenant_state.flows->push(entry.flow, entry.queue_key, earliest_start);
    // The complement of the arrival number orders the latest request first among those of equal worth.
    tenant_state.by_worth.emplace(entry.worth, ~entry.queue_key.arrival, index);
    tenant_state.bytes += entry.bytes;
    latest_starts_.emplace(entry.latest_start, index);
    scheduler_.activate(entry.tenant);
    ++waiting_;
    ++tenant_state.figures.waiting;
    waiting_bytes_ += entry.bytes;
}

void AdmissionQueue::dequeue(std::uint32_t index) {
    Entry& entry = entries_[index];
    Tenant& tenant_state = *tenants_[entry.tenant];
    tenant_state.flows->remove(entry.flow, entry.queue_key);
    tenant_state.by_worth.erase({entry.worth, ~entry.queue_key.arrival, index});
    tenant_state.bytes -= entry.bytes;
    latest_starts_.erase({entry.latest_start, index});
    if (tenant_state.by_worth.empty()) scheduler_.deactivate(entry.tenant);
    --waiting_;
    --tenant_state.figures.waiting;
    waiting_bytes_ -= entry.bytes;
}

void AdmissionQueue::dispatch(std::uint32_t index, Time now, bool others_wait) {
    Entry& entry = entries_[index];
    Tenant& tenant_state = *tenants_[entry.tenant];
    (void)scheduler_.charge(entry.tenant, entry.cost);
    if (entry.in_flows) tenant_state.flows->charge(entry.flow, entry.cost);
    entry.state = Entry::State::handed;
    entry.handed = window_.dispatch(now, others_wait);
    in_flight_cost_ += entry.cost;
    ++tenant_state.figures.handed;
    tenant_state.figures.waited_seconds += micros(now - entry.arrived) / 1e6;
}

void AdmissionQueue::free_entry(std::uint32_t index) {
    Entry& entry = entries_[index];
    Tenant& tenant_state = *tenants_[entry.tenant];
    --tenant_state.limit_state.open;
    --classes_[static_cast<std::size_t>(entry.class_index)].limit_state.open;
    if (tenant_state.flows) {
        if (const auto counter = tenant_state.flows->hitters().find(entry.client)) {
            std::uint32_t& open = tenant_state.flows->hitters().at(*counter).open;
            if (open > 0) --open;
        }
    }
    entry.state = Entry::State::free;
    ++entry.generation;
    free_.push_back(index);
}

std::optional<Step> AdmissionQueue::next(Time now) {
    const auto refuse = [&](std::uint32_t index, Reason reason) {
        const Entry& entry = entries_[index];
        const Ticket ticket = static_cast<Ticket>(entry.generation) << 32 | (index + 1);
        const Micros median = micros(classes_[static_cast<std::size_t>(entry.class_index)].median);
        Step step{ticket, make_refusal(now, entry.tenant, entry.class_index, entry.client, reason, median)};
        free_entry(index);
        return step;
    };
    if (!evicted_.empty()) {
        const auto [index, reason] = evicted_.front();
        evicted_.pop_front();
        return refuse(index, reason);
    }
    if (!latest_starts_.empty() && latest_starts_.begin()->first < now) {
        const std::uint32_t index = latest_starts_.begin()->second;
        dequeue(index);
        return refuse(index, Reason::too_late);
    }
    const auto tenant = scheduler_.next();
    if (!tenant || !window_.has_room(now, true)) return std::nullopt;
    const std::uint32_t index = tenants_[*tenant]->flows->next()->second.entry;
    dispatch(index, now, true);
    dequeue(index);
    const Entry& entry = entries_[index];
    return Step{static_cast<Ticket>(entry.generation) << 32 | (index + 1), std::nullopt};
}

std::optional<Time> AdmissionQueue::next_deadline(Time now) const {
    if (!evicted_.empty()) return now;
    if (latest_starts_.empty()) return std::nullopt;
    return latest_starts_.begin()->first + Micros(1);
}

void AdmissionQueue::on_first_byte(Ticket ticket, Time now) {
    Entry* const entry = find(ticket);
    if (!entry || entry->state != Entry::State::handed) return;
    if (!entry->handed.sent) entry->sent_at = now;
    window_.sending(entry->handed);
}

std::optional<Refusal> AdmissionQueue::end(Ticket ticket, Time now, ConcurrencyWindow::End end) {
    Entry* const entry = find(ticket);
    if (!entry || entry->state != Entry::State::handed) return std::nullopt;
    Tenant& tenant_state = *tenants_[entry->tenant];
    Class& request_class = classes_[static_cast<std::size_t>(entry->class_index)];
    const double elapsed = entry->handed.sent ? micros(now - entry->sent_at) : 0;
    scheduler_.settle(entry->tenant, elapsed - entry->cost);
    if (entry->in_flows) tenant_state.flows->settle(entry->flow, elapsed - entry->cost);
    tenant_state.figures.served_seconds += elapsed / 1e6;
    if (end == ConcurrencyWindow::End::served) {
        retry_schedule_.completed(now);
        request_class.mean += (elapsed - request_class.mean) / 50;
        request_class.median += (elapsed > request_class.median ? 1 : -1) * request_class.mean / 50;
        request_class.median = std::max(request_class.median, 0.0);
    }
    window_.end(entry->handed, end);
    in_flight_cost_ = window_.in_flight() == 0 ? 0 : in_flight_cost_ - entry->cost;
    std::optional<Refusal> refused;
    if (end == ConcurrencyWindow::End::no_room) {
        refused = make_refusal(now, entry->tenant, entry->class_index, entry->client, Reason::module,
                               micros(request_class.median));
    }
    free_entry(static_cast<std::uint32_t>(ticket) - 1);
    return refused;
}

void AdmissionQueue::leave(Ticket ticket, Time now) {
    Entry* const entry = find(ticket);
    if (!entry) return;
    ++tenants_[entry->tenant]->figures.left;
    const auto index = static_cast<std::uint32_t>(ticket) - 1;
    if (entry->state == Entry::State::handed) {
        (void)end(ticket, now, ConcurrencyWindow::End::other);
    } else if (entry->state == Entry::State::queued) {
        dequeue(index);
        free_entry(index);
    } else {
        std::erase_if(evicted_, [index](const auto& each) { return each.first == index; });
        free_entry(index);
    }
}

Figures AdmissionQueue::figures(Time now) const {
    Figures figures;
    for (const auto& each : tenants_) {
        figures.tenants.push_back(each->figures);
        figures.tenants.back().open = each->limit_state.open;
        if (each->flows) figures.bytes += Flows::bytes();
    }
    figures.waiting = waiting_;
    figures.waiting_bytes = waiting_bytes_;
    figures.in_flight = window_.in_flight();
    figures.bytes += waiting_bytes_ + sizeof(AdmissionQueue) + (entries_.size() - waiting_) * sizeof(Entry);
    figures.window = window_.size();
    figures.capacity_per_s = retry_schedule_.capacity(now, {});
    figures.promised = retry_schedule_.assigned();
    figures.excess = retry_schedule_.excess();
    return figures;
}

std::size_t AdmissionQueue::most_bytes() const {
    return terms_.most_bytes + tenants_.size() * (Flows::bytes() + sizeof(Tenant)) + sizeof(AdmissionQueue) +
           entries_.size() * sizeof(Entry);
}

}  // namespace flaxdoor::door
