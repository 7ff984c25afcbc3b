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

constexpr int reply_timeout_divisor = 3;  // a request times out after the lease term divided by this

}  // namespace

// The connection to the coordinator. Reports nothing after drop().
class Agent::Connection : public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(Agent& owner)
        : owner_(owner), machine_(max_message_size), socket_(owner.executor_), timeout_(owner.executor_) {}

    // Connects, then calls on_connected() or on_no_reply() of its owner.
    void connect() {
        start_timeout();
        error_code open_error;
        loop::open(socket_, open_error);
        if (open_error) {
            asio::post(owner_.executor_,
                       [self = shared_from_this()] { self->end("no file descriptor is available"); });
            return;
        }
        socket_.async_connect(owner_.coordinator_, [self = shared_from_this()](error_code error) {
            if (self->closed_) return;
            if (error) return self->end("could not connect: " + error.message());
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->connected_ = true;
            self->read();
            self->owner_.on_connected();
        });
    }

    bool ready() const { return connected_ && !closed_ && machine_.state() == http::ClientState::idle; }

    void send(const budget::LeaseRequest& request) {
        start_timeout();
        http::Request message;
        message.method = "POST";
        message.target = "/v1/leases";
        message.fields.add("Host", loop::text_of(owner_.coordinator_));
        message.fields.add("Content-Type", "application/json");
        message.body = encode(request);
        if (machine_.begin(message)) write();
    }

    void drop() {
        closed_ = true;
        timeout_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void end(const std::string& why) {
        if (closed_) return;
        drop();
        owner_.on_no_reply(why);
    }

    void start_timeout() {
        timeout_.expires_after(owner_.holder_.terms().lease_term / reply_timeout_divisor);
        timeout_.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->closed_ || self->timeout_.expiry() > std::chrono::steady_clock::now()) return;
            self->end("no response in time");
        });
    }

    // A request is a few packets at most, so it is usually written at once.
    void write() {
        while (!closed_ && !machine_.output().empty()) {
            const loop::Written written = loop::write_some(socket_, machine_.output());
            machine_.wrote(written.bytes);
            if (written.broken) return on_result(machine_.reset());
            if (machine_.output().empty()) return;
            if (written.bytes > 0) continue;
            return socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
                if (!error && !self->closed_) self->write();
            });
        }
    }

    void read() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (!self->closed_) self->on_readable(error);
        });
    }

    void on_readable(error_code error) {
        const loop::Read received =
            error ? loop::Read{loop::Read::Kind::broken, {}} : loop::read_some(socket_, buffer_);
        switch (received.kind) {
            case loop::Read::Kind::bytes: on_result(machine_.receive(received.bytes)); break;
            case loop::Read::Kind::end: on_result(machine_.receive_end()); break;
            case loop::Read::Kind::broken: on_result(machine_.reset()); break;
            case loop::Read::Kind::nothing: break;
        }
        if (!closed_ && machine_.state() == http::ClientState::over) drop();
        if (!closed_) read();
    }

    void on_result(std::optional<http::ClientResult> result) {
        if (!result) return;
        using Kind = http::ClientResult::Kind;
        // The connection was closed between two requests. The next request opens another one.
        if (result->kind == Kind::unsolicited) return drop();
        if (result->kind != Kind::answered)
            return end(result->kind == Kind::malformed ? "malformed response: " + result->why
                                                       : "connection lost");
        timeout_.cancel();
        if (!result->reusable) drop();
        if (result->answer.status != 200) {
            const auto& body = result->answer.body;
            return owner_.on_no_reply("status " + std::to_string(result->answer.status) +
                                      (body.empty() ? "" : ": " + body.substr(0, max_reason_size)));
        }
        const auto reply = decode_reply(result->answer.body);
        if (const auto* malformed = std::get_if<Malformed>(&reply))
            return owner_.on_no_reply("malformed reply: " + malformed->why);
        owner_.on_reply(std::get<budget::LeaseReply>(reply));
    }

    Agent& owner_;
    http::ClientMachine machine_;
    tcp::socket socket_;
    asio::steady_timer timeout_;
    std::array<char, 16 * 1024> buffer_;
    bool connected_ = false;
    bool closed_ = false;
};

