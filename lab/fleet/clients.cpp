#include "fleet/clients.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <cmath>

#include "fleet/network.h"

namespace flaxdoor::lab {

namespace {

// Returns the index of the item at `position` (from 0 to 1) of the cumulated weights.
template <typename Items, typename Weight>
int index_by_weight(const Items& items, Weight weight, double position) {
    double sum = 0;
    for (const auto& item : items) sum += weight(item);
    position *= sum;
    for (std::size_t index = 0; index < items.size(); ++index) {
        position -= weight(items[index]);
        if (position < 0) return static_cast<int>(index);
    }
    return static_cast<int>(items.size()) - 1;
}

constexpr std::uint64_t packed(const Answer& answer) {
    return static_cast<std::uint64_t>(answer.retry_after.count()) << 2U |
           static_cast<std::uint64_t>(answer.verdict);
}

}  // namespace

Clients::Clients(Parts& parts) : parts_(parts) {
    const Experiment& experiment = parts.experiment;
    balancers_by_zone_.resize(experiment.fleet.zones.size());
    tenant_factors_.assign(experiment.tenants.size(), 1);
    class_work_factors_.assign(experiment.classes.size(), 1);
    const int postgres_clients =
        experiment.postgres.rate > 0 ? std::max(1, experiment.clients.count / 20) : 0;
    rate_per_client_ = experiment.clients.rate / experiment.clients.count;
    postgres_rate_ = postgres_clients > 0 ? experiment.postgres.rate / postgres_clients : 0;
    for (int i = 0; i < experiment.clients.count + postgres_clients; ++i) {
        Client client{.stream = Stream(experiment.seed, Whose::client, static_cast<std::uint64_t>(i))};
        // Every client draws its zone and tenant from its own stream, so that they do not depend on the number of clients.
        const double place = client.stream.share();
        client.zone = index_by_weight(
            experiment.fleet.zones, [](const Zone& z) { return z.traffic; }, place);
        const double tenant = client.stream.share();
        if (!experiment.tenants.empty()) {
            client.tenant = index_by_weight(
                experiment.tenants, [](const TenantKind& t) { return t.share; }, tenant);
        }
        client.postgres = i >= experiment.clients.count;
        clients_.push_back(client);
    }
    // Arrivals are drawn at the highest rate of the whole timetable. calls() thins them to the current rate.
    double max_factor = 1;
    for (const double part : experiment.clients.shape) max_factor = std::max(max_factor, part);
    for (const Trouble& trouble : experiment.troubles) {
        if (trouble.kind == Trouble::Kind::burst || trouble.kind == Trouble::Kind::tenant_flood) {
            max_factor *= std::max(1.0, trouble.size);
        }
    }
    max_rate_factor_ = max_factor;
}

double Clients::rate_factor(const Client& client) const {
    const Experiment& experiment = parts_.experiment;
    double factor = burst_factor_;
    if (client.tenant >= 0) factor *= tenant_factors_[static_cast<std::size_t>(client.tenant)];
    if (!experiment.clients.shape.empty()) {
        const double part = static_cast<double>((parts_.now() - Parts::begins).count()) /
                            static_cast<double>(experiment.lasts.count());
        const auto place =
            static_cast<std::size_t>(part * static_cast<double>(experiment.clients.shape.size()));
        factor *= experiment.clients.shape[std::min(place, experiment.clients.shape.size() - 1)];
    }
    return factor;
}

void Clients::begin() {
    for (std::uint32_t i = 0; i < clients_.size(); ++i) plan_next(i);
}

void Clients::plan_next(std::uint32_t number) {
    Client& client = clients_[number];
    const double rate = (client.postgres ? postgres_rate_ : rate_per_client_) * max_rate_factor_ / 1e6;
    if (rate <= 0) return;
    const double wait = boost::random::exponential_distribution<>(rate)(client.stream);
    if (wait > 1e14) return;
    const Time at = parts_.now() + Micros(static_cast<std::int64_t>(wait));
    if (at < Parts::begins + parts_.experiment.lasts) parts_.scheduler.set(at, What::client_calls, number);
}

void Clients::calls(std::uint32_t number) {
    Client& client = clients_[number];
    const double kept = client.stream.share();
    const double factor = rate_factor(client);
    plan_next(number);
    if (kept * max_rate_factor_ >= factor) return;
    const Experiment& experiment = parts_.experiment;
    ClientRequest next;
    // A call's number consists of its client and a count, so that other clients' calls do not change it.
    next.first = (std::uint64_t{number} + 1) << 32U | ++client.calls;
    next.client = number;
    next.tenant = client.tenant;
    if (client.postgres) {
        Stream stream(experiment.seed, Whose::call, next.first);
        next.class_index = static_cast<int>(experiment.classes.size());
        next.work = drawn(experiment.postgres.work, stream);
    } else {
        const DrawnCall call = draw_call(experiment, next.first);
        next.class_index = call.class_index;
        const double heavier = class_work_factors_[static_cast<std::size_t>(next.class_index)];
        next.work =
            Micros(std::max<std::int64_t>(1, std::llround(static_cast<double>(call.work.count()) * heavier)));
        next.key = call.key;
    }
    send(next);
}

void Clients::send(ClientRequest next) {
    const Experiment& experiment = parts_.experiment;
    const Client& client = clients_[next.client];
    // The lowest three bits of a request's number count the requests of its call.
    next.call = next.first << 3U | static_cast<std::uint64_t>(next.number);
    Stream stream = stream_of_try(experiment.seed, next.first, next.number);
    const Micros deadline =
        client.postgres ? experiment.postgres.deadline
                        : experiment.classes[static_cast<std::size_t>(next.class_index)].told.deadline;
    const DrawnTry random = draw_try(experiment.clients, deadline, stream);
    next.asked = parts_.now();
    next.gives_up = next.asked + random.patience;
    const bool leaves = random.leaves.has_value();
    if (leaves) next.leaves = next.asked + *random.leaves;
    // If the client's zone has no balancer, the front layer uses the first zone that has one.
    const std::vector<std::uint32_t>* front = &balancers_by_zone_[static_cast<std::size_t>(client.zone)];
    for (std::size_t z = 0; front->empty() && z < balancers_by_zone_.size(); ++z)
        front = &balancers_by_zone_[z];
    const bool nobody = front->empty();
    next.balancer =
        nobody ? 0 : (*front)[static_cast<std::size_t>(random.pick * static_cast<double>(front->size()))];
    const Asked asked{static_cast<std::uint8_t>(next.class_index), static_cast<std::uint8_t>(client.zone),
                      static_cast<std::uint16_t>(std::max(0, next.tenant)), next.key};
    parts_.note(Event::asked, next.client, next.balancer, next.call,
                static_cast<std::uint64_t>((next.gives_up - next.asked).count()), asked.packed());
    if (next.number > 0) {
        parts_.note(Event::repeats, next.client, next.balancer, next.call,
                    next.first << 3U | (next.number - 1U));
    }
    const std::uint32_t balancer = next.balancer, client_number = next.client;
    // On a grid, the request arrives up to one step late, and so does the balancer's alarm. Two steps more let the
    // client give up after both, as it does without a grid.
    const Time leaves_at = next.leaves, gives_up = next.gives_up + 2 * experiment.grid;
    const Micros way = parts_.network->latency(client.zone, parts_.balancers->zone(balancer), stream);
    const std::uint64_t handle = tries_.add(std::move(next));
    if (nobody) return parts_.scheduler.set(parts_.now(), What::try_broken, client_number, handle);
    parts_.scheduler.set(parts_.now() + way, What::try_comes, balancer, handle);
    parts_.scheduler.set(leaves ? std::min(leaves_at, gives_up) : gives_up, What::try_given_up, client_number,
                         handle);
}

void Clients::request_arrived(std::uint32_t balancer, std::uint64_t handle) {
    ClientRequest* const request = find(handle);
    if (!request) return;
    request->process = parts_.balancers->process(balancer);
    if (parts_.balancers->accept(balancer, handle, *request)) return;
    parts_.scheduler.set(parts_.now(), What::try_broken, request->client, handle);
}

void Clients::send_answer(std::uint64_t handle, const Answer& answer) {
    const ClientRequest* const request = find(handle);
    if (!request) return;
    Stream stream(parts_.seed(), Whose::network, request->call);
    const Micros way = parts_.network->latency(parts_.balancers->zone(request->balancer),
                                               clients_[request->client].zone, stream);
    parts_.scheduler.set(parts_.now() + way, What::try_answered, request->client, handle, packed(answer));
}

void Clients::break_connection(std::uint64_t handle) {
    const ClientRequest* const request = find(handle);
    if (request) parts_.scheduler.set(parts_.now(), What::try_broken, request->client, handle, 1);
}

void Clients::answered(std::uint32_t client, std::uint64_t handle, std::uint64_t answer) {
    const ClientRequest* const request = find(handle);
    if (!request) return;
    const auto verdict = static_cast<Verdict>(answer & 3U);
    const Micros retry_after(static_cast<std::int64_t>(answer >> 2U));
    parts_.note(Event::received, client, request->balancer, request->call,
                static_cast<std::uint64_t>(verdict), static_cast<std::uint64_t>(retry_after.count()));
    const ClientRequest over = *request;
    tries_.erase(handle);
    if (verdict != Verdict::served) schedule_retry(over, verdict == Verdict::refused, retry_after);
}

void Clients::connection_broken(std::uint32_t client, std::uint64_t handle) {
    const ClientRequest* const request = find(handle);
    if (!request) return;
    parts_.note(Event::unreached, client, request->balancer, request->call);
    const ClientRequest over = *request;
    tries_.erase(handle);
    schedule_retry(over, false, Micros{0});
}

void Clients::given_up(std::uint32_t client, std::uint64_t handle) {
    const ClientRequest* const request = find(handle);
    if (!request) return;
    parts_.note(Event::gave_up, client, request->balancer, request->call);
    const ClientRequest over = *request;
    tries_.erase(handle);
    // The balancer learns of it because the connection closes.
    Stream stream(parts_.seed(), Whose::network, over.call, 1);
    const Micros way =
        parts_.network->latency(clients_[client].zone, parts_.balancers->zone(over.balancer), stream);
    parts_.scheduler.set(parts_.now() + way, What::try_left, over.balancer, handle);
    schedule_retry(over, false, Micros{0});
}

void Clients::schedule_retry(const ClientRequest& over, bool refused, Micros retry_after) {
    const bool unit = static_cast<std::size_t>(over.class_index) >= parts_.experiment.classes.size();
    const bool unsafe =
        unit || parts_.experiment.classes[static_cast<std::size_t>(over.class_index)].told.effect ==
                    flaxdoor::Effect::unsafe;
    const auto wait = asks_again(parts_.experiment.clients, parts_.seed(),
                                 {over.call, static_cast<int>(over.number), unsafe, refused, retry_after});
    if (!wait) return;
    ClientRequest next = over;
    ++next.number;
    const std::uint64_t handle = tries_.add(next);
    parts_.scheduler.set(parts_.now() + *wait, What::client_repeats, over.client, handle);
}

void Clients::retry(std::uint32_t, std::uint64_t handle) {
    const ClientRequest next = *find(handle);
    tries_.erase(handle);
    if (parts_.now() < Parts::begins + parts_.experiment.lasts) send(next);
}

void Clients::add_balancer(std::uint32_t balancer) {
    auto& front = balancers_by_zone_[static_cast<std::size_t>(parts_.balancers->zone(balancer))];
    const auto place = std::lower_bound(front.begin(), front.end(), balancer);
    if (place == front.end() || *place != balancer) front.insert(place, balancer);
}

void Clients::remove_balancer(std::uint32_t balancer) {
    auto& front = balancers_by_zone_[static_cast<std::size_t>(parts_.balancers->zone(balancer))];
    std::erase(front, balancer);
}

}  // namespace flaxdoor::lab
