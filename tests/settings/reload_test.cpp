// Which changes of a settings file are applied at a reload, and which wait for a restart.
#include "settings/reload.h"

#include "samples.h"

namespace flaxdoor::settings {
namespace {

using namespace samples;

std::string lines(const std::vector<Change>& all) {
    std::string text;
    for (const Change& change : all) text += line_of(change) + "\n";
    return text;
}

const std::string a = "[[route]]\nname = \"a\"\n", b = "[[route]]\nname = \"b\"\n",
                  c = "[[route]]\nname = \"c\"\n";
const std::string store = "[store]\nserver = \"a:1\"\nlinks = 5\n";

struct Case {
    const char* name;
    Takes presence;                 // when rows and optional tables are added or removed
    std::string was, wanted;        // files
    std::string applied, deferred;  // changes
    std::string result;             // a file with the values in effect after the reload
};

const Case cases[] = {
    {"EqualValuesInOtherSpelling", Takes::reload, "[all]\npause = \"1s\"\n",
     "all = {pause = \"1000ms\", least = 1}\n", "", "", "[all]\npause = \"1s\"\n"},
    {"RestartSettingsKeepTheirValues", Takes::reload, "[all]\nleast = 2\nmost = 20\n",
     "[all]\nleast = 3\nmost = 30\npause = \"1s\"\nlimit = \"9s\"\n",
     "all.most: 20 to 30\nall.pause: \"3s\" to \"1s\"\n", "all.least: 2 to 3\nall.limit: now \"9s\"\n",
     "[all]\nleast = 2\nmost = 30\npause = \"1s\"\n"},
    {"RowsAreMatchedByName", Takes::reload, a + "share = 1\nprefix = \"/a\"\n" + b,
     c + a + "share = 5\nprefix = \"/x\"\n",
     "route[\"c\"]: now a new row\nroute[\"a\"].share: 1 to 5\nroute[\"b\"]: no longer a row\n",
     "route[\"a\"].prefix: \"/a\" to \"/x\"\n", c + a + "share = 5\nprefix = \"/a\"\n"},
    {"RestartRowsAreNeitherAddedNorRemoved", Takes::restart, a + b, c + b + "share = 7\n",
     "route[\"b\"].share: 1 to 7\n", "route[\"c\"]: now a new row\nroute[\"a\"]: no longer a row\n",
     b + "share = 7\n" + a},
    {"AnOptionalTableIsAddedWithItsValues", Takes::reload, "", store, "store: now given\n", "", store},
    {"AnOptionalTableIsRemoved", Takes::reload, store, "", "store: no longer given\n", "", ""},
    {"ARestartTableIsNotAdded", Takes::restart, "", store, "", "store: now given\n", ""},
    {"ARestartTableIsNotRemoved", Takes::restart, store, "", "", "store: no longer given\n", store},
};

void PrintTo(const Case& its, std::ostream* out) { *out << its.name; }

class Reloads : public testing::TestWithParam<Case> {};

TEST_P(Reloads, AppliesReloadableChangesAndDefersTheRest) {
    const Case& its = GetParam();
    const Schema schema = samples::schema(its.presence);
    const Values wanted = read(its.wanted, schema);
    const auto result = reload(read(its.was, schema), wanted);
    ASSERT_TRUE(std::holds_alternative<Reload>(result)) << std::get<Faults>(result).text("it");
    const Reload& made = std::get<Reload>(result);
    EXPECT_EQ(lines(made.taken), its.applied);
    EXPECT_EQ(lines(made.held), its.deferred);
    EXPECT_EQ(lines(changes(made.values, read(its.result, schema))), "");
    EXPECT_EQ(lines(changes(made.values, wanted)), its.deferred)
        << "the next reload must find these changes again";
    // The rows have the order of `result`.
    const auto rows = read(its.result, schema).rows("route");
    ASSERT_EQ(made.values.rows("route").size(), rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i)
        EXPECT_EQ(made.values.rows("route")[i].label(), rows[i].label());
}

INSTANTIATE_TEST_SUITE_P(Reload, Reloads, testing::ValuesIn(cases),
                         [](const auto& info) { return std::string(info.param.name); });

// Each file is valid by itself, but `least` stays at 50 until a restart and `most` would be lower.
TEST(Reload, RejectsValuesThatContradictDeferredOnes) {
    const auto result =
        reload(read("[all]\nleast = 50\nmost = 60\n", schema()), read("[all]\nmost = 10\n", schema()));
    ASSERT_TRUE(std::holds_alternative<Faults>(result));
    EXPECT_EQ(std::get<Faults>(result).text("F"),
              "F:2:1: least must not exceed most (all.most); raise most\n");
}

// The values outlive the Schema objects that they were read with.
TEST(Reload, AcceptsValuesOfTwoEqualSchemas) {
    std::optional<Values> was = read(a, schema(Takes::restart));
    std::optional<Values> wanted = read("", schema(Takes::restart));
    const auto result = reload(*was, *wanted);
    was.reset();
    wanted.reset();
    EXPECT_EQ(std::get<Reload>(result).values.rows("route").front().get(name), "a");
}

}  // namespace
}  // namespace flaxdoor::settings
