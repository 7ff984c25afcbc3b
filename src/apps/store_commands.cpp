#include "apps/store_commands.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "store/engine.h"
#include "store/overlay.h"

namespace flaxdoor::apps {

namespace {

using nlohmann::json;
using namespace store;

constexpr int exit_damaged = 1;
constexpr int exit_not_done = 3;
constexpr auto progress_interval = std::chrono::seconds(1);
constexpr std::size_t items_per_scan = 256;
// How often a store in use is read again: a concurrent write may change its files between two steps of reading.
constexpr int max_attempts = 20;

// Prints the error, if there is one, and returns the exit status.
int report_result(const std::string& folder, const Result& result) {
    if (result) return 0;
    std::cerr << "flaxdoor: " << folder << ": " << result.why << "\n";
    return result.status == Status::corrupt ? exit_damaged : exit_not_done;
}

// A source of random numbers for the engine.
Engine::Chance random_source() {
    return [device = std::make_shared<std::random_device>()] {
        return static_cast<std::uint64_t>((*device)()) << 32 | (*device)();
    };
}

// Reports the progress of long work on standard error, at most once per interval.
class Progress {
public:
    void report(const std::string& line) {
        const auto now = std::chrono::steady_clock::now();
        if (now - reported_at_ < progress_interval) return;
        reported_at_ = now;
        std::cerr << line << "\n";
    }

private:
    std::chrono::steady_clock::time_point reported_at_ = std::chrono::steady_clock::now();
};

// Opens a store for reading only; its files stay unchanged, because writes go to an overlay in memory.
struct ReadOnlyStore {
    std::unique_ptr<Files> folder;
    std::unique_ptr<Overlay> files;
    Engine::Opened opened;
    bool in_use = false;

