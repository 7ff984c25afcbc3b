// Destruction and shutdown of an instance with open calls in every stage. The instance is destroyed on its
// own executor, within a handler or elsewhere; its loop then runs on, never runs again, or was destroyed
// first. The address sanitizer finds accesses to destroyed objects.
#include <functional>
#include <thread>

#include "rig.h"

namespace flaxdoor::test {
namespace {

enum class Stage { new_, waiting, connecting, partly_written, written, partly_answered, done };
constexpr Stage stages[] = {Stage::new_,    Stage::waiting,         Stage::connecting, Stage::partly_written,
                            Stage::written, Stage::partly_answered, Stage::done};

// One loop with one instance and three calls that have reached a stage. Their handlers run on that loop, on
// another loop, and on a strand of the other loop.
class CallsAtStage {
public:
    explicit CallsAtStage(Stage stage) : stage_(stage), loop_(std::make_unique<asio::io_context>(1)) {
        // Enough upstreams that each call finds an idle one.
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
            auto completion = std::make_shared<Completion>();
            completions.push_back(completion);
            if (i == 0) balancer->async_call(request, owning_handler(completion));
            if (i == 1) balancer->async_call(request, asio::bind_executor(other, owning_handler(completion)));
            if (i == 2)
                balancer->async_call(
                    request, asio::bind_executor(asio::make_strand(other), owning_handler(completion)));
            wait_for_stage(i + 1);
        }
    }
    ~CallsAtStage() {
        balancer.reset();
        completions.clear();
    }

    asio::io_context& loop() { return *loop_; }
    void end_loop() { loop_.reset(); }
    void run_nodes() {
        nodes_loop_->poll();
        nodes_loop_->restart();
    }
    // Runs the loop, and that of the stand-ins, until it has no more work. Returns false after 20 s.
    bool run_until_out_of_work() {
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
    asio::io_context other;  // the loop of handlers that are not bound to loop()
    std::vector<CompletionPointer> completions;

private:
    // A handler that owns memory, so that the sanitizer finds a lost or a repeated move.
    std::function<void(CallResult)> owning_handler(const CompletionPointer& completion) {
        return [completion, owned = std::make_shared<std::string>(100, 'x')](CallResult result) {
            EXPECT_EQ(owned->size(), 100U);
            record_into(completion)(std::move(result));
        };
    }
    void wait_for_stage(std::size_t calls) {
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        for (int turns = 0; turns < 5;) {
            ASSERT_LT(std::chrono::steady_clock::now(), end) << static_cast<int>(stage_);
            if (stage_ == Stage::new_) return;
            loop_->run_one_for(milliseconds(1));
            run_nodes();
            turns += has_reached_stage(calls);
        }
    }
    bool has_reached_stage(std::size_t calls) {
        std::size_t reached = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (stage_ == Stage::partly_written) reached += deaf_[i]->accepted();
            if (stage_ == Stage::done) reached += nodes_[i]->counts().answered;
            if (stage_ == Stage::written || stage_ == Stage::partly_answered)
                reached += nodes_[i]->count_of(Kind::fault);
        }
        return stage_ == Stage::waiting || stage_ == Stage::connecting || reached == calls;
    }

