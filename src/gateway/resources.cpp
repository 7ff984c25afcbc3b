#include "gateway/resources.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <stdexcept>

#include "routes/table.h"
#include "text/base64.h"

namespace flaxdoor::gateway {

namespace {

constexpr std::string_view gateway_group = "gateway.networking.k8s.io";
constexpr std::string_view annotation_prefix = "flaxdoor.dev/";
constexpr std::size_t max_name = 253;
constexpr std::size_t max_rules = 16, max_matches = 64, max_fields = 16, max_filters = 16;
constexpr std::size_t max_backends = 16, max_hosts = 16, max_parents = 32, max_listeners = 64;
constexpr std::size_t max_value = 4096, max_path = 1024;
constexpr std::size_t max_endpoints = 1000;
constexpr std::uint32_t max_weight = 1'000'000;

constexpr std::array<std::string_view, 9> names = {"GatewayClass",   "Gateway", "HTTPRoute",
                                                   "ReferenceGrant", "Service", "EndpointSlice",
                                                   "Namespace",      "Secret",  "CustomResourceDefinition"};

constexpr std::array<std::string_view, 9> methods = {"GET",     "HEAD",    "POST",  "PUT",  "DELETE",
                                                     "CONNECT", "OPTIONS", "TRACE", "PATCH"};

// A JSON value with its field path. Strict accessors append errors to a list of problems.
class Node {
public:
    Node(const Json* value, std::string field, std::vector<Problem>& problems)
        : value_(value), field_(std::move(field)), problems_(&problems) {}

    bool present() const { return value_ && !value_->is_null(); }
    const Json& json() const { return *value_; }
    const std::string& field() const { return field_; }

    void report(std::string message, std::string remedy) const {
        problems_->push_back({field_, std::move(message), std::move(remedy)});
    }

    Node at(const char* name) const {
        const std::string field = field_.empty() ? name : field_ + "." + name;
        if (!present()) return {nullptr, field, *problems_};
        if (!value_->is_object()) {
            report(std::string("is no object but ") + value_->type_name(), "write it as an object");
            return {nullptr, field, *problems_};
        }
        const auto found = value_->find(name);
        return {found == value_->end() ? nullptr : &*found, field, *problems_};
    }

    // Returns the same value with errors going to another list.
    Node into(std::vector<Problem>& problems) const { return {value_, field_, problems}; }

    std::vector<Node> items(std::size_t max_count) const {
        std::vector<Node> out;
        if (!present()) return out;
        if (!value_->is_array()) {
            report(std::string("is no list but ") + value_->type_name(), "write it as a list");
            return out;
        }
        if (value_->size() > max_count) {
            report("has " + std::to_string(value_->size()) + " entries",
                   "at most " + std::to_string(max_count) + " are allowed");
            return out;
        }
        for (std::size_t i = 0; i < value_->size(); ++i)
            out.emplace_back(&(*value_)[i], field_ + "[" + std::to_string(i) + "]", *problems_);
        return out;
    }

    std::string text(std::string default_value = {}, std::size_t max_bytes = max_value) const {
        if (!present()) return default_value;
        if (!value_->is_string()) {
            report(std::string("is no string but ") + value_->type_name(), "write it as a string");
            return default_value;
        }
        const auto& string_value = value_->get_ref<const std::string&>();
        if (string_value.size() > max_bytes) {
            report("has " + std::to_string(string_value.size()) + " bytes",
                   "at most " + std::to_string(max_bytes) + " are allowed");
            return default_value;
        }
        return string_value;
    }
    std::string required(std::size_t max_bytes = max_value) const {
        const std::size_t before = problems_->size();
        std::string result = text({}, max_bytes);
        if (result.empty() && problems_->size() == before) report("is missing or empty", "give it");
        return result;
    }

    std::optional<std::int64_t> number(std::int64_t min, std::int64_t max) const {
        if (!present()) return std::nullopt;
        if (!value_->is_number_integer()) {
            report(std::string("is no whole number but ") + value_->type_name(),
                   "write it as a whole number");
            return std::nullopt;
        }
        const bool too_large =
            value_->is_number_unsigned() && value_->get<std::uint64_t>() > std::uint64_t(max);
        const std::int64_t integer = too_large ? max + 1 : value_->get<std::int64_t>();
        if (integer < min || integer > max) {
            report("is " + value_->dump(),
                   "it must lie between " + std::to_string(min) + " and " + std::to_string(max));
            return std::nullopt;
        }
        return integer;
    }

    std::optional<bool> flag() const {
        if (!present()) return std::nullopt;
        if (!value_->is_boolean()) {
            report(std::string("is no truth value but ") + value_->type_name(), "write true or false");
            return std::nullopt;
        }
        return value_->get<bool>();
    }

    // Returns the string if it is one of `known`, the values that this version supports.
    std::string one_of(std::span<const std::string_view> known, std::string default_value = {}) const {
        std::string result = text(default_value);
        if (!present() || std::find(known.begin(), known.end(), result) != known.end()) return result;
        std::string list;
        for (const auto& each : known) list += (list.empty() ? "" : ", ") + std::string(each);
        report("is \"" + result.substr(0, 100) + "\", which is not supported", "use one of " + list);
        return {};
    }

