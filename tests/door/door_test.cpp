// The door's rules one by one: who is refused and why, who gives way, what stays true under change, and bounds.
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

// Of both forms below: one that called the other would look to g++ as if what malloc gave went to operator delete.
void let_go(void* held) noexcept {
    live_bytes -= held ? malloc_usable_size(held) : 0;
    std::free(held);
}
}  // namespace

// Counts what is held, for the bound in bytes.
void* operator new(std::size_t size) {
    void* const held = std::malloc(size);
    if (!held) throw std::bad_alloc();
    live_bytes += malloc_usable_size(held);
    ++allocations;
    return held;
}
void operator delete(void* held) noexcept { let_go(held); }
void operator delete(void* held, std::size_t) noexcept { let_go(held); }

namespace flaxdoor::door::testing {
namespace {

using namespace std::chrono_literals;

Terms plain() {
    Terms terms;
    terms.tenants = {{"a", 1, {}}, {"b", 1, {}}};
    terms.classes = {{"book", 10, 10ms, {}}, {"browse", 1, 10ms, {}}};
    terms.most_entries = 8;
    return terms;
}

struct Rig {
    explicit Rig(const Terms& terms) : door(terms, now, 7, {}) {}
    Door::Arrival come(std::size_t tenant, int class_index = 1, const std::string& client = "c",
                       const std::string& token = "", std::size_t bytes = 100) {
        Request request;
        request.tenant = tenant;
        request.client = client;
        request.class_index = class_index;
        request.deadline = now + 10s;
        request.bytes = bytes;
        request.token = token;
        auto arrival = door.arrive(now, request);
        if (arrival.handed) handed.push_back(arrival.ticket);
        return arrival;
    }
    // The module has no room from now on: what was handed over stays unsent.
    void fill() {
        for (int i = 0; i < 2; ++i) ASSERT_TRUE(come(0).handed);
        now += 1s;
    }
    std::vector<Step> steps() {
        std::vector<Step> all;
        while (auto step = door.next(now)) {
            if (!step->refused) handed.push_back(step->ticket);
            all.push_back(*std::move(step));
        }
        return all;
    }
    // The oldest that was handed over is sent and ends.
    void serve_one(Window::End end = Window::End::served) {
        door.sending(handed.front(), now);
        now += 10ms;
        (void)door.end(handed.front(), now, end);
        handed.erase(handed.begin());
    }

    Time now = 1000s;
    Door door;
    std::vector<Ticket> handed;
};

TEST(Door, EachLimitHasItsReason) {
    const struct {
        Reason reason;
        std::function<void(Terms&)> set;
        std::size_t most;  // that are taken
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
         4},  // two of the five went to fill it
        {Reason::client_open, [](Terms& t) { t.client.open = 3; }, 3},
        {Reason::client_rate,
         [](Terms& t) {
             t.client = {0, 1, 3};
         },
         4},  // its counter begins with its first
        {Reason::total_entries, [](Terms& t) { t.most_entries = 3; }, 3},
        {Reason::total_bytes, [](Terms& t) { t.most_bytes = 1500; }, 3},
    };
    for (const auto& each : cases) {
        Terms terms = plain();
        each.set(terms);
        Rig rig(terms);
        rig.fill();
        std::size_t taken = 0;
        std::optional<Refusal> refused;
        for (int i = 0; i < 8 && !refused; ++i) {
            auto arrival = rig.come(1);
            refused = std::move(arrival.refused);
            if (!refused) ++taken;
        }
        ASSERT_TRUE(refused) << text_of(each.reason);
        EXPECT_EQ(refused->reason, each.reason) << text_of(refused->reason);
        EXPECT_EQ(taken, each.most) << text_of(each.reason);
        EXPECT_GT(refused->retry_after, 0us);
        EXPECT_LE(refused->retry_after, terms.book.longest);
    }
}

// Full of the class worth least when the one worth most comes; and a tenant over its share gives way to another.
TEST(Door, GivesWay) {
    Rig rig(plain());
    rig.fill();
    std::vector<Ticket> waiting;
    for (int i = 0; i < 8; ++i) waiting.push_back(rig.come(0, 1).ticket);
    EXPECT_EQ(rig.come(0, 1).refused->reason, Reason::total_entries);
    EXPECT_NE(rig.come(0, 0).ticket, 0u);
    EXPECT_NE(rig.come(1, 1).ticket, 0u);
    const auto steps = rig.steps();
    ASSERT_EQ(steps.size(), 2u);
    EXPECT_EQ(steps[0].ticket, waiting[7]) << "worth least, latest";
    EXPECT_EQ(steps[1].ticket, waiting[6]);
    EXPECT_EQ(steps[1].refused->reason, Reason::gave_way);
    EXPECT_EQ(rig.door.waiting(), 8u);
}

TEST(Door, RefusesAtThePointOfService) {
    Rig rig(plain());
    rig.fill();
    const auto arrival = rig.come(1);
    const auto due = rig.door.next_due(rig.now);
    ASSERT_TRUE(due);
    EXPECT_EQ(*due, rig.now + 10s - 10ms + 1us) << "its service before its deadline";
    rig.now = *due;
    const auto steps = rig.steps();
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].ticket, arrival.ticket);
    EXPECT_EQ(steps[0].refused->reason, Reason::too_late);
}

