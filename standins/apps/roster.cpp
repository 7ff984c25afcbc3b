// flaxdoor_standin_roster: discovery in one process, steered by lines on standard input.
#include "standins/roster.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "common.h"

namespace {

using namespace flaxdoor::standins;
using std::chrono::milliseconds;

RosterEntry entry_of(std::string_view text) {
    auto parsed = parse_entry(text);
    if (!parsed.entry) throw std::invalid_argument(parsed.error);
    return *parsed.entry;
}

// A file with one entry a line.
std::vector<RosterEntry> read_file(const std::string& name) {
    std::ifstream file(name);
    if (!file) throw std::invalid_argument("--entries '" + name + "': can't be read");
    std::vector<RosterEntry> entries;
    std::string line;
    for (std::size_t number = 1; std::getline(file, line); ++number) {
        if (line.empty()) continue;
        auto parsed = parse_entry(line);
        if (!parsed.entry)
            throw std::invalid_argument(name + " line " + std::to_string(number) + ": " + parsed.error);
        entries.push_back(*parsed.entry);
        if (entries.size() > 100'000) throw std::invalid_argument(name + ": more than 100,000 entries");
    }
    return entries;
}

Roster::Down down_of(const std::string& word) {
    if (word.empty() || word == "unavailable") return Roster::Down::unavailable;
    if (word == "reset") return Roster::Down::reset;
    if (word == "refuse") return Roster::Down::refuse;
    throw std::invalid_argument("control: down '" + word + "'; unavailable, reset, refuse");
}

void obey(Roster& roster, std::string_view line) {
    const auto space = std::min(line.find(' '), line.size());
    const auto word = line.substr(0, space);
    const std::string rest(line.substr(std::min(space + 1, line.size())));
    const auto words = parts_of(rest, ' ');
    const auto number = [&](std::size_t i) {
        return i < words.size() && !words[i].empty()
                   ? static_cast<std::int64_t>(number_of(words[i], "number"))
                   : 0;
    };
    const auto known = [&] {
        if (!roster.find(words[0])) throw std::invalid_argument("control: no host '" + words[0] + "'");
        return words[0];
    };
    const auto on = [&] {
        if (rest != "on" && rest != "off")
            throw std::invalid_argument("control: " + std::string(word) + " wants on or off");
        return rest == "on";
    };
    if (word == "set")
        roster.set(entry_of(rest));
    else if (word == "remove")
        roster.remove(known());
    else if (word == "drain")
        roster.drain(known());
    else if (word == "restart")
        roster.restart(known(), number(1));
    else if (word == "version")
        roster.set_version(static_cast<std::uint64_t>(number(0)));
    else if (word == "announce")
        roster.announce();
    else if (word == "raw")
        roster.raw_line(rest);
    else if (word == "list")
        roster.next_list(rest);
    else if (word == "whole")
        roster.whole_lines(on());
    else if (word == "delay")
        roster.delay(milliseconds(number(0)));
    else if (word == "split")
        roster.split(static_cast<std::size_t>(number(0)), static_cast<std::size_t>(number(1)),
                     milliseconds(number(2)));
    else if (word == "down")
        roster.down(down_of(rest));
    else if (word == "up")
        roster.up();
    else if (word == "silent")
        roster.silent(on());
    else if (word == "end_watches")
        roster.end_watches(rest == "reset");
    else
        throw std::invalid_argument(
            "control: '" + std::string(word) +
            "' is not understood; set JSON, remove HOST, drain HOST, restart HOST [BORN_MS], version N, "
            "announce, raw LINE, list BODY, whole on|off, delay MS, split CHUNK WRITE MS, down "
            "[unavailable|reset|refuse], up, silent on|off, end_watches [reset], counts, quit");
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Roster: a stand-in of discovery. Control lines on standard input; see standins/README.md."};
    std::string listen = "127.0.0.1:0", file;
    std::vector<std::string> entries;
    std::size_t many = 0;
    std::int64_t heartbeat_ms = 2000, delay_ms = 0;
    Roster::Settings settings;
    app.add_option("--listen", listen, "ADDRESS:PORT")->capture_default_str();
    app.add_option("--entry", entries, "an entry as JSON, again for each");
    app.add_option("--entries", file, "a file with an entry as JSON on each line");
    app.add_option("--many", many, "so many made-up entries besides")->check(CLI::Range(0, 100'000));
    app.add_option("--heartbeat-ms", heartbeat_ms, "between empty lines")->check(CLI::Range(1, 3'600'000));
    app.add_option("--delay-ms", delay_ms, "of all that is sent")->check(CLI::Range(0, 3'600'000));
    app.add_flag("--whole-lines", settings.whole_lines, "each line holds the whole list");
    CLI11_PARSE(app, argc, argv);
    try {
        settings.listen = parse_address(listen);
        settings.heartbeat = milliseconds(heartbeat_ms);
        settings.delay = milliseconds(delay_ms);
        boost::asio::io_context loop(1);
        Roster roster(loop, settings);
        std::vector<RosterEntry> all;
        if (!file.empty()) all = read_file(file);
        for (const auto& text : entries) all.push_back(entry_of(text));
        for (std::size_t i = 0; i < many; ++i) {
            RosterEntry entry;
            entry.host = "made-" + std::to_string(i);
            entry.dial = "127.1." + std::to_string(i / 250 % 250) + "." + std::to_string(1 + i % 250) + ":9";
            all.push_back(entry);
        }
        roster.set(all);
        say("listening on " + text_of(roster.address()));
        const EndSignal end(loop, [&] { loop.stop(); });
        const ControlLines control(loop, [&](std::string_view line) {
            try {
                if (line == "quit") return loop.stop();
                if (line == "counts") return say(roster.counts_json());
                obey(roster, line);
                say("{\"ok\":true}");
            } catch (const std::exception& error) {
                say(error_line(error.what()));
            }
        });
        loop.run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flaxdoor_standin_roster: %s\n", error.what());
        return 2;
    }
    return 0;
}
