// The servers of real mode: stand-in booking nodes that play the experiment's model on the wall clock, and what
// they saw as records. A node knows by a call's id which balancer sent it, since each try goes to one alone.
//
// What is seen as what: `sending` is the first byte's arrival here, `heard` the moment when a node's answer was
// handed to its socket, or its connection ended. An attempt whose request never came whole leaves no record.
// Threading: on the thread of the io_context, which must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "experiment/experiment.h"
#include "real/callers.h"
#include "real/recorder.h"
#include "standins/booking_node.h"
#include "trace/terms.h"

namespace flaxdoor::lab::real {

class Nodes {
public:
    // All borrowed.
    Nodes(boost::asio::io_context& loop, const Experiment& part, const Terms& terms, Recorder& recorder,
          const Callers& callers);
    ~Nodes();
    Nodes(const Nodes&) = delete;
    Nodes& operator=(const Nodes&) = delete;

    // `capacity`: us of work a second, as server_up tells it.
    void start(std::uint32_t server, double capacity, bool cold);
    void stop(std::uint32_t server);
    // Slow, failing or hanging, for as long as the trouble lasts.
    void trouble(std::size_t number, const std::vector<std::uint32_t>& hit, bool begins);
    void sample();  // a load record of each
    // What a real server has done is told by its events; those of the last turn are still to come.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address(std::uint32_t server) const;
    [[nodiscard]] std::uint64_t began(std::uint32_t server) const;    // 0: long ago
    [[nodiscard]] std::uint64_t unknown() const { return unknown_; }  // requests that no client sent

private:
    struct Attempt {
        std::uint64_t call = 0, connection = 0;
        std::uint32_t number = 0, balancer = 0;
        bool away = false;
    };
    struct Server {
        std::unique_ptr<standins::BookingNode> node;
        double speed = 1;
        std::uint64_t began = 0;
        bool up = false;
        std::unordered_map<std::uint64_t, std::uint64_t> first_bytes;  // by request
        std::map<std::uint64_t, Attempt> attempts;                     // by request
    };
    std::chrono::microseconds work_of(std::uint32_t server, std::string_view call_id) const;
    void happened(std::uint32_t server, const standins::NodeEvent& event);
    void set_faults(std::uint32_t server);

    boost::asio::io_context& loop_;
    const Experiment& part_;
    const Terms& terms_;
    Recorder& recorder_;
    const Callers& callers_;
    std::map<std::uint32_t, Server> servers_;
    std::map<std::uint8_t, std::shared_ptr<standins::KeyWindow>>
        windows_;                                                 // by zone; 0 alone where all share
    std::unordered_map<std::uint64_t, std::uint32_t> attempts_;   // of a call, so far
    std::map<std::size_t, std::vector<std::uint32_t>> troubles_;  // that go on
    std::uint64_t unknown_ = 0;
};

}  // namespace flaxdoor::lab::real
