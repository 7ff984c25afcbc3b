// What happened in a world of budgets, as plain records in the order of true time. Nothing of the code that is judged is
// in them: a lease's end is the true moment at which its holder's own clock reaches it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flaxdoor::lab::budgets {

// Thousandths of a permit a second, and whole permits (a bucket's depth, or places).
struct Quantity {
    std::int64_t rate = 0, size = 0;
    friend bool operator==(const Quantity&, const Quantity&) = default;
};

enum class What : std::uint8_t {
    whole,    // a budget's, from now on
    lease,    // of a process: in force until `until`, in place of the one before it
    reserve,  // of a process: in force from now on
    gone,     // a process died, or has let go of all
    begun,    // an attempt of a process went out under a budget
    ended,    // it has ended at its server; of budgets that count places alone
    note,     // for the story: `text`
};

struct Record {
    std::int64_t at = 0;  // microseconds of true time
    What what = What::note;
    std::uint32_t process = 0, budget = 0;
    Quantity quantity{};
    std::int64_t until = 0;
    const char* text = "";  // lasts for ever
};

// What holds in the world, in true time.
struct Ground {
    struct Budget {
        std::string name;
        bool places = false;
        Quantity beyond{};  // of the whole: what the world's faults allow by the design (a name used twice)
    };
    std::vector<Budget> budgets;
    std::int64_t term_us = 0;     // of a lease: an old whole counts for so long
    std::int64_t longest_us = 0;  // of an attempt that takes a place
};

}  // namespace flaxdoor::lab::budgets
