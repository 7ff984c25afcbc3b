#include "trace/file.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <limits>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <type_traits>
#include <utility>
#include <vector>

namespace flaxdoor::lab {

namespace {

constexpr std::string_view magic = "flaxtrac";
constexpr std::size_t full_block = std::size_t{64} << 10U;
constexpr std::size_t head_size = 16;   // magic, version, size of the terms
constexpr std::size_t block_head = 16;  // size, records, hash
constexpr std::size_t end_size = 32;    // records, digest, hash

constexpr std::size_t largest_record = 2 + 10 + 2 * 5 + 3 * 10;

// Flags the fields of a record that are not zero.
enum Mask : unsigned { has_who = 1, has_peer = 2, has_call = 4, has_a = 8, has_b = 16, all_of_mask = 31 };

template <typename Number>
void put_number(std::string& out, Number value) {
    for (std::size_t i = 0; i < sizeof(Number); ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}

template <typename Number>
Number number_at(std::string_view bytes, std::size_t at) {
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value |= static_cast<Number>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    }
    return value;
}

// Writes a varint and returns its end. Requires ten bytes of space.
char* varint_to(char* to, std::uint64_t value) {
    for (; value >= 0x80; value >>= 7U) *to++ = static_cast<char>(value | 0x80);
    *to++ = static_cast<char>(value);
    return to;
}

// Removes a varint from the front of `rest`. Returns false if it is incomplete or exceeds 64 bits.
bool take_varint(std::string_view& rest, std::uint64_t& value) {
    value = 0;
    for (unsigned shift = 0; shift < 64 && !rest.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(rest.front());
        rest.remove_prefix(1);
        if (shift == 63 && byte > 1) return false;
        value |= std::uint64_t{byte & 0x7fU} << shift;
        if (byte < 0x80) return true;
    }
    return false;
}

// Zigzag encoding: maps differences of either sign to small numbers.
constexpr std::uint64_t zigzag_encode(std::uint64_t difference) {
    return difference << 1U ^ (difference >> 63U ? ~std::uint64_t{0} : 0);
}
constexpr std::uint64_t zigzag_decode(std::uint64_t number) {
    return number >> 1U ^ (number & 1U ? ~std::uint64_t{0} : 0);
}

// A block's hash includes its number, so that swapped blocks are detected.
std::uint64_t hash_of(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}
std::uint64_t hash_of_block(std::uint32_t size, std::uint32_t records, std::string_view bytes,
                            std::uint64_t number) {
    std::string head;
    put_number(head, size);
    put_number(head, records);
    return hash_of(bytes, hash_of(head, number));
}

// Conversion of the terms to and from JSON.

using Json = nlohmann::json;

// Visits the fields of a type with their names, for both directions of the conversion.
template <typename Type, typename Function>
void fields(Type& x, const Terms::Class*, Function each) {
    each("name", x.name);
    each("effect", x.effect);
    each("by_zone", x.by_zone);
    each("window_us", x.window_us);
    each("aim_us", x.aim_us);
    each("deadline_us", x.deadline_us);
    each("worth", x.worth);
    each("late_worth", x.late_worth);
}
template <typename Type, typename Function>
void fields(Type& x, const Terms::Trouble*, Function each) {
    each("name", x.name);
    each("at_us", x.at_us);
    each("lasts_us", x.lasts_us);
}
template <typename Type, typename Function>
void fields(Type& x, const Terms*, Function each) {
    each("experiment", x.experiment);
    each("variant", x.variant);
    each("seed", x.seed);
    each("lasts_us", x.lasts_us);
    each("classes", x.classes);
    each("tenants", x.tenants);
    each("zones", x.zones);
    each("server_zones", x.server_zones);
    each("balancer_zones", x.balancer_zones);
    each("clients", x.clients);
    each("troubles", x.troubles);
    each("answer_slack_us", x.answer_slack_us);
    each("drain_grace_us", x.drain_grace_us);
    each("cold_share", x.cold_share);
    each("ramp_us", x.ramp_us);
    each("fall_multiple", x.fall_multiple);
    each("fall_span_us", x.fall_span_us);
    each("mean_work_us", x.mean_work_us);
}

constexpr std::string_view effects[] = {"safe", "keyed", "unsafe"};

template <typename T>
constexpr bool is_list = false;
template <typename T>
constexpr bool is_list<std::vector<T>> = true;

struct JsonMismatch {
    std::string what;
};

template <typename T>
Json json_of(const T& value) {
    if constexpr (requires { fields(value, static_cast<const T*>(nullptr), [](auto, auto&) {}); }) {
        Json json = Json::object();
        fields(value, static_cast<const T*>(nullptr),
               [&](const char* name, const auto& field) { json[name] = json_of(field); });
        return json;
    } else if constexpr (std::is_same_v<T, Terms::Effect>) {
        return effects[static_cast<std::size_t>(value)];
    } else if constexpr (is_list<T>) {
        Json json = Json::array();
        for (const auto& one : value) json.push_back(json_of(one));
        return json;
    } else {
        return value;
    }
}

template <typename T>
void read_json(const Json& json, T& value, const std::string& place) {
    const auto require = [&](bool fits, const char* what) {
        if (!fits) throw JsonMismatch{place + ": " + what + " is wanted"};
    };
    if constexpr (requires { fields(value, static_cast<const T*>(nullptr), [](auto, auto&) {}); }) {
        require(json.is_object(), "an object");
        std::set<std::string> known;
        fields(value, static_cast<const T*>(nullptr), [&](const char* name, auto& field) {
            known.insert(name);
            const std::string inner = place.empty() ? name : place + "." + name;
            if (!json.contains(name)) throw JsonMismatch{inner + ": is not there"};
            read_json(json[name], field, inner);
        });
        for (const auto& [name, unused] : json.items()) {
            if (!known.contains(name))
                throw JsonMismatch{(place.empty() ? name : place + "." + name) + ": unknown"};
        }
    } else if constexpr (std::is_same_v<T, Terms::Effect>) {
        require(json.is_string(), "safe, keyed or unsafe");
        const auto* const found = std::find(std::begin(effects), std::end(effects), json.get<std::string>());
        require(found != std::end(effects), "safe, keyed or unsafe");
        value = static_cast<Terms::Effect>(found - std::begin(effects));
    } else if constexpr (std::is_same_v<T, std::string>) {
        require(json.is_string(), "a text");
        value = json.get<std::string>();
    } else if constexpr (is_list<T>) {
        require(json.is_array(), "an array");
        for (std::size_t i = 0; i < json.size(); ++i) {
            read_json(json[i], value.emplace_back(), place + "[" + std::to_string(i) + "]");
        }
    } else if constexpr (std::is_same_v<T, bool>) {
        require(json.is_boolean(), "true or false");
        value = json.get<bool>();
    } else if constexpr (std::is_floating_point_v<T>) {
        require(json.is_number(), "a number");
        value = json.get<T>();
    } else {
        require(json.is_number_unsigned() && json.get<std::uint64_t>() <= std::numeric_limits<T>::max(),
                "a whole number that fits");
        value = json.get<T>();
    }
}

}  // namespace

std::string to_json(const Terms& terms) {
    return json_of(terms).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Terms> terms_of_json(std::string_view text, std::string& error) {
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        error = "no JSON";
        return std::nullopt;
    }
    try {
        Terms terms;
        read_json(json, terms, "");
        return terms;
    } catch (const JsonMismatch& malformed) {
        error = malformed.what;
        return std::nullopt;
    }
}

std::string Digest::text() const {
    char digits[33];
    std::snprintf(digits, sizeof digits, "%016llx%016llx", static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return digits;
}

// Encoding of records.

struct Blocks::Hash {
    XXH3_state_t state;
    Hash() { XXH3_128bits_reset(&state); }
};
struct TraceReader::Hash {
    XXH3_state_t state;
    Hash() { XXH3_128bits_reset(&state); }
};

namespace {

Digest digest_of(const XXH3_state_t& state) {
    const XXH128_hash_t hash = XXH3_128bits_digest(&state);
    return {hash.high64, hash.low64};
}

}  // namespace

Blocks::Blocks() : hash_(std::make_unique<Hash>()) { open_.reserve(full_block + largest_record); }
Blocks::~Blocks() = default;

bool Blocks::add(const Record& record) {
    const std::uint64_t at = std::max(record.at, at_);
    const unsigned mask = (record.who != 0 ? has_who : 0U) | (record.peer != 0 ? has_peer : 0U) |
                          (record.call != 0 ? has_call : 0U) | (record.a != 0 ? has_a : 0U) |
                          (record.b != 0 ? has_b : 0U);
    std::array<char, largest_record> bytes;
    char* to = bytes.data();
    *to++ = static_cast<char>(record.event);
    *to++ = static_cast<char>(mask);
    to = varint_to(to, at - at_);
    if ((mask & has_who) != 0) to = varint_to(to, record.who);
    if ((mask & has_peer) != 0) to = varint_to(to, record.peer);
    if ((mask & has_call) != 0) {
        to = varint_to(to, zigzag_encode(record.call - call_));
        call_ = record.call;
    }
    if ((mask & has_a) != 0) to = varint_to(to, record.a);
    if ((mask & has_b) != 0) to = varint_to(to, record.b);
    open_.append(bytes.data(), to);
    at_ = at;
    ++open_records_;
    ++records_;
    return open_.size() >= full_block;
}

Blocks::Block Blocks::take() {
    taken_.swap(open_);
    open_.clear();
    XXH3_128bits_update(&hash_->state, taken_.data(), taken_.size());
    return {taken_, std::exchange(open_records_, 0)};
}

Digest Blocks::digest() const { return digest_of(hash_->state); }

// Writer.

TraceWriter::TraceWriter(std::ostream& out, const Terms& terms) : out_(out) {
    const std::string json = to_json(terms);
    std::string head(magic);
    put_number(head, trace_version);
    put_number(head, static_cast<std::uint32_t>(json.size()));
    head += json;
    put_number(head, hash_of(head, 0));
    write(head);
}

void TraceWriter::write(std::string_view bytes) {
    out_.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes_ += bytes.size();
}

void TraceWriter::put(const Record& record) {
    if (blocks_.add(record)) write_block();
}

void TraceWriter::write_block() {
    const Blocks::Block block = blocks_.take();
    if (block.records == 0) return;  // an empty block would mark the end of the file
    std::string head;
    const auto size = static_cast<std::uint32_t>(block.bytes.size());
    put_number(head, size);
    put_number(head, block.records);
    put_number(head, hash_of_block(size, block.records, block.bytes, number_++));
    write(head);
    write(block.bytes);
}

std::optional<TraceWriter::Done> TraceWriter::finish() {
    write_block();  // the last, partly filled block
    const Digest digest = blocks_.digest();
    std::string end;
    put_number(end, std::uint32_t{0});
    put_number(end, std::uint32_t{0});
    put_number(end, hash_of_block(0, 0, {}, number_));
    const std::size_t from = end.size();
    put_number(end, blocks_.records());
    put_number(end, digest.high);
    put_number(end, digest.low);
    put_number(end, hash_of(std::string_view(end).substr(from), number_));
    write(end);
    out_.flush();
    if (!out_.good()) return std::nullopt;
    return Done{digest, blocks_.records(), bytes_};
}

// Reader.

std::string Damage::text() const { return "byte " + std::to_string(place) + ": " + what; }

TraceReader::TraceReader(std::istream& in) : in_(in), hash_(std::make_unique<Hash>()) {}
TraceReader::~TraceReader() = default;

TraceReader::Next TraceReader::damaged(std::uint64_t place, std::string what) {
    damage_ = {place, std::move(what)};
    final_result_ = Next::damaged;
    return Next::damaged;
}

bool TraceReader::read(std::size_t size) {
    bytes_.resize(size);
    in_.read(bytes_.data(), static_cast<std::streamsize>(size));
    place_ += static_cast<std::uint64_t>(in_.gcount());
    return static_cast<std::size_t>(in_.gcount()) == size;
}

std::optional<Terms> TraceReader::head() {
    const auto none = [&](std::uint64_t place, std::string what) {
        damaged(place, std::move(what));
        return std::nullopt;
    };
    if (!read(head_size)) return none(0, "the file is truncated within its head");
    if (!bytes_.starts_with(magic)) return none(0, "no trace: it does not begin with \"flaxtrac\"");
    const auto version = number_at<std::uint32_t>(bytes_, 8);
    if (version != trace_version) {
        return none(8, "version " + std::to_string(version) + " of the format; this program knows version " +
                           std::to_string(trace_version));
    }
    const auto size = number_at<std::uint32_t>(bytes_, 12);
    if (size > max_terms) return none(12, "the terms are damaged: " + std::to_string(size) + " bytes");
    std::string head = bytes_;
    if (!read(std::size_t{size} + 8)) return none(0, "the file is truncated within its head");
    head.append(bytes_, 0, size);
    if (number_at<std::uint64_t>(bytes_, size) != hash_of(head, 0)) return none(0, "the head is damaged");
    std::string error;
    auto terms = terms_of_json(std::string_view(bytes_).substr(0, size), error);
    if (!terms) return none(head_size, "terms: " + error);
    return terms;
}

TraceReader::Next TraceReader::next_block() {
    block_place_ = place_;
    if (!read(block_head)) return damaged(block_place_, "the file is truncated: it has no end");
    const auto size = number_at<std::uint32_t>(bytes_, 0);
    const auto records = number_at<std::uint32_t>(bytes_, 4);
    const auto hash = number_at<std::uint64_t>(bytes_, 8);
    if (size > max_block || (size == 0) != (records == 0))
        return damaged(block_place_, "the block is damaged");
    if (!read(size))
        return damaged(block_place_, "the file is truncated within a block, or the block's size is damaged");
    if (hash_of_block(size, records, bytes_, number_) != hash) {
        return damaged(block_place_, "the block is damaged");
    }
    if (size == 0) {
        // An empty block marks the end of the file.
        const std::uint64_t end = place_;
        if (!read(end_size)) return damaged(end, "the file is truncated within its end");
        digest_ = digest_of(hash_->state);
        if (number_at<std::uint64_t>(bytes_, 24) !=
            hash_of(std::string_view(bytes_).substr(0, 24), number_)) {
            return damaged(end, "the end is damaged");
        }
        if (number_at<std::uint64_t>(bytes_, 0) != records_ ||
            Digest{number_at<std::uint64_t>(bytes_, 8), number_at<std::uint64_t>(bytes_, 16)} != digest_) {
            return damaged(end, "the end does not match the records");
        }
        if (in_.peek() != std::istream::traits_type::eof()) {
            return damaged(place_, "more bytes after the end");
        }
        final_result_ = Next::end;
        return Next::end;
    }
    XXH3_128bits_update(&hash_->state, bytes_.data(), bytes_.size());
    ++number_;
    rest_ = bytes_;
    records_left_ = records;
    return Next::record;
}

TraceReader::Next TraceReader::next(Record& record) {
    if (final_result_) return *final_result_;
    if (records_left_ == 0 && next_block() != Next::record) return *final_result_;
    // The block's hash is correct, so a malformed record was written that way, by another program.
    const auto malformed = [&](const std::string& what) {
        return damaged(block_place_,
                       "the block is whole, but record " + std::to_string(records_) + " " + what);
    };
    if (rest_.size() < 2) return malformed("is not there");
    const auto event = static_cast<unsigned char>(rest_[0]);
    const auto mask = static_cast<unsigned char>(rest_[1]);
    rest_.remove_prefix(2);
    if (event >= event_kinds) return malformed("is of an unknown kind, " + std::to_string(event));
    if (mask > all_of_mask) return malformed("has unknown fields");
    std::uint64_t step = 0, who = 0, peer = 0, call = 0, a = 0, b = 0;
    const auto field = [&](unsigned bit, std::uint64_t& number) {
        return (mask & bit) == 0 || (take_varint(rest_, number) && (bit == has_call || number != 0));
    };
    if (!take_varint(rest_, step) || !field(has_who, who) || !field(has_peer, peer) ||
        !field(has_call, call) || !field(has_a, a) || !field(has_b, b) || who > UINT32_MAX ||
        peer > UINT32_MAX || step > ~at_) {
        return malformed("is no record");
    }
    at_ += step;
    if ((mask & has_call) != 0) call_ += zigzag_decode(call);
    record = {at_,
              static_cast<Event>(event),
              static_cast<std::uint32_t>(who),
              static_cast<std::uint32_t>(peer),
              (mask & has_call) != 0 ? call_ : 0,
              a,
              b};
    ++records_;
    if (--records_left_ == 0 && !rest_.empty()) return malformed("is followed by bytes of no record");
    return Next::record;
}

}  // namespace flaxdoor::lab
