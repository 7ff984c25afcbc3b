#include "http/calls.h"

namespace flaxdoor::http {

namespace {

// A tenant that the settings do not define is treated like a missing one.
core::Tenant tenant_of(const ClientRequest& request) {
    if (!request.facts.tenant) return {core::Tenant::Kind::unknown, 0};
    return {core::Tenant::Kind::known, *request.facts.tenant};
}

}  // namespace

core::Call call_of(ClientRequest request, core::PoolId pool, Micros unseen) {
    core::Call call;
    call.pool = pool;
    call.class_index = request.facts.class_index;
    call.name = std::move(request.call_id);
    call.tenant = tenant_of(request);
    call.key = request.facts.key;
    call.budget = request.budget;
    call.unseen = unseen;
    call.cost_hint = request.facts.cost_hint;
    call.client_retry = request.facts.client_retry;
    make_onward(request.message);
    call.payload = std::make_shared<RequestPayload>(std::move(request.message));
    return call;
}

Response answer_of(core::Final final) {
    switch (final.verdict) {
        case core::Verdict::served: {
            Response message = std::move(static_cast<ResponsePayload&>(*final.answer).message);
            make_homeward(message);
            return message;
        }
        case core::Verdict::refused: return refusal(final.retry_after);
        case core::Verdict::failed: break;
    }
    return failure(final.cause == core::Cause::overdue ? 504 : 502);
}

NotTaken answer_of(core::Taken taken) {
    switch (taken) {
        case core::Taken::name_open:
            return {plain_answer(409, "a request of this X-Call-Id may still run"), true};
        case core::Taken::unknown_tenant: return {plain_answer(403, "X-Caller names no tenant"), true};
        case core::Taken::bad_class: return {plain_answer(400, "X-Call-Class names no class"), true};
        case core::Taken::yes:
        case core::Taken::no_pool:
        case core::Taken::too_many:
        case core::Taken::shutting_down: break;
    }
    return {refusal({}), false};
}

}  // namespace flaxdoor::http
