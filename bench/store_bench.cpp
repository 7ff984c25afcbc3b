// Measures the store, and beside it a log and a map (baseline/map_log.h): one figure of one engine a run, as
// a line of JSON. What runs when, and how the figures are put together: run.py store. Found:
// docs/measurements/store.md.
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <semaphore>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "baseline/map_log.h"
#include "store/store.h"

namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

constexpr std::size_t value_bytes = 100;

double seconds_since(Clock::time_point began) {
    return std::chrono::duration<double>(Clock::now() - began).count();
}

// 16 bytes; numbers that follow one another lie far apart.
std::string key_of(std::uint64_t number) {
    std::uint64_t x = number * 0x9e3779b97f4a7c15ULL;
    x ^= x >> 32;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(x));
    return {text, 16};
}

// Not to be compressed.
void fill(std::string& value, std::mt19937_64& chance) {
    value.resize(value_bytes);
    for (std::size_t i = 0; i < value_bytes; i += 4) {
        const auto part = static_cast<std::uint32_t>(chance());
        std::memcpy(value.data() + i, &part, 4);
    }
}

struct Io {
    std::uint64_t wchar = 0;  // bytes handed to write calls
    std::uint64_t pages = 0;  // bytes of pages made dirty
};
Io io_now() {
    Io io;
    std::ifstream file("/proc/self/io");
    std::string name;
    std::uint64_t n = 0;
    while (file >> name >> n) {
        if (name == "wchar:") io.wchar = n;
        if (name == "write_bytes:") io.pages = n;
    }
    return io;
}

