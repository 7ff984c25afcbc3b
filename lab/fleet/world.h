// One simulated world: real balancer code, with models of everything around it, in virtual time.
//
//     World world(experiment, sink);
//     while (world.step()) {}
//
// Threading:  one thread; worlds share nothing.
// Repeatable: the same experiment gives the same records, byte for byte, on any machine with the same byte order.
// Errors:     std::invalid_argument when the policy module rejects the settings.
#pragma once

#include <cstdint>
#include <memory>

#include "core/core.h"
#include "experiment/experiment.h"
#include "fleet/scheduler.h"
#include "trace/record.h"
#include "trace/terms.h"

namespace flaxdoor::lab {

struct WorldFigures {
    std::uint64_t happenings = 0;
    std::uint64_t calls = 0;
    core::Stats cores;  // summed over the running processes
    std::size_t flights = 0, tries = 0;
};

// Observes a world. It is called with each event before the event is processed. `name` identifies the event
// independently of the order of other events; the numbers in the event itself depend on that order.
class Watcher {
public:
    virtual ~Watcher() = default;
    virtual void meets(const Happening& happening, std::uint64_t name) = 0;
};

class World {
public:
    // Borrows `sink` and `chooser`, which must outlive the world.
    World(const Experiment& experiment, Sink& sink, Chooser* chooser = nullptr);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    // Returns the head of the world's trace. Valid before the first step.
    Terms terms() const;
    // Returns the servers that a trouble of the timetable affects. Valid before the first step.
    const std::vector<std::uint32_t>& servers_hit(std::size_t trouble) const;
    // Processes the next event. Returns false when the world is over.
    bool step();
    // Sets the observer, which is borrowed; null removes it.
    void watch(Watcher* watcher);
    std::uint64_t now_us() const;
    WorldFigures figures() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Runs a world to its end.
WorldFigures play(const Experiment& experiment, Sink& sink);

}  // namespace flaxdoor::lab
