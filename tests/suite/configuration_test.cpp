// Tests of the configuration at the start and while running: it is applied completely or not at all.
#include "peers.h"

namespace flaxdoor::test {
namespace {

// An invalid configuration makes the balancer log one line with the error and exit.
TEST(Configuration, AnInvalidConfigurationPreventsTheStart) {
    BalancerFixture valid;
    json missing_key = valid.config;
    missing_key["settings"].erase("siblings");
    json address_in_use = valid.config;
    address_in_use["listen"] = text_of(valid.discovery.address());  // an address in use
    json invalid_value = valid.config;
    invalid_value["settings"]["services"][0]["worth"] = -1;
    for (const std::string& text : {std::string("{\"settings\":"), std::string("[]"), std::string(),
                                    missing_key.dump(), address_in_use.dump(), invalid_value.dump()}) {
        BalancerFixture fixture;
        EXPECT_FALSE(fixture.form->start({text, {}, {}}));
        EXPECT_EQ(fixture.form->status(), 1) << text;
        EXPECT_EQ(fixture.form->log().size(), 1U) << text;
        EXPECT_EQ(fixture.logged("flaxdoor: "), 1U) << text;
    }
}

// An invalid new configuration changes nothing and logs one line; the previous one stays active, and the next valid
// one is applied.
TEST(Configuration, AnInvalidConfigurationKeepsThePreviousOne) {
    BalancerFixture fixture;
    Listener other(fixture.loop);
    fixture.start();
    const auto watch = fixture.watch();
    const auto client = fixture.client();
    const auto wire = fixture.send(*client, fixture.look());
    json duplicate_name = fixture.config;
    duplicate_name["settings"]["services"][1]["name"] = "look";
    const std::string duplicate_name_text = duplicate_name.dump();
    for (const char* invalid : {"{\"settings\":", "", "[]", "{}", duplicate_name_text.c_str()}) {
        const auto line_count = fixture.form->log().size();
        fixture.form->take(invalid);
        fixture.until([&] { return fixture.form->log().size() > line_count; });
        fixture.settle();
        EXPECT_EQ(fixture.form->log().size(), line_count + 1) << invalid;
        EXPECT_TRUE(fixture.form->log()[line_count].starts_with("the old configuration stays: ")) << invalid;
    }
    EXPECT_FALSE(watch->ended);
    fixture.pass(*wire, *client);
    fixture.config["discovery"] = text_of(other.address());
    fixture.reconfigure();
    EXPECT_TRUE(has(fixture.watch(other)->in, "index=7 "));
}

}  // namespace
}  // namespace flaxdoor::test
