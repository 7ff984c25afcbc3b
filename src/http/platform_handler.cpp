#include "http/platform_handler.h"

#include "http/calls.h"

namespace flaxdoor::http {

std::variant<Handler::Answer, Handler::Ask> PlatformHandler::on_request(Request message, const From& from) {
    switch (route_of(message)) {
        case Route::ready: return Answer{readiness(!from.draining)};
        case Route::unknown: return Answer{plain_answer(404), true};
        case Route::api: break;
    }
    const Settings* const settings = core_.settings(pool_);
    if (!settings) return Answer{refusal({})};
    auto understood = understand(std::move(message), *settings);
    if (const auto* invalid = std::get_if<NotUnderstood>(&understood))
        return Answer{plain_answer(400, invalid->why), true};
    return Ask{call_of(std::get<ClientRequest>(std::move(understood)), pool_, client_ways), nullptr};
}

Response PlatformHandler::on_final(core::Final final, Asked*) { return answer_of(std::move(final)); }

Handler::Answer PlatformHandler::on_not_taken(core::Taken taken, Asked*) {
    NotTaken rejection = answer_of(taken);
    return {std::move(rejection.answer), rejection.last};
}

}  // namespace flaxdoor::http
