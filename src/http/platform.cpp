#include "http/platform.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <functional>

namespace flaxdoor::http {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view call_id_field = "X-Call-Id";
constexpr std::string_view class_field = "X-Call-Class";
constexpr std::string_view caller_field = "X-Caller";
constexpr std::string_view budget_field = "X-Budget-Ms";
constexpr std::string_view retry_field = "X-Again";
constexpr std::string_view cost_field = "X-Call-Cost";
constexpr std::string_view key_field = "Idempotency-Key";
constexpr std::string_view rejected_field = "X-Rejected";
constexpr std::string_view report_field = "X-Load-Report";

// Fields that the Connection field of a client cannot remove, because they are meant for the upstream: without its key,
// a keyed request would be executed again by each attempt.
constexpr std::array<std::string_view, 2> end_to_end_fields = {call_id_field, key_field};

constexpr std::size_t max_call_id_bytes = 64;
constexpr float max_report_value = 1e6F;  // a load report with a larger or a negative value is discarded
constexpr float missing_value = -1.0F;    // placeholder for a field that has not been parsed

template <typename Number>
bool parse_number(std::string_view text, Number& value, int base = 10) {
    const char* const end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, value, base);
    return error == std::errc{} && last == end && !text.empty();
}

// Returns the value of the cookie `key`: parsed as a hexadecimal number, else hashed; 0 when there is none.
std::uint64_t key_of(std::string_view cookies) {
    while (!cookies.empty()) {
        const auto end = std::min(cookies.find(';'), cookies.size());
        auto pair = cookies.substr(0, end);
        cookies.remove_prefix(std::min(end + 1, cookies.size()));
        while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
        if (pair.substr(0, 4) != "key=") continue;
        const auto text = pair.substr(4);
        std::uint64_t key = 0;
        if (!parse_number(text, key, 16)) key = std::hash<std::string_view>{}(text);
        return key;
    }
    return 0;
}

template <typename Items>
std::optional<int> index_of(const Items& items, std::string_view name) {
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].name == name) return static_cast<int>(i);
    }
    return std::nullopt;
}

// Checks that the method and the idempotency key match the effect of the class. Returns the error, or null.
const char* method_error(const Request& message, Effect effect) {
    const bool keyed = !message.fields[key_field].empty();
    switch (effect) {
        case Effect::safe:
            if (message.method != "GET") return "this X-Call-Class is asked for with GET";
            return message.body.empty() ? nullptr : "a GET has no body";
        case Effect::keyed:
            if (message.method != "POST") return "this X-Call-Class is asked for with POST";
            return keyed ? nullptr : "this X-Call-Class needs an Idempotency-Key";
        case Effect::unsafe:
            if (message.method != "POST") return "this X-Call-Class is asked for with POST";
            return keyed ? "this X-Call-Class takes no Idempotency-Key" : nullptr;
    }
    return "unknown X-Call-Class";
}

// Whether the text is a valid X-Call-Id: it is forwarded unchanged as the request's name.
bool is_call_id(std::string_view text) {
    return !text.empty() && text.size() <= max_call_id_bytes &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                      c == '-' || c == '_' || c == '.';
           });
}

}  // namespace

Route route_of(const Request& message) {
    const auto path = std::string_view(message.target).substr(0, message.target.find('?'));
    if (path == "/ready" && (message.method == "GET" || message.method == "HEAD")) return Route::ready;
    return path == "/api" ? Route::api : Route::unknown;
}

