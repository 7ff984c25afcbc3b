// The decisions of flaxdoor. Types, events and actions: include/flaxdoor/decide.h.
//
// A map for the reader. The ordinary path of a request, in the design's own words:
//   on_request      -> send_original: two random ready upstreams of the zone, fewer of ours in flight wins;
//                      spill when under half of the zone is ready or every candidate's delay exceeds T1
//   on_attempt_end  -> a failure waits out its gap (T1, doubling), then send_retry: a fresh pair without the
//                      failed upstream, better first, then the others of the zone; each passes with chance p
//   p               -> falls from 1 to 0 as the upstream's smoothed delay rises from 0.2 T1 to T1
// Two exceptions shape what one of many balancers does: it places its work in a share of the zone
// (share_size), and all of its attempts together have a room, which may be less than one (learn_room,
// room_used). Sections, in order: 1 registry, 2 delay estimate and gate, 3 choosing an upstream, 4 attempt
// life and retries, 5 health, 6 cold budget, 7 refusal. The rules that may never be broken stand in one
// function each:
//   may_send (rules 1 and 2), may_get_new_work (rules 3 and 4), may_refuse (rule 2), close_idle (rule 5).
// Every send passes `submit`.
#include "flaxdoor/decide.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <unordered_map>

namespace flaxdoor {

namespace {

// ------------------------------------------------------------------------------------------- constants
constexpr double delay_weight = 0.1;  // w_q: least weight of a new delay sample, the paper's value
constexpr double gate_low = 0.2;      // q_min as a share of T1: below it every retry passes
constexpr double gate_high = 1.0;     // q_max as a share of T1: above it none does
constexpr double copy_share = 0.03;   // of both, for a copy of one that runs (0.1 to 1 tried)
constexpr double t1_deviations = 4;   // T1 = usual latency + so many mean deviations, as TCP's timer does,
constexpr double t1_least = 0.25;     //   but at least this share of the aim
constexpr double t1_most = 0.8;       //   and at most this one (0.5: retries far too early; 1: no better)
constexpr double latency_weight = 1.0 / 64;  // weight of one answer in the usual latency of a class
constexpr int max_strikes = 4;               // failures in a row that put an upstream out
constexpr int hard_strikes = 2;              // a failed connection counts so many
constexpr double lost_weight = 0.2;          // of an outcome in the share of a class that an upstream loses
constexpr double lost_share = 0.5;         // that puts it out for the class alone (0.4 tried: grey ones too)
constexpr double lost_more = 2;            //   if it is so many times what the class loses on the whole
constexpr double penalty_growth = 2;       // each further time out is so much longer
constexpr double share_of_ramp_out = 0.5;  // longest time out, as a share of the ramp time
// What may be in flight at one upstream: attempts, learned.
constexpr double limit_growth = 1.0 / 32;  // step up by an answer at the limit, down by one from a crowd
// What all of ours may be: cut from so many base latencies (1.8 tried: refusals; 2.3 for many: jams).
constexpr double most_crowding = 2, most_crowding_alone = 2.6;
constexpr double crowding_weight = 1.0 / 32;  // weight of an answer in that (1/16: false cuts; 1/64: late)
constexpr double crowding_cap = 4;            // the most that one counts for (3, 6 tried)
constexpr double full_crowding = 6;   // of a full refusal or time-out (4: jams stay; 15: quiet days refused)
constexpr double room_cut = 0.7;      // what a cut leaves (0.5, 0.8 tried)
constexpr double room_growth = 0.25;  // step up, shared as below (0.12, 0.5, 1 tried)
constexpr double crowd = 3;  // an answer that took so many base latencies comes from a crowd (2 tried)
constexpr double base_guess = 1.0 / 3;  // of the aim: base latency of a class before it is known
constexpr double base_creep = 3e-4;     // rise of the base latency by an answer (1e-3 tried: learns jams)
constexpr double aim_margin = 0.5;   // of the time from a lone latency to the aim, to wait (0.35, 0.7 tried)
constexpr double most_lone = 0.75;   // of the aim, what a lone latency may take (0.5 tried: starves)
constexpr double least_slope = 0.5;  // flattest line of latency over our own load, as a share of proportion
// Of a denser class's aim, what others may use at least (0.25 tried; 0.6 with many balancers: overload tips).
constexpr double least_patience = 0.5, least_patience_alone = 0.75;
constexpr double clear_lead = 0.05;  // of T1: by so much one must cost less to come first of a pair
constexpr std::size_t at_once = 2;   // first attempts after which what never ran waits no gap (1 tried)
// A balancer's share of a zone.
constexpr double hearings = 8;                 // answers that it should get from each before it forgets
constexpr double coverage = 2;                 // shares that an upstream should be in at least
constexpr std::size_t key_shares = 3;          // so many shares where keys draw the pair (1, 2, all tried)
constexpr double golden = 0.6180339887498949;  // turns of the ring from one rank's place to the next: even
constexpr std::size_t least_share = 4;         // upstreams, so that a pair has a choice when some are out
// How long an idle connection is trusted: by age, in steps that double.
constexpr std::size_t ages = 8;       // steps
constexpr double youngest = 1.0 / 8;  // of the longest T1: end of the first step
constexpr double age_weight = 0.1;    // of an outcome in the share of its step that got no answer (0.2 tried:
                                      //   false limits)
constexpr double stale_share = 0.3;   // of a step that got no answer: it is stale (0.4 tried: late), unless a
constexpr double young_share = 0.3;   //   younger one has so much of that: it is not the connections then
constexpr double dear_share = 0.1;    // of new connections that fail: keep to open ones (0.25 tried: late)
constexpr double stale_t1s = 32;      // a step is tried again after so many longest T1s
// Time constants, in longest T1s or as shares of told times.
constexpr double decay_t1s = 4;    // without news, delay and what goes with it decay over so many
constexpr double news_t1s = 1;     // for a copy, news of an upstream counts so long (4: copies still cost)
constexpr double silence_t1s = 2;  // an upstream that answers nothing for so many is silent
// Of the aim, before which a gap may end that an original waits out: in a jam, and else (1 tried: no better).
constexpr double early_share_jam = 0.5, early_share = 0.8;
constexpr double early_most = 0.45;  // of the client's time: to be refused later, unsent, costs it more
constexpr double beat_t1s = 0.25;    // gap between beats, by which a stall of our own is seen
constexpr double left_creep = 1e-3;  // fall, by a request, of the longest time that clients leave us
constexpr double ask_share = 0.1;    // of ask_within: first gap after a failed call, and spread at start
constexpr Micros ask_most = std::chrono::seconds(2);  // longest: what could be heard counts as told 6 s later
constexpr Micros share_span = std::chrono::seconds(4);  // that a tenant may save up (1 to 15 tried)
constexpr Micros log_gap = std::chrono::seconds(1);

double us(Micros span) { return static_cast<double>(span.count()); }
Micros micros(double us) { return Micros(std::llround(us)); }

// A learned value that is forgotten as time goes by.
struct Fading {
    double value = 0;
    Time at{};

    double now(Time now, double span_us) const { return value * std::exp(-us(now - at) / span_us); }
    void learn(double sample, double weight, Time when, double span_us) {
        value = now(when, span_us);
        value += weight * (sample - value);
        at = when;
    }
};

// SplitMix64: small, own, the same on every platform.
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

// Buckets fill as time goes by, up to `most`. Is there a token to spend?
bool fill(TokenBucket& bucket, double gained, double most, Time now) {
    bucket.tokens = std::min(most, bucket.tokens + gained);
    bucket.filled_at = now;
    return bucket.tokens >= 1;
}

// What an upstream does for one class.
struct Service {
    double lost = 0;  // smoothed share that got an error or no answer
    Time out_until{};
};

struct Upstream : UpstreamMemory {
    UpstreamEntry entry;
    std::vector<Service> services;             // by class
    std::vector<std::size_t>* ring = nullptr;  // of its zone, or of the other ones, while it is listed
    int in_flight = 0;                         // attempts of ours
    bool linked = false;                       // an attempt that ended may have left a connection there
    bool refused = false;                      // the last attempt that ended there got no connection
    Time idle_since{};                         // when the last outcome came from there

