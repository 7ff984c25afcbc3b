// The balancer as a program: its own process, configuration by file and environment, signals, log on stderr.
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string_view>

#include "../store/folder_here.h"
#include "form.h"
#include "standins/program.h"
#include "standins/run_until.h"

namespace flaxdoor::test {

namespace {

namespace asio = boost::asio;

constexpr std::string_view listening = "listening on ";

std::vector<std::string> environment_with(const std::vector<std::pair<std::string, std::string>>& more) {
    std::vector<std::string> all;
    for (char** at = environ; *at; ++at) {
        const std::string_view entry = *at;
        if (!entry.starts_with("NODE_")) all.emplace_back(entry);
    }
    for (const auto& [name, value] : more) all.push_back(name + "=" + value);
    return all;
}

class Daemon final : public Form {
public:
    explicit Daemon(asio::io_context& loop) : loop_(loop), program_(loop) {}

    pid_t process() const override { return program_.process(); }

    std::optional<asio::ip::tcp::endpoint> start(const Launch& launch) override {
        const char* const chosen = std::getenv("FLAXDOOR_SUITE_PROGRAM");
        std::vector<std::string> words = {chosen ? chosen : SUITE_PROGRAM};
        if (launch.operators) {
            words.emplace_back("--operator");
            words.push_back(put("operators.toml", *launch.operators));
        }
        auto variables = environment_with(launch.environment);
        variables.push_back("NODE_CONFIG=" + put("config.json", launch.config));
        program_.start(std::move(words), std::move(variables));
        std::optional<asio::ip::tcp::endpoint> address;
        if (!standins::run_until(loop_, [&] { return (address = address_told()) || ended(); })) {
            throw std::runtime_error("it never listened");
        }
        return address;
    }

    void take(const std::string& config) override {
        put("config.json", config);
        program_.signal(SIGHUP);
    }
    void end() override { program_.signal(SIGTERM); }
    void hold() override { program_.stop(); }
    void go_on() override { program_.signal(SIGCONT); }

    bool ended() const override { return program_.ended(); }
    int status() const override { return program_.status(); }
    const std::vector<std::string>& log() const override { return program_.log(); }

private:
    // Whoever reads the file at any time finds one text or the other, whole.
    std::string put(const std::string& name, const std::string& text) const {
        const std::string path = folder_.path() + "/" + name;
        std::filesystem::rename(folder_.write(name + ".new", text), path);
        return path;
    }

    std::optional<asio::ip::tcp::endpoint> address_told() const {
        for (const auto& line : log()) {
            if (!line.starts_with(listening)) continue;
            const auto colon = line.rfind(':');
            return asio::ip::tcp::endpoint(
                asio::ip::make_address(line.substr(listening.size(), colon - listening.size())),
                static_cast<unsigned short>(std::stoul(line.substr(colon + 1))));
        }
        return std::nullopt;
    }

    asio::io_context& loop_;
    const store::test::FolderHere folder_;
    standins::Program program_;
};

}  // namespace

std::unique_ptr<Form> make_form(asio::io_context& loop) { return std::make_unique<Daemon>(loop); }
std::vector<CannotHold> cannot_hold() { return {}; }

}  // namespace flaxdoor::test
