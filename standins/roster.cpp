#include "roster.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>

#include "http_text.h"

namespace flaxdoor::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::ordered_json;
using std::chrono::milliseconds;
using Error = boost::system::error_code;

namespace {

Time now() { return std::chrono::steady_clock::now(); }

std::string text_of(const RosterEntry& e) {
    const ordered_json json{{"host", e.host},   {"dial", e.dial},      {"site", e.site},
                            {"class", e.cls},   {"block", e.block},    {"health", e.health},
                            {"share", e.share}, {"born_ms", e.born_ms}};
    return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string_view query_value(std::string_view target, std::string_view name) {
    auto query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto part = query.substr(0, std::min(query.find('&'), query.size()));
        if (part.size() > name.size() && part.starts_with(name) && part[name.size()] == '=')
            return part.substr(name.size() + 1);
        query.remove_prefix(part.size());
    }
    return {};
}

}  // namespace

ParsedEntry parse_entry(std::string_view text) {
    const auto json = ordered_json::parse(text, nullptr, false);
    if (!json.is_object())
        return {std::nullopt, "entry: not a JSON object, as in {\"host\":\"s-1\",\"dial\":\"127.0.0.1:80\"}"};
    RosterEntry e;
    const char* field = "";
    try {
        const auto take = [&](const char* name, auto& out) {
            field = name;
            if (json.contains(name)) json.at(name).get_to(out);
        };
        take("host", e.host);
        take("dial", e.dial);
        take("site", e.site);
        take("class", e.cls);
        take("block", e.block);
        take("health", e.health);
        take("share", e.share);
        take("born_ms", e.born_ms);
    } catch (const ordered_json::exception&) {
        return {std::nullopt, "entry: field '" + std::string(field) + "' has the wrong type"};
    }
    if (e.host.empty()) return {std::nullopt, "entry: field 'host' is missing"};
    return {e, {}};
}

struct Roster::Impl : std::enable_shared_from_this<Roster::Impl> {
    struct Piece {
        Time not_before;
        std::string bytes;
        std::optional<RosterEvent> sent;  // noted when the piece is written
    };

    struct Connection : std::enable_shared_from_this<Connection> {
        explicit Connection(tcp::socket s)
            : socket(std::move(s)), timer(socket.get_executor()), beat(timer.get_executor()) {}
        tcp::socket socket;
        asio::steady_timer timer, beat;
        Impl* roster = nullptr;  // null once closed
        std::uint64_t number = 0;
        std::string in;
        std::array<char, 2048> piece{};
        std::deque<Piece> out;
        std::size_t out_bytes = 0;
        bool writing = false, watch = false, busy = false, closes = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    struct Listed {
        RosterEntry entry;
        std::string text;
        std::uint64_t changed = 0;  // the version of its last change
    };

    Impl(asio::io_context& l, Settings s)
        : loop(l), settings(std::move(s)), acceptor(l), holder(l), accept_timer(l) {
        // A bound socket that never listens keeps the port while the listener is closed.
        holder.open(settings.listen.protocol());
        holder.set_option(asio::socket_base::reuse_address(true));
        holder.bind(settings.listen);
        address = holder.local_endpoint();
    }

    // ---- connections

