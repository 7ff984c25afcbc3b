#include "coordinator/agent.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <utility>

#include "coordinator/wire.h"
#include "http/client_machine.h"
#include "log/events.h"
#include "loop/sockets.h"

namespace flaxdoor::coordinator {

namespace asio = boost::asio;
using boost::system::error_code;
using loop::tcp;

namespace {

constexpr int gives_up_a_term = 3;  // parts of the term that an answer may take

}  // namespace

// The connection. Once it is dropped it reports nothing more.
class Agent::Link : public std::enable_shared_from_this<Link> {
public:
    explicit Link(Agent& owner)
        : owner_(owner), machine_(message_most), socket_(owner.executor_), patience_(owner.executor_) {}

    // Either the owner is told that it is up, or that there is no reply.
    void connect() {
        await();
        error_code unopened;
        loop::open(socket_, unopened);
        if (unopened) {
            asio::post(owner_.executor_, [self = shared_from_this()] { self->end("no descriptor"); });
            return;
        }
        socket_.async_connect(owner_.coordinator_, [self = shared_from_this()](error_code error) {
            if (self->over_) return;
            if (error) return self->end("no connection: " + error.message());
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->up_ = true;
            self->read();
            self->owner_.on_link_up();
        });
    }

    bool ready() const { return up_ && !over_ && machine_.state() == http::ClientState::idle; }

    void ask(const budget::LeaseRequest& request) {
        await();
        http::Request message;
        message.method = "POST";
        message.target = "/v1/leases";
        message.fields.add("Host", loop::text_of(owner_.coordinator_));
        message.fields.add("Content-Type", "application/json");
        message.body = encode(request);
        if (machine_.begin(message)) write();
    }

    void drop() {
        over_ = true;
        patience_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void end(const std::string& why) {
        if (over_) return;
        drop();
        owner_.on_no_reply(why);
    }

    void await() {
        patience_.expires_after(owner_.holder_.terms().term / gives_up_a_term);
        patience_.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->over_ || self->patience_.expiry() > std::chrono::steady_clock::now()) return;
            self->end("no answer in time");
        });
    }

    // A request is a few packets at most: most often it goes out at once.
    void write() {
        while (!over_ && !machine_.output().empty()) {
            const loop::Written put = loop::write_some(socket_, machine_.output());
            machine_.wrote(put.bytes);
            if (put.broken) return heed(machine_.reset());
            if (machine_.output().empty()) return;
            if (put.bytes > 0) continue;
            return socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
                if (!error && !self->over_) self->write();
            });
        }
    }

    void read() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (!self->over_) self->take(error);
        });
    }

    void take(error_code error) {
        const loop::Read got =
            error ? loop::Read{loop::Read::Kind::broken, {}} : loop::read_some(socket_, room_);
        switch (got.kind) {
            case loop::Read::Kind::bytes: heed(machine_.receive(got.bytes)); break;
            case loop::Read::Kind::end: heed(machine_.receive_end()); break;
            case loop::Read::Kind::broken: heed(machine_.reset()); break;
            case loop::Read::Kind::nothing: break;
        }
        if (!over_ && machine_.state() == http::ClientState::over) drop();
        if (!over_) read();
    }

    void heed(std::optional<http::ClientResult> result) {
        if (!result) return;
        using Kind = http::ClientResult::Kind;
        // Closed between two requests: the next one makes another.
        if (result->kind == Kind::unsolicited) return drop();
        if (result->kind != Kind::answered)
            return end(result->kind == Kind::malformed ? "no answer: " + result->why : "the connection broke");
        patience_.cancel();
        if (!result->reusable) drop();
        if (result->answer.status != 200) {
            const auto& said = result->answer.body;
            return owner_.on_no_reply("status " + std::to_string(result->answer.status) +
                                      (said.empty() ? "" : ": " + said.substr(0, why_most)));
        }
        const auto reply = decode_reply(result->answer.body);
        if (const auto* malformed = std::get_if<Malformed>(&reply))
            return owner_.on_no_reply("no reply: " + malformed->why);
        owner_.on_reply(std::get<budget::LeaseReply>(reply));
    }

    Agent& owner_;
    http::ClientMachine machine_;
    tcp::socket socket_;
    asio::steady_timer patience_;
    std::array<char, 16 * 1024> room_;
    bool up_ = false;
    bool over_ = false;
};

