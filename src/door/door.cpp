#include "door/door.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace flaxdoor::door {

namespace {

constexpr std::size_t most_tenants = 256;
// What one that waits holds of the door besides its own bytes: its entry, and a node in each of three sets.
constexpr std::size_t node_bytes = 3 * 72;

double micros(Micros span) { return static_cast<double>(span.count()); }
// Beyond thirty years, or no number: so long. Sums of such spans and a time don't overflow.
constexpr double longest_span = 1e15;
Micros micros(double span) {
    return Micros(
        static_cast<Micros::rep>(span < longest_span ? std::max(span, -longest_span) : longest_span));
}

void check(const Limits& limits, const std::string& whose) {
    if (limits.per_s < 0) throw std::invalid_argument(whose + ": a rate is 0 (none) or above");
    if (limits.per_s > 0 && limits.burst < 1) throw std::invalid_argument(whose + ": a burst is 1 or above");
}

void check(const Terms& terms) {
    if (terms.tenants.size() > most_tenants) throw std::invalid_argument("more than 256 tenants");
    if (terms.classes.empty()) throw std::invalid_argument("no class");
    std::set<std::string_view> names;
    for (const TenantTerms& each : terms.tenants) {
        if (!names.insert(each.name).second)
            throw std::invalid_argument("tenant " + each.name + " is named twice");
        if (!(each.weight > 0)) throw std::invalid_argument("tenant " + each.name + ": a weight is above 0");
        check(each.limits, "tenant " + each.name);
    }
    if (!(terms.others.weight > 0)) throw std::invalid_argument("others: a weight is above 0");
    check(terms.others.limits, "others");
    for (const ClassTerms& each : terms.classes) check(each.limits, "class " + each.name);
    check(terms.client, "client");
    if (terms.most_entries == 0) throw std::invalid_argument("no entries");
}

// A token bucket kept as the time until which it is paid for. Pays for one more; else says how long until then.
std::optional<Micros> pay(const Limits& limits, Time& paid_until, Time now) {
    if (limits.per_s <= 0) return std::nullopt;
    const Micros one = micros(1e6 / limits.per_s);
    const Micros most = micros(1e6 / limits.per_s * limits.burst);
    const Time from = std::max(paid_until, now);
    if (from + one - now > most) return from + one - now - most;
    paid_until = from + one;
    return std::nullopt;
}

}  // namespace

const char* text_of(Reason reason) {
    constexpr std::array<const char*, reasons> texts{
        "total_entries", "total_bytes", "gave_way",   "tenant_open", "tenant_rate", "client_open",
        "client_rate",   "class_open",  "class_rate", "too_late",    "draining",    "module"};
    return texts[static_cast<std::size_t>(reason)];
}

struct Door::Entry {
    enum class State { free, waits, gives_way, handed };
    State state = State::free;
    std::uint32_t generation = 0;
    std::uint32_t flow = 0;
    int class_index = 0;
    std::size_t tenant = 0;
    std::uint64_t client = 0;
    Flows::Waiting place;
    Time came{};
    Time point{};
    Time sent_at{};
    double cost = 0;
    double worth = 0;  // when it came: it stands under it, also where it was changed meanwhile
    std::size_t bytes = 0;
    bool in_flows = false;  // charged there too
    Window::Handed handed;
};

struct Door::Tenant {
    TenantTerms terms;
    Lane lane;
    std::unique_ptr<Flows> flows;  // made when it first waits
    // What waits, worth least and latest first.
    std::set<std::tuple<double, std::uint64_t, std::uint32_t>> least;
    std::size_t bytes = 0;
    TenantFigures figures;
};

struct Door::Class {
    ClassTerms terms;
    Lane lane;
    double mean = 0;    // of service, in microseconds
    double median = 0;  // by steps of a fiftieth
};

Door::~Door() = default;

Door::Door(Terms terms, Time now, std::uint64_t seed, const Tokens::Secret& secret)
    : drawn_(seed), client_key_(0), tokens_(secret), window_(terms.patience), book_(terms.book) {
    client_key_ = draw();
    change(std::move(terms), now);
}

