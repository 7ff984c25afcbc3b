// Reading HTTP/1.1 from bytes (RFC 9112), as far as the stand-ins need it. It is apart from the product's own
// reader on purpose: the two must not share a mistake.
// Threading: none; everything is plain values. Ownership: heads hold views into the caller's bytes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flaxdoor::standins {

inline constexpr std::size_t head_bytes_most = 16 * 1024;
inline constexpr std::size_t body_bytes_most = 64 * 1024;
inline constexpr std::size_t header_lines_most = 64;

enum class Reading { more, whole, bad };  // more bytes are wanted; done; these bytes are no HTTP

// The head of a request or an answer. Views point into the bytes that were read and live as long as these
// stay.
struct Head {
    std::string_view first, second, third;  // method, target, version; or version, status, reason
    std::array<std::pair<std::string_view, std::string_view>, header_lines_most> lines;
    std::size_t line_count = 0;
    std::size_t bytes = 0;  // of the head, with its empty line

    // The value of the first line of this name (any case); empty when there is none.
    [[nodiscard]] std::string_view operator[](std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
};

[[nodiscard]] Reading read_head(std::string_view bytes, Head& head);
[[nodiscard]] bool same_name(std::string_view a, std::string_view b);
[[nodiscard]] bool holds_token(std::string_view list, std::string_view token);
[[nodiscard]] std::optional<std::uint64_t> whole_number(std::string_view text);
[[nodiscard]] std::uint64_t digest(std::string_view bytes);  // FNV-1a, 64 bits
[[nodiscard]] std::string hex(std::uint64_t number);         // 16 digits

// Takes the chunked coding off, piece by piece. The body is bounded by `most`.
class ChunkReader {
public:
    explicit ChunkReader(std::size_t most) : most_(most) {}
    // Reads from `bytes`, adds to `body`, and tells in `used` how many bytes it is through with.
    [[nodiscard]] Reading read(std::string_view bytes, std::string& body, std::size_t& used);

private:
    enum class State { size, data, data_end, trailer };
    std::size_t most_;
    State state_ = State::size;
    std::size_t left_ = 0;
};

struct Answer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::size_t informational = 0;  // 1xx answers that came ahead
    bool keeps = true;              // the connection may carry another request

    [[nodiscard]] std::string_view operator[](std::string_view name) const;
};

// Reads one answer after the other. Bytes that belong to no answer stay in rest().
class AnswerReader {
public:
    explicit AnswerReader(std::size_t body_most = 1024 * 1024) : body_most_(body_most) {}
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    // Whole: `answer` is set and the reader stands at the next one. `ended` says that no more bytes come,
    // which ends an answer that has no length.
    [[nodiscard]] Reading next(Answer& answer, bool ended);
    [[nodiscard]] const std::string& rest() const { return buffer_; }
    [[nodiscard]] bool begun() const { return in_body_ || !buffer_.empty() || informational_ > 0; }
    [[nodiscard]] bool head_read() const { return in_body_; }
    [[nodiscard]] const Answer& so_far() const { return answer_; }
    void clear();

private:
    enum class Framing { length, chunked, until_end };
    std::size_t body_most_;
    std::string buffer_;
    Answer answer_;
    ChunkReader chunks_{0};
    Framing framing_ = Framing::length;
    std::size_t left_ = 0;
    std::size_t informational_ = 0;
    bool in_body_ = false;
};

}  // namespace flaxdoor::standins
