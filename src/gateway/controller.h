// The controller without its calls: takes what is told of resources, holds back what is implausible, and says
// what has come of it since it was last asked.
//
// Threading: one thread at a time.   Time is an argument.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/guard.h"
#include "gateway/plan.h"
#include "gateway/resources.h"

namespace flaxdoor::gateway {

[[nodiscard]] std::string key_of(const Json& object);  // namespace/name

class Controller {
public:
    Controller(PlanOptions options, Guard::Options guard) : options_(std::move(options)), guard_(guard) {}

    // An event; what can't be held comes back as text.
    [[nodiscard]] std::string put(Time now, KindOf kind, const Json& object);
    void erase(KindOf kind, const std::string& key);
    // A whole list.
    [[nodiscard]] std::vector<std::string> list(Time now, KindOf kind, const std::vector<Json>& objects);
    // The answer to a write of ours: taken where it is newer than what is known.
    void written(KindOf kind, const std::string& key, const Json& object);
    // Takes what was held back for long enough.
    void tick(Time now);
    std::optional<Time> due() const { return guard_.next(); }
    void set_ports(std::map<std::uint16_t, std::string> ports);

    struct PoolNews {
        std::string key;
        PoolPlan pool;
        std::vector<EndpointOf> endpoints;  // all of them
        std::vector<Time> since;  // of each: when it became ready before our eyes; zero: it was when we came
    };
    struct Outcome {
        std::optional<std::map<std::uint16_t, PortPlan>> ports;  // where they may differ
        std::vector<PoolNews> pools;                             // those that differ
        std::vector<std::string> gone;
        std::optional<std::vector<Desired>> statuses;  // where they may differ
    };
    // Whether there is anything to be asked for.
    bool dirty() const { return routes_dirty_ || statuses_dirty_ || !services_dirty_.empty(); }
    [[nodiscard]] Outcome outcome();
    // A status was written, by us or another: tells once.
    [[nodiscard]] bool take_status_news() { return std::exchange(status_news_, false); }

    const Resources& resources() const { return resources_; }
    const std::string& held() const { return options_.held; }  // in words; empty: nothing

private:
    void note(const Touched& touched);
    void follow_pods(Time now, const std::string& slice, bool first);
    void mind_guard();

    struct Told {
        PoolPlan pool;
        std::vector<EndpointOf> endpoints;
        std::vector<Time> since;
    };

    PlanOptions options_;
    Guard guard_;
    Resources resources_;
    std::map<std::string, PoolPlan> pools_;
    std::map<std::string, Told> told_;
    std::map<std::string, std::map<std::string, Time>> ready_since_;  // of pods, by the slices that have them
    bool slices_listed_ = false;
    bool routes_dirty_ = true, statuses_dirty_ = true, status_news_ = false;
    std::set<std::string> services_dirty_;
};

}  // namespace flaxdoor::gateway
