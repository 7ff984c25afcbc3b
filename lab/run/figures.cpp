#include "run/figures.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace flaxdoor::lab {

namespace {

constexpr std::uint64_t second = 1'000'000;
// Longest time from a call's first request to its last retry, in microseconds.
constexpr std::uint64_t retry_window = 10 * second;

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
    for (const auto& call_class : terms.classes) keep_ = std::max(keep_, call_class.deadline_us);
    keep_ += retry_window;
}

Tally& Counter::tally_at(std::vector<Tally>& seconds, std::uint64_t at) {
    return seconds[std::min<std::size_t>(static_cast<std::size_t>(at / second), seconds_ - 1)];
}

void Counter::count_call(std::uint64_t, const Call& call, bool served, std::uint64_t at) {
    const Terms::Class& call_class = terms_.classes[call.class_index];
    Tally tally;
    tally.asked = 1;
    tally.worth = call_class.worth;
    if (served) {
        tally.served = 1;
        const std::uint64_t took = at - call.asked_at;
        tally.earned =
            took <= call_class.aim_us ? call_class.worth : call_class.worth * call_class.late_worth;
        figures_.latency[call.class_index].add(std::chrono::microseconds(took));
        figures_.latency_all.add(std::chrono::microseconds(took));
    } else if (call.verdict == static_cast<std::uint8_t>(Verdict::refused)) {
        tally.refused = 1;
    } else {
        tally.failed = 1;
    }
    tally_at(figures_.seconds, call.asked_at).add(tally);
    tally_at(figures_.by_class[call.class_index], call.asked_at).add(tally);
    if (call.tenant < figures_.by_tenant.size())
        tally_at(figures_.by_tenant[call.tenant], call.asked_at).add(tally);
}

void Counter::expire_calls(std::uint64_t at) {
    while (!by_time_.empty() && by_time_.front().first + keep_ < at) {
        const auto found = calls_.find(by_time_.front().second);
        by_time_.pop_front();
        if (found == calls_.end()) continue;
        if (!found->second.over) count_call(found->first, found->second, false, at);
        // The numbers of a call's requests differ only in the lowest three bits.
        for (std::uint64_t number = 1; number < 8; ++number) retries_.erase(found->first + number);
        calls_.erase(found);
    }
}

void Counter::put(const Record& record) {
    const auto now = std::min<std::size_t>(static_cast<std::size_t>(record.at / second), seconds_ - 1);
    const auto find = [&](std::uint64_t number) -> Call* {
        const auto repeat = retries_.find(number);
        const auto found = calls_.find(repeat == retries_.end() ? number : repeat->second);
        return found == calls_.end() ? nullptr : &found->second;
    };
    switch (record.event) {
        case Event::asked: {
            ++figures_.tries;
            expire_calls(record.at);
            // The record `repeats` follows at once if this is a client retry; it removes the new call again.
            const Asked asked = Asked::unpacked(record.b);
            calls_.emplace(record.call,
                           Call{record.at, record.call, asked.class_index, asked.tenant, 3, false});
            by_time_.emplace_back(record.at, record.call);
            return;
        }
        case Event::repeats: {
            calls_.erase(record.call);
            by_time_.pop_back();
            const auto earlier = retries_.find(record.a);
            retries_[record.call] = earlier == retries_.end() ? record.a : earlier->second;
            return;
        }
        case Event::received: {
            Call* const call = find(record.call);
            if (!call || call->over) return;
            call->verdict = static_cast<std::uint8_t>(record.a);
            if (record.a != static_cast<std::uint64_t>(Verdict::served)) return;
            call->over = true;
            return count_call(record.call, *call, true, record.at);
        }
        case Event::gave_up:
        case Event::unreached:
            if (Call* const call = find(record.call); call && !call->over) {
                call->verdict = static_cast<std::uint8_t>(Verdict::failed);
            }
            // The balancer that held the request drops it or has died.
            open_requests_.erase(record.call);
            return record_open(now);
        case Event::taken: open_requests_.insert(record.call); return record_open(now);
        case Event::final_answer: open_requests_.erase(record.call); return record_open(now);
        case Event::sending: ++figures_.attempts; return;
        case Event::came_up: figures_.restarts += record.a > 1 ? 1 : 0; return;
        case Event::fell: ++figures_.falls; return;
        case Event::load: {
            auto& most = figures_.load[record.who][now];
            most = std::max(most, static_cast<std::uint16_t>(std::min<std::uint64_t>(record.a, 65535)));
            return;
        }
        default: return;
    }
}

void Counter::record_open(std::uint64_t second) {
    figures_.open[second] = static_cast<std::uint32_t>(open_requests_.size());
}

Figures Counter::finish() {
    for (const auto& [at, first] : by_time_) {
        const auto found = calls_.find(first);
        if (found != calls_.end() && !found->second.over) count_call(first, found->second, false, at);
    }
    calls_.clear();
    by_time_.clear();
    return std::move(figures_);
}

nlohmann::json to_json(const Figures& figures, const Terms& terms) {
    using nlohmann::json;
    const auto tally = [](const Tally& t) {
        return json{{"asked", t.asked},   {"served", t.served},     {"refused", t.refused},
                    {"failed", t.failed}, {"service", t.service()}, {"worth", t.worth},
                    {"earned", t.earned}};
    };
    const auto series = [](const std::vector<Tally>& seconds, auto of) {
        json all = json::array();
        for (const Tally& t : seconds) all.push_back(of(t));
        return all;
    };
    const auto service = [](const Tally& t) { return std::round(t.service() * 1e4) / 1e4; };
    const auto latencies = [](const standins::Latencies& latency) {
        return json{{"count", latency.count()},
                    {"p50_us", latency.quantile(0.5).count()},
                    {"p90_us", latency.quantile(0.9).count()},
                    {"p99_us", latency.quantile(0.99).count()},
                    {"p999_us", latency.quantile(0.999).count()},
                    {"most_us", latency.most().count()}};
    };
    json all{{"sum", tally(figures.sum())},
             {"worst_ten_seconds", figures.worst_ten_seconds()},
             {"latency", latencies(figures.latency_all)},
             {"tries", figures.tries},
             {"attempts", figures.attempts},
             {"falls", figures.falls},
             {"faults", figures.faults},
             {"restarts", figures.restarts},
             {"settles", figures.settles}};
    all["seconds"] = {{"asked", series(figures.seconds, [](const Tally& t) { return t.asked; })},
                      {"served", series(figures.seconds, [](const Tally& t) { return t.served; })},
                      {"refused", series(figures.seconds, [](const Tally& t) { return t.refused; })},
                      {"failed", series(figures.seconds, [](const Tally& t) { return t.failed; })},
                      {"service", series(figures.seconds, service)},
                      {"open", figures.open}};
    for (std::size_t class_index = 0; class_index < terms.classes.size(); ++class_index) {
        all["classes"].push_back(
            {{"name", terms.classes[class_index].name},
             {"sum", tally(Figures::sum(figures.by_class[class_index], figures.settles))},
             {"latency", latencies(figures.latency[class_index])},
             {"service", series(figures.by_class[class_index], service)}});
    }
    for (std::size_t tenant_index = 0; tenant_index < terms.tenants.size(); ++tenant_index) {
        all["tenants"].push_back(
            {{"name", terms.tenants[tenant_index]},
             {"sum", tally(Figures::sum(figures.by_tenant[tenant_index], figures.settles))},
             {"service", series(figures.by_tenant[tenant_index], service)}});
    }
    all["load"] = figures.load;
    return all;
}

}  // namespace flaxdoor::lab
