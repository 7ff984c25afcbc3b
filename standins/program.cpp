#include "program.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <csignal>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace flaxdoor::standins {

namespace {

using boost::system::error_code;

void check(int error, const char* what) {
    if (error != 0) throw std::system_error(error, std::generic_category(), what);
}

std::vector<char*> pointers(std::vector<std::string>& texts) {
    std::vector<char*> all;
    for (auto& text : texts) all.push_back(text.data());
    all.push_back(nullptr);
    return all;
}

}  // namespace

Program::~Program() {
    if (pid_ == 0 || over_) return;
    ::kill(pid_, SIGKILL);
    siginfo_t ignored{};
    while (::waitid(P_PID, static_cast<id_t>(pid_), &ignored, WEXITED) < 0 && errno == EINTR) {
    }
}

void Program::start(std::vector<std::string> words, std::vector<std::string> environment) {
    if (pid_ != 0) throw std::logic_error("started twice");
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) check(errno, "pipe2");
    stderr_.assign(ends[0]);
    posix_spawn_file_actions_t files;
    check(::posix_spawn_file_actions_init(&files), "posix_spawn");
    // None of this process's sockets may live on in the program: they would not end when this end closes them.
    int error = ::posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    if (error == 0) error = ::posix_spawn_file_actions_adddup2(&files, ends[1], STDERR_FILENO);
    if (error == 0) error = ::posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    if (error == 0) {
        error = ::posix_spawn(&pid_, words[0].c_str(), &files, nullptr, pointers(words).data(),
                              pointers(environment).data());
    }
    ::posix_spawn_file_actions_destroy(&files);
    ::close(ends[1]);
    if (error != 0) pid_ = 0;
    check(error, words[0].c_str());
    end_.assign(static_cast<int>(::syscall(SYS_pidfd_open, pid_, 0)));
    read_log();
    await_end();
}

void Program::signal(int number) {
    if (pid_ != 0 && !over_) ::kill(pid_, number);
}

void Program::stop() {
    signal(SIGSTOP);
    siginfo_t stopped{};
    while (::waitid(P_PID, static_cast<id_t>(pid_), &stopped, WSTOPPED) < 0) {
        if (errno != EINTR) check(errno, "waitid");
    }
}

void Program::read_log() {
    stderr_.async_read_some(boost::asio::buffer(piece_), [this](error_code error, std::size_t got) {
        if (error == boost::asio::error::operation_aborted) return;
        rest_.append(piece_.data(), got);
        std::size_t end = 0;
        while ((end = rest_.find('\n')) != std::string::npos) {
            lines_.push_back(rest_.substr(0, end));
            rest_.erase(0, end + 1);
        }
        if (rest_.size() > line_most) lines_.push_back(std::exchange(rest_, {}));
        if (error) {
            if (!rest_.empty()) lines_.push_back(std::move(rest_));
            log_over_ = true;
        } else {
            read_log();
        }
    });
}

void Program::await_end() {
    end_.async_wait(boost::asio::posix::stream_descriptor::wait_read, [this](error_code error) {
        if (error) return;
        siginfo_t how{};
        if (::waitid(P_PID, static_cast<id_t>(pid_), &how, WEXITED | WNOHANG) != 0 || how.si_pid == 0) {
            await_end();
            return;
        }
        status_ = how.si_code == CLD_EXITED ? how.si_status : -how.si_status;
        over_ = true;
    });
}

}  // namespace flaxdoor::standins
