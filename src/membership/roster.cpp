#include "membership/roster.h"

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

// Between the starts of two watches where lists are pushed, if the first one fails: after one that spoke, and at most.
constexpr Micros again_least = std::chrono::milliseconds(100);
constexpr Micros again_most = std::chrono::seconds(1);

// SplitMix64: small, the same on every platform.
std::uint64_t draw(std::uint64_t& state) {
    std::uint64_t z = (state += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

}  // namespace

// One call on a connection of its own. Once it has ended it reports nothing more.
class Roster::Call : public std::enable_shared_from_this<Call> {
public:
    Call(Roster& owner, bool watching)
        : owner_(owner),
          watching_(watching),
          out_(RosterMachine::request(watching, owner.version_)),
          machine_(watching, owner.names_, owner.limits_.line_most),
          socket_(owner.loop_),
          silence_(owner.loop_) {}

    void start() {
        await_news();
        error_code unopened;
        loop::open(socket_, unopened);
        if (unopened) {
            asio::post(owner_.loop_, [self = shared_from_this()] { self->end("no descriptor", true); });
            return;
        }
        socket_.async_connect(owner_.address_, [self = shared_from_this()](error_code error) {
            if (self->over_) return;
            if (error) return self->end("no connection", true);
            self->ask();
        });
    }

    // What has come and is not read yet. Of its end the loop will tell.
    void catch_up() {
        const auto self = shared_from_this();
        for (std::size_t read = 0; !over_ && read < owner_.limits_.line_most;) {
            const loop::Read got = loop::read_some(socket_, room_);
            if (got.kind != loop::Read::Kind::bytes) return;
            read += got.bytes.size();
            machine_.receive(got.bytes);
            if (!tell()) return;
        }
    }

    bool watching() const { return watching_; }
    bool spoke() const { return !first_; }
    std::chrono::steady_clock::time_point since() const { return since_; }
    bool first() { return std::exchange(first_, false); }

    // No further news, not even of its end.
    void drop() {
        over_ = true;
        silence_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void end(const std::string& why, bool failed) {
        if (over_) return;
        drop();
        owner_.ended(*this, why, failed);
    }

    void await_news() {
        silence_.expires_after(first_ ? owner_.limits_.answer : owner_.limits_.silence);
        silence_.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->over_ || self->silence_.expiry() > std::chrono::steady_clock::now()) return;
            self->end("silence", true);
        });
    }

    void ask() {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](error_code error, auto) {
            if (error && !self->over_) self->end("broken", true);
        });
        read();
    }

    // It is only waited here, and read when it is used: bytes that were read and wait for their turn would be
    // overtaken by what catch_up() reads.
    void read() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (!self->over_) self->take(error);
        });
    }

    void take(error_code error) {
        const loop::Read got =
            error ? loop::Read{loop::Read::Kind::broken, {}} : loop::read_some(socket_, room_);
        if (got.kind == loop::Read::Kind::bytes) {
            machine_.receive(got.bytes);
        } else if (got.kind != loop::Read::Kind::nothing) {
            machine_.receive_end();
        }
        if (got.kind == loop::Read::Kind::nothing || tell()) read();
    }

    // False when that was its end.
    bool tell() {
        while (auto news = machine_.next()) {
            if (news->kind == RosterNews::Kind::ended || news->kind == RosterNews::Kind::failed) {
                end(news->why, news->kind == RosterNews::Kind::failed);
                return false;
            }
            owner_.hear(*this, std::move(*news));
            if (over_) return false;
        }
        await_news();
        return true;
    }

    Roster& owner_;
    const bool watching_;
    const std::string out_;
    RosterMachine machine_;
    tcp::socket socket_;
    asio::steady_timer silence_;
    std::array<char, 16 * 1024> room_;
    const std::chrono::steady_clock::time_point since_ = std::chrono::steady_clock::now();
    bool first_ = true;  // it has told nothing yet
    bool over_ = false;
};

Roster::Roster(const loop::Executor& loop, core::Log& log, tcp::endpoint address, ListNames names,
               bool pushed, std::uint64_t seed, Sink sink)
    : loop_(loop),
      log_(log),
      address_(std::move(address)),
      names_(std::move(names)),
      pushed_(pushed),
      random_(seed),
      sink_(std::move(sink)),
      again_(loop) {}

Roster::~Roster() { stop(); }

void Roster::watch() {
    watching_ = true;
    if (watch_) return;
    watch_ = std::make_shared<Call>(*this, true);
    watch_->start();
}

void Roster::unwatch() {
    watching_ = false;
    for (auto* call : {&watch_, &former_}) {
        if (*call) (*call)->drop();
        call->reset();
    }
}

void Roster::fetch() {
    if (fetch_) return;
    fetch_ = std::make_shared<Call>(*this, false);
    fetch_->start();
}

void Roster::catch_up() {
    // Each may end by what it hears.
    for (const std::shared_ptr<Call>& call : {former_, watch_, fetch_}) {
        if (call) call->catch_up();
    }
}

void Roster::move_to(const tcp::endpoint& address) {
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

void Roster::stop() {
    again_.cancel();
    unwatch();
    if (fetch_) fetch_->drop();
    fetch_.reset();
}

// The first line of a watch tells that the call has succeeded, even when it brings nothing.
void Roster::hear(Call& call, RosterNews news) {
    const bool former = &call == former_.get();
    const bool first = call.first();
    if (news.kind == RosterNews::Kind::alive) {
        if (!first || former) return;
        news.list = {};
        news.list.kind = ListKind::delta;
        news.list.version = version_;
    } else {
        // Overtaken meanwhile. What was known before the start overtakes nothing: the roster may count anew.
        if (heard_ && (!call.watching() || former) && news.list.version < version_) return;
        version_ = news.list.version;
        heard_ = true;
        if (!news.why.empty()) log_.tell(log::events::discovery_left_out, news.why);
    }
    if (&call == watch_.get() && former_) {
        former_->drop();
        former_.reset();
    }
    sink_(std::move(news.list));
}

void Roster::ended(Call& call, const std::string& why, bool failed) {
    if (&call == former_.get()) {
        former_.reset();
        return;
    }
    const bool watching = watch_.get() == &call;
    const std::shared_ptr<Call> ended = std::move(watching ? watch_ : fetch_);
    (watching ? watch_ : fetch_).reset();
    if (!failed) return;  // a call for the list that was answered
    log_.tell(watching ? log::events::discovery_watch_failed : log::events::discovery_call_failed, why);
    core::MemberList none;
    none.kind = ListKind::failed;
    sink_(std::move(none));
    if (!pushed_ || !watching_) return;
    gap_ = ended->spoke() ? again_least : std::clamp(2 * gap_, again_least, again_most);
    const auto spread = static_cast<std::uint64_t>(gap_.count() / 2);
    again_.expires_at(ended->since() + gap_ - Micros(draw(random_) % spread));
    again_.async_wait(alive_.guard([this](error_code error) {
        if (!error && watching_) watch();
    }));
}

}  // namespace flaxdoor::membership
