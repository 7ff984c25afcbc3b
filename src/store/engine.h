// The storage engine: log, memory table, sorted runs, recovery, and merging in bounded steps (a
// log-structured merge tree). It has no thread and no clock: its owner calls it, and calls wait for the
// disk. store.h runs it on a thread of its own.
//
// Threading: one thread at a time.   Ownership: the files are borrowed and must outlive the engine.
// Errors:    status.h. After `unknown` the engine refuses all writes until it is opened again; reads
//            continue to work.
// Bounds:    batch.h, EngineOptions; docs/design/store.md.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "store/batch.h"
#include "store/files.h"
#include "store/manifest.h"
#include "store/memory_table.h"
#include "store/recovery.h"
#include "store/run.h"
#include "store/status.h"

namespace flaxdoor::store {

// Sizes are in bytes.
struct EngineOptions {
    // Size at which the memory table is written to a run.
    std::size_t memory_table = 4 * 1024 * 1024;
    // Size at which the memory table is written to a run, whatever its own size. With many overwrites the
    // log grows faster than the table.
    std::size_t log = 16 * 1024 * 1024;
    // Capacity of the block cache.
    std::size_t cache = 8 * 1024 * 1024;
    std::size_t run_bytes = 4 * 1024 * 1024;  // size of one run below level 0
    std::size_t step_bytes = 1024 * 1024;     // bytes read or written by one background step
    std::size_t merge_at = 4;                 // runs of level 0 that start a merge
    std::size_t stall_at = 12;  // runs of level 0 at which writes should wait for background work
    // Capacity of level 1. Each further level holds ten times as much.
    std::uint64_t level_bytes = 40 * 1024 * 1024;
    bool make = true;                  // creates a store in a folder without one
    std::optional<Identity> expected;  // if set, a store with another identity is refused
};

// Largest number of spaces in a store.
inline constexpr std::size_t max_spaces = 1000;

// What a space holds: key-value pairs, or streams of elements with ascending positions.
enum class SpaceKind : std::uint8_t { keys = 1, streams = 2 };

// What opening a store found.
struct Opening {
    bool made = false;             // the folder held no store; a new one was created
    std::uint64_t records = 0;     // log records that were replayed
    std::uint64_t dropped = 0;     // bytes of an incomplete write at the end of the log
    std::string dropped_in;        // name of the file that holds them
    std::uint64_t dropped_at = 0;  // their offset in that file
};

// Counters since the engine was opened, and current sizes.
struct EngineFigures {
    std::uint64_t sequence = 0, synced = 0;  // last sequence that was written; last one known to be durable
    std::uint64_t batches = 0, operations = 0, syncs = 0;
    std::uint64_t user_bytes = 0;     // bytes of keys and values written by batches
    std::uint64_t written_bytes = 0;  // bytes written to all files
    std::uint64_t steps = 0, flushes = 0, merges = 0;
    std::uint64_t runs = 0, run_bytes = 0, memory_bytes = 0;
    std::vector<std::uint64_t> level_bytes;
};

class Engine {
public:
    // Returns random numbers, used for salts and for the identity of a new store.
    using Chance = std::function<std::uint64_t()>;
    struct Opened {
        std::unique_ptr<Engine> engine;  // null unless the result is ok
        Result result;
        Opening opening;
    };
    // Opens the store. On failure there is no engine and no stored data is lost. `retry` and `refused`
    // report failed file operations; `refused` also reports a folder that holds no store, another store or a
    // newer format version, or that is in use. `corrupt` reports damage and leaves the folder unchanged.
    [[nodiscard]] static Opened open(Files& files, EngineOptions options, Chance random);
    ~Engine();

    // Finds a space by name. Creates it, with a durable write of its own, if it is missing and `create` is
    // set.
    Result space(std::string_view name, SpaceKind kind, bool create, SpaceId& id);

    struct Written {
        Result result;
        // Set if the result is ok, or if it is `unknown` but the batch may be stored:
        std::uint64_t sequence = 0;            // sequence of the last operation
        std::vector<std::uint64_t> positions;  // positions of the appended elements, in order
    };
    // Writes batches in order with one append to the log. If `durable`, syncs once for all of them, which
    // also makes all earlier writes durable. Each batch has its own result; a refused batch does not affect
    // the others. After `retry` the batch is not stored and never will be. After `unknown` the engine
    // refuses writes until it is opened again.
    [[nodiscard]] std::vector<Written> write(std::span<const Batch* const> batches, bool durable);
    // Makes all earlier writes durable.
    Result sync();
    bool synced() const;  // whether all writes are durable

    // Returns a snapshot of all writes up to now. The caller must release it.
    std::uint64_t take_snapshot();
    void release_snapshot(std::uint64_t snapshot);

    // Reads the value of a key, as of `snapshot` if given.
    Result get(SpaceId space, std::string_view key, std::optional<std::string>& value,
               std::optional<std::uint64_t> snapshot = std::nullopt);
    struct Item {
        std::string key, value;
    };
    // Reads items with from <= key < to in key order; an empty `to` means the end of the space. Returns at
    // most `max_items` and at most 10,000 items, and stops early once they amount to 4 MiB. A caller has
    // seen all items when a scan that starts after the last key returns none.
    Result scan(SpaceId space, std::string_view from, std::string_view to, std::size_t max_items,
                std::vector<Item>& items, std::optional<std::uint64_t> snapshot = std::nullopt);
    struct Element {
        std::uint64_t position = 0;
        std::string value;
    };
    // Reads up to `max_elements` elements of a stream from position `from` on, under the same limits as
    // scan().
    Result read_stream(SpaceId space, std::string_view stream, std::uint64_t from, std::size_t max_elements,
                       std::vector<Element>& elements, std::optional<std::uint64_t> snapshot = std::nullopt);
    // Returns the position that the next append to the stream will get.
    Result next_position(SpaceId space, std::string_view stream, std::uint64_t& position);

    // Whether background work is pending, and whether writes should wait for it. If writers do not wait,
    // writes are rejected with `retry` at twice the limits of memory table and log.
    bool has_work() const;
    bool crowded() const;
    // Does one bounded step of background work. `retry`, for example on a full disk, leaves everything
    // unchanged.
    Result step();
    // Requests a merge into as few runs as possible, which step() carries out.
    void compact_all();

    // Reads all current files and checks every hash. Calls `progress` with one line per file.
    Result verify(const std::function<void(const std::string&)>& progress);

    const Identity& identity() const;
    EngineFigures figures() const;
    // The error after which the engine refuses writes until it is opened again, if there is one.
    std::optional<Result> broken() const;

private:
    class Impl;
    explicit Engine(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

// Copies what can be read of a damaged store into a new store of the same identity. `to` must hold no files.
// Calls `report` with one line for each loss, and at the end with a line that states how much was copied.
// `from` is not changed. Returns `refused` if `from` or `to` is in use or `from` is of a newer version, and
// `retry` if `to` cannot be written; `to` is then no store.
Result salvage(Files& from, Files& to, Engine::Chance random,
               const std::function<void(const std::string&)>& report);

}  // namespace flaxdoor::store
