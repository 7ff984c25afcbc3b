// flaxdoor_standin_client: load on one or several addresses, each answer checked; a table by class at the
// end.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <memory>
#include <random>
#include <stdexcept>

#include "common.h"
#include "standins/load_client.h"

namespace {

using namespace flaxdoor::standins;
using std::chrono::milliseconds;

// NAME:KIND[:WEIGHT[:BUDGET_MS[:BODY_BYTES]]]
ClassPlan class_of(const std::string& text) {
    const auto parts = parts_of(text, ':');
    ClassPlan plan;
    plan.name = parts[0];
    const auto kind = parts.size() > 1 ? parts[1] : "safe";
    if (kind == "keyed")
        plan.kind = CallKind::keyed;
    else if (kind == "unsafe")
        plan.kind = CallKind::unsafe;
    else if (kind != "safe")
        throw std::invalid_argument("--class '" + text + "': no kind '" + kind + "'; safe, keyed, unsafe");
    if (parts.size() > 2) plan.weight = number_of(parts[2], "--class WEIGHT");
    if (parts.size() > 3)
        plan.budget_ms = static_cast<int>(std::min(3'600'000.0, number_of(parts[3], "--class BUDGET_MS")));
    if (parts.size() > 4)
        plan.body_bytes = static_cast<std::size_t>(number_of(parts[4], "--class BODY_BYTES"));
    if (plan.name.empty() || parts.size() > 5)
        throw std::invalid_argument("--class '" + text +
                                    "': wanted NAME:KIND[:WEIGHT[:BUDGET_MS[:BODY_BYTES]]]");
    return plan;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Clients under load: a stand-in of the platform's clients. See standins/README.md."};
    LoadClient::Settings settings;
    std::vector<std::string> targets, classes;
    std::int64_t duration_ms = 0, beyond_ms = 500;
    bool one_shot = false, json = false;
    app.add_option("--target", targets, "ADDRESS:PORT, again for each")->required();
    app.add_option("--class", classes,
                   "NAME:safe|keyed|unsafe[:WEIGHT[:BUDGET_MS[:BODY_BYTES]]], again for each");
    app.add_option("--rate", settings.rate, "calls a second, open loop; 0: closed loop")
        ->check(CLI::Range(0.0, 1e6));
    app.add_option("--connections", settings.connections, "closed loop: how many; open loop: the most")
        ->capture_default_str();
    app.add_option("--calls", settings.calls, "ends after so many");
    app.add_option("--duration-ms", duration_ms, "ends sending after this time")
        ->check(CLI::Range(0, 86'400'000));
    app.add_flag("--one-shot", one_shot, "a connection for each call");
    app.add_option("--retries", settings.retries, "a careless client: sends again whatever was not served");
    app.add_flag("--resend-crossed", settings.resend_crossed,
                 "once more, when a kept connection ends under a request");
    app.add_option("--wait-beyond-ms", beyond_ms, "how long past its budget an answer is waited for")
        ->capture_default_str()
        ->check(CLI::Range(0, 3'600'000));
    app.add_option("--caller", settings.callers, "X-Caller, again for each, in turn");
    app.add_option("--about", settings.about, "so many different cookies `key`");
    app.add_option("--leaves", settings.leaves, "share of calls that the client leaves")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--half-closes", settings.half_closes, "share of calls with the sending ended")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--slow", settings.slow, "share of calls sent byte by byte")->check(CLI::Range(0.0, 1.0));
    // Call ids follow from the seed, and no two runs may share them.
    settings.seed = std::random_device{}();
    app.add_option("--seed", settings.seed,
                   "of arrivals, classes, manners and ids; drawn if not given, and reported");
    app.add_flag("--json", json, "one line of JSON instead of the table");
    CLI11_PARSE(app, argc, argv);
    try {
        for (const auto& text : targets) settings.targets.push_back(parse_address(text));
        if (!classes.empty()) settings.classes.clear();
        for (const auto& text : classes) settings.classes.push_back(class_of(text));
        settings.duration = milliseconds(duration_ms);
        settings.wait_beyond = milliseconds(beyond_ms);
        settings.keep_alive = !one_shot;
        boost::asio::io_context loop(1);
        settings.on_done = [&] { loop.stop(); };
        LoadClient client(loop, settings);
        // The first signal ends the sending and waits for what is out, the second ends at once.
        std::unique_ptr<EndSignal> second;
        const EndSignal first(loop, [&] {
            client.stop();
            second = std::make_unique<EndSignal>(loop, [&] { loop.stop(); });
        });
        client.start();
        loop.run();
        const auto report = client.report();
        say(json ? report.json() : report.table());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flaxdoor_standin_client: %s\n", error.what());
        return 2;
    }
    return 0;
}
