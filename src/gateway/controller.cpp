#include "gateway/controller.h"

#include <utility>

namespace flaxdoor::gateway {

namespace {

std::string text_in(const Json& meta, const char* name) {
    const auto found = meta.find(name);
    return found != meta.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Compares resource versions. API servers use decimal numbers, so that a longer version is greater.
bool newer(const std::string& a, const std::string& b) {
    return a.size() != b.size() ? a.size() > b.size() : a > b;
}

}  // namespace

std::string key_of(const Json& object) {
    if (!object.is_object()) return {};
    const auto meta = object.find("metadata");
    if (meta == object.end() || !meta->is_object()) return {};
    const std::string namespace_name = text_in(*meta, "namespace"), name = text_in(*meta, "name");
    return namespace_name.empty() ? name : namespace_name + "/" + name;
}

void Controller::mark_dirty(const Touched& touched) {
    routes_dirty_ |= touched.routes;
    status_written_ |= touched.status;
    services_dirty_.insert(touched.services.begin(), touched.services.end());
}

// Records since when the pods of a slice are ready. A pod that becomes ready counts as just started; a pod
// that was ready in the first list does not.
void Controller::track_pods(Time now, const std::string& slice, bool first) {
    const auto known_slice = resources_.slices.find(slice);
    if (known_slice == resources_.slices.end()) {
        ready_since_.erase(slice);
        return;
    }
    auto& before = ready_since_[slice];
    std::map<std::string, Time> ready;
    for (const auto& each : known_slice->second->endpoints) {
        if (!each.ready) continue;
        const std::string pod = pod_of(each);
        const auto known = before.find(pod);
        ready[pod] = known != before.end() ? known->second : first ? Time{} : now;
    }
    before = std::move(ready);
}

std::string Controller::put(Time now, KindOf kind, const Json& object) {
    const std::string key = key_of(object);
    guard_.on_event(kind, key);
    const Touched touched = resources_.put(kind, object);
    if (kind == KindOf::endpoint_slice) track_pods(now, key, false);
    mark_dirty(touched);
    update_held_text();
    return touched.refused;
}

void Controller::erase(KindOf kind, const std::string& key) {
    guard_.on_event(kind, key);
    mark_dirty(resources_.erase(kind, key));
    if (kind == KindOf::endpoint_slice) ready_since_.erase(key);
    update_held_text();
}

std::vector<std::string> Controller::list(Time now, KindOf kind, const std::vector<Json>& objects) {
    std::vector<std::string> refused;
    std::set<std::string> listed_keys;
    for (const Json& object : objects) listed_keys.insert(key_of(object));
    std::vector<std::string> missing;
    for (std::string& key : resources_.keys(kind)) {
        if (!listed_keys.contains(key)) missing.push_back(std::move(key));
    }
    const std::size_t known_count = resources_.count(kind);
    for (const Json& object : objects) {
        const Touched touched = resources_.put(kind, object);
        mark_dirty(touched);
        if (!touched.refused.empty()) refused.push_back(touched.refused);
    }
    for (const std::string& key : guard_.on_list(now, kind, known_count, std::move(missing)))
        mark_dirty(resources_.erase(kind, key));
    if (kind == KindOf::endpoint_slice) {
        for (const std::string& key : resources_.keys(kind)) track_pods(now, key, !slices_listed_);
        std::erase_if(ready_since_,
                      [&](const auto& each) { return !resources_.slices.contains(each.first); });
        slices_listed_ = true;
    }
    update_held_text();
    return refused;
}

void Controller::on_written(KindOf kind, const std::string& key, const Json& object) {
    const Meta* const known = resources_.meta(kind, key);
    if (!known || key_of(object) != key ||
        !newer(text_in(object["metadata"], "resourceVersion"), known->version))
        return;
    mark_dirty(resources_.put(kind, object));
}

void Controller::tick(Time now) {
    for (const auto& [kind, key] : guard_.due(now)) {
        mark_dirty(resources_.erase(kind, key));
        if (kind == KindOf::endpoint_slice) ready_since_.erase(key);
    }
    update_held_text();
}

void Controller::set_ports(std::map<std::uint16_t, std::string> ports) {
    if (options_.ports == ports) return;
    options_.ports = std::move(ports);
    statuses_dirty_ = true;
}

void Controller::update_held_text() {
    std::string text = guard_.text();
    if (text == options_.held) return;
    options_.held = std::move(text);
    statuses_dirty_ = true;
}

Controller::Updates Controller::outcome() {
    Updates out;
    const bool all = routes_dirty_;
    if (routes_dirty_ || statuses_dirty_) {
        Plan new_plan = plan(resources_, options_);
        if (routes_dirty_) {
            pools_ = std::move(new_plan.pools);
            out.ports = std::move(new_plan.ports);
        }
        out.statuses = std::move(new_plan.statuses);
    }
    for (const auto& [key, pool] : pools_) {
        if (!all && !services_dirty_.contains(pool.service)) continue;
        PoolUpdate update{key, pool, endpoints_of(resources_, pool), {}};
        std::map<std::string, Time> since;  // the latest time in any slice of the Service
        if (const auto slices = resources_.slices_of.find(pool.service);
            slices != resources_.slices_of.end()) {
            for (const auto& [slice, slice_object] : slices->second) {
                for (const auto& [pod, time] : ready_since_[slice]) since[pod] = std::max(since[pod], time);
            }
        }
        for (const auto& each : update.endpoints) update.since.push_back(since[each.pod]);
        const auto published = published_.find(key);
        if (published != published_.end() && published->second.pool == pool &&
            published->second.endpoints == update.endpoints && published->second.since == update.since)
            continue;
        published_[key] = {pool, update.endpoints, update.since};
        out.pools.push_back(std::move(update));
    }
    if (all) {
        for (auto entry = published_.begin(); entry != published_.end();) {
            if (pools_.contains(entry->first)) {
                ++entry;
            } else {
                out.gone.push_back(entry->first);
                entry = published_.erase(entry);
            }
        }
    }
    routes_dirty_ = statuses_dirty_ = false;
    services_dirty_.clear();
    return out;
}

}  // namespace flaxdoor::gateway
