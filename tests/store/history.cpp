#include "history.h"

#include <algorithm>

#include "store/coding.h"

namespace flaxdoor::store::test {

namespace {

std::string told(const Result& result) { return std::string(text_of(result.status)) + ": " + result.why; }

// Which state it is, or what is wrong.
Checked find(Engine& engine, const History& history, std::size_t least, std::size_t most) {
    const std::uint64_t sequence = engine.figures().sequence;
    const auto& states = history.states;
    const auto found =
        std::lower_bound(states.begin(), states.end(), sequence,
                         [](const History::State& s, std::uint64_t n) { return s.sequence < n; });
    if (found == states.end() || found->sequence != sequence)
        return {"sequence " + std::to_string(sequence) + " is the end of no batch", 0};
    const auto n = static_cast<std::size_t>(found - states.begin());
    const std::string range = std::to_string(least) + " to " + std::to_string(most);
    if (n < least) return {"lost: batches " + std::to_string(n) + ", not " + range, n};
    if (n > most) return {"invented: batches " + std::to_string(n) + ", not " + range, n};
    const std::string text = text_of(engine, names(), 100);
    if (text != *found->text)
        return {"not the state after batch " + std::to_string(n) + "\n" + text + "---\n" + *found->text, n};
    return {{}, n};
}

std::size_t at_most(Random& random, std::size_t n) { return static_cast<std::size_t>(random() % (n + 1)); }

// The state after some of these operations, one of them under way.
Image cut_somewhere(Disk disk, const std::vector<Operation>& operations, std::size_t done, Random& random) {
    for (std::size_t i = 0; i < done; ++i) disk.apply(operations[i]);
    const Cut cut = random_cut(random, {});
    if (done < operations.size() && operations[done].kind == Operation::Kind::append)
        return disk.cut_within(operations[done], at_most(random, operations[done].bytes.size()), cut);
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

History History::up_to(std::size_t n) const {
    History history;
    history.states.assign(states.begin(), states.begin() + static_cast<std::ptrdiff_t>(n) + 1);
    return history;
}

std::size_t Recording::least(std::size_t done) const {
    std::size_t n = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        if (times[i].durable <= done) n = i + 1;
    }
    return n;
}

std::size_t Recording::most(std::size_t done) const {
    std::size_t n = 0;
    while (n < times.size() && times[n].submitted <= done) ++n;
    return n;
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
    auto chance = counting(salts);
    const auto done = [&] { return files.operations().size(); };
    const auto mark = [&](std::string what) { recording.marks.emplace_back(done(), std::move(what)); };
    const auto add = [&](std::uint64_t sequence, const Model& model, Recording::Times times) {
        recording.history.add(sequence, std::make_shared<const Model>(model));
        recording.times.push_back(times);
    };
    mark("open");
    auto opened = Engine::open(through, small_options(), chance);
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
            if (sequence == recording.history.states.back().sequence) continue;  // a trim of nothing
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
            opened = Engine::open(through, small_options(), chance);
        }
        if (i == batches - 3) engine.compact_all();
    }
    while (opened.engine->has_work() && opened.engine->step()) mark("step");
    count();
    recording.operations = files.operations();
    return recording;
}

Checked Checker::check(const Image& image, const History& history, std::size_t least, std::size_t most) {
    ++states_;
    SimFiles files(image);
    auto opened = Engine::open(files, small_options(), counting(states_));
    if (!opened.result) return {"first opening: " + told(opened.result), 0};
    if (opened.opening.dropped > 0) ++dropped_;
    Checked first = find(*opened.engine, history, least, most);
    if (!first.violation.empty()) return first;
    opened.engine.reset();
    opened = Engine::open(files, small_options(), counting(states_ + 1));
    if (!opened.result) return {"second opening: " + told(opened.result), 0};
    if (opened.opening.dropped > 0) return {"second opening: a tail that was dropped is back", 0};
    if (auto again = find(*opened.engine, history, first.n, first.n); !again.violation.empty())
        return {"second opening: " + again.violation, 0};

    // The short form of the tests goes on with a part of them.
    if (!long_form() && states_ % 3 != 0) return first;
    Engine& engine = *opened.engine;
    Model model = *history.states[first.n].model;
    make_spaces(engine, &model);
    Random random(states_);
    const Changes changes = {{Batch::Kind::put, "lists", "new", std::to_string(random() % 100), 0},
                             {Batch::Kind::append, "ledger", "a", "new", 0}};
    const auto written = write(engine, changes);
    if (!written.result) return {"written on: " + told(written.result), 0};
    model.apply(changes);
    History beyond;
    beyond.add(written.sequence, std::make_shared<const Model>(model));
    SimFiles after(files.disk().cut(random_cut(random, {})));
    auto last = Engine::open(after, small_options(), counting(states_ + 2));
    if (!last.result) return {"opening after it was written on: " + told(last.result), 0};
    if (auto all = find(*last.engine, beyond, 1, 1); !all.violation.empty())
        return {"written on: " + all.violation, 0};
    return first;
}

