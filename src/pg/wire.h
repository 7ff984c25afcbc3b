// Messages of PostgreSQL's protocol, version 3.0: a Decoder splits a byte stream into messages, a Writer
// composes messages, and the read functions parse the bodies that matter here. No I/O and no clock.
//
// Threading: one thread at a time.
// Ownership: views point into the Decoder and are valid until its next call.
// Errors:    a format violation is reported as a text (SQLSTATE 08P01); a Decoder that has failed stays
//            failed.
// Bounds:    a message of a type that may be large (DataRow, CopyData) is returned in pieces if it is larger
//            than Limits::held; any other message is buffered whole, up to Limits::whole.
// Format:    https://www.postgresql.org/docs/15/protocol-message-formats.html. Integers are big-endian; a
//            message's length counts itself but not the type byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::pg {

enum class Sender : std::uint8_t { client, server };

struct Limits {
    std::size_t whole = 16 << 20;    // bytes of the body of a message that is buffered whole
    std::size_t held = 16 << 10;     // bytes of the body of a message that may be returned in pieces
    std::size_t startup = 10'000;    // bytes of a start-up packet, the same limit as PostgreSQL's
    std::size_t password = 1 << 10;  // bytes of a client's answer to an authentication request
};

// A message, or a piece of one.
struct Message {
    char type = 0;
    std::size_t length = 0;  // of the whole body
    std::string_view body;   // of this piece
    bool first = true;
    bool last = true;
};

class Decoder {
public:
    Decoder(Sender sender, Limits limits) : sender_(sender), limits_(limits) {}

    void feed(std::string_view bytes);
    // Returns the body of a packet without a type byte, such as a client's first packets; the length field is
    // removed.
    [[nodiscard]] std::optional<std::string_view> next_startup();
    [[nodiscard]] std::optional<Message> next();
    // Returns one byte that is not part of a message: a server's answer to SSLRequest.
    [[nodiscard]] std::optional<char> next_byte();
    // Selects the limit of messages that answer an authentication request.
    void expect_password(bool expected) { expecting_password_ = expected; }

    // Empty if no error has occurred.
    const std::string& error() const { return error_; }
    // Returns the number of bytes that were fed and not returned yet.
    std::size_t buffered() const { return buffer_.size() - position_; }
    // Memory that the decoder holds.
    std::size_t held_bytes() const { return buffer_.capacity(); }
    bool between_messages() const { return buffered() == 0 && piece_remaining_ == 0; }

private:
    bool check_length(char type, std::size_t length);

    const Sender sender_;
    const Limits limits_;
    std::string buffer_;
    std::size_t position_ = 0;
    std::size_t piece_remaining_ = 0;  // bytes of a message in pieces that are still to come
    std::size_t piece_length_ = 0;     // body length of that message
    char piece_type_ = 0;
    bool expecting_password_ = false;
    std::string error_;
};

// Appends messages to a string. A message that was begun must be ended before the next one.
class Writer {
public:
    explicit Writer(std::string& out) : out_(out) {}
    Writer& begin(char type);
    Writer& begin_startup();  // without a type byte
    Writer& i8(char value);
    Writer& i16(int value);
    Writer& i32(std::uint32_t value);
    Writer& bytes(std::string_view value);
    Writer& text(std::string_view value);  // with a terminating zero byte
    void end();
    void empty(char type) { begin(type).end(); }
    // Writes the header of a message whose body the caller appends.
    void header(char type, std::size_t body);

private:
    std::string& out_;
    std::size_t length_position_ = 0;
};

// Reads the fields of a body in order. Past its end every field is empty and ok() is false.
class Fields {
public:
    explicit Fields(std::string_view body) : rest_(body) {}
    int i8();
    int i16();
    std::uint32_t i32();
    std::string_view bytes(std::size_t count);
    std::string_view text();  // up to the terminating zero byte, which must be present
    bool ok() const { return ok_; }
    bool done() const { return ok_ && rest_.empty(); }
    std::string_view rest() const { return rest_; }

private:
    std::string_view rest_;
    bool ok_ = true;
};

// --- Start-up packets ---

constexpr std::uint32_t protocol_3_0 = 3 << 16;
constexpr std::uint32_t cancel_code = (1234u << 16) | 5678u;
constexpr std::uint32_t ssl_code = (1234u << 16) | 5679u;
constexpr std::uint32_t gss_code = (1234u << 16) | 5680u;

struct StartupOption {
    std::string name, value;
};

struct Key {
    std::uint32_t process = 0, secret = 0;
    auto operator<=>(const Key&) const = default;
};

struct Startup {
    enum class Kind : std::uint8_t { start, ssl, gss, cancel, malformed };
    Kind kind = Kind::malformed;
    std::uint32_t version = 0;
    std::vector<StartupOption> options;  // of kind `start`, in the order of the packet
    Key key;                             // of kind `cancel`
    const std::string* find(std::string_view name) const;
};
[[nodiscard]] Startup read_startup(std::string_view body);
void write_startup(std::string& out, const std::vector<StartupOption>& options);
void write_cancel(std::string& out, Key key);

// --- Message bodies ---

struct ParseBody {
    std::string_view name, text, types;  // `types` is the raw field, including its count
};
[[nodiscard]] std::optional<ParseBody> read_parse(std::string_view body);
struct BindBody {
    std::string_view portal, statement, rest;
};
[[nodiscard]] std::optional<BindBody> read_bind(std::string_view body);
struct TargetBody {  // body of Describe and Close
    char kind = 0;   // 'S' or 'P'
    std::string_view name;
};
[[nodiscard]] std::optional<TargetBody> read_target(std::string_view body);
// Reads the body of Query, CopyFail or CommandComplete: a single string.
[[nodiscard]] std::optional<std::string_view> read_text(std::string_view body);
struct Setting {
    std::string_view name, value;
};
[[nodiscard]] std::optional<Setting> read_setting(std::string_view body);

// The fields of an ErrorResponse or NoticeResponse that matter here.
struct ErrorBody {
    std::string_view severity;  // untranslated (field V, otherwise S)
    std::string_view code, message, routine;
};
[[nodiscard]] std::optional<ErrorBody> read_error(std::string_view body);

enum class Severity : std::uint8_t { error, fatal };
struct ErrorText {
    Severity severity = Severity::error;
    std::string_view code;  // SQLSTATE
    std::string_view message;
    std::string detail{}, hint{};  // empty: none
};
void write_error(std::string& out, const ErrorText& error);
// Writes a ReadyForQuery; `status` is 'I', 'T' or 'E'.
void write_ready(std::string& out, char status);

}  // namespace flaxdoor::pg
