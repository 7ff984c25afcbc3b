// What handlers may do: throw, start the next call, take their time.
#include <optional>
#include <stdexcept>
#include <thread>

#include "rig.h"

namespace flaxdoor::test {
namespace {

class Handlers : public Rig {};

// What it throws goes to whoever runs the executor; nothing else is hurt.
TEST_F(Handlers, OneThrows) {
    Balancer& balancer = serving();
    int times = 0;
    for (int i = 0; i < 3; ++i) {
        balancer.async_call(call("none"), [&](CallResult) {
            ++times;
            throw std::runtime_error("the host's own");
        });
    }
    const auto beside = begin(balancer, check_in());
    int met = 0;
    while (!beside->over() || times < 3) {
        try {
            ASSERT_TRUE(until([&] { return beside->over() && times == 3; }));
        } catch (const std::runtime_error& error) {
            EXPECT_STREQ(error.what(), "the host's own");
            ++met;
        }
    }
    EXPECT_EQ(met, 3);
    EXPECT_EQ(beside->result.verdict, CallVerdict::served);
    expect_served(balancer, check_in());
    EXPECT_EQ(balancer.figures().faults, 0U);
}

// Each starts the next one: the stack stays as it is, and so does what is held.
TEST_F(Handlers, EachStartsTheNextTenThousandTimes) {
    BookingNode::Settings its;
    its.detail = standins::Detail::counts;
    effects = std::make_shared<standins::Effects>(standins::Detail::counts);
    add_node(its);
    BalancerOptions options = this->options();
    options.figures_every = milliseconds(1);
    Balancer balancer(loop.get_executor(), options);
    int left = 10'000;
    int depth = 0, deepest = 0;
    const char* lowest = nullptr;
    const char* highest = nullptr;
    std::function<void(CallResult)> next = [&](CallResult result) {
        const char here = 0;
        const char* const at = &here;
        if (!lowest || at < lowest) lowest = at;
        if (!highest || at > highest) highest = at;
        deepest = std::max(deepest, ++depth);
        EXPECT_TRUE(result.verdict == CallVerdict::served || result.cause == CallCause::bad_request);
        // Every other one ends at once, without a server.
        if (--left > 0) balancer.async_call(left % 2 ? look() : call("none"), next);
        --depth;
    };
    balancer.async_call(look(), next);
    ASSERT_TRUE(standins::run_until(
        loop, [&] { return left == 0; }, seconds(60)));
    EXPECT_EQ(deepest, 1);
    EXPECT_LT(highest - lowest, 64 * 1024);
    expect_served(balancer, look());
    EXPECT_LE(nodes[0]->counts().accepted, 4U) << "connections are kept";
    EXPECT_LE(balancer.figures().open, 2U);
}

// A sink that throws has lost its line: no call, no construction and no end pays for it.
TEST_F(Handlers, ASinkThrows) {
    add_node();
    BalancerOptions its = options();
    its.figures_every = milliseconds(1);
    int lines = 0, figures = 0;
    its.log = [&](std::string_view, std::string_view) {
        ++lines;
        throw std::runtime_error("the log is full");
    };
    its.figures = [&](std::string_view, const BalancerFigures&) {
        ++figures;
        throw std::runtime_error("nobody counts");
    };
    std::optional<Balancer> balancer;
    ASSERT_NO_THROW(balancer.emplace(loop.get_executor(), its));
    its.settings.max_attempts = 2;
    balancer->reconfigure(its);
    const auto ending = begin(*balancer, look());
    ASSERT_NO_THROW(until([&] { return ending->over() && figures > 3; }));
    EXPECT_EQ(ending->result.verdict, CallVerdict::served) << text_of(ending->result);
    bool drained = false;
    balancer->async_drain([&] { drained = true; });
    ASSERT_NO_THROW(until([&] { return drained; }));
    EXPECT_GT(lines, 0);
}

// Takes work until it is told to refuse, as one whose memory or queue is full.
class Refusing {
public:
    explicit Refusing(asio::io_context& loop) : loop_(&loop) {}
    void refuse(bool does) { *refuses_ = does; }

