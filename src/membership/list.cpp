#include "membership/list.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace flaxdoor::membership {

namespace {

using nlohmann::json;

UpstreamState state_of(const std::string& health) {
    if (health == "active") return UpstreamState::ready;
    if (health == "leaving") return UpstreamState::draining;
    if (health == "left") return UpstreamState::gone;
    throw std::invalid_argument("unknown health: " + health);
}

// Returns the index of the name, or the number of names if it is not there.
int index_of(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

core::Member parse_member(const json& host, const ListNames& names) {
    core::Member member;
    member.address = host.at("dial").get<std::string>();
    member.entry.state = state_of(host.at("health").get<std::string>());
    // The zone must be known: keyed requests are retried only within a zone.
    member.entry.zone = index_of(names.zones, host.at("site").get<std::string>());
    if (member.entry.zone == static_cast<int>(names.zones.size()))
        throw std::invalid_argument("unknown zone");
    member.entry.kind = index_of(names.kinds, host.value("class", ""));
    member.entry.cell = host.value("block", 0);
    member.entry.weight = host.value("share", 1.0);
    const double born_ms = host.value("born_ms", 0.0);
    if (!(born_ms >= 0 && born_ms < 1e15)) throw std::invalid_argument("born_ms out of range");
    member.entry.started_at = Time(static_cast<std::int64_t>(born_ms * 1000));
    return member;
}

}  // namespace

UpstreamId upstream_id_of(std::string_view name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

// Parses one entry. An invalid entry counts as gone: one bad entry must not make a balancer miss the changes of all other
// upstreams, such as their drains.
core::Member usable_member(const json& host, const ListNames& names, std::string* left_out) {
    core::Member member;
    const std::string name = host.at("host").get<std::string>();
    try {
        member = parse_member(host, names);
    } catch (const std::exception& error) {
        member.entry.state = UpstreamState::gone;
        if (left_out) *left_out = name + ": " + error.what();
    }
    member.name = name;
    member.entry.id = upstream_id_of(name);
    return member;
}

// Converts the hosts one by one while parsing: the JSON tree of a list of 5,000 hosts would take many times the memory of
// its text.
core::MemberList parse_list(std::string_view text, const ListNames& names, std::string* left_out) {
    core::MemberList list;
    bool in_hosts = false;
    const auto on_parse_event = [&](int depth, json::parse_event_t event, json& parsed) {
        if (depth == 1 && event == json::parse_event_t::key) in_hosts = parsed == "hosts";
        if (!in_hosts || depth != 2 || event != json::parse_event_t::object_end) return true;
        list.members.push_back(usable_member(parsed, names, left_out));
        return false;
    };
    const json rest = json::parse(text, on_parse_event);
    if (!rest.at("seq").is_number_unsigned())
        throw std::invalid_argument("seq must be a whole number from 0 on");
    list.version = rest.at("seq").get<std::uint64_t>();
    list.kind = rest.at("whole").get<bool>() ? ListKind::full : ListKind::delta;
    if (!rest.at("hosts").is_array() || !rest.at("hosts").empty()) {
        throw std::invalid_argument("hosts must be a list of objects");
    }
    return list;
}

}  // namespace flaxdoor::membership
