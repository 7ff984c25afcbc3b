// The command-line tool for operators: checks and inspects files without running a balancer.
// Exit status: 0: done, or the file is valid; 1: the file has faults; 2: invalid command line; `store` has more
//   (store_commands.h).
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
#include "extensions/gateway.h"
#include "extensions/postgres.h"
#include "log/logger.h"
#include "settings/page.h"
#include "settings/product.h"
#include "settings/reader.h"

namespace {

using namespace flaxdoor::settings;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

// Adds a command to the program. A command that was given sets `action` to what it does.
using Action = std::function<int()>;
using AddCommand = void (*)(CLI::App& program, Action& action);

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
                                     {"mend", fault.remedy}});
        }
    }
    return all.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

int check(const std::string& file, bool json) {
    Reading reading = read_file(file, product_schema());
    // Also validates what the settings of these tables refer to, such as files and event names.
    const auto check_table = [&](const char* table, auto options_of) {
        const auto* const values = std::get_if<Values>(&reading);
        if (!values || !values->given(table)) return;
        auto options = options_of(*values);
        if (auto* const found = std::get_if<Faults>(&options)) reading = std::move(*found);
    };
    check_table("log", flaxdoor::log::options_from);
    check_table("postgres",
                [](const Values& values) { return flaxdoor::extensions::postgres_options(values, 0); });
    check_table("gateway",
                [](const Values& values) { return flaxdoor::extensions::gateway_options(values, 0); });
    const Faults* const faults = std::get_if<Faults>(&reading);
    const std::size_t settings = faults ? 0 : std::get<Values>(reading).count_given();
    if (json) {
        std::cout << as_json(file, faults, settings);
    } else if (faults) {
        std::cerr << faults->text(file);
    } else {
        std::cout << file << ": ok (" << settings << (settings == 1 ? " setting)\n" : " settings)\n");
    }
    return faults ? exit_failure : 0;
}

void add_check(CLI::App& program, Action& action) {
    struct Options {
        std::string file;
        bool json = false;
    };
    const auto options = std::make_shared<Options>();
    CLI::App* const command = program.add_subcommand("check", "Report all faults of an operator's file");
    command->add_option("FILE", options->file, "the operator's file, as for flaxdoor_balancer --operator")
        ->required();
    command->add_flag("--json", options->json, "write the result as JSON to standard output");
    command->callback(
        [options, &action] { action = [options] { return check(options->file, options->json); }; });
}

void add_settings(CLI::App& program, Action& action) {
    struct Options {
        bool page = false;
        bool example = false;
    };
    const auto options = std::make_shared<Options>();
    CLI::App* const command = program.add_subcommand("settings", "List the settings of an operator's file");
    CLI::Option* const page_flag =
        command->add_flag("--page", options->page, "as a page of the manual, in Markdown");
    command->add_flag("--example", options->example, "as an operator's file with all defaults")
        ->excludes(page_flag);
    command->callback([options, &action] {
        action = [options] {
            const Schema schema = product_schema();
            std::cout << (options->page      ? page(schema)
                          : options->example ? example(schema)
                                             : listing(schema));
            return 0;
        };
    });
}

// Runs the lab, a separate program in the same folder, so that this program does not link it.
void add_lab(CLI::App& program, Action& action) {
    CLI::App* const command =
        program.add_subcommand("lab", "Simulate a fleet in virtual time (flaxdoor-lab)");
    command->prefix_command();
    command->callback([command, &action] {
        action = [arguments = command->remaining()]() -> int {
            std::error_code error;
            const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
            const std::string lab = (self.parent_path() / "flaxdoor-lab").string();
            std::vector<char*> argument_list{const_cast<char*>(lab.c_str())};
            for (const std::string& argument : arguments)
                argument_list.push_back(const_cast<char*>(argument.c_str()));
            argument_list.push_back(nullptr);
            ::execv(lab.c_str(), argument_list.data());
            std::cerr << "flaxdoor: " << lab << " can't be started: " << std::strerror(errno)
                      << "; build with -DFLAXDOOR_LAB=ON\n";
            return exit_failure;
        };
    });
}

void add_version(CLI::App& program, Action& action) {
    program.add_subcommand("version", "Print the version")->callback([&action] {
        action = [] {
            std::cout << "flaxdoor " FLAXDOOR_VERSION "\n";
            return 0;
        };
    });
}

constexpr AddCommand commands[] = {add_check,
                                   add_settings,
                                   flaxdoor::apps::add_door_commands,
                                   flaxdoor::apps::add_route_commands,
                                   flaxdoor::apps::add_store_commands,
                                   flaxdoor::apps::add_coordinator_commands,
                                   add_lab,
                                   add_version};

}  // namespace

int main(int argc, char** argv) {
    CLI::App program("flaxdoor: operator's tool, works without a running balancer", "flaxdoor");
    program.require_subcommand(1);
    Action action;
    for (const AddCommand add : commands) add(program, action);
    try {
        program.parse(argc, argv);
        const int status = action();
        std::cout.flush();
        if (std::cout) return status;
        std::cerr << "flaxdoor: standard output cannot be written\n";
        return exit_failure;
    } catch (const CLI::ParseError& error) {
        return program.exit(error) == 0 ? 0 : exit_usage;
    } catch (const std::exception& error) {
        std::cerr << "flaxdoor: " << error.what() << "\n";
        return exit_failure;
    }
}
