// Connects the admission queue (door/gate.h) to HTTP: a handler in front of the one that interprets the requests. It
// identifies the client and adds the retry token to rejections. Without [door] it is not created, and the listener calls the
// core directly.
//
// Threading, ownership, errors: as for door::Gate.
#pragma once

#include <string>

#include "door/gate.h"
#include "http/handler.h"
#include "settings/values.h"

namespace flaxdoor::engine {

class AdmissionQueueHandler final : public http::Handler {
public:
    // `handler` interprets the requests.
    AdmissionQueueHandler(const door::Gate::World& world, core::Log& log, http::Handler& handler,
                          const Settings& settings, const settings::Values& operators, std::uint64_t seed);

    door::Gate& gate() { return gate_; }
    const door::Gate& gate() const { return gate_; }
    void apply_settings(const Settings& settings, const settings::Values& operators);
    // Logs the counters of each tenant that sent requests, one line per tenant.
    void log_figures() const;

    std::variant<Answer, Ask> on_request(http::Request message, const From& from) override;
    http::Response on_final(core::Final final, http::Asked* asked) override;
    Answer on_not_taken(core::Taken taken, http::Asked* asked) override;

private:
    door::Terms terms_of(const Settings& settings, const settings::Values& operators) const;

    core::Log& log_;
    http::Handler& handler_;
    std::string client_header_;  // names the client; empty: the peer's address does
    door::Gate gate_;
};

}  // namespace flaxdoor::engine
