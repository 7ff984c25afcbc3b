#include "http/message.h"

#include <algorithm>
#include <array>
#include <functional>

namespace flaxdoor::http {

namespace {

constexpr char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view trimmed(std::string_view text) {
    const auto blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && blank(text.front())) text.remove_prefix(1);
    while (!text.empty() && blank(text.back())) text.remove_suffix(1);
    return text;
}

bool less_ignoring_case(std::string_view a, std::string_view b) {
    return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
                                        [](char x, char y) { return lower(x) < lower(y); });
}

template <typename Visit>
void for_each_option(const Fields& fields, Visit visit) {
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const auto [name, value] = fields.at(i);
        if (!equals_ignoring_case(name, "Connection")) continue;
        for (auto rest = value; !rest.empty();) {
            const auto comma = std::min(rest.find(','), rest.size());
            if (const auto option = trimmed(rest.substr(0, comma)); !option.empty()) visit(option);
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
}

void append_line(std::string& bytes, std::string_view name, std::string_view value) {
    bytes.append(name).append(": ").append(value).append("\r\n");
}

// Whether the serializer generates the field itself.
bool is_generated_field(std::string_view name) {
    return equals_ignoring_case(name, "Content-Length") || equals_ignoring_case(name, "Transfer-Encoding") ||
           equals_ignoring_case(name, "Connection");
}

std::size_t size_of(const Fields& fields) {
    std::size_t size = 0;
    for (std::size_t i = 0; i < fields.size(); ++i) {
        size += fields.at(i).name.size() + fields.at(i).value.size() + 4;
    }
    return size;
}

void append_fields(std::string& bytes, const Fields& fields) {
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const auto [name, value] = fields.at(i);
        if (!is_generated_field(name)) append_line(bytes, name, value);
    }
}

constexpr std::size_t generated_bytes = 128;  // bytes for the rest of the start line and the generated fields

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view Fields::operator[](std::string_view name) const {
    for (const FieldSpan& field : spans_) {
        if (equals_ignoring_case(view(field.name), name)) return view(field.value);
    }
    return {};
}

std::size_t Fields::count(std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(spans_.begin(), spans_.end(), [&](const FieldSpan& field) {
        return equals_ignoring_case(view(field.name), name);
    }));
}

Fields::Span Fields::store(std::string_view text) {
    const std::less_equal<const char*> not_after;
    const char* const begin = buffer_.data();
    const char* const end = begin + buffer_.size();
    const auto size = static_cast<std::uint32_t>(text.size());
    if (not_after(begin, text.data()) && not_after(text.data() + text.size(), end)) {
        return {static_cast<std::uint32_t>(text.data() - begin), size};
    }
    const auto at = static_cast<std::uint32_t>(buffer_.size());
    buffer_.append(text);
    return {at, size};
}

void Fields::reserve(std::size_t fields, std::size_t bytes) {
    spans_.reserve(spans_.size() + fields);
    if (bytes > 0) buffer_.reserve(buffer_.size() + bytes);
}

void Fields::add(std::string_view name, std::string_view value) {
    // Appending one of them may reallocate the buffer that the other one points into, so the one inside is stored
    // first.
    const std::less_equal<const char*> not_after;
    const bool value_is_stored = not_after(buffer_.data(), value.data()) &&
                                 not_after(value.data() + value.size(), buffer_.data() + buffer_.size());
    FieldSpan field;
    if (value_is_stored) {
        field.value = store(value);
        field.name = store(name);
    } else {
        field.name = store(name);
        field.value = store(value);
    }
    spans_.push_back(field);
}

void Fields::set(std::string_view name, std::string_view value) {
    erase(name);
    add(name, value);
}

void Fields::erase(std::string_view name) {
    erase_if([&](std::string_view other) { return equals_ignoring_case(other, name); });
}

