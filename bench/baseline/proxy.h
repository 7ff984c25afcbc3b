// The words on the command line that the baselines' proxies share.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "sockets.h"

namespace flaxdoor::bench {

// Runs a Proxy(listener, servers) until it is killed; says first where it listens.
template <typename Proxy>
int run_proxy(int argc, char** argv, const char* what) {
    CLI::App app(what);
    std::vector<std::string> servers;
    std::string listen = "127.0.0.1:0";
    app.add_option("--server", servers, "ADDRESS:PORT, again for each")->required();
    app.add_option("--listen", listen, "ADDRESS:PORT; port 0: any that is free");
    CLI11_PARSE(app, argc, argv);
    try {
        all_descriptors();
        std::vector<sockaddr_in> addresses;
        for (const auto& each : servers) addresses.push_back(address_of(each));
        std::uint16_t port = 0;
        const int listener = listen_on(address_of(listen), port);
        std::printf("listening on 127.0.0.1:%d\n", port);
        std::fflush(stdout);
        Proxy(listener, addresses).run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s: %s\n", argv[0], error.what());
    }
    return 1;
}

}  // namespace flaxdoor::bench
