#include "budget/authority.h"

#include <algorithm>
#include <stdexcept>

#include "budget/division.h"

namespace flaxdoor::budget {

namespace {

constexpr std::int64_t kept_part =
    32;  // a share that is too large by no more than a so-manieth is left as it is
constexpr std::int64_t again_a_term = 20;  // so often a term asks who is to get more than there is yet
constexpr Micros gap_each = std::chrono::milliseconds(5);  // of each process that is heard: 200 requests a
    // second of all together, beside those that are due
constexpr int untaken_most = 3;  // grants in a row that did not arrive, after which no further one is made
constexpr std::int64_t clock_terms = 8;  // a holder's clock is compared over so many terms

bool nothing(Amount amount) { return amount == Amount{}; }

Amount positive(Amount amount) { return most(amount, {}); }

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

void check(const Terms& terms) {
    const auto require = [](bool holds, const std::string& what) {
        if (!holds) throw std::invalid_argument("budget: " + what);
    };
    require(terms.term > Micros{0}, "the term must be positive");
    require(terms.drift >= 0 && terms.drift < 0.5, "the drift must be below a half");
    require(terms.expected >= 1, "balancers must be at least 1");
    for (std::size_t i = 0; i < terms.budgets.size(); ++i) {
        const Budget& b = terms.budgets[i];
        for (std::size_t j = 0; j < i; ++j)
            require(terms.budgets[j].name != b.name, b.name + ": named twice");
        require(b.whole.size >= 1, b.name + ": a whole of less than one permit");
        require((b.counts == Counts::concurrency) == (b.whole.rate == 0),
                b.name + ": a rate where none is, or none");
        const Amount reserves{b.reserve.rate * terms.expected, b.reserve.size * terms.expected};
        require(reserves.within(b.whole), b.name + ": the reserves are more than the whole");
    }
}

Authority::Authority(Terms terms, Start start, Time now)
    : terms_(std::move(terms)),
      epoch_(start.epoch),
      longest_term_(std::max(terms_.term, start.longest_term)) {
    check(terms_);
    budgets_ = terms_.budgets;
    if (!start.current) wait(now);
    for (Record& record : start.records) {
        Party& party = parties_[{record.holder, record.instance}];
        party.number = record.number;
        party.heard = record.heard;
        for (const auto& [budget, count] : record.in_use) {
            const std::size_t at = place_of(budget);
            party.in_use.resize(budgets_.size());
            party.in_use[at] = count;
        }
        for (const auto& [budget, reserve] : record.reserves) {
            const std::size_t at = place_of(budget);
            party.reserves.resize(budgets_.size());
            party.reserves[at] = reserve;
        }
        for (const Record::Given& given : record.given) {
            Given known{given.fence, given.until, {}};
            for (const auto& [budget, share] : given.shares) {
                const std::size_t at = place_of(budget);
                known.shares.resize(budgets_.size());
                known.shares[at] = share;
            }
            party.given.push_back(std::move(known));
        }
        std::string& instance = current_[record.holder];
        const auto other = parties_.find({record.holder, instance});
        if (other == parties_.end() || other->second.heard <= record.heard) instance = record.instance;
    }
    widen();
}

// Until nothing is in force that was granted before, and for places until what began under it has ended.
void Authority::wait(Time now) {
    waits_until_ = now + at_authority(longest_term_, terms_.drift);
    places_from_ = waits_until_ + at_authority(terms_.longest, terms_.drift);
}

// Places of budgets that have come since.
void Authority::widen() {
    for (auto& [key, party] : parties_) {
        party.wants.resize(budgets_.size());
        party.reserves.resize(budgets_.size());
        party.in_use.resize(budgets_.size());
        party.without.resize(budgets_.size());
        for (Given& given : party.given) given.shares.resize(budgets_.size());
    }
}

std::size_t Authority::find(const std::string& budget) const {
    const auto found =
        std::find_if(budgets_.begin(), budgets_.end(), [&](const Budget& b) { return b.name == budget; });
    return static_cast<std::size_t>(found - budgets_.begin());
}

// One that the terms do not name has a whole of nothing: it is granted to nobody.
std::size_t Authority::place_of(const std::string& budget) {
    const std::size_t at = find(budget);
    if (at == budgets_.size()) {
        budgets_.emplace_back();
        budgets_.back().name = budget;
        budgets_.back().counts = Counts::concurrency;  // what is not known to be a rate is held for longer
    }
    return at;
}

void Authority::change(Terms terms, Time) {
    check(terms);
    terms_ = std::move(terms);
    longest_term_ = std::max(longest_term_, terms_.term);
    for (Budget& budget : budgets_) budget.whole = budget.reserve = {};
    for (const Budget& budget : terms_.budgets) budgets_[place_of(budget.name)] = budget;
    widen();
}

bool Authority::heard_lately(const Party& party, Time now) const {
    return !party.leaving && now - party.heard < at_authority(terms_.term, terms_.drift);
}

// Guards against a share that lies unused with a holder whose requests arrive and whose replies do not: it gets an
// empty grant, and a share again once it has taken that one.
bool Authority::takes_grants(const Party& party) { return party.untaken < untaken_most; }

Amount Authority::counted(const Party& party, std::size_t budget, Time now) const {
    const bool places = budgets_[budget].counts == Counts::concurrency;
    const Micros held_on = places ? at_authority(terms_.longest, terms_.drift) : Micros{0};
    Amount all;
    for (const Given& given : party.given) {
        if (now < given.until + held_on) all = most(all, given.shares[budget]);
    }
    if (places && now < party.heard + held_on) {
        all.size = std::max(all.size, party.in_use[budget] - party.reserves[budget].size);
    }
    return all;
}

Authority::Present Authority::present(Time now) const {
    Present all;
    int names = 0;
    const std::string* last = nullptr;
    for (const auto& [key, party] : parties_) {
        if (!heard_lately(party, now)) continue;
        const bool twice = last && *last == key.first;
        if (!twice) ++names;
        all.reserving.push_back({&party, twice || names > terms_.expected});
        last = &key.first;
        const auto its = current_.find(key.first);
        const bool has_the_name = its != current_.end() && its->second == key.second;
        if (takes_grants(party) && has_the_name) all.claiming.push_back(&party);
    }
    return all;
}

// Set aside for each expected balancer, whether it has been heard of or not; and once more for each process beyond
// that number or that has another one's name, and for what a process says it has beyond the terms.
Amount Authority::reserved(std::size_t budget, const Present& present) const {
    const Amount each = budgets_[budget].reserve;
    Amount all{each.rate * terms_.expected, each.size * terms_.expected};
    for (const auto& [party, beyond] : present.reserving) {
        all = all + (beyond ? most(party->reserves[budget], each) : positive(party->reserves[budget] - each));
    }
    return all;
}

// Once found to be off, a clock has to be right for a whole span.
std::optional<std::string> Authority::clock_fault(Party& party, Time its, Time now) const {
    if (party.our_clock == Time{} || its < party.its_clock) {
        party.its_clock = its;
        party.our_clock = now;
        return std::nullopt;
    }
    const Micros here = now - party.our_clock, there = its - party.its_clock;
    const Micros off = here > there ? here - there : there - here;
    // Requests come late by different times; a late one beyond half a term earns no lease anyway.
    const auto drift =
        Micros(static_cast<std::int64_t>(2 * terms_.drift * static_cast<double>(here.count())));
    const bool fault = off > drift + terms_.term / 2;
    const bool whole_span = here > terms_.term * clock_terms;
    if (fault || whole_span) {
        party.clock_off = fault;
        party.its_clock = its;
        party.our_clock = now;
    }
    if (!party.clock_off) return std::nullopt;
    return "in " + std::to_string(here.count() / 1000) +
           " ms of the authority's clock the holder's went on by " + std::to_string(there.count() / 1000) +
           " ms";
}

std::optional<std::string> Authority::at_odds(const LeaseRequest& request) const {
    for (const Need& need : request.needs) {
        const std::size_t at = find(need.budget);
        if (at == budgets_.size() || budgets_[at].whole == Amount{}) continue;
        if (budgets_[at].counts != need.counts) return need.budget + " counts something else here";
    }
    return std::nullopt;
}

LeaseReply Authority::on_request(const LeaseRequest& request, Time now, std::vector<Change>& changes) {
    forget_old(now, changes);
    LeaseReply reply;
    reply.number = request.number;
    reply.term = terms_.term;
    const auto answer = [&](Verdict verdict, std::string why, Micros again = {}) {
        reply.verdict = verdict;
        reply.why = std::move(why);
        reply.again = again;
        reply.epoch = epoch_;
        return reply;
    };
    const std::uint64_t told = std::max(request.epoch, request.taken.epoch);
    if (told > epoch_) {
        // With an empty store and a clock that went back. One that has granted something is the older of two.
        if (now < waits_until_ && seq_ == 0) {
            epoch_ = told + 1;
            wait(now);
        } else {
            stepped_down_ = true;
        }
    }
    if (stepped_down_)
        return answer(Verdict::stepped_down, "an authority of a later epoch has been heard of");

    const Key key{request.holder, request.instance};
    auto found = parties_.find(key);
    if (found != parties_.end() && request.number <= found->second.number) {
        return answer(Verdict::waiting, "an older request than the last", terms_.term / again_a_term);
    }
    if (found == parties_.end()) {
        if (parties_.size() >= terms_.holders_most) {
            return answer(Verdict::too_many,
                          std::to_string(parties_.size()) + " processes are known already");
        }
        found = parties_.try_emplace(key).first;
        current_[key.first] = key.second;
        widen();
    }
    Party& party = found->second;
    note(party, request, now);
    std::string& instance = current_[key.first];
    if (instance != key.second) {
        const auto other = parties_.find({key.first, instance});
        if (other != parties_.end() && heard_lately(other->second, now)) {
            changes.push_back({key.first, key.second, record_of(key, party)});
            return answer(Verdict::name_taken, "process " + instance + " has this name");
        }
        instance = key.second;
    }
    if (request.leaving) {
        party.given.clear();
        party.leaving = true;
        changes.push_back({key.first, key.second, record_of(key, party)});
        return answer(Verdict::granted, {});
    }
    if (auto why = clock_fault(party, request.clock, now)) return answer(Verdict::clock_off, std::move(*why));
    if (auto why = at_odds(request)) return answer(Verdict::at_odds, std::move(*why));
    if (now < waits_until_) {
        changes.push_back({key.first, key.second, record_of(key, party)});
        return answer(Verdict::waiting, "leases of an earlier authority may be in force",
                      std::min(waits_until_ - now + Micros{1}, terms_.term / 2));
    }
    LeaseReply granted = grant(party, now);
    granted.number = request.number;
    changes.push_back({key.first, key.second, record_of(key, party)});
    return granted;
}

void Authority::note(Party& party, const LeaseRequest& request, Time now) {
    party.number = request.number;
    party.heard = now;
    party.leaving = false;
    const bool behind = !party.given.empty() && request.taken < party.given.back().fence;
    party.untaken = behind ? party.untaken + 1 : 0;
    std::vector<Amount> foreign(budgets_.size());
    std::fill(party.wants.begin(), party.wants.end(), Amount{});
    for (const Need& need : request.needs) {
        const std::size_t at = find(need.budget);
        if (at == budgets_.size()) continue;
        party.wants[at] = positive(need.wants);
        party.reserves[at] = positive(need.reserve);
        party.in_use[at] = std::max<std::int64_t>(need.in_use, 0);
        foreign[at] = positive(need.leased);
    }
    const bool known = std::any_of(party.given.begin(), party.given.end(),
                                   [&](const Given& g) { return g.fence == request.taken; });
    // Of another authority, which this one knows nothing of: counted until it must have ended.
    if (!known && request.taken.epoch < epoch_ && !std::all_of(foreign.begin(), foreign.end(), nothing)) {
        add(party, {request.taken, now + at_authority(longest_term_, terms_.drift), std::move(foreign)});
    }
    std::erase_if(party.given, [&](const Given& g) { return g.fence < request.taken; });
}

LeaseReply Authority::grant(Party& party, Time now) {
    LeaseReply reply;
    reply.term = terms_.term;
    Given given{{epoch_, ++seq_},
                now + at_authority(terms_.term, terms_.drift),
                std::vector<Amount>(budgets_.size())};
    bool more = false;
    const Present others = present(now);
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
        const Budget& budget = budgets_[i];
        if (budget.whole == Amount{}) continue;
        if (budget.counts == Counts::concurrency && now < places_from_) {
            more = true;
            continue;
        }
        const Amount shared = budget.whole - reserved(i, others);
        Amount left = shared;
        for (const auto& [other, its] : parties_) {
            if (&its != &party) left = left - counted(its, i, now);
        }
        const Amount wanted = target(i, party, positive(shared), others, now);
        const Amount share = least(wanted, positive(left));
        more = more || !wanted.within(share);
        given.shares[i] = share;
        if (share.size > 0 || nothing(party.wants[i])) {
            party.without[i] = Time{};
        } else if (party.without[i] == Time{}) {
            party.without[i] = now;
        }
        reply.grants.push_back({budget.name, share});
    }
    reply.gap = gap_each * static_cast<std::int64_t>(others.reserving.size());
    if (more) reply.again = std::max(terms_.term / again_a_term, reply.gap);
    reply.epoch = epoch_;
    reply.seq = seq_;
    add(party, std::move(given));
    return reply;
}

// What a party would have of `shared` if all that was given to others could be taken back at once.
Amount Authority::target(std::size_t budget, const Party& party, Amount shared, const Present& present,
                         Time now) const {
    if (!takes_grants(party)) return {};
    std::vector<Claim> claims;
    std::size_t own = 0;
    for (const Party* const its : present.claiming) {
        if (its == &party) own = claims.size();
        Claim claim;
        claim.wants = positive(its->wants[budget] - its->reserves[budget]);
        if (its->wants[budget].size > 0) claim.wants.size = std::max<std::int64_t>(claim.wants.size, 1);
        if (its->without[budget] > Time{}) {
            claim.without = static_cast<std::uint64_t>((now - its->without[budget]) / terms_.term);
        }
        claims.push_back(claim);
    }
    const Amount wanted = divide(shared, budgets_[budget].counts, claims)[own];
    if (party.given.empty()) return wanted;
    // A little too much is left alone, or every change of anyone's need would move everyone's share.
    const Amount now_has = party.given.back().shares[budget];
    const auto kept = [](std::int64_t target, std::int64_t has) {
        return target < has && target >= has - has / kept_part ? has : target;
    };
    return {kept(wanted.rate, now_has.rate), kept(wanted.size, now_has.size)};
}

// In the order of fences. Of many that are not known to be superseded, two become one that counts for both.
void Authority::add(Party& party, Given given) const {
    const auto after = std::find_if(party.given.begin(), party.given.end(),
                                    [&](const Given& g) { return given.fence < g.fence; });
    party.given.insert(after, std::move(given));
    if (party.given.size() <= grants_most) return;
    const Given first = std::move(party.given.front());
    party.given.erase(party.given.begin());
    Given& both = party.given.front();
    both.until = std::max(both.until, first.until);
    for (std::size_t i = 0; i < both.shares.size(); ++i)
        both.shares[i] = most(both.shares[i], first.shares[i]);
}

void Authority::forget_old(Time now, std::vector<Change>& changes) {
    if (now - swept_ < terms_.term / 4) return;
    swept_ = now;
    const Micros longest = at_authority(terms_.longest, terms_.drift);
    for (auto at = parties_.begin(); at != parties_.end();) {
        auto& [key, party] = *at;
        std::erase_if(party.given, [&](const Given& g) { return g.until + longest <= now; });
        const bool over = party.given.empty() && now - party.heard > longest + 2 * longest_term_;
        if (!over) {
            ++at;
            continue;
        }
        changes.push_back({key.first, key.second, std::nullopt});
        const auto its = current_.find(key.first);
        if (its != current_.end() && its->second == key.second) current_.erase(its);
        at = parties_.erase(at);
    }
}

Record Authority::record_of(const Key& key, const Party& party) const {
    Record record{key.first, key.second, party.number, party.heard, {}, {}, {}};
    for (const Given& given : party.given) {
        Record::Given kept{given.fence, given.until, {}};
        for (std::size_t i = 0; i < budgets_.size(); ++i) {
            if (!nothing(given.shares[i])) kept.shares.emplace_back(budgets_[i].name, given.shares[i]);
        }
        record.given.push_back(std::move(kept));
    }
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
        if (party.in_use[i] > 0) record.in_use.emplace_back(budgets_[i].name, party.in_use[i]);
        if (!nothing(party.reserves[i])) record.reserves.emplace_back(budgets_[i].name, party.reserves[i]);
    }
    return record;
}

Authority::View Authority::view(Time now) const {
    View view;
    const Present all = present(now);
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
        const Budget& budget = budgets_[i];
        Sum sum{budget.name, budget.counts, budget.whole, reserved(i, all), {}};
        for (const auto& [key, party] : parties_) {
            Held held{budget.name,     key.first, key.second, counted(party, i, now), {}, party.wants[i],
                      party.in_use[i], {},        {}};
            if (!party.given.empty()) {
                held.share = party.given.back().shares[i];
                held.until = party.given.back().until;
            }
            if (!held.counted.within(held.share)) {
                held.why = party.in_use[i] - party.reserves[i].size >= held.counted.size
                               ? "in use"
                               : "not yet let go of";
            } else if (held.until <= now && !nothing(held.counted)) {
                held.why = "its attempts may still run";
            }
            sum.counted = sum.counted + held.counted;
            if (!nothing(held.counted) || !nothing(held.wants)) view.held.push_back(std::move(held));
        }
        if (budget.whole != Amount{} || !nothing(sum.counted)) view.sums.push_back(std::move(sum));
    }
    return view;
}

}  // namespace flaxdoor::budget
