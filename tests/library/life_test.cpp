// An instance goes with calls open at every stage: destroyed on the caller's executor, on its own, within a
// handler, from another thread; its loop is run on after that, or never again, or is destroyed first. The
// address sanitizer tells what is touched afterwards.
#include <functional>
#include <thread>

#include "rig.h"

namespace flaxdoor::test {
namespace {

enum class Stage { new_, waiting, connecting, partly_written, written, partly_answered, done };
constexpr Stage stages[] = {Stage::new_,    Stage::waiting,         Stage::connecting, Stage::partly_written,
                            Stage::written, Stage::partly_answered, Stage::done};

// One loop with one instance and three calls at a stage; handlers run on that loop, on another one, or in a
// pool.
class Scene {
public:
    explicit Scene(Stage stage) : stage_(stage), loop_(std::make_unique<asio::io_context>(1)) {
        // Servers enough that each call finds one that is free.
        std::vector<std::string> addresses;
        const char* const spec = stage == Stage::written           ? "never"
                                 : stage == Stage::partly_answered ? "after_n_body_bytes=5,end=silence"
                                                                   : nullptr;
        for (int i = 0; i < 6; ++i) {
            nodes_.push_back(std::make_unique<BookingNode>(*nodes_loop_, BookingNode::Settings{}));
            if (stage == Stage::connecting) nodes_.back()->vanish();
            if (spec) nodes_.back()->add(*standins::parse_fault(spec).fault);
            deaf_.push_back(std::make_unique<DeafPeer>(*nodes_loop_));
            addresses.push_back(stage == Stage::partly_written ? deaf_.back()->address()
                                                               : text_of(nodes_.back()->address()));
        }
        BalancerOptions options = options_for(addresses);
        if (stage == Stage::waiting) options.servers = {};
        options.log = [this](std::string_view, std::string_view) { ++lines_; };
        options.figures_every = milliseconds(1);
        options.figures = [this](std::string_view, const BalancerFigures&) { ++lines_; };
        balancer.emplace(loop_->get_executor(), options);
        for (std::size_t i = 0; i < 3; ++i) {
            CallRequest request = check_in();
            if (stage == Stage::partly_written) request.body.assign(64 * 1024, 'x');
            auto ending = std::make_shared<Ending>();
            endings.push_back(ending);
            if (i == 0) balancer->async_call(request, own(ending));
            if (i == 1) balancer->async_call(request, asio::bind_executor(other, own(ending)));
            if (i == 2)
                balancer->async_call(request, asio::bind_executor(asio::make_strand(other), own(ending)));
            reach(i + 1);
        }
    }
    ~Scene() {
        balancer.reset();
        endings.clear();
    }

    asio::io_context& loop() { return *loop_; }
    void end_loop() { loop_.reset(); }
    void run_nodes() {
        nodes_loop_->poll();
        nodes_loop_->restart();
    }
    // The loop as long as it has something to do; and the nodes meanwhile.
    bool run_out() {
        loop_->restart();
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        while (std::chrono::steady_clock::now() < end) {
            loop_->run_one_for(milliseconds(5));
            if (loop_->stopped()) return true;
            run_nodes();
        }
        return false;
    }
    int lines() const { return lines_; }

    std::optional<Balancer> balancer;
    asio::io_context other;  // of handlers bound elsewhere
    std::vector<EndingPointer> endings;

private:
    // A handler that owns much, so that a copy too few or too many is met.
    std::function<void(CallResult)> own(const EndingPointer& ending) {
        return [ending, owned = std::make_shared<std::string>(100, 'x')](CallResult result) {
            EXPECT_EQ(owned->size(), 100U);
            into(ending)(std::move(result));
        };
    }
    void reach(std::size_t calls) {
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        for (int turns = 0; turns < 5;) {
            ASSERT_LT(std::chrono::steady_clock::now(), end) << static_cast<int>(stage_);
            if (stage_ == Stage::new_) return;
            loop_->run_one_for(milliseconds(1));
            run_nodes();
            turns += reached(calls);
        }
    }
    bool reached(std::size_t calls) {
        std::size_t n = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (stage_ == Stage::partly_written) n += deaf_[i]->accepted();
            if (stage_ == Stage::done) n += nodes_[i]->counts().answered;
            if (stage_ == Stage::written || stage_ == Stage::partly_answered)
                n += nodes_[i]->count_of(Kind::fault);
        }
        return stage_ == Stage::waiting || stage_ == Stage::connecting || n == calls;
    }

