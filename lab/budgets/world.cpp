#include "budgets/world.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "budget/authority.h"
#include "budget/holder.h"
#include "random/stream.h"

namespace flaxdoor::lab::budgets {

namespace {

using budget::Amount;

Quantity plain(Amount amount) { return {amount.rate, amount.size}; }

// The authority's journal, as docs/design/budget.md has it: each change is a commit; the witness is written after it.
struct Journal {
    std::map<std::pair<std::string, std::string>, budget::Record> records;
    std::uint64_t epoch = 0, commits = 0;
    std::uint64_t identity = 0;  // of the start that wrote last
    Time known_from{};           // what is in force is all in here from then on, by the authority's clock
};

struct Witness {
    bool there = false;
    std::uint64_t identity = 0, commits = 0;
};

class World {
public:
    World(const Setup& setup, const Sink& sink);
    Counts play();

private:
    struct Process {
        std::uint32_t id = 0, name = 0;
        std::unique_ptr<budget::Holder> holder;
        bool alive = true, paused = false, left = false;
        std::vector<std::function<void()>> missed;  // while it was paused
        std::uint64_t outstanding = 0;              // number of the request that waits for its reply
        std::int64_t armed = -1;
        std::vector<Quantity> told, reserve_told;
    };
    struct Site {
        std::uint32_t id = 0;
        std::unique_ptr<budget::Authority> authority;
        Clock clock;
        Journal journal;
        std::vector<Journal> copies;  // one a term
        Witness witness;
        std::int64_t writes_fail_until = 0;
        bool dies_ahead = false, dies_after = false;
        Trouble how;  // it comes back, where it dies by a write
    };
    struct Event {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        std::function<void()> todo;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(std::int64_t when, std::function<void()> todo) {
        events_.push_back({std::max(when, now_), order_++, std::move(todo)});
        std::push_heap(events_.begin(), events_.end());
    }
    void in(Process& process, std::int64_t when, std::function<void()> todo);
    void put(What what, std::uint32_t process, std::uint32_t budget = 0, Quantity quantity = {},
             std::int64_t until = 0, const char* text = "") {
        sink_({now_, what, process, budget, quantity, until, text});
    }
    Time local(const Process& process) const { return Time(clocks_[process.name].at(now_)); }
    Time local(const Site& site) const { return Time(site.clock.at(now_)); }

    Process* start(std::uint32_t name, bool takes_name);
    void die(Process& process);
    void wake(Process& process);
    void arm(Process& process);
    void ask(Process& process);
    void send_request(Process& process, budget::LeaseRequest request);
    void tell_shares(Process& process, bool lease);

    std::size_t site_of(std::uint32_t name) const;
    void carry(std::uint32_t name, bool to, std::function<void()> arrive);
    void receive(std::size_t site, Process& process, const budget::LeaseRequest& request);
    Time known_from_of(const Site& site) const;
    void start_site(Site& site, bool current);
    void site_dies(Site& site, const Trouble& how);
    void site_returns(Site& site, Trouble::Store store);

    double rate_of(std::uint32_t name, std::size_t budget) const;
    void expect(std::uint32_t name, std::size_t budget);
    void arrive(Process& process, std::size_t budget);
    void begin(Process& process, std::size_t budget);
    void happen(const Trouble& trouble);