Agent::Agent(const loop::Executor& executor, const core::Clock& clock, core::Log& log, budget::Holder& holder,
             tcp::endpoint coordinator)
    : executor_(executor),
      clock_(clock),
      log_(log),
      holder_(holder),
      coordinator_(std::move(coordinator)),
      timer_(executor) {}

Agent::~Agent() {
    if (connection_) connection_->drop();
}

void Agent::start() { schedule(holder_.next_request()); }

void Agent::on_want() {
    if (!request_pending_) schedule(holder_.next_request());
}

void Agent::leave() {
    if (std::exchange(left_, true)) return;
    timer_.cancel();
    const budget::LeaseRequest request = holder_.leave(clock_.now());
    if (!connection_) return;
    // The connection stays open until the response arrives: a coordinator that sees it closed may not read
    // the request.
    if (connection_->ready()) return connection_->send(request);
    connection_->drop();
}

// Restarts the timer only for an earlier time, since every refused permit calls this.
void Agent::schedule(Time at) {
    if (left_ || (scheduled_at_ && *scheduled_at_ <= at)) return;
    scheduled_at_ = at;
    timer_.expires_after(std::max(at - clock_.now(), Micros{0}));
    timer_.async_wait(alive_.wrap([this](error_code error) {
        if (!error && timer_.expiry() <= std::chrono::steady_clock::now()) on_timer();
    }));
}

void Agent::on_timer() {
    scheduled_at_.reset();
    if (left_ || request_pending_) return;
    if (holder_.next_request() > clock_.now()) return schedule(holder_.next_request());
    send_request();
}

void Agent::send_request() {
    request_pending_ = true;
    if (connection_ && connection_->ready()) return connection_->send(holder_.request(clock_.now()));
    if (connection_) connection_->drop();
    connection_ = std::make_shared<Connection>(*this);
    connection_->connect();
}

void Agent::on_connected() {
    if (!left_) connection_->send(holder_.request(clock_.now()));
}

void Agent::on_reply(const budget::LeaseReply& reply) {
    if (left_) return connection_->drop();
    request_pending_ = false;
    holder_.on_reply(reply, clock_.now());
    log_changes(holder_.why().empty() ? std::string(budget::text_of(holder_.last_verdict())) : holder_.why());
    schedule(holder_.next_request());
}

void Agent::on_no_reply(const std::string& why) {
    if (left_) return connection_->drop();
    request_pending_ = false;
    holder_.on_no_reply(clock_.now());
    log_changes(why);
    schedule(holder_.next_request());
}

// Logs each change of the verdict and of the lease state once.
void Agent::log_changes(const std::string& why) {
    using budget::Verdict;
    const Verdict verdict = holder_.last_verdict();
    if (verdict != logged_verdict_) {
        logged_verdict_ = verdict;
        const std::string& reason = holder_.why();
        switch (verdict) {
            case Verdict::name_taken: log_.write(log::events::budget_name_taken, reason); break;
            case Verdict::clock_off: log_.write(log::events::budget_clock_off, reason); break;
            case Verdict::stepped_down: log_.write(log::events::budget_stepped_down, reason); break;
            case Verdict::at_odds: log_.write(log::events::budget_at_odds, reason); break;
            case Verdict::granted:
            case Verdict::waiting:
            case Verdict::too_many: break;
        }
    }
    const bool leased = holder_.has_lease(clock_.now());
    if (logged_lease_ == leased) return;
    logged_lease_ = leased;
    if (leased) {
        log_.write(log::events::budget_leased, loop::text_of(coordinator_));
    } else {
        log_.write(log::events::budget_unleased, why);
    }
}

}  // namespace flaxdoor::coordinator
