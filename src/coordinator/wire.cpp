#include "coordinator/wire.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace flaxdoor::coordinator {

using budget::Amount;
using budget::Counts;
using budget::Verdict;
using Json = nlohmann::json;

namespace {

constexpr std::array all_counts{Counts::requests, Counts::attempts, Counts::retries, Counts::concurrency};
constexpr std::array all_verdicts{Verdict::granted,      Verdict::waiting,  Verdict::name_taken,
                                  Verdict::stepped_down, Verdict::too_many, Verdict::clock_off,
                                  Verdict::at_odds};

// Walks through a text; the first fault stays, and what is read after it is of no account.
class Reader {
public:
    Reader(std::string& fault, const Json* object, std::string where)
        : fault_(fault), object_(object), where_(std::move(where)) {
        if (object_ && !object_->is_object()) fail(where_, "no object");
    }

    std::uint64_t number(const char* name) const { return unsigned_of(find(name), path(name), number_most); }
    std::int64_t integer(const char* name, std::int64_t least, std::int64_t most) const {
        return integer_of(find(name), path(name), least, most);
    }
    Time time(const char* name) const { return Time(integer(name, 0, time_most)); }
    Micros span(const char* name) const { return Micros(integer(name, 0, span_most.count())); }
    bool flag(const char* name) const {
        const Json* const value = find(name);
        if (value && !value->is_boolean()) fail(path(name), "neither true nor false");
        return value && value->is_boolean() && value->get<bool>();
    }
    std::string name(const char* name) const {
        std::string text = text_at(name);
        if (fault_.empty() && !valid_name(text)) {
            fail(path(name),
                 "no name of 1 to " + std::to_string(name_most) + " bytes without control characters");
        }
        return text;
    }
    std::string why(const char* name) const {
        std::string text = text_at(name);
        if (text.size() > why_most) fail(path(name), "longer than " + std::to_string(why_most) + " bytes");
        return text;
    }
    template <typename Value, std::size_t n>
    Value one_of(const char* name, const std::array<Value, n>& all) const {
        const std::string text = text_at(name);
        for (const Value each : all) {
            if (text_of(each) == text) return each;
        }
        fail(path(name), "not a word that is known here");
        return all.front();
    }
    budget::Fence fence(const char* name) const {
        const Json* const pair = pair_at(name);
        if (!pair) return {};
        return {unsigned_of(&(*pair)[0], path(name) + "[0]", number_most),
                unsigned_of(&(*pair)[1], path(name) + "[1]", number_most)};
    }
    // Of many holders up to `many` times as much.
    Amount amount(const char* name, std::int64_t many = 1) const {
        const Json* const pair = pair_at(name);
        if (!pair) return {};
        return {integer_of(&(*pair)[0], path(name) + "[0]", 0, rate_most * many),
                integer_of(&(*pair)[1], path(name) + "[1]", 0, size_most * many)};
    }
    // Calls `read(Reader)` for each object of a list.
    template <typename Read>
    void each(const char* name, std::size_t most, Read read) const {
        const Json* const list = find(name);
        if (!list) return;
        if (!list->is_array()) return fail(path(name), "no list");
        if (list->size() > most) return fail(path(name), "more than " + std::to_string(most) + " entries");
        for (std::size_t i = 0; i < list->size() && fault_.empty(); ++i) {
            read(Reader(fault_, &(*list)[i], path(name) + "[" + std::to_string(i) + "]"));
        }
    }

private:
    void fail(const std::string& where, const std::string& what) const {
        if (fault_.empty()) fault_ = where.empty() ? what : where + ": " + what;
    }
    std::string path(const char* name) const { return where_.empty() ? name : where_ + "." + name; }
    const Json* find(const char* name) const {
        if (!fault_.empty() || !object_) return nullptr;
        const auto found = object_->find(name);
        if (found != object_->end()) return &*found;
        fail(path(name), "missing");
        return nullptr;
    }
    std::string text_at(const char* name) const {
        const Json* const value = find(name);
        if (!value) return {};
        if (value->is_string()) return value->get<std::string>();
        fail(path(name), "no text");
        return {};
    }
    const Json* pair_at(const char* name) const {
        const Json* const value = find(name);
        if (value && value->is_array() && value->size() == 2) return value;
        fail(path(name), "no list of two numbers");
        return nullptr;
    }
    std::uint64_t unsigned_of(const Json* value, const std::string& where, std::uint64_t most) const {
        if (!value) return 0;
        if (!value->is_number_unsigned()) {
            fail(where, "no whole number from 0");
        } else if (value->get<std::uint64_t>() > most) {
            fail(where, "above " + std::to_string(most));
        } else {
            return value->get<std::uint64_t>();
        }
        return 0;
    }
    std::int64_t integer_of(const Json* value, const std::string& where, std::int64_t least,
                            std::int64_t most) const {
        if (!value) return 0;
        // Text without a sign is unsigned to the parser, and may be beyond what the signed kind holds.
        if (value->is_number_unsigned() || least >= 0) {
            return static_cast<std::int64_t>(unsigned_of(value, where, static_cast<std::uint64_t>(most)));
        }
        if (!value->is_number_integer() || value->get<std::int64_t>() < least) {
            fail(where, "no whole number from " + std::to_string(least));
            return 0;
        }
        return value->get<std::int64_t>();
    }

