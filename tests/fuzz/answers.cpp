// What an upstream may send: any bytes, in any pieces, give the same result; and what is an answer is one to
// Boost.Beast's own parser as well.
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>

#include "fuzz/check.h"
#include "http/platform.h"

using namespace flaxdoor::http;
using namespace flaxdoor::http::test;

namespace {

void compare(const Exchange& split, const Exchange& whole) {
    require_same(text_of(split), text_of(whole), "the result differs with the split");
}

void compare_with_beast(const std::string& bytes) {
    namespace beast_http = boost::beast::http;
    if (bytes.empty()) return;
    ClientMachine machine;
    require(machine.begin("x"), "no exchange");
    machine.wrote(1);
    const auto result = machine.receive(bytes);
    if (!result || result->kind != ClientResult::Kind::answered) return;
    std::string_view rest = bytes;
    for (int turn = 0;; ++turn) {
        beast_http::response_parser<beast_http::string_body> parser;
        parser.header_limit(2 * max_header_bytes);
        parser.body_limit(default_max_body_bytes);
        parser.eager(true);
        boost::system::error_code error;
        const auto used = parser.put(boost::asio::buffer(rest.data(), rest.size()), error);
        if (error) {
            // Extensions and trailers are dropped here, and so not looked at as closely.
            require(equals_ignoring_case(result->answer.fields["Transfer-Encoding"], "chunked"),
                    "answer that is none");
            return;
        }
        require(parser.is_done(), "answer that is not whole");
        rest.remove_prefix(used);
        if (parser.get().result_int() < 200) {
            require(turn < ClientMachine::max_interim_responses, "too many interim answers");
            continue;
        }
        require(static_cast<int>(parser.get().result_int()) == result->answer.status, "another status");
        require(parser.get().body() == result->answer.body, "another body");
        require(
            result->reusable == (parser.get().keep_alive() && rest.empty()) || result->answer.version < 11,
            "reusable or not");
        return;
    }
}

// What goes on to a client is one answer, with the same body, and with no bytes behind it.
void send_on(const std::string& bytes) {
    ClientMachine machine;
    require(machine.begin("x"), "no exchange");
    machine.wrote(1);
    auto result = machine.receive(bytes);
    if (!result || result->kind != ClientResult::Kind::answered) return;
    prepare_client_response(result->answer);
    std::string on;
    append(on, result->answer, Persistence::unspecified);
    const Exchange seen = ask({on});
    require(seen.reusable, "what goes on is not one answer");
    if (result->answer.status != 204 && result->answer.status != 304) {
        require_same(seen.result, brief(result->answer), "what goes on is another answer");
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const Exchange whole = ask({bytes});
    const Exchange ended = ask({bytes}, End::ended);
    const Exchange early = ask({bytes}, End::reset, 3);  // the request is not whole yet
    require(ended.results == 1 && early.results == 1, "not one result");
    require(ended.result != "never_ran", "what may have run is told as never run");
    require(whole.results == 0 || whole.result == ended.result, "a result that the end has changed");
    require(!early.reusable, "reusable after an answer to half a request");
    for (const auto& pieces : splits_of(bytes)) {
        compare(ask(pieces), whole);
        compare(ask(pieces, End::ended), ended);
        compare(ask(pieces, End::reset, 3), early);
    }
    compare_with_beast(bytes);
    send_on(bytes);
    return 0;
}
