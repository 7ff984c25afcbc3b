// All that is written as JSON by the node and the client, in one place, as the library is slow to compile.
#include <nlohmann/json.hpp>

#include "booking_node.h"
#include "tally.h"

namespace flaxdoor::standins {

using nlohmann::ordered_json;

namespace {

// Names may hold any bytes; what is no UTF-8 is replaced.
std::string line_of(const ordered_json& json) {
    return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

ordered_json of(const ClassTally& tally) {
    ordered_json json{{"calls", tally.calls}};
    for (std::size_t i = 0; i < outcomes; ++i)
        json[std::string(name_of(static_cast<Outcome>(i)))] = tally.by_outcome[i];
    json["again"] = tally.again;
    json["resent"] = tally.resent;
    for (const auto& [name, latencies] :
         {std::pair{"served_us", &tally.served}, {"answered_us", &tally.answered}})
        json[name] = {{"p50", latencies->quantile(0.5).count()},
                      {"p99", latencies->quantile(0.99).count()},
                      {"p99.9", latencies->quantile(0.999).count()},
                      {"most", latencies->most().count()}};
    return json;
}

}  // namespace

std::string ClientReport::json() const {
    ordered_json by_class = ordered_json::object();
    for (const auto& [name, tally] : classes) by_class[name] = of(tally);
    const auto sum = total();
    return line_of({{"seconds", seconds},
                    {"seed", seed},
                    {"calls_per_s", seconds > 0 ? static_cast<double>(sum.calls) / seconds : 0.0},
                    {"all", of(sum)},
                    {"classes", by_class},
                    {"connections", connections},
                    {"connects_failed", connects_failed},
                    {"surplus", surplus},
                    {"garbled", garbled},
                    {"broken_kept", broken_kept},
                    {"informational", informational},
                    {"retry_after", retry_after},
                    {"not_sent", not_sent},
                    {"lag_most_us", lag_most.count()}});
}

std::string BookingNode::counts_json() const {
    const auto n = counts();
    const auto& e = effects().counts();
    return line_of({{"node", name()},
                    {"accepted", n.accepted},
                    {"open", n.open},
                    {"over_cap", n.over_cap},
                    {"idle_closed", n.idle_closed},
                    {"begun", n.begun},
                    {"started", n.started},
                    {"ran", n.ran},
                    {"finished", n.finished},
                    {"answered", n.answered},
                    {"dropped", n.dropped},
                    {"turned_away", n.turned_away},
                    {"given_up", n.given_up},
                    {"cut_short", n.cut_short},
                    {"bad", n.bad},
                    {"without_id", n.without_id},
                    {"unknown_id", n.unknown_id},
                    {"probes", n.probes},
                    {"pipelined", n.pipelined},
                    {"faults", n.faults},
                    {"running", n.running},
                    {"queued", n.queued},
                    {"events_lost", n.events_lost},
                    {"ran_by_class", n.ran_by_class},
                    {"effects",
                     {{"attempts", e.attempts},
                      {"ran", e.ran},
                      {"answered", e.answered},
                      {"safe_again", e.safe_again},
                      {"unsafe_again", e.unsafe_again},
                      {"key_again", e.key_again},
                      {"operation_again", e.operation_again},
                      {"second_copies", e.second_copies},
                      {"records_lost", e.records_lost}}}});
}

}  // namespace flaxdoor::standins
