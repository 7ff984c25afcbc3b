#include "door/gate.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace flaxdoor::door {

Gate::Gate(const World& world, Terms terms, Options options, std::uint64_t seed, const Tokens::Secret& secret)
    : world_(world), options_(options), door_(std::move(terms), world.clock.now(), seed, secret) {}

Gate::~Gate() = default;

void Gate::change(Terms terms, Options options) {
    const Terms old = door_.terms();
    door_.change(std::move(terms), world_.clock.now());
    options_ = options;
    // Guards against a call that goes to the core as one of another class, and is tried again as that may be.
    const Terms& now = door_.terms();
    for (auto& [ticket, held] : held_) {
        if (held.handed) continue;
        int& its_class = held.call.class_index;
        const auto was = static_cast<std::size_t>(its_class);
        const auto place =
            was < old.classes.size() ? place_of(now.classes, old.classes[was].name) : std::nullopt;
        its_class = place ? static_cast<int>(*place) : -1;  // it is refused when its turn comes
        if (held.call.tenant.kind != core::Tenant::Kind::known) continue;
        const auto who = static_cast<std::size_t>(held.call.tenant.number);
        const auto home =
            who < old.tenants.size() ? place_of(now.tenants, old.tenants[who].name) : std::nullopt;
        held.call.tenant = home ? core::Tenant{core::Tenant::Kind::known, static_cast<int>(*home)}
                                : core::Tenant{core::Tenant::Kind::unknown, 0};
    }
}

void Gate::asked_by(std::string client, std::string came_with, std::size_t bytes) {
    client_ = std::move(client);
    came_with_ = std::move(came_with);
    bytes_ = bytes;
}

void Gate::begin_drain() { door_.drain(); }

void Gate::stop() {
    std::vector<Ticket> waiting;
    for (const auto& [ticket, held] : held_) {
        if (!held.handed) waiting.push_back(ticket);
    }
    for (const Ticket ticket : waiting) {
        door_.leave(ticket, world_.clock.now());
        core::Final final;
        final.verdict = core::Verdict::refused;
        final.cause = core::Cause::shutting_down;
        try {
            answer(ticket, std::move(final), {});
        } catch (...) {  // the others are told all the same
            telling_.clear();
        }
    }
}

void Gate::on_alarm() { pump(); }

Figures Gate::figures() const { return door_.figures(world_.clock.now()); }

// ------------------------------------------------------------------------------------------------ intake

core::Taken Gate::take(core::Call call, core::Front& front, std::uint64_t token, core::CallId* id) {
    const Time now = world_.clock.now();
    if (call.received == Time{}) call.received = now;
    // Guards against an effect twice: a refusal here says that nothing ran, and one of its name may have.
    if (!call.name.empty() && (names_.contains(call.name) || world_.core.name_open(call.name)))
        return core::Taken::name_open;

    Request request;
    request.tenant = call.tenant.kind == core::Tenant::Kind::known
                         ? static_cast<std::size_t>(call.tenant.number)
                         : std::numeric_limits<std::size_t>::max();
    std::string client = std::move(client_);
    if (options_.client_by_key && call.key != 0) client = std::to_string(call.key);
    const std::string came_with = std::move(came_with_);
    client_.clear();
    came_with_.clear();
    request.client = client;
    request.token = came_with;
    request.class_index = call.class_index;
    request.deadline =
        call.received + (call.budget > Micros{} ? call.budget : options_.own_limit) - call.unseen;
    request.cost_hint = call.cost_hint;
    request.bytes = sizeof(Held) + 2 * call.name.size() + client.size() + bytes_;
    const auto arrival = door_.arrive(now, request);
    if (arrival.refused) {
        telling_ = options_.tells ? arrival.refused->token : std::string();
        front.on_final(token, refused(*arrival.refused));
        telling_.clear();
        pump();
        return core::Taken::yes;
    }
    const Ticket ticket = arrival.ticket;
    if (id) *id = ticket;
    Held& held = held_[ticket];
    held.front = &front;
    held.token = token;
    if (arrival.handed) {
        held.handed = true;
        core::CallId in_core = 0;
        const core::Taken taken = world_.core.take(std::move(call), *this, ticket, &in_core);
        const auto still = held_.find(ticket);
        if (taken != core::Taken::yes) {
            (void)door_.end(ticket, now, Window::End::other);
            held_.erase(ticket);
        } else if (still != held_.end()) {
            still->second.in_core = in_core;
        }
        pump();
        return taken;
    }
    if (!call.name.empty()) names_.insert(call.name);
    held.call = std::move(call);
    pump();
    return core::Taken::yes;
}