std::string_view reason_of(int status) {
    switch (status) {
        case 100: return "Continue";
        case 200: return "OK";
        case 204: return "No Content";
        case 304: return "Not Modified";
        case 400: return "Bad Request";
        case 403: return "Forbidden";
        case 404: return "Not Found";
        case 408: return "Request Timeout";
        case 409: return "Conflict";
        case 413: return "Payload Too Large";
        case 429: return "Too Many Requests";
        case 500: return "Internal Server Error";
        case 502: return "Bad Gateway";
        case 503: return "Service Unavailable";
        case 504: return "Gateway Timeout";
        default: return "Unknown";
    }
}

Response plain_answer(int status, std::string_view why) {
    Response response;
    response.status = status;
    response.fields.add("Content-Type", "text/plain");
    response.body.append(why.empty() ? reason_of(status) : why).append("\n");
    return response;
}

void append(std::string& bytes, const Request& message) {
    bytes.reserve(bytes.size() + message.method.size() + message.target.size() + size_of(message.fields) +
                  message.body.size() + generated_bytes);
    bytes.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    append_fields(bytes, message.fields);
    const bool expects_body =
        message.method == "POST" || message.method == "PUT" || message.method == "PATCH";
    if (expects_body || !message.body.empty()) {
        append_line(bytes, "Content-Length", std::to_string(message.body.size()));
    }
    bytes.append("\r\n").append(message.body);
}

void append(std::string& bytes, const Response& message, Persistence persistence, bool without_body) {
    const std::string_view reason = message.reason.empty() ? reason_of(message.status) : message.reason;
    // These responses end with their header whatever their fields say (RFC 9112, 6.3).
    const bool bodyless = message.status < 200 || message.status == 204 || message.status == 304;
    bytes.reserve(bytes.size() + reason.size() + size_of(message.fields) + message.body.size() +
                  generated_bytes);
    bytes.append("HTTP/1.1 ")
        .append(std::to_string(message.status))
        .append(" ")
        .append(reason)
        .append("\r\n");
    append_fields(bytes, message.fields);
    if (persistence == Persistence::close) append_line(bytes, "Connection", "close");
    if (persistence == Persistence::keep_alive) append_line(bytes, "Connection", "keep-alive");
    // A response to HEAD keeps the Content-Length of the body that it omits.
    const std::string_view head_length = without_body ? message.head_content_length : std::string_view();
    if (!bodyless && !head_length.empty()) append_line(bytes, "Content-Length", head_length);
    if (!bodyless && head_length.empty())
        append_line(bytes, "Content-Length", std::to_string(message.body.size()));
    bytes.append("\r\n");
    if (!bodyless && !without_body) bytes.append(message.body);
}

std::string to_bytes(const Request& message) {
    std::string bytes;
    append(bytes, message);
    return bytes;
}

std::string to_bytes(const Response& message) {
    std::string bytes;
    append(bytes, message, Persistence::unspecified);
    return bytes;
}

void strip_hop_by_hop(Fields& fields, std::span<const std::string_view> kept) {
    // The views stay valid: the bytes of erased fields remain. Sorted, because a client may name thousands of options
    // and send thousands of fields.
    std::vector<std::string_view> named;
    for_each_option(fields, [&](std::string_view option) {
        const bool keep = std::any_of(kept.begin(), kept.end(), [&](std::string_view name) {
            return equals_ignoring_case(name, option);
        });
        if (!keep) named.push_back(option);
    });
    std::sort(named.begin(), named.end(), less_ignoring_case);
    static constexpr std::array<std::string_view, 11> hop_by_hop = {
        "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
        "Trailer",    "Upgrade",    "Expect",           "Transfer-Encoding",  "Content-Length"};
    fields.erase_if([&](std::string_view name) {
        const auto matches = [&](std::string_view other) { return equals_ignoring_case(name, other); };
        return std::any_of(hop_by_hop.begin(), hop_by_hop.end(), matches) ||
               std::binary_search(named.begin(), named.end(), name, less_ignoring_case);
    });
}

bool has_connection_option(const Fields& fields, std::string_view option) {
    bool found = false;
    for_each_option(fields,
                    [&](std::string_view named) { found = found || equals_ignoring_case(named, option); });
    return found;
}

}  // namespace flaxdoor::http
