// The rosters of real mode: a stand-in for each balancer, as an agent on its machine, told each change when the
// script says that this balancer is; and what it wrote to its balancer, as `told` records.
//
// Threading: on the thread of the io_context, which must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "experiment/experiment.h"
#include "real/nodes.h"
#include "real/recorder.h"
#include "standins/roster.h"
#include "trace/record.h"
#include "trace/terms.h"

namespace flaxdoor::lab::real {

class Rosters {
public:
    // All borrowed. `first`: the servers of the beginning.
    Rosters(boost::asio::io_context& loop, const Experiment& part, const Terms& terms, const Nodes& nodes,
            const std::vector<std::uint32_t>& first, Recorder& recorder);

    void tell(std::uint32_t balancer, std::uint32_t server, Word word);
    // A process of this balancer starts: it has been told nothing.
    void process_begins(std::uint32_t balancer) { agents_[balancer].noted = 0; }
    [[nodiscard]] std::string address(std::uint32_t balancer) const;
    [[nodiscard]] bool heard_by_all() const;  // each balancer has read a list
    // The entries of the beginning, as NODE_CONFIG has them.
    [[nodiscard]] nlohmann::json first_list() const;

private:
    struct Change {
        std::uint64_t version = 0;
        std::uint32_t server = 0;
        Word word = Word::ready;
        std::uint64_t began = 0;
    };
    struct Agent {
        std::unique_ptr<standins::Roster> roster;
        std::vector<Change> changes;
        std::size_t noted = 0;
        bool read = false;
    };
    standins::RosterEntry entry_of(std::uint32_t server) const;
    void sent(std::uint32_t balancer, const standins::RosterEvent& event);

    const Experiment& part_;
    const Terms& terms_;
    const Nodes& nodes_;
    Recorder& recorder_;
    std::vector<std::uint32_t> first_;
    std::vector<Agent> agents_;
};

}  // namespace flaxdoor::lab::real
