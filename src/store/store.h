// Asynchronous store for programs that must not wait for a disk. It runs an Engine on a thread of its own
// behind a bounded queue.
//
// Threading: all functions may be called from any thread. Only open() and close() wait for the disk.
// Callbacks: each callback is passed to Options::post, which runs it where the caller wants. `post` must not
//            run the callback within its own call. Without `post`, callbacks run on the store's thread and
//            must not call close(). Each callback runs exactly once, in the order of the requests, unless
//            close() has abandoned the thread.
// Errors:    status.h. A request for which the queue has no space returns `retry` at once and has no effect.
// Bounds:    Options. Queued requests are written before close() returns, or by the thread that close() has
//            abandoned.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "store/engine.h"

namespace flaxdoor::store {

// When a write is acknowledged.
enum class Level {
    // Once it is durable.
    durable,
    // Once it is written. It becomes durable within Options::soon, unless the disk stalls or a sync fails.
    soon,
};

struct Options {
    EngineOptions engine;
    // Bounds of the queue.
    std::size_t queue_bytes = 16 * 1024 * 1024;
    std::size_t queue_requests = 10'000;
    std::chrono::milliseconds soon{100};  // longest delay from a write with Level::soon to its sync
    // Bytes per second that background work may write; 0 means no limit.
    std::uint64_t work_rate = 64 * 1024 * 1024;
    // Runs a callback in the caller's context; see "Callbacks" above.
    std::function<void(std::function<void()>)> post;
};

// Counters since the store was opened.
struct StoreFigures {
    EngineFigures engine;
    std::size_t queued = 0, queued_bytes = 0;
    std::uint64_t turned_away = 0;              // requests rejected because the queue was full
    std::uint64_t groups = 0;                   // engine writes, each of one or several batches
    std::chrono::microseconds longest_write{};  // longest engine write, including its sync
    std::chrono::microseconds longest_step{};   // longest step of background work
    std::optional<Result> sync_failed;          // last error of a sync that no request waited for
};

class Store {
public:
    struct Opened {
        std::unique_ptr<Store> store;  // null unless the result is ok
        Result result;
        Opening opening;
    };
    // Opens the store within the call.
    [[nodiscard]] static Opened open(const std::string& folder, Options options);
    [[nodiscard]] static Opened open(std::unique_ptr<Files> files, Options options, Engine::Chance chance);

    // Opens the store on its own thread. Requests may be made at once and wait for the opening. `opened` is
    // called first, under the rules for callbacks. If the store cannot be opened, all requests complete with
    // the reason.
    using OpenFolder =
        std::function<int(const std::string& folder, bool create, std::unique_ptr<Files>& files)>;
    [[nodiscard]] static std::unique_ptr<Store> start(const std::string& folder, Options options,
                                                      std::function<void(Result, Opening)> opened,
                                                      OpenFolder open_folder = store::open_folder);
    // Equivalent to close().
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    using Done = std::function<void(Engine::Written)>;
    // Queues a batch. `done` is called once it is acknowledged as `level` demands, or has failed.
    Result write(Batch batch, Level level, Done done = {});
    // Queues `task`, which runs on the store's thread after all requests queued before. The task may read
    // and may create spaces. `done` is called after it has run. If the store could not be opened, the task
    // is dropped and `done` receives the reason.
    Result ask(std::function<void(Engine&)> task, std::function<void(Result)> done = {});

    // Accepts no further requests, writes the queued ones, syncs, and ends the thread. With a limit, returns
    // false if that took longer. Then the thread finishes the queue by itself and calls no callbacks, so
    // queued tasks must own everything they access.
    void close();
    [[nodiscard]] bool close(std::chrono::milliseconds within);
    StoreFigures figures() const;

private:
    class Shared;
    explicit Store(std::shared_ptr<Shared> shared);
    std::shared_ptr<Shared> shared_;  // also owned by the thread
};

}  // namespace flaxdoor::store
