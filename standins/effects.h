// What ran, and how often: the ledger that tells whether an effect happened twice. Several nodes may share
// one, as a repeat may go to another node than the first attempt did. Threading: one thread (that of the
// nodes' io_context). Bounded: records and remembered names have limits; what no longer fits is counted in
// Counts::records_lost or forgotten oldest first.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flaxdoor::standins {

using Time = std::chrono::steady_clock::time_point;

enum class Detail {
    full,    // every request has a record, every step an event: for tests
    counts,  // numbers only, in bounded memory: for load
};

// A set of names that holds about the last `most` and forgets the ones before.
class RecentNames {
public:
    explicit RecentNames(std::size_t most) : most_(most) {}
    // Whether the name was there already.
    [[nodiscard]] bool seen(std::string_view name);

private:
    std::size_t most_;
    std::vector<std::uint64_t> now_, before_;
    std::size_t held_ = 0;
};

class Effects {
public:
    struct Run {
        std::string node;
        Time at;
    };
    struct Record {
        std::string call_id, key, cls, operation;
        bool safe = false;
        Time first_byte, last_byte;  // of the first attempt that came whole
        std::uint32_t attempts = 0;  // that came whole
        std::uint32_t runs = 0;
        std::uint32_t answers = 0;    // sent with status 200, whole
        std::uint32_t out = 0;        // attempts being worked on or waiting now, on an open connection
        std::vector<Run> first_runs;  // the first eight
    };
    struct Counts {
        std::uint64_t attempts = 0;  // requests whose last byte came
        std::uint64_t ran = 0;
        std::uint64_t answered = 0;         // 200s sent whole
        std::uint64_t safe_again = 0;       // runs beyond the first of a call id that is safe to repeat
        std::uint64_t unsafe_again = 0;     // the same of a call id that is not safe and has no key
        std::uint64_t key_again = 0;        // runs beyond the first of a key
        std::uint64_t operation_again = 0;  // runs beyond the first of an operation (?op=) that is not safe
        std::uint64_t second_copies =
            0;                           // attempts that came while another of the call was out (full detail)
        std::uint64_t records_lost = 0;  // not kept, as there were too many
    };
    struct Request {
        std::string_view call_id, key, cls, operation;
        bool safe = false;
        Time first_byte, last_byte;
    };

    explicit Effects(Detail detail = Detail::full, std::size_t records_most = 1'000'000);

    void came(const Request& request);
    void ran(const Request& request, std::string_view node, Time now);
    void answered(std::string_view call_id);
    void over(std::string_view call_id);  // an attempt is answered, given up or broken

    [[nodiscard]] const Counts& counts() const { return counts_; }
    [[nodiscard]] const Record* find(std::string_view call_id) const;  // full detail only
    [[nodiscard]] std::uint32_t runs_of_key(std::string_view key) const;
    [[nodiscard]] std::uint32_t runs_of_operation(std::string_view operation) const;
    // Call ids, keys and operations that are not safe and ran more than once. Full detail only.
    [[nodiscard]] std::vector<std::string> ran_again() const;
    void each(const std::function<void(const Record&)>& visit) const;

private:
    using Tally = std::unordered_map<std::string, std::uint32_t>;
    Record* record(std::string_view call_id);
    std::uint32_t add(Tally& tally, std::string_view name) const;

    Detail detail_;
    std::size_t records_most_;
    Counts counts_;
    std::unordered_map<std::string, Record> records_;
    Tally keys_, operations_;
    RecentNames ids_seen_, keys_seen_, operations_seen_;
};

// Which keys are done or under way, for as long as repeats are dropped. Nodes of one group share one.
class KeyWindow {
public:
    struct Held {
        std::string answer;  // the body of the first's answer
        bool done = false;
        std::vector<std::function<void(const std::string*)>>
            waiting;  // told the body, or null if it will not run
    };
    // `window` counts from the moment the first is taken in.
    KeyWindow(std::chrono::milliseconds window, std::size_t keys_most)
        : window_(window), keys_most_(keys_most) {}

    [[nodiscard]] Held* find(std::string_view key, Time now);
    void take(std::string_view key, Time now);
    void done(std::string_view key, std::string answer);  // tells those that wait
    void forget(std::string_view key);                    // it will not run after all
    [[nodiscard]] std::size_t size() const { return held_.size(); }

private:
    void drop_old(Time now);

    std::chrono::milliseconds window_;
    std::size_t keys_most_;
    std::unordered_map<std::string, std::pair<Held, Time>> held_;
    std::deque<std::pair<std::string, Time>> order_;
};

}  // namespace flaxdoor::standins
