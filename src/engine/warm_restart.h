// Writes the warm-restart snapshot of a pool to a store beside the program and restores it at the next start. The recorder
// decides what to write; the store writes it on its own thread. Only restore() waits for the disk, for a limited time.
//
// Threading: the executor's one thread.   Ownership: log and clock are borrowed and outlive it.
// Errors:    none is reported to the caller. Each reason why nothing can be stored is logged once; then nothing is stored, or
//            it is tried again. Files that cannot be read are left unchanged.
// Bounds:    four writes in progress; changes that come meanwhile wait in the recorder, which holds one state.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "loop/lifetime_guard.h"
#include "recovery/recorder.h"
#include "recovery/restored_state.h"
#include "settings/values.h"
#include "store/store.h"

namespace flaxdoor::engine {

class WarmRestart {
public:
    struct Options {
        std::string folder;
        store::Options store;
        Micros open_within{}, snapshot_interval{}, half_life{};
        store::Store::OpenFolder open_folder = store::open_folder;
    };
    // Reads the operator's file, which must have the table [store].
    [[nodiscard]] static Options options_of(const settings::Values& operators);

    WarmRestart(const loop::Executor& executor, core::Log& log, const loop::Clock& clock, Options options,
                recovery::ListOrigin history);
    ~WarmRestart();

    // Returns the list with which the pool starts: `known` or the stored one, with the restored state of its upstreams. Waits
    // for the store for at most Options::open_within.
    [[nodiscard]] core::MemberList restore(core::MemberList known, const Settings& settings);
    // Starts to write the learned state that `learned` returns, periodically. Call it once the pool exists.
    void start_recording(recovery::Recorder::Learned learned);
    void on_list(const core::MemberList& list);
    void set_discovery(std::string discovery);
    std::size_t pending_writes() const { return under_way_; }  // number of writes in progress
    // Writes what is not stored yet, waits a limited time for that, and calls `finished` from the loop.
    void finish(std::function<void()> finished);

private:
    struct Load;  // the contents of the store at its opening

    void open();
    void on_opened(const store::Result& result, const store::Opening& opening);
    void on_loaded(const std::shared_ptr<Load>& load);
    void log_restored(const recovery::RestoredState& restored_state, bool stored_list);
    void reopen_later(const store::Result& why);
    void write_periodically();
    bool may_write() const;
    void write_list();
    void write_list_soon();
    // Returns whether the write is in progress.
    bool write(std::vector<recovery::Change> changes, store::Level level, bool list = false);
    void on_written(const store::Result& result);
    void on_write_failed(const std::string& message);
    void log_trouble(const std::string& message);
    void settle();

    const loop::Executor executor_;
    core::Log& log_;
    const loop::Clock& clock_;
    const Options options_;
    recovery::ListOrigin history_;
    std::unique_ptr<store::Store> store_;
    std::shared_ptr<Load> load_;           // of the first opening, until restore() takes it
    std::optional<store::SpaceId> space_;  // set while the store can be written to
    std::optional<recovery::Recorder> recorder_;
    recovery::Recorder::Learned learned_;
    std::size_t under_way_ = 0;
    bool list_under_way_ = false;
    Time wait_until_{};          // no write before this time
    std::uint64_t opening_ = 0;  // number of the current opening; callbacks of earlier ones are ignored
    std::string logged_trouble_;
    bool logged_too_large_ = false;
    boost::asio::steady_timer write_timer_, list_timer_, reopen_timer_, finish_timer_;
    bool list_timer_set_ = false;
    bool ending_ = false;
    std::vector<recovery::Change> last_changes_;  // of the learned state, written at the end
    std::function<void()> finished_;
    loop::LifetimeGuard alive_;
};

}  // namespace flaxdoor::engine
