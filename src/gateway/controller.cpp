#include "gateway/controller.h"

#include <utility>

namespace flaxdoor::gateway {

namespace {

std::string text_in(const Json& meta, const char* name) {
    const auto found = meta.find(name);
    return found != meta.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Versions are numbers wherever they come from a server; longer ones are greater.
bool newer(const std::string& a, const std::string& b) {
    return a.size() != b.size() ? a.size() > b.size() : a > b;
}

}  // namespace

std::string key_of(const Json& object) {
    if (!object.is_object()) return {};
    const auto meta = object.find("metadata");
    if (meta == object.end() || !meta->is_object()) return {};
    const std::string space = text_in(*meta, "namespace"), name = text_in(*meta, "name");
    return space.empty() ? name : space + "/" + name;
}

void Controller::note(const Touched& touched) {
    routes_dirty_ |= touched.routes;
    status_news_ |= touched.status;
    services_dirty_.insert(touched.services.begin(), touched.services.end());
}

// A pod that becomes ready has just started, as far as is known; those that were when the first list came
// have not.
void Controller::follow_pods(Time now, const std::string& slice, bool first) {
    const auto held = resources_.slices.find(slice);
    if (held == resources_.slices.end()) {
        ready_since_.erase(slice);
        return;
    }
    auto& before = ready_since_[slice];
    std::map<std::string, Time> ready;
    for (const auto& each : held->second->endpoints) {
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
    if (kind == KindOf::endpoint_slice) follow_pods(now, key, false);
    note(touched);
    mind_guard();
    return touched.refused;
}

void Controller::erase(KindOf kind, const std::string& key) {
    guard_.on_event(kind, key);
    note(resources_.erase(kind, key));
    if (kind == KindOf::endpoint_slice) ready_since_.erase(key);
    mind_guard();
}

std::vector<std::string> Controller::list(Time now, KindOf kind, const std::vector<Json>& objects) {
    std::vector<std::string> refused;
    std::set<std::string> named;
    for (const Json& object : objects) named.insert(key_of(object));
    std::vector<std::string> gone;
    for (std::string& key : resources_.keys(kind)) {
        if (!named.contains(key)) gone.push_back(std::move(key));
    }
    const std::size_t had = resources_.count(kind);
    for (const Json& object : objects) {
        const Touched touched = resources_.put(kind, object);
        note(touched);
        if (!touched.refused.empty()) refused.push_back(touched.refused);
    }
    for (const std::string& key : guard_.on_list(now, kind, had, std::move(gone)))
        note(resources_.erase(kind, key));
    if (kind == KindOf::endpoint_slice) {
        for (const std::string& key : resources_.keys(kind)) follow_pods(now, key, !slices_listed_);
        std::erase_if(ready_since_,
                      [&](const auto& each) { return !resources_.slices.contains(each.first); });
        slices_listed_ = true;
    }
    mind_guard();
    return refused;
}

void Controller::written(KindOf kind, const std::string& key, const Json& object) {
    const Meta* const held = resources_.meta(kind, key);
    if (!held || key_of(object) != key ||
        !newer(text_in(object["metadata"], "resourceVersion"), held->version))
        return;
    note(resources_.put(kind, object));
}

void Controller::tick(Time now) {
    for (const auto& [kind, key] : guard_.due(now)) {
        note(resources_.erase(kind, key));
        if (kind == KindOf::endpoint_slice) ready_since_.erase(key);
    }
    mind_guard();
}

void Controller::set_ports(std::map<std::uint16_t, std::string> ports) {
    if (options_.ports == ports) return;
    options_.ports = std::move(ports);
    statuses_dirty_ = true;
}

void Controller::mind_guard() {
    std::string text = guard_.text();
    if (text == options_.held) return;
    options_.held = std::move(text);
    statuses_dirty_ = true;
}

Controller::Outcome Controller::outcome() {
    Outcome out;
    const bool all = routes_dirty_;
    if (routes_dirty_ || statuses_dirty_) {
        Plan made = plan(resources_, options_);
        if (routes_dirty_) {
            pools_ = std::move(made.pools);
            out.ports = std::move(made.ports);
        }
        out.statuses = std::move(made.statuses);
    }
    for (const auto& [key, pool] : pools_) {
        if (!all && !services_dirty_.contains(pool.service)) continue;
        PoolNews news{key, pool, endpoints_of(resources_, pool), {}};
        std::map<std::string, Time> since;  // the latest that any slice of the Service tells
        if (const auto slices = resources_.slices_of.find(pool.service);
            slices != resources_.slices_of.end()) {
            for (const auto& [slice, its] : slices->second) {
                for (const auto& [pod, time] : ready_since_[slice]) since[pod] = std::max(since[pod], time);
            }
        }
        for (const auto& each : news.endpoints) news.since.push_back(since[each.pod]);
        const auto told = told_.find(key);
        if (told != told_.end() && told->second.pool == pool && told->second.endpoints == news.endpoints &&
            told->second.since == news.since)
            continue;
        told_[key] = {pool, news.endpoints, news.since};
        out.pools.push_back(std::move(news));
    }
    if (all) {
        for (auto at = told_.begin(); at != told_.end();) {
            if (pools_.contains(at->first)) {
                ++at;
            } else {
                out.gone.push_back(at->first);
                at = told_.erase(at);
            }
        }
    }
    routes_dirty_ = statuses_dirty_ = false;
    services_dirty_.clear();
    return out;
}

}  // namespace flaxdoor::gateway
