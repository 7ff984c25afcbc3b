// Leader election among several processes by a Lease object, acquired and renewed like client-go's leader
// election. No I/O.
//
// Threading: one thread at a time.   Time is an argument. Clocks of other hosts are not trusted: a Lease
//            counts as expired when this process has seen no change of it for its duration.
// Format:    coordination.k8s.io/v1 Lease.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "flaxdoor/decide.h"

namespace flaxdoor::kube {

class Lease {
public:
    struct Options {
        std::string space = "default", name = "flaxdoor-gateway", identity;
        // After this time without a renewal other processes may acquire it.
        Micros duration = std::chrono::seconds(15);
        // After this time without a renewal this process stops using it.
        Micros renew_within = std::chrono::seconds(10);
        Micros every = std::chrono::seconds(2);  // interval between calls
    };
    explicit Lease(Options options) : options_(std::move(options)) {}

    struct Call {
        std::string method, target, body;
    };
    // Returns the next call if one is due. `unix_now` is written into the object's time fields.
    [[nodiscard]] std::optional<Call> next(Time now, Time unix_now);
    // Reports the response to the call in flight; status 0: there was none.
    void ended(Time now, int status, const std::string& body);
    std::optional<Time> due() const { return calling_ ? std::nullopt : std::optional(not_before_); }

    bool holds(Time now) const { return held_ && now < held_until_; }
    const std::string& holder() const { return holder_; }

private:
    enum class Step { look, create, update };
    nlohmann::json spec(Time unix_now, bool acquired) const;

    Options options_;
    Step step_ = Step::look;
    bool calling_ = false;
    Time not_before_{}, called_{};
    nlohmann::json seen_;       // the object as last read
    std::string seen_renewal_;  // holder, renewal time and version of `seen_`
    Time seen_since_{};
    std::string holder_;
    bool held_ = false;
    Time held_until_{};
};

}  // namespace flaxdoor::kube
