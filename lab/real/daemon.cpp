#include "real/daemon.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <cerrno>
#include <csignal>
#include <regex>
#include <system_error>
#include <vector>

namespace flaxdoor::lab::real {

namespace asio = boost::asio;

namespace {

constexpr std::size_t lines_most = 50, line_most = 4096;

[[noreturn]] void failed(int error, const std::string& what) {
    throw std::system_error(error, std::generic_category(), what);
}

// The address in a line that says that it listens, however the line is worded round it.
std::optional<asio::ip::tcp::endpoint> address_in(const std::string& line) {
    static const std::regex form("listening.*?([0-9.]+):([0-9]+)");
    std::smatch found;
    if (!std::regex_search(line, found, form)) return std::nullopt;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(found[1].str(), error);
    if (error) return std::nullopt;
    return asio::ip::tcp::endpoint(address, static_cast<unsigned short>(std::stoul(found[2].str())));
}

}  // namespace

struct Daemon::Impl : std::enable_shared_from_this<Daemon::Impl> {
    Impl(asio::io_context& loop, Words its) : words(std::move(its)), log(loop), end(loop) {}

    void start() {
        int ends[2], told[2];
        if (::pipe2(ends, O_CLOEXEC) != 0) failed(errno, "pipe");
        log.assign(ends[0]);
        if (::pipe2(told, O_CLOEXEC) != 0) {
            const int error = errno;
            ::close(ends[1]);
            failed(error, "pipe");
        }
        std::vector<std::string> variables;
        for (char** at = environ; *at; ++at) {
            if (!std::string_view(*at).starts_with("NODE_")) variables.emplace_back(*at);
        }
        variables.push_back("NODE_CONFIG=" + words.config);
        std::vector<char*> environment;
        for (auto& each : variables) environment.push_back(each.data());
        environment.push_back(nullptr);
        char* const arguments[] = {words.program.data(), nullptr};
        const pid_t parent = ::getpid();
        const auto descriptors = static_cast<int>(std::min(::sysconf(_SC_OPEN_MAX), 1L << 20U));
        const int nothing = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        pid = ::fork();
        if (pid == 0) {  // from here on only what may be called between fork and exec
            ::setpgid(0, 0);
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) ::_exit(127);
            ::dup2(nothing, STDIN_FILENO);
            ::dup2(ends[1], STDERR_FILENO);
            ::dup2(ends[1], STDOUT_FILENO);
            // None of the stand-ins' sockets may live on in it: a dead node's port would still take connections.
            if (::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC) != 0) {
                for (int each = STDERR_FILENO + 1; each < descriptors; ++each)
                    ::fcntl(each, F_SETFD, FD_CLOEXEC);
            }
            ::execve(arguments[0], arguments, environment.data());
            const int error = errno;
            (void)!::write(told[1], &error, sizeof error);
            ::_exit(127);
        }
        const int forked = errno;
        ::close(ends[1]);
        ::close(told[1]);
        if (nothing >= 0) ::close(nothing);
        if (pid < 0) {
            ::close(told[0]);
            pid = 0;
            failed(forked, "fork");
        }
        int error = 0;  // nothing comes when it could be started
        ssize_t got = 0;
        while ((got = ::read(told[0], &error, sizeof error)) < 0 && errno == EINTR) {
        }
        ::close(told[0]);
        if (got == sizeof error) {
            reap();
            failed(error, words.program);
        }
        end.assign(static_cast<int>(::syscall(SYS_pidfd_open, pid, 0)));
        read();
        await();
    }

    void reap() {
        siginfo_t ignored{};
        while (::waitid(P_PID, static_cast<id_t>(pid), &ignored, WEXITED) < 0 && errno == EINTR) {
        }
        over = true;
    }

    void read() {
        log.async_read_some(asio::buffer(piece), [self = shared_from_this()](auto error, std::size_t got) {
            if (error) return;
            for (std::size_t i = 0; i < got; ++i) {
                if (self->piece[i] != '\n') {
                    if (self->line.size() < line_most) self->line += self->piece[i];
                    continue;
                }
                const auto address = address_in(self->line);
                self->lines.push_back(std::move(self->line));
                self->line.clear();
                if (self->lines.size() > lines_most) self->lines.pop_front();
                if (address && !self->listens && self->words.on_listening) {
                    self->listens = true;
                    self->words.on_listening(*address);
                }
            }
            self->read();
        });
    }

    void await() {
        end.async_wait(asio::posix::stream_descriptor::wait_read, [self = shared_from_this()](auto error) {
            if (error || self->over) return;
            siginfo_t how{};
            if (::waitid(P_PID, static_cast<id_t>(self->pid), &how, WEXITED | WNOHANG) != 0 ||
                how.si_pid == 0)
                return self->await();
            self->over = true;
            if (self->words.on_end)
                self->words.on_end(how.si_code == CLD_EXITED ? how.si_status : -how.si_status);
        });
    }

    void signal(int which) const {
        if (pid > 0 && !over) ::kill(pid, which);
    }

    void shut() {
        words.on_listening = nullptr;
        words.on_end = nullptr;
        if (pid > 0 && !over) {
            signal(SIGKILL);
            reap();
        }
        boost::system::error_code ignored;
        log.close(ignored);
        end.close(ignored);
    }

    Words words;
    asio::posix::stream_descriptor log, end;  // end: readable when the process has ended
    pid_t pid = 0;
    bool over = false, listens = false;
    std::array<char, 4096> piece{};
    std::string line;
    std::deque<std::string> lines;
};

Daemon::Daemon(asio::io_context& loop, Words words) : impl_(std::make_shared<Impl>(loop, std::move(words))) {
    impl_->start();
}
Daemon::~Daemon() { impl_->shut(); }
void Daemon::tell_to_end() { impl_->signal(SIGTERM); }
void Daemon::kill() {
    if (impl_->over) return;
    impl_->signal(SIGKILL);
    impl_->reap();
}
bool Daemon::ended() const { return impl_->over; }
pid_t Daemon::process() const { return impl_->pid; }
std::string Daemon::log() const {
    std::string all;
    for (const auto& each : impl_->lines) all += "    " + each + "\n";
    return all;
}

}  // namespace flaxdoor::lab::real
