#include "run/figures.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace flaxdoor::lab {

namespace {

constexpr std::uint64_t second = 1'000'000;
// A call's last repeat may come so long after its first try.
constexpr std::uint64_t repeats_within = 10 * second;

}  // namespace

void Tally::add(const Tally& other) {
    asked += other.asked;
    served += other.served;
    refused += other.refused;
    failed += other.failed;
    worth += other.worth;
    earned += other.earned;
}

Tally Figures::sum(const std::vector<Tally>& seconds, std::uint64_t from) {
    Tally all;
    for (std::size_t i = from; i < seconds.size(); ++i) all.add(seconds[i]);
    return all;
}

Tally Figures::sum() const { return sum(seconds, settles); }

double Figures::worst_ten_seconds() const {
    double worst = 1;
    for (std::size_t from = settles; from + 10 <= seconds.size(); ++from) {
        Tally ten;
        for (std::size_t i = from; i < from + 10; ++i) ten.add(seconds[i]);
        worst = std::min(worst, ten.service());
    }
    return worst;
}

Counter::Counter(const Terms& terms, std::uint64_t settles_us)
    : terms_(terms), seconds_(static_cast<std::size_t>((terms.lasts_us + second - 1) / second)) {
    figures_.seconds.resize(seconds_);
    figures_.open.resize(seconds_);
    figures_.by_class.assign(terms.classes.size(), std::vector<Tally>(seconds_));
    figures_.by_tenant.assign(terms.tenants.size(), std::vector<Tally>(seconds_));
    figures_.load.assign(terms.server_zones.size(), std::vector<std::uint16_t>(seconds_));
    figures_.latency.resize(terms.classes.size());
    figures_.settles = std::min<std::uint64_t>(settles_us / second, seconds_);
    for (const auto& c : terms.classes) keep_ = std::max(keep_, c.deadline_us);
    keep_ += repeats_within;
}

Tally& Counter::cell(std::vector<Tally>& seconds, std::uint64_t at) {
    return seconds[std::min<std::size_t>(static_cast<std::size_t>(at / second), seconds_ - 1)];
}

void Counter::settle(std::uint64_t, const Call& call, bool served, std::uint64_t at) {
    const Terms::Class& its = terms_.classes[call.class_index];
    Tally tally;
    tally.asked = 1;
    tally.worth = its.worth;
    if (served) {
        tally.served = 1;
        const std::uint64_t took = at - call.asked_at;
        tally.earned = took <= its.aim_us ? its.worth : its.worth * its.late_worth;
        figures_.latency[call.class_index].add(std::chrono::microseconds(took));
        figures_.latency_all.add(std::chrono::microseconds(took));
    } else if (call.verdict == static_cast<std::uint8_t>(Verdict::refused)) {
        tally.refused = 1;
    } else {
        tally.failed = 1;
    }
    cell(figures_.seconds, call.asked_at).add(tally);
    cell(figures_.by_class[call.class_index], call.asked_at).add(tally);
    if (call.tenant < figures_.by_tenant.size())
        cell(figures_.by_tenant[call.tenant], call.asked_at).add(tally);
}

void Counter::forget_older(std::uint64_t at) {
    while (!in_order_.empty() && in_order_.front().first + keep_ < at) {
        const auto found = calls_.find(in_order_.front().second);
        in_order_.pop_front();
        if (found == calls_.end()) continue;
        if (!found->second.over) settle(found->first, found->second, false, at);
        // Its tries have numbers of their own: those of a client's call differ in the last three bits.
        for (std::uint64_t n = 1; n < 8; ++n) repeats_.erase(found->first + n);
        calls_.erase(found);
    }
}

