#include "gateway/status.h"

#include <algorithm>
#include <cmath>

namespace flaxdoor::gateway {

namespace {

constexpr std::string_view own_prefix = "flaxdoor.dev/";

const Json* member(const Json& object, const char* name) {
    if (!object.is_object()) return nullptr;
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

const Json* condition_of(const Json* list, const Json& type) {
    if (!list || !list->is_array()) return nullptr;
    for (const Json& each : *list) {
        const Json* const its = member(each, "type");
        if (its && *its == type) return &each;
    }
    return nullptr;
}

// Types that this controller writes: those of others are kept, ours that are not wanted any more go.
bool is_ours(KindOf kind, const Json& type) {
    if (!type.is_string()) return false;
    const auto& name = type.get_ref<const std::string&>();
    if (name.starts_with(own_prefix)) return true;
    if (kind == KindOf::gateway_class) return name == "Accepted" || name == "SupportedVersion";
    return name == "Accepted" || name == "Programmed" || name == "Ready" || name == "Scheduled";
}

// Each condition keeps its time while its status is the same.
Json timed(const Json* current, const Json& desired, std::int64_t now) {
    Json out = Json::array();
    for (Json each : desired) {
        const Json* const before = condition_of(current, each["type"]);
        const Json* const time = before ? member(*before, "lastTransitionTime") : nullptr;
        const Json* const status = before ? member(*before, "status") : nullptr;
        const bool same = time && status && *status == each["status"] && time->is_string() &&
                          read_time(time->get<std::string>()) > 0;
        each["lastTransitionTime"] = same ? *time : Json(write_time(now));
        out.push_back(std::move(each));
    }
    return out;
}

Json with_others(KindOf kind, const Json* current, Json ours) {
    if (!current || !current->is_array()) return ours;
    for (const Json& each : *current) {
        const Json* const type = member(each, "type");
        if (type && !is_ours(kind, *type) && !condition_of(&ours, *type)) ours.push_back(each);
    }
    return ours;
}

const Json* parent_entry(const Json* parents, const Json& ref, const std::string& controller) {
    if (!parents || !parents->is_array()) return nullptr;
    for (const Json& each : *parents) {
        const Json* const its = member(each, "parentRef");
        const Json* const whose = member(each, "controllerName");
        if (its && whose && *its == ref && *whose == controller) return &each;
    }
    return nullptr;
}

// Ours in the places where they were, so that nothing is written for an order alone; then the new ones.
Json merged_parents(const Json* current, const Json& desired, const std::string& controller,
                    std::int64_t now) {
    Json out = Json::array();
    std::vector<bool> used(desired.size(), false);
    const auto add = [&](std::size_t i) {
        used[i] = true;
        Json entry = desired[i];
        const Json* const before = parent_entry(current, entry["parentRef"], controller);
        const Json* const conditions = before ? member(*before, "conditions") : nullptr;
        entry["conditions"] = timed(conditions, entry["conditions"], now);
        out.push_back(std::move(entry));
    };
    if (current && current->is_array()) {
        for (const Json& each : *current) {
            const Json* const whose = member(each, "controllerName");
            if (!whose || *whose != controller) {
                out.push_back(each);
                continue;
            }
            const Json* const ref = member(each, "parentRef");
            for (std::size_t i = 0; ref && i < desired.size(); ++i) {
                if (used[i] || desired[i]["parentRef"] != *ref) continue;
                add(i);
                break;
            }
        }
    }
    for (std::size_t i = 0; i < desired.size(); ++i) {
        if (!used[i]) add(i);
    }
    return out;
}

Json merged_listeners(const Json* current, const Json& desired, std::int64_t now) {
    Json out = Json::array();
    for (Json each : desired) {
        const Json* conditions = nullptr;
        if (current && current->is_array()) {
            for (const Json& before : *current) {
                const Json* const name = member(before, "name");
                if (name && *name == each["name"]) conditions = member(before, "conditions");
            }
        }
        each["conditions"] = timed(conditions, each["conditions"], now);
        out.push_back(std::move(each));
    }
    return out;
}

}  // namespace

std::optional<Json> merged(KindOf kind, const Json& current, const Json& desired,
                           const std::string& controller, std::int64_t now) {
    Json out = Json::object();
    for (const auto& [name, value] : desired.items()) {
        const Json* const before = member(current, name.c_str());
        if (name == "conditions") {
            out[name] = with_others(kind, before, timed(before, value, now));
        } else if (name == "parents") {
            out[name] = merged_parents(before, value, controller, now);
        } else if (name == "listeners") {
            out[name] = merged_listeners(before, value, now);
        } else {
            out[name] = value;
        }
        if (before && *before == out[name]) out.erase(name);
        if (!before && value.is_array() && value.empty()) out.erase(name);
    }
    if (out.empty()) return std::nullopt;
    return out;
}

void StatusWriter::want(std::vector<Desired> all) {
    std::map<Place, Entry> wanted;
    for (Desired& each : all) {
        const Place place(each.kind, each.key);
        Entry entry;
        if (const auto before = wanted_.find(place); before != wanted_.end()) {
            entry = std::move(before->second);
            if (entry.status != each.status) {
                entry.refused = false;
                entry.settled_version.clear();
            }
        }
        entry.status = std::move(each.status);
        wanted.emplace(place, std::move(entry));
    }
    wanted_ = std::move(wanted);
}

void StatusWriter::listed(KindOf kind) {
    for (auto& [place, entry] : wanted_) {
        if (place.first != kind) continue;
        entry.refused = false;
        entry.settled_version.clear();
    }
}

bool StatusWriter::take_token(Time now) {
    if (filled_ > Time{}) {
        const double seconds = static_cast<double>((now - filled_).count()) / 1e6;
        tokens_ = std::min(static_cast<double>(options_.burst), tokens_ + seconds * options_.per_s);
    }
    filled_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

std::optional<Write> StatusWriter::next(Time now, bool holds, const Resources& resources) {
    starved_ = false;
    retry_at_.reset();
    if (under_way_ || !holds) return std::nullopt;
    // In turns: one that fails again and again keeps no other waiting.
    const auto look = [&](auto from, auto to) -> std::optional<Write> {
        for (auto at = from; at != to; ++at) {
            auto& [place, entry] = *at;
            const Meta* const meta = resources.meta(place.first, place.second);
            if (!meta || (entry.refused && entry.refused_version == meta->version)) continue;
            if (!meta->version.empty() && entry.settled_version == meta->version) continue;
            if (entry.not_before > now) {
                retry_at_ = std::min(retry_at_.value_or(entry.not_before), entry.not_before);
                continue;
            }
            const Json* current = nullptr;
            switch (place.first) {
                case KindOf::gateway_class: current = &resources.classes.at(place.second)->status; break;
                case KindOf::gateway: current = &resources.gateways.at(place.second)->status; break;
                case KindOf::http_route: current = &resources.http_routes.at(place.second)->status; break;
                default: continue;
            }
            auto status =
                merged(place.first, *current, entry.status, options_.controller, now.count() / 1'000'000);
            if (!status) {
                entry.settled_version = meta->version;
                continue;
            }
            if (!take_token(now)) {
                starved_ = true;
                return std::nullopt;
            }
            Write write;
            write.kind = place.first;
            write.key = place.second;
            write.version = meta->version;
            write.patch = {{"metadata", {{"resourceVersion", meta->version}}},
                           {"status", std::move(*status)}};
            under_way_ = last_ = place;
            under_way_version_ = meta->version;
            ++sent_;
            return write;
        }
        return std::nullopt;
    };
    const auto after = wanted_.upper_bound(last_);
    if (auto write = look(after, wanted_.end())) return write;
    if (starved_) return std::nullopt;
    return look(wanted_.begin(), after);
}

void StatusWriter::ended(Time now, Written how, double chance) {
    if (!under_way_) return;
    const auto found = wanted_.find(*under_way_);
    under_way_.reset();
    if (found == wanted_.end()) return;
    Entry& entry = found->second;
    switch (how) {
        case Written::done: entry.failures = 0; return;
        // Nothing is sent again before the watch has brought another version.
        case Written::conflict:
        case Written::refused:
        case Written::gone:
            entry.refused = true;
            entry.refused_version = under_way_version_;
            return;
        case Written::retry: break;
    }
    const double most = static_cast<double>(options_.retry_most.count());
    const double wait = std::min(most, static_cast<double>(options_.retry_least.count()) *
                                           std::pow(2.0, std::min(entry.failures, 20)));
    ++entry.failures;
    entry.not_before = now + Micros(static_cast<std::int64_t>(wait * (0.5 + chance / 2)));
}

std::optional<Time> StatusWriter::due(Time now) const {
    if (under_way_) return std::nullopt;
    if (starved_) {
        const double wait = (1 - tokens_) / std::max(options_.per_s, 1e-3) * 1e6;
        return now + Micros(static_cast<std::int64_t>(std::max(wait, 1000.0)));
    }
    return retry_at_;
}

}  // namespace flaxdoor::gateway