std::variant<ClientRequest, InvalidRequest> parse_client_request(Request message, const Settings& settings) {
    const auto wrong = [](std::string why) { return InvalidRequest{std::move(why)}; };
    const Fields& fields = message.fields;
    for (const auto once : {call_id_field, class_field, budget_field, key_field}) {
        if (fields.count(once) > 1) return wrong(std::string(once) + " is there more than once");
    }
    if (!is_call_id(fields[call_id_field])) {
        return wrong("X-Call-Id must be a word of 1 to 64 letters, digits, dots, dashes and underscores");
    }
    const auto class_index = index_of(settings.classes, fields[class_field]);
    if (!class_index) return wrong("X-Call-Class is missing or names no class");
    const ClassSettings& class_settings = settings.classes[static_cast<std::size_t>(*class_index)];
    if (const char* const why = method_error(message, class_settings.effect)) return wrong(why);
    std::uint32_t budget_ms = 0;
    if (!parse_number(fields[budget_field], budget_ms) || budget_ms == 0) {
        return wrong("X-Budget-Ms must be a whole number from 1 on");
    }
    ClientRequest request;
    // The deadline of the class bounds the client's budget.
    request.budget = std::min<Micros>(milliseconds(budget_ms), class_settings.deadline);
    request.facts.class_index = *class_index;
    request.facts.tenant = index_of(settings.tenants, fields[caller_field]);
    request.facts.key = key_of(fields["Cookie"]);
    request.facts.client_retry = fields[retry_field] == "1";
    std::uint32_t cost_us = 0;
    if (parse_number(fields[cost_field], cost_us)) request.facts.cost_hint = Micros(cost_us);
    request.call_id = fields[call_id_field];
    request.message = std::move(message);
    return request;
}

namespace {

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    });
}

// Whether the text contains no line end and no other control byte, which could hide a second message.
// `blanks`: spaces and tabs are allowed.
bool is_plain(std::string_view text, bool blanks) {
    return std::all_of(text.begin(), text.end(), [&](char c) {
        const auto u = static_cast<unsigned char>(c);
        return u != 0x7f && (u > 0x20 || (blanks && (u == 0x20 || u == '\t')));
    });
}

// Number and size of the fields that the balancer adds to a local request: those named below, and X-Budget-Ms again for
// an attempt.
constexpr std::size_t generated_field_count = 9;
constexpr std::size_t generated_field_bytes = 192;

// Whether the balancer sets the field itself.
bool is_generated(std::string_view name) {
    static constexpr std::array<std::string_view, 9> names = {
        call_id_field, class_field, caller_field,     budget_field,       retry_field,
        cost_field,    key_field,   "Content-Length", "Transfer-Encoding"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view n) { return equals_ignoring_case(n, name); });
}

}  // namespace

std::string validate_header_syntax(std::string_view method, std::string_view target,
                                   const std::vector<std::pair<std::string, std::string>>& headers) {
    if (!is_token(method)) return "the method is not a token";
    if (target.empty() || target.front() != '/' || !is_plain(target, false)) {
        return "the target must begin with '/' and contain no spaces or control bytes";
    }
    std::size_t size = target.size();
    for (const auto& [name, value] : headers) {
        if (!is_token(name)) return "a header name is not a token";
        if (!is_plain(value, true)) return "header " + name + " contains a control byte";
        size += name.size() + value.size() + 4;
    }
    if (size <= max_header_bytes) return {};
    return "the headers have more than " + std::to_string(max_header_bytes) + " bytes";
}

std::string validate_framing(const std::vector<std::pair<std::string, std::string>>& headers) {
    std::size_t lengths = 0;
    for (const auto& [name, value] : headers) {
        const bool encoding = equals_ignoring_case(name, "Transfer-Encoding");
        lengths += encoding || equals_ignoring_case(name, "Content-Length") ? 1 : 0;
        if (encoding && !equals_ignoring_case(value, "chunked"))
            return "a Transfer-Encoding other than chunked";
    }
    return lengths > 1 ? "its end is told more than once, by Content-Length or Transfer-Encoding" : "";
}

