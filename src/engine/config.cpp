#include "engine/config.h"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <unordered_set>

#include "simwire/wire.h"

namespace flaxdoor::engine {

namespace {

using nlohmann::json;

constexpr double bytes_per_mb = 1024.0 * 1024.0;
constexpr double most_memory_mb = 1e9;

// Formats a scalar for a flattened line, in which blanks, commas and line ends are separators.
std::string scalar_text(const json& value) {
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    for (char& c : text) {
        if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
    }
    return text;
}

void flatten_into(std::string& lines, const std::string& path, const json& value) {
    const auto child_path = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (value.is_object()) {
        for (const auto& [name, member] : value.items()) flatten_into(lines, child_path(name), member);
    } else if (value.is_array() && !value.empty() && value.front().is_object()) {
        lines += child_path("count") + "=" + std::to_string(value.size()) + "\n";
        for (std::size_t i = 0; i < value.size(); ++i) {
            flatten_into(lines, child_path(std::to_string(i)), value[i]);
        }
    } else if (value.is_array()) {
        lines += path + "=";
        for (std::size_t i = 0; i < value.size(); ++i) {
            if (i > 0) lines += ',';
            lines += scalar_text(value[i]);
        }
        lines += "\n";
    } else if (!value.is_null()) {
        lines += path + "=" + scalar_text(value) + "\n";
    }
}

// Returns the strings of a list in the settings; none if it is missing.
std::vector<std::string> string_list(const json& settings, const char* name) {
    std::vector<std::string> items;
    const auto found = settings.find(name);
    if (found == settings.end() || !found->is_array()) return items;
    for (const auto& item : *found) {
        if (item.is_string()) items.push_back(item.get<std::string>());
    }
    return items;
}

// Restores the names of classes and tenants as messages use them; flattening may have replaced characters.
template <typename Items>
void restore_names(Items& items, const json& settings, const char* list) {
    for (std::size_t i = 0; i < items.size(); ++i) items[i].name = settings.at(list).at(i).at("name");
}

std::uint64_t parse_seed(const json& seed) {
    if (seed.is_number_unsigned()) return seed.get<std::uint64_t>();
    const auto text = seed.get<std::string>();
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc{} || end != text.data() + text.size()) {
        throw std::invalid_argument("seed unreadable");
    }
    return value;
}

// Returns `limits.memory_mb` in bytes; 0 if it is missing.
std::size_t parse_memory(const json& limits) {
    const auto found = limits.find("memory_mb");
    if (found == limits.end()) return 0;
    if (!found->is_number() || found->get<double>() <= 0 || found->get<double>() > most_memory_mb)
        throw std::invalid_argument("limits.memory_mb is " + found->dump() +
                                    ", must be a number above 0, in megabytes of 1024 * 1024 bytes");
    return static_cast<std::size_t>(found->get<double>() * bytes_per_mb);
}

// Validates settings that could be parsed, so that a start or a reload does not use contradictory values. Reports the first
// fault with its key in the file, its value, and the permitted values.
class Validator {
public:
    explicit Validator(const json& settings) : json_(settings) {}

