// Compares the stand-in API server with exchanges written from Kubernetes' published conventions
// (exchanges/*.txt; each names its sources): the requests that a command-line client is documented to make,
// and the responses that a server must give. So the stand-in does more than the product's own client expects.
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "standins/http_text.h"
#include "standins/kube_api.h"

namespace flaxdoor::gateway::test {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using Json = nlohmann::json;

const fs::path folder = GATEWAY_TEST_FOLDER;

struct Exchange {
    int line = 0;
    // Request head without its length, request body, and the expected response as JSON.
    std::string head, body, expected;
    int status = 0;
};

// Lines with "> " are a request: request line, fields, an empty line, body. Lines with "< " are a response:
// status, then JSON.
std::vector<Exchange> read(const fs::path& file) {
    std::ifstream in(file);
    std::vector<Exchange> all;
    std::string text;
    bool in_request = false, in_body = false;
    for (int number = 1; std::getline(in, text); ++number) {
        if (text.starts_with('>')) {
            if (!in_request) {
                all.emplace_back();
                all.back().line = number;
                in_body = false;
            }
            in_request = true;
            text.erase(0, std::min<std::size_t>(2, text.size()));
            if (in_body) {
                all.back().body += text;
            } else if (text.empty()) {
                in_body = true;
            } else {
                all.back().head += text + (all.back().head.empty() ? " HTTP/1.1\r\n" : "\r\n");
            }
        } else if (text.starts_with("< ") && !all.empty()) {
            if (in_request) {
                all.back().status = std::stoi(text.substr(2));
            } else {
                all.back().expected += text.substr(2) + "\n";
            }
            in_request = false;
        } else if (!text.empty() && !text.starts_with('#')) {
            ADD_FAILURE() << file << ":" << number << ": neither request, answer nor comment";
        }
    }
    return all;
}

// Returns the first difference from the expected JSON with its path, or an empty text. An expected null means
// that the field must be absent; a list that begins with "..." may have further entries, in any order.
std::string difference(const Json& expected, const Json& got, const std::string& place = "") {
    if (expected.is_object()) {
        if (!got.is_object()) return place + ": no object";
        for (const auto& [name, value] : expected.items()) {
            const std::string at = place + "/" + name;
            if (value.is_null() ? got.contains(name) : !got.contains(name))
                return at + (value.is_null() ? ": is there" : ": is not there");
            if (value.is_null()) continue;
            if (auto message = difference(value, got[name], at); !message.empty()) return message;
        }
        return "";
    }
    if (!expected.is_array()) return expected == got ? "" : place + ": is " + got.dump();
    if (!got.is_array()) return place + ": no list";
    const bool allows_more = !expected.empty() && expected[0] == "...";
    if (!allows_more && expected.size() != got.size())
        return place + ": has " + std::to_string(got.size()) + " entries";
    for (std::size_t i = allows_more ? 1 : 0; i < expected.size(); ++i) {
        const std::string at = place + "/" + std::to_string(i);
        if (!allows_more) {
            if (auto message = difference(expected[i], got[i], at); !message.empty()) return message;
        } else if (std::none_of(got.begin(), got.end(),
                                [&](const Json& each) { return difference(expected[i], each).empty(); })) {
            return at + ": none such, but " + got.dump();
        }
    }
    return "";
}

class Exchanges : public testing::TestWithParam<const char*> {};

TEST_P(Exchanges, GetThePublishedResponses) {
    asio::io_context loop;
    standins::KubeApi api(loop, {});
    std::ifstream resources(folder / "resources/booking.yaml");
    std::ostringstream yaml;
    yaml << resources.rdbuf();
    api.play(yaml.str());
    const auto address = api.address();
    // From here until its end only this thread uses the server.
    std::thread serving([&] { loop.run(); });
    struct End {
        asio::io_context& loop;
        std::thread& thread;
        ~End() {
            loop.stop();
            thread.join();
        }
    } end{loop, serving};

    const fs::path file = folder / "exchanges" / (std::string(GetParam()) + ".txt");
    const auto exchanges = read(file);
    ASSERT_FALSE(exchanges.empty()) << file;
    asio::io_context own;
    asio::ip::tcp::socket socket(own);  // one connection for all exchanges, as the client keeps it open
    socket.connect(address);
    std::string in;
    for (const Exchange& each : exchanges) {
        SCOPED_TRACE(file.string() + ":" + std::to_string(each.line) + ": " +
                     each.head.substr(0, each.head.find('\r')));
        asio::write(socket, asio::buffer(each.head + "Host: api.example\r\nContent-Length: " +
                                         std::to_string(each.body.size()) + "\r\n\r\n" + each.body));
        standins::Head head;
        standins::Reading reading = standins::Reading::more;
        std::size_t length = 0;
        while (reading == standins::Reading::more || in.size() < head.bytes + length) {
            char buffer[4096];
            in.append(buffer, socket.read_some(asio::buffer(buffer)));
            reading = standins::read_head(in, head);
            ASSERT_NE(reading, standins::Reading::bad) << in;
            if (reading != standins::Reading::whole) continue;
            const auto content_length = standins::whole_number(head["Content-Length"]);
            ASSERT_TRUE(content_length) << in;
            length = *content_length;
        }
        EXPECT_EQ(head.second, std::to_string(each.status)) << in;
        EXPECT_EQ(head["Content-Type"], "application/json");
        const Json expected = Json::parse(each.expected, nullptr, false);
        ASSERT_FALSE(expected.is_discarded()) << "the expected response is not valid JSON";
        EXPECT_EQ(difference(expected, Json::parse(in.substr(head.bytes, length), nullptr, false)), "") << in;
        in.erase(0, head.bytes + length);
    }
    EXPECT_EQ(in, "");
}

INSTANTIATE_TEST_SUITE_P(OfACommandLineClient, Exchanges, testing::Values("discovery", "reading", "changing"),
                         [](const auto& info) { return std::string(info.param); });

}  // namespace
}  // namespace flaxdoor::gateway::test
