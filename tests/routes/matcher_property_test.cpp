// Compares the table with a slow reference implementation of the specification. The reference checks every
// rule of every route, sorts the matching ones by the specified precedence and returns the first one. It
// shares no code with the table and uses std::regex.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <regex>
#include <tuple>

#include "make.h"
#include "random_source.h"

namespace flaxdoor::routes {
namespace {

using namespace test;

struct TestRequest {
    std::string host, path, method;
    std::vector<std::pair<std::string, std::string>> headers, queries;
};

bool host_pattern_matches(const std::string& pattern, const std::string& host) {
    if (pattern.empty()) return true;
    if (pattern[0] != '*') return pattern == host;
    const std::string rest = pattern.substr(1);  // ".example.com"
    if (host.size() <= rest.size()) return false;
    return host.compare(host.size() - rest.size(), rest.size(), rest) == 0;
}

std::vector<std::string> segments(const std::string& path) {
    std::vector<std::string> out(1);
    for (const char c : path) {
        if (c == '/') {
            out.emplace_back();
        } else {
            out.back() += c;
        }
    }
    return out;
}

bool prefix_matches(std::string value, const std::string& path) {
    while (!value.empty() && value.back() == '/') value.pop_back();
    const auto want = segments(value), have = segments(path);
    return want.size() <= have.size() && std::equal(want.begin(), want.end(), have.begin());
}

std::string without_slash(std::string value) {
    while (!value.empty() && value.back() == '/') value.pop_back();
    return value;
}

bool value_matches(const FieldMatch& match, const std::string& value) {
    return match.regex ? std::regex_match(value, std::regex(match.value)) : match.value == value;
}

bool matches_request(const Match& match, const TestRequest& request) {
    const std::string& value = match.path.value;
    if (match.path.kind == PathKind::exact && request.path != value) return false;
    if (match.path.kind == PathKind::prefix && !prefix_matches(value, request.path)) return false;
    if (match.path.kind == PathKind::regex && !std::regex_match(request.path, std::regex(value)))
        return false;
    if (!match.method.empty() && match.method != request.method) return false;
    for (const auto& each : match.headers) {
        const auto found = std::find_if(request.headers.begin(), request.headers.end(),
                                        [&](const auto& h) { return h.first == each.name; });
        if (found == request.headers.end() || !value_matches(each, found->second)) return false;
    }
    for (const auto& each : match.queries) {
        const auto found = std::find_if(request.queries.begin(), request.queries.end(),
                                        [&](const auto& q) { return q.first == each.name; });
        if (found == request.queries.end() || !value_matches(each, found->second)) return false;
    }
    return true;
}

// Precedence, in the words of the specification: "Characters in a matching non-wildcard hostname", then
// "characters in a matching hostname"; then the path, the method, the number of headers and of query
// parameters; then age, name and order.
std::string reference_match(const Listener& listener, const TestRequest& request) {
    struct Candidate {
        std::tuple<long, long, int, long, int, long, long, std::int64_t, std::string, std::size_t,
                   std::size_t>
            rank;
        std::string pool;
    };
    std::vector<Candidate> all;
    for (const Route& route : listener.routes) {
        std::vector<std::string> hosts = route.hosts;
        if (hosts.empty()) hosts.push_back(listener.host);
        for (const std::string& host : hosts) {
            if (!host_pattern_matches(host, request.host)) continue;
            const bool wild = !host.empty() && host[0] == '*';
            for (std::size_t rule_number = 0; rule_number < route.rules.size(); ++rule_number) {
                const Rule& rule = *route.rules[rule_number];
                for (std::size_t match_number = 0; match_number < rule.matches.size(); ++match_number) {
                    const Match& match = rule.matches[match_number];
                    if (!matches_request(match, request)) continue;
                    const bool is_prefix = match.path.kind == PathKind::prefix;
                    const long length = is_prefix ? static_cast<long>(without_slash(match.path.value).size())
                                                  : static_cast<long>(match.path.value.size());
                    all.push_back(
                        {{wild ? 0 : -static_cast<long>(host.size()), -static_cast<long>(host.size()),
                          static_cast<int>(match.path.kind), -length, match.method.empty() ? 1 : 0,
                          -static_cast<long>(match.headers.size()), -static_cast<long>(match.queries.size()),
                          route.created, route.name, rule_number, match_number},
                         rule.backends.front().pool});
                }
            }
        }
    }
    if (all.empty()) return "404";
    return std::min_element(all.begin(), all.end(),
                            [](const auto& a, const auto& b) { return a.rank < b.rank; })
        ->pool;
}

class RandomRoutes : public flaxdoor::test::RandomSource {
public:
    using flaxdoor::test::RandomSource::RandomSource;

