#include "store/store.h"

#include <algorithm>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace flaxdoor::store {

namespace {

// Limits of the requests that one engine write groups.
constexpr std::size_t group_bytes = 1024 * 1024;
constexpr std::size_t group_requests = 1000;
// Delay before failed background work is retried
constexpr auto background_retry_delay = std::chrono::milliseconds(200);

Engine::Chance system_random() {
    return [device = std::make_shared<std::random_device>()] {
        return static_cast<std::uint64_t>((*device)()) << 32 | (*device)();
    };
}

template <typename Duration>
std::chrono::microseconds to_microseconds(Duration duration) {
    return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

}  // namespace

// State shared by the thread and the Store object. It outlives a Store whose close() timed out.
class Store::Shared {
public:
    explicit Shared(Options options) : options_(std::move(options)) {}

    // Opens the engine. Called before the thread starts or on the thread.
    Result open(std::unique_ptr<Files> files, Engine::Chance random, Opening& opening) {
        auto opened = Engine::open(*files, options_.engine, std::move(random));
        opening = opened.opening;
        if (!opened.result) return opened.result;
        files_ = std::move(files);
        engine_ = std::move(opened.engine);
        update_figures();
        return Result::ok();
    }

    // Starts the thread. `open_store`, if set, runs first and returns whether the store is open.
    static void start_thread(const std::shared_ptr<Shared>& shared,
                             std::function<Result(Shared&)> open_store) {
        shared->thread_ = std::thread([shared, open_store = std::move(open_store)] {
            const Result result = open_store ? open_store(*shared) : Result::ok();
            if (result) {
                shared->run();
            } else {
                shared->reject_requests(result);
            }
            const std::lock_guard lock(shared->mutex_);
            shared->finished_ = true;
            shared->ended_.notify_all();
        });
    }

    bool close(std::optional<std::chrono::milliseconds> within) {
        std::unique_lock lock(mutex_);
        closing_ = true;
        wake_.notify_one();
        if (abandoned_) return finished_;
        if (!within) {
            ended_.wait(lock, [&] { return finished_; });
        } else if (!ended_.wait_for(lock, *within, [&] { return finished_; })) {
            abandoned_ = true;
        }
        const bool finished = finished_;
        if (!thread_.joinable()) return finished;
        std::thread thread = std::move(thread_);
        lock.unlock();
        if (finished) {
            thread.join();
        } else {
            thread.detach();
        }
        return finished;
    }

    Result write(Batch batch, Level level, Done done) {
        Request request;
        request.bytes = batch.bytes() + batch.operations().size() * sizeof(Batch::Operation);
        request.batch = std::move(batch);
        request.level = level;
        request.done = std::move(done);
        return enqueue(std::move(request));
    }

    Result ask(std::function<void(Engine&)> task, std::function<void(Result)> done) {
        Request request;
        request.bytes = sizeof(Request);
        request.task = std::move(task);
        if (done) {
            request.done = [done = std::move(done)](Engine::Written written) {
                done(std::move(written.result));
            };
        }
        return enqueue(std::move(request));
    }

    StoreFigures figures() const {
        const std::lock_guard lock(mutex_);
        StoreFigures figures = figures_;
        figures.queued = queue_.size();
        figures.queued_bytes = queued_bytes_;
        return figures;
    }

    // Runs or posts a callback. Does nothing once the thread is abandoned, as the target of the callback may
    // be destroyed.
    void run_callback(std::function<void()> callback) {
        if (!options_.post) {
            {
                const std::lock_guard lock(mutex_);
                if (abandoned_) return;
            }
            return callback();
        }
        const std::lock_guard lock(mutex_);
        if (!abandoned_) options_.post(std::move(callback));
    }

    const Options& options() const { return options_; }

private:
    struct Request {
        Batch batch;
        Level level = Level::durable;
        Done done;
        std::function<void(Engine&)> task;
        std::size_t bytes = 0;
    };
    using Clock = std::chrono::steady_clock;