    // Reports an unsupported field, which can't be ignored because it would change the meaning of the object.
    void reject_field(const char* name, const char* remedy) const {
        if (const Node inner = at(name); inner.present()) inner.report("is not supported", remedy);
    }

private:
    const Json* value_;
    std::string field_;
    std::vector<Problem>* problems_;
};

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) ||
               std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    });
}

bool is_plain(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto u = static_cast<unsigned char>(c);
        return u >= 0x20 && u != 0x7f;
    });
}

bool is_host(std::string_view text, bool wildcard) {
    if (wildcard && text.starts_with("*.")) text.remove_prefix(2);
    if (text.empty() || text.size() > max_name || text.front() == '.' || text.back() == '.') return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    });
}

// ------------------------------------------------------------------------------------------------ Metadata

std::map<std::string, std::string> texts_of(const Json& meta, const char* name) {
    std::map<std::string, std::string> out;
    const auto found = meta.find(name);
    if (found == meta.end() || !found->is_object()) return out;
    for (const auto& [key, value] : found->items()) {
        if (value.is_string()) out.emplace(key, value.get<std::string>());
    }
    return out;
}

std::string text_in(const Json& object, const char* name) {
    const auto found = object.find(name);
    return found == object.end() || !found->is_string() ? std::string() : found->get<std::string>();
}

Meta read_meta(const Json& object) {
    if (!object.is_object()) throw std::invalid_argument("a resource is no object");
    const auto found = object.find("metadata");
    if (found == object.end() || !found->is_object()) throw std::invalid_argument("metadata is missing");
    Meta meta;
    meta.name = text_in(*found, "name");
    if (meta.name.empty()) throw std::invalid_argument("metadata.name is missing");
    if (meta.name.size() > 4 * max_name || !is_plain(meta.name) || meta.name.find('/') != std::string::npos)
        throw std::invalid_argument("metadata.name can't be used");
    meta.namespace_name = text_in(*found, "namespace");
    if (meta.namespace_name.size() > max_name || !is_plain(meta.namespace_name) ||
        meta.namespace_name.find('/') != std::string::npos)
        throw std::invalid_argument("metadata.namespace can't be used");
    meta.uid = text_in(*found, "uid");
    meta.version = text_in(*found, "resourceVersion");
    if (const auto g = found->find("generation"); g != found->end() && g->is_number_integer())
        meta.generation = g->get<std::int64_t>();
    meta.created = read_time(text_in(*found, "creationTimestamp"));
    meta.labels = texts_of(*found, "labels");
    meta.annotations = texts_of(*found, "annotations");
    return meta;
}

void check_name(const Meta& meta, std::vector<Problem>& problems) {
    if (meta.name.size() <= max_name) return;
    problems.push_back(
        {"metadata.name", "has " + std::to_string(meta.name.size()) + " bytes", "at most 253 are allowed"});
}

Json status_of(const Json& object) {
    const auto found = object.find("status");
    return found == object.end() || !found->is_object() ? Json::object() : *found;
}

Reference read_reference(const Node& node, std::string group, std::string kind) {
    Reference out;
    out.group = node.at("group").text(std::move(group));
    out.kind = node.at("kind").text(std::move(kind));
    out.namespace_name = node.at("namespace").text();
    out.name = node.at("name").required(max_name);
    return out;
}

// -------------------------------------------------------------------------------------------------- Rules

// Reads names and values of header fields. Values with control characters are reported as problems.
void read_header_values(const Node& list, std::vector<std::pair<std::string, std::string>>& into) {
    for (const Node& each : list.items(max_fields)) {
        const std::string name = each.at("name").required(256);
        const std::string value = each.at("value").text();
        if (!name.empty() && !is_token(name)) {
            each.at("name").report("is no header's name", "use letters, digits and dashes");
        } else if (!is_plain(value)) {
            each.at("value").report("holds what no header may", "leave line ends and control bytes out");
        } else if (!name.empty()) {
            into.emplace_back(name, value);
        }
    }
}

routes::HeaderEdit read_edit(const Node& node) {
    routes::HeaderEdit out;
    if (!node.present()) {
        node.report("is missing", "give set, add or remove");
        return out;
    }
    read_header_values(node.at("set"), out.set);
    read_header_values(node.at("add"), out.add);
    for (const Node& each : node.at("remove").items(max_fields)) {
        const std::string name = each.required(256);
        if (!name.empty()) out.remove.push_back(name);
    }
    return out;
}

bool is_path(const std::string& text) {
    return !text.empty() && text.front() == '/' && is_plain(text) &&
           text.find_first_of("?# ") == std::string::npos;
}

