#include "membership/discovery_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "log/events.h"
#include "loop/sockets.h"

namespace flaxdoor::membership {

namespace asio = boost::asio;
using loop::error_code;
using loop::tcp;

namespace {

// Back-off between the starts of two watches where lists are pushed and the first watch fails: the minimum, which also
// applies after a watch that has delivered an update, and the maximum.
constexpr Micros min_backoff = std::chrono::milliseconds(100);
constexpr Micros max_backoff = std::chrono::seconds(1);

// SplitMix64: small, and produces the same numbers on every platform.
std::uint64_t next_random(std::uint64_t& state) {
    std::uint64_t z = (state += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

}  // namespace

// One call to the service, on its own connection. A call that has ended reports nothing more to its owner.
class DiscoveryClient::Call : public std::enable_shared_from_this<Call> {
public:
    Call(DiscoveryClient& owner, bool watching)
        : owner_(owner),
          watching_(watching),
          request_(DiscoveryParser::request(watching, owner.version_)),
          parser_(watching, owner.names_, owner.limits_.max_line_size),
          socket_(owner.loop_),
          silence_timer_(owner.loop_) {}

    void start() {
        restart_silence_timer();
        error_code open_error;
        loop::open(socket_, open_error);
        if (open_error) {
            asio::post(owner_.loop_,
                       [self = shared_from_this()] { self->end("no file descriptor available", true); });
            return;
        }
        socket_.async_connect(owner_.address_, [self = shared_from_this()](error_code error) {
            if (self->ended_) return;
            if (error) return self->end("connecting failed", true);
            self->send_request();
        });
    }

    // Reads and reports what the socket has received. An end of the connection is left to the loop.
    void catch_up() {
        const auto self = shared_from_this();
        for (std::size_t size = 0; !ended_ && size < owner_.limits_.max_line_size;) {
            const loop::Read received = loop::read_some(socket_, buffer_);
            if (received.kind != loop::Read::Kind::bytes) return;
            size += received.bytes.size();
            parser_.receive(received.bytes);
            if (!report_updates()) return;
        }
    }

    bool watching() const { return watching_; }
    bool has_delivered() const { return !awaits_first_; }
    std::chrono::steady_clock::time_point started_at() const { return started_at_; }
    // Returns whether no update was delivered before, and marks one as delivered.
    bool take_first() { return std::exchange(awaits_first_, false); }

    // Closes the connection without a report, not even of the end.
    void drop() {
        ended_ = true;
        silence_timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void end(const std::string& why, bool failed) {
        if (ended_) return;
        drop();
        owner_.on_end(*this, why, failed);
    }

    void restart_silence_timer() {
        silence_timer_.expires_after(awaits_first_ ? owner_.limits_.answer : owner_.limits_.silence);
        silence_timer_.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->ended_ || self->silence_timer_.expiry() > std::chrono::steady_clock::now())
                return;
            self->end("silence", true);
        });
    }

    void send_request() {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        asio::async_write(socket_, asio::buffer(request_),
                          [self = shared_from_this()](error_code error, auto) {
                              if (error && !self->ended_) self->end("broken", true);
                          });
        wait_readable();
    }

    // Only waits; on_readable() reads. Bytes that an asynchronous read had already taken from the socket would be overtaken
    // by those that deliver_pending() reads.
    void wait_readable() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (!self->ended_) self->on_readable(error);
        });
    }

    void on_readable(error_code error) {
        const loop::Read received =
            error ? loop::Read{loop::Read::Kind::broken, {}} : loop::read_some(socket_, buffer_);
        if (received.kind == loop::Read::Kind::bytes) {
            parser_.receive(received.bytes);
        } else if (received.kind != loop::Read::Kind::nothing) {
            parser_.receive_end();
        }
        if (received.kind == loop::Read::Kind::nothing || report_updates()) wait_readable();
    }

    // Reports the parsed updates to the owner. Returns false if the call has ended.
    bool report_updates() {
        while (auto update = parser_.next()) {
            if (update->kind == DiscoveryUpdate::Kind::ended ||
                update->kind == DiscoveryUpdate::Kind::failed) {
                end(update->why, update->kind == DiscoveryUpdate::Kind::failed);
                return false;
            }
            owner_.on_update(*this, std::move(*update));
            if (ended_) return false;
        }
        restart_silence_timer();
        return true;
    }

    DiscoveryClient& owner_;
    const bool watching_;
    const std::string request_;
    DiscoveryParser parser_;
    tcp::socket socket_;
    asio::steady_timer silence_timer_;
    std::array<char, 16 * 1024> buffer_;
    const std::chrono::steady_clock::time_point started_at_ = std::chrono::steady_clock::now();
    bool awaits_first_ = true;  // no update has been delivered yet
    bool ended_ = false;
};

