// The expected content of a store, kept independently of the engine in plain maps and rebuilt from the
// batches. The content of an engine can be formatted as the same text, so that the two can be compared.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "store/batch.h"
#include "store/engine.h"

namespace flaxdoor::store::test {

// A change that names its space.
struct Change {
    Batch::Kind kind = Batch::Kind::put;
    std::string space, key, value;
    std::uint64_t before = 0;
};
using Changes = std::vector<Change>;

SpaceKind kind_of(const Change& change);

// Plain-map model of a store.
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

// The names that a workload uses, as a store cannot list its streams.
struct Names {
    std::map<std::string, SpaceKind> spaces;
    std::vector<std::string> streams;
};

// Formats all content of these names that the engine returns, or the text of an error.
std::string text_of(Engine& engine, const Names& names, std::size_t page = 7,
                    std::optional<std::uint64_t> snapshot = std::nullopt);

// Builds a batch. A space that does not exist gets number 0.
Batch batch_of(Engine& engine, const Changes& changes);

// Write one batch, or several in one group, and return the results.
Engine::Written write(Engine& engine, const Batch& batch, bool durable = true);
Engine::Written write(Engine& engine, const Changes& changes, bool durable = true);
std::vector<Engine::Written> write_group(Engine& engine, const std::vector<Changes>& group, bool durable);
// Runs all background work. Returns the first error.
Result finish_work(Engine& engine);

// Returns a pseudo-random source that is the same in each run.
Engine::Chance counting(std::uint64_t seed);

}  // namespace flaxdoor::store::test
