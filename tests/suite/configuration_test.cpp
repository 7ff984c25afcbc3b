// The configuration at the start and under way: taken whole, or not at all.
#include "peers.h"

namespace flaxdoor::test {
namespace {

// One line tells what is wrong, and it ends at once.
TEST(Configuration, WhatIsWrongEndsTheStart) {
    Stage good;
    json short_of = good.config;
    short_of["settings"].erase("siblings");
    json elsewhere = good.config;
    elsewhere["listen"] = text_of(good.discovery.address());  // taken
    json senseless = good.config;
    senseless["settings"]["services"][0]["worth"] = -1;
    for (const std::string& text : {std::string("{\"settings\":"), std::string("[]"), std::string(),
                                    short_of.dump(), elsewhere.dump(), senseless.dump()}) {
        Stage s;
        EXPECT_FALSE(s.form->start({text, {}, {}}));
        EXPECT_EQ(s.form->status(), 1) << text;
        EXPECT_EQ(s.form->log().size(), 1U) << text;
        EXPECT_EQ(s.logged("flaxdoor: "), 1U) << text;
    }
}

// A broken file changes nothing and costs one line; the old configuration stays, and the next good one is
// taken.
TEST(Configuration, ABrokenOneLeavesTheOldOne) {
    Stage s;
    Listener other(s.loop);
    s.start();
    const auto watch = s.watch();
    const auto client = s.client();
    const auto wire = s.send(*client, s.look());
    json named_twice = s.config;
    named_twice["settings"]["services"][1]["name"] = "look";
    const std::string twice = named_twice.dump();
    for (const char* broken : {"{\"settings\":", "", "[]", "{}", twice.c_str()}) {
        const auto lines = s.form->log().size();
        s.form->take(broken);
        s.until([&] { return s.form->log().size() > lines; });
        s.settle();
        EXPECT_EQ(s.form->log().size(), lines + 1) << broken;
        EXPECT_TRUE(s.form->log()[lines].starts_with("the old configuration stays: ")) << broken;
    }
    EXPECT_FALSE(watch->ended);
    s.pass(*wire, *client);
    s.config["discovery"] = text_of(other.address());
    s.take();
    EXPECT_TRUE(has(s.watch(other)->in, "index=7 "));
}

}  // namespace
}  // namespace flaxdoor::test
