#include "budget/allowance.h"

#include <algorithm>

namespace flaxdoor::budget {

namespace {
// A rate of a thousandth of a permit a second yields one token a microsecond.
constexpr std::int64_t tokens_per_permit = 1'000'000'000;
constexpr std::int64_t million = 1'000'000;
constexpr Micros max_refill_interval = std::chrono::hours(1);  // bounds the products below

// Rounded down, so that no more tokens accrue than the rate allows.
std::int64_t fill_factor_of(double drift) { return static_cast<std::int64_t>(1e6 * (1 - drift)); }
}  // namespace

Allowance::Allowance(Counts counts, Amount reserve, Micros longest, Time now, double drift)
    : counts_(counts),
      reserve_(reserve),
      longest_(drift > 0 ? lengthened_by_drift(longest, drift) : longest),
      fill_factor_(fill_factor_of(drift)),
      lease_until_(now),
      updated_at_(now) {}

void Allowance::lease(Amount share, Time until, Time now) {
    advance(now);
    lease_ = share;
    lease_until_ = std::max(until, updated_at_);
    clamp_to_size();
}

void Allowance::set_reserve(Amount reserve, Time now) {
    advance(now);
    reserve_ = reserve;
    clamp_to_size();
}

bool Allowance::reserve(Time now) {
    advance(now);
    ++demand_.wanted;
    const bool available = counts_ == Counts::concurrency ? in_use_ + reserved_ < amount_at(updated_at_).size
                                                          : tokens_ >= tokens_per_permit;
    if (!available) {
        ++demand_.refused;
        return false;
    }
    ++reserved_;
    if (counts_ != Counts::concurrency) tokens_ -= tokens_per_permit;
    demand_.most_in_use = std::max(demand_.most_in_use, in_use_ + reserved_);
    return true;
}

bool Allowance::commit(Time now) {
    advance(now);
    if (revoked_ > 0) {
        --revoked_;
        return false;
    }
    const bool available =
        counts_ != Counts::concurrency || in_use_ + reserved_ <= amount_at(updated_at_).size;
    --reserved_;
    if (available && counts_ == Counts::concurrency) ++in_use_;
    return available;
}

void Allowance::release(Time now) {
    advance(now);
    if (revoked_ > 0) {
        --revoked_;
        return;
    }
    --reserved_;
    if (counts_ == Counts::concurrency) return;
    tokens_ += tokens_per_permit;
    clamp_to_size();
}

void Allowance::end_attempt(bool known, Time began, Time now) {
    advance(now);
    const Time held_until = began + longest_;
    if (known || held_until <= updated_at_) {
        --in_use_;
    } else {
        held_until_.insert(std::upper_bound(held_until_.begin(), held_until_.end(), held_until), held_until);
    }
}

Amount Allowance::leased(Time now) {
    advance(now);
    return updated_at_ < lease_until_ ? lease_ : Amount{};
}

Amount Allowance::in_force(Time now) {
    advance(now);
    return amount_at(updated_at_);
}

std::int64_t Allowance::in_use(Time now) {
    advance(now);
    return in_use_ + reserved_;
}

std::optional<Micros> Allowance::time_to_next_permit(Time now) {
    advance(now);
    const Amount amount = amount_at(updated_at_);
    if (amount.size == 0) return std::nullopt;
    if (counts_ == Counts::concurrency) {
        if (in_use_ + reserved_ < amount.size) return Micros{0};
        if (held_until_.empty()) return std::nullopt;
        return held_until_.front() - updated_at_;
    }
    if (tokens_ >= tokens_per_permit) return Micros{0};
    if (amount.rate == 0) return std::nullopt;
    const __int128 missing_tokens = static_cast<__int128>(tokens_per_permit - tokens_) * million;
    const __int128 refill_rate = static_cast<__int128>(amount.rate) * fill_factor_;
    return Micros(static_cast<std::int64_t>((missing_tokens + refill_rate - 1) / refill_rate));
}

Allowance::Demand Allowance::take_demand() {
    const Demand demand = demand_;
    demand_ = {0, 0, in_use_ + reserved_};
    return demand;
}

// Brings the state up to `now`. Refills by the lease and the reserve until the lease ends, and by the reserve
// alone after it.
void Allowance::advance(Time now) {
    if (now <= updated_at_) return;
    if (updated_at_ < lease_until_ && lease_until_ <= now) {
        refill(lease_until_);
        clamp_to_size();
    }
    refill(now);
    while (!held_until_.empty() && held_until_.front() <= updated_at_) {
        held_until_.pop_front();
        --in_use_;
    }
}

void Allowance::refill(Time until) {
    if (counts_ != Counts::concurrency && until > updated_at_) {
        const Amount amount = amount_at(updated_at_);
        const __int128 accrued =
            static_cast<__int128>(amount.rate) * std::min(until - updated_at_, max_refill_interval).count();
        tokens_ += static_cast<std::int64_t>(accrued * fill_factor_ / million);
        tokens_ = std::min(tokens_, (amount.size - reserved_) * tokens_per_permit);
    }
    updated_at_ = until;
}

void Allowance::clamp_to_size() {
    if (counts_ == Counts::concurrency) return;  // the authority counts these as in use, as reported
    const std::int64_t size = amount_at(updated_at_).size;
    revoked_ += std::max<std::int64_t>(reserved_ - size, 0);
    reserved_ = std::min(reserved_, size);
    tokens_ = std::min(tokens_, (size - reserved_) * tokens_per_permit);
}

}  // namespace flaxdoor::budget
