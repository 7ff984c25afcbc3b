#include "membership/discovery_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace flaxdoor::membership {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t max_header_bytes = 16 * 1024;

// Finds the end of the next item of a watch: an empty line, or a list on one line or indented over several. A truncated list
// must not swallow the items after it. Therefore an item also ends at an empty line, at a line end within a string, and at a
// line that is a complete object with a member "hosts": such a line is a list of its own, while other lines may be entries
// of an indented list. Whether the item is valid JSON is not checked here.
class ItemScanner {
public:
    // Returns the position after the line end of the item, or 0 if the item is incomplete. Call again with the same text and
    // more appended.
    std::size_t end_in(std::string_view text) {
        while (position_ < text.size()) {
            const char c = text[position_++];
            if (c == '\n') {
                const std::string_view line = text.substr(line_start_, position_ - 1 - line_start_);
                const bool complete_list = line.starts_with('{') && depth_ == line_start_depth_ &&
                                           line.find("\"hosts\"") != std::string_view::npos;
                if (depth_ <= 0 || in_string_ || complete_list || line.empty() || line == "\r")
                    return position_;
                line_start_ = position_;
                line_start_depth_ = depth_;
            } else if (in_string_) {
                in_string_ = escaped_ || c != '"';
                escaped_ = !escaped_ && c == '\\';
            } else {
                in_string_ = c == '"';
                depth_ += (c == '{' || c == '[') - (c == '}' || c == ']');
            }
        }
        return 0;
    }

private:
    std::size_t position_ = 0, line_start_ = 0;
    int depth_ = 0,
        line_start_depth_ = 0;  // open objects and arrays, at the position and at the start of its line
    bool in_string_ = false, escaped_ = false;
};

}  // namespace

class DiscoveryParser::Impl {
public:
    Impl(bool watching, ListNames names, std::size_t max_line_size)
        : watching_(watching), names_(std::move(names)), max_line_size_(max_line_size) {
        parser_.header_limit(max_header_bytes);
        parser_.body_limit(boost::none);  // a watch has no end; max_line_size bounds its items
        parser_.eager(true);
    }

    void receive(std::string_view bytes) {
        if (finished_) return;
        auto space = input_.prepare(bytes.size());
        input_.commit(boost::asio::buffer_copy(space, boost::asio::buffer(bytes.data(), bytes.size())));
        parse();
    }

    void receive_end() {
        if (finished_ || connection_ended_) return;
        connection_ended_ = true;
        boost::system::error_code error;
        if (parser_.got_some() && !parser_.is_done()) parser_.put_eof(error);
        if (error) return fail("response truncated");
        parse();
    }

    std::optional<DiscoveryUpdate> next() {
        if (reported_end_) return std::nullopt;
        if (const std::size_t end = watching_ ? scanner_.end_in(body_) : 0; end > 0) {
            std::string_view line = std::string_view(body_).substr(0, end - 1);
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            DiscoveryUpdate update = update_of(line);
            body_.erase(0, end);
            scanner_ = {};
            return report(std::move(update));
        }
        if (!finished_ && body_.size() > max_line_size_) fail("line too long");
        if (!finished_) return std::nullopt;
        if (snapshot_complete_) {
            snapshot_complete_ = false;
            DiscoveryUpdate update = update_of(body_);
            body_.clear();
            return report(std::move(update));
        }
        DiscoveryUpdate update;
        update.kind = why_.empty() ? DiscoveryUpdate::Kind::ended : DiscoveryUpdate::Kind::failed;
        update.why = why_;
        return report(std::move(update));
    }

private:
    DiscoveryUpdate report(DiscoveryUpdate update) {
        reported_end_ =
            update.kind == DiscoveryUpdate::Kind::ended || update.kind == DiscoveryUpdate::Kind::failed;
        return update;
    }

    void fail(const char* why) {
        finished_ = true;
        why_ = why;
    }

    void parse() {
        boost::system::error_code error;
        if (input_.size() > 0) input_.consume(parser_.put(input_.data(), error));
        if (error && error != http::error::need_more) return fail("malformed response");
        if (parser_.is_header_done()) {
            if (parser_.get().result() != http::status::ok) return fail("status other than 200");
            body_.append(parser_.get().body());
            parser_.get().body().clear();
        }
        if (!parser_.is_done() && !connection_ended_) return;
        finished_ = true;
        snapshot_complete_ = !watching_ && parser_.is_done();
        if (watching_ || !snapshot_complete_) why_ = "ended";
    }

    DiscoveryUpdate update_of(std::string_view text) {
        DiscoveryUpdate update;
        if (watching_ && text.empty()) return update;
        try {
            if (text.size() > max_line_size_) throw std::length_error("line too long");
            update.list = parse_list(text, names_, &update.why);
            update.kind = DiscoveryUpdate::Kind::list;
        } catch (const std::exception& error) {
            update.kind = DiscoveryUpdate::Kind::failed;
            update.list = {};
            update.why = std::string("malformed list: ") + error.what();
            finished_ = true;
        }
        return update;
    }

    const bool watching_;
    const ListNames names_;
    const std::size_t max_line_size_;
    beast::flat_buffer input_;
    http::response_parser<http::string_body> parser_;
    std::string body_;     // the part of the body that has not been reported yet
    ItemScanner scanner_;  // over the first item of the body
    std::string why_;
    bool snapshot_complete_ = false;  // the snapshot is complete and not reported yet
    bool connection_ended_ = false;
    bool finished_ = false;      // no further bytes are parsed
    bool reported_end_ = false;  // `ended` or `failed` has been returned
};

DiscoveryParser::DiscoveryParser(bool watching, ListNames names, std::size_t max_line_size)
    : impl_(std::make_unique<Impl>(watching, std::move(names), max_line_size)) {}
DiscoveryParser::~DiscoveryParser() = default;

std::string DiscoveryParser::request(bool watching, std::uint64_t after_version) {
    std::string target = "/v1/endpoints";
    if (watching) target += "?stream=1&index=" + std::to_string(after_version);
    return "GET " + target + " HTTP/1.1\r\nHost: discovery\r\n\r\n";
}

void DiscoveryParser::receive(std::string_view bytes) { impl_->receive(bytes); }
void DiscoveryParser::receive_end() { impl_->receive_end(); }
std::optional<DiscoveryUpdate> DiscoveryParser::next() { return impl_->next(); }

}  // namespace flaxdoor::membership
