// Fixture with the complete gateway on loopback: a stand-in API server, the controller on its thread, and
// listeners, pools and stand-in backends on the test's event loop. Tests wait for events; the limit of
// until() only ends a test that hangs.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "capturing_log.h"
#include "core/core.h"
#include "fake_admission.h"
#include "ingress/cluster.h"
#include "ingress/runtime.h"
#include "loop/alarm.h"
#include "loop/clock.h"
#include "standins/kube_api.h"
#include "standins/peers.h"
#include "standins/run_until.h"
#include "words.h"

namespace flaxdoor::gateway::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

using flaxdoor::test::CapturingLog;

using standins::peers::Backend;
using standins::peers::Client;
using standins::peers::header;

inline std::string get(const std::string& host, const std::string& path, const std::string& method = "GET",
                       const std::string& more = {}, const std::string& body = {}) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + more +
           (body.empty() && method != "POST" ? ""
                                             : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

class Rig {
public:
    // `admission` is borrowed; null: no admission control.
    explicit Rig(core::Admission* admission = nullptr)
        : alarm(io.get_executor(), clock),
          core(clock, alarm, log, flaxdoor::test::options_with(admission)),
          api(io, {}) {
        alarm.on_due([this] { core.on_alarm(); });
        options.server.host = "127.0.0.1";
        options.server.tls = false;
        options.apply_every = 1ms;
        options.min_backoff = 5ms;
        options.max_backoff = 50ms;
        options.lease.identity = "this";
        options.lease.every = 10ms;
        options.guard.hold = 0s;
        options.writer.min_backoff = 5ms;
        runtime_options.address = "127.0.0.1";
        for (const int port : {80, 81, 443}) runtime_options.moved[static_cast<std::uint16_t>(port)] = 0;
        runtime_options.settings.max_attempts = 3;
        runtime_options.settings.connect_timeout = 2s;
        runtime_options.settings.retry_after = true;
        runtime_options.settings.max_retry_after = 60s;
        runtime_options.settings.min_in_flight_per_upstream = 64;
        runtime_options.clients.request_timeout = 10s;
    }
    ~Rig() {
        cluster.reset();
        if (runtime) runtime->stop();
        runtime.reset();
        backends.clear();
        io.restart();
        io.poll();
    }

    Backend& add_backend(const std::string& name) {
        backends.push_back(std::make_unique<Backend>(io, name));
        Backend* const backend = backends.back().get();
        backend->on_request = [this, backend](const std::string&) {
            // No pool lists this backend as ready, so that it must not receive requests.
            if (closed.contains(backend->address())) violations.push_back(backend->name);
        };
        return *backend;
    }

    void begin() {
        options.server.port = api.address().port();
        runtime = std::make_unique<ingress::Runtime>(
            io.get_executor(), core, clock, log, runtime_options,
            [this](std::map<std::uint16_t, std::string> ports) { cluster->set_ports(std::move(ports)); });
        cluster =
            std::make_unique<ingress::Cluster>(io.get_executor(), log, clock, options,
                                               [this](ingress::Change change) { apply(std::move(change)); });
    }

    // Starts with these resources. Returns true when the port is open.
    bool serve(const std::string& yaml, std::uint16_t port = 80) {
        api.play(yaml);
        begin();
        return until([&] { return runtime->address(port).has_value(); });
    }

    // Applies a change. A request that arrives later at a backend that no pool lists as ready any more is a
    // violation; requests that were sent before the change are not.
    void apply(ingress::Change change) {
        for (const auto& pool : change.pools) {
            servers[pool.key] = pool.servers;
            auto& ready_addresses = listed[pool.key];
            ready_addresses.clear();
            for (const auto& server : pool.servers) {
                if (!server.draining) ready_addresses.insert(server.address);
            }
        }
        for (const auto& key : change.gone) listed.erase(key);
        ++applied;
        runtime->apply(std::move(change));
        for (const auto& backend : backends) {
            backend->catch_up();
            const bool ready = std::any_of(listed.begin(), listed.end(), [&](const auto& pool) {
                return pool.second.contains(backend->address());
            });
            if (ready) {
                closed.erase(backend->address());
            } else {
                closed.insert(backend->address());
            }
        }
    }

    bool until(const std::function<bool()>& holds, std::chrono::milliseconds limit = 20s) {
        return standins::run_until(io, holds, limit);
    }

    std::shared_ptr<Client> client(std::uint16_t port = 80) {
        const auto address = runtime->address(port);
        EXPECT_TRUE(address) << "port " << port << " is not open";
        return std::make_shared<Client>(io, address.value_or(tcp::endpoint()));
    }
    std::shared_ptr<Client> send(const std::string& bytes, std::uint16_t port = 80) {
        auto connection = client(port);
        connection->send(bytes);
        return connection;
    }
    // Sends one request on a new connection and returns its response: "200 name" or "404 ...".
    std::string ask(const std::string& bytes, std::uint16_t port = 80) {
        const auto connection = send(bytes, port);
        EXPECT_TRUE(until([&] { return !connection->answers.empty() || connection->ended; })) << "no answer";
        return connection->status() + " " + connection->body();
    }

    // Returns a condition as "True Accepted", or an empty string if it is absent.
    static std::string condition(const nlohmann::json& conditions, const std::string& type) {
        if (!conditions.is_array()) return {};
        for (const auto& each : conditions) {
            if (each["type"] == type)
                return each["status"].get<std::string>() + " " + each["reason"].get<std::string>();
        }
        return {};
    }
    std::string route_condition(const std::string& key, const std::string& type, std::size_t parent = 0) {
        const auto route = api.get("HTTPRoute", key);
        if (!route.contains("status") || !route["status"].contains("parents")) return {};
        for (const auto& each : route["status"]["parents"]) {
            if (each["controllerName"] != options.plan.controller) continue;
            if (parent-- == 0) return condition(each["conditions"], type);
        }
        return {};
    }
    std::string gateway_condition(const std::string& key, const std::string& type) {
        const auto gateway = api.get("Gateway", key);
        return gateway.contains("status")
                   ? condition(gateway["status"].value("conditions", nlohmann::json()), type)
                   : "";
    }
    std::string listener_condition(const std::string& key, std::size_t listener, const std::string& type) {
        const auto gateway = api.get("Gateway", key);
        if (!gateway.contains("status") || !gateway["status"].contains("listeners")) return {};
        const auto& all = gateway["status"]["listeners"];
        return all.size() > listener ? condition(all[listener]["conditions"], type) : "";
    }

    asio::io_context io{1};
    loop::Clock clock;
    loop::Alarm alarm;
    CapturingLog log;
    core::Core core;
    standins::KubeApi api;
    ingress::ClusterOptions options;
    ingress::RuntimeOptions runtime_options;
    std::vector<std::unique_ptr<Backend>> backends;
    std::unique_ptr<ingress::Runtime> runtime;
    std::unique_ptr<ingress::Cluster> cluster;
    std::map<std::string, std::set<std::string>> listed;          // ready addresses of each pool
    std::map<std::string, std::vector<ingress::Server>> servers;  // servers of each pool in the last change
    std::set<std::string> closed;         // backend addresses that no pool lists as ready
    std::vector<std::string> violations;  // backends that received a request nevertheless
    std::size_t applied = 0;
};

}  // namespace flaxdoor::gateway::test
