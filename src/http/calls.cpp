#include "http/calls.h"

namespace flaxdoor::http {

namespace {

// A tenant that the settings do not define is treated like a missing one.
core::Tenant tenant_of(const ClientRequest& request) {
    if (!request.facts.tenant) return {core::Tenant::Kind::unknown, 0};
    return {core::Tenant::Kind::known, *request.facts.tenant};
}

}  // namespace

core::Call make_call(ClientRequest request, core::PoolId pool, Micros unseen) {
    core::Call call;
    call.pool = pool;
    call.class_index = request.facts.class_index;
    call.call_id = std::move(request.call_id);
    call.tenant = tenant_of(request);
    call.key = request.facts.key;
    call.budget = request.budget;
    call.network_allowance = unseen;
    call.cost_hint = request.facts.cost_hint;
    call.client_retry = request.facts.client_retry;
    prepare_upstream_request(request.message);
    call.payload = std::make_shared<RequestPayload>(std::move(request.message));
    return call;
}

Response make_response(core::FinalAnswer final) {
    switch (final.verdict) {
        case core::Verdict::served: {
            Response message = std::move(static_cast<ResponsePayload&>(*final.answer).message);
            prepare_client_response(message);
            return message;
        }
        case core::Verdict::refused: return rejection_response(final.retry_after);
        case core::Verdict::failed: break;
    }
    return error_response(final.cause == core::Cause::watchdog ? 504 : 502);
}

CallRejection make_response(core::AcceptResult taken) {
    switch (taken) {
        case core::AcceptResult::name_in_use:
            return {plain_answer(409, "a request of this X-Call-Id may still run"), true};
        case core::AcceptResult::unknown_tenant: return {plain_answer(403, "X-Caller names no tenant"), true};
        case core::AcceptResult::bad_class: return {plain_answer(400, "X-Call-Class names no class"), true};
        case core::AcceptResult::accepted:
        case core::AcceptResult::no_pool:
        case core::AcceptResult::too_many:
        case core::AcceptResult::shutting_down: break;
    }
    return {rejection_response({}), false};
}

}  // namespace flaxdoor::http
