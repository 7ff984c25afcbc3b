#include "booking_node.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/intrusive/list.hpp>
#include <cmath>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>

#include "backlog.h"
#include "http_text.h"

namespace flaxdoor::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using Error = boost::system::error_code;

namespace {

constexpr std::size_t in_bytes_most = head_bytes_most + 2 * body_bytes_most;
constexpr std::size_t waiting_most = 64;              // repeats of one key that wait for its answer
constexpr auto drain_most = std::chrono::seconds(5);  // after a FIN, for the other side to end
constexpr int backlog = 4096;

Time now() { return std::chrono::steady_clock::now(); }

void append_number(std::string& out, std::uint64_t number) {
    char digits[20];
    auto* at = digits + sizeof digits;
    do {
        *--at = static_cast<char>('0' + number % 10);
        number /= 10;
    } while (number > 0);
    out.append(at, static_cast<std::size_t>(digits + sizeof digits - at));
}

std::string_view reason_of(int status) {
    switch (status) {
        case 200: return "OK";
        case 400: return "Bad Request";
        case 404: return "Not Found";
        case 500: return "Internal Server Error";
        case 503: return "Service Unavailable";
        default: return "Status";
    }
}

std::string_view operation_in(std::string_view target) {
    auto query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto part = query.substr(0, std::min(query.find('&'), query.size()));
        if (part.starts_with("op=")) return part.substr(3);
        query.remove_prefix(part.size());
    }
    return {};
}

// A rate or mean that forgets over some two seconds.
class Fading {
public:
    void add(Time at, double amount) {
        fade(at);
        sum_ += amount;
        weight_ += 1;
    }
    double rate(Time at) {
        fade(at);
        return weight_ / tau;
    }
    double mean(Time at) {
        fade(at);
        return weight_ > 1e-9 ? sum_ / weight_ : 0;
    }

private:
    static constexpr double tau = 2.0;  // seconds
    void fade(Time at) {
        const auto passed = std::chrono::duration<double>(at - last_).count();
        if (passed <= 0) return;
        const auto keep = std::exp(-passed / tau);
        sum_ *= keep;
        weight_ *= keep;
        last_ = at;
    }
    double sum_ = 0, weight_ = 0;
    Time last_{};
};

}  // namespace

std::string_view name_of(NodeEvent::Kind kind) {
    switch (kind) {
        case NodeEvent::Kind::accepted: return "accepted";
        case NodeEvent::Kind::first_byte: return "first_byte";
        case NodeEvent::Kind::last_byte: return "last_byte";
        case NodeEvent::Kind::turned_away: return "turned_away";
        case NodeEvent::Kind::dropped: return "dropped";
        case NodeEvent::Kind::ran: return "ran";
        case NodeEvent::Kind::finished: return "finished";
        case NodeEvent::Kind::answered: return "answered";
        case NodeEvent::Kind::given_up: return "given_up";
        case NodeEvent::Kind::fault: return "fault";
        case NodeEvent::Kind::ended: return "ended";
        case NodeEvent::Kind::died: return "died";
        case NodeEvent::Kind::came_back: return "came_back";
    }
    return "?";
}

std::optional<BookingNode::Measure> measure_of(std::string_view name) {
    using Measure = BookingNode::Measure;
    if (name == "inflight") return Measure::inflight;
    if (name == "queue") return Measure::queue;
    if (name == "util") return Measure::util;
    if (name == "latency_ms") return Measure::latency_ms;
    if (name == "eps") return Measure::eps;
    if (name == "qps") return Measure::qps;
    return std::nullopt;
}

std::string body_for(std::string_view call_id, std::string_view cls, std::string_view key,
                     std::string_view request_body, std::string_view node, std::size_t padding) {
    std::string body;
    body.reserve(call_id.size() + cls.size() + key.size() + node.size() + padding + 80);
    body.append("id=").append(call_id).append(" class=").append(cls).append(" key=").append(key);
    body.append(" digest=")
        .append(hex(digest(request_body)))
        .append(" node=")
        .append(node)
        .append(" padding=");
    append_number(body, padding);
    body.push_back('\n');
    body.append(padding, '.');
    return body;
}

bool made_for(std::string_view body, std::string_view call_id, std::string_view cls, std::string_view key,
              std::string_view request_body) {
    const auto line = body.substr(0, std::min(body.find('\n'), body.size()));
    const auto field = [&](std::string_view name) -> std::string_view {
        auto at = line.find(name);
        if (at == std::string_view::npos) return "?";
        at += name.size();
        return line.substr(at, std::min(line.find(' ', at), line.size()) - at);
    };
    if (!line.starts_with("id=") || line.size() == body.size()) return false;
    const auto padding = whole_number(field(" padding="));
    if (!padding || body.size() != line.size() + 1 + *padding) return false;
    if (field(" class=") != cls || field(" key=") != key || field(" digest=") != hex(digest(request_body)))
        return false;
    return !key.empty() || field("id=") == call_id;
}

struct BookingNode::Impl : std::enable_shared_from_this<BookingNode::Impl> {
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    using Hook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    struct Request {
        std::uint64_t number = 0;
        std::weak_ptr<Connection> connection;
        std::uint64_t connection_number = 0;
        std::string call_id, key, cls, operation, body;  // body: of the answer
        bool safe = false;
        bool first_on_connection = false;
        bool closes = false;  // the request asked for the connection's end
        Time first_byte, last_byte;
        std::optional<Time> deadline;
        std::optional<Fault> fault;
    };
    using RequestPtr = std::unique_ptr<Request>;

    struct Rule {
        Fault fault;
        std::uint64_t id = 0, connections = 0, requests = 0, struck = 0;
    };

    enum class State {
        receiving,  // between requests or amid one
        working,    // a request is with the workers, in the queue, or waits for its key
        writing,
        draining,  // our FIN is sent, the other's is awaited
        silent,    // reads and says nothing
    };

