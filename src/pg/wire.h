// PostgreSQL's protocol, version 3.0, as bytes: a Decoder cuts a stream into messages, a Writer makes them,
// and the readers here understand the bodies that matter. No I/O and no clock.
//
// Threading: one thread at a time.   Ownership: views point into the Decoder, until its next call.
// Errors:    what breaks the format is one text (SQLSTATE 08P01); a Decoder that has failed stays failed.
// Bounds:    a message of a kind that may be large (DataRow, CopyData) is handed out in pieces once it is
//            larger than Limits::held; any other is held whole, up to Limits::whole.
// Format:    https://www.postgresql.org/docs/15/protocol-message-formats.html. Integers are big-endian; a
//            length counts itself but not the byte of the type.
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
    std::size_t whole = 16 << 20;    // of a message that is held whole, its body
    std::size_t held = 16 << 10;     // of one that need not be
    std::size_t startup = 10'000;    // of the first packet, as PostgreSQL itself has it
    std::size_t password = 1 << 10;  // of what answers a question for a password
};

// A message, or a piece of one.
struct Message {
    char type = 0;
    std::size_t length = 0;  // of the whole body
    std::string_view body;   // this piece
    bool first = true;
    bool last = true;
};

class Decoder {
public:
    Decoder(Sender sender, Limits limits) : sender_(sender), limits_(limits) {}

    void feed(std::string_view bytes);
    // A packet without a type: the first ones of a client. Its body, the length left out.
    [[nodiscard]] std::optional<std::string_view> next_startup();
    [[nodiscard]] std::optional<Message> next();
    // One byte that is no message: a server's answer to SSLRequest.
    [[nodiscard]] std::optional<char> next_byte();
    // The next message is one of the client's answers to an authentication request: the limit is another one.
    void expect_password(bool expected) { password_ = expected; }

    // Empty while nothing is wrong.
    const std::string& error() const { return error_; }
    // Bytes that were fed and not handed out.
    std::size_t buffered() const { return buffer_.size() - at_; }
    bool between_messages() const { return buffered() == 0 && left_ == 0; }

private:
    bool judge(char type, std::size_t length);

    const Sender sender_;
    const Limits limits_;
    std::string buffer_;
    std::size_t at_ = 0;
    std::size_t left_ = 0;    // of a message that is handed out in pieces
    std::size_t length_ = 0;  // of the same, its whole body
    char type_ = 0;
    bool password_ = false;
    std::string error_;
};

// Appends messages to a text. One that is begun must be ended before the next.
class Writer {
public:
    explicit Writer(std::string& out) : out_(out) {}
    Writer& begin(char type);
    Writer& begin_startup();  // without a type
    Writer& i8(char value);
    Writer& i16(int value);
    Writer& i32(std::uint32_t value);
    Writer& bytes(std::string_view value);
    Writer& text(std::string_view value);  // with its terminator
    void end();
    void empty(char type) { begin(type).end(); }
    // The header of a message whose body is written by others.
    void header(char type, std::size_t body);

private:
    std::string& out_;
    std::size_t begun_ = 0;
};

// Reads a body from its begin. Beyond its end everything is empty and ok() false.
class Fields {
public:
    explicit Fields(std::string_view body) : rest_(body) {}
    int i8();
    int i16();
    std::uint32_t i32();
    std::string_view bytes(std::size_t count);
    std::string_view text();  // up to a terminator, which must be there
    bool ok() const { return ok_; }
    bool done() const { return ok_ && rest_.empty(); }
    std::string_view rest() const { return rest_; }

private:
    std::string_view rest_;
    bool ok_ = true;
};

// ---------------------------------------------------------------------------------------------- first
// packets

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
    std::vector<StartupOption> options;  // of kind `start`, in their order
    Key key;                             // of kind `cancel`
    const std::string* find(std::string_view name) const;
};
[[nodiscard]] Startup read_startup(std::string_view body);
void write_startup(std::string& out, const std::vector<StartupOption>& options);
void write_cancel(std::string& out, Key key);

// ------------------------------------------------------------------------------------------------- bodies

struct ParseBody {
    std::string_view name, text, types;  // types: as they stand, their count in front
};
[[nodiscard]] std::optional<ParseBody> read_parse(std::string_view body);
struct BindBody {
    std::string_view portal, statement, rest;
};
[[nodiscard]] std::optional<BindBody> read_bind(std::string_view body);
struct TargetBody {  // of Describe and Close
    char kind = 0;   // 'S' or 'P'
    std::string_view name;
};
[[nodiscard]] std::optional<TargetBody> read_target(std::string_view body);
// Query, CopyFail, CommandComplete: one text and nothing else.
[[nodiscard]] std::optional<std::string_view> read_text(std::string_view body);
struct Setting {
    std::string_view name, value;
};
[[nodiscard]] std::optional<Setting> read_setting(std::string_view body);

// What an ErrorResponse or NoticeResponse says, as far as it matters here.
struct ErrorBody {
    std::string_view severity;  // not translated (field V, else S)
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
// ReadyForQuery: 'I', 'T' or 'E'.
void write_ready(std::string& out, char status);

}  // namespace flaxdoor::pg
