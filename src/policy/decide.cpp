// The implementation of the decision module. The interface is in include/flaxdoor/decide.h.
//
// The path of a request:
//   on_request      calls send_original: two random usable upstreams of the balancer's zone are drawn, and
//                   the one with fewer attempts of this balancer in flight gets the request. The request
//                   spills over to other zones if less than half of the zone is usable, or if the smoothed
//                   delay of every candidate exceeds the retry timeout.
//   on_attempt_end  after a failure waits a back-off, which starts at the retry timeout and doubles, and
//                   calls send_retry: two upstreams are drawn again, without the one that failed last. They
//                   and then the other candidates of the zone are tried in order until one admits the retry.
//   admits_retry    admits a retry with a probability that falls from 1 to 0 as the upstream's smoothed delay
//                   rises from 0.2 to 1 retry timeout.
//
// With many balancers, each one sends only to its subset of the zone (subset_size) and keeps all its attempts
// within a concurrency limit, which may be less than one attempt (update_concurrency_limit,
// concurrency_limit_reached).
//
// Invariants:
//   1. A request gets one final answer, in time, and is sent only while it is open: may_send.
//   2. No effect is executed twice, and a refusal promises that a retry is harmless: may_send, may_refuse.
//   3. A draining, gone or unlisted upstream gets no new work: may_get_new_work.
//   4. A cold upstream gets no more work than it can do: may_get_new_work.
//   5. Idle connections to a draining upstream are closed: close_idle.
// Every attempt is sent by submit.
#include "flaxdoor/decide.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <unordered_map>

namespace flaxdoor {

namespace {

// --- Constants ---

// "Retry timeout" below is the time after which an attempt of a class counts as overdue: the timer of the
// attempt and the first back-off, see update_retry_timeout. Several constants are multiples of the longest
// one over all classes.

// Least weight of a new sample in an upstream's smoothed delay (w_q of the retry admission algorithm, with
// its published value).
constexpr double delay_weight = 0.1;
// Every retry is admitted while the upstream's smoothed delay is below this fraction of the retry timeout
// (q_min of the retry admission algorithm).
constexpr double retry_admission_low = 0.2;
// No retry is admitted while the delay is above this fraction of the retry timeout (q_max).
constexpr double retry_admission_high = 1.0;
// Factor on both bounds for a hedge, which adds work while the first attempt still runs.
constexpr double hedge_admission_factor = 0.03;
// The retry timeout is the usual latency plus this many mean deviations, like TCP's retransmission timeout.
constexpr double retry_timeout_deviations = 4;
// Bounds of the retry timeout, as fractions of the class's aim. With a lower upper bound, retries are sent
// far too early.
constexpr double min_retry_timeout_share = 0.25;
constexpr double max_retry_timeout_share = 0.8;
// Weight of one answer in the usual latency of a class.
constexpr double latency_weight = 1.0 / 64;
// Consecutive failures after which an upstream is ejected.
constexpr int failures_to_eject = 4;
// Number of failures that a failed connection counts as.
constexpr int connect_failure_weight = 2;
// Weight of one outcome in the fraction of a class's attempts that an upstream loses.
constexpr double class_loss_weight = 0.2;
// An upstream is ejected for one class if it loses more than this fraction of the class's attempts. With a
// lower value, upstreams that fail only now and then are ejected too.
constexpr double class_ejection_loss = 0.5;
// The loss must also exceed this multiple of the loss of the class over all upstreams.
constexpr double class_ejection_ratio = 2;
// Factor from one ejection time to the next.
constexpr double ejection_growth = 2;
// Longest ejection time, as a fraction of the warm-up time.
constexpr double max_ejection_share = 0.5;

// --- Constants of the concurrency limits ---

// Step of an upstream's concurrency limit, in attempts. An answer at the limit raises the limit by a step
// (by a whole attempt before the limit's first fall). An answer that shows congestion lowers it by a step.
constexpr double upstream_limit_step = 1.0 / 32;
// The concurrency limit of this balancer is cut when the smoothed ratio of latency to base latency exceeds
// this value. The first value applies with many balancers, the second with a single one. With lower values,
// requests are rejected needlessly. With many balancers, a higher value leaves congestion in place.
constexpr double max_congestion = 2, max_congestion_single = 2.6;
// Weight of one answer in the smoothed latency ratio. A larger weight causes spurious cuts, a smaller one
// late cuts.
constexpr double congestion_weight = 1.0 / 32;
// Largest latency ratio that one answer counts as.
constexpr double max_congestion_sample = 4;
// Latency ratio that a rejection or a time-out counts as. A smaller one leaves congestion in place, a larger
// one rejects requests under light load.
constexpr double rejection_congestion = 6;
// Factor on the concurrency limit at a cut.
constexpr double concurrency_limit_cut = 0.7;
// Step by which the concurrency limit grows each time that as many answers have arrived as the limit allows
// attempts. In attempts per upstream over all balancers.
constexpr double concurrency_limit_growth = 0.25;
// An answer with a latency above this multiple of the base latency comes from a congested upstream.
constexpr double congested_latency = 3;
// Base latency of a class before it is known, as a fraction of the aim.
constexpr double base_latency_guess = 1.0 / 3;
// Relative rise of the base latency per answer. With a faster rise, latencies under congestion are learned
// as base latencies.
constexpr double base_latency_drift = 3e-4;
// Fraction of the time between the unloaded latency and the aim that a request may spend queued.
constexpr double queueing_margin = 0.5;
// Largest fraction of the aim that the unloaded latency may take. With a lower value, usable upstreams get
// no requests.
constexpr double max_unloaded_latency = 0.75;
// Least latency that one more attempt of this balancer is assumed to add at an upstream, as a fraction of
// the upstream's latency per attempt in flight.
constexpr double min_latency_slope = 0.5;
// Least fraction of the concurrency limits, and of the aim of a class with a higher worth density, that a
// class may use. The first value applies with many balancers, the second with a single one. With many
// balancers a larger fraction makes an overload escalate.
constexpr double min_class_share = 0.5, min_class_share_single = 0.75;
// Of a pair of candidates with equally many attempts, the second one comes first only if it costs less by
// this fraction of the retry timeout.
constexpr double min_cost_advantage = 0.05;
// A request that was not executed is retried without a back-off if it has had at most this number of
// attempts.
constexpr std::size_t immediate_retries = 2;

// --- Constants of the subset of a zone that one balancer uses ---

// Number of answers that a balancer should get from each upstream of its subset within the decay time.
constexpr double answers_per_upstream = 8;
// Least number of balancers whose subset should contain each upstream.
constexpr double subsets_per_upstream = 2;
// Factor on the subset size for a request whose key chooses the upstream.
constexpr std::size_t key_subsets = 3;
// Distance on the ring between the positions of consecutive ranks, in turns. It spreads any number of
// positions evenly.
constexpr double inverse_golden_ratio = 0.6180339887498949;
// Least size of a subset, in upstreams, so that there is a choice of two while some are ejected.
constexpr std::size_t min_subset_size = 4;

// --- Constants of idle connections, whose outcomes are counted by age in steps that double ---

constexpr std::size_t connection_age_steps = 8;
// End of the first step, as a fraction of the longest retry timeout.
constexpr double first_age_step = 1.0 / 8;
// Weight of one outcome in the fraction of its step that got no answer, and in the fraction of new
// connections that failed. A larger weight finds stale connections where there are none.
constexpr double connection_outcome_weight = 0.1;
// The connections of a step are stale if this fraction of the attempts on them got no answer. A higher bound
// detects them late.
constexpr double stale_connection_loss = 0.3;
// The connections of a step are not stale if a younger step lost more than this fraction of what the step
// lost: then the upstream is at fault, not the age of its connections.
constexpr double young_connection_loss = 0.3;
// While more than this fraction of new connections fail, requests stay where a connection is open. A higher
// bound reacts late.
constexpr double connect_failure_share = 0.1;
// Decay time of what was learned about a step, in longest retry timeouts. Connections of a stale step are
// used again once that has decayed.
constexpr double long_decay_timeouts = 32;

// --- Time constants ---

// Decay time of an upstream's delay and of related values, in longest retry timeouts.
constexpr double decay_timeouts = 4;
// A hedge goes only to an upstream whose delay was sampled within this many longest retry timeouts. With a
// longer time, hedges still add load.
constexpr double recent_delay_timeouts = 1;
// An upstream with several attempts in flight is silent if it answers nothing for this many longest retry
// timeouts.
constexpr double silence_timeouts = 2;
// An original that finds no upstream waits for a back-off that ends within this fraction of the aim after
// its arrival. The first value applies while the concurrency limit is reached, the second otherwise.
constexpr double wait_share_at_limit = 0.5, wait_share = 0.8;
// The back-off of such an original must also end within this fraction of the time from its arrival to its
// deadline: a later rejection leaves the client less time to ask elsewhere.
constexpr double wait_share_of_client_time = 0.45;
// Interval of the timer that detects stalls of this process, in longest retry timeouts.
constexpr double stall_check_timeouts = 0.25;
// Relative decrease, per request, of the longest remaining time that the requests of a class arrive with.
constexpr double max_time_left_drift = 1e-3;
// Fraction of ask_within. It is the upper bound of the first delay after a failed list request, and the
// interval over which balancers spread their first list requests.
constexpr double list_request_share = 0.1;
// Longest delay after a failed list request: a balancer must act on a change within 6 s of the time at which
// it could have received it.
constexpr Micros max_list_request_delay = std::chrono::seconds(2);
// Time over which a tenant may accumulate unused quota.
constexpr Micros tenant_burst_span = std::chrono::seconds(4);
constexpr Micros min_log_interval = std::chrono::seconds(1);

double us(Micros span) { return static_cast<double>(span.count()); }
Micros micros(double us) { return Micros(std::llround(us)); }

// A learned value that decays exponentially over time.
struct DecayingValue {
    double value = 0;
    Time updated_at{};

