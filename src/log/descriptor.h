// Lines on a descriptor, without ever waiting for whoever reads them.
//
// Threading: one thread.   Ownership: the descriptor is borrowed.   Errors: one that is closed or broken takes nothing.
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
};

class Descriptor final : public Sink {
public:
    using Write = ssize_t (*)(int, const void*, std::size_t);

    explicit Descriptor(int descriptor);
    Descriptor(int descriptor, Write write) : descriptor_(descriptor), write_(write) {}
    [[nodiscard]] bool take(std::string_view line) override;

private:
    bool ready() const;

    const int descriptor_;
    const Write write_;
    std::string rest_;  // of a line that it took in part: goes first
};

}  // namespace flaxdoor::log