    Result enqueue(Request request) {
        {
            const std::lock_guard lock(mutex_);
            if (closing_) return Result::refused("the store is closed");
            if (queue_.size() >= options_.queue_requests ||
                queued_bytes_ + request.bytes > options_.queue_bytes) {
                ++figures_.turned_away;
                return Result::retry("the store's queue is full");
            }
            queued_bytes_ += request.bytes;
            queue_.push_back(std::move(request));
        }
        wake_.notify_one();
        return Result::ok();
    }

    void run() {
        for (;;) {
            std::deque<Request> group;
            {
                std::unique_lock lock(mutex_);
                while (queue_.empty() && !closing_) {
                    const auto now = Clock::now();
                    auto wake_at = Clock::time_point::max();
                    if (sync_pending_) wake_at = std::min(wake_at, sync_deadline_);
                    if (engine_->has_work()) wake_at = std::min(wake_at, next_background_step_);
                    if (wake_at <= now) break;
                    if (wake_at == Clock::time_point::max()) {
                        wake_.wait(lock);
                    } else {
                        wake_.wait_until(lock, wake_at);
                    }
                }
                if (queue_.empty() && closing_) break;
                // Consecutive writes form a group; a task is run alone.
                std::size_t bytes = 0;
                while (!queue_.empty() && group.size() < group_requests && bytes < group_bytes) {
                    const bool task = static_cast<bool>(queue_.front().task);
                    if (task && !group.empty()) break;
                    bytes += queue_.front().bytes;
                    queued_bytes_ -= queue_.front().bytes;
                    group.push_back(std::move(queue_.front()));
                    queue_.pop_front();
                    if (task) break;
                }
            }
            if (!group.empty() && group.front().task) {
                group.front().task(*engine_);
                complete(group.front().done, {});
            } else if (!group.empty()) {
                write_group(std::move(group));
            }
            sync_if_due(false);
            if (engine_->has_work() && Clock::now() >= next_background_step_) run_background_step();
            update_figures();
        }
        sync_if_due(true);
        update_figures();
    }

    void write_group(std::deque<Request> group) {
        // Writers that outpace merging are stalled here, so that the queue fills and its bound limits them.
        while (engine_->crowded()) {
            if (!engine_->step()) break;
        }
        std::vector<const Batch*> batches;
        bool durable = false;
        for (const Request& request : group) {
            batches.push_back(&request.batch);
            durable = durable || request.level == Level::durable;
        }
        const auto start = Clock::now();
        auto written = engine_->write(batches, durable);
        const auto elapsed = to_microseconds(Clock::now() - start);
        // Depends on the engine and not on the requested level, as a durable group whose writes all failed
        // has synced nothing.
        if (engine_->synced()) {
            sync_pending_ = false;
        } else if (!sync_pending_) {
            sync_pending_ = true;
            sync_deadline_ = start + options_.soon;
        }
        {
            const std::lock_guard lock(mutex_);
            ++figures_.groups;
            figures_.longest_write = std::max(figures_.longest_write, elapsed);
        }
        for (std::size_t i = 0; i < group.size(); ++i) complete(group[i].done, std::move(written[i]));
    }

    void complete(Done& done, Engine::Written written) {
        if (!done) return;
        run_callback(
            [done = std::move(done), written = std::move(written)]() mutable { done(std::move(written)); });
    }

    // The store could not be opened: completes all present and later requests with the reason.
    void reject_requests(const Result& reason) {
        for (;;) {
            std::deque<Request> requests;
            {
                std::unique_lock lock(mutex_);
                wake_.wait(lock, [&] { return !queue_.empty() || closing_; });
                if (queue_.empty()) return;
                requests.swap(queue_);
                queued_bytes_ = 0;
            }
            for (Request& request : requests) {
                request.task = {};
                complete(request.done, {reason, 0, {}});
            }
        }
    }

