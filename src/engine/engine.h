// Assembles a complete balancer: one core with one pool, the HTTP connection pool to its upstreams, service discovery as its
// source of lists, the HTTP listener if there is one, drain and reload. The daemon is a program over the engine, and the
// library is another interface to it. The engine reads no environment, handles no signals and never stops a loop.
//
// Threading: the executor's one thread at a time.   Ownership: the log is borrowed and outlives the engine.
// Blocking:  with a store, the constructor waits for what the store holds (store.open_within); nothing else blocks.
// Errors:    the constructor throws std::invalid_argument when the settings contradict themselves, and
//            boost::system::system_error when the address cannot be listened on.
// Lifetime:  it may be destroyed at any time except from within its own callbacks; calls that are open then are not
//            answered.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "core/core.h"
#include "door/door.h"
#include "engine/config.h"
#include "engine/extension.h"
#include "loop/executor.h"
#include "settings/values.h"
#include "store/store.h"

namespace flaxdoor::engine {

struct EngineOptions {
    Config config;
    settings::Values operator_settings;  // the operator's file
    bool listens = true;
    bool uses_discovery = true;  // uses service discovery; otherwise lists come through apply_list()
    // Limit on open calls; 0: the limit of the operator's file.
    std::size_t max_open_calls = 0;
    // Without a listener: how long a drain goes on accepting calls.
    Micros keep_accepting{};
    // How the store's folder is opened, where the operator's file has a store.
    store::Store::OpenFolder open_folder = store::open_folder;
    // Optional protocol front ends, each enabled by its table of the operator's file.
    std::vector<ExtensionFactory> extensions{};
    // Receives the settings in effect, at the start and after each reload that is applied.
    std::function<void(const settings::Values&)> on_operator_settings{};
};

class Engine {
public:
    Engine(const loop::Executor& executor, core::Log& log, EngineOptions options);
    ~Engine();
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    // Returns the listener's address, if there is a listener.
    std::optional<loop::tcp::endpoint> address() const;
    core::Core& core();
    core::PoolId pool() const;
    const Config& config() const;

    // Applies changed settings (keeping what was learned where it still applies) and the address of service discovery.
    // Throws std::invalid_argument and changes nothing if the settings contradict themselves.
    void reconfigure(const Config& config);
    // Applies those settings of the operator's file that can change at run time. Logs which ones are applied and which take
    // a restart. Returns false and changes nothing if the new values contradict settings that take a restart.
    bool apply_operator_settings(const settings::Values& wanted);
    void apply_list(core::MemberList list);

    // Shuts down gracefully: accepts calls for a while longer, answers the open ones, ends, and calls `drained` once. A
    // second call has no effect.
    void drain(std::function<void()> drained);
    bool drained() const;

    core::Stats figures() const;
    std::optional<door::Figures> admission_queue_figures()
        const;                        // of the admission queue; none without [door]
    std::size_t upstreams() const;    // number of upstreams that the pool lists
    std::size_t connections() const;  // number of connections to upstreams and from clients

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Throws std::invalid_argument, naming the setting, when these settings contradict themselves.
void check_settings(const Settings& settings);

}  // namespace flaxdoor::engine
