// The codec of the simulator's binary protocol: decodes frames of events, encodes frames of actions, and parses the settings
// of a new instance. It makes no decisions.
//
// Errors: malformed frames throw WireError; settings that are missing or cannot be parsed throw std::invalid_argument.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::wire {

// Sizes of the frames' parts, in bytes.
inline constexpr std::size_t batch_header_size = 20;
inline constexpr std::size_t reply_header_size = 12;
inline constexpr std::size_t event_size = 48;
inline constexpr std::size_t action_size = 24;
inline constexpr std::size_t entry_size = 25;
inline constexpr std::uint32_t max_body = 1U << 30;  // a longer body is rejected as malformed

// A frame that violates the protocol; what() names the violation and its place.
class WireError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct BatchHeader {
    std::uint32_t number = 0;
    Time now{};
    std::uint32_t body_size = 0;
    std::uint32_t records = 0;
};

struct CreateEvent {
    std::uint64_t seed = 0;
    std::string_view settings;  // lines path=value; see parse_settings()
};
struct ListEvent {
    ListKind kind = ListKind::failed;
    const std::vector<UpstreamEntry>* entries = nullptr;  // null if the call for the list failed
    std::uint64_t version = 0;
};
struct TimerEvent {
    std::uint64_t token = 0;
};
struct ClientGoneEvent {
    RequestId request = 0;
};
struct ExitEvent {};
struct PeerEvent {
    int from = 0;
    std::string_view payload;
};

struct Event {
    std::uint32_t instance = 0;
    std::variant<CreateEvent, ListEvent, Request, AttemptEnd, ProbeResult, TimerEvent, AttemptStart,
                 ClientGoneEvent, ExitEvent, PeerEvent>
        body;
};

BatchHeader decode_header(std::string_view bytes);

// Decodes the records of a batch in order. Numbered lists that a batch defines remain available to later batches.
class Decoder {
public:
    template <typename Visitor>
    void decode(const BatchHeader& header, std::string_view body, Visitor&& visit) {
        begin(header, body);
        Event event;
        while (next(event)) visit(event);
    }

private:
    void begin(const BatchHeader& header, std::string_view body);
    bool next(Event& event);
    void read_list(std::string_view record);

    std::string_view body_;
    std::string_view tail_;     // the part of the body after the records: texts and list entries
    std::uint32_t number_ = 0;  // of the batch
    std::uint32_t record_count_ = 0;
    std::uint32_t record_index_ = 0;
    std::array<std::vector<UpstreamEntry>, 16> lists_;
    std::array<bool, 16> list_defined_{};
};

// Encodes the actions of one reply.
class ReplyWriter {
public:
    void submit(std::uint32_t instance, RequestId request, UpstreamId upstream, Micros timeout);
    void refuse(std::uint32_t instance, RequestId request, Micros retry_after);
    void fail(std::uint32_t instance, RequestId request);
    void cancel(std::uint32_t instance, RequestId request, int attempt);
    void probe(std::uint32_t instance, UpstreamId upstream);
    void set_timer(std::uint32_t instance, Time at, std::uint64_t token);
    void watch(std::uint32_t instance, bool on);
    void fetch(std::uint32_t instance);
    void close_idle(std::uint32_t instance, UpstreamId upstream);
    void tell(std::uint32_t instance, std::optional<int> peer, std::string_view payload);
    void log(std::uint32_t instance, std::string_view line);
    void fault(std::uint32_t instance, std::string_view text);

    // Returns the complete frame and clears the writer.
    std::string finish(std::uint32_t number);

private:
    char* record(std::uint16_t code, std::uint32_t instance);
    void text(char* record, std::size_t at, std::string_view text);

    std::string records_;
    std::string tail_;  // texts that the records refer to
    std::uint32_t count_ = 0;
};

// Parses settings from lines path=value. Throws std::invalid_argument naming a setting that is missing or cannot be parsed.
// Ignores unknown settings.
Settings parse_settings(std::string_view text);

}  // namespace flaxdoor::wire
