// A configuration of one balancer with one upstream, as a JSON object. A test changes the members that it is about.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace flaxdoor::test {

using nlohmann::json;

inline json service(const char* name, const char* effect, double aim = 150, double hard_limit = 500) {
    return {{"name", name},      {"aim", aim},      {"hard_limit", hard_limit},
            {"effect", effect},  {"worth", 1.0},    {"stream", false},
            {"late_worth", 0.5}, {"group", "zone"}, {"window", 1500.0}};
}

inline json minimal_config(const std::string& upstream = "127.0.0.1:1") {
    const json host = {
        {"host", "s-0"}, {"dial", upstream}, {"site", "here"}, {"class", "full node"}, {"health", "active"}};
    return {{"name", "n0"},
            {"listen", "127.0.0.1:0"},
            {"discovery", "127.0.0.1:1"},
            {"seed", "8c1f30d27a5be964"},
            {"known", {{"seq", 7}, {"whole", true}, {"hosts", json::array({host})}}},
            {"settings",
             {{"rank", 0},
              {"siblings", 1},
              {"zone", 0},
              {"zones", {"here", "there"}},
              {"flavors", json::array({"full node"})},
              {"tick", 1.0},
              {"registry_mode", "push"},
              {"services",
               {service("look", "idempotent"), service("book it", "deduplicated"),
                service("once", "at_most_once")}},
              {"tenants", json::array()},
              {"limits", {{"max_attempts", 5}, {"connect_timeout", 2000.0}, {"idle_close", 60000.0}}},
              {"load_report", {{"how", "inline"}, {"fields", {"active", "avg_ms"}}}}}}};
}

}  // namespace flaxdoor::test
