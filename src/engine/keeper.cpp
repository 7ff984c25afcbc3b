#include "engine/keeper.h"

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
constexpr std::size_t values_most = 4 * recovery::parts;
constexpr std::size_t writes_most = 4;  // under way
// Lists that come close together are written together.
constexpr auto list_gap = std::chrono::milliseconds(50);
constexpr auto again_after = std::chrono::seconds(30);
constexpr auto end_within = std::chrono::seconds(2);
// A thread that the disk holds is left to itself.
constexpr auto leave_within = std::chrono::milliseconds(100);

store::Identity identity_of(const std::string& hex) {
    store::Identity identity{};
    for (std::size_t i = 0; i < identity.size(); ++i) {
        identity[i] = static_cast<std::uint8_t>(std::stoul(hex.substr(2 * i, 2), nullptr, 16));
    }
    return identity;
}

}  // namespace

// Of the first opening, on the store's thread; to be read once it is ready.
struct Keeper::Load {
    store::Result result;
    store::SpaceId space = 0;
    std::vector<std::pair<std::string, std::string>> values;
    std::future<void> ready;
};

namespace {

// False when the store could not be opened: on_opened() says why.
bool is_kept(std::future<void>& ready) {
    try {
        ready.get();
        return true;
    } catch (const std::future_error&) {
        return false;
    }
}

}  // namespace