    std::string& fault_;
    const Json* object_ = nullptr;
    std::string where_;
};

// `read(Reader, Value&)` reads the whole.
template <typename Value, typename Read>
std::variant<Value, Malformed> decode(std::string_view text, std::size_t most, Read read) {
    if (text.size() > most) return Malformed{"longer than " + std::to_string(most) + " bytes"};
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) return Malformed{"no JSON"};
    std::string fault;
    Value value;
    read(Reader(fault, &json, {}), value);
    if (!fault.empty()) return Malformed{std::move(fault)};
    return value;
}

// What is no UTF-8 is written as what stands for it: nothing is thrown.
std::string text_of_json(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json json_of(Amount amount) { return Json::array({amount.rate, amount.size}); }

// Cut between characters.
std::string short_why(std::string_view why) {
    std::size_t size = std::min(why.size(), why_most);
    while (size > 0 && size < why.size() && (static_cast<unsigned char>(why[size]) & 0xC0) == 0x80) --size;
    return std::string(why.substr(0, size));
}

}  // namespace

bool valid_name(std::string_view name) {
    return !name.empty() && name.size() <= name_most && std::none_of(name.begin(), name.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
    });
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
    for (const budget::Need& need : request.needs) {
        needs.push_back({{"budget", need.budget},
                         {"counts", text_of(need.counts)},
                         {"wants", json_of(need.wants)},
                         {"leased", json_of(need.leased)},
                         {"reserve", json_of(need.reserve)},
                         {"in_use", need.in_use}});
    }
    return text_of_json({{"holder", request.holder},
                         {"instance", request.instance},
                         {"number", request.number},
                         {"taken", Json::array({request.taken.epoch, request.taken.seq})},
                         {"epoch", request.epoch},
                         {"clock_us", request.clock.count()},
                         {"leaving", request.leaving},
                         {"needs", std::move(needs)}});
}

std::variant<budget::LeaseRequest, Malformed> decode_request(std::string_view text) {
    return decode<budget::LeaseRequest>(text, message_most,
                                        [](const Reader& in, budget::LeaseRequest& request) {
                                            request.holder = in.name("holder");
                                            request.instance = in.name("instance");
                                            request.number = in.number("number");
                                            request.taken = in.fence("taken");
                                            request.epoch = in.number("epoch");
                                            request.clock = in.time("clock_us");
                                            request.leaving = in.flag("leaving");
                                            in.each("needs", needs_most, [&](const Reader& each) {
                                                budget::Need need;
                                                need.budget = each.name("budget");
                                                need.counts = each.one_of("counts", all_counts);
                                                need.wants = each.amount("wants");
                                                need.leased = each.amount("leased");
                                                need.reserve = each.amount("reserve");
                                                need.in_use = each.integer("in_use", 0, size_most);
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
                         {"why", short_why(reply.why)},
                         {"number", reply.number},
                         {"epoch", reply.epoch},
                         {"seq", reply.seq},
                         {"term_us", reply.term.count()},
                         {"again_us", reply.again.count()},
                         {"grants", std::move(grants)}});
}

std::variant<budget::LeaseReply, Malformed> decode_reply(std::string_view text) {
    return decode<budget::LeaseReply>(text, message_most, [](const Reader& in, budget::LeaseReply& reply) {
        reply.verdict = in.one_of("verdict", all_verdicts);
        reply.why = in.why("why");
        reply.number = in.number("number");
        reply.epoch = in.number("epoch");
        reply.seq = in.number("seq");
        reply.term = in.span("term_us");
        reply.again = in.span("again_us");
        in.each("grants", needs_most, [&](const Reader& each) {
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
                        {"why", short_why(each.why)}});
    }
    for (const View::Refused& each : view.refused) {
        refused.push_back({{"holder", each.holder},
                           {"instance", each.instance},
                           {"verdict", text_of(each.verdict)},
                           {"why", short_why(each.why)},
                           {"ago_us", each.ago.count()}});
    }
    return text_of_json({{"epoch", view.epoch},
                         {"waits_us", view.waits.count()},
                         {"stepped_down", view.stepped_down},
                         {"trouble", short_why(view.trouble)},
                         {"budgets", std::move(sums)},
                         {"held", std::move(held)},
                         {"refused", std::move(refused)},
                         {"left_out", view.left_out}});
}

std::variant<View, Malformed> decode_view(std::string_view text) {
    return decode<View>(text, view_most, [](const Reader& in, View& view) {
        view.epoch = in.number("epoch");
        view.waits = Micros(in.integer("waits_us", 0, time_most));
        view.stepped_down = in.flag("stepped_down");
        view.trouble = in.why("trouble");
        in.each("budgets", rows_most, [&](const Reader& each) {
            view.sums.push_back({each.name("budget"), each.one_of("counts", all_counts), each.amount("whole"),
                                 each.amount("reserved", rows_most), each.amount("counted", rows_most)});
        });
        in.each("held", rows_most, [&](const Reader& each) {
            view.held.push_back({each.name("budget"), each.name("holder"), each.name("instance"),
                                 each.amount("counted"), each.amount("share"), each.amount("wants"),
                                 each.integer("in_use", 0, size_most),
                                 Micros(each.integer("left_us", -time_most, time_most)), each.why("why")});
        });
        in.each("refused", rows_most, [&](const Reader& each) {
            view.refused.push_back({each.name("holder"), each.name("instance"),
                                    each.one_of("verdict", all_verdicts), each.why("why"),
                                    Micros(each.integer("ago_us", 0, time_most))});
        });
        view.left_out = in.number("left_out");
    });
}

}  // namespace flaxdoor::coordinator