DiscoveryClient::DiscoveryClient(const loop::Executor& loop, core::Log& log, tcp::endpoint address,
                                 ListNames names, bool pushed, std::uint64_t seed, Sink sink)
    : loop_(loop),
      log_(log),
      address_(std::move(address)),
      names_(std::move(names)),
      pushed_(pushed),
      random_(seed),
      sink_(std::move(sink)),
      retry_timer_(loop) {}

DiscoveryClient::~DiscoveryClient() { stop(); }

void DiscoveryClient::watch() {
    watching_ = true;
    if (watch_) return;
    watch_ = std::make_shared<Call>(*this, true);
    watch_->start();
}

void DiscoveryClient::unwatch() {
    watching_ = false;
    for (auto* call : {&watch_, &former_watch_}) {
        if (*call) (*call)->drop();
        call->reset();
    }
}

void DiscoveryClient::fetch() {
    if (fetch_) return;
    fetch_ = std::make_shared<Call>(*this, false);
    fetch_->start();
}

void DiscoveryClient::deliver_pending() {
    // The copies keep each call alive: a call may end while it reports its updates.
    for (const std::shared_ptr<Call>& call : {former_watch_, watch_, fetch_}) {
        if (call) call->catch_up();
    }
}

void DiscoveryClient::move_to(const tcp::endpoint& address) {
    if (address == address_) return;
    address_ = address;
    if (watching_) {
        if (former_watch_) former_watch_->drop();
        former_watch_ = std::move(watch_);
        watch_.reset();
        watch();
    }
    if (fetch_) {
        fetch_->drop();
        fetch_.reset();
        fetch();
    }
}

void DiscoveryClient::stop() {
    retry_timer_.cancel();
    unwatch();
    if (fetch_) fetch_->drop();
    fetch_.reset();
}

// The first line of a watch is passed on as an empty change even if it contains no list: it shows that the call succeeded.
void DiscoveryClient::on_update(Call& call, DiscoveryUpdate update) {
    const bool former = &call == former_watch_.get();
    const bool first = call.take_first();
    if (update.kind == DiscoveryUpdate::Kind::alive) {
        if (!first || former) return;
        update.list = {};
        update.list.kind = ListKind::delta;
        update.list.version = version_;
    } else {
        // Ignores a list that is older than one already received. The version from before the start does not count: the
        // service may have restarted its sequence.
        if (received_list_ && (!call.watching() || former) && update.list.version < version_) return;
        version_ = update.list.version;
        received_list_ = true;
        if (!update.why.empty()) log_.write(log::events::discovery_left_out, update.why);
    }
    if (&call == watch_.get() && former_watch_) {
        former_watch_->drop();
        former_watch_.reset();
    }
    sink_(std::move(update.list));
}

void DiscoveryClient::on_end(Call& call, const std::string& why, bool failed) {
    if (&call == former_watch_.get()) {
        former_watch_.reset();
        return;
    }
    const bool watching = watch_.get() == &call;
    const std::shared_ptr<Call> ended = std::move(watching ? watch_ : fetch_);
    (watching ? watch_ : fetch_).reset();
    if (!failed) return;  // a snapshot call that has completed
    log_.write(watching ? log::events::discovery_watch_failed : log::events::discovery_call_failed, why);
    core::MemberList none;
    none.kind = ListKind::failed;
    sink_(std::move(none));
    if (!pushed_ || !watching_) return;
    backoff_ = ended->has_delivered() ? min_backoff : std::clamp(2 * backoff_, min_backoff, max_backoff);
    const auto jitter = static_cast<std::uint64_t>(backoff_.count() / 2);
    retry_timer_.expires_at(ended->started_at() + backoff_ - Micros(next_random(random_) % jitter));
    retry_timer_.async_wait(alive_.wrap([this](error_code error) {
        if (!error && watching_) watch();
    }));
}

}  // namespace flaxdoor::membership
