#include "kube_api.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <deque>
#include <map>
#include <set>
#include <stdexcept>
#include <unordered_set>

#include "http_text.h"

namespace flaxdoor::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Json = nlohmann::json;

namespace {

constexpr std::size_t request_most = 1 << 20;

struct Resource {
    const char* kind;
    const char* version;  // group/version, or v1
    const char* plural;
    const char* singular;
    bool in_namespace;
    bool has_status;
};

constexpr Resource resources[] = {
    {"GatewayClass", "gateway.networking.k8s.io/v1", "gatewayclasses", "gatewayclass", false, true},
    {"Gateway", "gateway.networking.k8s.io/v1", "gateways", "gateway", true, true},
    {"HTTPRoute", "gateway.networking.k8s.io/v1", "httproutes", "httproute", true, true},
    {"ReferenceGrant", "gateway.networking.k8s.io/v1beta1", "referencegrants", "referencegrant", true, false},
    {"Service", "v1", "services", "service", true, true},
    {"Namespace", "v1", "namespaces", "namespace", false, true},
    {"Secret", "v1", "secrets", "secret", true, false},
    {"EndpointSlice", "discovery.k8s.io/v1", "endpointslices", "endpointslice", true, false},
    {"CustomResourceDefinition", "apiextensions.k8s.io/v1", "customresourcedefinitions",
     "customresourcedefinition", false, true},
    {"Lease", "coordination.k8s.io/v1", "leases", "lease", true, false},
};

const Resource* by_kind(const std::string& kind) {
    for (const auto& each : resources) {
        if (kind == each.kind) return &each;
    }
    return nullptr;
}

std::string key_of(const Json& object) {
    const Json meta = object.value("metadata", Json::object());
    const std::string space = meta.value("namespace", "");
    const std::string name = meta.value("name", "");
    return space.empty() ? name : space + "/" + name;
}

// RFC 7396.
void merge(Json& target, const Json& patch) {
    if (!patch.is_object()) {
        target = patch;
        return;
    }
    if (!target.is_object()) target = Json::object();
    for (const auto& [name, value] : patch.items()) {
        if (value.is_null()) {
            target.erase(name);
        } else {
            merge(target[name], value);
        }
    }
}

std::string unescaped(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

std::map<std::string, std::string> parameters(const std::string& query) {
    std::map<std::string, std::string> out;
    std::size_t at = 0;
    while (at < query.size()) {
        const auto end = std::min(query.find('&', at), query.size());
        const std::string pair = query.substr(at, end - at);
        const auto equals = std::min(pair.find('='), pair.size());
        out[unescaped(pair.substr(0, equals))] =
            equals < pair.size() ? unescaped(pair.substr(equals + 1)) : std::string();
        at = end + 1;
    }
    return out;
}

std::vector<std::string> parts_of(const std::string& path) {
    std::vector<std::string> out;
    std::size_t at = 1;
    while (at < path.size()) {
        const auto end = std::min(path.find('/', at), path.size());
        out.push_back(path.substr(at, end - at));
        at = end + 1;
    }
    return out;
}

Json status_object(int code, const std::string& reason, const std::string& message) {
    return {{"kind", "Status"},    {"apiVersion", "v1"}, {"metadata", Json::object()},
            {"status", "Failure"}, {"message", message}, {"reason", reason},
            {"code", code}};
}

Json metadata_only(const Json& object) {
    return {{"kind", "PartialObjectMetadata"},
            {"apiVersion", "meta.k8s.io/v1"},
            {"metadata", object.at("metadata")}};
}

}  // namespace

struct KubeApi::Impl : std::enable_shared_from_this<Impl> {
    struct Event {
        std::uint64_t version;
        const Resource* resource;
        std::string type;
        Json object;
    };

    // A connection, with or without TLS.
    struct Session : std::enable_shared_from_this<Session> {
        Session(Impl& its, tcp::socket socket, asio::ssl::context* tls)
            : owner(its), plain(std::move(socket)) {
            if (tls) secure.emplace(plain, *tls);
        }

