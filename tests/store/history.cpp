#include "history.h"

#include <algorithm>

#include "store/coding.h"

namespace flaxdoor::store::test {

namespace {

std::string describe(const Result& result) { return std::string(text_of(result.status)) + ": " + result.why; }

// Returns the state that the engine holds, or what is wrong.
Checked find_state(Engine& engine, const History& history, std::size_t min_batches, std::size_t max_batches) {
    const std::uint64_t sequence = engine.figures().sequence;
    const auto& states = history.states;
    const auto found = std::lower_bound(
        states.begin(), states.end(), sequence,
        [](const History::State& candidate, std::uint64_t wanted) { return candidate.sequence < wanted; });
    if (found == states.end() || found->sequence != sequence)
        return {"sequence " + std::to_string(sequence) + " is not the end of a batch", 0};
    const auto state = static_cast<std::size_t>(found - states.begin());
    const std::string range = std::to_string(min_batches) + " to " + std::to_string(max_batches);
    if (state < min_batches) return {"lost: batches " + std::to_string(state) + ", not " + range, state};
    if (state > max_batches)
        return {"never written: batches " + std::to_string(state) + ", not " + range, state};
    const std::string text = text_of(engine, names(), 100);
    if (text != *found->text)
        return {"not the state after batch " + std::to_string(state) + "\n" + text + "---\n" + *found->text,
                state};
    return {{}, state};
}

std::size_t random_up_to(Random& random, std::size_t n) {
    return static_cast<std::size_t>(random() % (n + 1));
}

// Returns the image after `done` operations, with the next one under way.
Image cut_at_random_byte(Disk disk, const std::vector<Operation>& operations, std::size_t done,
                         Random& random) {
    for (std::size_t i = 0; i < done; ++i) disk.apply(operations[i]);
    const Cut cut = random_cut(random, {});
    if (done < operations.size() && operations[done].kind == Operation::Kind::append)
        return disk.cut_within(operations[done], random_up_to(random, operations[done].bytes.size()), cut);
    return disk.cut(cut);
}

}  // namespace

History::History() {
    auto empty = std::make_shared<Model>();
    add(0, std::move(empty));
}

void History::add(std::uint64_t sequence, std::shared_ptr<const Model> model) {
    auto text = std::make_shared<const std::string>(model->text());
    states.push_back({sequence, std::move(model), std::move(text)});
}

History History::up_to(std::size_t state) const {
    History history;
    history.states.assign(states.begin(), states.begin() + static_cast<std::ptrdiff_t>(state) + 1);
    return history;
}

std::size_t Recording::min_batches(std::size_t done) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        if (times[i].durable <= done) count = i + 1;
    }
    return count;
}

std::size_t Recording::max_batches(std::size_t done) const {
    std::size_t count = 0;
    while (count < times.size() && times[count].submitted <= done) ++count;
    return count;
}

Cut random_cut(Random& random, std::string_view stale) {
    constexpr double chances[] = {0, 0.3, 0.7, 1};
    Cut cut;
    cut.kept = chances[random() % 4];
    cut.names_kept = chances[random() % 4];
    cut.grown = random() % 2 == 0;
    if (random() % 2 == 0) cut.stale = stale;
    cut.chance = &random;
    return cut;
}

Recording record(SimFiles& files, Files& through, std::uint64_t seed, std::uint64_t salts, int batches) {
    Recording recording;
    Random random(seed);
    WorkloadMaker maker(seed);
    auto salt_source = counting(salts);
    const auto done = [&] { return files.operations().size(); };
    const auto mark = [&](std::string what) { recording.marks.emplace_back(done(), std::move(what)); };
    const auto add = [&](std::uint64_t sequence, const Model& model, Recording::Times times) {
        recording.history.add(sequence, std::make_shared<const Model>(model));
        recording.times.push_back(times);
    };
    mark("open");
    auto opened = Engine::open(through, small_options(), salt_source);
    Model model;
    for (const auto& [space, kind] : names().spaces) {
        const std::size_t before = done();
        SpaceId id = 0;
        (void)opened.engine->space(space, kind, true, id).status;
        model.make_space(space, kind);
        add(opened.engine->figures().sequence, model, {before, done()});
    }
    const auto all_durable = [&] {
        for (auto& times : recording.times) times.durable = std::min(times.durable, done());
    };
    const auto count = [&] {
        const auto figures = opened.engine->figures();
        recording.flushes += figures.flushes;
        recording.merges += figures.merges;
    };
    for (int i = 0; i < batches; ++i) {
        Engine& engine = *opened.engine;
        std::vector<Changes> group;
        for (std::size_t n = 1 + (random() % 4 == 0 ? random() % 3 : 0); n > 0; --n)
            group.push_back(maker.next());
        const bool durable = random() % 3 != 0;
        const std::size_t before = done();
        mark("write");
        const auto written = write_group(engine, group, durable);
        for (std::size_t b = 0; b < group.size(); ++b) {
            if (!written[b].result) continue;
            const std::uint64_t sequence = written[b].sequence;
            // a trim that removed nothing
            if (sequence == recording.history.states.back().sequence) continue;
            model.apply(group[b]);
            add(sequence, model, {before, Recording::never});
        }
        if (durable) all_durable();
        if (random() % 4 == 0 && engine.sync()) all_durable();
        for (std::size_t n = random() % 4; n > 0 && engine.has_work(); --n) {
            mark("step");
            (void)engine.step().status;
        }
        std::uint64_t levels = 0;
        for (const std::uint64_t bytes : engine.figures().level_bytes) levels += bytes > 0 ? 1 : 0;
        recording.levels = std::max(recording.levels, levels);
        if (i == batches / 2) {
            (void)engine.sync().status;
            all_durable();
            count();
            opened.engine.reset();
            mark("open");
            opened = Engine::open(through, small_options(), salt_source);
        }
        if (i == batches - 3) engine.compact_all();
    }
    while (opened.engine->has_work() && opened.engine->step()) mark("step");
    count();
    recording.operations = files.operations();
    return recording;
}

