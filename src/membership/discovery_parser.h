// Parses the response of one discovery call, without its socket: takes the response's bytes and returns lists. A call for
// the snapshot ends with the list. A watch goes on, one list or empty line at a time, until the service ends it. A list may
// be indented over several lines.
//
// Threading: one thread at a time.   Format: the platform's protocol page, "Discovery"; RFC 9112 around it.
// Bounds:    a list has at most `max_line_size` bytes; the buffer holds at most one list and one read.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "membership/list.h"

namespace flaxdoor::membership {

struct DiscoveryUpdate {
    enum class Kind {
        list,    // a list was received
        alive,   // an empty line: nothing has changed
        ended,   // the call has completed
        failed,  // the call has failed; `why` is the reason
    };
    Kind kind = Kind::alive;
    core::MemberList list;
    std::string why;  // with kind `list`: the entry that cannot be used and the reason, if there is one
};

class DiscoveryParser {
public:
    static constexpr std::size_t default_max_line_size = 4 * 1024 * 1024;

    DiscoveryParser(bool watching, ListNames names, std::size_t max_line_size = default_max_line_size);
    ~DiscoveryParser();

    // Returns the HTTP request for the snapshot, or for the changes after this version (`watching`).
    [[nodiscard]] static std::string request(bool watching, std::uint64_t after_version);

    void receive(std::string_view bytes);
    void receive_end();

    // Returns the updates in the order in which they were received; none after `ended` or `failed`.
    [[nodiscard]] std::optional<DiscoveryUpdate> next();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor::membership
