// The decision module's interface: settings, events, actions, and the Policy that turns events into actions.
// The implementation is in src/policy/decide.cpp.
//
// Time:        A Policy has no clock. Every event carries `now`, which must never decrease.
// Threading:   A Policy is used by one thread at a time. It takes no locks and starts no threads. Policies
//              that share a SlowStartBucket must run on the same thread.
// Ownership:   The Policy borrows the Actions object, which must outlive it. Nothing else is shared except
//              the SlowStartBuckets in the entries of the upstream list.
// Re-entrancy: A Policy calls Actions from inside its on_* methods. An Actions method must not call the
//              Policy.
// Determinism: The same settings, seed and events give the same actions in the same order.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor {

using Micros = std::chrono::microseconds;  // a duration
using Time = std::chrono::microseconds;    // a point in time, counted from any fixed origin
using RequestId = std::uint64_t;           // chosen by the host, never reused
using UpstreamId = std::uint64_t;          // chosen by the host, opaque to the Policy

// --- Settings ---

// Whether a request may be sent again after it may have executed. A `safe` request may, an `unsafe` request
// must not. A `keyed` request may be sent again to the upstreams of its Group: they recognise a repeat and
// do not execute it.
enum class Effect { safe, keyed, unsafe };
// The upstreams that share deduplication: each drops a keyed request that another one has executed.
enum class DeduplicationScope { all, zone, cell };

struct ClassSettings {
    std::string name;
    Micros aim{};       // latency target: an answer within it earns the full worth
    Micros deadline{};  // longest time that a client waits
    double worth = 1;
    double late_worth = 0;  // fraction of the worth that an answer after the aim still earns
    Effect effect = Effect::unsafe;
    DeduplicationScope group = DeduplicationScope::all;
    // Keyed classes: how long upstreams recognise repeats, counted from the sending of the first attempt
    // that may have executed.
    Micros window{};
    bool streams = false;    // answers are streamed: on_started precedes the attempt's outcome
    double aim_stretch = 0;  // time added to the aim, as a multiple of the request's work; 0: none

    bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // requests per second, over all balancers, that count as its share; 0: no quota
    double fraction = 0;     // the tenant's fraction of the service; 0: unknown

    bool operator==(const TenantSettings&) const = default;
};

// The fields of a load report: requests that the upstream holds, how many of them are queued, CPU utilisation
// (0 to 1), recent service time in milliseconds, requests served per second, and errors per second.
enum class ReportField { in_flight, queued, utilisation, service_ms, rate, errors, other };
// The events that carry load reports.
enum class ReportSource { none, answers, probes };
// The meaning of UpstreamEntry::weight: none, the upstream's capacity, its approximate capacity, or its
// capacity less its current load.
enum class WeightMeaning { none, nominal, rough, live };

// Weights of the parts of the operators' objective, as configured. They need not sum to 1.
struct ObjectiveWeights {
    double whole = 0;          // the whole time
    double worst_window = 0;   // the worst interval of ten seconds
    double worst_class = 0;    // the worst-served class
    double worst_tenant = 0;   // the worst-served tenant, within its share
    double nines = 0;          // availability in each interval of five seconds, in nines
    double full_at_nines = 0;  // number of nines that earns the full weight of `nines`; 0: unknown

    bool operator==(const ObjectiveWeights&) const = default;
};

// Points deducted per unit of each cost; 0: free or unknown.
struct Deductions {
    double connection = 0;  // mean number of open connections, divided by 100 times the number of upstreams
    double cross_zone = 0;  // attempts that cross zones, per first attempt
    double discovery = 0;   // lines of the upstream list sent, per first attempt; due in full at 100
    double fleet = 0;  // mean number of running upstreams; due in full if that equals the number at the start
    double handshake = 0;  // new connections, per first attempt
    double late_fail = 0;  // worth of all requests that ended unserved after their aim
    double moves = 0;      // moves, per first attempt
    double origin = 0;     // fetches from the origin, per first attempt
    double peer = 0;       // delivered bytes in units of 256, per first attempt
    double probe = 0;      // probes, per first attempt
    double waste = 0;      // upstream work without an answer, as a fraction of the work offered

    bool operator==(const Deductions&) const = default;
};

struct Settings {
    int rank = 0;       // this balancer's number, from 0 to balancers - 1
    int balancers = 1;  // number of balancers
    int zone = 0;
    int zones = 1;
    int tier = 0;       // tier of the upstreams that this balancer sends to
    Micros tick{1000};  // minimum time between two batches of events
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    double over_share_worth = 1;  // factor on the worth of a request beyond its tenant's share
    bool worth_by_work = false;   // worth counts per unit of work instead of per request

