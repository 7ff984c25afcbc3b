// The stand-in API server beside recorded exchanges: the requests that a command-line client is documented to
// make, and what a server must answer, written from Kubernetes' published conventions (exchanges/*.txt; each
// names its sources). So the stand-in is not only what the product's client happens to expect.
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
    std::string head, body, wanted;  // of the request: the head without its length; of the answer: JSON
    int status = 0;
};

// "> " lines are a request: its line, fields, an empty one, the body. "< " lines are an answer: status, then
// JSON.
std::vector<Exchange> read(const fs::path& file) {
    std::ifstream in(file);
    std::vector<Exchange> all;
    std::string text;
    bool asks = false, in_body = false;
    for (int number = 1; std::getline(in, text); ++number) {
        if (text.starts_with('>')) {
            if (!asks) {
                all.emplace_back();
                all.back().line = number;
                in_body = false;
            }
            asks = true;
            text.erase(0, std::min<std::size_t>(2, text.size()));
            if (in_body) {
                all.back().body += text;
            } else if (text.empty()) {
                in_body = true;
            } else {
                all.back().head += text + (all.back().head.empty() ? " HTTP/1.1\r\n" : "\r\n");
            }
        } else if (text.starts_with("< ") && !all.empty()) {
            if (asks) {
                all.back().status = std::stoi(text.substr(2));
            } else {
                all.back().wanted += text.substr(2) + "\n";
            }
            asks = false;
        } else if (!text.empty() && !text.starts_with('#')) {
            ADD_FAILURE() << file << ":" << number << ": neither request, answer nor comment";
        }
    }
    return all;
}

// What the answer lacks of what was wanted, by its place; empty: nothing. A null is wanted to be absent; a
// list that begins with "..." may hold more, in any order.
std::string lacks(const Json& wanted, const Json& got, const std::string& place = "") {
    if (wanted.is_object()) {
        if (!got.is_object()) return place + ": no object";
        for (const auto& [name, value] : wanted.items()) {
            const std::string at = place + "/" + name;
            if (value.is_null() ? got.contains(name) : !got.contains(name))
                return at + (value.is_null() ? ": is there" : ": is not there");
            if (value.is_null()) continue;
            if (auto why = lacks(value, got[name], at); !why.empty()) return why;
        }
        return "";
    }
    if (!wanted.is_array()) return wanted == got ? "" : place + ": is " + got.dump();
    if (!got.is_array()) return place + ": no list";
    const bool open = !wanted.empty() && wanted[0] == "...";
    if (!open && wanted.size() != got.size())
        return place + ": has " + std::to_string(got.size()) + " entries";
    for (std::size_t i = open ? 1 : 0; i < wanted.size(); ++i) {
        const std::string at = place + "/" + std::to_string(i);
        if (!open) {
            if (auto why = lacks(wanted[i], got[i], at); !why.empty()) return why;
        } else if (std::none_of(got.begin(), got.end(),
                                [&](const Json& each) { return lacks(wanted[i], each).empty(); })) {
            return at + ": none such, but " + got.dump();
        }
    }
    return "";
}

class Exchanges : public testing::TestWithParam<const char*> {};

TEST_P(Exchanges, AreAnsweredAsPublished) {
    asio::io_context loop;
    standins::KubeApi api(loop, {});
    std::ifstream resources(folder / "resources/booking.yaml");
    std::ostringstream yaml;
    yaml << resources.rdbuf();
    api.play(yaml.str());
    const auto address = api.address();
    // From here to its end the server is that thread's.
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
    asio::ip::tcp::socket socket(own);  // one connection for all of them, as that client keeps it
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
            char room[4096];
            in.append(room, socket.read_some(asio::buffer(room)));
            reading = standins::read_head(in, head);
            ASSERT_NE(reading, standins::Reading::bad) << in;
            if (reading != standins::Reading::whole) continue;
            const auto told = standins::whole_number(head["Content-Length"]);
            ASSERT_TRUE(told) << in;
            length = *told;
        }
        EXPECT_EQ(head.second, std::to_string(each.status)) << in;
        EXPECT_EQ(head["Content-Type"], "application/json");
        const Json wanted = Json::parse(each.wanted, nullptr, false);
        ASSERT_FALSE(wanted.is_discarded()) << "what is wanted is no JSON";
        EXPECT_EQ(lacks(wanted, Json::parse(in.substr(head.bytes, length), nullptr, false)), "") << in;
        in.erase(0, head.bytes + length);
    }
    EXPECT_EQ(in, "");
}

INSTANTIATE_TEST_SUITE_P(OfACommandLineClient, Exchanges, testing::Values("discovery", "reading", "changing"),
                         [](const auto& info) { return std::string(info.param); });

}  // namespace
}  // namespace flaxdoor::gateway::test
