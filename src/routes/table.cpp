#include "routes/table.h"

#include <re2/re2.h>
#include <re2/set.h>

#include <algorithm>
#include <numeric>
#include <tuple>
#include <unordered_map>

namespace flaxdoor::routes {

namespace {

constexpr std::int64_t regex_memory_bytes = 1 << 20;  // bytes for one expression
constexpr std::int64_t set_memory_bytes = 64 << 20;   // bytes for the combined set of a host's expressions
// Up to this many expressions of a host are tried one after the other.
constexpr std::size_t max_sequential_regexes = 16;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string to_lower(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), lower);
    return out;
}

RE2::Options regex_options(std::int64_t memory) {
    RE2::Options options(RE2::Quiet);
    options.set_max_mem(memory);
    options.set_log_errors(false);
    return options;
}

int hex_value(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    const char lower_case = lower(c);
    return lower_case >= 'a' && lower_case <= 'f' ? lower_case - 'a' + 10 : -1;
}

// Decodes a part of a query (application/x-www-form-urlencoded). Invalid escapes stay unchanged.
std::string url_decoded(std::string_view text) {
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+') {
            out += ' ';
        } else if (text[i] == '%' && i + 2 < text.size() && hex_value(text[i + 1]) >= 0 &&
                   hex_value(text[i + 2]) >= 0) {
            out += static_cast<char>(hex_value(text[i + 1]) * 16 + hex_value(text[i + 2]));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

// Returns the value of the first parameter with that name.
std::optional<std::string> query_parameter(std::string_view query, const std::string& name) {
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = std::min(pair.find('='), pair.size());
        if (url_decoded(pair.substr(0, equals)) != name) continue;
        return url_decoded(pair.substr(std::min(equals + 1, pair.size())));
    }
    return std::nullopt;
}

// Returns all values of a field name, joined to one list as in RFC 9110, 5.3.
std::optional<std::string> joined_field_values(const http::Fields& fields, std::string_view name) {
    std::optional<std::string> all;
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const auto field = fields.at(i);
        if (!http::equals_ignoring_case(field.name, name)) continue;
        if (all) {
            all->append(", ").append(field.value);
        } else {
            all.emplace(field.value);
        }
    }
    return all;
}

// Returns whether a path segment is "." or "..", also with percent-encoded dots.
bool is_dot_segment(std::string_view segment) {
    std::size_t dots = 0;
    while (!segment.empty()) {
        if (segment.front() == '.') {
            segment.remove_prefix(1);
        } else if (segment.size() >= 3 && segment[0] == '%' && segment[1] == '2' &&
                   lower(segment[2]) == 'e') {
            segment.remove_prefix(3);
        } else {
            return false;
        }
        ++dots;
    }
    return dots == 1 || dots == 2;
}

// Removes trailing slashes, which have no meaning in a prefix.
std::string_view without_trailing_slashes(std::string_view value) {
    while (!value.empty() && value.back() == '/') value.remove_suffix(1);
    return value;
}

using Regex = std::shared_ptr<const RE2>;

struct FieldTest {
    const FieldMatch* match = nullptr;
    Regex regex;

    bool holds(const std::optional<std::string>& value) const {
        if (!value) return false;
        return regex ? RE2::FullMatch(*value, *regex) : *value == match->value;
    }
};

// One match of one rule, with the values that determine its precedence.
struct Row {
    const Route* route = nullptr;
    const Rule* rule = nullptr;
    const Match* match = nullptr;
    std::uint32_t route_rank = 0;  // by age, then by name
    std::uint32_t rule_number = 0, match_number = 0;
    std::vector<FieldTest> headers, queries;
    Regex path;

    auto rank() const {
        return std::tuple(match->method.empty() ? 1 : 0, -static_cast<long>(match->headers.size()),
                          -static_cast<long>(match->queries.size()), route_rank, rule_number, match_number);
    }
    bool fits(const RequestView& request) const {
        if (!match->method.empty() && match->method != request.method) return false;
        for (const FieldTest& test : headers) {
            if (!test.holds(joined_field_values(*request.fields, test.match->name))) return false;
        }
        for (const FieldTest& test : queries) {
            if (!test.holds(query_parameter(request.query, test.match->name))) return false;
        }
        return true;
    }
};

using RowNumber = std::uint32_t;
using Bucket = std::vector<RowNumber>;

struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};
template <typename Value>
using ByText = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

