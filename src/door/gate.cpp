#include "door/gate.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace flaxdoor::door {

QueuedCallAcceptor::QueuedCallAcceptor(const Dependencies& world, Terms terms, Options options,
                                       std::uint64_t seed, const RetryTokens::Secret& secret)
    : world_(world), options_(options), queue_(std::move(terms), world.clock.now(), seed, secret) {}

QueuedCallAcceptor::~QueuedCallAcceptor() = default;

void QueuedCallAcceptor::change(Terms terms, Options options) {
    const Terms old_terms = queue_.terms();
    queue_.change(std::move(terms), world_.clock.now());
    options_ = options;
    // Guards against a call that reaches the core under another class and is retried by that class's rules.
    const Terms& new_terms = queue_.terms();
    for (auto& [ticket, held] : calls_) {
        if (held.handed) continue;
        int& class_index = held.call.class_index;
        const auto old_class = static_cast<std::size_t>(class_index);
        const auto new_class = old_class < old_terms.classes.size()
                                   ? place_of(new_terms.classes, old_terms.classes[old_class].name)
                                   : std::nullopt;
        // A call of a removed class is refused when it is dispatched.
        class_index = new_class ? static_cast<int>(*new_class) : -1;
        if (held.call.tenant.kind != core::Tenant::Kind::known) continue;
        const auto tenant_index = static_cast<std::size_t>(held.call.tenant.number);
        const auto new_tenant = tenant_index < old_terms.tenants.size()
                                    ? place_of(new_terms.tenants, old_terms.tenants[tenant_index].name)
                                    : std::nullopt;
        held.call.tenant = new_tenant ? core::Tenant{core::Tenant::Kind::known, static_cast<int>(*new_tenant)}
                                      : core::Tenant{core::Tenant::Kind::unknown, 0};
    }
}

void QueuedCallAcceptor::set_next_requester(std::string client, std::string retry_token, std::size_t bytes) {
    request_client_ = std::move(client);
    request_token_ = std::move(retry_token);
    request_bytes_ = bytes;
}

void QueuedCallAcceptor::begin_drain() { queue_.drain(); }

void QueuedCallAcceptor::stop() {
    std::vector<Ticket> waiting;
    for (const auto& [ticket, held] : calls_) {
        if (!held.handed) waiting.push_back(ticket);
    }
    for (const Ticket ticket : waiting) {
        queue_.leave(ticket, world_.clock.now());
        core::FinalAnswer final;
        final.verdict = core::Verdict::refused;
        final.cause = core::Cause::shutting_down;
        try {
            answer(ticket, std::move(final), {});
        } catch (...) {  // the other calls are still answered
            retry_token_.clear();
        }
    }
}

void QueuedCallAcceptor::on_alarm() { run_queue(); }

Figures QueuedCallAcceptor::figures() const { return queue_.figures(world_.clock.now()); }

// ------------------------------------------------------------------------------------------------ call acceptor

core::AcceptResult QueuedCallAcceptor::accept_call(core::Call call, core::Downstream& front,
                                                   std::uint64_t token, core::CallId* id) {
    const Time now = world_.clock.now();
    if (call.received == Time{}) call.received = now;
    // Guards against a duplicate effect: a refusal by the queue states that nothing was executed, but a call
    // of the same name may have been.
    if (!call.call_id.empty() &&
        (queued_names_.contains(call.call_id) || world_.core.is_name_in_use(call.call_id)))
        return core::AcceptResult::name_in_use;

    Request request;
    request.tenant = call.tenant.kind == core::Tenant::Kind::known
                         ? static_cast<std::size_t>(call.tenant.number)
                         : std::numeric_limits<std::size_t>::max();
    std::string client = std::move(request_client_);
    if (options_.client_by_key && call.key != 0) client = std::to_string(call.key);
    const std::string retry_token = std::move(request_token_);
    request_client_.clear();
    request_token_.clear();
    request.client = client;
    request.token = retry_token;
    request.class_index = call.class_index;
    request.deadline = call.received + (call.budget > Micros{} ? call.budget : options_.default_timeout) -
                       call.network_allowance;
    request.cost_hint = call.cost_hint;
    request.bytes = sizeof(HeldCall) + 2 * call.call_id.size() + client.size() + request_bytes_;
    const auto arrival = queue_.enqueue(now, request);
    if (arrival.refused) {
        retry_token_ = options_.tells ? arrival.refused->token : std::string();
        front.on_final(token, refused_final(*arrival.refused));
        retry_token_.clear();
        run_queue();
        return core::AcceptResult::accepted;
    }
    const Ticket ticket = arrival.ticket;
    if (id) *id = ticket;
    HeldCall& held = calls_[ticket];
    held.front = &front;
    held.token = token;
    if (arrival.handed) {
        held.handed = true;
        core::CallId in_core = 0;
        const core::AcceptResult taken = world_.core.accept_call(std::move(call), *this, ticket, &in_core);
        const auto still = calls_.find(ticket);
        if (taken != core::AcceptResult::accepted) {
            (void)queue_.end(ticket, now, ConcurrencyWindow::End::other);
            calls_.erase(ticket);
        } else if (still != calls_.end()) {
            still->second.in_core = in_core;
        }
        run_queue();
        return taken;
    }
    if (!call.call_id.empty()) queued_names_.insert(call.call_id);
    held.call = std::move(call);
    run_queue();
    return core::AcceptResult::accepted;
}

