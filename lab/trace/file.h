// Trace files, in the format of docs/trace_format.md. Writing and reading are streamed, so that a trace may be larger
// than memory. A truncated or damaged file is reported with the position of the damage.
//
// Threading: each object belongs to one thread.
// Ownership: the caller owns the streams and opens them in binary mode.
// Bounds:    a writer or reader holds one block (at most max_block bytes) and the terms (at most max_terms bytes).
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

// Convert the terms to and from the JSON text in the head of a file. `error` describes a malformed text.
[[nodiscard]] std::string to_json(const Terms& terms);
[[nodiscard]] std::optional<Terms> terms_of_json(std::string_view text, std::string& error);

// The 128-bit XXH3 hash of the encoded records.
struct Digest {
    std::uint64_t high = 0, low = 0;
    [[nodiscard]] std::string text() const;  // 32 hexadecimal digits
    friend bool operator==(const Digest&, const Digest&) = default;
};

// Encodes records in blocks. A record with an earlier time than its predecessor gets the predecessor's time.
class Blocks {
public:
    Blocks();
    ~Blocks();
    Blocks(const Blocks&) = delete;
    Blocks& operator=(const Blocks&) = delete;

    // Adds a record. Returns true when the block is full; then take() must be called before the next record.
    [[nodiscard]] bool add(const Record& record);
    struct Block {
        std::string_view bytes;  // valid until the next call
        std::uint32_t records = 0;
    };
    // Ends and returns the current block.
    Block take();

    std::uint64_t records() const { return records_; }
    // Returns the digest of all blocks taken.
    [[nodiscard]] Digest digest() const;

private:
    struct Hash;
    std::unique_ptr<Hash> hash_;
    std::string open_, taken_;
    std::uint32_t open_records_ = 0;
    std::uint64_t records_ = 0, at_ = 0, call_ = 0;
};

// Computes only the digest, for runs that store no trace file.
class DigestSink final : public Sink {
public:
    void put(const Record& record) override {
        if (blocks_.add(record)) blocks_.take();
    }
    // Returns the digest of all records. Ends the current block, so it is called once, after the last record.
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
    // Writes the head of the file.
    TraceWriter(std::ostream& out, const Terms& terms);
    void put(const Record& record) override;

    struct Done {
        Digest digest;
        std::uint64_t records = 0;
        std::uint64_t bytes = 0;  // size of the file
    };
    // Writes the end of the file. Returns nothing if a write has failed; the file is then incomplete.
    [[nodiscard]] std::optional<Done> finish();

private:
    void write(std::string_view bytes);
    void write_block();

    std::ostream& out_;
    Blocks blocks_;
    std::uint64_t number_ = 0, bytes_ = 0;
};

// The position and the description of the first damage in a file.
struct Damage {
    std::uint64_t place = 0;  // offset in bytes of the damaged head, block or end
    std::string what;
    [[nodiscard]] std::string text() const;
};

class TraceReader {
public:
    explicit TraceReader(std::istream& in);
    ~TraceReader();
    TraceReader(const TraceReader&) = delete;
    TraceReader& operator=(const TraceReader&) = delete;

    // Reads the head. Called once, before next(). Returns nothing on failure, which damage() describes.
    [[nodiscard]] std::optional<Terms> head();

    enum class Next { record, end, damaged };
    // Reads the next record. Returns records of intact blocks only. After `end` or `damaged`, it returns the same again.
    [[nodiscard]] Next next(Record& record);

    const Damage& damage() const { return damage_; }
    // Valid after `end`, when all checksums and the digest of the file were correct.
    Digest digest() const { return digest_; }
    std::uint64_t records() const { return records_; }

private:
    struct Hash;
    Next damaged(std::uint64_t place, std::string what);
    bool read(std::size_t size);  // reads into bytes_; false at a premature end
    Next next_block();

    std::istream& in_;
    std::unique_ptr<Hash> hash_;
    std::string bytes_;
    std::string_view rest_;
    std::uint32_t records_left_ = 0;
    std::uint64_t place_ = 0, block_place_ = 0, number_ = 0, records_ = 0, at_ = 0, call_ = 0;
    std::optional<Next> final_result_;
    Digest digest_;
    Damage damage_;
};

// Reads a whole file into the sink that `make_sink` returns for the terms. Returns nothing on success.
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
