// Random hosts: several threads make calls, cancel them, change server lists and settings, drain, close and
// destroy instances, against stand-ins with faults. Every result is checked against the stand-ins' record of
// what they executed. FLAXDOOR_SEEDS=1000 runs more seeds, FLAXDOOR_SEED=17 a single one.
#include <atomic>
#include <cstdlib>
#include <mutex>
#include <random>

#include "fleet.h"

namespace flaxdoor::test {
namespace {

// A call, and the result that its handler received.
struct RecordedCall {
    std::atomic<int> times = 0;
    CallResult result;
    std::string class_name;
    std::string key;
};

class Host {
public:
    explicit Host(std::uint64_t seed) : seed_(seed), random_(seed), fleet_(3, node_settings(random_)) {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (draw(3) > 0) fleet_.fault(i, fault());
            if (draw(3) == 0) fleet_.fault(i, fault());
        }
    }

    void run() {
        asio::thread_pool pool(2);
        LoopThread loop;
        const bool on_strand = draw(2) == 0;
        std::vector<std::shared_ptr<Balancer>> balancers;
        for (std::uint64_t i = 0; i < 1 + draw(2); ++i) {
            const asio::any_io_executor executor = on_strand
                                                       ? asio::any_io_executor(asio::make_strand(pool))
                                                       : asio::any_io_executor(loop.get().get_executor());
            balancers.push_back(std::make_shared<Balancer>(executor, options(seed_ * 16 + i)));
        }
        std::vector<std::thread> threads;
        for (std::uint64_t t = 0; t < 3; ++t) {
            threads.emplace_back(
                [this, &pool, own_references = balancers, thread_seed = seed_ * 31 + t]() mutable {
                    std::mt19937_64 random(thread_seed);
                    for (int i = 0; i < steps; ++i) {
                        auto& balancer = own_references[random() % own_references.size()];
                        if (balancer) step(*balancer, random, pool);
                        // The thread that releases the last reference destroys the instance.
                        if (random() % 100 == 0) balancer.reset();
                    }
                });
        }
        if (draw(2) == 0) balancers.clear();
        for (auto& thread : threads) thread.join();
        balancers.clear();
        loop.finish();
        pool.join();
    }

    void check_results() {
        fleet_.run_on_loop([](Fleet& stand_ins) {
            for (std::size_t i = 0; i < stand_ins.size(); ++i) {
                stand_ins.node(i).clear_faults();
                stand_ins.node(i).listen();
            }
            return 0;
        });
        ASSERT_TRUE(fleet_.wait_until_idle()) << "seed " << seed_;
        fleet_.run_on_loop([this](Fleet& stand_ins) {
            for (const auto& recorded : calls_) check(*recorded, stand_ins.effects());
            EXPECT_EQ(stand_ins.effects().counts().unsafe_again, 0U) << "seed " << seed_;
            EXPECT_EQ(stand_ins.effects().counts().key_again, 0U) << "seed " << seed_;
            return 0;
        });
    }
    std::size_t served() const { return served_; }
    std::size_t not_executed() const { return not_executed_; }

private:
    static constexpr int steps = 40;

    std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    static BookingNode::Settings node_settings(std::mt19937_64& random) {
        BookingNode::Settings settings;
        settings.workers = 1 + random() % 8;
        settings.queue_most = random() % 8;
        settings.work.mean = std::chrono::microseconds(random() % 4000);
        settings.work.shape = standins::Work::Shape::exponential;
        return settings;
    }
    std::string fault() {
        static constexpr const char* specs[] = {"after_last_byte,end=rst",
                                                "after_last_byte,end=fin",
                                                "never",
                                                "never,run=0",
                                                "after_work,end=rst",
                                                "after_work,end=fin",
                                                "noise=40",
                                                "after_head,end=fin",
                                                "after_n_body_bytes=9",
                                                "status=500",
                                                "turn_away",
                                                "status=503,run=0",
                                                "after_n_request_bytes=0",
                                                "after_n_request_bytes=30",
                                                "before_accept,late=5",
                                                "slow_bytes=20,every=1",
                                                "second_answer",
                                                "wrong_length=3",
                                                "refuse,for=5",
                                                "informational",
                                                "foreign_answer,class=look"};
        return std::string(specs[draw(std::size(specs))]) + ",p=0." + std::to_string(1 + draw(5));
    }

