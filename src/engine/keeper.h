// Keeps what a pool should know after the next start, in a store beside the program: the recorder says what
// to write, the store writes it on a thread of its own. Nothing here waits for a disk but begin(), for as
// long as it may.
//
// Threading: the executor's one thread.   Ownership: log and clock are borrowed and outlive it.
// Errors:    none comes out. What keeps it from keeping is logged, once for each reason; then it does
//            nothing, or tries again. Files that can't be read stay as they are.
// Bounds:    four writes under way; what comes meanwhile waits in the recorder, which holds one state.
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
#include "loop/alive.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "recovery/belief.h"
#include "recovery/recorder.h"
#include "settings/values.h"
#include "store/store.h"

namespace flaxdoor::engine {

class Keeper {
public:
    struct Options {
        std::string folder;
        store::Options store;
        Micros open_within{}, remember_every{}, half_life{};
        store::Store::OpenFolder open_folder = store::open_folder;
    };
    // From the operator's file, which must have the table.
    [[nodiscard]] static Options options_of(const settings::Values& operators);

    Keeper(const loop::Executor& executor, core::Log& log, const loop::Clock& clock, Options options,
           recovery::History history);
    ~Keeper();

    // What the pool is to begin with. Waits for the store, Options::open_within at most.
    [[nodiscard]] core::MemberList begin(core::MemberList known, const Settings& settings);
    // Once the pool has begun: from now on what `learned` tells is kept.
    void remember(recovery::Recorder::Learned learned);
    void on_list(const core::MemberList& list);
    void move_to(std::string discovery);
    std::size_t under_way() const { return under_way_; }  // writes
    // Writes what is left, waits for that a little, and calls `finished` from the loop.
    void finish(std::function<void()> finished);

private:
    struct Load;  // what the store held at its opening

    void open();
    void on_opened(const store::Result& result, const store::Opening& opening);
    void on_loaded(const std::shared_ptr<Load>& load);
    void tell(const recovery::Belief& belief, bool any);
    void try_again(const store::Result& why);
    void tick();
    bool may_write() const;
    void write_list();
    void write_list_soon();
    // Whether it is under way.
    bool write(std::vector<recovery::Change> changes, store::Level level, bool list = false);
    void on_written(const store::Result& result);
    void come_to_nothing(const std::string& what);
    void say(const std::string& what);
    void settle();

    const loop::Executor executor_;
    core::Log& log_;
    const loop::Clock& clock_;
    const Options options_;
    recovery::History history_;
    std::unique_ptr<store::Store> store_;
    std::shared_ptr<Load> load_;           // of the first opening, until begin() has taken it
    std::optional<store::SpaceId> space_;  // while it can be written to
    std::optional<recovery::Recorder> recorder_;
    recovery::Recorder::Learned learned_;
    std::size_t under_way_ = 0;
    bool list_under_way_ = false;
    Time wait_until_{};
    std::uint64_t opening_ = 0;  // which of the openings
    std::string said_;
    bool said_too_large_ = false;
    boost::asio::steady_timer tick_, soon_, again_, end_;
    bool soon_set_ = false;
    bool ending_ = false;
    std::vector<recovery::Change> last_;  // of memory, at the end
    std::function<void()> finished_;
    loop::Alive alive_;
};

}  // namespace flaxdoor::engine
