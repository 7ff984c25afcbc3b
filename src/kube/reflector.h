// Tracks one kind of resource at an API server: it lists the objects in pages, watches from the version of
// the list, and starts again when the watch breaks or the version has expired (410). No I/O: it returns the
// calls to make, receives the responses in pieces of any size, and returns the changes.
//
// Threading: one thread at a time.   Time and random numbers are arguments.
// Changes:   a full list is one change; until it is complete the known objects stay. An event that is older
//            than the known version of its object, or that refers to an earlier object of the same name,
//            changes nothing.
// Bounds:    the line of an event and the page of a list have a maximum size; beyond it the call fails.
// Format:    the Kubernetes API's list, watch, bookmarks and Status (docs: "API concepts").
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::kube {

struct ReflectorOptions {
    std::string path;      // "/apis/gateway.networking.k8s.io/v1/httproutes"
    std::string selector;  // further query parameters, like "fieldSelector=..."; empty: none
    bool metadata_only = false;
    bool optional = false;   // 403 and 404 count as an empty list; the next attempt follows after max_backoff
    std::size_t page = 500;  // objects per page
    std::size_t page_bytes = 64 << 20, line_bytes = 4 << 20;  // maximum sizes
    std::size_t objects = 200'000;                            // maximum number
    // Shortest duration of a watch. After it the server ends the watch, and the next one starts.
    Micros watch_for = std::chrono::seconds(300);
    // A list without progress, or a watch beyond its duration, fails after this time.
    Micros silence = std::chrono::seconds(60);
    Micros min_backoff = std::chrono::milliseconds(500), max_backoff = std::chrono::seconds(30);
};

struct Change {
    enum class Kind { put, erase, list };
    Kind kind = Kind::put;
    nlohmann::json object;                // put, erase
    std::vector<nlohmann::json> objects;  // list: the complete list
};

class Reflector {
public:
    explicit Reflector(ReflectorOptions options) : options_(std::move(options)) {}

    struct Call {
        std::string target;  // path and query
        std::string accept;
        bool watch = false;
        // Longest time without progress. After it the caller ends the call and calls call_ended().
        Micros limit{};
    };
    // Returns the next call, or nothing while one is in flight or before due().
    [[nodiscard]] std::optional<Call> next(Time now, double chance);
    std::optional<Time> due() const;  // when next() may return a call

    // The response to the call in flight.
    void on_status(int status, Micros retry_after);
    void on_body(std::string_view bytes);
    // The call has ended. `complete`: the HTTP response was complete; else `error` says what happened.
    void call_ended(Time now, bool complete, const std::string& error, double chance);

    // Returns the next change, in order, or nothing.
    [[nodiscard]] std::optional<Change> take();

    bool listed() const { return listed_; }      // a full list was received
    bool watching() const { return watching_; }  // a watch is open and the server has responded
    bool calling() const { return calling_; }
    // Returns whether the response is unusable. The caller ends the call.
    bool response_unusable() const { return calling_ && !fault_.empty(); }
    const std::string& version() const { return version_; }
    // Returns why the last call failed, or an empty text if it succeeded.
    const std::string& last_error() const { return last_error_; }
    std::uint64_t lists() const { return lists_; }

private:
    void fail(Time now, std::string error, double chance);
    void on_line(std::string_view line);
    void on_page();
    void remember(const nlohmann::json& object);

    struct Known {
        std::string uid, version;
    };

    ReflectorOptions options_;
    bool calling_ = false, watching_ = false, watch_call_ = false, listed_ = false;
    bool relist_ = true;  // the next call is a list
    int status_ = 0;
    Micros retry_after_{};
    std::string body_;      // of a page, or of an incomplete line
    std::string fault_;     // why the response in flight is unusable; empty: it is usable
    std::string continue_;  // continue token of a list in pages
    std::string list_version_;
    std::vector<nlohmann::json> pages_;
    std::string version_;
    std::map<std::string, Known> known_;  // by namespace/name
    std::vector<Change> changes_;         // in order; those before taken_ have been returned
    std::size_t taken_ = 0;
    int failures_ = 0;
    bool progress_ = false;  // the call in flight has delivered something
    Time not_before_{};
    std::string last_error_;
    std::uint64_t lists_ = 0;
};

}  // namespace flaxdoor::kube
