// flaxdoor_standin_pg_server: a PostgreSQL server's stand-in as a program, to be tried by hand and measured
// with. It understands what standins/pg_server.h says, and serves until it is ended.
#include "standins/pg_server.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <functional>

#include "common.h"

int main(int argc, char** argv) {
    CLI::App app{"A stand-in of a PostgreSQL server. See standins/pg_server.h."};
    ::standins::pg::ServerOptions options;
    app.add_option("--port", options.port, "on 127.0.0.1; 0: any that is free");
    app.add_flag("--standby", options.standby, "of a primary that is elsewhere");
    CLI11_PARSE(app, argc, argv);
    try {
        boost::asio::io_context loop(1);
        ::standins::pg::Journal journal;
        ::standins::pg::Server server(loop.get_executor(), journal, options);
        // Nobody reads the journal here: it must not grow for as long as the program runs.
        boost::asio::steady_timer timer(loop);
        std::function<void()> forget = [&] {
            journal.texts.clear();
            journal.effects.clear();
            timer.expires_after(std::chrono::milliseconds(500));
            timer.async_wait([&](auto error) {
                if (!error) forget();
            });
        };
        forget();
        flaxdoor::standins::say("listening on 127.0.0.1:" + std::to_string(server.port()));
        const flaxdoor::standins::EndSignal end(loop, [&] { loop.stop(); });
        loop.run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flaxdoor_standin_pg_server: %s\n", error.what());
        return 1;
    }
    return 0;
}