        void start() {
            error_code ignored;
            plain.set_option(tcp::no_delay(true), ignored);
            if (!secure) return read();
            secure->async_handshake(asio::ssl::stream_base::server,
                                    [self = shared_from_this()](error_code error) {
                                        if (error) return self->close();
                                        self->read();
                                    });
        }

        void read() {
            auto done = [self = shared_from_this()](error_code error, std::size_t got) {
                if (error) return self->close();
                self->in.append(self->room.data(), got);
                if (self->in.size() > request_most) return self->close();
                self->take();
                if (!self->closed) self->read();
            };
            if (secure) {
                secure->async_read_some(asio::buffer(room), done);
            } else {
                plain.async_read_some(asio::buffer(room), done);
            }
        }

        void take() {
            while (!closed && !watching) {
                Head head;
                const Reading reading = read_head(in, head);
                if (reading == Reading::bad) return close();
                if (reading == Reading::more) return;
                const std::string length(head["Content-Length"]);
                const std::size_t size = length.empty() ? 0 : std::stoul(length);
                if (in.size() < head.bytes + size) return;
                Seen seen;
                seen.method = head.first;
                seen.target = head.second;
                seen.accept = head["Accept"];
                seen.body = in.substr(head.bytes, size);
                const std::string type(head["Content-Type"]);
                const std::string token(head["Authorization"]);
                in.erase(0, head.bytes + size);
                if (owner.stalled) {
                    owner.seen.push_back(std::move(seen));
                    return;
                }
                owner.serve(*this, std::move(seen), type, token);
            }
        }

