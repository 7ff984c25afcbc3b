#include "http/cases.h"

namespace flaxdoor::http::test {

namespace {

using namespace std::string_literals;

const std::string head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\n";
const std::string good = head + "X-Call-Class: once\r\nX-Budget-Ms: 100\r\n";
const std::string none = "Content-Length: 0\r\n\r\n";
const std::string get =
    "GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: look\r\nX-Budget-Ms: 100\r\n";

std::string look(const std::string& id = "a1") {
    return "GET /api?q=1 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + id +
           "\r\nX-Call-Class: look\r\nX-Budget-Ms: 5000\r\n\r\n";
}
std::string once(const std::string& body = "body") {
    return "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: b2\r\nX-Call-Class: once\r\nX-Budget-Ms: "
           "5000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string length_of(const std::string& body) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}
std::string ok(const std::string& body = "served", const std::string& fields = "") {
    return "HTTP/1.1 200 OK\r\n" + fields + length_of(body) + "\r\n" + body;
}
// Returns a request whose header has exactly this size.
std::string sized_get(std::size_t size) {
    const auto start = "GET /api HTTP/1.1\r\nX-Long: "s;
    return start + std::string(size - start.size() - 4, 'x') + "\r\n\r\n";
}
std::string sized_ok(std::size_t size) {
    const auto start = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Long: "s;
    return start + std::string(size - start.size() - 4, 'x') + "\r\n\r\nok";
}

constexpr std::size_t header_limit = 16384;
constexpr std::size_t body_limit = 65536;

}  // namespace

std::string RequestCase::bytes() const {
    std::string all;
    for (const auto& part : parts) all += part.bytes;
    return all;
}

std::vector<RequestCase> request_cases() {
    const std::string hidden = look();
    const std::string length = length_of(hidden);
    const std::string chunked = good + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string bad = "malformed 400";
    const std::string in_chunks = "POST /api [";
    return {
        {"nothing", {}},
        {"get", {{look(), "GET /api?q=1 []"}}},
        {"post", {{once(), "POST /api [body]"}}},
        {"post_binary",
         {{"POST /api?a=1&b=%20 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: 9b1f\r\nX-Call-Class: book "
           "it\r\n"
           "X-Budget-Ms: 5000\r\nIdempotency-Key: k7\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: "
           "5\r\n\r\na\0b\r\n"s,
           "POST /api?a=1&b=%20 [a\0b\r\n]"s}}},
        {"ready", {{"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "GET /ready []"}}},
        {"blank_lines",
         {{"\r\n" + once(), "POST /api [body]"}, {"\r\n\r\n" + look(), "GET /api?q=1 []"}, {"\r\n", ""}}},
        {"blank_line_half", {{once(), "POST /api [body]"}, {"\r" + hidden, bad}}, false},
        {"no_fields", {{"GET / HTTP/1.1\r\n\r\n", "GET / []"}}},
        {"other_method", {{"BREW /pot HTTP/1.1\r\nContent-Length: 3\r\n\r\ntea", "BREW /pot [tea]"}}},
        {"head", {{"HEAD /ready HTTP/1.1\r\n\r\n", "HEAD /ready []"}}},
        {"empty_body", {{good + none, "POST /api []"}}},
        {"empty_value", {{"GET /a HTTP/1.1\r\nX-Call-Id: \r\nA:\r\n\r\n", "GET /a []"}}},
        {"folded", {{"GET /a HTTP/1.1\r\nX: one\r\n  two\r\n\tthree\r\nY: 1\r\n\r\n", "GET /a []"}}},
        {"pipelined", {{look("first"), "GET /api?q=1 []"}, {look("second"), "GET /api?q=1 []"}}},
        {"pipelined_mixed",
         {{once("one"), "POST /api [one]"},
          {chunked + "3\r\ntwo\r\n0\r\n\r\n", "POST /api [two]"},
          {look(), "GET /api?q=1 []"},
          {"GET /ready HTTP/1.1\r\n\r\n", "GET /ready []"}}},
        {"pipelined_half", {{once(), "POST /api [body]"}, {look().substr(0, 50), ""}}},
        {"pipelined_bad", {{once(), "POST /api [body]"}, {"nonsense\r\n\r\n", bad}, {hidden, ""}}, false},
        {"pipelined_after_close",
         {{"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "GET /a []"}, {hidden, ""}},
         false},
        {"half_header", {{once().substr(0, 60), ""}}},
        {"half_body", {{"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nbod", ""}}},
        {"close_among_others", {{"GET /a HTTP/1.1\r\nConnection: x-hop, Close\r\n\r\n", "GET /a []"}}, false},
        {"old", {{"GET /a HTTP/1.0\r\nHost: x\r\n\r\n", "GET /a []"}}, false},
        {"old_kept",
         {{"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET /a []"},
          {"GET /b HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", "GET /b []"}}},
        {"old_chunked",
         {{"POST /a HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: "
           "chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
           "POST /a [x]"},
          {hidden, ""}},
         false},
        {"continue",
         {{good + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "POST /api [body]"},
          {good + "Expect: 100-Continue\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n\r\n",
           "POST /api [more]"}}},
        {"continue_old",
         {{"POST /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "POST /a [body]"}},
         false},
        // chunked bodies
        {"chunked", {{chunked + "4\r\nbody\r\n0\r\n\r\n", in_chunks + "body]"}, {look(), "GET /api?q=1 []"}}},
        {"chunked_empty", {{chunked + "0\r\n\r\n", in_chunks + "]"}, {look(), "GET /api?q=1 []"}}},
        {"chunked_many",
         {{chunked + "1\r\na\r\n00A\r\n0123456789\r\n9\r\n\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n",
           in_chunks + "a0123456789\r\n\r\n0\r\n\r\n]"}}},
        {"chunked_extensions",
         {{chunked + "4;a=b\r\nbody\r\n2 ; c=\"d;e\"\r\nxy\r\n0;last\r\n\r\n", in_chunks + "bodyxy]"}}},
        {"chunked_trailers",
         {{chunked + "4\r\nbody\r\n0\r\nX-Call-Id: other\r\nContent-Length: 9\r\n\r\n", in_chunks + "body]"},
          {look(), "GET /api?q=1 []"}}},
        {"chunked_in_capitals",
         {{good + "transfer-encoding: Chunked \r\n\r\n1\r\nx\r\n0\r\n\r\n", in_chunks + "x]"}}},
        {"chunked_half", {{chunked + "4\r\nbody\r\n0\r\n", ""}}},
        {"chunked_largest",
         {{chunked + "8000\r\n" + std::string(0x8000, 'a') + "\r\n8000\r\n" + std::string(0x8000, 'a') +
               "\r\n0\r\n\r\n",
           in_chunks + std::string(body_limit, 'a') + "]"}}},
        {"chunked_too_large",
         {{chunked + "8000\r\n" + std::string(0x8000, 'a') + "\r\n8001\r\n", "malformed 413"}},
         false},
        {"chunked_huge", {{chunked + "ffffffffffffffff\r\n", "malformed 413"}}, false},
        {"chunked_overflow", {{chunked + "10000000000000000\r\n" + hidden, bad}}, false},
        {"chunked_zeros", {{chunked + "00000000000000001\r\n" + hidden, bad}}, false},
        {"chunked_no_hex", {{chunked + "zz\r\n" + hidden, bad}}, false},
        {"chunked_no_size", {{chunked + "\r\n" + hidden, bad}}, false},
        {"chunked_negative", {{chunked + "-1\r\n" + hidden, bad}}, false},
        {"chunked_blank_size", {{chunked + "1 \r\nx\r\n0\r\n\r\n" + hidden, bad}}, false},
        {"chunked_longer", {{chunked + "1\r\nxyz\r\n0\r\n\r\n" + hidden, bad}}, false},
        {"chunked_bare_lf", {{chunked + "1\nx\n0\n\n" + hidden, bad}}, false},
        {"chunked_bare_cr", {{chunked + "4\rXbody\r\n0\r\n\r\n" + hidden, bad}}, false},
        {"chunked_bare_cr_behind_data", {{chunked + "1\r\nx\rX0\r\n\r\n" + hidden, bad}}, false},
        {"chunked_bare_cr_behind_trailer", {{chunked + "0\r\nA: b\rX\r\n" + hidden, bad}}, false},
        {"chunked_bare_cr_at_the_end", {{chunked + "0\r\n\rX" + hidden, bad}}, false},
        {"chunked_lf_in_extension", {{chunked + "1;a\nb\r\nx\r\n0\r\n\r\n" + hidden, bad}}, false},
        {"chunked_bad_trailer", {{chunked + "0\r\nno trailer\r\n\r\n" + hidden, bad}}, false},
        {"chunked_long_extension", {{chunked + "1;" + std::string(17000, 'x') + "\r\nx", bad}}, false},
        {"chunked_long_trailers", {{chunked + "0\r\nX: " + std::string(17000, 'x'), bad}}, false},
        // malformed requests
        {"nonsense", {{"nonsense\r\n\r\n", bad}}, false},
        {"nonsense_line", {{"nonsense\r\n", bad}}, false},
        {"binary", {{"\x16\x03\x01\x02", bad}}, false},
        {"no_target", {{"GET\r\n\r\n", bad}}, false},
        {"no_version", {{"GET /\r\n\r\n", bad}}, false},
        {"next_version", {{"GET / HTTP/2.0\r\n\r\n", bad}}, false},
        {"version_line", {{"GET / HTTP/1.2\r\n", bad}}, false},
        {"long_method", {{std::string(33, 'M'), bad}}, false},
        {"bare_lf", {{"GET / HTTP/1.1\n\n", bad}}, false},
        {"bare_lf_later", {{"GET / HTTP/1.1\r\nHost: x\n\r\n", bad}}, false},
        {"bare_lf_and_bad_line", {{"GET / HTTP/9.1\r\nHost: x\n\r\n", bad}}, false},
        {"no_colon", {{"GET / HTTP/1.1\r\nHost\r\n\r\n", bad}}, false},
        {"blank_ahead_of_colon", {{good + "Content-Length : 0\r\n\r\n" + hidden, bad}}, false},
        {"control_in_value", {{"GET / HTTP/1.1\r\nA: x\x01y\r\n\r\n", bad}}, false},
        {"cr_in_value", {{"GET / HTTP/1.1\r\nA: x\ry\r\n\r\n", bad}}, false},
        {"bad_connection", {{"GET / HTTP/1.1\r\nConnection: \"\r\n\r\n", bad}}, false},
        {"header_at_limit", {{sized_get(header_limit), "GET /api []"}}},
        {"header_over_limit", {{sized_get(header_limit + 1), bad}}, false},
        {"header_endless", {{"GET /api HTTP/1.1\r\nX-Long: " + std::string(20000, 'x'), bad}}, false},
        {"header_full", {{"GET /api HTTP/1.1\r\nX: " + std::string(header_limit - 22, 'x'), bad}}, false},
        {"target_endless", {{"GET /" + std::string(20000, 'x'), bad}}, false},
        // Content-Length and Transfer-Encoding
        {"largest_body",
         {{good + "Content-Length: 65536\r\n\r\n" + std::string(body_limit, 'x'),
           in_chunks + std::string(body_limit, 'x') + "]"}}},
        {"too_large", {{good + "Content-Length: 65537\r\n\r\n", "malformed 413"}}, false},
        {"length_no_number", {{good + "Content-Length: 1x\r\n\r\n", bad}}, false},
        {"length_negative", {{good + "Content-Length: -1\r\n\r\n", bad}}, false},
        {"length_signed", {{good + "Content-Length: +1\r\n\r\nx", bad}}, false},
        {"length_empty", {{good + "Content-Length: \r\n\r\n", bad}}, false},
        {"length_overflow", {{good + "Content-Length: 99999999999999999999999\r\n\r\n", bad}}, false},
        {"length_twice",
         {{good + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody" + hidden, bad}},
         false},
        {"length_twice_equal",
         {{good + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + hidden, bad}},
         false},
        {"length_list_equal", {{good + "Content-Length: 4, 4\r\n\r\nbody" + hidden, bad}}, false},
        {"length_and_chunked",
         {{good + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, bad}},
         false},
        {"chunked_and_length",
         {{good + "Transfer-Encoding: chunked\r\n" + length + "\r\n0\r\n\r\n" + hidden, bad}},
         false},
        {"length_and_identity",
         {{good + length + "Transfer-Encoding: identity\r\n\r\n" + hidden, bad}},
         false},
        {"identity_and_length",
         {{good + "Transfer-Encoding: identity\r\n" + length + "\r\n" + hidden, bad}},
         false},
        {"identity", {{good + "Transfer-Encoding: identity\r\n\r\n" + hidden, bad}}, false},
        {"xchunked_and_length",
         {{good + "Transfer-Encoding: xchunked\r\n" + length + "\r\n" + hidden, bad}},
         false},
        {"chunked_identity_and_length",
         {{good + "Transfer-Encoding: chunked, identity\r\n" + length + "\r\n" + hidden, bad}},
         false},
        {"gzip_chunked", {{good + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden, bad}}, false},
        {"chunked_twice",
         {{good + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, bad}},
         false},
        {"chunked_and_identity",
         {{good + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
           bad}},
         false},
        // requests that are valid HTTP; the platform layer rejects them
        {"get_with_body", {{get + length + "\r\n" + hidden, "GET /api [" + hidden + "]"}}},
        {"get_with_chunks",
         {{get + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "GET /api [body]"},
          {hidden, "GET /api?q=1 []"}}},
        {"unknown_class", {{head + "X-Call-Class: unheard\r\nX-Budget-Ms: 100\r\n" + none, "POST /api []"}}},
        {"other_path", {{"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", "GET /other []"}}},
    };
}

std::vector<AnswerCase> answer_cases() {
    const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    std::string interims;
    for (int i = 0; i < 8; ++i) interims += early;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string rejected =
        "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
    return {
        {"silence", "", ""},
        {"ok", ok(), "200 [served]"},
        {"binary", ok("x\0\r\ny"s, "X-Load-Report: active=1,avg_ms=2\r\n"), "200 [x\0\r\ny]"s},
        {"empty", ok(""), "200 []"},
        {"error", "HTTP/1.1 500 Oh No\r\nContent-Length: 3\r\n\r\nbad", "500 [bad]"},
        {"rejected", rejected, "503 []"},
        {"no_reason", "HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\nx", "200 [x]"},
        {"close", ok("served", "Connection: close\r\n"), "200 [served]", false},
        {"unasked", ok("mine"), "200 [mine]", false, ok("nobody's")},
        {"unasked_byte", ok("mine"), "200 [mine]", false, "\n"},
        {"old", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", "200 [x]", false},
        {"old_kept", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\nx", "200 [x]"},
        {"interim", "HTTP/1.1 100 Continue\r\n\r\n" + ok("final"), "200 [final]"},
        {"interim_most", interims + ok("final"), "200 [final]"},
        {"interim_too_many", interims + early, "spoilt"},
        {"interim_only", interims, ""},
        {"switching", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "spoilt"},
        {"no_content", "HTTP/1.1 204 No Content\r\n\r\n", "204 []"},
        {"not_modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n", "304 []"},
        {"no_content_with_body", "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n", "204 []", false,
         "body"},
        {"chunked", chunked + "3\r\nser\r\n3;x=y\r\nved\r\n0\r\nX-Sum: 1\r\n\r\n", "200 [served]"},
        {"chunked_behind_interim", early + chunked + "0\r\n\r\n", "200 []"},
        {"chunked_unasked", chunked + "1\r\nx\r\n0\r\n\r\n", "200 [x]", false, "\r\n"},
        {"chunked_cut", chunked + "3\r\nser\r\n", ""},
        {"cut", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", ""},
        {"cut_header", "HTTP/1.1 200 OK\r\nContent-Le", ""},
        {"length_twice_equal", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
         "200 [ok]"},
        {"largest", ok(std::string(body_limit, 'x')), "200 [" + std::string(body_limit, 'x') + "]"},
        {"header_at_limit", sized_ok(header_limit), "200 [ok]"},
        // malformed responses
        {"nonsense", "nonsense\r\n\r\n", "spoilt"},
        {"nonsense_start", "HTTP/2", "spoilt"},
        // Found by fuzzing: a response with a status below 100 was skipped as if it were an interim response.
        {"status_below_100", "HTTP/1.1 013 Early Hints\r\n\r\n" + ok(), "spoilt"},
        {"status_zero", "HTTP/1.1 000 Nothing\r\nContent-Length: 0\r\n\r\n", "spoilt"},
        {"bad_status", "HTTP/1.1 20x OK\r\n\r\n", "spoilt"},
        {"bare_lf", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", "spoilt"},
        {"bad_length", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "spoilt"},
        {"negative_length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "spoilt"},
        {"large_length", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n", "spoilt"},
        {"over_limit", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", "spoilt"},
        {"length_twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", "spoilt"},
        {"length_and_chunked",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "spoilt"},
        {"gzip_chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "spoilt"},
        {"bad_chunk", chunked + "zz\r\n", "spoilt"},
        {"large_chunk", chunked + "10001\r\n", "spoilt"},
        {"long_header", "HTTP/1.1 200 OK\r\nX-Long: " + std::string(20000, 'x'), "spoilt"},
        {"header_over_limit", sized_ok(header_limit + 1), "spoilt"},
        {"over_limit_without_length", "HTTP/1.1 200 OK\r\n\r\n" + std::string(body_limit + 1, 'x'), "spoilt"},
    };
}

}  // namespace flaxdoor::http::test
