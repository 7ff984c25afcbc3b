#include "apps/door_commands.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include "door/explain.h"
#include "engine/door_terms.h"
#include "settings/product.h"
#include "settings/reader.h"

namespace flaxdoor::apps {

namespace {

constexpr int faulty = 1;

int explain(const std::string& file, const std::string& load) {
    const auto reading = settings::read_file(file, settings::product_schema());
    if (const auto* const faults = std::get_if<settings::Faults>(&reading)) {
        std::cerr << faults->text(file);
        return faulty;
    }
    const auto& values = std::get<settings::Values>(reading);
    if (!values.given("door")) {
        std::cerr << file << ": there is no door (door); add a table [door]\n";
        return faulty;
    }
    std::ifstream stream(load, std::ios::binary);
    std::ostringstream text;
    if (!(stream && text << stream.rdbuf())) {
        std::cerr << load << ": can't be read\n";
        return faulty;
    }
    const auto read = door::read_script(text.str());
    if (const auto* const faults = std::get_if<std::vector<door::ScriptFault>>(&read)) {
        for (const auto& each : *faults)
            std::cerr << load << ":" << each.line << ": " << each.what << "; " << each.mend << "\n";
        return faulty;
    }
    const auto& script = std::get<door::Script>(read);
    // Whoever the script or the file names is known, but for "others".
    Settings platform;
    const auto name_once = [](auto& list, const std::string& name) {
        const bool known =
            std::any_of(list.begin(), list.end(), [&](const auto& each) { return each.name == name; });
        if (known || name == "others") return;
        list.emplace_back();
        list.back().name = name;
    };
    for (const auto& row : values.rows("door_tenant")) name_once(platform.tenants, row.label());
    for (const auto& row : values.rows("door_class")) name_once(platform.classes, row.label());
    for (const auto& each : script.loads) {
        name_once(platform.tenants, each.tenant);
        name_once(platform.classes, each.class_name);
    }
    try {
        std::cout << door::explain(engine::door_terms(platform, values, [](const std::string&) {}), script);
    } catch (const std::invalid_argument& error) {
        std::cerr << file << ": " << error.what() << "\n";
        return faulty;
    }
    return 0;
}

}  // namespace

void add_door(CLI::App& program, std::function<int()>& todo) {
    struct Options {
        std::string file, load;
    };
    const auto options = std::make_shared<Options>();
    CLI::App* const command = program.add_subcommand("door", "What an operator's file does at the door");
    command->require_subcommand(1);
    CLI::App* const play = command->add_subcommand(
        "explain",
        "Play loads through the door in virtual time: who waits, who is refused, what they are told");
    play->add_option("FILE", options->file, "the operator's file, with [door]")->required();
    play->add_option("--load", options->load, "the script of loads")->required();
    play->callback([options, &todo] { todo = [options] { return explain(options->file, options->load); }; });
}

}  // namespace flaxdoor::apps
