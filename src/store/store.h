// The store for a program that must not wait for a disk: the engine on a thread of its own behind a bounded
// queue.
//
// Threading: all functions from any thread; none waits for the disk but open() and close().
// Callbacks: handed to Options::post, which runs them where the caller wants them and must not run them in
//            the call; without one they run on the store's thread and must not call close(). Each runs
//            exactly once, in the order of the requests, unless the store was left to itself (close).
// Errors:    status.h. A request that the queue has no room for is `retry`, at once, and nothing of it is
//            done.
// Bounds:    Options. What is queued is written out before close() returns, or by the thread that is left to
//            itself.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "store/engine.h"

namespace flaxdoor::store {

// When a batch is acknowledged.
enum class Level {
    durable,  // once it is
    soon,  // once it is written; it is durable within Options::soon, unless the disk stalls or a sync fails
};

struct Options {
    EngineOptions engine;
    std::size_t queue_bytes = 16 * 1024 * 1024;
    std::size_t queue_requests = 10'000;
    std::chrono::milliseconds soon{100};
    std::uint64_t work_rate = 64 * 1024 * 1024;  // bytes a second that background work may write; 0: no limit
    std::function<void(std::function<void()>)> post;
};

struct StoreFigures {
    EngineFigures engine;
    std::size_t queued = 0, queued_bytes = 0;
    std::uint64_t turned_away = 0;              // requests that the queue had no room for
    std::uint64_t groups = 0;                   // writes that joined batches
    std::chrono::microseconds longest_write{};  // of a group, with its sync
    std::chrono::microseconds longest_step{};
    std::optional<Result> sync_failed;  // one that nobody waited for
};

class Store {
public:
    struct Opened {
        std::unique_ptr<Store> store;  // null unless the result is ok
        Result result;
        Opening opening;
    };
    // Reads what is there, in the call.
    [[nodiscard]] static Opened open(const std::string& folder, Options options);
    [[nodiscard]] static Opened open(std::unique_ptr<Files> files, Options options, Engine::Chance chance);

    // The same on the store's thread: requests may be made at once, and wait. `opened` is told first, by the
    // rules of callbacks. When it can't be opened, all requests end with the reason.
    using OpenFolder =
        std::function<int(const std::string& folder, bool make, std::unique_ptr<Files>& files)>;
    [[nodiscard]] static std::unique_ptr<Store> start(const std::string& folder, Options options,
                                                      std::function<void(Result, Opening)> opened,
                                                      OpenFolder open_folder = store::open_folder);
    // As close().
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    using Done = std::function<void(Engine::Written)>;
    Result write(Batch batch, Level level, Done done = {});
    // The question runs on the store's thread, behind what was queued before; it may read, and make spaces.
    // `done` is told when it has; or why the store could not be opened: then it is dropped.
    Result ask(std::function<void(Engine&)> question, std::function<void(Result)> done = {});

    // Takes no further requests, writes out what is queued, syncs, and ends the thread. With a limit: false
    // when that took longer; then the thread goes on by itself with what it has, and tells nobody. Questions
    // must own what they touch.
    void close();
    [[nodiscard]] bool close(std::chrono::milliseconds within);
    StoreFigures figures() const;

private:
    class Shared;
    explicit Store(std::shared_ptr<Shared> shared);
    std::shared_ptr<Shared> shared_;  // with the thread
};

}  // namespace flaxdoor::store
