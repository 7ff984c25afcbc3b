// The settings of the product: their defaults, the bounds of each setting, the settings page and the example
// files.
#include "settings/product.h"

#include <algorithm>
#include <map>
#include <set>

#include "samples.h"
#include "settings/page.h"
#include "settings/reload.h"
#include "settings/tables/core.h"
#include "settings/tables/drain.h"
#include "settings/tables/http.h"
#include "settings/tables/membership.h"

namespace flaxdoor::settings {
namespace {

using namespace std::chrono_literals;
using samples::content_of;
using samples::faults_of;
using samples::files_in;
using samples::read;

const std::filesystem::path root(SOURCE_ROOT);

// Without a settings file the balancer keeps the behaviour that it had before settings files existed.
TEST(Product, DefaultsKeepTheBehaviourWithoutAFile) {
    const Values values(product_schema());
    EXPECT_EQ(values.get(http::request_timeout), 2s);
    EXPECT_EQ(values.get(http::idle_timeout), 300s);
    EXPECT_EQ(values.get(http::idle_timeout_crowded), 2s);
    EXPECT_EQ(values.get(http::send_timeout), 10s);
    EXPECT_EQ(values.get(http::linger_timeout), 1s);
    EXPECT_EQ(values.get(http::linger_bytes).count, 256u * 1024);
    EXPECT_EQ(values.get(http::client_share), 0.5);
    EXPECT_EQ(values.get(http::keepalive_share), 0.25);
    EXPECT_EQ(values.get(core::max_open_calls), 0);
    EXPECT_EQ(values.get(core::default_deadline), 30s);
    EXPECT_EQ(values.get(core::unknown_tenants), core::UnknownTenants::share);
    EXPECT_EQ(values.get(drain::keep_accepting), 450ms);
    EXPECT_EQ(values.get(drain::end_slack), 100ms);
    EXPECT_EQ(values.get(membership::max_line_bytes).count, 4u * 1024 * 1024);
    EXPECT_EQ(values.get(membership::silence_timeout), 3s);
    EXPECT_EQ(values.get(membership::answer_timeout), 4s);
    EXPECT_TRUE(check_values(values).empty());
}

TEST(Product, ChecksBetweenKeys) {
    EXPECT_EQ(faults_of("[http]\nidle_timeout = \"1s\"\n", product_schema()),
              "F:2:1: idle_timeout_crowded, 2s, must not exceed idle_timeout, 1s (http.idle_timeout); raise "
              "idle_timeout or lower idle_timeout_crowded\n");
    EXPECT_EQ(faults_of("[http]\nkeepalive_share = 0.6\n", product_schema()),
              "F:2:1: keepalive_share, 0.6, must not exceed client_share, 0.5 (http.keepalive_share); raise "
              "client_share or lower keepalive_share\n");
    EXPECT_EQ(faults_of("[http]\nkeepalive_share = 0.6\nclient_share = 0.6\n", product_schema()), "");
}

std::string file_with(const Setting& setting, const std::string& value) {
    const Schema schema = product_schema();
    const Table& table = *schema.find(setting.table);
    std::string text = table.kind == Kind::many ? "[[" + table.name + "]]\n" : "[" + table.name + "]\n";
    return text + setting.name + " = " + value + "\n";
}

// Returns the fault of this setting. Other settings may have faults, too.
std::string fault_of(const Setting& setting, const std::string& value) {
    const Reading reading = read_text(file_with(setting, value), product_schema());
    if (const auto* faults = std::get_if<Faults>(&reading)) {
        for (const Fault& fault : faults->first()) {
            if (fault.key == setting.text()) return line_of("F", fault);
        }
    }
    return {};
}

std::string value_position(const Setting& setting) {
    return "F:2:" + std::to_string(setting.name.size() + 4) + ": ";
}

void expect_fault(const Setting& setting, const std::string& value, const std::string& expected_part) {
    const std::string fault = fault_of(setting, value);
    EXPECT_EQ(fault.rfind(value_position(setting), 0), 0u) << file_with(setting, value) << fault;
    EXPECT_NE(fault.find(expected_part), std::string::npos) << file_with(setting, value) << fault;
}

// Bounds are written in the smallest unit here, independently of how the product formats them.
void expect_bounds(const Setting& setting, std::int64_t least, std::int64_t most, const std::string& unit) {
    const auto text = [&](std::int64_t number) {
        return unit.empty() ? std::to_string(number) : "\"" + std::to_string(number) + unit + "\"";
    };
    if (least > 0 || unit.empty()) expect_fault(setting, text(least - 1), "out of range " + setting.range());
    expect_fault(setting, text(most + 1), "out of range " + setting.range());
    for (const std::int64_t edge : {least, most}) {
        EXPECT_EQ(fault_of(setting, text(edge)).find("out of range"), std::string::npos) << text(edge);
    }
    if (unit.empty()) return;
    expect_fault(setting, std::to_string(most), "wanted a ");
    expect_fault(setting, "\"" + std::to_string(most) + "\"", "has no unit");
    expect_fault(setting, "\"-1" + unit + "\"", "cannot be negative");
}

TEST(Product, EverySettingEnforcesItsBounds) {
    const Schema schema = product_schema();
    for (const Table& table : schema.tables()) {
        for (const Setting& setting : table.settings) {
            SCOPED_TRACE(setting.text());
            expect_fault(setting, "1979-05-27", "found a date or time");
            expect_fault(setting, "{}", "found a table");
            switch (setting.type) {
                case Type::integer:
                    expect_bounds(setting, std::get<std::int64_t>(setting.least),
                                  std::get<std::int64_t>(setting.most), "");
                    expect_fault(setting, "\"1\"", "write it without quotes");
                    break;
                case Type::real: {
                    const double least = std::get<double>(setting.least),
                                 most = std::get<double>(setting.most);
                    expect_fault(setting, std::to_string(least - 0.01), "out of range " + setting.range());
                    expect_fault(setting, std::to_string(most + 0.01), "out of range " + setting.range());
                    expect_fault(setting, "nan", "finite");
                    expect_fault(setting, "true", "wanted a number");
                    break;
                }
                case Type::duration:
                    expect_bounds(setting, std::get<Micros>(setting.least).count(),
                                  std::get<Micros>(setting.most).count(), "us");
                    break;
                case Type::bytes:
                    expect_bounds(setting, static_cast<std::int64_t>(std::get<Bytes>(setting.least).count),
                                  static_cast<std::int64_t>(std::get<Bytes>(setting.most).count), "B");
                    break;
                case Type::choice:
                    expect_fault(setting, "\"none_such_word\"", "is not ");
                    for (const std::string& word : setting.words) {
                        // The word alone may be rejected for lack of other keys, but not as an unknown word.
                        EXPECT_EQ(fault_of(setting, "\"" + word + "\"").find("is not "), std::string::npos);
                    }
                    break;
                case Type::text:
                case Type::path: expect_fault(setting, "1", "write it in quotes"); break;
                case Type::boolean: expect_fault(setting, "1", "write true"); break;
                case Type::address: expect_fault(setting, "\"a\"", "has no port"); break;
                case Type::texts: expect_fault(setting, "[1]", "wanted a text"); break;
            }
        }
    }
}

// Every typing error of one letter in every key is reported with the correct key, unless the result is
// another key.
TEST(Product, SuggestsTheCorrectKeyForTypingErrors) {
    const Schema schema = product_schema();
    for (const Table& table : schema.tables()) {
        for (const Setting& setting : table.settings) {
            std::vector<std::string> misspellings;
            for (std::size_t i = 0; i < setting.name.size(); ++i) {
                std::string left_out = setting.name, changed = setting.name, added = setting.name;
                left_out.erase(i, 1);
                changed[i] = changed[i] == 'q' ? 'x' : 'q';
                added.insert(i, 1, 'q');
                misspellings.insert(misspellings.end(), {left_out, changed, added});
                if (i == 0 || setting.name[i] == setting.name[i - 1]) continue;
                std::string swapped = setting.name;
                std::swap(swapped[i], swapped[i - 1]);
                misspellings.push_back(swapped);
            }
            for (const std::string& misspelling : misspellings) {
                if (table.find(misspelling)) continue;
                Setting other = setting;
                other.name = misspelling;
                const Reading reading = read_text(file_with(other, "1"), schema);
                ASSERT_TRUE(std::holds_alternative<Faults>(reading)) << misspelling;
                const auto& faults = std::get<Faults>(reading).first();
                const auto found = std::find_if(faults.begin(), faults.end(), [](const Fault& fault) {
                    return fault.what == "unknown key" && fault.at == Position{2, 1};
                });
                ASSERT_NE(found, faults.end()) << misspelling;
                EXPECT_EQ(found->remedy, "did you mean " + setting.name + "?") << misspelling;
            }
        }
    }
}

TEST(Product, ExampleFileGivesTheDefaults) {
    const Values written = read(example(product_schema()), product_schema());
    EXPECT_TRUE(changes(Values(product_schema()), written).empty());
    const Schema samples = samples::schema();
    EXPECT_TRUE(changes(Values(samples), read(example(samples), samples)).empty());
}

TEST(Product, ThePageMatchesTheCode) {
    EXPECT_EQ(content_of(root / "docs/operators/settings.md"), page(product_schema()))
        << "regenerate it: flaxdoor settings --page >docs/operators/settings.md";
}

// The page is generated from the schema; this test checks independently that the page and the examples have
// every key.
TEST(Product, ThePageAndTheExamplesHaveEveryKey) {
    std::map<std::string, std::string> sections;  // the page's section of each table
    std::string heading;
    std::istringstream lines(content_of(root / "docs/operators/settings.md"));
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("## ", 0) == 0) heading = line.substr(3);
        sections[heading] += line + "\n";
    }
    std::set<std::string> in_examples;
    std::string table;
    for (const auto& path : files_in(root / "deploy/examples")) {
        std::istringstream content(content_of(path));
        for (std::string line; std::getline(content, line);) {
            // A commented-out key counts; it has no space after the #.
            if (!line.empty() && line[0] == '#') line.erase(0, 1);
            if (!line.empty() && line[0] == '[') table = line.substr(0, line.find_last_of(']') + 1);
            const auto equals = line.find(" = ");
            if (equals != std::string::npos && is_key_name(line.substr(0, equals))) {
                in_examples.insert(table + line.substr(0, equals));
            }
        }
    }
    const Schema schema = product_schema();
    std::set<std::string> known;
    for (const Table& each : schema.tables()) {
        const std::string header = each.kind == Kind::many ? "[[" + each.name + "]]" : "[" + each.name + "]";
        for (const Setting& setting : each.settings) {
            EXPECT_NE(sections[header].find("| `" + setting.name + "` | "), std::string::npos)
                << setting.text();
            EXPECT_TRUE(in_examples.count(header + setting.name)) << "in no example: " << setting.text();
            known.insert(header + setting.name);
        }
    }
    for (const std::string& key : in_examples) EXPECT_TRUE(known.count(key)) << "no such key: " << key;
}

TEST(Product, EveryExampleIsAccepted) {
    const auto files = files_in(root / "deploy/examples");
    ASSERT_FALSE(files.empty());
    for (const auto& path : files) {
        EXPECT_EQ(faults_of(content_of(path), product_schema()), "") << path;
    }
    const Values core = read(content_of(root / "deploy/examples/core.toml"), product_schema());
    EXPECT_TRUE(changes(Values(product_schema()), core).empty()) << "core.toml shows the defaults";
}

}  // namespace
}  // namespace flaxdoor::settings