    bool operator==(const Refusing& other) const noexcept { return refuses_ == other.refuses_; }
    bool operator!=(const Refusing& other) const noexcept { return !(*this == other); }
    asio::execution_context& query(asio::execution::context_t) const noexcept { return *loop_; }
    static constexpr asio::execution::blocking_t query(asio::execution::blocking_t) noexcept {
        return asio::execution::blocking.never;
    }
    Refusing require(asio::execution::blocking_t::never_t) const { return *this; }
    template <typename Work>
    void execute(Work work) const {
        if (*refuses_) throw std::runtime_error("the executor is full");
        asio::post(*loop_, std::move(work));
    }

private:
    asio::io_context* loop_;
    std::shared_ptr<bool> refuses_ = std::make_shared<bool>(false);
};

// One handler whose executor takes nothing costs no other its end, and the host's loop nothing.
TEST_F(Handlers, AnExecutorRefusesOne) {
    add_node();
    BalancerOptions its = options();
    std::string lines;
    its.log = [&](std::string_view, std::string_view line) { lines += line; };
    Balancer balancer(loop.get_executor(), its);
    Refusing full(loop);
    balancer.async_call(look(), asio::bind_executor(full, [](CallResult) { FAIL(); }));
    balancer.async_call(call("none"), asio::bind_executor(full, [](CallResult) { FAIL(); }));
    const auto beside = begin(balancer, check_in());
    balancer.async_drain(asio::bind_executor(full, [] { FAIL(); }));
    bool drained = false;
    balancer.async_drain([&] { drained = true; });
    full.refuse(true);
    ASSERT_NO_THROW(until([&] { return beside->over() && drained; }));
    EXPECT_EQ(beside->times, 1);
    EXPECT_TRUE(drained);
    EXPECT_NE(lines.find("a handler could not be posted"), std::string::npos) << lines;
}

// The instance's own executor takes nothing: async_call throws, so its handler is not called as well, then or
// at the end.
TEST_F(Handlers, TheInstancesExecutorRefuses) {
    add_node();
    Refusing full(loop);
    asio::io_context other;
    const auto ending = std::make_shared<Ending>();
    {
        Balancer balancer(full, options());
        full.refuse(true);
        EXPECT_THROW(balancer.async_call(check_in(), asio::bind_executor(other, into(ending))),
                     std::runtime_error);
        full.refuse(false);
        expect_served(balancer, check_in());
    }
    other.poll();
    EXPECT_EQ(ending->times, 0);
    EXPECT_EQ(ending.use_count(), 1) << "nothing is kept of it";
}

// More at once than may be open: the rest is refused, and what is held stays within it.
TEST_F(Handlers, TooManyAtOnce) {
    add_node();
    BalancerOptions its = options();
    its.open_calls = 10;
    Balancer balancer(loop.get_executor(), its);
    std::vector<EndingPointer> all;
    for (int i = 0; i < 30; ++i) all.push_back(begin(balancer, check_in()));
    std::size_t served = 0, own = 0;
    ASSERT_TRUE(over(all));
    for (const auto& ending : all) {
        served += ending->result.verdict == CallVerdict::served;
        if (ending->result.verdict == CallVerdict::served) continue;
        EXPECT_EQ(ending->result.verdict, CallVerdict::refused) << text_of(ending->result);
        EXPECT_FALSE(ending->result.may_have_run);
        EXPECT_EQ(runs_of(ending->result.id), 0U);
        own += ending->result.cause == CallCause::own_shortage;
    }
    EXPECT_EQ(own, 20U);
    EXPECT_GT(served, 0U);
    expect_served(balancer, check_in());
}

// They are refused at once, also while the instance's own thread is busy elsewhere: what waits for it is
// bounded.
TEST_F(Handlers, TooManyWhileTheLoopIsBusy) {
    add_node();
    BalancerOptions its = options();
    its.open_calls = 10;
    Balancer balancer(loop.get_executor(), its);
    asio::io_context other;
    int refused = 0;
    for (int i = 0; i < 1000; ++i) {
        balancer.async_call(check_in(), asio::bind_executor(other, [&](CallResult result) {
                                refused += result.cause == CallCause::own_shortage;
                            }));
    }
    other.poll();
    EXPECT_EQ(refused, 990);
    ASSERT_TRUE(until([&] {
        other.poll();
        return other.stopped();
    }));
    EXPECT_EQ(refused, 990);
}

}  // namespace
}  // namespace flaxdoor::test