    void check(const Settings& settings) const {
        require(settings.balancers >= 1, "siblings", "at least 1");
        require(settings.rank >= 0 && settings.rank < settings.balancers, "rank",
                "from 0, and below siblings");
        // Without zones there are no upstreams; the host may provide them later.
        require(settings.zone >= 0 && (settings.zones == 0 || settings.zone < settings.zones), "zone",
                "an index into zones, from 0");
        require(settings.tick > Micros{0}, "tick", "above 0 ms");
        require(settings.max_attempts >= 1, "limits.max_attempts", "at least 1");
        require(settings.over_share_worth >= 0 && settings.over_share_worth <= 1, "over_share_worth",
                "from 0 to 1");
        require(settings.cold_share > 0 && settings.cold_share <= 1, "invariants.cold_from",
                "above 0, at most 1");
        require(settings.fall_span <= Micros{0} || settings.fall_multiple > 0, "invariants.fall_multiple",
                "above 0 where invariants.fall is given");
        require(!settings.must_request_list || settings.ask_within > Micros{0}, "invariants.ask_within",
                "above 0 ms where registry_mode is \"ask\"");
        for (std::size_t i = 0; i < settings.classes.size(); ++i)
            check_class("services", i, settings.classes[i]);
        for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
            const auto& tenant = settings.tenants[i];
            require(tenant.quota_per_s >= 0, key("tenants", i, "quota_rps"),
                    "0 (none) or more, in requests a second");
            require(tenant.fraction >= 0 && tenant.fraction <= 1, key("tenants", i, "fraction"),
                    "a share from 0 to 1");
        }
        check_names("services", settings.classes);
        check_names("tenants", settings.tenants);
    }

private:
    void check_class(const char* list, std::size_t i, const ClassSettings& settings) const {
        require(settings.aim > Micros{0}, key(list, i, "aim"), "above 0 ms");
        require(settings.deadline >= settings.aim, key(list, i, "hard_limit"), "at least its aim, in ms");
        require(settings.worth >= 0, key(list, i, "worth"), "0 or more");
        require(settings.late_worth >= 0 && settings.late_worth <= 1, key(list, i, "late_worth"),
                "a share of worth, from 0 to 1");
        require(settings.effect != Effect::keyed || settings.window > Micros{0}, key(list, i, "window"),
                "above 0 ms where effect is \"deduplicated\"");
    }

    template <typename Named>
    void check_names(const char* list, const std::vector<Named>& entries) const {
        std::unordered_set<std::string_view> names;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            require(!entries[i].name.empty(), key(list, i, "name"), "a name that is not empty");
            require(names.insert(entries[i].name).second, key(list, i, "name"),
                    "a name that no entry before it has");
        }
    }

    static std::string key(const char* list, std::size_t i, const char* name) {
        return std::string(list) + "." + std::to_string(i) + "." + name;
    }

    void require(bool holds, const std::string& path, const char* permitted) const {
        if (holds) return;
        const json* value = &json_;
        std::istringstream parts(path);
        for (std::string part; value && std::getline(parts, part, '.');) {
            const bool is_index = value->is_array();
            value = is_index                ? &value->at(std::stoul(part))
                    : value->contains(part) ? &value->at(part)
                                            : nullptr;
        }
        throw std::invalid_argument("settings." + path + " is " + (value ? value->dump() : "missing") +
                                    ", must be " + permitted);
    }

    const json& json_;
};

}  // namespace

std::string flatten(const json& settings) {
    std::string lines;
    flatten_into(lines, "", settings);
    return lines;
}

Config parse_config(std::string_view text) {
    const json document = json::parse(text);
    const json& settings = document.at("settings");
    Config config;
    config.name = document.value("name", "");
    config.settings = wire::parse_settings(flatten(settings));
    restore_names(config.settings.classes, settings, "services");
    restore_names(config.settings.tenants, settings, "tenants");
    Validator(settings).check(config.settings);
    config.seed = parse_seed(document.at("seed"));
    config.listen = loop::parse_endpoint(document.at("listen").get<std::string>());
    config.discovery = loop::parse_endpoint(document.at("discovery").get<std::string>());
    if (const auto limits = document.find("limits"); limits != document.end()) {
        const json sockets = limits->value("sockets", json(config.sockets));
        if (!sockets.is_number_unsigned() || sockets == 0)
            throw std::invalid_argument("limits.sockets is " + sockets.dump() +
                                        ", must be a whole number above 0");
        config.sockets = sockets.get<std::size_t>();
        config.memory_bytes = parse_memory(*limits);
    }
    if (const auto reports = settings.find("load_report"); reports != settings.end()) {
        config.report_fields = string_list(*reports, "fields");
    }
    config.names = {string_list(settings, "zones"), string_list(settings, "flavors")};
    if (const auto known = document.find("known"); known != document.end()) {
        config.known = membership::parse_list(known->dump(), config.names);
    }
    config.known.kind = ListKind::cached;
    return config;
}

Config load_config(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) throw std::runtime_error("can't be read");
    return parse_config(text.str());
}

}  // namespace flaxdoor::engine