    Stage stage_;
    int lines_ = 0;
    std::unique_ptr<asio::io_context> nodes_loop_ = std::make_unique<asio::io_context>(1);
    std::vector<std::unique_ptr<BookingNode>> nodes_;
    std::vector<std::unique_ptr<DeafPeer>> deaf_;
    std::unique_ptr<asio::io_context> loop_;
};

void expect_ended(const Completion& completion, Stage stage) {
    EXPECT_EQ(completion.times, 1);
    if (stage == Stage::done) {
        EXPECT_EQ(completion.result.verdict, CallVerdict::served);
        return;
    }
    EXPECT_EQ(completion.result.verdict, CallVerdict::failed);
    EXPECT_EQ(completion.result.cause, CallCause::closed);
    EXPECT_EQ(completion.result.may_have_run, stage >= Stage::partly_written);
    EXPECT_FALSE(completion.result.id.empty());
}

// A way in which an instance is destroyed.
struct Destruction {
    const char* name;
    std::function<void(CallsAtStage&)> destroy;
    bool loop_runs_on;  // the loop is run afterwards; else it is destroyed, too
};

void destroy_within_a_handler(CallsAtStage& calls) {
    calls.balancer->async_call(call("none"), [&calls](CallResult result) {
        EXPECT_EQ(result.cause, CallCause::bad_request);
        calls.balancer.reset();
    });
}

// Handlers of other executors run in any case. Handlers of a destroyed loop are destroyed with it without
// running, as Asio does with all work of a loop.
TEST(Lifetime, EachHandlerRunsOnceHoweverTheInstanceEnds) {
    for (const Destruction& destruction :
         {Destruction{"destroyed", [](CallsAtStage& calls) { calls.balancer.reset(); }, true},
          Destruction{
              "destroyed on its executor",
              [](CallsAtStage& calls) { asio::post(calls.loop(), [&calls] { calls.balancer.reset(); }); },
              true},
          Destruction{"destroyed within a handler", destroy_within_a_handler, true},
          Destruction{"destroyed, the loop never run again",
                      [](CallsAtStage& calls) { calls.balancer.reset(); }, false},
          Destruction{"its loop destroyed first", [](CallsAtStage& calls) { calls.end_loop(); }, false}}) {
        for (const Stage stage : stages) {
            SCOPED_TRACE(std::string(destruction.name) + ", stage " +
                         std::to_string(static_cast<int>(stage)));
            CallsAtStage calls(stage);
            destruction.destroy(calls);
            const int lines = calls.lines();
            if (destruction.loop_runs_on) {
                EXPECT_TRUE(calls.run_until_out_of_work()) << "the instance keeps the loop at work";
                EXPECT_FALSE(calls.balancer);
            }
            calls.other.run();
            expect_ended(*calls.completions[1], stage);
            expect_ended(*calls.completions[2], stage);
            if (destruction.loop_runs_on) {
                expect_ended(*calls.completions[0], stage);
            } else {
                const std::weak_ptr<Completion> remaining = std::exchange(calls.completions[0], nullptr);
                calls.end_loop();
                EXPECT_TRUE(remaining.expired()) << "the handler was not destroyed";
            }
            if (std::string_view(destruction.name) == "destroyed") {
                EXPECT_EQ(calls.lines(), lines) << "a sink was called after the destruction";
            }
        }
    }
}

// The same for an instance on a strand, whose state belongs to the loop, too. A deferred call, a drain and a
// cancellation signal outlive the loop.
TEST(Lifetime, TheLoopOfAStrandIsDestroyedFirst) {
    asio::io_context handler_loop;
    asio::cancellation_signal signal;
    auto loop = std::make_unique<asio::io_context>();
    std::optional<Balancer> balancer(std::in_place, asio::make_strand(*loop), options_for({"127.0.0.1:1"}));
    const auto completion = std::make_shared<Completion>();
    const auto late = std::make_shared<Completion>();
    int drained = 0;
    balancer->async_call(
        check_in(), asio::bind_cancellation_slot(signal.slot(),
                                                 asio::bind_executor(handler_loop, record_into(completion))));
    balancer->async_drain(asio::bind_executor(handler_loop, [&] { ++drained; }));
    auto deferred = balancer->async_call(check_in(), asio::deferred);
    loop.reset();
    signal.emit(asio::cancellation_type::terminal);
    std::move(deferred)(asio::bind_executor(handler_loop, record_into(late)));
    handler_loop.run();
    EXPECT_EQ(completion->times, 1);
    EXPECT_EQ(drained, 1);
    EXPECT_EQ(late->result.cause, CallCause::closed);
    balancer.reset();
}

// The instance is destroyed between any two handlers of the loop, also while connections have been
// established whose handlers wait to run. A call that was reported as not executed must not be sent
// afterwards.
TEST(Lifetime, CallReportedAsNotExecutedIsNeverSent) {
    constexpr std::size_t calls = 6;
    int not_executed = 0, sent = 0;
    for (int steps = 0; steps < 40; ++steps) {
        asio::io_context loop(1), nodes_loop(1);
        std::vector<std::unique_ptr<BookingNode>> nodes;
        std::vector<std::string> addresses;
        BookingNode::Settings node_settings;
        node_settings.effects = std::make_shared<standins::Effects>();
        for (std::size_t i = 0; i < calls; ++i) {
            nodes.push_back(std::make_unique<BookingNode>(nodes_loop, node_settings));
            addresses.push_back(text_of(nodes.back()->address()));
        }
        std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options_for(addresses));
        std::vector<CompletionPointer> completions;
        for (std::size_t i = 0; i < calls; ++i) {
            completions.push_back(std::make_shared<Completion>());
            balancer->async_call(check_in(), record_into(completions.back()));
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
        while (nodes_loop.poll() > 0) {  // accepts the remaining connections
        }
        for (const auto& completion : completions) {
            ASSERT_EQ(completion->times, 1);
            const auto* const record = node_settings.effects->find(completion->result.id);
            if (completion->result.may_have_run) {
                ++sent;
            } else {
                ++not_executed;
                EXPECT_TRUE(!record || record->attempts == 0) << "after " << steps << " steps";
            }
        }
    }
    EXPECT_GT(not_executed, 0);
    EXPECT_GT(sent, 0);
}

// Work that is pending when the destructor begins must not call a sink of the host.
TEST(Lifetime, NoSinkIsCalledAfterDestruction) {
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

// Destruction after any number of loop iterations, with timers due and connections in every state.
TEST(Lifetime, DestroyedAtAnyLoopIteration) {
    for (int turns = 0; turns < 60; ++turns) {
        asio::io_context loop(1);
        BookingNode node(loop, {});
        BalancerOptions options = options_for({text_of(node.address()), "127.0.0.1:1"}, 7);
        options.listen = "127.0.0.1:0";
        options.figures_every = milliseconds(1);
        std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options);
        std::vector<CompletionPointer> completions;
        int completed_ends = 0, started_ends = 0;
        for (int i = 0; i < 4; ++i) {
            completions.push_back(std::make_shared<Completion>());
            balancer->async_call(i % 2 ? check_in() : look(milliseconds(40)),
                                 record_into(completions.back()));
        }
        tcp::socket client(loop);
        boost::system::error_code error;
        client.connect({asio::ip::address_v4::loopback(),
                        static_cast<std::uint16_t>(std::stoi(balancer->address().substr(10)))},
                       error);
        if (turns % 3 == 0) ++started_ends, balancer->async_drain([&] { ++completed_ends; });
        if (turns % 5 == 0) ++started_ends, balancer->async_close([&] { ++completed_ends; });
        for (int i = 0; i < turns; ++i) loop.run_one_for(milliseconds(1));
        balancer.reset();
        const auto all_completed = [&] {
            return completed_ends == started_ends &&
                   std::all_of(completions.begin(), completions.end(),
                               [](const auto& completion) { return completion->completed(); });
        };
        ASSERT_TRUE(standins::run_until(loop, all_completed)) << turns;
        for (const auto& completion : completions) EXPECT_EQ(completion->times, 1) << turns;
    }
}

class Shutdown : public LibraryTest {};

TEST_F(Shutdown, DrainAnswersOpenCallsAndAcceptsNoMore) {
    add_node(working(milliseconds(30)));
    Balancer balancer(loop.get_executor(), options());
    const auto open = start_call(balancer, check_in());
    ASSERT_TRUE(wait_until([&] { return nodes[0]->counts().started > 0; }));
    int drained = 0, closed = 0;
    balancer.async_drain([&] {
        ++drained;
        EXPECT_TRUE(open->completed());
    });
    balancer.async_drain([&] { ++drained; });
    const auto late = start_call(balancer, check_in());
    ASSERT_TRUE(wait_until([&] { return drained == 2; }));
    EXPECT_EQ(open->result.verdict, CallVerdict::served);
    EXPECT_EQ(late->result.cause, CallCause::closed);
    EXPECT_FALSE(late->result.may_have_run);
    balancer.async_drain([&] { ++drained; });  // completes at once, since nothing is open
    balancer.async_close([&] { ++closed; });
    ASSERT_TRUE(wait_until([&] { return drained == 3 && closed == 1; }));
    EXPECT_EQ(nodes[0]->counts().started, 1U);
    EXPECT_EQ(balancer.figures().open, 0U);
    EXPECT_EQ(balancer.figures().served, 1U);
}

// A call that was sent may have been executed; one that was not sent has not been.
TEST_F(Shutdown, CloseReportsWhatMayHaveRun) {
    Balancer& balancer = make_balancer("never,class=check-in,times=1");
    const auto sent = start_call(balancer, check_in());
    ASSERT_TRUE(wait_for_fault());
    int closed = 0;
    const auto fresh = start_call(balancer, check_in());
    balancer.async_close([&] { ++closed; });
    ASSERT_TRUE(wait_until([&] { return closed == 1; }));
    EXPECT_EQ(sent->result.cause, CallCause::closed);
    EXPECT_TRUE(sent->result.may_have_run);
    EXPECT_EQ(fresh->result.cause, CallCause::closed);
    EXPECT_FALSE(fresh->result.may_have_run);
    EXPECT_EQ(runs_of(fresh->result.id), 0U);
}

// The call was sent, but the upstream rejected it, and it waits for a retry: it has not been executed.
TEST_F(Shutdown, CloseBetweenTwoAttempts) {
    add_node();
    fault(*nodes[0], "turn_away");
    BalancerOptions balancer_options = options();
    balancer_options.settings.max_attempts = 1000;
    Balancer balancer(loop.get_executor(), balancer_options);
    const auto open = start_call(balancer, check_in());
    ASSERT_TRUE(wait_until([&] { return nodes[0]->count_of(Kind::turned_away) > 0; }));
    run_ready();
    if (open->completed()) GTEST_SKIP() << "the decision module gave the call up";
    bool closed = false;
    balancer.async_close([&] { closed = true; });
    ASSERT_TRUE(wait_until([&] { return closed && open->completed(); }));
    EXPECT_EQ(open->result.cause, CallCause::closed);
    EXPECT_FALSE(open->result.may_have_run);
    EXPECT_EQ(effects->counts().ran, 0U);
}

// Destruction during a drain, with a call open: the drain and the call each complete once.
TEST_F(Shutdown, DestroyedWhileDraining) {
    add_node();
    fault(*nodes[0], "never");
    std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options());
    const auto open = start_call(*balancer, check_in());
    ASSERT_TRUE(wait_for_fault());
    int drained = 0;
    balancer->async_drain([&] { ++drained; });
    run_ready();
    EXPECT_EQ(drained, 0);
    balancer.reset();
    ASSERT_TRUE(wait_until([&] { return drained > 0 && open->completed(); }));
    EXPECT_EQ(drained, 1);
    EXPECT_EQ(open->times, 1);
    EXPECT_EQ(open->result.cause, CallCause::closed);
    EXPECT_TRUE(open->result.may_have_run);
}

}  // namespace
}  // namespace flaxdoor::test
