#include "budget/allowance.h"

#include <algorithm>

namespace flaxdoor::budget {

namespace {
constexpr std::int64_t permit = 1'000'000'000;  // in what tokens are counted in: a thousandth's microsecond
constexpr std::int64_t millionths = 1'000'000;
constexpr Micros longest_fill = std::chrono::hours(1);  // so that the products below fit

// Rounded down, so that no more comes in than may.
std::int64_t pace_of(double drift) { return static_cast<std::int64_t>(1e6 * (1 - drift)); }
}  // namespace

Allowance::Allowance(Counts counts, Amount reserve, Micros longest, Time now, double drift)
    : counts_(counts),
      reserve_(reserve),
      longest_(drift > 0 ? at_authority(longest, drift) : longest),
      pace_(pace_of(drift)),
      until_(now),
      at_(now) {}

void Allowance::lease(Amount share, Time until, Time now) {
    settle(now);
    lease_ = share;
    until_ = std::max(until, at_);
    clip();
}

void Allowance::set_reserve(Amount reserve, Time now) {
    settle(now);
    reserve_ = reserve;
    clip();
}

bool Allowance::set_aside(Time now) {
    settle(now);
    ++asked_.wanted;
    const bool there =
        counts_ == Counts::concurrency ? places_ + aside_ < size_at(at_).size : tokens_ >= permit;
    if (!there) {
        ++asked_.refused;
        return false;
    }
    ++aside_;
    if (counts_ != Counts::concurrency) tokens_ -= permit;
    asked_.most_in_use = std::max(asked_.most_in_use, places_ + aside_);
    return true;
}

bool Allowance::use(Time now) {
    settle(now);
    if (gone_ > 0) {
        --gone_;
        return false;
    }
    const bool there = counts_ != Counts::concurrency || places_ + aside_ <= size_at(at_).size;
    --aside_;
    if (there && counts_ == Counts::concurrency) ++places_;
    return there;
}

void Allowance::give_back(Time now) {
    settle(now);
    if (gone_ > 0) {
        --gone_;
        return;
    }
    --aside_;
    if (counts_ == Counts::concurrency) return;
    tokens_ += permit;
    clip();
}

void Allowance::free_place(bool known, Time began, Time now) {
    settle(now);
    const Time later = began + longest_;
    if (known || later <= at_) {
        --places_;
    } else {
        later_.insert(std::upper_bound(later_.begin(), later_.end(), later), later);
    }
}

Amount Allowance::leased(Time now) {
    settle(now);
    return at_ < until_ ? lease_ : Amount{};
}

Amount Allowance::in_force(Time now) {
    settle(now);
    return size_at(at_);
}

std::int64_t Allowance::in_use(Time now) {
    settle(now);
    return places_ + aside_;
}

std::optional<Micros> Allowance::next(Time now) {
    settle(now);
    const Amount here = size_at(at_);
    if (here.size == 0) return std::nullopt;
    if (counts_ == Counts::concurrency) {
        if (places_ + aside_ < here.size) return Micros{0};
        if (later_.empty()) return std::nullopt;
        return later_.front() - at_;
    }
    if (tokens_ >= permit) return Micros{0};
    if (here.rate == 0) return std::nullopt;
    const __int128 lacking = static_cast<__int128>(permit - tokens_) * millionths;
    const __int128 pace = static_cast<__int128>(here.rate) * pace_;
    return Micros(static_cast<std::int64_t>((lacking + pace - 1) / pace));
}

Allowance::Asked Allowance::take_asked() {
    const Asked asked = asked_;
    asked_ = {0, 0, places_ + aside_};
    return asked;
}

// Up to the lease's end by what there was until then, from there on by the reserve alone.
void Allowance::settle(Time now) {
    if (now <= at_) return;
    if (at_ < until_ && until_ <= now) {
        fill(until_);
        clip();
    }
    fill(now);
    while (!later_.empty() && later_.front() <= at_) {
        later_.pop_front();
        --places_;
    }
}

void Allowance::fill(Time until) {
    if (counts_ != Counts::concurrency && until > at_) {
        const Amount here = size_at(at_);
        const __int128 come = static_cast<__int128>(here.rate) * std::min(until - at_, longest_fill).count();
        tokens_ += static_cast<std::int64_t>(come * pace_ / millionths);
        tokens_ = std::min(tokens_, (here.size - aside_) * permit);
    }
    at_ = until;
}

void Allowance::clip() {
    if (counts_ == Counts::concurrency) return;  // those are told to the authority, which counts them
    const std::int64_t size = size_at(at_).size;
    gone_ += std::max<std::int64_t>(aside_ - size, 0);
    aside_ = std::min(aside_, size);
    tokens_ = std::min(tokens_, (size - aside_) * permit);
}

}  // namespace flaxdoor::budget
