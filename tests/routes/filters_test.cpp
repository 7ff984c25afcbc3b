#include "routes/filters.h"

#include <gtest/gtest.h>

namespace flaxdoor::routes {
namespace {

// The examples of the specification (HTTPPathModifier, ReplacePrefixMatch).
TEST(RoutesFilters, ReplacesAPrefixAsInTheSpecificationsExamples) {
    struct Line {
        const char *path, *matched, *value, *expected;
    };
    const Line lines[] = {
        {"/foo/bar", "/foo", "/xyz", "/xyz/bar"},
        {"/foo/bar", "/foo", "/xyz/", "/xyz/bar"},
        {"/foo/bar", "/foo/", "/xyz", "/xyz/bar"},
        {"/foo/bar", "/foo/", "/xyz/", "/xyz/bar"},
        {"/foo", "/foo", "/xyz", "/xyz"},
        {"/foo/", "/foo", "/xyz", "/xyz/"},
        {"/foo/bar", "/foo", "", "/bar"},
        {"/foo/", "/foo", "", "/"},
        {"/foo", "/foo", "", "/"},
        {"/foo/", "/foo", "/", "/"},
        {"/foo", "/foo", "/", "/"},
        {"/a", "/", "/x", "/x/a"},
    };
    for (const Line& line : lines)
        EXPECT_EQ(edited_path(line.path, line.matched, {true, line.value}), line.expected)
            << line.path << " " << line.matched << " " << line.value;
    EXPECT_EQ(edited_path("/foo/bar", "/foo", {false, "/whole"}), "/whole");
}

TEST(RoutesFilters, ARewriteKeepsTheQuery) {
    Rewrite rewrite;
    rewrite.path = PathEdit{true, "/v2"};
    EXPECT_EQ(rewritten_target(split_target("/v1/slots?day=2"), "/v1", rewrite), "/v2/slots?day=2");
}

TEST(RoutesFilters, ARedirectUsesThePortOfItsSchemeOrOfTheListener) {
    const Target target = split_target("/a?b=c");
    Redirect redirect;
    EXPECT_EQ(redirect_location({"http", "h.example", 8080}, target, "/", redirect),
              "http://h.example:8080/a?b=c");
    EXPECT_EQ(redirect_location({"http", "h.example", 80}, target, "/", redirect), "http://h.example/a?b=c");
    redirect.scheme = "https";
    EXPECT_EQ(redirect_location({"http", "h.example", 8080}, target, "/", redirect),
              "https://h.example/a?b=c");
    redirect.port = 8443;
    redirect.host = "other.example";
    redirect.path = PathEdit{false, "/new"};
    EXPECT_EQ(redirect_location({"http", "h.example", 8080}, target, "/", redirect),
              "https://other.example:8443/new?b=c");
}

TEST(RoutesFilters, SetsAddsAndRemovesHeadersIgnoringCase) {
    http::Fields fields;
    fields.add("X-A", "1");
    fields.add("X-B", "2");
    HeaderEdit edit;
    edit.set = {{"x-a", "new"}};
    edit.add = {{"X-B", "3"}, {"X-C", "4"}};
    edit.remove = {"x-c"};
    apply_header_edit(fields, edit);
    EXPECT_EQ(fields["X-A"], "new");
    EXPECT_EQ(fields.count("X-A"), 1U);
    EXPECT_EQ(fields.count("X-B"), 2U);
    EXPECT_EQ(fields.count("X-C"), 0U);
}

}  // namespace
}  // namespace flaxdoor::routes
