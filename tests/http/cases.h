// The messages that the tests of the HTTP machines share, good and bad, with what must come of each, written
// by hand. The fuzz targets start from their bytes.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace flaxdoor::http::test {

// What a client sends on one connection. An event is "METHOD target [body]" or "malformed STATUS", or empty
// when a part is never whole, or stands behind one that ended the connection.
struct Part {
    std::string bytes;
    std::string event;
};
struct RequestCase {
    std::string name;
    std::vector<Part> parts;
    bool lasts = true;  // the last answer leaves the connection open
    std::string bytes() const;
};
inline std::ostream& operator<<(std::ostream& out, const RequestCase& c) { return out << c.name; }
std::vector<RequestCase> request_cases();

// What an upstream sends for one request. `result` is "STATUS [body]", "spoilt", or empty when the answer is
// not whole yet.
struct AnswerCase {
    std::string name;
    std::string bytes;
    std::string result;
    bool reusable = true;
    std::string beyond{};  // sent behind the answer, unasked
};
inline std::ostream& operator<<(std::ostream& out, const AnswerCase& c) { return out << c.name; }
std::vector<AnswerCase> answer_cases();

}  // namespace flaxdoor::http::test
