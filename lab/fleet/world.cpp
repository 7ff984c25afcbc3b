#include "fleet/world.h"

#include <algorithm>

#include "fleet/balancers.h"
#include "fleet/clients.h"
#include "fleet/network.h"
#include "fleet/roster.h"
#include "fleet/servers.h"
#include "fleet/troubles.h"

namespace flaxdoor::lab {

namespace {

// Returns a duration in microseconds; 0 for a negative one.
std::uint64_t to_us(Micros span) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count()));
}

}  // namespace

class World::Impl {
public:
    Impl(const Experiment& experiment, Sink& sink, Chooser* chooser)
        : experiment_(experiment),
          scheduler_(Parts::begins, experiment.grid, chooser),
          parts_{.experiment = experiment_, .scheduler = scheduler_, .sink = sink},
          network_(parts_),
          servers_(parts_) {
        parts_.network = &network_;
        parts_.servers = &servers_;
        parts_.flights = &flights_;
        troubles_ = std::make_unique<Troubles>(parts_);
        roster_ = std::make_unique<Roster>(parts_);
        parts_.roster = roster_.get();
        balancers_ = std::make_unique<Balancers>(parts_);
        parts_.balancers = balancers_.get();
        clients_ = std::make_unique<Clients>(parts_);
        parts_.clients = clients_.get();
        // After the last call, the world runs on until every open call has reached its deadline.
        Micros longest = experiment_.postgres.rate > 0 ? experiment_.postgres.deadline : Micros{0};
        for (const CallClass& call_class : experiment_.classes)
            longest = std::max(longest, call_class.told.deadline);
        end_time_ = Parts::begins + experiment_.lasts + longest + std::chrono::seconds(1);
        servers_.begin();
        roster_->begin();
        balancers_->begin();
        clients_->begin();
        troubles_->begin();
        scheduler_.set(end_time_, What::end, 0);
    }

    Terms terms() const {
        const Experiment& experiment = experiment_;
        Terms terms;
        terms.experiment = experiment.name;
        terms.variant = experiment.variant;
        terms.seed = experiment.seed;
        terms.lasts_us = to_us(experiment.lasts);
        for (const CallClass& call_class : experiment.classes)
            terms.classes.push_back(class_of(call_class.told));
        if (experiment.postgres.rate > 0)
            terms.classes.push_back(class_of(postgres_settings_for(experiment, 0, 0).classes.front()));
        for (const TenantKind& tenant : experiment.tenants) terms.tenants.push_back(tenant.told.name);
        for (const Zone& zone : experiment.fleet.zones) terms.zones.push_back(zone.name);
        for (const auto& server : servers_.all())
            terms.server_zones.push_back(static_cast<std::uint8_t>(server.zone));
        for (std::uint32_t balancer = 0; balancer < balancers_->size(); ++balancer) {
            terms.balancer_zones.push_back(static_cast<std::uint8_t>(balancers_->zone(balancer)));
        }
        terms.clients = clients_->count();
        for (const Trouble& trouble : experiment.troubles)
            terms.troubles.push_back({trouble.name, to_us(trouble.at), to_us(trouble.lasts)});
        terms.answer_slack_us =
            to_us(experiment.module.answer_slack +
                  2 * experiment.grid);  // one grid step each for the request and the alarm
        terms.drain_grace_us = to_us(experiment.module.drain_grace);
        terms.cold_share = experiment.servers.cold_share;
        terms.ramp_us = to_us(experiment.servers.ramp);
        terms.fall_multiple = experiment.servers.fall_multiple;
        terms.fall_span_us = to_us(experiment.servers.fall_span);
        terms.mean_work_us = mean_work(experiment);
        return terms;
    }

    const std::vector<std::uint32_t>& servers_hit(std::size_t trouble) const {
        return troubles_->servers_hit(trouble);
    }

