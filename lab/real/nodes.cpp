#include "real/nodes.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "experiment/plan.h"

namespace flaxdoor::lab::real {

namespace {

using standins::BookingNode;
using standins::NodeEvent;
using std::chrono::milliseconds;

std::uint64_t call_of(std::string_view id) {
    std::uint64_t call = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), call, 16);
    return error == std::errc{} && end == id.data() + id.size() ? call : 0;
}

milliseconds whole_ms(Micros span) { return std::chrono::duration_cast<milliseconds>(span); }

}  // namespace

Nodes::Nodes(boost::asio::io_context& loop, const Experiment& part, const Terms& terms, Recorder& recorder,
             const Callers& callers)
    : loop_(loop), part_(part), terms_(terms), recorder_(recorder), callers_(callers) {}
Nodes::~Nodes() = default;

void Nodes::start(std::uint32_t number, double capacity, bool cold) {
    const ServerModel& model = part_.servers;
    bool by_zone = false;
    Micros window{0};
    for (const CallClass& c : part_.classes) {
        if (c.told.effect != Effect::keyed) continue;
        by_zone = c.told.group == DeduplicationScope::zone;
        window = c.told.window;
    }
    const std::uint8_t zone = terms_.server_zones[number];
    auto& keys = windows_[by_zone ? zone : std::uint8_t{0}];
    if (!keys) keys = std::make_shared<standins::KeyWindow>(whole_ms(window), real_calls_most);
    Server& its = servers_[number];
    its.speed = capacity / model.cores / 1e6;
    its.up = true;
    const std::uint64_t at = recorder_.since_begin(std::chrono::steady_clock::now());
    its.began = cold ? std::max<std::uint64_t>(1, at) : 0;
    BookingNode::Settings s;
    s.name = "s" + std::to_string(number);
    s.seed = part_.seed * 1000 + number;
    s.workers = static_cast<std::size_t>(model.cores);
    s.queue_most = static_cast<std::size_t>(model.waiting_room);
    s.connections_most = static_cast<std::size_t>(model.connections);
    s.idle_close = whole_ms(part_.network.idle_close);
    if (cold) {
        s.cold_share = model.cold_share;
        s.cold_for = whole_ms(model.ramp);
        s.cold_at_start = true;
    }
    s.report = {{BookingNode::Measure::inflight, "active"},
                {BookingNode::Measure::latency_ms, "avg_ms"},
                {BookingNode::Measure::eps, "err_rps"}};
    s.keys = keys;
    s.known_call = [this](std::string_view id) {
        const bool known = callers_.find(call_of(id)) != nullptr;
        unknown_ += known ? 0 : 1;
        return known;
    };
    s.first_on_connection =
        Micros(std::llround(static_cast<double>(model.handshake_work.count()) / its.speed));
    s.work_for = [this, number](std::string_view id) { return work_of(number, id); };
    s.on_event = [this, number](const NodeEvent& event) { happened(number, event); };
    recorder_.note(at, Event::server_up, number, 0, 0, static_cast<std::uint64_t>(std::llround(capacity)),
                   cold ? 1 : 0);
    its.node = std::make_unique<BookingNode>(loop_, std::move(s));
    set_faults(number);
}

void Nodes::stop(std::uint32_t number) {
    const auto found = servers_.find(number);
    if (found == servers_.end() || !found->second.up) return;
    found->second.up = false;
    recorder_.note(recorder_.since_begin(std::chrono::steady_clock::now()), Event::server_down, number);
    found->second.node->die();
}

std::chrono::microseconds Nodes::work_of(std::uint32_t number, std::string_view id) const {
    const Callers::Sent* const sent = callers_.find(call_of(id));
    const Server& its = servers_.at(number);
    double work = sent ? static_cast<double>(sent->work.count()) : 0;
    const ServerModel& model = part_.servers;
    if (model.thrash_from > 0) {
        const auto counts = its.node->counts();
        const auto in_hand = static_cast<int>(counts.running + counts.queued) + 1;
        if (in_hand > model.thrash_from) work *= 1 + model.thrash_each * (in_hand - model.thrash_from);
    }
    double speed = its.speed;
    for (const auto& [trouble, hit] : troubles_) {
        const Trouble& what = part_.troubles[trouble];
        if (what.kind == Trouble::Kind::shared_slow ||
            (what.kind == Trouble::Kind::slow && std::find(hit.begin(), hit.end(), number) != hit.end())) {
            speed /= what.size;
        }
    }
    return std::chrono::microseconds(std::max<std::int64_t>(1, std::llround(work / speed)));
}

void Nodes::trouble(std::size_t number, const std::vector<std::uint32_t>& hit, bool begins) {
    if (begins) {
        troubles_[number] = hit;
    } else {
        troubles_.erase(number);
    }
    for (const std::uint32_t server : hit) set_faults(server);
}

