// Reads files into values or into all of their faults, with every type of setting.
#include "settings/reader.h"

#include <sys/stat.h>
#include <unistd.h>

#include "samples.h"
#include "settings/page.h"

namespace flaxdoor::settings {
namespace {

using namespace std::chrono_literals;
using namespace samples;

TEST(Reader, AnEmptyFileGivesTheDefaults) {
    const Values values = read("", schema());
    EXPECT_TRUE(values.get(on));
    EXPECT_EQ(values.get(least), 1);
    EXPECT_EQ(values.get(ratio), 0.5);
    EXPECT_EQ(values.get(pause), 3s);
    EXPECT_EQ(values.get(room).count, 65536u);
    EXPECT_EQ(values.get(label), "one");
    EXPECT_EQ(values.get(colour), Colour::green);
    EXPECT_EQ(values.get(peer), (Address{"127.0.0.1", 5432}));
    EXPECT_EQ(values.get(file), Path{"a/b"});
    EXPECT_EQ(values.get(names), (std::vector<std::string>{"left", "right"}));
    EXPECT_EQ(values.get(limit), std::nullopt);
    EXPECT_FALSE(values.given("all"));
    EXPECT_EQ(values.count_given(), 0u);
}

TEST(Reader, EveryTypeIsRead) {
    const Values values = read(R"(
[all]
on = false
least = -5
ratio = 2          # a whole number is a real one as well
pause = "1.5s"
room = "1MiB"
label = "\u00e9\u00e9"
colour = "dark_blue"
peer = "[::1]:1"
file = '/a b/c'
names = ["x"]
limit = "0s"
)",
                               schema());
    EXPECT_FALSE(values.get(on));
    EXPECT_EQ(values.get(least), -5);
    EXPECT_EQ(values.get(most), 10);
    EXPECT_EQ(values.get(ratio), 2.0);
    EXPECT_EQ(values.get(pause), 1500ms);
    EXPECT_EQ(values.get(room).count, 1048576u);
    EXPECT_EQ(values.get(label), "\xc3\xa9\xc3\xa9");
    EXPECT_EQ(values.get(colour), Colour::dark_blue);
    EXPECT_EQ(values.get(peer), (Address{"::1", 1}));
    EXPECT_EQ(values.get(file), Path{"/a b/c"});
    EXPECT_EQ(values.get(names), (std::vector<std::string>{"x"}));
    EXPECT_EQ(values.get(limit), 0us);
    EXPECT_TRUE(values.given("all"));
    EXPECT_EQ(values.count_given(), 11u);
}

TEST(Reader, AcceptsEveryTomlFormOfATable) {
    EXPECT_EQ(read("all.pause = \"1s\"\nall.least = 2", schema()).get(pause), 1s);
    EXPECT_EQ(read("all = { pause = \"1s\" }", schema()).get(pause), 1s);
    EXPECT_EQ(read("\xef\xbb\xbf[all]\r\npause = \"1s\"\r\n", schema()).get(pause), 1s);
}

// Each entry has a line below [all] and the fault that it must give, which starts with the column.
TEST(Reader, EveryInvalidValueGivesItsFaultAndRemedy) {
    const std::string span = "wanted a duration such as \"250ms\", found ";
    const std::pair<std::string, std::string> wrong[] = {
        {"on = 1", "6: wanted true or false, found a whole number (all.on); write true"},
        {"on = \"off\"", "6: wanted true or false, found a text (all.on); write false"},
        {"on = \"maybe\"", "6: wanted true or false, found a text (all.on)"},
        {"least = -6", "9: -6 is out of range -5..100 (all.least); write at least -5"},
        {"least = 101", "9: 101 is out of range -5..100 (all.least); write at most 100"},
        {"least = 9223372036854775807",
         "9: 9223372036854775807 is out of range -5..100 (all.least); write at most 100"},
        {"least = 1.0", "9: wanted a whole number, found a number with a fraction (all.least); write 1"},
        {"least = 1.5", "9: wanted a whole number, found a number with a fraction (all.least)"},
        {"least = \"7\"", "9: wanted a whole number, found a text (all.least); write it without quotes"},
        {"least = 1979-05-27", "9: wanted a whole number, found a date or time (all.least)"},
        {"ratio = -1.5", "9: -1.5 is out of range -1.0..2.0 (all.ratio); write at least -1.0"},
        {"ratio = 3", "9: 3 is out of range -1.0..2.0 (all.ratio); write at most 2.0"},
        {"ratio = nan", "9: wanted a number that is finite (all.ratio)"},
        {"ratio = -inf", "9: wanted a number that is finite (all.ratio)"},
        {"ratio = \"0.5\"", "9: wanted a number, found a text (all.ratio); write it without quotes"},
        {"pause = 10", "9: " + span + "a whole number (all.pause); write \"10s\""},
        {"pause = 2.5", "9: " + span + "a number with a fraction (all.pause); write \"2.5s\""},
        {"pause = \"10\"", "9: \"10\" has no unit (us, ms, s, m or h) (all.pause); write \"10s\""},
        {"pause = \"5min\"",
         "9: \"5min\" is not a number followed at once by us, ms, s, m or h (all.pause); write \"5m\""},
        {"room = \"4M\"",
         "8: \"4M\" is not a number followed at once by B, KiB, MiB or GiB (all.room); write \"4MiB\""},
        {"pause = \"999us\"", "9: \"999us\" is out of range 1ms..1h (all.pause); write at least \"1ms\""},
        {"pause = \"61m\"", "9: \"61m\" is out of range 1ms..1h (all.pause); write at most \"1h\""},
        {"pause = true", "9: " + span + "true or false (all.pause)"},
        {"pause = [\"1s\"]", "9: " + span + "a list (all.pause)"},
        {"pause = {}", "9: " + span + "a table (all.pause)"},
        {"room = 2048",
         "8: wanted a size such as \"64KiB\", found a whole number (all.room); write \"2KiB\""},
        {"room = \"1023B\"", "8: \"1023B\" is out of range 1KiB..1MiB (all.room); write at least \"1KiB\""},
        {"room = \"2MiB\"", "8: \"2MiB\" is out of range 1KiB..1MiB (all.room); write at most \"1MiB\""},
        {"label = 5", "9: wanted a text, found a whole number (all.label); write it in quotes"},
        {"label = \"\"", "9: the text is empty (all.label)"},
        {"label = \"123456\"", "9: the text has 6 bytes, out of range 1..5 bytes (all.label)"},
        {"label = \"a\\u001b\"", "9: the text contains a control character (all.label); leave it out"},
        {"colour = \"gren\"",
         "10: \"gren\" is not \"red\", \"green\" or \"dark_blue\" (all.colour); write \"green\""},
        {"colour = \"Xyzzy\"", "10: \"Xyzzy\" is not \"red\", \"green\" or \"dark_blue\" (all.colour)"},
        {"colour = 1", "10: wanted \"red\", \"green\" or \"dark_blue\", found a whole number (all.colour)"},
        {"peer = \"localhost\"", "8: \"localhost\" has no port (all.peer)"},
        {"peer = \"a:0\"", "8: \"a:0\" is out of range port 1..65535 (all.peer)"},
        {"peer = \"::1:80\"", "8: \"::1:80\" is not HOST:PORT (all.peer); write \"[::1]:80\""},
        {"peer = 80", "8: wanted an address HOST:PORT, found a whole number (all.peer)"},
        {"file = \"\"", "8: the text is empty (all.file)"},
        {"file = \"a\\u0000b\"", "8: the text contains a control character (all.file); leave it out"},
        {"file = false", "8: wanted a path, found true or false (all.file)"},
        {"names = \"x\"", "9: wanted a list of texts, found a text (all.names); write it as [\"x\"]"},
        {"names = []", "9: 0 entries are out of range 1..3 entries (all.names)"},
        {"names = [\"a\",\"b\",\"c\",\"d\"]", "9: 4 entries are out of range 1..3 entries (all.names)"},
        {"names = [\"a\",1]", "9: entry 2 is a whole number, wanted a text (all.names)"},
        {"names = [\"a\",\"\"]", "9: entry 2 is empty (all.names)"},
        {"names = [\"a\",\"a\"]", "9: \"a\" is listed twice (all.names); remove one of them"},
        {"limit = \"25h\"", "9: \"25h\" is out of range 0s..24h (all.limit); write at most \"24h\""},
        {"paus = \"1s\"", "1: unknown key (all.paus); did you mean pause?"},
        {"PAUSE = \"1s\"", "1: unknown key (all.pause); did you mean pause?"},
        {"server = \"a:1\"", "1: unknown key (all.server); it belongs below [store]"},
        {"wholly_else = 1", "1: unknown key (all.wholly_else); `flaxdoor settings` lists all keys"},
        {"[all.pause]", "1: " + span + "a table (all.pause)"},
        {"least = 11", "1: least must not exceed most (all.least); raise most"},
        {"most = 0", "1: least must not exceed most (all.most); raise most"}};
    for (const auto& [line, fault] : wrong) {
        const std::string expected = line == "PAUSE = \"1s\""
                                         ? "F:2:1: unknown key (all.\"PAUSE\"); did you mean pause?\n"
                                         : "F:2:" + fault + "\n";
        EXPECT_EQ(faults_of("[all]\n" + line + "\n", schema()), expected) << line;
    }
}

TEST(Reader, ReportsAllFaultsInTheOrderOfTheFile) {
    EXPECT_EQ(
        faults_of("zone = 1\n[all]\nroom = 1\n  least = 200\nmost = 5\n[al]\nx = 1\n[store]\n", schema()),
        "F:1:1: unknown key outside of any table (zone); `flaxdoor settings` lists all tables\n"
        "F:3:8: wanted a size such as \"64KiB\", found a whole number (all.room); write \"1MiB\"\n"
        "F:4:11: 200 is out of range -5..100 (all.least); write at most 100\n"
        "F:6:2: unknown table (al); did you mean [all]?\n"
        "F:8:2: [store] lacks server (store.server); it has no default and must be set\n");
}

// A check between keys is skipped if one of the keys is invalid, because it would only repeat that fault.
TEST(Reader, SkipsChecksOfInvalidKeys) {
    EXPECT_EQ(faults_of("[all]\nleast = 50\nmost = \"40\"\n", schema()),
              "F:3:8: wanted a whole number, found a text (all.most); write it without quotes\n");
    EXPECT_EQ(faults_of("[all]\nmost = 40\nleast = 50\n", schema()),
              "F:3:1: least must not exceed most (all.least); raise most\n");
}

TEST(Reader, ColumnsCountCharacters) {
    EXPECT_EQ(faults_of("all = { label = \"\xc3\xa9\xe2\x82\xac\", least = 200 }", schema()),
              "F:1:31: 200 is out of range -5..100 (all.least); write at most 100\n");
}

TEST(Reader, WrongKindsOfTables) {
    EXPECT_EQ(faults_of("all = 3", schema()),
              "F:1:1: wanted [all], found a whole number (all); its keys go below a line [all]\n");
    EXPECT_EQ(faults_of("[[all]]\nleast = 1", schema()),
              "F:1:3: wanted [all], found [[all]] (all); write [all]\n");
    EXPECT_EQ(faults_of("[rout]", schema()), "F:1:2: unknown table (rout); did you mean [[route]]?\n");
    EXPECT_EQ(faults_of("pause = \"1s\"", schema()),
              "F:1:1: unknown key outside of any table (pause); it belongs below [all]\n");
}

TEST(Reader, SyntaxErrorsStopReadingAtTheFirstFault) {
    const std::string stop = "reading stopped there: what follows is not checked yet\n";
    EXPECT_EQ(faults_of("[all]\nleast = 1\nleast = 2\n", schema()),
              "F:3:9: not TOML: Error while parsing key-value pair: cannot redefine existing integer "
              "'least'; remove "
              "one of the two; " +
                  stop);
    for (const char* text : {"[all]\n[all]\n", "[all]\npause = 10s\n", "[all\n", "[all]\npause = \"1s\n", "=",
                             "a", "[all]\nlabel = \"\xff\"\n", "[all]\nlabel = \"\xc0\x80\"\n", "\xfe\xff"}) {
        const std::string faults = faults_of(text, schema());
        EXPECT_EQ(std::count(faults.begin(), faults.end(), '\n'), 1) << faults;
        EXPECT_NE(faults.find(": not TOML: "), std::string::npos) << faults;
        EXPECT_EQ(faults.substr(faults.size() - stop.size()), stop);
    }
    EXPECT_EQ(faults_of("[all]\nlabel = \"\xff\"\n", schema()).substr(0, 6), "F:2:9:");
}

// Letters from U+00A0 on where only a value, a key or white space is allowed. The TOML parser tests whether
// such a letter is white space, which is undefined behaviour in toml++ without the workaround in reader.cpp.
TEST(Reader, LettersOutsideQuotes) {
    const std::pair<const char*, const char*> outside[] = {{"\xc3\xa9 = 1", "F:1:1:"},
                                                           {"[\xc3\xa9]", "F:1:2:"},
                                                           {"[all]\nleast = 1\xc2\xa0", "F:2:10:"},
                                                           {"[all]\nleast = \xd0\x96", "F:2:9:"},
                                                           {"[all]\nleast\xc3\xa9 = 1", "F:2:6:"},
                                                           {"[all]\n\xe2\x80\x83least = 1", "F:2:1:"},
                                                           {"[all]\nlabel = \"\\\xc3\xa9\"", "F:2:11:"},
                                                           {"\xef\xb7\x90 = 1", "F:1:1:"}};
    for (const auto& [text, place] : outside) {
        const std::string faults = faults_of(text, schema());
        EXPECT_EQ(faults.substr(0, std::string(place).size()), place) << text << "\n" << faults;
    }
    EXPECT_EQ(read("[all]\nlabel = \"\"\"a\\\n  \xc3\xa9\"\"\"", schema()).get(label), "a\xc3\xa9");
    EXPECT_EQ(faults_of("[all]\n'l\xc3\xa9' = 1", schema()),
              "F:2:1: unknown key (all.\"l\xc3\xa9\"); `flaxdoor settings` lists all keys\n");
}

TEST(Reader, PartsOfKeysAreBounded) {
    EXPECT_EQ(faults_of("[all]\n'a'.b.\"c.d.e\" . d.e.f.g.h.i = 1", schema()).substr(0, 7), "F:2:26:");
    std::string deep = "a";
    for (int i = 0; i < 500000; ++i) deep += ".a";
    for (const std::string& text : {deep + " = 1", "[" + deep + "]", "x = { " + deep + " = 1 }",
                                    "x = [ # a.b\n'''\n''', \"\"\"a\\\"\"\"\"\", { " + deep + " = 1 }]"}) {
        EXPECT_NE(faults_of(text, schema()).find("a key of more than 8 parts"), std::string::npos);
    }
    // Dots in texts and comments do not count.
    const std::string dots(20, '.');
    EXPECT_EQ(
        faults_of("[all] # " + dots + "\nfile = \"" + dots + "\\\"" + dots + "\"\nlabel='.....'", schema()),
        "");
    EXPECT_EQ(faults_of("[all]\nfile = \"\"\"" + dots + "\"" + dots + "\"\"\"\"\"", schema()), "");
    EXPECT_EQ(faults_of("[all]\nfile = '''" + dots + "'" + dots + "''' # '" + dots, schema()), "");
}

TEST(Reader, NestingIsBounded) {
    const std::string open(100000, '[');
    EXPECT_NE(faults_of("x = " + open, schema()).find("nested"), std::string::npos);
    std::string tables = "x = ";
    for (int i = 0; i < 10000; ++i) tables += "{a.a.a.a.a.a.a = ";
    EXPECT_NE(faults_of(tables, schema()).find("nested"), std::string::npos);
}

TEST(Reader, FilesAreBounded) {
    std::string text = "# \n";
    text.resize(max_file_bytes - 1, '#');
    text += "\n";
    EXPECT_EQ(faults_of(text, schema()), "");
    EXPECT_EQ(faults_of(text + "\n", schema()),
              "F: larger than 1 MiB; settings of this size are a mistake\n");
}

TEST(Reader, ReportsTheFirstHundredFaultsOfTheFile) {
    std::string text = "[all]\n";
    // The names descend in the order of the file, so that the order by name differs from the order by
    // position.
    for (int i = 250; i > 0; --i) text += "odd_" + std::to_string(1000 + i) + " = 1\n";
    const std::string faults = faults_of(text, schema());
    EXPECT_EQ(std::count(faults.begin(), faults.end(), '\n'), 101);
    EXPECT_EQ(faults.rfind("F:2:1: unknown key (all.odd_1250)", 0), 0u) << faults;
    EXPECT_NE(faults.find("\nF:101:1: unknown key (all.odd_1151)"), std::string::npos) << faults;
    EXPECT_EQ(faults.substr(faults.size() - 17), "\nF: and 150 more\n") << faults;
}

TEST(Reader, CountsAllFaultsOfTheLargestFile) {
    std::string text;
    for (int i = 0; text.size() < max_file_bytes - 20; ++i) text += "k" + std::to_string(i) + "=1\n";
    const Reading reading = read_text(text, schema());
    const Faults& faults = std::get<Faults>(reading);
    EXPECT_EQ(faults.first().size(), 100u);
    EXPECT_EQ(faults.more() + 100, static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')));
}

// A fault is one line without control characters, whatever keys and values the file has.
TEST(Reader, EscapesControlCharactersInFaults) {
    for (const char* text : {"[all]\n\"a\\nb\\u001b[31m\" = 1", "[\"x\\ny\"]\n",
                             "[all]\ncolour = \"\"\"a\nb\"\"\"", "[all]\npause = \"\\u009b1m\""}) {
        const std::string faults = faults_of(text, schema());
        EXPECT_EQ(std::count(faults.begin(), faults.end(), '\n'), 1) << faults;
        EXPECT_EQ(faults.find('\x1b'), std::string::npos);
        EXPECT_EQ(faults.find("\xc2\x9b"), std::string::npos);
    }
}

TEST(Reader, FilesThatCannotBeRead) {
    const auto line = [](const std::string& path) {
        const Reading reading = read_file(path, schema());
        const auto* faults = std::get_if<Faults>(&reading);
        return faults ? faults->text("F") : std::string("accepted");
    };
    const auto folder = std::filesystem::temp_directory_path() / ("settings_" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::string fifo = folder / "fifo", big = folder / "big", fine = folder / "fine",
                      link = folder / "link";
    ASSERT_EQ(::mkfifo(fifo.c_str(), 0600), 0);
    std::ofstream(big) << std::string(max_file_bytes + 1, '\n');
    std::ofstream(fine) << "[all]\nleast = 3\n";
    std::filesystem::create_symlink(fine, link);
    EXPECT_EQ(line(folder / "none"), "F: cannot be read: No such file or directory\n");
    EXPECT_EQ(line(folder), "F: cannot be read: it is not a regular file\n");
    EXPECT_EQ(line(fifo), "F: cannot be read: it is not a regular file\n");
    EXPECT_EQ(line(big), "F: larger than 1 MiB; settings of this size are a mistake\n");
    EXPECT_EQ(line(fine), "accepted");
    EXPECT_EQ(line(link), "accepted");
    std::filesystem::remove_all(folder);
}

TEST(Reader, ReadingAnUnknownOrUnsetKeyThrows) {
    static constexpr Key<bool> unlisted{
        {.table = "all", .name = "stranger", .fallback = true, .meaning = "Not listed."}};
    const Values values(schema());
    EXPECT_THROW((void)values.get(unlisted), std::logic_error);
    EXPECT_THROW((void)values.get(server), std::logic_error);  // [store] was not given
    EXPECT_THROW((void)values.row("all").get(links), std::logic_error);
    EXPECT_THROW((void)values.rows("all"), std::logic_error);
    EXPECT_THROW((void)values.row("route"), std::logic_error);
    EXPECT_THROW((void)values.given("none"), std::logic_error);
}

TEST(Reader, ContradictorySchemasThrow) {
    const Table all{.name = "all", .meaning = "It.", .settings = {on}};
    EXPECT_NO_THROW(Schema({all}));
    EXPECT_THROW(Schema({all, all}), std::logic_error);
    EXPECT_THROW(Schema(std::vector<Table>{{.name = "all", .meaning = "It.", .settings = {on, on}}}),
                 std::logic_error);
    EXPECT_THROW(Schema(std::vector<Table>{{.name = "all", .meaning = "It.", .settings = {on, links}}}),
                 std::logic_error);
    EXPECT_THROW(Schema(std::vector<Table>{{.name = "store", .meaning = "It.", .settings = {server}}}),
                 std::logic_error);
    EXPECT_THROW(Schema(std::vector<Table>{{.name = "All", .meaning = "It."}}), std::logic_error);
    EXPECT_THROW(
        Schema(std::vector<Table>{
            {.name = "all", .meaning = "It.", .settings = {on}, .checks = {{{"of"}, "", check_order}}}}),
        std::logic_error);
    Table route{.name = "route", .kind = Kind::many, .meaning = "It.", .settings = {name, share}};
    for (const char* unique : {"", "share", "none"}) {
        route.unique = unique;
        EXPECT_THROW(Schema({route}), std::logic_error) << unique;
    }
    EXPECT_THROW(Schema({all}, {{{"all.of"}, "", check_shares}}), std::logic_error);
    EXPECT_THROW(Schema({all}, {{{"all"}, "", check_shares}}), std::logic_error);
}

}  // namespace
}  // namespace flaxdoor::settings
