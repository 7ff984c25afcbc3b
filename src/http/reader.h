// One message on its way in: from bytes, in whatever pieces they come, to a Request or a Response. Used by
// the two machines only. What is taken and what is refused, and with which words, depends on the bytes alone,
// never on how they were split.
//
// Format: RFC 9112. A header is parsed once all of it has come, by Boost.Beast; a start line that can't be
//         one is refused as soon as that is certain.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"

namespace flaxdoor::http {

// Bytes that have come and are not used yet.
class ByteQueue {
public:
    std::string_view view() const { return std::string_view(bytes_).substr(at_); }
    std::size_t size() const { return bytes_.size() - at_; }
    bool empty() const { return size() == 0; }

    void append(std::string_view bytes);
    void consume(std::size_t n);
    // Hands back memory that what is left does not need.
    void settle();
    void release();

private:
    std::string bytes_;
    std::size_t at_ = 0;
};

enum class Progress { more, whole, bad };

struct Fault {
    int status = 400;  // what a client is told
    std::string why;   // in words, of this side's own
};

// A chunked body (RFC 9112, 7.1). Extensions and trailers are checked and dropped; together they may be as
// long as a header.
class ChunkReader {
public:
    explicit ChunkReader(std::size_t body_limit = body_most) : body_limit_(body_limit) {}

    // Takes from the front of `bytes` what belongs to the body.
    [[nodiscard]] Progress take(std::string_view& bytes, std::string& body, Fault& fault);

private:
    enum class State : std::uint8_t {
        size_start,
        size,
        blank,  // ahead of an extension
        extension,
        size_end,
        data,
        data_cr,
        data_lf,
        trailer_start,
        trailer_name,
        trailer_value,
        trailer_end,
        last_lf,
    };
    [[nodiscard]] const char* step(char c, const std::string& body);
    bool over_limit() { return ++extra_ > header_most; }

    std::size_t body_limit_;
    std::uint64_t left_ = 0;  // of the chunk
    std::uint32_t extra_ = 0;
    std::uint8_t digits_ = 0;
    State state_ = State::size_start;
    bool too_large_ = false;
    bool over_ = false;
};

// Message is Request or Response. Where the end of a message is told must be clear, and told in one way:
//  - a request with both Content-Length and Transfer-Encoding, or with either one twice (also twice the
//    same), is refused, as is a coding other than chunked;
//  - so is a response, but the same Content-Length twice is taken, as RFC 9112, 6.3 allows; and one that tells no
//    length ends with its connection, which must end in order: a reset is no end.
template <typename Message>
class Reader {
public:
    // `bodyless`: it ends with its header whatever that says, as an answer to HEAD does.
    explicit Reader(std::size_t body_limit = body_most, bool bodyless = false)
        : chunks_(body_limit), body_limit_(body_limit), bodyless_(bodyless) {}

    // Takes from the front of `bytes` what belongs to this message. To be called no more after `whole` or
    // `bad`.
    [[nodiscard]] Progress take(ByteQueue& bytes);
    // Nothing more will come, and its connection was ended in order: is the message whole by that?
    [[nodiscard]] bool ends_here() const { return header_done_ && framing_ == Framing::connection; }

    bool header_done() const { return header_done_; }
    Message& message() { return message_; }
    const Message& message() const { return message_; }
    // Of a message whose header is done: whether another one may follow on its connection.
    bool keep_alive() const { return keep_alive_; }
    const Fault& fault() const { return fault_; }

private:
    enum class Framing : std::uint8_t { none, length, chunked, connection };

    Progress take_header(ByteQueue& bytes);
    Progress parse_header(std::string block);
    Progress take_body(ByteQueue& bytes);
    bool set_framing(std::uint64_t length, bool has_length);
    Progress refuse(int status, std::string why);

    Message message_;
    Fault fault_;
    ChunkReader chunks_;
    std::size_t body_limit_;
    bool bodyless_;
    std::size_t scanned_ = 0;     // of the header, for its end
    std::size_t line_ = 0;        // where the line begins in which that is
    std::size_t first_line_ = 0;  // size of the start line; 0 while it is not whole
    std::size_t left_ = 0;        // of a body of known length
    Framing framing_ = Framing::none;
    bool first_line_checked_ = false;
    bool folded_ = false;  // a line of the header goes on in the next one
    bool header_done_ = false;
    bool keep_alive_ = false;
};

extern template class Reader<Request>;
extern template class Reader<Response>;

}  // namespace flaxdoor::http
