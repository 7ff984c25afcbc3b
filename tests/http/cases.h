// Valid and invalid messages with their expected results, shared by the tests of the HTTP protocol machines. The fuzz
// targets use their bytes as the seed corpus.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace flaxdoor::http::test {

// The input of one client connection. The event of a part is "METHOD target [body]" or "malformed STATUS"; it is empty
// when the part is incomplete, or follows a part that ended the connection.
struct Part {
    std::string bytes;
    std::string event;
};
struct RequestCase {
    std::string name;
    std::vector<Part> parts;
    bool lasts = true;  // the connection stays open after the last response
    std::string bytes() const;
};
inline std::ostream& operator<<(std::ostream& out, const RequestCase& c) { return out << c.name; }
std::vector<RequestCase> request_cases();

// An upstream's response to one request. `result` is "STATUS [body]", "spoilt" for a malformed response, or empty for
// an incomplete one.
struct AnswerCase {
    std::string name;
    std::string bytes;
    std::string result;
    bool reusable = true;
    std::string beyond{};  // unsolicited bytes after the response
};
inline std::ostream& operator<<(std::ostream& out, const AnswerCase& c) { return out << c.name; }
std::vector<AnswerCase> answer_cases();

}  // namespace flaxdoor::http::test