    struct Connection : std::enable_shared_from_this<Connection>, Hook {
        explicit Connection(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
        Impl* node = nullptr;  // null once closed
        std::uint64_t number = 0;
        State state = State::receiving;
        std::vector<char> in = std::vector<char>(2048);
        std::size_t from = 0, to = 0;  // what of `in` is not used yet
        bool reading = false, pumping = false, over_cap = false, half_closed = false;
        bool first = true;
        std::optional<std::pair<Error, std::size_t>> held_read;
        bool held_write = false;
        // The request being received.
        bool begun = false, head_seen = false, continued = false;
        std::uint64_t request_number = 0;
        Time first_byte, since;
        std::optional<Fault> fault;
        std::optional<ChunkReader> chunks;
        std::string chunked_body;
        std::string out_id;  // full detail: the call id that is out here
        std::size_t chunked_used = 0;
        std::vector<std::uint64_t> rules;  // those that count this connection in
        // The answer being written.
        RequestPtr answering;
        std::string out;
        std::size_t out_done = 0, out_limit = 0;  // limit: how much may be written now
        bool whole = false;
        FaultEnd end = FaultEnd::keep;
        std::string second;  // a further answer, later
        std::optional<asio::steady_timer> timer;
    };

    struct Due {
        Time at;
        std::uint64_t order;
        RequestPtr request;
        bool operator<(const Due& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);  // the heap's top is the earliest
        }
    };

    using Idle = boost::intrusive::list<Connection, boost::intrusive::constant_time_size<false>>;

    Impl(asio::io_context& l, Settings s)
        : loop(l),
          settings(std::move(s)),
          acceptor(l),
          holder(l),
          work_timer(l),
          idle_timer(l),
          accept_timer(l),
          stall_timer(l),
          chance(settings.seed) {
        effects = settings.effects ? settings.effects
                                   : std::make_shared<Effects>(settings.detail, settings.records_most);
        keys = settings.keys ? settings.keys
                             : std::make_shared<KeyWindow>(settings.key_window, settings.keys_most);
        // A bound socket that never listens keeps the port while the listener is closed.
        holder.open(settings.listen.protocol());
        holder.set_option(asio::socket_base::reuse_address(true));
        holder.bind(settings.listen);
        address = holder.local_endpoint();
        if (settings.name.empty())
            settings.name = address.address().to_string() + ":" + std::to_string(address.port());
    }

    // ---- the listener

