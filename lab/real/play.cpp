#include "real/play.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "experiment/plan.h"
#include "fleet/world.h"
#include "real/callers.h"
#include "real/daemon.h"
#include "real/links.h"
#include "real/nodes.h"
#include "real/recorder.h"
#include "real/rosters.h"
#include "real/scale.h"
#include "real/script.h"

namespace flaxdoor::lab::real {

namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto starts_within = seconds(30);
constexpr auto ends_within = seconds(10);
constexpr auto sample_every = milliseconds(250);
constexpr Micros starts_again = milliseconds(500);  // between its last answer and its next process
// On sockets each time limit is that much longer: the processes share this machine's cores.
constexpr std::uint64_t slack_on_sockets = 50'000;

class Folder {
public:
    Folder() {
        std::string name = (fs::temp_directory_path() / "flaxdoor-lab-XXXXXX").string();
        if (!::mkdtemp(name.data())) throw std::runtime_error(name + " can't be made");
        path = name;
    }
    ~Folder() {
        std::error_code ignored;
        fs::remove_all(path, ignored);
    }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    fs::path path;
};

struct Ignore final : Sink {
    void put(const Record&) override {}
};

class Run {
public:
    Run(const Experiment& part, const Terms& terms, const Script& script, const PlayOptions& options)
        : part_(part),
          terms_(terms),
          script_(script),
          options_(options),
          links_(loop_, recorder_),
          callers_(part, script, terms_.balancer_zones, recorder_, links_),
          nodes_(loop_, part, terms_, recorder_, callers_),
          call_timer_(loop_),
          event_timer_(loop_),
          sample_timer_(loop_) {
        links_.tell(callers_);
        Ignore ignore;
        const World world(part, ignore);
        for (std::size_t t = 0; t < part.troubles.size(); ++t) hit_.push_back(world.servers_hit(t));
    }

    // False: stopped.
    bool play() {
        recorder_.begin(Clock::now());
        std::vector<std::uint32_t> first;
        for (; next_event_ < script_.events.size() && script_.events[next_event_].event == Event::server_up &&
               script_.events[next_event_].at == 0;
             ++next_event_) {
            const Record& up = script_.events[next_event_];
            nodes_.start(up.who, static_cast<double>(up.a), up.b != 0);
            first.push_back(up.who);
        }
        rosters_ = std::make_unique<Rosters>(loop_, part_, terms_, nodes_, first, recorder_);
        balancers_.resize(static_cast<std::size_t>(part_.fleet.balancers));
        for (std::uint32_t b = 0; b < balancers_.size(); ++b) start(b);
        const bool ready = until(
            [&] {
                return !faults_.empty() || (rosters_->heard_by_all() &&
                                            std::all_of(balancers_.begin(), balancers_.end(),
                                                        [](const auto& its) { return its.listening; }));
            },
            Clock::now() + starts_within);
        if (stopped()) return false;
        if (!faults_.empty()) throw std::runtime_error("the balancers do not start: " + faults_.front());
        if (!ready) throw std::runtime_error("the balancers do not start:\n" + logs());
        // From here on the world's clock runs; what was noted before stands at 0.
        recorder_.begin(Clock::now() + milliseconds(20));
        begun_ = true;
        plan_calls();
        plan_event();
        sample();
        const auto longest = std::max_element(
            part_.classes.begin(), part_.classes.end(),
            [](const CallClass& a, const CallClass& b) { return a.told.deadline < b.told.deadline; });
        const auto lasts = recorder_.time_of(static_cast<std::uint64_t>(part_.lasts.count()));
        // The timetable to its end, and the last calls.
        (void)until(
            [&] { return callers_.done() && next_event_ == script_.events.size() && Clock::now() >= lasts; },
            lasts + longest->told.deadline + seconds(2));
        if (stopped()) return false;
        over_ = true;
        links_.close_all();
        for (const auto& its : balancers_) {
            if (its.process) its.process->tell_to_end();
        }
        (void)until(
            [&] {
                return std::all_of(balancers_.begin(), balancers_.end(),
                                   [](const auto& its) { return !its.process || its.process->ended(); });
            },
            Clock::now() + ends_within);
        return !stopped();
    }

