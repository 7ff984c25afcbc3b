// Tests of the admission queue's rules: refusals and their reasons, evictions, changes of the terms, and
// bounds.
#include "door/door.h"

#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <new>
#include <stdexcept>

#include "door/explain.h"

namespace {
std::size_t live_bytes = 0, allocations = 0;

// Shared by both forms of operator delete: if one called the other, g++ would warn that memory from malloc is
// passed to operator delete.
void release(void* block) noexcept {
    live_bytes -= block ? malloc_usable_size(block) : 0;
    std::free(block);
}
}  // namespace

// Counts the allocated bytes, for the test of the memory bound.
void* operator new(std::size_t size) {
    void* const block = std::malloc(size);
    if (!block) throw std::bad_alloc();
    live_bytes += malloc_usable_size(block);
    ++allocations;
    return block;
}
void operator delete(void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }

namespace flaxdoor::door::testing {
namespace {

using namespace std::chrono_literals;

Terms default_terms() {
    Terms terms;
    terms.tenants = {{"a", 1, {}}, {"b", 1, {}}};
    terms.classes = {{"book", 10, 10ms, {}}, {"browse", 1, 10ms, {}}};
    terms.most_entries = 8;
    return terms;
}

struct QueueTest {
    explicit QueueTest(const Terms& terms) : queue(terms, now, 7, {}) {}
    AdmissionQueue::Arrival arrive(std::size_t tenant, int class_index = 1, const std::string& client = "c",
                                   const std::string& token = "", std::size_t bytes = 100) {
        Request request;
        request.tenant = tenant;
        request.client = client;
        request.class_index = class_index;
        request.deadline = now + 10s;
        request.bytes = bytes;
        request.token = token;
        auto arrival = queue.enqueue(now, request);
        if (arrival.handed) handed.push_back(arrival.ticket);
        return arrival;
    }
    // Leaves the module without room: the dispatched requests stay unsent.
    void fill() {
        for (int i = 0; i < 2; ++i) ASSERT_TRUE(arrive(0).handed);
        now += 1s;
    }
    std::vector<Step> steps() {
        std::vector<Step> all;
        while (auto step = queue.next(now)) {
            if (!step->refused) handed.push_back(step->ticket);
            all.push_back(*std::move(step));
        }
        return all;
    }
    // Sends and ends the oldest dispatched request.
    void serve_one(ConcurrencyWindow::End end = ConcurrencyWindow::End::served) {
        queue.on_first_byte(handed.front(), now);
        now += 10ms;
        (void)queue.end(handed.front(), now, end);
        handed.erase(handed.begin());
    }