        void answer(int status, const Json& body, int retry_after = 0) {
            const std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
            std::string head =
                "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\n";
            if (retry_after > 0) head += "Retry-After: " + std::to_string(retry_after) + "\r\n";
            write(head + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
        }

        void begin_watch(const Resource& of, bool partial, std::string its_space) {
            watching = &of;
            only_metadata = partial;
            space = std::move(its_space);
            write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        void chunk(const std::string& text) {
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            write(size + text + "\r\n");
        }
        std::string line_of(const std::string& type, const Json& object) const {
            const Json shown = only_metadata && type != "ERROR" ? metadata_only(object) : object;
            return Json{{"type", type}, {"object", shown}}.dump() + "\n";
        }
        void event(const std::string& type, const Json& object) { chunk(line_of(type, object)); }
        void end_watch() {
            write("0\r\n\r\n");
            watching = nullptr;
        }

        void write(std::string text) {
            const bool idle = out.empty();
            out.push_back(std::move(text));
            if (idle) flush();
        }
        void flush() {
            if (out.empty() || closed) return;
            auto done = [self = shared_from_this()](error_code error, std::size_t) {
                if (error) return self->close();
                if (!self->out.empty()) self->out.pop_front();
                if (self->out.empty() && self->close_after) return self->close();
                self->flush();
            };
            if (secure) {
                asio::async_write(*secure, asio::buffer(out.front()), done);
            } else {
                asio::async_write(plain, asio::buffer(out.front()), done);
            }
        }
        void close_when_written() {
            close_after = true;
            if (out.empty()) close();
        }
        void close() {
            if (closed) return;
            closed = true;
            const auto self = shared_from_this();
            error_code ignored;
            plain.close(ignored);
            owner.sessions.erase(self);
        }

        Impl& owner;
        tcp::socket plain;
        std::optional<asio::ssl::stream<tcp::socket&>> secure;
        std::array<char, 16384> room;
        std::string in, space;
        std::deque<std::string> out;
        const Resource* watching = nullptr;
        bool only_metadata = false, closed = false, close_after = false;
    };

    Impl(asio::io_context& its, Settings how) : loop(its), settings(std::move(how)), acceptor(its) {
        if (!settings.certificate.empty()) {
            tls.emplace(asio::ssl::context::tls_server);
            tls->use_certificate_chain_file(settings.certificate);
            tls->use_private_key_file(settings.key, asio::ssl::context::pem);
        }
        where = settings.listen;
    }

    // A bound socket that never listens keeps the port while the listener is closed: else it could become another's.
    void open() {
        if (!holder.is_open()) {
            holder.open(where.protocol());
            holder.set_option(tcp::socket::reuse_address(true));
            holder.bind(where);
            where = holder.local_endpoint();
        }
        acceptor = tcp::acceptor(loop, where);
        accept();
    }
    void accept() {
        acceptor.async_accept([self = weak_from_this(), this](error_code error, tcp::socket socket) {
            if (error || self.expired()) return;
            const auto session = std::make_shared<Session>(*this, std::move(socket), tls ? &*tls : nullptr);
            sessions.insert(session);
            session->start();
            accept();
        });
    }
    void close_all() {
        const auto all = sessions;
        for (const auto& each : all) each->close();
    }

    // ---------------------------------------------------------------------------------------------- objects

    void record(const Resource& resource, const std::string& type, const Json& object) {
        history.push_back({version, &resource, type, object});
        if (stalled) return;
        const auto all = sessions;
        for (const auto& each : all) {
            if (each->watching != &resource) continue;
            if (!each->space.empty() && object["metadata"].value("namespace", "") != each->space) continue;
            each->event(type, object);
        }
    }

    Json put(Json object, bool keep_status) {
        const Resource* const resource = by_kind(object.at("kind"));
        if (!resource) throw std::runtime_error("unknown kind " + object.at("kind").dump());
        auto& all = objects[resource];
        const std::string key = key_of(object);
        const auto before = all.find(key);
        Json& meta = object["metadata"];
        object["apiVersion"] = resource->version;
        if (before == all.end()) {
            if (!meta.contains("uid")) meta["uid"] = "uid-" + std::to_string(++uids);
            if (!meta.contains("creationTimestamp")) meta["creationTimestamp"] = "2026-01-01T00:00:00Z";
            if (!meta.contains("generation")) meta["generation"] = 1;
        } else {
            const Json& old = before->second;
            for (const char* name : {"uid", "creationTimestamp"}) {
                if (!meta.contains(name) && old["metadata"].contains(name))
                    meta[name] = old["metadata"][name];
            }
            const auto generation = old["metadata"].value("generation", std::int64_t{1});
            const bool same = object.value("spec", Json()) == old.value("spec", Json());
            meta["generation"] = generation + (same ? 0 : 1);
            if (keep_status && resource->has_status) {
                object.erase("status");
                if (old.contains("status")) object["status"] = old["status"];
            }
            Json compared = object, was = old;
            compared["metadata"].erase("resourceVersion");
            was["metadata"].erase("resourceVersion");
            if (compared == was) return old;
        }
        meta["resourceVersion"] = std::to_string(++version);
        all[key] = object;
        record(*resource, before == all.end() ? "ADDED" : "MODIFIED", object);
        return object;
    }

    void erase(const Resource& resource, const std::string& key) {
        auto& all = objects[&resource];
        const auto found = all.find(key);
        if (found == all.end()) return;
        Json object = std::move(found->second);
        all.erase(found);
        object["metadata"]["resourceVersion"] = std::to_string(++version);
        record(resource, "DELETED", object);
    }

    // --------------------------------------------------------------------------------------------- requests

    void serve(Session& session, Seen request, const std::string& type, const std::string& token) {
        const auto mark = std::min(request.target.find('?'), request.target.size());
        const std::string path = request.target.substr(0, mark);
        const auto query = parameters(request.target.substr(std::min(mark + 1, request.target.size())));
        const std::size_t place = seen.size();
        seen.push_back(request);
        const auto reply = [&](int status, const Json& body, int after = 0) {
            seen[place].status = status;
            session.answer(status, body, after);
        };
        const auto refuse = [&](int status, const std::string& reason, const std::string& message,
                                int after = 0) {
            reply(status, status_object(status, reason, message), after);
        };
        if (!settings.token.empty() && token != "Bearer " + settings.token)
            return refuse(401, "Unauthorized", "no token, or a wrong one");
        if (next_count > 0) {
            --next_count;
            return refuse(next_status, "Told", "as it was told to", next_after);
        }
        if (request.method == "GET" && discover(path, reply)) return;
        const auto parts = parts_of(path);
        if (parts.size() < 3) return refuse(404, "NotFound", "no such path");
        const bool core = parts[0] == "api";
        const std::string group = core ? parts[1] : parts[1] + "/" + parts[2];
        std::size_t at = core ? 2 : 3;
        std::string space;
        if (parts.size() > at + 2 && parts[at] == "namespaces") {
            space = parts[at + 1];
            at += 2;
        }
        const Resource* resource = nullptr;
        for (const auto& each : resources) {
            if (at < parts.size() && group == each.version && parts[at] == each.plural) resource = &each;
        }
        if (!resource) return refuse(404, "NotFound", "the server could not find the requested resource");
        const std::string name = at + 1 < parts.size() ? unescaped(parts[at + 1]) : "";
        const std::string sub = at + 2 < parts.size() ? parts[at + 2] : "";
        const std::string key = space.empty() ? name : space + "/" + name;
        auto& all = objects[resource];
        if (name.empty()) {
            if (request.method == "GET")
                return list_or_watch(session, *resource, space, query, request.accept, place);
            if (request.method != "POST") return refuse(405, "MethodNotAllowed", "no");
            Json object = Json::parse(request.body, nullptr, false);
            if (!object.is_object()) return refuse(400, "BadRequest", "no JSON");
            if (!space.empty()) object["metadata"]["namespace"] = space;
            if (all.contains(key_of(object))) return refuse(409, "AlreadyExists", "it is there");
            object["kind"] = resource->kind;
            return reply(201, put(std::move(object), false));
        }
        const auto found = all.find(key);
        if (found == all.end())
            return refuse(404, "NotFound", std::string(resource->plural) + " \"" + name + "\" not found");
        if (request.method == "GET") return reply(200, found->second);
        if (request.method == "DELETE") {
            erase(*resource, key);
            return reply(200, {{"kind", "Status"}, {"apiVersion", "v1"}, {"status", "Success"}});
        }
        if (request.method != "PUT" && request.method != "PATCH")
            return refuse(405, "MethodNotAllowed", "no");
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object()) return refuse(400, "BadRequest", "no JSON");
        if (request.method == "PATCH" && type.substr(0, type.find(';')) != "application/merge-patch+json")
            return refuse(415, "UnsupportedMediaType", "only merge patches are known here");
        if (sub == "status" && before_status && *before_status) (*before_status)(resource->kind, key);
        const Json now = all.at(key);
        const std::string wanted = body.value("metadata", Json::object()).value("resourceVersion", "");
        if (!wanted.empty() && wanted != now["metadata"]["resourceVersion"])
            return refuse(409, "Conflict", "the object has been modified");
        Json changed = now;
        if (request.method == "PUT") {
            changed = body;
            changed["kind"] = resource->kind;
            return reply(200, put(std::move(changed), true));
        }
        if (sub == "status") {
            // The default of the schema is not replaced by hand: status as a whole is the subresource's.
            Json status = now.value("status", Json::object());
            merge(status, body.value("status", Json::object()));
            changed["status"] = std::move(status);
            Json kept = put(std::move(changed), false);
            if (kept["metadata"]["resourceVersion"] != now["metadata"]["resourceVersion"]) ++status_writes;
            return reply(200, kept);
        }
        if (!sub.empty()) return refuse(404, "NotFound", "no such subresource");
        merge(changed, body);
        return reply(200, put(std::move(changed), true));
    }

