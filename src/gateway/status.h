// Decides which statuses to write and when. It compares the desired status with the object's current one,
// keeps the conditions of other controllers and the times of unchanged conditions, limits the write rate, and
// handles conflicts. No I/O: it returns the requests to send and receives their results.
//
// Threading: one thread at a time.   Time is an argument.
// Format:    JSON merge patch (RFC 7396) of the subresource status; conditions as in meta/v1.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "gateway/plan.h"
#include "gateway/resources.h"

namespace flaxdoor::gateway {

// Returns the fields of the status that differ from `current`, with transition times, or nothing if none
// differs. `now` is in Unix seconds.
[[nodiscard]] std::optional<Json> merged(KindOf kind, const Json& current, const Json& desired,
                                         const std::string& controller, std::int64_t now);

// A status write to send.
struct StatusWrite {
    KindOf kind{};
    std::string key;      // namespace/name
    std::string version;  // resourceVersion on which the patch is based
    Json patch;           // the complete request body
};

enum class WriteResult {
    // The server returned the updated object.
    done,
    // Another writer was first. The patch is computed again from the version that the watch delivers.
    conflict,
    // The object does not exist.
    gone,
    // The server rejects the status. It is not sent again until the desired status or the object changes.
    refused,
    // The result is unknown. The write is sent again after a back-off.
    retry,
};

class StatusWriter {
public:
    struct Options {
        std::string controller;
        double per_s = 50;  // sustained writes per second
        std::size_t burst = 100;
        Micros min_backoff = std::chrono::milliseconds(500), max_backoff = std::chrono::seconds(30);
    };
    explicit StatusWriter(Options options)
        : options_(std::move(options)), tokens_(static_cast<double>(options_.burst)) {}

    // Sets all desired statuses. Objects without an entry are no longer written.
    void want(std::vector<DesiredStatus> all);
    // Discards what was learned about versions of a kind after a full list. The list may come from a server
    // with another history, which assigns the same version numbers again.
    void listed(KindOf kind);
    // Returns the next write if one is due and none is in flight. `holds`: this process holds the lease and
    // may write.
    [[nodiscard]] std::optional<StatusWrite> next(Time now, bool holds, const Resources& resources);
    // Reports the result of the write in flight. `chance` is a random number in [0, 1). After `done` the
    // caller puts the returned object into the resources if it is newer than the one that they hold.
    void ended(Time now, WriteResult result, double chance);
    // Returns when next() may have a write even if nothing changes before; nothing if there is no such time.
    std::optional<Time> due(Time now) const;

    std::uint64_t sent() const { return sent_; }
    bool idle() const { return !in_flight_; }

private:
    using ObjectRef = std::pair<KindOf, std::string>;
    struct Entry {
        Json status;
        std::string refused_version;  // resourceVersion at which a write was refused or in conflict
        std::string settled_version;  // resourceVersion at which nothing had to be written
        bool refused = false;
        int failures = 0;
        Time not_before{};
    };
    bool take_token(Time now);

    Options options_;
    std::map<ObjectRef, Entry> desired_;
    std::optional<ObjectRef> in_flight_;
    std::string in_flight_version_;
    ObjectRef last_{};
    double tokens_;
    Time filled_{};
    bool rate_limited_ = false;  // the rate limit delayed a write
    std::optional<Time> retry_at_;
    std::uint64_t sent_ = 0;
};

}  // namespace flaxdoor::gateway
