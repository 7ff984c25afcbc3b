#include "net/discovery.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "net/config.h"
#include "net/http.h"

namespace flaxdoor::net {

namespace {

using nlohmann::json;

// An empty line comes every 2 s: two of them missed is silence. A call waits its turn no longer either.
constexpr auto silence = std::chrono::seconds(5);
constexpr std::size_t line_most = 4 * body_most;  // a list of some two thousand upstreams

UpstreamState state_of(const std::string& word) {
    if (word == "active") return UpstreamState::ready;
    if (word == "leaving") return UpstreamState::draining;
    if (word == "left") return UpstreamState::gone;
    throw std::invalid_argument("unknown health: " + word);
}

int place_of(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

ListedUpstream parse_upstream(const json& host, const ListNames& names) {
    ListedUpstream u;
    u.name = host.at("host").get<std::string>();
    u.entry.id = id_of(u.name);
    u.address = parse_endpoint(host.at("dial").get<std::string>());
    u.entry.state = state_of(host.at("health").get<std::string>());
    // A zone must be known: keyed requests are repeated only within it.
    u.entry.zone = place_of(names.zones, host.at("site").get<std::string>());
    if (u.entry.zone == static_cast<int>(names.zones.size())) throw std::invalid_argument("unknown zone");
    u.entry.kind = place_of(names.kinds, host.value("class", ""));
    u.entry.cell = host.value("block", 0);
    u.entry.weight = host.value("share", 1.0);
    const double born_ms = host.value("born_ms", 0.0);
    if (!(born_ms >= 0 && born_ms < 1e15)) throw std::invalid_argument("born_ms out of range");
    u.entry.started_at = Time(static_cast<std::int64_t>(born_ms * 1000));
    return u;
}

}  // namespace

UpstreamId id_of(std::string_view name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;  // FNV-1a
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

List parse_list(std::string_view text, const ListNames& names) {
    const json parsed = json::parse(text);
    List list;
    list.version = parsed.at("seq").get<std::uint64_t>();
    list.whole = parsed.at("whole").get<bool>();
    for (const auto& host : parsed.at("hosts")) list.upstreams.push_back(parse_upstream(host, names));
    return list;
}

// One call on a connection of its own. Once it has ended it reports nothing more.
class Discovery::Call : public std::enable_shared_from_this<Call> {
public:
    Call(Discovery& owner, std::string target, bool watching)
        : owner_(owner),
          target_(std::move(target)),
          watching_(watching),
          socket_(owner.loop_),
          silence_(owner.loop_) {
        parser_.header_limit(header_most);
        parser_.body_limit(boost::none);  // a watch never ends; its lines are bounded
        parser_.eager(true);
    }

    void start() {
        await_news();
        socket_.async_connect(owner_.address_, [self = shared_from_this()](error_code error) {
            if (self->over_) return;
            if (error) return self->end("no connection");
            self->ask();
        });
    }

    bool watching() const { return watching_; }

    // No further news, not even of its end.
    void drop() {
        over_ = true;
        silence_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void end(const char* why) {
        if (over_) return;
        drop();
        owner_.ended(*this, why);
    }

    void await_news() {
        silence_.expires_after(silence);
        silence_.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->silence_.expiry() <= std::chrono::steady_clock::now()) self->end("silence");
        });
    }

