// A fleet of real processes: one coordinator, balancers with a relay each between it and them, stand-in servers that
// write each attempt down, clients, and the judge of all that they saw (judge.h). One loop and one thread; every process
// is ended by its id, at the latest when the fleet goes.
//
// Tests wait for what happens. What is a matter of time by its nature, as a lease's end, is waited for by the clock;
// what is judged is the sum and the work, and never how fast the machine was.
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

// CLOCK_BOOTTIME, as the coordinator's grants are told.
[[nodiscard]] judge::Us boot_now();

class Fleet {
public:
    struct Limit {
        std::string name;
        judge::Counts counts = judge::Counts::requests;
        judge::Amount whole, reserve;
        std::string of_class = "look";
        double weight = 1;     // of its class in the demand
        milliseconds work{2};  // of its class at the servers
    };
    struct Options {
        int balancers = 4;  // that the file names; each has a reserve
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
    void start_coordinator();  // returns when it listens
    void kill_coordinator();
    bool granted() const;  // it has, since its start
    void copy_store();     // puts a copy aside
    void restore_store();  // the copy takes the store's place
    void empty_store();
    // Its file has another whole, and it has been told so.
    void set_whole(std::size_t limit, judge::Amount whole);

    // --------------------------------------------------------------------------------------------- balancers
    // A place in the fleet, with a relay of its own; by default its name is its own too.
    std::size_t add(std::string name = {});
    void start(const std::vector<std::size_t>& balancers);  // returns when all of them listen
    void start_all();
    void kill(const std::vector<std::size_t>& balancers);  // all at once
    void kill(std::size_t balancer) { kill(std::vector{balancer}); }
    void pause(std::size_t balancer);
    void wake(std::size_t balancer);
    void leave(std::size_t balancer);  // SIGTERM; returns when it has ended
    bool running(std::size_t balancer) const { return balancers_[balancer]->program != nullptr; }
    standins::Relay& relay(std::size_t balancer) { return *balancers_[balancer]->relay; }
    std::size_t size() const { return balancers_.size(); }

    // ----------------------------------------------------------------------------------------------- clients
    // So many calls a second to this balancer from now on, in place of those before, over the limits' classes by their
    // weights; 0: none. Each client waits so long.
    void demand(std::size_t balancer, double rate, milliseconds patience = milliseconds(1000));
    void demand_all(double rate);

    // ------------------------------------------------------------------------------------------------- waits
    void until(const std::function<bool()>& holds, int where = __builtin_LINE());
    void run_for(milliseconds time);
    void run_terms(double terms) {
        run_for(milliseconds(static_cast<int>(terms * static_cast<double>(options_.term.count()))));
    }
    // Until this share of the limit's rate was used for a term behind `from`; how long that took from `from` on.
    judge::Us until_full(std::size_t limit, judge::Us from, double share = 0.95,
                         int where = __builtin_LINE());

    // ------------------------------------------------------------------------------------------------ judging
    // The share of the limit's rate that is used in the next so many terms.
    double use_over(std::size_t limit, double terms);
    // How many calls this balancer serves in the next so many terms.
    std::int64_t served_by(std::size_t balancer, double terms);
    // Clients stop; all that was seen holds every limit. Returns how many permits were used of the first limit.
    std::int64_t expect_holds();

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
        judge::Us sent = 0;
        std::size_t balancer = 0;
    };
    struct Running {  // at a server
        std::size_t attempt = 0;
        judge::Us first_byte = 0;
    };

    std::string operators(const std::string& coordinator, bool coordinates) const;
    std::string configuration(const Balancer& balancer) const;
    void on_event(std::size_t server, const standins::NodeEvent& event);
    void on_request(std::string_view body);
    void tick();
    void check_alive();
    judge::Budget budget_of(std::size_t limit) const;
    judge::Log log() const;
    judge::Us way() const;

    const Options options_;
    const store::test::FolderHere folder_;
    std::vector<std::vector<judge::Whole>> wholes_;
    std::unique_ptr<standins::Roster> roster_;
    std::vector<std::unique_ptr<standins::BookingNode>> servers_;
    std::vector<std::unique_ptr<Balancer>> balancers_;
    std::unique_ptr<standins::Program> coordinator_;
    int coordinator_starts_ = 0;
    asio::steady_timer ticker_;
    std::chrono::steady_clock::duration late_most_{};  // of this loop
    std::uint64_t clients_made_ = 0;
    std::vector<std::unique_ptr<standins::LoadClient>> former_clients_;
    std::vector<std::unique_ptr<standins::Program>> killed_;  // their logs
    std::unordered_map<std::string, Call> calls_;
    std::vector<judge::Attempt> attempts_;
    std::map<std::pair<std::size_t, std::uint64_t>, Running> running_;  // by server and request
    std::vector<judge::Told> told_;
};

}  // namespace flaxdoor::test
