#include "budget/holder.h"

#include <algorithm>
#include <cmath>

namespace flaxdoor::budget {

namespace {

constexpr int asks_a_term = 3;  // so that one may be lost
constexpr int least_gap_a_term =
    40;  // part of the term between two requests, however much is wanted, at least
constexpr double head_room =
    1.05;  // of the rate wanted lately (1.1: more of it idle; 1: more refused by chance)
constexpr double rate_forgotten = 0.01;  // permits a second: no more than nothing

double seconds_since(Time then, Time now) {
    return std::max(1e-3, static_cast<double>((now - then).count()) / 1e6);
}

}  // namespace

Holder::Holder(Options options, Time now)
    : terms_(std::move(options.terms)),
      name_(std::move(options.name)),
      instance_(std::move(options.instance)),
      chance_(options.seed),
      rates_(terms_.budgets.size(), 0),
      peaks_(terms_.budgets.size(), Peak{0, 0, now}),
      told_(terms_.budgets.size()),
      reserves_from_(now + at_authority(terms_.longest, terms_.drift)),
      asked_at_(now),
      next_(now),
      gap_(terms_.term / least_gap_a_term) {
    for (const Budget& budget : terms_.budgets) {
        const Amount reserve = budget.counts == Counts::concurrency ? Amount{} : budget.reserve;
        allowances_.emplace_back(budget.counts, reserve, terms_.longest, now, terms_.drift);
    }
}

void Holder::bring_reserves(Time now) {
    if (reserves_lost_ || left_) return;
    for (std::size_t i = 0; i < allowances_.size(); ++i) {
        const Budget& budget = terms_.budgets[i];
        const bool due = budget.counts != Counts::concurrency || now >= reserves_from_;
        if (due && allowances_[i].reserve() != budget.reserve)
            allowances_[i].set_reserve(budget.reserve, now);
    }
}

LeaseRequest Holder::request(Time now) {
    bring_reserves(now);
    LeaseRequest request;
    request.holder = name_;
    request.instance = instance_;
    request.number = ++last_number_;
    request.taken = taken_;
    request.epoch = epoch_;
    request.clock = now;
    request.leaving = left_;
    const double span = seconds_since(asked_at_, now);
    for (std::size_t i = 0; i < allowances_.size(); ++i) {
        const Budget& budget = terms_.budgets[i];
        Allowance& allowance = allowances_[i];
        const Allowance::Asked asked = allowance.take_asked();
        Need need;
        need.budget = budget.name;
        need.counts = budget.counts;
        need.leased = allowance.leased(now);
        need.reserve = allowance.reserve();
        need.in_use = allowance.in_use(now);
        if (budget.counts == Counts::concurrency) {
            // The most of the last term or two: between two calls of a few a second it wants its place no less.
            Peak& peak = peaks_[i];
            if (now - peak.since >= terms_.term) peak = {peak.now, 0, now};
            peak.now = std::max(peak.now, asked.most_in_use + asked.refused);
            need.wants.size = std::min(budget.whole.size, std::max(peak.now, peak.before));
        } else {
            // By how long the interval was: who wants asks often, and one call in a fortieth of a term is no rate.
            // What chance can't have brought counts at once.
            const double lately = static_cast<double>(asked.wanted) / span;
            const double usual = static_cast<double>(terms_.term.count()) / (asks_a_term * 1e6);
            rates_[i] +=
                (burst(i, asked.wanted, span) ? 1 : std::min(1.0, span / usual)) * (lately - rates_[i]);
            if (rates_[i] < rate_forgotten) rates_[i] = 0;
            const double wants =
                std::min(rates_[i] * head_room * 1000, static_cast<double>(budget.whole.rate));
            need.wants.rate = static_cast<std::int64_t>(std::ceil(wants));
            const double of_whole = wants / static_cast<double>(std::max<std::int64_t>(budget.whole.rate, 1));
            need.wants.size =
                static_cast<std::int64_t>(std::ceil(of_whole * static_cast<double>(budget.whole.size)));
        }
        told_[i] = need.wants;
        request.needs.push_back(std::move(need));
    }
    asked_at_ = now;
    if (sent_.size() == sent_most) sent_.erase(sent_.begin());
    sent_.push_back({request.number, now});
    next_ = now + spread(terms_.term / asks_a_term);
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
    const Time asked = sent->at;
    if (reply.number == last_number_) back_off_ = Micros{};
    epoch_ = std::max(epoch_, reply.epoch);
    if (reply.epoch < epoch_) return;
    verdict_ = reply.verdict;
    why_ = reply.why;
    if (reply.verdict != Verdict::granted) {
        // Two processes of one name would use its reserve twice.
        if (reply.verdict == Verdict::name_taken && !reserves_lost_) {
            reserves_lost_ = true;
            for (Allowance& allowance : allowances_) allowance.set_reserve({}, now);
        }
        if (reply.again > Micros{}) ask_again(now, reply.again);
        return;
    }
    reserves_lost_ = false;
    gap_ = std::clamp(reply.gap, terms_.term / least_gap_a_term, terms_.term / asks_a_term);
    const Fence fence{reply.epoch, reply.seq};
    const Time until = asked + at_holder(reply.term, terms_.drift);
    if (fence <= taken_ || until <= now) return;
    taken_ = fence;
    leased_until_ = until;
    bool less = false;
    for (std::size_t i = 0; i < allowances_.size(); ++i) {
        const auto& name = terms_.budgets[i].name;
        const auto grant = std::find_if(reply.grants.begin(), reply.grants.end(),
                                        [&](const Grant& g) { return g.budget == name; });
        const Amount share = grant == reply.grants.end() ? Amount{} : grant->share;
        less = less || !allowances_[i].leased(now).within(share);
        allowances_[i].lease(share, until, now);
    }
    // What is let go of here is wanted elsewhere, and counted as held until it is told.
    if (less) {
        ask_again(now, Micros{0});
    } else if (reply.again > Micros{}) {
        ask_again(now, reply.again);
    }
}

void Holder::on_no_reply(Time now) {
    const Micros most = terms_.term / asks_a_term;
    back_off_ = std::clamp(back_off_ * 2, terms_.term / least_gap_a_term, most);
    next_ = now + spread(back_off_);
}

void Holder::on_want(std::size_t budget, Time now) {
    if (is_news(budget, now)) ask_again(now, Micros{0});
}

bool Holder::is_news(std::size_t budget, Time now) {
    const Amount told = told_[budget], whole = terms_.budgets[budget].whole;
    if (told.size == 0) return true;
    const bool places = terms_.budgets[budget].counts == Counts::concurrency;
    if (places ? told.size >= whole.size : told.rate >= whole.rate) return false;  // there is no more
    if (!told.within(allowances_[budget].in_force(now))) return false;
    if (places) return true;
    return burst(budget, allowances_[budget].asked().wanted, seconds_since(asked_at_, now));
}

bool Holder::burst(std::size_t budget, std::int64_t wanted, double span) const {
    const double foreseen = rates_[budget] * span;
    return static_cast<double>(wanted) > foreseen + 3 * std::sqrt(foreseen) + 3;
}

void Holder::ask_again(Time now, Micros after) {
    if (back_off_ > Micros{}) return;
    next_ = std::min(next_, std::max(now + after, asked_at_ + gap_));
}

bool Holder::supervised(Time now) { return now < leased_until_; }

// Up to a tenth less, so that a fleet that was started together does not ask together.
Micros Holder::spread(Micros span) {
    chance_ = chance_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return span - span * static_cast<std::int64_t>(chance_ >> 40) / (std::int64_t{10} << 24);
}

}  // namespace flaxdoor::budget
