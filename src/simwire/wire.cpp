#include "simwire/wire.h"

#include <bit>
#include <charconv>
#include <cmath>
#include <cstring>
#include <limits>
#include <map>
#include <optional>

namespace flaxdoor::wire {

static_assert(std::endian::native == std::endian::little, "the protocol is little-endian");

namespace {

namespace event_code {
constexpr std::uint16_t probe_done = 256, registry = 257, create = 258, bell = 259, catalog = 260,
                        under_way = 261, order = 262, closed_attempt = 263, datagram = 264, lapsed = 265,
                        exit = 266;
}
namespace action_code {
constexpr std::uint16_t remark = 256, shed = 257, submit_to = 258, panic = 259, check = 260,
                        broadcast_to = 261, abort_attempt = 262, surrender = 263, free_links = 264,
                        set_alarm = 265, stream_changes = 266, list_all = 267;
}

template <typename T>
T load(std::string_view bytes, std::size_t at) {
    T value;
    std::memcpy(&value, bytes.data() + at, sizeof value);
    return value;
}

template <typename T>
void store(char* to, T value) {
    std::memcpy(to, &value, sizeof value);
}

std::string location(std::uint32_t batch, std::uint32_t record) {
    return " (batch " + std::to_string(batch) + ", record " + std::to_string(record) + ")";
}

constexpr std::uint32_t broadcast = 0xffffffff;  // as receiver: all other instances

constexpr double max_ms = 1e12;  // larger values could overflow microseconds in 64 bits

std::optional<Micros> micros(double ms) {
    if (!(std::fabs(ms) <= max_ms)) return std::nullopt;
    return Micros(std::llround(ms * 1000.0));
}

double millis(Micros span) { return static_cast<double>(span.count()) / 1000.0; }

// The id of an upstream consists of its six bytes on the wire: the address, then the port.
UpstreamId load_upstream(std::string_view bytes, std::size_t at) {
    UpstreamId id = 0;
    std::memcpy(&id, bytes.data() + at, 6);
    return id;
}

std::optional<Outcome> outcome_of(std::uint8_t status) {
    switch (status) {
        case 0: return Outcome::ok;
        case 255: return Outcome::error;
        case 254: return Outcome::full;
        case 253: return Outcome::timeout;
        case 252: return Outcome::connect_failed;
        case 251: return Outcome::reset;
        case 250: return Outcome::cancelled;
        case 249: return Outcome::inconclusive;
        default: return std::nullopt;
    }
}

}  // namespace

// Frames

BatchHeader decode_header(std::string_view bytes) {
    if (bytes.size() != batch_header_size) throw WireError("batch header cut off");
    BatchHeader header;
    header.number = load<std::uint32_t>(bytes, 0);
    const std::string where = " (batch " + std::to_string(header.number) + ")";
    const auto now = micros(load<double>(bytes, 4));
    if (!now) throw WireError("impossible clock" + where);
    header.now = *now;
    header.body_size = load<std::uint32_t>(bytes, 12);
    header.records = load<std::uint32_t>(bytes, 16);
    if (header.body_size > max_body) throw WireError("frame too long" + where);
    if (std::uint64_t{header.records} * event_size > header.body_size) {
        throw WireError("more records than the frame holds" + where);
    }
    return header;
}

void Decoder::begin(const BatchHeader& header, std::string_view body) {
    if (body.size() != header.body_size || std::uint64_t{header.records} * event_size > body.size()) {
        throw WireError("frame cut off (batch " + std::to_string(header.number) + ")");
    }
    body_ = body;
    number_ = header.number;
    record_count_ = header.records;
    record_index_ = 0;
    tail_ = body.substr(std::size_t{header.records} * event_size);
}

bool Decoder::next(Event& event) {
    while (record_index_ < record_count_) {
        const auto record = body_.substr(std::size_t{record_index_} * event_size, event_size);
        const auto where = [&] { return location(number_, record_index_); };
        const auto outcome_at = [&](std::size_t at) {
            const auto outcome = outcome_of(load<std::uint8_t>(record, at));
            if (!outcome) throw WireError("unknown outcome" + where());
            return *outcome;
        };
        const auto span_at = [&](std::size_t at) {
            const auto span = micros(load<double>(record, at));
            if (!span) throw WireError("impossible time" + where());
            return *span;
        };
        const auto read_report = [&](std::size_t at, Report& report) {
            const auto count = load<std::uint8_t>(record, at);
            if (count > 4) throw WireError("load report too long" + where());
            report.resize(count);
            for (std::size_t i = 0; i < count; ++i) report[i] = load<float>(record, at + 1 + 4 * i);
        };
        const auto text_at = [&](std::size_t field, const char* name) {
            const std::uint64_t at = load<std::uint32_t>(record, field),
                                size = load<std::uint32_t>(record, field + 4);
            if (at + size > tail_.size()) throw WireError(name + (" beyond the frame" + where()));
            return tail_.substr(at, size);
        };
        const auto code = load<std::uint16_t>(record, 0);
        event.instance = load<std::uint32_t>(record, 2);
        switch (code) {
            case event_code::catalog: {
                read_list(record);
                ++record_index_;
                continue;
            }
            case event_code::create: {
                event.body = CreateEvent{load<std::uint64_t>(record, 6), text_at(14, "settings")};
                break;
            }
            case event_code::registry: {
                const auto kind = load<std::uint8_t>(record, 6);
                if (kind > 3) throw WireError("unknown kind of list" + where());
                constexpr ListKind kinds[] = {ListKind::delta, ListKind::full, ListKind::cached,
                                              ListKind::failed};
                ListEvent list{kinds[kind], nullptr, load<std::uint64_t>(record, 7)};
                if (list.kind != ListKind::failed) {
                    const auto list_number = load<std::uint32_t>(record, 15);
                    if (list_number >= lists_.size() || !list_defined_[list_number])
                        throw WireError("unknown list" + where());
                    list.entries = &lists_[list_number];
                }
                event.body = list;
                break;
            }
            case event_code::order: {
                Request request;
                request.id = load<std::uint32_t>(record, 6);
                request.class_index = load<std::uint16_t>(record, 10);
                request.tenant = static_cast<int>(load<std::uint32_t>(record, 12) & 0x7fffffffU);
                request.key = load<std::uint64_t>(record, 16);
                request.deadline = span_at(24);
                const auto flags = load<std::uint8_t>(record, 40);
                if (flags & 1) request.cost_hint = span_at(32);
                request.client_retry = flags & 2;
                request.write = flags & 4;
                event.body = request;
                break;
            }
            case event_code::closed_attempt: {
                AttemptEnd end;
                end.request = load<std::uint32_t>(record, 6);
                end.attempt = load<std::uint8_t>(record, 10);
                end.outcome = outcome_at(11);
                end.request_answered = load<std::uint8_t>(record, 12) != 0;
                end.latency = span_at(13);
                end.upstream = load_upstream(record, 21);
                read_report(27, end.report);
                event.body = std::move(end);
                break;
            }
            case event_code::probe_done: {
                ProbeResult result;
                result.latency = span_at(6);
                result.upstream = load_upstream(record, 14);
                result.outcome = outcome_at(20);
                read_report(21, result.report);
                event.body = std::move(result);
                break;
            }
            case event_code::bell: event.body = TimerEvent{load<std::uint64_t>(record, 6)}; break;
            case event_code::under_way:
                event.body = AttemptStart{load<std::uint32_t>(record, 6), load<std::uint8_t>(record, 10),
                                          load_upstream(record, 11), span_at(17)};
                break;
            case event_code::lapsed: event.body = ClientGoneEvent{load<std::uint32_t>(record, 6)}; break;
            case event_code::datagram:
                event.body = PeerEvent{static_cast<int>(load<std::uint32_t>(record, 6) & 0x7fffffffU),
                                       text_at(10, "message")};
                break;
            case event_code::exit: event.body = ExitEvent{}; break;
            default: throw WireError("unknown event code " + std::to_string(code) + where());
        }
        ++record_index_;
        return true;
    }
    return false;
}

void Decoder::read_list(std::string_view record) {
    const auto where = [&] { return location(number_, record_index_); };
    const auto list_number = load<std::uint32_t>(record, 2);
    if (list_number >= lists_.size()) throw WireError("list number out of range" + where());
    const std::uint64_t at = load<std::uint32_t>(record, 6), count = load<std::uint32_t>(record, 10);
    if (at + count * entry_size > tail_.size()) throw WireError("list beyond the frame" + where());
    auto& list = lists_[list_number];
    list.clear();
    list.reserve(count);
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto bytes = tail_.substr(at + i * entry_size, entry_size);
        UpstreamEntry entry;
        entry.id = load_upstream(bytes, 0);
        entry.zone = load<std::uint16_t>(bytes, 6);
        entry.kind = load<std::uint16_t>(bytes, 8);
        entry.cell = load<std::uint16_t>(bytes, 10);
        const auto state = load<std::uint8_t>(bytes, 12);
        if (state > 2) throw WireError("unknown state of an upstream" + where());
        constexpr UpstreamState states[] = {UpstreamState::gone, UpstreamState::ready,
                                            UpstreamState::draining};
        entry.state = states[state];
        entry.weight = load<float>(bytes, 13);
        const auto started_at = micros(load<double>(bytes, 17));
        if (!started_at) throw WireError("impossible start time" + where());
        entry.started_at = *started_at;
        list.push_back(entry);
    }
    list_defined_[list_number] = true;
}

