// A log sink over a file descriptor. It never blocks on the reader of the descriptor.
//
// Threading: one thread.   Errors: a closed or broken descriptor accepts no line.
// Ownership: the descriptor is borrowed. Other processes may share it, so it is not made non-blocking. Instead, the sink
// opens a pipe or terminal a second time for itself, non-blocking. Where that fails (for example, because the file belongs
// to another user), the sink polls the borrowed descriptor before each line; a stalled terminal may then block the program.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace flaxdoor::log {

class Sink {
public:
    virtual ~Sink() = default;
    // Writes a line of at most `max_line_bytes` bytes. Returns false if the sink cannot accept it now; no part of the line
    // has been written then.
    [[nodiscard]] virtual bool try_write(std::string_view line) = 0;
    // Returns true while the end of a partly written line is still unwritten. finish_partial_line() tries to write it and
    // returns false until all of it is written.
    [[nodiscard]] virtual bool has_partial_line() const { return false; }
    [[nodiscard]] virtual bool finish_partial_line() { return true; }
};

class DescriptorSink final : public Sink {
public:
    using Write = ssize_t (*)(int, const void*, std::size_t);

    explicit DescriptorSink(int descriptor);
    DescriptorSink(int descriptor, Write write);
    ~DescriptorSink() override;
    DescriptorSink(const DescriptorSink&) = delete;
    DescriptorSink& operator=(const DescriptorSink&) = delete;
    [[nodiscard]] bool try_write(std::string_view line) override;
    [[nodiscard]] bool has_partial_line() const override { return !unwritten_.empty(); }
    [[nodiscard]] bool finish_partial_line() override;

private:
    bool writable() const;

    const int reopened_;  // the descriptor that this sink opened itself; -1: none
    const int descriptor_;
    const Write write_;
    std::string unwritten_;  // the end of a partly written line, which is written before any other line
};

}  // namespace flaxdoor::log
