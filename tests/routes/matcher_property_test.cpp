// The table against a slow, plain reading of the specification: every rule of every route is looked at, those
// that fit are sorted by the precedence as it is written there, and the first one is taken. It shares no code
// with the table; its expressions are std::regex's.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <regex>
#include <tuple>

#include "drawn.h"
#include "make.h"

namespace flaxdoor::routes {
namespace {

using namespace test;

struct Asked {
    std::string host, path, method;
    std::vector<std::pair<std::string, std::string>> headers, queries;
};

bool star_fits(const std::string& pattern, const std::string& host) {
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

bool prefix_fits(std::string value, const std::string& path) {
    while (!value.empty() && value.back() == '/') value.pop_back();
    const auto want = segments(value), have = segments(path);
    return want.size() <= have.size() && std::equal(want.begin(), want.end(), have.begin());
}

std::string without_slash(std::string value) {
    while (!value.empty() && value.back() == '/') value.pop_back();
    return value;
}

bool value_fits(const FieldMatch& match, const std::string& value) {
    return match.regex ? std::regex_match(value, std::regex(match.value)) : match.value == value;
}

bool fits(const Match& match, const Asked& asked) {
    const std::string& value = match.path.value;
    if (match.path.kind == PathKind::exact && asked.path != value) return false;
    if (match.path.kind == PathKind::prefix && !prefix_fits(value, asked.path)) return false;
    if (match.path.kind == PathKind::regex && !std::regex_match(asked.path, std::regex(value))) return false;
    if (!match.method.empty() && match.method != asked.method) return false;
    for (const auto& each : match.headers) {
        const auto found = std::find_if(asked.headers.begin(), asked.headers.end(),
                                        [&](const auto& h) { return h.first == each.name; });
        if (found == asked.headers.end() || !value_fits(each, found->second)) return false;
    }
    for (const auto& each : match.queries) {
        const auto found = std::find_if(asked.queries.begin(), asked.queries.end(),
                                        [&](const auto& q) { return q.first == each.name; });
        if (found == asked.queries.end() || !value_fits(each, found->second)) return false;
    }
    return true;
}

// "Characters in a matching non-wildcard hostname", then "characters in a matching hostname"; then the path,
// the method, the number of headers and of query parameters; then age, name and order.
std::string plainly(const Listener& listener, const Asked& asked) {
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
            if (!star_fits(host, asked.host)) continue;
            const bool wild = !host.empty() && host[0] == '*';
            for (std::size_t r = 0; r < route.rules.size(); ++r) {
                const Rule& rule = *route.rules[r];
                for (std::size_t m = 0; m < rule.matches.size(); ++m) {
                    const Match& match = rule.matches[m];
                    if (!fits(match, asked)) continue;
                    const bool is_prefix = match.path.kind == PathKind::prefix;
                    const long length = is_prefix ? static_cast<long>(without_slash(match.path.value).size())
                                                  : static_cast<long>(match.path.value.size());
                    all.push_back(
                        {{wild ? 0 : -static_cast<long>(host.size()), -static_cast<long>(host.size()),
                          static_cast<int>(match.path.kind), -length, match.method.empty() ? 1 : 0,
                          -static_cast<long>(match.headers.size()), -static_cast<long>(match.queries.size()),
                          route.created, route.name, r, m},
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

class Drawn : public flaxdoor::test::Drawn {
public:
    using flaxdoor::test::Drawn::Drawn;

    std::string path() {
        std::string out;
        for (std::size_t n = below(4); n > 0; --n) out += "/" + of({"a", "A", "b", "ab", "1"});
        if (out.empty() || once_in(4)) out += "/";
        return out;
    }
    std::string host() {
        return of({"x.example.com", "y.example.com", "x.a.example.com", "a.example.com", "example.com"});
    }

    Match match() {
        Match out;
        switch (below(4)) {
            case 0: out.path = {PathKind::exact, path()}; break;
            case 1:
                out.path = {PathKind::regex, of({"/a.*", "/[ab]/1", "/(a|ab)/?", ".*", "/a/b/[0-9]+"})};
                break;
            default: out.path = {PathKind::prefix, path()}; break;
        }
        if (once_in(3)) out.method = of({"GET", "POST"});
        for (const char* name : {"h1", "h2"}) {
            if (once_in(4)) out.headers.push_back({once_in(3), name, of({"u", "v"})});
        }
        for (const char* name : {"q1", "q2"}) {
            if (once_in(4)) out.queries.push_back({once_in(3), name, of({"u", "v"})});
        }
        return out;
    }
};

TEST(RoutesProperty, TheTableTakesWhatThePlainReadingTakes) {
    const std::uint64_t seed = std::random_device{}();
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    Drawn drawn(seed);
    std::size_t asked_of = 0, found = 0;
    for (int world = 0; world < 150; ++world) {
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
                const std::string host =
                    drawn.once_in(2) ? drawn.host() : drawn.of({"*.example.com", "*.a.example.com", "*.com"});
                if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) hosts.push_back(host);
            }
            listener.routes.push_back(route("r" + std::to_string(n), hosts, std::move(rules),
                                            static_cast<std::int64_t>(drawn.below(3))));
        }
        const Listener plain = listener;
        const auto built = Table::build(std::move(spec));
        const auto& t = *std::get<std::shared_ptr<const Table>>(built);
        for (int i = 0; i < 150; ++i) {
            Asked asked{drawn.host(), drawn.path(), drawn.of({"GET", "POST", "PUT"}), {}, {}};
            std::string target = asked.path;
            for (const char* name : {"h1", "h2"}) {
                if (drawn.once_in(2)) asked.headers.emplace_back(name, drawn.of({"u", "v", "w"}));
            }
            for (const char* name : {"q1", "q2"}) {
                if (!drawn.once_in(2)) continue;
                asked.queries.emplace_back(name, drawn.of({"u", "v", "w"}));
                target += (target.find('?') == std::string::npos ? "?" : "&") + std::string(name) + "=" +
                          asked.queries.back().second;
            }
            const std::string wanted = plainly(plain, asked);
            ASSERT_EQ(to(t, asked.host, target, asked.method, asked.headers), wanted)
                << asked.method << " " << asked.host << " " << target << ", seed " << seed;
            ++asked_of;
            found += wanted == "404" ? 0 : 1;
        }
    }
    std::printf("%zu requests, %zu of them with a route\n", asked_of, found);
    EXPECT_GT(found, asked_of / 4);
}

}  // namespace
}  // namespace flaxdoor::routes