    double decayed(Time now, double time_constant_us) const {
        return value * std::exp(-us(now - updated_at) / time_constant_us);
    }
    void update(double sample, double weight, Time now, double time_constant_us) {
        value = decayed(now, time_constant_us);
        value += weight * (sample - value);
        updated_at = now;
    }
};

// The SplitMix64 generator: the same sequence on every platform.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }
    std::size_t below(std::size_t n) { return static_cast<std::size_t>((next() >> 32) * n >> 32); }
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

// Adds the gained tokens, up to the capacity. Returns whether a token is available.
bool refill(TokenBucket& bucket, double gained_tokens, double capacity, Time now) {
    bucket.tokens = std::min(capacity, bucket.tokens + gained_tokens);
    bucket.filled_at = now;
    return bucket.tokens >= 1;
}

// How an upstream serves one class.
struct ClassHealth {
    double loss = 0;  // smoothed fraction of attempts that ended in an error or without an answer
    Time ejected_until{};
};

// What this Policy knows about one upstream.
struct Upstream : LearnedState {
    UpstreamEntry entry;
    std::vector<ClassHealth> class_health;  // by class index
    // The ring of the home zone or of all other zones while the upstream is listed, else null.
    std::vector<std::size_t>* ring = nullptr;
    int in_flight = 0;                 // attempts of this balancer
    bool connected = false;            // an attempt that ended may have left a connection open
    bool last_connect_failed = false;  // the last attempt that ended got no connection
    Time last_outcome_at{};            // zero: none yet

    DecayingValue delay_us;        // smoothed delay (q_avg of the retry admission algorithm)
    double delay_per_held_us = 0;  // delay per request that the upstream reports as held (1 / its rate)
    DecayingValue rejection_rate;  // fraction of attempts that the upstream rejected as full

    bool probing = false;         // a probe is in flight
    Micros next_ejection_time{};  // duration of the next ejection
    Time busy_since{};            // when in_flight last rose from zero

    // This Policy's own, unless an entry of the list brings a shared one.
    std::shared_ptr<SlowStartBucket> slow_start = std::make_shared<SlowStartBucket>();
    DecayingValue answer_rate;  // answers to this balancer per second
};

// An attempt of an open request.
struct Attempt {
    std::size_t upstream = 0;
    // Zone and cell of the upstream when the attempt was sent. A later list may give the upstream's id
    // another zone or cell, but the attempt executed in these.
    int zone = 0, cell = 0;
    Time sent_at{};
    int own_in_flight = 1;  // attempts of this balancer at the upstream when sent, including this one
    bool opened_connection = false;  // no connection to the upstream was open
    std::size_t connection_age = 0;  // age step of the idle connection that carried it
    bool in_flight = true;
    bool may_have_executed = true;  // until the outcome shows that it was not executed
};

// A request without a final answer, or with attempts in flight.
struct OpenRequest {
    Request request;
    Time arrived_at{};
    std::vector<Attempt> attempts;
    int in_flight = 0;
    int backoffs = 0;       // number of back-offs so far: the next one lasts retry timeout * 2^backoffs
    Micros dedup_window{};  // shortest window of its class while the request was open
    std::uint32_t timer_serial = 0;  // serial number of the only timer that is still valid
    bool finished = false;           // the final answer was given, or the client is gone
    double worth_factor = 1;         // factor on the class's worth, lower beyond the tenant's share
};

// What this Policy has learned about one class.
struct ClassState {
    double max_time_left_us = 0;  // longest time left until the deadline that its requests arrive with
    double loss = 0;              // smoothed fraction of attempts that ended in an error or without an answer
    double latency_us = 0;
    double deviation_us = 0;
    double answers = 0;
    double retry_timeout_us = 0;
    // Latency without congestion: the minimum of the usual latency, slowly rising.
    double base_latency_us = 0;
};

constexpr std::size_t no_index = static_cast<std::size_t>(-1);
enum class TimerKind : std::uint64_t { retry = 1, list_request = 2, stall_check = 3 };

std::uint64_t timer_token(TimerKind kind, std::uint64_t slot, std::uint32_t serial) {
    return static_cast<std::uint64_t>(kind) << 60 | slot << 32 | serial;
}

bool same_identity(const TenantSettings& left, const TenantSettings& right) {
    return left.name == right.name;
}
bool same_identity(const ClassSettings& left, const ClassSettings& right) {
    return left.name == right.name && left.effect == right.effect && left.group == right.group;
}

// Returns the index of the item with the same identity; the list's size if there is none.
template <typename Named>
std::size_t index_of(const Named& item, const std::vector<Named>& list) {
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&](const auto& candidate) { return same_identity(candidate, item); });
    return static_cast<std::size_t>(found - list.begin());
}

// Returns the states for the updated items: the previous state of each item that was there before, else
// `initial`.
template <typename Named, typename State>
std::vector<State> carry_over(const std::vector<Named>& previous, const std::vector<Named>& updated,
                              const std::vector<State>& previous_states, const State& initial) {
    std::vector<State> updated_states(updated.size(), initial);
    for (std::size_t index = 0; index < updated.size(); ++index) {
        if (const std::size_t previous_index = index_of(updated[index], previous);
            previous_index < previous.size())
            updated_states[index] = previous_states[previous_index];
    }
    return updated_states;
}

}  // namespace

class Policy::Impl {
public:
    Impl(const Settings& settings, std::uint64_t seed, Time now, Actions& actions)
        : actions_(actions), random_(seed) {
        on_settings(now, settings);
    }

    // A class that the new settings lack but an open request uses is kept behind the listed classes, for such
    // requests only.
    void on_settings(Time now, const Settings& settings) {
        check_settings(settings);
        Settings updated = settings;
        for (const auto& [id, slot] : slot_by_request_) {
            OpenRequest& open = open_requests_[slot];
            const std::size_t class_index =
                index_of(settings_.classes[class_index_of(open)], updated.classes);
            if (class_index == updated.classes.size())
                updated.classes.push_back(settings_.classes[class_index_of(open)]);
            open.request.class_index = static_cast<int>(class_index);
            open.dedup_window = std::min(open.dedup_window, updated.classes[class_index].window);
        }
        class_states_ = carry_over(settings_.classes, updated.classes, class_states_, {});
        for (auto& upstream : upstreams_)
            upstream.class_health = carry_over(settings_.classes, updated.classes, upstream.class_health, {});
        tenant_buckets_ = carry_over(settings_.tenants, updated.tenants, tenant_buckets_,
                                     TokenBucket{0, now - tenant_burst_span});
        listed_classes_ = settings.classes.size();
        settings_ = std::move(updated);
        for (std::size_t class_index = 0; class_index < class_states_.size(); ++class_index)
            update_retry_timeout(class_index);
        if (stall_check_serial_ == 0) schedule_stall_check(now);
        if (settings_.must_request_list) {
            // Balancers that start together request the list one after another.
            const double spread =
                list_request_share * us(settings_.ask_within) * settings_.rank / settings_.balancers;
            set_list_timer(now + micros(spread));
        }
        refresh_upstreams();
    }

    // --- Upstream list ---

    void on_list(Time now, ListKind kind, const std::vector<UpstreamEntry>& entries) {
        if (kind == ListKind::failed) {
            if (!settings_.must_request_list) return;
            // The request failed or the subscription ended: request the list again after a growing delay.
            subscribed_ = false;
            const double min_delay = list_request_share * us(settings_.ask_within);
            list_request_delay_us_ =
                std::min(std::max(list_request_delay_us_ * 2, min_delay), us(max_list_request_delay));
            set_list_timer(now + micros(list_request_delay_us_ * (0.5 + 0.5 * random_.unit())));
            return;
        }
        if (kind != ListKind::cached) {
            subscribed_ = list_requested_;
            list_request_delay_us_ = 0;
            list_is_current_ = true;
        }
        if (kind != ListKind::delta) {
            for (auto& upstream : upstreams_)
                upstream.entry.state = UpstreamState::gone;  // unless the list names it below
        }
        for (const auto& entry : entries) apply_entry(now, entry, kind);
        if (kind != ListKind::delta) refresh_upstreams();  // those that the list no longer names
    }

    // Applies a change of the list or of the settings to all upstreams.
    void refresh_upstreams() {
        for (std::size_t index = 0; index < upstreams_.size(); ++index) {
            update_ring(index);
            close_idle(upstreams_[index]);
        }
    }

    // Returns whether a connection may be open. Returns true in doubt, as invariant 5 requires.
    static bool may_be_connected(const Upstream& upstream) {
        return upstream.connected || upstream.in_flight > 0;
    }

    // Invariant 5: a draining upstream waits until its connections are closed. Idle connections are closed
    // when the drain is notified, those in use by an attempt as soon as its outcome frees them. Called on
    // every notice and every outcome, so nothing remains to be closed later.
    void close_idle(Upstream& upstream) {
        if (settings_.drain_close <= Micros{0} || upstream.entry.state == UpstreamState::ready ||
            !may_be_connected(upstream))
            return;
        actions_.close_idle(upstream.entry.id);
        upstream.connected = upstream.in_flight > 0;
    }

    void apply_entry(Time now, const UpstreamEntry& entry, ListKind kind) {
        const bool added = index_by_id_.count(entry.id) == 0;
        if (added && entry.state == UpstreamState::gone) return;
        const std::size_t index = added ? allocate_upstream() : index_by_id_.at(entry.id);
        index_by_id_[entry.id] = index;
        Upstream& upstream = upstreams_[index];
        const bool started = entry.started_at > upstream.entry.started_at;
        upstream.entry = entry;
        if (entry.slow_start && entry.slow_start != upstream.slow_start) {
            if (upstream.slow_start->cold_start_at > entry.slow_start->cold_start_at)
                *entry.slow_start = *upstream.slow_start;  // a known cold start is kept
            upstream.slow_start = entry.slow_start;
        }
        update_ring(index);
        close_idle(upstream);
        if (started) begin_slow_start(upstream, entry.started_at, now);
        if (added || (started && kind != ListKind::cached)) {
            clear_ejection(upstream);  // a new process: the old one's failures do not apply
            upstream.class_health.assign(class_states_.size(), {});
            upstream.delay_us.value = 0;
        }
        if (added && entry.restored) restore(upstream, *entry.restored, now);
    }