Checked Checker::check(const Image& image, const History& history, std::size_t min_batches,
                       std::size_t max_batches) {
    ++states_;
    SimFiles files(image);
    auto opened = Engine::open(files, small_options(), counting(states_));
    if (!opened.result) return {"first opening: " + describe(opened.result), 0};
    if (opened.opening.dropped > 0) ++dropped_;
    Checked first = find_state(*opened.engine, history, min_batches, max_batches);
    if (!first.violation.empty()) return first;
    opened.engine.reset();
    opened = Engine::open(files, small_options(), counting(states_ + 1));
    if (!opened.result) return {"second opening: " + describe(opened.result), 0};
    if (opened.opening.dropped > 0) return {"second opening: a dropped tail reappeared", 0};
    if (auto second = find_state(*opened.engine, history, first.state, first.state);
        !second.violation.empty())
        return {"second opening: " + second.violation, 0};

    // The short form of the tests does the rest only for every third state.
    if (!long_form() && states_ % 3 != 0) return first;
    Engine& engine = *opened.engine;
    Model model = *history.states[first.state].model;
    make_spaces(engine, &model);
    Random random(states_);
    const Changes changes = {{Batch::Kind::put, "lists", "new", std::to_string(random() % 100), 0},
                             {Batch::Kind::append, "ledger", "a", "new", 0}};
    const auto written = write(engine, changes);
    if (!written.result) return {"write after opening: " + describe(written.result), 0};
    model.apply(changes);
    History extended;
    extended.add(written.sequence, std::make_shared<const Model>(model));
    SimFiles after(files.disk().cut(random_cut(random, {})));
    auto reopened = Engine::open(after, small_options(), counting(states_ + 2));
    if (!reopened.result) return {"opening after further writes: " + describe(reopened.result), 0};
    if (auto difference = find_state(*reopened.engine, extended, 1, 1); !difference.violation.empty())
        return {"write after opening: " + difference.violation, 0};
    return first;
}

Checked Checker::check_once(const Image& image, const History& history, std::size_t min_batches,
                            std::size_t max_batches) {
    std::uint64_t seen = min_batches * 10'000 + max_batches;
    for (const auto& [name, content] : image) seen = hash_of(content, hash_of(name, seen));
    if (checked_hashes_.insert(seen).second) return check(image, history, min_batches, max_batches);
    ++repeated_;
    return {};
}

std::string Checker::check_nested(const Image& image, const History& history, std::size_t min_batches,
                                  std::size_t max_batches, Random& random) {
    SimFiles files(image);
    const auto opened = Engine::open(files, small_options(), counting(random()));
    if (!opened.result) return "opening: " + describe(opened.result);
    const Checked first = find_state(*opened.engine, history, min_batches, max_batches);
    if (!first.violation.empty()) return first.violation;
    const Image again = cut_at_random_byte(Disk(image), files.operations(),
                                           random_up_to(random, files.operations().size()), random);
    const Checked second = check(again, history, first.state, first.state);
    return second.violation.empty() ? std::string() : "cut while opening: " + second.violation;
}

std::string Checker::check_killed(const Disk& disk, const History& history, std::size_t min_batches,
                                  std::size_t max_batches, Random& random) {
    SimFiles files(disk);
    auto opened = Engine::open(files, small_options(), counting(random()));
    if (!opened.result) return "killed, then opening: " + describe(opened.result);
    const Checked first = find_state(*opened.engine, history, min_batches, max_batches);
    if (!first.violation.empty()) return "killed: " + first.violation;
    const std::size_t served = files.operations().size();
    History extended = history.up_to(first.state);
    Model model = *history.states[first.state].model;
    std::vector<Recording::Times> times;
    make_spaces(*opened.engine, &model);
    const std::size_t spaces_made = files.operations().size();
    if (opened.engine->figures().sequence != extended.states.back().sequence)
        extended.add(opened.engine->figures().sequence, std::make_shared<const Model>(model));
    const std::size_t base = extended.states.size() - 1;
    for (int i = 0; i < 3; ++i) {
        const Changes changes = {{Batch::Kind::put, "lists", "after" + std::to_string(i), "x", 0},
                                 {Batch::Kind::append, "ledger", "b", std::to_string(i), 0}};
        const std::size_t before = files.operations().size();
        const auto written = write(*opened.engine, changes);
        if (!written.result) return "killed, then write: " + describe(written.result);
        model.apply(changes);
        extended.add(written.sequence, std::make_shared<const Model>(model));
        times.push_back({before, files.operations().size()});
        while (random() % 2 == 0 && opened.engine->has_work()) (void)opened.engine->step().status;
    }
    const std::size_t done = random_up_to(random, files.operations().size());
    // States between the creation of two spaces are in no history.
    if (done > served && done < spaces_made) return {};
    std::size_t min_state = min_batches, max_state = first.state;
    if (done >= spaces_made) {
        min_state = max_state = base;
        for (std::size_t i = 0; i < times.size(); ++i) {
            if (times[i].durable <= done) min_state = base + i + 1;
            if (times[i].submitted <= done) max_state = base + i + 1;
        }
    } else if (done == served) {
        min_state = first.state;
    }
    const Image image = cut_at_random_byte(disk, files.operations(), done, random);
    const Checked second = check(image, extended, min_state, max_state);
    return second.violation.empty() ? std::string() : "killed, then cut: " + second.violation;
}

}  // namespace flaxdoor::store::test
