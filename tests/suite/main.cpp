// Runs the suite against the form of the balancer that it is linked with, and skips the tests that this form does not
// support.
#include <gtest/gtest.h>

#include <iostream>
#include <string>
#include <vector>

#include "balancer_under_test.h"

namespace flaxdoor::test {
namespace {

bool matches(std::string_view entry, std::string_view test) {
    if (!entry.empty() && entry.back() == '*') return test.starts_with(entry.substr(0, entry.size() - 1));
    return entry == test;
}

std::string name_of(const testing::TestInfo& test) {
    return std::string(test.test_suite_name()) + "." + test.name();
}

class SkipUnsupported final : public testing::EmptyTestEventListener {
    void OnTestStart(const testing::TestInfo& test) override {
        for (const UnsupportedTest& each : unsupported_tests()) {
            if (matches(each.test, name_of(test))) GTEST_SKIP() << each.why;
        }
    }
};

// A form's list of unsupported tests names existing tests, with a reason, and covers at most one test in ten.
TEST(Form, SupportsNineTestsInTen) {
    const testing::UnitTest& unit_test = *testing::UnitTest::GetInstance();
    std::vector<std::string> tests;
    for (int i = 0; i < unit_test.total_test_suite_count(); ++i) {
        const testing::TestSuite& suite = *unit_test.GetTestSuite(i);
        for (int n = 0; n < suite.total_test_count(); ++n) tests.push_back(name_of(*suite.GetTestInfo(n)));
    }
    std::size_t unsupported = 0;
    for (const UnsupportedTest& each : unsupported_tests()) {
        std::size_t found = 0;
        for (const std::string& test : tests) found += matches(each.test, test);
        EXPECT_GT(found, 0U) << each.test << " does not match a test";
        EXPECT_FALSE(each.why.empty()) << each.test;
        unsupported += found;
    }
    std::cout << unsupported << " of " << tests.size() << " left out\n";
    EXPECT_LE(10 * unsupported, tests.size());
}

}  // namespace
}  // namespace flaxdoor::test

int main(int argc, char** argv) {
    testing::InitGoogleTest(&argc, argv);
    testing::UnitTest::GetInstance()->listeners().Append(
        new flaxdoor::test::SkipUnsupported);  // the listener list takes ownership
    return RUN_ALL_TESTS();
}
