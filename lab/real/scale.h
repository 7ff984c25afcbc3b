// The part of an experiment that one machine plays.
//   balancers   the file's, at most real.balancers
//   servers     the file's, at most real.servers
//   rate        the file's, by servers played of servers there are, and by real.rate_share: each server has its
//               part of the load whatever the number
//   time        the file's, at most real.lasts; troubles come and go by the same proportion; what settles is at
//               most a quarter of it
//   network     every way is loopback's
// All else (work, speeds, waiting room, classes, patience, lateness of the roster) is as the file says.
// Pure functions.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "experiment/experiment.h"

namespace flaxdoor::lab::real {

Experiment scaled(const Experiment& whole);
// "2 of 30 balancers, 6 of 36 servers, 333 of 2000 calls a second, 20 of 40 s"
std::string scale_text(const Experiment& whole, const Experiment& part);

// What a daemon is told (NODE_CONFIG), as docs/operators/daemon.md has it.
struct Told {
    int balancer = 0;
    int zone = 0;
    std::string discovery;            // address
    nlohmann::json* known = nullptr;  // entries of the beginning; null: none
};
std::string daemon_config(const Experiment& part, const Told& told);

}  // namespace flaxdoor::lab::real
