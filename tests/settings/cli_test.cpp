// Runs the program `flaxdoor` and checks its output streams and exit status.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "program.h"
#include "store/folder_here.h"

namespace {

using flaxdoor::test::content_of;
using flaxdoor::test::ProgramResult;

class Program : public testing::Test {
protected:
    std::string file(const std::string& name, const std::string& text) const {
        return folder_.write(name, text);
    }
    ProgramResult run(const std::string& arguments) const {
        return flaxdoor::test::run_program(PROGRAM, arguments, folder_.path());
    }

private:
    const flaxdoor::store::test::FolderHere folder_;
};

TEST_F(Program, AcceptsAValidFile) {
    const std::string path = file("fine.toml", "[http]\nidle_timeout = \"9s\"\nclient_share = 0.4\n");
    const ProgramResult ended = run("check " + path);
    EXPECT_EQ(ended.status, 0);
    EXPECT_EQ(ended.out, path + ": ok (2 settings)\n");
    EXPECT_EQ(ended.err, "");
    const std::string one = file("one.toml", "[http]\nidle_timeout = \"9s\"\n");
    EXPECT_EQ(run("check " + one).out, one + ": ok (1 setting)\n");
    EXPECT_EQ(run("check " SOURCE_ROOT "/deploy/examples/core.toml").status, 0);
}

TEST_F(Program, PrintsFaultsToStandardError) {
    const std::string path = file("bad.toml", "[http]\nidle_timeot = \"9s\"\nsend_timeout = 4\n");
    const ProgramResult ended = run("check " + path);
    EXPECT_EQ(ended.status, 1);
    EXPECT_EQ(ended.out, "");
    EXPECT_EQ(ended.err,
              path + ":2:1: unknown key (http.idle_timeot); did you mean idle_timeout?\n" + path +
                  ":3:16: wanted a duration such as \"250ms\", found a whole number (http.send_timeout); "
                  "write \"4s\"\n");
}

TEST_F(Program, ReportsAMissingFile) {
    const ProgramResult ended = run("check /nowhere/at_all.toml");
    EXPECT_EQ(ended.status, 1);
    EXPECT_EQ(ended.err, "/nowhere/at_all.toml: cannot be read: No such file or directory\n");
}

TEST_F(Program, PrintsFaultsAsJson) {
    const std::string path = file("bad.toml", "[http]\nidle_timeot = \"9s\"\n");
    const ProgramResult ended = run("check --json " + path);
    EXPECT_EQ(ended.status, 1);
    EXPECT_EQ(ended.err, "");
    EXPECT_EQ(nlohmann::json::parse(ended.out),
              nlohmann::json::parse(R"({"file": ")" + path + R"(", "ok": false,
        "more": 0, "faults": [{"line": 2, "column": 1, "what": "unknown key", "key": "http.idle_timeot",
                               "mend": "did you mean idle_timeout?"}]})"));
    const ProgramResult fine = run("check --json " + file("fine.toml", "[http]\n"));
    EXPECT_EQ(fine.status, 0);
    EXPECT_EQ(nlohmann::json::parse(fine.out).at("ok"), true);
    EXPECT_EQ(nlohmann::json::parse(fine.out).at("settings"), 0);
    // JSON has to be UTF-8. The output must be valid JSON even if the file is not UTF-8.
    const ProgramResult bytes =
        run("check --json " + file("bytes.toml", "[http]\nidle_timeout = \"\xff\"\n"));
    EXPECT_EQ(bytes.status, 1);
    EXPECT_TRUE(nlohmann::json::accept(bytes.out)) << bytes.out;
}

TEST_F(Program, RejectsInvalidCommands) {
    for (const char* words : {"", "chek x", "check", "check a b", "check --jsn a",
                              "settings --page --example", "settings x", "version x"}) {
        const ProgramResult ended = run(words);
        EXPECT_EQ(ended.status, 2) << words;
        EXPECT_EQ(ended.out, "") << words;
        EXPECT_NE(ended.err, "") << words;
    }
    EXPECT_EQ(run("--help").status, 0);
    EXPECT_EQ(run("check --help").status, 0);
}

TEST_F(Program, ListsItsSettings) {
    EXPECT_EQ(run("settings --page").out, content_of(SOURCE_ROOT "/docs/operators/settings.md"));
    const std::string list = run("settings").out;
    EXPECT_EQ(list.rfind("KEY ", 0), 0u);
    EXPECT_NE(list.find("\nhttp.idle_timeout "), std::string::npos);
    const std::string made = file("made.toml", run("settings --example").out);
    EXPECT_EQ(run("check " + made).status, 0);
    EXPECT_EQ(run("version").out.rfind("flaxdoor ", 0), 0u);
}

TEST_F(Program, FailsOnAFullDisk) {
    if (!std::filesystem::exists("/dev/full")) GTEST_SKIP();
    const int status = std::system("'" PROGRAM "' settings >/dev/full 2>/dev/null");
    EXPECT_EQ(WEXITSTATUS(status), 1);
}

}  // namespace
