// Address of an API server and credentials for it, from the current context of a kubeconfig or from the
// service account of a pod.
//
// Errors: std::runtime_error with a one-line message that names the file and the field.
#pragma once

#include <cstdint>
#include <string>

namespace flaxdoor::kube {

struct Config {
    std::string host;  // name or IP address
    std::uint16_t port = 443;
    bool tls = true;
    bool verify = true;
    std::string server_name;        // name that the server's certificate must have; empty: host
    std::string authorities;        // CA certificates in PEM; empty: those of the system
    std::string certificate, key;   // client certificate in PEM; empty: none
    std::string token, token_file;  // the file is read again regularly, since tokens expire
    std::string space = "default";  // namespace of the context or of the pod
};

[[nodiscard]] Config from_kubeconfig(const std::string& path);

// Reads the configuration of a pod. `host` and `port` are the values of KUBERNETES_SERVICE_HOST and
// KUBERNETES_SERVICE_PORT; `folder` holds the files of the service account.
[[nodiscard]] Config in_cluster(const std::string& host, const std::string& port,
                                const std::string& folder = "/var/run/secrets/kubernetes.io/serviceaccount");

}  // namespace flaxdoor::kube
