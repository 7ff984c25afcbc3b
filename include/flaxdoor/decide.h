// The whole interface of flaxdoor: settings, events, actions, and the Policy that turns one into the
// other. The decisions themselves stand in src/policy/decide.cpp.
//
// Time:        a Policy has no clock. Every event carries `now`, which must never go back.
// Threading:   a Policy belongs to one thread at a time; it takes no locks and starts no threads. Those that
//              share a ColdAccount belong to the same thread.
// Ownership:   the Actions sink is borrowed and must outlive the Policy. Nothing else is shared but the
//              ColdAccounts that the lists bring.
// Re-entrancy: an Actions method is called from inside an on_* method and must not call the Policy back.
// Repeatable:  the same settings, seed and events give the same actions, in the same order.
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

using Micros = std::chrono::microseconds;  // a span of time
using Time = std::chrono::microseconds;    // a point in time, from any fixed origin
using RequestId = std::uint64_t;           // chosen by the host, never used again
using UpstreamId = std::uint64_t;          // chosen by the host, opaque

// ---------------------------------------------------------------------------------------------- settings

enum class Effect { safe, keyed, unsafe };  // safe to repeat; repeats dropped by a group; never twice
enum class Group { all, zone, cell };       // which upstreams drop the repeats of a keyed request

struct ClassSettings {
    std::string name;
    Micros aim{};       // answers within this earn the full worth
    Micros deadline{};  // the longest that a client waits
    double worth = 1;
    double late_worth = 0;  // share of the worth that an answer after the aim still earns
    Effect effect = Effect::unsafe;
    Group group = Group::all;
    Micros window{};         // keyed: how long repeats are dropped, from the first send that may have run
    bool streams = false;    // answers are streamed: on_started comes before the outcome
    double aim_stretch = 0;  // extra time on the aim, as a multiple of the request's work; 0: none

    bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // requests a second over all balancers within its share; 0: no quota
    double fraction = 0;     // its share of the service; 0: not told

    bool operator==(const TenantSettings&) const = default;
};

// What a load report holds: requests in hand, those of them in the queue, share of CPU busy (0 to 1), recent
// service time in milliseconds, requests served a second, errors a second.
enum class ReportField { in_flight, queued, utilisation, service_ms, rate, errors, other };
enum class ReportSource { none, answers, probes };  // in which events load reports come along
// What UpstreamEntry::weight tells: nothing, the size, the size give or take, or the size less what
// the upstream holds by now.
enum class Weights { none, nominal, rough, live };

// Weights of the parts of what the operators count, as told; they need not sum to 1.
struct Goal {
    double whole = 0;          // the whole time
    double worst_window = 0;   // the worst ten seconds
    double worst_class = 0;    // the worst-served class
    double worst_tenant = 0;   // the worst-served tenant, within its share
    double nines = 0;          // nines of each five seconds
    double full_at_nines = 0;  // so many nines count in full; 0: not told

    bool operator==(const Goal&) const = default;
};

// Points taken off, each for one unit; 0: free or not told.
struct Prices {
    double connection = 0;  // an open connection for each hundredth of an upstream
    double cross_zone = 0;  // an attempt that crosses zones, by first try
    double discovery = 0;   // a hundred lines of the list, by first try
    double fleet = 0;       // mean size of the fleet over its size at the start
    double handshake = 0;   // a new connection, by first try
    double late_fail = 0;   // all worth ended unserved after its aim
    double moves = 0;       // a move, by first try
    double origin = 0;      // a fetch from the origin, by first try
    double peer = 0;        // 256 delivered bytes, by first try
    double probe = 0;       // a probe, by first try
    double waste = 0;       // upstream work without an answer, as a share of the work offered

    bool operator==(const Prices&) const = default;
};

struct Settings {
    int rank = 0;       // this balancer's number among them
    int balancers = 1;  // how many there are
    int zone = 0;
    int zones = 1;
    int tier = 0;       // the tier that this balancer sends to
    Micros tick{1000};  // least time between two batches of events
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    double over_share_worth = 1;  // worth of a request beyond its tenant's share
    bool worth_by_work = false;   // worth is counted for each unit of work, not for each request

