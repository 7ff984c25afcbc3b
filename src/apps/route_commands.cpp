#include "apps/route_commands.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/plan.h"
#include "ingress/explain.h"
#include "kube/yaml.h"
#include "tls/tls.h"

namespace flaxdoor::apps {

namespace {

using namespace gateway;

constexpr int exit_unreadable = 1;
constexpr int exit_differs = 1;

// Resources that were read, and the plan that results from them.
struct Planned {
    Resources resources;
    Plan plan;
    bool readable = true;  // all documents could be read
};

std::string read_text(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file) throw std::runtime_error("can't be read");
    if (file.peek() != std::ifstream::traits_type::eof()) text << file.rdbuf();
    return text.str();
}

// Adds the resource, or the items of a list of resources. Skips kinds that are not supported.
void put(Planned& planned, const std::string& file, const Json& object) {
    const auto report = [&](const std::string& message) {
        std::cerr << file << ": " << message << "\n";
        planned.readable = false;
    };
    if (!object.is_object()) return report("the document is not a resource");
    const auto kind_text = object.find("kind");
    const std::string kind =
        kind_text != object.end() && kind_text->is_string() ? kind_text->get<std::string>() : "";
    if (kind.ends_with("List") && object.contains("items") && object["items"].is_array()) {
        for (const Json& each : object["items"]) put(planned, file, each);
        return;
    }
    const auto known = kind_named(kind);
    if (!known) {
        std::cerr << file << ": kind " << (kind.empty() ? "is missing" : kind) << ", passed over\n";
        return;
    }
    const Touched result = planned.resources.put(*known, object);
    if (!result.refused.empty()) report(result.refused);
}

Planned read_plan(const std::string& where, const PlanOptions& options) {
    Planned planned;
    std::vector<std::filesystem::path> files;
    std::error_code error;
    if (std::filesystem::is_directory(where, error)) {
        for (const auto& each : std::filesystem::recursive_directory_iterator(where)) {
            const auto extension = each.path().extension();
            if (each.is_regular_file() &&
                (extension == ".yaml" || extension == ".yml" || extension == ".json"))
                files.push_back(each.path());
        }
        std::sort(files.begin(), files.end());
    } else {
        files.emplace_back(where);
    }
    for (const auto& file : files) {
        try {
            for (const Json& object : kube::read_yaml(read_text(file))) put(planned, file.string(), object);
        } catch (const std::exception& problem) {
            std::cerr << file.string() << ": " << problem.what() << "\n";
            planned.readable = false;
        }
    }
    planned.plan = plan(planned.resources, options);
    return planned;
}

PlanOptions options_with(const std::string& controller) {
    PlanOptions options;
    options.controller = controller;
    options.ports_known = false;
    options.certificate_fault = tls::Context::fault_of;
    return options;
}

// Parses "GET http://host:port/path?query" and headers. Returns false if they are invalid.
bool parse_request(const std::string& text, const std::vector<std::string>& headers, http::Request& request,
                   std::uint16_t& port) {
    const auto blank = text.find(' ');
    const auto scheme = text.find("://");
    if (blank == std::string::npos || scheme == std::string::npos || scheme < blank) return false;
    request.method = text.substr(0, blank);
    const std::string scheme_name = text.substr(blank + 1, scheme - blank - 1);
    port = scheme_name == "https" ? 443 : 80;
    const auto path = std::min(text.find('/', scheme + 3), text.size());
    std::string host = text.substr(scheme + 3, path - scheme - 3);
    if (const auto colon = host.rfind(':'); colon != std::string::npos) {
        const int number = std::atoi(host.c_str() + colon + 1);
        if (number < 1 || number > 65535) return false;
        port = static_cast<std::uint16_t>(number);
        host.resize(colon);
    }
    request.target = path == text.size() ? "/" : text.substr(path);
    request.fields.add("Host", host);
    for (const std::string& each : headers) {
        const auto colon = each.find(':');
        if (colon == std::string::npos || colon == 0) return false;
        auto value = each.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        request.fields.add(each.substr(0, colon), value);
    }
    return !host.empty() && !request.method.empty();
}

struct Options {
    std::string resources, request, controller = "flaxdoor.dev/gateway", a, b;
    std::vector<std::string> headers;
};

int show(const Options& options) {
    const Planned planned = read_plan(options.resources, options_with(options.controller));
    if (!options.request.empty()) {
        http::Request request;
        std::uint16_t port = 80;
        if (!parse_request(options.request, options.headers, request, port)) {
            std::cerr << "flaxdoor: invalid request: " << options.request
                      << "; write it like \"GET http://host/path\"\n";
            return 2;
        }
        std::cout << ingress::explain(planned.plan, port, request);
        return planned.readable ? 0 : exit_unreadable;
    }
    std::cout << ingress::table_text(planned.resources, planned.plan) << ingress::status_text(planned.plan);
    return planned.readable ? 0 : exit_unreadable;
}

int compare(const Options& options) {
    const auto plan_options = options_with(options.controller);
    const Planned a = read_plan(options.a, plan_options), b = read_plan(options.b, plan_options);
    const std::string text = ingress::difference(a.resources, a.plan, b.resources, b.plan);
    std::cout << text;
    if (!a.readable || !b.readable) return exit_unreadable;
    return text.empty() ? 0 : exit_differs;
}

}  // namespace

void add_route_commands(CLI::App& program, std::function<int()>& action) {
    const auto options = std::make_shared<Options>();
    CLI::App* const command = program.add_subcommand(
        "routes", "Show what results from Gateway API resources: routes, pools, statuses");
    command->add_option("--resources", options->resources, "a folder or file of resources, YAML or JSON");
    command->add_option("--request", options->request,
                        "show the route of this request: \"GET http://host:80/path\"");
    command->add_option("--header", options->headers,
                        "a header of the request, \"Name: value\"; may be repeated");
    command->add_option("--controller", options->controller, "the controllerName of this gateway");
    CLI::App* const diff = command->add_subcommand(
        "diff", "Show the differences in routes and pools between two sets of resources");
    diff->add_option("A", options->a, "a folder or file of resources")->required();
    diff->add_option("B", options->b, "another")->required();
    command->callback([options, diff, &action] {
        if (diff->parsed()) {
            action = [options] { return compare(*options); };
            return;
        }
        if (options->resources.empty()) throw CLI::RequiredError("--resources");
        action = [options] { return show(*options); };
    });
}

}  // namespace flaxdoor::apps
