// Resources and the watch's stream: any JSON as any kind of resource gives a plan, the same each time, whose
// tables can be built; any bytes as a list or a watch, in any pieces, give the same changes.
#include <cstddef>
#include <cstdint>
#include <string>

#include "fuzz/require.h"
#include "gateway/controller.h"
#include "gateway/status.h"
#include "kube/answer.h"
#include "kube/reflector.h"
#include "routes/table.h"

using namespace flaxdoor;
using namespace flaxdoor::gateway;

using flaxdoor::fuzz::require;

namespace {

// What a reflector makes of these bytes, `step` at a time; the first byte says whether they are a watch.
std::string changes_of(std::string_view bytes, bool watch, std::size_t step) {
    kube::ReflectorOptions options;
    options.path = "/x";
    options.line_bytes = 2000;
    options.page_bytes = 3000;
    kube::Reflector reflector(options);
    Time now{1};
    (void)reflector.next(now, 0.5);
    if (watch) {
        reflector.on_status(200, Micros{});
        reflector.on_body(
            R"({"metadata":{"resourceVersion":"5"},"items":[{"metadata":{"name":"a","uid":"u","resourceVersion":"3"}}]})");
        reflector.call_ended(now, true, "", 0.5);
        now += std::chrono::seconds(1);
        (void)reflector.next(now, 0.5);
    }
    reflector.on_status(200, Micros{});
    for (std::size_t at = 0; at < bytes.size(); at += step) reflector.on_body(bytes.substr(at, step));
    reflector.call_ended(now, true, "", 0.5);
    std::string out;
    while (auto change = reflector.take()) {
        out += std::to_string(static_cast<int>(change->kind)) +
               change->object.dump(-1, ' ', false, Json::error_handler_t::replace);
        for (const auto& each : change->objects)
            out += each.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    return out + reflector.version() + (reflector.listed() ? "l" : "");
}

std::string answer_of(std::string_view bytes, std::size_t step) {
    std::string body;
    kube::Answer answer([&](std::string_view piece) { body.append(piece); });
    bool good = true;
    for (std::size_t at = 0; at < bytes.size() && good; at += step)
        good = answer.receive(bytes.substr(at, step));
    if (good) answer.receive_end();
    return answer.done() && answer.error().empty() ? std::to_string(answer.status()) + body : "";
}

void plan_of(const Json& all) {
    Controller controller({}, {std::chrono::seconds(1), 0.5, 1});
    const auto put = [&](const Json& object) {
        const auto kind = object.is_object() && object.contains("kind") && object["kind"].is_string()
                              ? kind_named(object["kind"].get<std::string>())
                              : std::nullopt;
        if (kind) {
            (void)controller.put(Time{1}, *kind, object);
        } else {
            for (const KindOf each : all_kinds) (void)controller.put(Time{1}, each, object);
        }
    };
    (void)controller.put(
        Time{1}, KindOf::gateway_class,
        Json::parse(R"({"metadata":{"name":"c"},"spec":{"controllerName":"flaxdoor.dev/gateway"}})"));
    (void)controller.put(
        Time{1}, KindOf::gateway,
        Json::parse(R"({"metadata":{"name":"g","namespace":"n"},"spec":{"gatewayClassName":"c",
        "listeners":[{"name":"l","port":80,"protocol":"HTTP","allowedRoutes":{"namespaces":{"from":"All"}}}]}})"));
    if (all.is_array()) {
        for (const Json& each : all) put(each);
    } else {
        put(all);
    }
    auto made = controller.outcome();
    require(made.ports.has_value() && made.statuses.has_value(), "no plan");
    for (auto& [port, its] : *made.ports) {
        const auto built = routes::Table::build(its.table);
        require(std::holds_alternative<std::shared_ptr<const routes::Table>>(built),
                "a table that can't be built");
        const http::Fields fields;
        (void)std::get<std::shared_ptr<const routes::Table>>(built)->match(
            {"GET", "h.example", "/a/b", "c=d", &fields});
    }
    for (const auto& each : *made.statuses) {
        const auto first = merged(each.kind, Json::object(), each.status, "flaxdoor.dev/gateway", 1);
        if (first)
            require(!merged(each.kind, *first, each.status, "flaxdoor.dev/gateway", 2),
                    "a status is written twice");
        // Whatever stands there already.
        (void)merged(each.kind, all, each.status, "flaxdoor.dev/gateway", 1);
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    if (bytes.empty()) return 0;
    switch (data[0] % 4) {
        case 0:
        case 1: {
            const bool watch = data[0] % 4 == 0;
            const std::string whole = changes_of(bytes, watch, bytes.size());
            for (const std::size_t step : {std::size_t{1}, std::size_t{7}})
                require(changes_of(bytes, watch, step) == whole, "the changes differ with the split");
            break;
        }
        case 2: {
            const std::string whole = answer_of(bytes, bytes.size());
            require(answer_of(bytes, 1) == whole, "the answer differs with the split");
            break;
        }
        default: {
            const Json all = Json::parse(bytes, nullptr, false);
            if (!all.is_discarded()) plan_of(all);
        }
    }
    return 0;
}
