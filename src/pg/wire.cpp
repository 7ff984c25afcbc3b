#include "pg/wire.h"

#include <algorithm>

namespace flaxdoor::pg {

namespace {

constexpr std::size_t header_bytes = 5;
// Consumed parts of the buffer beyond this size are released.
constexpr std::size_t max_consumed_bytes = 64 << 10;

std::uint32_t big_endian(std::string_view four) {
    std::uint32_t value = 0;
    for (const char c : four) value = value << 8 | static_cast<unsigned char>(c);
    return value;
}

constexpr std::string_view client_message_types = "QPBDECHSXFdcfp";
constexpr std::string_view server_message_types = "RKSZEN123CDTtnsIGHWdcAVv";

bool comes_in_pieces(Sender sender, char type) {
    return type == 'd' || (sender == Sender::server && type == 'D');
}

// Returns the body length of messages that have a fixed one; -1 for any other.
int fixed_length(Sender sender, char type) {
    if (sender == Sender::client)
        return std::string_view("HSXc").find(type) != std::string_view::npos ? 0 : -1;
    if (std::string_view("123nsIc").find(type) != std::string_view::npos) return 0;
    return type == 'Z' ? 1 : -1;
}

std::string printable_type(char type) {
    if (type > ' ' && type < 127) return std::string("'") + type + "'";
    return std::to_string(static_cast<unsigned char>(type));
}

}  // namespace

// --- Decoder ---

void Decoder::feed(std::string_view bytes) {
    if (position_ == buffer_.size()) {
        buffer_.clear();
        position_ = 0;
        if (buffer_.capacity() > max_consumed_bytes) buffer_.shrink_to_fit();
    } else if (position_ > max_consumed_bytes) {
        buffer_.erase(0, position_);
        position_ = 0;
    }
    buffer_ += bytes;
}

std::optional<std::string_view> Decoder::next_startup() {
    if (!error_.empty() || buffered() < 4) return std::nullopt;
    const std::string_view rest = std::string_view(buffer_).substr(position_);
    const std::size_t length = big_endian(rest.substr(0, 4));
    if (length < 8 || length > limits_.startup) {
        error_ = "invalid length of startup packet";
        return std::nullopt;
    }
    if (rest.size() < length) return std::nullopt;
    position_ += length;
    return rest.substr(4, length - 4);
}

std::optional<Message> Decoder::next() {
    if (!error_.empty()) return std::nullopt;
    const std::string_view rest = std::string_view(buffer_).substr(position_);
    if (piece_remaining_ > 0) {
        if (rest.empty()) return std::nullopt;
        const std::size_t size = std::min(piece_remaining_, rest.size());
        position_ += size;
        piece_remaining_ -= size;
        return Message{piece_type_, piece_length_, rest.substr(0, size), false, piece_remaining_ == 0};
    }
    if (rest.empty()) return std::nullopt;
    const char type = rest.front();
    if ((sender_ == Sender::client ? client_message_types : server_message_types).find(type) ==
        std::string_view::npos) {
        error_ = "invalid message type " + printable_type(type);
        return std::nullopt;
    }
    if (rest.size() < header_bytes) return std::nullopt;
    const std::size_t length_field = big_endian(rest.substr(1, 4));
    if (length_field < 4 || !check_length(type, length_field - 4)) {
        if (error_.empty()) error_ = "invalid message length for type " + printable_type(type);
        return std::nullopt;
    }
    const std::size_t length = length_field - 4;
    const std::string_view body = rest.substr(header_bytes);
    if (body.size() >= length) {
        position_ += header_bytes + length;
        return Message{type, length, body.substr(0, length), true, true};
    }
    if (!comes_in_pieces(sender_, type) || length <= limits_.held || body.empty()) return std::nullopt;
    position_ += header_bytes + body.size();
    piece_remaining_ = length - body.size();
    piece_length_ = length;
    piece_type_ = type;
    return Message{type, length, body, true, false};
}

std::optional<char> Decoder::next_byte() {
    if (buffered() == 0) return std::nullopt;
    return buffer_[position_++];
}

bool Decoder::check_length(char type, std::size_t length) {
    if (comes_in_pieces(sender_, type)) return length < (std::size_t{1} << 30);
    if (const int fixed = fixed_length(sender_, type); fixed >= 0)
        return length == static_cast<std::size_t>(fixed);
    if (length <= (expecting_password_ && type == 'p' ? limits_.password : limits_.whole)) return true;
    error_ =
        "message of type " + printable_type(type) + " is too large: " + std::to_string(length) + " bytes";
    return false;
}

// --- Writer ---

Writer& Writer::begin(char type) {
    out_ += type;
    return begin_startup();
}
Writer& Writer::begin_startup() {
    length_position_ = out_.size();
    return i32(0);
}
Writer& Writer::i8(char value) {
    out_ += value;
    return *this;
}
Writer& Writer::i16(int value) {
    out_ += static_cast<char>(value >> 8);
    out_ += static_cast<char>(value);
    return *this;
}
Writer& Writer::i32(std::uint32_t value) {
    for (int shift = 24; shift >= 0; shift -= 8) out_ += static_cast<char>(value >> shift);
    return *this;
}
Writer& Writer::bytes(std::string_view value) {
    out_ += value;
    return *this;
}
Writer& Writer::text(std::string_view value) {
    out_ += value;
    out_ += '\0';
    return *this;
}
void Writer::end() {
    const auto length = static_cast<std::uint32_t>(out_.size() - length_position_);
    for (std::size_t i = 0; i < 4; ++i)
        out_[length_position_ + i] = static_cast<char>(length >> (24 - 8 * i));
}
void Writer::header(char type, std::size_t body) {
    i8(type);
    i32(static_cast<std::uint32_t>(body + 4));
}

// --- Fields ---

std::string_view Fields::bytes(std::size_t count) {
    if (!ok_ || rest_.size() < count) {
        ok_ = false;
        return {};
    }
    const std::string_view value = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return value;
}
int Fields::i8() {
    const std::string_view value = bytes(1);
    return value.empty() ? 0 : static_cast<unsigned char>(value.front());
}
int Fields::i16() { return static_cast<std::int16_t>(big_endian(bytes(2))); }
std::uint32_t Fields::i32() { return big_endian(bytes(4)); }
std::string_view Fields::text() {
    const std::size_t end = ok_ ? rest_.find('\0') : std::string_view::npos;
    if (end == std::string_view::npos) {
        ok_ = false;
        return {};
    }
    const std::string_view value = rest_.substr(0, end);
    rest_.remove_prefix(end + 1);
    return value;
}

// --- Start-up packets ---

const std::string* Startup::find(std::string_view name) const {
    for (const auto& option : options) {
        if (option.name == name) return &option.value;
    }
    return nullptr;
}

Startup read_startup(std::string_view body) {
    Fields fields(body);
    Startup startup;
    startup.version = fields.i32();
    if (startup.version == cancel_code) {
        startup.key.process = fields.i32();
        startup.key.secret = fields.i32();
        if (fields.done()) startup.kind = Startup::Kind::cancel;
    } else if (startup.version == ssl_code || startup.version == gss_code) {
        if (fields.done())
            startup.kind = startup.version == ssl_code ? Startup::Kind::ssl : Startup::Kind::gss;
    } else if (startup.version >> 16 == 3) {
        while (true) {
            const std::string_view name = fields.text();
            if (!fields.ok()) return startup;
            if (name.empty()) break;
            const std::string_view value = fields.text();
            if (!fields.ok()) return startup;
            startup.options.push_back({std::string(name), std::string(value)});
        }
        if (fields.done()) startup.kind = Startup::Kind::start;
    }
    return startup;
}

void write_startup(std::string& out, const std::vector<StartupOption>& options) {
    Writer writer(out);
    writer.begin_startup().i32(protocol_3_0);
    for (const auto& option : options) writer.text(option.name).text(option.value);
    writer.i8(0).end();
}

void write_cancel(std::string& out, Key key) {
    Writer(out).begin_startup().i32(cancel_code).i32(key.process).i32(key.secret).end();
}

// --- Message bodies ---

std::optional<ParseBody> read_parse(std::string_view body) {
    Fields fields(body);
    ParseBody parse;
    parse.name = fields.text();
    parse.text = fields.text();
    parse.types = fields.rest();
    const int count = fields.i16();
    if (count < 0) return std::nullopt;
    fields.bytes(static_cast<std::size_t>(count) * 4);
    if (!fields.done()) return std::nullopt;
    return parse;
}

std::optional<BindBody> read_bind(std::string_view body) {
    Fields fields(body);
    BindBody bind;
    bind.portal = fields.text();
    bind.statement = fields.text();
    bind.rest = fields.rest();
    const auto formats = [&] {
        const int count = fields.i16();
        if (count < 0) return false;
        fields.bytes(static_cast<std::size_t>(count) * 2);
        return fields.ok();
    };
    if (!formats()) return std::nullopt;
    const int values = fields.i16();
    for (int i = 0; i < values && fields.ok(); ++i) {
        const auto length = static_cast<std::int32_t>(fields.i32());
        if (length < -1) return std::nullopt;
        if (length > 0) fields.bytes(static_cast<std::size_t>(length));
    }
    if (values < 0 || !formats() || !fields.done()) return std::nullopt;
    return bind;
}

std::optional<TargetBody> read_target(std::string_view body) {
    Fields fields(body);
    TargetBody target;
    target.kind = static_cast<char>(fields.i8());
    target.name = fields.text();
    if (!fields.done() || (target.kind != 'S' && target.kind != 'P')) return std::nullopt;
    return target;
}

std::optional<std::string_view> read_text(std::string_view body) {
    Fields fields(body);
    const std::string_view text = fields.text();
    if (!fields.done()) return std::nullopt;
    return text;
}

std::optional<Setting> read_setting(std::string_view body) {
    Fields fields(body);
    Setting setting;
    setting.name = fields.text();
    setting.value = fields.text();
    if (!fields.done()) return std::nullopt;
    return setting;
}

std::optional<ErrorBody> read_error(std::string_view body) {
    Fields fields(body);
    ErrorBody error;
    std::string_view translated;
    while (const int field = fields.i8()) {
        const std::string_view text = fields.text();
        switch (field) {
            case 'S': translated = text; break;
            case 'V': error.severity = text; break;
            case 'C': error.code = text; break;
            case 'M': error.message = text; break;
            case 'R': error.routine = text; break;
            default: break;  // PostgreSQL may add further fields
        }
    }
    if (!fields.done()) return std::nullopt;
    if (error.severity.empty()) error.severity = translated;
    return error;
}

void write_error(std::string& out, const ErrorText& error) {
    const std::string_view severity = error.severity == Severity::fatal ? "FATAL" : "ERROR";
    Writer writer(out);
    writer.begin('E').i8('S').text(severity).i8('V').text(severity);
    writer.i8('C').text(error.code).i8('M').text(error.message);
    if (!error.detail.empty()) writer.i8('D').text(error.detail);
    if (!error.hint.empty()) writer.i8('H').text(error.hint);
    writer.i8(0).end();
}

void write_ready(std::string& out, char status) { Writer(out).begin('Z').i8(status).end(); }

}  // namespace flaxdoor::pg
