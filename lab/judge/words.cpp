#include "judge/words.h"

namespace flaxdoor::lab {

void Words::told(const Record& told) {
    Last& last = words_[told.who][told.peer];
    if (static_cast<Word>(told.a) == Word::ready) {
        last.leaving_since.reset();
    } else if (!last.leaving_since) {
        last.leaving_since = told.at;
    }
    last.began = told.b;
}

const Words::Last* Words::find(std::uint32_t balancer, std::uint32_t server) const {
    const auto known = words_.find(balancer);
    if (known == words_.end()) return nullptr;
    const auto last = known->second.find(server);
    return last == known->second.end() ? nullptr : &last->second;
}

void Words::sending(const Record& sending) {
    const Last* last = find(sending.who, sending.peer);
    if (last == nullptr || !last->leaving_since) return;
    const std::uint64_t after = sending.at - *last->leaving_since;
    if (after <= terms_.drain_grace_us) {
        ++findings_.counts.while_leaving;
        return;
    }
    findings_.add({Rule::drains, sending.at, sending.call, sending.who, sending.peer,
                   "attempt " + std::to_string(sending.a) + " goes to server " +
                       std::to_string(sending.peer) + " " + text_of_time(after) + " after balancer " +
                       std::to_string(sending.who) + " was told that it leaves; the grace is " +
                       text_of_time(terms_.drain_grace_us)});
}

bool Words::told_of_start(std::uint32_t balancer, std::uint32_t server, std::uint64_t began) const {
    // Lists may announce start times in whole milliseconds.
    constexpr std::uint64_t rounding_us = 1000;
    const Last* last = find(balancer, server);
    return last != nullptr && last->began != 0 && last->began + rounding_us > began;
}

std::size_t Words::held() const {
    std::size_t held = 0;
    for (const auto& [balancer, servers] : words_) held += servers.size();
    return held;
}

}  // namespace flaxdoor::lab
