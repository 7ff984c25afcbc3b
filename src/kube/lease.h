// Who of several may write: a Lease, taken and renewed as client-go's leader election does. No I/O.
//
// Threading: one thread at a time.   Time is an argument; the server's clock is not trusted: a Lease counts
//            as given up when nobody has touched it for its duration, as seen from here.
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
        Micros duration = std::chrono::seconds(15);      // then others may take it
        Micros renew_within = std::chrono::seconds(10);  // without a renewal it is not held any more
        Micros every = std::chrono::seconds(2);
    };
    explicit Lease(Options options) : options_(std::move(options)) {}

    struct Call {
        std::string method, target, body;
    };
    // `unix_now`: for the times that are written into it.
    [[nodiscard]] std::optional<Call> next(Time now, Time unix_now);
    // status 0: the call failed.
    void ended(Time now, int status, const std::string& body);
    std::optional<Time> due() const { return calling_ ? std::nullopt : std::optional(not_before_); }

    bool holds(Time now) const { return held_ && now < held_until_; }
    const std::string& holder() const { return holder_; }

private:
    enum class Step { look, create, update };
    nlohmann::json spec(Time unix_now, bool fresh) const;

    Options options_;
    Step step_ = Step::look;
    bool calling_ = false;
    Time not_before_{}, called_{};
    nlohmann::json seen_;    // the object as it was last read
    std::string seen_mark_;  // its holder and renewal
    Time seen_since_{};
    std::string holder_;
    bool held_ = false;
    Time held_until_{};
};

}  // namespace flaxdoor::kube
