// The door (door/gate.h) for HTTP: a handler that reads who asks, ahead of the one that knows what the requests
// mean, and puts the token to come back with into a refusal. Without [door] there is none, and the front calls
// the core.
//
// Threading, ownership, errors: as of the gate.
#pragma once

#include <string>

#include "door/gate.h"
#include "http/handler.h"
#include "settings/values.h"

namespace flaxdoor::engine {

class Doorway final : public http::Handler {
public:
    // `handler`: what the requests mean.
    Doorway(const door::Gate::World& world, core::Log& log, http::Handler& handler, const Settings& settings,
            const settings::Values& operators, std::uint64_t seed);

    door::Gate& gate() { return gate_; }
    const door::Gate& gate() const { return gate_; }
    void change(const Settings& settings, const settings::Values& operators);
    // One line for each tenant, to the log.
    void tell() const;

    std::variant<Answer, Ask> on_request(http::Request message, const From& from) override;
    http::Response on_final(core::Final final, http::Asked* asked) override;
    Answer on_not_taken(core::Taken taken, http::Asked* asked) override;

private:
    door::Terms terms_of(const Settings& settings, const settings::Values& operators) const;

    core::Log& log_;
    http::Handler& handler_;
    std::string client_header_;  // empty: the address
    door::Gate gate_;
};

}  // namespace flaxdoor::engine
