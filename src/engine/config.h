// Reads the platform's configuration (the file that NODE_CONFIG names): JSON to settings and addresses. The platform's
// deployment page defines the format.
//
// Errors: std::runtime_error or std::invalid_argument with a one-line message: what is missing or cannot be read.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/call.h"
#include "flaxdoor/decide.h"
#include "loop/sockets.h"
#include "membership/list.h"

namespace flaxdoor::engine {

struct Config {
    std::string name;
    Settings settings;
    std::uint64_t seed = 0;
    loop::tcp::endpoint listen;
    loop::tcp::endpoint discovery;
    std::size_t sockets = 1024;    // limit on open file descriptors
    std::size_t memory_bytes = 0;  // limit on the process's memory; 0: none

    // The names that messages use, in the order of the settings.
    std::vector<std::string> report_fields;
    membership::ListNames names;
    core::MemberList known;  // of kind `cached`
};

[[nodiscard]] Config parse_config(std::string_view text);
[[nodiscard]] Config load_config(const std::string& path);

// Flattens nested JSON to lines path=value, the format of the simulator's messages, so that one reader serves both.
[[nodiscard]] std::string flatten(const nlohmann::json& settings);

}  // namespace flaxdoor::engine