    // Restores state learned before a restart of this program. The upstream may have restarted meanwhile, so
    // one whose connections failed is treated as restarted when it is reinstated.
    void restore(Upstream& upstream, const LearnedState& memory, Time now) {
        static_cast<LearnedState&>(upstream) = memory;
        ejected_count_ += upstream.ejected;
        if (upstream.connect_failed)
            upstream.consecutive_failures = failures_to_eject + connect_failure_weight;
        if (memory.cold_start_at > upstream.slow_start->cold_start_at)
            begin_slow_start(upstream, memory.cold_start_at, now);
    }

    std::optional<LearnedState> learned_state(UpstreamId id) const {
        const auto found = index_by_id_.find(id);
        if (found == index_by_id_.end()) return std::nullopt;
        LearnedState memory = upstreams_[found->second];
        memory.cold_start_at = upstreams_[found->second].slow_start->cold_start_at;
        return memory;
    }

    // Returns a free place in upstreams_. Reuses the place of an upstream that has left the list and that no
    // open request refers to, so that memory does not grow with every upstream ever listed.
    std::size_t allocate_upstream() {
        std::vector<bool> referenced(upstreams_.size());
        for (const auto& [id, slot] : slot_by_request_) {
            for (const auto& attempt : open_requests_[slot].attempts) referenced[attempt.upstream] = true;
        }
        for (std::size_t index = 0; index < upstreams_.size(); ++index) {
            if (upstreams_[index].ring || referenced[index]) continue;
            index_by_id_.erase(upstreams_[index].entry.id);
            upstreams_[index] = {};
            return index;
        }
        upstreams_.emplace_back();
        return upstreams_.size() - 1;
    }

    void request_list(Time now) {
        if (subscribed_ || !settings_.must_request_list) return;
        list_requested_ = true;
        actions_.watch();
        set_list_timer(now + settings_.ask_within);  // in case no answer arrives
    }

    void set_list_timer(Time at) {
        actions_.set_timer(at, timer_token(TimerKind::list_request, 0, ++list_timer_serial_));
    }

    // --- Delay estimate, concurrency limits and retry admission ---

    // Sets the retry timeout of a class, well above its usual latency and below its aim.
    void update_retry_timeout(std::size_t class_index) {
        const double aim = us(settings_.classes[class_index].aim);
        ClassState& state = class_states_[class_index];
        const double timeout = state.latency_us + retry_timeout_deviations * state.deviation_us;
        state.retry_timeout_us = state.answers == 0 ? max_retry_timeout_share * aim
                                                    : std::clamp(timeout, min_retry_timeout_share * aim,
                                                                 max_retry_timeout_share * aim);
        max_retry_timeout_us_ = 0;
        for (std::size_t other = 0; other < listed_classes_; ++other)
            max_retry_timeout_us_ = std::max(max_retry_timeout_us_, class_states_[other].retry_timeout_us);
    }

    // Learns a class's usual latency and base latency from an answer.
    void update_latency(std::size_t class_index, double latency_us) {
        ClassState& state = class_states_[class_index];
        state.answers += 1;
        const double weight = std::max(latency_weight, 1 / state.answers);
        state.deviation_us += weight * (std::fabs(latency_us - state.latency_us) - state.deviation_us);
        if (state.answers == 1) state.deviation_us = latency_us / 2;
        state.latency_us += weight * (latency_us - state.latency_us);
        const double new_base =
            base_latency_known(state) ? state.base_latency_us * (1 + base_latency_drift) : state.latency_us;
        state.base_latency_us = std::min(new_base, state.latency_us);
        update_retry_timeout(class_index);
    }

    static bool base_latency_known(const ClassState& state) { return state.answers >= 1 / latency_weight; }

    // Returns the base latency of a class. Before it is known, returns a fixed fraction of the aim: a class
    // is not meant to take much longer than that.
    double base_latency_us(std::size_t class_index) const {
        return base_latency_known(class_states_[class_index])
                   ? class_states_[class_index].base_latency_us
                   : base_latency_guess * us(settings_.classes[class_index].aim);
    }

    // Returns the smoothed delay. Without new samples it decays to zero, with a time constant of a few of
    // the longest retry timeouts.
    double smoothed_delay_us(const Upstream& upstream, Time now) const {
        return upstream.delay_us.decayed(now, decay_time_us());
    }

    double decay_time_us() const { return decay_timeouts * max_retry_timeout_us_; }

    void add_delay_sample(Upstream& upstream, double sample_us, Time now) {
        const double elapsed_us = us(now - upstream.delay_us.updated_at);
        const double weight = std::max(delay_weight, 1 - std::exp(-elapsed_us / decay_time_us()));
        upstream.delay_us = {upstream.delay_us.value + weight * (sample_us - upstream.delay_us.value), now};
    }

    // Learns an upstream's latency and concurrency limit from an answer.
    void update_capacity(Upstream& upstream, double latency_us, int own_in_flight, std::size_t class_index) {
        const double weight = upstream.own_in_flight == 0 ? 1 : delay_weight;
        upstream.latency_us += weight * (latency_us - upstream.latency_us);
        upstream.own_in_flight += weight * (own_in_flight - upstream.own_in_flight);
        if (own_in_flight == 1)
            upstream.unloaded_latency_us += (upstream.unloaded_latency_us == 0 ? 1 : delay_weight) *
                                            (latency_us - upstream.unloaded_latency_us);
        if (latency_us > congested_latency * base_latency_us(class_index)) {
            upstream.concurrency_limit = std::max(
                1.0, std::min(upstream.concurrency_limit, own_in_flight + 1.0) - upstream_limit_step);
            upstream.limit_was_reduced = true;
        } else if (own_in_flight + 1 > upstream.concurrency_limit) {
            upstream.concurrency_limit += upstream.limit_was_reduced ? upstream_limit_step : 1;
        }
    }

    // Adapts the concurrency limit of this balancer, so that many balancers that each send a little to every
    // upstream do not congest them together. The limit is cut while answers take a multiple of their base
    // latency, and may fall below one attempt per upstream. Otherwise it grows by a step each time that as
    // many answers have arrived as it allows attempts, like a TCP congestion window.
    void update_concurrency_limit(const AttemptEnd& end, std::size_t class_index, Time sent_at, Time now) {
        concurrency_limit_ = concurrency_limit();
        // The outcome of an attempt sent before the last cut says nothing about the new limit.
        if (sent_at < limit_cut_at_) return;
        double sample = rejection_congestion;
        if (end.outcome == Outcome::ok) {
            sample = std::min(max_congestion_sample,
                              us(end.latency) / std::max(1.0, base_latency_us(class_index)));
        } else if (end.outcome != Outcome::full && end.outcome != Outcome::timeout) {
            return;
        }
        congestion_ += congestion_weight * (sample - congestion_);
        const double threshold = by_balancer_count(max_congestion, max_congestion_single);
        if (congestion_ > threshold) {
            const double in_flight = std::max(smoothed_in_flight_.value, static_cast<double>(in_flight_));
            concurrency_limit_ = std::max(share_of_fleet(settings_.min_in_flight_per_upstream),
                                          std::min(concurrency_limit_, in_flight) * concurrency_limit_cut);
            limit_cut_at_ = now;
            congestion_ = 1;
        } else if (sample <= threshold && in_flight_ + 1 > concurrency_limit_ * min_class_share) {
            concurrency_limit_ +=
                std::min(1.0, share_of_fleet(concurrency_limit_growth)) / concurrency_limit_;
        }
    }

    // Returns this balancer's share of a number of attempts per upstream.
    double share_of_fleet(double per_upstream) const {
        return per_upstream * std::max(1, available_count_) / settings_.balancers;
    }

    // Returns the concurrency limit; before it is known, the least one. A start with a higher limit could
    // congest the upstreams, and the latencies of congestion would be learned as base latencies.
    double concurrency_limit() const {
        return concurrency_limit_ > 0 ? concurrency_limit_
                                      : share_of_fleet(settings_.min_in_flight_per_upstream);
    }

    // Returns whether the attempts in flight use up the given limit, which is the concurrency limit or a
    // fraction of it. With many balancers the limit is about one attempt or less. Random arrivals then
    // exceed it at times, which does no harm as long as the average stays within it. A balancer whose limit
    // is below one must at times have nothing in flight.
    bool concurrency_limit_reached(double limit) const {
        if (smoothed_in_flight_.value < limit) return in_flight_ >= limit + 1 + std::sqrt(limit);
        return in_flight_ >= limit || limit < 1;
    }

    // Updates the number of attempts in flight and its smoothed value.
    void update_in_flight(Time now) {
        smoothed_in_flight_ = {
            in_flight_ + (smoothed_in_flight_.value - in_flight_) *
                             std::exp(-us(now - smoothed_in_flight_.updated_at) / decay_time_us()),
            now};
        in_flight_ = 0;
        for (const std::size_t index : busy_upstreams_) {
            // Attempts at unhealthy upstreams congest no other upstream.
            if (is_healthy(upstreams_[index], now)) in_flight_ += upstreams_[index].in_flight;
        }
    }

    // Learns whether an upstream rejects attempts, and lowers its limit when it does.
    void update_rejections(Upstream& upstream, bool rejected, Time now) {
        upstream.rejection_rate.update(rejected, delay_weight, now, decay_time_us());
        if (!rejected) return;
        upstream.concurrency_limit =
            std::max(1.0, std::min<double>(upstream.concurrency_limit, upstream.in_flight));
        upstream.limit_was_reduced = true;
    }