    bool must_request_list = false;  // the host sends the list only after watch() or fetch()
    bool may_probe = false;
    bool may_cancel = false;
    bool parallel_attempts = false;  // two attempts of one request may run at the same time
    bool retry_after = false;        // reject() may carry a delay after which the client should retry
    bool warm_keys = false;          // an upstream does less work for a key that it served recently
    bool passes_deadline = false;    // an upstream's own calls get only the remaining time of the request
    bool marks_retry = false;        // clients mark their retries, see Request::client_retry
    bool may_message_peers = false;  // send_to_peer() is allowed
    WeightMeaning weights = WeightMeaning::none;
    int max_attempts = 1;
    // Lower bound of the concurrency limit of all balancers together, in attempts per upstream. A single
    // balancer whose upstreams' capacity is known may be given a larger value.
    double min_in_flight_per_upstream = 2;
    int max_open = 0;  // requests that a balancer can hold open; it receives no further ones; 0: unknown
    Micros max_retry_after{};  // longest retry delay that a client honours
    Micros connect_timeout{};
    Micros idle_close{};  // upstreams close idle connections after this time; 0: unknown
    int streams_per_connection = 1;
    Micros cpu_per_s{};             // CPU time that a balancer has per second; 0: unknown
    double cpu_us_per_request = 0;  // CPU time of one request with its outcomes, in microseconds; 0: no limit
    ReportSource reports = ReportSource::none;
    std::vector<ReportField> report_fields;  // fields of a load report, in order; empty: no load reports

    Micros answer_slack{};  // a final answer counts until this long after the deadline
    Micros ask_within{};    // a balancer without a subscription must request the list at least this often
    Micros drain_grace{};   // new work to an upstream must stop this long after the notice of its drain
    // Idle connections to a draining upstream must be closed this long after the notice of the drain, or
    // after the last send or outcome there if that is later; 0: no such rule.
    Micros drain_close{};
    double cold_share = 1;  // least fraction of its capacity that an upstream has when it starts
    Micros ramp_time{};     // duration of an upstream's warm-up, from its start to its full capacity
    // A cold upstream fails if it is sent, within fall_span, more than this multiple of what it can serve in
    // that time at its present capacity.
    double fall_multiple = 0;
    Micros fall_span{};  // 0: no such rule

    ObjectiveWeights objective_weights;
    Deductions deductions;

    bool operator==(const Settings&) const = default;
};

// --- Events ---

enum class UpstreamState { gone, ready, draining };
enum class ListKind { delta, full, cached, failed };

struct TokenBucket {
    double tokens = 0;  // requests that may be sent now
    Time filled_at{};
};

// The slow-start token bucket of one address, shared by the Policies of one program that send to that
// address. Each Policy limits only its own requests, so several with separate buckets could together
// overload a server that has just started. The host creates one bucket per address with make_shared and puts
// it into that address's entry in every Policy's list. The host itself neither reads nor writes the bucket.
// Every Policy takes a token for each request that it sends. Before a Policy checks the bucket, it adds the
// tokens gained since the last such addition by any Policy, at its own rate. A cold start that one Policy
// learns of applies to all of them. All Policies that share a bucket must run on the same thread.
struct SlowStartBucket : TokenBucket {
    Time cold_start_at{};  // last cold start of the process at the address; zero: never
};

// The part of what a Policy has learned about an upstream that would take long to learn again. A host may
// save it over a restart, reduce it by its age, and pass it back with the first list that names the
// upstream. Values in later lists are ignored.
struct LearnedState {
    double latency_us = 0;  // smoothed latency of the upstream's answers
    // Smoothed number of this balancer's attempts in flight at the upstream. A sample is taken for each
    // answered attempt: the number when it was sent, that attempt included. 0: unknown.
    double own_in_flight = 0;
    // Smoothed latency of attempts sent while this balancer had no other one there.
    double unloaded_latency_us = 0;
    // Concurrency limit for this balancer's attempts at the upstream. It grows with answers and falls when
    // the upstream rejects attempts as full or answers slowly.
    double concurrency_limit = 2;
    bool limit_was_reduced = false;  // the limit has fallen at least once
    int consecutive_failures = 0;    // consecutive failures
    bool ejected = false;            // the upstream gets no ordinary traffic
    // A connection failed since the upstream was added or last reinstated. The upstream may have restarted,
    // and then is cold when it is reinstated.
    bool connect_failed = false;
    Time ejected_until{};  // end of the ejection: a probe is due from then on
    Time answered_at{};    // last answer; zero: never
    Time cold_start_at{};  // last cold start; zero: long ago

    bool operator==(const LearnedState&) const = default;
};

struct UpstreamEntry {
    UpstreamId id = 0;
    int zone = 0;
    int kind = 0;
    int cell = 0;
    UpstreamState state = UpstreamState::ready;
    double weight = 1;
    Time started_at{};  // start of the upstream's process; zero: long ago
    // Null: the bucket of an earlier entry, else one of the Policy's own.
    std::shared_ptr<SlowStartBucket> slow_start;
    std::optional<LearnedState> restored{};
};