Keeper::Options Keeper::options_of(const settings::Values& operators) {
    namespace keys = settings::store;
    Options options;
    options.folder = operators.get(keys::folder).text;
    options.open_within = operators.get(keys::open_within);
    options.remember_every = operators.get(keys::remember_every);
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

Keeper::Keeper(const loop::Executor& executor, core::Log& log, const loop::Clock& clock, Options options,
               recovery::History history)
    : executor_(executor),
      log_(log),
      clock_(clock),
      options_(std::move(options)),
      history_(std::move(history)),
      tick_(executor),
      soon_(executor),
      again_(executor),
      end_(executor) {
    open();
}

Keeper::~Keeper() {
    if (store_) (void)store_->close(leave_within);
}

void Keeper::open() {
    const std::uint64_t opening = ++opening_;
    store::Options its = options_.store;
    its.post = [executor = executor_](std::function<void()> call) {
        boost::asio::post(executor, std::move(call));
    };
    store_ = store::Store::start(
        options_.folder, std::move(its),
        alive_.guard([this, opening](const store::Result& result, const store::Opening& how) {
            if (opening == opening_) on_opened(result, how);
        }),
        options_.open_folder);
    const auto load = std::make_shared<Load>();
    // The question's alone: it breaks when the store can't be opened and the question is dropped.
    auto promise = std::make_shared<std::promise<void>>();
    load->ready = promise->get_future();
    load_ = load;
    (void)store_->ask(
        [load, promise = std::move(promise), pool = history_.pool](store::Engine& engine) {
            const auto [from, to] = recovery::keys_of(pool);
            load->result = engine.space(space_name, store::SpaceKind::keys, true, load->space);
            // The largest list has more than one scan gives.
            std::vector<store::Engine::Item> items;
            for (std::string at = from; load->result && load->values.size() < values_most;) {
                load->result = engine.scan(load->space, at, to, values_most - load->values.size(), items);
                if (!load->result || items.empty()) break;
                at = items.back().key + '\0';
                for (auto& item : items)
                    load->values.emplace_back(std::move(item.key), std::move(item.value));
            }
            promise->set_value();
        },
        alive_.guard([this, opening, load](const store::Result& result) {
            if (opening == opening_ && result) on_loaded(load);
        }));
}

void Keeper::on_opened(const store::Result& result, const store::Opening& opening) {
    if (!result) {
        say("not used: " + result.why + "; its files stay as they are");
        return try_again(result);
    }
    if (opening.dropped > 0) {
        log_.tell(log::events::store_cut_off, opening.dropped, opening.dropped_in, opening.dropped_at);
    }
}

void Keeper::on_loaded(const std::shared_ptr<Load>& load) {
    if (!load->result) {
        say("not used: " + load->result.why + "; its files stay as they are");
        return try_again(load->result);
    }
    if (!said_.empty()) log_.tell(log::events::store_in_use);
    said_.clear();
    space_ = load->space;
    // It may have come too late for begin().
    const auto stored = recovery::history_of(history_.pool, load->values);
    if (recorder_ && stored && *stored != history_) recorder_->forget_stored();
    write_list_soon();
}

// What is damaged stays so. All else may pass: the process before still ends, the disk was full.
void Keeper::try_again(const store::Result& why) {
    space_.reset();
    if (why.status == store::Status::corrupt) return;
    again_.expires_after(again_after);
    again_.async_wait(alive_.guard([this](error_code error) {
        if (error || ending_) return;
        if (store_) (void)store_->close(std::chrono::milliseconds(0));
        store_.reset();
        under_way_ = 0;
        list_under_way_ = false;
        if (recorder_) recorder_->on_lost();
        open();
    }));
}

core::MemberList Keeper::begin(core::MemberList known, const Settings& settings) {
    const std::shared_ptr<Load> load = std::exchange(load_, nullptr);
    const Time now = clock_.now();
    recovery::Belief belief;
    if (load->ready.wait_for(options_.open_within) != std::future_status::ready) {
        say("not read within " + std::to_string(options_.open_within.count() / 1000) +
            " ms: the configuration's list");
        belief.list = std::move(known);
    } else if (!is_kept(load->ready) || !load->result) {
        belief.list = std::move(known);
    } else {
        space_ = load->space;
        auto stored = recovery::decode(history_.pool, load->values);
        for (const auto& fault : stored.faults) log_.tell(log::events::store_not_heeded, fault);
        const bool any = stored.list.has_value();
        belief = recovery::believe(std::move(known), std::move(stored), history_, settings, now,
                                   options_.half_life);
        tell(belief, any);
    }
    // What is all there is to know is kept as it is: no news of it may ever come.
    const bool all = belief.list.kind == ListKind::full;
    recorder_.emplace(history_, belief.list, now);
    if (belief.other_history) recorder_->forget_stored();
    if (all) on_list(belief.list);
    return std::move(belief.list);
}

void Keeper::tell(const recovery::Belief& belief, bool any) {
    if (belief.clock_went_back) log_.tell(log::events::store_clock_back);
    const std::uint64_t version = belief.list.version;
    if (belief.stored) {
        log_.tell(log::events::store_list, version, belief.list.members.size(),
                  std::chrono::duration_cast<std::chrono::seconds>(belief.list.age).count(),
                  belief.remembered);
    } else if (belief.other_history) {
        log_.tell(log::events::store_other_history, version);
    } else if (any) {
        log_.tell(log::events::store_as_new, version, belief.remembered);
    } else {
        log_.tell(log::events::store_empty);
    }
}

void Keeper::remember(recovery::Recorder::Learned learned) {
    learned_ = std::move(learned);
    tick();
}

void Keeper::tick() {
    tick_.expires_after(std::max<Micros>(options_.remember_every / recovery::Recorder::slices,
                                         std::chrono::milliseconds(10)));
    tick_.async_wait(alive_.guard([this](error_code error) {
        if (error || ending_) return;
        if (store_ && space_) {
            if (const auto failed = store_->figures().sync_failed) on_written(*failed);
        }
        write_list();
        if (may_write()) {
            write(recorder_->take_memory_changes(clock_.now(), learned_), store::Level::soon);
        }
        tick();
    }));
}

void Keeper::on_list(const core::MemberList& list) {
    if (ending_) return;
    recorder_->on_list(clock_.now(), list);
    write_list_soon();
}

void Keeper::move_to(std::string discovery) {
    history_.discovery = discovery;
    recorder_->move_to(std::move(discovery));
}

void Keeper::write_list_soon() {
    if (soon_set_ || !recorder_ || !recorder_->has_list_changes()) return;
    soon_set_ = true;
    soon_.expires_after(list_gap);
    soon_.async_wait(alive_.guard([this](error_code error) {
        soon_set_ = false;
        if (!error && !ending_) write_list();
    }));
}

// After a write that came to nothing all is encoded anew: not at once again.
bool Keeper::may_write() const { return space_ && under_way_ < writes_most && clock_.now() >= wait_until_; }

// One at a time: a write holds what has changed since the one before, and would be a mixture of two lists if
// that one failed.
void Keeper::write_list() {
    if (list_under_way_ || !may_write() || !recorder_->has_list_changes()) return;
    try {
        list_under_way_ = write(recorder_->take_list_changes(), store::Level::soon, true);
    } catch (const std::exception& error) {  // a name that is no UTF-8
        recorder_->on_lost();
        return say(std::string("the list is not kept: ") + error.what());
    }
    const bool too_large = recorder_->too_large();
    if (too_large && !said_too_large_) {
        log_.tell(log::events::store_too_large, recorder_->members());
    }
    said_too_large_ = too_large;
}

bool Keeper::write(std::vector<recovery::Change> changes, store::Level level, bool list) {
    if (changes.empty()) return false;
    store::Batch batch;
    for (const auto& change : changes) {
        if (change.value) {
            batch.put(*space_, change.key, *change.value);
        } else {
            batch.erase(*space_, change.key);
        }
    }
    if (batch.bytes() > store::batch_most) {
        come_to_nothing("not kept: more than 4 MiB at once");
        return false;
    }
    const std::uint64_t opening = opening_;
    ++under_way_;
    const auto queued = store_->write(
        std::move(batch), level, alive_.guard([this, opening, list](const store::Engine::Written& written) {
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

void Keeper::on_written(const store::Result& result) {
    if (result) {
        if (!said_.empty()) log_.tell(log::events::store_in_use);
        said_.clear();
        return;
    }
    come_to_nothing("nothing is kept: " + result.why);
    // A store that a failed sync has broken is opened anew.
    if (result.status != store::Status::retry && space_) try_again(result);
}

void Keeper::come_to_nothing(const std::string& what) {
    recorder_->on_lost();
    wait_until_ = clock_.now() + options_.remember_every;
    say(what);
}

void Keeper::say(const std::string& what) {
    if (what == said_) return;
    said_ = what;
    log_.tell(log::events::store_trouble, what);
}

void Keeper::finish(std::function<void()> finished) {
    finished_ = std::move(finished);
    ending_ = true;
    tick_.cancel();
    soon_.cancel();
    again_.cancel();
    // The pool is there now, and may not be when there is room for the last write.
    for (std::size_t i = 0; learned_ && i < recovery::Recorder::slices; ++i) {
        auto some = recorder_->take_memory_changes(clock_.now(), learned_);
        std::move(some.begin(), some.end(), std::back_inserter(last_));
    }
    learned_ = nullptr;
    end_.expires_after(end_within);
    end_.async_wait(alive_.guard([this](error_code) {
        if (auto finished = std::exchange(finished_, nullptr)) finished();
    }));
    settle();
}

// Once nothing is under way the end need not wait. Never from within finish(): the timer calls.
void Keeper::settle() {
    if (!ending_) return;
    if (space_ && under_way_ < writes_most - 1) {
        write_list();
        write(std::exchange(last_, {}), store::Level::durable);
    }
    if (under_way_ == 0) end_.cancel();
}

}  // namespace flaxdoor::engine
