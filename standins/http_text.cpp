#include "http_text.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace flaxdoor::standins {

namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool holds_token(std::string_view list, std::string_view token) {
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (same_name(trimmed(list.substr(0, comma)), token)) return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

std::optional<std::uint64_t> whole_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
    return number;
}

std::uint64_t digest(std::string_view bytes) {
    std::uint64_t sum = 0xcbf29ce484222325U;
    for (const char c : bytes) sum = (sum ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    return sum;
}

std::string hex(std::uint64_t number) {
    std::string text(16, '0');
    for (int i = 15; i >= 0; --i, number >>= 4U)
        text[static_cast<std::size_t>(i)] = "0123456789abcdef"[number & 15U];
    return text;
}

std::string_view Head::operator[](std::string_view name) const {
    for (std::size_t i = 0; i < line_count; ++i)
        if (same_name(lines[i].first, name)) return lines[i].second;
    return {};
}

bool Head::has(std::string_view name) const {
    return std::any_of(lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(line_count),
                       [&](const auto& line) { return same_name(line.first, name); });
}

Reading read_head(std::string_view bytes, Head& head) {
    head.line_count = 0;
    std::size_t at = 0;
    const auto line = [&](std::string_view& out) {
        const auto* begin = bytes.data() + at;
        const auto* end = static_cast<const char*>(std::memchr(begin, '\n', bytes.size() - at));
        if (end == nullptr) return false;
        out = {begin, static_cast<std::size_t>(end - begin)};
        at += out.size() + 1;
        if (!out.empty() && out.back() == '\r') out.remove_suffix(1);
        return true;
    };
    const auto unfinished = [&] { return bytes.size() > head_bytes_most ? Reading::bad : Reading::more; };
    std::string_view text;
    if (bytes.empty() || !line(text)) return unfinished();
    const auto first = text.find(' ');
    if (first == std::string_view::npos || first == 0) return Reading::bad;
    const auto second = std::min(text.find(' ', first + 1), text.size());
    head.first = text.substr(0, first);
    head.second = text.substr(first + 1, second - first - 1);
    head.third = second < text.size() ? text.substr(second + 1) : std::string_view{};
    if (head.second.empty()) return Reading::bad;
    while (line(text)) {
        if (at > head_bytes_most) return Reading::bad;
        if (text.empty()) {
            head.bytes = at;
            return Reading::whole;
        }
        const auto colon = text.find(':');
        if (colon == std::string_view::npos || colon == 0 || head.line_count == header_lines_most)
            return Reading::bad;
        head.lines[head.line_count++] = {text.substr(0, colon), trimmed(text.substr(colon + 1))};
    }
    return unfinished();
}

Reading ChunkReader::read(std::string_view bytes, std::string& body, std::size_t& used) {
    used = 0;
    for (;;) {
        const auto rest = bytes.substr(used);
        if (state_ == State::data) {
            const auto take = std::min(left_, rest.size());
            body.append(rest.substr(0, take));
            used += take;
            left_ -= take;
            if (left_ > 0) return Reading::more;
            state_ = State::data_end;
            continue;
        }
        const auto end = rest.find('\n');
        if (end == std::string_view::npos) return rest.size() > 256 ? Reading::bad : Reading::more;
        auto text = rest.substr(0, end);
        if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
        used += end + 1;
        switch (state_) {
            case State::size: {
                text = trimmed(text.substr(0, std::min(text.find(';'), text.size())));
                const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), left_, 16);
                if (text.empty() || error != std::errc{} || stop != text.data() + text.size())
                    return Reading::bad;
                if (left_ > most_ || body.size() + left_ > most_) return Reading::bad;
                state_ = left_ == 0 ? State::trailer : State::data;
                break;
            }
            case State::data_end:
                if (!text.empty()) return Reading::bad;
                state_ = State::size;
                break;
            case State::trailer:
                if (text.empty()) return Reading::whole;
                break;
            case State::data: break;
        }
    }
}

std::string_view Answer::operator[](std::string_view name) const {
    for (const auto& [key, value] : headers)
        if (same_name(key, name)) return value;
    return {};
}

void AnswerReader::clear() { *this = AnswerReader(body_most_); }

Reading AnswerReader::next(Answer& answer, bool ended) {
    while (!in_body_) {
        Head head;
        if (const auto read = read_head(buffer_, head); read != Reading::whole) return read;
        const auto status = whole_number(head.second);
        if (!head.first.starts_with("HTTP/1.") || !status || *status < 100 || *status > 599)
            return Reading::bad;
        if (*status < 200) {  // an answer ahead of the answer; 101 is never asked for
            if (*status == 101 || ++informational_ > 64) return Reading::bad;
            buffer_.erase(0, head.bytes);
            continue;
        }
        answer_ = {};
        answer_.status = static_cast<int>(*status);
        answer_.informational = informational_;
        for (std::size_t i = 0; i < head.line_count; ++i)
            answer_.headers.emplace_back(head.lines[i].first, head.lines[i].second);
        const auto connection = head["Connection"];
        answer_.keeps = !holds_token(connection, "close") &&
                        (head.first != "HTTP/1.0" || holds_token(connection, "keep-alive"));
        left_ = 0;
        if (holds_token(head["Transfer-Encoding"], "chunked")) {
            framing_ = Framing::chunked;
            chunks_ = ChunkReader(body_most_);
        } else if (*status == 204 || *status == 304) {
            framing_ = Framing::length;
        } else if (head.has("Content-Length")) {
            const auto length = whole_number(head["Content-Length"]);
            if (!length || *length > body_most_) return Reading::bad;
            framing_ = Framing::length;
            left_ = *length;
        } else {
            framing_ = Framing::until_end;
            answer_.keeps = false;
        }
        buffer_.erase(0, head.bytes);
        in_body_ = true;
    }
    auto result = Reading::more;
    if (framing_ == Framing::chunked) {
        std::size_t used = 0;
        result = chunks_.read(buffer_, answer_.body, used);
        buffer_.erase(0, used);
    } else if (framing_ == Framing::length) {
        const auto take = std::min(left_, buffer_.size());
        answer_.body.append(buffer_, 0, take);
        buffer_.erase(0, take);
        left_ -= take;
        if (left_ == 0) result = Reading::whole;
    } else {
        if (answer_.body.size() + buffer_.size() > body_most_) return Reading::bad;
        answer_.body += buffer_;
        buffer_.clear();
        if (ended) result = Reading::whole;
    }
    if (result == Reading::whole) {
        answer = std::move(answer_);
        answer_ = {};
        in_body_ = false;
        informational_ = 0;
    }
    return result;
}

}  // namespace flaxdoor::standins
