// Computes from the resources, as a pure function, the ports with their route tables, the pools, and the
// desired status of every object.
//
// Threading: one thread at a time.   Time: not used; the status writer sets lastTransitionTime (status.h).
// Format:    conditions and reasons of gateway.networking.k8s.io/v1; the types that this program defines
//            begin with flaxdoor.dev/. docs/operators/gateway.md explains each reason and its remedy.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/call.h"
#include "gateway/resources.h"
#include "routes/rule.h"

namespace flaxdoor::gateway {

struct PlanOptions {
    std::string controller = "flaxdoor.dev/gateway";
    // Defaults of routes without the annotation.
    Micros aim = std::chrono::seconds(1), deadline = std::chrono::seconds(15);
    Micros key_window = std::chrono::seconds(10);
    std::vector<std::string> addresses;  // published as the addresses of the Gateways
    // Result of opening each port: empty if it is open, else the error. A port without an entry has not been
    // tried.
    std::map<std::uint16_t, std::string> ports;
    bool ports_known = true;  // false: every port counts as open (to check files offline)
    // Returns the error of a certificate and its key, both in PEM, or an empty text.
    std::function<std::string(const std::string& certificate, const std::string& key)> certificate_fault;
    std::string held;  // UpdateGuard::text(): what the guard holds back; empty: nothing
};

struct Certificate {
    std::string host;  // of the listener; empty: any host
    std::string certificate, key;
    bool operator==(const Certificate&) const = default;
};

struct PortPlan {
    bool tls = false;
    std::vector<Certificate> certificates;
    routes::TableSpec table;
};

struct PoolPlan {
    std::string service;                  // namespace/name
    std::string port_name;                // name of the Service's port, by which its EndpointSlices list it
    std::set<routes::CallClass> classes;  // only of the kinds unsafe, safe and keyed
    bool operator==(const PoolPlan&) const = default;
};

// The desired status of an object, in its published form without lastTransitionTime.
struct DesiredStatus {
    KindOf kind{};
    std::string key;
    Json status;
};

struct Plan {
    std::map<std::uint16_t, PortPlan> ports;  // ports of accepted listeners, whether or not the port is open
    std::map<std::string, PoolPlan> pools;    // by namespace/name:port
    std::vector<DesiredStatus> statuses;
};

[[nodiscard]] Plan plan(const Resources& resources, const PlanOptions& options);

struct PoolEndpoint {
    std::string id;       // pod and address; an endpoint with the same id is the same upstream
    std::string name;     // for people
    std::string address;  // "10.0.0.1:8080"
    std::string zone;     // empty: unknown
    bool draining = false;
    std::string pod;  // pod and address without the port
    bool operator==(const PoolEndpoint&) const = default;
};
// Returns the endpoints of a pool, sorted by id.
[[nodiscard]] std::vector<PoolEndpoint> endpoints_of(const Resources& resources, const PoolPlan& pool);
// Identifies the pod of an endpoint by its uid, or else its name, and its address.
[[nodiscard]] std::string pod_of(const EndpointSlice::Endpoint& endpoint);

// Returns the more specific of two hostname patterns where one includes the other, else nothing. Empty: any
// host.
[[nodiscard]] std::optional<std::string> intersection(const std::string& listener, const std::string& route);

}  // namespace flaxdoor::gateway
