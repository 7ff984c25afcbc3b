// Lines on a descriptor, without ever waiting for whoever reads them.
//
// Threading: one thread.   Errors: one that is closed or broken takes nothing.
// Ownership: the descriptor is borrowed. It may be shared with other processes, so it is not made non-blocking: a pipe and a
// terminal are opened anew for this program alone. Where that is refused (the file is another user's) it is asked each time
// whether it takes a line; a terminal that stalls may hold the program up then.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace flaxdoor::log {

class Sink {
public:
    virtual ~Sink() = default;
    // Of `line_most` bytes at most. False: it is not taken now, and no part of it has gone out.
    [[nodiscard]] virtual bool take(std::string_view line) = 0;
    // Whether the rest of a line that was taken in part is still to go out; pay() tries again, and is false while it is.
    [[nodiscard]] virtual bool owes() const { return false; }
    [[nodiscard]] virtual bool pay() { return true; }
};

class Descriptor final : public Sink {
public:
    using Write = ssize_t (*)(int, const void*, std::size_t);

    explicit Descriptor(int descriptor);
    Descriptor(int descriptor, Write write);
    ~Descriptor() override;
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    [[nodiscard]] bool take(std::string_view line) override;
    [[nodiscard]] bool owes() const override { return !rest_.empty(); }
    [[nodiscard]] bool pay() override;

private:
    bool ready() const;

    const int own_;  // opened anew; -1: none
    const int descriptor_;
    const Write write_;
    std::string rest_;  // of a line that it took in part: goes first
};

}  // namespace flaxdoor::log
