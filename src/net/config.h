// The configuration as the platform hands it over: JSON in, Settings and addresses out.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "flaxdoor/decide.h"
#include "net/clients.h"
#include "net/discovery.h"

namespace flaxdoor::net {

struct Config {
    std::string name;
    Settings settings;
    std::uint64_t seed = 0;
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint discovery;
    std::size_t sockets = 1024;
    ClientLimits clients;  // `most` follows from `sockets`

    // As the settings name them, in their order: what messages hold are these names.
    std::vector<std::string> report_fields;
    ListNames names;
    List known;
};

// Throws std::runtime_error or std::invalid_argument, saying in one line what is missing or can't be read.
Config parse_config(std::string_view text);
Config load_config(const std::string& path);

// Nested JSON as the lines path=value that the simulator's wire has, for the one reader of settings.
std::string flatten(const nlohmann::json& settings);

// a.b.c.d:port
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& text);
std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace flaxdoor::net
