// Simulated service discovery: the versioned list of servers, and which balancer was notified of which change.
// In pushed mode an agent beside each balancer receives the changes; a change counts as notified once the agent
// has it. In asked mode one service answers all balancers; a change counts as notified once the service sends it.
#pragma once

#include <cstdint>
#include <vector>

#include "core/call.h"
#include "fleet/parts.h"

namespace flaxdoor::lab {

class Roster {
public:
    explicit Roster(Parts& parts);

    // Changes the state of a server. Announcing `ready` lists a removed server again.
    void change(std::uint32_t server, Word word);

    // Requests of a balancer's process, for one pool.
    void watch(std::uint32_t balancer, std::uint32_t pool);
    void unwatch(std::uint32_t balancer, std::uint32_t pool);
    void fetch(std::uint32_t balancer, std::uint32_t pool);
    void forget_calls(std::uint32_t balancer);  // the process has ended

    void deliver_changes(std::uint32_t balancer, std::uint64_t change);
    void respond(std::uint32_t balancer, std::uint32_t pool, std::uint64_t call);
    void check_watch(std::uint32_t balancer, std::uint32_t pool, std::uint64_t call);

    // Called when a process of the balancer starts. Balancers provides the list that the process starts with.
    void process_begins(std::uint32_t balancer);

    // Takes the first list from the servers. Requires that the servers have started.
    void begin();
    core::MemberList first_list(std::uint32_t pool) const;

    void add_late(Micros more) { added_delay_ += more; }
    void silence_watches();  // the watches that are open deliver nothing from now on
    void take_down(bool on);

private:
    struct Change {
        std::uint32_t server = 0;
        Word word = Word::ready;
        core::Member member;
    };
    // The state of one balancer's requests for one pool.
    struct Subscription {
        std::uint64_t delivered = 0;  // version that the core has received
        std::uint64_t call = 0;       // number of the current watch; increases
        bool watching = false;
        bool silent = false;
        bool fetching = false;
        bool wanted = false;  // the watch is to be opened again
    };
    core::Member member_of(std::uint32_t server, Word word) const;
    core::MemberList full_list(std::uint32_t pool, std::uint64_t last_version) const;
    void announce(std::uint64_t version);
    void deliver(std::uint32_t balancer, std::uint32_t pool, ListKind kind);
    void fail_requests(std::uint32_t balancer, std::uint32_t pool);
    Subscription& subscription(std::uint32_t balancer, std::uint32_t pool) {
        return subscriptions_[balancer * 2 + pool];
    }
    void record_notified(std::uint32_t balancer, std::uint64_t last_version);

    Parts& parts_;
    core::MemberList first_;                        // members of both pools
    std::vector<Change> changes_;                   // version n is the state after change n
    std::vector<std::uint64_t> agent_versions_;     // version that a balancer's agent has received
    std::vector<std::uint64_t> notified_versions_;  // version that counts as notified to a balancer's process
    std::vector<Subscription> subscriptions_;
    Micros added_delay_{};
    int outages_ = 0;
};

}  // namespace flaxdoor::lab
