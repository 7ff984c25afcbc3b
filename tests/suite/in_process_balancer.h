// A balancer in the test's process, on an event loop and a thread of its own. Hosted implements what all host
// programs do with a balancer; a subclass of Host implements the kind of host.
//
// Each test also verifies that the process has never had a child, that the address under test is a socket on which this
// process listens, and that each call that the instance counts as taken has exactly one end in its figures.
#pragma once

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

#include "balancer_under_test.h"
#include "flaxdoor/balancer.h"
#include "standins/socket_faults/linked.h"

namespace flaxdoor::test {

// A host program. All functions run on the host's thread. The constructor throws when the host cannot start.
class Host {
public:
    virtual ~Host() = default;
    virtual boost::asio::ip::tcp::endpoint address() const = 0;
    virtual Balancer& balancer() = 0;
    // Graceful shutdown, and immediate shutdown. They may be called in any order and repeatedly.
    virtual void drain() = 0;
    virtual void close() = 0;
};
using HostMaker =
    std::function<std::unique_ptr<Host>(boost::asio::io_context& loop, const BalancerOptions& options)>;

class InProcessBalancer final : public BalancerUnderTest {
public:
    InProcessBalancer(boost::asio::io_context& loop, HostMaker make) : loop_(loop), make_(std::move(make)) {}

    ~InProcessBalancer() override {
        if (!thread_.joinable()) return;
        go_on();
        // Has no effect if the loop has already ended.
        if (host_) boost::asio::post(host_loop_, [this] { host_->close(); });
        if (done_.get_future().wait_for(std::chrono::seconds(100)) != std::future_status::ready) {
            ADD_FAILURE() << "pending work keeps the host's event loop running";
            host_loop_.stop();
        }
        thread_.join();
        if (host_) check_invariants();
    }

    pid_t process() const override { return ::getpid(); }

    std::optional<boost::asio::ip::tcp::endpoint> start(const LaunchOptions& options) override {
        if (thread_.joinable()) throw std::logic_error("the form was started twice");
        operators_ = options.operators.value_or("");
        for (const auto& [name, value] : options.environment) {
            if (name == "FLAXDOOR_FAIL") fault_plan_ = value;
            if (name == "FLAXDOOR_CALLS") counts_path_ = value;
        }
        std::promise<std::optional<boost::asio::ip::tcp::endpoint>> listens;
        auto address_future = listens.get_future();
        thread_ = std::thread([this, config = options.config, &listens] { run(config, std::move(listens)); });
        const auto address = address_future.get();
        if (address) {
            EXPECT_TRUE(is_listening_socket_here(*address))
                << *address << " is not a listening socket of this process";
        } else {
            loop_.restart();
            while (!ended_) loop_.run_one();
        }
        return address;
    }

    // Runs in the test's thread, which is not the instance's.
    void take(const std::string& config) override {
        if (ended_) return;
        try {
            host_->balancer().reconfigure(options_of(config));
        } catch (const std::exception& error) {
            log_.push_back(std::string("the old configuration stays: ") + error.what());
        }
    }

    void end() override {
        if (ended_) return;
        boost::asio::post(host_loop_, [this] { host_->drain(); });
    }

    void hold() override {
        std::promise<void> suspended;
        boost::asio::post(host_loop_, [&suspended, resumed = resume_.emplace().get_future().share()] {
            suspended.set_value();
            resumed.wait();
        });
        suspended.get_future().wait();
    }
    void go_on() override {
        if (resume_) resume_->set_value();
        resume_.reset();
    }

    // The balancer of the started host. Only its thread-safe functions may be called.
    Balancer& balancer() { return host_->balancer(); }

    bool ended() const override { return ended_; }
    int status() const override { return status_; }
    const std::vector<std::string>& log() const override { return log_; }

private:
    using Address = std::optional<boost::asio::ip::tcp::endpoint>;

    // Wraps a handler for the test's loop; it has no effect once this object is destroyed.
    template <typename Call>
    auto guard(Call call) const {
        return [alive = std::weak_ptr<void>(lifetime_), call = std::move(call)] {
            if (!alive.expired()) call();
        };
    }
    void append_log(std::string line) {
        boost::asio::post(loop_, guard([this, line = std::move(line)] { log_.push_back(line); }));
    }

    BalancerOptions options_of(const std::string& config) {
        BalancerOptions options = options_from(config);
        options.operators = operators_;
        options.figures_every = std::chrono::milliseconds(50);
        options.log = [this](std::string_view, std::string_view line) { append_log(std::string(line)); };
        return options;
    }

    // The main function of the host's thread.
    void run(const std::string& config, std::promise<Address> listens) {
        std::optional<standins::sockets::FaultsHere> faults;
        if (!counts_path_.empty()) faults.emplace(fault_plan_, counts_path_);
        int status = 0;
        try {
            host_ = make_(host_loop_, options_of(config));
            listens.set_value(host_->address());
            // run() must return without stop(): a balancer that has shut down must not leave work on the host's loop.
            host_loop_.run();
        } catch (const std::exception& error) {
            append_log(std::string("flaxdoor: ") + error.what());
            status = 1;
            if (!host_) listens.set_value(std::nullopt);
        }
        boost::asio::post(loop_, guard([this, status] {
                              status_ = status;
                              ended_ = true;
                          }));
        done_.set_value();
    }

    static bool is_listening_socket_here(const boost::asio::ip::tcp::endpoint& address) {
        for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
            const int fd = std::stoi(entry.path().filename().string());
            boost::asio::ip::tcp::endpoint socket_address;
            auto length = static_cast<socklen_t>(socket_address.capacity());
            int listens = 0;
            socklen_t size = sizeof listens;
            if (::getsockname(fd, socket_address.data(), &length) == 0 && socket_address == address &&
                ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0) {
                return true;
            }
        }
        return false;
    }

    void check_invariants() {
        siginfo_t any{};
        EXPECT_TRUE(::waitid(P_ALL, 0, &any, WEXITED | WNOHANG | WNOWAIT) == -1 && errno == ECHILD)
            << "the process has a child";
        rusage children{};
        EXPECT_EQ(::getrusage(RUSAGE_CHILDREN, &children), 0);
        EXPECT_EQ(children.ru_maxrss, 0) << "the process has had a child";
        const BalancerFigures figures = host_->balancer().figures();
        const auto ends = figures.served + figures.refused + figures.failed + figures.left;
        EXPECT_GE(figures.taken, ends);
        EXPECT_LE(figures.taken, ends + figures.open);
        EXPECT_EQ(figures.faults, 0U);
        EXPECT_EQ(figures.overdue, 0U);
        testing::Test::RecordProperty("taken", std::to_string(figures.taken));
    }

    boost::asio::io_context& loop_;
    const HostMaker make_;
    boost::asio::io_context host_loop_{1};
    std::string operators_, fault_plan_, counts_path_;
    // Created by its thread. The test's thread uses only its thread-safe functions.
    std::unique_ptr<Host> host_;
    std::thread thread_;
    std::promise<void> done_;  // set at the end of the thread
    std::optional<std::promise<void>> resume_;
    std::vector<std::string> log_;
    bool ended_ = false;
    int status_ = 0;
    const std::shared_ptr<void> lifetime_ = std::make_shared<char>();
};

}  // namespace flaxdoor::test