char* ReplyWriter::record(std::uint16_t code, std::uint32_t instance) {
    records_.resize(records_.size() + action_size, '\0');
    char* const bytes = records_.data() + records_.size() - action_size;
    store(bytes, code);
    store(bytes + 2, instance);
    ++count_;
    return bytes;
}

void ReplyWriter::text(char* record, std::size_t at, std::string_view text) {
    store(record + at, static_cast<std::uint32_t>(tail_.size()));
    store(record + at + 4, static_cast<std::uint32_t>(text.size()));
    tail_ += text;
}

void ReplyWriter::submit(std::uint32_t instance, RequestId request, UpstreamId upstream, Micros timeout) {
    char* const bytes = record(action_code::submit_to, instance);
    store(bytes + 6, static_cast<std::uint32_t>(request));
    std::memcpy(bytes + 10, &upstream, 6);
    store(bytes + 16, millis(timeout));
}

void ReplyWriter::refuse(std::uint32_t instance, RequestId request, Micros retry_after) {
    char* const bytes = record(action_code::shed, instance);
    store(bytes + 6, static_cast<std::uint32_t>(request));
    store(bytes + 10, millis(retry_after));
}

void ReplyWriter::fail(std::uint32_t instance, RequestId request) {
    store(record(action_code::surrender, instance) + 6, static_cast<std::uint32_t>(request));
}

