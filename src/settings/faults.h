// The faults found in a settings file, sorted by position and bounded in number.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "settings/types.h"

namespace flaxdoor::settings {

struct Fault {
    Position at;         // line 0 stands for the file as a whole
    std::string what;    // describes the fault
    std::string key;     // "table.key" or "table"; empty if the fault concerns neither
    std::string remedy;  // a likely remedy; empty if none is known
};

// Formats a fault as "FILE:LINE:COLUMN: description (table.key); likely remedy".
std::string line_of(const std::string& file, const Fault& fault);

// Keeps the faults with the lowest positions, up to `max_kept`, and counts the others.
class Faults {
public:
    static constexpr std::size_t max_kept = 100;

    // Returns whether a fault at this position would be kept. If not, the caller can save formatting its text
    // and call count_omitted() instead.
    bool would_keep(Position at) const { return kept_.size() < max_kept || at < kept_.back().at; }
    void add(Fault fault);
    void count_omitted() { ++omitted_count_; }

    bool empty() const { return kept_.empty(); }
    const std::vector<Fault>& first() const { return kept_; }
    std::size_t more() const { return omitted_count_; }

    // Returns one line for each kept fault, then "and N more" if faults were omitted. Each line ends with a
    // newline.
    std::string text(const std::string& file) const;

private:
    std::vector<Fault> kept_;
    std::size_t omitted_count_ = 0;
};

}  // namespace flaxdoor::settings
