// Where balancers hear of servers: the truth with its version, and who was told what by when. Pushed: an
// agent beside each balancer has what it was sent, and what it has counts as told. Asked: one service for
// all; what it writes counts as told.
#pragma once

#include <cstdint>
#include <vector>

#include "core/call.h"
#include "fleet/parts.h"

namespace flaxdoor::lab {

class Roster {
public:
    explicit Roster(Parts& parts);

    // The truth changes. A server that is told ready again comes back.
    void change(std::uint32_t server, Word word);

    // A balancer's process, by pool: its calls.
    void watch(std::uint32_t balancer, std::uint32_t pool);
    void unwatch(std::uint32_t balancer, std::uint32_t pool);
    void fetch(std::uint32_t balancer, std::uint32_t pool);
    void forget_calls(std::uint32_t balancer);  // the process has gone

    void tells(std::uint32_t balancer, std::uint64_t change);
    void answers(std::uint32_t balancer, std::uint32_t pool, std::uint64_t call);
    void check_watch(std::uint32_t balancer, std::uint32_t pool, std::uint64_t call);

    // A process of the balancer begins; what it knows from its start is Balancers' matter.
    void process_begins(std::uint32_t balancer);

    // Servers stand: the first list is theirs.
    void begin();
    core::MemberList first_list(std::uint32_t pool) const;

    void add_late(Micros more) { late_ += more; }
    void silence_watches();  // those that are open tell nothing from now on
    void take_down(bool on);

private:
    struct Change {
        std::uint32_t server = 0;
        Word word = Word::ready;
        core::Member member;
    };
    struct Ear {                  // of one balancer and pool
        std::uint64_t given = 0;  // changes up to here went into the core
        std::uint64_t call = 0;   // which watch; grows
        bool watching = false;
        bool silent = false;
        bool fetching = false;
        bool wanted = false;  // to be opened again
    };
    core::Member member_of(std::uint32_t server, Word word) const;
    core::MemberList whole(std::uint32_t pool, std::uint64_t upto) const;
    void send_out(std::uint64_t version);
    void give(std::uint32_t balancer, std::uint32_t pool, ListKind kind);
    void fail(std::uint32_t balancer, std::uint32_t pool);
    Ear& ear(std::uint32_t balancer, std::uint32_t pool) { return ears_[balancer * 2 + pool]; }
    void note_told(std::uint32_t balancer, std::uint64_t upto);

    Parts& parts_;
    core::MemberList first_;            // of both pools
    std::vector<Change> changes_;       // version n is after the n-th
    std::vector<std::uint64_t> agent_;  // changes up to here have come to the agent of a balancer
    std::vector<std::uint64_t> told_;   // changes up to here count as told to its process
    std::vector<Ear> ears_;
    Micros late_{};
    int down_ = 0;
};

}  // namespace flaxdoor::lab