    const Setup& setup_;
    const Sink& sink_;
    budget::BudgetConfig terms_;  // as the authority has them now
    std::vector<Clock> clocks_;
    Stream network_, chance_, fates_;
    std::vector<Stream> arrivals_;  // by name and budget
    std::vector<Event> events_;     // a heap, the earliest first
    std::uint64_t order_ = 0;
    std::int64_t now_ = 0;
    std::vector<std::unique_ptr<Process>> processes_;
    std::vector<Process*> current_;  // by name
    std::vector<std::unique_ptr<Site>> sites_;
    std::int64_t split_until_ = 0;
    std::vector<std::int64_t> cut_to_, cut_from_, lies_until_;  // by name
    std::vector<double> weights_;                               // of demand, by name
    std::vector<std::uint64_t> waves_;                          // of arrivals, by name and budget
    Counts counts_;
};

World::World(const Setup& setup, const Sink& sink)
    : setup_(setup),
      sink_(sink),
      terms_(setup.terms),
      clocks_(setup.clocks),
      network_(setup.seed, Whose::network, 1),
      chance_(setup.seed, Whose::balancer, 1),
      fates_(setup.seed, Whose::attempt, 1),
      current_(setup.names, nullptr),
      cut_to_(setup.names, 0),
      cut_from_(setup.names, 0),
      lies_until_(setup.names, 0),
      weights_(setup.names, 1),
      waves_(setup.names * setup.terms.budgets.size(), 0) {
    clocks_.resize(setup.names, Clock{1'000'000'000, 0});
    for (std::size_t i = 0; i < waves_.size(); ++i) arrivals_.emplace_back(setup.seed, Whose::client, i);
}

// As with a stopped process: what would have run meanwhile runs when it goes on.
void World::in(Process& process, std::int64_t when, std::function<void()> todo) {
    at(when, [this, &process, todo = std::move(todo)] {
        if (!process.alive) return;
        if (process.paused) {
            process.missed.push_back(todo);
            return;
        }
        todo();
        if (process.alive) arm(process);
    });
}

World::Process* World::start(std::uint32_t name, bool takes_name) {
    auto made = std::make_unique<Process>();
    Process& process = *made;
    process.id = static_cast<std::uint32_t>(processes_.size());
    process.name = name;
    budget::Holder::Options options;
    options.terms = setup_.terms;
    options.name = "n" + std::to_string(name);
    options.instance = "i" + std::to_string(process.id);
    options.seed = setup_.seed * 1000 + process.id;
    process.holder = std::make_unique<budget::Holder>(std::move(options), local(process));
    process.told.resize(setup_.terms.budgets.size());
    process.reserve_told.resize(setup_.terms.budgets.size());
    processes_.push_back(std::move(made));
    if (takes_name) current_[name] = &process;
    put(What::note, process.id, 0, {}, 0, "starts: process");
    tell_shares(process, false);
    arm(process);
    return &process;
}

void World::die(Process& process) {
    if (!process.alive) return;
    process.alive = false;
    process.missed.clear();
    if (current_[process.name] == &process) current_[process.name] = nullptr;
    put(What::gone, process.id);
}

void World::wake(Process& process) {
    if (!process.alive || !process.paused) return;
    process.paused = false;
    put(What::note, process.id, 0, {}, 0, "wakes: process");
    auto missed = std::move(process.missed);
    process.missed.clear();
    for (std::size_t left = missed.size(); left > 0; --left) {
        std::swap(missed[left - 1], missed[chance_.below(left)]);
    }
    for (const auto& each : missed) {
        if (process.alive) each();
    }
    if (process.alive) arm(process);
}

void World::arm(Process& process) {
    if (process.left || process.outstanding != 0) return;
    const std::int64_t when = clocks_[process.name].when(process.holder->next_request().count());
    if (process.armed == when) return;
    process.armed = when;
    in(process, when, [this, &process, when] {
        if (process.armed != when) return;
        process.armed = -1;
        ask(process);
    });
}

void World::ask(Process& process) {
    if (process.left || process.outstanding != 0) return;
    budget::LeaseRequest request = process.holder->request(local(process));
    if (now_ < lies_until_[process.name]) {
        for (std::size_t i = 0; i < request.needs.size(); ++i)
            request.needs[i].wanted = setup_.terms.budgets[i].whole;
    }
    tell_shares(process, false);
    process.outstanding = request.number;
    in(process, now_ + setup_.terms.lease_term.count() / 3, [this, &process, number = request.number] {
        if (process.outstanding != number) return;
        process.outstanding = 0;
        process.holder->on_no_reply(local(process));
    });
    send_request(process, std::move(request));
}

void World::send_request(Process& process, budget::LeaseRequest request) {
    ++counts_.requests;
    const std::size_t site = site_of(process.name);
    carry(process.name, true,
          [this, &process, site, request = std::move(request)] { receive(site, process, request); });
}

// Only where the holder has just settled by itself: this must not do for it what it may have forgotten.
void World::tell_shares(Process& process, bool lease) {
    for (std::uint32_t i = 0; i < setup_.terms.budgets.size(); ++i) {
        budget::Allowance& allowance = process.holder->allowance(i);
        if (const Quantity reserve = plain(allowance.static_reserve()); reserve != process.reserve_told[i]) {
            process.reserve_told[i] = reserve;
            put(What::reserve, process.id, i, reserve);
        }
        if (!lease) continue;
        const Quantity share = plain(allowance.leased(local(process)));
        if (share == Quantity{} && process.told[i] == Quantity{}) continue;
        process.told[i] = share;
        put(What::lease, process.id, i, share, clocks_[process.name].when(allowance.leased_until().count()));
    }
}

std::size_t World::site_of(std::uint32_t name) const {
    return now_ < split_until_ && name % 2 == 1 ? 0 : sites_.size() - 1;
}

void World::carry(std::uint32_t name, bool to, std::function<void()> arrive) {
    const int copies = network_.chance(setup_.doubled) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        std::int64_t delay =
            50 + static_cast<std::int64_t>(network_.below(static_cast<std::uint64_t>(setup_.delay_most) + 1));
        if (network_.chance(setup_.late)) {
            delay += static_cast<std::int64_t>(
                network_.below(static_cast<std::uint64_t>(3 * setup_.terms.lease_term.count())));
        }
        if (network_.chance(setup_.lost) || now_ < (to ? cut_to_ : cut_from_)[name]) continue;
        at(now_ + delay, arrive);
    }
}

void World::receive(std::size_t place, Process& process, const budget::LeaseRequest& request) {
    Site& site = *sites_[place];
    if (!site.authority) return;
    std::vector<budget::Change> changes;
    const budget::LeaseReply reply = site.authority->on_request(request, local(site), changes);
    const Time known_from = known_from_of(site);
    if (!changes.empty() || known_from != site.journal.known_from) {
        if (site.dies_ahead) return site_dies(site, site.how);
        if (now_ < site.writes_fail_until) return;
        ++counts_.writes;
        for (const budget::Change& change : changes) {
            const std::pair key{change.holder, change.instance};
            if (change.record) {
                site.journal.records.insert_or_assign(key, *change.record);
            } else {
                site.journal.records.erase(key);
            }
        }
        ++site.journal.commits;
        site.journal.epoch = std::max(site.journal.epoch, site.authority->epoch());
        site.journal.known_from = known_from;
        if (site.dies_after) return site_dies(site, site.how);
        site.witness = {true, site.journal.identity, site.journal.commits};
    }
    counts_.granted += reply.verdict == budget::Verdict::granted;
    counts_.clock_off += reply.verdict == budget::Verdict::clock_off;
    counts_.stepped_down += reply.verdict == budget::Verdict::stepped_down;
    counts_.name_taken += reply.verdict == budget::Verdict::name_taken;
    counts_.waiting += reply.verdict == budget::Verdict::waiting;
    carry(process.name, false, [this, &process, reply] {
        in(process, now_, [this, &process, reply] {
            ++counts_.replies;
            process.holder->on_reply(reply, local(process));
            if (process.outstanding == reply.number) process.outstanding = 0;
            tell_shares(process, true);
        });
    });
}

// One that still waits, or has stepped down, does not know all that is in force; a start after it does not either.
Time World::known_from_of(const Site& site) const {
    if (site.authority->stepped_down()) return Time::max();
    if (site.authority->waits_until() == Time{}) return Time{};
    return site.authority->waits_until() +
           budget::lengthened_by_drift(terms_.max_attempt_duration, terms_.max_clock_drift);
}

// Its epoch is above the stored one and, by the time of day, above those that it may have forgotten.
void World::start_site(Site& site, bool current) {
    budget::Authority::RestoredState start;
    start.complete = current;
    start.epoch = std::max(site.journal.epoch + 1, static_cast<std::uint64_t>(now_) + 1);
    for (const auto& [key, record] : site.journal.records) start.records.push_back(record);
    start.longest_term = setup_.terms.lease_term;
    site.journal.epoch = site.journal.identity = start.epoch;
    ++site.journal.commits;
    site.witness = {true, site.journal.identity, site.journal.commits};
    site.authority = std::make_unique<budget::Authority>(terms_, std::move(start), local(site));
    site.journal.known_from = known_from_of(site);
    ++counts_.starts;
    counts_.starts_current += current;
    put(What::note, site.id, 0, {}, 0, current ? "authority starts, current" : "authority starts, unknown");
}

void World::site_dies(Site& site, const Trouble& how) {
    if (!site.authority) return;
    site.authority.reset();
    site.dies_ahead = site.dies_after = false;
    put(What::note, site.id, 0, {}, 0, "authority dies");
    at(now_ + std::max<std::int64_t>(how.lasts, 1), [this, &site, how] { site_returns(site, how.store); });
}

void World::site_returns(Site& site, Trouble::Store store) {
    if (site.authority) return;
    switch (store) {
        case Trouble::Store::own: break;
        case Trouble::Store::own_without_witness: site.witness = {}; break;
        case Trouble::Store::empty: site.journal = {}; break;
        case Trouble::Store::older:
            if (!site.copies.empty()) site.journal = site.copies.front();
            break;
        case Trouble::Store::rebooted:  // its clock begins anew, and the witness went with /run
            site.witness = {};
            site.journal.records.clear();
            site.clock.offset_us = 5'000'000 - now_;
            break;
    }
    const bool current = site.journal.known_from <= local(site) && site.witness.there &&
                         site.witness.identity == site.journal.identity &&
                         site.journal.commits >= site.witness.commits;
    start_site(site, current);
}

// Permits a microsecond.
double World::rate_of(std::uint32_t name, std::size_t budget) const {
    double all = 0;
    for (const double weight : weights_) all += weight;
    if (all <= 0) return 0;
    const budget::Budget& b = setup_.terms.budgets[budget];
    double whole = static_cast<double>(b.whole.rate) / 1e9;
    if (b.counts == budget::Counts::concurrency) {
        whole = static_cast<double>(b.whole.size) /
                (static_cast<double>(setup_.terms.max_attempt_duration.count()) / 2) * setup_.places_demand;
    }
    return whole * setup_.demand * weights_[name] / all;
}

void World::expect(std::uint32_t name, std::size_t budget) {
    const std::size_t place = name * setup_.terms.budgets.size() + budget;
    const double rate = rate_of(name, budget);
    if (rate <= 0) return;
    const double drawn = setup_.bursts ? -std::log(1 - arrivals_[place].share()) : 1;
    at(now_ + std::max<std::int64_t>(static_cast<std::int64_t>(drawn / rate), 1),
       [this, name, budget, place, wave = waves_[place]] {
           if (waves_[place] != wave) return;
           expect(name, budget);
           Process* const process = current_[name];
           if (process && process->alive && !process->paused && !process->left) {
               arrive(*process, budget);
               arm(*process);
           }
       });
}

void World::arrive(Process& process, std::size_t budget) {
    budget::Allowance& allowance = process.holder->allowance(budget);
    if (!allowance.reserve(local(process))) {
        process.holder->on_refusal(budget, local(process));
        return;
    }
    std::int64_t think = static_cast<std::int64_t>(fates_.below(2000));
    if (fates_.chance(setup_.aside)) {
        think = static_cast<std::int64_t>(
            fates_.below(static_cast<std::uint64_t>(2 * setup_.terms.lease_term.count())));
    }
    const bool given_back = fates_.chance(0.02);
    in(process, now_ + think, [this, &process, budget, given_back] {
        if (given_back) return process.holder->allowance(budget).release(local(process));
        begin(process, budget);
    });
}

void World::begin(Process& process, std::size_t budget) {
    budget::Allowance& allowance = process.holder->allowance(budget);
    const Time began = local(process);
    if (!allowance.commit(began)) {
        ++counts_.lapsed;
        return;
    }
    ++counts_.begun;
    const auto place = static_cast<std::uint32_t>(budget);
    put(What::begun, process.id, place);
    if (setup_.terms.budgets[budget].counts != budget::Counts::concurrency) return;
    // At its server, whatever becomes of its balancer.
    const auto longest = static_cast<std::uint64_t>(setup_.terms.max_attempt_duration.count());
    const std::int64_t runs = static_cast<std::int64_t>(fates_.chance(0.2) ? longest : fates_.below(longest));
    at(now_ + runs, [this, id = process.id, place] { put(What::ended, id, place); });
    const bool known = !fates_.chance(setup_.unheard);
    const std::int64_t heard =
        known ? runs + 50 + static_cast<std::int64_t>(fates_.below(2000))
              : static_cast<std::int64_t>(fates_.below(static_cast<std::uint64_t>(runs) + 1));
    in(process, now_ + heard, [this, &process, budget, known, began] {
        process.holder->allowance(budget).end_attempt(known, began, local(process));
    });
}

void World::happen(const Trouble& t) {
    using Kind = Trouble::Kind;
    Process* const process = current_[t.who];
    Site& site = *sites_.back();
    put(What::note, process ? process->id : t.who, 0, {}, 0, text_of(t.kind));
    const auto demand = [&](auto weight) {
        for (std::uint32_t name = 0; name < setup_.names; ++name) weights_[name] = weight(name);
        for (std::uint32_t name = 0; name < setup_.names; ++name) {
            for (std::size_t i = 0; i < setup_.terms.budgets.size(); ++i) {
                ++waves_[name * setup_.terms.budgets.size() + i];
                expect(name, i);
            }
        }
    };
    const auto back = [&] {
        if (t.lasts <= 0) return;
        at(now_ + t.lasts, [this, name = t.who] {
            if (!current_[name]) start(name, true);
        });
    };
    switch (t.kind) {
        case Kind::cut_to: cut_to_[t.who] = now_ + t.lasts; return;
        case Kind::cut_from: cut_from_[t.who] = now_ + t.lasts; return;
        case Kind::kill:
            if (process) die(*process);
            return back();
        case Kind::pause:
            if (!process || process->paused) return;
            process->paused = true;
            return at(now_ + t.lasts, [this, process] { wake(*process); });
        case Kind::leave:
            if (process && !process->paused && !process->left) {
                // It stops asking; its attempts run on until it dies.
                budget::LeaseRequest last = process->holder->leave(local(*process));
                process->left = true;
                tell_shares(*process, true);
                send_request(*process, std::move(last));
                current_[t.who] = nullptr;
            }
            return back();
        case Kind::second: {
            Process* const other = start(t.who, false);
            // It takes the demand of that name for its time, so that both use what they have.
            Process* const first = current_[t.who];
            at(now_ + t.lasts / 2, [this, other, name = t.who, first] {
                if (other->alive && current_[name] == first) current_[name] = other;
            });
            return at(now_ + t.lasts, [this, other, name = t.who, first] {
                die(*other);
                if (!current_[name] && first && first->alive) current_[name] = first;
            });
        }
        case Kind::lie: lies_until_[t.who] = now_ + t.lasts; return;
        case Kind::writes_fail: site.writes_fail_until = now_ + t.lasts; return;
        case Kind::authority_dies: return site_dies(site, t);
        case Kind::dies_ahead: site.dies_ahead = true, site.how = t; return;
        case Kind::dies_after: site.dies_after = true, site.how = t; return;
        case Kind::split: split_until_ = now_ + t.lasts; [[fallthrough]];
        case Kind::another: {
            auto other = std::make_unique<Site>();
            other->id = static_cast<std::uint32_t>(sites_.size());
            if (other->id < setup_.authority_clocks.size()) {
                other->clock = setup_.authority_clocks[other->id];
            } else {
                other->clock = {777'000'000, 0};
            }
            sites_.push_back(std::move(other));
            return start_site(*sites_.back(), false);
        }
        case Kind::whole_cut:
            for (std::uint32_t i = 0; i < terms_.budgets.size(); ++i) {
                budget::Budget& b = terms_.budgets[i];
                b.whole.rate = std::max<std::int64_t>(b.whole.rate / 10, b.whole.rate > 0 ? 1 : 0);
                b.whole.size = std::max<std::int64_t>(b.whole.size / 10, 1);
                put(What::whole, 0, i, plain(b.whole));
            }
            if (site.authority) site.authority->update_terms(terms_, local(site));
            return;
        case Kind::demand_to_one:
            return demand([&](std::uint32_t name) { return name == t.who ? 1.0 : 0.0; });
        case Kind::demand_skewed: return demand([](std::uint32_t name) { return 1.0 / (1 + name); });
        case Kind::demand_even: return demand([](std::uint32_t) { return 1.0; });
        case Kind::demand_none: return demand([](std::uint32_t) { return 0.0; });
    }
}

Counts World::play() {
    for (std::uint32_t i = 0; i < terms_.budgets.size(); ++i)
        put(What::whole, 0, i, plain(terms_.budgets[i].whole));
    auto first = std::make_unique<Site>();
    first->clock = setup_.authority_clocks.empty() ? Clock{500'000'000, 0} : setup_.authority_clocks[0];
    sites_.push_back(std::move(first));
    start_site(*sites_[0], true);
    for (std::uint32_t name = 0; name < setup_.names; ++name) {
        const auto& late = setup_.late_names;
        if (std::find(late.begin(), late.end(), name) != late.end()) continue;
        at(static_cast<std::int64_t>(
               chance_.below(static_cast<std::uint64_t>(terms_.lease_term.count()) / 4)),
           [this, name] { start(name, true); });
    }
    for (std::uint32_t name = 0; name < setup_.names; ++name) {
        for (std::size_t i = 0; i < terms_.budgets.size(); ++i) expect(name, i);
    }
    for (const Trouble& trouble : setup_.troubles) at(trouble.at, [this, &trouble] { happen(trouble); });
    for (std::int64_t copy = 0; copy < setup_.lasts; copy += terms_.lease_term.count()) {
        at(copy, [this] {
            for (const auto& site : sites_) {
                site->copies.push_back(site->journal);
                if (site->copies.size() > 4) site->copies.erase(site->copies.begin());
            }
        });
    }
    while (!events_.empty() && events_.front().at <= setup_.lasts) {
        std::pop_heap(events_.begin(), events_.end());
        const Event event = std::move(events_.back());
        events_.pop_back();
        now_ = event.at;
        event.todo();
    }
    return counts_;
}

}  // namespace

std::int64_t Clock::at(std::int64_t true_us) const {
    const auto more = static_cast<__int128>(true_us) * ppb;
    const auto whole = more >= 0 ? more / 1'000'000'000 : -((-more + 999'999'999) / 1'000'000'000);
    return offset_us + true_us + static_cast<std::int64_t>(whole);
}

std::int64_t Clock::when(std::int64_t reading) const {
    auto t = static_cast<std::int64_t>(static_cast<double>(reading - offset_us) /
                                       (1 + static_cast<double>(ppb) / 1e9));
    while (at(t) < reading) ++t;
    while (at(t - 1) >= reading) --t;
    return t;
}

const char* text_of(Trouble::Kind kind) {
    using Kind = Trouble::Kind;
    switch (kind) {
        case Kind::cut_to: return "requests are cut off: process";
        case Kind::cut_from: return "replies are cut off: process";
        case Kind::kill: return "is killed: process";
        case Kind::pause: return "is paused: process";
        case Kind::leave: return "leaves: process";
        case Kind::second: return "a second process with the name of process";
        case Kind::lie: return "tells that it wants all: process";
        case Kind::writes_fail: return "writes of the authority fail;";
        case Kind::authority_dies: return "authority is killed;";
        case Kind::dies_ahead: return "authority is to die ahead of a write;";
        case Kind::dies_after: return "authority is to die after a write;";
        case Kind::another: return "another authority takes the address;";
        case Kind::split: return "another authority takes half of the names;";
        case Kind::whole_cut: return "wholes are cut to a tenth;";
        case Kind::demand_to_one: return "all demand goes to process";
        case Kind::demand_skewed: return "demand is skewed;";
        case Kind::demand_even: return "demand is even;";
        case Kind::demand_none: return "no demand;";
    }
    return "";
}

Ground ground_of(const Setup& setup) {
    Ground ground;
    ground.term_us = setup.terms.lease_term.count();
    ground.longest_us = setup.terms.max_attempt_duration.count();
    for (const budget::Budget& b : setup.terms.budgets) {
        ground.budgets.push_back({b.name, b.counts == budget::Counts::concurrency,
                                  setup.beyond_reserve ? plain(b.reserve) : Quantity{}});
    }
    return ground;
}

Counts play(const Setup& setup, const Sink& sink) { return World(setup, sink).play(); }

}  // namespace flaxdoor::lab::budgets
