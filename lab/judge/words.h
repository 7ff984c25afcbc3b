// The last notification of each balancer about each server, and rule 3: no new attempt goes to a server later than
// the grace period after the balancer was notified that the server drains or is gone. A notification `ready` ends the
// drain. A restarted balancer has no notifications.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "judge/findings.h"
#include "trace/record.h"
#include "trace/terms.h"

namespace flaxdoor::lab {

class Words {
public:
    Words(const Terms& terms, Findings& findings) : terms_(terms), findings_(findings) {}

    void told(const Record& told);
    void began_anew(std::uint32_t balancer) { words_.erase(balancer); }
    void sending(const Record& sending);
    // Returns whether the balancer was notified that the server's process started at that time.
    [[nodiscard]] bool told_of_start(std::uint32_t balancer, std::uint32_t server, std::uint64_t began) const;

    std::size_t held() const;

private:
    struct Last {
        std::optional<std::uint64_t> leaving_since;
        std::uint64_t began = 0;  // start of the server's process as announced; 0 for long ago
    };
    const Last* find(std::uint32_t balancer, std::uint32_t server) const;

    const Terms& terms_;
    Findings& findings_;
    std::unordered_map<std::uint32_t, std::unordered_map<std::uint32_t, Last>> words_;
};

}  // namespace flaxdoor::lab