void ReplyWriter::cancel(std::uint32_t instance, RequestId request, int attempt) {
    char* const bytes = record(action_code::abort_attempt, instance);
    store(bytes + 6, static_cast<std::uint32_t>(request));
    store(bytes + 10, static_cast<std::uint8_t>(attempt));
}

void ReplyWriter::probe(std::uint32_t instance, UpstreamId upstream) {
    std::memcpy(record(action_code::check, instance) + 6, &upstream, 6);
}

void ReplyWriter::set_timer(std::uint32_t instance, Time at, std::uint64_t token) {
    char* const bytes = record(action_code::set_alarm, instance);
    store(bytes + 6, millis(at));
    store(bytes + 14, token);
}

void ReplyWriter::watch(std::uint32_t instance, bool on) {
    store(record(action_code::stream_changes, instance) + 6, static_cast<std::uint8_t>(on));
}

void ReplyWriter::fetch(std::uint32_t instance) { record(action_code::list_all, instance); }

void ReplyWriter::close_idle(std::uint32_t instance, UpstreamId upstream) {
    std::memcpy(record(action_code::free_links, instance) + 6, &upstream, 6);
}

void ReplyWriter::tell(std::uint32_t instance, std::optional<int> peer, std::string_view payload) {
    char* const bytes = record(action_code::broadcast_to, instance);
    store(bytes + 6, peer ? static_cast<std::uint32_t>(*peer) : broadcast);
    text(bytes, 10, payload);
}

void ReplyWriter::log(std::uint32_t instance, std::string_view line) {
    text(record(action_code::remark, instance), 6, line);
}

void ReplyWriter::fault(std::uint32_t instance, std::string_view what) {
    text(record(action_code::panic, instance), 6, what);
}

std::string ReplyWriter::finish(std::uint32_t number) {
    std::string frame(reply_header_size, '\0');
    store(frame.data(), number);
    store(frame.data() + 4, static_cast<std::uint32_t>(records_.size() + tail_.size()));
    store(frame.data() + 8, count_);
    frame += records_;
    frame += tail_;
    records_.clear();
    tail_.clear();
    count_ = 0;
    return frame;
}

// Settings

namespace {

// Reads settings from lines path=value. Throws std::invalid_argument for a missing or malformed setting.
class SettingsReader {
public:
    explicit SettingsReader(std::string_view text) {
        while (!text.empty()) {
            const auto end = text.find('\n');
            const auto line = text.substr(0, end);
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
            const auto equals = line.find('=');
            if (equals != std::string_view::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
        }
    }

    std::optional<std::string_view> find(const std::string& name) const {
        const auto found = values_.find(name);
        if (found == values_.end()) return std::nullopt;
        return found->second;
    }

    std::string_view text(const std::string& name) const {
        const auto value = find(name);
        if (!value) throw std::invalid_argument("setting missing: " + name);
        return *value;
    }

    double number(const std::string& name) const {
        const auto value = text(name);
        double result = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
        if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(result))
            unreadable(name, "a number");
        return result;
    }