    // Returns whether the upstream would answer one more request of the class within the latency budget. The
    // estimate is the unloaded latency plus what each attempt of this balancer adds, on a line through
    // recent latencies. Spare cores, or time spent waiting for other services, make the line flatter than
    // proportional. The fraction of rejected attempts adds that fraction of a retry timeout, because a
    // rejected attempt waits for a back-off. Part of the remaining time stays unused because latencies vary.
    bool answers_in_time(const Upstream& upstream, std::size_t class_index, double latency_budget,
                         Time now) const {
        if (upstream.own_in_flight == 0) return true;
        const double proportion = upstream.latency_us / upstream.own_in_flight;
        const double unloaded = upstream.unloaded_latency_us == 0
                                    ? proportion
                                    : std::min(upstream.unloaded_latency_us, upstream.latency_us);
        const double slope = upstream.own_in_flight <= 1
                                 ? proportion
                                 : (upstream.latency_us - unloaded) / (upstream.own_in_flight - 1);
        const double queueing =
            upstream.in_flight * std::clamp(slope, min_latency_slope * proportion, proportion) +
            upstream.rejection_rate.decayed(now, decay_time_us()) *
                class_states_[class_index].retry_timeout_us;
        // Other balancers may congest the upstream while this one has no attempt there. The learned unloaded
        // latency decays, because otherwise no attempt would be sent that could correct it.
        const double unloaded_now =
            DecayingValue{unloaded, upstream.answered_at}.decayed(now, decay_time_us());
        return queueing <= queueing_margin * (latency_budget - unloaded_now) &&
               unloaded_now <= max_unloaded_latency * latency_budget;
    }

    // Takes a delay sample from an outcome: the reported number of requests held times the delay per request,
    // or the latency if there are no such reports.
    void update_delay(Upstream& upstream, const AttemptEnd& end, std::size_t class_index, Time now) {
        const double latency = us(end.latency);
        const auto& fields = settings_.report_fields;
        const auto reported_field = std::find(fields.begin(), fields.end(), ReportField::in_flight);
        const auto field = static_cast<std::size_t>(reported_field - fields.begin());
        const bool answered = end.outcome == Outcome::ok || end.outcome == Outcome::error;
        if (end.outcome == Outcome::full) {
            add_delay_sample(upstream, class_states_[class_index].retry_timeout_us, now);
        } else if (end.outcome == Outcome::timeout || (answered && reported_field == fields.end())) {
            add_delay_sample(upstream, latency, now);  // for a time-out: the time waited
        } else if (answered && field < end.report.size()) {
            const double requests_held = std::max(0.0F, end.report[field]);
            const double delay_per_held = latency / (requests_held + 1);
            upstream.delay_per_held_us += (upstream.delay_per_held_us == 0 ? 1 : delay_weight) *
                                          (delay_per_held - upstream.delay_per_held_us);
            add_delay_sample(upstream, requests_held * upstream.delay_per_held_us, now);
        }
    }

    // Admits an attempt with probability p = min{[(q_max - q_avg) / (q_max - q_min)]^+, 1}. A hedge, sent
    // while the first attempt still runs, is admitted only where the delay is known to be very small:
    // otherwise hedges double the work of late requests and make other requests late. A delay that has
    // decayed for lack of samples does not prove that the upstream is idle.
    bool admits_retry(const Upstream& upstream, const OpenRequest& open, Time now) {
        const bool hedged = open.in_flight > 0;
        if (hedged && us(now - upstream.delay_us.updated_at) > recent_delay_timeouts * max_retry_timeout_us_)
            return false;
        const double timeout_us =
            class_states_[class_index_of(open)].retry_timeout_us * (hedged ? hedge_admission_factor : 1);
        const double probability = (retry_admission_high * timeout_us - smoothed_delay_us(upstream, now)) /
                                   ((retry_admission_high - retry_admission_low) * timeout_us);
        return probability >= 1 || (probability > 0 && random_.unit() < probability);
    }

    // Detects idle connections that a device on the path has dropped silently, so that requests sent on them
    // get no answer. At a silent upstream, attempts on connections of every age fail. Here they fail on old
    // connections and are answered on younger and new ones. Closes the idle connections before a send if
    // their age step, or a younger one, is stale. Returns the age step of the connection that will be used.
    std::size_t refresh_connections(Upstream& upstream, Time now) {
        if (!may_be_connected(upstream) || upstream.last_outcome_at == Time{}) return 0;
        const double steps =
            std::log2(us(now - upstream.last_outcome_at) / (first_age_step * max_retry_timeout_us_)) + 1;
        const auto age = static_cast<std::size_t>(std::clamp(steps, 0.0, connection_age_steps - 1.0));
        double younger = unanswered_share(0, now);
        for (std::size_t step = 1; step <= age; ++step) {
            const double share = unanswered_share(step, now);
            if (share >= stale_connection_loss && younger <= young_connection_loss * share) {
                actions_.close_idle(upstream.entry.id);
                return 0;
            }
            if (share < stale_connection_loss) younger = std::max(younger, share);
        }
        return age;
    }

    bool has_open_connection(const Upstream& upstream, Time now) const {
        return may_be_connected(upstream) && !upstream.last_connect_failed &&
               (upstream.in_flight > 0 || settings_.idle_close <= Micros{0} ||
                now < upstream.last_outcome_at + settings_.idle_close);
    }

    double unanswered_share(std::size_t age, Time now) const {
        return unanswered_by_age_[age].decayed(now, long_decay_time_us());
    }
    double long_decay_time_us() const { return long_decay_timeouts * max_retry_timeout_us_; }

    // Learns whether an idle connection of this age got an answer. An attempt that was cancelled after its
    // retry timeout, because another attempt answered first, counts as unanswered.
    void update_connection_age(std::size_t age, const AttemptEnd& end, double retry_timeout_us, Time now) {
        const bool lost = end.outcome == Outcome::timeout || end.outcome == Outcome::reset ||
                          (end.outcome == Outcome::cancelled && us(end.latency) > retry_timeout_us);
        if (!lost && end.outcome != Outcome::ok && end.outcome != Outcome::error) return;
        unanswered_by_age_[age].update(lost, connection_outcome_weight, now, long_decay_time_us());
    }

    // --- Choice of an upstream ---

    // Invariants 3 and 4: returns whether the upstream may get new work. submit calls it for every attempt.
    bool may_get_new_work(Upstream& upstream, Time now) {
        return upstream.entry.state == UpstreamState::ready && slow_start_allows(upstream, now);
    }

    bool in_home_zone(const Upstream& upstream) const { return upstream.entry.zone == settings_.zone; }

    // Returns the size of the subset of a ring that this balancer uses. If many balancers each used every
    // upstream, they would together fill its connection table, and each would get too few answers to know its
    // delay. The subset has as many upstreams as can give this balancer `answers_per_upstream` answers within
    // the decay time, and enough that each upstream is in several subsets. The subsets of the balancers
    // follow each other around the ring, so that every upstream is in about equally many. With few balancers
    // the subset is the whole zone.
    std::size_t subset_size(std::size_t ring_size) const {
        const double covering = subsets_per_upstream * ring_size * settings_.zones / settings_.balancers;
        return std::max(min_subset_size, static_cast<std::size_t>(std::max(
                                             recent_arrivals_.value / answers_per_upstream, covering)));
    }

    // Puts an upstream on the ring where it belongs, or takes it off.
    void update_ring(std::size_t index) {
        Upstream& upstream = upstreams_[index];
        const bool listed = upstream.entry.state != UpstreamState::gone;
        const auto ring = listed ? (in_home_zone(upstream) ? &home_ring_ : &remote_ring_) : nullptr;
        if (ring == upstream.ring) return;
        if (!ring) clear_ejection(upstream);  // an upstream that has left the list is not missing
        const auto precedes = [&](std::size_t left, std::size_t right) {
            return id_hash(left) < id_hash(right);
        };
        if (upstream.ring)
            upstream.ring->erase(
                std::lower_bound(upstream.ring->begin(), upstream.ring->end(), index, precedes));
        if (ring) ring->insert(std::lower_bound(ring->begin(), ring->end(), index, precedes), index);
        upstream.ring = ring;
    }

    // Walks a ring from this balancer's position until its subset is full of upstreams that are healthy and
    // may get new work. Returns whether at least half of the visited upstreams are usable. Cold upstreams,
    // and one draining upstream for each of them, do not count against the zone: in a rolling release each
    // new upstream replaces a draining one.
    bool gather_candidates(const std::vector<std::size_t>& ring, std::vector<std::size_t>& candidates,
                           const OpenRequest& open, bool include_unhealthy, Time now) {
        // While many new connections fail, or take long and load the upstream, requests stay at upstreams
        // with an open connection. The measure decays, because those upstreams could be overloaded.
        const bool connections_fail =
            connect_failure_rate_.decayed(now, decay_time_us()) > connect_failure_share;
        const bool pinned = open.request.pinned.has_value();
        const std::size_t last_tried = open.attempts.empty() ? no_index : open.attempts.back().upstream;
        const std::size_t subsets = placed_by_key(open.request.key) ? key_subsets : 1;
        const std::size_t max_candidates = candidates.size() + subsets * subset_size(ring.size());
        const double turns = settings_.rank * inverse_golden_ratio;
        const auto position = static_cast<std::size_t>((turns - std::floor(turns)) * ring.size());
        std::size_t visited = 0, usable = 0, cold_count = 0, draining = 0;
        for (; visited < ring.size() && candidates.size() < max_candidates; ++visited) {
            const std::size_t index = ring[(position + visited) % ring.size()];
            Upstream& upstream = upstreams_[index];
            cold_count += warm_up_fraction(upstream, now) < 1;
            draining += upstream.entry.state != UpstreamState::ready;
            const bool serves = now >= upstream.class_health[class_index_of(open)].ejected_until;
            const bool eligible = is_healthy(upstream, now) && serves &&
                                  (has_open_connection(upstream, now) || !connections_fail || pinned);
            if (!(eligible || (include_unhealthy && !upstream.connect_failed && !pinned)) ||
                !may_get_new_work(upstream, now))
                continue;
            ++usable;
            if ((index != last_tried || pinned) && may_send(open, index, now)) candidates.push_back(index);
        }
        return 2 * usable + cold_count + std::min(draining, cold_count) >= visited;
    }

