// What a store must hold, kept apart from the engine: plain maps, rebuilt from the batches. And the same told
// by an engine, in the same words, so that the two can be compared.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "store/batch.h"
#include "store/engine.h"

namespace flaxdoor::store::test {

// A change by the name of its space.
struct Change {
    Batch::Kind kind = Batch::Kind::put;
    std::string space, key, value;
    std::uint64_t before = 0;
};
using Changes = std::vector<Change>;

SpaceKind kind_of(const Change& change);

class Model {
public:
    void make_space(const std::string& space, SpaceKind kind);
    void apply(const Changes& changes);
    std::string text() const;

    struct Stream {
        std::uint64_t next = 0;
        std::map<std::uint64_t, std::string> elements;
    };
    using Keys = std::map<std::string, std::string>;
    using Streams = std::map<std::string, Stream>;
    const std::map<std::string, Keys>& keys() const { return keys_; }
    const std::map<std::string, Streams>& streams() const { return streams_; }

private:
    std::map<std::string, Keys> keys_;
    std::map<std::string, Streams> streams_;
};

// The names that a workload uses: a store has no list of its streams.
struct Names {
    std::map<std::string, SpaceKind> spaces;
    std::vector<std::string> streams;
};

// All that the engine tells of these names; an error's text when it fails.
std::string text_of(Engine& engine, const Names& names, std::size_t page = 7,
                    std::optional<std::uint64_t> snapshot = std::nullopt);

// With the spaces' numbers; a space that is not there gets 0.
Batch batch_of(Engine& engine, const Changes& changes);

// Writes one batch, or some in one group, and tells what came of it.
Engine::Written write(Engine& engine, const Batch& batch, bool durable = true);
Engine::Written write(Engine& engine, const Changes& changes, bool durable = true);
std::vector<Engine::Written> write_group(Engine& engine, const std::vector<Changes>& group, bool durable);
// All the background work that there is; or what failed.
Result finish_work(Engine& engine);

// Numbers that are the same in each run.
Engine::Chance counting(std::uint64_t seed);

}  // namespace flaxdoor::store::test