    bool must_ask_list = false;  // the list comes only after watch() or fetch()
    bool may_probe = false;
    bool may_cancel = false;
    bool parallel_attempts = false;  // two attempts of one request may run at once
    bool retry_after = false;        // refusals may carry advice on when to come back
    bool warm_keys = false;          // an upstream that met a key lately does less work for it
    bool passes_deadline = false;    // an upstream's own calls get only the time that its request has left
    bool marks_retry = false;        // clients mark their retries: Request::client_retry tells
    bool may_tell_peers = false;     // tell() is allowed
    Weights weights = Weights::none;
    int max_attempts = 1;
    // Least that all balancers together may have in flight, attempts an upstream (1, 3 tried where they are
    // many and upstreams small). One alone before upstreams whose size it was told may be told more.
    double fair_share = 2;
    int max_open = 0;          // requests that a balancer can have open; more never reach it; 0: not told
    Micros max_retry_after{};  // the longest advice that a client heeds
    Micros connect_timeout{};
    Micros idle_close{};  // idle connections are closed after this; 0: not told
    int streams_per_connection = 1;
    Micros cpu_per_s{};             // CPU that a balancer has in a second; 0: not told
    double cpu_us_per_request = 0;  // CPU in microseconds for a request with its outcomes; 0: no such limit
    ReportSource reports = ReportSource::none;
    std::vector<ReportField> report_fields;  // what load reports hold; empty: there are none

    Micros answer_slack{};  // final answers count this long after the deadline
    Micros ask_within{};    // an unsubscribed balancer must ask for the list this often
    Micros drain_grace{};   // new work must stop this long after a drain was told
    Micros drain_close{};   // idle connections must be closed this long after a drain was told, or after the
                            // last send or outcome there if that came later; 0: the rule is not told
    double cold_share = 1;  // an upstream starts at this share of its capacity or more
    Micros ramp_time{};     // and is warm after this
    double fall_multiple = 0;  // sent more than this multiple of its present capacity
    Micros fall_span{};        // for this long, a cold upstream falls over; 0: the rule is not told

    Goal goal;
    Prices prices;

    bool operator==(const Settings&) const = default;
};

// ------------------------------------------------------------------------------------------------ events

enum class UpstreamState { gone, ready, draining };
enum class ListKind { delta, full, cached, failed };

struct TokenBucket {
    double tokens = 0;  // requests that may go now
    Time filled_at{};
};

// The cold budget of one address, for the modules of one program that all send to it: each keeps within its
// own budget, together they could push a cold server over. The host makes one for each address (make_shared)
// and puts it in the entry of every module's list; it reads and writes nothing of it. What any of them sends
// is taken from it, it fills at the rate of whoever asks, over the time since anybody last did, and a cold
// start that one of them hears of counts for all. All modules that share it belong to the same thread.
struct ColdAccount : TokenBucket {
    Time since{};  // when the process there last started cold; zero: never
};

// What a Policy has learned of an upstream and would take long to learn again. A host may keep it over a
// start and hand it back, faded by its age, with the first list that names the upstream; later it is not
// heeded.
struct UpstreamMemory {
    double latency_us = 0;  // smoothed latency there, and the number of ours there at those sends
    double ours = 0;        // 0: not known
    double idle_us = 0;     // smoothed latency of those that were alone of ours
    // Of ours in flight: grows with answers, falls with full refusals and crowds. Two before anything is
    // known (1 tried: no better).
    double limit = 2;
    bool limited = false;  // it has fallen once
    int strikes = 0;       // failures in a row
    bool out = false;      // taken out of ordinary traffic
    bool died = false;     //   because connections failed: it comes back cold
    Time out_until{};      //   then it is tried again
    Time answered_at{};    // zero: never
    Time cold_since{};     // when it last started cold; zero: long ago

    bool operator==(const UpstreamMemory&) const = default;
};

struct UpstreamEntry {
    UpstreamId id = 0;
    int zone = 0;
    int kind = 0;
    int cell = 0;
    UpstreamState state = UpstreamState::ready;
    double weight = 1;
    Time started_at{};                  // zero: long ago
    std::shared_ptr<ColdAccount> cold;  // null: the one told earlier, else the upstream's own
    std::optional<UpstreamMemory> memory{};
};

