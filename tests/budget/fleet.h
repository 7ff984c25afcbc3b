// A fleet of real processes: one coordinator, balancers with a relay each between them and the coordinator,
// fake servers that record each attempt, clients, and the judge of the recorded events (judge.h). One event
// loop and one thread. Every process is ended by its id, at the latest when the fleet is destroyed.
//
// Tests wait for events. They wait by the clock only for what depends on time, such as the end of a lease.
// The judge checks shares and work, never the speed of the machine.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../store/folder_here.h"
#include "judge.h"
#include "standins/booking_node.h"
#include "standins/load_client.h"
#include "standins/program.h"
#include "standins/relay.h"
#include "standins/roster.h"

namespace flaxdoor::test {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Returns CLOCK_BOOTTIME, the clock of the coordinator's grants log.
[[nodiscard]] judge::Microseconds boot_now();

class Fleet {
public:
    struct Limit {
        std::string name;
        judge::Counts counts = judge::Counts::requests;
        judge::Amount whole, reserve;
        std::string of_class = "look";
        double weight = 1;     // of the class in the demand
        milliseconds work{2};  // duration of a call of the class at the servers
    };
    struct Options {
        int balancers = 4;  // as configured; each has a reserve
        milliseconds term{600}, longest{1200};
        std::vector<Limit> limits;
        bool witness = true;
        std::uint64_t seed = 1;
    };

    explicit Fleet(Options options);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // ------------------------------------------------------------------------------------------- coordinator
    void start_coordinator();  // returns when the coordinator listens
    void kill_coordinator();
    bool granted() const;  // true if it has granted a lease since its start
    void copy_store();     // saves a copy of the store
    void restore_store();  // replaces the store by the copy
    void empty_store();
    // Changes the whole in the coordinator's settings and makes the coordinator reload them.
    void set_whole(std::size_t limit, judge::Amount whole);

    // --------------------------------------------------------------------------------------------- balancers
    // Adds a balancer with its own relay, and by default with its own name. Returns its index.
    std::size_t add(std::string name = {});
    void start(const std::vector<std::size_t>& balancers);  // returns when all listen
    void start_all();
    void kill(const std::vector<std::size_t>& balancers);  // all at once
    void kill(std::size_t balancer) { kill(std::vector{balancer}); }
    void pause(std::size_t balancer);
    void resume(std::size_t balancer);
    void leave(std::size_t balancer);  // sends SIGTERM; returns when the process has ended
    bool running(std::size_t balancer) const { return balancers_[balancer]->program != nullptr; }
    standins::Relay& relay(std::size_t balancer) { return *balancers_[balancer]->relay; }
    std::size_t size() const { return balancers_.size(); }

    // ----------------------------------------------------------------------------------------------- clients
    // Replaces the demand at this balancer by `rate` calls a second, distributed over the limits' classes by
    // their weights. Each client waits for `patience`.
    void demand(std::size_t balancer, double rate, milliseconds patience = milliseconds(1000));
    void demand_all(double rate);

    // ------------------------------------------------------------------------------------------------- waits
    void wait_until(const std::function<bool()>& holds, int where = __builtin_LINE());
    void run_for(milliseconds time);
    void run_terms(double terms) {
        run_for(milliseconds(static_cast<int>(terms * static_cast<double>(options_.term.count()))));
    }
    // Waits until this share of the limit's rate was used throughout a term after `from`. Returns the time
    // since `from`.
    judge::Microseconds wait_until_full(std::size_t limit, judge::Microseconds from, double share = 0.95,
                                        int where = __builtin_LINE());

    // -------------------------------------------------------------------------------------------- evaluation
    // Returns the share of the limit's rate that is used during the next `terms` lease terms.
    double usage_over(std::size_t limit, double terms);
    // Returns how many calls this balancer serves during the next `terms` lease terms.
    std::int64_t served_by(std::size_t balancer, double terms);
    // Stops the clients and expects that the recorded events keep every limit. Returns the number of permits
    // used of the first limit.
    std::int64_t expect_budgets_kept();

    asio::io_context loop{1};

private:
    struct Balancer {
        std::string name;
        std::unique_ptr<standins::Relay> relay;
        std::unique_ptr<standins::Program> program;
        std::uint16_t port = 0;
        std::unique_ptr<standins::LoadClient> clients;
        std::uint64_t served = 0;  // calls
    };
    struct Call {
        judge::Microseconds sent = 0;
        std::size_t balancer = 0;
    };
    struct Running {  // an attempt at a server
        std::size_t attempt = 0;
        judge::Microseconds first_byte = 0;
    };

    std::string operator_settings(const std::string& coordinator, bool for_coordinator) const;
    std::string configuration(const Balancer& balancer) const;
    void on_server_event(std::size_t server, const standins::NodeEvent& event);
    void on_lease_request(std::string_view body);
    void measure_loop_delay();
    void check_alive();
    judge::Budget budget_of(std::size_t limit) const;
    judge::Log log() const;
    judge::Microseconds max_permit_to_first_byte() const;

    const Options options_;
    const store::test::FolderHere folder_;
    std::vector<std::vector<judge::Whole>> wholes_;
    std::unique_ptr<standins::Roster> roster_;
    std::vector<std::unique_ptr<standins::BookingNode>> servers_;
    std::vector<std::unique_ptr<Balancer>> balancers_;
    std::unique_ptr<standins::Program> coordinator_;
    int coordinator_starts_ = 0;
    asio::steady_timer delay_timer_;
    std::chrono::steady_clock::duration max_loop_delay_{};
    std::uint64_t clients_made_ = 0;
    std::vector<std::unique_ptr<standins::LoadClient>> former_clients_;
    std::vector<std::unique_ptr<standins::Program>> ended_programs_;  // kept for their logs
    std::unordered_map<std::string, Call> calls_;
    std::vector<judge::Attempt> attempts_;
    std::map<std::pair<std::size_t, std::uint64_t>, Running> running_;  // by server and request
    std::vector<judge::HolderReport> holder_reports_;
};

}  // namespace flaxdoor::test
