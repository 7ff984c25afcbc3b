// HTTP/1.1 messages as plain values, their limits and their serialization (RFC 9110, RFC 9112).
//
// Threading: plain values; one thread at a time may use each.
// Units:     sizes are in bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::http {

// Start line, fields and the empty line after them.
inline constexpr std::size_t max_header_bytes = 16 * 1024;
inline constexpr std::size_t default_max_body_bytes = 64 * 1024;
// Capacity that a buffer may keep while it is less than half full; above it, the buffer is shrunk.
inline constexpr std::size_t retained_buffer_bytes = 16 * 1024;

// Compares field names and tokens, ignoring the case of ASCII letters.
[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b);

// Header fields in the order received. All bytes are stored in one buffer, and the fields are offsets into it, so a
// copy costs two allocations whatever the number of fields. Returned views are valid until the next change.
class Fields {
public:
    struct Field {
        std::string_view name;
        std::string_view value;
    };

    Fields() = default;
    // Makes an object without fields. add() copies nothing for names and values that point into the stored `block`.
    explicit Fields(std::string block) : buffer_(std::move(block)) {}

    std::size_t size() const { return spans_.size(); }
    Field at(std::size_t i) const { return {view(spans_[i].name), view(spans_[i].value)}; }
    // Returns the first value with this name; empty when there is none.
    std::string_view operator[](std::string_view name) const;
    std::size_t count(std::string_view name) const;

    // Reserves memory for this many more fields and bytes, so that adding them allocates nothing.
    void reserve(std::size_t fields, std::size_t bytes);
    // Requires that neither contains a line end. Either may point into this object.
    void add(std::string_view name, std::string_view value);
    void set(std::string_view name, std::string_view value);  // replaces all fields of this name
    void erase(std::string_view name);
    // Erases the fields whose name satisfies the predicate.
    template <typename Predicate>
    void erase_if(Predicate predicate) {
        std::erase_if(spans_, [&](const FieldSpan& field) { return predicate(view(field.name)); });
    }

    // All stored bytes: the initial block, then the bytes added. The bytes of erased fields remain.
    std::string_view block() const { return buffer_; }
    // Memory that the object holds.
    std::size_t held_bytes() const { return buffer_.capacity() + spans_.capacity() * sizeof(FieldSpan); }

private:
    struct Span {
        std::uint32_t offset = 0;
        std::uint32_t size = 0;
    };
    struct FieldSpan {
        Span name;
        Span value;
    };
    std::string_view view(Span span) const {
        return std::string_view(buffer_).substr(span.offset, span.size);
    }
    // Returns where the text is stored; appends it to the buffer unless it already points into it.
    Span store(std::string_view text);

    std::string buffer_;
    std::vector<FieldSpan> spans_;
};

// `version` is 10 (HTTP/1.0) or 11. The body excludes its framing, which serialization generates.
struct Request {
    std::string method;
    std::string target;
    int version = 11;
    Fields fields;
    std::string body;
};

struct Response {
    int status = 200;
    std::string reason;  // empty: the standard reason phrase
    int version = 11;
    Fields fields;
    std::string body;
    std::string head_content_length{};  // response to HEAD: Content-Length of the body that GET would return
};

// Memory that a message holds.
[[nodiscard]] inline std::size_t held_bytes(const Request& message) {
    return sizeof(message) + message.method.capacity() + message.target.capacity() +
           message.fields.held_bytes() + message.body.capacity();
}
[[nodiscard]] inline std::size_t held_bytes(const Response& message) {
    return sizeof(message) + message.fields.held_bytes() + message.body.capacity();
}

// Returns the standard reason phrase of a status; "Unknown" for a status that is not in the table.
[[nodiscard]] std::string_view reason_of(int status);

// What a response's Connection field tells the client: nothing, or that the connection closes or persists.
enum class Persistence { unspecified, close, keep_alive };

// A plain-text response of the balancer's own; its body is `why`, or the standard reason phrase if `why` is empty.
[[nodiscard]] Response plain_answer(int status, std::string_view why = {});

// Serializes the message as HTTP/1.1. Content-Length is generated from the body and Connection from `persistence`; the
// message's own Content-Length, Connection and Transfer-Encoding fields are omitted.
void append(std::string& bytes, const Request& message);
void append(std::string& bytes, const Response& message, Persistence persistence, bool without_body = false);
[[nodiscard]] std::string to_bytes(const Request& message);
[[nodiscard]] std::string to_bytes(const Response& message);

// Removes the fields that apply to one connection only (RFC 9110, 7.6.1): framing fields, fields named by Connection,
// and Expect, which the balancer has already met. `kept`: end-to-end fields that Connection cannot remove.
void strip_hop_by_hop(Fields& fields, std::span<const std::string_view> kept = {});

// Whether a Connection field lists this option.
[[nodiscard]] bool has_connection_option(const Fields& fields, std::string_view option);

}  // namespace flaxdoor::http
