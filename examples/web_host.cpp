// A web server with an embedded balancer: RESTinio serves the application's pages, and the balancer sends
// requests of /api to the upstream at ADDRESS:PORT. Usage: web_host PORT ADDRESS:PORT. SIGTERM and SIGINT
// shut it down gracefully: it exits once all requests have been answered.
#include <flaxdoor/middleware/restinio.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace middleware = flaxdoor::middleware;

namespace {

struct Traits : restinio::default_single_thread_traits_t {
    using stream_socket_t = middleware::Socket;
    using request_handler_t = restinio::sync_chain::fixed_size_chain_t<2>;
    using connection_state_listener_t = middleware::Departures;
};

flaxdoor::BalancerOptions options_for(const char* node) {
    flaxdoor::BalancerOptions options;
    options.settings.classes = {{.name = "look",
                                 .aim = std::chrono::milliseconds(100),
                                 .deadline = std::chrono::milliseconds(500),
                                 .late_worth = 0.5,
                                 .effect = flaxdoor::Effect::safe}};
    options.settings.max_attempts = 3;
    options.settings.may_cancel = true;
    options.zones = {"here"};
    options.servers.servers = {{.name = "node-1", .address = node, .zone = "here", .kind = "any"}};
    options.keep_taking = std::chrono::milliseconds(450);
    return options;
}

restinio::request_handling_status_t pages(const restinio::request_handle_t& request) {
    return request->create_response().set_body("a page of the application\n").done();
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return std::puts("usage: web_host PORT ADDRESS:PORT"), 2;
    boost::asio::io_context loop(1);
    const auto options = options_for(argv[2]);
    flaxdoor::Balancer balancer(loop.get_executor(), options);
    const auto mount = std::make_shared<middleware::Mount>(loop.get_executor(), balancer);
    restinio::http_server_t<Traits> server(restinio::external_io_context(loop), [&](auto& settings) {
        middleware::set_limits(settings, options.settings)
            .address("127.0.0.1")
            .port(static_cast<std::uint16_t>(std::atoi(argv[1])))
            .connection_state_listener(std::make_shared<middleware::Departures>(mount))
            .request_handler(middleware::Handler(mount), pages);
    });
    server.open_sync();
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) {
        balancer.async_drain([&] {
            server.close_sync();
            mount->wind_down();
            mount->when_quiet([&] { loop.stop(); });
        });
    });
    loop.run();
    return 0;
}