struct HostRows {
    ByText<Bucket> exact, prefixes;
    Bucket regexes;
    std::unique_ptr<RE2::Set> set;  // all of `regexes`, in the same order; null: tried one by one
};

struct ListenerRows {
    const Listener* listener = nullptr;
    ByText<HostRows> exact, wildcards;  // keys of wildcards: the part after the star, with its leading dot
    HostRows any;
};

// Calls `look` with each suffix of a host that a wildcard may match, the longest first, until it finds
// something.
template <typename Look>
auto find_by_suffix(std::string_view host, Look look) -> decltype(look(host)) {
    for (auto dot = host.find('.', 1); dot != std::string_view::npos; dot = host.find('.', dot + 1)) {
        if (auto found = look(host.substr(dot))) return found;
    }
    return {};
}

}  // namespace

Target split_target(std::string_view target) {
    Target out;
    if (target.empty() || target.front() != '/') {
        // Absolute form (RFC 9112, 3.2.2). The caller evaluates the authority.
        const auto scheme = target.find("://");
        const auto path = scheme == std::string_view::npos ? scheme : target.find('/', scheme + 3);
        if (scheme == std::string_view::npos) {
            out.why = "the target is no path";
            return out;
        }
        target = path == std::string_view::npos ? "/" : target.substr(path);
    }
    const auto mark = std::min(target.find('?'), target.size());
    out.path = target.substr(0, mark);
    out.query = target.substr(std::min(mark + 1, target.size()));
    for (auto at = std::size_t{0}; at != std::string_view::npos;) {
        const auto next = out.path.find('/', at + 1);
        if (is_dot_segment(out.path.substr(at + 1, next == std::string_view::npos ? next : next - at - 1))) {
            out.why = "the path has a segment of dots";
            return out;
        }
        at = next;
    }
    return out;
}

std::string host_of(std::string_view field) {
    if (!field.empty() && field.front() == '[') {  // an IPv6 address
        const auto end = field.find(']');
        return end == std::string_view::npos ? std::string() : to_lower(field.substr(0, end + 1));
    }
    field = field.substr(0, field.find(':'));
    if (!field.empty() && field.back() == '.') field.remove_suffix(1);
    return to_lower(field);
}

bool host_matches(std::string_view pattern, std::string_view host) {
    if (pattern.empty()) return true;
    if (pattern.substr(0, 2) != "*.") return pattern == host;
    const auto suffix = pattern.substr(1);
    return host.size() > suffix.size() && host.substr(host.size() - suffix.size()) == suffix;
}

std::string regex_fault(const std::string& pattern) {
    const RE2 regex(pattern, regex_options(regex_memory_bytes));
    return regex.ok() ? std::string() : regex.error();
}

// ----------------------------------------------------------------------------------- Building a table

struct Table::Impl {
    explicit Impl(TableSpec table_spec) : spec(std::move(table_spec)) {}

    TableSpec spec;
    std::vector<Row> rows;
    std::vector<ListenerRows> listeners;
    ByText<std::size_t> exact, wildcards;  // indices of listeners, by host
    std::optional<std::size_t> any;
    ByText<Regex> regexes;
    std::string fault;

    Regex regex(const std::string& pattern) {
        if (const auto found = regexes.find(pattern); found != regexes.end()) return found->second;
        auto compiled = std::make_shared<const RE2>(pattern, regex_options(regex_memory_bytes));
        if (!compiled->ok()) fault = "regular expression " + pattern + ": " + compiled->error();
        regexes.emplace(pattern, compiled);
        return compiled;
    }

    std::vector<FieldTest> tests(const std::vector<FieldMatch>& matches, bool headers) {
        std::vector<FieldTest> out;
        for (const FieldMatch& each : matches) {
            // Of several conditions on the same name only the first one applies.
            const bool duplicate = std::any_of(out.begin(), out.end(), [&](const FieldTest& t) {
                return headers ? http::equals_ignoring_case(t.match->name, each.name)
                               : t.match->name == each.name;
            });
            if (!duplicate) out.push_back({&each, each.regex ? regex(each.value) : nullptr});
        }
        return out;
    }