std::optional<routes::PathEdit> read_path_edit(const Node& node) {
    if (!node.present()) return std::nullopt;
    static constexpr std::array<std::string_view, 2> known = {"ReplaceFullPath", "ReplacePrefixMatch"};
    const std::string type = node.at("type").one_of(known);
    routes::PathEdit out;
    out.prefix = type == "ReplacePrefixMatch";
    const Node value = node.at(out.prefix ? "replacePrefixMatch" : "replaceFullPath");
    out.value = value.text({}, max_path);
    if (type.empty() && !node.at("type").present()) node.at("type").report("is missing", "give it");
    if (!type.empty() && !value.present()) value.report("is missing", "give it, as its type says");
    if (!out.value.empty() && !is_path(out.value) && !(out.prefix && out.value == "/"))
        value.report("is no path", "begin it with '/', without '?', '#' and blanks");
    return out;
}

std::optional<std::string> read_host_edit(const Node& node) {
    if (!node.present()) return std::nullopt;
    const std::string host = node.required(max_name);
    if (!host.empty() && !is_host(host, false))
        node.report("is no host name", "use lower-case letters, digits, dashes and dots");
    return host;
}

routes::Redirect read_redirect(const Node& node) {
    routes::Redirect out;
    if (!node.present()) {
        node.report("is missing", "give it, or leave the filter out");
        return out;
    }
    if (const Node scheme = node.at("scheme"); scheme.present()) {
        static constexpr std::array<std::string_view, 2> known = {"http", "https"};
        out.scheme = scheme.one_of(known);
    }
    out.host = read_host_edit(node.at("hostname"));
    out.path = read_path_edit(node.at("path"));
    if (const auto port = node.at("port").number(1, 65535)) out.port = static_cast<std::uint16_t>(*port);
    if (const auto status = node.at("statusCode").number(300, 399)) {
        static constexpr std::array<int, 5> known = {301, 302, 303, 307, 308};
        out.status = static_cast<int>(*status);
        if (std::find(known.begin(), known.end(), out.status) == known.end())
            node.at("statusCode").report("is no redirect", "use 301, 302, 303, 307 or 308");
    }
    return out;
}

void read_field_matches(const Node& list, bool headers, std::vector<routes::FieldMatch>& into) {
    for (const Node& each : list.items(max_fields)) {
        static constexpr std::array<std::string_view, 2> known = {"Exact", "RegularExpression"};
        routes::FieldMatch match;
        match.regex = each.at("type").one_of(known, "Exact") == "RegularExpression";
        match.name = each.at("name").required(256);
        match.value = each.at("value").required(max_value);
        if (headers && !match.name.empty() && !is_token(match.name))
            each.at("name").report("is no header's name", "use letters, digits and dashes");
        if (match.regex) {
            if (const std::string fault = routes::regex_fault(match.value); !fault.empty())
                each.at("value").report("is no regular expression (" + fault + ")", "use RE2's syntax");
        }
        into.push_back(std::move(match));
    }
}

routes::Match read_match(const Node& node) {
    routes::Match out;
    if (const Node path = node.at("path"); path.present()) {
        static constexpr std::array<std::string_view, 3> known = {"Exact", "PathPrefix", "RegularExpression"};
        const std::string type = path.at("type").one_of(known, "PathPrefix");
        const Node value = path.at("value");
        out.path.value = value.text("/", max_path);
        out.path.kind = type == "Exact"               ? routes::PathKind::exact
                        : type == "RegularExpression" ? routes::PathKind::regex
                                                      : routes::PathKind::prefix;
        if (out.path.kind == routes::PathKind::regex) {
            if (const std::string fault = routes::regex_fault(out.path.value); !fault.empty())
                value.report("is no regular expression (" + fault + ")", "use RE2's syntax");
        } else if (!is_path(out.path.value) || out.path.value.find("//") != std::string::npos ||
                   !routes::split_target(out.path.value).why.empty()) {
            value.report("is no path",
                         "begin it with '/', without '//', '.' and '..' as segments, '?' and '#'");
        }
    }
    read_field_matches(node.at("headers"), true, out.headers);
    read_field_matches(node.at("queryParams"), false, out.queries);
    if (node.at("method").present()) out.method = node.at("method").one_of(methods);
    if (out.method == "CONNECT")
        node.at("method").report("is CONNECT, which is not supported", "leave it out");
    if (node.present() && !node.json().is_object()) node.report("is no object", "write it as an object");
    return out;
}

struct Filters {
    routes::HeaderEdit request, response;
    std::optional<routes::Redirect> redirect;
    std::optional<routes::Rewrite> rewrite;
    bool incompatible = false;
};

