// Handlers that throw, start the next call or block, and executors that throw.
#include <optional>
#include <stdexcept>
#include <thread>

#include "rig.h"

namespace flaxdoor::test {
namespace {

class Handlers : public LibraryTest {};

// The exception of a handler propagates to the code that runs its executor. Other calls are unaffected.
TEST_F(Handlers, HandlerThrows) {
    Balancer& balancer = make_balancer();
    int times = 0;
    for (int i = 0; i < 3; ++i) {
        balancer.async_call(call("none"), [&](CallResult) {
            ++times;
            throw std::runtime_error("the host's own");
        });
    }
    const auto other_call = start_call(balancer, check_in());
    int caught = 0;
    while (!other_call->completed() || times < 3) {
        try {
            ASSERT_TRUE(wait_until([&] { return other_call->completed() && times == 3; }));
        } catch (const std::runtime_error& error) {
            EXPECT_STREQ(error.what(), "the host's own");
            ++caught;
        }
    }
    EXPECT_EQ(caught, 3);
    EXPECT_EQ(other_call->result.verdict, CallVerdict::served);
    expect_served(balancer, check_in());
    EXPECT_EQ(balancer.figures().faults, 0U);
}

// Each handler starts the next call. Neither the stack nor the instance's state may grow.
TEST_F(Handlers, EachHandlerStartsTheNextCall) {
    BookingNode::Settings node_settings;
    node_settings.detail = standins::Detail::counts;
    effects = std::make_shared<standins::Effects>(standins::Detail::counts);
    add_node(node_settings);
    BalancerOptions options = this->options();
    options.figures_every = milliseconds(1);
    Balancer balancer(loop.get_executor(), options);
    int remaining = 10'000;
    int depth = 0, deepest = 0;
    const char* lowest = nullptr;
    const char* highest = nullptr;
    std::function<void(CallResult)> next = [&](CallResult result) {
        const char stack_variable = 0;
        const char* const address = &stack_variable;
        if (!lowest || address < lowest) lowest = address;
        if (!highest || address > highest) highest = address;
        deepest = std::max(deepest, ++depth);
        EXPECT_TRUE(result.verdict == CallVerdict::served || result.cause == CallCause::bad_request);
        // Every other call is invalid, so it ends at once and reaches no upstream.
        if (--remaining > 0) balancer.async_call(remaining % 2 ? look() : call("none"), next);
        --depth;
    };
    balancer.async_call(look(), next);
    ASSERT_TRUE(standins::run_until(
        loop, [&] { return remaining == 0; }, seconds(60)));
    EXPECT_EQ(deepest, 1);
    EXPECT_LT(highest - lowest, 64 * 1024);
    expect_served(balancer, look());
    // A connection rests after each answer, so a chain of calls goes round several.
    EXPECT_LE(nodes[0]->counts().accepted, 500U) << "nine calls in ten reuse a connection";
    EXPECT_LE(balancer.figures().open, 2U);
}

// An exception of a sink is dropped: construction, calls and the drain succeed.
TEST_F(Handlers, SinkThrows) {
    add_node();
    BalancerOptions balancer_options = options();
    balancer_options.figures_every = milliseconds(1);
    int lines = 0, figures = 0;
    balancer_options.log = [&](std::string_view, std::string_view) {
        ++lines;
        throw std::runtime_error("the log is full");
    };
    balancer_options.figures = [&](std::string_view, const BalancerFigures&) {
        ++figures;
        throw std::runtime_error("the figures sink failed");
    };
    std::optional<Balancer> balancer;
    ASSERT_NO_THROW(balancer.emplace(loop.get_executor(), balancer_options));
    balancer_options.settings.max_attempts = 2;
    balancer->reconfigure(balancer_options);
    const auto completion = start_call(*balancer, look());
    ASSERT_NO_THROW(wait_until([&] { return completion->completed() && figures > 3; }));
    EXPECT_EQ(completion->result.verdict, CallVerdict::served) << text_of(completion->result);
    bool drained = false;
    balancer->async_drain([&] { drained = true; });
    ASSERT_NO_THROW(wait_until([&] { return drained; }));
    EXPECT_GT(lines, 0);
}

// An executor that throws once refuse(true) has been called, as one does whose queue or memory is exhausted.
class RefusingExecutor {
public:
    explicit RefusingExecutor(asio::io_context& loop) : loop_(&loop) {}
    void refuse(bool refuses) { *refuses_ = refuses; }

