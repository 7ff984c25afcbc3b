// From the resources, as a pure function of them: which ports and tables there should be, which pools, and
// what every status should say.
//
// Threading: one thread at a time.   Time: none; lastTransitionTime is the writer's (status.h).
// Format:    conditions and reasons of gateway.networking.k8s.io/v1; those of this program's own begin with
//            flaxdoor.dev/. What each reason means and how it is mended: docs/operators/gateway.md.
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
    // Of routes that say nothing of it.
    Micros aim = std::chrono::seconds(1), deadline = std::chrono::seconds(15);
    Micros key_window = std::chrono::seconds(10);
    std::vector<std::string> addresses;  // told as the Gateways' addresses
    // What came of opening a port: empty: it is open; else why it can't be. A port that is not named has not
    // been tried.
    std::map<std::uint16_t, std::string> ports;
    bool ports_known = true;  // false: as if every port were open (for a look at files)
    // What is wrong with a certificate and its key, in PEM; empty: nothing.
    std::function<std::string(const std::string& certificate, const std::string& key)> certificate_fault;
    std::string held;  // what the guard holds back; empty: nothing
};

struct Certificate {
    std::string host;  // of the listener; empty: any
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
    std::string port_name;                // of the Service's port, as its slices have it
    std::set<routes::CallClass> classes;  // kinds unsafe, safe and keyed only
    bool operator==(const PoolPlan&) const = default;
};

// What a status should say, in its published form, without lastTransitionTime.
struct Desired {
    KindOf kind{};
    std::string key;
    Json status;
};

struct Plan {
    std::map<std::uint16_t, PortPlan> ports;  // of listeners that are accepted, whether or not it is open
    std::map<std::string, PoolPlan> pools;    // by namespace/name:port
    std::vector<Desired> statuses;
};

[[nodiscard]] Plan plan(const Resources& resources, const PlanOptions& options);

struct EndpointOf {
    std::string id;       // pod and address: the same again is the same server
    std::string name;     // for people
    std::string address;  // "10.0.0.1:8080"
    std::string zone;     // empty: not told
    bool draining = false;
    std::string pod;  // its pod and address without the port
    bool operator==(const EndpointOf&) const = default;
};
// In the order of their ids.
[[nodiscard]] std::vector<EndpointOf> endpoints_of(const Resources& resources, const PoolPlan& pool);
// Of one endpoint of a slice: the pod's uid, or its name, and its address.
[[nodiscard]] std::string pod_of(const EndpointSlice::Endpoint& endpoint);

// The names that both stand for: the narrower of the two, or nothing. Empty: any.
[[nodiscard]] std::optional<std::string> intersection(const std::string& listener, const std::string& route);

}  // namespace flaxdoor::gateway
