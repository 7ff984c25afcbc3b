#include "engine/admission_queue_handler.h"

#include <openssl/rand.h>

#include <stdexcept>

#include "engine/admission_queue_options.h"
#include "log/events.h"
#include "settings/tables/core.h"
#include "settings/tables/door.h"

namespace flaxdoor::engine {

namespace {

namespace keys = settings::door;
constexpr std::string_view token_field = "Retry-Token";

door::RetryTokens::Secret new_secret() {
    door::RetryTokens::Secret secret{};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
        throw std::invalid_argument("[door]: no random bytes available for the key of retry tokens");
    return secret;
}

door::QueuedCallAcceptor::Options options_of(const Settings& settings, const settings::Values& operators) {
    return {settings.retry_after, operators.get(settings::core::default_deadline),
            operators.row("door").get(keys::client) == keys::Client::key};
}

std::string header_of(const settings::Values& operators) {
    return operators.row("door").get(keys::client_header).value_or("");
}

}  // namespace

AdmissionQueueHandler::AdmissionQueueHandler(const door::QueuedCallAcceptor::Dependencies& world,
                                             core::Log& log, http::Handler& handler, const Settings& settings,
                                             const settings::Values& operators, std::uint64_t seed)
    : log_(log),
      handler_(handler),
      client_header_(header_of(operators)),
      gate_(world, terms_of(settings, operators), options_of(settings, operators), seed, new_secret()) {}

door::Terms AdmissionQueueHandler::terms_of(const Settings& settings,
                                            const settings::Values& operators) const {
    return admission_queue_options(
        settings, operators, [this](const std::string& what) { log_.write(log::events::door_terms, what); });
}

void AdmissionQueueHandler::apply_settings(const Settings& settings, const settings::Values& operators) {
    gate_.change(terms_of(settings, operators), options_of(settings, operators));
    client_header_ = header_of(operators);
}

void AdmissionQueueHandler::log_figures() const {
    const door::Figures figures = gate_.figures();
    for (const auto& each : figures.tenants) {
        if (each.came == 0) continue;
        std::string line = "came " + std::to_string(each.came) + ", handed " + std::to_string(each.handed) +
                           ", left " + std::to_string(each.left) + ", waiting " +
                           std::to_string(each.waiting);
        for (std::size_t i = 0; i < door::reasons; ++i) {
            if (each.refused[i] > 0)
                line += std::string(", ") + door::text_of(static_cast<door::Reason>(i)) + " " +
                        std::to_string(each.refused[i]);
        }
        log_.write(log::events::door_tenant, each.name,
                   line + ", promised " + std::to_string(each.promised) + ", returned " +
                       std::to_string(each.returned) + ", with an invalid token " +
                       std::to_string(each.ignored));
    }
}

std::variant<http::Handler::LocalResponse, http::Handler::Forward> AdmissionQueueHandler::on_request(
    http::Request message, const ConnectionInfo& from) {
    std::string client;
    if (!client_header_.empty()) client = message.fields[client_header_];
    if (client.empty()) client = from.peer().address().to_string();
    gate_.set_next_requester(std::move(client), std::string(message.fields[token_field]),
                             message.fields.block().size() + message.target.size() + message.body.size());
    return handler_.on_request(std::move(message), from);
}

http::Response AdmissionQueueHandler::on_final(core::FinalAnswer final, http::RequestContext* asked) {
    http::Response response = handler_.on_final(std::move(final), asked);
    if (!gate_.current_retry_token().empty()) response.fields.set(token_field, gate_.current_retry_token());
    return response;
}

http::Handler::LocalResponse AdmissionQueueHandler::on_call_rejected(core::AcceptResult taken,
                                                                     http::RequestContext* asked) {
    return handler_.on_call_rejected(taken, asked);
}

}  // namespace flaxdoor::engine