    void open_listener() {
        if (acceptor.is_open()) return;
        acceptor.open(address.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        accept();
    }

    void accept() {
        acceptor.async_accept([self = shared_from_this()](Error error, tcp::socket socket) {
            if (self->over || error == asio::error::operation_aborted || !self->acceptor.is_open()) return;
            if (error) {  // out of descriptors
                self->accept_timer.expires_after(milliseconds(20));
                self->accept_timer.async_wait([self](Error failed) {
                    if (!failed && !self->over && self->acceptor.is_open()) self->accept();
                });
                return;
            }
            self->accepted(std::move(socket));
            self->accept();
        });
    }

    void accepted(tcp::socket socket) {
        Error ignored;
        if (connections.size() >= settings.connections_most || (is_down && how == Down::reset)) {
            note(RosterEvent::Kind::refused, 0, 0);
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            return;
        }
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<Connection>(std::move(socket));
        connection->roster = this;
        connection->number = ++accepts;
        connections.emplace(connection->number, connection);
        read(connection);
    }

    void read(const ConnectionPtr& connection) {
        connection->socket.async_read_some(asio::buffer(connection->piece),
                                           [connection](Error error, std::size_t got) {
                                               if (connection->roster == nullptr) return;
                                               const auto keep = connection->roster->shared_from_this();
                                               if (error) return keep->close(connection, false);
                                               if (!connection->watch)
                                                   connection->in.append(connection->piece.data(), got);
                                               if (connection->in.size() > 4 * head_bytes_most)
                                                   return keep->close(connection, true);
                                               keep->serve(connection);
                                               if (connection->roster != nullptr) keep->read(connection);
                                           });
    }

    void close(const ConnectionPtr& connection, bool reset) {
        auto& c = *connection;
        if (c.roster == nullptr) return;
        c.roster = nullptr;
        Error ignored;
        if (reset) c.socket.set_option(asio::socket_base::linger(true, 0), ignored);
        c.socket.close(ignored);
        c.timer.cancel();
        c.beat.cancel();
        if (c.watch) {
            --counts.watches_open;
            note(RosterEvent::Kind::watch_ended, c.number, 0);
        }
        connections.erase(c.number);
    }

    void serve(const ConnectionPtr& connection) {
        auto& c = *connection;
        while (c.roster != nullptr && !c.busy && !c.watch && !c.in.empty()) {
            Head head;
            const auto read = read_head(c.in, head);
            if (read == Reading::more) return;
            const auto path = head.second.substr(0, std::min(head.second.find('?'), head.second.size()));
            const bool good = read == Reading::whole && head.first == "GET" && path == "/v1/endpoints";
            c.closes = !good || holds_token(head["Connection"], "close");
            c.busy = true;
            if (!good) {
                ++counts.bad;
                answer(connection, read == Reading::whole ? 404 : 400, "{\"error\":\"GET /v1/endpoints\"}",
                       std::nullopt);
            } else if (is_down) {
                note(RosterEvent::Kind::refused, c.number, 0);
                answer(connection, 503, "{\"error\":\"down\"}", std::nullopt);
            } else if (query_value(head.second, "stream") == "1") {
                watch(connection, whole_number(query_value(head.second, "index")).value_or(0));
            } else {
                list(connection);
            }
            c.in.erase(0, read == Reading::whole ? head.bytes : c.in.size());
        }
    }

    void answer(const ConnectionPtr& connection, int status, std::string_view body,
                std::optional<RosterEvent> sent) {
        std::string text =
            "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " No") +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
            (connection->closes ? "Connection: close\r\n" : "") + "\r\n";
        text.append(body);
        enqueue(connection, std::move(text), sent);
    }

    void list(const ConnectionPtr& connection) {
        note(RosterEvent::Kind::list_asked, connection->number, version);
        ++counts.lists;
        const auto body = raw_list ? *std::exchange(raw_list, std::nullopt) : whole();
        answer(connection, 200, body,
               RosterEvent{RosterEvent::Kind::list_sent, {}, connection->number, version});
    }

    void watch(const ConnectionPtr& connection, std::uint64_t index) {
        auto& c = *connection;
        c.watch = true;
        c.in.clear();
        ++counts.watches;
        ++counts.watches_open;
        note(RosterEvent::Kind::watch_opened, c.number, index);
        enqueue(connection,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
                std::nullopt);
        if (index == 0 || index > version || index < forgotten || settings.whole_lines) {
            if (index != version || index == 0) line(connection, whole(), version);
        } else if (index < version) {
            line(connection, since(index), version);
        }
        beat(connection);
    }

    void beat(const ConnectionPtr& connection) {
        connection->beat.expires_after(settings.heartbeat);
        connection->beat.async_wait([connection](Error error) {
            if (error || connection->roster == nullptr) return;
            const auto keep = connection->roster->shared_from_this();
            if (!keep->is_silent) {
                ++keep->counts.heartbeats;
                keep->enqueue(connection, "1\r\n\n\r\n", std::nullopt);
            }
            if (connection->roster != nullptr) keep->beat(connection);
        });
    }

    // ---- what is sent

    void line(const ConnectionPtr& connection, std::string_view text, std::uint64_t of) {
        std::string whole_line(text);
        whole_line.push_back('\n');
        std::string coded;
        const auto most = chunk_bytes == 0 ? whole_line.size() : chunk_bytes;
        for (std::size_t at = 0; at < whole_line.size(); at += most) {
            const auto size = std::min(most, whole_line.size() - at);
            char head[24];
            std::snprintf(head, sizeof head, "%zx\r\n", size);
            coded.append(head).append(whole_line, at, size).append("\r\n");
        }
        ++counts.lines;
        enqueue(connection, std::move(coded),
                RosterEvent{RosterEvent::Kind::line_sent, {}, connection->number, of});
        if (connection->roster != nullptr) beat(connection);
    }

    void enqueue(const ConnectionPtr& connection, std::string bytes, std::optional<RosterEvent> sent) {
        auto& c = *connection;
        if (c.roster == nullptr) return;
        c.out_bytes += bytes.size();
        if (c.out_bytes > settings.waiting_bytes_most) {
            ++counts.slow_reset;
            return close(connection, true);
        }
        const auto at = now() + settings.delay;
        // However small the writes are to be, there are 20,000 of them at most.
        const auto most = write_bytes == 0 ? bytes.size() : std::max(write_bytes, bytes.size() / 20'000);
        auto due = c.out.empty() ? at : std::max(at, c.out.back().not_before + between);
        for (std::size_t from = 0; from < bytes.size(); from += most, due += between)
            c.out.push_back({due, bytes.substr(from, most), std::nullopt});
        c.out.back().sent = sent;
        flow(connection);
    }

    void flow(const ConnectionPtr& connection) {
        auto& c = *connection;
        if (c.writing || is_silent || c.roster == nullptr) return;
        if (c.out.empty()) return emptied(connection);
        c.writing = true;
        if (c.out.front().not_before > now()) {
            c.timer.expires_at(c.out.front().not_before);
            c.timer.async_wait([connection](Error) {
                connection->writing = false;
                if (connection->roster != nullptr) connection->roster->shared_from_this()->flow(connection);
            });
            return;
        }
        asio::async_write(c.socket, asio::buffer(c.out.front().bytes),
                          [connection](Error error, std::size_t sent) {
                              connection->writing = false;
                              if (connection->roster == nullptr) return;
                              const auto keep = connection->roster->shared_from_this();
                              if (error) return keep->close(connection, false);
                              auto& c = *connection;
                              keep->counts.bytes += sent;
                              c.out_bytes -= sent;
                              if (c.out.front().sent)
                                  keep->note(c.out.front().sent->kind, c.number, c.out.front().sent->version);
                              c.out.pop_front();
                              keep->flow(connection);
                          });
    }

    void emptied(const ConnectionPtr& connection) {
        auto& c = *connection;
        if (c.watch || !c.busy) return;
        c.busy = false;
        if (!c.closes) return serve(connection);
        Error ignored;
        c.socket.shutdown(tcp::socket::shutdown_send, ignored);  // the other side closes
        c.in.clear();
        c.busy = true;
    }

    // ---- the list

    std::string whole() const {
        std::string text = "{\"seq\":" + std::to_string(version) + ",\"whole\":true,\"hosts\":[";
        bool first = true;
        for (const auto& [host, listed] : entries) {
            if (!std::exchange(first, false)) text.push_back(',');
            text.append(listed.text);
        }
        return text.append("]}");
    }

    std::string since(std::uint64_t index) const {
        std::string text = "{\"seq\":" + std::to_string(version) + ",\"whole\":false,\"hosts\":[";
        std::set<std::string_view> told;
        bool first = true;
        for (auto change = log.rbegin(); change != log.rend() && change->first > index; ++change) {
            if (!told.insert(change->second).second) continue;
            if (!std::exchange(first, false)) text.push_back(',');
            const auto listed = entries.find(change->second);
            const auto gone = left.find(change->second);
            text.append(listed != entries.end() ? listed->second.text : gone->second.text);
        }
        return text.append("]}");
    }

    void changed(const std::vector<std::string>& hosts) {
        if (hosts.empty()) return;
        const auto before = version++;
        for (const auto& host : hosts) log.emplace_back(version, host);
        while (log.size() > settings.changes_most) {
            forgotten = log.front().first;
            const auto gone = left.find(log.front().second);
            if (gone != left.end() && gone->second.changed <= forgotten) left.erase(gone);
            log.pop_front();
        }
        push(settings.whole_lines || before < forgotten ? whole() : since(before));
    }

    void push(const std::string& text) {
        std::vector<ConnectionPtr> all;
        for (const auto& [number, connection] : connections)
            if (connection->watch) all.push_back(connection);
        for (const auto& connection : all) line(connection, text, version);
    }

    void put(const RosterEntry& entry) {
        left.erase(entry.host);
        entries[entry.host] = {entry, text_of(entry), version + 1};
    }

    void take_out(const std::string& host) {
        const auto found = entries.find(host);
        if (found == entries.end()) return;
        auto listed = std::move(found->second);
        entries.erase(found);
        listed.entry.health = "left";
        listed.text = text_of(listed.entry);
        listed.changed = version + 1;
        left[host] = std::move(listed);
    }

    // ---- trouble

    void down(Down mode) {
        is_down = true;
        how = mode;
        end_watches(mode != Down::unavailable);
        if (mode != Down::refuse) return;
        Error ignored;
        acceptor.close(ignored);
        std::vector<ConnectionPtr> all;
        for (const auto& [number, connection] : connections) all.push_back(connection);
        for (const auto& connection : all) close(connection, true);
    }

    void end_watches(bool reset) {
        std::vector<ConnectionPtr> all;
        for (const auto& [number, connection] : connections)
            if (connection->watch) all.push_back(connection);
        for (const auto& connection : all) close(connection, reset);
    }

    void silent(bool on) {
        is_silent = on;
        if (on) return;
        std::vector<ConnectionPtr> all;
        for (const auto& [number, connection] : connections) all.push_back(connection);
        for (const auto& connection : all) flow(connection);
    }

    void note(RosterEvent::Kind kind, std::uint64_t connection, std::uint64_t of) {
        if (kind == RosterEvent::Kind::refused) ++counts.refused;
        if (events.size() >= settings.events_most) return;
        events.push_back({kind, now(), connection, of});
        if (!settings.on_event || std::exchange(telling, true)) return;
        asio::post(loop, [self = shared_from_this()] {
            self->telling = false;
            while (self->told < self->events.size() && self->settings.on_event) {
                const auto event = self->events[self->told++];
                self->settings.on_event(event);
            }
        });
    }

    void shut() {
        over = true;
        settings.on_event = nullptr;
        Error ignored;
        acceptor.close(ignored);
        holder.close(ignored);
        accept_timer.cancel();
        std::vector<ConnectionPtr> all;
        for (const auto& [number, connection] : connections) all.push_back(connection);
        for (const auto& connection : all) close(connection, false);
    }

    asio::io_context& loop;
    Settings settings;
    tcp::acceptor acceptor;
    tcp::socket holder;
    tcp::endpoint address;
    asio::steady_timer accept_timer;
    std::unordered_map<std::uint64_t, ConnectionPtr> connections;
    std::uint64_t accepts = 0;
    std::map<std::string, Listed, std::less<>> entries, left;
    std::uint64_t version = 0;
    std::uint64_t forgotten = 0;  // changes up to this version are not in the log
    std::deque<std::pair<std::uint64_t, std::string>> log;
    std::optional<std::string> raw_list;
    std::size_t chunk_bytes = 0, write_bytes = 0;
    milliseconds between{0};
    bool is_down = false, is_silent = false, over = false, telling = false;
    Down how = Down::unavailable;
    RosterCounts counts;
    std::vector<RosterEvent> events;
    std::size_t told = 0;
};

Roster::Roster(asio::io_context& loop, Settings settings)
    : impl_(std::make_shared<Impl>(loop, std::move(settings))) {
    impl_->open_listener();
}
Roster::~Roster() { impl_->shut(); }
tcp::endpoint Roster::address() const { return impl_->address; }
void Roster::set(const RosterEntry& entry) { set(std::vector{entry}); }
void Roster::set(const std::vector<RosterEntry>& entries) {
    std::vector<std::string> hosts;
    for (const auto& entry : entries) {
        impl_->put(entry);
        hosts.push_back(entry.host);
    }
    impl_->changed(hosts);
}
void Roster::remove(std::string_view host) {
    if (!find(host)) return;
    impl_->take_out(std::string(host));
    impl_->changed({std::string(host)});
}
void Roster::drain(std::string_view host) {
    auto entry = find(host);
    if (!entry) return;
    entry->health = "leaving";
    set(*entry);
}
void Roster::restart(std::string_view host, std::int64_t born_ms) {
    auto entry = find(host);
    if (!entry) return;
    entry->health = "active";
    entry->born_ms = born_ms;
    set(*entry);
}
void Roster::replace_all(const std::vector<RosterEntry>& entries) {
    std::set<std::string> hosts;
    for (const auto& [host, listed] : impl_->entries) hosts.insert(host);
    for (const auto& host : hosts) impl_->take_out(host);
    for (const auto& entry : entries) {
        impl_->put(entry);
        hosts.insert(entry.host);
    }
    impl_->changed({hosts.begin(), hosts.end()});
}
std::uint64_t Roster::version() const { return impl_->version; }
std::optional<RosterEntry> Roster::find(std::string_view host) const {
    const auto found = impl_->entries.find(host);
    if (found == impl_->entries.end()) return std::nullopt;
    return found->second.entry;
}
void Roster::set_version(std::uint64_t version) {
    impl_->version = version;
    impl_->forgotten = version;
    impl_->log.clear();
    impl_->left.clear();
}
void Roster::announce() { impl_->push(impl_->whole()); }
void Roster::raw_line(std::string line) { impl_->push(line); }
void Roster::next_list(std::string body) { impl_->raw_list = std::move(body); }
void Roster::whole_lines(bool on) { impl_->settings.whole_lines = on; }
void Roster::delay(milliseconds time) { impl_->settings.delay = time; }
void Roster::split(std::size_t chunk_bytes, std::size_t write_bytes, milliseconds between) {
    impl_->chunk_bytes = chunk_bytes;
    impl_->write_bytes = write_bytes;
    impl_->between = between;
}
void Roster::down(Down how) { impl_->down(how); }
void Roster::up() {
    impl_->is_down = false;
    impl_->open_listener();
}
void Roster::silent(bool on) { impl_->silent(on); }
void Roster::end_watches(bool reset) { impl_->end_watches(reset); }
RosterCounts Roster::counts() const {
    auto counts = impl_->counts;
    counts.version = impl_->version;
    counts.entries = impl_->entries.size();
    return counts;
}
const std::vector<RosterEvent>& Roster::events() const { return impl_->events; }
std::string Roster::counts_json() const {
    const auto n = counts();
    return ordered_json{{"version", n.version},
                        {"entries", n.entries},
                        {"lists", n.lists},
                        {"watches", n.watches},
                        {"watches_open", n.watches_open},
                        {"refused", n.refused},
                        {"lines", n.lines},
                        {"heartbeats", n.heartbeats},
                        {"bytes", n.bytes},
                        {"slow_reset", n.slow_reset},
                        {"bad", n.bad}}
        .dump();
}

}  // namespace flaxdoor::standins
