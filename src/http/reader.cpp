#include "http/reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <type_traits>

namespace flaxdoor::http {

namespace {

namespace beast = boost::beast;
using beast::error_code;
using beast::string_view;

constexpr std::size_t max_method_bytes = 32;  // bytes
constexpr std::uint8_t max_size_digits = 16;  // hexadecimal digits of a chunk size that fit into 64 bits
constexpr std::size_t usual_field_count = 8;  // fields reserved for a message; more cause further allocations
constexpr std::string_view version_prefix = "HTTP/1.";

std::string_view to_std(string_view text) { return {text.data(), text.size()}; }

bool is_token(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_text(char c) {
    const auto u = static_cast<unsigned char>(c);
    return c == '\t' || (u >= 0x20 && u != 0x7f);
}

int hex_value(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

// Whether the bytes can be the beginning of a valid start line.
bool may_start_message(std::string_view bytes, const Request&) {
    const auto end = bytes.substr(0, max_method_bytes + 1).find(' ');
    const auto method = bytes.substr(0, std::min(end, bytes.size()));
    if (end == 0 || method.size() > max_method_bytes) return false;
    return std::all_of(method.begin(), method.end(), is_token);
}

bool may_start_message(std::string_view bytes, const Response&) {
    const auto n = std::min(bytes.size(), version_prefix.size());
    return bytes.substr(0, n) == version_prefix.substr(0, n);
}

// Adapts Beast's parser to Message. Its input must be a complete header, or a start line alone.
template <typename Message>
class HeaderParser final : public beast::http::basic_parser<std::is_same_v<Message, Request>> {
    using Base = beast::http::basic_parser<std::is_same_v<Message, Request>>;

public:
    explicit HeaderParser(Message& message) : message_(message) {
        Base::header_limit(2 * max_header_bytes);  // Reader enforces max_header_bytes before parsing
        Base::body_limit(boost::none);
    }

private:
    void on_request_impl(beast::http::verb, string_view method, string_view target, int version,
                         error_code&) override {
        if constexpr (std::is_same_v<Message, Request>) {
            message_.method = to_std(method);
            message_.target = to_std(target);
            message_.version = version;
        }
    }
    void on_response_impl(int status, string_view reason, int version, error_code&) override {
        if constexpr (std::is_same_v<Message, Response>) {
            message_.status = status;
            message_.reason = to_std(reason);
            message_.version = version;
        }
    }
    void on_field_impl(beast::http::field, string_view name, string_view value, error_code&) override {
        message_.fields.add(to_std(name), to_std(value));
    }
    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view body, error_code&) override { return body.size(); }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error_code&) override {
        return body.size();
    }
    void on_finish_impl(error_code&) override {}

    Message& message_;
};

}  // namespace

// ByteQueue

void ByteQueue::append(std::string_view bytes) {
    if (offset_ > 0 && offset_ >= buffer_.size() / 2) {
        buffer_.erase(0, offset_);
        offset_ = 0;
    }
    buffer_.append(bytes);
}

void ByteQueue::consume(std::size_t n) {
    offset_ += std::min(n, size());
    if (offset_ < buffer_.size()) return;
    buffer_.clear();
    offset_ = 0;
}

void ByteQueue::shrink() {
    if (empty()) {
        release();
    } else if (buffer_.capacity() > retained_buffer_bytes && size() < buffer_.capacity() / 2) {
        std::string(view()).swap(buffer_);
        offset_ = 0;
    }
}

void ByteQueue::release() {
    std::string().swap(buffer_);  // an assignment would not free the memory
    offset_ = 0;
}

// ChunkReader

const char* ChunkReader::step(char c, const std::string& body) {
    switch (state_) {
        case State::size_start:
        case State::size: {
            const int digit = hex_value(c);
            if (digit >= 0) {
                if (++size_digits_ > max_size_digits) return "chunk size too long";
                chunk_bytes_left_ = chunk_bytes_left_ * 16 + static_cast<std::uint64_t>(digit);
                state_ = State::size;
                return nullptr;
            }
            if (state_ == State::size_start) return "chunk size missing";
            [[fallthrough]];
        }
        case State::blank:
            if (c == ';') {
                state_ = State::extension;
            } else if (c == ' ' || c == '\t') {
                state_ = State::blank;
            } else if (c == '\r' && state_ == State::size) {
                state_ = State::size_end;
                return nullptr;
            } else {
                return "bad chunk size";
            }
            return exceeds_overhead_limit() ? "chunk extensions too long" : nullptr;
        case State::extension:
            if (c == '\r') {
                state_ = State::size_end;
                return nullptr;
            }
            if (!is_text(c)) return "bad chunk extension";
            return exceeds_overhead_limit() ? "chunk extensions too long" : nullptr;
        case State::size_end:
            if (c != '\n') return "bad line ending in a chunked body";
            if (chunk_bytes_left_ > max_body_bytes_ - body.size()) {
                too_large_ = true;
                return "body too large";
            }
            state_ = chunk_bytes_left_ == 0 ? State::trailer_start : State::data;
            return nullptr;
        case State::data: return nullptr;  // parse() copies the data in bulk
        case State::data_cr:
            if (c != '\r') return "chunk longer than its size";
            state_ = State::data_lf;
            return nullptr;
        case State::data_lf:
            if (c != '\n') return "bad line ending in a chunked body";
            size_digits_ = 0;
            state_ = State::size_start;
            return nullptr;
        case State::trailer_start:
            if (c == '\r') {
                state_ = State::last_lf;
                return nullptr;
            }
            if (!is_token(c)) return "bad trailer";
            state_ = State::trailer_name;
            return exceeds_overhead_limit() ? "trailers too long" : nullptr;
        case State::trailer_name:
            if (c == ':') {
                state_ = State::trailer_value;
            } else if (!is_token(c)) {
                return "bad trailer";
            }
            return exceeds_overhead_limit() ? "trailers too long" : nullptr;
        case State::trailer_value:
            if (c == '\r') {
                state_ = State::trailer_end;
            } else if (!is_text(c)) {
                return "bad trailer";
            }
            return exceeds_overhead_limit() ? "trailers too long" : nullptr;
        case State::trailer_end:
            if (c != '\n') return "bad line ending in a chunked body";
            state_ = State::trailer_start;
            return nullptr;
        case State::last_lf:
            if (c != '\n') return "bad line ending in a chunked body";
            complete_ = true;
            return nullptr;
    }
    return "bad chunk";
}

Progress ChunkReader::parse(std::string_view& bytes, std::string& body, ParseError& error) {
    while (!bytes.empty() && !complete_) {
        if (state_ == State::data) {
            const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(chunk_bytes_left_, bytes.size()));
            body.append(bytes.substr(0, n));
            bytes.remove_prefix(n);
            chunk_bytes_left_ -= n;
            if (chunk_bytes_left_ == 0) state_ = State::data_cr;
            continue;
        }
        if (const char* const wrong = step(bytes.front(), body)) {
            error = {too_large_ ? 413 : 400, wrong};
            return Progress::malformed;
        }
        bytes.remove_prefix(1);
    }
    return complete_ ? Progress::complete : Progress::incomplete;
}