void Counter::put(const Record& r) {
    const auto now = std::min<std::size_t>(static_cast<std::size_t>(r.at / second), seconds_ - 1);
    const auto find = [&](std::uint64_t number) -> Call* {
        const auto repeat = repeats_.find(number);
        const auto found = calls_.find(repeat == repeats_.end() ? number : repeat->second);
        return found == calls_.end() ? nullptr : &found->second;
    };
    switch (r.event) {
        case Event::asked: {
            ++figures_.tries;
            forget_older(r.at);
            // A repeat is told as one right behind this; it is taken back then.
            const Asked asked = Asked::unpacked(r.b);
            calls_.emplace(r.call, Call{r.at, r.call, asked.class_index, asked.tenant, 3, false});
            in_order_.emplace_back(r.at, r.call);
            return;
        }
        case Event::repeats: {
            calls_.erase(r.call);
            in_order_.pop_back();
            const auto earlier = repeats_.find(r.a);
            repeats_[r.call] = earlier == repeats_.end() ? r.a : earlier->second;
            return;
        }
        case Event::received: {
            Call* const call = find(r.call);
            if (!call || call->over) return;
            call->verdict = static_cast<std::uint8_t>(r.a);
            if (r.a != static_cast<std::uint64_t>(Verdict::served)) return;
            call->over = true;
            return settle(r.call, *call, true, r.at);
        }
        case Event::gave_up:
        case Event::unreached:
            if (Call* const call = find(r.call); call && !call->over) {
                call->verdict = static_cast<std::uint8_t>(Verdict::failed);
            }
            // Whoever held it lets go of it, or is no more.
            open_.erase(r.call);
            return open_now(now);
        case Event::taken: open_.insert(r.call); return open_now(now);
        case Event::final_answer: open_.erase(r.call); return open_now(now);
        case Event::sending: ++figures_.attempts; return;
        case Event::came_up: figures_.restarts += r.a > 1 ? 1 : 0; return;
        case Event::fell: ++figures_.falls; return;
        case Event::load: {
            auto& most = figures_.load[r.who][now];
            most = std::max(most, static_cast<std::uint16_t>(std::min<std::uint64_t>(r.a, 65535)));
            return;
        }
        default: return;
    }
}

void Counter::open_now(std::uint64_t second) {
    figures_.open[second] = static_cast<std::uint32_t>(open_.size());
}

Figures Counter::finish() {
    for (const auto& [at, first] : in_order_) {
        const auto found = calls_.find(first);
        if (found != calls_.end() && !found->second.over) settle(first, found->second, false, at);
    }
    calls_.clear();
    in_order_.clear();
    return std::move(figures_);
}

nlohmann::json to_json(const Figures& f, const Terms& terms) {
    using nlohmann::json;
    const auto tally = [](const Tally& t) {
        return json{{"asked", t.asked},   {"served", t.served},     {"refused", t.refused},
                    {"failed", t.failed}, {"service", t.service()}, {"worth", t.worth},
                    {"earned", t.earned}};
    };
    const auto line = [](const std::vector<Tally>& seconds, auto of) {
        json all = json::array();
        for (const Tally& t : seconds) all.push_back(of(t));
        return all;
    };
    const auto service = [](const Tally& t) { return std::round(t.service() * 1e4) / 1e4; };
    const auto latencies = [](const standins::Latencies& l) {
        return json{{"count", l.count()},
                    {"p50_us", l.quantile(0.5).count()},
                    {"p90_us", l.quantile(0.9).count()},
                    {"p99_us", l.quantile(0.99).count()},
                    {"p999_us", l.quantile(0.999).count()},
                    {"most_us", l.most().count()}};
    };
    json all{{"sum", tally(f.sum())},
             {"worst_ten_seconds", f.worst_ten_seconds()},
             {"latency", latencies(f.latency_all)},
             {"tries", f.tries},
             {"attempts", f.attempts},
             {"falls", f.falls},
             {"faults", f.faults},
             {"restarts", f.restarts},
             {"settles", f.settles}};
    all["seconds"] = {{"asked", line(f.seconds, [](const Tally& t) { return t.asked; })},
                      {"served", line(f.seconds, [](const Tally& t) { return t.served; })},
                      {"refused", line(f.seconds, [](const Tally& t) { return t.refused; })},
                      {"failed", line(f.seconds, [](const Tally& t) { return t.failed; })},
                      {"service", line(f.seconds, service)},
                      {"open", f.open}};
    for (std::size_t c = 0; c < terms.classes.size(); ++c) {
        all["classes"].push_back({{"name", terms.classes[c].name},
                                  {"sum", tally(Figures::sum(f.by_class[c], f.settles))},
                                  {"latency", latencies(f.latency[c])},
                                  {"service", line(f.by_class[c], service)}});
    }
    for (std::size_t t = 0; t < terms.tenants.size(); ++t) {
        all["tenants"].push_back({{"name", terms.tenants[t]},
                                  {"sum", tally(Figures::sum(f.by_tenant[t], f.settles))},
                                  {"service", line(f.by_tenant[t], service)}});
    }
    all["load"] = f.load;
    return all;
}

}  // namespace flaxdoor::lab