// SplitMix64 (Steele, Lea, Flood 2014).
std::uint64_t Door::draw() {
    std::uint64_t z = (drawn_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

void Door::change(Terms terms, Time now) {
    check(terms);
    std::vector<std::unique_ptr<Tenant>> tenants;
    Scheduler scheduler(terms.tenants.size() + 1);
    const auto old_place = [&](const std::string& name) -> std::optional<std::size_t> {
        for (std::size_t i = 0; i + 1 < tenants_.size(); ++i) {
            if (tenants_[i] && tenants_[i]->terms.name == name) return i;
        }
        return std::nullopt;
    };
    // What is known of a tenant goes along with its name; its tags begin anew, at one virtual time for all.
    std::vector<std::size_t> moved(tenants_.size(), terms.tenants.size());
    weights_ = 0;
    for (std::size_t i = 0; i <= terms.tenants.size(); ++i) {
        const bool last = i == terms.tenants.size();
        const TenantTerms& its = last ? terms.others : terms.tenants[i];
        const auto old = last ? (tenants_.empty() ? std::nullopt : std::optional(tenants_.size() - 1))
                              : old_place(its.name);
        tenants.push_back(old ? std::move(tenants_[*old]) : std::make_unique<Tenant>());
        if (old) moved[*old] = i;
        tenants.back()->terms = its;
        tenants.back()->figures.name = its.name;
        scheduler.set_weight(i, its.weight);
        weights_ += its.weight;
    }
    std::vector<std::unique_ptr<Tenant>> gone;
    for (auto& each : tenants_) {
        if (each) gone.push_back(std::move(each));
    }
    tenants_ = std::move(tenants);
    scheduler_ = std::move(scheduler);
    // Classes as well; one that is gone counts for the last.
    std::vector<Class> classes(terms.classes.size());
    std::vector<int> class_moved;
    for (const Class& each : classes_) {
        const auto place = place_of(terms.classes, each.terms.name);
        class_moved.push_back(static_cast<int>(place.value_or(classes.size() - 1)));
        if (place && classes[*place].mean == 0) classes[*place] = each;
    }
    classes_ = std::move(classes);
    most_worth_ = 0;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        if (classes_[i].mean == 0) classes_[i].mean = classes_[i].median = micros(terms.classes[i].service);
        classes_[i].terms = terms.classes[i];
        most_worth_ = std::max(most_worth_, terms.classes[i].worth);
    }
    if (!(terms_.book == terms.book)) book_ = Book(terms.book);
    terms_ = std::move(terms);
    const std::size_t others = tenants_.size() - 1;
    for (Class& each : classes_) each.lane.open = 0;
    for (std::uint32_t at = 0; at < entries_.size(); ++at) {
        Entry& entry = entries_[at];
        if (entry.state == Entry::State::free) continue;
        const std::size_t place = moved[entry.tenant];
        entry.class_index = class_moved[static_cast<std::size_t>(entry.class_index)];
        ++classes_[static_cast<std::size_t>(entry.class_index)].lane.open;
        const bool homeless = place == others && entry.tenant + 1 != moved.size();
        entry.tenant = place;
        if (!homeless) continue;
        Tenant& its = *tenants_[others];
        ++its.lane.open;
        entry.in_flows = false;
        if (entry.state != Entry::State::waits) continue;
        if (!its.flows) its.flows = std::make_unique<Flows>(now, draw());
        entry.flow = static_cast<std::uint32_t>(its.flows->place(now, entry.client, entry.cost, draw()));
        its.flows->push(entry.flow, entry.place, {});
        its.least.emplace(entry.worth, ~entry.place.arrival, at);
        its.bytes += entry.bytes;
        ++its.figures.waiting;
    }
    for (std::size_t i = 0; i < tenants_.size(); ++i) {
        if (!tenants_[i]->least.empty()) scheduler_.wake(i);
    }
}

Door::Entry* Door::find(Ticket ticket) {
    const auto at = static_cast<std::uint32_t>(ticket) - 1;
    if (at >= entries_.size()) return nullptr;
    Entry& entry = entries_[at];
    return entry.state != Entry::State::free && entry.generation == ticket >> 32 ? &entry : nullptr;
}

std::size_t Door::held_bytes(const Request& request) const {
    return request.bytes + sizeof(Entry) + node_bytes;
}

std::optional<std::pair<Reason, Micros>> Door::over_limits(Time now, Tenant& tenant, Class& its,
                                                           std::uint64_t client) {
    const auto open = [](const Limits& limits, std::uint32_t count) {
        return limits.open != 0 && count >= limits.open;
    };
    const Micros soon = micros(its.median);
    if (open(tenant.terms.limits, tenant.lane.open)) return std::pair(Reason::tenant_open, soon);
    if (open(its.terms.limits, its.lane.open)) return std::pair(Reason::class_open, soon);
    if (terms_.client.open != 0 || terms_.client.per_s > 0) {
        if (!tenant.flows) tenant.flows = std::make_unique<Flows>(now, draw());
        HeavyHitters& hitters = tenant.flows->hitters();
        // One that is refused is counted too, else a counter of it would go to another.
        const std::size_t place = hitters.find(client).value_or(HeavyHitters::counters);
        if (place != HeavyHitters::counters) {
            HeavyHitters::Counter& counter = hitters.at(place);
            if (open(terms_.client, counter.open)) return std::pair(Reason::client_open, soon);
            if (const auto until = pay(terms_.client, counter.paid_until, now)) {
                (void)hitters.add(client, its.mean);
                return std::pair(Reason::client_rate, *until);
            }
        }
    }
    if (const auto until = pay(tenant.terms.limits, tenant.lane.paid_until, now))
        return std::pair(Reason::tenant_rate, *until);
    if (const auto until = pay(its.terms.limits, its.lane.paid_until, now))
        return std::pair(Reason::class_rate, *until);
    return std::nullopt;
}

double Door::over_share(const Tenant& tenant, std::size_t entries, std::size_t bytes) const {
    const double share = tenant.terms.weight / weights_;
    return std::max(static_cast<double>(entries) / static_cast<double>(terms_.most_entries),
                    static_cast<double>(bytes) / static_cast<double>(terms_.most_bytes)) /
           share;
}

// With the door full, the tenant furthest over its share gives way, by its request that is worth least, latest;
// where that would be the one that comes, it is refused.
std::optional<Reason> Door::make_room(std::size_t tenant, double worth, std::size_t bytes) {
    // Where the limits fell while more waited, one takes another's place and the rest goes on waiting.
    const std::size_t most_entries = std::max(terms_.most_entries, waiting_);
    const std::size_t most_bytes = std::max(terms_.most_bytes, waiting_bytes_);
    if (waiting_ < most_entries && waiting_bytes_ + bytes <= most_bytes) return std::nullopt;
    // Weighed first and done then: nobody gives way to one that is refused after all.
    struct Left {
        std::size_t entries, bytes;
        decltype(Tenant::least)::const_iterator next;
    };
    std::vector<Left> left;
    left.reserve(tenants_.size());
    for (const auto& each : tenants_) left.push_back({each->least.size(), each->bytes, each->least.begin()});
    std::vector<std::uint32_t> give_way;
    std::size_t entries = waiting_, all_bytes = waiting_bytes_;
    while (entries >= most_entries || all_bytes + bytes > most_bytes) {
        const Reason reason = entries >= most_entries ? Reason::total_entries : Reason::total_bytes;
        std::size_t furthest = tenant;
        double most = over_share(*tenants_[tenant], left[tenant].entries + 1, left[tenant].bytes + bytes);
        for (std::size_t i = 0; i < tenants_.size(); ++i) {
            const double over = over_share(*tenants_[i], left[i].entries, left[i].bytes);
            if (over > most && left[i].entries > 0) {
                most = over;
                furthest = i;
            }
        }
        Left& its = left[furthest];
        if (its.entries == 0) return reason;
        if (furthest == tenant && worth <= std::get<0>(*its.next)) return reason;
        const std::uint32_t at = std::get<2>(*its.next);
        give_way.push_back(at);
        ++its.next;
        --its.entries;
        its.bytes -= entries_[at].bytes;
        --entries;
        all_bytes -= entries_[at].bytes;
    }
    for (const std::uint32_t at : give_way) {
        stop_waiting(at);
        entries_[at].state = Entry::State::gives_way;
        giving_way_.emplace_back(at, Reason::gave_way);
    }
    return std::nullopt;
}

// By calls, of equal cost: its flow's turn comes once in a round of the tenant's busy flows, and the tenant's
// by its weight among the busy ones; never more than all that waits.
Micros Door::expected_wait(Time now, const Tenant& tenant, std::size_t flow) const {
    // By Little's law, where completions don't tell yet what there is room for.
    const double in_flight = static_cast<double>(window_.in_flight());
    const double by_flight = in_flight * in_flight / std::max(flight_cost_, 1.0) * 1e6;
    const double rate = std::max(book_.capacity(now, {}), by_flight);
    if (rate <= 0) return {};
    const double busy = tenant.flows->busy() + (tenant.flows->waiting(flow) == 0 ? 1 : 0);
    const double weights = scheduler_.weight_awake() + (tenant.least.empty() ? tenant.terms.weight : 0);
    const double turn =
        static_cast<double>(tenant.flows->waiting(flow)) * busy * weights / tenant.terms.weight;
    return micros(std::min(turn, static_cast<double>(waiting_)) / rate * 1e6);
}

Refusal Door::refusal(Time now, std::size_t tenant, int class_index, std::uint64_t client, Reason reason,
                      Micros soonest) {
    Tenant& its = *tenants_[tenant];
    ++its.figures.refused[static_cast<std::size_t>(reason)];
    ++its.figures.promised;
    const double drawn = static_cast<double>(draw() >> 11) / 9007199254740992.0;
    const Book::Told told = book_.promise(now, soonest, waiting_, drawn);
    const double stamp = its.flows ? its.flows->virtual_time() : 0;
    return {
        reason, told.after,
        tokens_.seal({told.slot, static_cast<std::uint16_t>(tenant), static_cast<std::uint16_t>(class_index),
                      static_cast<std::uint32_t>(client), static_cast<float>(stamp)})};
}

Door::Arrival Door::arrive(Time now, const Request& request) {
    const std::size_t tenant = std::min(request.tenant, tenants_.size() - 1);
    Tenant& its = *tenants_[tenant];
    // One that came just as the classes change: as change() does.
    const int class_index = std::clamp(request.class_index, 0, static_cast<int>(classes_.size()) - 1);
    Class& of_class = classes_[static_cast<std::size_t>(class_index)];
    const std::uint64_t client =
        XXH3_64bits_withSeed(request.client.data(), request.client.size(), client_key_);
    ++its.figures.came;

    std::optional<double> no_earlier;
    bool promised = false;
    if (!request.token.empty()) {
        const auto told = tokens_.open(request.token);
        promised = told && told->tenant == tenant && told->class_index == class_index &&
                   told->client == static_cast<std::uint32_t>(client) && book_.in_time(now, told->slot);
        if (promised) no_earlier = told->stamp;
        ++(promised ? its.figures.returned : its.figures.unheeded);
    }
    if (!promised) book_.came_untold(now);

    const auto refuse = [&](Reason reason, Micros soonest) {
        return Arrival{0, false, refusal(now, tenant, class_index, client, reason, soonest)};
    };
    const Micros median = micros(of_class.median);
    if (const auto over = over_limits(now, its, of_class, client)) return refuse(over->first, over->second);

    // What was told is the client's word. Too little: the least that still lets what is carried (ten of the
    // largest estimates) make up for the mean. Too much: it is charged to the whole tenant.
    const double cost = request.cost_hint
                            ? std::clamp(micros(*request.cost_hint), of_class.mean / 8, of_class.mean * 32)
                            : of_class.mean;
    // What it will take at least half of the time.
    const Micros service =
        micros(of_class.median * std::clamp(cost / std::max(of_class.mean, 1.0), 1.0 / 32, 32.0));
    const bool waits = waiting_ > 0 || !window_.room(now, false);
    std::uint32_t flow = 0;
    if (waits && !its.flows) its.flows = std::make_unique<Flows>(now, draw());
    if (its.flows) flow = static_cast<std::uint32_t>(its.flows->place(now, client, cost, draw()));
    if (waits) {
        if (draining_) return refuse(Reason::draining, median);
        if (held_bytes(request) > terms_.most_bytes) return refuse(Reason::total_bytes, median);
        if (now + expected_wait(now, its, flow) + service > request.deadline)
            return refuse(Reason::too_late, median);
        if (const auto reason = make_room(tenant, of_class.terms.worth, held_bytes(request)))
            return refuse(*reason, median);
    }

    if (free_.empty()) {
        free_.push_back(static_cast<std::uint32_t>(entries_.size()));
        entries_.emplace_back();
    }
    const std::uint32_t at = free_.back();
    free_.pop_back();
    Entry& entry = entries_[at];
    const std::uint32_t generation = entry.generation;
    entry = {};
    entry.generation = generation;
    entry.tenant = tenant;
    entry.flow = flow;
    entry.class_index = class_index;
    entry.client = client;
    entry.came = now;
    entry.point = request.deadline - service;
    entry.cost = cost;
    entry.worth = of_class.terms.worth;
    entry.bytes = held_bytes(request);
    entry.in_flows = its.flows != nullptr;
    const double rank = most_worth_ > 0 ? of_class.terms.worth / most_worth_ : 0;
    entry.place = {now - micros(rank * micros(terms_.head_start)), ++arrivals_, at};
    ++its.lane.open;
    ++of_class.lane.open;
    if (its.flows) {
        if (const auto counter = its.flows->hitters().find(client)) ++its.flows->hitters().at(*counter).open;
    }
    const Ticket ticket = static_cast<Ticket>(generation) << 32 | (at + 1);
    if (waits) {
        wait(at, no_earlier);
    } else {
        hand(at, now, false);
    }
    return {ticket, !waits, std::nullopt};
}

void Door::wait(std::uint32_t at, std::optional<double> no_earlier) {
    Entry& entry = entries_[at];
    Tenant& its = *tenants_[entry.tenant];
    entry.state = Entry::State::waits;
    its.flows->push(entry.flow, entry.place, no_earlier);
    // Behind those of equal worth that came before: the latest goes first.
    its.least.emplace(entry.worth, ~entry.place.arrival, at);
    its.bytes += entry.bytes;
    points_.emplace(entry.point, at);
    scheduler_.wake(entry.tenant);
    ++waiting_;
    ++its.figures.waiting;
    waiting_bytes_ += entry.bytes;
}

void Door::stop_waiting(std::uint32_t at) {
    Entry& entry = entries_[at];
    Tenant& its = *tenants_[entry.tenant];
    its.flows->remove(entry.flow, entry.place);
    its.least.erase({entry.worth, ~entry.place.arrival, at});
    its.bytes -= entry.bytes;
    points_.erase({entry.point, at});
    if (its.least.empty()) scheduler_.rest(entry.tenant);
    --waiting_;
    --its.figures.waiting;
    waiting_bytes_ -= entry.bytes;
}

void Door::hand(std::uint32_t at, Time now, bool others_wait) {
    Entry& entry = entries_[at];
    Tenant& its = *tenants_[entry.tenant];
    (void)scheduler_.charge(entry.tenant, entry.cost);
    if (entry.in_flows) its.flows->charge(entry.flow, entry.cost);
    entry.state = Entry::State::handed;
    entry.handed = window_.hand_over(now, others_wait);
    flight_cost_ += entry.cost;
    ++its.figures.handed;
    its.figures.waited_seconds += micros(now - entry.came) / 1e6;
}

void Door::close(std::uint32_t at) {
    Entry& entry = entries_[at];
    Tenant& its = *tenants_[entry.tenant];
    --its.lane.open;
    --classes_[static_cast<std::size_t>(entry.class_index)].lane.open;
    if (its.flows) {
        if (const auto counter = its.flows->hitters().find(entry.client)) {
            std::uint32_t& open = its.flows->hitters().at(*counter).open;
            if (open > 0) --open;
        }
    }
    entry.state = Entry::State::free;
    ++entry.generation;
    free_.push_back(at);
}

std::optional<Step> Door::next(Time now) {
    const auto refuse = [&](std::uint32_t at, Reason reason) {
        const Entry& entry = entries_[at];
        const Ticket ticket = static_cast<Ticket>(entry.generation) << 32 | (at + 1);
        const Micros median = micros(classes_[static_cast<std::size_t>(entry.class_index)].median);
        Step step{ticket, refusal(now, entry.tenant, entry.class_index, entry.client, reason, median)};
        close(at);
        return step;
    };
    if (!giving_way_.empty()) {
        const auto [at, reason] = giving_way_.front();
        giving_way_.pop_front();
        return refuse(at, reason);
    }
    if (!points_.empty() && points_.begin()->first < now) {
        const std::uint32_t at = points_.begin()->second;
        stop_waiting(at);
        return refuse(at, Reason::too_late);
    }
    const auto tenant = scheduler_.next();
    if (!tenant || !window_.room(now, true)) return std::nullopt;
    const std::uint32_t at = tenants_[*tenant]->flows->next()->second.entry;
    hand(at, now, true);
    stop_waiting(at);
    const Entry& entry = entries_[at];
    return Step{static_cast<Ticket>(entry.generation) << 32 | (at + 1), std::nullopt};
}

std::optional<Time> Door::next_due(Time now) const {
    if (!giving_way_.empty()) return now;
    if (points_.empty()) return std::nullopt;
    return points_.begin()->first + Micros(1);
}

void Door::sending(Ticket ticket, Time now) {
    Entry* const entry = find(ticket);
    if (!entry || entry->state != Entry::State::handed) return;
    if (!entry->handed.sent) entry->sent_at = now;
    window_.sending(entry->handed);
}

std::optional<Refusal> Door::end(Ticket ticket, Time now, Window::End end) {
    Entry* const entry = find(ticket);
    if (!entry || entry->state != Entry::State::handed) return std::nullopt;
    Tenant& its = *tenants_[entry->tenant];
    Class& of_class = classes_[static_cast<std::size_t>(entry->class_index)];
    const double took = entry->handed.sent ? micros(now - entry->sent_at) : 0;
    scheduler_.settle(entry->tenant, took - entry->cost);
    if (entry->in_flows) its.flows->settle(entry->flow, took - entry->cost);
    its.figures.served_seconds += took / 1e6;
    if (end == Window::End::served) {
        book_.completed(now);
        of_class.mean += (took - of_class.mean) / 50;
        of_class.median += (took > of_class.median ? 1 : -1) * of_class.mean / 50;
        of_class.median = std::max(of_class.median, 0.0);
    }
    window_.end(entry->handed, end);
    flight_cost_ = window_.in_flight() == 0 ? 0 : flight_cost_ - entry->cost;
    std::optional<Refusal> told;
    if (end == Window::End::no_room) {
        told = refusal(now, entry->tenant, entry->class_index, entry->client, Reason::module,
                       micros(of_class.median));
    }
    close(static_cast<std::uint32_t>(ticket) - 1);
    return told;
}

void Door::leave(Ticket ticket, Time now) {
    Entry* const entry = find(ticket);
    if (!entry) return;
    ++tenants_[entry->tenant]->figures.left;
    const auto at = static_cast<std::uint32_t>(ticket) - 1;
    if (entry->state == Entry::State::handed) {
        (void)end(ticket, now, Window::End::other);
    } else if (entry->state == Entry::State::waits) {
        stop_waiting(at);
        close(at);
    } else {
        std::erase_if(giving_way_, [at](const auto& each) { return each.first == at; });
        close(at);
    }
}

Figures Door::figures(Time now) const {
    Figures all;
    for (const auto& each : tenants_) {
        all.tenants.push_back(each->figures);
        all.tenants.back().open = each->lane.open;
        if (each->flows) all.bytes += Flows::bytes();
    }
    all.waiting = waiting_;
    all.waiting_bytes = waiting_bytes_;
    all.in_flight = window_.in_flight();
    all.bytes += waiting_bytes_ + sizeof(Door) + (entries_.size() - waiting_) * sizeof(Entry);
    all.window = window_.size();
    all.capacity_per_s = book_.capacity(now, {});
    all.promised = book_.promised();
    all.excess = book_.excess();
    return all;
}

std::size_t Door::most_bytes() const {
    return terms_.most_bytes + tenants_.size() * (Flows::bytes() + sizeof(Tenant)) + sizeof(Door) +
           entries_.size() * sizeof(Entry);
}

}  // namespace flaxdoor::door
