#include "engine/warm_restart.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <iterator>

#include "log/events.h"
#include "settings/tables/store.h"

namespace flaxdoor::engine {

namespace {

using boost::system::error_code;

constexpr const char* space_name = "pools";
constexpr std::size_t max_values = 4 * recovery::parts;
constexpr std::size_t max_writes = 4;  // in progress
// Delay of a list's write, so that lists that follow each other closely are written together.
constexpr auto list_write_delay = std::chrono::milliseconds(50);
constexpr auto reopen_interval = std::chrono::seconds(30);
constexpr auto finish_timeout = std::chrono::seconds(2);
// How long the destructor waits for the store's thread. A thread that is blocked by the disk is abandoned.
constexpr auto close_timeout = std::chrono::milliseconds(100);

store::Identity identity_of(const std::string& hex) {
    store::Identity identity{};
    for (std::size_t i = 0; i < identity.size(); ++i) {
        identity[i] = static_cast<std::uint8_t>(std::stoul(hex.substr(2 * i, 2), nullptr, 16));
    }
    return identity;
}

}  // namespace

// Filled by the store's thread when a store is opened; may be read once `ready` is.
struct WarmRestart::Load {
    store::Result result;
    store::SpaceId space = 0;
    std::vector<std::pair<std::string, std::string>> values;
    std::future<void> ready;
};

namespace {

// Returns false if the store could not be opened; on_opened() logs the reason.
bool was_loaded(std::future<void>& ready) {
    try {
        ready.get();
        return true;
    } catch (const std::future_error&) {
        return false;
    }
}

}  // namespace

WarmRestart::Options WarmRestart::options_of(const settings::Values& operators) {
    namespace keys = settings::store;
    Options options;
    options.folder = operators.get(keys::folder).text;
    options.open_within = operators.get(keys::open_within);
    options.snapshot_interval = operators.get(keys::remember_every);
    options.half_life = operators.get(keys::half_life);
    options.store.soon = std::chrono::duration_cast<std::chrono::milliseconds>(operators.get(keys::soon));
    options.store.queue_bytes = static_cast<std::size_t>(operators.get(keys::queue_bytes).count);
    options.store.queue_requests = static_cast<std::size_t>(operators.get(keys::queue_requests));
    options.store.work_rate = operators.get(keys::work_rate).count;
    if (const auto identity = operators.get(keys::identity)) {
        options.store.engine.expected = identity_of(*identity);
    }
    return options;
}

WarmRestart::WarmRestart(const loop::Executor& executor, core::Log& log, const loop::Clock& clock,
                         Options options, recovery::ListOrigin history)
    : executor_(executor),
      log_(log),
      clock_(clock),
      options_(std::move(options)),
      history_(std::move(history)),
      write_timer_(executor),
      list_timer_(executor),
      reopen_timer_(executor),
      finish_timer_(executor) {
    open();
}

WarmRestart::~WarmRestart() {
    if (store_) (void)store_->close(close_timeout);
}

void WarmRestart::open() {
    const std::uint64_t opening = ++opening_;
    store::Options store_options = options_.store;
    store_options.post = [executor = executor_](std::function<void()> call) {
        boost::asio::post(executor, std::move(call));
    };
    store_ = store::Store::start(
        options_.folder, std::move(store_options),
        alive_.wrap([this, opening](const store::Result& result, const store::Opening& details) {
            if (opening == opening_) on_opened(result, details);
        }),
        options_.open_folder);
    const auto load = std::make_shared<Load>();
    // Owned by the request alone: if the store cannot be opened, the request is dropped and the promise breaks.
    auto promise = std::make_shared<std::promise<void>>();
    load->ready = promise->get_future();
    load_ = load;
    (void)store_->ask(
        [load, promise = std::move(promise), pool = history_.pool](store::Engine& engine) {
            const auto [from, to] = recovery::keys_of(pool);
            load->result = engine.space(space_name, store::SpaceKind::keys, true, load->space);
            // One scan does not return all values of the largest list.
            std::vector<store::Engine::Item> items;
            for (std::string next = from; load->result && load->values.size() < max_values;) {
                load->result = engine.scan(load->space, next, to, max_values - load->values.size(), items);
                if (!load->result || items.empty()) break;
                next = items.back().key + '\0';
                for (auto& item : items)
                    load->values.emplace_back(std::move(item.key), std::move(item.value));
            }
            promise->set_value();
        },
        alive_.wrap([this, opening, load](const store::Result& result) {
            if (opening == opening_ && result) on_loaded(load);
        }));
}

void WarmRestart::on_opened(const store::Result& result, const store::Opening& opening) {
    if (!result) {
        log_trouble("not used: " + result.why + "; its files stay as they are");
        return reopen_later(result);
    }
    if (opening.dropped > 0) {
        log_.write(log::events::store_cut_off, opening.dropped, opening.dropped_in, opening.dropped_at);
    }
}

void WarmRestart::on_loaded(const std::shared_ptr<Load>& load) {
    if (!load->result) {
        log_trouble("not used: " + load->result.why + "; its files stay as they are");
        return reopen_later(load->result);
    }
    if (!logged_trouble_.empty()) log_.write(log::events::store_in_use);
    logged_trouble_.clear();
    space_ = load->space;
    // The store may have been loaded too late for restore(), which then could not check its history.
    const auto stored = recovery::origin_of(history_.pool, load->values);
    if (recorder_ && stored && *stored != history_) recorder_->discard_stored_state();
    write_list_soon();
}

// Opens the store again later, unless it is damaged. All other errors may be temporary: the previous process has not ended
// yet, or the disk is full.
void WarmRestart::reopen_later(const store::Result& why) {
    space_.reset();
    if (why.status == store::Status::corrupt) return;
    reopen_timer_.expires_after(reopen_interval);
    reopen_timer_.async_wait(alive_.wrap([this](error_code error) {
        if (error || ending_) return;
        if (store_) (void)store_->close(std::chrono::milliseconds(0));
        store_.reset();
        under_way_ = 0;
        list_under_way_ = false;
        if (recorder_) recorder_->on_write_lost();
        open();
    }));
}

core::MemberList WarmRestart::restore(core::MemberList known, const Settings& settings) {
    const std::shared_ptr<Load> load = std::exchange(load_, nullptr);
    const Time now = clock_.now();
    recovery::RestoredState restored_state;
    if (load->ready.wait_for(options_.open_within) != std::future_status::ready) {
        log_trouble("not read within " + std::to_string(options_.open_within.count() / 1000) +
                    " ms: the configuration's list");
        restored_state.list = std::move(known);
    } else if (!was_loaded(load->ready) || !load->result) {
        restored_state.list = std::move(known);
    } else {
        space_ = load->space;
        auto stored = recovery::decode(history_.pool, load->values);
        for (const auto& fault : stored.faults) log_.write(log::events::store_not_heeded, fault);
        const bool stored_list = stored.list.has_value();
        restored_state = recovery::restore(std::move(known), std::move(stored), history_, settings, now,
                                           options_.half_life);
        log_restored(restored_state, stored_list);
    }
    // A complete list is recorded as it is: service discovery may never send another one.
    const bool complete = restored_state.list.kind == ListKind::full;
    recorder_.emplace(history_, restored_state.list, now);
    if (restored_state.different_origin) recorder_->discard_stored_state();
    if (complete) on_list(restored_state.list);
    return std::move(restored_state.list);
}

void WarmRestart::log_restored(const recovery::RestoredState& restored_state, bool stored_list) {
    if (restored_state.clock_went_back) log_.write(log::events::store_clock_back);
    const std::uint64_t version = restored_state.list.version;
    if (restored_state.stored) {
        log_.write(log::events::store_list, version, restored_state.list.members.size(),
                   std::chrono::duration_cast<std::chrono::seconds>(restored_state.list.age).count(),
                   restored_state.remembered);
    } else if (restored_state.different_origin) {
        log_.write(log::events::store_other_history, version);
    } else if (stored_list) {
        log_.write(log::events::store_as_new, version, restored_state.remembered);
    } else {
        log_.write(log::events::store_empty);
    }
}

void WarmRestart::start_recording(recovery::Recorder::Learned learned) {
    learned_ = std::move(learned);
    write_periodically();
}

void WarmRestart::write_periodically() {
    write_timer_.expires_after(std::max<Micros>(options_.snapshot_interval / recovery::Recorder::slices,
                                                std::chrono::milliseconds(10)));
    write_timer_.async_wait(alive_.wrap([this](error_code error) {
        if (error || ending_) return;
        if (store_ && space_) {
            if (const auto failed = store_->figures().sync_failed) on_written(*failed);
        }
        write_list();
        if (may_write()) {
            write(recorder_->take_memory_changes(clock_.now(), learned_), store::Level::soon);
        }
        write_periodically();
    }));
}

void WarmRestart::on_list(const core::MemberList& list) {
    if (ending_) return;
    recorder_->on_list(clock_.now(), list);
    write_list_soon();
}

void WarmRestart::set_discovery(std::string discovery) {
    history_.discovery = discovery;
    recorder_->set_discovery(std::move(discovery));
}

void WarmRestart::write_list_soon() {
    if (list_timer_set_ || !recorder_ || !recorder_->has_list_changes()) return;
    list_timer_set_ = true;
    list_timer_.expires_after(list_write_delay);
    list_timer_.async_wait(alive_.wrap([this](error_code error) {
        list_timer_set_ = false;
        if (!error && !ending_) write_list();
    }));
}

// After a failed write everything is encoded again, so the next write waits until `wait_until_`.
bool WarmRestart::may_write() const {
    return space_ && under_way_ < max_writes && clock_.now() >= wait_until_;
}

// Writes changes of the list, one write at a time: a write contains the changes since the previous one, so if that one
// failed the store would contain a mixture of two lists.
void WarmRestart::write_list() {
    if (list_under_way_ || !may_write() || !recorder_->has_list_changes()) return;
    try {
        list_under_way_ = write(recorder_->take_list_changes(), store::Level::soon, true);
    } catch (const std::exception& error) {  // a name is not valid UTF-8
        recorder_->on_write_lost();
        return log_trouble(std::string("the list is not stored: ") + error.what());
    }
    const bool too_large = recorder_->too_large();
    if (too_large && !logged_too_large_) {
        log_.write(log::events::store_too_large, recorder_->members());
    }
    logged_too_large_ = too_large;
}

bool WarmRestart::write(std::vector<recovery::Change> changes, store::Level level, bool list) {
    if (changes.empty()) return false;
    store::Batch batch;
    for (const auto& change : changes) {
        if (change.value) {
            batch.put(*space_, change.key, *change.value);
        } else {
            batch.erase(*space_, change.key);
        }
    }
    if (batch.bytes() > store::max_batch) {
        on_write_failed("not kept: more than 4 MiB at once");
        return false;
    }
    const std::uint64_t opening = opening_;
    ++under_way_;
    const auto queued = store_->write(
        std::move(batch), level, alive_.wrap([this, opening, list](const store::Engine::Written& written) {
            if (opening != opening_) return;
            --under_way_;
            if (list) list_under_way_ = false;
            on_written(written.result);
            settle();
        }));
    if (queued) return true;
    --under_way_;
    on_written(queued);
    return false;
}

void WarmRestart::on_written(const store::Result& result) {
    if (result) {
        if (!logged_trouble_.empty()) log_.write(log::events::store_in_use);
        logged_trouble_.clear();
        return;
    }
    on_write_failed("nothing is kept: " + result.why);
    // A failed sync leaves the store unusable until it is opened again.
    if (result.status != store::Status::retry && space_) reopen_later(result);
}

void WarmRestart::on_write_failed(const std::string& message) {
    recorder_->on_write_lost();
    wait_until_ = clock_.now() + options_.snapshot_interval;
    log_trouble(message);
}

void WarmRestart::log_trouble(const std::string& message) {
    if (message == logged_trouble_) return;
    logged_trouble_ = message;
    log_.write(log::events::store_trouble, message);
}

void WarmRestart::finish(std::function<void()> finished) {
    finished_ = std::move(finished);
    ending_ = true;
    write_timer_.cancel();
    list_timer_.cancel();
    reopen_timer_.cancel();
    // Reads the learned state now: the pool may no longer exist when the last write can start.
    for (std::size_t i = 0; learned_ && i < recovery::Recorder::slices; ++i) {
        auto slice = recorder_->take_memory_changes(clock_.now(), learned_);
        std::move(slice.begin(), slice.end(), std::back_inserter(last_changes_));
    }
    learned_ = nullptr;
    finish_timer_.expires_after(finish_timeout);
    finish_timer_.async_wait(alive_.wrap([this](error_code) {
        if (auto callback = std::exchange(finished_, nullptr)) callback();
    }));
    settle();
}

// While ending, starts the last writes, and ends early when none is in progress. Cancelling the timer runs its handler from
// the loop, so `finished_` is never called from within finish().
void WarmRestart::settle() {
    if (!ending_) return;
    if (space_ && under_way_ < max_writes - 1) {
        write_list();
        write(std::exchange(last_changes_, {}), store::Level::durable);
    }
    if (under_way_ == 0) finish_timer_.cancel();
}

}  // namespace flaxdoor::engine