void QueuedCallAcceptor::abandon_call(core::CallId call) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return;
    const HeldCall held = std::move(found->second);
    calls_.erase(found);
    queued_names_.erase(held.call.call_id);
    queue_.leave(call, world_.clock.now());
    if (held.handed) world_.core.abandon_call(held.in_core);
    run_queue();
}

void QueuedCallAcceptor::dispatch(Ticket ticket) {
    HeldCall& held = calls_.at(ticket);
    held.handed = true;
    queued_names_.erase(held.call.call_id);
    core::CallId in_core = 0;
    const core::AcceptResult taken = world_.core.accept_call(std::move(held.call), *this, ticket, &in_core);
    const auto still = calls_.find(ticket);
    if (still == calls_.end()) return;  // already answered
    still->second.call = {};
    still->second.in_core = in_core;
    if (taken == core::AcceptResult::accepted) return;
    (void)queue_.end(ticket, world_.clock.now(), ConcurrencyWindow::End::other);
    core::FinalAnswer final;
    // A call of the same name may still be running, so it is not known whether a retry is safe.
    const bool open = taken == core::AcceptResult::name_in_use;
    final.verdict = open ? core::Verdict::failed : core::Verdict::refused;
    final.cause = open ? core::Cause::fault : core::Cause::no_capacity;
    final.may_have_run = open;
    answer(ticket, std::move(final), {});
}

void QueuedCallAcceptor::answer(Ticket ticket, core::FinalAnswer final, const std::string& token) {
    const auto found = calls_.find(ticket);
    if (found == calls_.end()) return;
    core::Downstream& front = *found->second.front;
    const std::uint64_t front_token = found->second.token;
    queued_names_.erase(found->second.call.call_id);
    calls_.erase(found);
    retry_token_ = token;
    front.on_final(front_token, std::move(final));
    retry_token_.clear();
}

core::FinalAnswer QueuedCallAcceptor::refused_final(const Refusal& refusal) const {
    core::FinalAnswer final;
    final.verdict = core::Verdict::refused;
    final.cause = core::Cause::no_capacity;
    if (options_.tells) final.retry_after = refusal.retry_after;
    return final;
}

// Answers a call whose dispatch threw an exception. Its state is not known any more.
void QueuedCallAcceptor::fail(Ticket ticket) noexcept {
    try {
        (void)queue_.end(ticket, world_.clock.now(), ConcurrencyWindow::End::other);
        core::FinalAnswer final;
        final.cause = core::Cause::fault;
        final.may_have_run = true;
        answer(ticket, std::move(final), {});
    } catch (...) {  // the downstream has been notified as far as possible
        retry_token_.clear();
    }
}

// Performs all pending actions of the queue. A nested call does nothing, since the outer one continues.
void QueuedCallAcceptor::run_queue() {
    if (running_queue_) return;
    running_queue_ = true;
    while (const auto step = queue_.next(world_.clock.now())) {
        // As in the core, an exception of a downstream ends its own step only and does not affect other
        // calls.
        try {
            if (step->refused) {
                answer(step->ticket, refused_final(*step->refused),
                       options_.tells ? step->refused->token : std::string());
            } else {
                dispatch(step->ticket);
            }
        } catch (...) {
            fail(step->ticket);
        }
    }
    running_queue_ = false;
    if (const auto due = queue_.next_deadline(world_.clock.now())) world_.alarm.set(*due);
}

// --------------------------------------------------------------------------------------- dispatched calls

bool QueuedCallAcceptor::on_sending(std::uint64_t token) {
    const auto found = calls_.find(token);
    if (found == calls_.end()) return false;
    core::Downstream& front = *found->second.front;
    const std::uint64_t front_token = found->second.token;
    queue_.on_first_byte(token, world_.clock.now());
    const bool wanted = front.on_sending(front_token);
    run_queue();
    return wanted;
}

void QueuedCallAcceptor::on_started(std::uint64_t token, std::unique_ptr<core::Payload> head) {
    const auto found = calls_.find(token);
    if (found != calls_.end()) found->second.front->on_started(found->second.token, std::move(head));
}

void QueuedCallAcceptor::on_final(std::uint64_t token, core::FinalAnswer final) {
    using End = ConcurrencyWindow::End;
    const bool no_room = final.verdict == core::Verdict::refused && final.cause == core::Cause::no_capacity;
    const End end = no_room                                  ? End::no_room
                    : final.verdict == core::Verdict::served ? End::served
                                                             : End::other;
    const auto refusal = queue_.end(token, world_.clock.now(), end);
    std::string retry_token;
    if (refusal && options_.tells) {
        if (refusal->retry_after >= final.retry_after) retry_token = refusal->token;
        final.retry_after = std::max(final.retry_after, refusal->retry_after);
    }
    try {
        answer(token, std::move(final), retry_token);
    } catch (...) {
        run_queue();  // another call can be dispatched nevertheless
        throw;
    }
    run_queue();
}

}  // namespace flaxdoor::door
