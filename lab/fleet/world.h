// One world: balancers that are real, and all that is round them as models, over virtual time.
//
//     World world(experiment, sink);
//     while (world.step()) {}
//
// Threading:  one thread; worlds share nothing.
// Repeatable: the same experiment gives the same records, byte for byte, on any machine of this byte order.
// Errors:     std::invalid_argument when the module will not take the settings.
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
    core::Figures cores;  // summed over the processes that run
    std::size_t flights = 0, tries = 0;
};

// Who looks on: told each happening before it happens, with a name for it that is the same whatever order
// other things came in (a happening's own numbers are not).
class Watcher {
public:
    virtual ~Watcher() = default;
    virtual void meets(const Happening& happening, std::uint64_t name) = 0;
};

class World {
public:
    // `sink` and `chooser` are borrowed.
    World(const Experiment& experiment, Sink& sink, Chooser* chooser = nullptr);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    // What its trace begins with; known before the first step.
    Terms terms() const;
    // The servers that a trouble of the timetable hits; known before the first step.
    const std::vector<std::uint32_t>& servers_hit(std::size_t trouble) const;
    // The next thing that happens; false when the world is over.
    bool step();
    // Borrowed; null: nobody.
    void watch(Watcher* watcher);
    std::uint64_t now_us() const;
    WorldFigures figures() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Plays it to its end.
WorldFigures play(const Experiment& experiment, Sink& sink);

}  // namespace flaxdoor::lab
