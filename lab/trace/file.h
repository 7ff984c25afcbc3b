// A world's records in a file, byte by byte as docs/trace_format.md says: streamed both ways, so that a trace
// may be far larger than memory. A file that was cut or damaged is told with its place.
//
// Threading: each object belongs to one thread. The caller keeps the streams, and opens them in binary.
// Bounds:    a writer or reader holds one block (max_block bytes at most) and the terms (max_terms).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "trace/record.h"
#include "trace/terms.h"

namespace flaxdoor::lab {

inline constexpr std::uint32_t trace_version = 1;
inline constexpr std::size_t max_block = std::size_t{1} << 20U;
inline constexpr std::size_t max_terms = std::size_t{16} << 20U;

// What the head of a file holds of the terms, and back. `error` says what is wrong with a text that is none.
[[nodiscard]] std::string to_json(const Terms& terms);
[[nodiscard]] std::optional<Terms> terms_of_json(std::string_view text, std::string& error);

// XXH3, 128 bits, of the records' bytes.
struct Digest {
    std::uint64_t high = 0, low = 0;
    [[nodiscard]] std::string text() const;  // 32 hexadecimal digits
    friend bool operator==(const Digest&, const Digest&) = default;
};

// Records as bytes, block by block. Times must not go back; one that does stands as its predecessor's.
class Blocks {
public:
    Blocks();
    ~Blocks();
    Blocks(const Blocks&) = delete;
    Blocks& operator=(const Blocks&) = delete;

    // True: the block is full, and is to be taken before the next record.
    [[nodiscard]] bool add(const Record& record);
    struct Block {
        std::string_view bytes;  // good until the next call
        std::uint32_t records = 0;
    };
    // What is there; the next record begins a new block.
    Block take();

    std::uint64_t records() const { return records_; }
    // Of all blocks taken.
    [[nodiscard]] Digest digest() const;

private:
    struct Hash;
    std::unique_ptr<Hash> hash_;
    std::string open_, taken_;
    std::uint32_t in_open_ = 0;
    std::uint64_t records_ = 0, at_ = 0, call_ = 0;
};

// Only the digest: for runs that keep no file.
class DigestSink final : public Sink {
public:
    void put(const Record& record) override {
        if (blocks_.add(record)) blocks_.take();
    }
    // Of all records so far. Ends a block: a trace's digest is asked for once, at its end.
    [[nodiscard]] Digest finish() {
        blocks_.take();
        return blocks_.digest();
    }
    std::uint64_t records() const { return blocks_.records(); }

private:
    Blocks blocks_;
};

class TraceWriter final : public Sink {
public:
    // Writes the head at once.
    TraceWriter(std::ostream& out, const Terms& terms);
    void put(const Record& record) override;

    struct Done {
        Digest digest;
        std::uint64_t records = 0;
        std::uint64_t bytes = 0;  // of the file
    };
    // Writes the end. Nothing: the stream failed on the way, and what was written is no whole trace.
    [[nodiscard]] std::optional<Done> finish();

private:
    void write(std::string_view bytes);
    void write_block();

    std::ostream& out_;
    Blocks blocks_;
    std::uint64_t number_ = 0, bytes_ = 0;
};

// Where a file is no trace any more, and why.
struct Damage {
    std::uint64_t place = 0;  // bytes from the file's beginning: of the head, block or end that is not whole
    std::string what;
    [[nodiscard]] std::string text() const;
};

class TraceReader {
public:
    explicit TraceReader(std::istream& in);
    ~TraceReader();
    TraceReader(const TraceReader&) = delete;
    TraceReader& operator=(const TraceReader&) = delete;

    // The head; once, before all records. Nothing: damage() says why.
    [[nodiscard]] std::optional<Terms> head();

    enum class Next { record, end, damaged };
    // Records come only of blocks that are whole. Once `end` or `damaged`, always so.
    [[nodiscard]] Next next(Record& record);

    const Damage& damage() const { return damage_; }
    // Of the file, after `end`: its checksum by block and digest were as they should be.
    Digest digest() const { return digest_; }
    std::uint64_t records() const { return records_; }

private:
    struct Hash;
    Next damaged(std::uint64_t place, std::string what);
    bool read(std::size_t size);  // into bytes_
    Next next_block();

    std::istream& in_;
    std::unique_ptr<Hash> hash_;
    std::string bytes_;
    std::string_view rest_;
    std::uint32_t left_ = 0;
    std::uint64_t place_ = 0, block_place_ = 0, number_ = 0, records_ = 0, at_ = 0, call_ = 0;
    std::optional<Next> over_;
    Digest digest_;
    Damage damage_;
};

// Head and all records into a sink made of the terms: for judges and reports. Nothing: read to its end.
template <typename MakeSink>
[[nodiscard]] std::optional<Damage> read_trace(std::istream& in, MakeSink make_sink) {
    TraceReader reader(in);
    const auto terms = reader.head();
    if (!terms) return reader.damage();
    Sink& sink = make_sink(*terms);
    Record record;
    TraceReader::Next next;
    while ((next = reader.next(record)) == TraceReader::Next::record) sink.put(record);
    if (next == TraceReader::Next::damaged) return reader.damage();
    return std::nullopt;
}

}  // namespace flaxdoor::lab