// Reader

template <typename Message>
Progress Reader<Message>::parse(ByteQueue& bytes) {
    if (!header_done_) {
        const Progress progress = parse_header(bytes);
        if (progress != Progress::complete) return progress;
    }
    return parse_body(bytes);
}

template <typename Message>
Progress Reader<Message>::parse_header(ByteQueue& bytes) {
    const std::string_view header = bytes.view().substr(0, max_header_bytes);
    if (!may_start_message(header, message_)) return reject(400, "not a start line of HTTP/1");
    std::string_view wrong;
    for (;;) {
        const auto end = header.find('\n', scanned_);
        if (end == std::string_view::npos) {
            scanned_ = header.size();
            if (bytes.size() >= max_header_bytes) wrong = "header too long";
            break;
        }
        scanned_ = end + 1;
        const bool ends_with_crlf = end > line_start_ && header[end - 1] == '\r';
        const bool empty = end == line_start_ + 1;
        if (first_line_bytes_ == 0) first_line_bytes_ = scanned_;
        folded_ = folded_ || header[line_start_] == ' ' || header[line_start_] == '\t';
        line_start_ = scanned_;
        if (!ends_with_crlf) {
            wrong = "line not ended by CR LF";
            break;
        }
        if (!empty) continue;
        std::string block;
        // Beast unfolds a folded value into a new string, which is appended to the block. The capacity reserved here
        // keeps the block, which is still being parsed, from being reallocated.
        block.reserve(folded_ ? 2 * scanned_ : scanned_);
        block.append(header.substr(0, scanned_));
        const Progress progress = parse_fields(std::move(block));
        bytes.consume(scanned_);
        return progress;
    }
    // Checked before any later error is reported, so that the error does not depend on how the bytes were split.
    if (first_line_bytes_ > 0 && !first_line_checked_) {
        first_line_checked_ = true;
        Message scratch;
        HeaderParser<Message> parser(scratch);
        error_code error;
        (void)parser.put(boost::asio::buffer(header.data(), first_line_bytes_), error);
        if (error && error != beast::http::error::need_more) return reject(400, error.message());
    }
    return wrong.empty() ? Progress::incomplete : reject(400, std::string(wrong));
}

