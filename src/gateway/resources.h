// The observed resources, strictly parsed from their published form (JSON) and stored by kind and name.
//
// Threading: one thread at a time; the stored objects are immutable and may be read on any thread.
// Errors:    a resource without usable metadata is refused with a one-line message. Any other error is a
//            Problem at its field, and the rest of the resource is used.
// Format:    gateway.networking.k8s.io/v1 (GatewayClass, Gateway, HTTPRoute), v1beta1 (ReferenceGrant), v1
//            (Service, Secret, Namespace), discovery.k8s.io/v1 (EndpointSlice), the metadata of
//            apiextensions.k8s.io/v1 (CustomResourceDefinition).
// Bounds:    those of the published schemas: 16 rules, 64 matches per rule, 16 filters, backends and hosts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "routes/rule.h"

namespace flaxdoor::gateway {

using Json = nlohmann::json;

enum class KindOf {
    gateway_class,
    gateway,
    http_route,
    reference_grant,
    service,
    endpoint_slice,
    kube_namespace,  // Namespace
    secret,
    custom_resource_definition,  // only its metadata
};
inline constexpr KindOf all_kinds[] = {
    KindOf::gateway_class,   KindOf::gateway, KindOf::http_route,
    KindOf::reference_grant, KindOf::service, KindOf::endpoint_slice,
    KindOf::kube_namespace,  KindOf::secret,  KindOf::custom_resource_definition};
[[nodiscard]] std::string_view name_of(KindOf kind);  // "HTTPRoute"
[[nodiscard]] std::optional<KindOf> kind_named(std::string_view name);

// An error in a field and its remedy.
struct Problem {
    std::string field, message, remedy;
    std::string text() const;
    bool operator==(const Problem&) const = default;
};

struct Meta {
    std::string namespace_name, name, uid, version;
    std::int64_t generation = 0, created = 0;  // Unix seconds
    std::map<std::string, std::string> labels, annotations;
    std::string key() const { return namespace_name.empty() ? name : namespace_name + "/" + name; }
};

struct GatewayClass {
    Meta meta;
    std::string controller;
    bool has_parameters = false;
    Json status;
};

// A label selector (meta/v1).
struct Selector {
    struct Need {
        enum class How { in, not_in, exists, absent };
        std::string key;
        How how = How::in;
        std::set<std::string> values;
    };
    std::vector<Need> needs;
    bool fits(const std::map<std::string, std::string>& labels) const;
};

// An empty namespace_name means the namespace of the referring object.
struct Reference {
    std::string group, kind, namespace_name, name;
};

struct ListenerSpec {
    std::string name, host, protocol;
    std::uint16_t port = 0;
    bool terminates = true;  // TLS mode Terminate
    bool has_tls = false;
    std::vector<Reference> certificates;
    enum class From { same, all, selector, none };
    From from = From::same;
    Selector selector;
    std::vector<Reference> kinds;  // only group and kind are set
    std::vector<Problem> problems;
};

struct Gateway {
    Meta meta;
    std::string class_name;
    std::vector<ListenerSpec> listeners;
    std::vector<std::pair<std::string, std::string>> addresses;  // type and value
    std::vector<Problem> problems;
    Json status;
};

struct ParentRef {
    Reference to;  // a Gateway
    std::optional<std::string> section;
    std::optional<std::uint16_t> port;
    Json as_written;  // the status has to repeat it unchanged
};

struct BackendRef {
    Reference to;
    std::optional<std::uint16_t> port;
    std::uint32_t weight = 1;
    routes::HeaderEdit request, response;
    std::string field;  // path of the field in the route
};

struct RuleSpec {
    routes::Rule rule;  // without backends, class and retries
    std::vector<BackendRef> backends;
    std::vector<Problem> problems;        // if not empty, the rule is dropped
    std::vector<routes::Match> readable;  // the matches without problems
    bool has_matches = false;             // false: the rule matches every path
    bool incompatible = false;            // one of the problems is an invalid combination of filters
};

struct HttpRoute {
    Meta meta;
    std::vector<ParentRef> parents;
    std::vector<std::string> hosts;
    std::vector<RuleSpec> rules;
    routes::CallClass call;  // from the annotations; zero: not given
    bool has_class = false;  // at least one flaxdoor.dev/ annotation is present
    routes::RetryLimit retries;
    std::vector<Problem> class_problems;  // problems of the flaxdoor.dev/ annotations
    std::vector<Problem> problems;        // problems of the whole route
    Json status;
};

// `from` uses group, kind and namespace_name; `to` uses group, kind and name (empty: all objects).
struct ReferenceGrant {
    Meta meta;
    std::vector<Reference> from, to;
};

struct Service {
    struct Port {
        std::string name;
        std::uint16_t port = 0;
        std::string protocol = "TCP", app_protocol;
    };
    Meta meta;
    std::string type = "ClusterIP";
    std::vector<Port> ports;
};

struct EndpointSlice {
    struct Endpoint {
        std::string address, pod, uid, zone;
        bool ready = true, terminating = false;
    };
    struct Port {
        std::string name;
        std::uint16_t port = 0;
    };
    Meta meta;
    std::string service;  // namespace/name
    bool ipv4 = true;
    std::vector<Endpoint> endpoints;
    std::vector<Port> ports;
};

struct Namespace {
    Meta meta;
};

struct Secret {
    Meta meta;
    std::string type, certificate, key;  // PEM
};

struct CustomResourceDefinition {
    Meta meta;
};

// What has to be computed again after a change of an object.
struct Touched {
    bool routes = false;             // route tables or statuses may differ
    bool status = false;             // only the status field of the object itself differs
    std::set<std::string> services;  // namespace/name of Services whose endpoints may differ
    std::string refused;             // why the object was refused; empty: it was stored
};

class Resources {
public:
    template <typename T>
    using Held = std::map<std::string, std::shared_ptr<const T>>;

    // Stores the newest version of an object, from an API server or a file.
    Touched put(KindOf kind, const Json& object);
    Touched erase(KindOf kind, const std::string& key);

    // Returns the metadata of an object of any kind, or null if there is no such object.
    const Meta* meta(KindOf kind, const std::string& key) const;
    std::vector<std::string> keys(KindOf kind) const;
    std::size_t count(KindOf kind) const;

    Held<GatewayClass> classes;
    Held<Gateway> gateways;
    Held<HttpRoute> http_routes;
    Held<ReferenceGrant> grants;
    Held<Service> services;
    Held<EndpointSlice> slices;
    Held<Namespace> namespaces;
    Held<Secret> secrets;
    Held<CustomResourceDefinition> custom_resource_definitions;
    // By namespace/name of a Service: its slices by their keys.
    std::map<std::string, Held<EndpointSlice>> slices_of;
};

// Parsers of single objects, for tests and fuzzing. Throw std::invalid_argument with a one-line message if
// the metadata is unusable.
[[nodiscard]] HttpRoute read_http_route(const Json& object);
[[nodiscard]] Gateway read_gateway(const Json& object);

// Parses a duration as in GEP-2257: "1h30m", "500ms", "0s". Returns nothing if the text is invalid.
[[nodiscard]] std::optional<Micros> read_duration(std::string_view text);
// Parses an RFC 3339 time in UTC to Unix seconds. Returns 0 if the text is invalid.
[[nodiscard]] std::int64_t read_time(std::string_view text);
[[nodiscard]] std::string write_time(std::int64_t unix_seconds);

}  // namespace flaxdoor::gateway
