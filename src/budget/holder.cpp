#include "budget/holder.h"

#include <algorithm>
#include <cmath>

namespace flaxdoor::budget {

namespace {

// Scheduled lease requests per lease term. A lease survives the loss of one of them.
constexpr int requests_per_term = 3;
// Bounds the request rate: two requests are at least a term divided by this apart, whatever the demand.
constexpr int max_requests_per_term = 40;
// Factor on the recent demand rate that is requested. A larger one leaves more of the share idle; without
// headroom, random variation of the demand causes more refusals.
constexpr double demand_headroom = 1.05;
// Permits a second. A lower smoothed demand is treated as zero, which the average approaches but does not
// reach.
constexpr double min_demand_rate = 0.01;

double seconds_since(Time then, Time now) {
    return std::max(1e-3, static_cast<double>((now - then).count()) / 1e6);
}

}  // namespace

Holder::Holder(Options options, Time now)
    : terms_(std::move(options.terms)),
      name_(std::move(options.name)),
      instance_(std::move(options.instance)),
      random_state_(options.seed),
      demand_rates_(terms_.budgets.size(), 0),
      peaks_(terms_.budgets.size(), Peak{0, 0, now}),
      reported_wants_(terms_.budgets.size()),
      concurrency_reserves_from_(now +
                                 lengthened_by_drift(terms_.max_attempt_duration, terms_.max_clock_drift)),
      last_request_at_(now),
      next_request_at_(now),
      min_interval_(terms_.lease_term / max_requests_per_term) {
    for (const Budget& budget : terms_.budgets) {
        const Amount reserve = budget.counts == Counts::concurrency ? Amount{} : budget.reserve;
        allowances_.emplace_back(budget.counts, reserve, terms_.max_attempt_duration, now,
                                 terms_.max_clock_drift);
    }
}

void Holder::activate_reserves(Time now) {
    if (reserves_withdrawn_ || left_) return;
    for (std::size_t i = 0; i < allowances_.size(); ++i) {
        const Budget& budget = terms_.budgets[i];
        const bool due = budget.counts != Counts::concurrency || now >= concurrency_reserves_from_;
        if (due && allowances_[i].static_reserve() != budget.reserve)
            allowances_[i].set_reserve(budget.reserve, now);
    }
}

LeaseRequest Holder::request(Time now) {
    activate_reserves(now);
    LeaseRequest request;
    request.holder = name_;
    request.instance = instance_;
    request.number = ++last_number_;
    request.accepted = accepted_fence_;
    request.epoch = highest_epoch_;
    request.clock = now;
    request.leaving = left_;
    const double span = seconds_since(last_request_at_, now);
    for (std::size_t i = 0; i < allowances_.size(); ++i) {
        const Budget& budget = terms_.budgets[i];
        Allowance& allowance = allowances_[i];
        const Allowance::Demand demand = allowance.take_demand();
        BudgetDemand need;
        need.budget = budget.name;
        need.counts = budget.counts;
        need.leased = allowance.leased(now);
        need.reserve = allowance.static_reserve();
        need.in_use = allowance.in_use(now);
        if (budget.counts == Counts::concurrency) {
            // The peak of the last one or two terms, since a balancer with a few calls a second still needs
            // its permit between two of them.
            Peak& peak = peaks_[i];
            if (now - peak.since >= terms_.lease_term) peak = {peak.now, 0, now};
            peak.now = std::max(peak.now, demand.most_in_use + demand.refused);
            need.wanted.size = std::min(budget.whole.size, std::max(peak.now, peak.before));
        } else {
            // An exponentially weighted moving average, weighted by the length of the interval: requests are
            // frequent under demand, and a single call in a short interval does not indicate a rate. A burst
            // beyond random variation counts in full at once.
            const double recent_rate = static_cast<double>(demand.wanted) / span;
            const double scheduled_interval =
                static_cast<double>(terms_.lease_term.count()) / (requests_per_term * 1e6);
            demand_rates_[i] +=
                (is_burst(i, demand.wanted, span) ? 1 : std::min(1.0, span / scheduled_interval)) *
                (recent_rate - demand_rates_[i]);
            if (demand_rates_[i] < min_demand_rate) demand_rates_[i] = 0;
            const double wants =
                std::min(demand_rates_[i] * demand_headroom * 1000, static_cast<double>(budget.whole.rate));
            need.wanted.rate = static_cast<std::int64_t>(std::ceil(wants));
            const double part_of_whole =
                wants / static_cast<double>(std::max<std::int64_t>(budget.whole.rate, 1));
            need.wanted.size =
                static_cast<std::int64_t>(std::ceil(part_of_whole * static_cast<double>(budget.whole.size)));
        }
        reported_wants_[i] = need.wanted;
        request.needs.push_back(std::move(need));
    }
    last_request_at_ = now;
    if (sent_.size() == max_sent) sent_.erase(sent_.begin());
    sent_.push_back({request.number, now});
    next_request_at_ = now + with_jitter(terms_.lease_term / requests_per_term);
    return request;
}

LeaseRequest Holder::leave(Time now) {
    left_ = true;
    for (Allowance& allowance : allowances_) {
        allowance.end_lease(now);
        allowance.set_reserve({}, now);
    }
    leased_until_ = now;
    return request(now);
}

void Holder::on_reply(const LeaseReply& reply, Time now) {
    const auto sent =
        std::find_if(sent_.begin(), sent_.end(), [&](const Sent& s) { return s.number == reply.number; });
    if (sent == sent_.end() || left_) return;
    const Time sent_at = sent->at;
    if (reply.number == last_number_) back_off_ = Micros{};
    highest_epoch_ = std::max(highest_epoch_, reply.epoch);
    if (reply.epoch < highest_epoch_) return;
    last_verdict_ = reply.verdict;
    why_ = reply.why;
    if (reply.verdict != Verdict::granted) {
        // Two processes with one name would use its reserve twice.
        if (reply.verdict == Verdict::name_taken && !reserves_withdrawn_) {
            reserves_withdrawn_ = true;
            for (Allowance& allowance : allowances_) allowance.set_reserve({}, now);
        }
        if (reply.retry_after > Micros{}) request_sooner(now, reply.retry_after);
        return;
    }
    reserves_withdrawn_ = false;
    last_granted_request_at_ = std::max(last_granted_request_at_, sent_at);
    min_interval_ = std::clamp(reply.min_request_interval, terms_.lease_term / max_requests_per_term,
                               terms_.lease_term / requests_per_term);
    const FencingToken fence{reply.epoch, reply.seq};
    const Time until = sent_at + lease_term_at_holder(reply.term, terms_.max_clock_drift);
    if (fence <= accepted_fence_ || until <= now) return;
    accepted_fence_ = fence;
    leased_until_ = until;
    bool reduced = false;
    for (std::size_t i = 0; i < allowances_.size(); ++i) {
        const auto& name = terms_.budgets[i].name;
        const auto grant = std::find_if(reply.grants.begin(), reply.grants.end(),
                                        [&](const Grant& g) { return g.budget == name; });
        const Amount share = grant == reply.grants.end() ? Amount{} : grant->share;
        reduced = reduced || !allowances_[i].leased(now).within(share);
        allowances_[i].lease(share, until, now);
    }
    // Other holders may want the part that was released here, and the authority counts it until this holder
    // reports its new share.
    if (reduced) {
        request_sooner(now, Micros{0});
    } else if (reply.retry_after > Micros{}) {
        request_sooner(now, reply.retry_after);
    }
}

Time Holder::permit_held_until(Time began) const {
    return std::max(began, last_granted_request_at_) + terms_.max_attempt_duration;
}

void Holder::on_no_reply(Time now) {
    const Micros max_back_off = terms_.lease_term / requests_per_term;
    back_off_ = std::clamp(back_off_ * 2, terms_.lease_term / max_requests_per_term, max_back_off);
    next_request_at_ = now + with_jitter(back_off_);
}

void Holder::on_refusal(std::size_t budget, Time now) {
    if (demand_is_news(budget, now)) request_sooner(now, Micros{0});
}

bool Holder::demand_is_news(std::size_t budget, Time now) {
    const Amount reported = reported_wants_[budget], whole = terms_.budgets[budget].whole;
    if (reported.size == 0) return true;
    const bool is_concurrency = terms_.budgets[budget].counts == Counts::concurrency;
    if (is_concurrency ? reported.size >= whole.size : reported.rate >= whole.rate)
        return false;  // the whole is requested
    if (!reported.within(allowances_[budget].in_force(now))) return false;
    if (is_concurrency) return true;
    return is_burst(budget, allowances_[budget].demand().wanted, seconds_since(last_request_at_, now));
}

bool Holder::is_burst(std::size_t budget, std::int64_t wanted, double span) const {
    // Three standard deviations of a Poisson process, and a constant for small counts.
    const double expected = demand_rates_[budget] * span;
    return static_cast<double>(wanted) > expected + 3 * std::sqrt(expected) + 3;
}

void Holder::request_sooner(Time now, Micros after) {
    if (back_off_ > Micros{}) return;
    next_request_at_ = std::min(next_request_at_, std::max(now + after, last_request_at_ + min_interval_));
}

bool Holder::has_lease(Time now) { return now < leased_until_; }

// Shortens a time span by up to a tenth at random, so that balancers that started together do not send their
// requests together.
Micros Holder::with_jitter(Micros span) {
    random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return span - span * static_cast<std::int64_t>(random_state_ >> 40) / (std::int64_t{10} << 24);
}

}  // namespace flaxdoor::budget
