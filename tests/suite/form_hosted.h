// A balancer inside this process, on a loop and a thread of its own: what a host program does with it, as far
// as all hosts do the same. What kind of host it is its subclass says.
//
// Held to at the end of each test, beside what the tests themselves see: this process has never had a child,
// the address under test is a socket that this process listens on, and each call that the instance counts as
// taken has one end in its figures.
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

#include "flaxdoor/balancer.h"
#include "form.h"
#include "standins/socket_faults/linked.h"

namespace flaxdoor::test {

// Everything on the host's thread, but for the constructor's options. It throws what keeps it from starting.
class Host {
public:
    virtual ~Host() = default;
    virtual boost::asio::ip::tcp::endpoint address() const = 0;
    virtual Balancer& balancer() = 0;
    // The orderly end, and the end at once. Either may come after the other, and again.
    virtual void drain() = 0;
    virtual void close() = 0;
};
using HostMaker =
    std::function<std::unique_ptr<Host>(boost::asio::io_context& loop, const BalancerOptions& options)>;

class Hosted final : public Form {
public:
    Hosted(boost::asio::io_context& loop, HostMaker make) : loop_(loop), make_(std::move(make)) {}

    ~Hosted() override {
        if (!thread_.joinable()) return;
        go_on();
        // Comes to nothing where the loop has ended by itself.
        if (host_) boost::asio::post(its_loop_, [this] { host_->close(); });
        if (done_.get_future().wait_for(std::chrono::seconds(100)) != std::future_status::ready) {
            ADD_FAILURE() << "something keeps the host's loop at work";
            its_loop_.stop();
        }
        thread_.join();
        if (host_) judge();
    }

    pid_t process() const override { return ::getpid(); }

    std::optional<boost::asio::ip::tcp::endpoint> start(const Launch& launch) override {
        if (thread_.joinable()) throw std::logic_error("started twice");
        operators_ = launch.operators.value_or("");
        for (const auto& [name, value] : launch.environment) {
            if (name == "FLAXDOOR_FAIL") plan_ = value;
            if (name == "FLAXDOOR_CALLS") calls_ = value;
        }
        std::promise<std::optional<boost::asio::ip::tcp::endpoint>> listens;
        auto told = listens.get_future();
        thread_ = std::thread([this, config = launch.config, &listens] { run(config, std::move(listens)); });
        const auto address = told.get();
        if (address) {
            EXPECT_TRUE(listened_on_here(*address)) << *address << " is not this process's";
        } else {
            loop_.restart();
            while (!over_) loop_.run_one();
        }
        return address;
    }

    // From this thread, which is not the instance's.
    void take(const std::string& config) override {
        if (over_) return;
        try {
            host_->balancer().reconfigure(options_of(config));
        } catch (const std::exception& error) {
            lines_.push_back(std::string("the old configuration stays: ") + error.what());
        }
    }

    void end() override {
        if (over_) return;
        boost::asio::post(its_loop_, [this] { host_->drain(); });
    }

    void hold() override {
        std::promise<void> holds;
        boost::asio::post(its_loop_, [&holds, until = released_.emplace().get_future().share()] {
            holds.set_value();
            until.wait();
        });
        holds.get_future().wait();
    }
    void go_on() override {
        if (released_) released_->set_value();
        released_.reset();
    }

    // Of the host that was started; what of it any thread may call.
    Balancer& balancer() { return host_->balancer(); }

    bool ended() const override { return over_; }
    int status() const override { return status_; }
    const std::vector<std::string>& log() const override { return lines_; }

private:
    using Address = std::optional<boost::asio::ip::tcp::endpoint>;

    // For the test's loop; comes to nothing once this has gone.
    template <typename Call>
    auto here(Call call) const {
        return [alive = std::weak_ptr<void>(alive_), call = std::move(call)] {
            if (!alive.expired()) call();
        };
    }
    void say(std::string line) {
        boost::asio::post(loop_, here([this, line = std::move(line)] { lines_.push_back(line); }));
    }

    BalancerOptions options_of(const std::string& config) {
        BalancerOptions options = options_from(config);
        options.operators = operators_;
        options.figures_every = std::chrono::milliseconds(50);
        options.log = [this](std::string_view, std::string_view line) { say(std::string(line)); };
        return options;
    }

    // The host's thread, from its first step to its last.
    void run(const std::string& config, std::promise<Address> listens) {
        std::optional<standins::sockets::FaultsHere> faults;
        if (!calls_.empty()) faults.emplace(plan_, calls_);
        int status = 0;
        try {
            host_ = make_(its_loop_, options_of(config));
            listens.set_value(host_->address());
            // It ends by itself: nothing that has ended may keep a host's loop going.
            its_loop_.run();
        } catch (const std::exception& error) {
            say(std::string("flaxdoor: ") + error.what());
            status = 1;
            if (!host_) listens.set_value(std::nullopt);
        }
        boost::asio::post(loop_, here([this, status] {
                              status_ = status;
                              over_ = true;
                          }));
        done_.set_value();
    }

    static bool listened_on_here(const boost::asio::ip::tcp::endpoint& address) {
        for (const auto& each : std::filesystem::directory_iterator("/proc/self/fd")) {
            const int fd = std::stoi(each.path().filename().string());
            boost::asio::ip::tcp::endpoint its;
            auto length = static_cast<socklen_t>(its.capacity());
            int listens = 0;
            socklen_t size = sizeof listens;
            if (::getsockname(fd, its.data(), &length) == 0 && its == address &&
                ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0) {
                return true;
            }
        }
        return false;
    }

    void judge() {
        siginfo_t any{};
        EXPECT_TRUE(::waitid(P_ALL, 0, &any, WEXITED | WNOHANG | WNOWAIT) == -1 && errno == ECHILD)
            << "there is a child process";
        rusage children{};
        EXPECT_EQ(::getrusage(RUSAGE_CHILDREN, &children), 0);
        EXPECT_EQ(children.ru_maxrss, 0) << "there was a child process";
        const BalancerFigures f = host_->balancer().figures();
        const auto ends = f.served + f.refused + f.failed + f.left;
        EXPECT_GE(f.taken, ends);
        EXPECT_LE(f.taken, ends + f.open);
        EXPECT_EQ(f.faults, 0U);
        EXPECT_EQ(f.overdue, 0U);
        testing::Test::RecordProperty("taken", std::to_string(f.taken));
    }

    boost::asio::io_context& loop_;
    const HostMaker make_;
    boost::asio::io_context its_loop_{1};
    std::string operators_, plan_, calls_;
    std::unique_ptr<Host> host_;  // made by its thread, and touched here only as what it holds allows
    std::thread thread_;
    std::promise<void> done_;  // of the thread
    std::optional<std::promise<void>> released_;
    std::vector<std::string> lines_;
    bool over_ = false;
    int status_ = 0;
    const std::shared_ptr<void> alive_ = std::make_shared<char>();
};

}  // namespace flaxdoor::test
