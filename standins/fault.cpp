#include "fault.h"

#include <array>
#include <charconv>
#include <initializer_list>
#include <utility>

namespace flaxdoor::standins {

namespace {

using std::string_view;

constexpr std::array<std::pair<string_view, FaultPoint>, 17> points{{
    {"before_accept", FaultPoint::before_accept},
    {"refuse", FaultPoint::refuse},
    {"after_n_request_bytes", FaultPoint::after_n_request_bytes},
    {"after_last_byte", FaultPoint::after_last_byte},
    {"never", FaultPoint::never},
    {"after_work", FaultPoint::after_work},
    {"after_head", FaultPoint::after_head},
    {"after_n_body_bytes", FaultPoint::after_n_body_bytes},
    {"noise", FaultPoint::noise},
    {"wrong_length", FaultPoint::wrong_length},
    {"foreign_answer", FaultPoint::foreign_answer},
    {"second_answer", FaultPoint::second_answer},
    {"status", FaultPoint::status},
    {"turn_away", FaultPoint::turn_away},
    {"informational", FaultPoint::informational},
    {"slow_bytes", FaultPoint::slow_bytes},
    {"answer", FaultPoint::answer},
}};

template <typename T>
bool number(string_view text, T& out) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

bool read_end(string_view text, FaultEnd& out) {
    if (text == "fin")
        out = FaultEnd::fin;
    else if (text == "rst")
        out = FaultEnd::rst;
    else if (text == "silence")
        out = FaultEnd::silence;
    else if (text == "keep")
        out = FaultEnd::keep;
    else
        return false;
    return true;
}

bool read_framing(string_view text, Framing& out) {
    if (text == "length")
        out = Framing::length;
    else if (text == "chunked")
        out = Framing::chunked;
    else if (text == "until_end")
        out = Framing::until_end;
    else
        return false;
    return true;
}

bool read_ms(string_view text, std::chrono::milliseconds& out) {
    std::int64_t ms = 0;
    if (!number(text, ms) || ms < 0 || ms > 3'600'000) return false;
    out = std::chrono::milliseconds(ms);
    return true;
}

bool read_option(string_view name, string_view value, Fault& fault) {
    if (name == "end") return read_end(value, fault.end);
    if (name == "framing") return read_framing(value, fault.framing);
    if (name == "run") {
        fault.run = value == "1";
        return value == "0" || value == "1";
    }
    if (name == "code") return number(value, fault.code) && fault.code >= 100 && fault.code <= 199;
    if (name == "count") return number(value, fault.count) && fault.count >= 1 && fault.count <= 1000;
    if (name == "late" || name == "for") return read_ms(value, fault.late);
    if (name == "every") return read_ms(value, fault.every);
    if (name == "conn") return number(value, fault.conn);
    if (name == "conn_every") return number(value, fault.conn_every);
    if (name == "req") return number(value, fault.req);
    if (name == "req_every") return number(value, fault.req_every);
    if (name == "times") return number(value, fault.times);
    if (name == "class") {
        fault.cls = value;
        return !value.empty();
    }
    if (name == "p") return number(value, fault.chance) && fault.chance >= 0 && fault.chance <= 1;
    return false;
}

std::string joined(std::initializer_list<string_view> parts) {
    std::string text;
    for (const auto part : parts) text.append(part);
    return text;
}

ParsedFault wrong(std::string text) { return {std::nullopt, {std::move(text)}}; }

}  // namespace

string_view name_of(FaultPoint point) {
    for (const auto& [name, value] : points)
        if (value == point) return name;
    return "?";
}

ParsedFault parse_fault(string_view spec) {
    Fault fault;
    bool first = true, end_set = false;
    while (first || !spec.empty()) {
        const auto comma = std::min(spec.find(','), spec.size());
        const auto field = spec.substr(0, comma);
        spec.remove_prefix(std::min(comma + 1, spec.size()));
        const auto equals = std::min(field.find('='), field.size());
        const auto name = field.substr(0, equals);
        const auto value = field.substr(std::min(equals + 1, field.size()));
        if (first) {
            first = false;
            const auto* found = points.begin();
            while (found != points.end() && found->first != name) ++found;
            if (found == points.end()) {
                auto text = joined({"fault: no point named '", name, "'; one of:"});
                for (const auto& [known, point] : points) text.append(" ").append(known);
                return wrong(std::move(text));
            }
            fault.point = found->second;
            fault.n = fault.point == FaultPoint::noise          ? 64
                      : fault.point == FaultPoint::wrong_length ? 10
                      : fault.point == FaultPoint::status       ? 500
                      : fault.point == FaultPoint::slow_bytes   ? 1
                                                                : 0;
            if (!value.empty() && !number(value, fault.n))
                return wrong(joined({"fault: '", value, "' after ", name, "= is no whole number"}));
            continue;
        }
        end_set = end_set || name == "end";
        if (!read_option(name, value, fault))
            return wrong(joined(
                {"fault: field '", field,
                 "' is not understood; fields are end=fin|rst|silence|keep framing=length|chunked|until_end "
                 "run=0|1 code= count= late=MS every=MS conn= conn_every= req= req_every= class= p=0..1 "
                 "times="}));
    }
    const bool negative_is_bad = fault.point != FaultPoint::wrong_length;
    if ((negative_is_bad && fault.n < 0) || fault.n > 1'000'000 || fault.n < -1'000'000)
        return wrong(joined({"fault: n=", std::to_string(fault.n), " is out of range"}));
    if (fault.point == FaultPoint::status && (fault.n < 200 || fault.n > 599))
        return wrong(joined({"fault: status=", std::to_string(fault.n), " is not between 200 and 599"}));
    if (fault.point == FaultPoint::slow_bytes && fault.n == 0)
        return wrong("fault: slow_bytes=0 would never end");
    if (!end_set) {
        switch (fault.point) {
            case FaultPoint::before_accept:
            case FaultPoint::never: fault.end = FaultEnd::silence; break;
            case FaultPoint::after_n_request_bytes:
            case FaultPoint::after_last_byte:
            case FaultPoint::after_work:
            case FaultPoint::after_head:
            case FaultPoint::after_n_body_bytes:
            case FaultPoint::refuse: fault.end = FaultEnd::rst; break;
            default: fault.end = fault.framing == Framing::until_end ? FaultEnd::fin : FaultEnd::keep; break;
        }
    }
    return {fault, {}};
}

}  // namespace flaxdoor::standins