    Time now = 1000s;
    AdmissionQueue queue;
    std::vector<Ticket> handed;
};

TEST(Door, EachLimitHasItsReason) {
    const struct {
        Reason reason;
        std::function<void(Terms&)> set;
        std::size_t accepted;  // number of accepted requests
    } cases[] = {
        {Reason::tenant_open, [](Terms& t) { t.tenants[1].limits.open = 3; }, 3},
        {Reason::tenant_rate,
         [](Terms& t) {
             t.tenants[1].limits = {0, 1, 3};
         },
         3},
        {Reason::class_open, [](Terms& t) { t.classes[1].limits.open = 5; }, 3},
        {Reason::class_rate,
         [](Terms& t) {
             t.classes[1].limits = {0, 1, 5};
         },
         4},  // two of the five filled the module
        {Reason::client_open, [](Terms& t) { t.client.open = 3; }, 3},
        {Reason::client_rate,
         [](Terms& t) {
             t.client = {0, 1, 3};
         },
         4},  // the client's counter starts with its first request
        {Reason::total_entries, [](Terms& t) { t.most_entries = 3; }, 3},
        {Reason::total_bytes, [](Terms& t) { t.most_bytes = 1500; }, 3},
    };
    for (const auto& each : cases) {
        Terms terms = default_terms();
        each.set(terms);
        QueueTest test(terms);
        test.fill();
        std::size_t taken = 0;
        std::optional<Refusal> refused;
        for (int i = 0; i < 8 && !refused; ++i) {
            auto arrival = test.arrive(1);
            refused = std::move(arrival.refused);
            if (!refused) ++taken;
        }
        ASSERT_TRUE(refused) << text_of(each.reason);
        EXPECT_EQ(refused->reason, each.reason) << text_of(refused->reason);
        EXPECT_EQ(taken, each.accepted) << text_of(each.reason);
        EXPECT_GT(refused->retry_after, 0us);
        EXPECT_LE(refused->retry_after, terms.book.longest);
    }
}

// The queue is full of the class of least worth when a request of most worth arrives. A tenant above its
// share is evicted for another tenant.
TEST(Door, EvictsLeastWorthOfTheTenantAboveItsShare) {
    QueueTest test(default_terms());
    test.fill();
    std::vector<Ticket> waiting;
    for (int i = 0; i < 8; ++i) waiting.push_back(test.arrive(0, 1).ticket);
    EXPECT_EQ(test.arrive(0, 1).refused->reason, Reason::total_entries);
    EXPECT_NE(test.arrive(0, 0).ticket, 0u);
    EXPECT_NE(test.arrive(1, 1).ticket, 0u);
    const auto steps = test.steps();
    ASSERT_EQ(steps.size(), 2u);
    EXPECT_EQ(steps[0].ticket, waiting[7]) << "least worth, latest arrival";
    EXPECT_EQ(steps[1].ticket, waiting[6]);
    EXPECT_EQ(steps[1].refused->reason, Reason::evicted);
    EXPECT_EQ(test.queue.waiting(), 8u);
}

TEST(Door, RefusesAtTheLatestUsefulStart) {
    QueueTest test(default_terms());
    test.fill();
    const auto arrival = test.arrive(1);
    const auto due = test.queue.next_deadline(test.now);
    ASSERT_TRUE(due);
    EXPECT_EQ(*due, test.now + 10s - 10ms + 1us) << "the service time before the deadline";
    test.now = *due;
    const auto steps = test.steps();
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].ticket, arrival.ticket);
    EXPECT_EQ(steps[0].refused->reason, Reason::too_late);
}

TEST(Door, RequestOfALeavingClientIsRemoved) {
    QueueTest test(default_terms());
    test.fill();
    const Ticket left_ticket = test.arrive(1).ticket, stays = test.arrive(1).ticket;
    test.queue.leave(left_ticket, test.now);
    test.queue.leave(left_ticket, test.now);  // only the first call has an effect
    EXPECT_EQ(test.queue.waiting(), 1u);
    for (int i = 0; i < 2; ++i) test.serve_one();
    const auto steps = test.steps();
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].ticket, stays);
    EXPECT_FALSE(test.queue.end(left_ticket, test.now, ConcurrencyWindow::End::no_room))
        << "the ticket is no longer valid";
}

// Worth moves a request ahead by at most the head start, so that no request of a flow waits for ever.
TEST(Door, WorthMovesAheadByTheHeadStartOnly) {
    Terms terms = default_terms();
    terms.head_start = 100ms;
    QueueTest test(terms);
    test.fill();
    const Ticket early = test.arrive(1, 1).ticket;
    test.now += 50ms;
    const Ticket worth = test.arrive(1, 0).ticket;
    test.now += 100ms;
    const Ticket late = test.arrive(1, 0).ticket;
    std::vector<Ticket> order;
    for (int i = 0; i < 4; ++i) {
        test.serve_one();
        for (const Step& step : test.steps()) order.push_back(step.ticket);
    }
    EXPECT_EQ(order, (std::vector{worth, early, late}));
}

TEST(Door, TermsChangeUnderLoad) {
    QueueTest test(default_terms());
    test.fill();
    std::vector<Ticket> waiting;
    for (std::size_t i = 0; i < 8; ++i) waiting.push_back(test.arrive(i % 2, 1, std::to_string(i)).ticket);
    Terms terms = default_terms();
    terms.tenants = {{"b", 0.5, {}}, {"new", 1, {}}};  // a is removed, b has half its weight
    test.queue.change(terms, test.now);
    EXPECT_EQ(test.queue.waiting(), 8u);
    std::map<std::string, std::size_t> by_name;
    for (const auto& each : test.queue.figures(test.now).tenants) by_name[each.name] = each.waiting;
    EXPECT_EQ(by_name["b"], 4u);
    EXPECT_EQ(by_name["others"], 4u);
    terms.tenants[0].weight = 0;
    EXPECT_THROW(test.queue.change(terms, test.now), std::invalid_argument);
    std::size_t served = 0;
    for (int i = 0; i < 10; ++i) {
        test.serve_one();
        served += test.steps().size();
    }
    EXPECT_EQ(served, 8u);
    EXPECT_EQ(test.queue.in_flight(), 0u);
}

