// What holders and the authority say to each other, as JSON text (docs/design/budget.md, "On the wire"). Texts come from
// anywhere: whatever they are, they give a value or a reason.
//
// Threading: plain functions.   Errors: a reason names the field; nothing is thrown but std::bad_alloc.
// Units:     amounts as budget/terms.h; times and spans in microseconds (`..._us`).
// Bounds:    below. What is beyond them is malformed; unknown fields are passed over, missing ones are malformed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "budget/messages.h"
#include "budget/terms.h"

namespace flaxdoor::coordinator {

inline constexpr std::size_t message_most = 64 * 1024;  // bytes of a request or a reply
inline constexpr std::size_t view_most = 16 * 1024 * 1024;
inline constexpr std::size_t name_most = 64;  // bytes of a holder's, an instance's or a budget's name
inline constexpr std::size_t why_most = 256;  // bytes of a reason; what is longer is cut where it is written
inline constexpr std::size_t needs_most = 256;
inline constexpr std::size_t rows_most = 20'000;                      // of a view's holders
inline constexpr std::int64_t rate_most = 1'000'000'000;              // thousandths of a permit a second
inline constexpr std::int64_t size_most = 1'000'000;                  // permits, places
inline constexpr std::uint64_t number_most = std::uint64_t{1} << 62;  // numbers, epochs, sequences
inline constexpr std::int64_t time_most = std::int64_t{1} << 62;      // microseconds
inline constexpr Micros span_most = std::chrono::hours(24);

// What is wrong, in words for whoever sent it: "needs[2].wants[0]: above 1000000000".
struct Malformed {
    std::string why;
};

// Of a name: not empty, within name_most, UTF-8, and no control characters, since names go into lines of logs.
[[nodiscard]] bool valid_name(std::string_view name);

[[nodiscard]] std::string_view text_of(budget::Counts counts);

[[nodiscard]] std::string encode(const budget::LeaseRequest& request);
[[nodiscard]] std::variant<budget::LeaseRequest, Malformed> decode_request(std::string_view text);
[[nodiscard]] std::string encode(const budget::LeaseReply& reply);
[[nodiscard]] std::variant<budget::LeaseReply, Malformed> decode_reply(std::string_view text);

// The authority's view, as GET /v1/budgets tells it. Spans count from when it was made.
struct View {
    struct Sum {
        std::string budget;
        budget::Counts counts = budget::Counts::requests;
        budget::Amount whole, reserved, counted;
    };
    struct Held {
        std::string budget, holder, instance;
        budget::Amount counted, share, wants;
        std::int64_t in_use = 0;
        Micros left{};    // of the last grant; negative: it has ended; zero: there was none
        std::string why;  // counted beyond the share
    };
    // Processes that were told no, and have not been granted anything since.
    struct Refused {
        std::string holder, instance;
        budget::Verdict verdict = budget::Verdict::waiting;
        std::string why;
        Micros ago{};
    };
    std::uint64_t epoch = 0;
    Micros waits{};  // until it may grant; zero: it may
    bool stepped_down = false;
    std::string trouble;  // the journal's, while it can't be written
    std::vector<Sum> sums;
    std::vector<Held> held;
    std::vector<Refused> refused;
    std::uint64_t left_out = 0;  // rows of `held` beyond rows_most
};
[[nodiscard]] std::string encode(const View& view);
[[nodiscard]] std::variant<View, Malformed> decode_view(std::string_view text);

}  // namespace flaxdoor::coordinator