    int whole(const std::string& name) const {
        const double value = number(name);
        if (value != std::floor(value) || std::fabs(value) > 1e9)
            unreadable(name, "a whole number, up to 1e9");
        return static_cast<int>(value);
    }

    Micros span(const std::string& name) const {
        const auto value = micros(number(name));
        if (!value) unreadable(name, "a time of at most 1e12 ms");
        return *value;
    }

    bool flag(const std::string& name) const {
        const auto value = text(name);
        if (value != "true" && value != "false") unreadable(name, "true or false");
        return value == "true";
    }

    double number(const std::string& name, double fallback) const {
        return find(name) ? number(name) : fallback;
    }
    int whole(const std::string& name, int fallback) const { return find(name) ? whole(name) : fallback; }
    Micros span(const std::string& name, Micros fallback) const { return find(name) ? span(name) : fallback; }
    bool flag(const std::string& name, bool fallback) const { return find(name) ? flag(name) : fallback; }

    // Returns the length of a list of objects; 0 if the list is missing or empty.
    int count(const std::string& name) const {
        if (!find(name + ".count")) return 0;
        const int length = whole(name + ".count");
        if (length < 0 || length > 65536) unreadable(name + ".count", "from 0 to 65536");
        return length;
    }

    static std::vector<std::string_view> split(std::string_view list) {
        std::vector<std::string_view> items;
        while (!list.empty()) {
            const auto comma = list.find(',');
            items.push_back(list.substr(0, comma));
            list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
        }
        return items;
    }

    [[noreturn]] static void unreadable(const std::string& name, std::string_view permitted) {
        throw std::invalid_argument("setting unreadable: " + name + ", must be " + std::string(permitted));
    }

private:
    std::map<std::string_view, std::string_view, std::less<>> values_;
};

Effect effect_of(const SettingsReader& reader, const std::string& name) {
    const auto word = reader.text(name);
    if (word == "idempotent") return Effect::safe;
    if (word == "deduplicated") return Effect::keyed;
    if (word == "at_most_once") return Effect::unsafe;
    SettingsReader::unreadable(name, "idempotent, deduplicated or at_most_once");
}

DeduplicationScope group_of(const SettingsReader& reader, const std::string& name) {
    const auto word = reader.text(name);
    if (word == "all") return DeduplicationScope::all;
    if (word == "zone") return DeduplicationScope::zone;
    if (word == "cell") return DeduplicationScope::cell;
    SettingsReader::unreadable(name, "all, zone or cell");
}

ReportField field_of(std::string_view word) {
    if (word == "active") return ReportField::in_flight;
    if (word == "waiting") return ReportField::queued;
    if (word == "cpu") return ReportField::utilisation;
    if (word == "avg_ms") return ReportField::service_ms;
    if (word == "rps") return ReportField::rate;
    if (word == "err_rps") return ReportField::errors;
    return ReportField::other;
}

ReportSource source_of(const SettingsReader& reader, const std::string& name) {
    const auto word = reader.find(name).value_or("off");
    if (word == "off") return ReportSource::none;
    if (word == "inline") return ReportSource::answers;
    if (word == "on_probe") return ReportSource::probes;
    SettingsReader::unreadable(name, "off, inline or on_probe");
}

WeightMeaning weights_of(const SettingsReader& reader, const std::string& name) {
    const auto word = reader.find(name).value_or("off");
    if (word == "off") return WeightMeaning::none;
    if (word == "nominal") return WeightMeaning::nominal;
    if (word == "rough") return WeightMeaning::rough;
    if (word == "live") return WeightMeaning::live;
    SettingsReader::unreadable(name, "off, nominal, rough or live");
}

bool by_work(const SettingsReader& reader, const std::string& name) {
    const auto word = reader.find(name).value_or("request");
    if (word != "request" && word != "work") SettingsReader::unreadable(name, "request or work");
    return word == "work";
}

}  // namespace