void Nodes::set_faults(std::uint32_t number) {
    const auto found = servers_.find(number);
    if (found == servers_.end() || !found->second.up) return;
    BookingNode& node = *found->second.node;
    node.clear_faults();
    for (const auto& [trouble, hit] : troubles_) {
        if (std::find(hit.begin(), hit.end(), number) == hit.end()) continue;
        const Trouble& what = part_.troubles[trouble];
        standins::Fault fault;
        if (what.kind == Trouble::Kind::hang) {
            fault.point = standins::FaultPoint::never;
            fault.run = false;
            fault.end = standins::FaultEnd::silence;
            node.add(fault);
        } else if (what.kind == Trouble::Kind::failing) {
            // Half of what fails had its effect before.
            const double each = std::min(1.0, what.size) / 2;
            fault.point = standins::FaultPoint::status;
            fault.n = 500;
            fault.chance = each;
            node.add(fault);
            fault.run = false;
            fault.chance = each / (1 - each);
            node.add(fault);
        }
    }
}

void Nodes::happened(std::uint32_t number, const NodeEvent& e) {
    Server& its = servers_.at(number);
    const std::uint64_t at = recorder_.since_begin(e.at);
    if (e.kind == NodeEvent::Kind::first_byte) {
        its.first_bytes[e.request] = at;
        return;
    }
    if (e.kind == NodeEvent::Kind::ended) {  // what was out on it
        for (auto one = its.attempts.begin(); one != its.attempts.end();) {
            if (one->second.connection != e.connection) {
                ++one;
                continue;
            }
            const Attempt& a = one->second;
            recorder_.note(at, Event::heard, a.balancer, number, a.call, a.number,
                           static_cast<std::uint64_t>(e.text == "died" ? Heard::reset : Heard::timed_out));
            one = its.attempts.erase(one);
        }
        return;
    }
    if (e.kind == NodeEvent::Kind::last_byte) {
        const std::uint64_t call = call_of(e.call_id);
        const Callers::Sent* const sent = callers_.find(call);
        const auto first = its.first_bytes.find(e.request);
        const std::uint64_t began = first == its.first_bytes.end() ? at : first->second;
        if (first != its.first_bytes.end()) its.first_bytes.erase(first);
        if (!sent) return;
        const Attempt a{call, e.connection, ++attempts_[call], sent->balancer, false};
        its.attempts[e.request] = a;
        recorder_.note(began, Event::sending, a.balancer, number, call, a.number);
        recorder_.note(at, Event::arrived, number, a.balancer, call, a.number,
                       static_cast<std::uint64_t>(sent->work.count()));
        return;
    }
    const auto found = its.attempts.find(e.request);
    if (found == its.attempts.end()) {
        // Its client's balancer has gone, and the work runs on.
        if (e.kind == NodeEvent::Kind::ran) {
            if (const auto* const sent = callers_.find(call_of(e.call_id)))
                recorder_.note(at, Event::ran, number, sent->balancer, call_of(e.call_id),
                               attempts_[call_of(e.call_id)], 1);
        }
        return;
    }
    Attempt& a = found->second;
    const auto heard = [&](Heard how) {
        recorder_.note(at, Event::heard, a.balancer, number, a.call, a.number,
                       static_cast<std::uint64_t>(how));
        its.attempts.erase(found);
    };
    const auto replied = [&](Reply how) {
        recorder_.note(at, Event::replied, number, a.balancer, a.call, a.number,
                       static_cast<std::uint64_t>(how));
    };
    switch (e.kind) {
        case NodeEvent::Kind::turned_away:
            a.away = true;
            recorder_.note(at, Event::turned_away, number, a.balancer, a.call, a.number);
            return;
        case NodeEvent::Kind::ran:
            recorder_.note(at, Event::ran, number, a.balancer, a.call, a.number, 1);
            return;
        case NodeEvent::Kind::dropped:
            recorder_.note(at, Event::ran, number, a.balancer, a.call, a.number, 0);
            return;
        case NodeEvent::Kind::answered:
            if (a.away) return heard(Heard::turned_away);
            replied(e.text == "whole" ? Reply::ok : Reply::error);
            return heard(e.text == "whole" ? Heard::ok : Heard::error);
        case NodeEvent::Kind::given_up: return heard(Heard::timed_out);
        default: return;
    }
}

void Nodes::sample() {
    const std::uint64_t at = recorder_.since_begin(std::chrono::steady_clock::now());
    for (const auto& [number, its] : servers_) {
        if (!its.up) continue;
        const auto counts = its.node->counts();
        recorder_.note(at, Event::load, number, 0, 0, counts.running + counts.queued, counts.queued);
    }
}

boost::asio::ip::tcp::endpoint Nodes::address(std::uint32_t server) const {
    return servers_.at(server).node->address();
}
std::uint64_t Nodes::began(std::uint32_t server) const { return servers_.at(server).began; }

}  // namespace flaxdoor::lab::real
