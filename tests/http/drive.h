// Drives a machine with bytes in pieces, and tells what came of them as lines of text. Lines are the same for
// all ways to split the same bytes, or the machine is wrong.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "http/client_machine.h"
#include "http/server_machine.h"

namespace flaxdoor::http::test {

using Pieces = std::vector<std::string_view>;

enum class End { open, ended, reset };       // how the peer's bytes end
enum class Answers { at_once, at_the_end };  // when a request's answer is given

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
    std::vector<std::string> events;  // in brief
    std::string full;                 // with all fields, and why
    std::string written;              // without 100 Continue
    int continues = 0;
    int taken = 0;
    int malformed = 0;
    int answered = 0;
    bool spoke_after_last = false;
    ServerState state = ServerState::reading;
};

// All that must be the same for every split.
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
        pull();
    }
    Trace finish(End end) {
        if (end == End::ended) machine_.receive_end();
        if (end == End::reset) machine_.reset();
        pull();
        while (machine_.state() == ServerState::waiting) {
            give();
            pull();
        }
        trace_.state = machine_.state();
        return std::move(trace_);
    }
    ServerMachine& machine() { return machine_; }

private:
    void give() {
        Response response;
        response.body = "served";
        if (!machine_.answer(response)) trace_.events.push_back("answer not taken");
    }
    void pull() {
        for (;;) {
            auto event = machine_.next();
            drain();
            if (!event) {
                event = machine_.next();  // draining may have brought one
                if (!event) return;
            }
            take(*event);
            drain();
        }
    }
    void take(const ServerEvent& event) {
        switch (event.kind) {
            case ServerEvent::Kind::request:
                ++trace_.taken;
                trace_.events.push_back(brief(event.request));
                trace_.full += brief(event.request) + fields_of(event.request.fields) + "\n";
                if (answers_ == Answers::at_once) give();
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
    std::string result;  // in brief: "STATUS [body]", "spoilt", "never_ran", "may_have_run", or empty
    std::string full;    // with all fields, and why
    bool reusable = false;
    ClientState state = ClientState::idle;  // at the end
    int results = 0;                        // for one begin(), without `unasked`
};

inline std::string text_of(const Exchange& seen) {
    return seen.result + "\n" + seen.full + "\n" + std::to_string(seen.results) + " results, " +
           std::string(text_of(seen.state));
}

// A request of which `handed` bytes are written ahead of the answer's pieces; all by default.
inline Exchange ask(const Pieces& pieces, End end = End::open, std::size_t handed = std::string::npos,
                    const std::string& request = "GET / HTTP/1.1\r\n\r\n") {
    ClientMachine machine;
    Exchange seen;
    const auto take = [&](std::optional<ClientResult> result) {
        using Kind = ClientResult::Kind;
        if (!result || (result->kind == Kind::unasked && seen.results == 1)) return;
        ++seen.results;
        switch (result->kind) {
            case Kind::answered:
                seen.result = brief(result->answer);
                seen.full = seen.result + result->answer.reason + fields_of(result->answer.fields);
                seen.reusable = result->reusable;
                break;
            case Kind::spoilt:
                seen.result = "spoilt";
                seen.full = "spoilt: " + result->why;
                break;
            case Kind::never_ran: seen.result = "never_ran"; break;
            case Kind::may_have_run: seen.result = "may_have_run"; break;
            case Kind::unasked: seen.result = "unasked"; break;
        }
    };
    if (!machine.begin(request)) return seen;
    machine.wrote(std::min(handed, request.size()));
    for (const auto piece : pieces) take(machine.receive(piece));
    if (end == End::ended) take(machine.receive_end());
    if (end == End::reset) take(machine.reset());
    seen.state = machine.state();
    return seen;
}

}  // namespace flaxdoor::http::test