template <typename Message>
Progress Reader<Message>::parse_fields(std::string block) {
    message_.fields = Fields(std::move(block));
    message_.fields.reserve(usual_field_count, 0);  // reserves no bytes: the block must not be reallocated
    const std::string_view stored = message_.fields.block();
    const std::size_t size = stored.size();
    HeaderParser<Message> parser(message_);
    error_code error;
    const auto consumed = parser.put(boost::asio::buffer(stored.data(), size), error);
    if (error) {
        return reject(400, error == beast::http::error::need_more ? "bad header" : error.message());
    }
    if (consumed != size) return reject(400, "bad header");
    const auto length = parser.content_length();
    if (!set_framing(length.value_or(0), length.has_value())) return Progress::malformed;
    // A chunked HTTP/1.0 message may have passed an intermediary without chunked support (RFC 9112, 6.1).
    keep_alive_ = parser.keep_alive() && !(message_.version < 11 && framing_ == Framing::chunked);
    header_done_ = true;
    return Progress::complete;
}

template <typename Message>
bool Reader<Message>::set_framing(std::uint64_t length, bool has_length) {
    const auto encodings = message_.fields.count("Transfer-Encoding");
    const auto lengths = message_.fields.count("Content-Length");
    if constexpr (std::is_same_v<Message, Response>) {
        if (message_.status < 100) {
            reject(400, "invalid status code");
            return false;
        }
        // These responses end with their header whatever their fields say (RFC 9112, 6.3).
        const int status = message_.status;
        if (status < 200 || status == 204 || status == 304 || bodyless_) return true;
    }
    const std::size_t effective_lengths =
        std::is_same_v<Message, Request> ? lengths : std::min<std::size_t>(lengths, 1);
    if (encodings + effective_lengths > 1) {
        reject(400, "its end is told more than once, by Content-Length or Transfer-Encoding");
        return false;
    }
    if (encodings == 1) {
        if (!equals_ignoring_case(message_.fields["Transfer-Encoding"], "chunked")) {
            reject(400, "a Transfer-Encoding other than chunked");
            return false;
        }
        framing_ = Framing::chunked;
        return true;
    }
    if (has_length) {
        const auto value = message_.fields["Content-Length"];
        if (std::is_same_v<Message, Request> &&
            value.find_first_not_of("0123456789") != std::string_view::npos) {
            reject(400, "bad Content-Length");
            return false;
        }
        if (length > max_body_bytes_) {
            reject(413, "body too large");
            return false;
        }
        framing_ = Framing::length;
        body_bytes_left_ = static_cast<std::size_t>(length);
        return true;
    }
    if (std::is_same_v<Message, Response>) framing_ = Framing::connection;
    return true;
}

template <typename Message>
Progress Reader<Message>::parse_body(ByteQueue& bytes) {
    if (framing_ == Framing::none) return Progress::complete;
    if (framing_ == Framing::chunked) {
        std::string_view rest = bytes.view();
        const Progress progress = chunks_.parse(rest, message_.body, error_);
        bytes.consume(bytes.size() - rest.size());
        return progress;
    }
    if (framing_ == Framing::connection) {
        if (bytes.size() > max_body_bytes_ - message_.body.size()) return reject(413, "body too large");
        message_.body.append(bytes.view());
        bytes.consume(bytes.size());
        return Progress::incomplete;
    }
    const auto n = std::min(body_bytes_left_, bytes.size());
    message_.body.append(bytes.view().substr(0, n));
    bytes.consume(n);
    body_bytes_left_ -= n;
    return body_bytes_left_ == 0 ? Progress::complete : Progress::incomplete;
}

template <typename Message>
Progress Reader<Message>::reject(int status, std::string why) {
    error_ = {status, std::move(why)};
    return Progress::malformed;
}

template class Reader<Request>;
template class Reader<Response>;

}  // namespace flaxdoor::http
