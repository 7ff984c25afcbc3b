#include "real/rosters.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace flaxdoor::lab::real {

namespace {

std::string text_of(const boost::asio::ip::tcp::endpoint& address) {
    return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

Rosters::Rosters(boost::asio::io_context& loop, const Experiment& part, const Terms& terms,
                 const Nodes& nodes, const std::vector<std::uint32_t>& first, Recorder& recorder)
    : part_(part), terms_(terms), nodes_(nodes), recorder_(recorder), first_(first) {
    agents_.resize(static_cast<std::size_t>(part.fleet.balancers));
    for (std::uint32_t b = 0; b < agents_.size(); ++b) {
        standins::Roster::Settings settings;
        settings.on_event = [this, b](const standins::RosterEvent& event) { sent(b, event); };
        agents_[b].roster = std::make_unique<standins::Roster>(loop, std::move(settings));
        std::vector<standins::RosterEntry> entries;
        for (const std::uint32_t server : first_) entries.push_back(entry_of(server));
        agents_[b].roster->set(entries);
    }
}

standins::RosterEntry Rosters::entry_of(std::uint32_t server) const {
    standins::RosterEntry entry;
    entry.host = "s" + std::to_string(server);
    entry.dial = text_of(nodes_.address(server));
    entry.site = part_.fleet.zones[terms_.server_zones[server]].name;
    entry.cls = "m";
    if (const std::uint64_t began = nodes_.began(server); began != 0) {
        const auto ago = std::chrono::steady_clock::now() - recorder_.time_of(began);
        entry.born_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch() - ago)
                            .count();
    }
    return entry;
}

void Rosters::tell(std::uint32_t balancer, std::uint32_t server, Word word) {
    Agent& its = agents_[balancer];
    const auto there = its.roster->find("s" + std::to_string(server));
    switch (word) {
        case Word::ready:
            if (there && there->health == "active") return;
            its.roster->set(entry_of(server));
            break;
        case Word::draining:
            if (!there || there->health == "leaving") return;
            its.roster->drain(there->host);
            break;
        case Word::gone:
            if (!there) return;
            its.roster->remove(there->host);
            break;
    }
    its.changes.push_back({its.roster->version(), server, word, nodes_.began(server)});
}

void Rosters::sent(std::uint32_t balancer, const standins::RosterEvent& event) {
    using Kind = standins::RosterEvent::Kind;
    if (event.kind != Kind::line_sent && event.kind != Kind::list_sent) return;
    Agent& its = agents_[balancer];
    its.read = true;
    for (; its.noted < its.changes.size() && its.changes[its.noted].version <= event.version; ++its.noted) {
        const Change& change = its.changes[its.noted];
        recorder_.note(recorder_.since_begin(event.at), Event::told, balancer, change.server, 0,
                       static_cast<std::uint64_t>(change.word), change.began);
    }
}

std::string Rosters::address(std::uint32_t balancer) const {
    return text_of(agents_[balancer].roster->address());
}

bool Rosters::heard_by_all() const {
    for (const Agent& agent : agents_) {
        if (!agent.read) return false;
    }
    return true;
}

nlohmann::json Rosters::first_list() const {
    using nlohmann::json;
    json all = json::array();
    if (!part_.fleet.knows_start) return all;
    for (const std::uint32_t server : first_) {
        const standins::RosterEntry entry = entry_of(server);
        all.push_back({{"host", entry.host},
                       {"dial", entry.dial},
                       {"site", entry.site},
                       {"class", entry.cls},
                       {"block", entry.block},
                       {"health", entry.health},
                       {"share", entry.share},
                       {"born_ms", entry.born_ms}});
    }
    return all;
}

}  // namespace flaxdoor::lab::real
