// One world to be played, as plain values: what an experiment's file says for one cell of its matrix, with
// every default filled in. Whoever makes one by hand keeps to the ranges of the file's schema.
//
// Units: spans in microseconds (Micros), work in microseconds on a core of speed 1, shares from 0 to 1.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::lab {

enum class Law { fixed, exponential, lognormal, pareto };

// A positive number drawn by a law with this mean. `shape`: lognormal: the deviation of its logarithm;
// Pareto: its exponent, over 1; else not used.
struct Draw {
    Law law = Law::exponential;
    Micros mean{10000};
    double shape = 1;
};

struct CallClass {
    ClassSettings told;  // what balancers are told of it
    double share = 1;    // of all calls
    Draw work;
};

struct TenantKind {
    TenantSettings told;
    double share = 1;  // of all clients
};

struct Zone {
    std::string name;
    double traffic = 1;  // part of all clients, by proportion
    double servers = 1;  // part of all servers, by proportion
};

struct Fleet {
    int balancers = 12;
    std::vector<Zone> zones{{"one", 1, 1}};
    Micros front_notices{2000000};  // the layer before the balancers sends to a dead one for so long
    bool knows_start = true;        // balancers begin with the list of the beginning; else with none
    bool door = false;              // requests wait at the door
};

struct ServerModel {
    int count = 12;
    int cores = 1;
    double speed_least = 1, speed_most = 1;  // drawn for each server
    int waiting_room = 64;                   // beyond what its cores run
    int connections = 80;
    Micros handshake_work{2000};
    int thrash_from = 0;       // requests in hand beyond which work grows; 0: never
    double thrash_each = 0;    // by this share for each of them
    double cold_share = 0.33;  // of its speed at its start
    Micros ramp{8600000};      // until all of it
    double fall_multiple = 4;  // sent more than this multiple of what it can do, it falls
    Micros fall_span{1000000};
    Micros report_every{500000};  // its report of load is as old as this at most
};

struct NetworkModel {
    Micros local{200};            // one way within a zone
    Micros between{3000};         // one way from zone to zone
    double jitter = 0.2;          // of each way, added or not, evenly drawn
    Micros idle_close{15000000};  // connections are closed when idle for so long
};

enum class RosterMode { pushed, asked };
struct RosterModel {
    RosterMode mode = RosterMode::pushed;
    Micros late_least{100000},
        late_most{1000000};  // until a balancer is told, drawn for each change and balancer
    Micros answers{1000};    // a call's own time, where it is asked
    double nonsense = 0;     // of what it tells, can't be read
};

enum class Repeats {
    none,
    blind,
    heeding
};  // blind: after `wait`; heeding: when they were told to come back
struct ClientModel {
    int count = 1000;
    double rate = 600;            // calls a second of all of them
    double patience_least = 0.7;  // of the class's deadline: when a try is given up, drawn for each
    Repeats repeats = Repeats::none;
    int repeats_most = 1;       // of one call
    Micros wait{200000};        // before a repeat, from half to one and a half times this
    double leave = 0;           // share that closes its connection before its time
    std::vector<double> shape;  // factors of the rate over equal parts of the time; empty: even
};

// PostgreSQL servers behind a pool of their own: units that may not run twice go to the one primary.
struct PostgresModel {
    int standbys = 0;
    double rate = 0;  // units a second; 0: none of this
    Draw work{Law::exponential, Micros{4000}, 1};
    Micros deadline{2000000};
    Micros promotes{1000000};  // from the primary's death until a standby is one
};

struct Trouble {
    enum class Kind {
        burst,           // calls a second times `size`
        tenant_flood,    // the calls of one tenant (`on`) times `size`
        heavy,           // work of one class (`on`) times `size`
        shared_slow,     // all servers slower by `size`
        slow,            // a share of servers slower by `size`
        failing,         // a share of servers answers errors, with the chance `size`
        hang,            // a share of servers takes and never answers
        crash,           // a share of servers dies; back cold at its end under new names
        drain,           // a share of servers is told to drain at the beginning, gone at the end
        replace,         // a share of servers is replaced by new ones, in steps over its time
        kill_balancers,  // a share of balancers dies, back at its end with the list of their start
        roll_balancers,  // all balancers are told to end and start again, in steps over its time
        zone_lost,       // servers of a zone (`on`) die; back cold at its end
        zone_cut,        // between a zone (`on`) and the others nothing passes
        answers_lost,    // a share `size` of answers of servers
        resets,          // a share `size` of connections breaks under its request
        late_connect,    // connections come up later, by up to `by`
        roster_late,     // what the roster tells comes later by `by`
        roster_silent,   // watches are open and silent
        roster_down,     // calls fail, watches end
        primary_lost,    // the PostgreSQL primary dies
    };
    std::string name;
    Kind kind = Kind::burst;
    Micros at{};
    Micros lasts{};
    double share = 0.1;
    double size = 2;
    Micros by{};
    std::string on;  // a zone, tenant, class or server ("server 3"), where the kind wants one
};

struct Expectation {
    enum class Of {
        rules,     // none broken
        served,    // least share of worth served in time (`on`: class or tenant; empty: all)
        answered,  // least share of calls served
        refused,   // greatest share
        failed,    // greatest share
        p99,       // greatest, of served calls (`on`: class; empty: all)
        recovers,  // greatest time from the end of a trouble (`on`) to a second with 0.99 of the service
                   // before it
        falls,     // greatest number of cold servers pushed over
        memory,    // greatest growth of open calls from the first third to the last, as a factor
    };
    Of of = Of::rules;
    std::string on;
    double most_or_least = 0;  // shares, factors, numbers
    Micros span{};             // p99, recovers
};

// The part of an experiment that real processes play, and how far they may part from what was foretold.
struct RealPart {
    int balancers = 2;
    int servers = 6;
    Micros lasts{20000000};
    double rate_share = 1;                    // of the load that a server has in the whole experiment
    double share_within = 0.03;               // served share, by so much
    double p50_within = 1.5, p99_within = 2;  // by these factors, or by `span_within`
    Micros span_within{3000};
};

struct Experiment {
    std::string name;
    std::string question;
    std::string variant;  // of the matrix; empty: there is none
    std::uint64_t seed = 1;
    Micros lasts{60000000};
    Micros settles{2000000};  // at first, not counted
    Micros grid{};            // over 0: everything happens at whole multiples of it, for the explorer
    Fleet fleet;
    ServerModel servers;
    NetworkModel network;
    RosterModel roster;
    ClientModel clients;
    PostgresModel postgres;
    std::vector<CallClass> classes;
    std::vector<TenantKind> tenants;
    std::vector<Trouble> troubles;
    std::vector<Expectation> expectations;
    Settings module;  // what balancers are told beyond classes, tenants, zones and figures of servers
    bool real = false;
    RealPart real_part;
};

}  // namespace flaxdoor::lab