    bool fits(const Json& object, const std::map<std::string, std::string>& query) const {
        const auto selector = query.find("fieldSelector");
        if (selector == query.end() || selector->second.empty()) return true;
        const auto equals = selector->second.find('=');
        const std::string name = selector->second.substr(0, equals),
                          value = selector->second.substr(equals + 1);
        if (name == "metadata.name") return object["metadata"].value("name", "") == value;
        if (name == "type") return object.value("type", "") == value;
        return true;
    }

    void list_or_watch(Session& session, const Resource& resource, const std::string& space,
                       const std::map<std::string, std::string>& query, const std::string& accept,
                       std::size_t place) {
        const auto get = [&](const char* name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        const bool partial = accept.find("as=PartialObjectMetadata") != std::string::npos;
        const bool watch = get("watch") == "1" || get("watch") == "true";
        if (watch) {
            const std::string from = get("resourceVersion");
            const std::uint64_t since = from.empty() ? 0 : std::stoull(from);
            if (since < oldest || since > version) {
                if (!forget_by_event) {
                    seen[place].status = 410;
                    return session.answer(410, status_object(410, "Expired", "too old resource version"));
                }
                seen[place].status = 200;
                session.begin_watch(resource, partial, space);
                session.event("ERROR", status_object(410, "Expired", "too old resource version"));
                return session.end_watch();
            }
            seen[place].status = 200;
            session.begin_watch(resource, partial, space);
            for (const Event& event : history) {
                if (event.version <= since || event.resource != &resource || !fits(event.object, query))
                    continue;
                if (!space.empty() && event.object["metadata"].value("namespace", "") != space) continue;
                session.event(event.type, event.object);
            }
            return;
        }
        std::uint64_t at = version;
        std::string after;
        if (const std::string token = get("continue"); !token.empty()) {
            const auto colon = token.find(':');
            at = std::stoull(token.substr(0, colon));
            after = token.substr(colon + 1);
            if (at < oldest || at > version) {
                seen[place].status = 410;
                return session.answer(410, status_object(410, "Expired", "the list is too old"));
            }
        }
        const std::size_t limit = get("limit").empty() ? 0 : std::stoul(get("limit"));
        Json items = Json::array();
        std::string next;
        // What a list in pages began with is what it ends with.
        const std::map<std::string, Json> all = as_of(resource, at);
        std::string last;
        for (const auto& [key, object] : all) {
            if (key <= after && !after.empty()) continue;
            if (hidden.contains(resource.kind) || !fits(object, query)) continue;
            if (!space.empty() && object["metadata"].value("namespace", "") != space) continue;
            if (limit > 0 && items.size() == limit) {
                next = std::to_string(at) + ":" + last;
                break;
            }
            last = key;
            items.push_back(partial ? metadata_only(object) : object);
        }
        Json meta = {{"resourceVersion", std::to_string(at)}};
        if (!next.empty()) meta["continue"] = next;
        const std::string kind = partial ? "PartialObjectMetadataList" : std::string(resource.kind) + "List";
        seen[place].status = 200;
        session.answer(200, {{"kind", kind},
                             {"apiVersion", partial ? "meta.k8s.io/v1" : resource.version},
                             {"metadata", meta},
                             {"items", items}});
    }

    std::map<std::string, Json> as_of(const Resource& resource, std::uint64_t at) {
        std::map<std::string, Json> all = objects[&resource];
        if (at == version) return all;
        // Undone from the end.
        for (auto event = history.rbegin(); event != history.rend() && event->version > at; ++event) {
            if (event->resource != &resource) continue;
            const std::string key = key_of(event->object);
            const auto before = std::find_if(std::next(event), history.rend(), [&](const Event& e) {
                return e.resource == &resource && key_of(e.object) == key;
            });
            if (before == history.rend() || before->type == "DELETED") {
                all.erase(key);
            } else {
                all[key] = before->object;
            }
        }
        return all;
    }

    template <typename Reply>
    bool discover(const std::string& path, Reply reply) {
        if (path == "/version") {
            reply(200,
                  {{"major", "1"}, {"minor", "31"}, {"gitVersion", "v1.31.0"}, {"platform", "linux/amd64"}});
            return true;
        }
        if (path == "/api") {
            reply(200, {{"kind", "APIVersions"},
                        {"versions", {"v1"}},
                        {"serverAddressByClientCIDRs", Json::array()}});
            return true;
        }
        std::map<std::string, std::vector<std::string>> groups;
        for (const auto& each : resources) {
            const std::string full = each.version;
            const auto slash = full.find('/');
            if (slash == std::string::npos) continue;
            auto& versions = groups[full.substr(0, slash)];
            const std::string its = full.substr(slash + 1);
            if (std::find(versions.begin(), versions.end(), its) == versions.end()) versions.push_back(its);
        }
        if (path == "/apis") {
            Json all = Json::array();
            for (const auto& [name, versions] : groups) {
                Json list = Json::array();
                for (const auto& each : versions)
                    list.push_back({{"groupVersion", name + "/" + each}, {"version", each}});
                all.push_back({{"name", name}, {"versions", list}, {"preferredVersion", list.front()}});
            }
            reply(200, {{"kind", "APIGroupList"}, {"apiVersion", "v1"}, {"groups", all}});
            return true;
        }
        const std::string version_text = path == "/api/v1"            ? "v1"
                                         : path.starts_with("/apis/") ? path.substr(6)
                                                                      : std::string();
        Json list = Json::array();
        for (const auto& each : resources) {
            if (version_text != each.version) continue;
            const Json verbs = {"create", "delete", "get", "list", "patch", "update", "watch"};
            list.push_back({{"name", each.plural},
                            {"singularName", each.singular},
                            {"namespaced", each.in_namespace},
                            {"kind", each.kind},
                            {"verbs", verbs}});
            if (!each.has_status) continue;
            list.push_back({{"name", std::string(each.plural) + "/status"},
                            {"singularName", ""},
                            {"namespaced", each.in_namespace},
                            {"kind", each.kind},
                            {"verbs", {"get", "patch", "update"}}});
        }
        if (list.empty()) return false;
        reply(200, {{"kind", "APIResourceList"},
                    {"apiVersion", "v1"},
                    {"groupVersion", version_text},
                    {"resources", list}});
        return true;
    }

    asio::io_context& loop;
    Settings settings;
    std::optional<asio::ssl::context> tls;
    tcp::endpoint where;
    tcp::acceptor acceptor;
    tcp::socket holder{loop};
    std::set<std::shared_ptr<Session>> sessions;
    std::map<const Resource*, std::map<std::string, Json>> objects;
    std::deque<Event> history;
    std::uint64_t version = 100, oldest = 0, uids = 0;
    std::set<std::string> hidden;
    bool stalled = false, forget_by_event = true;
    int next_status = 0, next_after = 0;
    std::size_t next_count = 0, status_writes = 0;
    std::vector<Seen> seen;
    std::function<void(const std::string&, const std::string&)>* before_status = nullptr;
};

KubeApi::KubeApi(asio::io_context& loop, Settings settings)
    : impl_(std::make_shared<Impl>(loop, std::move(settings))) {
    impl_->before_status = &before_status;
    impl_->open();
}
KubeApi::~KubeApi() { stop(); }

tcp::endpoint KubeApi::address() const { return impl_->where; }
Json KubeApi::put(Json object) { return impl_->put(std::move(object), true); }
void KubeApi::erase(const std::string& kind, const std::string& key) { impl_->erase(*by_kind(kind), key); }
Json KubeApi::get(const std::string& kind, const std::string& key) const {
    const auto& all = impl_->objects[by_kind(kind)];
    const auto found = all.find(key);
    return found == all.end() ? Json() : found->second;
}
bool KubeApi::patch_status(const std::string& kind, const std::string& key, const Json& status) {
    Json object = get(kind, key);
    if (object.is_null()) return false;
    Json its = object.value("status", Json::object());
    merge(its, status);
    object["status"] = std::move(its);
    impl_->put(std::move(object), false);
    return true;
}

void KubeApi::play(const std::string& yaml) {
    for (Json& object : documents_of(yaml)) {
        const bool over = object.value("delete", false);
        object.erase("delete");
        if (over) {
            erase(object.at("kind"), key_of(object));
        } else {
            put(std::move(object));
        }
    }
}

void KubeApi::stop() {
    error_code ignored;
    impl_->acceptor.close(ignored);
    impl_->close_all();
}
void KubeApi::start() { impl_->open(); }
void KubeApi::stall(bool on) { impl_->stalled = on; }

void KubeApi::cut_watches(bool mid_line) {
    const auto all = impl_->sessions;
    for (const auto& each : all) {
        if (!each->watching) continue;
        const auto& objects = impl_->objects[each->watching];
        if (mid_line && !objects.empty()) {
            const std::string line = each->line_of("MODIFIED", objects.begin()->second);
            each->chunk(line.substr(0, line.size() / 2));
        }
        each->close_when_written();
    }
}

void KubeApi::repeat_last(std::size_t events) {
    const std::size_t from = impl_->history.size() - std::min(events, impl_->history.size());
    const auto all = impl_->sessions;
    for (std::size_t i = from; i < impl_->history.size(); ++i) {
        const auto& event = impl_->history[i];
        for (const auto& each : all) {
            if (each->watching == event.resource) each->event(event.type, event.object);
        }
    }
}

void KubeApi::answer_next(int status, std::size_t count, int retry_after_s) {
    impl_->next_status = status;
    impl_->next_count = count;
    impl_->next_after = retry_after_s;
}

void KubeApi::forget(bool tell_by_event) {
    impl_->oldest = ++impl_->version;
    impl_->history.clear();
    impl_->forget_by_event = tell_by_event;
}

void KubeApi::restore(std::uint64_t version, bool empty) {
    impl_->version = version;
    impl_->oldest = version;
    impl_->history.clear();
    for (auto& [resource, all] : impl_->objects) {
        if (empty) all.clear();
        for (auto& [key, object] : all)
            object["metadata"]["resourceVersion"] = std::to_string(++impl_->version);
    }
    impl_->oldest = impl_->version;
    impl_->close_all();
}

void KubeApi::hide(const std::string& kind, bool on) {
    if (on) {
        impl_->hidden.insert(kind);
    } else {
        impl_->hidden.erase(kind);
    }
}

void KubeApi::send_bookmarks() {
    const auto all = impl_->sessions;
    for (const auto& each : all) {
        if (!each->watching) continue;
        each->event("BOOKMARK", {{"kind", each->watching->kind},
                                 {"apiVersion", each->watching->version},
                                 {"metadata", {{"resourceVersion", std::to_string(impl_->version)}}}});
    }
}

void KubeApi::send_raw(const std::string& kind, const std::string& line) {
    const auto all = impl_->sessions;
    for (const auto& each : all) {
        if (each->watching == by_kind(kind)) each->chunk(line);
    }
}

const std::vector<KubeApi::Seen>& KubeApi::seen() const { return impl_->seen; }
std::size_t KubeApi::watches() const {
    return static_cast<std::size_t>(
        std::count_if(impl_->sessions.begin(), impl_->sessions.end(),
                      [](const auto& each) { return each->watching != nullptr; }));
}
std::uint64_t KubeApi::version() const { return impl_->version; }
std::size_t KubeApi::status_writes() const { return impl_->status_writes; }

namespace {

Json json_of(const YAML::Node& node) {
    if (node.IsMap()) {
        Json out = Json::object();
        for (const auto& each : node) out[each.first.as<std::string>()] = json_of(each.second);
        return out;
    }
    if (node.IsSequence()) {
        Json out = Json::array();
        for (const auto& each : node) out.push_back(json_of(each));
        return out;
    }
    if (!node.IsScalar()) return nullptr;
    const std::string& text = node.Scalar();
    if (node.Tag() == "!") return text;
    if (text == "true" || text == "false") return text == "true";
    if (text == "null" || text == "~" || text.empty()) return nullptr;
    // Numbers are JSON's numbers.
    if (text.find_first_not_of("-0123456789.") == std::string::npos) {
        const Json number = Json::parse(text, nullptr, false);
        if (number.is_number()) return number;
    }
    return text;
}

}  // namespace

std::vector<Json> documents_of(const std::string& yaml) {
    std::vector<Json> out;
    for (const auto& document : YAML::LoadAll(yaml)) {
        if (document.IsMap()) out.push_back(json_of(document));
    }
    return out;
}

}  // namespace flaxdoor::standins
