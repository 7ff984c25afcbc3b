// The line of units that wait for the module of one database to have room, first come, first served. The
// module has the say: a unit is offered to it when one before has ended, and now and then one more; if it has
// no place now, the unit stands here again, at the head, before the module would have given it up. What the
// module has given up is not for this line. No I/O; time is an argument.
//
// Threading: one thread at a time.   Bounds: so many units, each for so long.
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

class Line {
public:
    using Token = std::uint64_t;

    Line(std::size_t most, Micros wait) : most_(most), wait_(wait) {}
    void set_limits(std::size_t most, Micros wait) {
        most_ = most;
        wait_ = wait;
    }

    enum class Arrival : std::uint8_t { offer, waits, full };
    [[nodiscard]] Arrival arrive(Token token, std::size_t its_class, Time now) {
        // Until a first one of its class has been served, the module knows no time by which others could
        // wait.
        const bool may = inside_ == 0 || (served_.at(its_class) && skip_ == 0);
        if (queue_.empty() && may) {
            ++inside_;
            return Arrival::offer;
        }
        if (queue_.size() >= most_) return Arrival::full;
        push(queue_.end(), token, now + wait_);
        return Arrival::waits;
    }

    // ------------------------------------------------------------- what came of the one that was offered
    // last
    void placed() {
        if (credit_ == 0) backoff_ /= 2;
    }
    // Whether one that has no place now is to stand here again. Not the only one: nobody's end would bring it
    // on, and the module has its own way with it.
    bool takes_back() const { return inside_ > 1; }
    void back(Token token, Time until) {
        --inside_;
        push(queue_.begin(), token, until);
        hold(std::clamp<std::size_t>(2 * backoff_, 1, longest_));
    }
    // The module has given it up at once.
    void given_up() {
        if (inside_ > 0) --inside_;
        hold(longest_);
    }

    // A unit that was placed, or waited in the module, is over.
    void ended(std::size_t its_class) {
        if (inside_ > 0) --inside_;
        served_.at(its_class) = true;
        ++credit_;
        if (skip_ > 0) {
            --skip_;
        } else {
            ++credit_;  // there may be room for more
        }
    }

    // The next one to be offered now.
    [[nodiscard]] std::optional<Token> next() {
        if (queue_.empty()) credit_ = 0;
        if (credit_ == 0 && inside_ > 0) return std::nullopt;
        if (queue_.empty()) return std::nullopt;
        if (credit_ > 0) --credit_;
        ++inside_;
        const Token token = queue_.front().token;
        known_.erase(token);
        queue_.pop_front();
        return token;
    }

    // It waits no more. False: it did not.
    bool leave(Token token) {
        const auto found = known_.find(token);
        if (found == known_.end()) return false;
        queue_.erase(found->second);
        known_.erase(found);
        return true;
    }

    // Those whose time is over; the others may be offered one, as the module's view changes with time.
    [[nodiscard]] std::vector<Token> on_time(Time now) {
        std::vector<Token> over;
        while (!queue_.empty() && queue_.front().until <= now) {
            over.push_back(queue_.front().token);
            leave(over.back());
        }
        credit_ = std::max<std::size_t>(credit_, 1);
        return over;
    }
    std::optional<Time> next_time(Time now) const {
        if (queue_.empty()) return std::nullopt;
        return std::min(queue_.front().until, now + look_again_);
    }

    std::size_t waiting() const { return queue_.size(); }
    std::size_t inside() const { return inside_; }

private:
    struct Waiting {
        Token token = 0;
        Time until{};
    };
    using Queue = std::list<Waiting>;

    void push(Queue::iterator before, Token token, Time until) {
        known_[token] = queue_.insert(before, {token, until});
    }
    void hold(std::size_t ends) {
        credit_ = 0;
        backoff_ = skip_ = ends;
    }

    static constexpr std::size_t longest_ = 16;  // ends between two that are offered beyond those that ended
    static constexpr Micros look_again_ = std::chrono::milliseconds(20);

    std::size_t most_;
    Micros wait_;
    Queue queue_;
    std::unordered_map<Token, Queue::iterator> known_;
    std::size_t inside_ = 0;  // that the module has
    std::size_t credit_ = 0;  // that may be offered now
    std::size_t skip_ = 0, backoff_ = 0;
    std::array<bool, 2> served_{};  // by class
};

}  // namespace flaxdoor::pg
