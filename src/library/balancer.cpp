#include "flaxdoor/balancer.h"

#include <stdexcept>
#include <unordered_set>

#include "library/instance.h"

namespace flaxdoor {

std::string_view text_of(CallVerdict verdict) {
    switch (verdict) {
        case CallVerdict::served: return "served";
        case CallVerdict::refused: return "refused";
        case CallVerdict::failed: return "failed";
    }
    return "unknown";
}

std::string_view text_of(CallCause cause) {
    switch (cause) {
        case CallCause::none: return "none";
        case CallCause::no_room: return "no room";
        case CallCause::over_budget: return "over budget";
        case CallCause::turned_away: return "turned away";
        case CallCause::timed_out: return "timed out";
        case CallCause::broken: return "broken";
        case CallCause::error: return "error";
        case CallCause::overdue: return "overdue";
        case CallCause::own_shortage: return "own shortage";
        case CallCause::cancelled: return "cancelled";
        case CallCause::closed: return "closed";
        case CallCause::bad_request: return "bad request";
        case CallCause::name_open: return "name open";
        case CallCause::fault: return "fault";
    }
    return "unknown";
}

namespace {

// Converts the JSON parser's exceptions to std::invalid_argument.
engine::Config parse_node_config(std::string_view node_config) {
    try {
        return engine::parse_config(node_config);
    } catch (const std::exception& error) {
        throw std::invalid_argument(error.what());
    }
}

}  // namespace

BalancerOptions options_from(std::string_view node_config) {
    const engine::Config config = parse_node_config(node_config);
    BalancerOptions options;
    options.name = config.name;
    options.settings = config.settings;
    options.zones = config.names.zones;
    options.kinds = config.names.kinds;
    options.report_fields = config.report_fields;
    options.seed = config.seed;
    options.discovery = loop::text_of(config.discovery);
    options.listen = loop::text_of(config.listen);
    options.descriptors = config.sockets;
    options.memory_bytes = config.memory_bytes;
    options.open_calls = 0;
    options.servers.version = config.known.version;
    std::unordered_set<std::string_view> seen_names;
    for (const core::Member& member : config.known.members) {
        if (member.entry.state == UpstreamState::gone) continue;  // its zone need not be in the settings
        Server server;
        server.name = member.name;
        server.address = member.address;
        server.zone = config.names.zones[static_cast<std::size_t>(member.entry.zone)];
        const auto kind = static_cast<std::size_t>(member.entry.kind);
        if (kind < config.names.kinds.size()) server.kind = config.names.kinds[kind];
        server.cell = member.entry.cell;
        server.weight = member.entry.weight;
        server.draining = member.entry.state == UpstreamState::draining;
        server.started_at = member.entry.started_at;
        // Skips only the invalid server, as for lists of service discovery: the others are usable.
        if (!detail::usable(server, config.names) || !seen_names.insert(member.name).second) continue;
        options.servers.servers.push_back(std::move(server));
    }
    return options;
}

Balancer::Balancer(boost::asio::any_io_executor executor, const BalancerOptions& options)
    : instance_(std::make_shared<detail::Instance>(std::move(executor), options)) {
    instance_->begin();
}

Balancer::~Balancer() { instance_->abandon(); }

void Balancer::reconfigure(const BalancerOptions& options) { instance_->reconfigure(options); }
void Balancer::set_servers(ServerList servers) { instance_->set_servers(std::move(servers)); }
std::string Balancer::address() const { return instance_->address(); }
BalancerFigures Balancer::figures() const { return instance_->figures(); }

}  // namespace flaxdoor
