#include "explore/explore.h"

#include <unordered_set>

#include "explore/histories.h"
#include "fleet/world.h"
#include "judge/judge.h"

namespace flaxdoor::lab {

namespace {

// Follows a list of choices, then takes the first of each; remembers how many there were and what was
// reached.
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
    std::vector<std::uint64_t> states;  // before each choice

private:
    const std::vector<std::uint32_t> choices_;
    const Histories& histories_;
};

struct Played {
    Findings findings;
    std::vector<std::uint32_t> counts;
    std::vector<std::uint64_t> states;
    std::uint64_t happenings = 0;
};

class Late final : public Sink {
public:
    void put(const Record& record) override {
        if (judge) return judge->put(record);
        early.push_back(record);
    }
    Judge* judge = nullptr;
    std::vector<Record> early;
};

Played played(const Experiment& experiment, const std::vector<std::uint32_t>& choices) {
    Histories histories;
    Path path(choices, histories);
    Late late;
    World world(experiment, late, &path);
    Judge judge(world.terms());
    for (const Record& record : late.early) judge.put(record);
    late.judge = &judge;
    world.watch(&histories);
    while (world.step()) {
    }
    const WorldFigures figures = world.figures();
    Findings findings = judge.finish();
    if (figures.cores.faults > 0) {
        findings.add({Rule::trace, world.now_us(), 0, std::nullopt, std::nullopt,
                      "the cores told of " + std::to_string(figures.cores.faults) + " faults"});
    }
    return {std::move(findings), std::move(path.counts), std::move(path.states), figures.happenings};
}

}  // namespace

Findings follow(const Experiment& experiment, const std::vector<std::uint32_t>& choices) {
    return played(experiment, choices).findings;
}

Explored explore(const Experiment& experiment, const ExploreOptions& options) {
    Explored result;
    std::unordered_set<std::uint64_t> seen;
    // Paths to be gone into: each is a list of choices that ends with one not taken yet.
    std::vector<std::vector<std::uint32_t>> todo{{}};
    while (!todo.empty()) {
        Covered& covered = result.covered;
        const bool enough = covered.paths >= options.paths_most || seen.size() >= options.states_most ||
                            (options.enough && options.enough());
        if (enough) return result;
        const std::vector<std::uint32_t> choices = std::move(todo.back());
        todo.pop_back();
        Played path = played(experiment, choices);
        ++covered.paths;
        covered.happenings += path.happenings;
        covered.choices_most = std::max(covered.choices_most, path.counts.size());
        if (!path.findings.broken().empty() && result.wrong.size() < 10) {
            result.wrong.push_back({choices, path.findings.broken()});
        }
        // Beyond what was given the first was taken each time; the others are to come, the last ones first.
        std::vector<std::uint32_t> prefix = choices;
        for (std::size_t at = choices.size(); at < path.counts.size(); ++at) {
            if (!seen.insert(path.states[at]).second) {
                ++covered.met_again;
                break;
            }
            for (std::uint32_t other = 1; other < path.counts[at]; ++other) {
                todo.push_back(prefix);
                todo.back().push_back(other);
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
