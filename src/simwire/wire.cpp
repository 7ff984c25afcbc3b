#include "simwire/wire.h"

#include <bit>
#include <charconv>
#include <cmath>
#include <cstring>
#include <limits>
#include <map>
#include <optional>

namespace flaxdoor::wire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

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

std::string at_text(std::uint32_t batch, std::uint32_t record) {
    return " (batch " + std::to_string(batch) + ", record " + std::to_string(record) + ")";
}

constexpr std::uint32_t everyone = 0xffffffff;  // the receiver of a message to every other instance

constexpr double max_ms = 1e12;  // beyond it, microseconds in 64 bits would be in danger

std::optional<Micros> micros(double ms) {
    if (!(std::fabs(ms) <= max_ms)) return std::nullopt;
    return Micros(std::llround(ms * 1000.0));
}

double millis(Micros span) { return static_cast<double>(span.count()) / 1000.0; }

// An upstream's id is its six bytes: address first, port last.
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
        case 249: return Outcome::moot;
        default: return std::nullopt;
    }
}

}  // namespace

// ------------------------------------------------------------------------------------------------ frames

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
    records_ = header.records;
    record_ = 0;
    tail_ = body.substr(std::size_t{header.records} * event_size);
}

bool Decoder::next(Event& event) {
    while (record_ < records_) {
        const auto record = body_.substr(std::size_t{record_} * event_size, event_size);
        const auto where = [&] { return at_text(number_, record_); };
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
            const auto n = load<std::uint8_t>(record, at);
            if (n > 4) throw WireError("load report too long" + where());
            report.resize(n);
            for (std::size_t i = 0; i < n; ++i) report[i] = load<float>(record, at + 1 + 4 * i);
        };
        const auto text_at = [&](std::size_t field, const char* what) {
            const std::uint64_t at = load<std::uint32_t>(record, field),
                                size = load<std::uint32_t>(record, field + 4);
            if (at + size > tail_.size()) throw WireError(what + (" beyond the frame" + where()));
            return tail_.substr(at, size);
        };
        const auto code = load<std::uint16_t>(record, 0);
        event.instance = load<std::uint32_t>(record, 2);
        switch (code) {
            case event_code::catalog: {
                read_list(record);
                ++record_;
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
                    const auto sheet = load<std::uint32_t>(record, 15);
                    if (sheet >= lists_.size() || !listed_[sheet]) throw WireError("unknown list" + where());
                    list.entries = &lists_[sheet];
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
                const auto marks = load<std::uint8_t>(record, 40);
                if (marks & 1) request.cost_hint = span_at(32);
                request.client_retry = marks & 2;
                request.write = marks & 4;
                event.body = request;
                break;
            }
            case event_code::closed_attempt: {
                AttemptEnd end;
                end.request = load<std::uint32_t>(record, 6);
                end.attempt = load<std::uint8_t>(record, 10);
                end.outcome = outcome_at(11);
                end.closed = load<std::uint8_t>(record, 12) != 0;
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
        ++record_;
        return true;
    }
    return false;
}

void Decoder::read_list(std::string_view record) {
    const auto where = [&] { return at_text(number_, record_); };
    const auto sheet = load<std::uint32_t>(record, 2);
    if (sheet >= lists_.size()) throw WireError("list number out of range" + where());
    const std::uint64_t at = load<std::uint32_t>(record, 6), count = load<std::uint32_t>(record, 10);
    if (at + count * entry_size > tail_.size()) throw WireError("list beyond the frame" + where());
    auto& list = lists_[sheet];
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
    listed_[sheet] = true;
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
    store(bytes + 6, peer ? static_cast<std::uint32_t>(*peer) : everyone);
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

// ------------------------------------------------------------------------------------------------- facts

namespace {

class Facts {
public:
    explicit Facts(std::string_view text) {
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
        if (!value) unreadable(name, "a time that can be counted in microseconds");
        return *value;
    }

    bool flag(const std::string& name) const {
        const auto value = text(name);
        if (value != "true" && value != "false") unreadable(name, "true or false");
        return value == "true";
    }

    double number(const std::string& name, double otherwise) const {
        return find(name) ? number(name) : otherwise;
    }
    int whole(const std::string& name, int otherwise) const { return find(name) ? whole(name) : otherwise; }
    Micros span(const std::string& name, Micros otherwise) const {
        return find(name) ? span(name) : otherwise;
    }
    bool flag(const std::string& name, bool otherwise) const { return find(name) ? flag(name) : otherwise; }

    // A list of objects tells its length; an absent or empty one has none.
    int count(const std::string& name) const {
        if (!find(name + ".count")) return 0;
        const int n = whole(name + ".count");
        if (n < 0 || n > 65536) unreadable(name + ".count", "from 0 to 65536");
        return n;
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

    [[noreturn]] static void unreadable(const std::string& name, std::string_view must_be) {
        throw std::invalid_argument("setting unreadable: " + name + ", must be " + std::string(must_be));
    }

private:
    std::map<std::string_view, std::string_view, std::less<>> values_;
};

Effect effect_of(const Facts& facts, const std::string& name) {
    const auto word = facts.text(name);
    if (word == "idempotent") return Effect::safe;
    if (word == "deduplicated") return Effect::keyed;
    if (word == "at_most_once") return Effect::unsafe;
    Facts::unreadable(name, "idempotent, deduplicated or at_most_once");
}

Group group_of(const Facts& facts, const std::string& name) {
    const auto word = facts.text(name);
    if (word == "all") return Group::all;
    if (word == "zone") return Group::zone;
    if (word == "cell") return Group::cell;
    Facts::unreadable(name, "all, zone or cell");
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

ReportSource source_of(const Facts& facts, const std::string& name) {
    const auto word = facts.find(name).value_or("off");
    if (word == "off") return ReportSource::none;
    if (word == "inline") return ReportSource::answers;
    if (word == "on_probe") return ReportSource::probes;
    Facts::unreadable(name, "off, inline or on_probe");
}

Weights weights_of(const Facts& facts, const std::string& name) {
    const auto word = facts.find(name).value_or("off");
    if (word == "off") return Weights::none;
    if (word == "nominal") return Weights::nominal;
    if (word == "rough") return Weights::rough;
    if (word == "live") return Weights::live;
    Facts::unreadable(name, "off, nominal, rough or live");
}

bool by_work(const Facts& facts, const std::string& name) {
    const auto word = facts.find(name).value_or("request");
    if (word != "request" && word != "work") Facts::unreadable(name, "request or work");
    return word == "work";
}

}  // namespace

Settings parse_facts(std::string_view text) {
    const Facts facts(text);
    Settings s;
    s.rank = facts.whole("rank");
    s.balancers = facts.whole("siblings");
    s.zone = facts.whole("zone");
    s.zones = static_cast<int>(Facts::split(facts.text("zones")).size());
    s.tier = facts.whole("tier", 0);
    s.tick = facts.span("tick");

    const int classes = facts.whole("services.count");
    for (int i = 0; i < classes; ++i) {
        const std::string at = "services." + std::to_string(i) + ".";
        ClassSettings c;
        c.name = std::string(facts.find(at + "name").value_or(""));
        c.aim = facts.span(at + "aim");
        c.deadline = facts.span(at + "hard_limit");
        c.worth = facts.number(at + "worth", 1);
        c.late_worth = facts.number(at + "late_worth", 0);
        c.effect = effect_of(facts, at + "effect");
        if (c.effect == Effect::keyed) {
            c.group = group_of(facts, at + "group");
            c.window = facts.span(at + "window");
        }
        c.streams = facts.flag(at + "stream", false);
        c.aim_stretch = facts.number(at + "aim_stretch", 0);
        s.classes.push_back(std::move(c));
    }
    for (int i = 0; i < facts.count("tenants"); ++i) {
        const std::string at = "tenants." + std::to_string(i) + ".";
        s.tenants.push_back({std::string(facts.find(at + "name").value_or("")),
                             facts.number(at + "quota_rps", 0), facts.number(at + "fraction", 0)});
    }
    s.over_share_worth = facts.number("over_share_worth", 1);
    s.worth_by_work = by_work(facts, "worth_by");

    const auto mode = facts.text("registry_mode");
    if (mode != "ask" && mode != "push") Facts::unreadable("registry_mode", "ask or push");
    s.must_ask_list = mode == "ask";
    s.may_probe = facts.flag("limits.may_probe", false);
    s.may_cancel = facts.flag("limits.cancel", false);
    s.parallel_attempts = facts.flag("limits.parallel_tries", false);
    s.retry_after = facts.flag("limits.retry_after", false);
    s.warm_keys = facts.flag("specifics.warm_keys", false);
    s.passes_deadline = facts.flag("specifics.passes_deadline", false);
    s.marks_retry = facts.flag("callers.marks_retry", false);
    s.may_tell_peers = facts.flag("limits.peers", false);
    s.weights = weights_of(facts, "weights");
    s.max_attempts = facts.whole("limits.max_attempts");
    s.max_retry_after = facts.span("limits.max_retry_after", Micros{0});
    s.connect_timeout = facts.span("limits.connect_timeout", Micros{0});
    s.max_open = facts.whole("limits.max_open", 0);
    s.idle_close = facts.span("limits.idle_close", Micros{0});
    s.streams_per_connection = facts.whole("limits.streams_per_conn", 1);
    s.cpu_per_s = Micros(facts.whole("limits.cpu_us_per_s", 0));
    s.cpu_us_per_request = facts.number("limits.cpu_us_per_request", 0);
    s.reports = source_of(facts, "load_report.how");
    if (s.reports != ReportSource::none) {
        for (const auto word : Facts::split(facts.find("load_report.fields").value_or(""))) {
            s.report_fields.push_back(field_of(word));
        }
    }

    s.answer_slack = facts.span("invariants.answer_slack", Micros{0});
    s.ask_within = s.must_ask_list ? facts.span("invariants.ask_within") : Micros{0};
    s.drain_grace = facts.span("invariants.drain_grace", Micros{0});
    s.drain_close = facts.span("invariants.close_on_drain_within", Micros{0});
    s.cold_share = facts.number("invariants.cold_from", 1);
    s.ramp_time = facts.span("invariants.ramp_time", Micros{0});
    s.fall_multiple = facts.number("invariants.fall_multiple", 0);
    s.fall_span = facts.span("invariants.fall", Micros{0});

    const auto weight = [&](const char* part) {
        return facts.number(std::string("objective_mix.") + part, 0);
    };
    s.goal = {weight("whole"),        weight("worst_window"), weight("worst_class"),
              weight("worst_tenant"), weight("nines_part"),   weight("full_at_nines")};
    const auto price = [&](const char* unit) { return facts.number(std::string("deductions.") + unit, 0); };
    s.prices = {price("connection"), price("cross_zone"), price("registry_mode"), price("fleet"),
                price("handshake"),  price("late_fail"),  price("moves"),         price("origin"),
                price("peer"),       price("probe"),      price("waste")};
    return s;
}

}  // namespace flaxdoor::wire