    Stage stage_;
    int lines_ = 0;
    std::unique_ptr<asio::io_context> nodes_loop_ = std::make_unique<asio::io_context>(1);
    std::vector<std::unique_ptr<BookingNode>> nodes_;
    std::vector<std::unique_ptr<DeafPeer>> deaf_;
    std::unique_ptr<asio::io_context> loop_;
};

void expect_ended(const Ending& ending, Stage stage) {
    EXPECT_EQ(ending.times, 1);
    if (stage == Stage::done) {
        EXPECT_EQ(ending.result.verdict, CallVerdict::served);
        return;
    }
    EXPECT_EQ(ending.result.verdict, CallVerdict::failed);
    EXPECT_EQ(ending.result.cause, CallCause::closed);
    EXPECT_EQ(ending.result.may_have_run, stage >= Stage::partly_written);
    EXPECT_FALSE(ending.result.id.empty());
}

// How an instance goes.
struct Way {
    const char* name;
    std::function<void(Scene&)> go;
    bool runs_on;  // the loop is run afterwards; else it goes too
};

void goes_within_a_handler(Scene& scene) {
    scene.balancer->async_call(call("none"), [&scene](CallResult result) {
        EXPECT_EQ(result.cause, CallCause::bad_request);
        scene.balancer.reset();
    });
}

// Handlers of other executors run whatever becomes of the loop; those of this loop go with it, unrun, as all
// of its work does.
TEST(Life, EachHandlerOnceHoweverItGoes) {
    for (const Way& way :
         {Way{"destroyed", [](Scene& s) { s.balancer.reset(); }, true},
          Way{"destroyed on its executor",
              [](Scene& s) { asio::post(s.loop(), [&s] { s.balancer.reset(); }); }, true},
          Way{"destroyed within a handler", goes_within_a_handler, true},
          Way{"destroyed, the loop never run again", [](Scene& s) { s.balancer.reset(); }, false},
          Way{"its loop destroyed first", [](Scene& s) { s.end_loop(); }, false}}) {
        for (const Stage stage : stages) {
            SCOPED_TRACE(std::string(way.name) + ", stage " + std::to_string(static_cast<int>(stage)));
            Scene scene(stage);
            way.go(scene);
            const int lines = scene.lines();
            if (way.runs_on) {
                EXPECT_TRUE(scene.run_out()) << "it keeps the loop at work";
                EXPECT_FALSE(scene.balancer);
            }
            scene.other.run();
            expect_ended(*scene.endings[1], stage);
            expect_ended(*scene.endings[2], stage);
            if (way.runs_on) {
                expect_ended(*scene.endings[0], stage);
            } else {
                const std::weak_ptr<Ending> own = std::exchange(scene.endings[0], nullptr);
                scene.end_loop();
                EXPECT_TRUE(own.expired()) << "the handler was kept";
            }
            if (std::string_view(way.name) == "destroyed") {
                EXPECT_EQ(scene.lines(), lines) << "a sink was called after the destruction";
            }
        }
    }
}

// The same behind a strand, whose memory is the loop's too; with what was deferred, a drain and a signal
// left.
TEST(Life, TheLoopOfAStrandIsDestroyedFirst) {
    asio::io_context elsewhere;
    asio::cancellation_signal signal;
    auto loop = std::make_unique<asio::io_context>();
    std::optional<Balancer> balancer(std::in_place, asio::make_strand(*loop), options_for({"127.0.0.1:1"}));
    const auto ending = std::make_shared<Ending>();
    const auto late = std::make_shared<Ending>();
    int drained = 0;
    balancer->async_call(check_in(), asio::bind_cancellation_slot(
                                         signal.slot(), asio::bind_executor(elsewhere, into(ending))));
    balancer->async_drain(asio::bind_executor(elsewhere, [&] { ++drained; }));
    auto deferred = balancer->async_call(check_in(), asio::deferred);
    loop.reset();
    signal.emit(asio::cancellation_type::terminal);
    std::move(deferred)(asio::bind_executor(elsewhere, into(late)));
    elsewhere.run();
    EXPECT_EQ(ending->times, 1);
    EXPECT_EQ(drained, 1);
    EXPECT_EQ(late->result.cause, CallCause::closed);
    balancer.reset();
}

// Destroyed between two steps of the loop, with connections that have come up and wait for their turn: a call
// that was told not to have run does not go out after that.
TEST(Life, ToldNotToHaveRunAndNeverDoes) {
    constexpr std::size_t calls = 6;
    int told = 0, sent = 0;
    for (int steps = 0; steps < 40; ++steps) {
        asio::io_context loop(1), nodes_loop(1);
        std::vector<std::unique_ptr<BookingNode>> nodes;
        std::vector<std::string> addresses;
        BookingNode::Settings its;
        its.effects = std::make_shared<standins::Effects>();
        for (std::size_t i = 0; i < calls; ++i) {
            nodes.push_back(std::make_unique<BookingNode>(nodes_loop, its));
            addresses.push_back(text_of(nodes.back()->address()));
        }
        std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options_for(addresses));
        std::vector<EndingPointer> endings;
        for (std::size_t i = 0; i < calls; ++i) {
            endings.push_back(std::make_shared<Ending>());
            balancer->async_call(check_in(), into(endings.back()));
        }
        for (int i = 0; i < steps; ++i) loop.poll_one();
        balancer.reset();
        loop.restart();
        loop.run();
        ASSERT_TRUE(standins::run_until(nodes_loop, [&] {
            return std::all_of(nodes.begin(), nodes.end(), [](const auto& node) {
                const auto counts = node->counts();
                return counts.open == 0 && counts.running == 0 &&
                       node->count_of(Kind::accepted) == counts.accepted;
            });
        }));
        while (nodes_loop.poll() > 0) {  // whoever still waits to be accepted
        }
        for (const auto& ending : endings) {
            ASSERT_EQ(ending->times, 1);
            const auto* const record = its.effects->find(ending->result.id);
            if (ending->result.may_have_run) {
                ++sent;
            } else {
                ++told;
                EXPECT_TRUE(!record || record->attempts == 0) << "after " << steps << " steps";
            }
        }
    }
    EXPECT_GT(told, 0);
    EXPECT_GT(sent, 0);
}