    void build() {
        listeners.resize(spec.listeners.size());
        for (std::size_t i = 0; i < spec.listeners.size(); ++i) {
            const Listener& listener = spec.listeners[i];
            listeners[i].listener = &listener;
            if (listener.host.empty()) {
                any.emplace(any.value_or(i));
            } else if (listener.host.starts_with("*.")) {
                wildcards.emplace(listener.host.substr(1), i);
            } else {
                exact.emplace(listener.host, i);
            }
            add_routes(listeners[i]);
            finish(listeners[i]);
        }
    }

    void add_routes(ListenerRows& listener_rows) {
        const auto& routes = listener_rows.listener->routes;
        std::vector<const Route*> order;
        for (const Route& route : routes) order.push_back(&route);
        std::sort(order.begin(), order.end(), [](const Route* a, const Route* b) {
            return std::tie(a->created, a->name) < std::tie(b->created, b->name);
        });
        std::uint32_t rank = 0;
        for (const Route* const route : order) {
            ++rank;
            for (std::size_t rule_number = 0; rule_number < route->rules.size(); ++rule_number)
                add_rule(listener_rows, *route, rank, rule_number);
        }
    }

    void add_rule(ListenerRows& listener_rows, const Route& route, std::uint32_t rank, std::size_t number) {
        static const Match everything;
        const Rule& rule = *route.rules[number];
        const std::size_t matches = std::max<std::size_t>(rule.matches.size(), 1);
        for (std::size_t match_number = 0; match_number < matches; ++match_number) {
            Row row;
            row.route = &route;
            row.rule = &rule;
            row.match = rule.matches.empty() ? &everything : &rule.matches[match_number];
            row.route_rank = rank;
            row.rule_number = static_cast<std::uint32_t>(number);
            row.match_number = static_cast<std::uint32_t>(match_number);
            row.headers = tests(row.match->headers, true);
            row.queries = tests(row.match->queries, false);
            if (row.match->path.kind == PathKind::regex) row.path = regex(row.match->path.value);
            const auto at = static_cast<RowNumber>(rows.size());
            const PathMatch& path = row.match->path;
            rows.push_back(std::move(row));
            std::vector<std::string> hosts = route.hosts;
            if (hosts.empty()) hosts.push_back(listener_rows.listener->host);
            std::sort(hosts.begin(), hosts.end());
            hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
            for (const std::string& host : hosts) {
                HostRows& host_rows = host.empty()             ? listener_rows.any
                                      : host.starts_with("*.") ? listener_rows.wildcards[host.substr(1)]
                                                               : listener_rows.exact[host];
                switch (path.kind) {
                    case PathKind::exact: host_rows.exact[path.value].push_back(at); break;
                    case PathKind::prefix:
                        host_rows.prefixes[std::string(without_trailing_slashes(path.value))].push_back(at);
                        break;
                    case PathKind::regex: host_rows.regexes.push_back(at); break;
                }
            }
        }
    }

    void sort(Bucket& bucket) {
        std::sort(bucket.begin(), bucket.end(),
                  [&](RowNumber a, RowNumber b) { return rows[a].rank() < rows[b].rank(); });
    }

    void finish(HostRows& host) {
        for (auto* const buckets : {&host.exact, &host.prefixes}) {
            for (auto& [path, bucket] : *buckets) sort(bucket);
        }
        std::sort(host.regexes.begin(), host.regexes.end(), [&](RowNumber a, RowNumber b) {
            const auto size = [&](RowNumber row_number) {
                return -static_cast<long>(rows[row_number].match->path.value.size());
            };
            return std::pair(size(a), rows[a].rank()) < std::pair(size(b), rows[b].rank());
        });
        if (host.regexes.size() <= max_sequential_regexes || !fault.empty()) return;
        host.set = std::make_unique<RE2::Set>(regex_options(set_memory_bytes), RE2::ANCHOR_BOTH);
        for (const RowNumber row_number : host.regexes) {
            if (host.set->Add(rows[row_number].match->path.value, nullptr) < 0) host.set.reset();
            if (!host.set) return;
        }
        // If the set exceeds set_memory_bytes, the expressions are tried one by one.
        if (!host.set->Compile()) host.set.reset();
    }

    void finish(ListenerRows& listener_rows) {
        for (auto& [host, host_rows] : listener_rows.exact) finish(host_rows);
        for (auto& [host, host_rows] : listener_rows.wildcards) finish(host_rows);
        finish(listener_rows.any);
    }

    // ------------------------------------------------------------------------------------- Matching

