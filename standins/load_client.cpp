#include "load_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <deque>
#include <optional>
#include <random>
#include <stdexcept>
#include <unordered_map>

namespace flaxdoor::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using Error = boost::system::error_code;

namespace {

constexpr std::size_t arrivals_most = 5'000'000;
constexpr auto sweep_every = milliseconds(5);

Time now() { return std::chrono::steady_clock::now(); }

// One to one on 64 bits, so names made from a counter are all different.
std::uint64_t mixed(std::uint64_t x) {
    x ^= x >> 30U;
    x *= 0xbf58476d1ce4e5b9U;
    x ^= x >> 27U;
    x *= 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

}  // namespace

struct LoadClient::Impl : std::enable_shared_from_this<LoadClient::Impl> {
    struct Arrival {
        std::uint64_t us;
        std::uint32_t plan;
    };

    struct Task {
        const ClassPlan* plan = nullptr;
        Call call;
        std::string first_id, operation;
        Time intended, limit, give_up;
        unsigned tries = 1;
        bool resent = false, slow = false, half_close = false;
        std::optional<microseconds> leave_after;
    };
    using TaskPtr = std::unique_ptr<Task>;

    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(asio::io_context& loop, std::size_t t) : socket(loop), target(t) {}
        tcp::socket socket;
        std::size_t target;
        Impl* client = nullptr;  // null once closed
        TaskPtr task;
        AnswerReader reader;
        std::string out;
        std::size_t out_done = 0;
        bool up = false, kept = false;  // kept: it has carried a call
        std::array<char, 4096> in{};
        std::unique_ptr<asio::steady_timer> timer, leaving;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    Impl(asio::io_context& l, Settings s)
        : loop(l),
          settings(std::move(s)),
          arrival_timer(l),
          sweep_timer(l),
          end_timer(l),
          random(settings.seed) {
        const auto need = [](bool held, const char* text) {
            if (!held) throw std::invalid_argument(text);
        };
        need(!settings.targets.empty(), "targets: at least one address is needed");
        need(!settings.classes.empty() && settings.classes.size() <= 64, "classes: from 1 to 64");
        need(settings.rate >= 0, "rate: not negative");
        need(settings.connections >= 1 && settings.connections <= 60'000, "connections: from 1 to 60000");
        need(settings.calls > 0 || settings.duration.count() > 0,
             "calls, duration: one of them ends the run");
        std::vector<double> weights;
        for (const auto& plan : settings.classes) {
            need(plan.weight >= 0 && plan.body_bytes <= body_bytes_most,
                 "classes: weight >= 0, body up to 64 KiB");
            weights.push_back(plan.weight);
        }
        pick = std::discrete_distribution<std::uint32_t>(weights.begin(), weights.end());
        if (settings.rate > 0) draw_arrivals();
        report.seed = settings.seed;
        for (const auto& plan : settings.classes) report.classes[plan.name];
    }

    void draw_arrivals() {
        std::exponential_distribution<double> gap(settings.rate);
        double at = 0;
        const auto end = static_cast<double>(settings.duration.count()) / 1000.0;
        while (settings.calls == 0 || arrivals.size() < settings.calls) {
            at += gap(random);
            if (end > 0 && at >= end) break;
            if (arrivals.size() >= arrivals_most)
                throw std::invalid_argument("rate, duration: more than 5,000,000 calls");
            arrivals.push_back({static_cast<std::uint64_t>(at * 1e6), pick(random)});
        }
    }

    // ---- calls

    bool by_chance(double share) {
        return share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share;
    }
    std::string fresh_id() { return hex(mixed((settings.seed << 40U) + ++ids)); }

    TaskPtr make(std::uint32_t plan_index, Time intended) {
        auto task = std::make_unique<Task>();
        const auto& plan = settings.classes[plan_index];
        task->plan = &plan;
        auto& call = task->call;
        call.call_id = task->first_id = fresh_id();
        call.cls = plan.name;
        call.kind = plan.kind;
        call.budget_ms = plan.budget_ms;
        call.closes = !settings.keep_alive;
        if (plan.kind == CallKind::keyed) call.key = hex(mixed(ids ^ settings.seed)) + fresh_id();
        if (plan.kind != CallKind::safe) {
            if (settings.operations) {
                task->operation = "o" + call.call_id;
                call.target += "?op=" + task->operation;
            }
            call.body.resize(plan.body_bytes);
            for (std::size_t i = 0; i < call.body.size(); ++i)
                call.body[i] = call.call_id[i % call.call_id.size()];
        }
        if (!settings.callers.empty()) call.caller = settings.callers[made % settings.callers.size()];
        if (settings.about > 0) call.about = hex(mixed(random() % settings.about));
        task->intended = intended;
        budget_from(*task, intended);
        task->slow = by_chance(settings.slow);
        task->half_close = by_chance(settings.half_closes);
        if (by_chance(settings.leaves)) {
            // Early more often than late, as most answers come early.
            const auto u = std::uniform_real_distribution<double>(0, 1)(random);
            task->leave_after =
                microseconds(static_cast<std::int64_t>(u * u * u * u * plan.budget_ms * 1000.0));
        }
        ++made;
        return task;
    }

    void budget_from(Task& task, Time from) {
        task.limit = from + milliseconds(task.plan->budget_ms);
        task.give_up = task.limit + settings.wait_beyond;
    }

    bool more_to_make() const { return !stopped && (settings.calls == 0 || made < settings.calls); }

    void submit(TaskPtr task) {
        while (settings.keep_alive && !idles.empty()) {
            const auto connection = idles.back().lock();
            idles.pop_back();
            if (!connection || connection->client == nullptr || connection->task) continue;
            connection->task = std::move(task);
            return send(connection);
        }
        open_for(std::move(task));
    }

    void open_for(TaskPtr task) {
        if (connections.size() >= settings.connections) {
            waiting.push_back(std::move(task));
            return;
        }
        const auto target = next_target++ % settings.targets.size();
        auto connection = std::make_shared<Connection>(loop, target);
        connection->client = this;
        connection->task = std::move(task);
        connections.emplace(connection.get(), connection);
        ++report.connections;
        connection->socket.async_connect(settings.targets[target], [connection](Error error) {
            auto* client = connection->client;
            if (client == nullptr) return;
            const auto keep = client->shared_from_this();
            if (error) {
                ++client->report.connects_failed;
                return client->ended(connection, Outcome::broken);
            }
            connection->up = true;
            connection->socket.set_option(tcp::no_delay(true), error);
            connection->socket.non_blocking(true, error);
            client->read(connection);
            client->send(connection);
        });
    }

    void send(const ConnectionPtr& connection) {
        auto& c = *connection;
        auto& task = *c.task;
        c.out.clear();
        c.out_done = 0;
        append_call(c.out, task.call);
        c.reader.clear();
        if (task.leave_after) leave_later(connection, *task.leave_after);
        if (task.tries == 1 && !task.resent)
            report.lag_most =
                std::max(report.lag_most, std::chrono::duration_cast<microseconds>(now() - task.intended));
        if (task.slow) return send_slowly(connection);
        write(connection);
    }

    void leave_later(const ConnectionPtr& connection, microseconds time) {
        if (!connection->leaving) connection->leaving = std::make_unique<asio::steady_timer>(loop);
        connection->leaving->expires_after(time);
        connection->leaving->async_wait([connection, id = connection->task->call.call_id](Error error) {
            if (error || connection->client == nullptr || !connection->task ||
                connection->task->call.call_id != id)
                return;
            connection->client->shared_from_this()->ended(connection, Outcome::left);
        });
    }

    void write(const ConnectionPtr& connection) {
        auto& c = *connection;
        while (c.out_done < c.out.size()) {
            Error error;
            c.out_done += c.socket.write_some(
                asio::buffer(c.out.data() + c.out_done, c.out.size() - c.out_done), error);
            if (error == asio::error::would_block || error == asio::error::try_again) {
                c.socket.async_wait(tcp::socket::wait_write, [connection](Error failed) {
                    if (!failed && connection->client != nullptr && connection->task)
                        connection->client->write(connection);
                });
                return;
            }
            if (error) return;  // an answer may have come before the end; the read will tell
        }
        sent(connection);
    }

    void send_slowly(const ConnectionPtr& connection) {
        auto& c = *connection;
        Error error;
        c.out_done += c.socket.write_some(asio::buffer(c.out.data() + c.out_done, 1), error);
        if (error && error != asio::error::would_block) return;
        if (c.out_done == c.out.size()) return sent(connection);
        if (!c.timer) c.timer = std::make_unique<asio::steady_timer>(loop);
        c.timer->expires_after(milliseconds(1));
        c.timer->async_wait([connection, task = c.task.get()](Error failed) {
            if (failed || connection->client == nullptr || connection->task.get() != task) return;
            connection->client->send_slowly(connection);
        });
    }

    void sent(const ConnectionPtr& connection) {
        if (!connection->task->half_close) return;
        Error ignored;
        connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void read(const ConnectionPtr& connection) {
        connection->socket.async_read_some(asio::buffer(connection->in),
                                           [connection](Error error, std::size_t got) {
                                               auto* client = connection->client;
                                               if (client == nullptr) return;
                                               const auto keep = client->shared_from_this();
                                               client->came(connection, error, got);
                                           });
    }

    void came(const ConnectionPtr& connection, Error error, std::size_t got) {
        auto& c = *connection;
        if (!c.task) {  // between calls
            if (got > 0) ++report.surplus;
            return close(connection);
        }
        c.reader.feed({c.in.data(), got});
        Answer answer;
        const auto result = c.reader.next(answer, error == asio::error::eof);
        if (result == Reading::whole) {
            answered(connection, answer, bool(error));
            if (c.client != nullptr) read(connection);
            return;
        }
        if (result == Reading::bad) {
            ++report.garbled;
            return ended(connection, Outcome::broken);
        }
        if (!error) return read(connection);
        if (c.kept && !c.reader.begun() && c.reader.rest().empty()) {
            ++report.broken_kept;
            if (settings.resend_crossed && !c.task->resent) {
                auto task = std::move(c.task);
                task->resent = true;
                ++report.classes[task->call.cls].resent;
                close(connection);
                return open_for(std::move(task));
            }
        }
        ended(connection, Outcome::broken);
    }

    void answered(const ConnectionPtr& connection, const Answer& answer, bool over) {
        auto& c = *connection;
        const auto at = now();
        auto& task = *c.task;
        report.informational += answer.informational;
        auto outcome = Outcome::failed;
        if (answer.status == 200)
            outcome = made_for(answer, task.call) ? Outcome::served : Outcome::foreign;
        else if (answer.status == 429 || answer.status == 503)
            outcome = Outcome::refused;
        if (outcome == Outcome::refused && readable_wait(answer["Retry-After"])) ++report.retry_after;
        if (at > task.limit) outcome = Outcome::late;
        report.classes[task.call.cls].answered.add(
            std::chrono::duration_cast<microseconds>(at - task.intended));
        const bool surplus = !c.reader.rest().empty();
        if (surplus) ++report.surplus;
        const bool keep = settings.keep_alive && answer.keeps && !surplus && !over && !task.half_close &&
                          c.out_done == c.out.size();
        auto done = std::move(c.task);
        c.kept = true;
        if (!keep)
            close(connection);
        else
            idles.push_back(connection);
        settle(std::move(done), outcome, answer.status, at);
    }

    static bool readable_wait(std::string_view text) {
        return !text.empty() && text.find_first_not_of("0123456789.") == std::string_view::npos &&
               std::count(text.begin(), text.end(), '.') <= 1;
    }

    // The connection's call ends with no whole answer, and the connection with it.
    void ended(const ConnectionPtr& connection, Outcome outcome) {
        auto task = std::move(connection->task);
        close(connection);
        settle(std::move(task), outcome, 0, now());
    }

    void close(const ConnectionPtr& connection) {
        if (connection->client == nullptr) return;
        connection->client = nullptr;
        Error ignored;
        connection->socket.close(ignored);
        if (connection->timer) connection->timer->cancel();
        if (connection->leaving) connection->leaving->cancel();
        connections.erase(connection.get());
        if (idles.size() > 2 * connections.size() + 64)
            std::erase_if(idles, [](const auto& idle) { return idle.expired(); });
    }

    void settle(TaskPtr task, Outcome outcome, int status, Time at) {
        auto& tally = report.classes[task->call.cls];
        if (outcome != Outcome::served && outcome != Outcome::left && task->tries <= settings.retries &&
            !stopped) {
            ++task->tries;
            ++tally.again;
            task->call.call_id = fresh_id();
            task->call.again = true;
            task->resent = false;
            budget_from(*task, at);
            post_submit(std::move(task));
            return;
        }
        ++tally.calls;
        ++tally.by_outcome[static_cast<std::size_t>(outcome)];
        --out;
        if (outcome == Outcome::served)
            tally.served.add(std::chrono::duration_cast<microseconds>(at - task->intended));
        if (settings.on_result)
            settings.on_result({task->call.call_id, task->first_id, task->call.cls, task->call.key,
                                task->operation, task->call.kind, outcome, status, task->tries,
                                task->intended, at});
        go_on();
    }

    // From its own turn: a target that fails at once must not pile up calls on the stack.
    void post_submit(TaskPtr task) {
        again.push_back(std::move(task));
        wake();
    }

    void go_on() {
        if (settings.rate == 0 && more_to_make()) ++wanted;
        wake();
    }

    void wake() {
        if (std::exchange(awake, true)) return;
        asio::post(loop, [self = shared_from_this()] {
            self->awake = false;
            if (!self->over) self->serve();
        });
    }

    void serve() {
        for (auto& task : std::exchange(again, {})) submit(std::move(task));
        while (!waiting.empty() && (connections.size() < settings.connections || has_idle())) {
            auto task = std::move(waiting.front());
            waiting.pop_front();
            submit(std::move(task));
        }
        for (; wanted > 0; --wanted)
            if (more_to_make()) {
                ++out;
                submit(make(pick(random), now()));
            }
        check_done();
    }

    bool has_idle() {
        while (!idles.empty()) {
            const auto connection = idles.back().lock();
            if (connection && connection->client != nullptr && !connection->task) return settings.keep_alive;
            idles.pop_back();
        }
        return false;
    }

    // ---- time

    void start() {
        if (started) return;
        started = true;
        begun = now();
        if (settings.rate > 0) {
            await_arrival();
        } else {
            wanted = settings.connections;
            if (settings.duration.count() > 0) {
                end_timer.expires_after(settings.duration);
                end_timer.async_wait([self = shared_from_this()](Error error) {
                    if (!error) self->stop();
                });
            }
        }
        sweep();
        wake();
    }

    void await_arrival() {
        if (stopped || next_arrival == arrivals.size()) return check_done();
        arrival_timer.expires_at(begun + microseconds(arrivals[next_arrival].us));
        arrival_timer.async_wait([self = shared_from_this()](Error error) {
            if (error || self->over || self->stopped) return;
            self->arrive();
        });
    }

    void arrive() {
        const auto at = now();
        while (next_arrival < arrivals.size()) {
            const auto intended = begun + microseconds(arrivals[next_arrival].us);
            if (intended > at) break;
            const auto plan = arrivals[next_arrival++].plan;
            if (out >= settings.out_most) {
                ++report.not_sent;
                continue;
            }
            ++out;
            submit(make(plan, intended));
        }
        await_arrival();
    }

    // Calls that are over their time.
    void sweep() {
        sweep_timer.expires_after(sweep_every);
        sweep_timer.async_wait([self = shared_from_this()](Error error) {
            if (error || self->over || self->finished) return;
            const auto at = now();
            std::vector<ConnectionPtr> ending;
            for (const auto& [key, connection] : self->connections) {
                if (!connection->task) continue;
                if (connection->task->give_up <= at) ending.push_back(connection);
            }
            for (const auto& connection : ending)
                if (connection->task) self->ended(connection, Outcome::unanswered);
            while (!self->waiting.empty() && self->waiting.front()->give_up <= at) {
                auto task = std::move(self->waiting.front());
                self->waiting.pop_front();
                self->settle(std::move(task), Outcome::unanswered, 0, at);
            }
            self->sweep();
        });
    }

    void stop() {
        stopped = true;
        arrival_timer.cancel();
        end_timer.cancel();
        wake();
    }

    void check_done() {
        if (finished || !started || out > 0 || wanted > 0 || !again.empty() || !waiting.empty()) return;
        if (settings.rate > 0 ? !stopped && next_arrival < arrivals.size() : more_to_make()) return;
        finished = true;
        report.seconds = std::chrono::duration<double>(now() - begun).count();
        end_timer.cancel();
        sweep_timer.cancel();
        close_all();
        if (settings.on_done) asio::post(loop, settings.on_done);
    }

    void close_all() {
        std::vector<ConnectionPtr> all;
        for (const auto& [key, connection] : connections) all.push_back(connection);
        for (const auto& connection : all) close(connection);
    }

    void shut() {
        over = true;
        settings.on_result = nullptr;
        settings.on_done = nullptr;
        arrival_timer.cancel();
        sweep_timer.cancel();
        end_timer.cancel();
        close_all();
    }

    asio::io_context& loop;
    Settings settings;
    asio::steady_timer arrival_timer, sweep_timer, end_timer;
    std::mt19937_64 random;
    std::discrete_distribution<std::uint32_t> pick;
    std::vector<Arrival> arrivals;
    std::size_t next_arrival = 0, next_target = 0;
    std::unordered_map<Connection*, ConnectionPtr> connections;
    std::vector<std::weak_ptr<Connection>> idles;
    std::deque<TaskPtr> waiting;
    std::vector<TaskPtr> again;
    std::uint64_t ids = 0, made = 0, out = 0, wanted = 0;
    bool started = false, stopped = false, finished = false, over = false, awake = false;
    Time begun{};
    ClientReport report;
};

LoadClient::LoadClient(asio::io_context& loop, Settings settings)
    : impl_(std::make_shared<Impl>(loop, std::move(settings))) {}
LoadClient::~LoadClient() { impl_->shut(); }
void LoadClient::start() { impl_->start(); }
void LoadClient::stop() { impl_->stop(); }
bool LoadClient::done() const { return impl_->finished; }
ClientReport LoadClient::report() const {
    auto report = impl_->report;
    if (!impl_->finished && impl_->started)
        report.seconds = std::chrono::duration<double>(now() - impl_->begun).count();
    return report;
}

}  // namespace flaxdoor::standins