    void ask() {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        HttpRequest request(http::verb::get, target_, 11);
        request.set(http::field::host, "discovery");
        out_ = to_bytes(request);
        asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](error_code error, auto) {
            if (error) self->end("broken");
        });
        read();
    }

    void read() {
        socket_.async_read_some(buffer_.prepare(16 * 1024),
                                [self = shared_from_this()](error_code error, std::size_t got) {
                                    if (self->over_) return;
                                    self->buffer_.commit(got);
                                    self->take(error);
                                });
    }

    void take(error_code ended) {
        error_code error;
        if (buffer_.size() > 0) buffer_.consume(parser_.put(buffer_.data(), error));
        if (error && error != http::error::need_more) return end("malformed answer");
        if (ended == asio::error::eof && parser_.got_some() && !parser_.is_done()) parser_.put_eof(error);
        if (parser_.is_header_done()) {
            if (parser_.get().result() != http::status::ok) return end("turned away");
            lines_.append(parser_.get().body());
            parser_.get().body().clear();
            if (!(watching_ ? take_lines() : take_list())) return;
        }
        if (parser_.is_done() || ended) return end("ended");
        await_news();
        read();
    }

    // False when the call is over.
    bool take_lines() {
        std::size_t at = 0;
        for (std::size_t end = 0; (end = lines_.find('\n', at)) != std::string::npos; at = end + 1) {
            std::string_view line = std::string_view(lines_).substr(at, end - at);
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            if (!hear(line)) return false;
        }
        lines_.erase(0, at);
        return bounded();
    }

    bool take_list() { return parser_.is_done() ? hear(lines_) : bounded(); }

    bool hear(std::string_view text) {
        const bool understood = owner_.hear(text, *this, first_);
        first_ = false;
        if (!understood) end("malformed list");
        return !over_;
    }

    bool bounded() {
        if (lines_.size() > line_most) end("line too long");
        return !over_;
    }

    Discovery& owner_;
    const std::string target_;
    const bool watching_;
    tcp::socket socket_;
    asio::steady_timer silence_;
    std::string out_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    std::string lines_;
    bool first_ = true;
    bool over_ = false;
};

Discovery::Discovery(asio::io_context& loop, tcp::endpoint address, ListNames names, DiscoveryEvents& events)
    : loop_(loop), address_(std::move(address)), names_(std::move(names)), events_(events) {}

Discovery::~Discovery() { stop(); }

void Discovery::watch() {
    watching_ = true;
    if (watch_) return;
    watch_ = std::make_shared<Call>(*this, "/v1/endpoints?stream=1&index=" + std::to_string(version_), true);
    watch_->start();
}

void Discovery::unwatch() {
    watching_ = false;
    for (auto* call : {&watch_, &former_}) {
        if (*call) (*call)->drop();
        call->reset();
    }
}

void Discovery::fetch() {
    if (fetch_) return;
    fetch_ = std::make_shared<Call>(*this, "/v1/endpoints", false);
    fetch_->start();
}

void Discovery::move_to(const tcp::endpoint& address) {
    if (address == address_) return;
    address_ = address;
    if (watching_) {
        if (former_) former_->drop();
        former_ = std::move(watch_);
        watch_.reset();
        watch();
    }
    if (fetch_) {
        fetch_->drop();
        fetch_.reset();
        fetch();
    }
}

void Discovery::stop() {
    unwatch();
    if (fetch_) fetch_->drop();
    fetch_.reset();
}

// Returns whether the text was understood. The first line of a watch tells that the call has succeeded, even
// when it brings nothing.
bool Discovery::hear(std::string_view text, const Call& call, bool first) {
    const bool former = &call == former_.get();
    List list;
    if (call.watching() && text.empty()) {
        if (!first || former) return true;
        list.version = version_;
    } else {
        try {
            list = parse_list(text, names_);
        } catch (const std::exception& error) {
            log(std::string("discovery: ") + error.what());
            return false;
        }
        if ((!call.watching() || former) && list.version < version_) return true;  // overtaken meanwhile
        version_ = list.version;
    }
    if (&call == watch_.get() && former_) {
        former_->drop();
        former_.reset();
    }
    events_.on_list(std::move(list));
    return true;
}

void Discovery::ended(Call& call, const char* why) {
    if (&call == former_.get()) {
        former_.reset();
        return;
    }
    const bool watching = watch_.get() == &call;
    const std::shared_ptr<Call> ended = std::move(watching ? watch_ : fetch_);
    (watching ? watch_ : fetch_).reset();
    if (!watching && std::string_view(why) == "ended") return;  // a call for the list that was answered
    log(std::string(watching ? "discovery: watch failed: " : "discovery: call failed: ") + why);
    events_.on_list_failed();
}

}  // namespace flaxdoor::net
