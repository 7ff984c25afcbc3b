#include "explore/explore.h"

#include <unordered_set>

#include "explore/histories.h"
#include "fleet/world.h"
#include "judge/judge.h"

namespace flaxdoor::lab {

namespace {

// Follows a list of choices and then always picks the first event. Records the number of alternatives and the state at
// each choice.
class Path final : public Chooser {
public:
    Path(std::vector<std::uint32_t> choices, const Histories& histories)
        : choices_(std::move(choices)), histories_(histories) {}

    std::size_t choose(std::span<const Happening> standing) override {
        const std::size_t at = counts.size();
        counts.push_back(static_cast<std::uint32_t>(standing.size()));
        states.push_back(histories_.state());
        return at < choices_.size() ? std::min<std::size_t>(choices_[at], standing.size() - 1) : 0;
    }

    std::vector<std::uint32_t> counts;
    std::vector<std::uint64_t> states;  // state before each choice

private:
    const std::vector<std::uint32_t> choices_;
    const Histories& histories_;
};

struct PathResult {
    Findings findings;
    std::vector<std::uint32_t> counts;
    std::vector<std::uint64_t> states;
    std::uint64_t happenings = 0;
};

// Buffers records until the judge is attached, which needs the terms of the constructed world.
class BufferingSink final : public Sink {
public:
    void put(const Record& record) override {
        if (judge) return judge->put(record);
        buffered.push_back(record);
    }
    Judge* judge = nullptr;
    std::vector<Record> buffered;
};

PathResult simulate_path(const Experiment& experiment, const std::vector<std::uint32_t>& choices) {
    Histories histories;
    Path path(choices, histories);
    BufferingSink buffer;
    World world(experiment, buffer, &path);
    Judge judge(world.terms());
    for (const Record& record : buffer.buffered) judge.put(record);
    buffer.judge = &judge;
    world.watch(&histories);
    while (world.step()) {
    }
    const WorldFigures figures = world.figures();
    Findings findings = judge.finish();
    if (figures.cores.faults > 0) {
        findings.add({Rule::trace, world.now_us(), 0, std::nullopt, std::nullopt,
                      "the cores reported " + std::to_string(figures.cores.faults) + " faults"});
    }
    return {std::move(findings), std::move(path.counts), std::move(path.states), figures.happenings};
}

}  // namespace

Findings follow(const Experiment& experiment, const std::vector<std::uint32_t>& choices) {
    return simulate_path(experiment, choices).findings;
}

Explored explore(const Experiment& experiment, const ExploreOptions& options) {
    Explored result;
    std::unordered_set<std::uint64_t> seen;
    // Paths to explore. Each is a list of choices whose last one has not been taken yet.
    std::vector<std::vector<std::uint32_t>> pending{{}};
    while (!pending.empty()) {
        Covered& covered = result.covered;
        const bool enough = covered.paths >= options.paths_most || seen.size() >= options.states_most ||
                            (options.enough && options.enough());
        if (enough) return result;
        const std::vector<std::uint32_t> choices = std::move(pending.back());
        pending.pop_back();
        PathResult path = simulate_path(experiment, choices);
        ++covered.paths;
        covered.happenings += path.happenings;
        covered.choices_most = std::max(covered.choices_most, path.counts.size());
        if (!path.findings.broken().empty() && result.wrong.size() < 10) {
            result.wrong.push_back({choices, path.findings.broken()});
        }
        // Beyond the given choices, the path took the first alternative each time. The others are explored later, those
        // of the last choice first.
        std::vector<std::uint32_t> prefix = choices;
        for (std::size_t at = choices.size(); at < path.counts.size(); ++at) {
            if (!seen.insert(path.states[at]).second) {
                ++covered.met_again;
                break;
            }
            for (std::uint32_t alternative = 1; alternative < path.counts[at]; ++alternative) {
                pending.push_back(prefix);
                pending.back().push_back(alternative);
            }
            prefix.push_back(0);
        }
        covered.states = seen.size();
        if (options.progress && covered.paths % 1000 == 0) options.progress(covered);
    }
    result.covered.all = true;
    return result;
}

}  // namespace flaxdoor::lab