    // Fills candidates_ with the upstreams that a request may be sent to, a newly drawn pair first.
    void fill_candidates(const OpenRequest& open, Time now) {
        const std::size_t class_index = class_index_of(open);
        update_in_flight(now);
        available_count_ = static_cast<int>(home_ring_.size() + remote_ring_.size()) - ejected_count_;
        const double allowed_share = limit_share(open);
        candidates_.clear();
        remote_candidates_.clear();
        limit_reached_ = concurrency_limit_reached(concurrency_limit() * allowed_share);
        if (limit_reached_) return;
        // If less than half of the zone is usable, the rest cannot carry the load. The request also spills
        // over while only a cached list is known, because upstreams of the zone may have restarted cold
        // unnoticed. If all upstreams look unhealthy, the fault is not theirs alone, and all but those with
        // failed connections are used.
        bool spilled = false;
        for (const bool include_unhealthy : {false, true}) {
            const bool half_usable = gather_candidates(home_ring_, candidates_, open, include_unhealthy, now);
            spilled = !half_usable || candidates_.empty() || !list_is_current_;
            if (spilled) gather_candidates(remote_ring_, candidates_, open, include_unhealthy, now);
            if (!candidates_.empty()) break;
        }
        // If every candidate of the zone is slow, the request spills over to those candidates of other zones
        // that are not slow.
        const auto slow = [&](std::size_t index) {
            return smoothed_delay_us(upstreams_[index], now) > class_states_[class_index].retry_timeout_us;
        };
        if (!spilled && std::all_of(candidates_.begin(), candidates_.end(), slow)) {
            gather_candidates(remote_ring_, remote_candidates_, open, false, now);
            if (!std::all_of(remote_candidates_.begin(), remote_candidates_.end(), slow)) {
                candidates_.swap(remote_candidates_);
                std::erase_if(candidates_, slow);
            }
        }
        // Upstreams at their limit, or too slow for the latency budget, are no candidates. If none remains in
        // the zone, the request spills over.
        const double latency_budget = latency_budget_us(open);
        const auto exhausted = [&](std::size_t index) {
            const Upstream& upstream = upstreams_[index];
            return upstream.in_flight >= std::max(1.0, upstream.concurrency_limit * allowed_share) ||
                   !answers_in_time(upstream, class_index, latency_budget, now);
        };
        std::erase_if(candidates_, exhausted);
        if (candidates_.empty() && !spilled) {
            if (remote_candidates_.empty())
                gather_candidates(remote_ring_, remote_candidates_, open, false, now);
            std::erase_if(remote_candidates_, exhausted);
            candidates_.swap(remote_candidates_);
        }
        choose_pair(open.request.key, class_states_[class_index].retry_timeout_us, now);
    }

    bool placed_by_key(std::uint64_t key) const { return settings_.warm_keys && key != 0; }

    // Moves a random pair of candidates to the front, the one with fewer attempts of this balancer in flight
    // first. Of two with equally many, the one that clearly costs less comes first: its recent latency plus a
    // back-off for each rejection. Without this rule many balancers with hardly any attempts in flight would
    // load slow upstreams as much as fast ones. Chance decides between similar ones, because a minimal
    // advantage would draw all requests to one of them. Where upstreams do less work for recently used keys,
    // the key chooses the pair instead, alike at every balancer, so that a key has a choice of two.
    void choose_pair(std::uint64_t key, double retry_timeout_us, Time now) {
        if (candidates_.size() < 2) return;
        if (placed_by_key(key)) {
            const auto score = [&](std::size_t index) { return Random(key ^ id_hash(index)).next(); };
            const auto scores_below = [&](std::size_t left, std::size_t right) {
                return score(left) < score(right);
            };
            for (auto front = candidates_.begin(); front != candidates_.begin() + 2; ++front) {
                std::iter_swap(front, std::max_element(front, candidates_.end(), scores_below));
            }
        } else {
            std::swap(candidates_[0], candidates_[random_.below(candidates_.size())]);
            std::swap(candidates_[1], candidates_[1 + random_.below(candidates_.size() - 1)]);
        }
        const Upstream& first = upstreams_[candidates_[0]];
        const Upstream& second = upstreams_[candidates_[1]];
        const auto cost = [&](const Upstream& upstream) {
            return DecayingValue{upstream.latency_us, upstream.answered_at}.decayed(now,
                                                                                    long_decay_time_us()) +
                   upstream.rejection_rate.decayed(now, decay_time_us()) * retry_timeout_us;
        };
        const bool cheaper = second.in_flight == first.in_flight &&
                             cost(second) + min_cost_advantage * retry_timeout_us < cost(first);
        if (second.in_flight < first.in_flight || cheaper) std::swap(candidates_[0], candidates_[1]);
    }

    // Returns a hash of the upstream's id, the same at every balancer.
    std::uint64_t id_hash(std::size_t index) const { return Random(upstreams_[index].entry.id).next(); }

    // --- Attempts and retries ---

    void on_request(Time now, const Request& request) {
        if (request.class_index < 0 || static_cast<std::size_t>(request.class_index) >= listed_classes_) {
            actions_.fail(request.id);
            return;
        }
        if (slot_by_request_.count(request.id) != 0) return;
        recent_arrivals_ = {recent_arrivals_.decayed(now, decay_time_us()) + 1, now};
        if (free_slots_.empty()) {
            free_slots_.push_back(open_requests_.size());
            open_requests_.emplace_back();
        }
        const std::size_t slot = free_slots_.back();
        free_slots_.pop_back();
        slot_by_request_.emplace(request.id, slot);
        OpenRequest& open = open_requests_[slot];
        open.request = request;
        open.arrived_at = arrival_time(request, now);
        open.request.deadline = std::min(request.deadline, useful_deadline(request, open.arrived_at));
        open.attempts.clear();
        open.in_flight = open.backoffs = 0;
        open.dedup_window = settings_.classes[class_index_of(open)].window;
        open.finished = false;
        open.worth_factor = worth_within_quota(request, now);
        if (now >= open.request.deadline || (request.pinned && !may_retry_anywhere(open, now))) {
            finish(slot);
        } else if (!send_original(slot, now)) {
            defer_or_finish(slot, now);
        }
    }

    // Returns the request's deadline. If an answer after the aim is worth nothing, returns the end of the
    // aim, so that late work holds no upstream. Requests of classes with streamed answers keep their
    // deadline.
    Time useful_deadline(const Request& request, Time arrived_at) const {
        const ClassSettings& class_settings =
            settings_.classes[static_cast<std::size_t>(request.class_index)];
        return class_settings.late_worth > 0 || class_settings.streams ? request.deadline
                                                                       : arrived_at + class_settings.aim;
    }

    // Returns when the request arrived, corrected for a stall of this process (paused, starved of CPU,
    // swapped out): a request that waited meanwhile may be past its aim. An overdue stall check shows the
    // stall. The difference between the request's remaining time and the longest of its class shows how long
    // it waited.
    Time arrival_time(const Request& request, Time now) {
        double& max_time_left = class_states_[static_cast<std::size_t>(request.class_index)].max_time_left_us;
        const double time_left_us = us(request.deadline - now);
        max_time_left = std::max(max_time_left * (1 - max_time_left_drift), time_left_us);
        if (now <= next_stall_check_at_ + 2 * settings_.tick) return now;
        return now - std::min(micros(max_time_left - time_left_us),
                              now - next_stall_check_at_ + stall_check_interval());
    }

    Micros stall_check_interval() const {
        return micros(stall_check_timeouts * max_retry_timeout_us_) + settings_.tick;
    }

    void schedule_stall_check(Time now) {
        next_stall_check_at_ = now + stall_check_interval();
        actions_.set_timer(next_stall_check_at_,
                           timer_token(TimerKind::stall_check, 0, ++stall_check_serial_));
    }

    // Sends the first attempt, without retry admission.
    bool send_original(std::size_t slot, Time now) {
        const std::size_t probe_target = find_probe_target(open_requests_[slot], now);
        if (probe_target != no_index) return submit(slot, probe_target, now);
        fill_candidates(open_requests_[slot], now);
        return !candidates_.empty() && submit(slot, candidates_[0], now);
    }

    // Sends a retry or a hedge to the first candidate that admits it.
    bool send_retry(std::size_t slot, Time now) {
        const OpenRequest& open = open_requests_[slot];
        fill_candidates(open, now);
        for (const std::size_t index : candidates_) {
            if (admits_retry(upstreams_[index], open, now)) return submit(slot, index, now);
        }
        return false;
    }

    // Invariants 1 and 2: returns whether an attempt may be sent to the target now. submit calls it for every
    // attempt.
    bool may_send(const OpenRequest& open, std::size_t target, Time now) const {
        const ClassSettings& class_settings = settings_.classes[class_index_of(open)];
        if (open.finished || now >= open.request.deadline) return false;
        if (static_cast<int>(open.attempts.size()) >= settings_.max_attempts) return false;
        if (open.in_flight > 0 && !settings_.parallel_attempts) return false;
        if (open.request.pinned && *open.request.pinned != upstreams_[target].entry.id) return false;
        if (class_settings.effect == Effect::safe) return true;
        for (const auto& attempt : open.attempts) {
            if (!attempt.may_have_executed) continue;
            if (class_settings.effect == Effect::unsafe) return false;
            if (!in_same_group(class_settings.group, attempt, upstreams_[target].entry)) return false;
            if (now + settings_.tick >= attempt.sent_at + open.dedup_window) return false;
        }
        return true;
    }

    static bool in_same_group(DeduplicationScope group, const Attempt& attempt, const UpstreamEntry& target) {
        if (group == DeduplicationScope::zone) return attempt.zone == target.zone;
        return group == DeduplicationScope::all || attempt.cell == target.cell;
    }

