// What is to be written of a status, and when: compares what it should say with what the object has, keeps
// what is not ours and the times of what has not changed, limits the rate, and takes conflicts for what they
// are. No I/O: requests out, answers in.
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

// The status that the object is to have, with times, where it differs from `current`; nothing where it does
// not. `now` in Unix seconds.
[[nodiscard]] std::optional<Json> merged(KindOf kind, const Json& current, const Json& desired,
                                         const std::string& controller, std::int64_t now);

// One write that is to be sent.
struct Write {
    KindOf kind{};
    std::string key;      // namespace/name
    std::string version;  // that it is made from
    Json patch;           // the whole body
};

enum class Written {
    done,      // with the object as it is now
    conflict,  // somebody else has written it: made anew from what the watch brings
    gone,      // there is no such object
    refused,   // it will not be taken as it is: not sent again until what it should say changes
    retry,     // nobody knows: sent again after a while
};

class StatusWriter {
public:
    struct Options {
        std::string controller;
        double per_s = 50;  // writes, over time
        std::size_t burst = 100;
        Micros retry_least = std::chrono::milliseconds(500), retry_most = std::chrono::seconds(30);
    };
    explicit StatusWriter(Options options)
        : options_(std::move(options)), tokens_(static_cast<double>(options_.burst)) {}

    // All that statuses should say. What is not named is of no concern any more.
    void want(std::vector<Desired> all);
    // A whole list of this kind came: what was learned of versions is forgotten. The list may be of another history,
    // which gives the numbers of the last one again.
    void listed(KindOf kind);
    // The next write, if one is due and none is under way. `holds`: this process may write at all.
    [[nodiscard]] std::optional<Write> next(Time now, bool holds, const Resources& resources);
    // How the write under way ended. `chance` from 0 to below 1. With `done` the object is to be put into the
    // resources by the caller, if it is newer than what they hold.
    void ended(Time now, Written how, double chance);
    // Of a time when something may be due although nothing has happened; nothing: there is none.
    std::optional<Time> due(Time now) const;

    std::uint64_t sent() const { return sent_; }
    bool idle() const { return !under_way_; }

private:
    using Place = std::pair<KindOf, std::string>;
    struct Entry {
        Json status;
        std::string refused_version;  // of the object at which it was refused or in conflict
        std::string settled_version;  // of the object that had nothing to be written
        bool refused = false;
        int failures = 0;
        Time not_before{};
    };
    bool take_token(Time now);

    Options options_;
    std::map<Place, Entry> wanted_;
    std::optional<Place> under_way_;
    std::string under_way_version_;
    Place last_{};
    double tokens_;
    Time filled_{};
    bool starved_ = false;  // the rate held something back
    std::optional<Time> retry_at_;
    std::uint64_t sent_ = 0;
};

}  // namespace flaxdoor::gateway