    BalancerOptions options(std::uint64_t seed) const {
        BalancerOptions options = options_for(fleet_.addresses(), seed);
        options.settings.connect_timeout = milliseconds(50);
        options.settings.max_attempts = 1 + static_cast<int>(seed % 4);
        options.settings.may_cancel = seed % 3 != 0;
        options.figures_every = milliseconds(2);
        options.log = [](std::string_view, std::string_view line) {
            EXPECT_EQ(line.find("fault:"), std::string_view::npos) << line;
        };
        return options;
    }

    void step(Balancer& balancer, std::mt19937_64& random, asio::thread_pool& pool) {
        switch (random() % 16) {
            case 0: return change_servers(balancer, random);
            case 1: {
                BalancerOptions changed = options(random() % 64);
                changed.settings.connect_timeout = milliseconds(20 + static_cast<int>(random() % 50));
                return balancer.reconfigure(changed);
            }
            case 2: return (void)balancer.figures();
            case 3:
                if (random() % 40 == 0) balancer.async_drain([] {});
                return;
            case 4:
                if (random() % 40 == 0) balancer.async_close([] {});
                return;
            case 5:
                if (random() % 4 == 0) restart_a_node(random);
                return;
            default: return call(balancer, random, pool);
        }
    }

    void change_servers(Balancer& balancer, std::mt19937_64& random) {
        ServerList list = options_for(fleet_.addresses()).servers;
        list.version = ++version_;
        list.servers[random() % 3].draining = random() % 2 == 0;
        if (random() % 2 == 0) list.servers.erase(list.servers.begin() + static_cast<long>(random() % 3));
        balancer.set_servers(list);
    }

    void restart_a_node(std::mt19937_64& random) {
        const std::size_t node_index = random() % fleet_.size();
        fleet_.run_on_loop([&](Fleet& stand_ins) {
            stand_ins.node(node_index).die();
            stand_ins.node(node_index).come_back();
            return 0;
        });
    }