std::variant<ClientRequest, InvalidRequest> parse_client_request(const LocalRequest& own,
                                                                 const Settings& settings) {
    const auto wrong = [](std::string why) { return InvalidRequest{std::move(why)}; };
    if (own.budget <= Micros{0}) return wrong("the budget must be greater than zero");
    if (own.body.size() > default_max_body_bytes) {
        return wrong("the body has " + std::to_string(own.body.size()) + " bytes, " +
                     std::to_string(default_max_body_bytes) + " at most");
    }
    static const std::vector<std::pair<std::string, std::string>> none;
    const auto& headers = own.headers ? *own.headers : none;
    if (auto why = validate_header_syntax(own.method, own.target, headers); !why.empty())
        return wrong(std::move(why));
    Request message;
    message.method = own.method;
    message.target = own.target;
    std::size_t field_bytes =
        own.id.size() + own.class_name.size() + own.idempotency_key.size() + own.tenant.size();
    for (const auto& [name, value] : headers) field_bytes += name.size() + value.size();
    message.fields.reserve(headers.size() + generated_field_count, field_bytes + generated_field_bytes);
    std::size_t size = own.target.size();
    const auto add = [&](std::string_view name, std::string_view value) {
        size += name.size() + value.size() + 4;
        message.fields.add(name, value);
    };
    bool has_host = false;
    for (const auto& [name, value] : headers) {
        has_host = has_host || equals_ignoring_case(name, "Host");
        if (!is_generated(name)) add(name, value);
    }
    if (!has_host) add("Host", "api.internal");
    const auto budget_ms = std::chrono::ceil<milliseconds>(own.budget).count();
    constexpr std::int64_t max_ms = 0xffffffff;
    add(call_id_field, own.id);
    add(class_field, own.class_name);
    add(budget_field, std::to_string(std::min<std::int64_t>(budget_ms, max_ms)));
    if (!is_plain(own.idempotency_key, false) || !is_plain(own.tenant, true) ||
        !is_plain(own.class_name, true)) {
        return wrong("class, tenant and idempotency key must be plain words");
    }
    if (!own.idempotency_key.empty()) add(key_field, own.idempotency_key);
    if (!own.tenant.empty()) add(caller_field, own.tenant);
    if (own.client_retry) add(retry_field, "1");
    if (own.cost_hint) add(cost_field, std::to_string(std::max<std::int64_t>(0, own.cost_hint->count())));
    if (size > max_header_bytes)
        return wrong("the headers have more than " + std::to_string(max_header_bytes) + " bytes");
    message.body = own.body;
    auto understood = parse_client_request(std::move(message), settings);
    if (auto* request = std::get_if<ClientRequest>(&understood)) {
        request->budget = std::min(request->budget, own.budget);  // X-Budget-Ms is rounded up to milliseconds
        if (own.key != 0) request->facts.key = own.key;
    }
    return understood;
}

void prepare_upstream_request(Request& message) {
    strip_hop_by_hop(message.fields, end_to_end_fields);
    message.version = 11;
}

void prepare_client_response(Response& message) {
    strip_hop_by_hop(message.fields);
    message.fields.erase(report_field);
    message.version = 11;
}

void set_budget(Request& message, Micros left) {
    const auto ms = std::chrono::duration_cast<milliseconds>(left).count();
    message.fields.set(budget_field, std::to_string(std::max<std::int64_t>(1, ms)));
}

Outcome outcome_of(const Response& answer) {
    if (answer.status == 200) return Outcome::ok;
    const bool is_rejection_status = answer.status == 503 || answer.status == 504;
    // A 503 without X-Rejected does not rule out that the request has executed.
    return is_rejection_status && answer.fields[rejected_field] == "1" ? Outcome::full : Outcome::error;
}

Report report_of(const Response& answer, const std::vector<std::string>& fields) {
    if (fields.empty()) return {};
    const auto text = answer.fields[report_field];
    return text.empty() ? Report{} : parse_report(text, fields);
}

Report parse_report(std::string_view text, const std::vector<std::string>& fields) {
    Report report(fields.size(), missing_value);
    while (!text.empty()) {
        const auto comma = text.find(',');
        auto pair = text.substr(0, comma);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
        while (!pair.empty() && pair.back() == ' ') pair.remove_suffix(1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) return {};
        const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, equals));
        if (field == fields.end()) continue;
        const auto number = pair.substr(equals + 1);
        float value = 0;
        const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
        if (error != std::errc{} || end != number.data() + number.size() ||
            !(value >= 0 && value <= max_report_value))
            return {};
        report[static_cast<std::size_t>(field - fields.begin())] = value;
    }
    const bool all = std::find(report.begin(), report.end(), missing_value) == report.end();
    return all ? report : Report{};
}

Response rejection_response(Micros retry_after) {
    Response response;
    response.status = 503;
    if (retry_after > Micros{0}) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retry_after.count()) / 1e6);
        response.fields.set("Retry-After", seconds);
    }
    return response;
}

Response error_response(int status) {
    Response response;
    response.status = status;
    return response;
}

Response readiness_response(bool ready) {
    Response response;
    response.status = ready ? 200 : 503;
    response.fields.set("Content-Type", "text/plain");
    response.body = std::string(reason_of(response.status)) + "\n";
    return response;
}

}  // namespace flaxdoor::http
