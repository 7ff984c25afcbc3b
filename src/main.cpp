// One real balancer: environment, configuration, signals, the loop.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

#include "net/config.h"
#include "net/host.h"
#include "net/http.h"

namespace {

using namespace flaxdoor::net;

Config configuration() {
    const char* const path = std::getenv("NODE_CONFIG");
    if (!path) throw std::runtime_error("NODE_CONFIG is not set");
    try {
        return load_config(path);
    } catch (const std::exception& error) {
        throw std::runtime_error("configuration " + std::string(path) + ": " + error.what());
    }
}

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        boost::asio::io_context loop(1);
        boost::asio::signal_set signals(loop, SIGTERM, SIGINT);  // kept for when the host is there to drain
        Host host(loop, configuration());
        signals.async_wait([&](const boost::system::error_code& error, int) {
            if (!error) host.drain();
        });
        loop.run();
    } catch (const std::exception& error) {
        log(std::string("flaxdoor: ") + error.what());
        return 1;
    }
    return 0;
}
