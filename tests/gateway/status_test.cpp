#include "gateway/status.h"

#include <gtest/gtest.h>

namespace flaxdoor::gateway {
namespace {

using namespace std::chrono_literals;

const std::string own_controller = "flaxdoor.dev/gateway";

Json condition(const std::string& type, const std::string& status, const std::string& reason = "R") {
    return {
        {"type", type}, {"status", status}, {"reason", reason}, {"message", ""}, {"observedGeneration", 1}};
}
Json with_time(Json condition, const std::string& time) {
    condition["lastTransitionTime"] = time;
    return condition;
}

TEST(Status, TheTransitionTimeChangesOnlyWithTheStatus) {
    const Json current = {{"conditions",
                           {with_time(condition("Accepted", "True", "Old"), "2026-01-01T00:00:00Z"),
                            with_time(condition("Programmed", "True"), "2026-01-01T00:00:00Z")}}};
    const Json desired = {
        {"conditions", {condition("Accepted", "True", "New"), condition("Programmed", "False")}}};
    const auto merged_status = merged(KindOf::gateway, current, desired, own_controller, 1796083200);
    ASSERT_TRUE(merged_status);
    EXPECT_EQ((*merged_status)["conditions"][0]["lastTransitionTime"], "2026-01-01T00:00:00Z");
    EXPECT_EQ((*merged_status)["conditions"][0]["reason"], "New");
    EXPECT_EQ((*merged_status)["conditions"][1]["lastTransitionTime"], "2026-12-01T00:00:00Z");
    EXPECT_FALSE(merged(KindOf::gateway, *merged_status, desired, own_controller, 1796999999))
        << "nothing is written if nothing differs";
}

TEST(Status, KeepsConditionsAndParentsOfOtherControllers) {
    const Json foreign = with_time(condition("other.example/Seen", "True"), "2026-01-01T00:00:00Z");
    const Json current = {{"conditions", {foreign}}};
    const auto merged_status = merged(KindOf::gateway, current,
                                      {{"conditions", {condition("Accepted", "True")}}}, own_controller, 1);
    ASSERT_TRUE(merged_status);
    EXPECT_EQ((*merged_status)["conditions"].size(), 2U);
    EXPECT_EQ((*merged_status)["conditions"][1], foreign);

    const Json foreign_parent = {
        {"parentRef", {{"name", "g"}}}, {"controllerName", "other"}, {"conditions", {foreign}}};
    const Json own_parent = {{"parentRef", {{"name", "g"}}},
                             {"controllerName", own_controller},
                             {"conditions", {condition("Accepted", "True")}}};
    const Json old = {
        {"parentRef", {{"name", "old"}}}, {"controllerName", own_controller}, {"conditions", Json::array()}};
    const Json route = {{"parents", {old, foreign_parent}}};
    const auto parents = merged(KindOf::http_route, route, {{"parents", {own_parent}}}, own_controller, 1);
    ASSERT_TRUE(parents);
    EXPECT_EQ((*parents)["parents"].size(), 2U) << "an own entry that is no longer desired is removed";
    EXPECT_EQ((*parents)["parents"][0], foreign_parent);
    const auto none = merged(KindOf::http_route, *parents, {{"parents", Json::array()}}, own_controller, 1);
    ASSERT_TRUE(none);
    EXPECT_EQ((*none)["parents"], Json::array({foreign_parent}));
    EXPECT_FALSE(merged(KindOf::http_route, Json::object(), {{"parents", Json::array()}}, own_controller, 1));
    // A different order of the entries causes no write.
    Json reordered = *parents;
    std::swap(reordered["parents"][0], reordered["parents"][1]);
    EXPECT_FALSE(merged(KindOf::http_route, reordered, {{"parents", {own_parent}}}, own_controller, 1));
}

struct WriterFixture {
    WriterFixture()
        : writer([] {
              StatusWriter::Options options;
              options.controller = own_controller;
              options.per_s = 1;
              options.burst = 2;
              return options;
          }()) {}
    void route(const std::string& name, const std::string& version, Json status = Json::object()) {
        resources.put(KindOf::http_route,
                      {{"metadata", {{"name", name}, {"resourceVersion", version}, {"generation", 1}}},
                       {"spec", Json::object()},
                       {"status", std::move(status)}});
    }
    static DesiredStatus want(const std::string& name, const std::string& status) {
        const Json parent = {{"parentRef", {{"name", "g"}}},
                             {"controllerName", own_controller},
                             {"conditions", {condition("Accepted", status)}}};
        return {KindOf::http_route, name, {{"parents", {parent}}}};
    }
    Resources resources;
    StatusWriter writer;
};

TEST(StatusWriter, WritesOneAtATimeWithAVersionAndOnlyAsLeaseHolder) {
    WriterFixture fixture;
    fixture.route("a", "5");
    fixture.writer.want({WriterFixture::want("a", "True")});
    EXPECT_FALSE(fixture.writer.next(1s, false, fixture.resources));
    const auto write = fixture.writer.next(1s, true, fixture.resources);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->patch["metadata"]["resourceVersion"], "5");
    EXPECT_FALSE(fixture.writer.next(1s, true, fixture.resources)) << "a write is in flight";
    Json status = write->patch["status"];
    fixture.route("a", "6", status);
    fixture.writer.ended(1s, WriteResult::done, 0.5);
    EXPECT_FALSE(fixture.writer.next(1s, true, fixture.resources))
        << "the event of the own write causes no further write";
    EXPECT_EQ(fixture.writer.sent(), 1U);
}

TEST(StatusWriter, AConflictOrRefusalIsNotRepeatedBeforeAChange) {
    for (const WriteResult result : {WriteResult::conflict, WriteResult::refused, WriteResult::gone}) {
        WriterFixture fixture;
        fixture.route("a", "5");
        fixture.writer.want({WriterFixture::want("a", "True")});
        ASSERT_TRUE(fixture.writer.next(1s, true, fixture.resources));
        fixture.writer.ended(1s, result, 0.5);
        EXPECT_FALSE(fixture.writer.next(100s, true, fixture.resources));
        EXPECT_FALSE(fixture.writer.due(100s));
        fixture.writer.want({WriterFixture::want("a", "True")});
        EXPECT_FALSE(fixture.writer.next(100s, true, fixture.resources)) << "the desired status is unchanged";
        fixture.route("a", "7");
        EXPECT_TRUE(fixture.writer.next(100s, true, fixture.resources)) << "another version";
    }
}

TEST(StatusWriter, AFailedWriteIsRetriedLaterAndDoesNotBlockOthers) {
    WriterFixture fixture;
    fixture.route("a", "5");
    fixture.route("b", "5");
    fixture.writer.want({WriterFixture::want("a", "True"), WriterFixture::want("b", "True")});
    ASSERT_EQ(fixture.writer.next(1s, true, fixture.resources)->key, "a");
    fixture.writer.ended(1s, WriteResult::retry, 0.5);
    const auto second = fixture.writer.next(1s, true, fixture.resources);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->key, "b");
    fixture.writer.ended(1s, WriteResult::retry, 0.5);
    EXPECT_FALSE(fixture.writer.next(1s, true, fixture.resources));
    ASSERT_TRUE(fixture.writer.due(1s));
    EXPECT_GT(*fixture.writer.due(1s), Time(1s));
    EXPECT_TRUE(fixture.writer.next(10s, true, fixture.resources));
}

TEST(StatusWriter, LimitsTheWriteRate) {
    WriterFixture fixture;
    for (int i = 0; i < 10; ++i) fixture.route("r" + std::to_string(i), "5");
    std::vector<DesiredStatus> all;
    for (int i = 0; i < 10; ++i) all.push_back(WriterFixture::want("r" + std::to_string(i), "True"));
    fixture.writer.want(all);
    int sent = 0;
    for (Time now = 10s; now < 13500ms; now += 100ms) {
        if (!fixture.writer.next(now, true, fixture.resources)) continue;
        ++sent;
        fixture.writer.ended(now, WriteResult::refused, 0.5);
    }
    EXPECT_EQ(sent, 2 + 3) << "a burst of two, then one per second";
}

}  // namespace
}  // namespace flaxdoor::gateway
