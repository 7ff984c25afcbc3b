// [budget], [[budget_limit]] and [coordinator]: which files are rejected with which messages, and which
// limits the accepted files give.
#include "coordinator/terms.h"
#include "samples.h"
#include "settings/product.h"
#include "settings/tables/budget.h"

namespace flaxdoor::settings {
namespace {

using namespace samples;

// Returns a file with [budget] and one row. The given keys of the row start in line 6.
std::string with_row(const std::string& keys) {
    return "[budget]\ncoordinator = \"127.0.0.1:7400\"\nbalancers = 3\n[[budget_limit]]\nname = \"a\"\n" +
           keys;
}

TEST(BudgetRows, RejectsInvalidFiles) {
    struct Case {
        const char* what;
        std::string text, fault;
    };
    const std::string counts = "counts = \"requests\"\n", places = "counts = \"concurrency\"\n";
    const Case cases[] = {
        {"no rate", with_row(counts), "F:6:1: rate is missing (budget_limit.counts); set rate\n"},
        {"no places", with_row(places), "F:6:1: places is missing (budget_limit.counts); set places\n"},
        {"places with a rate", with_row(counts + "rate = 1\nplaces = 1\n"),
         "F:6:1: places requires counts = \"concurrency\" (budget_limit.counts); remove it and set rate\n"},
        {"a reserve of places with a rate", with_row(counts + "rate = 1\nreserve_places = 1\n"),
         "F:6:1: reserve_places requires counts = \"concurrency\" (budget_limit.counts); remove it and set "
         "rate\n"},
        {"a rate with places", with_row(places + "places = 1\nrate = 1\n"),
         "F:6:1: rate can't be combined with counts = \"concurrency\" (budget_limit.counts); remove it and "
         "set places\n"},
        {"a reserve of a rate with places", with_row(places + "places = 1\nreserve_rate = 1\n"),
         "F:6:1: reserve_rate can't be combined with counts = \"concurrency\" (budget_limit.counts); remove "
         "it and set places\n"},
        {"a reserve without a rate", with_row(counts + "rate = 9\nreserve_burst = 1\n"),
         "F:6:1: reserve_burst without reserve_rate (budget_limit.counts); set reserve_rate or "
         "remove reserve_burst\n"},
        {"reserves that equal the whole rate",
         with_row(counts + "rate = 0.3\nburst = 3\nreserve_rate = 0.1\n"), ""},
        {"reserves that exceed the rate by thousandths",
         with_row(counts + "rate = 0.3\nburst = 3\nreserve_rate = 0.101\n"),
         "F:9:1: the reserves of 3 balancers exceed rate of a (budget_limit.reserve_rate); lower "
         "reserve_rate, or raise rate\n"},
        {"reserves that exceed the burst",
         with_row(counts + "rate = 9\nburst = 8\nreserve_rate = 1\nreserve_burst = 3\n"),
         "F:10:1: the reserves of 3 balancers exceed burst of a (budget_limit.reserve_burst); lower "
         "reserve_burst, or raise burst\n"},
        {"a burst that is too small to be divided",
         with_row(counts + "rate = 9\nburst = 2\nreserve_rate = 1\n"),
         "F:9:1: the reserves of 3 balancers exceed burst of a (budget_limit.reserve_rate); raise "
         "burst: each reserve is at least 1\n"},
        {"reserves that exceed the places", with_row(places + "places = 8\nreserve_places = 3\n"),
         "F:8:1: the reserves of 3 balancers exceed places of a (budget_limit.reserve_places); lower "
         "reserve_places, or raise places\n"},
        {"one name twice",
         with_row(counts + "rate = 1\n[[budget_limit]]\nname = \"a\"\ncounts = \"retries\"\nrate = 1\n"),
         "F:9:8: \"a\" is already in line 5 (budget_limit.name); each [[budget_limit]] needs its own\n"},
        {"an invalid name",
         "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 1\n[[budget_limit]]\nname = \"a b\"\n" +
             counts + "rate = 1\n",
         "F:5:1: invalid budget name: \"a b\" (budget_limit.name); use letters, digits, '-', '_' and '.'\n"},
        {"a row without [budget]", "[[budget_limit]]\nname = \"a\"\n" + counts + "rate = 1\n",
         "F:1:1: [[budget_limit]] without [budget] (budget_limit.name); add [budget] with coordinator and "
         "balancers\n"},
        {"a coordinator without [budget]", "[coordinator]\nlisten = \"127.0.0.1:0\"\nstore = \"s\"\n",
         "F:1:2: [coordinator] without [budget] (coordinator.listen); add [budget] with coordinator and "
         "balancers\n"},
        {"a coordinator with a host name", "[budget]\ncoordinator = \"here:1\"\nbalancers = 1\n",
         "F:2:1: not an IPv4 address: \"here\" (budget.coordinator); set the coordinator's IPv4 address\n"},
        {"a term that is too short",
         "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 1\nterm = \"199ms\"\n",
         "F:4:8: \"199ms\" is out of range 200ms..1m (budget.term); write at least \"200ms\"\n"},
        {"a drift that is too large",
         "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 1\nclock_drift = 0.06\n",
         "F:4:15: 0.06 is out of range 1e-04..0.05 share (budget.clock_drift); write at most 0.05\n"},
        {"no number of balancers", "[budget]\ncoordinator = \"127.0.0.1:1\"\n",
         "F:1:2: [budget] lacks balancers (budget.balancers); it has no default and must be set\n"},
        {"a witness in the store",
         "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 1\n[coordinator]\nlisten = "
         "\"127.0.0.1:1\"\nstore = "
         "\"/a/\"\nwitness = \"/a/w\"\n",
         "F:7:1: the witness is in the store's folder (coordinator.witness); put it where it is not copied "
         "with the store\n"},
        {"a witness next to the store",
         "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 1\n[coordinator]\nlisten = "
         "\"127.0.0.1:1\"\nstore = "
         "\"/a/\"\nwitness = \"/ab\"\n",
         ""},
    };
    for (const Case& each : cases) EXPECT_EQ(faults_of(each.text, product_schema()), each.fault) << each.what;
}

TEST(BudgetRows, ConvertsAmounts) {
    struct Case {
        const char* keys;
        flaxdoor::budget::Amount whole, reserve;
    };
    const Case cases[] = {
        {"counts = \"requests\"\nrate = 100\n", {100'000, 100}, {}},
        {"counts = \"attempts\"\nrate = 0.5\n", {500, 1}, {}},
        {"counts = \"retries\"\nrate = 7\nburst = 3\nreserve_rate = 0.0049\n", {7000, 3}, {4, 1}},
        {"counts = \"requests\"\nrate = 0.003\n", {3, 1}, {}},
        {"counts = \"requests\"\nrate = 90\nburst = 45\nreserve_rate = 20\n", {90'000, 45}, {20'000, 10}},
        {"counts = \"requests\"\nrate = 90\nreserve_rate = 20\nreserve_burst = 2\n",
         {90'000, 90},
         {20'000, 2}},
        {"counts = \"concurrency\"\nplaces = 8\nreserve_places = 2\n", {0, 8}, {0, 2}},
    };
    for (const Case& each : cases) {
        const auto terms = coordinator::terms_of(read(with_row(each.keys), product_schema()));
        ASSERT_EQ(terms.budgets.size(), 1u);
        EXPECT_EQ(terms.budgets[0].whole, each.whole) << each.keys;
        EXPECT_EQ(terms.budgets[0].reserve, each.reserve) << each.keys;
    }
    const auto terms = coordinator::terms_of(read(
        "[budget]\ncoordinator = \"127.0.0.1:7400\"\nbalancers = 3\nterm = \"1s\"\nclock_drift = 0.01\n"
        "longest_deadline = \"5s\"\nmax_processes = 7\n[[budget_limit]]\nname = \"a\"\ncounts = \"retries\"\n"
        "tenant = \"t\"\nclass = \"c\"\npool = \"p\"\nrate = 1\n",
        product_schema()));
    EXPECT_EQ(terms.expected_balancers, 3);
    EXPECT_EQ(terms.lease_term, std::chrono::seconds(1));
    EXPECT_EQ(terms.max_clock_drift, 0.01);
    EXPECT_EQ(terms.max_attempt_duration, std::chrono::seconds(5));
    EXPECT_EQ(terms.max_holders, 7u);
    const flaxdoor::budget::Budget& only = terms.budgets.at(0);
    EXPECT_EQ(only.name, "a");
    EXPECT_EQ(only.counts, flaxdoor::budget::Counts::retries);
    EXPECT_EQ(only.tenant, "t");
    EXPECT_EQ(only.of_class, "c");
    EXPECT_EQ(only.pool, "p");
}

}  // namespace
}  // namespace flaxdoor::settings
