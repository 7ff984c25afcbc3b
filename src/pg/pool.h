// Which connection serves which attempt: the connections to the servers of one database, who waits for one,
// and who logs in. It decides and does nothing: what is to be done is pulled as actions. No I/O; time is an
// argument.
//
// Threading: one thread at a time.   Ownership: the gate is borrowed; it is shared by all pools of a process.
// Fairness:  who waits at a server for a user's connection is served first come, first served; of the idle
//            connections the one used last comes first, so that the others can be closed.
// Bounds:    PoolLimits; an attempt beyond them is turned away (`full`), and the module decides.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call.h"

namespace flaxdoor::pg {

using LinkId = std::uint64_t;

// Logins under way, for each address over all pools: a server that restarts gets no herd of them.
class LoginGate {
public:
    explicit LoginGate(std::size_t most) : most_(most) {}
    [[nodiscard]] bool begin(const std::string& address) {
        std::size_t& now = now_[address];
        if (now >= most_) return false;
        ++now;
        return true;
    }
    void end(const std::string& address) {
        const auto found = now_.find(address);
        if (found != now_.end() && --found->second == 0) now_.erase(found);
    }
    void set_most(std::size_t most) { most_ = most; }

private:
    std::size_t most_;
    std::unordered_map<std::string, std::size_t> now_;
};

struct PoolLimits {
    std::size_t connections = 20;  // to one server for one user
    std::size_t line = 1000;       // who waits at one server for one user's connection
    Micros wait = std::chrono::seconds(10);
    Micros idle = std::chrono::minutes(10);        // an idle connection is closed after it
    Micros login_again = std::chrono::seconds(1);  // after one that was turned away
    Micros age = std::chrono::hours(1);            // one that becomes idle beyond it is closed
};

enum class LoginEnd : std::uint8_t {
    up,
    down,   // it can't be reached, or is starting or stopping
    full,   // it is there and takes no more connections
    own,    // this program's own want: descriptors, ports; says nothing of the server
    apart,  // it is up, and kept apart from the pool until on_free()
};

struct PoolAction {
    enum class Kind : std::uint8_t { link, open, close, end };
    Kind kind = Kind::link;
    LinkId link = 0;
    core::AttemptKey attempt{};
    UpstreamId upstream = 0;
    std::string user{};
    Outcome outcome = Outcome::moot;  // of kind `end`
};

class Pool {
public:
    Pool(LoginGate& gate, PoolLimits limits) : gate_(gate), limits_(limits) {}

    void set_limits(PoolLimits limits) { limits_ = limits; }
    void set_server(UpstreamId upstream, const std::string& address, bool takes_work);
    void remove_server(UpstreamId upstream);
    void close_idle(UpstreamId upstream);

    // An attempt wants a connection of its user's.
    void want(core::AttemptKey attempt, UpstreamId upstream, const std::string& user, Time now);
    // Not any more. False: it was not waiting here.
    bool drop(core::AttemptKey attempt);

    void on_login(LinkId link, LoginEnd end, Time now);
    // Nobody's any more, and clean.
    void on_free(LinkId link, Time now);
    // It has ended, whatever it was doing.
    void on_gone(LinkId link);
    // It is not to be closed with the idle ones: apart from the pool until on_free(). False: it is not idle.
    bool keep_apart(LinkId link);
    // A login has ended somewhere: the gate may let another one in.
    void on_gate();
    void on_time(Time now);
    std::optional<Time> next_time() const;

    // So that descriptors come free: the connection that is idle longest, if there is one.
    std::optional<LinkId> longest_idle() const;

    std::optional<PoolAction> next();

    std::size_t links() const { return links_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    enum class State : std::uint8_t { logging_in, idle, busy };
    struct Server {
        std::string address;
        bool takes_work = true;
    };
    using PlaceKey = std::pair<UpstreamId, std::string>;
    struct Waiting {
        core::AttemptKey attempt;
        Time until{};
    };
    struct Place {
        std::list<Waiting> line;
        std::vector<LinkId> idle;  // the one used last stands last
        std::size_t all = 0, logging_in = 0;
        Time no_login_until{};  // the server takes no more: it is not asked again before
    };
    struct Link {
        PlaceKey place;
        std::string address;
        State state = State::logging_in;
        Time since{}, born{};
    };

    void serve(const PlaceKey& key, Place& place);
    void end_line(Place& place, Outcome outcome, std::size_t most);
    void forget(LinkId id);
    void forget_place(const PlaceKey& key);
    bool takes_work(const Link& link) const;

    LoginGate& gate_;
    PoolLimits limits_;
    std::unordered_map<UpstreamId, Server> servers_;
    std::map<PlaceKey, Place> places_;
    std::unordered_map<LinkId, Link> links_;
    std::map<core::AttemptKey, std::pair<PlaceKey, std::list<Waiting>::iterator>> waiting_;
    std::deque<PoolAction> actions_;
    LinkId last_ = 0;
    Time now_{};
};

}  // namespace flaxdoor::pg