TEST(Door, OneThatLeavesIsTakenOut) {
    Rig rig(plain());
    rig.fill();
    const Ticket gone = rig.come(1).ticket, stays = rig.come(1).ticket;
    rig.door.leave(gone, rig.now);
    rig.door.leave(gone, rig.now);  // heeded once
    EXPECT_EQ(rig.door.waiting(), 1u);
    for (int i = 0; i < 2; ++i) rig.serve_one();
    const auto steps = rig.steps();
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].ticket, stays);
    EXPECT_FALSE(rig.door.end(gone, rig.now, Window::End::no_room)) << "it is not open any more";
}

// A worth gets ahead by no more than the head start: nobody of a flow waits for ever.
TEST(Door, WorthGoesAheadByItsHeadStartOnly) {
    Terms terms = plain();
    terms.head_start = 100ms;
    Rig rig(terms);
    rig.fill();
    const Ticket early = rig.come(1, 1).ticket;
    rig.now += 50ms;
    const Ticket worth = rig.come(1, 0).ticket;
    rig.now += 100ms;
    const Ticket late = rig.come(1, 0).ticket;
    std::vector<Ticket> order;
    for (int i = 0; i < 4; ++i) {
        rig.serve_one();
        for (const Step& step : rig.steps()) order.push_back(step.ticket);
    }
    EXPECT_EQ(order, (std::vector{worth, early, late}));
}

TEST(Door, TermsChangeUnderLoad) {
    Rig rig(plain());
    rig.fill();
    std::vector<Ticket> waiting;
    for (std::size_t i = 0; i < 8; ++i) waiting.push_back(rig.come(i % 2, 1, std::to_string(i)).ticket);
    Terms terms = plain();
    terms.tenants = {{"b", 0.5, {}}, {"new", 1, {}}};  // a has gone, b has half its weight
    rig.door.change(terms, rig.now);
    EXPECT_EQ(rig.door.waiting(), 8u);
    std::map<std::string, std::size_t> by_name;
    for (const auto& each : rig.door.figures(rig.now).tenants) by_name[each.name] = each.waiting;
    EXPECT_EQ(by_name["b"], 4u);
    EXPECT_EQ(by_name["others"], 4u);
    terms.tenants[0].weight = 0;
    EXPECT_THROW(rig.door.change(terms, rig.now), std::invalid_argument);
    std::size_t got = 0;
    for (int i = 0; i < 10; ++i) {
        rig.serve_one();
        got += rig.steps().size();
    }
    EXPECT_EQ(got, 8u);
    EXPECT_EQ(rig.door.in_flight(), 0u);
}

TEST(Door, ADrainHandsOverWhatWaits) {
    Rig rig(plain());
    rig.fill();
    const Ticket waits = rig.come(1).ticket;
    rig.door.drain();
    EXPECT_EQ(rig.come(1).refused->reason, Reason::draining);
    for (int i = 0; i < 2; ++i) rig.serve_one();
    const auto steps = rig.steps();
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].ticket, waits);
    EXPECT_FALSE(steps[0].refused);
}

// What the module refuses is told when to come back at once, and closes the window by a fifth.
TEST(Door, TheModulesRefusal) {
    Rig rig(plain());
    for (int i = 0; i < 10; ++i) {
        ASSERT_TRUE(rig.come(0).handed);
        rig.door.sending(rig.handed.back(), rig.now);
    }
    const auto told = rig.door.end(rig.handed.back(), rig.now, Window::End::no_room);
    ASSERT_TRUE(told);
    EXPECT_EQ(told->reason, Reason::module);
    EXPECT_FALSE(told->token.empty());
    EXPECT_DOUBLE_EQ(rig.door.figures(rig.now).window, 8);
    EXPECT_FALSE(rig.door.end(rig.handed.back(), rig.now, Window::End::no_room));
}