// Of the processor, by all threads: what other programs do matters less to it than to the time that passed.
double cpu_now() {
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    return double(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           double(used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
}

std::uint64_t rss_now() {
    std::ifstream file("/proc/self/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("RssAnon:", 0) == 0) return std::strtoull(line.c_str() + 8, nullptr, 10) * 1024;
    }
    return 0;
}

std::uint64_t folder_bytes(const std::string& folder) {
    std::uint64_t bytes = 0;
    for (const auto& entry : fs::directory_iterator(folder)) {
        std::error_code gone;
        const auto size = entry.file_size(gone);
        if (!gone) bytes += size;
    }
    return bytes;
}

void drop_from_page_cache(const std::string& folder) {
    for (const auto& entry : fs::directory_iterator(folder)) {
        const int fd = ::open(entry.path().c_str(), O_RDONLY | O_CLOEXEC);
        if (fd < 0) continue;
        (void)::fsync(fd);
        (void)::posix_fadvise(fd, 0, 0, POSIX_FADV_DONTNEED);
        ::close(fd);
    }
}

[[noreturn]] void fail(const std::string& what) { throw std::runtime_error(what); }

using Pairs = std::vector<std::pair<std::string, std::string>>;

class Engine {
public:
    virtual ~Engine() = default;
    // A batch, from any thread; returns once it is durable, or written when it need not be.
    virtual void write(const Pairs& pairs, bool durable) = 0;
    virtual bool read(const std::string& key, std::string& value) = 0;  // one thread
    virtual void settle() = 0;                                          // background work ends
    virtual std::string more() { return {}; }                           // further fields of JSON
};

namespace store = flaxdoor::store;

class Ours final : public Engine {
public:
    explicit Ours(const std::string& folder) {
        auto opened = store::Store::open(folder, {});
        if (!opened.result) fail(opened.result.why);
        opening_ = opened.opening;
        store_ = std::move(opened.store);
        ask([this](store::Engine& engine) {
            if (auto result = engine.space("bench", store::SpaceKind::keys, true, space_); !result)
                fail(result.why);
        });
    }
    void write(const Pairs& pairs, bool durable) override {
        std::binary_semaphore ended(0);
        store::Result end;
        for (;;) {
            store::Batch batch;
            for (const auto& [key, value] : pairs) batch.put(space_, key, value);
            auto result =
                store_->write(std::move(batch), durable ? store::Level::durable : store::Level::soon,
                              [&](store::Engine::Written written) {
                                  end = std::move(written.result);
                                  ended.release();
                              });
            if (result) {
                ended.acquire();
                result = end;
            }
            if (result) return;
            if (result.status != store::Status::retry) fail(result.why);
            std::this_thread::yield();
        }
    }
    bool read(const std::string& key, std::string& value) override {
        std::optional<std::string> found;
        if (direct_) {
            if (auto result = direct_->get(space_, key, found); !result) fail(result.why);
        } else {
            ask([&](store::Engine& engine) {
                if (auto result = engine.get(space_, key, found); !result) fail(result.why);
            });
        }
        if (found) value = std::move(*found);
        return found.has_value();
    }
    // Runs a function on the store's thread that reads the engine without a queue between.
    void within(const std::function<void()>& work) {
        ask([&](store::Engine& engine) {
            direct_ = &engine;
            work();
            direct_ = nullptr;
        });
    }
    void settle() override {
        bool more = true;
        while (more) {
            ask([&](store::Engine& engine) {
                more = engine.has_work();
                if (more) {
                    if (auto result = engine.step(); !result) fail(result.why);
                }
            });
        }
    }
    std::string more() override {
        const auto figures = store_->figures();
        std::ostringstream out;
        out << ",\"engine_written\":" << figures.engine.written_bytes
            << ",\"engine_user\":" << figures.engine.user_bytes << ",\"syncs\":" << figures.engine.syncs
            << ",\"flushes\":" << figures.engine.flushes << ",\"merges\":" << figures.engine.merges
            << ",\"runs\":" << figures.engine.runs << ",\"records\":" << opening_.records
            << ",\"longest_write_us\":" << figures.longest_write.count()
            << ",\"longest_step_us\":" << figures.longest_step.count();
        return out.str();
    }

private:
    template <typename Work>
    void ask(Work work) {
        std::binary_semaphore ended(0);
        while (!store_->ask([&](store::Engine& engine) {
            work(engine);
            ended.release();
        })) {
            std::this_thread::yield();
        }
        ended.acquire();
    }
    std::unique_ptr<store::Store> store_;
    store::Opening opening_;
    store::SpaceId space_ = 0;
    store::Engine* direct_ = nullptr;
};

class Floor final : public Engine {
public:
    explicit Floor(const std::string& folder) : log_(folder) {}
    void write(const Pairs& pairs, bool durable) override { log_.write(pairs, durable); }
    bool read(const std::string& key, std::string& value) override { return log_.read(key, value); }
    void settle() override {}
    std::string more() override { return ",\"records\":" + std::to_string(log_.records()); }

private:
    flaxdoor::bench::MapLog log_;
};

std::unique_ptr<Engine> open(const std::string& engine, const std::string& folder) {
    if (engine == "store") return std::make_unique<Ours>(folder);
    if (engine == "baseline") return std::make_unique<Floor>(folder);
    fail("engine: store or baseline");
}

struct Settings {
    std::string engine = "store", folder;
    std::uint64_t keys = 1000;
    std::uint64_t count = 0;  // of operations
    int writers = 1;
    double seconds = 2;
    std::uint64_t bytes = 176;  // of one raw append
    bool killed = false;        // ends without a closing
    bool cold = false;
    bool direct = false;
    bool sorted = false;
};

std::string latencies(std::vector<double>& micros) {
    std::sort(micros.begin(), micros.end());
    const auto at = [&](double part) {
        return micros.empty() ? 0
                              : micros[std::min(micros.size() - 1,
                                                static_cast<std::size_t>(part * double(micros.size())))];
    };
    std::ostringstream out;
    out << ",\"p50_us\":" << at(0.5) << ",\"p99_us\":" << at(0.99) << ",\"p999_us\":" << at(0.999)
        << ",\"max_us\":" << at(1);
    return out.str();
}

// What the disk allows one writer: appends and fdatasync, to a file that grows, or over bytes that were
// there before.
void raw(const Settings& s, bool over) {
    fs::create_directories(s.folder);
    const std::string path = s.folder + "/raw";
    const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) fail(path);
    constexpr std::uint64_t ahead = 16 * 1024 * 1024;
    if (over) {
        const std::string zeros(1024 * 1024, '\0');
        for (std::uint64_t at = 0; at < ahead; at += zeros.size()) {
            if (::pwrite(fd, zeros.data(), zeros.size(), static_cast<off_t>(at)) < 0) fail("pwrite");
        }
        if (::fsync(fd) != 0) fail("fsync");
    }
    const std::string bytes(s.bytes, 'x');
    std::vector<double> micros;
    std::uint64_t at = 0;
    const auto began = Clock::now();
    while (seconds_since(began) < s.seconds) {
        const auto one = Clock::now();
        if (::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(at)) < 0) fail("pwrite");
        if (::fdatasync(fd) != 0) fail("fdatasync");
        micros.push_back(seconds_since(one) * 1e6);
        at += bytes.size();
        if (over && at + bytes.size() > ahead) at = 0;
    }
    const double took = seconds_since(began);
    ::close(fd);
    std::cout << "{\"rate\":" << double(micros.size()) / took << latencies(micros) << "}\n";
}

