// Helpers that build resources as YAML.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace flaxdoor::gateway::test {

using namespace std::chrono_literals;

inline std::string class_and_gateway(
    const std::string& listeners = "    - {name: http, port: 80, protocol: HTTP}\n") {
    return "apiVersion: gateway.networking.k8s.io/v1\nkind: GatewayClass\nmetadata: {name: flaxdoor}\n"
           "spec: {controllerName: flaxdoor.dev/gateway}\n---\n"
           "apiVersion: v1\nkind: Namespace\nmetadata: {name: booking, labels: {team: booking}}\n---\n"
           "apiVersion: gateway.networking.k8s.io/v1\nkind: Gateway\n"
           "metadata: {name: front, namespace: booking}\n"
           "spec:\n  gatewayClassName: flaxdoor\n  listeners:\n" +
           listeners + "---\n";
}

inline std::string service(const std::string& name, const std::string& space = "booking") {
    return "apiVersion: v1\nkind: Service\nmetadata: {name: " + name + ", namespace: " + space +
           "}\nspec: {ports: [{name: http, port: 80}]}\n---\n";
}

struct Pod {
    std::uint16_t port;
    std::string name;
    std::string condition = "ready: true";
    std::string zone = {};
};
inline std::string slice(const std::string& service_name, const std::vector<Pod>& pods,
                         const std::string& suffix = "1", const std::string& space = "booking") {
    // An EndpointSlice has the same ports for all endpoints, so that each pod needs a separate slice.
    std::string out;
    int number = 0;
    for (const Pod& pod : pods) {
        out += "apiVersion: discovery.k8s.io/v1\nkind: EndpointSlice\nmetadata: {name: " + service_name +
               "-" + suffix + "-" + std::to_string(++number) + ", namespace: " + space +
               ", labels: {kubernetes.io/service-name: " + service_name +
               "}}\naddressType: IPv4\nports: [{name: http, port: " + std::to_string(pod.port) +
               "}]\nendpoints:\n  - {addresses: [127.0.0.1], conditions: {" + pod.condition +
               "}, targetRef: {kind: Pod, name: " + pod.name + ", uid: uid-" + pod.name + "}" +
               (pod.zone.empty() ? "" : ", zone: " + pod.zone) + "}\n---\n";
    }
    return out;
}

inline std::string http_route(const std::string& name, const std::string& rules, const std::string& more = "",
                              const std::string& space = "booking",
                              const std::string& parents = "[{name: front, namespace: booking}]") {
    return "apiVersion: gateway.networking.k8s.io/v1\nkind: HTTPRoute\nmetadata: {name: " + name +
           ", namespace: " + space + more + "}\nspec:\n  parentRefs: " + parents + "\n  rules:\n" + rules +
           "---\n";
}
inline std::string to_service(const std::string& name, const std::string& match = "") {
    return "    - " + (match.empty() ? "" : "matches: [" + match + "]\n      ") +
           "backendRefs: [{name: " + name + ", port: 80}]\n";
}

}  // namespace flaxdoor::gateway::test