TEST(Door, DrainDispatchesQueuedRequests) {
    QueueTest test(default_terms());
    test.fill();
    const Ticket waits = test.arrive(1).ticket;
    test.queue.drain();
    EXPECT_EQ(test.arrive(1).refused->reason, Reason::draining);
    for (int i = 0; i < 2; ++i) test.serve_one();
    const auto steps = test.steps();
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].ticket, waits);
    EXPECT_FALSE(steps[0].refused);
}

// A refusal by the module carries a retry time at once, and shrinks the window by a fifth.
TEST(Door, RefusalByTheModule) {
    QueueTest test(default_terms());
    for (int i = 0; i < 10; ++i) {
        ASSERT_TRUE(test.arrive(0).handed);
        test.queue.on_first_byte(test.handed.back(), test.now);
    }
    const auto refusal = test.queue.end(test.handed.back(), test.now, ConcurrencyWindow::End::no_room);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, Reason::module);
    EXPECT_FALSE(refusal->token.empty());
    EXPECT_DOUBLE_EQ(test.queue.figures(test.now).window, 8);
    EXPECT_FALSE(test.queue.end(test.handed.back(), test.now, ConcurrencyWindow::End::no_room));
}

TEST(Door, InconsistentTermsAreNamed) {
    const std::pair<const char*, std::function<void(Terms&)>> cases[] = {
        {"tenant a: a weight must be above 0", [](Terms& t) { t.tenants[0].weight = 0; }},
        {"tenant a: a weight must be above 0", [](Terms& t) { t.tenants[0].weight = -1; }},
        {"tenant a is configured twice", [](Terms& t) { t.tenants[1].name = "a"; }},
        {"others: a weight must be above 0", [](Terms& t) { t.others.weight = 0; }},
        {"client: a rate must be 0 (no limit) or above", [](Terms& t) { t.client.per_s = -1; }},
        {"class book: a burst must be 1 or above",
         [](Terms& t) {
             t.classes[0].limits = {0, 5, 0};
         }},
        {"more than 256 tenants", [](Terms& t) { t.tenants.resize(257); }},
        {"no class is configured", [](Terms& t) { t.classes.clear(); }},
    };
    for (const auto& [what, breaks] : cases) {
        Terms terms = default_terms();
        breaks(terms);
        try {
            QueueTest test(terms);
            FAIL() << what;
        } catch (const std::invalid_argument& error) {
            EXPECT_STREQ(error.what(), what);
        }
    }
}

