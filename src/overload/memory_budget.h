// The bytes that all connections of a process hold together, and the limit on them. Each connection keeps a charge with
// what it holds now; each front end and connection pool is a holder that can give connections up. When the sum passes
// the limit, enforce() gives up the largest ones, in the order of ReclaimStage, until the sum fits again.
//
// No I/O, no clock: the owner measures the process and sets the limit (engine/memory_guard.h).
// Threading: one thread.
// Ownership: holders and charges borrow the budget and must end before it.
// Units:     bytes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace flaxdoor::overload {

// What is given up, in this order.
enum class ReclaimStage : std::uint8_t {
    incomplete,  // a client's message that is not complete: nothing of it was accepted
    unread,      // an answer that the client does not read
    in_flight,   // an upstream's answer that is not complete; the attempt ends as failed
};
inline constexpr std::array reclaim_stages = {ReclaimStage::incomplete, ReclaimStage::unread,
                                              ReclaimStage::in_flight};

// Gives up connections of one front end or connection pool.
class MemoryHolder {
public:
    virtual ~MemoryHolder() = default;
    // Returns how many bytes would be freed by reclaim_largest(); zero: there is nothing to give up in this stage.
    [[nodiscard]] virtual std::size_t largest_reclaimable(ReclaimStage stage) const = 0;
    // Gives up the connection that holds most. Must lower the sum of the budget before it returns.
    virtual void reclaim_largest(ReclaimStage stage) = 0;
};

class MemoryBudget {
public:
    // A connection that would free less is not given up: it is not what the memory is short of.
    static constexpr std::size_t least_reclaimed = 8 * 1024;
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    MemoryBudget() = default;
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    // Applies from the next enforce() on.
    void set_limit(std::size_t bytes) { limit_ = bytes; }
    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_; }
    // The largest sum since the last restart_peak().
    std::size_t peak() const { return peak_; }
    void restart_peak() { peak_ = used_; }
    // Connections given up so far.
    std::uint64_t reclaimed() const { return reclaimed_; }

    bool exceeded() const { return used_ > limit_; }
    // Whether what may wait should wait: reading ahead of the request that is being served.
    bool tight() const { return used_ > limit_ / 2; }

    // Gives up connections until the sum is within the limit, or nothing is left to give up. A call from within a
    // holder's reclaim_largest() has no effect.
    void enforce();

    void add_holder(MemoryHolder& holder) { holders_.push_back(&holder); }
    void remove_holder(MemoryHolder& holder);

private:
    friend class MemoryCharge;
    bool reclaim_one(ReclaimStage stage);

    std::size_t limit_ = unlimited;
    std::size_t used_ = 0;
    std::size_t peak_ = 0;
    std::uint64_t reclaimed_ = 0;
    std::vector<MemoryHolder*> holders_;
    bool enforcing_ = false;
};

// What one connection holds. Its bytes leave the budget with it.
class MemoryCharge {
public:
    // `budget`: null counts nothing.
    explicit MemoryCharge(MemoryBudget* budget) : budget_(budget) {}
    ~MemoryCharge() { set(0); }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;

    // Replaces what the connection holds. Gives up nothing: see settle().
    void set(std::size_t bytes) {
        if (!budget_ || bytes == bytes_) return;
        budget_->used_ = budget_->used_ - bytes_ + bytes;
        bytes_ = bytes;
        if (budget_->used_ > budget_->peak_) budget_->peak_ = budget_->used_;
    }
    // Replaces what the connection holds and enforces the limit, which may give up the connection itself. Returns
    // whether the sum is within the limit.
    bool settle(std::size_t bytes) {
        set(bytes);
        if (!budget_ || !budget_->exceeded()) return true;
        budget_->enforce();
        return !budget_->exceeded();
    }
    std::size_t bytes() const { return bytes_; }

private:
    MemoryBudget* const budget_;
    std::size_t bytes_ = 0;
};

// Registers a holder for as long as the registration lives.
class HolderRegistration {
public:
    // `budget`: null registers nothing.
    HolderRegistration(MemoryBudget* budget, MemoryHolder& holder) : budget_(budget), holder_(holder) {
        if (budget_) budget_->add_holder(holder_);
    }
    ~HolderRegistration() {
        if (budget_) budget_->remove_holder(holder_);
    }
    HolderRegistration(const HolderRegistration&) = delete;
    HolderRegistration& operator=(const HolderRegistration&) = delete;

private:
    MemoryBudget* const budget_;
    MemoryHolder& holder_;
};

// Returns the limit on the connections' bytes. The whole process should stay within half of what the platform allows:
// the other half covers what cannot be counted (fragments of the heap, lists while they are replaced, a burst between
// two measurements). Connections may hold what the rest of the process leaves of that half, and at least an eighth of
// the whole.
// `allowed`: what the platform allows the process. `resident`: what the process has now, with `used` of it held by
// connections.
[[nodiscard]] std::size_t connection_memory_limit(std::size_t allowed, std::size_t resident,
                                                  std::size_t used);

}  // namespace flaxdoor::overload
