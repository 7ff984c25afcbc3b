#include "engine/doorway.h"

#include <openssl/rand.h>

#include <algorithm>
#include <stdexcept>

#include "engine/door_terms.h"
#include "log/events.h"
#include "settings/tables/core.h"
#include "settings/tables/door.h"

namespace flaxdoor::engine {

namespace {

namespace keys = settings::door;
constexpr std::string_view token_field = "Retry-Token";

door::Tokens::Secret new_secret() {
    door::Tokens::Secret secret{};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
        throw std::invalid_argument("[door]: no random bytes for its key");
    return secret;
}

}  // namespace

Doorway::Doorway(const World& world, const Settings& settings, const settings::Values& operators,
                 std::uint64_t seed)
    : world_(world),
      door_(std::make_unique<door::Door>(terms_of(settings, operators), world.clock.now(), seed,
                                         new_secret())) {}

Doorway::~Doorway() = default;

void Doorway::change(const Settings& settings, const settings::Values& operators) {
    door_->change(terms_of(settings, operators), world_.clock.now());
    pump();
}

door::Terms Doorway::terms_of(const Settings& settings, const settings::Values& operators) {
    const auto& table = operators.row("door");
    tells_ = settings.retry_after;
    own_limit_ = operators.get(settings::core::default_deadline);
    by_ = static_cast<By>(table.get(keys::client));
    client_header_ = table.get(keys::client_header).value_or("");
    return door_terms(settings, operators,
                      [this](const std::string& what) { world_.log.tell(log::events::door_terms, what); });
}

void Doorway::begin_drain() { door_->drain(); }

void Doorway::stop() {
    std::vector<door::Ticket> waiting;
    for (const auto& [ticket, held] : held_) {
        if (!held.handed) waiting.push_back(ticket);
    }
    for (const door::Ticket ticket : waiting) {
        door_->leave(ticket, world_.clock.now());
        core::Final final;
        final.verdict = core::Verdict::refused;
        final.cause = core::Cause::shutting_down;
        answer(ticket, std::move(final), {});
    }
}

void Doorway::on_alarm() { pump(); }

door::Figures Doorway::figures() const { return door_->figures(world_.clock.now()); }

// ------------------------------------------------------------------------------------------------ intake

core::Taken Doorway::take(core::Call call, core::Front& front, std::uint64_t token, core::CallId* id) {
    const Time now = world_.clock.now();
    if (call.received == Time{}) call.received = now;
    if (!call.name.empty() && names_.contains(call.name)) return core::Taken::name_open;

    door::Request request;
    request.tenant = call.tenant.kind == core::Tenant::Kind::known
                         ? static_cast<std::size_t>(call.tenant.number)
                         : std::numeric_limits<std::size_t>::max();
    std::string client = std::move(client_);
    if (by_ == By::key && call.key != 0) client = std::to_string(call.key);
    const std::string came_with = std::move(came_with_);
    client_.clear();
    came_with_.clear();
    request.client = client;
    request.token = came_with;
    request.class_index = call.class_index;
    request.deadline = call.received + (call.budget > Micros{} ? call.budget : own_limit_) - call.unseen;
    request.cost_hint = call.cost_hint;
    request.bytes = sizeof(Held) + 2 * call.name.size() + client.size() + bytes_;
    const auto arrival = door_->arrive(now, request);
    if (arrival.refused) {
        telling_ = tells_ ? arrival.refused->token : std::string();
        front.on_final(token, refused(*arrival.refused));
        telling_.clear();
        pump();
        return core::Taken::yes;
    }
    const door::Ticket ticket = arrival.ticket;
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
            (void)door_->end(ticket, now, door::Window::End::other);
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

void Doorway::leave(core::CallId call) {
    const auto found = held_.find(call);
    if (found == held_.end()) return;
    const Held held = std::move(found->second);
    held_.erase(found);
    names_.erase(held.call.name);
    door_->leave(call, world_.clock.now());
    if (held.handed) world_.core.leave(held.in_core);
    pump();
}

void Doorway::hand(door::Ticket ticket) {
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
    (void)door_->end(ticket, world_.clock.now(), door::Window::End::other);
    core::Final final;
    // One of its name may still run: whether a repeat is harmless is not known.
    const bool open = taken == core::Taken::name_open;
    final.verdict = open ? core::Verdict::failed : core::Verdict::refused;
    final.cause = open ? core::Cause::fault : core::Cause::no_room;
    final.may_have_run = open;
    answer(ticket, std::move(final), {});
}

void Doorway::answer(door::Ticket ticket, core::Final final, const std::string& token) {
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

core::Final Doorway::refused(const door::Refusal& refusal) const {
    core::Final final;
    final.verdict = core::Verdict::refused;
    final.cause = core::Cause::no_room;
    if (tells_) final.retry_after = refusal.retry_after;
    return final;
}

// Called from within itself it does nothing: whoever called it goes on.
void Doorway::pump() {
    if (pumping_) return;
    pumping_ = true;
    while (const auto step = door_->next(world_.clock.now())) {
        if (step->refused) {
            answer(step->ticket, refused(*step->refused), tells_ ? step->refused->token : std::string());
        } else {
            hand(step->ticket);
        }
    }
    pumping_ = false;
    if (const auto due = door_->next_due(world_.clock.now())) world_.alarm.set(*due);
}

// ----------------------------------------------------------------------------------- what was handed over

bool Doorway::on_sending(std::uint64_t token) {
    const auto found = held_.find(token);
    if (found == held_.end()) return false;
    core::Front& front = *found->second.front;
    const std::uint64_t its = found->second.token;
    door_->sending(token, world_.clock.now());
    const bool wanted = front.on_sending(its);
    pump();
    return wanted;
}

void Doorway::on_started(std::uint64_t token, std::unique_ptr<core::Payload> head) {
    const auto found = held_.find(token);
    if (found != held_.end()) found->second.front->on_started(found->second.token, std::move(head));
}

void Doorway::on_final(std::uint64_t token, core::Final final) {
    using End = door::Window::End;
    const bool no_room = final.verdict == core::Verdict::refused && final.cause == core::Cause::no_room;
    const End end = no_room                                  ? End::no_room
                    : final.verdict == core::Verdict::served ? End::served
                                                             : End::other;
    const auto told = door_->end(token, world_.clock.now(), end);
    std::string retry_token;
    if (told && tells_) {
        if (told->retry_after >= final.retry_after) retry_token = told->token;
        final.retry_after = std::max(final.retry_after, told->retry_after);
    }
    answer(token, std::move(final), retry_token);
    pump();
}

// ----------------------------------------------------------------------------------------------- handler

std::variant<http::Handler::Answer, http::Handler::Ask> Doorway::on_request(http::Request message,
                                                                            const From& from) {
    client_.clear();
    if (by_ == By::header) client_ = message.fields[client_header_];
    if (client_.empty()) client_ = from.peer().address().to_string();
    came_with_ = message.fields[token_field];
    bytes_ = message.fields.block().size() + message.target.size() + message.body.size();
    return world_.handler.on_request(std::move(message), from);
}

http::Response Doorway::on_final(core::Final final, http::Asked* asked) {
    http::Response response = world_.handler.on_final(std::move(final), asked);
    if (!telling_.empty()) response.fields.set(token_field, telling_);
    return response;
}

http::Handler::Answer Doorway::on_not_taken(core::Taken taken, http::Asked* asked) {
    return world_.handler.on_not_taken(taken, asked);
}

}  // namespace flaxdoor::engine