Checked Checker::check_once(const Image& image, const History& history, std::size_t least, std::size_t most) {
    std::uint64_t seen = least * 10'000 + most;
    for (const auto& [name, content] : image) seen = hash_of(content, hash_of(name, seen));
    if (seen_.insert(seen).second) return check(image, history, least, most);
    ++same_;
    return {};
}

std::string Checker::check_nested(const Image& image, const History& history, std::size_t least,
                                  std::size_t most, Random& random) {
    SimFiles files(image);
    const auto opened = Engine::open(files, small_options(), counting(random()));
    if (!opened.result) return "opening: " + told(opened.result);
    const Checked first = find(*opened.engine, history, least, most);
    if (!first.violation.empty()) return first.violation;
    const Image again =
        cut_somewhere(Disk(image), files.operations(), at_most(random, files.operations().size()), random);
    const Checked second = check(again, history, first.n, first.n);
    return second.violation.empty() ? std::string() : "cut while it was opened: " + second.violation;
}

std::string Checker::check_killed(const Disk& disk, const History& history, std::size_t least,
                                  std::size_t most, Random& random) {
    SimFiles files(disk);
    auto opened = Engine::open(files, small_options(), counting(random()));
    if (!opened.result) return "killed, opening: " + told(opened.result);
    const Checked first = find(*opened.engine, history, least, most);
    if (!first.violation.empty()) return "killed: " + first.violation;
    const std::size_t served = files.operations().size();
    History beyond = history.up_to(first.n);
    Model model = *history.states[first.n].model;
    std::vector<Recording::Times> times;
    make_spaces(*opened.engine, &model);
    const std::size_t spaces_made = files.operations().size();
    if (opened.engine->figures().sequence != beyond.states.back().sequence)
        beyond.add(opened.engine->figures().sequence, std::make_shared<const Model>(model));
    const std::size_t base = beyond.states.size() - 1;
    for (int i = 0; i < 3; ++i) {
        const Changes changes = {{Batch::Kind::put, "lists", "after" + std::to_string(i), "x", 0},
                                 {Batch::Kind::append, "ledger", "b", std::to_string(i), 0}};
        const std::size_t before = files.operations().size();
        const auto written = write(*opened.engine, changes);
        if (!written.result) return "killed, written on: " + told(written.result);
        model.apply(changes);
        beyond.add(written.sequence, std::make_shared<const Model>(model));
        times.push_back({before, files.operations().size()});
        while (random() % 2 == 0 && opened.engine->has_work()) (void)opened.engine->step().status;
    }
    const std::size_t done = at_most(random, files.operations().size());
    if (done > served && done < spaces_made) return {};  // states between are in no history
    std::size_t must = least, may = first.n;
    if (done >= spaces_made) {
        must = may = base;
        for (std::size_t i = 0; i < times.size(); ++i) {
            if (times[i].durable <= done) must = base + i + 1;
            if (times[i].submitted <= done) may = base + i + 1;
        }
    } else if (done == served) {
        must = first.n;
    }
    const Image image = cut_somewhere(disk, files.operations(), done, random);
    const Checked second = check(image, beyond, must, may);
    return second.violation.empty() ? std::string() : "killed, then cut: " + second.violation;
}

}  // namespace flaxdoor::store::test
