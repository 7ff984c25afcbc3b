// flaxdoor_standin_node: one or several booking nodes in one process, steered by lines on standard input.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <memory>
#include <stdexcept>

#include "common.h"
#include "standins/booking_node.h"

namespace {

using namespace flaxdoor::standins;
using std::chrono::milliseconds;

// CLASS=MS[:exp|uniform]; the class * stands for all that are not named.
void read_work(const std::string& text, BookingNode::Settings& settings) {
    const auto equals = text.find('=');
    if (equals == std::string::npos)
        throw std::invalid_argument("--work '" + text + "': wanted CLASS=MS[:exp|uniform]");
    const auto parts = parts_of(text.substr(equals + 1), ':');
    Work work;
    work.mean = std::chrono::microseconds(static_cast<std::int64_t>(number_of(parts[0], "--work") * 1000));
    if (parts.size() > 1) {
        if (parts[1] == "exp")
            work.shape = Work::Shape::exponential;
        else if (parts[1] == "uniform")
            work.shape = Work::Shape::uniform;
        else if (parts[1] != "fixed")
            throw std::invalid_argument("--work '" + text + "': no shape '" + parts[1] +
                                        "'; fixed, exp, uniform");
    }
    const auto name = text.substr(0, equals);
    if (name == "*")
        settings.work = work;
    else
        settings.work_by_class[name] = work;
}

void read_fields(const std::string& text, BookingNode::Settings& settings) {
    for (const auto& part : parts_of(text, ',')) {
        const auto equals = std::min(part.find('='), part.size());
        const auto measure = measure_of(part.substr(0, equals));
        if (!measure)
            throw std::invalid_argument(
                "--report-fields '" + part +
                "': wanted MEASURE[=NAME], MEASURE one of inflight queue util latency_ms eps qps");
        settings.report.emplace_back(*measure, equals < part.size() ? part.substr(equals + 1) : part);
    }
}

Fault fault_of(std::string_view spec) {
    auto parsed = parse_fault(spec);
    if (!parsed.fault) throw std::invalid_argument(parsed.error.text);
    return *parsed.fault;
}

void obey(BookingNode& node, const std::vector<std::string>& words) {
    const auto& word = words[0];
    const auto ms = [&] {
        return milliseconds(words.size() > 1 ? static_cast<std::int64_t>(number_of(words[1], "milliseconds"))
                                             : 0);
    };
    if (word == "fault" && words.size() == 2)
        node.add(fault_of(words[1]));
    else if (word == "clear")
        node.clear_faults();
    else if (word == "die")
        node.die();
    else if (word == "come_back")
        node.come_back();
    else if (word == "listen")
        node.listen();
    else if (word == "vanish")
        node.vanish();
    else if (word == "reappear")
        node.reappear(words.size() > 1 && words[1] == "reset");
    else if (word == "stall")
        node.stall(ms());
    else if (word == "resume")
        node.resume();
    else
        throw std::invalid_argument("control: '" + word +
                                    "' is not understood; [@N] fault SPEC, clear, die, come_back, listen, "
                                    "vanish, reappear [reset], stall [MS], resume, counts, again, quit");
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "Booking nodes: stand-ins of upstreams. Control lines on standard input; see standins/README.md."};
    std::vector<std::string> listen{"127.0.0.1:0"}, work, faults;
    std::string fields;
    BookingNode::Settings settings;
    std::int64_t idle_ms = 0, window_ms = 10'000, cold_ms = 0, first_us = 0;
    bool full = false, own = false;
    app.add_option("--listen", listen, "ADDRESS:PORT, again for each further node");
    app.add_option("--workers", settings.workers, "requests worked on at once")->capture_default_str();
    app.add_option("--queue", settings.queue_most, "requests that may wait")->capture_default_str();
    app.add_option("--work", work, "CLASS=MS[:exp|uniform]; CLASS * for all others");
    app.add_option("--first-work-us", first_us, "more work for the first request on a connection");
    app.add_option("--fault", faults, "a fault, as in after_work,end=rst,p=0.01");
    app.add_option("--report-fields", fields, "MEASURE[=NAME],... for X-Load-Report");
    app.add_option("--connections", settings.connections_most, "open connections")->capture_default_str();
    app.add_option("--idle-close-ms", idle_ms, "0: never")->capture_default_str();
    app.add_option("--key-window-ms", window_ms, "how long repeats of a key are dropped")
        ->capture_default_str();
    app.add_option("--cold-share", settings.cold_share, "capacity at the start")
        ->check(CLI::Range(0.001, 1.0));
    app.add_option("--cold-for-ms", cold_ms, "until capacity is whole");
    app.add_flag("--cold-at-start", settings.cold_at_start, "cold from the first start on");
    app.add_option("--padding", settings.body_padding, "bytes added to each answer")
        ->check(CLI::Range(0, 1'000'000));
    app.add_flag("--probes", settings.probes, "answer GET /health and /status/load");
    app.add_flag("--answer-half-closed", settings.answer_half_closed,
                 "answer clients that ended their sending");
    app.add_flag("--turn-away-late", settings.turn_away_late, "turn away what waited beyond its budget");
    app.add_option("--seed", settings.seed, "of work, chances and noise")->capture_default_str();
    app.add_flag("--full", full, "keep a record of each request, not counts alone");
    app.add_flag("--own-keys", own, "nodes drop repeats of their own requests only");
    CLI11_PARSE(app, argc, argv);
    try {
        for (const auto& text : work) read_work(text, settings);
        if (!fields.empty()) read_fields(fields, settings);
        settings.detail = full ? Detail::full : Detail::counts;
        settings.idle_close = milliseconds(idle_ms);
        settings.key_window = milliseconds(window_ms);
        settings.cold_for = milliseconds(cold_ms);
        settings.first_on_connection = std::chrono::microseconds(first_us);
        settings.effects = std::make_shared<Effects>(settings.detail, settings.records_most);
        settings.events_most = 0;  // no one reads them here
        if (!own) settings.keys = std::make_shared<KeyWindow>(settings.key_window, settings.keys_most);

        boost::asio::io_context loop(1);
        std::vector<std::unique_ptr<BookingNode>> nodes;
        for (const auto& text : listen) {
            settings.listen = parse_address(text);
            nodes.push_back(std::make_unique<BookingNode>(loop, settings));
            ++settings.seed;
            for (const auto& spec : faults) nodes.back()->add(fault_of(spec));
        }
        for (const auto& node : nodes) say("listening on " + text_of(node->address()));
        const EndSignal end(loop, [&] { loop.stop(); });
        const ControlLines control(loop, [&](std::string_view line) {
            try {
                auto words = parts_of(line, ' ');
                std::size_t from = 0, to = nodes.size();
                if (words[0].starts_with('@')) {
                    from = static_cast<std::size_t>(number_of(words[0].substr(1), "@N"));
                    if (from < 1 || from > nodes.size())
                        throw std::invalid_argument("control: no node " + words[0]);
                    to = from--;
                    words.erase(words.begin());
                }
                if (words.empty()) throw std::invalid_argument("control: nothing to do after @N");
                if (words[0] == "quit") return loop.stop();
                if (words[0] == "again") {
                    std::string names;
                    for (const auto& name : settings.effects->ran_again())
                        names += (names.empty() ? "\"" : ",\"") + name + "\"";
                    return say("{\"ran_again\":[" + names + "]}");
                }
                for (auto i = from; i < to; ++i) {
                    if (words[0] == "counts")
                        say(nodes[i]->counts_json());
                    else
                        obey(*nodes[i], words);
                }
                if (words[0] != "counts") say("{\"ok\":true}");
            } catch (const std::exception& error) {
                say(error_line(error.what()));
            }
        });
        loop.run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flaxdoor_standin_node: %s\n", error.what());
        return 2;
    }
    return 0;
}
