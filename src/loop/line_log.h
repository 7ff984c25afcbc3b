// Log lines on a descriptor, for a program that must not wait for whoever reads them: a line that the
// descriptor does not take at once is dropped, and how many were is told with the next one that it takes.
//
// Threading: one thread.   Ownership: the descriptor is borrowed.   Errors: a descriptor that is closed or
//            broken drops every line.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/ports.h"

namespace flaxdoor::loop {

class LineLog final : public core::Log {
public:
    // What a pipe takes whole or not at all; a longer line is cut.
    static constexpr std::size_t line_most = 4096;

    explicit LineLog(int descriptor) : descriptor_(descriptor) {}
    void line(std::string_view text) override;

private:
    bool write(std::string_view text);

    const int descriptor_;
    std::uint64_t dropped_ = 0;
};

}  // namespace flaxdoor::loop
