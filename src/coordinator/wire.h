// JSON encoding of the messages between lease holders and the authority (docs/design/budget.md, "On the
// wire"). Input is untrusted: any text decodes to a value or to a reason.
//
// Threading: pure functions.   Errors: a reason names the field; only std::bad_alloc is thrown.
// Units:     amounts as in budget/terms.h; times and time spans in microseconds (`..._us`).
// Bounds:    below. A message that exceeds one is malformed. Unknown fields are ignored; missing fields are
//            malformed.
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

inline constexpr std::size_t max_message_size = 64 * 1024;  // bytes of a request or a reply
inline constexpr std::size_t max_view_size = 16 * 1024 * 1024;
inline constexpr std::size_t max_name_size = 64;     // bytes of a holder's, an instance's or a budget's name
inline constexpr std::size_t max_reason_size = 256;  // bytes of a reason; encoding truncates a longer one
inline constexpr std::size_t max_needs = 256;
inline constexpr std::size_t max_rows = 20'000;          // of a view's lists
inline constexpr std::int64_t max_rate = 1'000'000'000;  // thousandths of a permit a second
inline constexpr std::int64_t max_size = 1'000'000;      // permits
inline constexpr std::uint64_t max_number = std::uint64_t{1}
                                            << 62;               // request numbers, epochs, sequence numbers
inline constexpr std::int64_t max_time = std::int64_t{1} << 62;  // microseconds
inline constexpr Micros max_span = std::chrono::hours(24);

// Why a message was rejected, for its sender: "needs[2].wants[0]: above 1000000000".
struct Malformed {
    std::string why;
};

// Returns true if the name is not empty, has at most max_name_size bytes and no control characters, since
// names are written to log lines. Names are UTF-8; decoding JSON rejects other text.
[[nodiscard]] bool valid_name(std::string_view name);

[[nodiscard]] std::string_view text_of(budget::Counts counts);

[[nodiscard]] std::string encode(const budget::LeaseRequest& request);
[[nodiscard]] std::variant<budget::LeaseRequest, Malformed> decode_request(std::string_view text);
[[nodiscard]] std::string encode(const budget::LeaseReply& reply);
[[nodiscard]] std::variant<budget::LeaseReply, Malformed> decode_reply(std::string_view text);

// The authority's state as GET /v1/budgets returns it. Time spans are relative to when the view was made.
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
        Micros left{};  // remaining time of the last grant; negative if it has ended, zero if there was none
        std::string why;  // why more than the share is counted
    };
    // Processes that were refused and have not been granted a lease since.
    struct Refused {
        std::string holder, instance;
        budget::Verdict verdict = budget::Verdict::waiting;
        std::string why;
        Micros ago{};
    };
    std::uint64_t epoch = 0;
    Micros waits{};  // remaining time until the authority may grant leases; zero if it may
    bool stepped_down = false;
    std::string trouble;  // why the journal can't be written; empty if it can
    std::vector<Sum> sums;
    std::vector<Held> held;
    std::vector<Refused> refused;
    std::uint64_t left_out = 0;  // rows of `held` that exceed max_rows
};
[[nodiscard]] std::string encode(const View& view);
[[nodiscard]] std::variant<View, Malformed> decode_view(std::string_view text);

}  // namespace flaxdoor::coordinator
