// All of it put together: one core with one pool, the HTTP back, the roster as its source, the HTTP front
// where there is a listener, drain and reload. The daemon is a program over it, and the library another face
// of it. It reads no environment, handles no signals and never stops a loop.
//
// Threading: the executor's one thread at a time.   Ownership: the log is borrowed and outlives it.
// Waits:     the constructor, with a store, for what it holds (store.open_within); nothing after it.
// Errors:    the constructor throws std::invalid_argument when the settings contradict themselves, and
//            boost::system::system_error when the address can't be listened on.
// Life:      it may be destroyed at any time but from within its own callbacks; what is open then is not
//            answered.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "core/core.h"
#include "door/door.h"
#include "engine/config.h"
#include "engine/side.h"
#include "loop/executor.h"
#include "settings/values.h"
#include "store/store.h"

namespace flaxdoor::engine {

struct EngineOptions {
    Config config;
    settings::Values operators;
    bool listens = true;
    bool asks_roster = true;  // else lists are handed in by take_list()
    // Calls taken at once; 0: what the operator's file says.
    std::size_t open_calls = 0;
    // Without a listener: how long a drain goes on taking calls.
    Micros keep_taking{};
    // How the store's folder is opened, where the operator's file has a store.
    store::Store::OpenFolder open_folder = store::open_folder;
    // Further fronts, each turned on by its table of the operator's file.
    std::vector<SideMaker> sides{};
    // Told what counts of the operator's file, at the start and after each reload that is taken.
    std::function<void(const settings::Values&)> on_operators{};
};

class Engine {
public:
    Engine(const loop::Executor& executor, core::Log& log, EngineOptions options);
    ~Engine();
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    // Of the listener.
    std::optional<loop::tcp::endpoint> address() const;
    core::Core& core();
    core::PoolId pool() const;
    const Config& config() const;

    // Takes the settings where they differ (what was learned is kept where it still holds), and where
    // discovery is. Throws std::invalid_argument, and nothing has changed then.
    void reconfigure(const Config& config);
    // Takes from the operator's file what can change under way, and logs what does and what takes a restart.
    // False when the new values do not go with those that take one: then nothing changes.
    bool set_operators(const settings::Values& wanted);
    void take_list(core::MemberList list);

    // Serves on for a while, then answers what is held, ends, and calls `drained` once. Again: nothing new.
    void drain(std::function<void()> drained);
    bool drained() const;

    core::Figures figures() const;
    std::optional<door::Figures> door() const;  // with [door]
    std::size_t servers() const;                // that the pool lists
    std::size_t connections() const;            // to servers and from clients

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Throws std::invalid_argument, naming the setting, when these settings contradict themselves.
void check_settings(const Settings& settings);

}  // namespace flaxdoor::engine
