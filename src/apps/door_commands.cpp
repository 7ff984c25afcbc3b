#include "apps/door_commands.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include "door/explain.h"
#include "engine/admission_queue_options.h"
#include "settings/product.h"
#include "settings/reader.h"

namespace flaxdoor::apps {

namespace {

constexpr int exit_failure = 1;

int explain(const std::string& file, const std::string& load) {
    const auto reading = settings::read_file(file, settings::product_schema());
    if (const auto* const faults = std::get_if<settings::Faults>(&reading)) {
        std::cerr << faults->text(file);
        return exit_failure;
    }
    const auto& values = std::get<settings::Values>(reading);
    if (!values.given("door")) {
        std::cerr << file << ": there is no table [door] (door); add it\n";
        return exit_failure;
    }
    std::ifstream stream(load, std::ios::binary);
    std::ostringstream text;
    if (!(stream && text << stream.rdbuf())) {
        std::cerr << load << ": can't be read\n";
        return exit_failure;
    }
    const auto parsed = door::read_script(text.str());
    if (const auto* const faults = std::get_if<std::vector<door::ScriptFault>>(&parsed)) {
        for (const auto& each : *faults)
            std::cerr << load << ":" << each.line << ": " << each.what << "; " << each.mend << "\n";
        return exit_failure;
    }
    const auto& script = std::get<door::Script>(parsed);
    // Stands in for the platform's settings: names each tenant and class that the script or the file names, except "others".
    Settings platform;
    const auto add_once = [](auto& list, const std::string& name) {
        const bool known =
            std::any_of(list.begin(), list.end(), [&](const auto& each) { return each.name == name; });
        if (known || name == "others") return;
        list.emplace_back();
        list.back().name = name;
    };
    for (const auto& row : values.rows("door_tenant")) add_once(platform.tenants, row.label());
    for (const auto& row : values.rows("door_class")) add_once(platform.classes, row.label());
    for (const auto& each : script.loads) {
        add_once(platform.tenants, each.tenant);
        add_once(platform.classes, each.class_name);
    }
    try {
        std::cout << door::explain(
            engine::admission_queue_options(platform, values, [](const std::string&) {}), script);
    } catch (const std::invalid_argument& error) {
        std::cerr << file << ": " << error.what() << "\n";
        return exit_failure;
    }
    return 0;
}

}  // namespace

void add_door_commands(CLI::App& program, std::function<int()>& action) {
    struct Options {
        std::string file, load;
    };
    const auto options = std::make_shared<Options>();
    CLI::App* const command =
        program.add_subcommand("door", "Show how an operator's file configures the admission queue");
    command->require_subcommand(1);
    CLI::App* const explain_command =
        command->add_subcommand("explain",
                                "Run loads through the admission queue in virtual time: which requests wait "
                                "or are rejected, with which retry times");
    explain_command->add_option("FILE", options->file, "the operator's file, with [door]")->required();
    explain_command->add_option("--load", options->load, "the load script")->required();
    explain_command->callback(
        [options, &action] { action = [options] { return explain(options->file, options->load); }; });
}

}  // namespace flaxdoor::apps