Settings parse_settings(std::string_view text) {
    const SettingsReader reader(text);
    Settings settings;
    settings.rank = reader.whole("rank");
    settings.balancers = reader.whole("siblings");
    settings.zone = reader.whole("zone");
    settings.zones = static_cast<int>(SettingsReader::split(reader.text("zones")).size());
    settings.tier = reader.whole("tier", 0);
    settings.tick = reader.span("tick");

    const int classes = reader.whole("services.count");
    for (int i = 0; i < classes; ++i) {
        const std::string prefix = "services." + std::to_string(i) + ".";
        ClassSettings call_class;
        call_class.name = std::string(reader.find(prefix + "name").value_or(""));
        call_class.aim = reader.span(prefix + "aim");
        call_class.deadline = reader.span(prefix + "hard_limit");
        call_class.worth = reader.number(prefix + "worth", 1);
        call_class.late_worth = reader.number(prefix + "late_worth", 0);
        call_class.effect = effect_of(reader, prefix + "effect");
        if (call_class.effect == Effect::keyed) {
            call_class.group = group_of(reader, prefix + "group");
            call_class.window = reader.span(prefix + "window");
        }
        call_class.streams = reader.flag(prefix + "stream", false);
        call_class.aim_stretch = reader.number(prefix + "aim_stretch", 0);
        settings.classes.push_back(std::move(call_class));
    }
    for (int i = 0; i < reader.count("tenants"); ++i) {
        const std::string prefix = "tenants." + std::to_string(i) + ".";
        settings.tenants.push_back({std::string(reader.find(prefix + "name").value_or("")),
                                    reader.number(prefix + "quota_rps", 0),
                                    reader.number(prefix + "fraction", 0)});
    }
    settings.over_share_worth = reader.number("over_share_worth", 1);
    settings.worth_by_work = by_work(reader, "worth_by");

    const auto mode = reader.text("registry_mode");
    if (mode != "ask" && mode != "push") SettingsReader::unreadable("registry_mode", "ask or push");
    settings.must_request_list = mode == "ask";
    settings.may_probe = reader.flag("limits.may_probe", false);
    settings.may_cancel = reader.flag("limits.cancel", false);
    settings.parallel_attempts = reader.flag("limits.parallel_tries", false);
    settings.retry_after = reader.flag("limits.retry_after", false);
    settings.warm_keys = reader.flag("specifics.warm_keys", false);
    settings.passes_deadline = reader.flag("specifics.passes_deadline", false);
    settings.marks_retry = reader.flag("callers.marks_retry", false);
    settings.may_message_peers = reader.flag("limits.peers", false);
    settings.weights = weights_of(reader, "weights");
    settings.max_attempts = reader.whole("limits.max_attempts");
    settings.max_retry_after = reader.span("limits.max_retry_after", Micros{0});
    settings.connect_timeout = reader.span("limits.connect_timeout", Micros{0});
    settings.max_open = reader.whole("limits.max_open", 0);
    settings.idle_close = reader.span("limits.idle_close", Micros{0});
    settings.streams_per_connection = reader.whole("limits.streams_per_conn", 1);
    settings.cpu_per_s = Micros(reader.whole("limits.cpu_us_per_s", 0));
    settings.cpu_us_per_request = reader.number("limits.cpu_us_per_request", 0);
    settings.reports = source_of(reader, "load_report.how");
    if (settings.reports != ReportSource::none) {
        for (const auto word : SettingsReader::split(reader.find("load_report.fields").value_or(""))) {
            settings.report_fields.push_back(field_of(word));
        }
    }

    settings.answer_slack = reader.span("invariants.answer_slack", Micros{0});
    settings.ask_within = settings.must_request_list ? reader.span("invariants.ask_within") : Micros{0};
    settings.drain_grace = reader.span("invariants.drain_grace", Micros{0});
    settings.drain_close = reader.span("invariants.close_on_drain_within", Micros{0});
    settings.cold_share = reader.number("invariants.cold_from", 1);
    settings.ramp_time = reader.span("invariants.ramp_time", Micros{0});
    settings.fall_multiple = reader.number("invariants.fall_multiple", 0);
    settings.fall_span = reader.span("invariants.fall", Micros{0});

    const auto weight = [&](const char* part) {
        return reader.number(std::string("objective_mix.") + part, 0);
    };
    settings.objective_weights = {weight("whole"),        weight("worst_window"), weight("worst_class"),
                                  weight("worst_tenant"), weight("nines_part"),   weight("full_at_nines")};
    const auto price = [&](const char* unit) { return reader.number(std::string("deductions.") + unit, 0); };
    settings.deductions = {price("connection"), price("cross_zone"), price("registry_mode"), price("fleet"),
                           price("handshake"),  price("late_fail"),  price("moves"),         price("origin"),
                           price("peer"),       price("probe"),      price("waste")};
    return settings;
}

}  // namespace flaxdoor::wire
