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
        const Json* const each_type = member(each, "type");
        if (each_type && *each_type == type) return &each;
    }
    return nullptr;
}

// Returns whether this controller owns a condition type. Conditions of other types are kept; owned ones that
// are no longer desired are removed.
bool is_owned(KindOf kind, const Json& type) {
    if (!type.is_string()) return false;
    const auto& name = type.get_ref<const std::string&>();
    if (name.starts_with(own_prefix)) return true;
    if (kind == KindOf::gateway_class) return name == "Accepted" || name == "SupportedVersion";
    return name == "Accepted" || name == "Programmed" || name == "Ready" || name == "Scheduled";
}

// Sets lastTransitionTime. A condition keeps its time while its status stays the same.
Json with_transition_times(const Json* current, const Json& desired, std::int64_t now) {
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

Json with_foreign_conditions(KindOf kind, const Json* current, Json owned) {
    if (!current || !current->is_array()) return owned;
    for (const Json& each : *current) {
        const Json* const type = member(each, "type");
        if (type && !is_owned(kind, *type) && !condition_of(&owned, *type)) owned.push_back(each);
    }
    return owned;
}

const Json* parent_entry(const Json* parents, const Json& ref, const std::string& controller) {
    if (!parents || !parents->is_array()) return nullptr;
    for (const Json& each : *parents) {
        const Json* const parent_ref = member(each, "parentRef");
        const Json* const owner = member(each, "controllerName");
        if (parent_ref && owner && *parent_ref == ref && *owner == controller) return &each;
    }
    return nullptr;
}

// Merges the entries of this controller into those of others. Existing entries keep their position, so that a
// different order alone causes no write; new entries follow.
Json merged_parents(const Json* current, const Json& desired, const std::string& controller,
                    std::int64_t now) {
    Json out = Json::array();
    std::vector<bool> used(desired.size(), false);
    const auto add = [&](std::size_t i) {
        used[i] = true;
        Json entry = desired[i];
        const Json* const before = parent_entry(current, entry["parentRef"], controller);
        const Json* const conditions = before ? member(*before, "conditions") : nullptr;
        entry["conditions"] = with_transition_times(conditions, entry["conditions"], now);
        out.push_back(std::move(entry));
    };
    if (current && current->is_array()) {
        for (const Json& each : *current) {
            const Json* const owner = member(each, "controllerName");
            if (!owner || *owner != controller) {
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
        each["conditions"] = with_transition_times(conditions, each["conditions"], now);
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
            out[name] = with_foreign_conditions(kind, before, with_transition_times(before, value, now));
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

void StatusWriter::want(std::vector<DesiredStatus> all) {
    std::map<ObjectRef, Entry> desired;
    for (DesiredStatus& each : all) {
        const ObjectRef object(each.kind, each.key);
        Entry entry;
        if (const auto before = desired_.find(object); before != desired_.end()) {
            entry = std::move(before->second);
            if (entry.status != each.status) {
                entry.refused = false;
                entry.settled_version.clear();
            }
        }
        entry.status = std::move(each.status);
        desired.emplace(object, std::move(entry));
    }
    desired_ = std::move(desired);
}

void StatusWriter::listed(KindOf kind) {
    for (auto& [object, entry] : desired_) {
        if (object.first != kind) continue;
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

std::optional<StatusWrite> StatusWriter::next(Time now, bool holds, const Resources& resources) {
    rate_limited_ = false;
    retry_at_.reset();
    if (in_flight_ || !holds) return std::nullopt;
    // Round robin, so that a write that fails repeatedly does not block the others.
    const auto find_write = [&](auto from, auto to) -> std::optional<StatusWrite> {
        for (auto entry_at = from; entry_at != to; ++entry_at) {
            auto& [object, entry] = *entry_at;
            const Meta* const meta = resources.meta(object.first, object.second);
            if (!meta || (entry.refused && entry.refused_version == meta->version)) continue;
            if (!meta->version.empty() && entry.settled_version == meta->version) continue;
            if (entry.not_before > now) {
                retry_at_ = std::min(retry_at_.value_or(entry.not_before), entry.not_before);
                continue;
            }
            const Json* current = nullptr;
            switch (object.first) {
                case KindOf::gateway_class: current = &resources.classes.at(object.second)->status; break;
                case KindOf::gateway: current = &resources.gateways.at(object.second)->status; break;
                case KindOf::http_route: current = &resources.http_routes.at(object.second)->status; break;
                default: continue;
            }
            auto status =
                merged(object.first, *current, entry.status, options_.controller, now.count() / 1'000'000);
            if (!status) {
                entry.settled_version = meta->version;
                continue;
            }
            if (!take_token(now)) {
                rate_limited_ = true;
                return std::nullopt;
            }
            StatusWrite write;
            write.kind = object.first;
            write.key = object.second;
            write.version = meta->version;
            write.patch = {{"metadata", {{"resourceVersion", meta->version}}},
                           {"status", std::move(*status)}};
            in_flight_ = last_ = object;
            in_flight_version_ = meta->version;
            ++sent_;
            return write;
        }
        return std::nullopt;
    };
    const auto after = desired_.upper_bound(last_);
    if (auto write = find_write(after, desired_.end())) return write;
    if (rate_limited_) return std::nullopt;
    return find_write(desired_.begin(), after);
}

void StatusWriter::ended(Time now, WriteResult result, double chance) {
    if (!in_flight_) return;
    const auto found = desired_.find(*in_flight_);
    in_flight_.reset();
    if (found == desired_.end()) return;
    Entry& entry = found->second;
    switch (result) {
        case WriteResult::done: entry.failures = 0; return;
        // The write is not repeated before the watch delivers another version of the object.
        case WriteResult::conflict:
        case WriteResult::refused:
        case WriteResult::gone:
            entry.refused = true;
            entry.refused_version = in_flight_version_;
            return;
        case WriteResult::retry: break;
    }
    const double max_wait = static_cast<double>(options_.max_backoff.count());
    const double wait = std::min(max_wait, static_cast<double>(options_.min_backoff.count()) *
                                               std::pow(2.0, std::min(entry.failures, 20)));
    ++entry.failures;
    entry.not_before = now + Micros(static_cast<std::int64_t>(wait * (0.5 + chance / 2)));
}

std::optional<Time> StatusWriter::due(Time now) const {
    if (in_flight_) return std::nullopt;
    if (rate_limited_) {
        const double wait = (1 - tokens_) / std::max(options_.per_s, 1e-3) * 1e6;
        return now + Micros(static_cast<std::int64_t>(std::max(wait, 1000.0)));
    }
    return retry_at_;
}

}  // namespace flaxdoor::gateway