Filters read_filters(const Node& list, bool of_backend) {
    Filters out;
    std::set<std::string> seen;
    for (const Node& each : list.items(max_filters)) {
        const std::string type = each.at("type").required(64);
        if (type.empty()) continue;
        if (!seen.insert(type).second) {
            each.at("type").report("is " + type + " for the second time", "put both into one");
            continue;
        }
        if (type == "RequestHeaderModifier") {
            out.request = read_edit(each.at("requestHeaderModifier"));
        } else if (type == "ResponseHeaderModifier") {
            out.response = read_edit(each.at("responseHeaderModifier"));
        } else if (type == "RequestRedirect" && !of_backend) {
            out.redirect = read_redirect(each.at("requestRedirect"));
        } else if (type == "URLRewrite" && !of_backend) {
            const Node rewrite = each.at("urlRewrite");
            if (!rewrite.present()) rewrite.report("is missing", "give it, or leave the filter out");
            out.rewrite.emplace();
            out.rewrite->host = read_host_edit(rewrite.at("hostname"));
            out.rewrite->path = read_path_edit(rewrite.at("path"));
        } else {
            each.at("type").report("is \"" + type + "\", which is not supported" +
                                       (of_backend ? std::string(" for a backend") : std::string()),
                                   "leave the filter out");
        }
    }
    if (out.redirect && out.rewrite) {
        out.incompatible = true;
        list.report("has RequestRedirect and URLRewrite", "keep one of them");
    }
    return out;
}

BackendRef read_backend(const Node& node) {
    BackendRef out;
    out.field = node.field();
    out.to = read_reference(node, "", "Service");
    if (const auto port = node.at("port").number(1, 65535)) out.port = static_cast<std::uint16_t>(*port);
    if (const auto weight = node.at("weight").number(0, max_weight))
        out.weight = static_cast<std::uint32_t>(*weight);
    Filters filters = read_filters(node.at("filters"), true);
    out.request = std::move(filters.request);
    out.response = std::move(filters.response);
    return out;
}

void read_timeouts(const Node& node, routes::Rule& rule) {
    const auto read = [&](const char* name) {
        const Node value = node.at(name);
        const auto span = value.present() ? read_duration(value.text()) : std::optional<Micros>(Micros{});
        if (!span) value.report("is no duration", "write it like 10s or 500ms");
        return span.value_or(Micros{});
    };
    rule.request_timeout = read("request");
    rule.backend_timeout = read("backendRequest");
    if (rule.request_timeout > Micros{0} && rule.backend_timeout > rule.request_timeout)
        node.at("backendRequest").report("exceeds timeouts.request", "lower the one or raise the other");
}

// A rule with any problem is dropped. Its valid matches are kept, so that matching requests get an error
// response instead of falling through to another rule.
RuleSpec read_rule(const Node& outer) {
    RuleSpec out;
    const Node node = outer.into(out.problems);
    if (!node.present() || !node.json().is_object()) {
        node.report("is no object", "write it as an object");
        return out;
    }
    const Node matches = node.at("matches");
    out.has_matches = matches.present() && !(matches.json().is_array() && matches.json().empty());
    for (const Node& each : matches.items(max_matches)) {
        const std::size_t before = out.problems.size();
        routes::Match match = read_match(each);
        if (out.problems.size() == before) out.readable.push_back(std::move(match));
    }
    out.rule.matches = out.readable;
    Filters filters = read_filters(node.at("filters"), false);
    out.rule.request = std::move(filters.request);
    out.rule.response = std::move(filters.response);
    out.rule.redirect = std::move(filters.redirect);
    out.rule.rewrite = std::move(filters.rewrite);
    out.incompatible = filters.incompatible;
    for (const Node& each : node.at("backendRefs").items(max_backends))
        out.backends.push_back(read_backend(each));
    read_timeouts(node.at("timeouts"), out.rule);
    if (const Node retry = node.at("retry"); retry.present()) {
        retry.reject_field("codes",
                           "leave it out: the decision module knows which answers are worth a repeat");
        retry.reject_field("backoff", "leave it out: the decision module chooses the time");
        if (const auto attempts = retry.at("attempts").number(0, 100))
            out.rule.retries.attempts = static_cast<int>(*attempts);
    }
    node.reject_field("sessionPersistence", "leave it out");
    if (out.rule.redirect && !out.backends.empty()) {
        out.incompatible = true;
        node.at("filters").report("has RequestRedirect beside backendRefs", "keep one of them");
    }
    const bool by_prefix = std::all_of(out.rule.matches.begin(), out.rule.matches.end(),
                                       [](const auto& m) { return m.path.kind == routes::PathKind::prefix; });
    const auto replaces = [](const std::optional<routes::PathEdit>& path) { return path && path->prefix; };
    const bool replaces_prefix = (out.rule.redirect && replaces(out.rule.redirect->path)) ||
                                 (out.rule.rewrite && replaces(out.rule.rewrite->path));
    if (replaces_prefix && !by_prefix) {
        node.at("filters").report("replaces a prefix where a match has none",
                                  "match by PathPrefix, or use ReplaceFullPath");
    }
    return out;
}

// -------------------------------------------------------------------------------------------- Annotations

class Annotations {
public:
    Annotations(const Meta& meta, HttpRoute& route) : meta_(meta), route_(route) {}