    Result open(const std::string& path) {
        Result result;
        for (int i = 0; i < max_attempts; ++i) {
            result = open_once(path);
            if (result || !in_use) break;
        }
        return result;
    }

private:
    Result open_once(const std::string& path) {
        opened = {};
        if (const int error = open_folder(path, false, folder); error != 0) {
            return Result::refused(std::strerror(error));
        }
        // Locking creates the lock file, so it is tried only where there is one.
        std::vector<std::string> names;
        if (const int error = folder->list(names); error != 0) return Result::retry(std::strerror(error));
        in_use =
            std::find(names.begin(), names.end(), "LOCK") != names.end() && folder->lock() == EWOULDBLOCK;
        files = std::make_unique<Overlay>(*folder);
        EngineOptions options;
        options.make = false;
        opened = Engine::open(*files, options, random_source());
        return opened.result;
    }
};

int stat(const std::string& path, bool as_json) {
    ReadOnlyStore view;
    if (const auto result = view.open(path); !result) return report_result(path, result);
    const Engine& engine = *view.opened.engine;
    const EngineFigures figures = engine.figures();
    const Opening& opening = view.opened.opening;
    const std::string identity = text_of(engine.identity());
    if (as_json) {
        std::cout << json{{"folder", path},
                          {"identity", identity},
                          {"in_use", view.in_use},
                          {"sequence", figures.sequence},
                          {"runs", figures.runs},
                          {"run_bytes", figures.run_bytes},
                          {"level_bytes", figures.level_bytes},
                          {"log_records", opening.records},
                          {"dropped_bytes", opening.dropped},
                          {"dropped_in", opening.dropped_in},
                          {"dropped_at", opening.dropped_at}}
                         .dump(2, ' ', false, json::error_handler_t::replace)
                  << "\n";
        return 0;
    }
    std::cout << "identity     " << identity << "\n"
              << "in use       " << (view.in_use ? "yes" : "no") << "\n"
              << "sequence     " << figures.sequence << "\n"
              << "runs         " << figures.runs << " with " << figures.run_bytes << " bytes\n"
              << "log          " << opening.records << " records\n";
    if (opening.dropped > 0) {
        std::cout << "cut off      " << opening.dropped << " bytes of " << opening.dropped_in
                  << " from offset " << opening.dropped_at << "\n";
    }
    return 0;
}

int verify(const std::string& path) {
    ReadOnlyStore view;
    Result result;
    // While the store is in use, files may be removed after they were listed and before they are read.
    for (int i = 0; i < max_attempts; ++i) {
        if (const auto opened = view.open(path); !opened) return report_result(path, opened);
        result = view.opened.engine->verify([](const std::string& line) { std::cout << line << std::endl; });
        if (result || !view.in_use) break;
    }
    if (!result) return report_result(path, result);
    const Opening& opening = view.opened.opening;
    if (opening.dropped > 0) {
        std::cout << opening.dropped_in << ": a write that was cut off from offset " << opening.dropped_at
                  << ", " << opening.dropped << " bytes\n";
    }
    std::cout << path << ": ok\n";
    return 0;
}

int dump(const std::string& path, const std::string& space, const std::string& from) {
    ReadOnlyStore view;
    if (const auto result = view.open(path); !result) return report_result(path, result);
    Engine& engine = *view.opened.engine;
    SpaceId id = 0;
    if (const auto result = engine.space(space, SpaceKind::keys, false, id); !result) {
        return report_result(path, result);
    }
    std::string next = from;
    Progress progress;
    for (std::uint64_t printed = 0;;) {
        std::vector<Engine::Item> items;
        if (const auto result = engine.scan(id, next, "", items_per_scan, items); !result) {
            return report_result(path, result);
        }
        for (const auto& item : items) {
            std::cout << json{{"key", item.key}, {"value", item.value}}.dump(-1, ' ', false,
                                                                             json::error_handler_t::replace)
                      << "\n";
        }
        printed += items.size();
        if (items.size() < items_per_scan || !std::cout) return 0;
        progress.report(std::to_string(printed) + " keys");
        next = items.back().key + '\0';
    }
}

int compact(const std::string& path) {
    std::unique_ptr<Files> files;
    if (const int error = open_folder(path, false, files); error != 0) {
        return report_result(path, Result::refused(std::strerror(error)));
    }
    EngineOptions options;
    options.make = false;
    auto opened = Engine::open(*files, options, random_source());
    if (!opened.result) return report_result(path, opened.result);
    Engine& engine = *opened.engine;
    const std::uint64_t before = engine.figures().run_bytes;
    Progress progress;
    engine.compact_all();
    while (engine.has_work()) {
        if (const auto result = engine.step(); !result) return report_result(path, result);
        progress.report(std::to_string(engine.figures().written_bytes) + " bytes written");
    }
    const EngineFigures after = engine.figures();
    std::cout << path << ": " << after.runs << " runs with " << after.run_bytes << " bytes, before " << before
              << "\n";
    return 0;
}

int salvage(const std::string& path, const std::string& to) {
    std::unique_ptr<Files> source, target;
    if (const int error = open_folder(path, false, source); error != 0) {
        return report_result(path, Result::refused(std::strerror(error)));
    }
    if (const int error = open_folder(to, true, target); error != 0) {
        return report_result(to, Result::refused(std::strerror(error)));
    }
    int lines = 0;  // the last line is a summary; each other line reports a loss
    const auto result = store::salvage(*source, *target, random_source(), [&](const std::string& line) {
        ++lines;
        std::cout << line << std::endl;
    });
    if (!result) return report_result(path, result);
    const bool lost = lines > 1;
    std::cout << to << ": " << (lost ? "what could be read" : "all of it") << "\n";
    return lost ? exit_damaged : 0;
}

}  // namespace

void add_store_commands(CLI::App& program, std::function<int()>& action) {
    struct Options {
        std::string folder, to, space = "pools", from;
        bool json = false;
    };
    const auto options = std::make_shared<Options>();
    CLI::App* const store_command =
        program.add_subcommand("store", "Inspect or repair the folder of a store");
    store_command->require_subcommand(1);
    const auto add = [&](const char* name, const char* meaning, std::function<int()> run) {
        CLI::App* const command = store_command->add_subcommand(name, meaning);
        command->add_option("DIR", options->folder, "the store's folder")->required();
        command->callback([&action, run = std::move(run)] { action = run; });
        return command;
    };
    add("stat", "Show figures of the store; works while it is in use", [options] {
        return stat(options->folder, options->json);
    })->add_flag("--json", options->json, "write the result as JSON to standard output");
    add("verify", "Read the whole store and check every hash; works while it is in use",
        [options] { return verify(options->folder); });
    CLI::App* const dump_command =
        add("dump", "Print keys and values, one line of JSON each; works while the store is in use",
            [options] { return dump(options->folder, options->space, options->from); });
    dump_command->add_option("--space", options->space, "the space to print; the balancer uses \"pools\"");
    dump_command->add_option("--from", options->from, "the first key to print");
    add("compact", "Merge the store into as few files as possible; fails while it is in use",
        [options] { return compact(options->folder); });
    add("salvage", "Copy what can be read of a damaged store into a new one, and report what is lost",
        [options] { return salvage(options->folder, options->to); })
        ->add_option("NEW", options->to, "the folder of the new store; it must be empty")
        ->required();
}

}  // namespace flaxdoor::apps
