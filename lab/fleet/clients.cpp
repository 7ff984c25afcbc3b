#include "fleet/clients.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <cmath>

#include "fleet/network.h"

namespace flaxdoor::lab {

namespace {

// A zone or kind by its part of the whole, `place` from 0 to 1.
template <typename Kinds, typename Part>
int by_parts(const Kinds& kinds, Part part, double place) {
    double sum = 0;
    for (const auto& kind : kinds) sum += part(kind);
    place *= sum;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        place -= part(kinds[i]);
        if (place < 0) return static_cast<int>(i);
    }
    return static_cast<int>(kinds.size()) - 1;
}

constexpr std::uint64_t packed(const Answer& answer) {
    return static_cast<std::uint64_t>(answer.retry_after.count()) << 2U |
           static_cast<std::uint64_t>(answer.verdict);
}

}  // namespace

Clients::Clients(Parts& parts) : parts_(parts) {
    const Experiment& e = parts.experiment;
    front_.resize(e.fleet.zones.size());
    flood_.assign(e.tenants.size(), 1);
    heavier_.assign(e.classes.size(), 1);
    const int units = e.postgres.rate > 0 ? std::max(1, e.clients.count / 20) : 0;
    each_rate_ = e.clients.rate / e.clients.count;
    postgres_rate_ = units > 0 ? e.postgres.rate / units : 0;
    for (int i = 0; i < e.clients.count + units; ++i) {
        Client client{.stream = Stream(e.seed, Whose::client, static_cast<std::uint64_t>(i))};
        // The middle of its part: zones and tenants are dealt out evenly, whatever the number of clients.
        const double place = client.stream.share();
        client.zone = by_parts(
            e.fleet.zones, [](const Zone& z) { return z.traffic; }, place);
        const double tenant = client.stream.share();
        if (!e.tenants.empty()) {
            client.tenant = by_parts(
                e.tenants, [](const TenantKind& t) { return t.share; }, tenant);
        }
        client.postgres = i >= e.clients.count;
        clients_.push_back(client);
    }
    // Arrivals are drawn at the greatest rate that the timetable ever wants and thinned to that of the
    // moment.
    double most = 1;
    for (const double part : e.clients.shape) most = std::max(most, part);
    for (const Trouble& trouble : e.troubles) {
        if (trouble.kind == Trouble::Kind::burst || trouble.kind == Trouble::Kind::tenant_flood) {
            most *= std::max(1.0, trouble.size);
        }
    }
    most_factor_ = most;
}

double Clients::factor_now(const Client& client) const {
    const Experiment& e = parts_.experiment;
    double factor = burst_;
    if (client.tenant >= 0) factor *= flood_[static_cast<std::size_t>(client.tenant)];
    if (!e.clients.shape.empty()) {
        const double part = static_cast<double>((parts_.now() - Parts::begins).count()) /
                            static_cast<double>(e.lasts.count());
        const auto place = static_cast<std::size_t>(part * static_cast<double>(e.clients.shape.size()));
        factor *= e.clients.shape[std::min(place, e.clients.shape.size() - 1)];
    }
    return factor;
}

void Clients::begin() {
    for (std::uint32_t i = 0; i < clients_.size(); ++i) plan_next(i);
}

void Clients::plan_next(std::uint32_t number) {
    Client& client = clients_[number];
    const double rate = (client.postgres ? postgres_rate_ : each_rate_) * most_factor_ / 1e6;
    if (rate <= 0) return;
    const double wait = boost::random::exponential_distribution<>(rate)(client.stream);
    if (wait > 1e14) return;
    const Time at = parts_.now() + Micros(static_cast<std::int64_t>(wait));
    if (at < Parts::begins + parts_.experiment.lasts) parts_.scheduler.set(at, What::client_calls, number);
}

void Clients::calls(std::uint32_t number) {
    Client& client = clients_[number];
    const double kept = client.stream.share();
    const double factor = factor_now(client);
    plan_next(number);
    if (kept * most_factor_ >= factor) return;
    const Experiment& e = parts_.experiment;
    Try next;
    // A client's calls have their numbers by themselves: another client's do not shift them.
    next.first = (std::uint64_t{number} + 1) << 32U | ++client.calls;
    next.client = number;
    next.tenant = client.tenant;
    if (client.postgres) {
        Stream stream(e.seed, Whose::call, next.first);
        next.class_index = static_cast<int>(e.classes.size());
        next.work = drawn(e.postgres.work, stream);
    } else {
        const DrawnCall call = draw_call(e, next.first);
        next.class_index = call.class_index;
        const double heavier = heavier_[static_cast<std::size_t>(next.class_index)];
        next.work =
            Micros(std::max<std::int64_t>(1, std::llround(static_cast<double>(call.work.count()) * heavier)));
        next.key = call.key;
    }
    send(next);
}

