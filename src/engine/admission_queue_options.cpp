#include "engine/admission_queue_options.h"

#include <algorithm>

#include "settings/tables/door.h"

namespace flaxdoor::engine {

namespace {

namespace keys = settings::door;

door::Limits limits_of(std::int64_t open, double per_s, double burst) {
    return {static_cast<std::uint32_t>(open), per_s, std::max(1.0, burst)};
}

}  // namespace

door::Terms admission_queue_options(const Settings& settings, const settings::Values& operators,
                                    const std::function<void(const std::string&)>& log) {
    const auto& table = operators.row("door");
    door::Terms terms;
    for (const auto& each : settings.tenants) {
        std::string name = each.name;
        // A second tenant of the same name keeps its index but gets no requests: they all count for the first one.
        while (door::place_of(terms.tenants, name)) name += " again";
        if (name != each.name) log("the platform names tenant " + each.name + " twice");
        terms.tenants.push_back(
            {name, each.fraction > 0 ? std::clamp(each.fraction * 100, 0.001, 1e6) : 1, {}});
    }
    if (terms.tenants.size() > 256) {
        log("more than 256 tenants; those beyond share one entry");
        terms.tenants.resize(256);
    }
    terms.others = {"others", table.get(keys::others_weight), {}};
    for (const auto& row : operators.rows("door_tenant")) {
        const auto name = row.get(keys::tenant_name);
        const auto found = std::find_if(terms.tenants.begin(), terms.tenants.end(),
                                        [&](const auto& each) { return each.name == name; });
        if (found == terms.tenants.end()) {
            log("the platform names no tenant " + name);
            continue;
        }
        found->weight = row.get(keys::tenant_weight);
        found->limits =
            limits_of(row.get(keys::tenant_open), row.get(keys::tenant_rate), row.get(keys::tenant_burst));
    }
    for (const auto& each : settings.classes)
        terms.classes.push_back({each.name, each.worth, each.aim / 4, {}});
    for (const auto& row : operators.rows("door_class")) {
        const auto name = row.get(keys::class_name);
        const auto found = std::find_if(terms.classes.begin(), terms.classes.end(),
                                        [&](const auto& each) { return each.name == name; });
        if (found == terms.classes.end()) {
            log("the platform names no class " + name);
            continue;
        }
        found->limits =
            limits_of(row.get(keys::class_open), row.get(keys::class_rate), row.get(keys::class_burst));
    }
    terms.client =
        limits_of(table.get(keys::client_open), table.get(keys::client_rate), table.get(keys::client_burst));
    terms.most_entries = static_cast<std::size_t>(table.get(keys::max_waiting));
    terms.most_bytes = static_cast<std::size_t>(table.get(keys::max_bytes).count);
    terms.head_start = table.get(keys::head_start);
    terms.patience = table.get(keys::patience);
    terms.book.whole_seconds = table.get(keys::whole_seconds);
    if (settings.max_retry_after > Micros{}) terms.book.longest = settings.max_retry_after;
    return terms;
}

}  // namespace flaxdoor::engine