TEST(Door, ContradictoryTermsAreNamed) {
    const std::pair<const char*, std::function<void(Terms&)>> cases[] = {
        {"tenant a: a weight is above 0", [](Terms& t) { t.tenants[0].weight = 0; }},
        {"tenant a: a weight is above 0", [](Terms& t) { t.tenants[0].weight = -1; }},
        {"tenant a is named twice", [](Terms& t) { t.tenants[1].name = "a"; }},
        {"others: a weight is above 0", [](Terms& t) { t.others.weight = 0; }},
        {"client: a rate is 0 (none) or above", [](Terms& t) { t.client.per_s = -1; }},
        {"class book: a burst is 1 or above",
         [](Terms& t) {
             t.classes[0].limits = {0, 5, 0};
         }},
        {"more than 256 tenants", [](Terms& t) { t.tenants.resize(257); }},
        {"no class", [](Terms& t) { t.classes.clear(); }},
    };
    for (const auto& [what, breaks] : cases) {
        Terms terms = plain();
        breaks(terms);
        try {
            Rig rig(terms);
            FAIL() << what;
        } catch (const std::invalid_argument& error) {
            EXPECT_STREQ(error.what(), what);
        }
    }
}

TEST(Door, BytesAndWorkDoNotGrowWithClients) {
    Terms terms = plain();
    terms.most_entries = 2000;
    terms.most_bytes = 1u << 20;
    terms.client = {4, 5, 5};
    std::size_t each[2]{};
    for (const std::size_t clients : {std::size_t{100'000}, std::size_t{1'000'000}}) {
        const std::size_t before = live_bytes;
        Rig rig(terms);
        rig.fill();
        const std::size_t began = allocations;
        std::size_t most = 0;
        for (std::size_t i = 0; i < clients; ++i) {
            (void)rig.come(i % 3, static_cast<int>(i % 2), std::to_string(i));
            (void)rig.steps();
            most = std::max(most, live_bytes - before);
        }
        each[clients == 1'000'000] = (allocations - began) * 100 / clients;
        // What is held for the door's bytes of others is not there: the declared 100 each.
        EXPECT_LE(most, rig.door.most_bytes() + 100'000) << clients;
        EXPECT_LE(rig.door.figures(rig.now).waiting_bytes, terms.most_bytes);
    }
    EXPECT_NEAR(static_cast<double>(each[1]), static_cast<double>(each[0]), 100)
        << "hundredths of allocations a request";
}

// One that is refused after all has thrown out nobody.
TEST(Door, NobodyGivesWayToOneThatIsRefused) {
    Terms terms = plain();
    terms.most_entries = 100;
    terms.most_bytes = 100'000;
    Rig rig(terms);
    rig.fill();
    for (int i = 0; i < 6; ++i) ASSERT_NE(rig.come(0, 1, "c", "", 10'000).ticket, 0u);
    for (int i = 0; i < 3; ++i) ASSERT_NE(rig.come(2, 1, "c", "", 10'000).ticket, 0u);
    const auto large = rig.come(1, 1, "c", "", 50'000);
    ASSERT_TRUE(large.refused);
    EXPECT_EQ(large.refused->reason, Reason::total_bytes);
    EXPECT_TRUE(rig.steps().empty());
    EXPECT_EQ(rig.door.waiting(), 9u);
}

TEST(Door, ALowerLimitThrowsOutNobody) {
    Rig rig(plain());
    rig.fill();
    for (int i = 0; i < 8; ++i) ASSERT_NE(rig.come(0).ticket, 0u);
    Terms terms = plain();
    terms.most_entries = 2;
    rig.door.change(terms, rig.now);
    EXPECT_TRUE(rig.come(0).refused);
    EXPECT_NE(rig.come(1).ticket, 0u);
    EXPECT_EQ(rig.steps().size(), 1u) << "one in the place of another";
    EXPECT_EQ(rig.door.waiting(), 8u);
}

// Those of a class that went count for the last one, and so does one that comes just then.
TEST(Door, AClassThatWentIsCountedOn) {
    Rig rig(plain());
    rig.fill();
    for (int i = 0; i < 2; ++i) ASSERT_NE(rig.come(1, 1).ticket, 0u);
    Terms terms = plain();
    terms.classes = {{"book", 10, 10ms, {5, 0, 1}}};
    rig.door.change(terms, rig.now);
    EXPECT_NE(rig.come(1, 1).ticket, 0u);
    const auto arrival = rig.come(1, 0);
    ASSERT_TRUE(arrival.refused);
    EXPECT_EQ(arrival.refused->reason, Reason::class_open);
}

TEST(Door, ARateNearZeroIsALimit) {
    Terms terms = plain();
    terms.tenants[1].limits = {0, 1e-300, 1};
    Rig rig(terms);
    EXPECT_TRUE(rig.come(1).handed);
    const auto arrival = rig.come(1);
    ASSERT_TRUE(arrival.refused);
    EXPECT_EQ(arrival.refused->reason, Reason::tenant_rate);
}

// One client that tells a cost of an hour holds up its own tenant for no longer than one of 32 means does.
TEST(Door, ACostOfAnHourIsNotBelieved) {
    Terms terms = plain();
    terms.most_entries = 500;
    Rig rig(terms);
    Request request;
    request.tenant = 0;
    request.client = "liar";
    request.deadline = rig.now + 10s;
    request.cost_hint = 1h;
    rig.handed.push_back(rig.door.arrive(rig.now, request).ticket);
    rig.fill();
    std::vector<Ticket> its;
    for (int i = 0; i < 30; ++i) {
        its.push_back(rig.come(0).ticket);
        ASSERT_NE(its.back(), 0u);
        ASSERT_NE(rig.come(1).ticket, 0u);
    }
    std::size_t got = 0;
    for (int i = 0; i < 80; ++i) {
        rig.serve_one();
        for (const Step& step : rig.steps()) got += std::count(its.begin(), its.end(), step.ticket);
        (void)rig.come(1);
    }
    EXPECT_GE(got, 15u) << "32 go to the other first, then they take turns";
}

// A token takes one call ahead, not all that its client sends with it, nor once more when it is shown again.
TEST(Token, ShownAgainGainsNothing) {
    Terms terms = plain();
    terms.most_entries = 500;
    terms.book.longest = 1s;
    Rig rig(terms);
    ASSERT_TRUE(rig.come(0, 1, "x").handed);
    rig.fill();
    for (int i = 0; i < 240; ++i) ASSERT_NE(rig.come(0, 1, std::to_string(i % 4)).ticket, 0u);
    const auto told = rig.door.end(rig.handed.front(), rig.now, Window::End::no_room);
    ASSERT_TRUE(told);
    rig.handed.erase(rig.handed.begin());
    const Time back = rig.now + told->retry_after;
    while (rig.now < back) {
        rig.serve_one();
        (void)rig.steps();
    }
    std::vector<Ticket> its;
    for (int i = 0; i < 20; ++i) its.push_back(rig.come(0, 1, "x", told->token).ticket);
    EXPECT_EQ(rig.door.figures(rig.now).tenants[0].returned, 20u);
    std::size_t got = 0, handed = 0;
    while (handed < 10) {
        rig.serve_one();
        for (const Step& step : rig.steps()) {
            got += std::count(its.begin(), its.end(), step.ticket);
            ++handed;
        }
    }
    EXPECT_GE(got, 1u);
    EXPECT_LE(got, 4u) << "one ahead, and its turn among five";
}

TEST(Explain, BrokenScriptsAreNamedByTheirLine) {
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
        {"load tenant=a rate=1000000", 1, "lower the rates, or the spans"},
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
    const std::string told = explain(plain(), std::get<Script>(good));
    EXPECT_NE(told.find("gave_way"), std::string::npos) << told;
    EXPECT_NE(told.find("others"), std::string::npos);
}

TEST(Token, ForgedOldForeignAndOfAnotherCountAsNone) {
    Rig rig(plain());
    rig.fill();
    const auto told = rig.door.end(rig.handed.front(), rig.now, Window::End::no_room);
    ASSERT_TRUE(told);
    const auto unheeded = [&](std::size_t tenant, int class_index, const std::string& client,
                              const std::string& token) {
        const auto sum = [&] {
            std::uint64_t all = 0;
            for (const auto& each : rig.door.figures(rig.now).tenants) all += each.unheeded;
            return all;
        };
        const auto before = sum();
        const auto arrival = rig.come(tenant, class_index, client, token);
        if (arrival.ticket) rig.door.leave(arrival.ticket, rig.now);
        return sum() - before;
    };
    EXPECT_EQ(unheeded(0, 1, "c", told->token), 1u) << "early";
    rig.now += told->retry_after;
    EXPECT_EQ(unheeded(0, 1, "c", told->token), 0u) << "in its time";
    for (std::size_t i = 0; i < told->token.size(); ++i) {
        std::string forged = told->token;
        forged[i] = forged[i] == '0' ? '1' : '0';
        EXPECT_EQ(unheeded(0, 1, "c", forged), 1u) << i;
    }
    EXPECT_EQ(unheeded(0, 1, "c", told->token + "0"), 1u);
    EXPECT_EQ(unheeded(0, 1, "c", "zz" + told->token.substr(2)), 1u);
    EXPECT_EQ(unheeded(1, 1, "c", told->token), 1u) << "of another tenant";
    EXPECT_EQ(unheeded(0, 0, "c", told->token), 1u) << "of another class";
    EXPECT_EQ(unheeded(0, 1, "d", told->token), 1u) << "of another client";
    Tokens::Secret other{};
    other[0] = 1;
    EXPECT_EQ(unheeded(0, 1, "c", Tokens(other).seal({})), 1u) << "foreign";
    rig.now += 2 * plain().book.slot;
    EXPECT_EQ(unheeded(0, 1, "c", told->token), 1u) << "old";
}

}  // namespace
}  // namespace flaxdoor::door::testing