    void read() {
        if (const auto* effect = find("effect")) {
            using Kind = routes::CallClass::Kind;
            if (*effect == "safe") {
                route_.call.kind = Kind::safe;
            } else if (*effect == "keyed") {
                route_.call.kind = Kind::keyed;
            } else if (*effect == "by-method") {
                route_.call.kind = Kind::by_method;
            } else if (*effect != "unsafe") {
                report("effect", "is \"" + effect->substr(0, 100) + "\"",
                       "use unsafe, safe, keyed or by-method");
            }
        }
        span("aim", route_.call.aim);
        span("deadline", route_.call.deadline);
        span("key-window", route_.call.window);
        if (const auto worth = number("worth", 0.001, 1000)) route_.call.worth = *worth;
        if (const auto attempts = number("retries", 0, 100))
            route_.retries.attempts = static_cast<int>(*attempts);
        if (const auto* budget = find("retry-budget")) {
            const bool percent = !budget->empty() && budget->back() == '%';
            const auto share = parse(percent ? budget->substr(0, budget->size() - 1) : *budget);
            if (percent && share && *share >= 0 && *share <= 100) {
                route_.retries.share = *share / 100;
            } else {
                report("retry-budget", "is no share", "write it like 20%");
            }
        }
        if (const auto floor = number("retry-floor", 0, 1e6)) route_.retries.floor_per_s = *floor;
        for (const auto& [name, value] : meta_.annotations) {
            if (name.starts_with(annotation_prefix) && !known_.contains(name))
                problems().push_back({"metadata.annotations[" + name + "]", "is not known",
                                      "use effect, aim, deadline, key-window, worth, retries, retry-budget "
                                      "or retry-floor behind " +
                                          std::string(annotation_prefix)});
        }
    }

private:
    std::vector<Problem>& problems() { return route_.class_problems; }

    const std::string* find(const char* name) {
        const std::string full = std::string(annotation_prefix) + name;
        known_.insert(full);
        const auto found = meta_.annotations.find(full);
        if (found == meta_.annotations.end()) return nullptr;
        route_.has_class = true;
        return &found->second;
    }
    void report(const char* name, std::string message, std::string remedy) {
        problems().push_back({"metadata.annotations[" + std::string(annotation_prefix) + name + "]",
                              std::move(message), std::move(remedy)});
    }
    static std::optional<double> parse(const std::string& text) {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
        return value;
    }
    std::optional<double> number(const char* name, double min, double max) {
        const auto* text = find(name);
        if (!text) return std::nullopt;
        const auto value = parse(*text);
        if (value && *value >= min && *value <= max) return value;
        char range[64];
        std::snprintf(range, sizeof range, "a number from %g to %g", min, max);
        report(name, "is \"" + text->substr(0, 100) + "\"", range);
        return std::nullopt;
    }
    void span(const char* name, Micros& into) {
        const auto* text = find(name);
        if (!text) return;
        const auto value = read_duration(*text);
        if (value && *value > Micros{0} && *value <= std::chrono::hours(1)) {
            into = *value;
        } else {
            report(name, "is \"" + text->substr(0, 100) + "\"", "a duration up to 1h, like 500ms");
        }
    }

    const Meta& meta_;
    HttpRoute& route_;
    std::set<std::string> known_;
};

// ---------------------------------------------------------------------------------------------- Listeners

Selector read_selector(const Node& node) {
    Selector out;
    if (!node.present()) {
        node.report("is missing", "give it where from is Selector");
        return out;
    }
    if (const Node labels = node.at("matchLabels"); labels.present()) {
        if (!labels.json().is_object()) {
            labels.report("is no object", "write it as an object");
        } else {
            for (const auto& [key, value] : labels.json().items()) {
                if (value.is_string()) {
                    out.needs.push_back({key, Selector::Need::How::in, {value.get<std::string>()}});
                } else {
                    labels.report("holds what is no string at " + key, "write it as a string");
                }
            }
        }
    }
    for (const Node& each : node.at("matchExpressions").items(max_fields)) {
        static constexpr std::array<std::string_view, 4> known = {"In", "NotIn", "Exists", "DoesNotExist"};
        Selector::Need need;
        need.key = each.at("key").required();
        const std::string operator_name = each.at("operator").one_of(known);
        if (operator_name.empty() && !each.at("operator").present())
            each.at("operator").report("is missing", "give it");
        need.how = operator_name == "In"       ? Selector::Need::How::in
                   : operator_name == "NotIn"  ? Selector::Need::How::not_in
                   : operator_name == "Exists" ? Selector::Need::How::exists
                                               : Selector::Need::How::absent;
        for (const Node& value : each.at("values").items(max_fields * 4)) need.values.insert(value.text());
        out.needs.push_back(std::move(need));
    }
    return out;
}