struct Request {
    RequestId id = 0;
    int class_index = 0;
    std::optional<int> tenant;
    std::uint64_t key = 0;            // zero: none
    Time deadline{};                  // when the client gives this try up
    std::optional<Micros> cost_hint;  // a guess of its cost in core time
    bool client_retry = false;        // the client tries again (where clients mark it)
    bool write = false;
    // To this upstream or nowhere: it waits for a place there as others do for any, and is refused at once
    // when the upstream is not listed, drains or is gone.
    std::optional<UpstreamId> pinned;
};

// A streamed answer has begun: the attempt is the client's, its time-out and the deadline count no more.
struct AttemptStart {
    RequestId request = 0;
    int attempt = 0;
    UpstreamId upstream = 0;
    Micros latency{};
};

// `moot`: the attempt never ran and says nothing of the upstream (the program's own want, as of descriptors).
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, moot };

// A load report: values in the order of Settings::report_fields; empty when none came along.
using Report = std::vector<float>;

struct AttemptEnd {
    RequestId request = 0;
    int attempt = 0;  // attempts of a request are numbered from 0 in the order of submit()
    Outcome outcome = Outcome::ok;
    bool closed = false;  // the request has had its final answer
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

// ----------------------------------------------------------------------------------------------- actions

// What a Policy asks of its host. Actions are carried out in the order in which they are called.
class Actions {
public:
    virtual ~Actions() = default;
    virtual void submit(RequestId request, UpstreamId upstream, Micros timeout) = 0;  // 0: till the deadline
    virtual void refuse(RequestId request, Micros retry_after) = 0;                   // 0: no advice
    virtual void fail(RequestId request) = 0;
    virtual void cancel(RequestId request, int attempt) = 0;
    virtual void probe(UpstreamId upstream) = 0;
    virtual void set_timer(Time at, std::uint64_t token) = 0;
    virtual void watch() = 0;                          // subscribe to changes of the list
    virtual void unwatch() = 0;                        // end the subscription
    virtual void fetch() = 0;                          // ask for the whole list once
    virtual void close_idle(UpstreamId upstream) = 0;  // give back connections that carry nothing now
    virtual void tell(std::optional<int> peer,
                      std::string_view payload) = 0;  // a balancer by rank, or all others
    virtual void log(std::string_view line) = 0;
};

// ------------------------------------------------------------------------------------------------ policy

class Policy {
public:
    // Throws std::invalid_argument, naming the setting, when the settings contradict themselves.
    Policy(const Settings& settings, std::uint64_t seed, Time now, Actions& actions);
    ~Policy();
    Policy(Policy&&) noexcept;
    Policy& operator=(Policy&&) noexcept;

    // New settings while requests run; later events follow them (class and tenant indices, report fields).
    // Throws like the constructor, and then nothing has changed. What was learned is kept where it still
    // holds: of upstreams, and of classes and tenants that the new settings name again (a class: with the
    // same effect and group). Names should differ among themselves. A request that is open keeps its class,
    // wherever that stands now: if it is gone, the request still runs to its one answer under the effect,
    // group and window that it came with. Of a window that changed the shorter counts for it.
    void on_settings(Time now, const Settings& settings);

    // The first list should be of kind `cached`. A `failed` one carries no entries. Versions only grow.
    void on_list(Time now, ListKind kind, const std::vector<UpstreamEntry>& entries,
                 std::uint64_t version = 0);
    void on_request(Time now, const Request& request);
    void on_started(Time now, const AttemptStart& start);
    void on_attempt_end(Time now, const AttemptEnd& end);
    void on_client_gone(Time now, RequestId request);
    void on_probe_result(Time now, const ProbeResult& result);
    void on_timer(Time now, std::uint64_t token);
    void on_message(Time now, int from, std::string_view payload);  // from the balancer of that rank

    std::optional<UpstreamMemory> learned(UpstreamId upstream) const;  // of one that is or was listed

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor
