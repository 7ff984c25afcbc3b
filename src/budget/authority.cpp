#include "budget/authority.h"

#include <algorithm>
#include <stdexcept>

#include "budget/division.h"

namespace flaxdoor::budget {

namespace {

// A share that exceeds its target by at most the share divided by this is kept. Otherwise every change of one
// holder's demand would change all shares.
constexpr std::int64_t share_tolerance_divisor = 32;
// Requests per lease term of a holder that is to get more than is available yet.
constexpr std::int64_t early_requests_per_term = 20;
// Least interval between unscheduled requests of a holder, for each active process: bounds the unscheduled
// requests of all holders together to 200 a second.
constexpr Micros interval_per_holder = std::chrono::milliseconds(5);
// Consecutive grants that were not accepted, after which a holder gets only empty grants.
constexpr int max_unaccepted_grants = 3;
// Lease terms over which a holder's clock is compared with the authority's.
constexpr std::int64_t clock_comparison_terms = 8;

bool is_zero(Amount amount) { return amount == Amount{}; }

Amount positive(Amount amount) { return component_max(amount, {}); }

}  // namespace

std::string_view text_of(Verdict verdict) {
    switch (verdict) {
        case Verdict::granted: return "granted";
        case Verdict::waiting: return "waiting";
        case Verdict::name_taken: return "name_taken";
        case Verdict::stepped_down: return "stepped_down";
        case Verdict::too_many: return "too_many";
        case Verdict::clock_off: return "clock_off";
        case Verdict::at_odds: return "at_odds";
    }
    return "unknown";
}

void check(const BudgetConfig& terms) {
    const auto require = [](bool holds, const std::string& what) {
        if (!holds) throw std::invalid_argument("budget: " + what);
    };
    require(terms.lease_term > Micros{0}, "the term must be positive");
    require(terms.max_clock_drift >= 0 && terms.max_clock_drift < 0.5,
            "the clock drift must be at least 0 and below 0.5");
    require(terms.expected_balancers >= 1, "balancers must be at least 1");
    for (std::size_t i = 0; i < terms.budgets.size(); ++i) {
        const Budget& budget = terms.budgets[i];
        for (std::size_t j = 0; j < i; ++j)
            require(terms.budgets[j].name != budget.name, budget.name + ": duplicate name");
        require(budget.whole.size >= 1, budget.name + ": the whole must be at least one permit");
        require((budget.counts == Counts::concurrency) == (budget.whole.rate == 0),
                budget.name + ": a concurrency budget must have no rate, any other budget must have one");
        const Amount reserves{budget.reserve.rate * terms.expected_balancers,
                              budget.reserve.size * terms.expected_balancers};
        require(reserves.within(budget.whole), budget.name + ": the reserves exceed the whole");
    }
}

Authority::Authority(BudgetConfig terms, RestoredState start, Time now)
    : terms_(std::move(terms)),
      epoch_(start.epoch),
      longest_term_(std::max(terms_.lease_term, start.longest_term)) {
    check(terms_);
    budgets_ = terms_.budgets;
    if (!start.complete) begin_waiting(now);
    for (Record& record : start.records) {
        HolderState& holder = holders_[{record.holder, record.instance}];
        holder.number = record.number;
        holder.last_request_at = record.last_request_at;
        for (const auto& [budget, count] : record.in_use) {
            const std::size_t index = find_or_add(budget);
            holder.in_use.resize(budgets_.size());
            holder.in_use[index] = count;
        }
        for (const auto& [budget, reserve] : record.reserves) {
            const std::size_t index = find_or_add(budget);
            holder.reserves.resize(budgets_.size());
            holder.reserves[index] = reserve;
        }
        for (const Record::Allocation& recorded : record.allocations) {
            Allocation known{recorded.fence, recorded.until, {}};
            for (const auto& [budget, share] : recorded.shares) {
                const std::size_t index = find_or_add(budget);
                known.shares.resize(budgets_.size());
                known.shares[index] = share;
            }
            holder.allocations.push_back(std::move(known));
        }
        std::string& instance = current_instance_[record.holder];
        const auto other = holders_.find({record.holder, instance});
        if (other == holders_.end() || other->second.last_request_at <= record.last_request_at)
            instance = record.instance;
    }
    resize_holders();
}

// Waits until no earlier grant can be in force, and for concurrency budgets until the attempts that began
// under one must have ended.
void Authority::begin_waiting(Time now) {
    waits_until_ = now + lengthened_by_drift(longest_term_, terms_.max_clock_drift);
    concurrency_waits_until_ =
        waits_until_ + lengthened_by_drift(terms_.max_attempt_duration, terms_.max_clock_drift);
}

// Extends the holders' vectors to the budgets that have been added.
void Authority::resize_holders() {
    for (auto& [key, holder] : holders_) {
        holder.wants.resize(budgets_.size());
        holder.reserves.resize(budgets_.size());
        holder.in_use.resize(budgets_.size());
        holder.without_permit_since.resize(budgets_.size());
        for (Allocation& allocation : holder.allocations) allocation.shares.resize(budgets_.size());
    }
}

std::size_t Authority::find(const std::string& budget) const {
    const auto found = std::find_if(budgets_.begin(), budgets_.end(),
                                    [&](const Budget& known) { return known.name == budget; });
    return static_cast<std::size_t>(found - budgets_.begin());
}

// A budget that is not configured has a whole of zero, so nothing of it is granted.
std::size_t Authority::find_or_add(const std::string& budget) {
    const std::size_t index = find(budget);
    if (index == budgets_.size()) {
        budgets_.emplace_back();
        budgets_.back().name = budget;
        // Concurrency permits are held for longer, which is safe for a budget of unknown kind.
        budgets_.back().counts = Counts::concurrency;
    }
    return index;
}

void Authority::update_terms(BudgetConfig terms, Time) {
    check(terms);
    terms_ = std::move(terms);
    longest_term_ = std::max(longest_term_, terms_.lease_term);
    for (Budget& budget : budgets_) budget.whole = budget.reserve = {};
    for (const Budget& budget : terms_.budgets) budgets_[find_or_add(budget.name)] = budget;
    resize_holders();
}

bool Authority::is_active(const HolderState& holder, Time now) const {
    return !holder.leaving &&
           now - holder.last_request_at < lengthened_by_drift(terms_.lease_term, terms_.max_clock_drift);
}

// Guards against a share that stays unused at a holder whose requests arrive while the replies to it are
// lost. Such a holder gets an empty grant, and a share again once it has accepted that grant.
bool Authority::accepts_grants(const HolderState& holder) {
    return holder.unaccepted_grants < max_unaccepted_grants;
}

Amount Authority::counted(const HolderState& holder, std::size_t budget, Time now) const {
    const bool is_concurrency = budgets_[budget].counts == Counts::concurrency;
    const Micros extra_hold =
        is_concurrency ? lengthened_by_drift(terms_.max_attempt_duration, terms_.max_clock_drift) : Micros{0};
    Amount largest;
    for (const Allocation& allocation : holder.allocations) {
        if (now < allocation.until + extra_hold) largest = component_max(largest, allocation.shares[budget]);
    }
    if (is_concurrency && now < holder.last_request_at + extra_hold) {
        largest.size = std::max(largest.size, holder.in_use[budget] - holder.reserves[budget].size);
    }
    return largest;
}

Authority::ActiveHolders Authority::active_holders(Time now) const {
    ActiveHolders active;
    int names = 0;
    const std::string* previous_name = nullptr;
    for (const auto& [key, holder] : holders_) {
        if (!is_active(holder, now)) continue;
        const bool duplicate_name = previous_name && *previous_name == key.first;
        if (!duplicate_name) ++names;
        active.reserving.push_back({&holder, duplicate_name || names > terms_.expected_balancers});
        previous_name = &key.first;
        const auto current = current_instance_.find(key.first);
        const bool owns_name = current != current_instance_.end() && current->second == key.second;
        if (accepts_grants(holder) && owns_name) active.claiming.push_back(&holder);
    }
    return active;
}

// Returns the amount set aside for reserves: one reserve for each expected balancer, whether or not it has
// sent a request; one more for each process beyond that number or with the name of another process; and what
// a process reports beyond the configured reserve.
Amount Authority::reserved(std::size_t budget, const ActiveHolders& active) const {
    const Amount each = budgets_[budget].reserve;
    Amount total{each.rate * terms_.expected_balancers, each.size * terms_.expected_balancers};
    for (const auto& [holder, extra] : active.reserving) {
        total = total + (extra ? component_max(holder->reserves[budget], each)
                               : positive(holder->reserves[budget] - each));
    }
    return total;
}

// Compares the rates of the holder's clock and the authority's. A clock that was found to be off must be
// right for a whole comparison interval before the holder gets a lease again.
std::optional<std::string> Authority::clock_fault(HolderState& holder, Time holder_now, Time now) const {
    if (holder.authority_clock == Time{} || holder_now < holder.holder_clock) {
        holder.holder_clock = holder_now;
        holder.authority_clock = now;
        return std::nullopt;
    }
    const Micros authority_elapsed = now - holder.authority_clock,
                 holder_elapsed = holder_now - holder.holder_clock;
    const Micros difference = authority_elapsed > holder_elapsed ? authority_elapsed - holder_elapsed
                                                                 : holder_elapsed - authority_elapsed;
    // Half a term is allowed for different delays of requests; a request delayed by more brings no usable
    // lease anyway.
    const auto drift = Micros(static_cast<std::int64_t>(2 * terms_.max_clock_drift *
                                                        static_cast<double>(authority_elapsed.count())));
    const bool fault = difference > drift + terms_.lease_term / 2;
    const bool interval_over = authority_elapsed > terms_.lease_term * clock_comparison_terms;
    if (fault || interval_over) {
        holder.clock_off = fault;
        holder.holder_clock = holder_now;
        holder.authority_clock = now;
    }
    if (!holder.clock_off) return std::nullopt;
    return "in " + std::to_string(authority_elapsed.count() / 1000) +
           " ms of the authority's clock the holder's went on by " +
           std::to_string(holder_elapsed.count() / 1000) + " ms";
}

std::optional<std::string> Authority::configuration_mismatch(const LeaseRequest& request) const {
    for (const BudgetDemand& need : request.needs) {
        const std::size_t index = find(need.budget);
        if (index == budgets_.size() || budgets_[index].whole == Amount{}) continue;
        if (budgets_[index].counts != need.counts) return need.budget + " counts something else here";
    }
    return std::nullopt;
}

LeaseReply Authority::on_request(const LeaseRequest& request, Time now, std::vector<Change>& changes) {
    expire_holders(now, changes);
    LeaseReply reply;
    reply.number = request.number;
    reply.term = terms_.lease_term;
    const auto answer = [&](Verdict verdict, std::string why, Micros again = {}) {
        reply.verdict = verdict;
        reply.why = std::move(why);
        reply.retry_after = again;
        reply.epoch = epoch_;
        return reply;
    };
    const std::uint64_t reported_epoch = std::max(request.epoch, request.accepted.epoch);
    if (reported_epoch > epoch_) {
        // An authority that still waits and has granted nothing may have started with an empty store after
        // its clock was set back; it takes a higher epoch. An authority that has granted something is the
        // older of two.
        if (now < waits_until_ && seq_ == 0) {
            epoch_ = reported_epoch + 1;
            begin_waiting(now);
        } else {
            stepped_down_ = true;
        }
    }
    if (stepped_down_)
        return answer(Verdict::stepped_down, "an authority of a later epoch has been heard of");

    const Key key{request.holder, request.instance};
    auto found = holders_.find(key);
    if (found != holders_.end() && request.number <= found->second.number) {
        return answer(Verdict::waiting, "an older request than the last",
                      terms_.lease_term / early_requests_per_term);
    }
    if (found == holders_.end()) {
        if (holders_.size() >= terms_.max_holders) {
            return answer(Verdict::too_many,
                          std::to_string(holders_.size()) + " processes are known already");
        }
        found = holders_.try_emplace(key).first;
        current_instance_[key.first] = key.second;
        resize_holders();
    }
    HolderState& holder = found->second;
    record_request(holder, request, now);
    std::string& instance = current_instance_[key.first];
    if (instance != key.second) {
        const auto other = holders_.find({key.first, instance});
        if (other != holders_.end() && is_active(other->second, now)) {
            changes.push_back({key.first, key.second, record_of(key, holder)});
            return answer(Verdict::name_taken, "process " + instance + " has this name");
        }
        instance = key.second;
    }
    if (request.leaving) {
        holder.allocations.clear();
        holder.leaving = true;
        changes.push_back({key.first, key.second, record_of(key, holder)});
        return answer(Verdict::granted, {});
    }
    if (auto why = clock_fault(holder, request.clock, now))
        return answer(Verdict::clock_off, std::move(*why));
    if (auto why = configuration_mismatch(request)) return answer(Verdict::at_odds, std::move(*why));
    if (now < waits_until_) {
        changes.push_back({key.first, key.second, record_of(key, holder)});
        return answer(Verdict::waiting, "leases of an earlier authority may be in force",
                      std::min(waits_until_ - now + Micros{1}, terms_.lease_term / 2));
    }
    LeaseReply granted = grant(holder, now);
    granted.number = request.number;
    changes.push_back({key.first, key.second, record_of(key, holder)});
    return granted;
}

void Authority::record_request(HolderState& holder, const LeaseRequest& request, Time now) {
    holder.number = request.number;
    holder.last_request_at = now;
    holder.leaving = false;
    const bool behind = !holder.allocations.empty() && request.accepted < holder.allocations.back().fence;
    holder.unaccepted_grants = behind ? holder.unaccepted_grants + 1 : 0;
    std::vector<Amount> reported_leases(budgets_.size());
    std::fill(holder.wants.begin(), holder.wants.end(), Amount{});
    for (const BudgetDemand& need : request.needs) {
        const std::size_t index = find(need.budget);
        if (index == budgets_.size()) continue;
        holder.wants[index] = positive(need.wanted);
        holder.reserves[index] = positive(need.reserve);
        holder.in_use[index] = std::max<std::int64_t>(need.in_use, 0);
        reported_leases[index] = positive(need.leased);
    }
    const bool known = std::any_of(holder.allocations.begin(), holder.allocations.end(),
                                   [&](const Allocation& g) { return g.fence == request.accepted; });
    // The lease was granted by another authority and has no record here: it counts until it must have ended.
    if (!known && request.accepted.epoch < epoch_ &&
        !std::all_of(reported_leases.begin(), reported_leases.end(), is_zero)) {
        add(holder, {request.accepted, now + lengthened_by_drift(longest_term_, terms_.max_clock_drift),
                     std::move(reported_leases)});
    }
    std::erase_if(holder.allocations, [&](const Allocation& g) { return g.fence < request.accepted; });
}

LeaseReply Authority::grant(HolderState& holder, Time now) {
    LeaseReply reply;
    reply.term = terms_.lease_term;
    Allocation allocation{{epoch_, ++seq_},
                          now + lengthened_by_drift(terms_.lease_term, terms_.max_clock_drift),
                          std::vector<Amount>(budgets_.size())};
    bool more_wanted = false;
    const ActiveHolders active = active_holders(now);
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
        const Budget& budget = budgets_[i];
        if (budget.whole == Amount{}) continue;
        if (budget.counts == Counts::concurrency && now < concurrency_waits_until_) {
            more_wanted = true;
            continue;
        }
        const Amount shared = budget.whole - reserved(i, active);
        Amount left = shared;
        for (const auto& [key, other] : holders_) {
            if (&other != &holder) left = left - counted(other, i, now);
        }
        const Amount wanted = fair_share(i, holder, positive(shared), active, now);
        const Amount share = component_min(wanted, positive(left));
        more_wanted = more_wanted || !wanted.within(share);
        allocation.shares[i] = share;
        if (share.size > 0 || is_zero(holder.wants[i])) {
            holder.without_permit_since[i] = Time{};
        } else if (holder.without_permit_since[i] == Time{}) {
            holder.without_permit_since[i] = now;
        }
        reply.grants.push_back({budget.name, share});
    }
    reply.min_request_interval = interval_per_holder * static_cast<std::int64_t>(active.reserving.size());
    if (more_wanted)
        reply.retry_after = std::max(terms_.lease_term / early_requests_per_term, reply.min_request_interval);
    reply.epoch = epoch_;
    reply.seq = seq_;
    add(holder, std::move(allocation));
    return reply;
}

// Returns the holder's share of `shared` as if all allocations of the others could be revoked at once.
Amount Authority::fair_share(std::size_t budget, const HolderState& holder, Amount shared,
                             const ActiveHolders& active, Time now) const {
    if (!accepts_grants(holder)) return {};
    std::vector<Claim> claims;
    std::size_t own = 0;
    for (const HolderState* const claimant : active.claiming) {
        if (claimant == &holder) own = claims.size();
        Claim claim;
        claim.wants = positive(claimant->wants[budget] - claimant->reserves[budget]);
        if (claimant->wants[budget].size > 0) claim.wants.size = std::max<std::int64_t>(claim.wants.size, 1);
        if (claimant->without_permit_since[budget] > Time{}) {
            claim.terms_without_permit = static_cast<std::uint64_t>(
                (now - claimant->without_permit_since[budget]) / terms_.lease_term);
        }
        claims.push_back(claim);
    }
    const Amount wanted = divide(shared, budgets_[budget].counts, claims)[own];
    if (holder.allocations.empty()) return wanted;
    const Amount current = holder.allocations.back().shares[budget];
    const auto kept = [](std::int64_t computed, std::int64_t has) {
        return computed < has && computed >= has - has / share_tolerance_divisor ? has : computed;
    };
    return {kept(wanted.rate, current.rate), kept(wanted.size, current.size)};
}

// Inserts an allocation in the order of fencing tokens. If there are too many that are not known to be
// superseded, the first two are merged into one that counts for both.
void Authority::add(HolderState& holder, Allocation allocation) const {
    const auto after = std::find_if(holder.allocations.begin(), holder.allocations.end(),
                                    [&](const Allocation& g) { return allocation.fence < g.fence; });
    holder.allocations.insert(after, std::move(allocation));
    if (holder.allocations.size() <= max_open_grants) return;
    const Allocation first = std::move(holder.allocations.front());
    holder.allocations.erase(holder.allocations.begin());
    Allocation& merged = holder.allocations.front();
    merged.until = std::max(merged.until, first.until);
    for (std::size_t i = 0; i < merged.shares.size(); ++i)
        merged.shares[i] = component_max(merged.shares[i], first.shares[i]);
}

void Authority::expire_holders(Time now, std::vector<Change>& changes) {
    if (now - last_expiry_at_ < terms_.lease_term / 4) return;
    last_expiry_at_ = now;
    const Micros longest = lengthened_by_drift(terms_.max_attempt_duration, terms_.max_clock_drift);
    for (auto entry = holders_.begin(); entry != holders_.end();) {
        auto& [key, holder] = *entry;
        std::erase_if(holder.allocations, [&](const Allocation& g) { return g.until + longest <= now; });
        const bool expired =
            holder.allocations.empty() && now - holder.last_request_at > longest + 2 * longest_term_;
        if (!expired) {
            ++entry;
            continue;
        }
        changes.push_back({key.first, key.second, std::nullopt});
        const auto current = current_instance_.find(key.first);
        if (current != current_instance_.end() && current->second == key.second)
            current_instance_.erase(current);
        entry = holders_.erase(entry);
    }
}

