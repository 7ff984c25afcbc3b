// Tests the formats with arbitrary bytes, sinks that accept nothing, half a line, or are closed, and what a flood of one
// event may cost the others.
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

struct ManualClock final : core::Clock {
    Time now() const override { return at; }
    Time at = 1'764'666'301'250ms;  // 2025-12-02T09:05:01.250Z
};

std::string line(Format format, const core::Event& event, std::vector<Value> values) {
    return format_line(format, ManualClock().at, event.level, event, values);
}

TEST(Format, WritesOneEventInEachFormat) {
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
              "store: the list is not stored: 0 servers exceed the maximum\n");
}

// Whatever byte a value contains, the line is printable ASCII (text: no control characters) with one newline at its end.
// JSON preserves the value.
TEST(Format, EscapesEveryByte) {
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
                const std::string parsed = json::parse(out)["what"];
                EXPECT_EQ(parsed, byte < 128 ? value : "a\xef\xbf\xbd"s + "b");
            } else if (format == Format::logfmt) {
                const auto at = out.find("what=") + 5;
                const bool bare = std::isalnum(byte) || (byte != 0 && std::string_view(".:_-/").find(byte) !=
                                                                          std::string_view::npos);
                EXPECT_EQ(out[at] != '"', bare);
            }
        }
    }
}

