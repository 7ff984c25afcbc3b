#include "real/scale.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace flaxdoor::lab::real {

namespace {

using nlohmann::json;

// One way between two processes of this machine, by a stand-in's own reading: some tens of microseconds.
constexpr Micros loopback{50};

double ms(Micros span) { return static_cast<double>(span.count()) / 1000; }

}  // namespace

Experiment scaled(const Experiment& whole) {
    Experiment part = whole;
    const RealPart& its = whole.real_part;
    part.fleet.balancers = std::min(whole.fleet.balancers, its.balancers);
    part.servers.count = std::min(whole.servers.count, its.servers);
    part.clients.rate = whole.clients.rate * its.rate_share * part.servers.count / whole.servers.count;
    part.lasts = std::min(whole.lasts, its.lasts);
    const double proportion = static_cast<double>(part.lasts.count()) /
                              static_cast<double>(std::max<std::int64_t>(1, whole.lasts.count()));
    const auto shorter = [&](Micros span) {
        return Micros(static_cast<std::int64_t>(static_cast<double>(span.count()) * proportion));
    };
    for (Trouble& trouble : part.troubles) {
        trouble.at = shorter(trouble.at);
        trouble.lasts = shorter(trouble.lasts);
    }
    part.settles = std::min(whole.settles, part.lasts / 4);
    part.network.local = part.network.between = loopback;
    part.network.jitter = 0;
    return part;
}

std::string scale_text(const Experiment& whole, const Experiment& part) {
    char text[200];
    std::snprintf(text, sizeof text,
                  "%d of %d balancers, %d of %d servers, %.4g of %.4g calls a second, %.4g of %.4g s",
                  part.fleet.balancers, whole.fleet.balancers, part.servers.count, whole.servers.count,
                  part.clients.rate, whole.clients.rate, static_cast<double>(part.lasts.count()) / 1e6,
                  static_cast<double>(whole.lasts.count()) / 1e6);
    return text;
}

std::string daemon_config(const Experiment& e, const Told& told) {
    json zones = json::array(), classes = json::array(), tenants = json::array();
    for (const Zone& zone : e.fleet.zones) zones.push_back(zone.name);
    for (const CallClass& c : e.classes) {
        json one{{"name", c.told.name},
                 {"aim", ms(c.told.aim)},
                 {"hard_limit", ms(c.told.deadline)},
                 {"effect", c.told.effect == Effect::safe    ? "idempotent"
                            : c.told.effect == Effect::keyed ? "deduplicated"
                                                             : "at_most_once"},
                 {"worth", c.told.worth},
                 {"late_worth", c.told.late_worth},
                 {"stream", false}};
        if (c.told.effect == Effect::keyed) {
            one["group"] = c.told.group == DeduplicationScope::zone ? "zone" : "all";
            one["window"] = ms(c.told.window);
        }
        classes.push_back(std::move(one));
    }
    for (const TenantKind& t : e.tenants) {
        tenants.push_back(
            {{"name", t.told.name}, {"quota_rps", t.told.quota_per_s}, {"fraction", t.told.fraction}});
    }
    const Settings& m = e.module;
    const json settings{
        {"rank", told.balancer},
        {"siblings", e.fleet.balancers},
        {"zone", told.zone},
        {"zones", zones},
        {"flavors", json::array({"m"})},
        {"tick", 1.0},
        {"registry_mode", "push"},
        {"services", classes},
        {"tenants", tenants},
        {"limits",
         {{"cancel", m.may_cancel},
          {"parallel_tries", m.parallel_attempts},
          {"max_attempts", m.max_attempts},
          {"connect_timeout", ms(m.connect_timeout)},
          {"idle_close", ms(e.network.idle_close)},
          {"retry_after", m.retry_after},
          {"max_retry_after", ms(m.max_retry_after)}}},
        {"load_report", {{"how", "inline"}, {"fields", json::array({"active", "avg_ms", "err_rps"})}}},
        {"invariants",
         {{"ask_within", ms(m.ask_within)},
          {"drain_grace", ms(m.drain_grace)},
          {"answer_slack", ms(m.answer_slack)},
          {"cold_from", e.servers.cold_share},
          {"ramp_time", ms(e.servers.ramp)},
          {"fall_multiple", e.servers.fall_multiple},
          {"fall", ms(e.servers.fall_span)}}}};
    const json config{
        {"name", "balancer-" + std::to_string(told.balancer)},
        {"listen", "127.0.0.1:0"},
        {"discovery", told.discovery},
        {"seed", std::to_string(e.seed * 1000 + static_cast<std::uint64_t>(told.balancer))},
        {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 2048}}},
        {"known", {{"seq", 0}, {"whole", true}, {"hosts", told.known ? *told.known : json::array()}}},
        {"settings", settings}};
    return config.dump(1);
}

}  // namespace flaxdoor::lab::real
