// Queue of units that wait for the policy module of one database to admit them, first come, first served. The
// policy module decides: a unit is offered to it when an earlier one has ended, and now and then one more. If
// the policy module can't place the unit now, the unit returns to the head of this queue before the policy
// module would reject it. A unit that the policy module has rejected does not return to the queue. No I/O;
// time is an argument.
//
// Threading: one thread at a time. Bounds: the number of units, and the waiting time of each.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::pg {

class WaitQueue {
public:
    using Token = std::uint64_t;

    WaitQueue(std::size_t max_length, Micros timeout) : max_length_(max_length), timeout_(timeout) {}
    void set_limits(std::size_t max_length, Micros timeout) {
        max_length_ = max_length;
        timeout_ = timeout;
    }

    enum class EnqueueResult : std::uint8_t { offer, waits, full };
    [[nodiscard]] EnqueueResult enqueue(Token token, std::size_t class_index, Time now) {
        // Until the first unit of its class has been served, the policy module has no latency from which it
        // could tell whether further units may wait.
        const bool may_offer =
            in_policy_ == 0 || (class_served_.at(class_index) && ends_until_extra_offer_ == 0);
        if (queue_.empty() && may_offer) {
            ++in_policy_;
            return EnqueueResult::offer;
        }
        if (queue_.size() >= max_length_) return EnqueueResult::full;
        push(queue_.end(), token, now + timeout_);
        return EnqueueResult::waits;
    }

    // --- Results of the latest offer ---
    void on_placed() {
        if (offers_allowed_ == 0) extra_offer_interval_ /= 2;
    }
    // Returns true if a unit that can't be placed now may return to the queue. The only unit that the policy
    // module holds may not: no other unit's end would cause it to be offered again, so the policy module
    // itself retries it.
    bool may_requeue() const { return in_policy_ > 1; }
    void requeue(Token token, Time until) {
        --in_policy_;
        push(queue_.begin(), token, until);
        back_off(std::clamp<std::size_t>(2 * extra_offer_interval_, 1, max_offer_interval_));
    }
    // The policy module rejected the unit at once.
    void on_rejected() {
        if (in_policy_ > 0) --in_policy_;
        back_off(max_offer_interval_);
    }

    // A unit that was placed, or waited in the policy module, has ended.
    void on_ended(std::size_t class_index) {
        if (in_policy_ > 0) --in_policy_;
        class_served_.at(class_index) = true;
        ++offers_allowed_;
        if (ends_until_extra_offer_ > 0) {
            --ends_until_extra_offer_;
        } else {
            ++offers_allowed_;  // offers one unit more than have ended, as there may be capacity
        }
    }

    // Returns the next unit to be offered now.
    [[nodiscard]] std::optional<Token> next() {
        if (queue_.empty()) offers_allowed_ = 0;
        if (offers_allowed_ == 0 && in_policy_ > 0) return std::nullopt;
        if (queue_.empty()) return std::nullopt;
        if (offers_allowed_ > 0) --offers_allowed_;
        ++in_policy_;
        const Token token = queue_.front().token;
        positions_.erase(token);
        queue_.pop_front();
        return token;
    }

    // Removes a unit from the queue. Returns false if it was not queued.
    bool remove(Token token) {
        const auto found = positions_.find(token);
        if (found == positions_.end()) return false;
        queue_.erase(found->second);
        positions_.erase(found);
        return true;
    }

    // Removes and returns the units whose waiting time is over. One of the others may then be offered, as the
    // policy module's view changes with time.
    [[nodiscard]] std::vector<Token> take_expired(Time now) {
        std::vector<Token> expired;
        while (!queue_.empty() && queue_.front().until <= now) {
            expired.push_back(queue_.front().token);
            remove(expired.back());
        }
        offers_allowed_ = std::max<std::size_t>(offers_allowed_, 1);
        return expired;
    }
    std::optional<Time> next_time(Time now) const {
        if (queue_.empty()) return std::nullopt;
        return std::min(queue_.front().until, now + recheck_interval_);
    }

    std::size_t waiting() const { return queue_.size(); }
    std::size_t in_policy() const { return in_policy_; }

private:
    struct Waiting {
        Token token = 0;
        Time until{};
    };
    using Queue = std::list<Waiting>;

    void push(Queue::iterator before, Token token, Time until) {
        positions_[token] = queue_.insert(before, {token, until});
    }
    void back_off(std::size_t ends) {
        offers_allowed_ = 0;
        extra_offer_interval_ = ends_until_extra_offer_ = ends;
    }

    // Maximum number of ended units between two additional offers.
    static constexpr std::size_t max_offer_interval_ = 16;
    static constexpr Micros recheck_interval_ = std::chrono::milliseconds(20);

    std::size_t max_length_;
    Micros timeout_;
    Queue queue_;
    std::unordered_map<Token, Queue::iterator> positions_;
    std::size_t in_policy_ = 0;       // units that the policy module holds
    std::size_t offers_allowed_ = 0;  // units that may be offered now
    std::size_t ends_until_extra_offer_ = 0, extra_offer_interval_ = 0;
    std::array<bool, 2> class_served_{};  // whether a unit of the class has been served
};

}  // namespace flaxdoor::pg
