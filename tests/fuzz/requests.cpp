// What a client may send: any bytes, in any pieces, give the same events; and what is taken is what
// Boost.Beast's own parser, on its own, takes for it.
#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <iterator>

#include "fuzz/check.h"
#include "http/platform.h"

using namespace flaxdoor::http;
using namespace flaxdoor::http::test;

namespace {

void compare(const Trace& split, const Trace& whole) {
    require_same(text_of(split), text_of(whole), "events or answers differ with the split");
}

void check(const Trace& trace) {
    // By kind, not by text: a method may be of any letters, `malformed` too.
    require(trace.malformed <= 1, "malformed twice");
    require(trace.answered == trace.taken + trace.malformed, "not one answer for each");
    require(!trace.spoke_after_last, "something written after the last answer");
}

// Where this side is stricter than the parser, on purpose.
bool stricter(const std::string& why) {
    static constexpr std::array<std::string_view, 12> reasons = {
        "its end is told more than once, by Content-Length or Transfer-Encoding",
        "a Transfer-Encoding other than chunked",
        "bad Content-Length",
        "header too long",
        "not a start line of HTTP/1",
        "chunk size too long",
        "chunk extensions too long",
        "trailers too long",
        "bad chunk extension",
        "bad chunk size",
        "bad trailer",
        "bad line ending in a chunked body",
    };
    return std::find(reasons.begin(), reasons.end(), why) != reasons.end();
}

void compare_with_beast(const std::string& bytes) {
    namespace beast_http = boost::beast::http;
    beast_http::request_parser<beast_http::string_body> parser;
    parser.header_limit(2 * max_header_bytes);
    parser.body_limit(default_max_body_bytes);
    parser.eager(true);
    boost::system::error_code error;
    std::string_view request = bytes;
    while (request.starts_with("\r\n")) request.remove_prefix(2);  // the parser knows nothing of blank lines
    if (!request.empty()) parser.put(boost::asio::buffer(request.data(), request.size()), error);
    ServerMachine machine;
    machine.receive(bytes);
    const auto event = machine.next();
    if (!event) return;
    if (event->kind == ServerEvent::Kind::malformed) {
        require(error || !parser.is_done() || stricter(event->why), "refused what is a request");
        return;
    }
    const Request& taken = event->request;
    const bool chunked = equals_ignoring_case(taken.fields["Transfer-Encoding"], "chunked");
    if (error) {
        // Extensions and trailers are dropped here, and so not looked at as closely.
        require(chunked, "taken what is no request");
        return;
    }
    require(parser.is_done(), "taken what is not whole");
    const auto& message = parser.get();
    require(message.method_string() == taken.method, "another method");
    require(message.target() == taken.target, "another target");
    require(message.body() == taken.body, "another body");
    // The parser keeps fields of one name together, and adds trailers behind them.
    for (std::size_t i = 0; i < taken.fields.size(); ++i) {
        const auto [name, value] = taken.fields.at(i);
        std::ptrdiff_t before = 0;
        for (std::size_t j = 0; j < i; ++j) before += equals_ignoring_case(taken.fields.at(j).name, name);
        auto [at, end] = message.equal_range(name);
        while (at != end && before-- > 0) ++at;
        require(at != end, "a field that is not there");
        require(at->name_string() == name && at->value() == value, "another field");
    }
    require(chunked || static_cast<std::size_t>(std::distance(message.begin(), message.end())) ==
                           taken.fields.size(),
            "fields missing");
}

// What goes on is one message, whatever has come.
void send_on(const std::string& bytes) {
    ServerMachine machine;
    machine.receive(bytes);
    auto event = machine.next();
    if (!event || event->kind != ServerEvent::Kind::request) return;
    Request request = std::move(event->request);
    prepare_upstream_request(request);
    set_budget(request, flaxdoor::Micros(1000));
    const std::string on = to_bytes(request);
    if (on.size() - request.body.size() > max_header_bytes) return;  // by what was set here
    const Trace trace = serve({on});
    require(trace.taken == 1 && trace.events.size() == 2, "what goes on is not one request");
    require_same(trace.events[0], brief(request), "what goes on is another request");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const Trace whole = serve({bytes});
    const Trace late = serve({bytes}, Answers::at_the_end);
    const Trace ended = serve({bytes}, Answers::at_the_end, End::ended);
    check(whole);
    check(late);
    check(ended);
    require(ended.state == ServerState::over, "goes on after the client's end");
    require(whole.events == late.events, "events differ with the time of the answer");
    require(ended.taken == whole.taken, "requests lost or won at the client's end");
    for (const auto& pieces : splits_of(bytes)) {
        compare(serve(pieces), whole);
        compare(serve(pieces, Answers::at_the_end), late);
        compare(serve(pieces, Answers::at_the_end, End::ended), ended);
    }
    compare_with_beast(bytes);
    send_on(bytes);
    return 0;
}