// What still waits for its turn when the destruction begins writes to no sink of the host's.
TEST(Life, NoSinkIsCalledAfterwards) {
    asio::io_context loop(1);
    int lines = 0;
    BalancerOptions options = options_for({"127.0.0.1:1"});
    options.log = [&](std::string_view, std::string_view) { ++lines; };
    std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options);
    balancer->reconfigure(options);
    loop.poll();
    EXPECT_GT(lines, 0);
    balancer->reconfigure(options);
    balancer.reset();
    lines = 0;
    loop.restart();
    loop.run();
    EXPECT_EQ(lines, 0);
}

// At any turn of the loop, with timers due and connections in every state.
TEST(Life, AtAnyTurn) {
    for (int turns = 0; turns < 60; ++turns) {
        asio::io_context loop(1);
        BookingNode node(loop, {});
        BalancerOptions options = options_for({text_of(node.address()), "127.0.0.1:1"}, 7);
        options.listen = "127.0.0.1:0";
        options.figures_every = milliseconds(1);
        std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options);
        std::vector<EndingPointer> endings;
        int ends = 0, wanted = 0;
        for (int i = 0; i < 4; ++i) {
            endings.push_back(std::make_shared<Ending>());
            balancer->async_call(i % 2 ? check_in() : look(milliseconds(40)), into(endings.back()));
        }
        tcp::socket client(loop);
        boost::system::error_code error;
        client.connect({asio::ip::address_v4::loopback(),
                        static_cast<std::uint16_t>(std::stoi(balancer->address().substr(10)))},
                       error);
        if (turns % 3 == 0) ++wanted, balancer->async_drain([&] { ++ends; });
        if (turns % 5 == 0) ++wanted, balancer->async_close([&] { ++ends; });
        for (int i = 0; i < turns; ++i) loop.run_one_for(milliseconds(1));
        balancer.reset();
        const auto over = [&] {
            return ends == wanted &&
                   std::all_of(endings.begin(), endings.end(), [](const auto& e) { return e->over(); });
        };
        ASSERT_TRUE(standins::run_until(loop, over)) << turns;
        for (const auto& ending : endings) EXPECT_EQ(ending->times, 1) << turns;
    }
}

