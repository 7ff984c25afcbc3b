// Incremental parsing of one message into a Request or a Response, for ServerMachine and ClientMachine only. Which
// messages are accepted or rejected, and with which error, depends only on the bytes, not on how they were split.
//
// Format: RFC 9112. Boost.Beast parses a header once all of it has been received; a start line that cannot be valid is
//         rejected as soon as that is certain.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"

namespace flaxdoor::http {

// Received bytes that have not been consumed.
class ByteQueue {
public:
    std::string_view view() const { return std::string_view(buffer_).substr(offset_); }
    std::size_t size() const { return buffer_.size() - offset_; }
    bool empty() const { return size() == 0; }
    // Memory that the queue holds.
    std::size_t held_bytes() const { return buffer_.capacity(); }

    void append(std::string_view bytes);
    void consume(std::size_t count);
    // Frees memory that the remaining bytes do not need (retained_buffer_bytes).
    void shrink();
    // Discards all bytes and frees the memory.
    void release();

private:
    std::string buffer_;
    std::size_t offset_ = 0;
};

enum class Progress { incomplete, complete, malformed };

struct ParseError {
    int status = 400;  // of the response to the client
    std::string why;   // the balancer's own text, for people
};

// Parses a chunked body (RFC 9112, 7.1). Chunk extensions and trailers are validated and discarded; together they may
// be as long as a header (max_header_bytes).
class ChunkReader {
public:
    explicit ChunkReader(std::size_t body_limit = default_max_body_bytes) : max_body_bytes_(body_limit) {}

    // Consumes the bytes that belong to the body from the front of `bytes`.
    [[nodiscard]] Progress parse(std::string_view& bytes, std::string& body, ParseError& error);

private:
    enum class State : std::uint8_t {
        size_start,
        size,
        blank,  // before an extension
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
    // Handles one byte. Returns the error, or null when the byte is valid.
    [[nodiscard]] const char* step(char c, const std::string& body);
    bool exceeds_overhead_limit() { return ++overhead_bytes_ > max_header_bytes; }

    std::size_t max_body_bytes_;
    std::uint64_t chunk_bytes_left_ = 0;
    std::uint32_t overhead_bytes_ = 0;  // of extensions and trailers
    std::uint8_t size_digits_ = 0;
    State state_ = State::size_start;
    bool too_large_ = false;
    bool complete_ = false;
};

// Parses one message; Message is Request or Response. The end of a message must be declared once and unambiguously:
//  - A request with both Content-Length and Transfer-Encoding, or with either of them twice (even with equal values),
//    is rejected, and so is a transfer coding other than chunked.
//  - The same applies to a response, with two exceptions. Repeated equal Content-Length fields are accepted, as
//    RFC 9112, 6.3 allows. A response without a declared length ends with its connection, which must end in order; a
//    reset does not complete it.
template <typename Message>
class Reader {
public:
    // `bodyless`: the message ends with its header whatever its fields say, as a response to HEAD does.
    explicit Reader(std::size_t body_limit = default_max_body_bytes, bool bodyless = false)
        : chunks_(body_limit), max_body_bytes_(body_limit), bodyless_(bodyless) {}

    // Consumes the bytes that belong to this message from the front of `bytes`. Must not be called again after it has
    // returned `complete` or `malformed`.
    [[nodiscard]] Progress parse(ByteQueue& bytes);
    // Whether an orderly end of the connection now completes the message.
    [[nodiscard]] bool ends_with_connection() const {
        return header_done_ && framing_ == Framing::connection;
    }

    bool header_done() const { return header_done_; }
    Message& message() { return message_; }
    const Message& message() const { return message_; }
    // Whether another message may follow on the connection. Requires header_done().
    bool keep_alive() const { return keep_alive_; }
    const ParseError& error() const { return error_; }
    // Memory that the reader and its message hold.
    std::size_t held_bytes() const { return sizeof(*this) + http::held_bytes(message_); }

private:
    enum class Framing : std::uint8_t { none, length, chunked, connection };

    Progress parse_header(ByteQueue& bytes);
    Progress parse_fields(std::string block);
    Progress parse_body(ByteQueue& bytes);
    bool set_framing(std::uint64_t length, bool has_length);
    Progress reject(int status, std::string why);

    Message message_;
    ParseError error_;
    ChunkReader chunks_;
    std::size_t max_body_bytes_;
    bool bodyless_;
    std::size_t scanned_ = 0;           // bytes of the header searched for its end
    std::size_t line_start_ = 0;        // offset of the line that is being received
    std::size_t first_line_bytes_ = 0;  // size of the start line; 0 until it is complete
    std::size_t body_bytes_left_ = 0;   // of a body with a declared length
    Framing framing_ = Framing::none;
    bool first_line_checked_ = false;
    bool folded_ = false;  // a header line is continued on the next line
    bool header_done_ = false;
    bool keep_alive_ = false;
};

extern template class Reader<Request>;
extern template class Reader<Response>;

}  // namespace flaxdoor::http
