// A program as a shell runs it: what it prints where, and how it ends. Its output goes by files in `folder`,
// which the caller has made.
#pragma once

#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace flaxdoor::test {

inline std::string content_of(const std::filesystem::path& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

struct Ended {
    int status = -1;  // -1: by a signal
    std::string out, err;
};

inline Ended run_program(const std::string& program, const std::string& words,
                         const std::filesystem::path& folder) {
    const std::string out = folder / "out", err = folder / "err";
    const std::string command = "'" + program + "' " + words + " >'" + out + "' 2>'" + err + "'";
    const int status = std::system(command.c_str());
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, content_of(out), content_of(err)};
}

}  // namespace flaxdoor::test