    Fading delay_us;         // q_avg
    double per_held_us = 0;  // learned: time that each request it reports as held adds, 1 / rate
    Fading full;             // of attempts, those turned away as full

    bool trial = false;  // a probe or a trial request is under way
    Micros penalty{};
    Time busy_since{};  // when in_flight last rose from zero

    std::shared_ptr<ColdAccount> cold = std::make_shared<ColdAccount>();  // its own, unless one was told
    Fading answer_rate;                                                   // our answers a second
};

struct Attempt {
    std::size_t upstream = 0;
    int zone = 0, cell = 0;  // of the upstream then: a name that moves leaves behind what it ran
    Time sent_at{};
    int ours = 1;         // attempts of ours at the upstream then, this one included
    bool first = false;   // no connection was open there
    std::size_t age = 0;  // step of the age of the idle connection that it was sent on
    bool in_flight = true;
    bool may_have_run = true;  // until its outcome proves otherwise
};

struct Open {
    Request request;
    Time arrived_at{};
    std::vector<Attempt> attempts;
    int in_flight = 0;
    int round = 0;           // gaps used: the next one is T1 * 2^round
    Micros window{};         // of its class, the shortest while it was open
    std::uint32_t wake = 0;  // serial of the only timer that counts
    bool done = false;       // final answer given or client gone
    double worth = 1;        // as a share of its class's: less beyond its tenant's share
};

struct ClassState {
    double left_us = 0;  // the longest time left that requests come with
    double lost = 0;     // smoothed share of its attempts that got an error or no answer
    double latency_us = 0;
    double deviation_us = 0;
    double answers = 0;
    double t1_us = 0;
    double base_us = 0;  // latency without a crowd: the least that the usual one has been, creeping upwards
};

constexpr std::size_t none = static_cast<std::size_t>(-1);
enum class TimerKind : std::uint64_t { wake = 1, ask = 2, beat = 3 };

std::uint64_t token_of(TimerKind kind, std::uint64_t slot, std::uint32_t serial) {
    return static_cast<std::uint64_t>(kind) << 60 | slot << 32 | serial;
}

bool same(const TenantSettings& a, const TenantSettings& b) { return a.name == b.name; }
bool same(const ClassSettings& a, const ClassSettings& b) {
    return a.name == b.name && a.effect == b.effect && a.group == b.group;
}

// Where a list has the same one; its size if it has none.
template <typename Named>
std::size_t place_of(const Named& one, const std::vector<Named>& list) {
    const auto found =
        std::find_if(list.begin(), list.end(), [&](const auto& each) { return same(each, one); });
    return static_cast<std::size_t>(found - list.begin());
}

// What was learned of those in `old`, for the same ones in `next`; the others start fresh.
template <typename Named, typename State>
std::vector<State> carried(const std::vector<Named>& old, const std::vector<Named>& next,
                           const std::vector<State>& learned, const State& fresh) {
    std::vector<State> states(next.size(), fresh);
    for (std::size_t i = 0; i < next.size(); ++i) {
        if (const std::size_t from = place_of(next[i], old); from < old.size()) states[i] = learned[from];
    }
    return states;
}

}  // namespace

class Policy::Impl {
public:
    Impl(const Settings& settings, std::uint64_t seed, Time now, Actions& actions)
        : actions_(actions), random_(seed) {
        on_settings(now, settings);
    }

    // A class that is gone but held by open requests stays, behind those that are listed, for them alone.
    void on_settings(Time now, const Settings& settings) {
        check_settings(settings);
        Settings next = settings;
        for (const auto& [id, slot] : by_id_) {
            Open& r = open_[slot];
            const std::size_t c = place_of(s_.classes[class_of(r)], next.classes);
            if (c == next.classes.size()) next.classes.push_back(s_.classes[class_of(r)]);
            r.request.class_index = static_cast<int>(c);
            r.window = std::min(r.window, next.classes[c].window);
        }
        classes_ = carried(s_.classes, next.classes, classes_, {});
        for (auto& u : upstreams_) u.services = carried(s_.classes, next.classes, u.services, {});
        shares_ = carried(s_.tenants, next.tenants, shares_, TokenBucket{0, now - share_span});
        listed_ = settings.classes.size();
        s_ = std::move(next);
        for (std::size_t c = 0; c < classes_.size(); ++c) update_t1(c);
        if (beat_serial_ == 0) beat(now);
        if (s_.must_ask_list) {
            // Instances that start together ask one after another.
            const double spread = ask_share * us(s_.ask_within) * s_.rank / s_.balancers;
            set_ask_timer(now + micros(spread));
        }
        settle_all();
    }

    // ------------------------------------------------------------------------------------ 1. registry

    void on_list(Time now, ListKind kind, const std::vector<UpstreamEntry>& entries) {
        if (kind == ListKind::failed) {
            if (!s_.must_ask_list) return;
            // The call failed or the subscription dropped: ask again after a growing gap.
            subscribed_ = false;
            const double first = ask_share * us(s_.ask_within);
            ask_gap_us_ = std::min(std::max(ask_gap_us_ * 2, first), us(ask_most));
            set_ask_timer(now + micros(ask_gap_us_ * (0.5 + 0.5 * random_.unit())));
            return;
        }
        if (kind != ListKind::cached) {
            subscribed_ = asked_;
            ask_gap_us_ = 0;
            fresh_ = true;
        }
        if (kind != ListKind::delta) {
            for (auto& u : upstreams_) u.entry.state = UpstreamState::gone;  // unless the list names it
        }
        for (const auto& entry : entries) learn(now, entry, kind);
        if (kind != ListKind::delta) settle_all();  // those that have left
    }

    void settle_all() {  // after the list or the settings changed
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            put_on_ring(i);
            close_idle(upstreams_[i]);
        }
    }

    // Any doubt counts, for rule 5.
    static bool may_be_linked(const Upstream& u) { return u.linked || u.in_flight > 0; }

    // Rule 5: a draining upstream waits for its connections to end. Idle ones go with the notice, and those
    // that an attempt still holds as soon as an outcome frees them; nothing is ever due later. Called on
    // every notice and every outcome.
    void close_idle(Upstream& u) {
        if (s_.drain_close <= Micros{0} || u.entry.state == UpstreamState::ready || !may_be_linked(u)) return;
        actions_.close_idle(u.entry.id);
        u.linked = u.in_flight > 0;
    }

    void learn(Time now, const UpstreamEntry& entry, ListKind kind) {
        const bool added = index_.count(entry.id) == 0;
        if (added && entry.state == UpstreamState::gone) return;
        const std::size_t i = added ? free_place() : index_.at(entry.id);
        index_[entry.id] = i;
        Upstream& u = upstreams_[i];
        const bool started = entry.started_at > u.entry.started_at;
        u.entry = entry;
        if (entry.cold && entry.cold != u.cold) {
            if (u.cold->since > entry.cold->since) *entry.cold = *u.cold;  // what is cold stays cold
            u.cold = entry.cold;
        }
        put_on_ring(i);
        close_idle(u);
        if (started) begin_cold(u, entry.started_at, now);
        if (added || (started && kind != ListKind::cached)) {
            readmit(u);  // a new process: what the old one did says nothing of it
            u.services.assign(classes_.size(), {});
            u.delay_us.value = 0;
        }
        if (added && entry.memory) remember(u, *entry.memory, now);
    }

    // From before a start. Meanwhile it may have started anew: one that died comes back as if it had.
    void remember(Upstream& u, const UpstreamMemory& memory, Time now) {
        static_cast<UpstreamMemory&>(u) = memory;
        out_ += u.out;
        if (u.died) u.strikes = max_strikes + hard_strikes;
        if (memory.cold_since > u.cold->since) begin_cold(u, memory.cold_since, now);
    }