    void open_listener() {
        if (acceptor.is_open()) return;
        acceptor.open(address.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen(backlog);
        acceptor.non_blocking(true);
        ++listener;
        await_accept();
    }

    void close_listener() {
        Error ignored;
        acceptor.close(ignored);
    }

    void await_accept() {
        acceptor.async_wait(tcp::acceptor::wait_read,
                            [self = shared_from_this(), mine = listener](Error error) {
                                if (!error && mine == self->listener && self->acceptor.is_open())
                                    self->accept_some();
                            });
    }

    bool connection_waits() {
        pollfd one{acceptor.native_handle(), POLLIN, 0};
        return ::poll(&one, 1, 0) == 1;
    }

    void accept_some() {
        if (frozen || accept_held) {
            accept_held_ready = true;
            return;
        }
        for (int i = 0; i < 64; ++i) {
            if (!let_in && has_point(FaultPoint::before_accept)) {
                if (!connection_waits()) break;
                if (hold_accept()) return;
            }
            let_in = false;
            Error error;
            tcp::socket socket(loop);
            acceptor.accept(socket, error);
            if (error == asio::error::would_block || error == asio::error::try_again) break;
            if (error) {  // out of descriptors: the connection waits in the backlog
                later(milliseconds(20), [this] { accept_some(); });
                return;
            }
            accepted(std::move(socket));
            if (!acceptor.is_open()) return;  // a refuse rule
        }
        await_accept();
    }

    void later(milliseconds time, std::function<void()> then) {
        accept_timer.expires_after(time);
        accept_timer.async_wait(
            [self = shared_from_this(), mine = listener, then = std::move(then)](Error error) {
                if (!error && !self->over && mine == self->listener) then();
            });
    }

    // Whether the connection that waits is not to be accepted now.
    bool hold_accept() {
        for (auto& rule : rules) {
            if (rule.fault.point != FaultPoint::before_accept || !counts_connection(rule)) continue;
            const auto fault = rule.fault;
            strike(rule);
            note_fault(fault, nullptr, 0);
            if (fault.end == FaultEnd::rst || fault.end == FaultEnd::fin) {
                close_listener();
                if (fault.late.count() > 0) later(fault.late, [this] { open_listener(); });
                return true;
            }
            accept_held = true;
            accept_held_ready = true;
            if (fault.late.count() > 0) later(fault.late, [this] { listen(); });
            return true;
        }
        return false;
    }

    void listen() {
        if (dead) return;
        if (!acceptor.is_open()) return open_listener();
        if (!accept_held) return;
        accept_held = false;
        let_in = true;
        if (std::exchange(accept_held_ready, false)) accept_some();
    }

    void check_refuse() {
        for (auto& rule : rules) {
            if (rule.fault.point != FaultPoint::refuse || rule.connections + 1 < rule.fault.conn) continue;
            const auto fault = rule.fault;
            rule.fault.times = 1;
            strike(rule);
            note_fault(fault, nullptr, 0);
            close_listener();
            if (fault.late.count() > 0) later(fault.late, [this] { open_listener(); });
            return;
        }
    }

    void accepted(tcp::socket socket) {
        Error error;
        socket.set_option(tcp::no_delay(true), error);
        socket.non_blocking(true, error);
        ++counts.accepted;
        if (connections.size() >= settings.connections_most + settings.connections_most / 4 + 16) {
            ++counts.over_cap;
            socket.set_option(asio::socket_base::linger(true, 0), error);
            return;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        connection->node = this;
        connection->number = counts.accepted;
        connection->over_cap = connections.size() >= settings.connections_most;
        if (connection->over_cap) ++counts.over_cap;
        connections.emplace(connection->number, connection);
        event(NodeEvent::Kind::accepted, connection->number, 0, nullptr, {});
        const Fault* struck = nullptr;
        for (auto& rule : rules) {
            // before_accept rules have counted it already.
            if (rule.fault.point == FaultPoint::before_accept || !counts_connection(rule)) continue;
            connection->rules.push_back(rule.id);
            const auto& fault = rule.fault;
            if (struck == nullptr && fault.point == FaultPoint::after_n_request_bytes && fault.n == 0 &&
                fault.cls.empty() && fault.req == 0 && fault.req_every == 0 && by_chance(fault))
                struck = &fault;
        }
        if (struck != nullptr) {
            const auto fault = *struck;
            for (auto& rule : rules)
                if (&rule.fault == struck) {
                    strike(rule);
                    break;
                }
            note_fault(fault, connection.get(), 0);
            finish_with(connection, fault.end, "fault");
        } else {
            idle(*connection);
        }
        check_refuse();
        if (connection->node != nullptr) read(connection);
    }

    // ---- rules

    bool has_point(FaultPoint point) const {
        return std::any_of(rules.begin(), rules.end(),
                           [&](const Rule& rule) { return rule.fault.point == point; });
    }
    static bool chosen(std::uint64_t nth, std::uint64_t each, std::uint64_t count) {
        if (nth != 0) return count == nth;
        if (each != 0) return count % each == 0;
        return true;
    }
    static bool counts_connection(Rule& rule) {
        ++rule.connections;
        return chosen(rule.fault.conn, rule.fault.conn_every, rule.connections);
    }
    bool by_chance(const Fault& fault) {
        return fault.chance >= 1 || std::uniform_real_distribution<double>(0, 1)(chance) < fault.chance;
    }
    // Ends the rule once it has struck as often as it may. References to rules are void after it.
    void strike(Rule& rule) {
        ++rule.struck;
        if (rule.fault.times != 0 && rule.struck >= rule.fault.times)
            rules.erase(rules.begin() + (&rule - rules.data()));
    }
    void note_fault(const Fault& fault, const Connection* connection, std::uint64_t request) {
        ++counts.faults;
        event(NodeEvent::Kind::fault, connection != nullptr ? connection->number : 0, request, nullptr,
              name_of(fault.point));
    }
    // Rules that look at the first byte alone come before those that wait for the head.
    void choose_fault(Connection& connection, bool head, std::string_view cls) {
        for (auto& rule : rules) {
            const auto& fault = rule.fault;
            if (fault.point == FaultPoint::before_accept || fault.point == FaultPoint::refuse) continue;
            const bool early = fault.point == FaultPoint::after_n_request_bytes && fault.cls.empty();
            if (early == head || (!fault.cls.empty() && fault.cls != cls)) continue;
            if ((fault.conn != 0 || fault.conn_every != 0) &&
                std::find(connection.rules.begin(), connection.rules.end(), rule.id) ==
                    connection.rules.end())
                continue;
            if (early && fault.n == 0 && fault.req == 0 && fault.req_every == 0)
                continue;  // struck at the accept
            ++rule.requests;
            if (!chosen(fault.req, fault.req_every, rule.requests) || !by_chance(fault)) continue;
            connection.fault = fault;
            strike(rule);
            return;
        }
    }

    // ---- reading

    void idle(Connection& connection) {
        connection.since = now();
        if (settings.idle_close.count() == 0) return;
        connection.unlink();
        idle_list.push_back(connection);
        arm_idle();
    }

    void arm_idle() {
        if (idle_armed || (idle_list.empty() && drain_list.empty())) return;
        auto at = Time::max();
        if (!idle_list.empty()) at = idle_list.front().since + settings.idle_close;
        if (!drain_list.empty()) at = std::min(at, Time(drain_list.front().since + drain_most));
        idle_armed = true;
        idle_timer.expires_at(at);
        idle_timer.async_wait([self = shared_from_this()](Error error) {
            self->idle_armed = false;
            if (error || self->over) return;
            if (self->frozen) return;  // resume() looks again
            self->close_idle();
            self->arm_idle();
        });
    }

    void close_idle() {
        const auto at = now();
        while (!idle_list.empty() && idle_list.front().since + settings.idle_close <= at) {
            ++counts.idle_closed;
            close(idle_list.front().shared_from_this(), false, "idle");
        }
        while (!drain_list.empty() && drain_list.front().since + drain_most <= at)
            close(drain_list.front().shared_from_this(), false, "not closed by the other side");
    }

    void read(const ConnectionPtr& connection) {
        auto& c = *connection;
        if (c.reading || c.node == nullptr || c.half_closed) return;
        if (c.state == State::draining || c.state == State::silent) c.from = c.to = 0;
        if (c.from == c.to) c.from = c.to = 0;
        if (c.to == c.in.size()) {
            if (c.from > 0) {
                std::copy(c.in.begin() + static_cast<std::ptrdiff_t>(c.from), c.in.end(), c.in.begin());
                c.to -= c.from;
                c.from = 0;
            } else if (c.in.size() < in_bytes_most) {
                c.in.resize(std::min(c.in.size() * 4, in_bytes_most));
            } else {
                return;  // full of what was sent ahead; read again when it is used
            }
        }
        c.reading = true;
        c.socket.async_read_some(asio::buffer(c.in.data() + c.to, c.in.size() - c.to),
                                 [connection](Error error, std::size_t got) {
                                     connection->reading = false;
                                     auto* node = connection->node;
                                     if (node == nullptr) return;
                                     if (node->frozen) {
                                         connection->held_read.emplace(error, got);
                                         return;
                                     }
                                     const auto keep = node->shared_from_this();
                                     keep->came(connection, error, got);
                                 });
    }

    void came(const ConnectionPtr& connection, Error error, std::size_t got) {
        auto& c = *connection;
        if (error) return ended_by_peer(connection, error);
        if (c.state == State::draining || c.state == State::silent) return read(connection);
        c.to += got;
        if (c.state == State::receiving)
            pump(connection);
        else
            ++counts.pipelined;
        read(connection);
    }

    void ended_by_peer(const ConnectionPtr& connection, Error error) {
        auto& c = *connection;
        const bool fin = error == asio::error::eof;
        const std::string_view why = fin ? "fin" : "rst";
        if (c.state == State::receiving && c.begun) ++counts.cut_short;
        if (c.state == State::working || c.state == State::writing) {
            if (fin && settings.answer_half_closed) {
                c.half_closed = true;
                return;
            }
            ++counts.given_up;
            event(NodeEvent::Kind::given_up, c.number, c.request_number, c.answering.get(), why);
        }
        close(connection, false, why);
    }

    // Takes requests out of what has come, one after the other.
    void pump(const ConnectionPtr& connection) {
        if (std::exchange(connection->pumping, true)) return;
        take_all(connection);
        connection->pumping = false;
    }

    void take_all(const ConnectionPtr& connection) {
        auto& c = *connection;
        while (c.node != nullptr && c.state == State::receiving && c.from < c.to) {
            const std::string_view bytes(c.in.data() + c.from, c.to - c.from);
            if (!c.begun) {
                c.begun = true;
                c.head_seen = c.continued = false;
                c.first_byte = now();
                c.fault.reset();
                c.chunks.reset();
                c.unlink();
                ++counts.begun;
                c.request_number = counts.begun;
                event(NodeEvent::Kind::first_byte, c.number, c.request_number, nullptr, {});
                if (!rules.empty()) choose_fault(c, false, {});
            }
            if (cut_off_while_reading(connection, bytes.size())) return;
            Head head;
            const auto read = read_head(bytes, head);
            if (read == Reading::more) return;
            if (read == Reading::bad || !head.third.starts_with("HTTP/1.")) return bad(connection);
            if (!c.head_seen) {
                c.head_seen = true;
                if (!c.fault && !rules.empty()) choose_fault(c, true, head["X-Call-Class"]);
                if (cut_off_while_reading(connection, bytes.size())) return;
            }
            std::string_view body;
            std::size_t used = head.bytes;
            bool body_whole = true;
            if (head.has("Transfer-Encoding")) {
                if (!c.chunks) {
                    c.chunks.emplace(body_bytes_most);
                    c.chunked_body.clear();
                    c.chunked_used = 0;
                }
                std::size_t some = 0;
                const auto result = c.chunks->read(bytes.substr(used + c.chunked_used), c.chunked_body, some);
                c.chunked_used += some;
                if (result == Reading::bad) return bad(connection);
                body_whole = result == Reading::whole;
                used += c.chunked_used;
                body = c.chunked_body;
            } else if (head.has("Content-Length")) {
                const auto length = whole_number(head["Content-Length"]);
                if (!length || *length > body_bytes_most) return bad(connection);
                body_whole = bytes.size() >= used + *length;
                if (body_whole) body = bytes.substr(used, *length);
                used += *length;
            }
            if (!body_whole) {
                if (!c.continued && same_name(head["Expect"], "100-continue")) {
                    c.continued = true;
                    Error ignored;
                    c.socket.write_some(asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), ignored);
                }
                return;
            }
            c.begun = false;
            c.from += used;  // first, as what follows may read on; the bytes stay in place meanwhile
            take(connection, head, body);
        }
    }

    bool cut_off_while_reading(const ConnectionPtr& connection, std::size_t got) {
        auto& c = *connection;
        if (!c.fault || c.fault->point != FaultPoint::after_n_request_bytes) return false;
        if (static_cast<std::int64_t>(got) < c.fault->n) return false;
        c.from = c.to = 0;
        note_fault(*c.fault, &c, c.request_number);
        finish_with(connection, c.fault->end, "fault");
        return true;
    }

    void bad(const ConnectionPtr& connection) {
        ++counts.bad;
        connection->from = connection->to = 0;
        connection->begun = false;
        plain(connection, nullptr, 400, "not understood\n", false, FaultEnd::fin);
    }

    // ---- requests

    RequestPtr fresh() {
        if (spare.empty()) return std::make_unique<Request>();
        auto request = std::move(spare.back());
        spare.pop_back();
        return request;
    }
    void recycle(RequestPtr request) {
        if (!request || spare.size() >= 1024) return;
        request->connection.reset();
        request->fault.reset();
        request->deadline.reset();
        spare.push_back(std::move(request));
    }

    static Effects::Request view(const Request& r) {
        return {r.call_id, r.key, r.cls, r.operation, r.safe, r.first_byte, r.last_byte};
    }

    void take(const ConnectionPtr& connection, const Head& head, std::string_view body) {
        auto& c = *connection;
        const auto at = now();
        if (head.second == "/health" || head.second == "/status/load") return probe(connection, head);
        auto request = fresh();
        auto& r = *request;
        r.number = c.request_number;
        r.connection = connection;
        r.connection_number = c.number;
        r.call_id = head["X-Call-Id"];
        r.key = head["Idempotency-Key"];
        r.cls = head["X-Call-Class"];
        r.operation = operation_in(head.second);
        r.safe = head.first == "GET" || head.first == "HEAD";
        r.first_on_connection = std::exchange(c.first, false);
        r.closes = holds_token(head["Connection"], "close") || head.third == "HTTP/1.0";
        r.first_byte = c.first_byte;
        r.last_byte = at;
        r.fault = c.fault;
        if (settings.turn_away_late)
            if (const auto budget = whole_number(head["X-Budget-Ms"]))
                r.deadline = at + milliseconds(std::min<std::uint64_t>(*budget, 3'600'000));
        c.state = State::working;
        const auto end = r.closes ? FaultEnd::fin : FaultEnd::keep;
        if (r.call_id.empty()) {
            ++counts.without_id;
            return plain(connection, std::move(request), 404, "no call id\n", false, end);
        }
        if (settings.known_call && !settings.known_call(r.call_id)) {
            ++counts.unknown_id;
            return plain(connection, std::move(request), 400, "no client sent this id\n", false, end);
        }
        r.body = body_for(r.call_id, r.cls, r.key, body, settings.name, settings.body_padding);
        ++counts.started;
        if (rates()) arrivals.add(at, 1);
        effects->came(view(r));
        if (settings.detail == Detail::full) c.out_id = r.call_id;
        event(NodeEvent::Kind::last_byte, c.number, r.number, &r, {});
        if (r.fault) {
            const auto fault = *r.fault;
            if (fault.point == FaultPoint::after_last_byte ||
                (fault.point == FaultPoint::never && !fault.run)) {
                note_fault(fault, &c, r.number);
                recycle(std::move(request));
                return finish_with(connection, fault.end, "fault");
            }
            if (fault.point == FaultPoint::turn_away) {
                note_fault(fault, &c, r.number);
                return turn_away(std::move(request), fault.end);
            }
            if (fault.point == FaultPoint::status && !fault.run) {
                note_fault(fault, &c, r.number);
                return plain(connection, std::move(request), static_cast<int>(fault.n), "not run\n", false,
                             fault.end);
            }
        }
        if (c.over_cap) return turn_away(std::move(request), FaultEnd::fin);
        admit(std::move(request));
    }

    void admit(RequestPtr request) {
        auto& r = *request;
        if (!r.key.empty()) {
            if (auto* held = keys->find(r.key, now()); held != nullptr) {
                if (!held->done && held->waiting.size() >= waiting_most) return turn_away(std::move(request));
                ++counts.dropped;
                event(NodeEvent::Kind::dropped, r.connection_number, r.number, &r, {});
                if (held->done) {
                    r.body = held->answer;
                    return answer(std::move(request));
                }
                auto shared = std::make_shared<RequestPtr>(std::move(request));
                held->waiting.emplace_back(
                    [weak = weak_from_this(), shared, mine = life](const std::string* body) {
                        const auto self = weak.lock();
                        if (!self || self->over || self->dead || mine != self->life) return;
                        auto waiting = std::move(*shared);
                        if (body == nullptr) return self->admit(std::move(waiting));
                        waiting->body = *body;
                        self->answer(std::move(waiting));
                    });
                return;
            }
        }
        if (running < settings.workers) {
            if (!r.key.empty()) keys->take(r.key, now());
            return run(std::move(request));
        }
        if (queue.size() >= settings.queue_most) return turn_away(std::move(request));
        if (!r.key.empty()) keys->take(r.key, now());
        queue.push_back(std::move(request));
    }

    void turn_away(RequestPtr request, FaultEnd end = FaultEnd::keep) {
        ++counts.turned_away;
        event(NodeEvent::Kind::turned_away, request->connection_number, request->number, request.get(), {});
        const auto connection = request->connection.lock();
        if (!connection || !waits_for(*connection, *request)) return recycle(std::move(request));
        if (request->closes && end == FaultEnd::keep) end = FaultEnd::fin;
        plain(connection, std::move(request), 503, "turned away\n", true, end);
    }

    double share(Time at) const {
        if (settings.cold_for.count() == 0 || at >= warm_at) return 1;
        const auto left =
            std::chrono::duration<double>(warm_at - at) / std::chrono::duration<double>(settings.cold_for);
        return std::max(0.001, 1 - (1 - settings.cold_share) * std::min(1.0, left));
    }

    std::chrono::nanoseconds work_of(const Request& r, Time at) {
        const auto found = settings.work_by_class.find(r.cls);
        const auto& work = found == settings.work_by_class.end() ? settings.work : found->second;
        auto us = static_cast<double>(work.mean.count());
        if (us > 0 && work.shape == Work::Shape::exponential)
            us = std::exponential_distribution<double>(1 / us)(chance);
        if (us > 0 && work.shape == Work::Shape::uniform)
            us *= std::uniform_real_distribution<double>(0.5, 1.5)(chance);
        if (settings.work_for) us = static_cast<double>(settings.work_for(r.call_id).count());
        if (r.first_on_connection) us += static_cast<double>(settings.first_on_connection.count());
        return std::chrono::nanoseconds(static_cast<std::int64_t>(us * 1000 / share(at)));
    }

    void run(RequestPtr request) {
        auto& r = *request;
        const auto at = now();
        ++counts.ran;
        if (const auto found = counts.ran_by_class.find(r.cls); found != counts.ran_by_class.end())
            ++found->second;
        else if (counts.ran_by_class.size() < 256)
            counts.ran_by_class.emplace(r.cls, 1);
        effects->ran(view(r), settings.name, at);
        event(NodeEvent::Kind::ran, r.connection_number, r.number, &r, {}, at);
        const auto work = work_of(r, at);
        ++running;
        if (work.count() == 0) return finish(std::move(request));
        due.push_back({at + work, ++due_order, std::move(request)});
        std::push_heap(due.begin(), due.end());
        arm_work();
    }

    void arm_work() {
        if (due.empty() || stalled) return;
        if (work_armed && work_at <= due.front().at) return;
        work_armed = true;
        work_at = due.front().at;
        work_timer.expires_at(work_at);
        work_timer.async_wait([self = shared_from_this()](Error error) {
            if (error == asio::error::operation_aborted || self->over) return;
            self->work_armed = false;
            if (!self->stalled) self->finish_due();
        });
    }

    void finish_due() {
        const auto at = now();
        while (!due.empty() && due.front().at <= at && !stalled) {
            std::pop_heap(due.begin(), due.end());
            auto request = std::move(due.back().request);
            due.pop_back();
            finish(std::move(request));
        }
        arm_work();
    }

    void finish(RequestPtr request) {
        ++counts.finished;
        --running;
        event(NodeEvent::Kind::finished, request->connection_number, request->number, request.get(), {});
        if (!request->key.empty()) keys->done(request->key, request->body);
        answer(std::move(request));
        take_queued();
    }

    void take_queued() {
        if (taking) return;  // work of no length ends at once and would come back here for each
        taking = true;
        while (!queue.empty() && running < settings.workers) {
            auto next = std::move(queue.front());
            queue.pop_front();
            if (next->deadline && now() >= *next->deadline) {
                if (!next->key.empty()) keys->forget(next->key);
                turn_away(std::move(next));
                continue;
            }
            run(std::move(next));
        }
        taking = false;
    }

    static bool waits_for(const Connection& c, const Request& r) {
        return c.node != nullptr && c.state == State::working && c.request_number == r.number;
    }

    // ---- answers

    bool rates() const { return !settings.report.empty(); }

    void append_report(std::string& out) {
        const auto at = now();
        bool first = true;
        for (const auto& [measure, name] : settings.report) {
            if (!std::exchange(first, false)) out.push_back(',');
            out.append(name).push_back('=');
            double value = 0;
            switch (measure) {
                case Measure::inflight: append_number(out, running + queue.size()); continue;
                case Measure::queue: append_number(out, queue.size()); continue;
                case Measure::util:
                    value = settings.workers == 0
                                ? 1
                                : static_cast<double>(running) / static_cast<double>(settings.workers);
                    break;
                case Measure::latency_ms: value = latencies.mean(at); break;
                case Measure::eps: value = errors.rate(at); break;
                case Measure::qps: value = arrivals.rate(at); break;
            }
            char text[32];
            std::snprintf(text, sizeof text, "%.3f", value);
            out.append(text);
        }
    }

    void append_head(std::string& out, int status, std::optional<std::int64_t> length, bool rejected,
                     bool closes) {
        out.append("HTTP/1.1 ");
        append_number(out, static_cast<std::uint64_t>(status));
        out.append(" ").append(reason_of(status)).append("\r\nContent-Type: text/plain\r\n");
        if (length) {
            out.append("Content-Length: ");
            append_number(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, *length)));
            out.append("\r\n");
        }
        if (rejected) out.append("X-Rejected: 1\r\n");
        if (closes) out.append("Connection: close\r\n");
        if (rates() && settings.report_on_answers) {
            out.append("X-Load-Report: ");
            append_report(out);
            out.append("\r\n");
        }
    }

    // An answer that is no 200.
    void plain(const ConnectionPtr& connection, RequestPtr request, int status, std::string_view body,
               bool rejected, FaultEnd end) {
        auto& c = *connection;
        if (rates() && !rejected) errors.add(now(), 1);
        c.out.clear();
        append_head(c.out, status, static_cast<std::int64_t>(body.size()), rejected, end == FaultEnd::fin);
        c.out.append("\r\n").append(body);
        c.answering = std::move(request);
        c.whole = false;
        c.end = end;
        begin_write(connection, c.out.size());
    }

    void probe(const ConnectionPtr& connection, const Head& head) {
        auto& c = *connection;
        ++counts.probes;
        c.state = State::working;
        const auto end = holds_token(head["Connection"], "close") ? FaultEnd::fin : FaultEnd::keep;
        if (!settings.probes) return plain(connection, nullptr, 404, "no probes here\n", false, end);
        std::string body;
        if (head.second == "/status/load") append_report(body);
        c.out.clear();
        append_head(c.out, 200, static_cast<std::int64_t>(body.size()), false, end == FaultEnd::fin);
        c.out.append("\r\n").append(body);
        c.whole = false;
        c.end = end;
        begin_write(connection, c.out.size());
    }

    void answer(RequestPtr request) {
        auto& r = *request;
        if (rates()) {
            const auto at = now();
            latencies.add(at, std::chrono::duration<double, std::milli>(at - r.last_byte).count());
        }
        const auto connection = r.connection.lock();
        if (!connection || !waits_for(*connection, r)) return recycle(std::move(request));
        auto& c = *connection;
        const Fault fault = r.fault.value_or(Fault{});
        if (r.fault) note_fault(fault, &c, r.number);
        if (fault.point == FaultPoint::after_work || fault.point == FaultPoint::never) {
            recycle(std::move(request));
            return finish_with(connection, fault.end, "fault");
        }
        c.end = fault.end;
        if (c.end == FaultEnd::keep && (r.closes || c.half_closed || fault.framing == Framing::until_end))
            c.end = FaultEnd::fin;
        if (fault.point == FaultPoint::status)
            return plain(connection, std::move(request), static_cast<int>(fault.n), "error\n", false, c.end);
        c.out.clear();
        c.whole = true;
        auto limit = std::string::npos;
        std::size_t piece = 0;
        if (fault.point == FaultPoint::noise) {
            for (std::int64_t i = 0; i < fault.n; ++i) c.out.push_back(static_cast<char>(chance() & 0xffU));
            c.whole = false;
        } else {
            if (fault.point == FaultPoint::informational)
                for (int i = 0; i < fault.count; ++i)
                    c.out.append("HTTP/1.1 ").append(std::to_string(fault.code)).append(" Ahead\r\n\r\n");
            auto foreign = fault.point == FaultPoint::foreign_answer
                               ? body_for("0000000000000000", "another", "another", "another", settings.name,
                                          settings.body_padding)
                               : std::string();
            const auto& body = foreign.empty() ? r.body : foreign;
            if (!foreign.empty()) c.whole = false;
            const bool closes = c.end == FaultEnd::fin;
            auto length = static_cast<std::int64_t>(body.size());
            if (fault.point == FaultPoint::wrong_length) {
                length += fault.n;
                c.whole = fault.n == 0;
            }
            const bool sized = fault.framing == Framing::length;
            append_head(c.out, 200, sized ? std::optional(length) : std::nullopt, false, closes);
            if (fault.framing == Framing::chunked) c.out.append("Transfer-Encoding: chunked\r\n");
            c.out.append("\r\n");
            if (fault.point == FaultPoint::after_head) limit = c.out.size();
            if (fault.framing == Framing::chunked) {
                char size[24];
                std::snprintf(size, sizeof size, "%zx\r\n", body.size());
                c.out.append(size);
            }
            if (fault.point == FaultPoint::after_n_body_bytes)
                limit = c.out.size() + std::min(static_cast<std::size_t>(fault.n), body.size());
            c.out.append(body);
            if (fault.framing == Framing::chunked) c.out.append("\r\n0\r\n\r\n");
            if (limit < c.out.size()) {
                c.out.resize(limit);
                c.whole = false;
                if (c.end == FaultEnd::keep) c.end = FaultEnd::silence;  // nothing could follow
            }
            if (fault.point == FaultPoint::second_answer) {
                std::string second;
                const auto text =
                    body_for("ffffffffffffffff", "second", "second", "second", settings.name, 0);
                append_head(second, 200, static_cast<std::int64_t>(text.size()), false, false);
                second.append("\r\n").append(text);
                if (fault.late.count() > 0)
                    c.second = std::move(second);
                else
                    c.out.append(second);
            }
            if (fault.point == FaultPoint::slow_bytes) piece = static_cast<std::size_t>(fault.n);
        }
        c.answering = std::move(request);
        begin_write(connection, piece == 0 ? c.out.size() : std::min(piece, c.out.size()));
    }

    void begin_write(const ConnectionPtr& connection, std::size_t limit) {
        connection->state = State::writing;
        connection->out_done = 0;
        connection->out_limit = limit;
        write(connection);
    }

    void write(const ConnectionPtr& connection) {
        auto& c = *connection;
        if (frozen) {
            c.held_write = true;
            return;
        }
        while (c.out_done < c.out_limit) {
            Error error;
            const auto sent =
                c.socket.write_some(asio::buffer(c.out.data() + c.out_done, c.out_limit - c.out_done), error);
            c.out_done += sent;
            if (error == asio::error::would_block || error == asio::error::try_again) {
                c.socket.async_wait(tcp::socket::wait_write, [connection](Error failed) {
                    auto* node = connection->node;
                    if (node == nullptr || connection->state != State::writing) return;
                    const auto keep = node->shared_from_this();
                    if (failed) return keep->ended_by_peer(connection, failed);
                    keep->write(connection);
                });
                return;
            }
            if (error) return ended_by_peer(connection, error);
        }
        if (c.out_limit < c.out.size()) return write_slowly(connection);
        written(connection);
    }

    void write_slowly(const ConnectionPtr& connection) {
        auto& c = *connection;
        const auto& fault = *c.answering->fault;
        c.out_limit = std::min(c.out.size(), c.out_limit + static_cast<std::size_t>(fault.n));
        after(connection, fault.every, [this, connection] { write(connection); });
    }

    void after(const ConnectionPtr& connection, milliseconds time, std::function<void()> then) {
        auto& c = *connection;
        if (!c.timer) c.timer.emplace(loop);
        c.timer->expires_after(time);
        c.timer->async_wait([self = shared_from_this(), connection, then = std::move(then)](Error error) {
            if (!error && connection->node != nullptr) then();
        });
    }

    void written(const ConnectionPtr& connection) {
        auto& c = *connection;
        if (c.answering) {
            auto request = std::move(c.answering);
            if (c.whole) {
                ++counts.answered;
                effects->answered(request->call_id);
            }
            settle(c);
            event(NodeEvent::Kind::answered, c.number, request->number, request.get(),
                  c.whole ? "whole" : "not a whole 200");
            if (!c.second.empty()) {
                c.out = std::exchange(c.second, {});
                const auto late = request->fault->late;
                recycle(std::move(request));
                after(connection, late,
                      [this, connection] { begin_write(connection, connection->out.size()); });
                return;
            }
            recycle(std::move(request));
        }
        if (c.end == FaultEnd::keep) {
            c.state = State::receiving;
            idle(c);
            if (c.pumping) return;  // it goes on by itself
            pump(connection);
            if (c.node != nullptr) read(connection);
            return;
        }
        finish_with(connection, c.end, "answered");
    }

    // ---- ends

    // The attempt on this connection is no longer out.
    void settle(Connection& c) {
        if (c.out_id.empty()) return;
        effects->over(c.out_id);
        c.out_id.clear();
    }

    void finish_with(const ConnectionPtr& connection, FaultEnd end, std::string_view why) {
        auto& c = *connection;
        settle(c);
        if (end == FaultEnd::rst) return close(connection, true, why);
        if (end == FaultEnd::fin) {
            Error error;
            c.socket.shutdown(tcp::socket::shutdown_send, error);
            if (error || c.half_closed) return close(connection, false, why);
            c.state = State::draining;
            c.since = now();
            c.unlink();
            drain_list.push_back(c);
            arm_idle();
        } else {
            c.state = State::silent;
            c.unlink();
        }
        read(connection);
    }

    void close(const ConnectionPtr& connection, bool reset, std::string_view why) {
        auto& c = *connection;
        if (c.node == nullptr) return;
        c.node = nullptr;
        c.unlink();
        Error ignored;
        if (reset) c.socket.set_option(asio::socket_base::linger(true, 0), ignored);
        c.socket.close(ignored);
        if (c.timer) c.timer->cancel();
        settle(c);
        recycle(std::move(c.answering));
        event(NodeEvent::Kind::ended, c.number, 0, nullptr, why);
        connections.erase(c.number);
    }

    void close_all(bool reset, std::string_view why) {
        std::vector<ConnectionPtr> all;
        all.reserve(connections.size());
        for (const auto& [number, connection] : connections) all.push_back(connection);
        for (const auto& connection : all) close(connection, reset, why);
    }

    void die() {
        if (dead) return;
        event(NodeEvent::Kind::died, 0, 0, nullptr, {});
        dead = true;
        ++life;
        ++listener;
        frozen = stalled = accept_held = accept_held_ready = let_in = false;
        stall_timer.cancel();
        accept_timer.cancel();
        work_timer.cancel();
        work_armed = false;
        close_listener();
        full.reset();
        close_all(true, "died");
        // What a worker had taken up has had its effect; what was queued never will.
        for (auto& job : std::exchange(due, {}))
            if (!job.request->key.empty()) keys->done(job.request->key, job.request->body);
        for (auto& request : std::exchange(queue, {}))
            if (!request->key.empty()) keys->forget(request->key);
        running = 0;
    }

    void come_back() {
        if (!dead) return;
        dead = false;
        cool();
        event(NodeEvent::Kind::came_back, 0, 0, nullptr, {});
        open_listener();
    }

    void cool() { warm_at = now() + settings.cold_for; }

    void stall(milliseconds time) {
        if (dead) return;
        stalled = frozen = true;
        stall_timer.cancel();
        if (time.count() == 0) return;
        stall_timer.expires_after(time);
        stall_timer.async_wait([self = shared_from_this()](Error error) {
            if (!error && !self->over && self->stalled) self->resume();
        });
    }

    // A full backlog drops what asks to connect, as a machine does that is cut off.
    void vanish() {
        if (dead || full) return;
        frozen = true;
        if (acceptor.is_open()) full.emplace(acceptor);
    }

    void resume() {
        stalled = frozen = false;
        stall_timer.cancel();
        std::vector<ConnectionPtr> all;
        for (const auto& [number, connection] : connections) all.push_back(connection);
        for (const auto& connection : all) {
            if (frozen || connection->node == nullptr) continue;
            if (std::exchange(connection->held_write, false)) write(connection);
            if (connection->node == nullptr || !connection->held_read) continue;
            const auto [error, got] = *std::exchange(connection->held_read, std::nullopt);
            came(connection, error, got);
        }
        arm_work();
        arm_idle();
        if (!accept_held && std::exchange(accept_held_ready, false)) accept_some();
    }

    void reappear(bool reset) {
        if (dead) return;
        if (reset) close_all(true, "reset after the cut");
        std::vector<tcp::socket> waiting;
        if (acceptor.is_open() && full) waiting = full->make_room(backlog);
        full.reset();
        resume();
        for (tcp::socket& socket : waiting) accepted(std::move(socket));
    }

    void shut() {
        over = true;
        close_listener();
        Error ignored;
        holder.close(ignored);
        work_timer.cancel();
        idle_timer.cancel();
        accept_timer.cancel();
        stall_timer.cancel();
        full.reset();
        settings.on_event = nullptr;
        close_all(false, "the node's end");
        due.clear();
        queue.clear();
    }

    // ---- events

    void event(NodeEvent::Kind kind, std::uint64_t connection, std::uint64_t number, const Request* request,
               std::string_view text, std::optional<Time> at = {}) {
        if (settings.detail == Detail::counts) return;
        if (events.size() >= settings.events_most) {
            ++counts.events_lost;
            return;
        }
        auto& e = events.emplace_back();
        e.kind = kind;
        e.at = at.value_or(now());
        e.connection = connection;
        e.request = number;
        e.text = text;
        if (request != nullptr) {
            e.call_id = request->call_id;
            e.key = request->key;
            e.cls = request->cls;
        }
        ++kinds[static_cast<std::size_t>(kind)];
        if (!settings.on_event || telling) return;
        // From its own turn, so that the one who is told may do anything with the node.
        telling = true;
        asio::post(loop, [self = shared_from_this()] {
            self->telling = false;
            while (self->told < self->events.size() && self->settings.on_event) {
                const auto told = self->events[self->told++];
                self->settings.on_event(told);
            }
        });
    }

    asio::io_context& loop;
    Settings settings;
    tcp::acceptor acceptor;
    tcp::socket holder;
    tcp::endpoint address;
    asio::steady_timer work_timer, idle_timer, accept_timer, stall_timer;
    std::mt19937_64 chance;
    std::shared_ptr<Effects> effects;
    std::shared_ptr<KeyWindow> keys;
    std::vector<Rule> rules;
    std::uint64_t next_rule = 0;
    std::unordered_map<std::uint64_t, ConnectionPtr> connections;
    Idle idle_list, drain_list;
    std::deque<RequestPtr> queue;
    std::vector<Due> due;  // a heap
    std::uint64_t due_order = 0;
    std::size_t running = 0;
    std::vector<RequestPtr> spare;
    std::uint64_t listener = 0;  // which; a wait on an earlier one is void
    std::uint64_t life = 0;      // which; what waited in an earlier one is void
    bool idle_armed = false, work_armed = false, let_in = false, accept_held = false,
         accept_held_ready = false;
    bool frozen = false, stalled = false, dead = false, over = false, taking = false, telling = false;
    Time work_at{}, warm_at{};
    Fading arrivals, errors, latencies;
    NodeCounts counts;
    std::vector<NodeEvent> events;
    std::size_t told = 0;
    std::array<std::size_t, 13> kinds{};
    std::optional<FullBacklog> full;  // while it has vanished
};

