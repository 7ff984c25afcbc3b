#include "http/platform_handler.h"

#include "http/calls.h"

namespace flaxdoor::http {

std::variant<Handler::LocalResponse, Handler::Forward> PlatformHandler::on_request(
    Request message, const ConnectionInfo& from) {
    switch (route_of(message)) {
        case Route::ready: return LocalResponse{readiness_response(!from.draining)};
        case Route::unknown: return LocalResponse{plain_answer(404), true};
        case Route::api: break;
    }
    const Settings* const settings = core_.settings(pool_);
    if (!settings) return LocalResponse{rejection_response({})};
    auto understood = parse_client_request(std::move(message), *settings);
    if (const auto* invalid = std::get_if<InvalidRequest>(&understood))
        return LocalResponse{plain_answer(400, invalid->why), true};
    return Forward{make_call(std::get<ClientRequest>(std::move(understood)), pool_, client_network_allowance),
                   nullptr};
}

Response PlatformHandler::on_final(core::FinalAnswer final, RequestContext*) {
    return make_response(std::move(final));
}

Handler::LocalResponse PlatformHandler::on_call_rejected(core::AcceptResult taken, RequestContext*) {
    CallRejection rejection = make_response(taken);
    return {std::move(rejection.answer), rejection.close_connection};
}

}  // namespace flaxdoor::http
