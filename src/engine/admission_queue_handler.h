// Connects the admission queue (door/gate.h) to HTTP: a handler in front of the one that interprets the requests. It
// identifies the client and adds the retry token to rejections. Without [door] it is not created, and the listener calls the
// core directly.
//
// Threading, ownership, errors: as for door::QueuedCallAcceptor.
#pragma once

#include <string>

#include "door/gate.h"
#include "http/handler.h"
#include "settings/values.h"

namespace flaxdoor::engine {

class AdmissionQueueHandler final : public http::Handler {
public:
    // `handler` interprets the requests.
    AdmissionQueueHandler(const door::QueuedCallAcceptor::Dependencies& world, core::Log& log,
                          http::Handler& handler, const Settings& settings, const settings::Values& operators,
                          std::uint64_t seed);

    door::QueuedCallAcceptor& gate() { return gate_; }
    const door::QueuedCallAcceptor& gate() const { return gate_; }
    void apply_settings(const Settings& settings, const settings::Values& operators);
    // Logs the counters of each tenant that sent requests, one line per tenant.
    void log_figures() const;

    std::variant<LocalResponse, Forward> on_request(http::Request message,
                                                    const ConnectionInfo& from) override;
    http::Response on_final(core::FinalAnswer final, http::RequestContext* asked) override;
    LocalResponse on_call_rejected(core::AcceptResult taken, http::RequestContext* asked) override;

private:
    door::Terms terms_of(const Settings& settings, const settings::Values& operators) const;

    core::Log& log_;
    http::Handler& handler_;
    std::string client_header_;  // names the client; empty: the peer's address does
    door::QueuedCallAcceptor gate_;
};

}  // namespace flaxdoor::engine