    void sync_if_due(bool force) {
        if (!sync_pending_ || (!force && Clock::now() < sync_deadline_)) return;
        sync_pending_ = false;
        // Requests with Level::soon are already acknowledged. The next write reports the error of the store.
        if (Result result = engine_->sync(); !result) {
            const std::lock_guard lock(mutex_);
            figures_.sync_failed = std::move(result);
        }
    }

    void run_background_step() {
        const std::uint64_t bytes_before = engine_->figures().written_bytes;
        const auto start = Clock::now();
        const Result result = engine_->step();
        const auto end = Clock::now();
        next_background_step_ = end;
        if (!result) {
            next_background_step_ += background_retry_delay;
        } else if (options_.work_rate > 0) {
            const std::uint64_t bytes = engine_->figures().written_bytes - bytes_before;
            next_background_step_ = start + std::chrono::microseconds(bytes * 1'000'000 / options_.work_rate);
        }
        const std::lock_guard lock(mutex_);
        figures_.longest_step = std::max(figures_.longest_step, to_microseconds(end - start));
    }

    void update_figures() {
        EngineFigures figures = engine_->figures();
        const std::lock_guard lock(mutex_);
        figures_.engine = std::move(figures);
    }

    const Options options_;
    std::unique_ptr<Files> files_;
    std::unique_ptr<Engine> engine_;  // used only by the thread once it runs

    mutable std::mutex mutex_;
    std::condition_variable wake_, ended_;
    std::deque<Request> queue_;
    std::size_t queued_bytes_ = 0;
    bool closing_ = false;
    bool finished_ = false;   // the thread has finished its work
    bool abandoned_ = false;  // the thread was abandoned by close()
    StoreFigures figures_;
    std::thread thread_;

    // Used only by the thread.
    bool sync_pending_ = false;
    Clock::time_point sync_deadline_{};
    Clock::time_point next_background_step_{};
};

Store::Opened Store::open(const std::string& folder, Options options) {
    std::unique_ptr<Files> files;
    if (const int error = store::open_folder(folder, options.engine.make, files); error != 0) {
        return {nullptr, Result::refused(folder + ": " + std::strerror(error)), {}};
    }
    return open(std::move(files), std::move(options), system_random());
}

Store::Opened Store::open(std::unique_ptr<Files> files, Options options, Engine::Chance random) {
    Opened opened;
    auto shared = std::make_shared<Shared>(std::move(options));
    opened.result = shared->open(std::move(files), std::move(random), opened.opening);
    if (!opened.result) return opened;
    Shared::start_thread(shared, {});
    opened.store.reset(new Store(std::move(shared)));
    return opened;
}

std::unique_ptr<Store> Store::start(const std::string& folder, Options options,
                                    std::function<void(Result, Opening)> opened, OpenFolder open_folder) {
    auto shared = std::make_shared<Shared>(std::move(options));
    Shared::start_thread(
        shared, [folder, opened = std::move(opened), open_folder = std::move(open_folder)](Shared& store) {
            std::unique_ptr<Files> files;
            Opening opening;
            const int error = open_folder(folder, store.options().engine.make, files);
            const Result result = error != 0 ? Result::refused(folder + ": " + std::strerror(error))
                                             : store.open(std::move(files), system_random(), opening);
            if (opened) store.run_callback([opened, result, opening] { opened(result, opening); });
            return result;
        });
    return std::unique_ptr<Store>(new Store(std::move(shared)));
}

Store::Store(std::shared_ptr<Shared> shared) : shared_(std::move(shared)) {}
Store::~Store() { close(); }

Result Store::write(Batch batch, Level level, Done done) {
    return shared_->write(std::move(batch), level, std::move(done));
}
Result Store::ask(std::function<void(Engine&)> task, std::function<void(Result)> done) {
    return shared_->ask(std::move(task), std::move(done));
}
void Store::close() { (void)shared_->close(std::nullopt); }
bool Store::close(std::chrono::milliseconds within) { return shared_->close(within); }
StoreFigures Store::figures() const { return shared_->figures(); }

}  // namespace flaxdoor::store