// Durable batches of one put each, of few keys or many.
void write(const Settings& s, bool durable) {
    const auto engine = open(s.engine, s.folder);
    const Io before = io_now();
    const double cpu = cpu_now();
    std::atomic<std::uint64_t> taken = 0;
    std::vector<std::vector<double>> micros(static_cast<std::size_t>(s.writers));
    const auto began = Clock::now();
    {
        std::vector<std::jthread> threads;
        for (int w = 0; w < s.writers; ++w) {
            threads.emplace_back([&, w] {
                std::mt19937_64 chance(static_cast<std::uint64_t>(w) + 1);
                Pairs pairs(1);
                for (;;) {
                    if (s.count > 0) {
                        if (taken.fetch_add(1) >= s.count) break;
                    } else if (seconds_since(began) >= s.seconds) {
                        break;
                    }
                    pairs[0].first = key_of(chance() % s.keys);
                    fill(pairs[0].second, chance);
                    const auto one = Clock::now();
                    engine->write(pairs, durable);
                    micros[static_cast<std::size_t>(w)].push_back(seconds_since(one) * 1e6);
                }
            });
        }
    }
    const double took = seconds_since(began);
    engine->settle();
    const Io after = io_now();
    std::vector<double> all;
    for (const auto& part : micros) all.insert(all.end(), part.begin(), part.end());
    const double user = double(all.size()) * double(16 + value_bytes);
    std::cout << "{\"rate\":" << double(all.size()) / took << ",\"seconds\":" << took
              << ",\"batches\":" << all.size()
              << ",\"cpu_us\":" << (cpu_now() - cpu) * 1e6 / double(all.size()) << latencies(all)
              << ",\"wchar\":" << after.wchar - before.wchar << ",\"pages\":" << after.pages - before.pages
              << ",\"amplification\":" << double(after.wchar - before.wchar) / user
              << ",\"folder\":" << folder_bytes(s.folder)
              << ",\"live\":" << std::min<std::uint64_t>(s.keys, all.size()) * (16 + value_bytes)
              << engine->more() << "}\n";
}

void load(const Settings& s) {
    const auto began = Clock::now();
    const double cpu = cpu_now();
    {
        const auto engine = open(s.engine, s.folder);
        std::mt19937_64 chance(7);
        constexpr std::uint64_t together = 500;
        std::vector<std::string> sorted;
        if (s.sorted) {
            for (std::uint64_t i = 0; i < s.keys; ++i) sorted.push_back(key_of(i));
            std::sort(sorted.begin(), sorted.end());
        }
        for (std::uint64_t i = 0; i < s.keys; i += together) {
            Pairs pairs(std::min(together, s.keys - i));
            for (std::uint64_t j = 0; j < pairs.size(); ++j) {
                pairs[j].first = s.sorted ? std::move(sorted[i + j]) : key_of(i + j);
                fill(pairs[j].second, chance);
            }
            engine->write(pairs, false);
        }
        engine->settle();
    }
    std::cout << "{\"seconds\":" << seconds_since(began) << ",\"cpu\":" << cpu_now() - cpu
              << ",\"folder\":" << folder_bytes(s.folder) << "}\n";
}

