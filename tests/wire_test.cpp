// Tests the simulator's codec: exact bytes in both directions, truncated and corrupt frames, and the parsing of settings.
#include "simwire/wire.h"

#include <gtest/gtest.h>

#include <cmath>
#include <cstring>
#include <string>

namespace flaxdoor::wire {
namespace {

std::string bytes(std::initializer_list<int> values) {
    std::string result;
    for (const int v : values) result.push_back(static_cast<char>(v));
    return result;
}

template <typename T>
void put(std::string& to, T value) {
    to.append(reinterpret_cast<const char*>(&value), sizeof value);
}

std::string header(std::uint32_t number, double now, std::uint32_t size, std::uint32_t records) {
    std::string encoded;
    put(encoded, number);
    put(encoded, now);
    put(encoded, size);
    put(encoded, records);
    return encoded;
}

std::string record(std::uint16_t code, std::uint32_t instance) {
    std::string encoded;
    put(encoded, code);
    put(encoded, instance);
    return encoded;
}

std::string padded(std::string encoded, std::size_t size = event_size) {
    encoded.resize(size, '\0');
    return encoded;
}

std::vector<Event> decode(Decoder& decoder, const std::string& body, std::uint32_t records) {
    const auto decoded = decode_header(header(9, 500.0, static_cast<std::uint32_t>(body.size()), records));
    std::vector<Event> events;
    decoder.decode(decoded, body, [&](const Event& e) { events.push_back(e); });
    return events;
}

std::string request_record() {
    std::string encoded = record(262, 3);
    put(encoded, std::uint32_t{77});    // id
    put(encoded, std::uint16_t{2});     // class
    put(encoded, std::uint32_t{1});     // tenant
    put(encoded, std::uint64_t{4711});  // key
    put(encoded, 612.5);                // deadline
    put(encoded, 12.25);                // cost hint, in ms
    put(encoded, std::uint8_t{5});      // flags: cost hint valid, write
    return padded(encoded);
}

std::string list_frame(std::uint32_t count, std::uint8_t state) {
    std::string encoded = record(260, 0).substr(0, 2);
    put(encoded, std::uint32_t{2});  // number of the list
    put(encoded, std::uint32_t{0});  // offset
    put(encoded, count);
    std::string body = padded(encoded);
    std::string registry = record(257, 3);
    put(registry, std::uint8_t{1});
    put(registry, std::uint64_t{41});
    put(registry, std::uint32_t{2});
    body += padded(registry);
    body += bytes({10, 0, 0, 7, 0x34, 0x12});  // address and port
    put(body, std::uint16_t{1});
    put(body, std::uint16_t{2});
    put(body, std::uint16_t{3});
    put(body, state);
    put(body, 1.5F);
    put(body, 250.25);
    return body;
}

TEST(Frames, Header) {
    const auto decoded = decode_header(header(12, 16604.5, 96, 2));
    EXPECT_EQ(decoded.number, 12u);
    EXPECT_EQ(decoded.now, Micros(16604500));
    EXPECT_EQ(decoded.records, 2u);
}

TEST(Frames, RequestAndTimer) {
    Decoder decoder;
    std::string bell = record(259, 4);
    put(bell, std::uint64_t{0x4d});
    const auto events = decode(decoder, request_record() + padded(bell), 2);
    ASSERT_EQ(events.size(), 2u);
    const auto& request = std::get<Request>(events[0].body);
    EXPECT_EQ(events[0].instance, 3u);
    EXPECT_EQ(request.id, 77u);
    EXPECT_EQ(request.class_index, 2);
    EXPECT_EQ(request.tenant, 1);
    EXPECT_EQ(request.key, 4711u);
    EXPECT_EQ(request.deadline, Micros(612500));
    EXPECT_EQ(request.cost_hint, Micros(12250));
    EXPECT_FALSE(request.client_retry);
    EXPECT_TRUE(request.write);
    EXPECT_EQ(std::get<TimerEvent>(events[1].body).token, 0x4du);
}

TEST(Frames, CostHintRequiresItsFlag) {
    std::string encoded = request_record();
    encoded[40] = 2;
    Decoder decoder;
    const auto request = std::get<Request>(decode(decoder, encoded, 1).at(0).body);
    EXPECT_FALSE(request.cost_hint);
    EXPECT_TRUE(request.client_retry);
    EXPECT_FALSE(request.write);
}

TEST(Frames, MessagesAndStarts) {
    std::string message = record(264, 3);
    put(message, std::uint32_t{2});
    put(message, std::uint32_t{1});
    put(message, std::uint32_t{3});
    std::string start = record(261, 3);
    put(start, std::uint32_t{77});
    start += bytes({1, 10, 0, 0, 7, 1, 0});
    put(start, 9.25);
    Decoder decoder;
    const std::string body = padded(message) + padded(start) + "xhi!";
    const auto events = decode(decoder, body, 2);
    const auto& peer = std::get<PeerEvent>(events.at(0).body);
    EXPECT_EQ(peer.from, 2);
    EXPECT_EQ(peer.payload, "hi!");
    const auto& started = std::get<AttemptStart>(events.at(1).body);
    EXPECT_EQ(started.request, 77u);
    EXPECT_EQ(started.attempt, 1);
    EXPECT_EQ(started.upstream, 0x10700000aULL);
    EXPECT_EQ(started.latency, Micros(9250));
}

TEST(Frames, AttemptEndWithLoadReport) {
    std::string encoded = record(263, 1);
    put(encoded, std::uint32_t{5});
    encoded += bytes({2, 254, 1});
    put(encoded, 1.25);
    encoded += bytes({10, 0, 0, 7, 1, 0, 2});
    put(encoded, 7.0F);
    put(encoded, 0.5F);
    Decoder decoder;
    const auto events = decode(decoder, padded(encoded), 1);
    const auto& end = std::get<AttemptEnd>(events.at(0).body);
    EXPECT_EQ(end.request, 5u);
    EXPECT_EQ(end.attempt, 2);
    EXPECT_EQ(end.outcome, Outcome::full);
    EXPECT_TRUE(end.request_answered);
    EXPECT_EQ(end.latency, Micros(1250));
    EXPECT_EQ(end.report, (Report{7.0F, 0.5F}));
}

TEST(Frames, Lists) {
    Decoder decoder;
    const auto events = decode(decoder, list_frame(1, 1), 2);
    ASSERT_EQ(events.size(), 1u);
    const auto& list = std::get<ListEvent>(events[0].body);
    EXPECT_EQ(list.kind, ListKind::full);
    EXPECT_EQ(list.version, 41u);
    ASSERT_EQ(list.entries->size(), 1u);
    const auto& entry = (*list.entries)[0];
    EXPECT_EQ(entry.zone, 1);
    EXPECT_EQ(entry.kind, 2);
    EXPECT_EQ(entry.cell, 3);
    EXPECT_EQ(entry.state, UpstreamState::ready);
    EXPECT_DOUBLE_EQ(entry.weight, 1.5);
    EXPECT_EQ(entry.started_at, Micros(250250));
}

TEST(Frames, ReplyBytes) {
    ReplyWriter reply;
    reply.submit(3, 0x01020304, 0x060504030201ULL, Micros(80000));
    reply.log(3, "hi");
    const std::string frame = reply.finish(7);
    std::string expected;
    put(expected, std::uint32_t{7});
    put(expected, std::uint32_t{2 * action_size + 2});
    put(expected, std::uint32_t{2});
    expected += bytes({2, 1, 3, 0, 0, 0, 4, 3, 2, 1, 1, 2, 3, 4, 5, 6});
    put(expected, 80.0);
    expected += padded(bytes({0, 1, 3, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0}), action_size);
    expected += "hi";
    EXPECT_EQ(frame, expected);
    EXPECT_EQ(reply.finish(8).size(), reply_header_size);  // the writer is empty afterwards
}

TEST(Frames, EveryActionHasItsCode) {
    ReplyWriter reply;
    reply.refuse(1, 2, Micros(1500));
    reply.fail(1, 2);
    reply.cancel(1, 2, 3);
    reply.probe(1, 4);
    reply.set_timer(1, Micros(2500), 5);
    reply.watch(1, true);
    reply.fetch(1);
    reply.close_idle(1, 4);
    reply.fault(1, "x");
    reply.tell(1, std::nullopt, "y");
    reply.tell(1, 6, "z");
    reply.watch(1, false);
    const std::string frame = reply.finish(1);
    const std::uint16_t codes[] = {257, 263, 262, 260, 265, 266, 267, 264, 259, 261, 261, 266};
    for (std::size_t i = 0; i < std::size(codes); ++i) {
        std::uint16_t code = 0;
        std::memcpy(&code, frame.data() + reply_header_size + i * action_size, 2);
        EXPECT_EQ(code, codes[i]);
    }
    double at = 0;
    std::memcpy(&at, frame.data() + reply_header_size + 4 * action_size + 6, 8);
    EXPECT_DOUBLE_EQ(at, 2.5);
    const auto word = [&](std::size_t action, std::size_t byte) {
        std::uint32_t value = 0;
        std::memcpy(&value, frame.data() + reply_header_size + action * action_size + byte, 4);
        return value;
    };
    EXPECT_EQ(word(5, 6), 1u);           // starts the watch
    EXPECT_EQ(word(11, 6), 0u);          // ends the watch
    EXPECT_EQ(word(9, 6), 0xffffffffu);  // broadcast
    EXPECT_EQ(word(10, 6), 6u);          // to one instance
    EXPECT_EQ(word(10, 10), 2u);         // its text is at offset 2 of the tail
    EXPECT_EQ(frame.substr(frame.size() - 3), "xyz");
}

TEST(BadFrames, NameTheViolationAndItsPlace) {
    const auto error_of = [](auto&& act) -> std::string {
        try {
            act();
        } catch (const WireError& error) {
            return error.what();
        }
        return "";
    };
    Decoder decoder;
    EXPECT_NE(error_of([] { decode_header("short"); }).find("cut off"), std::string::npos);
    EXPECT_NE(error_of([] { decode_header(header(5, 1, 0xffffffffU, 0)); }).find("too long (batch 5)"),
              std::string::npos);
    EXPECT_NE(error_of([] { decode_header(header(5, 1, 47, 1)); }).find("more records"), std::string::npos);
    EXPECT_NE(error_of([] { decode_header(header(5, std::nan(""), 0, 0)); }).find("clock"),
              std::string::npos);
    EXPECT_NE(error_of([&] {
                  decode(decoder, padded(record(999, 0)), 1);
              }).find("event code 999 (batch 9, record 0)"),
              std::string::npos);
    EXPECT_NE(error_of([&] { decode(decoder, list_frame(2, 1), 2); }).find("list beyond"), std::string::npos);
    EXPECT_NE(error_of([&] { decode(decoder, list_frame(0xffffffffU, 1), 2); }).find("list beyond"),
              std::string::npos);
    EXPECT_NE(error_of([&] { decode(decoder, list_frame(1, 9), 2); }).find("state"), std::string::npos);
    std::string create = record(258, 0);
    put(create, std::uint64_t{1});
    put(create, std::uint32_t{4});
    put(create, std::uint32_t{0xfffffff0U});
    EXPECT_NE(error_of([&] { decode(decoder, padded(create), 1); }).find("settings beyond"),
              std::string::npos);
    std::string registry = record(257, 0);
    put(registry, std::uint8_t{1});
    put(registry, std::uint64_t{1});
    put(registry, std::uint32_t{15});
    EXPECT_NE(error_of([&] { decode(decoder, padded(registry), 1); }).find("unknown list"),
              std::string::npos);
    EXPECT_NE(error_of([&] {
                  decoder.decode({1, Micros{0}, 96, 2}, std::string(50, 'x'), [](const Event&) {});
              }).find("cut off"),
              std::string::npos);
}

// Frames with random changes are either decoded or rejected with a WireError; nothing else happens.
TEST(BadFrames, Mutations) {
    const std::string good = request_record() + list_frame(1, 1);
    std::uint64_t state = 1;
    const auto next = [&] {
        return state = state * 6364136223846793005ULL + 1442695040888963407ULL, state >> 33;
    };
    int rejected = 0, accepted = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string body = good;
        const auto changes = 1 + next() % 4;
        for (std::uint64_t i = 0; i < changes; ++i) body[next() % body.size()] = static_cast<char>(next());
        if (next() % 4 == 0) body.resize(next() % body.size());
        Decoder decoder;
        try {
            decode(decoder, body, 3);
            ++accepted;
        } catch (const WireError&) {
            ++rejected;
        }
    }
    EXPECT_GT(rejected, 1000);
    EXPECT_GT(accepted, 1000);
}

std::string settings_text() {
    return "rank=1\nsiblings=3\nzone=1\nzones=a,b\ntick=2.0\nservices.count=2\nservices.0.aim=150.0\n"
           "services.0.hard_limit=600.0\nservices.0.effect=idempotent\nservices.1.aim=75.0\n"
           "services.1.hard_limit=150.0\nservices.1.effect=deduplicated\nservices.1.group=cell\n"
           "services.1.window=5000.0\nregistry_mode=ask\ninvariants.ask_within=10000.0\nlimits.max_attempts="
           "5\n"
           "limits.may_probe=true\nload_report.how=inline\nload_report.fields=active,novel,avg_ms\n"
           "tenants.count=1\ntenants.0.quota_rps=12.5\nsomething.new=7\n";
}

TEST(WireSettings, AreParsed) {
    const Settings settings = parse_settings(settings_text());
    EXPECT_EQ(settings.rank, 1);
    EXPECT_EQ(settings.zones, 2);
    EXPECT_EQ(settings.tick, Micros(2000));
    ASSERT_EQ(settings.classes.size(), 2u);
    EXPECT_EQ(settings.classes[1].effect, Effect::keyed);
    EXPECT_EQ(settings.classes[1].group, DeduplicationScope::cell);
    EXPECT_EQ(settings.classes[1].window, Micros(5000000));
    EXPECT_TRUE(settings.must_request_list);
    EXPECT_TRUE(settings.may_probe);
    EXPECT_FALSE(settings.may_cancel);
    EXPECT_EQ(settings.report_fields,
              (std::vector{ReportField::in_flight, ReportField::other, ReportField::service_ms}));
    ASSERT_EQ(settings.tenants.size(), 1u);
    EXPECT_DOUBLE_EQ(settings.tenants[0].quota_per_s, 12.5);
}

// Every setting that the protocol page lists is passed to the policy.
TEST(WireSettings, EverySettingIsPassedOn) {
    const Settings settings = parse_settings(
        settings_text() +
        "callers.marks_retry=true\ndeductions.connection=1\ndeductions.cross_zone=2\n"
        "deductions.registry_mode=3\ndeductions.fleet=4\ndeductions.handshake=5\ndeductions.late_fail=6\n"
        "deductions.moves=7\ndeductions.origin=8\ndeductions.peer=9\ndeductions.probe=10\n"
        "deductions.waste=11\ninvariants.answer_slack=20\ninvariants.close_on_drain_within=800\n"
        "invariants.cold_from=0.35\ninvariants.drain_grace=1000\ninvariants.fall=1500\n"
        "invariants.fall_multiple=3\ninvariants.ramp_time=8100\nlimits.cancel=true\n"
        "limits.connect_timeout=250\nlimits.cpu_us_per_request=12.5\nlimits.cpu_us_per_s=15000\n"
        "limits.idle_close=5000\nlimits.max_open=1234\nlimits.max_retry_after=1200\n"
        "limits.parallel_tries=true\nlimits.peers=true\nlimits.retry_after=true\n"
        "limits.streams_per_conn=7\nobjective_mix.whole=0.1\nobjective_mix.worst_window=0.2\n"
        "objective_mix.worst_class=0.3\nobjective_mix.worst_tenant=0.4\nobjective_mix.nines_part=0.5\n"
        "objective_mix.full_at_nines=3\nover_share_worth=0.1\nservices.0.aim_stretch=1.5\n"
        "services.0.stream=true\nservices.0.worth=4\nservices.0.late_worth=0.25\nsiblings=8\n"
        "specifics.passes_deadline=true\nspecifics.warm_keys=true\ntenants.0.fraction=0.75\ntier=1\n"
        "weights=live\nworth_by=work\nzone=1\n");
    EXPECT_TRUE(settings.marks_retry && settings.may_cancel && settings.parallel_attempts &&
                settings.may_message_peers && settings.retry_after);
    EXPECT_TRUE(settings.passes_deadline && settings.warm_keys && settings.worth_by_work &&
                settings.classes[0].streams);
    const Deductions& p = settings.deductions;
    EXPECT_EQ((std::vector{p.connection, p.cross_zone, p.discovery, p.fleet, p.handshake, p.late_fail,
                           p.moves, p.origin, p.peer, p.probe, p.waste}),
              (std::vector<double>{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}));
    const ObjectiveWeights& g = settings.objective_weights;
    EXPECT_EQ((std::vector{g.whole, g.worst_window, g.worst_class, g.worst_tenant, g.nines, g.full_at_nines}),
              (std::vector<double>{0.1, 0.2, 0.3, 0.4, 0.5, 3}));
    EXPECT_EQ((std::vector{settings.answer_slack, settings.drain_close, settings.drain_grace,
                           settings.fall_span, settings.ramp_time, settings.connect_timeout,
                           settings.idle_close, settings.max_retry_after, settings.cpu_per_s}),
              (std::vector{Micros(20000), Micros(800000), Micros(1000000), Micros(1500000), Micros(8100000),
                           Micros(250000), Micros(5000000), Micros(1200000), Micros(15000)}));
    EXPECT_EQ(
        (std::vector{settings.cold_share, settings.fall_multiple, settings.cpu_us_per_request,
                     settings.over_share_worth, settings.classes[0].aim_stretch, settings.classes[0].worth,
                     settings.classes[0].late_worth, settings.tenants[0].fraction}),
        (std::vector<double>{0.35, 3, 12.5, 0.1, 1.5, 4, 0.25, 0.75}));
    EXPECT_EQ((std::vector{settings.max_open, settings.streams_per_connection, settings.balancers,
                           settings.zone, settings.tier}),
              (std::vector{1234, 7, 8, 1, 1}));
    EXPECT_EQ(settings.reports, ReportSource::answers);
    EXPECT_EQ(settings.weights, WeightMeaning::live);
}

TEST(WireSettings, MissingSettingsHaveSafeDefaults) {
    const Settings settings = parse_settings(settings_text());
    EXPECT_FALSE(settings.may_cancel || settings.parallel_attempts || settings.may_message_peers ||
                 settings.retry_after || settings.warm_keys);
    EXPECT_EQ(settings.drain_close, Micros{0});
    EXPECT_EQ(settings.cold_share, 1);
    EXPECT_EQ(settings.weights, WeightMeaning::none);
    EXPECT_FALSE(settings.worth_by_work);
}

TEST(WireSettings, ErrorsNameTheSetting) {
    const auto error_without = [](const std::string& from, const std::string& to) -> std::string {
        std::string text = settings_text();
        const auto at = text.find(from);
        text.replace(at, from.size(), to);
        try {
            parse_settings(text);
        } catch (const std::invalid_argument& error) {
            return error.what();
        }
        return "";
    };
    EXPECT_EQ(error_without("tick=2.0", "x=1"), "setting missing: tick");
    EXPECT_EQ(error_without("tick=2.0", "tick=two"), "setting unreadable: tick, must be a number");
    EXPECT_EQ(error_without("tick=2.0", "tick=nan"), "setting unreadable: tick, must be a number");
    EXPECT_EQ(error_without("rank=1", "rank=1.5"),
              "setting unreadable: rank, must be a whole number, up to 1e9");
    EXPECT_EQ(error_without("idempotent", "perhaps"),
              "setting unreadable: services.0.effect, must be idempotent, deduplicated or at_most_once");
    EXPECT_EQ(error_without("group=cell", "group=x"),
              "setting unreadable: services.1.group, must be all, zone or cell");
    EXPECT_EQ(error_without("may_probe=true", "may_probe=yes"),
              "setting unreadable: limits.may_probe, must be true or false");
    EXPECT_EQ(error_without("registry_mode=ask", "registry_mode=x"),
              "setting unreadable: registry_mode, must be ask or push");
}

}  // namespace
}  // namespace flaxdoor::wire