Agent::Agent(const loop::Executor& executor, const core::Clock& clock, core::Log& log, budget::Holder& holder,
             tcp::endpoint coordinator)
    : executor_(executor),
      clock_(clock),
      log_(log),
      holder_(holder),
      coordinator_(std::move(coordinator)),
      wake_(executor) {}

Agent::~Agent() {
    if (link_) link_->drop();
}

void Agent::start() { wake_at(holder_.next_request()); }

void Agent::on_want() {
    if (!asking_) wake_at(holder_.next_request());
}

void Agent::leave() {
    if (std::exchange(over_, true)) return;
    wake_.cancel();
    const budget::LeaseRequest request = holder_.leave(clock_.now());
    if (!link_) return;
    // It stays open until the answer is there: a coordinator that sees it closed may not read what came before.
    if (link_->ready()) return link_->ask(request);
    link_->drop();
}

// Set anew only when it is sooner: it is asked for with every refusal.
void Agent::wake_at(Time at) {
    if (over_ || (wakes_at_ && *wakes_at_ <= at)) return;
    wakes_at_ = at;
    wake_.expires_after(std::max(at - clock_.now(), Micros{0}));
    wake_.async_wait(alive_.guard([this](error_code error) {
        if (!error && wake_.expiry() <= std::chrono::steady_clock::now()) on_wake();
    }));
}

void Agent::on_wake() {
    wakes_at_.reset();
    if (over_ || asking_) return;
    if (holder_.next_request() > clock_.now()) return wake_at(holder_.next_request());
    ask();
}

void Agent::ask() {
    asking_ = true;
    if (link_ && link_->ready()) return link_->ask(holder_.request(clock_.now()));
    if (link_) link_->drop();
    link_ = std::make_shared<Link>(*this);
    link_->connect();
}

void Agent::on_link_up() {
    if (!over_) link_->ask(holder_.request(clock_.now()));
}

void Agent::on_reply(const budget::LeaseReply& reply) {
    if (over_) return link_->drop();
    asking_ = false;
    holder_.on_reply(reply, clock_.now());
    tell(holder_.why().empty() ? std::string(budget::text_of(holder_.last_verdict())) : holder_.why());
    wake_at(holder_.next_request());
}

void Agent::on_no_reply(const std::string& why) {
    if (over_) return link_->drop();
    asking_ = false;
    holder_.on_no_reply(clock_.now());
    tell(why);
    wake_at(holder_.next_request());
}

// Each change once.
void Agent::tell(const std::string& why) {
    using budget::Verdict;
    const Verdict verdict = holder_.last_verdict();
    if (verdict != told_) {
        told_ = verdict;
        const std::string& its = holder_.why();
        switch (verdict) {
            case Verdict::name_taken: log_.tell(log::events::budget_name_taken, its); break;
            case Verdict::clock_off: log_.tell(log::events::budget_clock_off, its); break;
            case Verdict::stepped_down: log_.tell(log::events::budget_stepped_down, its); break;
            case Verdict::at_odds: log_.tell(log::events::budget_at_odds, its); break;
            case Verdict::granted:
            case Verdict::waiting:
            case Verdict::too_many: break;
        }
    }
    const bool leased = holder_.supervised(clock_.now());
    if (leased_ == leased) return;
    leased_ = leased;
    if (leased) {
        log_.tell(log::events::budget_leased, loop::text_of(coordinator_));
    } else {
        log_.tell(log::events::budget_unleased, why);
    }
}

}  // namespace flaxdoor::coordinator