    std::vector<Record> records() { return recorder_.finish(); }
    std::uint64_t lag_most() const { return callers_.lag_most(); }
    std::vector<std::string> faults() const {
        auto all = faults_;
        if (callers_.foreign() > 0)
            all.push_back(std::to_string(callers_.foreign()) +
                          " calls were served with what no server made for them");
        if (nodes_.unknown() > 0)
            all.push_back(std::to_string(nodes_.unknown()) + " requests came to nodes that no client sent");
        return all;
    }

private:
    struct Balancer {
        std::unique_ptr<Daemon> process;
        bool listening = false, to_end = false;
        std::uint64_t starts = 0;
        std::shared_ptr<asio::steady_timer> timer;
    };

    bool stopped() const { return options_.stop && options_.stop->load(std::memory_order_relaxed); }

    template <typename Happened>
    bool until(Happened happened, Clock::time_point limit) {
        auto told = Clock::now();
        while (!happened()) {
            if (stopped() || Clock::now() >= limit) return false;
            loop_.restart();
            loop_.run_one_for(milliseconds(50));
            if (begun_ && !over_ && options_.progress && Clock::now() - told >= seconds(1)) {
                told = Clock::now();
                options_.progress(static_cast<double>(now()) / 1e6,
                                  static_cast<double>(part_.lasts.count()) / 1e6);
            }
        }
        return true;
    }

    std::uint64_t now() const { return recorder_.since_begin(Clock::now()); }

    std::string logs() const {
        std::string all;
        for (std::size_t b = 0; b < balancers_.size(); ++b) {
            all += "  balancer " + std::to_string(b) + ":\n";
            if (balancers_[b].process) all += balancers_[b].process->log();
        }
        return all;
    }

    // ------------------------------------------------------------------------------------------- balancers

    void start(std::uint32_t b) {
        Balancer& its = balancers_[b];
        const fs::path file = folder_.path / ("balancer-" + std::to_string(b) + ".json");
        nlohmann::json known = rosters_->first_list();
        std::ofstream(file, std::ios::binary) << daemon_config(
            part_, {static_cast<int>(b), terms_.balancer_zones[b], rosters_->address(b), &known});
        rosters_->process_begins(b);
        its.listening = its.to_end = false;
        Daemon::Words words;
        words.program = options_.program;
        words.config = file.string();
        words.on_listening = [this, b](asio::ip::tcp::endpoint address) {
            Balancer& up = balancers_[b];
            up.listening = true;
            ++up.starts;
            links_.set(b, address);
            recorder_.note(now(), Event::came_up, b, 0, 0, up.starts);
            callers_.front_takes(b);
        };
        words.on_end = [this, b](int status) { ended(b, status); };
        its.process.reset();
        its.process = std::make_unique<Daemon>(loop_, std::move(words));
    }

    void ended(std::uint32_t b, int status) {
        Balancer& its = balancers_[b];
        if (over_) {
            if (status != 0) complain(b, status);
            return;
        }
        if (!its.listening)
            return complain(b, status);  // at its start; one that was killed does not come here
        its.listening = false;
        links_.read_out(b);
        recorder_.note(now(), Event::ended, b);
        if (!its.to_end || status != 0) complain(b, status);
        if (!its.to_end) {
            callers_.front_forgets(b);
            return;
        }
        later(its, starts_again, [this, b] { start(b); });
    }

    void complain(std::uint32_t b, int status) {
        faults_.push_back("balancer " + std::to_string(b) + " ended with " + std::to_string(status) + ":\n" +
                          balancers_[b].process->log());
    }

    void later(Balancer& its, Micros span, std::function<void()> then) {
        its.timer = std::make_shared<asio::steady_timer>(loop_, span);
        its.timer->async_wait([this, timer = its.timer, then = std::move(then)](auto error) {
            if (!error && !over_) then();
        });
    }

