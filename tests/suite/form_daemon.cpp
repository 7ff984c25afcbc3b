// The balancer as a program: a separate process, configured by files and environment variables, controlled by signals,
// with its log on stderr.
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string_view>

#include "../store/folder_here.h"
#include "balancer_under_test.h"
#include "standins/program.h"
#include "standins/run_until.h"

namespace flaxdoor::test {

namespace {

namespace asio = boost::asio;

constexpr std::string_view listening_prefix = "listening on ";

std::vector<std::string> environment_with(
    const std::vector<std::pair<std::string, std::string>>& additional) {
    std::vector<std::string> all;
    for (char** variable = environ; *variable; ++variable) {
        const std::string_view entry = *variable;
        if (!entry.starts_with("NODE_")) all.emplace_back(entry);
    }
    for (const auto& [name, value] : additional) all.push_back(name + "=" + value);
    return all;
}

class Daemon final : public BalancerUnderTest {
public:
    explicit Daemon(asio::io_context& loop) : loop_(loop), program_(loop) {}

    pid_t process() const override { return program_.process(); }

    std::optional<asio::ip::tcp::endpoint> start(const LaunchOptions& options) override {
        const char* const selected_program = std::getenv("FLAXDOOR_SUITE_PROGRAM");
        std::vector<std::string> arguments = {selected_program ? selected_program : SUITE_PROGRAM};
        if (options.operators) {
            arguments.emplace_back("--operator");
            arguments.push_back(write_file("operators.toml", *options.operators));
        }
        auto variables = environment_with(options.environment);
        variables.push_back("NODE_CONFIG=" + write_file("config.json", options.config));
        program_.start(std::move(arguments), std::move(variables));
        std::optional<asio::ip::tcp::endpoint> address;
        if (!standins::run_until(loop_, [&] { return (address = logged_address()) || ended(); })) {
            throw std::runtime_error("the balancer did not start listening in time");
        }
        return address;
    }

    void take(const std::string& config) override {
        write_file("config.json", config);
        program_.signal(SIGHUP);
    }
    void end() override { program_.signal(SIGTERM); }
    void hold() override { program_.stop(); }
    void go_on() override { program_.signal(SIGCONT); }

    bool ended() const override { return program_.ended(); }
    int status() const override { return program_.status(); }
    const std::vector<std::string>& log() const override { return program_.log(); }

private:
    // Writes a file atomically: a reader finds either the previous or the new content.
    std::string write_file(const std::string& name, const std::string& text) const {
        const std::string path = folder_.path() + "/" + name;
        std::filesystem::rename(folder_.write(name + ".new", text), path);
        return path;
    }

    std::optional<asio::ip::tcp::endpoint> logged_address() const {
        for (const auto& line : log()) {
            if (!line.starts_with(listening_prefix)) continue;
            const auto colon = line.rfind(':');
            return asio::ip::tcp::endpoint(
                asio::ip::make_address(line.substr(listening_prefix.size(), colon - listening_prefix.size())),
                static_cast<unsigned short>(std::stoul(line.substr(colon + 1))));
        }
        return std::nullopt;
    }

    asio::io_context& loop_;
    const store::test::FolderHere folder_;
    standins::Program program_;
};

}  // namespace

std::unique_ptr<BalancerUnderTest> make_form(asio::io_context& loop) {
    return std::make_unique<Daemon>(loop);
}
std::vector<UnsupportedTest> unsupported_tests() { return {}; }

}  // namespace flaxdoor::test
