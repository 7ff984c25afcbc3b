// A stand-in of the system that runs a service: it starts a program with words and an environment, signals it, keeps
// the lines that it logs, and sees its end.
//
// Threading: on the thread that runs the io_context, which must outlive it. Ownership: a program that still runs when
// this goes is killed. Errors: std::system_error where the system refuses. Bounded: a line that is not ended has 1 MiB
// at most; lines are kept, since whoever uses this asks for all of them.
#pragma once

#include <sys/types.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace flaxdoor::standins {

class Program {
public:
    static constexpr std::size_t line_most = 1024 * 1024;

    explicit Program(boost::asio::io_context& loop) : stderr_(loop), end_(loop) {}
    ~Program();
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;

    // Once only. The first word is the program; variables are NAME=VALUE, and all that it gets. Of this process's
    // descriptors it inherits none; its log is what it writes to standard error.
    void start(std::vector<std::string> words, std::vector<std::string> environment);
    [[nodiscard]] pid_t process() const { return pid_; }  // 0: not started
    void signal(int number);
    // Returns when it stands still; signal(SIGCONT) lets it go on.
    void stop();

    // What it has said stands in the log before its end is told.
    [[nodiscard]] bool ended() const { return over_ && log_over_; }
    // Once it has ended: what it ended with; negative: the signal that ended it.
    [[nodiscard]] int status() const { return status_; }
    [[nodiscard]] const std::vector<std::string>& log() const { return lines_; }

private:
    void read_log();
    void await_end();

    boost::asio::posix::stream_descriptor stderr_;
    boost::asio::posix::stream_descriptor end_;  // readable when the process has ended
    pid_t pid_ = 0;
    std::array<char, 4096> piece_{};
    std::string rest_;
    std::vector<std::string> lines_;
    bool log_over_ = false;
    bool over_ = false;
    int status_ = 0;
};

}  // namespace flaxdoor::standins
