// The controller without I/O. It receives changes of resources, delays implausible removals (guard.h), and
// computes what has changed in ports, pools and statuses since the last call of outcome().
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

[[nodiscard]] std::string key_of(const Json& object);  // namespace/name; empty: no usable metadata

class Controller {
public:
    Controller(PlanOptions options, UpdateGuard::Options guard)
        : options_(std::move(options)), guard_(guard) {}

    // Applies an ADDED or MODIFIED event. Returns why the object was refused, or an empty text.
    [[nodiscard]] std::string put(Time now, KindOf kind, const Json& object);
    void erase(KindOf kind, const std::string& key);
    // Applies a full list. Returns why objects were refused, one text for each.
    [[nodiscard]] std::vector<std::string> list(Time now, KindOf kind, const std::vector<Json>& objects);
    // Applies the object that the API server returned for a status write, if it is newer than the known one.
    void on_written(KindOf kind, const std::string& key, const Json& object);
    // Applies the removals whose hold has expired.
    void tick(Time now);
    // Returns when tick() has work to do.
    std::optional<Time> due() const { return guard_.next(); }
    // Sets the result of opening each port, as in PlanOptions::ports.
    void set_ports(std::map<std::uint16_t, std::string> ports);

    struct PoolUpdate {
        std::string key;
        PoolPlan pool;
        std::vector<PoolEndpoint> endpoints;  // the complete list
        // For each endpoint: when this process saw it become ready. Zero: it was ready in the first list.
        std::vector<Time> since;
    };
    struct Updates {
        std::optional<std::map<std::uint16_t, PortPlan>> ports;  // set if they may differ
        std::vector<PoolUpdate> pools;                           // the pools that differ
        std::vector<std::string> gone;                           // keys of removed pools
        std::optional<std::vector<DesiredStatus>> statuses;      // set if they may differ
    };
    // Returns whether outcome() may have something to return.
    bool dirty() const { return routes_dirty_ || statuses_dirty_ || !services_dirty_.empty(); }
    // Returns the changes since the last call and marks them as returned.
    [[nodiscard]] Updates outcome();
    // Returns whether the status of an object was written, by this or another process, and resets the flag.
    [[nodiscard]] bool take_status_written() { return std::exchange(status_written_, false); }

    const Resources& resources() const { return resources_; }
    // Returns UpdateGuard::text(): what the guard holds back.
    const std::string& held() const { return options_.held; }

private:
    void mark_dirty(const Touched& touched);
    void track_pods(Time now, const std::string& slice, bool first);
    void update_held_text();

    // What outcome() returned last for a pool.
    struct Published {
        PoolPlan pool;
        std::vector<PoolEndpoint> endpoints;
        std::vector<Time> since;
    };

    PlanOptions options_;
    UpdateGuard guard_;
    Resources resources_;
    std::map<std::string, PoolPlan> pools_;
    std::map<std::string, Published> published_;
    std::map<std::string, std::map<std::string, Time>> ready_since_;  // by EndpointSlice, then by pod
    bool slices_listed_ = false;
    bool routes_dirty_ = true, statuses_dirty_ = true, status_written_ = false;
    std::set<std::string> services_dirty_;
};

}  // namespace flaxdoor::gateway
