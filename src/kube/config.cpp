#include "kube/config.h"

#include <charconv>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "kube/yaml.h"
#include "text/base64.h"

namespace flaxdoor::kube {

using Json = nlohmann::json;

namespace {

constexpr std::size_t max_file_bytes = 4 << 20;

std::string text_of_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()) || text.str().empty())
        throw std::runtime_error(path + " can't be read, or is empty");
    if (text.str().size() > max_file_bytes) throw std::runtime_error(path + " is too large");
    return text.str();
}

std::string trimmed(std::string text) {
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' '))
        text.pop_back();
    return text;
}

class KubeconfigReader {
public:
    explicit KubeconfigReader(std::string path) : path_(std::move(path)) {
        try {
            auto all = read_yaml(text_of_file(path_));
            if (all.size() != 1 || !all.front().is_object()) fail("is not a kubeconfig");
            root_ = std::move(all.front());
        } catch (const std::runtime_error& error) {
            const std::string message = error.what();
            throw std::runtime_error(message.starts_with(path_) ? message : path_ + ": " + message);
        }
    }

    Config read() {
        const std::string context_name = text(root_, "current-context", "current-context");
        if (context_name.empty()) fail("current-context is not set");
        const Json context = find_entry("contexts", context_name, "context");
        const Json cluster = find_entry("clusters", text(context, "cluster", "context.cluster"), "cluster");
        Config out;
        read_server(text(cluster, "server", "cluster.server"), out);
        out.verify =
            !(cluster.contains("insecure-skip-tls-verify") && cluster["insecure-skip-tls-verify"] == true);
        out.server_name = text(cluster, "tls-server-name", "cluster.tls-server-name");
        out.authorities = pem(cluster, "certificate-authority");
        if (const std::string space = text(context, "namespace", "context.namespace"); !space.empty())
            out.space = space;
        const std::string user_name = text(context, "user", "context.user");
        if (user_name.empty()) return out;
        const Json user = find_entry("users", user_name, "user");
        for (const char* const unknown : {"exec", "auth-provider", "username", "password"}) {
            if (user.contains(unknown))
                fail("user " + user_name + ": " + unknown +
                     " is not supported; use a token or a certificate");
        }
        out.token = text(user, "token", "user.token");
        out.token_file = resolved(text(user, "tokenFile", "user.tokenFile"));
        out.certificate = pem(user, "client-certificate");
        out.key = pem(user, "client-key");
        if (out.certificate.empty() != out.key.empty())
            fail("user " + user_name + ": client-certificate and client-key must be set together");
        return out;
    }

private:
    [[noreturn]] void fail(const std::string& message) const {
        throw std::runtime_error(path_ + ": " + message);
    }

    std::string text(const Json& object, const char* name, const std::string& field) const {
        const auto found = object.find(name);
        if (found == object.end() || found->is_null()) return {};
        if (!found->is_string()) fail(field + " is not a string");
        return found->get<std::string>();
    }

    Json find_entry(const char* list, const std::string& name, const char* inner) const {
        const auto found = root_.find(list);
        if (found != root_.end() && found->is_array()) {
            for (const Json& each : *found) {
                if (!each.is_object() || each.value("name", Json()) != name) continue;
                const auto value = each.find(inner);
                if (value == each.end() || value->is_null()) return Json::object();
                if (!value->is_object()) fail(std::string(list) + "." + inner + " is not an object");
                return *value;
            }
        }
        fail(std::string(list) + " has no " + (name.empty() ? "entry, because no name is set" : name));
    }

    std::string resolved(const std::string& path) const {
        if (path.empty() || path.front() == '/') return path;
        const auto slash = path_.rfind('/');
        return slash == std::string::npos ? path : path_.substr(0, slash + 1) + path;
    }

    // Returns PEM from the inline `NAME-data` field, or else from the file that `NAME` names.
    std::string pem(const Json& object, const std::string& name) const {
        const std::string data = text(object, (name + "-data").c_str(), name + "-data");
        if (!data.empty()) return flaxdoor::text::decode_base64(data);
        const std::string path = text(object, name.c_str(), name);
        return path.empty() ? std::string() : text_of_file(resolved(path));
    }

    void read_server(const std::string& url, Config& out) const {
        std::string_view rest = url;
        if (rest.starts_with("https://")) {
            rest.remove_prefix(8);
        } else if (rest.starts_with("http://")) {
            rest.remove_prefix(7);
            out.tls = false;
        } else {
            fail("cluster.server is not a URL: " + url);
        }
        out.port = out.tls ? 443 : 80;
        rest = rest.substr(0, rest.find('/'));
        const auto colon = rest.rfind(':');
        if (colon != std::string_view::npos && rest.find(']', colon) == std::string_view::npos) {
            const auto port = rest.substr(colon + 1);
            const auto [end, bad] = std::from_chars(port.data(), port.data() + port.size(), out.port);
            if (bad != std::errc{} || end != port.data() + port.size()) fail("cluster.server has a bad port");
            rest = rest.substr(0, colon);
        }
        out.host = rest;
        if (out.host.empty()) fail("cluster.server has no host: " + url);
    }

    std::string path_;
    Json root_;
};

}  // namespace

Config from_kubeconfig(const std::string& path) { return KubeconfigReader(path).read(); }

Config in_cluster(const std::string& host, const std::string& port, const std::string& folder) {
    if (host.empty() || port.empty())
        throw std::runtime_error(
            "KUBERNETES_SERVICE_HOST and KUBERNETES_SERVICE_PORT are not set: this process does not run in a "
            "pod");
    Config out;
    out.host = host;
    const auto [end, bad] = std::from_chars(port.data(), port.data() + port.size(), out.port);
    if (bad != std::errc{} || end != port.data() + port.size())
        throw std::runtime_error("KUBERNETES_SERVICE_PORT is not a port: " + port);
    out.authorities = text_of_file(folder + "/ca.crt");
    out.token_file = folder + "/token";
    (void)text_of_file(out.token_file);
    out.space = trimmed(text_of_file(folder + "/namespace"));
    return out;
}

}  // namespace flaxdoor::kube