struct Request {
    RequestId id = 0;
    int class_index = 0;
    std::optional<int> tenant;
    std::uint64_t key = 0;            // zero: none
    Time deadline{};                  // when the client stops waiting for this try
    std::optional<Micros> cost_hint;  // estimated CPU time of the request at the upstream
    bool client_retry = false;        // the client repeats an earlier request (where clients mark that)
    bool write = false;
    // The only upstream that may get the request. While that upstream is at its limits, the request waits
    // like any other. If the upstream is not listed, draining or gone, the request is refused at once.
    std::optional<UpstreamId> pinned;
};

// An upstream has begun a streamed answer. From now on the host passes the answer to the client: neither the
// attempt's time-out nor the request's deadline applies any longer.
struct AttemptStart {
    RequestId request = 0;
    int attempt = 0;
    UpstreamId upstream = 0;
    Micros latency{};
};

// The outcome of an attempt or a probe. `full`: the upstream rejected the attempt for lack of capacity and
// did not execute it. `connect_failed`: no connection was made, so nothing was executed. `inconclusive`:
// the attempt was not executed for a reason on the balancer's side (it ran out of descriptors,
// say) and says nothing about the upstream.
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, inconclusive };

// The values of a load report in the order of Settings::report_fields; empty: the event carries no report.
using Report = std::vector<float>;

struct AttemptEnd {
    RequestId request = 0;
    int attempt = 0;  // the attempts of a request are numbered from 0 in the order of their submit() calls
    Outcome outcome = Outcome::ok;
    bool request_answered = false;  // the client has received the final answer, or its beginning
    Micros latency{};
    UpstreamId upstream = 0;
    Report report;
};

struct ProbeResult {
    UpstreamId upstream = 0;
    Outcome outcome = Outcome::ok;
    Micros latency{};
    Report report;
};

// --- Actions ---

// The actions that a Policy requests from its host, which carries them out in the order of the calls.
class Actions {
public:
    virtual ~Actions() = default;
    // Sends an attempt of the request to the upstream. `timeout` zero: it may run until the deadline.
    virtual void submit(RequestId request, UpstreamId upstream, Micros timeout) = 0;
    // Answers the client that the request was rejected and that a retry is harmless. `retry_after` zero: no
    // delay is advised.
    virtual void reject(RequestId request, Micros retry_after) = 0;
    // Answers the client that the request failed. It may have been executed.
    virtual void fail(RequestId request) = 0;
    virtual void cancel(RequestId request, int attempt) = 0;
    virtual void probe(UpstreamId upstream) = 0;
    // Requires the host to call on_timer() with the token at the given time.
    virtual void set_timer(Time at, std::uint64_t token) = 0;
    virtual void watch() = 0;                          // subscribes to changes of the upstream list
    virtual void unwatch() = 0;                        // ends the subscription
    virtual void fetch() = 0;                          // requests the whole upstream list once
    virtual void close_idle(UpstreamId upstream) = 0;  // closes the idle connections to the upstream
    // Sends a message to the balancer of that rank, or without one to all other balancers.
    virtual void send_to_peer(std::optional<int> peer, std::string_view payload) = 0;
    virtual void log(std::string_view line) = 0;
};

// --- Policy ---

// Decides where and when the attempts of every request go, from the events that the host reports.
class Policy {
public:
    // Throws std::invalid_argument, which names the setting, if the settings are inconsistent.
    Policy(const Settings& settings, std::uint64_t seed, Time now, Actions& actions);
    ~Policy();
    Policy(Policy&&) noexcept;
    Policy& operator=(Policy&&) noexcept;

    // Replaces the settings, also while requests are open. Class and tenant indices and report fields of
    // later events refer to the new settings. Throws like the constructor; the Policy is then unchanged. What
    // was learned about upstreams stays, and so does what was learned about classes and tenants that the new
    // settings name again (a class only with the same effect and group). Names should be unique. An open
    // request keeps its class, also if the index of the class changes. If the new settings lack the class,
    // the request still runs to its final answer under the effect, group and window that it arrived with. If
    // the class's window changes, the shorter one applies to the request.
    void on_settings(Time now, const Settings& settings);

    // Applies an update of the upstream list. The first update should be of kind `cached`. An update of kind
    // `failed` carries no entries. Versions must not decrease.
    void on_list(Time now, ListKind kind, const std::vector<UpstreamEntry>& entries,
                 std::uint64_t version = 0);
    void on_request(Time now, const Request& request);
    void on_started(Time now, const AttemptStart& start);
    void on_attempt_end(Time now, const AttemptEnd& end);
    void on_client_gone(Time now, RequestId request);
    void on_probe_result(Time now, const ProbeResult& result);
    void on_timer(Time now, std::uint64_t token);
    void on_message(Time now, int from, std::string_view payload);  // `from`: rank of the sending balancer

    // Returns what was learned about an upstream that is listed, or was and has not been forgotten; else
    // nothing.
    std::optional<LearnedState> learned_state(UpstreamId upstream) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor
