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

std::uint64_t us(Micros span) { return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count())); }

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
        // What is still open when no more calls come has its time to end.
        Micros longest = experiment_.postgres.rate > 0 ? experiment_.postgres.deadline : Micros{0};
        for (const CallClass& c : experiment_.classes) longest = std::max(longest, c.told.deadline);
        ends_ = Parts::begins + experiment_.lasts + longest + std::chrono::seconds(1);
        servers_.begin();
        roster_->begin();
        balancers_->begin();
        clients_->begin();
        troubles_->begin();
        scheduler_.set(ends_, What::end, 0);
    }

    Terms terms() const {
        const Experiment& e = experiment_;
        Terms t;
        t.experiment = e.name;
        t.variant = e.variant;
        t.seed = e.seed;
        t.lasts_us = us(e.lasts);
        for (const CallClass& c : e.classes) t.classes.push_back(class_of(c.told));
        if (e.postgres.rate > 0)
            t.classes.push_back(class_of(postgres_settings_for(e, 0, 0).classes.front()));
        for (const TenantKind& tenant : e.tenants) t.tenants.push_back(tenant.told.name);
        for (const Zone& zone : e.fleet.zones) t.zones.push_back(zone.name);
        for (const auto& server : servers_.all())
            t.server_zones.push_back(static_cast<std::uint8_t>(server.zone));
        for (std::uint32_t b = 0; b < balancers_->size(); ++b) {
            t.balancer_zones.push_back(static_cast<std::uint8_t>(balancers_->zone(b)));
        }
        t.clients = clients_->count();
        for (const Trouble& trouble : e.troubles)
            t.troubles.push_back({trouble.name, us(trouble.at), us(trouble.lasts)});
        t.answer_slack_us = us(e.module.answer_slack + 2 * e.grid);  // the request and the alarm, a step each
        t.drain_grace_us = us(e.module.drain_grace);
        t.cold_share = e.servers.cold_share;
        t.ramp_us = us(e.servers.ramp);
        t.fall_multiple = e.servers.fall_multiple;
        t.fall_span_us = us(e.servers.fall_span);
        t.mean_work_us = mean_work(e);
        return t;
    }

    const std::vector<std::uint32_t>& servers_hit(std::size_t trouble) const {
        return troubles_->servers_hit(trouble);
    }

    bool step() {
        if (over_) return false;
        const Happening h = scheduler_.next();
        if (watcher_) watcher_->meets(h, name_of(h));
        switch (h.what) {
            case What::client_calls: clients_->calls(h.who); break;
            case What::client_repeats: clients_->repeats(h.who, h.a); break;
            case What::try_comes: clients_->comes(h.who, h.a); break;
            case What::try_answered: clients_->answered(h.who, h.a, h.b); break;
            case What::try_broken: clients_->broken(h.who, h.a); break;
            case What::try_given_up: clients_->given_up(h.who, h.a); break;
            case What::try_left: balancers_->left(h.who, h.a); break;
            case What::connected: balancers_->connected(h.who, h.a); break;
            case What::connect_refused: balancers_->connect_refused(h.who, h.a); break;
            case What::flight_comes: servers_.comes(h.who, h.a); break;
            case What::flight_answered: balancers_->answered(h.who, h.a, static_cast<How>(h.b)); break;
            case What::server_done: servers_.done(h.who, h.a); break;
            case What::server_reports: servers_.samples(h.who); break;
            case What::alarm: balancers_->alarm(h.who, h.a); break;
            case What::balancer_up: balancers_->start(h.who); break;
            case What::balancer_ended: balancers_->end(h.who, h.a); break;
            case What::sweep: balancers_->sweep(h.who, h.a); break;
            case What::front_forgets:
                if (!balancers_->up(h.who)) clients_->front_forgets(h.who);
                break;
            case What::roster_tells: roster_->tells(h.who, h.a); break;
            case What::roster_answers: roster_->answers(h.who, static_cast<std::uint32_t>(h.a), h.b); break;
            case What::watch_checked:
                roster_->check_watch(h.who, static_cast<std::uint32_t>(h.a), h.b);
                break;
            case What::trouble_begins: troubles_->begins(h.a); break;
            case What::trouble_ends: troubles_->ends(h.a); break;
            case What::trouble_step: troubles_->step(h.a, h.b); break;
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
    // Handles of tries and flights go by the order in which they were made; calls' numbers do not.
    std::uint64_t name_of(const Happening& h) {
        switch (h.what) {
            case What::client_repeats:
            case What::try_comes:
            case What::try_answered:
            case What::try_broken:
            case What::try_given_up:
            case What::try_left: {
                const Try* const its = clients_->find(h.a);
                return (its ? its->call : 0) ^ h.b << 48U;
            }
            case What::connected:
            case What::connect_refused:
            case What::flight_comes:
            case What::flight_answered:
            case What::server_done: {
                const Flight* const its = flights_.find(h.a);
                return its ? its->call ^ std::uint64_t{its->number} << 40U ^ h.b << 48U : 0;
            }
            case What::alarm: return 0;  // which one counts follows from what the balancer met
            default: return h.a ^ h.b << 32U;
        }
    }

    static Terms::Class class_of(const ClassSettings& c) {
        Terms::Class its;
        its.name = c.name;
        its.effect = c.effect == flaxdoor::Effect::safe    ? Terms::Effect::safe
                     : c.effect == flaxdoor::Effect::keyed ? Terms::Effect::keyed
                                                           : Terms::Effect::unsafe;
        its.by_zone = c.group == Group::zone;
        its.window_us = us(c.window);
        its.aim_us = us(c.aim);
        its.deadline_us = us(c.deadline);
        its.worth = c.worth;
        its.late_worth = c.late_worth;
        return its;
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
    std::unique_ptr<Balancers> balancers_;  // goes first: its processes let go of flights and servers
    Watcher* watcher_ = nullptr;
    Time ends_{};
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
