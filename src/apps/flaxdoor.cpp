// The command line: what an operator asks of this program's files without running a balancer.
//   0: done, or the file is in order; 1: the file has faults; 2: the command was not understood; `store` has
//   more: store_commands.h.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "apps/coordinator_commands.h"
#include "apps/door_commands.h"
#include "apps/route_commands.h"
#include "apps/store_commands.h"
#include "log/logger.h"
#include "settings/page.h"
#include "settings/product.h"
#include "settings/reader.h"
#include "sides/gateway.h"
#include "sides/postgres.h"

namespace {

using namespace flaxdoor::settings;

constexpr int faulty = 1;
constexpr int not_understood = 2;

// A command adds itself to the program and sets what is to be done when it was given.
using Todo = std::function<int()>;
using Command = void (*)(CLI::App& program, Todo& todo);

std::string as_json(const std::string& file, const Faults* faults, std::size_t settings) {
    using nlohmann::json;
    json all{{"file", file}, {"ok", faults == nullptr}, {"faults", json::array()}, {"more", 0}};
    if (!faults) all["settings"] = settings;
    if (faults) {
        all["more"] = faults->more();
        for (const Fault& fault : faults->first()) {
            all["faults"].push_back({{"line", fault.at.line},
                                     {"column", fault.at.column},
                                     {"what", fault.what},
                                     {"key", fault.key},
                                     {"mend", fault.mend}});
        }
    }
    return all.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

int check(const std::string& file, bool json) {
    Reading reading = read_file(file, product_schema());
    // What it names is looked at, too.
    const auto look = [&](const char* table, auto options_of) {
        const auto* const values = std::get_if<Values>(&reading);
        if (!values || !values->given(table)) return;
        auto made = options_of(*values);
        if (auto* const found = std::get_if<Faults>(&made)) reading = std::move(*found);
    };
    look("log", flaxdoor::log::options_from);
    look("postgres", [](const Values& values) { return flaxdoor::sides::postgres_options(values, 0); });
    look("gateway", [](const Values& values) { return flaxdoor::sides::gateway_options(values, 0); });
    const Faults* const faults = std::get_if<Faults>(&reading);
    const std::size_t settings = faults ? 0 : std::get<Values>(reading).count_given();
    if (json) {
        std::cout << as_json(file, faults, settings);
    } else if (faults) {
        std::cerr << faults->text(file);
    } else {
        std::cout << file << ": ok (" << settings << (settings == 1 ? " setting)\n" : " settings)\n");
    }
    return faults ? faulty : 0;
}

void add_check(CLI::App& program, Todo& todo) {
    struct Options {
        std::string file;
        bool json = false;
    };
    const auto options = std::make_shared<Options>();
    CLI::App* const command =
        program.add_subcommand("check", "Say all that is wrong with an operator's file");
    command->add_option("FILE", options->file, "the file, as for flaxdoor_balancer --operator")->required();
    command->add_flag("--json", options->json, "write the result as JSON on standard output");
    command->callback([options, &todo] { todo = [options] { return check(options->file, options->json); }; });
}

void add_settings(CLI::App& program, Todo& todo) {
    struct Options {
        bool page = false;
        bool example = false;
    };
    const auto options = std::make_shared<Options>();
    CLI::App* const command = program.add_subcommand("settings", "List the settings of an operator's file");
    CLI::Option* const page_flag = command->add_flag("--page", options->page, "as the page of the manual");
    command->add_flag("--example", options->example, "as a file with all defaults")->excludes(page_flag);
    command->callback([options, &todo] {
        todo = [options] {
            const Schema schema = product_schema();
            std::cout << (options->page      ? page(schema)
                          : options->example ? example(schema)
                                             : listing(schema));
            return 0;
        };
    });
}

// The lab is a program of its own, which stands beside this one: this one knows nothing of it.
void add_lab(CLI::App& program, Todo& todo) {
    CLI::App* const command = program.add_subcommand("lab", "Play a fleet under virtual time (flaxdoor-lab)");
    command->prefix_command();
    command->callback([command, &todo] {
        todo = [words = command->remaining()]() -> int {
            std::error_code error;
            const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
            const std::string lab = (self.parent_path() / "flaxdoor-lab").string();
            std::vector<char*> all{const_cast<char*>(lab.c_str())};
            for (const std::string& word : words) all.push_back(const_cast<char*>(word.c_str()));
            all.push_back(nullptr);
            ::execv(lab.c_str(), all.data());
            std::cerr << "flaxdoor: " << lab << " can't be started: " << std::strerror(errno)
                      << "; build with -DFLAXDOOR_LAB=ON\n";
            return faulty;
        };
    });
}

void add_version(CLI::App& program, Todo& todo) {
    program.add_subcommand("version", "Say the version")->callback([&todo] {
        todo = [] {
            std::cout << "flaxdoor " FLAXDOOR_VERSION "\n";
            return 0;
        };
    });
}

constexpr Command commands[] = {add_check,
                                add_settings,
                                flaxdoor::apps::add_door,
                                flaxdoor::apps::add_routes,
                                flaxdoor::apps::add_store,
                                flaxdoor::apps::add_coordinator,
                                add_lab,
                                add_version};

}  // namespace

int main(int count, char** words) {
    CLI::App program("flaxdoor: what an operator asks without running a balancer", "flaxdoor");
    program.require_subcommand(1);
    Todo todo;
    for (const Command add : commands) add(program, todo);
    try {
        program.parse(count, words);
        const int status = todo();
        std::cout.flush();
        if (std::cout) return status;
        std::cerr << "flaxdoor: standard output cannot be written\n";
        return faulty;
    } catch (const CLI::ParseError& error) {
        return program.exit(error) == 0 ? 0 : not_understood;
    } catch (const std::exception& error) {
        std::cerr << "flaxdoor: " << error.what() << "\n";
        return faulty;
    }
}
