// flaxdoor_closed_loop: the load of the measurements. So many connections, each with one request at a time,
// on one thread, for a time; one line of JSON at the end. HTTP/1.1 or PostgreSQL's protocol. With --hold it
// asks once on each connection, says so, and keeps them all until its standard input ends.
//
// It checks less than the stand-in client (status and framing, not whose answer came) and takes less of a
// core.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

#include "baseline/sockets.h"
#include "standins/http_text.h"
#include "standins/pg_text.h"
#include "standins/tally.h"

namespace {

using namespace flaxdoor::bench;
namespace standins = flaxdoor::standins;
namespace pg = ::standins::pg;
using Clock = std::chrono::steady_clock;

struct Settings {
    std::string target, path = "/api", host = "api.internal", call_class, query = "SELECT 1", user = "app",
                        database = "postgres";
    int connections = 64, duration_ms = 1000;
    bool postgres = false, prepared = false, hold = false;
};

// What came of one exchange so far.
enum class Came { more, served, other, broken };

struct Connection {
    int fd = -1;
    std::string in, out;
    std::size_t at = 0;    // of `out`, written
    int steps = 0;         // of the login, still to be answered
    bool refused = false;  // an error was among this answer's messages
    std::uint32_t asked = EPOLLIN | EPOLLOUT;
    Clock::time_point began;
};

class Load {
public:
    explicit Load(const Settings& settings) : settings_(settings), address_(address_of(settings.target)) {
        tag_ = standins::hex(std::random_device{}()) + "-";
        // Those that are held ask one after the other: what is told is their memory, not how many are
        // refused.
        while (all_.size() < (settings_.hold ? 1 : most())) one_more();
    }

    void run() {
        const auto began = Clock::now();
        const auto ends = began + std::chrono::milliseconds(settings_.duration_ms);
        while (settings_.hold ? answered_ < most() : Clock::now() < ends) {
            poll_.wait(
                10, [this](void* of, std::uint32_t events) { move(*static_cast<Connection*>(of), events); });
        }
        const double seconds = std::chrono::duration<double>(Clock::now() - began).count();
        std::printf(
            "{\"served\":%llu,\"other\":%llu,\"broken\":%llu,\"seconds\":%.6f,\"p50_us\":%lld,\"p99_us\":%"
            "lld}\n",
            served_, other_, broken_, seconds, static_cast<long long>(latencies_.quantile(0.5).count()),
            static_cast<long long>(latencies_.quantile(0.99).count()));
        std::fflush(stdout);
        char byte = 0;
        while (settings_.hold && ::read(STDIN_FILENO, &byte, 1) > 0) {
        }
    }

private:
    std::size_t most() const { return static_cast<std::size_t>(settings_.connections); }

    void one_more() {
        all_.push_back(std::make_unique<Connection>());
        open(*all_.back());
    }

    void open(Connection& c) {
        c.fd = connect_to(address_);
        c.in.clear();
        c.steps = 0;
        c.asked = EPOLLIN | EPOLLOUT;
        poll_.add(c.fd, c.asked, &c);
        if (!settings_.postgres) return ask(c);
        c.out = pg::startup({{"user", settings_.user}, {"database", settings_.database}});
        c.at = 0;
        c.steps = settings_.prepared ? 2 : 1;
    }

    void ask(Connection& c) {
        c.at = 0;
        c.refused = false;
        c.began = Clock::now();
        if (settings_.postgres) {
            c.out = settings_.prepared ? pg::bind("", "s") + pg::execute("") + pg::sync()
                                       : pg::query(settings_.query);
            return;
        }
        c.out = "GET " + settings_.path + " HTTP/1.1\r\nHost: " + settings_.host + "\r\n";
        if (!settings_.call_class.empty()) {
            c.out += "X-Call-Id: " + tag_ + std::to_string(++ids_) +
                     "\r\nX-Call-Class: " + settings_.call_class +
                     "\r\nX-Caller: acme\r\nCookie: key=7f3a9c21e0b4d655\r\nX-Budget-Ms: 2000\r\n";
        }
        c.out += "\r\n";
    }

