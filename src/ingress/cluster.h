// A Kubernetes cluster as the source of routes. It watches the resources, computes route tables and pools for
// the event loop, and writes the statuses of the resources. All of this runs on a separate thread.
//
// Threading: created and destroyed on the loop's thread; it owns its thread. on_change and log are called on
//            the loop's thread, through the given executor.
// Errors:    the constructor throws std::runtime_error for an unusable configuration. An unreachable API
//            server is no error: the last known routes stay in use.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ports.h"
#include "gateway/guard.h"
#include "gateway/plan.h"
#include "gateway/status.h"
#include "ingress/change.h"
#include "kube/config.h"
#include "kube/lease.h"
#include "loop/clock.h"
#include "loop/executor.h"

namespace flaxdoor::ingress {

struct ClusterOptions {
    kube::Config server;
    gateway::PlanOptions plan;  // set_ports() provides PlanOptions::ports
    gateway::UpdateGuard::Options guard;
    bool write_status = true;
    gateway::StatusWriter::Options writer;
    kube::Lease::Options lease;
    Micros apply_every = std::chrono::milliseconds(50);  // minimum time between two changes
    // As in kube::ReflectorOptions.
    std::size_t page = 500;
    Micros watch_for = std::chrono::seconds(300), silence = std::chrono::seconds(60);
    Micros min_backoff = std::chrono::milliseconds(500), max_backoff = std::chrono::seconds(30);
    std::uint64_t seed = 0;
};

struct ClusterFigures {
    std::uint64_t changes = 0, plans = 0, written = 0, lists = 0, objects = 0;
    bool synced = false, holds_lease = false;
    std::string held;  // UpdateGuard::text()
};

class Cluster {
public:
    Cluster(const loop::Executor& loop, core::Log& log, const loop::Clock& clock, ClusterOptions options,
            std::function<void(Change)> on_change);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    // Sets the result of opening each port, as in gateway::PlanOptions::ports.
    void set_ports(std::map<std::uint16_t, std::string> ports);
    // Returns the figures that the cluster's thread published last.
    ClusterFigures figures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::ingress