    // Sends an attempt. Every attempt goes out here.
    bool submit(std::size_t slot, std::size_t target, Time now) {
        OpenRequest& open = open_requests_[slot];
        Upstream& upstream = upstreams_[target];
        if (!may_send(open, target, now) || !may_get_new_work(upstream, now)) return false;
        const Micros timeout = attempt_timeout(open, now);
        const bool opens_connection = !may_be_connected(upstream);
        const std::size_t connection_age = refresh_connections(upstream, now);
        if (upstream.in_flight++ == 0) {
            upstream.busy_since = now;
            busy_upstreams_.push_back(target);
        }
        open.attempts.push_back({target, upstream.entry.zone, upstream.entry.cell, now, upstream.in_flight,
                                 opens_connection, connection_age, true, true});
        ++open.in_flight;
        update_in_flight(now);
        upstream.slow_start->tokens -= 1;
        const Micros time_left = open.request.deadline - now;
        const bool ends_at_timeout = !settings_.parallel_attempts && timeout > Micros{0};
        actions_.submit(open.request.id, upstream.entry.id, ends_at_timeout ? timeout : time_left);
        if (settings_.parallel_attempts && timeout > Micros{0}) set_retry_timer(slot, now + timeout);
        return true;
    }

    void set_retry_timer(std::size_t slot, Time at) {
        actions_.set_timer(at, timer_token(TimerKind::retry, slot, ++open_requests_[slot].timer_serial));
    }

    // Returns the time-out of the next attempt. A retry or a hedge may be sent when it ends. Zero: none,
    // because no further attempt would be allowed after it, or none would fit before the deadline. Where two
    // attempts may run at once, the timer does not end the attempt: the first answer counts, whichever
    // attempt it comes from.
    Micros attempt_timeout(const OpenRequest& open, Time now) const {
        const ClassSettings& class_settings = settings_.classes[class_index_of(open)];
        const Micros timeout = backoff(open);
        if (class_settings.effect == Effect::unsafe || class_settings.streams) return Micros{0};
        if (static_cast<int>(open.attempts.size()) + 1 >= settings_.max_attempts) return Micros{0};
        if (now + timeout + settings_.tick >= open.request.deadline) return Micros{0};
        if (class_settings.effect == Effect::keyed && timeout + 2 * settings_.tick >= open.dedup_window)
            return Micros{0};
        return timeout;
    }

    // Returns the next back-off, which doubles from the retry timeout.
    Micros backoff(const OpenRequest& open) const {
        return micros(class_states_[class_index_of(open)].retry_timeout_us *
                      std::exp2(std::min(open.backoffs, 30)));
    }

    // Waits for the back-off that began at `since`, or finishes the request if nothing can be sent before its
    // deadline.
    void wait_backoff(std::size_t slot, Time since, Time now) {
        OpenRequest& open = open_requests_[slot];
        const Time at = std::max(since + backoff(open), now);
        ++open.backoffs;
        if (at + settings_.tick >= open.request.deadline) {
            finish(slot);
        } else if (at <= now) {
            retry_or_wait(slot, now);
        } else {
            set_retry_timer(slot, at);
        }
    }

    // Sends a retry at the end of a back-off, or waits for the next one.
    void retry_or_wait(std::size_t slot, Time now) {
        if (send_retry(slot, now)) return;
        if (open_requests_[slot].attempts.empty()) {
            defer_or_finish(slot, now);
        } else {
            wait_backoff(slot, now, now);
        }
    }

    // Handles a retry timer that fires while the attempt still runs: its running time counts as a delay
    // sample of its upstream, and a hedge is sent if an upstream admits it. Otherwise the request waits for
    // the running attempt.
    void attempt_overdue(std::size_t slot, Time now) {
        OpenRequest& open = open_requests_[slot];
        const Attempt& last_attempt = open.attempts.back();
        if (last_attempt.in_flight)
            add_delay_sample(upstreams_[last_attempt.upstream], us(now - last_attempt.sent_at), now);
        ++open.backoffs;
        if (send_retry(slot, now)) return;
        const Micros timeout = attempt_timeout(open, now);
        if (timeout > Micros{0}) set_retry_timer(slot, now + timeout);
    }

    void on_attempt_end(Time now, const AttemptEnd& end) {
        const std::size_t slot = find_slot(end.request);
        if (slot == no_index) return;
        OpenRequest& open = open_requests_[slot];
        if (end.attempt < 0 || static_cast<std::size_t>(end.attempt) >= open.attempts.size()) return;
        Attempt& attempt = open.attempts[static_cast<std::size_t>(end.attempt)];
        if (!attempt.in_flight) return;
        attempt.in_flight = false;
        attempt.may_have_executed = end.outcome != Outcome::full && end.outcome != Outcome::connect_failed &&
                                    end.outcome != Outcome::inconclusive;
        --open.in_flight;
        Upstream& upstream = upstreams_[attempt.upstream];
        if (--upstream.in_flight == 0) std::erase(busy_upstreams_, attempt.upstream);
        // An attempt that was not executed for a reason on the balancer's side says nothing about the
        // upstream.
        if (end.outcome != Outcome::inconclusive) {
            upstream.last_outcome_at = now;
            upstream.connected = true;
            upstream.last_connect_failed = end.outcome == Outcome::connect_failed;
            if (attempt.opened_connection)
                connect_failure_rate_.update(upstream.last_connect_failed, connection_outcome_weight, now,
                                             decay_time_us());
        }
        close_idle(upstream);
        update_connection_age(attempt.connection_age, end,
                              class_states_[class_index_of(open)].retry_timeout_us, now);
        update_in_flight(now);
        const std::size_t class_index = class_index_of(open);
        if (end.outcome == Outcome::ok) {
            update_latency(class_index, us(end.latency));
            update_capacity(upstream, us(end.latency), attempt.own_in_flight, class_index);
        }
        update_class_health(upstream, end.outcome, class_index, now);
        update_concurrency_limit(end, class_index, attempt.sent_at, now);
        if (end.outcome != Outcome::inconclusive)
            update_rejections(upstream, end.outcome == Outcome::full, now);
        update_delay(upstream, end, class_index, now);
        update_health(upstream, end.outcome, class_index, now);
        if (end.request_answered) open.finished = true;
        if (open.finished) {
            if (end.outcome == Outcome::ok) cancel_in_flight(slot);
            release_if_finished(slot);
            return;
        }
        if (open.in_flight > 0) return;
        if (!may_retry_anywhere(open, now)) {
            finish(slot);
            return;
        }
        // Many balancers can together fill the small queues of upstreams unnoticed. A request that was
        // rejected without being executed is therefore retried without a back-off, subject to retry
        // admission, after its first attempts.
        const bool may_go_elsewhere = !attempt.may_have_executed && !open.request.pinned;
        if (may_go_elsewhere && open.attempts.size() <= immediate_retries && send_retry(slot, now)) return;
        wait_backoff(slot, attempt.sent_at, now);
    }

    // Returns whether a further attempt would be allowed at any upstream.
    bool may_retry_anywhere(const OpenRequest& open, Time now) const {
        for (std::size_t index = 0; index < upstreams_.size(); ++index) {
            if (upstreams_[index].entry.state == UpstreamState::ready && may_send(open, index, now))
                return true;
        }
        return false;
    }

    void on_client_gone(Time, RequestId id) {
        const std::size_t slot = find_slot(id);
        if (slot == no_index) return;
        open_requests_[slot].finished = true;
        cancel_in_flight(slot);
        release_if_finished(slot);
    }

    // Cancels the attempts in flight, whose outcomes no longer matter.
    void cancel_in_flight(std::size_t slot) {
        OpenRequest& open = open_requests_[slot];
        for (std::size_t index = 0; settings_.may_cancel && index < open.attempts.size(); ++index) {
            if (open.attempts[index].in_flight) actions_.cancel(open.request.id, static_cast<int>(index));
        }
    }

    void on_timer(Time now, std::uint64_t token) {
        const auto kind = static_cast<TimerKind>(token >> 60);
        const auto serial = static_cast<std::uint32_t>(token);
        if (kind == TimerKind::list_request && serial == list_timer_serial_) request_list(now);
        if (kind == TimerKind::stall_check && serial == stall_check_serial_) schedule_stall_check(now);
        const std::size_t slot = token >> 32 & 0x0fffffffU;
        if (kind != TimerKind::retry || slot >= open_requests_.size()) return;
        OpenRequest& open = open_requests_[slot];
        if (open.finished || open.timer_serial != serial) return;
        if (open.in_flight > 0) {
            attempt_overdue(slot, now);
        } else {
            retry_or_wait(slot, now);
        }
    }

    void release_if_finished(std::size_t slot) {
        OpenRequest& open = open_requests_[slot];
        if (!open.finished || open.in_flight > 0) return;
        slot_by_request_.erase(open.request.id);
        ++open.timer_serial;  // invalidates timers that are still set
        free_slots_.push_back(slot);
    }

    std::size_t find_slot(RequestId id) const {
        const auto found = slot_by_request_.find(id);
        return found == slot_by_request_.end() ? no_index : found->second;
    }

    std::size_t class_index_of(const OpenRequest& open) const {
        return static_cast<std::size_t>(open.request.class_index);
    }

    // --- Outlier ejection ---

    // Returns whether the upstream may get ordinary traffic: it is not ejected, and not silent while attempts
    // wait there.
    bool is_healthy(const Upstream& upstream, Time now) const {
        return !upstream.ejected && !is_silent(upstream, now);
    }

    // Returns whether the upstream has more than one attempt of this balancer in flight but has answered
    // none for a while.
    bool is_silent(const Upstream& upstream, Time now) const {
        return upstream.in_flight > 1 && us(now - std::max(upstream.answered_at, upstream.busy_since)) >
                                             silence_timeouts * max_retry_timeout_us_;
    }