    bool operator==(const RefusingExecutor& other) const noexcept { return refuses_ == other.refuses_; }
    bool operator!=(const RefusingExecutor& other) const noexcept { return !(*this == other); }
    asio::execution_context& query(asio::execution::context_t) const noexcept { return *loop_; }
    static constexpr asio::execution::blocking_t query(asio::execution::blocking_t) noexcept {
        return asio::execution::blocking.never;
    }
    RefusingExecutor require(asio::execution::blocking_t::never_t) const { return *this; }
    template <typename Work>
    void execute(Work work) const {
        if (*refuses_) throw std::runtime_error("the executor is full");
        asio::post(*loop_, std::move(work));
    }

private:
    asio::io_context* loop_;
    std::shared_ptr<bool> refuses_ = std::make_shared<bool>(false);
};

// Handlers whose executor throws are lost. Other handlers still run, and the host's loop sees no exception.
TEST_F(Handlers, HandlerExecutorThrows) {
    add_node();
    BalancerOptions balancer_options = options();
    std::string lines;
    balancer_options.log = [&](std::string_view, std::string_view line) { lines += line; };
    Balancer balancer(loop.get_executor(), balancer_options);
    RefusingExecutor refusing(loop);
    balancer.async_call(look(), asio::bind_executor(refusing, [](CallResult) { FAIL(); }));
    balancer.async_call(call("none"), asio::bind_executor(refusing, [](CallResult) { FAIL(); }));
    const auto other_call = start_call(balancer, check_in());
    balancer.async_drain(asio::bind_executor(refusing, [] { FAIL(); }));
    bool drained = false;
    balancer.async_drain([&] { drained = true; });
    refusing.refuse(true);
    ASSERT_NO_THROW(wait_until([&] { return other_call->completed() && drained; }));
    EXPECT_EQ(other_call->times, 1);
    EXPECT_TRUE(drained);
    EXPECT_NE(lines.find("a handler could not be posted"), std::string::npos) << lines;
}

// If the instance's executor throws, async_call throws, and the handler is never called.
TEST_F(Handlers, InstanceExecutorThrows) {
    add_node();
    RefusingExecutor refusing(loop);
    asio::io_context handler_loop;
    const auto completion = std::make_shared<Completion>();
    {
        Balancer balancer(refusing, options());
        refusing.refuse(true);
        EXPECT_THROW(
            balancer.async_call(check_in(), asio::bind_executor(handler_loop, record_into(completion))),
            std::runtime_error);
        refusing.refuse(false);
        expect_served(balancer, check_in());
    }
    handler_loop.poll();
    EXPECT_EQ(completion->times, 0);
    EXPECT_EQ(completion.use_count(), 1) << "the handler was not destroyed";
}

// Calls beyond BalancerOptions::open_calls are refused and not executed.
TEST_F(Handlers, OpenCallLimit) {
    add_node();
    BalancerOptions balancer_options = options();
    balancer_options.open_calls = 10;
    Balancer balancer(loop.get_executor(), balancer_options);
    std::vector<CompletionPointer> all;
    for (int i = 0; i < 30; ++i) all.push_back(start_call(balancer, check_in()));
    std::size_t served = 0, refused_locally = 0;
    ASSERT_TRUE(wait_for_completion(all));
    for (const auto& completion : all) {
        served += completion->result.verdict == CallVerdict::served;
        if (completion->result.verdict == CallVerdict::served) continue;
        EXPECT_EQ(completion->result.verdict, CallVerdict::refused) << text_of(completion->result);
        EXPECT_FALSE(completion->result.may_have_run);
        EXPECT_EQ(runs_of(completion->result.id), 0U);
        refused_locally += completion->result.cause == CallCause::own_shortage;
    }
    EXPECT_EQ(refused_locally, 20U);
    EXPECT_GT(served, 0U);
    expect_served(balancer, check_in());
}

// The limit also bounds calls that wait for a busy loop: further ones are refused at once.
TEST_F(Handlers, OpenCallLimitWhileTheLoopIsBusy) {
    add_node();
    BalancerOptions balancer_options = options();
    balancer_options.open_calls = 10;
    Balancer balancer(loop.get_executor(), balancer_options);
    asio::io_context handler_loop;
    int refused = 0;
    for (int i = 0; i < 1000; ++i) {
        balancer.async_call(check_in(), asio::bind_executor(handler_loop, [&](CallResult result) {
                                refused += result.cause == CallCause::own_shortage;
                            }));
    }
    handler_loop.poll();
    EXPECT_EQ(refused, 990);
    ASSERT_TRUE(wait_until([&] {
        handler_loop.poll();
        return handler_loop.stopped();
    }));
    EXPECT_EQ(refused, 990);
}

}  // namespace
}  // namespace flaxdoor::test
