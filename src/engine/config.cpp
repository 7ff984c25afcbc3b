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

std::string plain(const json& value) {
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    for (char& c : text) {
        if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
    }
    return text;
}

void flatten_into(std::string& lines, const std::string& path, const json& value) {
    const auto below = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (value.is_object()) {
        for (const auto& [name, member] : value.items()) flatten_into(lines, below(name), member);
    } else if (value.is_array() && !value.empty() && value.front().is_object()) {
        lines += below("count") + "=" + std::to_string(value.size()) + "\n";
        for (std::size_t i = 0; i < value.size(); ++i) {
            flatten_into(lines, below(std::to_string(i)), value[i]);
        }
    } else if (value.is_array()) {
        lines += path + "=";
        for (std::size_t i = 0; i < value.size(); ++i) {
            if (i > 0) lines += ',';
            lines += plain(value[i]);
        }
        lines += "\n";
    } else if (!value.is_null()) {
        lines += path + "=" + plain(value) + "\n";
    }
}

std::vector<std::string> strings(const json& settings, const char* name) {
    std::vector<std::string> items;
    const auto found = settings.find(name);
    if (found == settings.end() || !found->is_array()) return items;
    for (const auto& item : *found) {
        if (item.is_string()) items.push_back(item.get<std::string>());
    }
    return items;
}

// The classes and tenants by the names that messages hold, which the flattened form may have altered.
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

// Guards against a start, or a reload, with settings that can be read and make no sense. The first fault is told, by its
// key in the file, with what it holds and what it may hold.
class Sense {
public:
    explicit Sense(const json& settings) : settings_(settings) {}

    void check(const Settings& s) const {
        require(s.balancers >= 1, "siblings", "at least 1");
        require(s.rank >= 0 && s.rank < s.balancers, "rank", "from 0, and below siblings");
        // Without zones there is nobody to send to, which a host may fill in later.
        require(s.zone >= 0 && (s.zones == 0 || s.zone < s.zones), "zone",
                "the place of one of zones, from 0");
        require(s.tick > Micros{0}, "tick", "above 0 ms");
        require(s.max_attempts >= 1, "limits.max_attempts", "at least 1");
        require(s.over_share_worth >= 0 && s.over_share_worth <= 1, "over_share_worth", "from 0 to 1");
        require(s.cold_share > 0 && s.cold_share <= 1, "invariants.cold_from", "above 0, at most 1");
        require(s.fall_span <= Micros{0} || s.fall_multiple > 0, "invariants.fall_multiple",
                "above 0 where fall is told");
        require(!s.must_ask_list || s.ask_within > Micros{0}, "invariants.ask_within",
                "above 0 ms where lists are asked for");
        for (std::size_t i = 0; i < s.classes.size(); ++i) check_class("services", i, s.classes[i]);
        for (std::size_t i = 0; i < s.tenants.size(); ++i) {
            const auto& t = s.tenants[i];
            require(t.quota_per_s >= 0, key("tenants", i, "quota_rps"),
                    "0 (none) or more, in requests a second");
            require(t.fraction >= 0 && t.fraction <= 1, key("tenants", i, "fraction"), "a share from 0 to 1");
        }
        check_names("services", s.classes);
        check_names("tenants", s.tenants);
    }

private:
    void check_class(const char* list, std::size_t i, const ClassSettings& c) const {
        require(c.aim > Micros{0}, key(list, i, "aim"), "above 0 ms");
        require(c.deadline >= c.aim, key(list, i, "hard_limit"), "at least its aim, in ms");
        require(c.worth >= 0, key(list, i, "worth"), "0 or more");
        require(c.late_worth >= 0 && c.late_worth <= 1, key(list, i, "late_worth"),
                "a share of worth, from 0 to 1");
        require(c.effect != Effect::keyed || c.window > Micros{0}, key(list, i, "window"),
                "above 0 ms where effect is \"deduplicated\"");
    }

    template <typename Named>
    void check_names(const char* list, const std::vector<Named>& all) const {
        std::unordered_set<std::string_view> names;
        for (std::size_t i = 0; i < all.size(); ++i) {
            require(!all[i].name.empty(), key(list, i, "name"), "what requests call it by");
            require(names.insert(all[i].name).second, key(list, i, "name"),
                    "another name than those before it");
        }
    }

    static std::string key(const char* list, std::size_t i, const char* name) {
        return std::string(list) + "." + std::to_string(i) + "." + name;
    }

    void require(bool holds, const std::string& path, const char* what) const {
        if (holds) return;
        const json* value = &settings_;
        std::istringstream parts(path);
        for (std::string part; value && std::getline(parts, part, '.');) {
            const bool place = value->is_array();
            value = place ? &value->at(std::stoul(part)) : value->contains(part) ? &value->at(part) : nullptr;
        }
        throw std::invalid_argument("settings." + path + " is " + (value ? value->dump() : "missing") +
                                    ", must be " + what);
    }

    const json& settings_;
};

}  // namespace

std::string flatten(const json& settings) {
    std::string lines;
    flatten_into(lines, "", settings);
    return lines;
}

Config parse_config(std::string_view text) {
    const json config = json::parse(text);
    const json& settings = config.at("settings");
    Config c;
    c.name = config.value("name", "");
    c.settings = wire::parse_facts(flatten(settings));
    restore_names(c.settings.classes, settings, "services");
    restore_names(c.settings.tenants, settings, "tenants");
    Sense(settings).check(c.settings);
    c.seed = parse_seed(config.at("seed"));
    c.listen = loop::parse_endpoint(config.at("listen").get<std::string>());
    c.discovery = loop::parse_endpoint(config.at("discovery").get<std::string>());
    if (const auto limits = config.find("limits"); limits != config.end()) {
        const json sockets = limits->value("sockets", json(c.sockets));
        if (!sockets.is_number_unsigned() || sockets == 0)
            throw std::invalid_argument("limits.sockets is " + sockets.dump() +
                                        ", must be a whole number above 0");
        c.sockets = sockets.get<std::size_t>();
    }
    if (const auto reports = settings.find("load_report"); reports != settings.end()) {
        c.report_fields = strings(*reports, "fields");
    }
    c.names = {strings(settings, "zones"), strings(settings, "flavors")};
    if (const auto known = config.find("known"); known != config.end()) {
        c.known = membership::parse_list(known->dump(), c.names);
    }
    c.known.kind = ListKind::cached;
    return c;
}

Config load_config(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) throw std::runtime_error("can't be read");
    return parse_config(text.str());
}

}  // namespace flaxdoor::engine