    // Counts the consecutive failures of an upstream and reinstates it when it answers.
    void update_health(Upstream& upstream, Outcome outcome, std::size_t class_index, Time now) {
        // A time-out counts against the upstream only if it has answered nothing else for a retry timeout.
        const bool unanswered_since =
            upstream.answered_at + micros(class_states_[class_index].retry_timeout_us) < now;
        if (outcome == Outcome::cancelled || outcome == Outcome::inconclusive) return;
        if (outcome == Outcome::timeout && !unanswered_since) return;
        const bool connect_failed = outcome == Outcome::connect_failed;
        if (!connect_failed && outcome != Outcome::timeout && outcome != Outcome::reset)
            upstream.answered_at = now;
        if (outcome == Outcome::ok) {
            upstream.answer_rate = {
                upstream.answer_rate.decayed(now, rate_window_us()) + 1e6 / rate_window_us(), now};
            if (upstream.ejected) reinstate(upstream, now);
            upstream.consecutive_failures = 0;
            return;
        }
        // Rejections count as failures: an upstream that rejects everything answers at once and would attract
        // requests.
        upstream.connect_failed = upstream.connect_failed || connect_failed;
        record_failure(upstream, connect_failed ? connect_failure_weight : 1, now);
    }

    // Ejects an upstream for one class if it loses most of that class's attempts, and a far greater fraction
    // than all upstreams together. The answers to other classes would otherwise reset its consecutive
    // failures. The comparison with the class's loss over all upstreams prevents ejections where most
    // upstreams fail the class.
    void update_class_health(Upstream& upstream, Outcome outcome, std::size_t class_index, Time now) {
        const bool failed = outcome == Outcome::timeout || outcome == Outcome::error;
        if (!failed && outcome != Outcome::ok) return;
        class_states_[class_index].loss += congestion_weight * (failed - class_states_[class_index].loss);
        ClassHealth& health = upstream.class_health[class_index];
        health.loss += class_loss_weight * (failed - health.loss);
        if (failed && health.loss > std::max(class_ejection_loss,
                                             class_ejection_ratio * class_states_[class_index].loss)) {
            health.ejected_until = now + max_ejection_time();
        }
    }

    // Counts a failure and ejects the upstream after enough of them. A failed probe extends the ejection.
    void record_failure(Upstream& upstream, int weight, Time now) {
        upstream.probing = false;
        upstream.consecutive_failures += weight;
        if ((upstream.consecutive_failures < failures_to_eject && !upstream.ejected) || !upstream.ring)
            return;
        if (!upstream.ejected) log_health(now, "upstream ejected", upstream);
        if (upstream.ejected && now < upstream.ejected_until) return;
        ejected_count_ += !upstream.ejected;
        upstream.ejected = true;
        upstream.ejected_until = now + upstream.next_ejection_time;
        upstream.next_ejection_time =
            std::min(micros(us(upstream.next_ejection_time) * ejection_growth), max_ejection_time());
    }

    Micros min_ejection_time() const { return micros(decay_time_us()); }
    Micros max_ejection_time() const {
        return std::max(min_ejection_time(), micros(us(settings_.ramp_time) * max_ejection_share));
    }

    // Reinstates an ejected upstream. If its connections failed, and failed again when it was probed, it may
    // be a new process, which counts as cold until the list reports its start.
    void reinstate(Upstream& upstream, Time now) {
        log_health(now, "upstream reinstated", upstream);
        const bool probably_restarted =
            upstream.connect_failed &&
            upstream.consecutive_failures >= failures_to_eject + connect_failure_weight;
        const bool already_cold = upstream.slow_start->cold_start_at > Time{} &&
                                  now - upstream.slow_start->cold_start_at < settings_.ramp_time;
        if (probably_restarted && !already_cold) begin_slow_start(upstream, now, now);
        clear_ejection(upstream);
    }

    void clear_ejection(Upstream& upstream) {
        ejected_count_ -= upstream.ejected;
        upstream.ejected = upstream.connect_failed = upstream.probing = false;
        upstream.consecutive_failures = 0;
        upstream.next_ejection_time = min_ejection_time();
    }

    // Looks for ejected upstreams that are due for a probe. Where probes are allowed, probes all of them and
    // returns no_index. Otherwise returns the first upstream that may get this request as its probe, or
    // no_index. Only a request that is safe to repeat is used as a probe, or any request if the upstream's
    // connections failed.
    std::size_t find_probe_target(const OpenRequest& open, Time now) {
        for (std::size_t index = 0; index < upstreams_.size(); ++index) {
            Upstream& upstream = upstreams_[index];
            if (!upstream.ejected || upstream.probing || now < upstream.ejected_until) continue;
            if (!may_send(open, index, now) || !may_get_new_work(upstream, now)) continue;
            if (settings_.may_probe) {
                upstream.probing = true;
                upstream.slow_start->tokens -= 1;
                actions_.probe(upstream.entry.id);
            } else if (upstream.connect_failed ||
                       settings_.classes[class_index_of(open)].effect == Effect::safe) {
                upstream.ejected_until = now + upstream.next_ejection_time;
                return index;
            }
        }
        return no_index;
    }

    void on_probe_result(Time now, const ProbeResult& result) {
        const auto found = index_by_id_.find(result.upstream);
        if (found == index_by_id_.end()) return;
        Upstream& upstream = upstreams_[found->second];
        upstream.probing = false;
        if (!upstream.ejected) return;
        if (result.outcome == Outcome::ok) {
            upstream.answered_at = now;
            reinstate(upstream, now);
        } else {
            record_failure(upstream, 1, now);
        }
    }

    void log_health(Time now, const char* event, const Upstream& upstream) {
        if (last_logged_at_ && now - *last_logged_at_ < min_log_interval) return;
        last_logged_at_ = now;
        actions_.log(std::string(event) + ": zone " + std::to_string(upstream.entry.zone) +
                     ", consecutive failures " + std::to_string(upstream.consecutive_failures));
    }

    // --- Slow start ---

    // Starts the slow start of an upstream with a random first part of a token. Policies that share the
    // bucket must not each add a first part: for a start that the bucket already knows, or an earlier one,
    // the tokens can only decrease.
    void begin_slow_start(Upstream& upstream, Time started_at, Time now) {
        const double initial_tokens = random_.unit();
        const bool known =
            upstream.slow_start.use_count() > 1 && started_at <= upstream.slow_start->cold_start_at;
        if (!known) *upstream.slow_start = {{initial_tokens, now}, started_at};
        upstream.slow_start->tokens = std::min(upstream.slow_start->tokens, initial_tokens);
        upstream.answer_rate.value = 0;
    }

    // Returns the least fraction of its capacity that an upstream has reached; 1 when it is warm.
    double warm_up_fraction(const Upstream& upstream, Time now) const {
        if (upstream.slow_start->cold_start_at <= Time{} || settings_.ramp_time <= Micros{0}) return 1;
        const double age = us(now - upstream.slow_start->cold_start_at) / us(settings_.ramp_time);
        return age >= 1 ? 1 : settings_.cold_share + (1 - settings_.cold_share) * std::max(age, 0.0);
    }

    // Returns whether the slow-start bucket has a token. The bucket fills at the warm-up fraction of the
    // rate at which warm upstreams answer this balancer, and holds what comes in half of fall_span. Many
    // balancers that each send just one request when they are notified of a start would overload the
    // upstream. The bucket therefore starts with a random part of a token, and fills at a rate proportional
    // to this balancer's own part of the upstream's work, which may be very small.
    bool slow_start_allows(Upstream& upstream, Time now) {
        const double fraction = warm_up_fraction(upstream, now);
        if (fraction >= 1 || settings_.fall_span <= Micros{0}) return true;
        const double rate = fraction * std::max(warm_rate(upstream, now), min_warm_rate());
        const double capacity = std::max(1.0, rate * us(settings_.fall_span) / 2e6);
        return refill(*upstream.slow_start, rate * us(now - upstream.slow_start->filled_at) / 1e6, capacity,
                      now);
    }

    // Returns the least rate at which a warm upstream answers this balancer: one request per longest aim for
    // all balancers together, because a slower upstream could meet no aim.
    double min_warm_rate() const {
        Micros max_aim{};
        for (std::size_t class_index = 0; class_index < listed_classes_; ++class_index)
            max_aim = std::max(max_aim, settings_.classes[class_index].aim);
        return 1e6 / us(max_aim) / settings_.balancers;
    }

    double rate_window_us() const { return std::max(us(settings_.ramp_time) / 2, 1e6); }

    // Returns the answers per second that a warm upstream gives this balancer: the mean over the upstreams of
    // the same kind in the zone (or outside, like the reference), else over all there. Upstreams that this
    // balancer never uses count too. Otherwise balancers that each use a few upstreams would together send a
    // multiple of the intended load.
    double warm_rate(const Upstream& reference, Time now) {
        const auto group =
            2 * static_cast<std::size_t>(std::max(0, reference.entry.kind)) + in_home_zone(reference);
        if (warm_rates_.size() <= group) warm_rates_.resize(group + 1);
        DecayingValue& cached = warm_rates_[group];
        if (cached.updated_at > Time{} && now - cached.updated_at < settings_.fall_span / 8)
            return cached.value;
        double sum[2] = {0, 0};
        int count[2] = {0, 0};
        for (const auto& upstream : upstreams_) {
            if (upstream.entry.state != UpstreamState::ready || upstream.ejected ||
                warm_up_fraction(upstream, now) < 1)
                continue;
            if (in_home_zone(upstream) != in_home_zone(reference)) continue;
            const double rate = upstream.answer_rate.decayed(now, rate_window_us());
            const int same_kind = upstream.entry.kind == reference.entry.kind;
            sum[same_kind] += rate;
            ++count[same_kind];
        }
        cached = {count[1] > 0 ? sum[1] / count[1] : count[0] > 0 ? sum[0] / count[0] : 0, now};
        return cached.value;
    }

    // --- Load shedding ---

    // Invariant 2: returns whether the request may be refused, which promises that a retry is harmless.
    bool may_refuse(const OpenRequest& open) const {
        const ClassSettings& class_settings = settings_.classes[class_index_of(open)];
        if (class_settings.effect == Effect::safe ||
            (class_settings.effect == Effect::keyed && class_settings.group == DeduplicationScope::all))
            return true;
        return std::none_of(open.attempts.begin(), open.attempts.end(),
                            [](const Attempt& attempt) { return attempt.may_have_executed; });
    }

