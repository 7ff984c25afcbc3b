// The daemon over two starts, from outside: what it serves, what it says, and what becomes of its files.
#include <filesystem>
#include <fstream>
#include <map>

#include "../store/folder_here.h"
#include "../suite/peers.h"

namespace flaxdoor::test {
namespace {

namespace fs = std::filesystem;

class Kept {
public:
    fs::path folder() const { return fs::path(root_.path()) / "store"; }
    std::string operators(const std::string& more = {}) const {
        return "[store]\nfolder = \"" + folder().string() +
               "\"\nremember_every = \"100ms\"\nsoon = \"1ms\"\n" + more;
    }
    // All files but the lock, with what they hold.
    std::map<std::string, std::string> files() const {
        std::map<std::string, std::string> all;
        std::error_code gone;
        for (const auto& entry : fs::directory_iterator(folder(), gone)) {
            const auto name = entry.path().filename().string();
            if (name == "LOCK") continue;
            std::ifstream in(entry.path(), std::ios::binary);
            all[name] = {std::istreambuf_iterator<char>(in), {}};
        }
        return all;
    }
    bool holds(const std::string& text) const {
        for (const auto& [name, content] : files()) {
            if (has(content, text)) return true;
        }
        return false;
    }
    void write(const std::string& name, const std::string& content) const {
        fs::create_directories(folder());
        std::ofstream(folder() / name, std::ios::binary) << content;
    }

private:
    const store::test::FolderHere root_;
};

// A configuration that knows upstream 0 only, and a list, 9, that knows 1 and 2 only; started, and the list kept.
struct KeptStage : Stage {
    KeptStage() : Stage(3) {
        config["known"]["hosts"] = json::array({upstream(0)});
        operators = kept.operators();
        start();
        json news = list(9, true);
        news["hosts"] = {upstream(1), upstream(2, "leaving")};
        watch()->say(watch_head + chunk(news.dump() + "\n"));
        until_kept(9);
    }
    void until_kept(int version) {
        until([&] { return kept.holds("\"version\":" + std::to_string(version) + "}"); });
    }
    const Kept kept;
};

// Killed, and started again.
void again(Stage& s) {
    s.form.reset();
    s.form = make_form(s.loop);
    s.start();
}

std::size_t served_by(Stage& s, std::size_t upstream) {
    const auto client = s.client();
    const auto before = s.upstreams[upstream]->wires.size();
    s.serve(*client);
    return s.upstreams[upstream]->wires.size() - before;
}

TEST(Recovery, ServesAtOnceFromTheStoreWithDiscoveryDown) {
    KeptStage s;
    s.discovery.close();
    again(s);
    EXPECT_TRUE(has(s.line("store: list 9 with 2 servers, "), " s old; ")) << s.line("store: list 9");
    EXPECT_EQ(served_by(s, 1), 1U);
    const auto client = s.client();
    for (int i = 0; i < 6; ++i) s.serve(*client);
    EXPECT_TRUE(s.upstreams[0]->wires.empty());  // the configuration's own list is older
    EXPECT_TRUE(s.upstreams[2]->wires.empty());  // it drains
}

TEST(Recovery, TheWatchGoesOnFromTheStoredVersion) {
    KeptStage s;
    again(s);
    const auto watch = s.watch(s.discovery, 2);
    EXPECT_TRUE(has(watch->in, "index=9 ")) << watch->in;
    json news = s.list(10, false);
    news["hosts"] = json::array({s.upstream(2)});
    watch->say(watch_head + chunk(news.dump() + "\n"));
    s.until_kept(10);
    s.discovery.close();
    again(s);
    s.line("store: list 10 with 2 servers, ");
}

TEST(Recovery, ANewerConfigurationWins) {
    KeptStage s;
    s.config["known"]["seq"] = 12;
    again(s);
    s.line("store: the configuration's list 12 is as new");
    EXPECT_TRUE(has(s.watch(s.discovery, 2)->in, "index=12 "));
    EXPECT_EQ(served_by(s, 0), 1U);
}

TEST(Recovery, AnotherHistoryGoesToTheConfigurations) {
    KeptStage s;
    Listener elsewhere(s.loop);
    s.config["discovery"] = text_of(elsewhere.address());
    again(s);
    s.line("store: what is kept is of another history: the configuration's list 7");
    EXPECT_EQ(served_by(s, 0), 1U);
}

// It starts, serves, says so once with file and offset, and leaves the files as they are.
TEST(Recovery, AStoreDamagedBeforeItsTailIsNotUsedAndItsFilesAreKept) {
    KeptStage s;
    for (int version = 10; version < 14; ++version) {
        s.discovery.wires[0]->say(chunk(s.list(version, true).dump() + "\n"));
        s.until_kept(version);
    }
    s.form.reset();
    std::size_t damaged = 0;
    for (auto [name, content] : s.kept.files()) {
        const auto at = content.find("\"version\":9}");
        if (at == std::string::npos) continue;
        content[at + 10] = '8';
        s.kept.write(name, content);
        ++damaged;
    }
    ASSERT_EQ(damaged, 1U);
    const auto before = s.kept.files();
    s.form = make_form(s.loop);
    s.start();
    const auto line = s.line("store: not used: ");
    EXPECT_TRUE(has(line, ".log, offset ")) << line;
    EXPECT_TRUE(has(line, "its files stay as they are")) << line;
    EXPECT_EQ(served_by(s, 0), 1U);
    s.watch(s.discovery, 2)->say(watch_head + chunk(s.list(20, true).dump() + "\n") + chunk("\n"));
    s.settle();
    s.end();
    s.until_ended();
    EXPECT_EQ(s.logged("store: "), 1U);
    EXPECT_EQ(s.kept.files(), before);
}

// A write that was cut off by the kill is no damage.
TEST(Recovery, ATailThatWasCutIsDroppedAndSaid) {
    KeptStage s;
    s.form.reset();
    std::string last;
    for (const auto& [name, content] : s.kept.files()) {
        if (name.ends_with(".log")) last = name;
    }
    s.kept.write(last, s.kept.files()[last] + std::string("\x17torn"));
    s.discovery.close();
    s.form = make_form(s.loop);
    s.start();
    s.line("store: a write that was cut off is dropped: 5 bytes of " + last);
    s.line("store: list 9 with 2 servers, ");
}

struct Foreign {
    std::string name;
    std::string says;
    std::function<void(Stage&, const Kept&)> make;
};

TEST(Recovery, WhatIsNotItsOwnIsNotUsedAndKept) {
    const auto change = [](const Kept& kept, const std::string& ending, std::size_t at, char to) {
        for (auto [name, content] : kept.files()) {
            if (!name.ends_with(ending)) continue;
            content[at] = to;
            kept.write(name, content);
        }
    };
    const std::vector<Foreign> all = {
        {"another's", "another's store: it is ",
         [](Stage& s, const Kept& kept) {
             s.operators = kept.operators("identity = \"00112233445566778899aabbccddeeff\"\n");
         }},
        {"a newer format", "written by a newer version",
         [&](Stage&, const Kept& kept) {
             // Format versions stand under a hash: made whole again by hand is the store's own test. Here the
             // identity alone is of a kind that is not known yet.
             change(kept, "IDENTITY", 8, 2);
         }},
        {"no store", "no store: the folder holds ",
         [](Stage&, const Kept& kept) {
             fs::remove_all(kept.folder());
             kept.write("notes.txt", "mine");
         }},
        {"a file", "Not a directory",
         [](Stage&, const Kept& kept) {
             fs::remove_all(kept.folder());
             std::ofstream(kept.folder()) << "mine";
         }},
    };
    for (const Foreign& foreign : all) {
        KeptStage s;
        s.form.reset();
        foreign.make(s, s.kept);
        const auto before = s.kept.files();
        s.form = make_form(s.loop);
        s.start();
        const auto line = s.line("store: not used: ");
        if (foreign.name != "a newer format") {
            EXPECT_TRUE(has(line, foreign.says)) << foreign.name << ": " << line;
        }
        EXPECT_EQ(served_by(s, 0), 1U) << foreign.name;
        s.end();
        s.until_ended();
        EXPECT_EQ(s.logged("store: "), 1U) << foreign.name;
        EXPECT_EQ(s.kept.files(), before) << foreign.name;
    }
}

TEST(Recovery, AFolderThatAnotherProcessHasIsNotUsed) {
    KeptStage s;
    Stage other(3);
    other.operators = s.operators;
    other.start();
    other.line("store: not used: another process has the store open");
    const auto client = other.client();
    other.serve(*client);
}

// Off unless the operator's file has the table.
TEST(Recovery, OffItSaysAndWritesNothing) {
    Stage s;
    s.operators = "[http]\nidle_timeout = \"1m\"\n";
    s.start();
    s.settle();
    EXPECT_EQ(s.logged("store"), 0U);
}

}  // namespace
}  // namespace flaxdoor::test