    std::optional<UpstreamMemory> learned(UpstreamId id) const {
        const auto found = index_.find(id);
        if (found == index_.end()) return std::nullopt;
        UpstreamMemory memory = upstreams_[found->second];
        memory.cold_since = upstreams_[found->second].cold->since;
        return memory;
    }

    // Guards against memory of all that ever were: the place of one that left and no open request remembers.
    std::size_t free_place() {
        std::vector<bool> held(upstreams_.size());
        for (const auto& [id, slot] : by_id_) {
            for (const auto& a : open_[slot].attempts) held[a.upstream] = true;
        }
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (upstreams_[i].ring || held[i]) continue;
            index_.erase(upstreams_[i].entry.id);
            upstreams_[i] = {};
            return i;
        }
        upstreams_.emplace_back();
        return upstreams_.size() - 1;
    }

    void ask(Time now) {
        if (subscribed_ || !s_.must_ask_list) return;
        asked_ = true;
        actions_.watch();
        set_ask_timer(now + s_.ask_within);  // should no answer come at all
    }

    void set_ask_timer(Time at) { actions_.set_timer(at, token_of(TimerKind::ask, 0, ++ask_serial_)); }

    // --------------------------------------------------------------------- 2. delay estimate and gate

    // T1 of a class: well above its usual latency, below the usual time left.
    void update_t1(std::size_t c) {
        const double aim = us(s_.classes[c].aim);
        ClassState& state = classes_[c];
        const double usual = state.latency_us + t1_deviations * state.deviation_us;
        state.t1_us = state.answers == 0 ? t1_most * aim : std::clamp(usual, t1_least * aim, t1_most * aim);
        longest_t1_us_ = 0;
        for (std::size_t d = 0; d < listed_; ++d)
            longest_t1_us_ = std::max(longest_t1_us_, classes_[d].t1_us);
    }

    void learn_latency(std::size_t c, double latency_us) {
        ClassState& state = classes_[c];
        state.answers += 1;
        const double weight = std::max(latency_weight, 1 / state.answers);
        state.deviation_us += weight * (std::fabs(latency_us - state.latency_us) - state.deviation_us);
        if (state.answers == 1) state.deviation_us = latency_us / 2;
        state.latency_us += weight * (latency_us - state.latency_us);
        const double base = knows_base(state) ? state.base_us * (1 + base_creep) : state.latency_us;
        state.base_us = std::min(base, state.latency_us);
        update_t1(c);
    }

    static bool knows_base(const ClassState& state) { return state.answers >= 1 / latency_weight; }

    // Until it is known, the aim tells: a class can't be meant to be served in much more than this.
    double base_us(std::size_t c) const {
        return knows_base(classes_[c]) ? classes_[c].base_us : base_guess * us(s_.classes[c].aim);
    }

    // q_avg now: without news it decays to zero, over a few of the longest T1.
    double delay(const Upstream& u, Time now) const { return u.delay_us.now(now, decay_us()); }

    double decay_us() const { return decay_t1s * longest_t1_us_; }

    void sample_delay(Upstream& u, double sample_us, Time now) {
        const double gap = us(now - u.delay_us.at);
        const double weight = std::max(delay_weight, 1 - std::exp(-gap / decay_us()));
        u.delay_us = {u.delay_us.value + weight * (sample_us - u.delay_us.value), now};
    }

    void learn_capacity(Upstream& u, double latency_us, int ours, std::size_t c) {
        const double weight = u.ours == 0 ? 1 : delay_weight;
        u.latency_us += weight * (latency_us - u.latency_us);
        u.ours += weight * (ours - u.ours);
        if (ours == 1) u.idle_us += (u.idle_us == 0 ? 1 : delay_weight) * (latency_us - u.idle_us);
        if (latency_us > crowd * base_us(c)) {
            u.limit = std::max(1.0, std::min(u.limit, ours + 1.0) - limit_growth);
            u.limited = true;
        } else if (ours + 1 > u.limit) {
            u.limit += u.limited ? limit_growth : 1;
        }
    }

    // Guards against many balancers that each send just a little to every upstream and together jam them all:
    // what all of ours in flight may be is cut while answers take twice their base latency, so that it can be
    // less than one an upstream, and then grows by a step for each room of answers, as a TCP window does.
    void learn_room(const AttemptEnd& end, std::size_t c, Time sent_at, Time now) {
        room_ = room();
        if (sent_at < cut_at_) return;  // sent before the last cut, it says nothing of the room since
        double sample = full_crowding;
        if (end.outcome == Outcome::ok) {
            sample = std::min(crowding_cap, us(end.latency) / std::max(1.0, base_us(c)));
        } else if (end.outcome != Outcome::full && end.outcome != Outcome::timeout) {
            return;
        }
        crowding_ += crowding_weight * (sample - crowding_);
        const double most = for_so_many(most_crowding, most_crowding_alone);
        if (crowding_ > most) {
            const double held = std::max(held_.value, static_cast<double>(in_flight_));
            room_ = std::max(part_of_fleet(s_.fair_share), std::min(room_, held) * room_cut);
            cut_at_ = now;
            crowding_ = 1;
        } else if (sample <= most && in_flight_ + 1 > room_ * least_patience) {
            room_ += std::min(1.0, part_of_fleet(room_growth)) / room_;
        }
    }

    // So many attempts an upstream, shared among the balancers.
    double part_of_fleet(double each) const { return each * std::max(1, ready_) / s_.balancers; }

    // Guards against a start into a crowd, which would teach its latencies as the base ones.
    double room() const { return room_ > 0 ? room_ : part_of_fleet(s_.fair_share); }

    // Is all that these requests may have of the room in use? With many balancers the room is an attempt or
    // less. Chance then makes a balancer hold more at times, which harms nobody as long as it holds no more
    // on average; and one that may hold less than one on average must at times hold none.
    bool room_used(double room) const {
        if (held_.value < room) return in_flight_ >= room + 1 + std::sqrt(room);
        return in_flight_ >= room || room < 1;
    }

    // Counts what is in flight now, and its smoothed value.
    void count_held(Time now) {
        held_ = {in_flight_ + (held_.value - in_flight_) * std::exp(-us(now - held_.at) / decay_us()), now};
        in_flight_ = 0;
        for (const std::size_t i : busy_) {
            if (fit(upstreams_[i], now)) in_flight_ += upstreams_[i].in_flight;  // the others crowd nobody
        }
    }

    void learn_full(Upstream& u, bool full, Time now) {
        u.full.learn(full, delay_weight, now, decay_us());
        if (!full) return;
        u.limit = std::max(1.0, std::min<double>(u.limit, u.in_flight));
        u.limited = true;
    }

    // Would one more request of class c there be answered in time? Its latency is that of a lone one and what
    // each of ours adds, on a line through what was met lately; cores or waits on others to spare make the
    // line flatter than proportion. Being turned away costs a gap. Some of the slack stays unused: latencies
    // have tails.
    bool in_time(const Upstream& u, std::size_t c, double patience, Time now) const {
        if (u.ours == 0) return true;
        const double proportion = u.latency_us / u.ours;
        const double idle = u.idle_us == 0 ? proportion : std::min(u.idle_us, u.latency_us);
        const double slope = u.ours <= 1 ? proportion : (u.latency_us - idle) / (u.ours - 1);
        const double waiting = u.in_flight * std::clamp(slope, least_slope * proportion, proportion) +
                               u.full.now(now, decay_us()) * classes_[c].t1_us;
        // Others may crowd it with none of ours there. That memory fades, or nothing would be sent to correct
        // it.
        const double lone = Fading{idle, u.answered_at}.now(now, decay_us());
        return waiting <= aim_margin * (patience - lone) && lone <= most_lone * patience;
    }

    // The delay that an outcome tells: reported requests held over the rate, else the latency itself.
    void learn_delay(Upstream& u, const AttemptEnd& end, std::size_t c, Time now) {
        const double latency = us(end.latency);
        const auto& fields = s_.report_fields;
        const auto told = std::find(fields.begin(), fields.end(), ReportField::in_flight);
        const auto field = static_cast<std::size_t>(told - fields.begin());
        const bool answered = end.outcome == Outcome::ok || end.outcome == Outcome::error;
        if (end.outcome == Outcome::full) {
            sample_delay(u, classes_[c].t1_us, now);
        } else if (end.outcome == Outcome::timeout || (answered && told == fields.end())) {
            sample_delay(u, latency, now);  // a time-out counts its timer
        } else if (answered && field < end.report.size()) {
            const double held = std::max(0.0F, end.report[field]);
            const double per_held = latency / (held + 1);
            u.per_held_us += (u.per_held_us == 0 ? 1 : delay_weight) * (per_held - u.per_held_us);
            sample_delay(u, held * u.per_held_us, now);
        }
    }

    // p = min{[(q_max - q_avg) / (q_max - q_min)]^+, 1}. Guards against copies that double the work of late
    // requests and so make others late: while the first attempt runs, a copy passes only where there is known
    // to be hardly any delay. Where nothing was heard lately the delay has decayed: that is not idleness.
    bool passes_gate(const Upstream& u, const Open& r, Time now) {
        const bool copy = r.in_flight > 0;
        if (copy && us(now - u.delay_us.at) > news_t1s * longest_t1_us_) return false;
        const double t1 = classes_[class_of(r)].t1_us * (copy ? copy_share : 1);
        const double p = (gate_high * t1 - delay(u, now)) / ((gate_high - gate_low) * t1);
        return p >= 1 || (p > 0 && random_.unit() < p);
    }

    // Guards against idle connections that something between drops unseen: what is sent on one gets no
    // answer. Told from silent upstreams by the age of the connection: old ones fail, young and new ones are
    // answered. Those older than the youngest step that fails are closed before a send.
    std::size_t renew_links(Upstream& u, Time now) {
        if (!may_be_linked(u) || u.idle_since == Time{}) return 0;
        const double steps = std::log2(us(now - u.idle_since) / (youngest * longest_t1_us_)) + 1;
        const auto age = static_cast<std::size_t>(std::clamp(steps, 0.0, ages - 1.0));
        double younger = unanswered(0, now);
        for (std::size_t a = 1; a <= age; ++a) {
            const double share = unanswered(a, now);
            if (share >= stale_share && younger <= young_share * share) {
                actions_.close_idle(u.entry.id);
                return 0;
            }
            if (share < stale_share) younger = std::max(younger, share);
        }
        return age;
    }

    bool open_link(const Upstream& u, Time now) const {
        return may_be_linked(u) && !u.refused &&
               (u.in_flight > 0 || s_.idle_close <= Micros{0} || now < u.idle_since + s_.idle_close);
    }

    double unanswered(std::size_t age, Time now) const { return unanswered_[age].now(now, stale_us()); }
    double stale_us() const { return stale_t1s * longest_t1_us_; }

    // One that a copy has overtaken after its timer got no answer either.
    void learn_age(std::size_t age, const AttemptEnd& end, double t1_us, Time now) {
        const bool lost = end.outcome == Outcome::timeout || end.outcome == Outcome::reset ||
                          (end.outcome == Outcome::cancelled && us(end.latency) > t1_us);
        if (!lost && end.outcome != Outcome::ok && end.outcome != Outcome::error) return;
        unanswered_[age].learn(lost, age_weight, now, stale_us());
    }

    // ----------------------------------------------------------------------- 3. choosing an upstream

    // Rules 3 and 4: may this upstream get new work? Every send passes here.
    bool may_get_new_work(Upstream& u, Time now) {
        return u.entry.state == UpstreamState::ready && cold_budget_left(u, now);
    }

    bool in_home_zone(const Upstream& u) const { return u.entry.zone == s_.zone; }

    // Guards against many balancers that each use every upstream: together they fill its table of
    // connections, and each hears of it too seldom to know its delay. A balancer places its work in its own
    // share of a ring: as many upstreams as it can hear from `hearings` times before it forgets, and enough
    // that each upstream is in several shares. The shares of the balancers follow each other around the ring,
    // so that each upstream is in as many as the next. With few balancers the share is the zone.
    std::size_t share_size(std::size_t ring) const {
        const double covering = coverage * ring * s_.zones / s_.balancers;
        return std::max(least_share,
                        static_cast<std::size_t>(std::max(arrivals_.value / hearings, covering)));
    }

    // Keeps the rings to what is listed.
    void put_on_ring(std::size_t i) {
        Upstream& u = upstreams_[i];
        const bool listed = u.entry.state != UpstreamState::gone;
        const auto ring = listed ? (in_home_zone(u) ? &home_ring_ : &away_ring_) : nullptr;
        if (ring == u.ring) return;
        if (!ring) readmit(u);  // what has left is not missing
        const auto before = [&](std::size_t a, std::size_t b) { return own_chance(a) < own_chance(b); };
        if (u.ring) u.ring->erase(std::lower_bound(u.ring->begin(), u.ring->end(), i, before));
        if (ring) ring->insert(std::lower_bound(ring->begin(), ring->end(), i, before), i);
        u.ring = ring;
    }

    // Walks a ring from this balancer's place until it has its share of upstreams that are fit and may get
    // new work. Are half of those met? In a release cold ones count as ready, each replaces one that drains.
    bool gather(const std::vector<std::size_t>& ring, std::vector<std::size_t>& pool, const Open& r,
                bool lenient, Time now) {
        // Guards against connections that suddenly can't be made, or only slowly and at a cost to the
        // upstream: while many attempts to open one fail, work stays where one is open. Could crowd the few:
        // so it fades.
        const bool links_dear = refused_links_.now(now, decay_us()) > dear_share;
        const bool pinned = r.request.pinned.has_value();
        const std::size_t failed = r.attempts.empty() ? none : r.attempts.back().upstream;
        const std::size_t shares = drawn_by_key(r.request.key) ? key_shares : 1;
        const std::size_t most = pool.size() + shares * share_size(ring.size());
        const double turn = s_.rank * golden;
        const auto place = static_cast<std::size_t>((turn - std::floor(turn)) * ring.size());
        std::size_t met = 0, ready = 0, cold = 0, leaving = 0;
        for (; met < ring.size() && pool.size() < most; ++met) {
            const std::size_t i = ring[(place + met) % ring.size()];
            Upstream& u = upstreams_[i];
            cold += warmth(u, now) < 1;
            leaving += u.entry.state != UpstreamState::ready;
            const bool serves = now >= u.services[class_of(r)].out_until;
            const bool able = fit(u, now) && serves && (open_link(u, now) || !links_dear || pinned);
            if (!(able || (lenient && !u.died && !pinned)) || !may_get_new_work(u, now)) continue;
            ++ready;
            if ((i != failed || pinned) && may_send(r, i, now)) pool.push_back(i);
        }
        return 2 * ready + cold + std::min(leaving, cold) >= met;
    }

    // Fills home_ with the upstreams among which a request may be placed, a fresh pair first.
    void fill_pool(const Open& r, Time now) {
        const std::size_t c = class_of(r);
        count_held(now);
        ready_ = static_cast<int>(home_ring_.size() + away_ring_.size()) - out_;
        const double share = precedence(r);
        home_.clear();
        away_.clear();
        jammed_ = room_used(room() * share);
        if (jammed_) return;
        // Under half of the zone is ready: the rest can't carry it. The same while the list is only a cached
        // one: servers of the zone may have restarted cold meanwhile, and this balancer can't tell. When the
        // whole fleet looks unfit, the trouble is not theirs alone: slow ones count as ready.
        bool spilled = false;
        for (const bool lenient : {false, true}) {
            const bool half = gather(home_ring_, home_, r, lenient, now);
            spilled = !half || home_.empty() || !fresh_;
            if (spilled) gather(away_ring_, home_, r, lenient, now);
            if (!home_.empty()) break;
        }
        // Every candidate of the zone is slow: spill to the others that are not.
        const auto slow = [&](std::size_t i) { return delay(upstreams_[i], now) > classes_[c].t1_us; };
        if (!spilled && std::all_of(home_.begin(), home_.end(), slow)) {
            gather(away_ring_, away_, r, false, now);
            if (!std::all_of(away_.begin(), away_.end(), slow)) {
                home_.swap(away_);
                std::erase_if(home_, slow);
            }
        }
        // None to choose: where the aim is lost, or full with ours. If none is left in the zone: spill.
        const double patience = patience_us(r);
        const auto lost = [&](std::size_t i) {
            const Upstream& u = upstreams_[i];
            return u.in_flight >= std::max(1.0, u.limit * share) || !in_time(u, c, patience, now);
        };
        std::erase_if(home_, lost);
        if (home_.empty() && !spilled) {
            if (away_.empty()) gather(away_ring_, away_, r, false, now);
            std::erase_if(away_, lost);
            home_.swap(away_);
        }
        draw_pair(r.request.key, classes_[c].t1_us, now);
    }

    bool drawn_by_key(std::uint64_t key) const { return s_.warm_keys && key != 0; }

    // Moves a fresh pair to the front of the pool, the one with fewer of ours in flight first; of equals the
    // one that clearly costs less (its answers as remembered, a gap for each full refusal), or many balancers
    // with hardly any in flight would give slow ones as much as fast ones. Chance decides between like ones:
    // the least lead would draw all to one. The pair is random; where upstreams do less work for keys met
    // lately, chance is the key's own, alike at every balancer, among those with room: so keys have a choice.
    void draw_pair(std::uint64_t key, double t1_us, Time now) {
        if (home_.size() < 2) return;
        if (drawn_by_key(key)) {
            const auto rank = [&](std::size_t i) { return Random(key ^ own_chance(i)).next(); };
            const auto below = [&](std::size_t a, std::size_t b) { return rank(a) < rank(b); };
            for (auto front = home_.begin(); front != home_.begin() + 2; ++front) {
                std::iter_swap(front, std::max_element(front, home_.end(), below));
            }
        } else {
            std::swap(home_[0], home_[random_.below(home_.size())]);
            std::swap(home_[1], home_[1 + random_.below(home_.size() - 1)]);
        }
        const Upstream& a = upstreams_[home_[0]];
        const Upstream& b = upstreams_[home_[1]];
        const auto cost = [&](const Upstream& u) {
            return Fading{u.latency_us, u.answered_at}.now(now, stale_us()) +
                   u.full.now(now, decay_us()) * t1_us;
        };
        const bool cheaper = b.in_flight == a.in_flight && cost(b) + clear_lead * t1_us < cost(a);
        if (b.in_flight < a.in_flight || cheaper) std::swap(home_[0], home_[1]);
    }

    // Chance of its own, the same at every balancer.
    std::uint64_t own_chance(std::size_t i) const { return Random(upstreams_[i].entry.id).next(); }

    // ------------------------------------------------------------------- 4. attempt life and retries

    void on_request(Time now, const Request& request) {
        if (request.class_index < 0 || static_cast<std::size_t>(request.class_index) >= listed_) {
            actions_.fail(request.id);
            return;
        }
        if (by_id_.count(request.id) != 0) return;
        arrivals_ = {arrivals_.now(now, decay_us()) + 1, now};
        if (free_.empty()) {
            free_.push_back(open_.size());
            open_.emplace_back();
        }
        const std::size_t slot = free_.back();
        free_.pop_back();
        by_id_.emplace(request.id, slot);
        Open& r = open_[slot];
        r.request = request;
        r.arrived_at = arrival(request, now);
        r.request.deadline = std::min(request.deadline, end_of_worth(request, r.arrived_at));
        r.attempts.clear();
        r.in_flight = r.round = 0;
        r.window = s_.classes[class_of(r)].window;
        r.done = false;
        r.worth = worth_within_share(request, now);
        if (now >= r.request.deadline || (request.pinned && !may_try_again(r, now))) {
            finish(slot);
        } else if (!send_original(slot, now)) {
            turn_away(slot, now);
        }
    }

    // Where an answer after the aim is worth nothing, the request ends with its aim, and holds no upstream.
    Time end_of_worth(const Request& request, Time arrived_at) const {
        const ClassSettings& c = s_.classes[static_cast<std::size_t>(request.class_index)];
        return c.late_worth > 0 || c.streams ? request.deadline : arrived_at + c.aim;
    }

    // Guards against a stall of this balancer itself (paused, starved, swapped): what came in meanwhile has
    // waited here, and may be past its aim before it is seen. A beat that is overdue tells of the stall, and
    // the time left that a request comes with, short of the longest of its class, how long it has waited.
    Time arrival(const Request& request, Time now) {
        double& longest = classes_[static_cast<std::size_t>(request.class_index)].left_us;
        const double left = us(request.deadline - now);
        longest = std::max(longest * (1 - left_creep), left);
        if (now <= beat_at_ + 2 * s_.tick) return now;
        return now - std::min(micros(longest - left), now - beat_at_ + beat_gap());
    }

    Micros beat_gap() const { return micros(beat_t1s * longest_t1_us_) + s_.tick; }

    void beat(Time now) {
        beat_at_ = now + beat_gap();
        actions_.set_timer(beat_at_, token_of(TimerKind::beat, 0, ++beat_serial_));
    }

    // Originals skip the gate.
    bool send_original(std::size_t slot, Time now) {
        const std::size_t trial = find_trial(open_[slot], now);
        if (trial != none) return submit(slot, trial, now);
        fill_pool(open_[slot], now);
        return !home_.empty() && submit(slot, home_[0], now);
    }

    // Retries pass with chance p: the fresh pair first, the better of it before the other, then the rest.
    bool send_retry(std::size_t slot, Time now) {
        const Open& r = open_[slot];
        fill_pool(r, now);
        for (const std::size_t i : home_) {
            if (passes_gate(upstreams_[i], r, now)) return submit(slot, i, now);
        }
        return false;
    }

    // Rules 1 and 2: may this request be sent (again), to this upstream, now? Every send passes here.
    bool may_send(const Open& r, std::size_t to, Time now) const {
        const ClassSettings& c = s_.classes[class_of(r)];
        if (r.done || now >= r.request.deadline) return false;
        if (static_cast<int>(r.attempts.size()) >= s_.max_attempts) return false;
        if (r.in_flight > 0 && !s_.parallel_attempts) return false;
        if (r.request.pinned && *r.request.pinned != upstreams_[to].entry.id) return false;
        if (c.effect == Effect::safe) return true;
        for (const auto& a : r.attempts) {
            if (!a.may_have_run) continue;
            if (c.effect == Effect::unsafe) return false;
            if (!same_group(c.group, a, upstreams_[to].entry)) return false;
            if (now + s_.tick >= a.sent_at + r.window) return false;
        }
        return true;
    }

    static bool same_group(Group group, const Attempt& a, const UpstreamEntry& b) {
        if (group == Group::zone) return a.zone == b.zone;
        return group == Group::all || a.cell == b.cell;
    }

    // The only place from which attempts go out.
    bool submit(std::size_t slot, std::size_t to, Time now) {
        Open& r = open_[slot];
        Upstream& u = upstreams_[to];
        if (!may_send(r, to, now) || !may_get_new_work(u, now)) return false;
        const Micros timer = attempt_timer(r, now);
        const bool first = !may_be_linked(u);
        const std::size_t age = renew_links(u, now);
        if (u.in_flight++ == 0) {
            u.busy_since = now;
            busy_.push_back(to);
        }
        r.attempts.push_back({to, u.entry.zone, u.entry.cell, now, u.in_flight, first, age, true, true});
        ++r.in_flight;
        count_held(now);
        u.cold->tokens -= 1;
        const Micros left = r.request.deadline - now;
        const bool by_timer = !s_.parallel_attempts && timer > Micros{0};
        actions_.submit(r.request.id, u.entry.id, by_timer ? timer : left);
        if (s_.parallel_attempts && timer > Micros{0}) set_wake(slot, now + timer);
        return true;
    }

    void set_wake(std::size_t slot, Time at) {
        actions_.set_timer(at, token_of(TimerKind::wake, slot, ++open_[slot].wake));
    }

    // The attempt time-out is the retry timer. There is none where it could gain nothing: no further attempt
    // would be allowed after it, or none would fit before the deadline. Where two attempts may run at once,
    // the timer does not end the attempt: as in the paper, the first answer counts, whichever copy it comes
    // from.
    Micros attempt_timer(const Open& r, Time now) const {
        const ClassSettings& c = s_.classes[class_of(r)];
        const Micros timer = gap(r);
        if (c.effect == Effect::unsafe || c.streams) return Micros{0};
        if (static_cast<int>(r.attempts.size()) + 1 >= s_.max_attempts) return Micros{0};
        if (now + timer + s_.tick >= r.request.deadline) return Micros{0};
        if (c.effect == Effect::keyed && timer + 2 * s_.tick >= r.window) return Micros{0};
        return timer;
    }

    // Gaps double from T1.
    Micros gap(const Open& r) const {
        return micros(classes_[class_of(r)].t1_us * std::exp2(std::min(r.round, 30)));
    }

    // Waits out the gap that began at `since`, or gives up if nothing can be sent before the deadline.
    void wait_gap(std::size_t slot, Time since, Time now) {
        Open& r = open_[slot];
        const Time at = std::max(since + gap(r), now);
        ++r.round;
        if (at + s_.tick >= r.request.deadline) {
            finish(slot);
        } else if (at <= now) {
            wake(slot, now);
        } else {
            set_wake(slot, at);
        }
    }

    void wake(std::size_t slot, Time now) {
        if (send_retry(slot, now)) return;
        if (open_[slot].attempts.empty()) {
            turn_away(slot, now);
        } else {
            wait_gap(slot, now, now);
        }
    }

    // The timer fired while the attempt still runs: it counts as a delay of that length at its upstream, and
    // a copy may go out if the gate finds it a place. If it is gated, the first one is waited for.
    void overdue(std::size_t slot, Time now) {
        Open& r = open_[slot];
        const Attempt& last = r.attempts.back();
        if (last.in_flight) sample_delay(upstreams_[last.upstream], us(now - last.sent_at), now);
        ++r.round;
        if (send_retry(slot, now)) return;
        const Micros timer = attempt_timer(r, now);
        if (timer > Micros{0}) set_wake(slot, now + timer);
    }

    void on_attempt_end(Time now, const AttemptEnd& end) {
        const std::size_t slot = find_open(end.request);
        if (slot == none) return;
        Open& r = open_[slot];
        if (end.attempt < 0 || static_cast<std::size_t>(end.attempt) >= r.attempts.size()) return;
        Attempt& a = r.attempts[static_cast<std::size_t>(end.attempt)];
        if (!a.in_flight) return;
        a.in_flight = false;
        a.may_have_run = end.outcome != Outcome::full && end.outcome != Outcome::connect_failed &&
                         end.outcome != Outcome::moot;
        --r.in_flight;
        Upstream& u = upstreams_[a.upstream];
        if (--u.in_flight == 0) std::erase(busy_, a.upstream);
        if (end.outcome != Outcome::moot) {  // one that never ran says nothing of the upstream
            u.idle_since = now;
            u.linked = true;
            u.refused = end.outcome == Outcome::connect_failed;
            if (a.first) refused_links_.learn(u.refused, age_weight, now, decay_us());
        }
        close_idle(u);
        learn_age(a.age, end, classes_[class_of(r)].t1_us, now);
        count_held(now);
        const std::size_t c = class_of(r);
        if (end.outcome == Outcome::ok) {
            learn_latency(c, us(end.latency));
            learn_capacity(u, us(end.latency), a.ours, c);
        }
        learn_service(u, end.outcome, c, now);
        learn_room(end, c, a.sent_at, now);
        if (end.outcome != Outcome::moot) learn_full(u, end.outcome == Outcome::full, now);
        learn_delay(u, end, c, now);
        learn_health(u, end.outcome, c, now);
        if (end.closed) r.done = true;
        if (r.done) {
            if (end.outcome == Outcome::ok) cancel_in_flight(slot);
            release_if_over(slot);
            return;
        }
        if (r.in_flight > 0) return;
        if (!may_try_again(r, now)) {
            finish(slot);
            return;
        }
        // Guards against small waiting rooms that many balancers fill unseen by each other: what was turned
        // away without having run goes on through the gate without a gap, for its first attempts only.
        const bool elsewhere = !a.may_have_run && !r.request.pinned;
        if (elsewhere && r.attempts.size() <= at_once && send_retry(slot, now)) return;
        wait_gap(slot, a.sent_at, now);
    }

    // Is there any upstream to which a further attempt would be allowed?
    bool may_try_again(const Open& r, Time now) const {
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (upstreams_[i].entry.state == UpstreamState::ready && may_send(r, i, now)) return true;
        }
        return false;
    }

    void on_client_gone(Time, RequestId id) {
        const std::size_t slot = find_open(id);
        if (slot == none) return;
        open_[slot].done = true;
        cancel_in_flight(slot);
        release_if_over(slot);
    }

    // What can no longer count is cancelled.
    void cancel_in_flight(std::size_t slot) {
        Open& r = open_[slot];
        for (std::size_t a = 0; s_.may_cancel && a < r.attempts.size(); ++a) {
            if (r.attempts[a].in_flight) actions_.cancel(r.request.id, static_cast<int>(a));
        }
    }

    void on_timer(Time now, std::uint64_t token) {
        const auto kind = static_cast<TimerKind>(token >> 60);
        const auto serial = static_cast<std::uint32_t>(token);
        if (kind == TimerKind::ask && serial == ask_serial_) ask(now);
        if (kind == TimerKind::beat && serial == beat_serial_) beat(now);
        const std::size_t slot = token >> 32 & 0x0fffffffU;
        if (kind != TimerKind::wake || slot >= open_.size()) return;
        Open& r = open_[slot];
        if (r.done || r.wake != serial) return;
        if (r.in_flight > 0) {
            overdue(slot, now);
        } else {
            wake(slot, now);
        }
    }

    void release_if_over(std::size_t slot) {
        Open& r = open_[slot];
        if (!r.done || r.in_flight > 0) return;
        by_id_.erase(r.request.id);
        ++r.wake;  // timers still out no longer count
        free_.push_back(slot);
    }

    std::size_t find_open(RequestId id) const {
        const auto found = by_id_.find(id);
        return found == by_id_.end() ? none : found->second;
    }

    std::size_t class_of(const Open& r) const { return static_cast<std::size_t>(r.request.class_index); }

    // -------------------------------------------------------------------------------------- 5. health

    // Gets ordinary traffic: not put out, and not silent while work of ours is waiting there.
    bool fit(const Upstream& u, Time now) const { return !u.out && !silent(u, now); }

    // Guards against upstreams that take work and answer none: two of the longest T1 without an answer.
    bool silent(const Upstream& u, Time now) const {
        return u.in_flight > 1 &&
               us(now - std::max(u.answered_at, u.busy_since)) > silence_t1s * longest_t1_us_;
    }

    void learn_health(Upstream& u, Outcome outcome, std::size_t c, Time now) {
        // A time-out says something of the upstream only while nothing else is answered there.
        const bool lone = u.answered_at + micros(classes_[c].t1_us) < now;
        if (outcome == Outcome::cancelled || outcome == Outcome::moot) return;
        if (outcome == Outcome::timeout && !lone) return;
        const bool refused = outcome == Outcome::connect_failed;
        if (!refused && outcome != Outcome::timeout && outcome != Outcome::reset) u.answered_at = now;
        if (outcome == Outcome::ok) {
            u.answer_rate = {u.answer_rate.now(now, rate_window_us()) + 1e6 / rate_window_us(), now};
            if (u.out) come_back(u, now);
            u.strikes = 0;
            return;
        }
        // Full refusals count: guards against upstreams that turn everything away, at once and so
        // attractively.
        u.died = u.died || refused;
        strike(u, refused ? hard_strikes : 1, now);
    }

    // Guards against upstreams that fail one class and serve the others as usual, whose answers clear every
    // strike: one that loses most of a class, and far more of it than is lost on the whole, gets none of it
    // for a while. Could harm where most upstreams fail the class, so its own loss sets the measure.
    void learn_service(Upstream& u, Outcome outcome, std::size_t c, Time now) {
        const bool lost = outcome == Outcome::timeout || outcome == Outcome::error;
        if (!lost && outcome != Outcome::ok) return;
        classes_[c].lost += crowding_weight * (lost - classes_[c].lost);
        Service& service = u.services[c];
        service.lost += lost_weight * (lost - service.lost);
        if (lost && service.lost > std::max(lost_share, lost_more * classes_[c].lost)) {
            service.out_until = now + longest_penalty();
        }
    }

    void strike(Upstream& u, int weight, Time now) {
        u.trial = false;
        u.strikes += weight;
        if ((u.strikes < max_strikes && !u.out) || !u.ring) return;
        if (!u.out) note(now, "upstream put out", u);
        if (u.out && now < u.out_until) return;
        out_ += !u.out;
        u.out = true;
        u.out_until = now + u.penalty;
        u.penalty = std::min(micros(us(u.penalty) * penalty_growth), longest_penalty());
    }

    Micros first_penalty() const { return micros(decay_us()); }
    Micros longest_penalty() const {
        return std::max(first_penalty(), micros(us(s_.ramp_time) * share_of_ramp_out));
    }

    // Failed connections, and again when it was tried: perhaps a new process, cold until the list knows.
    void come_back(Upstream& u, Time now) {
        note(now, "upstream back", u);
        const bool dead = u.died && u.strikes >= max_strikes + hard_strikes;
        const bool cold = u.cold->since > Time{} && now - u.cold->since < s_.ramp_time;
        if (dead && !cold) begin_cold(u, now, now);
        readmit(u);
    }

    void readmit(Upstream& u) {
        out_ -= u.out;
        u.out = u.died = u.trial = false;
        u.strikes = 0;
        u.penalty = first_penalty();
    }

    // An upstream put out is tried again when its time is up: by a probe where they are allowed, else by one
    // request, if possible of a class that may be sent again.
    std::size_t find_trial(const Open& r, Time now) {
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            Upstream& u = upstreams_[i];
            if (!u.out || u.trial || now < u.out_until) continue;
            if (!may_send(r, i, now) || !may_get_new_work(u, now)) continue;
            if (s_.may_probe) {
                u.trial = true;
                u.cold->tokens -= 1;
                actions_.probe(u.entry.id);
            } else if (u.died || s_.classes[class_of(r)].effect == Effect::safe) {
                u.out_until = now + u.penalty;
                return i;
            }
        }
        return none;
    }

    void on_probe_result(Time now, const ProbeResult& result) {
        const auto found = index_.find(result.upstream);
        if (found == index_.end()) return;
        Upstream& u = upstreams_[found->second];
        u.trial = false;
        if (!u.out) return;
        if (result.outcome == Outcome::ok) {
            u.answered_at = now;
            come_back(u, now);
        } else {
            strike(u, 1, now);
        }
    }

    void note(Time now, const char* what, const Upstream& u) {
        if (noted_ && now - *noted_ < log_gap) return;
        noted_ = now;
        actions_.log(std::string(what) + ": zone " + std::to_string(u.entry.zone) + ", strikes " +
                     std::to_string(u.strikes));
    }

    // --------------------------------------------------------------------------------- 6. cold budget

    // Guards against a first part from each module that shares the account: those that hear of a start which
    // it knows, or of an earlier one, may only lower what is left.
    void begin_cold(Upstream& u, Time since, Time now) {
        const double part = random_.unit();
        const bool known = u.cold.use_count() > 1 && since <= u.cold->since;
        if (!known) *u.cold = {{part, now}, since};
        u.cold->tokens = std::min(u.cold->tokens, part);
        u.answer_rate.value = 0;
    }

    // Share of its capacity that an upstream has at least by now; 1 when warm.
    double warmth(const Upstream& u, Time now) const {
        if (u.cold->since <= Time{} || s_.ramp_time <= Micros{0}) return 1;
        const double age = us(now - u.cold->since) / us(s_.ramp_time);
        return age >= 1 ? 1 : s_.cold_share + (1 - s_.cold_share) * std::max(age, 0.0);
    }

    // A cold upstream gets its warmth's share of what warm ones answer for us, counted over half the fall
    // span. Guards against many balancers that each send it just one request as soon as they hear of it: the
    // budget starts at a chance part of a request and fills no faster than our own part of the upstream's
    // work, however little that is.
    bool cold_budget_left(Upstream& u, Time now) {
        const double share = warmth(u, now);
        if (share >= 1 || s_.fall_span <= Micros{0}) return true;
        const double rate = share * std::max(warm_rate(u, now), least_rate());
        const double most = std::max(1.0, rate * us(s_.fall_span) / 2e6);
        return fill(*u.cold, rate * us(now - u.cold->filled_at) / 1e6, most, now);
    }

    // Requests a second of ours that a warm upstream serves at least: one in the longest aim for all
    // balancers together, or it could keep no aim.
    double least_rate() const {
        Micros longest{};
        for (std::size_t c = 0; c < listed_; ++c) longest = std::max(longest, s_.classes[c].aim);
        return 1e6 / us(longest) / s_.balancers;
    }

    double rate_window_us() const { return std::max(us(s_.ramp_time) / 2, 1e6); }

    // Answers a second that a warm upstream gives this balancer: those of the same kind in the zone, or in
    // the others, else all there. Guards against balancers that each use a few: those that one never uses
    // count as well, or all budgets together are as many times too large.
    double warm_rate(const Upstream& like, Time now) {
        const auto kind = 2 * static_cast<std::size_t>(std::max(0, like.entry.kind)) + in_home_zone(like);
        if (warm_rates_.size() <= kind) warm_rates_.resize(kind + 1);
        Fading& known = warm_rates_[kind];
        if (known.at > Time{} && now - known.at < s_.fall_span / 8) return known.value;
        double sum[2] = {0, 0};
        int count[2] = {0, 0};
        for (const auto& u : upstreams_) {
            if (u.entry.state != UpstreamState::ready || u.out || warmth(u, now) < 1) continue;
            if (in_home_zone(u) != in_home_zone(like)) continue;
            const double rate = u.answer_rate.now(now, rate_window_us());
            const int same = u.entry.kind == like.entry.kind;
            sum[same] += rate;
            ++count[same];
        }
        known = {count[1] > 0 ? sum[1] / count[1] : count[0] > 0 ? sum[0] / count[0] : 0, now};
        return known.value;
    }

    // ------------------------------------------------------------------------------------- 7. refusal

    // Rule 2: a refusal promises that trying again is harmless.
    bool may_refuse(const Open& r) const {
        const ClassSettings& c = s_.classes[class_of(r)];
        if (c.effect == Effect::safe || (c.effect == Effect::keyed && c.group == Group::all)) return true;
        return std::none_of(r.attempts.begin(), r.attempts.end(),
                            [](const Attempt& a) { return a.may_have_run; });
    }

    // Latency beyond which a request is not sent: its own aim, or what it must leave free for the classes
    // that are worth more for their work.
    double patience_us(const Open& r) const {
        const double own = density(r);
        double patience = us(s_.classes[class_of(r)].aim);
        for (std::size_t d = 0; d < listed_; ++d) {
            if (density(d) <= own) continue;
            patience = std::min(patience, share_beside(own, density(d)) * us(s_.classes[d].aim));
        }
        return patience;
    }

    // Share of an upstream's room that a request may fill: all of it for the class worth most for its work.
    double precedence(const Open& r) const {
        const double own = density(r);
        double most = own;
        for (std::size_t d = 0; d < listed_; ++d) most = std::max(most, density(d));
        return share_beside(own, most);
    }

    // Guards against a tenant that crowds out the others: what it sends beyond its share counts
    // `over_share_worth` in the order of shedding. A bucket filled at this balancer's part of the quota
    // tells; the part is the largest that it can have, with as few balancers in its zone as there may be.
    double worth_within_share(const Request& request, Time now) {
        if (!request.tenant || static_cast<std::size_t>(*request.tenant) >= shares_.size()) return 1;
        const auto tenant = static_cast<std::size_t>(*request.tenant);
        const double part = 1.0 / (s_.zones * std::max(1, s_.balancers / s_.zones));
        const double per_us = s_.tenants[tenant].quota_per_s * part / 1e6;
        if (per_us <= 0) return 1;
        TokenBucket& share = shares_[tenant];
        const double gained = per_us * us(now - share.filled_at);
        if (!fill(share, gained, std::max(1.0, per_us * us(share_span)), now)) return s_.over_share_worth;
        share.tokens -= 1;
        return 1;
    }

    // What a class may use of that which a denser one needs.
    double share_beside(double density, double denser) const {
        const double least = for_so_many(least_patience, least_patience_alone);
        return least + (1 - least) * density / denser;
    }

    // The fewer balancers there are, the more of what upstreams hold is ours and known: less is kept free.
    double for_so_many(double many, double alone) const { return many + (alone - many) / s_.balancers; }

    // Worth for the work: latency stands for the work, as waiting is the same for all. A class not yet
    // answered counts as the longest that it may usefully take, or it would keep room from all others.
    double density(std::size_t c) const {
        const double work = classes_[c].answers == 0 ? us(s_.classes[c].aim) : classes_[c].latency_us;
        return s_.classes[c].worth / std::max(1.0, work);
    }

    double density(const Open& r) const { return density(class_of(r)) * r.worth; }

    // No upstream has room for an original: sending it would only make others late. It waits a gap like a
    // gated retry if it can still be in time after that, else it is refused while that is cheap.
    void turn_away(std::size_t slot, Time now) {
        const Open& r = open_[slot];
        const double early = us(s_.classes[class_of(r)].aim) * (jammed_ ? early_share_jam : early_share);
        const double most = std::min(early, us(r.request.deadline - r.arrived_at) * early_most);
        if (upstreams_.empty() || us(now - r.arrived_at + gap(r)) < most) {
            wait_gap(slot, now, now);
        } else {
            finish(slot);
        }
    }

    // The balancer's own final answer. Advice: by one lone latency a place may be free; more misses the aim.
    void finish(std::size_t slot) {
        Open& r = open_[slot];
        if (r.done) return;
        r.done = true;
        if (may_refuse(r)) {
            const Micros advice = std::min(micros(base_us(class_of(r))), s_.max_retry_after);
            actions_.refuse(r.request.id, s_.retry_after ? advice : Micros{0});
        } else {
            actions_.fail(r.request.id);
        }
        cancel_in_flight(slot);
        release_if_over(slot);
    }

