// Random workload made from a seed. It uses few spaces and keys, so that keys are often overwritten and
// merged.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

#include "model.h"
#include "sim_files.h"

namespace flaxdoor::store::test {

// Whether FLAXDOOR_STORE_LONG is set, which enables the forms that take minutes.
inline bool long_form() { return std::getenv("FLAXDOOR_STORE_LONG") != nullptr; }

// Builds with sanitizers check only a part of the states.
inline constexpr bool sanitized =
#ifdef __SANITIZE_ADDRESS__
    true;
#else
    false;
#endif

// Limits so small that a few dozen batches produce runs on three levels.
inline EngineOptions small_options() {
    EngineOptions options;
    options.memory_table = 1500;
    options.cache = 2000;
    options.run_bytes = 500;
    options.step_bytes = 300;
    options.merge_at = 2;
    options.stall_at = 4;
    options.level_bytes = 1200;
    options.log = 3000;
    return options;
}

inline const Names& names() {
    static const Names all{
        {{"lists", SpaceKind::keys}, {"weights", SpaceKind::keys}, {"ledger", SpaceKind::streams}},
        {"a", "b", "long name of a stream"}};
    return all;
}

// Creates the spaces of names(), in the model as well if it is given.
inline void make_spaces(Engine& engine, Model* model) {
    for (const auto& [space, kind] : names().spaces) {
        SpaceId id = 0;
        if (engine.space(space, kind, true, id) && model) model->make_space(space, kind);
    }
}

// Returns the text without the lines of next positions, which cannot be read as of a snapshot.
inline std::string keys_of(const std::string& text) {
    std::string out;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t end = text.find('\n', at);
        const std::string line = text.substr(at, end - at);
        if (line.find(" next ") == std::string::npos) out += line + "\n";
        at = end + 1;
    }
    return out;
}

// Generates random batches.
class WorkloadMaker {
public:
    explicit WorkloadMaker(std::uint64_t seed) : random_(seed) {}

    std::string key() { return "key" + std::to_string(random_() % 24); }
    std::string value() {
        const std::size_t size = random_() % 10 == 0 ? random_() % 400 : random_() % 30;
        return "v" + std::to_string(++count_) + std::string(size, static_cast<char>('a' + random_() % 26));
    }
    Changes next() {
        Changes changes;
        for (std::size_t n = 1 + random_() % 5; n > 0; --n) {
            const std::uint64_t choice = random_() % 10;
            const std::string space = random_() % 2 == 0 ? "lists" : "weights";
            const std::string stream = names().streams[random_() % names().streams.size()];
            if (choice < 5) {
                changes.push_back({Batch::Kind::put, space, key(), value()});
            } else if (choice < 7) {
                changes.push_back({Batch::Kind::erase, space, key(), {}});
            } else if (choice < 9) {
                changes.push_back({Batch::Kind::append, "ledger", stream, value()});
                ++appended_;
            } else {
                changes.push_back({Batch::Kind::trim, "ledger", stream, {}, random_() % (appended_ / 3 + 2)});
            }
        }
        return changes;
    }

private:
    Random random_;
    std::uint64_t count_ = 0;
    std::uint64_t appended_ = 0;
};

}  // namespace flaxdoor::store::test