    void kill(std::uint32_t b) {
        Balancer& its = balancers_[b];
        if (!its.process || its.process->ended()) return;
        its.listening = false;
        its.process->kill();
        links_.read_out(b);
        links_.set(b, std::nullopt);
        recorder_.note(now(), Event::killed, b);
        later(its, part_.fleet.front_notices, [this, b] {
            if (!balancers_[b].listening) callers_.front_forgets(b);
        });
    }

    void tell_to_end(std::uint32_t b) {
        Balancer& its = balancers_[b];
        if (!its.listening) return;
        its.to_end = true;
        recorder_.note(now(), Event::told_to_end, b);
        its.process->tell_to_end();
        callers_.front_forgets(b);
    }

    // ------------------------------------------------------------------------------------------- timetable

    void plan_calls() {
        const auto at = callers_.next();
        if (!at || over_) return;
        call_timer_.expires_at(recorder_.time_of(*at));
        call_timer_.async_wait([this](auto error) {
            if (error || over_) return;
            callers_.advance(now());
            plan_calls();
        });
    }

    void plan_event() {
        if (next_event_ == script_.events.size()) return;
        event_timer_.expires_at(recorder_.time_of(script_.events[next_event_].at));
        event_timer_.async_wait([this](auto error) {
            if (error || over_) return;
            const std::uint64_t at = now();
            while (next_event_ < script_.events.size() && script_.events[next_event_].at <= at)
                happens(script_.events[next_event_++]);
            plan_event();
        });
    }

    void happens(const Record& r) {
        switch (r.event) {
            case Event::server_up: return nodes_.start(r.who, static_cast<double>(r.a), r.b != 0);
            case Event::server_down: return nodes_.stop(r.who);
            case Event::told: return rosters_->tell(r.who, r.peer, static_cast<Word>(r.a));
            case Event::killed: return kill(r.who);
            case Event::came_up:
                if (!balancers_[r.who].listening) start(r.who);
                return;
            case Event::told_to_end: return tell_to_end(r.who);
            case Event::trouble:
                recorder_.note(now(), Event::trouble, 0, 0, 0, r.a, r.b);
                return nodes_.trouble(r.a, hit_[r.a], r.b == 1);
            default: return;
        }
    }

    void sample() {
        nodes_.sample();
        sample_timer_.expires_after(sample_every);
        sample_timer_.async_wait([this](auto error) {
            if (!error && !over_) sample();
        });
    }

    const Experiment& part_;
    const Terms& terms_;
    const Script& script_;
    const PlayOptions& options_;
    Folder folder_;
    asio::io_context loop_{1};
    Recorder recorder_;
    Links links_;
    Callers callers_;
    Nodes nodes_;
    std::unique_ptr<Rosters> rosters_;
    asio::steady_timer call_timer_, event_timer_, sample_timer_;
    std::vector<Balancer> balancers_;  // goes before what its processes talk to
    std::vector<std::vector<std::uint32_t>> hit_;
    std::vector<std::string> faults_;
    std::size_t next_event_ = 0;
    bool begun_ = false, over_ = false;
};

}  // namespace

std::optional<Played> play(const Experiment& whole, const PlayOptions& options) {
    const Experiment part = scaled(whole);
    Script script(part);
    auto foretold = play_cell(part, "", options.stop, &script);
    if (!foretold) return std::nullopt;
    if (script.calls.size() > real_calls_most) {
        throw std::runtime_error("some " + std::to_string(script.calls.size()) + " calls, at most " +
                                 std::to_string(real_calls_most) + " are played: lower real.rate_share");
    }
    Played played;
    played.scale = scale_text(whole, part);
    Terms terms = foretold->terms;
    terms.answer_slack_us += slack_on_sockets;
    terms.drain_grace_us += slack_on_sockets;
    Run run(part, terms, script, options);
    if (!run.play()) return std::nullopt;
    played.foretold = std::move(*foretold);
    played.shown = cell_of(part, terms, run.records(), options.trace_file);
    played.lag_most_us = run.lag_most();
    played.faults = run.faults();
    return played;
}

}  // namespace flaxdoor::lab::real
