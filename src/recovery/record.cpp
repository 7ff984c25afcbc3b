#include "recovery/record.h"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace flaxdoor::recovery {

namespace {

using nlohmann::json;

constexpr std::string_view version = "1";
constexpr std::size_t hash_digits = 16;

// FNV-1a with 64 bits. Detects values that are not what was written under their key; it is no protection
// against forgery.
std::uint64_t hash(std::string_view key, std::string_view text) {
    std::uint64_t result = 0xcbf29ce484222325ULL;
    const auto add = [&](unsigned char byte) { result = (result ^ byte) * 0x100000001b3ULL; };
    for (const char c : key) add(static_cast<unsigned char>(c));
    add(0);
    for (const char c : text) add(static_cast<unsigned char>(c));
    return result;
}

std::string hex(std::uint64_t number) {
    char text[hash_digits + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

// Returns "1 <hash>\n<JSON>".
std::string encode_value(std::string_view key, const json& content) {
    const std::string text = content.dump();
    return std::string(version) + " " + hex(hash(key, text)) + "\n" + text;
}

// Throws if the value is not a record of this version, or is damaged.
json decode_value(std::string_view key, std::string_view value) {
    const auto line_end = value.find('\n');
    const auto head = value.substr(0, line_end == value.npos ? 0 : line_end);
    const auto space = head.find(' ');
    if (space == head.npos || space == 0) throw std::runtime_error("not a record");
    const auto found_version = head.substr(0, space);
    const auto text = value.substr(line_end + 1);
    // Checked before the hash, which may differ in other versions: a damaged version number can't be
    // distinguished from a newer version.
    if (found_version != version)
        throw std::runtime_error("of version " + std::string(found_version.substr(0, 8)));
    if (head.substr(space + 1) != hex(hash(key, text))) throw std::runtime_error("damaged");
    return json::parse(text);
}

std::int64_t to_us(Time time) { return time.count(); }
Time to_time(const json& value) { return Time(value.get<std::int64_t>()); }

const char* state_name(UpstreamState state) {
    return state == UpstreamState::draining ? "draining" : "ready";
}
UpstreamState to_state(const std::string& name) {
    if (name == "ready") return UpstreamState::ready;
    if (name == "draining") return UpstreamState::draining;
    throw std::runtime_error("unknown state");
}

std::string id_text(UpstreamId id) { return hex(id); }
UpstreamId to_id(const json& value, std::size_t part) {
    const auto& text = value.get_ref<const std::string&>();
    UpstreamId id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (error != std::errc{} || end != text.data() + text.size()) throw std::runtime_error("unreadable id");
    if (part_of(id) != part) throw std::runtime_error("the id belongs to another part");
    return id;
}

ListHeader to_list_header(const json& value) {
    ListHeader head;
    head.history = {value.at("discovery"), value.at("pool"), value.at("configuration")};
    head.version = value.at("version");
    head.told_at = to_time(value.at("told_at"));
    head.members = value.at("members");
    return head;
}

core::Member to_member(const json& value, std::size_t part) {
    core::Member member;
    member.entry.id = to_id(value.at("id"), part);
    member.name = value.at("name");
    member.address = value.at("address");
    member.entry.zone = value.at("zone");
    member.entry.kind = value.at("kind");
    member.entry.cell = value.at("cell");
    member.entry.state = to_state(value.at("state"));
    member.entry.weight = value.at("weight");
    member.entry.started_at = to_time(value.at("started_at"));
    return member;
}

UpstreamRecord to_upstream_record(const json& value, std::size_t part) {
    UpstreamRecord record;
    record.id = to_id(value.at("id"), part);
    record.address = value.at("address");
    record.started_at = to_time(value.at("started_at"));
    record.as_of = to_time(value.at("as_of"));
    LearnedState& memory = record.memory;
    memory.latency_us = value.at("latency_us");
    memory.own_in_flight = value.at("ours");
    memory.unloaded_latency_us = value.at("idle_us");
    memory.concurrency_limit = value.at("limit");
    memory.limit_was_reduced = value.at("limited");
    memory.consecutive_failures = value.at("strikes");
    memory.ejected = value.at("out");
    memory.connect_failed = value.at("died");
    memory.ejected_until = to_time(value.at("out_until"));
    memory.answered_at = to_time(value.at("answered_at"));
    memory.cold_start_at = to_time(value.at("cold_since"));
    return record;
}

std::string part_key(std::string_view pool, const char* kind, std::size_t part) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned>(part % parts));
    return std::string(pool) + "/" + kind + "/" + digits;
}

}  // namespace

