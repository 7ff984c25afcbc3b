#include "real/callers.h"

#include <algorithm>

#include "fleet/parts.h"
#include "standins/http_text.h"

namespace flaxdoor::lab::real {

namespace {

// So long after its client's time an answer is still looked for, so that the judge sees one that is late.
constexpr std::uint64_t looks_on = 200'000;

}  // namespace

Callers::Callers(const Experiment& part, const Script& script, const std::vector<std::uint8_t>& zones,
                 Recorder& recorder, Wires& wires)
    : part_(part), script_(script), zones_(zones), recorder_(recorder), wires_(wires) {
    front_.resize(part.fleet.zones.size());
}

std::optional<std::uint64_t> Callers::next() const {
    std::optional<std::uint64_t> at;
    if (next_call_ < script_.calls.size()) at = script_.calls[next_call_].due;
    if (!timers_.empty()) at = std::min(at.value_or(timers_.top().at), timers_.top().at);
    return at;
}

void Callers::advance(std::uint64_t now) {
    while (next_call_ < script_.calls.size() && script_.calls[next_call_].due <= now) {
        const auto place = static_cast<std::uint32_t>(next_call_++);
        send(place, 0, script_.calls[place].due, now);
    }
    while (!timers_.empty() && timers_.top().at <= now) {
        const Timer timer = timers_.top();
        timers_.pop();
        if (timer.what == What::repeats) {
            --repeats_to_come_;
            if (timer.at < static_cast<std::uint64_t>(part_.lasts.count())) {
                send(static_cast<std::uint32_t>(timer.call >> 3U), static_cast<int>(timer.call & 7U),
                     timer.at, now);
            }
            continue;
        }
        const auto found = open_.find(timer.call);
        if (found == open_.end()) continue;
        if (timer.what == What::forgets) {
            open_.erase(found);
            wires_.leave(timer.call);
            continue;
        }
        if (found->second.over) continue;
        found->second.over = true;
        const Open over = found->second;
        recorder_.note(now, Event::gave_up, script_.calls[over.place].client, over.balancer, timer.call);
        if (timer.what == What::leaves) {
            open_.erase(found);
            wires_.leave(timer.call);
        } else {
            timers_.push({now + looks_on, timer.call, What::forgets});
        }
        again(timer.call, over, false, Micros{0}, now);
    }
}

void Callers::send(std::uint32_t place, int number, std::uint64_t due, std::uint64_t now) {
    const PlannedCall& its = script_.calls[place];
    const CallClass& its_class = part_.classes[static_cast<std::size_t>(its.class_index)];
    const std::uint64_t call = its.first << 3U | static_cast<std::uint64_t>(number);
    Stream stream = stream_of_try(part_.seed, its.first, number);
    const DrawnTry drawn = draw_try(part_.clients, its_class.told.deadline, stream);
    const std::vector<std::uint32_t>* front = &front_[its.zone];
    for (std::size_t z = 0; front->empty() && z < front_.size(); ++z) front = &front_[z];
    const bool nobody = front->empty();
    const std::uint32_t balancer =
        nobody ? 0 : (*front)[static_cast<std::size_t>(drawn.pick * static_cast<double>(front->size()))];
    lag_most_ = std::max(lag_most_, now - due);
    // It waits from its sending, and its latency counts from when it was due.
    const auto patience = static_cast<std::uint64_t>(drawn.patience.count());
    const Asked asked{static_cast<std::uint8_t>(its.class_index), its.zone,
                      static_cast<std::uint16_t>(std::max(0, its.tenant)), its.key};
    recorder_.note(due, Event::asked, its.client, balancer, call, now + patience - due, asked.packed());
    if (number > 0) {
        recorder_.note(due, Event::repeats, its.client, balancer, call,
                       its.first << 3U | static_cast<std::uint64_t>(number - 1));
    }
    const Open open{place, number, balancer, false, false};
    if (nobody) {
        recorder_.note(now, Event::unreached, its.client, balancer, call);
        return again(call, open, false, Micros{0}, now);
    }
    open_.emplace(call, open);
    sent_.emplace(call, Sent{balancer, its.work});
    timers_.push({now + patience, call, What::gives_up});
    if (drawn.leaves && *drawn.leaves < drawn.patience) {
        timers_.push({now + static_cast<std::uint64_t>(drawn.leaves->count()), call, What::leaves});
    }
    standins::Call text;
    text.call_id = standins::hex(call);
    text.cls = its_class.told.name;
    text.kind = its_class.told.effect == Effect::safe    ? standins::CallKind::safe
                : its_class.told.effect == Effect::keyed ? standins::CallKind::keyed
                                                         : standins::CallKind::unsafe;
    // One key for all tries of a call.
    if (text.kind == standins::CallKind::keyed) text.key = standins::hex(its.first) + standins::hex(its.key);
    if (its.tenant >= 0) text.caller = part_.tenants[static_cast<std::size_t>(its.tenant)].told.name;
    if (its.key != 0) text.about = standins::hex(its.key);
    text.budget_ms = static_cast<int>(patience / 1000);
    text.again = number > 0;
    wires_.send(balancer, call, text);
}

void Callers::taken(std::uint64_t call, std::uint64_t now) {
    const auto found = open_.find(call);
    if (found == open_.end() || found->second.taken) return;
    found->second.taken = true;
    recorder_.note(now, Event::taken, found->second.balancer, script_.calls[found->second.place].client,
                   call);
}

void Callers::answered(std::uint64_t call, Verdict verdict, Micros retry_after, std::uint64_t now) {
    const auto found = open_.find(call);
    if (found == open_.end()) return;
    const Open its = found->second;
    open_.erase(found);
    const std::uint32_t client = script_.calls[its.place].client;
    const auto a = static_cast<std::uint64_t>(verdict), b = static_cast<std::uint64_t>(retry_after.count());
    recorder_.note(now, Event::final_answer, its.balancer, client, call, a, b);
    if (its.over) return;
    recorder_.note(now, Event::received, client, its.balancer, call, a, b);
    if (verdict != Verdict::served) again(call, its, verdict == Verdict::refused, retry_after, now);
}

void Callers::answered_again(std::uint64_t call, Verdict verdict, std::uint64_t now) {
    const Sent* const sent = find(call);
    recorder_.note(now, Event::final_answer, sent ? sent->balancer : 0, 0, call,
                   static_cast<std::uint64_t>(verdict));
}

void Callers::broken(std::uint64_t call, bool killed, std::uint64_t now) {
    const auto found = open_.find(call);
    if (found == open_.end()) return;
    // A balancer that lives and lets a connection go owes the answer: that its client does not wait for one
    // any more is no excuse, so the judge is not told that it went.
    const Open its = found->second;
    const bool owed = its.taken && !killed;
    open_.erase(found);
    if (its.over) return;
    if (!owed) {
        recorder_.note(now, Event::unreached, script_.calls[its.place].client, its.balancer, call,
                       its.taken ? 1 : 0);
    }
    again(call, its, false, Micros{0}, now);
}

void Callers::again(std::uint64_t call, const Open& over, bool refused, Micros retry_after,
                    std::uint64_t now) {
    const PlannedCall& its = script_.calls[over.place];
    const bool unsafe =
        part_.classes[static_cast<std::size_t>(its.class_index)].told.effect == flaxdoor::Effect::unsafe;
    const auto wait =
        asks_again(part_.clients, part_.seed, {call, over.number, unsafe, refused, retry_after});
    if (!wait) return;
    ++repeats_to_come_;
    timers_.push({now + static_cast<std::uint64_t>(wait->count()),
                  std::uint64_t{over.place} << 3U | static_cast<std::uint64_t>(over.number + 1),
                  What::repeats});
}

const Callers::Sent* Callers::find(std::uint64_t call) const {
    const auto found = sent_.find(call);
    return found == sent_.end() ? nullptr : &found->second;
}

void Callers::front_takes(std::uint32_t balancer) {
    auto& front = front_[zones_[balancer]];
    const auto place = std::lower_bound(front.begin(), front.end(), balancer);
    if (place == front.end() || *place != balancer) front.insert(place, balancer);
}

void Callers::front_forgets(std::uint32_t balancer) { std::erase(front_[zones_[balancer]], balancer); }

}  // namespace flaxdoor::lab::real