Record Authority::record_of(const Key& key, const HolderState& holder) const {
    Record record{key.first, key.second, holder.number, holder.last_request_at, {}, {}, {}};
    for (const Allocation& allocation : holder.allocations) {
        Record::Allocation recorded{allocation.fence, allocation.until, {}};
        for (std::size_t i = 0; i < budgets_.size(); ++i) {
            if (!is_zero(allocation.shares[i]))
                recorded.shares.emplace_back(budgets_[i].name, allocation.shares[i]);
        }
        record.allocations.push_back(std::move(recorded));
    }
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
        if (holder.in_use[i] > 0) record.in_use.emplace_back(budgets_[i].name, holder.in_use[i]);
        if (!is_zero(holder.reserves[i])) record.reserves.emplace_back(budgets_[i].name, holder.reserves[i]);
    }
    return record;
}

Authority::View Authority::view(Time now) const {
    View view;
    const ActiveHolders active = active_holders(now);
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
        const Budget& budget = budgets_[i];
        Sum sum{budget.name, budget.counts, budget.whole, reserved(i, active), {}};
        for (const auto& [key, holder] : holders_) {
            Held held{budget.name,      key.first, key.second, counted(holder, i, now), {}, holder.wants[i],
                      holder.in_use[i], {},        {}};
            if (!holder.allocations.empty()) {
                held.share = holder.allocations.back().shares[i];
                held.until = holder.allocations.back().until;
            }
            if (!held.counted.within(held.share)) {
                held.why = holder.in_use[i] - holder.reserves[i].size >= held.counted.size
                               ? "in use"
                               : "not yet let go of";
            } else if (held.until <= now && !is_zero(held.counted)) {
                held.why = "its attempts may still run";
            }
            sum.counted = sum.counted + held.counted;
            if (!is_zero(held.counted) || !is_zero(held.wants)) view.held.push_back(std::move(held));
        }
        if (budget.whole != Amount{} || !is_zero(sum.counted)) view.sums.push_back(std::move(sum));
    }
    return view;
}

}  // namespace flaxdoor::budget