ListenerSpec read_listener(const Node& outer) {
    ListenerSpec out;
    const Node node = outer.into(out.problems);
    out.name = node.at("name").required(max_name);
    out.host = node.at("hostname").text({}, max_name);
    if (!out.host.empty() && !is_host(out.host, true))
        node.at("hostname").report("is no host name", "use lower-case letters, digits, dashes and dots");
    if (const auto port = node.at("port").number(1, 65535)) out.port = static_cast<std::uint16_t>(*port);
    if (out.port == 0 && !node.at("port").present()) node.at("port").report("is missing", "give it");
    out.protocol = node.at("protocol").required(255);
    if (const Node tls = node.at("tls"); tls.present()) {
        out.has_tls = true;
        static constexpr std::array<std::string_view, 2> known = {"Terminate", "Passthrough"};
        out.terminates = tls.at("mode").one_of(known, "Terminate") != "Passthrough";
        for (const Node& each : tls.at("certificateRefs").items(64))
            out.certificates.push_back(read_reference(each, "", "Secret"));
        if (out.protocol == "HTTPS") tls.reject_field("frontendValidation", "leave it out");
    }
    const Node allowed = node.at("allowedRoutes");
    if (const Node namespaces = allowed.at("namespaces"); namespaces.present()) {
        static constexpr std::array<std::string_view, 4> known = {"Same", "All", "Selector", "None"};
        const std::string from = namespaces.at("from").one_of(known, "Same");
        out.from = from == "All"        ? ListenerSpec::From::all
                   : from == "Selector" ? ListenerSpec::From::selector
                   : from == "Same"     ? ListenerSpec::From::same
                                        : ListenerSpec::From::none;
        if (out.from == ListenerSpec::From::selector) out.selector = read_selector(namespaces.at("selector"));
    }
    for (const Node& each : allowed.at("kinds").items(8)) {
        Reference kind;
        kind.group = each.at("group").text(std::string(gateway_group));
        kind.kind = each.at("kind").required();
        out.kinds.push_back(std::move(kind));
    }
    return out;
}

// ------------------------------------------------------------------------------------------- Other kinds

ReferenceGrant read_grant(const Json& object) {
    ReferenceGrant out;
    out.meta = read_meta(object);
    std::vector<Problem> ignored;  // an invalid entry grants nothing
    const Node spec = Node(&object, "", ignored).at("spec");
    for (const Node& each : spec.at("from").items(16)) {
        const std::size_t before = ignored.size();
        Reference from{
            each.at("group").text(), each.at("kind").required(), each.at("namespace").required(), {}};
        if (ignored.size() == before) out.from.push_back(std::move(from));
    }
    for (const Node& each : spec.at("to").items(16)) {
        const std::size_t before = ignored.size();
        Reference to{each.at("group").text(), each.at("kind").required(), {}, each.at("name").text()};
        if (ignored.size() == before) out.to.push_back(std::move(to));
    }
    return out;
}

Service read_service(const Json& object) {
    Service out;
    out.meta = read_meta(object);
    std::vector<Problem> ignored;
    const Node spec = Node(&object, "", ignored).at("spec");
    out.type = spec.at("type").text("ClusterIP");
    for (const Node& each : spec.at("ports").items(1000)) {
        Service::Port port;
        port.name = each.at("name").text();
        port.protocol = each.at("protocol").text("TCP");
        port.app_protocol = each.at("appProtocol").text();
        if (const auto number = each.at("port").number(1, 65535)) {
            port.port = static_cast<std::uint16_t>(*number);
            out.ports.push_back(std::move(port));
        }
    }
    return out;
}

EndpointSlice read_slice(const Json& object) {
    EndpointSlice out;
    out.meta = read_meta(object);
    std::vector<Problem> ignored;
    const Node root(&object, "", ignored);
    if (const auto name = out.meta.labels.find("kubernetes.io/service-name"); name != out.meta.labels.end())
        out.service = out.meta.namespace_name + "/" + name->second;
    out.ipv4 = root.at("addressType").text("IPv4") == "IPv4";
    for (const Node& each : root.at("endpoints").items(max_endpoints)) {
        EndpointSlice::Endpoint endpoint;
        const Node conditions = each.at("conditions");
        endpoint.ready = conditions.at("ready").flag().value_or(true);
        endpoint.terminating = conditions.at("terminating").flag().value_or(false);
        endpoint.zone = each.at("zone").text();
        endpoint.pod = each.at("targetRef").at("name").text();
        endpoint.uid = each.at("targetRef").at("uid").text();
        const auto addresses = each.at("addresses").items(100);
        if (addresses.empty()) continue;
        endpoint.address = addresses.front().text();  // the API specifies that only the first address is used
        if (!endpoint.address.empty()) out.endpoints.push_back(std::move(endpoint));
    }
    for (const Node& each : root.at("ports").items(1000)) {
        if (each.at("protocol").text("TCP") != "TCP") continue;
        if (const auto number = each.at("port").number(1, 65535))
            out.ports.push_back({each.at("name").text(), static_cast<std::uint16_t>(*number)});
    }
    return out;
}

Secret read_secret(const Json& object) {
    Secret out;
    out.meta = read_meta(object);
    out.type = text_in(object, "type");
    if (const auto data = object.find("data"); data != object.end() && data->is_object()) {
        out.certificate = text::decode_base64(text_in(*data, "tls.crt"));
        out.key = text::decode_base64(text_in(*data, "tls.key"));
    }
    return out;
}

GatewayClass read_class(const Json& object) {
    GatewayClass out;
    out.meta = read_meta(object);
    std::vector<Problem> ignored;
    const Node spec = Node(&object, "", ignored).at("spec");
    out.controller = spec.at("controllerName").text();
    out.has_parameters = spec.at("parametersRef").present();
    out.status = status_of(object);
    return out;
}

