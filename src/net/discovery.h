// Discovery: the watch on changes and the call for the whole list, and the names they use turned into ids.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::net {

// Zones and kinds of machine, as the settings name them.
struct ListNames {
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
};

struct ListedUpstream {
    UpstreamEntry entry;
    std::string name;
    boost::asio::ip::tcp::endpoint address;
};

struct List {
    std::uint64_t version = 0;
    bool whole = false;
    std::vector<ListedUpstream> upstreams;
};

// The id of an upstream: drawn from its name alone, so that it is the same at every balancer. The policy
// orders upstreams by id and relies on all balancers having the same order.
UpstreamId id_of(std::string_view name);

// Throws when the text is not a list in discovery's form.
List parse_list(std::string_view text, const ListNames& names);

class DiscoveryEvents {
public:
    virtual ~DiscoveryEvents() = default;
    virtual void on_list(List list) = 0;
    virtual void on_list_failed() = 0;
};

class Discovery {
public:
    Discovery(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint address, ListNames names,
              DiscoveryEvents& events);
    ~Discovery();

    void start_from(std::uint64_t version) { version_ = version; }
    void watch();  // resumes after the last version heard; nothing while a watch is open
    void unwatch();
    void fetch();  // the whole list, once
    // From now on another service is asked. What was wanted of the old one is asked of the new one at once;
    // the old watch is heard until the new one speaks, and its end is no failure.
    void move_to(const boost::asio::ip::tcp::endpoint& address);
    void stop();

private:
    class Call;
    bool hear(std::string_view text, const Call& call, bool first);
    void ended(Call& call, const char* why);

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::endpoint address_;
    const ListNames names_;
    DiscoveryEvents& events_;
    std::uint64_t version_ = 0;
    bool watching_ = false;  // a watch is wanted
    std::shared_ptr<Call> watch_;
    std::shared_ptr<Call> former_;  // the watch on the service before, until the new one speaks
    std::shared_ptr<Call> fetch_;
};

}  // namespace flaxdoor::net