    const ListenerRows* listener_of(std::string_view host) const {
        if (const auto found = exact.find(host); found != exact.end()) return &listeners[found->second];
        const auto wild = find_by_suffix(host, [&](std::string_view suffix) -> const ListenerRows* {
            const auto found = wildcards.find(suffix);
            return found == wildcards.end() ? nullptr : &listeners[found->second];
        });
        if (wild) return wild;
        return any ? &listeners[*any] : nullptr;
    }

    const Row* first_match(const Bucket& bucket, const RequestView& request) const {
        for (const RowNumber row_number : bucket) {
            if (rows[row_number].fits(request)) return &rows[row_number];
        }
        return nullptr;
    }

    const Row* by_regex(const HostRows& host, const RequestView& request) const {
        const re2::StringPiece path(request.path.data(), request.path.size());
        if (host.set) {
            std::vector<int> fitting;
            RE2::Set::ErrorInfo error{};
            const bool any_fits = host.set->Match(path, &fitting, &error);
            if (any_fits || error.kind == RE2::Set::kNoError) {
                std::sort(fitting.begin(), fitting.end());
                for (const int i : fitting) {
                    const Row& row = rows[host.regexes[static_cast<std::size_t>(i)]];
                    if (row.fits(request)) return &row;
                }
                return nullptr;
            }
        }
        for (const RowNumber row_number : host.regexes) {
            if (RE2::FullMatch(path, *rows[row_number].path) && rows[row_number].fits(request))
                return &rows[row_number];
        }
        return nullptr;
    }

    const Row* match_host(const HostRows& host, const RequestView& request) const {
        if (const auto found = host.exact.find(request.path); found != host.exact.end()) {
            if (const Row* const row = first_match(found->second, request)) return row;
        }
        if (!host.regexes.empty()) {
            if (const Row* const row = by_regex(host, request)) return row;
        }
        if (host.prefixes.empty()) return nullptr;
        std::string_view path = request.path;
        for (;;) {
            if (const auto found = host.prefixes.find(path); found != host.prefixes.end()) {
                if (const Row* const row = first_match(found->second, request)) return row;
            }
            const auto slash = path.rfind('/');
            if (slash == std::string_view::npos) return nullptr;
            path = path.substr(0, slash);
        }
    }

    const Row* match(const ListenerRows& listener_rows, const RequestView& request) const {
        if (const auto found = listener_rows.exact.find(request.host); found != listener_rows.exact.end()) {
            if (const Row* const row = match_host(found->second, request)) return row;
        }
        const Row* const wild = find_by_suffix(request.host, [&](std::string_view suffix) -> const Row* {
            const auto found = listener_rows.wildcards.find(suffix);
            return found == listener_rows.wildcards.end() ? nullptr : match_host(found->second, request);
        });
        return wild ? wild : match_host(listener_rows.any, request);
    }
};

Table::Table(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Table::~Table() = default;

std::variant<std::shared_ptr<const Table>, std::string> Table::build(TableSpec spec) {
    auto impl = std::make_unique<Impl>(std::move(spec));
    impl->build();
    if (!impl->fault.empty()) return impl->fault;
    return std::shared_ptr<const Table>(new Table(std::move(impl)));
}

const Listener* Table::listener_of(std::string_view host) const {
    const auto* const found = impl_->listener_of(host);
    return found ? found->listener : nullptr;
}

Hit Table::match(const RequestView& request) const {
    Hit hit;
    const auto* const listener = impl_->listener_of(request.host);
    if (!listener) return hit;
    hit.listener = listener->listener;
    if (const Row* const row = impl_->match(*listener, request)) {
        hit.route = row->route;
        hit.rule = row->rule;
        hit.match = row->match;
        hit.rule_number = row->rule_number;
        hit.match_number = row->match_number;
    }
    return hit;
}

const TableSpec& Table::spec() const { return impl_->spec; }
std::size_t Table::size() const { return impl_->rows.size(); }

const Backend* choose(const Rule& rule, double chance) {
    const std::uint64_t all =
        std::accumulate(rule.backends.begin(), rule.backends.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const Backend& b) { return sum + b.weight; });
    if (all == 0) return nullptr;
    auto left = std::min(static_cast<std::uint64_t>(chance * static_cast<double>(all)), all - 1);
    for (const Backend& backend : rule.backends) {
        if (left < backend.weight) return &backend;
        left -= backend.weight;
    }
    return nullptr;
}

}  // namespace flaxdoor::routes