void Gate::leave(core::CallId call) {
    const auto found = held_.find(call);
    if (found == held_.end()) return;
    const Held held = std::move(found->second);
    held_.erase(found);
    names_.erase(held.call.name);
    door_.leave(call, world_.clock.now());
    if (held.handed) world_.core.leave(held.in_core);
    pump();
}

void Gate::hand(Ticket ticket) {
    Held& held = held_.at(ticket);
    held.handed = true;
    names_.erase(held.call.name);
    core::CallId in_core = 0;
    const core::Taken taken = world_.core.take(std::move(held.call), *this, ticket, &in_core);
    const auto still = held_.find(ticket);
    if (still == held_.end()) return;  // answered already
    still->second.call = {};
    still->second.in_core = in_core;
    if (taken == core::Taken::yes) return;
    (void)door_.end(ticket, world_.clock.now(), Window::End::other);
    core::Final final;
    // One of its name may still run: whether a repeat is harmless is not known.
    const bool open = taken == core::Taken::name_open;
    final.verdict = open ? core::Verdict::failed : core::Verdict::refused;
    final.cause = open ? core::Cause::fault : core::Cause::no_room;
    final.may_have_run = open;
    answer(ticket, std::move(final), {});
}

void Gate::answer(Ticket ticket, core::Final final, const std::string& token) {
    const auto found = held_.find(ticket);
    if (found == held_.end()) return;
    core::Front& front = *found->second.front;
    const std::uint64_t its = found->second.token;
    names_.erase(found->second.call.name);
    held_.erase(found);
    telling_ = token;
    front.on_final(its, std::move(final));
    telling_.clear();
}

core::Final Gate::refused(const Refusal& refusal) const {
    core::Final final;
    final.verdict = core::Verdict::refused;
    final.cause = core::Cause::no_room;
    if (options_.tells) final.retry_after = refusal.retry_after;
    return final;
}

// One whose handing over met an error: nothing is known of it here any more.
void Gate::give_up(Ticket ticket) noexcept {
    try {
        (void)door_.end(ticket, world_.clock.now(), Window::End::other);
        core::Final final;
        final.cause = core::Cause::fault;
        final.may_have_run = true;
        answer(ticket, std::move(final), {});
    } catch (...) {  // its front has heard of it as far as it can
        telling_.clear();
    }
}

// Called from within itself it does nothing: whoever called it goes on.
void Gate::pump() {
    if (pumping_) return;
    pumping_ = true;
    while (const auto step = door_.next(world_.clock.now())) {
        // What a front throws ends its own step, as in the core; nobody else's answer hangs on it.
        try {
            if (step->refused) {
                answer(step->ticket, refused(*step->refused),
                       options_.tells ? step->refused->token : std::string());
            } else {
                hand(step->ticket);
            }
        } catch (...) {
            give_up(step->ticket);
        }
    }
    pumping_ = false;
    if (const auto due = door_.next_due(world_.clock.now())) world_.alarm.set(*due);
}

// ----------------------------------------------------------------------------------- what was handed over

bool Gate::on_sending(std::uint64_t token) {
    const auto found = held_.find(token);
    if (found == held_.end()) return false;
    core::Front& front = *found->second.front;
    const std::uint64_t its = found->second.token;
    door_.sending(token, world_.clock.now());
    const bool wanted = front.on_sending(its);
    pump();
    return wanted;
}

void Gate::on_started(std::uint64_t token, std::unique_ptr<core::Payload> head) {
    const auto found = held_.find(token);
    if (found != held_.end()) found->second.front->on_started(found->second.token, std::move(head));
}

void Gate::on_final(std::uint64_t token, core::Final final) {
    using End = Window::End;
    const bool no_room = final.verdict == core::Verdict::refused && final.cause == core::Cause::no_room;
    const End end = no_room                                  ? End::no_room
                    : final.verdict == core::Verdict::served ? End::served
                                                             : End::other;
    const auto told = door_.end(token, world_.clock.now(), end);
    std::string retry_token;
    if (told && options_.tells) {
        if (told->retry_after >= final.retry_after) retry_token = told->token;
        final.retry_after = std::max(final.retry_after, told->retry_after);
    }
    try {
        answer(token, std::move(final), retry_token);
    } catch (...) {
        pump();  // there is room for another one all the same
        throw;
    }
    pump();
}

}  // namespace flaxdoor::door