    bool step() {
        if (over_) return false;
        const Happening event = scheduler_.next();
        if (watcher_) watcher_->meets(event, name_of(event));
        switch (event.what) {
            case What::client_calls: clients_->calls(event.who); break;
            case What::client_repeats: clients_->retry(event.who, event.a); break;
            case What::try_comes: clients_->request_arrived(event.who, event.a); break;
            case What::try_answered: clients_->answered(event.who, event.a, event.b); break;
            case What::try_broken: clients_->connection_broken(event.who, event.a); break;
            case What::try_given_up: clients_->given_up(event.who, event.a); break;
            case What::try_left: balancers_->left(event.who, event.a); break;
            case What::connected: balancers_->connected(event.who, event.a); break;
            case What::connect_refused: balancers_->connect_refused(event.who, event.a); break;
            case What::flight_comes: servers_.comes(event.who, event.a); break;
            case What::flight_answered:
                balancers_->answered(event.who, event.a, static_cast<How>(event.b));
                break;
            case What::server_done: servers_.done(event.who, event.a); break;
            case What::server_reports: servers_.samples(event.who); break;
            case What::alarm: balancers_->alarm(event.who, event.a); break;
            case What::balancer_up: balancers_->start(event.who); break;
            case What::balancer_ended: balancers_->end(event.who, event.a); break;
            case What::sweep: balancers_->sweep(event.who, event.a); break;
            case What::front_forgets:
                if (!balancers_->up(event.who)) clients_->remove_balancer(event.who);
                break;
            case What::roster_tells: roster_->deliver_changes(event.who, event.a); break;
            case What::roster_answers:
                roster_->respond(event.who, static_cast<std::uint32_t>(event.a), event.b);
                break;
            case What::watch_checked:
                roster_->check_watch(event.who, static_cast<std::uint32_t>(event.a), event.b);
                break;
            case What::trouble_begins: troubles_->begins(event.a); break;
            case What::trouble_ends: troubles_->ends(event.a); break;
            case What::trouble_step: troubles_->step(event.a, event.b); break;
            case What::end:
                parts_.note(Event::over, 0);
                over_ = true;
                return false;
        }
        return true;
    }

    void watch(Watcher* watcher) { watcher_ = watcher; }

    std::uint64_t now_us() const { return Parts::since_begin(scheduler_.now()); }

    WorldFigures figures() const {
        return {scheduler_.happened(), 0, balancers_->figures(), flights_.size(), clients_->open()};
    }

private:
    // Returns a name that does not depend on the order of events. The handles of requests and flights depend on it,
    // the numbers of calls do not.
    std::uint64_t name_of(const Happening& event) {
        switch (event.what) {
            case What::client_repeats:
            case What::try_comes:
            case What::try_answered:
            case What::try_broken:
            case What::try_given_up:
            case What::try_left: {
                const ClientRequest* const request = clients_->find(event.a);
                return (request ? request->call : 0) ^ event.b << 48U;
            }
            case What::connected:
            case What::connect_refused:
            case What::flight_comes:
            case What::flight_answered:
            case What::server_done: {
                const Flight* const flight = flights_.find(event.a);
                return flight ? flight->call ^ std::uint64_t{flight->number} << 40U ^ event.b << 48U : 0;
            }
            case What::alarm: return 0;  // which alarm is current follows from the balancer's events
            default: return event.a ^ event.b << 32U;
        }
    }

    static Terms::Class class_of(const ClassSettings& settings) {
        Terms::Class result;
        result.name = settings.name;
        result.effect = settings.effect == flaxdoor::Effect::safe    ? Terms::Effect::safe
                        : settings.effect == flaxdoor::Effect::keyed ? Terms::Effect::keyed
                                                                     : Terms::Effect::unsafe;
        result.by_zone = settings.group == DeduplicationScope::zone;
        result.window_us = to_us(settings.window);
        result.aim_us = to_us(settings.aim);
        result.deadline_us = to_us(settings.deadline);
        result.worth = settings.worth;
        result.late_worth = settings.late_worth;
        return result;
    }

    const Experiment experiment_;
    Scheduler scheduler_;
    Parts parts_;
    Network network_;
    Flights flights_;
    Servers servers_;
    std::unique_ptr<Troubles> troubles_;
    std::unique_ptr<Roster> roster_;
    std::unique_ptr<Clients> clients_;
    std::unique_ptr<Balancers> balancers_;  // destroyed first: its processes release flights and servers
    Watcher* watcher_ = nullptr;
    Time end_time_{};
    bool over_ = false;
};

World::World(const Experiment& experiment, Sink& sink, Chooser* chooser)
    : impl_(std::make_unique<Impl>(experiment, sink, chooser)) {}
World::~World() = default;
Terms World::terms() const { return impl_->terms(); }
const std::vector<std::uint32_t>& World::servers_hit(std::size_t trouble) const {
    return impl_->servers_hit(trouble);
}
bool World::step() { return impl_->step(); }
void World::watch(Watcher* watcher) { impl_->watch(watcher); }
std::uint64_t World::now_us() const { return impl_->now_us(); }
WorldFigures World::figures() const { return impl_->figures(); }

WorldFigures play(const Experiment& experiment, Sink& sink) {
    World world(experiment, sink);
    while (world.step()) {
    }
    return world.figures();
}

}  // namespace flaxdoor::lab
