#include "membership/roster_machine.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace flaxdoor::membership {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t header_most = 16 * 1024;

// Finds the end of a watch's next text: an empty line, or a list, on a line or indented over several. Guards against
// one that was cut short and would swallow all that comes behind it: an object has no empty line in it, and a line
// that is an object with hosts of its own is a list of its own (entries may stand one a line). What isn't JSON is no concern here.
class ListText {
public:
    // Behind its line's end; 0: not here yet. Told again with more at the end of the same text.
    std::size_t end_in(std::string_view text) {
        while (at_ < text.size()) {
            const char c = text[at_++];
            if (c == '\n') {
                const std::string_view line = text.substr(line_, at_ - 1 - line_);
                const bool alone = line.starts_with('{') && deep_ == deep_before_ &&
                                   line.find("\"hosts\"") != std::string_view::npos;
                if (deep_ <= 0 || in_string_ || alone || line.empty() || line == "\r") return at_;
                line_ = at_;
                deep_before_ = deep_;
            } else if (in_string_) {
                in_string_ = escaped_ || c != '"';
                escaped_ = !escaped_ && c == '\\';
            } else {
                in_string_ = c == '"';
                deep_ += (c == '{' || c == '[') - (c == '}' || c == ']');
            }
        }
        return 0;
    }

private:
    std::size_t at_ = 0, line_ = 0;   // read so far; where its line begins
    int deep_ = 0, deep_before_ = 0;  // open objects and lists, here and where the line begins
    bool in_string_ = false, escaped_ = false;
};

}  // namespace

class RosterMachine::Impl {
public:
    Impl(bool watching, ListNames names, std::size_t line_most)
        : watching_(watching), names_(std::move(names)), line_most_(line_most) {
        parser_.header_limit(header_most);
        parser_.body_limit(boost::none);  // a watch never ends; its lines are bounded
        parser_.eager(true);
    }

    void receive(std::string_view bytes) {
        if (over_) return;
        auto room = in_.prepare(bytes.size());
        in_.commit(boost::asio::buffer_copy(room, boost::asio::buffer(bytes.data(), bytes.size())));
        take();
    }

    void receive_end() {
        if (over_ || ended_) return;
        ended_ = true;
        boost::system::error_code error;
        if (parser_.got_some() && !parser_.is_done()) parser_.put_eof(error);
        if (error) return fail("cut off");
        take();
    }

    std::optional<RosterNews> next() {
        if (told_) return std::nullopt;
        if (const std::size_t end = watching_ ? text_.end_in(lines_) : 0; end > 0) {
            std::string_view line = std::string_view(lines_).substr(0, end - 1);
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            RosterNews news = read(line);
            lines_.erase(0, end);
            text_ = {};
            return tell(std::move(news));
        }
        if (!over_ && lines_.size() > line_most_) fail("line too long");
        if (!over_) return std::nullopt;
        if (whole_list_) {
            whole_list_ = false;
            RosterNews news = read(lines_);
            lines_.clear();
            return tell(std::move(news));
        }
        RosterNews news;
        news.kind = why_.empty() ? RosterNews::Kind::ended : RosterNews::Kind::failed;
        news.why = why_;
        return tell(std::move(news));
    }

private:
    RosterNews tell(RosterNews news) {
        told_ = news.kind == RosterNews::Kind::ended || news.kind == RosterNews::Kind::failed;
        return news;
    }

    void fail(const char* why) {
        over_ = true;
        why_ = why;
    }

    void take() {
        boost::system::error_code error;
        if (in_.size() > 0) in_.consume(parser_.put(in_.data(), error));
        if (error && error != http::error::need_more) return fail("malformed answer");
        if (parser_.is_header_done()) {
            if (parser_.get().result() != http::status::ok) return fail("turned away");
            lines_.append(parser_.get().body());
            parser_.get().body().clear();
        }
        if (!parser_.is_done() && !ended_) return;
        over_ = true;
        whole_list_ = !watching_ && parser_.is_done();
        if (watching_ || !whole_list_) why_ = "ended";
    }

    RosterNews read(std::string_view text) {
        RosterNews news;
        if (watching_ && text.empty()) return news;
        try {
            if (text.size() > line_most_) throw std::length_error("line too long");
            news.list = parse_list(text, names_, &news.why);
            news.kind = RosterNews::Kind::list;
        } catch (const std::exception& error) {
            news.kind = RosterNews::Kind::failed;
            news.list = {};
            news.why = std::string("malformed list: ") + error.what();
            over_ = true;
        }
        return news;
    }

    const bool watching_;
    const ListNames names_;
    const std::size_t line_most_;
    beast::flat_buffer in_;
    http::response_parser<http::string_body> parser_;
    std::string lines_;  // of the body, not yet read
    ListText text_;      // the first of them
    std::string why_;
    bool whole_list_ = false;  // a call's answer is all there
    bool ended_ = false;
    bool over_ = false;
    bool told_ = false;
};

RosterMachine::RosterMachine(bool watching, ListNames names, std::size_t line_most)
    : impl_(std::make_unique<Impl>(watching, std::move(names), line_most)) {}
RosterMachine::~RosterMachine() = default;

std::string RosterMachine::request(bool watching, std::uint64_t after_version) {
    std::string target = "/v1/endpoints";
    if (watching) target += "?stream=1&index=" + std::to_string(after_version);
    return "GET " + target + " HTTP/1.1\r\nHost: discovery\r\n\r\n";
}

void RosterMachine::receive(std::string_view bytes) { impl_->receive(bytes); }
void RosterMachine::receive_end() { impl_->receive_end(); }
std::optional<RosterNews> RosterMachine::next() { return impl_->next(); }

}  // namespace flaxdoor::membership