void Clients::send(Try next) {
    const Experiment& e = parts_.experiment;
    const Client& client = clients_[next.client];
    // Three bits of a call's number are its try's.
    next.call = next.first << 3U | static_cast<std::uint64_t>(next.number);
    Stream stream = stream_of_try(e.seed, next.first, next.number);
    const Micros deadline = client.postgres
                                ? e.postgres.deadline
                                : e.classes[static_cast<std::size_t>(next.class_index)].told.deadline;
    const DrawnTry its = draw_try(e.clients, deadline, stream);
    next.asked = parts_.now();
    next.gives_up = next.asked + its.patience;
    const bool leaves = its.leaves.has_value();
    if (leaves) next.leaves = next.asked + *its.leaves;
    // A zone without a balancer: the layer sends to any.
    const std::vector<std::uint32_t>* front = &front_[static_cast<std::size_t>(client.zone)];
    for (std::size_t z = 0; front->empty() && z < front_.size(); ++z) front = &front_[z];
    const bool nobody = front->empty();
    next.balancer =
        nobody ? 0 : (*front)[static_cast<std::size_t>(its.pick * static_cast<double>(front->size()))];
    const Asked asked{static_cast<std::uint8_t>(next.class_index), static_cast<std::uint8_t>(client.zone),
                      static_cast<std::uint16_t>(std::max(0, next.tenant)), next.key};
    parts_.note(Event::asked, next.client, next.balancer, next.call,
                static_cast<std::uint64_t>((next.gives_up - next.asked).count()), asked.packed());
    if (next.number > 0) {
        parts_.note(Event::repeats, next.client, next.balancer, next.call,
                    next.first << 3U | (next.number - 1U));
    }
    const std::uint32_t balancer = next.balancer, of = next.client;
    // On a grid the request comes up to a step late and so does the balancer's alarm: the client goes after both, as it does
    // where there is none.
    const Time leaves_at = next.leaves, gives_up = next.gives_up + 2 * e.grid;
    const Micros way = parts_.network->way(client.zone, parts_.balancers->zone(balancer), stream);
    const std::uint64_t handle = tries_.add(std::move(next));
    if (nobody) return parts_.scheduler.set(parts_.now(), What::try_broken, of, handle);
    parts_.scheduler.set(parts_.now() + way, What::try_comes, balancer, handle);
    parts_.scheduler.set(leaves ? std::min(leaves_at, gives_up) : gives_up, What::try_given_up, of, handle);
}

void Clients::comes(std::uint32_t balancer, std::uint64_t handle) {
    Try* const its = find(handle);
    if (!its) return;
    its->process = parts_.balancers->process(balancer);
    if (parts_.balancers->takes(balancer, handle, *its)) return;
    parts_.scheduler.set(parts_.now(), What::try_broken, its->client, handle);
}

void Clients::send_back(std::uint64_t handle, const Answer& answer) {
    const Try* const its = find(handle);
    if (!its) return;
    Stream stream(parts_.seed(), Whose::network, its->call);
    const Micros way =
        parts_.network->way(parts_.balancers->zone(its->balancer), clients_[its->client].zone, stream);
    parts_.scheduler.set(parts_.now() + way, What::try_answered, its->client, handle, packed(answer));
}

void Clients::break_off(std::uint64_t handle) {
    const Try* const its = find(handle);
    if (its) parts_.scheduler.set(parts_.now(), What::try_broken, its->client, handle, 1);
}

void Clients::answered(std::uint32_t client, std::uint64_t handle, std::uint64_t answer) {
    const Try* const its = find(handle);
    if (!its) return;
    const auto verdict = static_cast<Verdict>(answer & 3U);
    const Micros retry_after(static_cast<std::int64_t>(answer >> 2U));
    parts_.note(Event::received, client, its->balancer, its->call, static_cast<std::uint64_t>(verdict),
                static_cast<std::uint64_t>(retry_after.count()));
    const Try over = *its;
    tries_.erase(handle);
    if (verdict != Verdict::served) again(over, verdict == Verdict::refused, retry_after);
}

void Clients::broken(std::uint32_t client, std::uint64_t handle) {
    const Try* const its = find(handle);
    if (!its) return;
    parts_.note(Event::unreached, client, its->balancer, its->call);
    const Try over = *its;
    tries_.erase(handle);
    again(over, false, Micros{0});
}

void Clients::given_up(std::uint32_t client, std::uint64_t handle) {
    const Try* const its = find(handle);
    if (!its) return;
    parts_.note(Event::gave_up, client, its->balancer, its->call);
    const Try over = *its;
    tries_.erase(handle);
    // Its balancer learns of it: the connection closes.
    Stream stream(parts_.seed(), Whose::network, over.call, 1);
    const Micros way =
        parts_.network->way(clients_[client].zone, parts_.balancers->zone(over.balancer), stream);
    parts_.scheduler.set(parts_.now() + way, What::try_left, over.balancer, handle);
    again(over, false, Micros{0});
}

void Clients::again(const Try& over, bool refused, Micros retry_after) {
    const bool unit = static_cast<std::size_t>(over.class_index) >= parts_.experiment.classes.size();
    const bool unsafe =
        unit || parts_.experiment.classes[static_cast<std::size_t>(over.class_index)].told.effect ==
                    flaxdoor::Effect::unsafe;
    const auto wait = asks_again(parts_.experiment.clients, parts_.seed(),
                                 {over.call, static_cast<int>(over.number), unsafe, refused, retry_after});
    if (!wait) return;
    Try next = over;
    ++next.number;
    const std::uint64_t handle = tries_.add(next);
    parts_.scheduler.set(parts_.now() + *wait, What::client_repeats, over.client, handle);
}

void Clients::repeats(std::uint32_t, std::uint64_t handle) {
    const Try next = *find(handle);
    tries_.erase(handle);
    if (parts_.now() < Parts::begins + parts_.experiment.lasts) send(next);
}

void Clients::front_takes(std::uint32_t balancer) {
    auto& front = front_[static_cast<std::size_t>(parts_.balancers->zone(balancer))];
    const auto place = std::lower_bound(front.begin(), front.end(), balancer);
    if (place == front.end() || *place != balancer) front.insert(place, balancer);
}

void Clients::front_forgets(std::uint32_t balancer) {
    auto& front = front_[static_cast<std::size_t>(parts_.balancers->zone(balancer))];
    std::erase(front, balancer);
}

}  // namespace flaxdoor::lab
