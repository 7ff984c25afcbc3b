// Connections of the clients to the balancers: kept and used again, a new one where all of a balancer's are
// busy, one call at a time on each. A kept one that ends with no byte of an answer has crossed the call: it
// goes once more on a new one.
//
// Threading: on the thread of the io_context, which must outlive it. Errors: none; what can't be sent is told
// to the callers as broken. Bounded: a connection a call that is open.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "real/callers.h"

namespace flaxdoor::lab::real {

class Links final : public Wires {
public:
    Links(boost::asio::io_context& loop, Recorder& recorder);
    ~Links() override;
    Links(const Links&) = delete;
    Links& operator=(const Links&) = delete;

    void tell(Callers& callers) { callers_ = &callers; }  // borrowed; before the first send
    // Where a balancer listens now; nothing: it was killed, and its connections' ends are no fault of its own.
    void set(std::uint32_t balancer, std::optional<boost::asio::ip::tcp::endpoint> address);
    // What a process that has ended had written is read now, so that it stands before its end.
    void read_out(std::uint32_t balancer);

    void send(std::uint32_t balancer, std::uint64_t call, const standins::Call& text) override;
    void leave(std::uint64_t call) override;
    void close_all();
    [[nodiscard]] std::size_t open() const { return links_.size(); }

private:
    struct Link;
    using LinkPtr = std::shared_ptr<Link>;
    struct Balancer {
        std::optional<boost::asio::ip::tcp::endpoint> address;
        std::vector<std::weak_ptr<Link>> idle;
    };
    void open(std::uint32_t balancer, std::uint64_t call, const standins::Call& text, bool once_more);
    void write(const LinkPtr& link);
    void read(const LinkPtr& link);
    void came(const LinkPtr& link, bool over);
    void ended(const LinkPtr& link);
    void close(const LinkPtr& link);
    std::uint64_t now() const;

    boost::asio::io_context& loop_;
    Recorder& recorder_;
    Callers* callers_ = nullptr;
    std::vector<Balancer> balancers_;
    std::unordered_map<Link*, LinkPtr> links_;
    std::unordered_map<std::uint64_t, Link*> by_call_;
    std::shared_ptr<bool> lives_ = std::make_shared<bool>(true);
};

}  // namespace flaxdoor::lab::real
