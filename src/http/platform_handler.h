// The handler of the platform's routes (platform.h): /api, which is forwarded to one pool, and readiness checks.
#pragma once

#include "http/handler.h"

namespace flaxdoor::http {

class PlatformHandler final : public Handler {
public:
    // Borrows the core, which must outlive the handler.
    PlatformHandler(core::Core& core, core::PoolId pool) : core_(core), pool_(pool) {}

    std::variant<LocalResponse, Forward> on_request(Request message, const ConnectionInfo& from) override;
    Response on_final(core::FinalAnswer final, RequestContext* asked) override;
    LocalResponse on_call_rejected(core::AcceptResult taken, RequestContext* asked) override;

private:
    core::Core& core_;
    const core::PoolId pool_;
};

}  // namespace flaxdoor::http
