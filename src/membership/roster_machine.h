// One call to the roster, without its socket: the answer's bytes in, lists out. A call for the whole list
// ends with it; a watch goes on, one list or empty line at a time, until the roster ends it. A list may be indented,
// over several lines.
//
// Threading: one thread at a time.   Format: the platform's protocol page, "Discovery"; RFC 9112 around it.
// Bounds:    a line is no longer than `line_most`; the buffer holds no more than one line and one read.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "membership/list.h"

namespace flaxdoor::membership {

struct RosterNews {
    enum class Kind {
        list,    // of this call
        alive,   // an empty line: nothing has changed
        ended,   // the call is over, as it should be
        failed,  // the call is over for a reason that `why` tells
    };
    Kind kind = Kind::alive;
    core::MemberList list;
    std::string why;  // of kind `list`: which entry can't be used, where there is one
};

class RosterMachine {
public:
    static constexpr std::size_t default_line_most = 4 * 1024 * 1024;

    RosterMachine(bool watching, ListNames names, std::size_t line_most = default_line_most);
    ~RosterMachine();

    // What is to be written to ask for the list, or for what changes after this version.
    [[nodiscard]] static std::string request(bool watching, std::uint64_t after_version);

    void receive(std::string_view bytes);
    void receive_end();

    // What has come, in order; nothing more after `ended` or `failed`.
    [[nodiscard]] std::optional<RosterNews> next();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor::membership
