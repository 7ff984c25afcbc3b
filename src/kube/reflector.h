// Follows one kind of resource at an API server: a list in pages, then a watch from the list's version, and
// again when that breaks or the server has forgotten (410). No I/O: it says what to ask for and when, is
// given the answer in whatever pieces it comes, and says what has changed.
//
// Threading: one thread at a time.   Time and chance are arguments.
// Changes:   a whole list comes as one change; what is served goes on until there is one. An event that is
//            older than what is known of its object, or names an older incarnation of it, changes nothing.
// Bounds:    an event's line and a page of a list have limits; beyond them the call has failed.
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
    std::string selector;  // further parameters, as "fieldSelector=..."; empty: none
    bool metadata_only = false;
    bool optional = false;  // 403 and 404 mean that there are none, and are asked for again seldom
    std::size_t page = 500;
    std::size_t page_bytes = 64 << 20, line_bytes = 4 << 20;
    std::size_t objects = 200'000;
    Micros watch_for = std::chrono::seconds(300);  // then the server ends a watch, and it is begun anew
    Micros silence = std::chrono::seconds(60);     // beyond watch_for, or of a list: the call has failed
    Micros retry_least = std::chrono::milliseconds(500), retry_most = std::chrono::seconds(30);
};

struct Change {
    enum class Kind { put, erase, list };
    Kind kind = Kind::put;
    nlohmann::json object;                // put, erase
    std::vector<nlohmann::json> objects;  // list: all there are
};

class Reflector {
public:
    explicit Reflector(ReflectorOptions options) : options_(std::move(options)) {}

    struct Call {
        std::string target;  // path and query
        std::string accept;
        bool watch = false;
        Micros limit{};  // of silence: then the call is to be ended, and call_ended() told
    };
    // What to ask for now; nothing while a call is under way or it is too early (see due()).
    [[nodiscard]] std::optional<Call> next(Time now, double chance);
    std::optional<Time> due() const;  // when next() may have something

    // The answer to the call under way.
    void on_status(int status, Micros retry_after);
    void on_body(std::string_view bytes);
    // It is over: `whole` as HTTP has it. Else `why` says what happened.
    void call_ended(Time now, bool whole, const std::string& why, double chance);

    // What has changed, in order.
    [[nodiscard]] std::optional<Change> take();

    bool listed() const { return listed_; }      // a whole list has come
    bool watching() const { return watching_; }  // a watch is open and has been answered
    bool calling() const { return calling_; }
    // What has come of the call under way can't be used: it is to be ended.
    bool spoilt() const { return calling_ && !fault_.empty(); }
    const std::string& version() const { return version_; }
    const std::string& trouble() const { return trouble_; }  // why the last call failed; empty: it did not
    std::uint64_t lists() const { return lists_; }

private:
    void fail(Time now, std::string why, double chance);
    void on_line(std::string_view line);
    void on_page();
    void note(const nlohmann::json& object);

    struct Known {
        std::string uid, version;
    };

    ReflectorOptions options_;
    bool calling_ = false, watching_ = false, watch_call_ = false, listed_ = false;
    bool relist_ = true;  // the next call is a list
    int status_ = 0;
    Micros retry_after_{};
    std::string body_;      // of a page, or of a line that is not whole
    std::string fault_;     // of the call under way
    std::string continue_;  // of a list in pages
    std::string list_version_;
    std::vector<nlohmann::json> pages_;
    std::string version_;
    std::map<std::string, Known> known_;  // by namespace/name
    std::vector<Change> changes_;         // in order, from taken_ on
    std::size_t taken_ = 0;
    int failures_ = 0;
    bool progress_ = false;  // the call under way has brought something
    Time not_before_{};
    std::string trouble_;
    std::uint64_t lists_ = 0;
};

}  // namespace flaxdoor::kube