private:
    static void check_settings(const Settings& s) {
        const auto require = [](bool holds, const std::string& what) {
            if (!holds) throw std::invalid_argument("settings: " + what);
        };
        require(s.balancers >= 1, "balancers must be at least 1");
        require(s.rank >= 0 && s.rank < s.balancers, "rank must be below balancers");
        require(s.zones >= 1 && s.zone >= 0 && s.zone < s.zones, "zone must be one of zones");
        require(s.tick > Micros{0}, "tick must be positive");
        require(!s.classes.empty(), "classes must not be empty");
        require(s.max_attempts >= 1, "max_attempts must be at least 1");
        require(s.cold_share > 0 && s.cold_share <= 1, "cold_share must be above 0 and at most 1");
        require(s.drain_close >= Micros{0}, "drain_close must not be negative");
        require(s.ramp_time >= Micros{0}, "ramp_time must not be negative");
        require(s.fall_span >= Micros{0}, "fall_span must not be negative");
        require(s.fall_span == Micros{0} || s.fall_multiple > 0, "fall_multiple must be positive");
        require(!s.must_ask_list || s.ask_within > Micros{0}, "ask_within must be positive");
        for (const auto& c : s.classes) {
            require(c.aim > Micros{0}, c.name + ": aim must be positive");
            require(c.deadline >= c.aim, c.name + ": deadline must not be below aim");
            require(c.effect != Effect::keyed || c.window > Micros{0}, c.name + ": window must be positive");
        }
    }

    Settings s_;
    std::size_t listed_ = 0;  // classes that the settings name; those behind them are gone
    Actions& actions_;
    Random random_;
    double longest_t1_us_ = 0;  // over the listed classes

    std::vector<Upstream> upstreams_;  // in the order in which the list named them
    std::unordered_map<UpstreamId, std::size_t> index_;
    bool fresh_ = false;  // a list newer than the cached one has come
    bool asked_ = false;
    bool subscribed_ = false;
    double ask_gap_us_ = 0;
    std::uint32_t ask_serial_ = 0;
    Time beat_at_{};  // when the next beat is due
    std::uint32_t beat_serial_ = 0;

    std::vector<std::size_t> home_ring_, away_ring_;  // those listed, in the order in which shares take them
    std::vector<std::size_t> busy_;                   // those with attempts of ours in flight
    int out_ = 0;                                     // how many are put out
    Fading arrivals_;                                 // requests within what is remembered

    bool jammed_ = false;  // the last choice found the room used
    int ready_ = 0;        // upstreams listed and not put out
    int in_flight_ = 0;    // attempts of ours at fit upstreams at the last choice
    double crowding_ = 1;  // smoothed latency as a multiple of the base latency, since the last cut
    Time cut_at_{};        // when the room was last cut
    double room_ = 0;      // what in_flight_ may be; 0: not yet known
    Fading held_;          // in_flight_, smoothed
    std::vector<Fading> warm_rates_;       // answers a second, by kind and side
    Fading refused_links_;                 // of attempts to open a connection, those that failed
    std::array<Fading, ages> unanswered_;  // what got no answer, by the age of its connection
    std::vector<ClassState> classes_;
    std::vector<TokenBucket> shares_;  // what each tenant has left within its share
    std::vector<Open> open_;
    std::vector<std::size_t> free_;
    std::unordered_map<RequestId, std::size_t> by_id_;
    std::vector<std::size_t> home_, away_;  // scratch of fill_pool
    std::optional<Time> noted_;
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
void Policy::on_started(Time, const AttemptStart&) {}  // it is the client's now; its outcome still comes
void Policy::on_attempt_end(Time now, const AttemptEnd& end) { impl_->on_attempt_end(now, end); }
void Policy::on_client_gone(Time now, RequestId request) { impl_->on_client_gone(now, request); }
void Policy::on_probe_result(Time now, const ProbeResult& result) { impl_->on_probe_result(now, result); }
void Policy::on_timer(Time now, std::uint64_t token) { impl_->on_timer(now, token); }
void Policy::on_message(Time, int, std::string_view) {}  // peers send none yet
std::optional<UpstreamMemory> Policy::learned(UpstreamId upstream) const { return impl_->learned(upstream); }

}  // namespace flaxdoor