// A line is never longer than a pipe writes atomically, and a truncated line is still valid in its format.
TEST(Format, TruncatesAtMaxLineBytes) {
    for (const std::string unit : {"a", "\"", "\x01", "\xc3\xa9", "\xf0\x9f\x98\x80", "\xff", "a b"}) {
        for (std::size_t size = 3700; size < 4300; size += unit.size() * 7) {
            std::string value;
            while (value.size() < size) value += unit;
            for (const Format format : formats) {
                const std::string out =
                    line(format, events::gateway_status_refused, {"Gateway", value, 409, "no"});
                ASSERT_LE(out.size(), max_line_bytes);
                ASSERT_EQ(out.find('\n'), out.size() - 1);
                if (format == Format::logfmt) {
                    ASSERT_NE(out.find(" name="), out.npos) << "truncated, not left out";
                }
                if (format != Format::json) continue;
                const json parsed = json::parse(out);  // throws if an escape sequence is split
                const std::string name = parsed["name"];
                ASSERT_EQ(value.substr(0, name.size()) == name || unit == "\xff", true);
                ASSERT_EQ(parsed.contains("cut"), !parsed.contains("body"));
            }
        }
    }
    EXPECT_EQ(line(Format::text, events::operators_fault, {std::string(100'000, 'y')}),
              std::string(max_line_bytes - 1, 'y') + "\n");
}

// DescriptorSink

struct Pipe {
    Pipe() { EXPECT_EQ(::pipe(ends.data()), 0); }
    ~Pipe() {
        for (const int end : ends) ::close(end);
    }
    // Returns all bytes that are readable now.
    std::string read() {
        std::string all;
        std::array<char, 65536> buffer;
        for (pollfd request{ends[0], POLLIN, 0}; ::poll(&request, 1, 0) > 0;) {
            const auto count = ::read(ends[0], buffer.data(), buffer.size());
            if (count <= 0) break;
            all.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return all;
    }
    std::array<int, 2> ends{};
};

// Alternates between writing half of the bytes and failing.
ssize_t write_half_or_fail(int descriptor, const void* bytes, std::size_t size) {
    static bool accepts = false;
    accepts = !accepts;
    if (!accepts) return -1;
    return ::write(descriptor, bytes, size - size / 2);
}

TEST(Descriptor, NeverInterleavesAPartlyWrittenLine) {
    Pipe pipe;
    DescriptorSink sink(pipe.ends[1], write_half_or_fail);
    std::string accepted;
    for (int i = 0; i < 200; ++i) {
        const std::string text = "line " + std::to_string(i) + " of many\n";
        if (sink.try_write(text)) accepted += text;
    }
    const std::string out = pipe.read();
    EXPECT_GT(out.size(), 200U);
    EXPECT_EQ(accepted.substr(0, out.size()), out);
    EXPECT_LT(accepted.size() - out.size(), 40U) << "more than one line is unwritten";
}

TEST(Descriptor, AcceptsNothingWhenClosedOrBroken) {
    DescriptorSink none(-1);
    EXPECT_FALSE(none.try_write("nobody\n"));
    std::signal(SIGPIPE, SIG_IGN);
    Pipe pipe;
    ::close(pipe.ends[0]);
    DescriptorSink broken(pipe.ends[1]);
    EXPECT_FALSE(broken.try_write("nobody\n"));
    pipe.ends[0] = ::dup(pipe.ends[1]);
}

// Logger

// A sink that stores lines and accepts a limited number of them.
struct RecordingSink final : Sink {
    bool try_write(std::string_view line) override {
        if (remaining == 0) return false;
        if (remaining > 0) --remaining;
        lines.emplace_back(line.substr(0, line.size() - 1));
        return true;
    }
    std::size_t count(std::string_view start) const {
        return static_cast<std::size_t>(std::count_if(
            lines.begin(), lines.end(), [&](const auto& line) { return line.starts_with(start); }));
    }
    int remaining = -1;  // lines that it still accepts; negative: unlimited
    std::vector<std::string> lines;
};

// A full pipe does not block the logger (otherwise this test would hang). The first line after the pipe is read again
// reports how many lines were dropped.
TEST(Logger, DropsAndCountsLinesWhileThePipeIsFull) {
    Pipe pipe;
    DescriptorSink sink(pipe.ends[1]);
    ManualClock clock;
    Logger log(sink, clock);
    int callbacks = 0;
    log.on_pending([&] { ++callbacks; });
    const std::string text(100, 'x');
    constexpr int lines = 3000;  // a pipe holds some 64 KiB
    for (int i = 0; i < lines; ++i) log.write(events::operators_fault, text);
    EXPECT_EQ(callbacks, 1);
    std::string all = pipe.read();
    log.retry();
    all += pipe.read();
    EXPECT_FALSE(log.has_pending());
    const auto end = all.find("log: ");
    const auto written = end / (text.size() + 1);
    EXPECT_EQ(end % (text.size() + 1), 0U) << "a line was written in part";
    EXPECT_GT(written, 100U);
    EXPECT_EQ(all.substr(end), "log: " + std::to_string(lines - written) +
                                   " lines dropped because they were not read in time\n");
    log.write(events::draining);
    EXPECT_EQ(pipe.read(), "draining\n");
}

// A stalled terminal accepts part of a line and would block the writer for the rest (then this test would hang).
TEST(Logger, DoesNotBlockOnAStalledTerminal) {
    const int screen = ::posix_openpt(O_RDWR | O_NOCTTY);
    ASSERT_TRUE(screen >= 0 && ::grantpt(screen) == 0 && ::unlockpt(screen) == 0);
    const int terminal = ::open(::ptsname(screen), O_RDWR | O_NOCTTY);
    ASSERT_GE(terminal, 0);
    ManualClock clock;
    DescriptorSink sink(terminal);
    Logger log(sink, clock);
    std::string logged;  // lines of many lengths, so that one of them fits only in part
    for (std::size_t i = 0; !log.has_pending(); ++i) {
        const std::string text(1 + i * 37 % 211, 'x');
        logged += "store: " + text + "\n";
        log.write(events::store_trouble, text);
    }
    std::string shown;
    const auto read = [&] {
        std::array<char, 65536> buffer;
        const auto count = ::read(screen, buffer.data(), buffer.size());
        for (ssize_t i = 0; i < count; ++i) {
            if (buffer[static_cast<std::size_t>(i)] != '\r') shown += buffer[static_cast<std::size_t>(i)];
        }
    };
    for (; log.has_pending(); log.retry()) read();
    log.write(events::drained);
    while (!shown.ends_with("drained\n")) read();
    EXPECT_EQ(shown, logged + "drained\n");
    ::close(terminal);
    ::close(screen);
}

// While nothing reads the log, a flood of one event fills its part of the queue; a rare event still finds space.
TEST(Logger, AFloodOfOneEventDoesNotDropARareOne) {
    for (const bool limited : {false, true}) {
        RecordingSink sink;
        ManualClock clock;
        Logger log(sink, clock);
        Options options;
        if (limited) options.rate = {5, 3};
        log.set(options);
        sink.remaining = 0;
        for (int i = 0; i < 10'000; ++i) {
            log.write(core::events::from_module, "flood");
            clock.at += 1ms;
            if (i % 2000 == 0) log.write(events::discovery_call_failed, std::to_string(i));
        }
        sink.remaining = -1;
        log.write(events::draining);
        EXPECT_EQ(sink.count("discovery: call failed"), 5U);
        EXPECT_EQ(sink.lines.back(), "draining");
        if (!limited) {
            EXPECT_EQ(sink.count("log: 9936 lines dropped"), 1U);  // a quarter of 256 entries was queued
        }
    }
}

TEST(Logger, ReportsSuppressedLinesOfEachEvent) {
    RecordingSink sink;
    ManualClock clock;
    {
        Logger log(sink, clock);
        Options options;
        options.rate = {2, 3};
        log.set(options);
        for (int i = 0; i < 10; ++i) log.write(core::events::from_module, "m");
        EXPECT_EQ(sink.count("m"), 3U);
        EXPECT_TRUE(log.has_pending());
        log.write(events::draining);
        EXPECT_EQ(sink.lines.back(), "draining")
            << "the suppressed lines of another event are not reported too early";
        clock.at += 500ms;
        log.retry();
        EXPECT_EQ(sink.lines.back(), "log: 7 lines of event module suppressed by the rate limit");
        EXPECT_FALSE(log.has_pending());
        for (int i = 0; i < 3; ++i) log.write(core::events::from_module, "m");
        EXPECT_EQ(sink.count("m"), 4U);
    }
    EXPECT_EQ(sink.lines.back(), "log: 2 lines of event module suppressed by the rate limit")
        << "all are reported at the end";
}

TEST(Logger, AppliesChangedLevelsAndFormats) {
    RecordingSink sink;
    ManualClock clock;
    Logger log(sink, clock);
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
        sink.lines.clear();
        log.write(core::events::from_module, "m");
        log.write(events::discovery_watch_failed, "w");
        log.write(core::events::fault, "f");
        EXPECT_EQ(sink.lines, each.written) << each.file;
    }
}

TEST(Logger, RejectsUnknownEventsAndLevels) {
    for (const auto& [text, fault] : std::map<std::string, std::string>{
             {"modul=off", "there is no event \"modul\""},
             {"module=loud", "there is no level \"loud\""},
             {"module", "\"module\" is not EVENT=LEVEL"},
         }) {
        const auto values =
            settings::read_text("[log]\nevents = [\"" + text + "\"]\n", settings::product_schema());
        const auto options = options_from(std::get<settings::Values>(values));
        ASSERT_TRUE(std::holds_alternative<settings::Faults>(options)) << text;
        const auto& first = std::get<settings::Faults>(options).first().front();
        EXPECT_EQ(first.what, fault);
        EXPECT_EQ(first.at.line, 2U);
    }
}

// However the sink behaves, each logged line is written, dropped or suppressed, and is counted exactly once.
TEST(Logger, EveryLineIsCountedOnce) {
    for (const std::uint32_t seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        RecordingSink sink;
        ManualClock clock;
        std::uint64_t logged = 0;
        {
            Logger log(sink, clock);
            Options options;
            if (seed % 2 == 0) options.rate = {20, 5};
            options.queue = {32 << 10, 40};
            log.set(options);
            for (int i = 0; i < 3'000; ++i) {
                if (random() % 50 == 0) sink.remaining = static_cast<int>(random() % 40);
                clock.at += Micros(random() % 20'000);
                const std::string text(random() % 900, 'x');
                switch (random() % 3) {
                    case 0: log.write(events::draining); break;
                    case 1: log.write(events::operators_fault, text); break;
                    case 2: log.write(core::events::fault, text); break;
                }
                ++logged;
                if (random() % 10 == 0) log.retry();
            }
            sink.remaining = -1;
        }
        std::uint64_t written = 0, missing = 0;
        for (const auto& each : sink.lines) {
            unsigned long count = 0;
            if (std::sscanf(each.c_str(), "log: %lu lines", &count) == 1) {
                missing += count;
            } else {
                ++written;
            }
        }
        EXPECT_EQ(written + missing, logged);
        EXPECT_GT(missing, 100U);
    }
}

TEST(Queue, IsBounded) {
    for (const std::uint32_t seed : {7U, 8U, 9U}) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        LineQueue queue;
        queue.set_bounds({40'000, 64});
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
