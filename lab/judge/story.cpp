#include "judge/story.h"

#include <algorithm>
#include <istream>
#include <map>
#include <ostream>
#include <utility>
#include <vector>

namespace flaxdoor::lab {

namespace {

std::string name_of(const std::vector<std::string>& names, std::size_t i, const char* kind) {
    return i < names.size() ? names[i] : std::string(kind) + " " + std::to_string(i);
}

std::string asked_text(const Record& record, const Terms& terms) {
    const Asked asked = Asked::unpacked(record.b);
    std::string text = asked.class_index < terms.classes.size()
                           ? terms.classes[asked.class_index].name
                           : "class " + std::to_string(asked.class_index);
    text += ", zone " + name_of(terms.zones, asked.zone, "number");
    if (!terms.tenants.empty()) text += ", tenant " + name_of(terms.tenants, asked.tenant, "number");
    if (asked.key != 0) text += ", key " + std::to_string(asked.key);
    return text + ", waits " + text_of_time(record.a);
}

bool is_of_call(const Record& record, const std::set<std::uint64_t>& calls) {
    return record.call != 0 && calls.contains(record.call);
}

struct RelatedRecords {
    std::set<std::uint64_t> calls;
    std::set<std::uint32_t> balancers, servers;
    std::uint64_t last_at = 0;
};

// Calls `each` for every record of the file. Returns the damage, if any.
template <typename Function>
std::optional<Damage> each_record(std::istream& in, Function each) {
    in.clear();
    in.seekg(0);
    TraceReader reader(in);
    const auto terms = reader.head();
    if (!terms) return reader.damage();
    Record record;
    TraceReader::Next next;
    while ((next = reader.next(record)) == TraceReader::Next::record) each(record, *terms);
    if (next == TraceReader::Next::damaged) return reader.damage();
    return std::nullopt;
}

// Scans the file once. Returns true if it found more related calls, whose earlier records it may have missed.
bool scan(std::istream& in, std::uint64_t call, RelatedRecords& related, bool& found_call,
          std::optional<Damage>& damage) {
    bool grown = false;
    const auto relate = [&](std::uint64_t other) {
        if (related.calls.size() < max_related && related.calls.insert(other).second) grown = true;
    };
    damage = each_record(in, [&](const Record& record, const Terms&) {
        if (record.event == Event::repeats) {
            if (related.calls.contains(record.call)) {
                relate(record.a);
            } else if (related.calls.contains(record.a)) {
                relate(record.call);
            }
        }
        if (!is_of_call(record, related.calls)) return;
        found_call = found_call || record.call == call;
        related.last_at = std::max(related.last_at, record.at);
        if (record.event == Event::taken) related.balancers.insert(record.who);
        if (record.event == Event::sending) related.servers.insert(record.peer);
    });
    return grown;
}

// Returns whether a record that belongs to no call affects the related calls.
bool is_relevant(
    const Record& record, const RelatedRecords& related,
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::pair<std::uint64_t, std::uint64_t>>& last_states) {
    switch (record.event) {
        case Event::told: {
            if (!related.balancers.contains(record.who) || !related.servers.contains(record.peer))
                return false;
            const std::pair state{record.a, record.b};  // whole lists repeat known states
            const auto [last, fresh] = last_states.try_emplace({record.who, record.peer}, state);
            return fresh || std::exchange(last->second, state) != state;
        }
        case Event::came_up:
        case Event::killed:
        case Event::told_to_end:
        case Event::ended: return related.balancers.contains(record.who);
        case Event::server_up:
        case Event::server_down:
        case Event::fell: return related.servers.contains(record.who);
        case Event::trouble: return true;
        default: return false;
    }
}

}  // namespace

std::string sentence_of(const Record& record, const Terms& terms) {
    const std::string who = std::to_string(record.who);
    const std::string peer = std::to_string(record.peer);
    const std::string call = "call " + std::to_string(record.call);
    const std::string client = "client " + who + ": ";
    const std::string balancer = "balancer " + who + ": ";
    const std::string server = "server " + who + ": ";
    const std::string attempt = "attempt " + std::to_string(record.a);
    const auto verdict = [&] {
        std::string text(text_of(static_cast<Verdict>(record.a)));
        if (record.b != 0) text += ", to come back in " + text_of_time(record.b);
        return text;
    };
    switch (record.event) {
        case Event::asked:
            return client + "asks balancer " + peer + " for " + call + " (" + asked_text(record, terms) + ")";
        case Event::repeats: return client + call + " repeats call " + std::to_string(record.a);
        case Event::received: return client + "has the answer of " + call + ": " + verdict();
        case Event::gave_up: return client + "gives " + call + " up";
        case Event::unreached:
            return client + (record.a != 0 ? "the link of " + call + " breaks"
                                           : "balancer " + peer + " does not take " + call);
        case Event::taken: return balancer + "takes " + call;
        case Event::final_answer: return balancer + "answers " + call + ": " + verdict();
        case Event::sending: return balancer + "sends " + attempt + " of " + call + " to server " + peer;
        case Event::heard:
            return balancer + "hears of " + attempt + " of " + call + " from server " + peer + ": " +
                   std::string(text_of(static_cast<Heard>(record.b)));
        case Event::came_up: return balancer + "is up (start " + std::to_string(record.a) + ")";
        case Event::killed: return balancer + "is killed";
        case Event::told_to_end: return balancer + "is asked to end";
        case Event::ended: return balancer + "has ended";
        case Event::arrived:
            return server + attempt + " of " + call + " arrives, work of " + text_of_time(record.b);
        case Event::turned_away: return server + attempt + " of " + call + " is turned away";
        case Event::ran:
            return server + attempt + " of " + call + (record.b != 0 ? " runs" : " is dropped as a repeat");
        case Event::replied:
            return server + "replies to " + attempt + " of " + call + ": " +
                   std::string(text_of(static_cast<Reply>(record.b)));
        case Event::server_up:
            return server + "begins" + (record.b != 0 ? ", cold" : "") + ", warm it does " +
                   text_of_time(record.a) + " of work a second";
        case Event::server_down: return server + "is down";
        case Event::fell: return server + "falls over";
        case Event::load:
            return server + "has " + std::to_string(record.a) + " in hand, of these " +
                   std::to_string(record.b) + " waiting";
        case Event::told:
            return balancer + "is told that server " + peer + " is " +
                   std::string(text_of(static_cast<Word>(record.a))) +
                   (record.b != 0 ? ", begun at " + text_of_time(record.b) : std::string());
        case Event::trouble:
            return "trouble: " +
                   (record.a < terms.troubles.size() ? terms.troubles[record.a].name
                                                     : "number " + std::to_string(record.a)) +
                   (record.b != 0 ? " begins" : " is over");
        case Event::over: return "the world ends";
    }
    return "unknown";
}

Story tell_story(std::istream& in, std::uint64_t call, std::ostream& out) {
    Story story;
    RelatedRecords related;
    related.calls.insert(call);
    bool found_call = false;
    while (scan(in, call, related, found_call, story.damage)) {
    }
    if (!found_call) return story;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::pair<std::uint64_t, std::uint64_t>> last_states;
    story.damage = each_record(in, [&](const Record& record, const Terms& terms) {
        if (record.at > related.last_at) return;
        if (!is_of_call(record, related.calls) && !is_relevant(record, related, last_states)) return;
        out << text_of_time(record.at) << "  " << sentence_of(record, terms) << '\n';
        ++story.lines;
    });
    story.calls = std::move(related.calls);
    return story;
}

}  // namespace flaxdoor::lab