    // Returns the latency above which a request is not sent: its own aim, or less where it must leave
    // capacity free for classes with a higher worth density.
    double latency_budget_us(const OpenRequest& open) const {
        const double own = worth_density(open);
        double budget = us(settings_.classes[class_index_of(open)].aim);
        for (std::size_t other = 0; other < listed_classes_; ++other) {
            if (worth_density(other) <= own) continue;
            budget =
                std::min(budget, class_share(own, worth_density(other)) * us(settings_.classes[other].aim));
        }
        return budget;
    }

    // Returns the fraction of the concurrency limits that a request may use: all for the highest worth
    // density.
    double limit_share(const OpenRequest& open) const {
        const double own = worth_density(open);
        double highest = own;
        for (std::size_t other = 0; other < listed_classes_; ++other)
            highest = std::max(highest, worth_density(other));
        return class_share(own, highest);
    }

    // Returns the factor on the worth of a request: requests beyond their tenant's quota count
    // `over_share_worth` in load shedding, so that one tenant cannot crowd out the others. A token bucket
    // measures the quota. It fills at the largest part of the quota that this balancer can have, which is
    // its part if the zone has the least number of balancers that an even division over the zones allows.
    double worth_within_quota(const Request& request, Time now) {
        if (!request.tenant || static_cast<std::size_t>(*request.tenant) >= tenant_buckets_.size()) return 1;
        const auto tenant = static_cast<std::size_t>(*request.tenant);
        const double balancer_share =
            1.0 / (settings_.zones * std::max(1, settings_.balancers / settings_.zones));
        const double quota_per_us = settings_.tenants[tenant].quota_per_s * balancer_share / 1e6;
        if (quota_per_us <= 0) return 1;
        TokenBucket& bucket = tenant_buckets_[tenant];
        const double gained_tokens = quota_per_us * us(now - bucket.filled_at);
        if (!refill(bucket, gained_tokens, std::max(1.0, quota_per_us * us(tenant_burst_span)), now))
            return settings_.over_share_worth;
        bucket.tokens -= 1;
        return 1;
    }

    // Returns the fraction that a class may use of what a class with a higher worth density needs.
    double class_share(double own_density, double highest_density) const {
        const double min_share = by_balancer_count(min_class_share, min_class_share_single);
        return min_share + (1 - min_share) * own_density / highest_density;
    }

    // Interpolates by the number of balancers. The fewer there are, the more of an upstream's load is this
    // balancer's own and known, and the less must be kept free.
    double by_balancer_count(double with_many, double with_one) const {
        return with_many + (with_one - with_many) / settings_.balancers;
    }

    // Returns the worth per work. Latency stands for work, because waiting is the same for all classes. A
    // class without answers counts with its aim as work; otherwise it would keep capacity from all others.
    double worth_density(std::size_t class_index) const {
        const double work = class_states_[class_index].answers == 0 ? us(settings_.classes[class_index].aim)
                                                                    : class_states_[class_index].latency_us;
        return settings_.classes[class_index].worth / std::max(1.0, work);
    }

    double worth_density(const OpenRequest& open) const {
        return worth_density(class_index_of(open)) * open.worth_factor;
    }

    // Handles an original for which no upstream has capacity; sending it would only make other requests late.
    // It waits for a back-off if it can still be in time after that. Otherwise it is refused early.
    void defer_or_finish(std::size_t slot, Time now) {
        const OpenRequest& open = open_requests_[slot];
        const double aim_wait_us = us(settings_.classes[class_index_of(open)].aim) *
                                   (limit_reached_ ? wait_share_at_limit : wait_share);
        const double max_wait_us =
            std::min(aim_wait_us, us(open.request.deadline - open.arrived_at) * wait_share_of_client_time);
        if (upstreams_.empty() || us(now - open.arrived_at + backoff(open)) < max_wait_us) {
            wait_backoff(slot, now, now);
        } else {
            finish(slot);
        }
    }

    // Gives this balancer's own final answer. The advised retry delay is one base latency: by then capacity
    // may be free, and a longer delay would miss the aim.
    void finish(std::size_t slot) {
        OpenRequest& open = open_requests_[slot];
        if (open.finished) return;
        open.finished = true;
        if (may_refuse(open)) {
            const Micros retry_after =
                std::min(micros(base_latency_us(class_index_of(open))), settings_.max_retry_after);
            actions_.reject(open.request.id, settings_.retry_after ? retry_after : Micros{0});
        } else {
            actions_.fail(open.request.id);
        }
        cancel_in_flight(slot);
        release_if_finished(slot);
    }

private:
    static void check_settings(const Settings& settings) {
        const auto require = [](bool condition, const std::string& what) {
            if (!condition) throw std::invalid_argument("settings: " + what);
        };
        require(settings.balancers >= 1, "balancers must be at least 1");
        require(settings.rank >= 0 && settings.rank < settings.balancers, "rank must be below balancers");
        require(settings.zones >= 1 && settings.zone >= 0 && settings.zone < settings.zones,
                "zone must be one of zones");
        require(settings.tick > Micros{0}, "tick must be positive");
        require(!settings.classes.empty(), "classes must not be empty");
        require(settings.max_attempts >= 1, "max_attempts must be at least 1");
        require(settings.cold_share > 0 && settings.cold_share <= 1,
                "cold_share must be above 0 and at most 1");
        require(settings.drain_close >= Micros{0}, "drain_close must not be negative");
        require(settings.ramp_time >= Micros{0}, "ramp_time must not be negative");
        require(settings.fall_span >= Micros{0}, "fall_span must not be negative");
        require(settings.fall_span == Micros{0} || settings.fall_multiple > 0,
                "fall_multiple must be positive");
        require(!settings.must_request_list || settings.ask_within > Micros{0},
                "ask_within must be positive");
        for (const auto& class_settings : settings.classes) {
            require(class_settings.aim > Micros{0}, class_settings.name + ": aim must be positive");
            require(class_settings.deadline >= class_settings.aim,
                    class_settings.name + ": deadline must not be below aim");
            require(class_settings.effect != Effect::keyed || class_settings.window > Micros{0},
                    class_settings.name + ": window must be positive");
        }
    }

    Settings settings_;
    // Number of classes in the settings. Classes behind them remain only for open requests.
    std::size_t listed_classes_ = 0;
    Actions& actions_;
    Random random_;
    double max_retry_timeout_us_ = 0;  // over the listed classes

    std::vector<Upstream> upstreams_;  // referred to by index
    std::unordered_map<UpstreamId, std::size_t> index_by_id_;
    bool list_is_current_ = false;  // an update newer than the cached list was received
    bool list_requested_ = false;
    bool subscribed_ = false;
    double list_request_delay_us_ = 0;
    std::uint32_t list_timer_serial_ = 0;
    Time next_stall_check_at_{};
    std::uint32_t stall_check_serial_ = 0;

    // Listed upstreams of the balancer's zone and of the other zones, ordered by id_hash.
    std::vector<std::size_t> home_ring_, remote_ring_;
    std::vector<std::size_t> busy_upstreams_;  // those with attempts of this balancer in flight
    int ejected_count_ = 0;
    DecayingValue recent_arrivals_;  // number of arrivals, decayed

    bool limit_reached_ = false;        // the last fill_candidates found the concurrency limit reached
    int available_count_ = 0;           // upstreams that are listed and not ejected
    int in_flight_ = 0;                 // attempts of this balancer at healthy upstreams, as last counted
    double congestion_ = 1;             // smoothed ratio of latency to base latency since the last cut
    Time limit_cut_at_{};               // time of the last cut
    double concurrency_limit_ = 0;      // upper bound of in_flight_; 0: not yet known
    DecayingValue smoothed_in_flight_;  // smoothed in_flight_
    std::vector<DecayingValue> warm_rates_;  // answers per second, by kind and by zone or not
    DecayingValue connect_failure_rate_;     // fraction of new connections that failed
    std::array<DecayingValue, connection_age_steps>
        unanswered_by_age_;  // fraction of attempts without an answer, by age of the connection
    std::vector<ClassState> class_states_;
    std::vector<TokenBucket> tenant_buckets_;  // unused quota of each tenant
    std::vector<OpenRequest> open_requests_;
    std::vector<std::size_t> free_slots_;
    std::unordered_map<RequestId, std::size_t> slot_by_request_;
    std::vector<std::size_t> candidates_, remote_candidates_;  // scratch space of fill_candidates
    std::optional<Time> last_logged_at_;
};

Policy::Policy(const Settings& settings, std::uint64_t seed, Time now, Actions& actions)
    : impl_(std::make_unique<Impl>(settings, seed, now, actions)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::on_settings(Time now, const Settings& settings) { impl_->on_settings(now, settings); }
void Policy::on_list(Time now, ListKind kind, const std::vector<UpstreamEntry>& entries, std::uint64_t) {
    impl_->on_list(now, kind, entries);
}
void Policy::on_request(Time now, const Request& request) { impl_->on_request(now, request); }
void Policy::on_started(Time, const AttemptStart&) {}  // nothing to do: the attempt's outcome still follows
void Policy::on_attempt_end(Time now, const AttemptEnd& end) { impl_->on_attempt_end(now, end); }
void Policy::on_client_gone(Time now, RequestId request) { impl_->on_client_gone(now, request); }
void Policy::on_probe_result(Time now, const ProbeResult& result) { impl_->on_probe_result(now, result); }
void Policy::on_timer(Time now, std::uint64_t token) { impl_->on_timer(now, token); }
void Policy::on_message(Time, int, std::string_view) {}  // the module sends no messages to peers yet
std::optional<LearnedState> Policy::learned_state(UpstreamId upstream) const {
    return impl_->learned_state(upstream);
}

}  // namespace flaxdoor
