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

// SIGHUP brings a new configuration, SIGTERM and SIGINT the end; each as often as it comes.
class Signals {
public:
    explicit Signals(boost::asio::io_context& loop) : signals_(loop, SIGTERM, SIGINT, SIGHUP) {}

    void pass_to(Host& host) {
        signals_.async_wait([this, &host](const boost::system::error_code& error, int signal) {
            if (error) return;
            if (signal == SIGHUP) {
                reload(host);
            } else {
                host.drain();
            }
            pass_to(host);
        });
    }

private:
    // One that can't be read changes nothing.
    static void reload(Host& host) {
        try {
            host.reconfigure(configuration());
        } catch (const std::exception& error) {
            log(std::string("the old configuration stays: ") + error.what());
        }
    }

    boost::asio::signal_set signals_;
};

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        boost::asio::io_context loop(1);
        Signals signals(loop);  // kept for when the host is there to take them
        Host host(loop, configuration());
        signals.pass_to(host);
        loop.run();
    } catch (const std::exception& error) {
        log(std::string("flaxdoor: ") + error.what());
        return 1;
    }
    return 0;
}
