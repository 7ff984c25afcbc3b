// Lines whatever bytes there are, a reader that reads nothing, half, or is gone, and what a flood may cost.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "log/events.h"
#include "log/logger.h"
#include "settings/product.h"
#include "settings/reader.h"

namespace flaxdoor::log::test {
namespace {

using core::Level;
using core::Value;
using nlohmann::json;
using namespace std::chrono_literals;
using namespace std::string_literals;

constexpr std::array<Format, 3> formats{Format::text, Format::json, Format::logfmt};

struct Hand final : core::Clock {
    Time now() const override { return at; }
    Time at = 1'764'666'301'250ms;  // 2025-12-02T09:05:01.250Z
};

std::string line(Format format, const core::Event& event, std::vector<Value> values) {
    return line_of(format, Hand().at, event.level, event, values);
}

TEST(Format, OneEventThreeWays) {
    struct Case {
        Format format;
        const char* line;
    };
    const std::string file = "000001.log";
    for (const auto& each : {
             Case{Format::text,
                  "store: a write that was cut off is dropped: 17 bytes of 000001.log from offset 3\n"},
             Case{Format::json,
                  "{\"time\":\"2025-12-02T09:05:01.250Z\",\"level\":\"warning\",\"event\":\"store.cut_off\","
                  "\"bytes\":17,\"file\":\"000001.log\",\"offset\":3}\n"},
             Case{Format::logfmt,
                  "time=2025-12-02T09:05:01.250Z level=warning event=store.cut_off bytes=17 file=000001.log "
                  "offset=3\n"},
         }) {
        EXPECT_EQ(line(each.format, events::store_cut_off, {17, file, -3 + 6}), each.line);
    }
    EXPECT_EQ(line(Format::text, events::store_as_new, {9U, 1}),
              "store: the configuration's list 9 is as new; 1 server remembered\n");
    EXPECT_EQ(line(Format::text, events::store_too_large, {0}),
              "store: the list is not kept: 0 servers are too many\n");
}

// Printable ASCII but for the one newline, and in JSON the value comes back as it was.
TEST(Format, EveryByte) {
    for (int byte = 0; byte < 256; ++byte) {
        const std::string value = std::string("a") + static_cast<char>(byte) + "b";
        for (const Format format : formats) {
            const std::string out = line(format, events::store_trouble, {value});
            SCOPED_TRACE(std::to_string(byte) + " in " + out);
            EXPECT_EQ(out.find('\n'), out.size() - 1);
            for (const char c : out.substr(0, out.size() - 1)) {
                EXPECT_GE(static_cast<unsigned char>(c), 0x20);
                EXPECT_NE(c, 0x7f);
                if (format != Format::text) {
                    EXPECT_LT(static_cast<unsigned char>(c), 0x7f);
                }
            }
            if (format == Format::json) {
                const std::string back = json::parse(out)["what"];
                EXPECT_EQ(back, byte < 128 ? value : "a\xef\xbf\xbd"s + "b");
            } else if (format == Format::logfmt) {
                const auto at = out.find("what=") + 5;
                const bool bare = std::isalnum(byte) || (byte != 0 && std::string_view(".:_-/").find(byte) !=
                                                                          std::string_view::npos);
                EXPECT_EQ(out[at] != '"', bare);
            }
        }
    }
}

// Never longer than what a pipe takes whole, and still a line of its format.
TEST(Format, CutAtThePipesSize) {
    for (const std::string unit : {"a", "\"", "\x01", "\xc3\xa9", "\xf0\x9f\x98\x80", "\xff", "a b"}) {
        for (std::size_t size = 3700; size < 4300; size += unit.size() * 7) {
            std::string value;
            while (value.size() < size) value += unit;
            for (const Format format : formats) {
                const std::string out =
                    line(format, events::gateway_status_refused, {"Gateway", value, 409, "no"});
                ASSERT_LE(out.size(), line_most);
                ASSERT_EQ(out.find('\n'), out.size() - 1);
                if (format == Format::logfmt) {
                    ASSERT_NE(out.find(" name="), out.npos) << "cut, not left out";
                }
                if (format != Format::json) continue;
                const json parsed = json::parse(out);  // throws where an escape is cut in two
                const std::string name = parsed["name"];
                ASSERT_EQ(value.substr(0, name.size()) == name || unit == "\xff", true);
                ASSERT_EQ(parsed.contains("cut"), !parsed.contains("body"));
            }
        }
    }
    EXPECT_EQ(line(Format::text, events::operators_fault, {std::string(100'000, 'y')}),
              std::string(line_most - 1, 'y') + "\n");
}

// ------------------------------------------------------------------------------------------ the descriptor

struct Pipe {
    Pipe() { EXPECT_EQ(::pipe(ends.data()), 0); }
    ~Pipe() {
        for (const int end : ends) ::close(end);
    }
    // All that is there.
    std::string read() {
        std::string all;
        std::array<char, 65536> room;
        for (pollfd asked{ends[0], POLLIN, 0}; ::poll(&asked, 1, 0) > 0;) {
            const auto got = ::read(ends[0], room.data(), room.size());
            if (got <= 0) break;
            all.append(room.data(), static_cast<std::size_t>(got));
        }
        return all;
    }
    std::array<int, 2> ends{};
};

// One write takes half, the next nothing, and so on.
ssize_t by_halves(int descriptor, const void* bytes, std::size_t size) {
    static bool takes = false;
    takes = !takes;
    if (!takes) return -1;
    return ::write(descriptor, bytes, size - size / 2);
}

TEST(Descriptor, WhatIsTakenInPartIsNeverTorn) {
    Pipe pipe;
    Descriptor sink(pipe.ends[1], by_halves);
    std::string taken;
    for (int i = 0; i < 200; ++i) {
        const std::string text = "line " + std::to_string(i) + " of many\n";
        if (sink.take(text)) taken += text;
    }
    const std::string out = pipe.read();
    EXPECT_GT(out.size(), 200U);
    EXPECT_EQ(taken.substr(0, out.size()), out);
    EXPECT_LT(taken.size() - out.size(), 40U) << "more than one line is on its way";
}

TEST(Descriptor, OneThatIsGoneTakesNothing) {
    Descriptor none(-1);
    EXPECT_FALSE(none.take("nobody\n"));
    std::signal(SIGPIPE, SIG_IGN);
    Pipe pipe;
    ::close(pipe.ends[0]);
    Descriptor broken(pipe.ends[1]);
    EXPECT_FALSE(broken.take("nobody\n"));
    pipe.ends[0] = ::dup(pipe.ends[1]);
}

// ------------------------------------------------------------------------------------------------ the log

// Takes so many lines.
struct Reader final : Sink {
    bool take(std::string_view line) override {
        if (room == 0) return false;
        if (room > 0) --room;
        lines.emplace_back(line.substr(0, line.size() - 1));
        return true;
    }
    std::size_t count(std::string_view start) const {
        return static_cast<std::size_t>(
            std::count_if(lines.begin(), lines.end(), [&](const auto& l) { return l.starts_with(start); }));
    }
    int room = -1;  // less than 0: all
    std::vector<std::string> lines;
};

// A full pipe holds up nobody (this test would not end); the first line after that tells how many were dropped.
TEST(Logger, NobodyReadsForAWhile) {
    Pipe pipe;
    Descriptor sink(pipe.ends[1]);
    Hand clock;
    Logger log(sink, clock);
    int waits = 0;
    log.on_waiting([&] { ++waits; });
    const std::string text(100, 'x');
    constexpr int lines = 3000;  // a pipe holds some 64 KiB
    for (int i = 0; i < lines; ++i) log.tell(events::operators_fault, text);
    EXPECT_EQ(waits, 1);
    std::string all = pipe.read();
    log.retry();
    all += pipe.read();
    EXPECT_FALSE(log.waiting());
    const auto end = all.find("log: ");
    const auto kept = end / (text.size() + 1);
    EXPECT_EQ(end % (text.size() + 1), 0U) << "a line was torn";
    EXPECT_GT(kept, 100U);
    EXPECT_EQ(all.substr(end), "log: " + std::to_string(lines - kept) + " lines dropped, nobody read them\n");
    log.tell(events::draining);
    EXPECT_EQ(pipe.read(), "draining\n");
}

// One event floods, another comes now and then; nobody reads. The queue's bounds hold, and the rare one is there.
// A terminal that shows nothing more takes a part of a line and would wait for the rest: the test would not end.
TEST(Logger, AStalledTerminalHoldsNothingUp) {
    const int screen = ::posix_openpt(O_RDWR | O_NOCTTY);
    ASSERT_TRUE(screen >= 0 && ::grantpt(screen) == 0 && ::unlockpt(screen) == 0);
    const int terminal = ::open(::ptsname(screen), O_RDWR | O_NOCTTY);
    ASSERT_GE(terminal, 0);
    Hand clock;
    Descriptor sink(terminal);
    Logger log(sink, clock);
    std::string told;  // lines of many lengths: one of them does not fit as a whole
    for (std::size_t i = 0; !log.waiting(); ++i) {
        const std::string text(1 + i * 37 % 211, 'x');
        told += "store: " + text + "\n";
        log.tell(events::store_trouble, text);
    }
    std::string shown;
    const auto read = [&] {
        std::array<char, 65536> room;
        const auto got = ::read(screen, room.data(), room.size());
        for (ssize_t i = 0; i < got; ++i) {
            if (room[static_cast<std::size_t>(i)] != '\r') shown += room[static_cast<std::size_t>(i)];
        }
    };
    for (; log.waiting(); log.retry()) read();
    log.tell(events::drained);
    while (!shown.ends_with("drained\n")) read();
    EXPECT_EQ(shown, told + "drained\n");
    ::close(terminal);
    ::close(screen);
}

TEST(Logger, AFloodCostsTheRareOneNothing) {
    for (const bool rate : {false, true}) {
        Reader reader;
        Hand clock;
        Logger log(reader, clock);
        Options options;
        if (rate) options.rate = {5, 3};
        log.set(options);
        reader.room = 0;
        for (int i = 0; i < 10'000; ++i) {
            log.tell(core::events::from_module, "flood");
            clock.at += 1ms;
            if (i % 2000 == 0) log.tell(events::discovery_call_failed, std::to_string(i));
        }
        reader.room = -1;
        log.tell(events::draining);
        EXPECT_EQ(reader.count("discovery: call failed"), 5U);
        EXPECT_EQ(reader.lines.back(), "draining");
        if (!rate) {
            EXPECT_EQ(reader.count("log: 9936 lines dropped"), 1U);  // a quarter of 256 waited
        }
    }
}

TEST(Logger, RatesByEventTellWhatTheyLeftOut) {
    Reader reader;
    Hand clock;
    {
        Logger log(reader, clock);
        Options options;
        options.rate = {2, 3};
        log.set(options);
        for (int i = 0; i < 10; ++i) log.tell(core::events::from_module, "m");
        EXPECT_EQ(reader.count("m"), 3U);
        EXPECT_TRUE(log.waiting());
        log.tell(events::draining);
        EXPECT_EQ(reader.lines.back(), "draining") << "nothing of another event is told too early";
        clock.at += 500ms;
        log.retry();
        EXPECT_EQ(reader.lines.back(), "log: 7 lines of module left out");
        EXPECT_FALSE(log.waiting());
        for (int i = 0; i < 3; ++i) log.tell(core::events::from_module, "m");
        EXPECT_EQ(reader.count("m"), 4U);
    }
    EXPECT_EQ(reader.lines.back(), "log: 2 lines of module left out") << "at the end all is told";
}

TEST(Logger, LevelsChangeWhileLinesFlow) {
    Reader reader;
    Hand clock;
    Logger log(reader, clock);
    struct Case {
        const char* file;
        std::vector<std::string> written;  // of module (info), watch failed (warning), fault (error)
    };
    const std::vector<Case> cases{
        {"", {"m", "discovery: watch failed: w", "fault: f"}},
        {"level = \"warning\"", {"discovery: watch failed: w", "fault: f"}},
        {"level = \"error\"", {"fault: f"}},
        {"level = \"off\"", {}},
        {"events = [\"module=off\"]", {"discovery: watch failed: w", "fault: f"}},
        {"events = [\"module=error\", \"fault=debug\"]\nlevel = \"error\"", {"m"}},
        {"format = \"logfmt\"\nlevel = \"error\"",
         {"time=2025-12-02T09:05:01.250Z level=error event=fault what=f"}},
        {"events = [\"module=warning\"]\nlevel = \"warning\"\nformat = \"json\"",
         {R"({"time":"2025-12-02T09:05:01.250Z","level":"warning","event":"module","text":"m"})",
          R"({"time":"2025-12-02T09:05:01.250Z","level":"warning","event":"discovery.watch_failed","why":"w"})",
          R"({"time":"2025-12-02T09:05:01.250Z","level":"error","event":"fault","what":"f"})"}},
    };
    for (const auto& each : cases) {
        const auto reading =
            settings::read_text("[log]\n" + std::string(each.file), settings::product_schema());
        ASSERT_TRUE(std::holds_alternative<settings::Values>(reading));
        log.set(std::get<Options>(options_from(std::get<settings::Values>(reading))));
        reader.lines.clear();
        log.tell(core::events::from_module, "m");
        log.tell(events::discovery_watch_failed, "w");
        log.tell(core::events::fault, "f");
        EXPECT_EQ(reader.lines, each.written) << each.file;
    }
}

TEST(Logger, EventsAndLevelsThatThereAreNot) {
    for (const auto& [text, fault] : std::map<std::string, std::string>{
             {"modul=off", "there is no event \"modul\""},
             {"module=loud", "there is no level \"loud\""},
             {"module", "\"module\" is not EVENT=LEVEL"},
         }) {
        const auto values =
            settings::read_text("[log]\nevents = [\"" + text + "\"]\n", settings::product_schema());
        const auto made = options_from(std::get<settings::Values>(values));
        ASSERT_TRUE(std::holds_alternative<settings::Faults>(made)) << text;
        const auto& first = std::get<settings::Faults>(made).first().front();
        EXPECT_EQ(first.what, fault);
        EXPECT_EQ(first.at.line, 2U);
    }
}

// Whatever the reader does: each line told is written, dropped or left out, and each is counted once.
TEST(Logger, EveryLineIsCountedOnce) {
    for (const std::uint32_t seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        Reader reader;
        Hand clock;
        std::uint64_t told = 0;
        {
            Logger log(reader, clock);
            Options options;
            if (seed % 2 == 0) options.rate = {20, 5};
            options.queue = {32 << 10, 40};
            log.set(options);
            for (int i = 0; i < 3'000; ++i) {
                if (random() % 50 == 0) reader.room = static_cast<int>(random() % 40);
                clock.at += Micros(random() % 20'000);
                const std::string text(random() % 900, 'x');
                switch (random() % 3) {
                    case 0: log.tell(events::draining); break;
                    case 1: log.tell(events::operators_fault, text); break;
                    case 2: log.tell(core::events::fault, text); break;
                }
                ++told;
                if (random() % 10 == 0) log.retry();
            }
            reader.room = -1;
        }
        std::uint64_t written = 0, missing = 0;
        for (const auto& each : reader.lines) {
            unsigned long count = 0;
            if (std::sscanf(each.c_str(), "log: %lu lines", &count) == 1) {
                missing += count;
            } else {
                ++written;
            }
        }
        EXPECT_EQ(written + missing, told);
        EXPECT_GT(missing, 100U);
    }
}

TEST(Queue, IsBounded) {
    for (const std::uint32_t seed : {7U, 8U, 9U}) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        LineQueue queue;
        queue.set({40'000, 64});
        std::size_t most_bytes = 0;
        for (int i = 0; i < 5000; ++i) {
            (void)queue.push(random() % 6, std::string(random() % 4096, 'x'));
            ASSERT_LE(queue.bytes(), 40'000U);
            ASSERT_LE(queue.entries(), 64U);
            most_bytes = std::max(most_bytes, queue.bytes());
            if (random() % 3 == 0 && !queue.empty()) queue.pop();
        }
        EXPECT_GT(most_bytes, 30'000U);
        while (!queue.empty()) queue.pop();
        EXPECT_EQ(queue.bytes(), 0U);
    }
}

}  // namespace
}  // namespace flaxdoor::log::test