template <typename T>
std::shared_ptr<const T> make_shared_const(T object) {
    return std::make_shared<const T>(std::move(object));
}

template <typename Map, typename T>
std::string put_into(Map& map, T object) {
    std::string key = object.meta.key();
    map[key] = make_shared_const(std::move(object));
    return key;
}

}  // namespace

// ---------------------------------------------------------------------------------------- Public functions

std::string_view name_of(KindOf kind) { return names[static_cast<std::size_t>(kind)]; }

std::optional<KindOf> kind_named(std::string_view name) {
    for (const KindOf kind : all_kinds) {
        if (name_of(kind) == name) return kind;
    }
    return std::nullopt;
}

std::string Problem::text() const { return field + " " + message + "; " + remedy; }

bool Selector::fits(const std::map<std::string, std::string>& labels) const {
    return std::all_of(needs.begin(), needs.end(), [&](const Need& need) {
        const auto found = labels.find(need.key);
        switch (need.how) {
            case Need::How::in: return found != labels.end() && need.values.contains(found->second);
            case Need::How::not_in: return found == labels.end() || !need.values.contains(found->second);
            case Need::How::exists: return found != labels.end();
            case Need::How::absent: return found == labels.end();
        }
        return false;
    });
}

HttpRoute read_http_route(const Json& object) {
    HttpRoute out;
    out.meta = read_meta(object);
    out.status = status_of(object);
    check_name(out.meta, out.problems);
    const Node spec = Node(&object, "", out.problems).at("spec");
    for (const Node& each : spec.at("parentRefs").items(max_parents)) {
        const std::size_t before = out.problems.size();
        ParentRef parent;
        parent.to = read_reference(each, std::string(gateway_group), "Gateway");
        if (each.at("sectionName").present()) parent.section = each.at("sectionName").required(max_name);
        if (const auto port = each.at("port").number(1, 65535))
            parent.port = static_cast<std::uint16_t>(*port);
        if (parent.to.name.empty()) continue;  // without a parent there is no status entry for the problem
        if (out.problems.size() > before && !each.json().is_object()) continue;
        parent.as_written = each.json();
        out.parents.push_back(std::move(parent));
    }
    for (const Node& each : spec.at("hostnames").items(max_hosts)) {
        const std::string host = each.required(max_name);
        if (!host.empty() && !is_host(host, true))
            each.report("is no host name", "use lower-case letters, digits, dashes and dots");
        out.hosts.push_back(host);
    }
    if (const Node rules = spec.at("rules"); rules.present()) {
        for (const Node& each : rules.items(max_rules)) out.rules.push_back(read_rule(each));
    } else {
        out.rules.emplace_back();  // default of the schema: one rule that matches every path
    }
    Annotations(out.meta, out).read();
    return out;
}

Gateway read_gateway(const Json& object) {
    Gateway out;
    out.meta = read_meta(object);
    out.status = status_of(object);
    check_name(out.meta, out.problems);
    const Node spec = Node(&object, "", out.problems).at("spec");
    out.class_name = spec.at("gatewayClassName").required(max_name);
    for (const Node& each : spec.at("listeners").items(max_listeners))
        out.listeners.push_back(read_listener(each));
    for (const Node& each : spec.at("addresses").items(16))
        out.addresses.emplace_back(each.at("type").text("IPAddress"), each.at("value").text());
    return out;
}

Touched Resources::put(KindOf kind, const Json& object) {
    Touched out;
    out.routes = true;
    std::optional<Meta> before;
    try {
        if (const Meta* const known = meta(kind, read_meta(object).key())) before = *known;
        switch (kind) {
            case KindOf::gateway_class: put_into(classes, read_class(object)); break;
            case KindOf::gateway: put_into(gateways, read_gateway(object)); break;
            case KindOf::http_route: put_into(http_routes, read_http_route(object)); break;
            case KindOf::reference_grant: put_into(grants, read_grant(object)); break;
            case KindOf::service: out.services.insert(put_into(services, read_service(object))); break;
            case KindOf::kube_namespace: put_into(namespaces, Namespace{read_meta(object)}); break;
            case KindOf::secret: put_into(secrets, read_secret(object)); break;
            case KindOf::custom_resource_definition:
                put_into(custom_resource_definitions, CustomResourceDefinition{read_meta(object)});
                break;
            case KindOf::endpoint_slice: {
                out.routes = false;
                EndpointSlice slice = read_slice(object);
                const std::string key = slice.meta.key();
                if (const auto before = slices.find(key); before != slices.end()) {
                    const std::string& service = before->second->service;
                    out.services.insert(service);
                    slices_of[service].erase(key);
                    if (slices_of[service].empty()) slices_of.erase(service);
                }
                const auto stored = make_shared_const(std::move(slice));
                slices[key] = stored;
                if (stored->service.empty()) break;
                slices_of[stored->service][key] = stored;
                out.services.insert(stored->service);
                break;
            }
        }
    } catch (const std::exception& error) {
        out = {};
        out.refused = std::string(name_of(kind)) + ": " + error.what();
        return out;
    }
    // The server increments `generation` only when the desired state changes. Statuses change often, also by
    // the writes of this process, and need no new plan.
    const bool has_status =
        kind == KindOf::gateway_class || kind == KindOf::gateway || kind == KindOf::http_route;
    if (!has_status || !before) return out;
    const Meta now = read_meta(object);
    if (now.generation == 0 || before->generation != now.generation || before->uid != now.uid ||
        before->created != now.created || before->labels != now.labels ||
        before->annotations != now.annotations)
        return out;
    out.routes = false;
    out.status = true;
    return out;
}