    void call(Balancer& balancer, std::mt19937_64& random, asio::thread_pool& pool) {
        static constexpr const char* classes[] = {"look", "hold", "check-in", "check-in"};
        auto recorded = std::make_shared<RecordedCall>();
        recorded->class_name = classes[random() % 4];
        CallRequest request = test::call(recorded->class_name.c_str(), milliseconds(5 + random() % 150));
        if (recorded->class_name == "hold") {
            recorded->key = request.idempotency_key = "key-" + std::to_string(++keys_);
        }
        if (recorded->class_name != "look") request.body.assign(random() % 4 ? 10 : 60'000, 'x');
        if (random() % 20 == 0) request.target = "bad target";
        {
            const std::lock_guard lock(mutex_);
            calls_.push_back(recorded);
        }
        // Waits for most calls. Without waiting, recently started upstreams would be flooded, and nearly all
        // calls refused.
        const auto done = random() % 4 > 0 ? std::make_shared<std::promise<void>>() : nullptr;
        const auto handler = [recorded, done](CallResult result) {
            recorded->result = std::move(result);
            if (++recorded->times == 1 && done) done->set_value();
        };
        start(balancer, std::move(request), random, pool, handler);
        if (done) done->get_future().get();
    }

    template <typename Handler>
    static void start(Balancer& balancer, CallRequest request, std::mt19937_64& random,
                      asio::thread_pool& pool, Handler handler) {
        const auto type = static_cast<asio::cancellation_type>(1U << (random() % 3));
        if (random() % 3 > 0) {
            balancer.async_call(request, handler);
            return;
        }
        // Emits the signal on the strand that runs the handler. Both the handler and the emitting function
        // keep the signal alive.
        const auto strand = asio::make_strand(pool);
        const auto signal = std::make_shared<asio::cancellation_signal>();
        balancer.async_call(
            request, asio::bind_cancellation_slot(
                         signal->slot(), asio::bind_executor(strand, [handler, signal](CallResult result) {
                             handler(std::move(result));
                         })));
        const auto emit = [signal, type] { signal->emit(type); };
        if (random() % 2 == 0) return asio::post(strand, emit);
        const auto timer =
            std::make_shared<asio::steady_timer>(strand, std::chrono::microseconds(random() % 20'000));
        timer->async_wait([timer, emit](boost::system::error_code) { emit(); });
    }

    void check(const RecordedCall& recorded, const standins::Effects& effects) {
        const CallResult& result = recorded.result;
        const std::string description = "seed " + std::to_string(seed_) + ", " + recorded.class_name + " " +
                                        result.id + ": " + std::string(text_of(result.verdict)) + "/" +
                                        std::string(text_of(result.cause));
        ASSERT_EQ(recorded.times, 1) << description;
        const auto* const record = effects.find(result.id);
        const std::uint32_t runs = record ? record->runs : 0;
        const bool unsafe = recorded.class_name == "check-in";
        if (unsafe) {
            EXPECT_LE(runs, 1U) << description;
        }
        if (!recorded.key.empty()) {
            EXPECT_LE(effects.runs_of_key(recorded.key), 1U) << description;
        }
        if (result.verdict == CallVerdict::served) {
            ++served_;
            EXPECT_GE(runs, 1U) << description;
            EXPECT_TRUE(record && (unsafe ? runs == 1U : true)) << description;
        }
        if (result.verdict == CallVerdict::refused && unsafe) {
            EXPECT_EQ(runs, 0U) << description;
        }
        if (result.verdict != CallVerdict::served && !result.may_have_run) {
            ++not_executed_;
            EXPECT_EQ(runs, 0U) << description;
        }
        if (result.cause == CallCause::bad_request) {
            EXPECT_EQ(record, nullptr) << description;
        }
        EXPECT_NE(result.cause, CallCause::fault) << description;
    }

    const std::uint64_t seed_;
    std::mt19937_64 random_;
    Fleet fleet_;
    std::atomic<std::uint64_t> version_ = 1, keys_ = 0;
    std::mutex mutex_;
    std::vector<std::shared_ptr<RecordedCall>> calls_;
    std::size_t served_ = 0, not_executed_ = 0;
};

TEST(RandomHosts, ResultsMatchTheUpstreamsRecord) {
    const auto number = [](const char* name, std::uint64_t default_value) {
        const char* const text = std::getenv(name);
        return text ? std::strtoull(text, nullptr, 10) : default_value;
    };
    const std::uint64_t first = number("FLAXDOOR_SEED", 1);
    const std::uint64_t seeds = std::getenv("FLAXDOOR_SEED") ? 1 : number("FLAXDOOR_SEEDS", 25);
    std::size_t served = 0, not_executed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        Host host(seed);
        host.run();
        host.check_results();
        if (testing::Test::HasFailure()) {
            std::printf("FLAXDOOR_SEED=%llu\n", static_cast<unsigned long long>(seed));
            return;
        }
        served += host.served();
        not_executed += host.not_executed();
    }
    std::printf("seeds %llu to %llu: %zu served, %zu known not to have run\n",
                static_cast<unsigned long long>(first), static_cast<unsigned long long>(first + seeds - 1),
                served, not_executed);
    EXPECT_GT(served, 0U);
    EXPECT_GT(not_executed, 0U);
}

}  // namespace
}  // namespace flaxdoor::test