// Overwrites that stay in the log, and an end without a closing.
void fill_log(const Settings& s) {
    const auto engine = open(s.engine, s.folder);
    std::mt19937_64 chance(9);
    Pairs pairs(1);
    for (std::uint64_t i = 0; i < s.count; ++i) {
        pairs[0].first = key_of(chance() % s.keys);
        fill(pairs[0].second, chance);
        engine->write(pairs, false);
    }
    pairs[0].first = key_of(0);
    engine->write(pairs, true);
    std::cout << "{\"folder\":" << folder_bytes(s.folder) << engine->more() << "}\n" << std::flush;
    std::_Exit(0);
}

void start(const Settings& s) {
    if (s.cold) drop_from_page_cache(s.folder);
    const auto rss = rss_now();
    const Io before = io_now();
    const auto began = Clock::now();
    const auto engine = open(s.engine, s.folder);
    const double opened = seconds_since(began);
    std::string value;
    const bool found = engine->read(key_of(1), value);
    const double first = seconds_since(began);
    std::cout << "{\"seconds\":" << opened << ",\"first_read\":" << first << ",\"found\":" << found
              << ",\"rss\":" << rss_now() - rss << ",\"wchar\":" << io_now().wchar - before.wchar
              << ",\"folder\":" << folder_bytes(s.folder) << engine->more() << "}\n"
              << std::flush;
    if (s.killed) std::_Exit(0);
}

void read(const Settings& s) {
    const auto rss = rss_now();
    const auto engine = open(s.engine, s.folder);
    std::string value;
    std::uint64_t reads = 0, missed = 0;
    double took = 0, cpu = 0;
    const auto work = [&] {
        std::mt19937_64 chance(11);
        // Twice: what is measured is warm.
        for (const double seconds : {s.seconds / 2, s.seconds}) {
            reads = missed = 0;
            const auto began = Clock::now();
            cpu = cpu_now();
            do {
                for (int i = 0; i < 100; ++i) {
                    if (!engine->read(key_of(chance() % s.keys), value)) ++missed;
                }
                reads += 100;
                took = seconds_since(began);
            } while (took < seconds);
            cpu = cpu_now() - cpu;
        }
    };
    if (s.direct) {
        static_cast<Ours&>(*engine).within(work);
    } else {
        work();
    }
    if (missed > 0) fail("keys are missing: " + std::to_string(missed));
    std::cout << "{\"rate\":" << double(reads) / took << ",\"cpu_us\":" << cpu * 1e6 / double(reads)
              << ",\"rss\":" << rss_now() - rss << "}\n";
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures the store beside a log and a map");
    Settings s;
    std::function<void()> chosen;
    app.require_subcommand(1);
    const auto add = [&](const char* name, const char* what, std::function<void()> work) {
        auto* const one = app.add_subcommand(name, what);
        one->add_option("--engine", s.engine, "store or baseline");
        one->add_option("--folder", s.folder)->required();
        one->add_option("--keys", s.keys);
        one->add_option("--count", s.count);
        one->add_option("--writers", s.writers);
        one->add_option("--seconds", s.seconds);
        one->add_option("--bytes", s.bytes);
        one->add_flag("--killed", s.killed);
        one->add_flag("--cold", s.cold);
        one->add_flag("--direct", s.direct);
        one->add_flag("--sorted", s.sorted);
        one->callback([&chosen, work = std::move(work)] { chosen = work; });
    };
    add("raw-grow", "append and fdatasync, the file grows", [&] { raw(s, false); });
    add("raw-over", "the same over bytes that were there", [&] { raw(s, true); });
    add("write", "durable batches of one put", [&] { write(s, true); });
    add("overwrite", "batches that need not be durable at once", [&] { write(s, false); });
    add("load", "a store of so many keys", [&] { load(s); });
    add("fill-log", "overwrites, and an end without a closing", [&] { fill_log(s); });
    add("start", "an opening", [&] { start(s); });
    add("read", "random reads of keys that are there", [&] { read(s); });
    CLI11_PARSE(app, argc, argv);
    try {
        chosen();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
