#include "effects.h"

#include <utility>

#include "http_text.h"

namespace flaxdoor::standins {

namespace {

constexpr std::size_t names_most = 1U << 18U;  // of each kind, where only counts are kept

bool find_or_add(std::vector<std::uint64_t>& table, std::uint64_t name, bool add) {
    const auto mask = table.size() - 1;
    for (auto at = name & mask;; at = (at + 1) & mask) {
        if (table[at] == name) return true;
        if (table[at] == 0) {
            if (add) table[at] = name;
            return false;
        }
    }
}

std::size_t table_size(std::size_t most) {
    std::size_t size = 16;
    while (size < most * 2) size *= 2;
    return size;
}

}  // namespace

bool RecentNames::seen(std::string_view name) {
    auto sum = digest(name);
    sum ^= sum >> 32U;
    if (sum == 0) sum = 1;
    if (now_.empty()) now_.resize(table_size(most_));
    if (!before_.empty() && find_or_add(before_, sum, false)) return true;
    if (find_or_add(now_, sum, true)) return true;
    if (++held_ >= most_) {
        std::swap(now_, before_);
        now_.assign(before_.size(), 0);
        held_ = 0;
    }
    return false;
}

Effects::Effects(Detail detail, std::size_t records_most)
    : detail_(detail),
      records_most_(records_most),
      ids_seen_(names_most),
      keys_seen_(names_most),
      operations_seen_(names_most) {}

Effects::Record* Effects::record(std::string_view call_id) {
    const auto found = records_.find(std::string(call_id));
    return found == records_.end() ? nullptr : &found->second;
}

const Effects::Record* Effects::find(std::string_view call_id) const {
    const auto found = records_.find(std::string(call_id));
    return found == records_.end() ? nullptr : &found->second;
}

void Effects::came(const Request& request) {
    ++counts_.attempts;
    if (detail_ == Detail::counts) return;
    auto* known = record(request.call_id);
    if (known == nullptr) {
        if (records_.size() >= records_most_) {
            ++counts_.records_lost;
            return;
        }
        known = &records_[std::string(request.call_id)];
        known->call_id = request.call_id;
        known->key = request.key;
        known->cls = request.cls;
        known->operation = request.operation;
        known->safe = request.safe;
        known->first_byte = request.first_byte;
        known->last_byte = request.last_byte;
    }
    if (known->out > 0) ++counts_.second_copies;
    ++known->attempts;
    ++known->out;
}

std::uint32_t Effects::add(Tally& tally, std::string_view name) const {
    auto found = tally.find(std::string(name));
    if (found == tally.end()) {
        if (tally.size() >= records_most_) return 1;
        found = tally.emplace(name, 0).first;
    }
    return ++found->second;
}

void Effects::ran(const Request& request, std::string_view node, Time now) {
    ++counts_.ran;
    bool id_again = false, key_again = false, operation_again = false;
    const bool has_operation = !request.safe && !request.operation.empty();
    if (detail_ == Detail::counts) {
        id_again = ids_seen_.seen(request.call_id);
        key_again = !request.key.empty() && keys_seen_.seen(request.key);
        operation_again = has_operation && operations_seen_.seen(request.operation);
    } else {
        if (auto* known = record(request.call_id); known != nullptr) {
            id_again = ++known->runs > 1;
            if (known->first_runs.size() < 8) known->first_runs.push_back({std::string(node), now});
        }
        key_again = !request.key.empty() && add(keys_, request.key) > 1;
        operation_again = has_operation && add(operations_, request.operation) > 1;
    }
    if (id_again && request.safe) ++counts_.safe_again;
    if (id_again && !request.safe && request.key.empty()) ++counts_.unsafe_again;
    if (key_again) ++counts_.key_again;
    if (operation_again) ++counts_.operation_again;
}

void Effects::answered(std::string_view call_id) {
    ++counts_.answered;
    if (detail_ == Detail::counts) return;
    if (auto* known = record(call_id); known != nullptr) ++known->answers;
}

void Effects::over(std::string_view call_id) {
    if (detail_ == Detail::counts) return;
    if (auto* known = record(call_id); known != nullptr && known->out > 0) --known->out;
}

std::uint32_t Effects::runs_of_key(std::string_view key) const {
    const auto found = keys_.find(std::string(key));
    return found == keys_.end() ? 0 : found->second;
}

std::uint32_t Effects::runs_of_operation(std::string_view operation) const {
    const auto found = operations_.find(std::string(operation));
    return found == operations_.end() ? 0 : found->second;
}

std::vector<std::string> Effects::ran_again() const {
    std::vector<std::string> names;
    for (const auto& [id, record] : records_)
        if (!record.safe && record.key.empty() && record.runs > 1) names.push_back(id);
    for (const auto& [key, runs] : keys_)
        if (runs > 1) names.push_back(key);
    for (const auto& [operation, runs] : operations_)
        if (runs > 1) names.push_back(operation);
    return names;
}

void Effects::each(const std::function<void(const Record&)>& visit) const {
    for (const auto& [id, record] : records_) visit(record);
}

void KeyWindow::drop_old(Time now) {
    while (!order_.empty()) {
        const auto& [key, taken] = order_.front();
        const auto found = held_.find(key);
        const bool gone = found == held_.end() || found->second.second != taken;
        const bool old = now - taken >= window_ || held_.size() > keys_most_;
        if (!gone && !old) return;
        if (!gone && !found->second.first.done && !found->second.first.waiting.empty()) {
            // Those that wait still want the answer: it stays until it is there.
            if (order_.size() <= 2 * keys_most_) return;
        }
        if (!gone) held_.erase(found);
        order_.pop_front();
    }
}

KeyWindow::Held* KeyWindow::find(std::string_view key, Time now) {
    drop_old(now);
    const auto found = held_.find(std::string(key));
    if (found == held_.end() || now - found->second.second >= window_) return nullptr;
    return &found->second.first;
}

void KeyWindow::take(std::string_view key, Time now) {
    // Those that wait for an older first that never ended are told when this one ends.
    auto& [held, taken] = held_[std::string(key)];
    held.done = false;
    held.answer.clear();
    taken = now;
    order_.emplace_back(key, now);
    drop_old(now);
}

void KeyWindow::done(std::string_view key, std::string answer) {
    const auto found = held_.find(std::string(key));
    if (found == held_.end() || found->second.first.done) return;
    auto& held = found->second.first;
    held.done = true;
    held.answer = std::move(answer);
    // A waiter may come back here, so it is told from a copy.
    const auto waiting = std::exchange(held.waiting, {});
    const auto body = held.answer;
    for (const auto& tell : waiting) tell(&body);
}

void KeyWindow::forget(std::string_view key) {
    const auto found = held_.find(std::string(key));
    if (found == held_.end() || found->second.first.done) return;
    const auto waiting = std::exchange(found->second.first.waiting, {});
    held_.erase(found);
    for (const auto& tell : waiting) tell(nullptr);
}

}  // namespace flaxdoor::standins