class Ends : public Rig {};

TEST_F(Ends, DrainAnswersWhatIsOpenAndTakesNothingMore) {
    add_node(working(milliseconds(30)));
    Balancer balancer(loop.get_executor(), options());
    const auto open = begin(balancer, check_in());
    ASSERT_TRUE(until([&] { return nodes[0]->counts().started > 0; }));
    int drained = 0, closed = 0;
    balancer.async_drain([&] {
        ++drained;
        EXPECT_TRUE(open->over());
    });
    balancer.async_drain([&] { ++drained; });
    const auto late = begin(balancer, check_in());
    ASSERT_TRUE(until([&] { return drained == 2; }));
    EXPECT_EQ(open->result.verdict, CallVerdict::served);
    EXPECT_EQ(late->result.cause, CallCause::closed);
    EXPECT_FALSE(late->result.may_have_run);
    balancer.async_drain([&] { ++drained; });  // at once, as there is nothing left
    balancer.async_close([&] { ++closed; });
    ASSERT_TRUE(until([&] { return drained == 3 && closed == 1; }));
    EXPECT_EQ(nodes[0]->counts().started, 1U);
    EXPECT_EQ(balancer.figures().open, 0U);
    EXPECT_EQ(balancer.figures().served, 1U);
}

// Closing knows what the core knows: what was out and was turned away has not run.
TEST_F(Ends, CloseTellsWhatMayHaveRun) {
    Balancer& balancer = serving("never,class=check-in,times=1");
    const auto sent = begin(balancer, check_in());
    ASSERT_TRUE(struck());
    int closed = 0;
    const auto fresh = begin(balancer, check_in());
    balancer.async_close([&] { ++closed; });
    ASSERT_TRUE(until([&] { return closed == 1; }));
    EXPECT_EQ(sent->result.cause, CallCause::closed);
    EXPECT_TRUE(sent->result.may_have_run);
    EXPECT_EQ(fresh->result.cause, CallCause::closed);
    EXPECT_FALSE(fresh->result.may_have_run);
    EXPECT_EQ(runs_of(fresh->result.id), 0U);
}

// Bytes of it were out, but it was turned away and waits for another try: the core knows that it has not run.
TEST_F(Ends, CloseBetweenTwoAttempts) {
    add_node();
    fault(*nodes[0], "turn_away");
    BalancerOptions its = options();
    its.settings.max_attempts = 1000;
    Balancer balancer(loop.get_executor(), its);
    const auto open = begin(balancer, check_in());
    ASSERT_TRUE(until([&] { return nodes[0]->count_of(Kind::turned_away) > 0; }));
    settle();
    if (open->over()) GTEST_SKIP() << "the module had no further use for it";
    bool closed = false;
    balancer.async_close([&] { closed = true; });
    ASSERT_TRUE(until([&] { return closed && open->over(); }));
    EXPECT_EQ(open->result.cause, CallCause::closed);
    EXPECT_FALSE(open->result.may_have_run);
    EXPECT_EQ(effects->counts().ran, 0U);
}

// A drain's deadline passes with a call open: it ends all the same, once.
TEST_F(Ends, DestroyedWhileItDrains) {
    add_node();
    fault(*nodes[0], "never");
    std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options());
    const auto open = begin(*balancer, check_in());
    ASSERT_TRUE(struck());
    int drained = 0;
    balancer->async_drain([&] { ++drained; });
    settle();
    EXPECT_EQ(drained, 0);
    balancer.reset();
    ASSERT_TRUE(until([&] { return drained > 0 && open->over(); }));
    EXPECT_EQ(drained, 1);
    EXPECT_EQ(open->times, 1);
    EXPECT_EQ(open->result.cause, CallCause::closed);
    EXPECT_TRUE(open->result.may_have_run);
}

}  // namespace
}  // namespace flaxdoor::test
