// Runs a program through the shell and returns its output and exit status. The output goes through files in `folder`, which
// must exist.
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

struct ProgramResult {
    int status = -1;  // exit status; -1: ended by a signal
    std::string out, err;
};

inline ProgramResult run_program(const std::string& program, const std::string& arguments,
                                 const std::filesystem::path& folder) {
    const std::string out = folder / "out", err = folder / "err";
    const std::string command = "'" + program + "' " + arguments + " >'" + out + "' 2>'" + err + "'";
    const int status = std::system(command.c_str());
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, content_of(out), content_of(err)};
}

}  // namespace flaxdoor::test