    std::string path() {
        std::string out;
        for (std::size_t n = below(4); n > 0; --n) out += "/" + pick({"a", "A", "b", "ab", "1"});
        if (out.empty() || one_in(4)) out += "/";
        return out;
    }
    std::string host() {
        return pick({"x.example.com", "y.example.com", "x.a.example.com", "a.example.com", "example.com"});
    }

    Match match() {
        Match out;
        switch (below(4)) {
            case 0: out.path = {PathKind::exact, path()}; break;
            case 1:
                out.path = {PathKind::regex, pick({"/a.*", "/[ab]/1", "/(a|ab)/?", ".*", "/a/b/[0-9]+"})};
                break;
            default: out.path = {PathKind::prefix, path()}; break;
        }
        if (one_in(3)) out.method = pick({"GET", "POST"});
        for (const char* name : {"h1", "h2"}) {
            if (one_in(4)) out.headers.push_back({one_in(3), name, pick({"u", "v"})});
        }
        for (const char* name : {"q1", "q2"}) {
            if (one_in(4)) out.queries.push_back({one_in(3), name, pick({"u", "v"})});
        }
        return out;
    }
};

TEST(RoutesProperty, TheTableAgreesWithTheReferenceImplementation) {
    const std::uint64_t seed = std::random_device{}();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    RandomRoutes drawn(seed);
    std::size_t request_count = 0, found = 0;
    for (int round = 0; round < 150; ++round) {
        TableSpec spec;
        Listener& listener = spec.listeners.emplace_back();
        listener.name = "l";
        int number = 0;
        for (std::size_t n = 1 + drawn.below(12); n > 0; --n) {
            std::vector<std::shared_ptr<const Rule>> rules;
            for (std::size_t r = 1 + drawn.below(3); r > 0; --r) {
                std::vector<Match> matches;
                for (std::size_t m = 1 + drawn.below(3); m > 0; --m) matches.push_back(drawn.match());
                rules.push_back(rule(std::move(matches), std::to_string(++number)));
            }
            std::vector<std::string> hosts;
            for (std::size_t h = drawn.below(3); h > 0; --h) {
                const std::string host = drawn.one_in(2)
                                             ? drawn.host()
                                             : drawn.pick({"*.example.com", "*.a.example.com", "*.com"});
                if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) hosts.push_back(host);
            }
            listener.routes.push_back(route("r" + std::to_string(n), hosts, std::move(rules),
                                            static_cast<std::int64_t>(drawn.below(3))));
        }
        const Listener reference = listener;
        const auto built = Table::build(std::move(spec));
        const auto& table = *std::get<std::shared_ptr<const Table>>(built);
        for (int i = 0; i < 150; ++i) {
            TestRequest request{drawn.host(), drawn.path(), drawn.pick({"GET", "POST", "PUT"}), {}, {}};
            std::string target = request.path;
            for (const char* name : {"h1", "h2"}) {
                if (drawn.one_in(2)) request.headers.emplace_back(name, drawn.pick({"u", "v", "w"}));
            }
            for (const char* name : {"q1", "q2"}) {
                if (!drawn.one_in(2)) continue;
                request.queries.emplace_back(name, drawn.pick({"u", "v", "w"}));
                target += (target.find('?') == std::string::npos ? "?" : "&") + std::string(name) + "=" +
                          request.queries.back().second;
            }
            const std::string expected = reference_match(reference, request);
            ASSERT_EQ(to(table, request.host, target, request.method, request.headers), expected)
                << request.method << " " << request.host << " " << target << ", seed " << seed;
            ++request_count;
            found += expected == "404" ? 0 : 1;
        }
    }
    std::printf("%zu requests, %zu of them with a route\n", request_count, found);
    EXPECT_GT(found, request_count / 4);
}

}  // namespace
}  // namespace flaxdoor::routes