std::string head_key(std::string_view pool) { return std::string(pool) + "/head"; }
std::string list_key(std::string_view pool, std::size_t part) { return part_key(pool, "list", part); }
std::string memory_key(std::string_view pool, std::size_t part) { return part_key(pool, "memory", part); }

std::pair<std::string, std::string> keys_of(std::string_view pool) {
    return {std::string(pool) + "/", std::string(pool) + "0"};  // '0' follows '/' in ASCII
}

std::string encode(std::string_view key, const ListHeader& head) {
    return encode_value(key, {{"discovery", head.history.discovery},
                              {"pool", head.history.pool},
                              {"configuration", head.history.configuration},
                              {"version", head.version},
                              {"told_at", to_us(head.told_at)},
                              {"members", head.members}});
}

std::string encode(std::string_view key, const std::vector<const core::Member*>& members) {
    json all = json::array();
    for (const core::Member* const member : members) {
        all.push_back({{"id", id_text(member->entry.id)},
                       {"name", member->name},
                       {"address", member->address},
                       {"zone", member->entry.zone},
                       {"kind", member->entry.kind},
                       {"cell", member->entry.cell},
                       {"state", state_name(member->entry.state)},
                       {"weight", member->entry.weight},
                       {"started_at", to_us(member->entry.started_at)}});
    }
    return encode_value(key, all);
}

std::string encode(std::string_view key, const std::vector<UpstreamRecord>& remembered) {
    json all = json::array();
    for (const UpstreamRecord& record : remembered) {
        const LearnedState& memory = record.memory;
        all.push_back({{"id", id_text(record.id)},
                       {"address", record.address},
                       {"started_at", to_us(record.started_at)},
                       {"as_of", to_us(record.as_of)},
                       {"latency_us", memory.latency_us},
                       {"ours", memory.own_in_flight},
                       {"idle_us", memory.unloaded_latency_us},
                       {"limit", memory.concurrency_limit},
                       {"limited", memory.limit_was_reduced},
                       {"strikes", memory.consecutive_failures},
                       {"out", memory.ejected},
                       {"died", memory.connect_failed},
                       {"out_until", to_us(memory.ejected_until)},
                       {"answered_at", to_us(memory.answered_at)},
                       {"cold_since", to_us(memory.cold_start_at)}});
    }
    return encode_value(key, all);
}

std::optional<ListOrigin> origin_of(std::string_view pool,
                                    const std::vector<std::pair<std::string, std::string>>& values) {
    const std::string header_key = head_key(pool);
    for (const auto& [key, value] : values) {
        if (key != header_key) continue;
        try {
            return to_list_header(decode_value(key, value)).history;
        } catch (const std::exception&) {
            return std::nullopt;  // decode() reports the reason
        }
    }
    return std::nullopt;
}

StoredSnapshot decode(std::string_view pool, const std::vector<std::pair<std::string, std::string>>& values) {
    StoredSnapshot stored;
    std::optional<ListHeader> head;
    std::vector<core::Member> members;
    bool complete = true;
    std::map<std::string, const std::string*, std::less<>> by_key;
    for (const auto& [key, value] : values) by_key.emplace(key, &value);

    // Returns whether the key is present and its value could be read.
    const auto read = [&](const std::string& key, auto apply) {
        const auto found = by_key.find(key);
        if (found == by_key.end()) return false;
        try {
            apply(decode_value(key, *found->second));
            return true;
        } catch (const std::exception& error) {
            stored.faults.push_back(key + ": " + error.what());
            return false;
        }
    };

    const bool has_list = by_key.contains(head_key(pool));
    read(head_key(pool), [&](const json& value) { head = to_list_header(value); });
    for (std::size_t part = 0; part < parts; ++part) {
        const bool part_readable = read(list_key(pool, part), [&](const json& value) {
            std::vector<core::Member> decoded;
            for (const json& each : value) decoded.push_back(to_member(each, part));
            members.insert(members.end(), decoded.begin(), decoded.end());
        });
        complete = complete && part_readable;
        read(memory_key(pool, part), [&](const json& value) {
            std::vector<UpstreamRecord> decoded;
            for (const json& each : value) decoded.push_back(to_upstream_record(each, part));
            for (UpstreamRecord& each : decoded) stored.remembered.insert_or_assign(each.id, std::move(each));
        });
    }
    if (head && complete && head->members == members.size()) {
        stored.list = {std::move(*head), std::move(members)};
    } else if (has_list) {
        stored.faults.push_back(head_key(pool) + ": the list is incomplete");
    }
    return stored;
}

}  // namespace flaxdoor::recovery