Touched Resources::erase(KindOf kind, const std::string& key) {
    Touched out;
    out.routes = true;
    switch (kind) {
        case KindOf::gateway_class: classes.erase(key); break;
        case KindOf::gateway: gateways.erase(key); break;
        case KindOf::http_route: http_routes.erase(key); break;
        case KindOf::reference_grant: grants.erase(key); break;
        case KindOf::service:
            services.erase(key);
            out.services.insert(key);
            break;
        case KindOf::kube_namespace: namespaces.erase(key); break;
        case KindOf::secret: secrets.erase(key); break;
        case KindOf::custom_resource_definition: custom_resource_definitions.erase(key); break;
        case KindOf::endpoint_slice: {
            out.routes = false;
            const auto found = slices.find(key);
            if (found == slices.end()) break;
            const std::string service = found->second->service;
            out.services.insert(service);
            if (const auto of = slices_of.find(service); of != slices_of.end()) {
                of->second.erase(key);
                if (of->second.empty()) slices_of.erase(of);
            }
            slices.erase(found);
            break;
        }
    }
    return out;
}

namespace {

template <typename Map>
const Meta* meta_in(const Map& map, const std::string& key) {
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second->meta;
}

template <typename Map>
std::vector<std::string> keys_in(const Map& map) {
    std::vector<std::string> out;
    out.reserve(map.size());
    for (const auto& [key, object] : map) out.push_back(key);
    return out;
}

// Calls `visit` with the map of a kind.
template <typename Visit>
auto visit_kind(const Resources& all, KindOf kind, Visit visit) {
    switch (kind) {
        case KindOf::gateway_class: return visit(all.classes);
        case KindOf::gateway: return visit(all.gateways);
        case KindOf::http_route: return visit(all.http_routes);
        case KindOf::reference_grant: return visit(all.grants);
        case KindOf::service: return visit(all.services);
        case KindOf::endpoint_slice: return visit(all.slices);
        case KindOf::kube_namespace: return visit(all.namespaces);
        case KindOf::secret: return visit(all.secrets);
        case KindOf::custom_resource_definition: break;
    }
    return visit(all.custom_resource_definitions);
}

}  // namespace

const Meta* Resources::meta(KindOf kind, const std::string& key) const {
    return visit_kind(*this, kind, [&](const auto& map) { return meta_in(map, key); });
}
std::vector<std::string> Resources::keys(KindOf kind) const {
    return visit_kind(*this, kind, [](const auto& map) { return keys_in(map); });
}
std::size_t Resources::count(KindOf kind) const {
    return visit_kind(*this, kind, [](const auto& map) { return map.size(); });
}

std::optional<Micros> read_duration(std::string_view text) {
    if (text.empty()) return std::nullopt;
    std::int64_t total = 0;
    for (int parts = 0; !text.empty(); ++parts) {
        if (parts == 4) return std::nullopt;
        std::size_t digits = 0;
        while (digits < text.size() && text[digits] >= '0' && text[digits] <= '9') ++digits;
        if (digits == 0 || digits > 5) return std::nullopt;
        std::int64_t number = 0;
        std::from_chars(text.data(), text.data() + digits, number);
        text.remove_prefix(digits);
        const std::pair<std::string_view, std::int64_t> units[] = {
            {"ms", 1000}, {"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}};
        bool found = false;
        for (const auto& [unit, micros] : units) {
            if (!text.starts_with(unit)) continue;
            total += number * micros;
            text.remove_prefix(unit.size());
            found = true;
            break;
        }
        if (!found) return std::nullopt;
    }
    return Micros(total);
}

std::int64_t read_time(std::string_view text) {
    std::tm t{};
    const std::string time_text(text.substr(0, 64));
    if (std::sscanf(time_text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d", &t.tm_year, &t.tm_mon, &t.tm_mday,
                    &t.tm_hour, &t.tm_min, &t.tm_sec) != 6)
        return 0;
    t.tm_year -= 1900;
    t.tm_mon -= 1;
    return std::max<std::int64_t>(timegm(&t), 0);
}

std::string write_time(std::int64_t unix_seconds) {
    const auto at = static_cast<std::time_t>(unix_seconds);
    std::tm t{};
    gmtime_r(&at, &t);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &t);
    return text;
}

}  // namespace flaxdoor::gateway
