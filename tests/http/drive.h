// Drivers that feed a protocol machine with bytes in pieces and record the results as text. The text must not depend on
// how the bytes were split.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "http/client_machine.h"
#include "http/server_machine.h"

namespace flaxdoor::http::test {

using Pieces = std::vector<std::string_view>;

enum class End { open, ended, reset };       // how the input ends
enum class Answers { at_once, at_the_end };  // when a request is responded to

inline Pieces pieces_of(std::string_view bytes, std::vector<std::size_t> cuts) {
    std::sort(cuts.begin(), cuts.end());
    Pieces pieces;
    std::size_t from = 0;
    for (const auto cut : cuts) {
        pieces.push_back(bytes.substr(from, cut - from));
        from = cut;
    }
    pieces.push_back(bytes.substr(from));
    return pieces;
}

inline Pieces bytes_of(std::string_view bytes) {
    Pieces pieces;
    for (std::size_t i = 0; i < bytes.size(); ++i) pieces.push_back(bytes.substr(i, 1));
    return pieces;
}

inline std::string fields_of(const Fields& fields) {
    std::string text;
    for (std::size_t i = 0; i < fields.size(); ++i) {
        text.append(fields.at(i).name).append("=").append(fields.at(i).value).append("|");
    }
    return text;
}

inline std::string brief(const Request& r) { return r.method + " " + r.target + " [" + r.body + "]"; }
inline std::string brief(const Response& r) { return std::to_string(r.status) + " [" + r.body + "]"; }

struct Trace {
    std::vector<std::string> events;  // in short form
    std::string full;                 // with all fields and errors
    std::string written;              // without 100 Continue
    int continues = 0;
    int taken = 0;
    int malformed = 0;
    int answered = 0;
    bool spoke_after_last = false;
    ServerState state = ServerState::reading;
};

// The part of a trace that must not depend on the split.
inline std::string text_of(const Trace& trace) {
    std::string text;
    for (const auto& event : trace.events) text += event + "\n";
    return text + trace.full + trace.written + std::string(text_of(trace.state));
}

class ServerDrive {
public:
    ServerDrive(Answers answers) : answers_(answers) {}

    void feed(std::string_view bytes) {
        machine_.receive(bytes);
        collect();
    }
    Trace finish(End end) {
        if (end == End::ended) machine_.receive_end();
        if (end == End::reset) machine_.reset();
        collect();
        while (machine_.state() == ServerState::waiting) {
            respond();
            collect();
        }
        trace_.state = machine_.state();
        return std::move(trace_);
    }
    ServerMachine& machine() { return machine_; }

private:
    void respond() {
        Response response;
        response.body = "served";
        if (!machine_.answer(response)) trace_.events.push_back("answer not accepted");
    }
    void collect() {
        for (;;) {
            auto event = machine_.next();
            drain();
            if (!event) {
                event = machine_.next();  // draining may have caused one
                if (!event) return;
            }
            record(*event);
            drain();
        }
    }
    void record(const ServerEvent& event) {
        switch (event.kind) {
            case ServerEvent::Kind::request:
                ++trace_.taken;
                trace_.events.push_back(brief(event.request));
                trace_.full += brief(event.request) + fields_of(event.request.fields) + "\n";
                if (answers_ == Answers::at_once) respond();
                return;
            case ServerEvent::Kind::malformed:
                ++trace_.malformed;
                trace_.events.push_back("malformed " + std::to_string(event.status));
                trace_.full += trace_.events.back() + event.why + "\n";
                return;
            case ServerEvent::Kind::half_closed: trace_.events.push_back("half_closed"); return;
            case ServerEvent::Kind::answered:
                ++trace_.answered;
                trace_.events.push_back("answered");
                return;
        }
    }
    void drain() {
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        while (!machine_.output().empty()) {
            std::string out(machine_.output());
            machine_.wrote(out.size());
            while (out.starts_with(interim)) {
                out.erase(0, interim.size());
                ++trace_.continues;
            }
            trace_.spoke_after_last = trace_.spoke_after_last || (closed_ && !out.empty());
            closed_ = closed_ || out.find("\r\nConnection: close\r\n") != std::string::npos;
            trace_.written += out;
        }
    }

    ServerMachine machine_;
    const Answers answers_;
    Trace trace_;
    bool closed_ = false;
};

inline Trace serve(const Pieces& pieces, Answers answers = Answers::at_once, End end = End::open) {
    ServerDrive drive(answers);
    for (const auto piece : pieces) drive.feed(piece);
    return drive.finish(end);
}

struct Exchange {
    std::string result;  // in short form: "STATUS [body]", "spoilt", "never_ran", "may_have_run", or empty
    std::string full;    // with all fields and errors
    bool reusable = false;
    ClientState state = ClientState::idle;  // at the end
    int results = 0;                        // for one begin(), excluding `unsolicited`
};

inline std::string text_of(const Exchange& seen) {
    return seen.result + "\n" + seen.full + "\n" + std::to_string(seen.results) + " results, " +
           std::string(text_of(seen.state));
}

// Writes `handed` bytes of the request (all by default), then feeds the response in pieces.
inline Exchange ask(const Pieces& pieces, End end = End::open, std::size_t handed = std::string::npos,
                    const std::string& request = "GET / HTTP/1.1\r\n\r\n") {
    ClientMachine machine;
    Exchange seen;
    const auto record = [&](std::optional<ClientResult> result) {
        using Kind = ClientResult::Kind;
        if (!result || (result->kind == Kind::unsolicited && seen.results == 1)) return;
        ++seen.results;
        switch (result->kind) {
            case Kind::answered:
                seen.result = brief(result->answer);
                seen.full = seen.result + result->answer.reason + fields_of(result->answer.fields);
                seen.reusable = result->reusable;
                break;
            case Kind::malformed:
                seen.result = "spoilt";
                seen.full = "spoilt: " + result->why;
                break;
            case Kind::never_executed: seen.result = "never_ran"; break;
            case Kind::may_have_executed: seen.result = "may_have_run"; break;
            case Kind::unsolicited: seen.result = "unasked"; break;
        }
    };
    if (!machine.begin(request)) return seen;
    machine.wrote(std::min(handed, request.size()));
    for (const auto piece : pieces) record(machine.receive(piece));
    if (end == End::ended) record(machine.receive_end());
    if (end == End::reset) record(machine.reset());
    seen.state = machine.state();
    return seen;
}

}  // namespace flaxdoor::http::test