TEST(Door, MemoryAndWorkDoNotGrowWithTheNumberOfClients) {
    Terms terms = default_terms();
    terms.most_entries = 2000;
    terms.most_bytes = 1u << 20;
    terms.client = {4, 5, 5};
    std::size_t each[2]{};
    for (const std::size_t clients : {std::size_t{100'000}, std::size_t{1'000'000}}) {
        const std::size_t before = live_bytes;
        QueueTest test(terms);
        test.fill();
        const std::size_t allocations_before = allocations;
        std::size_t most = 0;
        for (std::size_t i = 0; i < clients; ++i) {
            (void)test.arrive(i % 3, static_cast<int>(i % 2), std::to_string(i));
            (void)test.steps();
            most = std::max(most, live_bytes - before);
        }
        each[clients == 1'000'000] = (allocations - allocations_before) * 100 / clients;
        // Allows for the difference between declared and real memory: the requests' declared 100 bytes each
        // are not allocated.
        EXPECT_LE(most, test.queue.most_bytes() + 100'000) << clients;
        EXPECT_LE(test.queue.figures(test.now).waiting_bytes, terms.most_bytes);
    }
    EXPECT_NEAR(static_cast<double>(each[1]), static_cast<double>(each[0]), 100)
        << "hundredths of allocations a request";
}

// A request that is refused in the end evicts no other.
TEST(Door, RefusedRequestEvictsNone) {
    Terms terms = default_terms();
    terms.most_entries = 100;
    terms.most_bytes = 100'000;
    QueueTest test(terms);
    test.fill();
    for (int i = 0; i < 6; ++i) ASSERT_NE(test.arrive(0, 1, "c", "", 10'000).ticket, 0u);
    for (int i = 0; i < 3; ++i) ASSERT_NE(test.arrive(2, 1, "c", "", 10'000).ticket, 0u);
    const auto large = test.arrive(1, 1, "c", "", 50'000);
    ASSERT_TRUE(large.refused);
    EXPECT_EQ(large.refused->reason, Reason::total_bytes);
    EXPECT_TRUE(test.steps().empty());
    EXPECT_EQ(test.queue.waiting(), 9u);
}

TEST(Door, LowerLimitEvictsNone) {
    QueueTest test(default_terms());
    test.fill();
    for (int i = 0; i < 8; ++i) ASSERT_NE(test.arrive(0).ticket, 0u);
    Terms terms = default_terms();
    terms.most_entries = 2;
    test.queue.change(terms, test.now);
    EXPECT_TRUE(test.arrive(0).refused);
    EXPECT_NE(test.arrive(1).ticket, 0u);
    EXPECT_EQ(test.steps().size(), 1u) << "the arriving request replaces one";
    EXPECT_EQ(test.queue.waiting(), 8u);
}

// Requests of a removed class count for the last class, and so does one that arrives at that time.
TEST(Door, RequestsOfARemovedClassStillCount) {
    QueueTest test(default_terms());
    test.fill();
    for (int i = 0; i < 2; ++i) ASSERT_NE(test.arrive(1, 1).ticket, 0u);
    Terms terms = default_terms();
    terms.classes = {{"book", 10, 10ms, {5, 0, 1}}};
    test.queue.change(terms, test.now);
    EXPECT_NE(test.arrive(1, 1).ticket, 0u);
    const auto arrival = test.arrive(1, 0);
    ASSERT_TRUE(arrival.refused);
    EXPECT_EQ(arrival.refused->reason, Reason::class_open);
}

TEST(Door, RateNearZeroIsALimit) {
    Terms terms = default_terms();
    terms.tenants[1].limits = {0, 1e-300, 1};
    QueueTest test(terms);
    EXPECT_TRUE(test.arrive(1).handed);
    const auto arrival = test.arrive(1);
    ASSERT_TRUE(arrival.refused);
    EXPECT_EQ(arrival.refused->reason, Reason::tenant_rate);
}

// A client with a cost hint of an hour delays its own tenant no longer than a request of 32 mean costs.
TEST(Door, CostHintOfAnHourIsBounded) {
    Terms terms = default_terms();
    terms.most_entries = 500;
    QueueTest test(terms);
    Request request;
    request.tenant = 0;
    request.client = "liar";
    request.deadline = test.now + 10s;
    request.cost_hint = 1h;
    test.handed.push_back(test.queue.enqueue(test.now, request).ticket);
    test.fill();
    std::vector<Ticket> own_tickets;
    for (int i = 0; i < 30; ++i) {
        own_tickets.push_back(test.arrive(0).ticket);
        ASSERT_NE(own_tickets.back(), 0u);
        ASSERT_NE(test.arrive(1).ticket, 0u);
    }
    std::size_t served = 0;
    for (int i = 0; i < 80; ++i) {
        test.serve_one();
        for (const Step& step : test.steps())
            served += std::count(own_tickets.begin(), own_tickets.end(), step.ticket);
        (void)test.arrive(1);
    }
    EXPECT_GE(served, 15u) << "the other tenant gets 32 first, then both alternate";
}

// A retry token moves one request ahead: not every request that the client sends with it, and not again when
// it is reused.
TEST(Token, ReuseGainsNothing) {
    Terms terms = default_terms();
    terms.most_entries = 500;
    terms.book.longest = 1s;
    QueueTest test(terms);
    ASSERT_TRUE(test.arrive(0, 1, "x").handed);
    test.fill();
    for (int i = 0; i < 240; ++i) ASSERT_NE(test.arrive(0, 1, std::to_string(i % 4)).ticket, 0u);
    const auto refusal = test.queue.end(test.handed.front(), test.now, ConcurrencyWindow::End::no_room);
    ASSERT_TRUE(refusal);
    test.handed.erase(test.handed.begin());
    const Time back = test.now + refusal->retry_after;
    while (test.now < back) {
        test.serve_one();
        (void)test.steps();
    }
    std::vector<Ticket> own_tickets;
    for (int i = 0; i < 20; ++i) own_tickets.push_back(test.arrive(0, 1, "x", refusal->token).ticket);
    EXPECT_EQ(test.queue.figures(test.now).tenants[0].returned, 20u);
    std::size_t served = 0, handed = 0;
    while (handed < 10) {
        test.serve_one();
        for (const Step& step : test.steps()) {
            served += std::count(own_tickets.begin(), own_tickets.end(), step.ticket);
            ++handed;
        }
    }
    EXPECT_GE(served, 1u);
    EXPECT_LE(served, 4u) << "one moved ahead, and the client's turn among five";
}

TEST(Explain, InvalidScriptsAreNamedByTheirLine) {
    const struct {
        const char* text;
        std::size_t line;
        const char* mend;
    } cases[] = {
        {"servers x\nload tenant=a rate=1", 1, "write servers 8"},
        {"\nslow 2 from 3s\nload tenant=a rate=1", 2, "write slow 2 from 3s to 8s"},
        {"load rate=1", 1, "add tenant=NAME"},
        {"load tenant=a", 1, "add rate=100"},
        {"load tenant=a rate=-1", 1, "write rate=100"},
        {"load tenant=a rate=1 deadline=5", 1, "write deadline=10ms, or 2s"},
        {"load tenant=a rate=1 from=3s to=2s", 1, "make to later than from"},
        {"laod tenant=a", 1, "write seed, servers, slow or load"},
        {"# nothing\n", 1, "add a line: load tenant=NAME rate=100"},
        {"load tenant=a rate=1000000", 1, "lower the rates or shorten the time spans"},
    };
    for (const auto& each : cases) {
        const auto read = read_script(each.text);
        const auto* const faults = std::get_if<std::vector<ScriptFault>>(&read);
        ASSERT_TRUE(faults) << each.text;
        EXPECT_EQ(faults->front().line, each.line) << each.text;
        EXPECT_EQ(faults->front().mend, each.mend);
    }
    const auto good =
        read_script("servers 2\nload tenant=a rate=400 to=2s\nload tenant=x rate=50 to=2s # unknown");
    const std::string report = explain(default_terms(), std::get<Script>(good));
    EXPECT_NE(report.find("gave_way"), std::string::npos) << report;
    EXPECT_NE(report.find("others"), std::string::npos);
}

TEST(Token, ForgedExpiredAndForeignTokensAreInvalid) {
    QueueTest test(default_terms());
    test.fill();
    const auto refusal = test.queue.end(test.handed.front(), test.now, ConcurrencyWindow::End::no_room);
    ASSERT_TRUE(refusal);
    const auto ignored = [&](std::size_t tenant, int class_index, const std::string& client,
                             const std::string& token) {
        const auto sum = [&] {
            std::uint64_t all = 0;
            for (const auto& each : test.queue.figures(test.now).tenants) all += each.ignored;
            return all;
        };
        const auto before = sum();
        const auto arrival = test.arrive(tenant, class_index, client, token);
        if (arrival.ticket) test.queue.leave(arrival.ticket, test.now);
        return sum() - before;
    };
    EXPECT_EQ(ignored(0, 1, "c", refusal->token), 1u) << "too early";
    test.now += refusal->retry_after;
    EXPECT_EQ(ignored(0, 1, "c", refusal->token), 0u) << "in time";
    for (std::size_t i = 0; i < refusal->token.size(); ++i) {
        std::string forged = refusal->token;
        forged[i] = forged[i] == '0' ? '1' : '0';
        EXPECT_EQ(ignored(0, 1, "c", forged), 1u) << i;
    }
    EXPECT_EQ(ignored(0, 1, "c", refusal->token + "0"), 1u);
    EXPECT_EQ(ignored(0, 1, "c", "zz" + refusal->token.substr(2)), 1u);
    EXPECT_EQ(ignored(1, 1, "c", refusal->token), 1u) << "another tenant";
    EXPECT_EQ(ignored(0, 0, "c", refusal->token), 1u) << "another class";
    EXPECT_EQ(ignored(0, 1, "d", refusal->token), 1u) << "another client";
    RetryTokens::Secret other{};
    other[0] = 1;
    EXPECT_EQ(ignored(0, 1, "c", RetryTokens(other).sign({})), 1u) << "another key";
    test.now += 2 * default_terms().book.slot;
    EXPECT_EQ(ignored(0, 1, "c", refusal->token), 1u) << "expired";
}

}  // namespace
}  // namespace flaxdoor::door::testing