    void move(Connection& c, std::uint32_t events) {
        if (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) {
            const auto got = ::recv(c.fd, room_.data(), room_.size(), 0);
            if (got > 0) {
                c.in.append(room_.data(), static_cast<std::size_t>(got));
                const Came came = settings_.postgres ? take_messages(c) : take_answer(c);
                if (came == Came::broken) return again(c);
                if (came != Came::more) ended(c, came);
            } else if (got == 0 || errno != EAGAIN) {
                return again(c);
            }
        }
        if (c.at < c.out.size()) {
            const auto sent = ::send(c.fd, c.out.data() + c.at, c.out.size() - c.at, MSG_NOSIGNAL);
            if (sent > 0) c.at += static_cast<std::size_t>(sent);
        }
        const std::uint32_t wanted = EPOLLIN | (c.at < c.out.size() ? EPOLLOUT : 0U);
        if (wanted == c.asked) return;
        c.asked = wanted;
        poll_.change(c.fd, wanted, &c);
    }

    void ended(Connection& c, Came came) {
        ++answered_;
        ++(came == Came::served ? served_ : other_);
        latencies_.add(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - c.began));
        c.out.clear();
        c.at = 0;
        if (!settings_.hold) return ask(c);
        if (all_.size() < most()) one_more();
    }

    // The connection is lost; what it waited for is broken. It comes up anew.
    void again(Connection& c) {
        ++broken_;
        ++answered_;
        ::close(c.fd);
        if (!settings_.hold) return open(c);
        if (all_.size() < most()) one_more();
    }

    static Came take_answer(Connection& c) {
        standins::Head head;
        const auto reading = standins::read_head(c.in, head);
        if (reading == standins::Reading::bad) return Came::broken;
        if (reading == standins::Reading::more) return Came::more;
        const auto length = standins::whole_number(head["Content-Length"]);
        if (!length) return Came::broken;
        if (c.in.size() < head.bytes + *length) return Came::more;
        if (c.in.size() > head.bytes + *length) return Came::broken;
        const bool good = head.second == "200";
        if (standins::same_name(head["Connection"], "close")) return Came::broken;
        c.in.clear();
        return good ? Came::served : Came::other;
    }

    // Until the server is ready for the next query; the steps of a login come before.
    Came take_messages(Connection& c) {
        while (const auto message = pg::take(c.in)) {
            if (message->type == 'E') c.refused = true;
            if (message->type != 'Z') continue;
            if (c.steps == 0) return c.refused ? Came::other : Came::served;
            if (--c.steps > 0) {
                c.out = pg::parse("s", settings_.query) + pg::sync();
                c.at = 0;
            } else {
                ask(c);
            }
        }
        return c.refused && c.steps > 0 ? Came::broken : Came::more;
    }

    const Settings& settings_;
    const sockaddr_in address_;
    Poll poll_;
    std::vector<std::unique_ptr<Connection>> all_;
    std::array<char, 64 * 1024> room_{};
    std::string tag_;
    standins::Latencies latencies_;
    unsigned long long ids_ = 0, served_ = 0, other_ = 0, broken_ = 0;
    std::size_t answered_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Connections with one request at a time each: the load of the measurements");
    Settings s;
    app.add_option("--target", s.target, "ADDRESS:PORT")->required();
    app.add_option("--connections", s.connections)->check(CLI::Range(1, 100'000))->capture_default_str();
    app.add_option("--duration-ms", s.duration_ms)->check(CLI::Range(1, 3'600'000))->capture_default_str();
    app.add_flag("--hold", s.hold, "ask once on each, keep them until standard input ends");
    app.add_option("--path", s.path, "HTTP: the target")->capture_default_str();
    app.add_option("--host", s.host)->capture_default_str();
    app.add_option("--class", s.call_class, "HTTP: the platform's fields, with this class");
    app.add_flag("--postgres", s.postgres, "PostgreSQL's protocol");
    app.add_flag("--prepared", s.prepared,
                 "PostgreSQL: a statement that is prepared once, not simple queries");
    app.add_option("--query", s.query)->capture_default_str();
    app.add_option("--user", s.user)->capture_default_str();
    app.add_option("--database", s.database)->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        all_descriptors();
        Load(s).run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flaxdoor_closed_loop: %s\n", error.what());
        return 1;
    }
    return 0;
}
