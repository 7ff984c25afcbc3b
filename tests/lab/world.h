// Worlds written by hand: a line a record, for the tests of judge and stories.
//
//     AT EVENT WHO PEER CALL A B
//
// AT in milliseconds, with a fraction if need be; missing numbers at the end are 0. A number may be a name
// (a class of the terms below, served, draining, cold...) or a time (100ms).
#pragma once

#include <cmath>
#include <cstdint>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "trace/record.h"
#include "trace/terms.h"

namespace flaxdoor::lab {

inline Terms terms_of_tests() {
    Terms terms;
    terms.experiment = "by hand";
    terms.classes = {{"safe", Terms::Effect::safe, false, 0, 50000, 100000},
                     {"keyed", Terms::Effect::keyed, false, 200000, 50000, 100000},
                     {"zoned", Terms::Effect::keyed, true, 200000, 50000, 100000},
                     {"unsafe", Terms::Effect::unsafe, false, 0, 50000, 100000}};
    terms.tenants = {"acme"};
    terms.zones = {"a", "b"};
    terms.server_zones = {0, 0, 1, 1};
    terms.balancer_zones = {0, 1};
    terms.clients = 10;
    terms.troubles = {{"drain", 50000, 100000}};
    terms.answer_slack_us = 20000;
    terms.drain_grace_us = 50000;
    terms.cold_share = 0.25;
    terms.ramp_us = 1000000;
    terms.fall_multiple = 4;
    terms.fall_span_us = 100000;
    return terms;
}

namespace by_hand {

inline Event event_of(const std::string& word) {
    for (std::size_t i = 0; i < event_kinds; ++i) {
        if (text_of(static_cast<Event>(i)) == word) return static_cast<Event>(i);
    }
    throw std::invalid_argument("no event: " + word);
}

inline std::uint64_t number_of(const std::string& word) {
    static const std::map<std::string, std::uint64_t> names{
        {"safe", 0},        {"keyed", 1},      {"zoned", 2}, {"unsafe", 3},   {"served", 0},
        {"refused", 1},     {"failed", 2},     {"ok", 0},    {"error", 1},    {"spoilt", 2},
        {"reset", 4},       {"timed_out", 5},  {"ready", 0}, {"draining", 1}, {"gone", 2},
        {"turned_away", 2}, {"never_left", 3}, {"cold", 1},  {"warm", 0}};
    if (const auto known = names.find(word); known != names.end()) return known->second;
    std::size_t end = 0;
    const double number = std::stod(word, &end);
    const bool ms = word.substr(end) == "ms";
    if (!ms && end != word.size()) throw std::invalid_argument("no number: " + word);
    return static_cast<std::uint64_t>(std::llround(ms ? number * 1000 : number));
}

}  // namespace by_hand

// Lines that begin with one of `kinds` or with neither '+' nor '-': "-" is the honest twin's, "+" the broken
// one's.
inline std::vector<Record> world(const std::string& text, char kind = ' ') {
    std::vector<Record> records;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.empty()) continue;
        if (line[0] == '+' || line[0] == '-') {
            if (line[0] != kind) continue;
            line[0] = ' ';
        }
        std::istringstream words(line);
        std::string at, event, word;
        if (!(words >> at >> event)) continue;
        std::vector<std::uint64_t> numbers;
        while (words >> word) numbers.push_back(by_hand::number_of(word));
        numbers.resize(5);
        records.push_back({by_hand::number_of(at + "ms"), by_hand::event_of(event),
                           static_cast<std::uint32_t>(numbers[0]), static_cast<std::uint32_t>(numbers[1]),
                           numbers[2], numbers[3], numbers[4]});
    }
    return records;
}

}  // namespace flaxdoor::lab
