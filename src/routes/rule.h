// Routes as plain values. A configuration source (the operator's file or a cluster) provides them and a Table
// is built from them.
//
// Threading: values.   Units: Micros; times in Unix seconds where stated.
// Terms:     HTTPRoute of the Gateway API v1 (gateway.networking.k8s.io).
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::routes {

enum class PathKind { exact, regex, prefix };  // in order of precedence
struct PathMatch {
    PathKind kind = PathKind::prefix;
    std::string value = "/";
    bool operator==(const PathMatch&) const = default;
};

// A condition on a header (case-insensitive name) or a query parameter (case-sensitive name).
struct FieldMatch {
    bool regex = false;
    std::string name, value;
    bool operator==(const FieldMatch&) const = default;
};

// A request matches if all conditions hold.
struct Match {
    PathMatch path;
    std::string method;  // empty: any method
    std::vector<FieldMatch> headers, queries;
    bool operator==(const Match&) const = default;
};

struct HeaderEdit {
    std::vector<std::pair<std::string, std::string>> set, add;
    std::vector<std::string> remove;
    bool empty() const { return set.empty() && add.empty() && remove.empty(); }
    bool operator==(const HeaderEdit&) const = default;
};

// Replaces the whole path, or only the prefix that was matched.
struct PathEdit {
    bool prefix = false;
    std::string value;
    bool operator==(const PathEdit&) const = default;
};

struct Redirect {
    std::optional<std::string> scheme, host;
    std::optional<PathEdit> path;
    std::optional<std::uint16_t> port;
    int status = 302;
    bool operator==(const Redirect&) const = default;
};

struct Rewrite {
    std::optional<std::string> host;
    std::optional<PathEdit> path;
    bool operator==(const Rewrite&) const = default;
};

// How the decision module treats the calls of a rule.
struct CallClass {
    enum class Kind { unsafe, safe, keyed, by_method };
    Kind kind = Kind::unsafe;
    Micros aim{};       // target latency; an answer within it has the full value
    Micros deadline{};  // the longest time that a request may take
    Micros window{};    // keyed: how long the backend deduplicates repeated requests
    double worth = 1;
    auto operator<=>(const CallClass&) const = default;
};

// Limits of retries. They only ever restrict what the decision module may do.
struct RetryLimit {
    std::optional<int> attempts;  // maximum number of retries of one request
    std::optional<double> share;  // maximum share of retries in the route's requests, over a few seconds
    double floor_per_s = 3;       // retries per second that are always allowed; used only with `share`
    bool operator==(const RetryLimit&) const = default;
};

// A weighted target of a rule: a pool, or, for an invalid reference, the status that is returned instead.
struct Backend {
    std::string pool;  // empty: the response is `status`
    int status = 500;
    std::uint32_t weight = 1;
    HeaderEdit request, response;
    bool operator==(const Backend&) const = default;
};

struct Rule {
    std::vector<Match> matches;     // one of them must match; none: every path matches
    std::optional<int> status;      // if set: response to each matching request; all else is ignored
    std::string why;                // the reason for `status`, for people
    std::vector<Backend> backends;  // none, or all of weight 0: the response is 500
    HeaderEdit request, response;
    std::optional<Redirect> redirect;
    std::optional<Rewrite> rewrite;
    Micros request_timeout{};  // 0: the deadline of the class applies
    Micros backend_timeout{};  // of one attempt; 0: no separate limit
    CallClass call;
    RetryLimit retries;
    bool operator==(const Rule&) const = default;
};

struct Route {
    std::string name;                // namespace/name; routes with the same name are one route
    std::int64_t created = 0;        // Unix seconds; the older route takes precedence
    std::vector<std::string> hosts;  // lower case; exact, or "*." and a suffix; none: any host
    std::vector<std::shared_ptr<const Rule>> rules;
};

struct Listener {
    std::string name;
    std::string host;  // lower case; exact, "*." and a suffix, or empty for any host
    std::vector<Route> routes;
};

// The listeners of one port.
struct TableSpec {
    std::vector<Listener> listeners;
};

}  // namespace flaxdoor::routes
