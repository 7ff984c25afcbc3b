// Tables with rows, and optional tables, which enable a subsystem.
#include "samples.h"

namespace flaxdoor::settings {
namespace {

using namespace samples;

TEST(Rows, AreReadInTheOrderOfTheFile) {
    const Values values =
        read("[[route]]\nname = \"b\"\nshare = 3\n[[route]]\nname = \"a\"\nprefix = \"/a\"\n", schema());
    const auto& rows = values.rows("route");
    ASSERT_EQ(rows.size(), 2u);
    EXPECT_EQ(rows[0].get(name), "b");
    EXPECT_EQ(rows[0].get(share), 3);
    EXPECT_EQ(rows[0].get(prefix), Path{"/"});
    EXPECT_EQ(rows[1].label(), "a");
    EXPECT_EQ(rows[1].get(share), 1);
    EXPECT_EQ(rows[1].get(prefix), Path{"/a"});
    EXPECT_EQ(values.count_given(), 4u);
    EXPECT_TRUE(read("", schema()).rows("route").empty());
    EXPECT_EQ(read("route = [{name = \"x\"}]", schema()).rows("route").front().label(), "x");
}

struct InvalidRows {
    const char* what;
    std::string text, faults;
};

TEST(Rows, RejectsInvalidRows) {
    const std::string four =
        "[[route]]\nname = \"a\"\n[[route]]\nname = \"b\"\n[[route]]\nname = \"c\"\n[[route]]\nname = "
        "\"d\"\n";
    const std::string shares = "[[route]]\nname = \"a\"\nshare = 1001\n";
    const InvalidRows all[] = {
        {"a missing name and a duplicate name",
         "[[route]]\nname = \"a\"\n[[route]]\nshare = 2\n[[route]]\n  name = \"a\"\n",
         "F:3:1: [[route]] lacks name (route.name); it has no default and must be set\n"
         "F:6:10: \"a\" is already in line 2 (route.name); each [[route]] needs its own\n"},
        {"a single table", "[route]\nname = \"a\"",
         "F:1:2: wanted [[route]], found a table (route); write [[route]]\n"},
        {"a number", "route = 1",
         "F:1:1: wanted [[route]], found a whole number (route); its keys go below a line [[route]]\n"},
        {"a list with a number and a misspelled key", "route = [1, {name = \"a\", shar = 2}]",
         "F:1:10: wanted [[route]], found a whole number (route); its keys go below a line [[route]]\n"
         "F:1:26: unknown key (route.shar); did you mean share?\n"},
        {"the greatest number of rows", four, ""},
        {"too many rows", four + "[[route]]\nname = \"x\"\n[[route]]\nname = \"y\"\n",
         "F:9:1: more than 4 rows (route)\n"},
        {"a check between tables reports the first key that is set", shares,
         "F:3:1: the shares exceed a hundred times all.most (route.share); lower a share\n"},
        {"the same check satisfied by the other table", shares + "[all]\nmost = 20\n", ""},
        {"the same check with a fault in the other table", shares + "[all]\nmost = 200\n",
         "F:5:8: 200 is out of range -5..100 (all.most); write at most 100\n"},
    };
    for (const InvalidRows& each : all) EXPECT_EQ(faults_of(each.text, schema()), each.faults) << each.what;
}

TEST(Rows, AnOptionalTableIsOffUnlessGiven) {
    EXPECT_FALSE(read("", schema()).given("store"));
    const Values values = read("[store]\nserver = \"db:5\"", schema());
    EXPECT_TRUE(values.given("store"));
    EXPECT_EQ(values.get(server).port, 5);
    EXPECT_EQ(values.get(links), 2);
}

}  // namespace
}  // namespace flaxdoor::settings
