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

constexpr std::size_t method_most = 32;
constexpr std::uint8_t digits_most = 16;  // of a chunk's size: all that fit into 64 bits
constexpr std::size_t fields_usual = 8;   // of a message: more of them cost more
constexpr std::string_view version_start = "HTTP/1.";

std::string_view plain(string_view text) { return {text.data(), text.size()}; }

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

// Whether more could make a start line of these bytes.
bool may_start(std::string_view bytes, const Request&) {
    const auto end = bytes.substr(0, method_most + 1).find(' ');
    const auto method = bytes.substr(0, std::min(end, bytes.size()));
    if (end == 0 || method.size() > method_most) return false;
    return std::all_of(method.begin(), method.end(), is_token);
}

bool may_start(std::string_view bytes, const Response&) {
    const auto n = std::min(bytes.size(), version_start.size());
    return bytes.substr(0, n) == version_start.substr(0, n);
}

// Only ever given what ends with a header's end, or a start line alone.
template <typename Message>
class HeaderParser final : public beast::http::basic_parser<std::is_same_v<Message, Request>> {
    using Base = beast::http::basic_parser<std::is_same_v<Message, Request>>;

public:
    explicit HeaderParser(Message& message) : message_(message) {
        Base::header_limit(2 * header_most);  // the limit itself is seen to ahead of this
        Base::body_limit(boost::none);
    }

private:
    void on_request_impl(beast::http::verb, string_view method, string_view target, int version,
                         error_code&) override {
        if constexpr (std::is_same_v<Message, Request>) {
            message_.method = plain(method);
            message_.target = plain(target);
            message_.version = version;
        }
    }
    void on_response_impl(int status, string_view reason, int version, error_code&) override {
        if constexpr (std::is_same_v<Message, Response>) {
            message_.status = status;
            message_.reason = plain(reason);
            message_.version = version;
        }
    }
    void on_field_impl(beast::http::field, string_view name, string_view value, error_code&) override {
        message_.fields.add(plain(name), plain(value));
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

// ------------------------------------------------------------------------------------------------- buffers

void ByteQueue::append(std::string_view bytes) {
    if (at_ > 0 && at_ >= bytes_.size() / 2) {
        bytes_.erase(0, at_);
        at_ = 0;
    }
    bytes_.append(bytes);
}

void ByteQueue::consume(std::size_t n) {
    at_ += std::min(n, size());
    if (at_ < bytes_.size()) return;
    bytes_.clear();
    at_ = 0;
}

void ByteQueue::settle() {
    if (empty()) {
        release();
    } else if (bytes_.capacity() > buffer_kept && size() < bytes_.capacity() / 2) {
        std::string(view()).swap(bytes_);
        at_ = 0;
    }
}

void ByteQueue::release() {
    std::string().swap(bytes_);  // an assignment would keep the memory
    at_ = 0;
}

// -------------------------------------------------------------------------------------------------- chunks

// What is wrong with this byte, if something is.
const char* ChunkReader::step(char c, const std::string& body) {
    switch (state_) {
        case State::size_start:
        case State::size: {
            const int digit = hex_value(c);
            if (digit >= 0) {
                if (++digits_ > digits_most) return "chunk size too long";
                left_ = left_ * 16 + static_cast<std::uint64_t>(digit);
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
            return over_limit() ? "chunk extensions too long" : nullptr;
        case State::extension:
            if (c == '\r') {
                state_ = State::size_end;
                return nullptr;
            }
            if (!is_text(c)) return "bad chunk extension";
            return over_limit() ? "chunk extensions too long" : nullptr;
        case State::size_end:
            if (c != '\n') return "bad line ending in a chunked body";
            if (left_ > body_limit_ - body.size()) {
                too_large_ = true;
                return "body too large";
            }
            state_ = left_ == 0 ? State::trailer_start : State::data;
            return nullptr;
        case State::data: return nullptr;  // taken in bulk
        case State::data_cr:
            if (c != '\r') return "chunk longer than its size";
            state_ = State::data_lf;
            return nullptr;
        case State::data_lf:
            if (c != '\n') return "bad line ending in a chunked body";
            digits_ = 0;
            state_ = State::size_start;
            return nullptr;
        case State::trailer_start:
            if (c == '\r') {
                state_ = State::last_lf;
                return nullptr;
            }
            if (!is_token(c)) return "bad trailer";
            state_ = State::trailer_name;
            return over_limit() ? "trailers too long" : nullptr;
        case State::trailer_name:
            if (c == ':') {
                state_ = State::trailer_value;
            } else if (!is_token(c)) {
                return "bad trailer";
            }
            return over_limit() ? "trailers too long" : nullptr;
        case State::trailer_value:
            if (c == '\r') {
                state_ = State::trailer_end;
            } else if (!is_text(c)) {
                return "bad trailer";
            }
            return over_limit() ? "trailers too long" : nullptr;
        case State::trailer_end:
            if (c != '\n') return "bad line ending in a chunked body";
            state_ = State::trailer_start;
            return nullptr;
        case State::last_lf:
            if (c != '\n') return "bad line ending in a chunked body";
            over_ = true;
            return nullptr;
    }
    return "bad chunk";
}

Progress ChunkReader::take(std::string_view& bytes, std::string& body, Fault& fault) {
    while (!bytes.empty() && !over_) {
        if (state_ == State::data) {
            const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
            body.append(bytes.substr(0, n));
            bytes.remove_prefix(n);
            left_ -= n;
            if (left_ == 0) state_ = State::data_cr;
            continue;
        }
        if (const char* const wrong = step(bytes.front(), body)) {
            fault = {too_large_ ? 413 : 400, wrong};
            return Progress::bad;
        }
        bytes.remove_prefix(1);
    }
    return over_ ? Progress::whole : Progress::more;
}

// ------------------------------------------------------------------------------------------------- messages

template <typename Message>
Progress Reader<Message>::take(ByteQueue& bytes) {
    if (!header_done_) {
        const Progress progress = take_header(bytes);
        if (progress != Progress::whole) return progress;
    }
    return take_body(bytes);
}

template <typename Message>
Progress Reader<Message>::take_header(ByteQueue& bytes) {
    const std::string_view all = bytes.view().substr(0, header_most);
    if (!may_start(all, message_)) return refuse(400, "not a start line of HTTP/1");
    std::string_view wrong;
    for (;;) {
        const auto end = all.find('\n', scanned_);
        if (end == std::string_view::npos) {
            scanned_ = all.size();
            if (bytes.size() >= header_most) wrong = "header too long";
            break;
        }
        scanned_ = end + 1;
        const bool ended_well = end > line_ && all[end - 1] == '\r';
        const bool empty = end == line_ + 1;
        if (first_line_ == 0) first_line_ = scanned_;
        folded_ = folded_ || all[line_] == ' ' || all[line_] == '\t';
        line_ = scanned_;
        if (!ended_well) {
            wrong = "line not ended by CR LF";
            break;
        }
        if (!empty) continue;
        std::string block;
        // A value that was folded is put behind the bytes that it came in, which must not move meanwhile.
        block.reserve(folded_ ? 2 * scanned_ : scanned_);
        block.append(all.substr(0, scanned_));
        const Progress progress = parse_header(std::move(block));
        bytes.consume(scanned_);
        return progress;
    }
    // Ahead of what may be wrong later on, so that the words don't depend on what had come when.
    if (first_line_ > 0 && !first_line_checked_) {
        first_line_checked_ = true;
        Message scratch;
        HeaderParser<Message> parser(scratch);
        error_code error;
        (void)parser.put(boost::asio::buffer(all.data(), first_line_), error);
        if (error && error != beast::http::error::need_more) return refuse(400, error.message());
    }
    return wrong.empty() ? Progress::more : refuse(400, std::string(wrong));
}

template <typename Message>
Progress Reader<Message>::parse_header(std::string block) {
    message_.fields = Fields(std::move(block));
    message_.fields.reserve(fields_usual, 0);  // the bytes are there, and must not move
    const std::string_view held = message_.fields.block();
    const std::size_t size = held.size();
    HeaderParser<Message> parser(message_);
    error_code error;
    const auto used = parser.put(boost::asio::buffer(held.data(), size), error);
    if (error) {
        return refuse(400, error == beast::http::error::need_more ? "bad header" : error.message());
    }
    if (used != size) return refuse(400, "bad header");
    const auto length = parser.content_length();
    if (!set_framing(length.value_or(0), length.has_value())) return Progress::bad;
    // A chunked message of HTTP/1.0 may have passed through what knows no chunks (RFC 9112, 6.1).
    keep_alive_ = parser.keep_alive() && !(message_.version < 11 && framing_ == Framing::chunked);
    header_done_ = true;
    return Progress::whole;
}

template <typename Message>
bool Reader<Message>::set_framing(std::uint64_t length, bool has_length) {
    const auto encodings = message_.fields.count("Transfer-Encoding");
    const auto lengths = message_.fields.count("Content-Length");
    if constexpr (std::is_same_v<Message, Response>) {
        if (message_.status < 100) {
            refuse(400, "no status");
            return false;
        }
        // These end with their header, whatever their fields say (RFC 9112, 6.3).
        const int status = message_.status;
        if (status < 200 || status == 204 || status == 304 || bodyless_) return true;
    }
    const std::size_t lengths_that_count =
        std::is_same_v<Message, Request> ? lengths : std::min<std::size_t>(lengths, 1);
    if (encodings + lengths_that_count > 1) {
        refuse(400, "its end is told more than once, by Content-Length or Transfer-Encoding");
        return false;
    }
    if (encodings == 1) {
        if (!same_word(message_.fields["Transfer-Encoding"], "chunked")) {
            refuse(400, "a Transfer-Encoding other than chunked");
            return false;
        }
        framing_ = Framing::chunked;
        return true;
    }
    if (has_length) {
        const auto value = message_.fields["Content-Length"];
        if (std::is_same_v<Message, Request> &&
            value.find_first_not_of("0123456789") != std::string_view::npos) {
            refuse(400, "bad Content-Length");
            return false;
        }
        if (length > body_limit_) {
            refuse(413, "body too large");
            return false;
        }
        framing_ = Framing::length;
        left_ = static_cast<std::size_t>(length);
        return true;
    }
    if (std::is_same_v<Message, Response>) framing_ = Framing::connection;
    return true;
}

template <typename Message>
Progress Reader<Message>::take_body(ByteQueue& bytes) {
    if (framing_ == Framing::none) return Progress::whole;
    if (framing_ == Framing::chunked) {
        std::string_view rest = bytes.view();
        const Progress progress = chunks_.take(rest, message_.body, fault_);
        bytes.consume(bytes.size() - rest.size());
        return progress;
    }
    if (framing_ == Framing::connection) {
        if (bytes.size() > body_limit_ - message_.body.size()) return refuse(413, "body too large");
        message_.body.append(bytes.view());
        bytes.consume(bytes.size());
        return Progress::more;
    }
    const auto n = std::min(left_, bytes.size());
    message_.body.append(bytes.view().substr(0, n));
    bytes.consume(n);
    left_ -= n;
    return left_ == 0 ? Progress::whole : Progress::more;
}

template <typename Message>
Progress Reader<Message>::refuse(int status, std::string why) {
    fault_ = {status, std::move(why)};
    return Progress::bad;
}

template class Reader<Request>;
template class Reader<Response>;

}  // namespace flaxdoor::http
