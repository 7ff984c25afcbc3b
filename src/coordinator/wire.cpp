#include "coordinator/wire.h"

#include <algorithm>
#include <array>
#include <utility>

#include "coordinator/fields.h"

namespace flaxdoor::coordinator {

using budget::Amount;
using budget::Counts;
using budget::Verdict;

namespace {

constexpr std::array all_counts{Counts::requests, Counts::attempts, Counts::retries, Counts::concurrency};
constexpr std::array all_verdicts{Verdict::granted,      Verdict::waiting,  Verdict::name_taken,
                                  Verdict::stepped_down, Verdict::too_many, Verdict::clock_off,
                                  Verdict::at_odds};

// Truncates a reason at a character boundary.
std::string truncated_reason(std::string_view why) {
    std::size_t size = std::min(why.size(), max_reason_size);
    while (size > 0 && size < why.size() && (static_cast<unsigned char>(why[size]) & 0xC0) == 0x80) --size;
    return std::string(why.substr(0, size));
}

}  // namespace

bool valid_name(std::string_view name) {
    return !name.empty() && name.size() <= max_name_size &&
           std::none_of(name.begin(), name.end(),
                        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; });
}

std::string_view text_of(Counts counts) {
    switch (counts) {
        case Counts::requests: return "requests";
        case Counts::attempts: return "attempts";
        case Counts::retries: return "retries";
        case Counts::concurrency: return "concurrency";
    }
    return "unknown";
}

std::string encode(const budget::LeaseRequest& request) {
    Json needs = Json::array();
    for (const budget::BudgetDemand& need : request.needs) {
        needs.push_back({{"budget", need.budget},
                         {"counts", text_of(need.counts)},
                         {"wants", json_of(need.wanted)},
                         {"leased", json_of(need.leased)},
                         {"reserve", json_of(need.reserve)},
                         {"in_use", need.in_use}});
    }
    return text_of_json({{"holder", request.holder},
                         {"instance", request.instance},
                         {"number", request.number},
                         {"taken", Json::array({request.accepted.epoch, request.accepted.seq})},
                         {"epoch", request.epoch},
                         {"clock_us", request.clock.count()},
                         {"leaving", request.leaving},
                         {"needs", std::move(needs)}});
}

std::variant<budget::LeaseRequest, Malformed> decode_request(std::string_view text) {
    return decode<budget::LeaseRequest>(text, max_message_size,
                                        [](const Fields& in, budget::LeaseRequest& request) {
                                            request.holder = in.name("holder");
                                            request.instance = in.name("instance");
                                            request.number = in.number("number");
                                            request.accepted = in.fence("taken");
                                            request.epoch = in.number("epoch");
                                            request.clock = in.time("clock_us");
                                            request.leaving = in.flag("leaving");
                                            in.for_each("needs", max_needs, [&](const Fields& each) {
                                                budget::BudgetDemand need;
                                                need.budget = each.name("budget");
                                                need.counts = each.one_of("counts", all_counts);
                                                need.wanted = each.amount("wants");
                                                need.leased = each.amount("leased");
                                                need.reserve = each.amount("reserve");
                                                need.in_use = each.integer("in_use", 0, max_size);
                                                request.needs.push_back(std::move(need));
                                            });
                                        });
}

std::string encode(const budget::LeaseReply& reply) {
    Json grants = Json::array();
    for (const budget::Grant& grant : reply.grants) {
        grants.push_back({{"budget", grant.budget}, {"share", json_of(grant.share)}});
    }
    return text_of_json({{"verdict", text_of(reply.verdict)},
                         {"why", truncated_reason(reply.why)},
                         {"number", reply.number},
                         {"epoch", reply.epoch},
                         {"seq", reply.seq},
                         {"term_us", reply.term.count()},
                         {"again_us", reply.retry_after.count()},
                         {"gap_us", reply.min_request_interval.count()},
                         {"grants", std::move(grants)}});
}

std::variant<budget::LeaseReply, Malformed> decode_reply(std::string_view text) {
    return decode<budget::LeaseReply>(
        text, max_message_size, [](const Fields& in, budget::LeaseReply& reply) {
            reply.verdict = in.one_of("verdict", all_verdicts);
            reply.why = in.why("why");
            reply.number = in.number("number");
            reply.epoch = in.number("epoch");
            reply.seq = in.number("seq");
            reply.term = in.span("term_us");
            reply.retry_after = in.span("again_us");
            reply.min_request_interval = in.span("gap_us");
            in.for_each("grants", max_needs, [&](const Fields& each) {
                reply.grants.push_back({each.name("budget"), each.amount("share")});
            });
        });
}

std::string encode(const View& view) {
    Json sums = Json::array(), held = Json::array(), refused = Json::array();
    for (const View::Sum& sum : view.sums) {
        sums.push_back({{"budget", sum.budget},
                        {"counts", text_of(sum.counts)},
                        {"whole", json_of(sum.whole)},
                        {"reserved", json_of(sum.reserved)},
                        {"counted", json_of(sum.counted)}});
    }
    for (const View::Held& each : view.held) {
        held.push_back({{"budget", each.budget},
                        {"holder", each.holder},
                        {"instance", each.instance},
                        {"counted", json_of(each.counted)},
                        {"share", json_of(each.share)},
                        {"wants", json_of(each.wants)},
                        {"in_use", each.in_use},
                        {"left_us", each.left.count()},
                        {"why", truncated_reason(each.why)}});
    }
    for (const View::Refused& each : view.refused) {
        refused.push_back({{"holder", each.holder},
                           {"instance", each.instance},
                           {"verdict", text_of(each.verdict)},
                           {"why", truncated_reason(each.why)},
                           {"ago_us", each.ago.count()}});
    }
    return text_of_json({{"epoch", view.epoch},
                         {"waits_us", view.waits.count()},
                         {"stepped_down", view.stepped_down},
                         {"trouble", truncated_reason(view.trouble)},
                         {"budgets", std::move(sums)},
                         {"held", std::move(held)},
                         {"refused", std::move(refused)},
                         {"left_out", view.left_out}});
}

std::variant<View, Malformed> decode_view(std::string_view text) {
    return decode<View>(text, max_view_size, [](const Fields& in, View& view) {
        view.epoch = in.number("epoch");
        view.waits = Micros(in.integer("waits_us", 0, max_time));
        view.stepped_down = in.flag("stepped_down");
        view.trouble = in.why("trouble");
        in.for_each("budgets", max_rows, [&](const Fields& each) {
            view.sums.push_back({each.name("budget"), each.one_of("counts", all_counts), each.amount("whole"),
                                 each.amount("reserved", max_rows), each.amount("counted", max_rows)});
        });
        in.for_each("held", max_rows, [&](const Fields& each) {
            view.held.push_back({each.name("budget"), each.name("holder"), each.name("instance"),
                                 each.amount("counted"), each.amount("share"), each.amount("wants"),
                                 each.integer("in_use", 0, max_size),
                                 Micros(each.integer("left_us", -max_time, max_time)), each.why("why")});
        });
        in.for_each("refused", max_rows, [&](const Fields& each) {
            view.refused.push_back({each.name("holder"), each.name("instance"),
                                    each.one_of("verdict", all_verdicts), each.why("why"),
                                    Micros(each.integer("ago_us", 0, max_time))});
        });
        view.left_out = in.number("left_out");
    });
}

}  // namespace flaxdoor::coordinator