BookingNode::BookingNode(asio::io_context& loop, Settings settings)
    : impl_(std::make_shared<Impl>(loop, std::move(settings))) {
    if (impl_->settings.cold_at_start) impl_->cool();
    impl_->open_listener();
}
BookingNode::~BookingNode() { impl_->shut(); }
tcp::endpoint BookingNode::address() const { return impl_->address; }
const std::string& BookingNode::name() const { return impl_->settings.name; }
void BookingNode::add(Fault fault) {
    if (impl_->rules.size() >= 1000) return;
    Impl::Rule rule;
    rule.fault = std::move(fault);
    rule.id = ++impl_->next_rule;
    impl_->rules.push_back(std::move(rule));
    impl_->check_refuse();
}
void BookingNode::clear_faults() { impl_->rules.clear(); }
void BookingNode::die() { impl_->die(); }
void BookingNode::come_back() { impl_->come_back(); }
void BookingNode::listen() { impl_->listen(); }
void BookingNode::vanish() { impl_->vanish(); }
void BookingNode::reappear(bool reset_connections) { impl_->reappear(reset_connections); }
void BookingNode::stall(milliseconds time) { impl_->stall(time); }
void BookingNode::resume() { impl_->resume(); }
NodeCounts BookingNode::counts() const {
    auto counts = impl_->counts;
    counts.open = impl_->connections.size();
    counts.running = impl_->running;
    counts.queued = impl_->queue.size();
    return counts;
}
const Effects& BookingNode::effects() const { return *impl_->effects; }
const std::vector<NodeEvent>& BookingNode::events() const { return impl_->events; }
std::size_t BookingNode::count_of(NodeEvent::Kind kind) const {
    return impl_->kinds[static_cast<std::size_t>(kind)];
}

}  // namespace flaxdoor::standins
