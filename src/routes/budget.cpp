#include "routes/budget.h"

namespace flaxdoor::routes {

RetryBudget::Bucket& RetryBudget::bucket_at(Time now) {
    const std::int64_t second = now.count() / 1'000'000;
    Bucket& bucket = buckets_[static_cast<std::size_t>(second) % window_seconds];
    if (bucket.second != second) bucket = {second, 0, 0};
    return bucket;
}

void RetryBudget::on_request(Time now) { ++bucket_at(now).requests; }

bool RetryBudget::try_acquire(Time now, const RetryLimit& limit) {
    Bucket& current = bucket_at(now);
    if (limit.share) {
        double requests = 0, retries = 0;
        for (const Bucket& bucket : buckets_) {
            if (bucket.second < 0 ||
                bucket.second + static_cast<std::int64_t>(window_seconds) <= current.second)
                continue;
            requests += static_cast<double>(bucket.requests);
            retries += static_cast<double>(bucket.retries);
        }
        const double floor = limit.floor_per_s * static_cast<double>(window_seconds);
        if (retries + 1 > std::max(*limit.share * requests, floor)) return false;
    }
    ++current.retries;
    return true;
}

}  // namespace flaxdoor::routes
