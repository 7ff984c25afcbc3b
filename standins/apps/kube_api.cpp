// A stand-in API server to be tried by hand: puts the resources of the files that are named, and serves until
// it is ended. With --events it plays each further file when a line comes on standard input.
#include "standins/kube_api.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

int main(int count, char** words) {
    CLI::App app("A stand-in of a Kubernetes API server");
    std::string listen = "127.0.0.1:0", certificate, key, token;
    std::vector<std::string> files;
    app.add_option("--listen", listen, "ADDRESS:PORT; port 0: any that is free");
    app.add_option("--certificate", certificate, "PEM; with --key: TLS");
    app.add_option("--key", key, "PEM");
    app.add_option("--token", token, "that requests must carry");
    app.add_option("FILES", files, "resources in YAML");
    CLI11_PARSE(app, count, words);
    try {
        boost::asio::io_context loop;
        flaxdoor::standins::KubeApi::Settings settings;
        const auto colon = listen.rfind(':');
        settings.listen = {boost::asio::ip::make_address(listen.substr(0, colon)),
                           static_cast<unsigned short>(std::stoi(listen.substr(colon + 1)))};
        settings.certificate = certificate;
        settings.key = key;
        settings.token = token;
        flaxdoor::standins::KubeApi api(loop, settings);
        for (const auto& file : files) {
            std::ifstream in(file);
            std::ostringstream text;
            if (!in || !(text << in.rdbuf())) throw std::runtime_error(file + " can't be read");
            api.play(text.str());
        }
        std::cout << "listening on " << api.address().address().to_string() << ":" << api.address().port()
                  << std::endl;
        boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
        signals.async_wait([&](auto, int) { loop.stop(); });
        loop.run();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
