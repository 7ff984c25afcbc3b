#include "pg/pool.h"

#include <algorithm>

namespace flaxdoor::pg {

void Pool::set_server(UpstreamId upstream, const std::string& address, bool takes_work) {
    Server& server = servers_[upstream];
    const bool moved = !server.address.empty() && server.address != address;
    server.address = address;
    server.takes_work = takes_work;
    if (moved || !takes_work) close_idle(upstream);
    if (takes_work) return;
    for (auto& [key, place] : places_) {
        if (key.first == upstream) end_line(place, Outcome::moot, place.line.size());
    }
}

void Pool::remove_server(UpstreamId upstream) {
    close_idle(upstream);
    for (auto& [key, place] : places_) {
        if (key.first == upstream) end_line(place, Outcome::moot, place.line.size());
    }
    servers_.erase(upstream);
}

void Pool::want(core::AttemptKey attempt, UpstreamId upstream, const std::string& user, Time now) {
    now_ = now;
    const auto server = servers_.find(upstream);
    if (server == servers_.end() || !server->second.takes_work) {
        actions_.push_back({PoolAction::Kind::end, 0, attempt, upstream, user, Outcome::moot});
        return;
    }
    const PlaceKey key{upstream, user};
    Place& place = places_[key];
    if (place.line.size() >= limits_.line) {
        actions_.push_back({PoolAction::Kind::end, 0, attempt, upstream, user, Outcome::full});
        return;
    }
    place.line.push_back({attempt, now + limits_.wait});
    waiting_[attempt] = {key, std::prev(place.line.end())};
    serve(key, place);
}

bool Pool::drop(core::AttemptKey attempt) {
    const auto found = waiting_.find(attempt);
    if (found == waiting_.end()) return false;
    const PlaceKey key = found->second.first;
    places_.at(key).line.erase(found->second.second);
    waiting_.erase(found);
    forget_place(key);
    return true;
}

void Pool::serve(const PlaceKey& key, Place& place) {
    const auto server = servers_.find(key.first);
    if (server == servers_.end() || !server->second.takes_work) return;
    while (!place.line.empty() && !place.idle.empty()) {
        const LinkId id = place.idle.back();
        place.idle.pop_back();
        links_.at(id).state = State::busy;
        const core::AttemptKey attempt = place.line.front().attempt;
        place.line.pop_front();
        waiting_.erase(attempt);
        actions_.push_back({PoolAction::Kind::link, id, attempt, key.first, key.second, Outcome::ok});
    }
    while (now_ >= place.no_login_until && place.logging_in < place.line.size() &&
           place.all < limits_.connections && gate_.begin(server->second.address)) {
        const LinkId id = ++last_;
        links_[id] = {key, server->second.address, State::logging_in, now_, now_};
        ++place.all;
        ++place.logging_in;
        actions_.push_back({PoolAction::Kind::open, id, {}, key.first, key.second, Outcome::ok});
    }
}

void Pool::end_line(Place& place, Outcome outcome, std::size_t most) {
    for (; most > 0 && !place.line.empty(); --most) {
        const core::AttemptKey attempt = place.line.front().attempt;
        place.line.pop_front();
        waiting_.erase(attempt);
        actions_.push_back({PoolAction::Kind::end, 0, attempt, 0, {}, outcome});
    }
}

void Pool::on_login(LinkId id, LoginEnd end, Time now) {
    now_ = now;
    const auto found = links_.find(id);
    if (found == links_.end() || found->second.state != State::logging_in) return;
    if (end == LoginEnd::up || end == LoginEnd::apart) {
        const std::string address = found->second.address;
        --places_.at(found->second.place).logging_in;
        found->second.state = State::busy;
        found->second.born = now;
        gate_.end(address);
        return end == LoginEnd::up ? on_free(id, now) : void();
    }
    const PlaceKey key = found->second.place;
    forget(id);
    const auto place = places_.find(key);
    if (place == places_.end()) return;
    if (end == LoginEnd::down) {
        end_line(place->second, Outcome::connect_failed, place->second.line.size());
    } else if (place->second.all == 0) {
        // Somebody else has all its places: nobody here will give one back.
        end_line(place->second, end == LoginEnd::own ? Outcome::moot : Outcome::full,
                 place->second.line.size());
    }
    if (end != LoginEnd::down) place->second.no_login_until = now + limits_.login_again;
    forget_place(key);
}

void Pool::on_free(LinkId id, Time now) {
    now_ = now;
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    Link& link = found->second;
    if (!takes_work(link) || now - link.born > limits_.age) {
        const PlaceKey key = link.place;
        actions_.push_back({PoolAction::Kind::close, id, {}, key.first, {}, Outcome::ok});
        return on_gone(id);
    }
    link.state = State::idle;
    link.since = now;
    Place& place = places_.at(link.place);
    place.idle.push_back(id);
    serve(link.place, place);
}

void Pool::on_gone(LinkId id) {
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    const PlaceKey key = found->second.place;
    forget(id);
    const auto place = places_.find(key);
    if (place != places_.end()) serve(key, place->second);
    forget_place(key);
}

bool Pool::keep_apart(LinkId id) {
    const auto found = links_.find(id);
    if (found == links_.end() || found->second.state != State::idle) return false;
    found->second.state = State::busy;
    std::erase(places_.at(found->second.place).idle, id);
    return true;
}

void Pool::on_gate() {
    for (auto& [key, place] : places_) serve(key, place);
}

void Pool::on_time(Time now) {
    now_ = now;
    std::vector<LinkId> old;
    for (auto& [key, place] : places_) {
        // All wait equally long: who came first is due first.
        while (!place.line.empty() && place.line.front().until <= now) end_line(place, Outcome::full, 1);
        for (const LinkId id : place.idle) {
            if (links_.at(id).since + limits_.idle <= now) old.push_back(id);
        }
    }
    for (const LinkId id : old) {
        actions_.push_back({PoolAction::Kind::close, id, {}, 0, {}, Outcome::ok});
        on_gone(id);
    }
    for (auto& [key, place] : places_) serve(key, place);
}

std::optional<Time> Pool::next_time() const {
    std::optional<Time> next;
    const auto take = [&](Time at) {
        if (!next || at < *next) next = at;
    };
    for (const auto& [key, place] : places_) {
        if (!place.line.empty()) take(place.line.front().until);
        if (!place.line.empty() && place.no_login_until > now_) take(place.no_login_until);
        if (!place.idle.empty()) take(links_.at(place.idle.front()).since + limits_.idle);
    }
    return next;
}

std::optional<LinkId> Pool::longest_idle() const {
    std::optional<LinkId> oldest;
    for (const auto& [key, place] : places_) {
        if (place.idle.empty()) continue;
        const LinkId id = place.idle.front();
        if (!oldest || links_.at(id).since < links_.at(*oldest).since) oldest = id;
    }
    return oldest;
}

void Pool::close_idle(UpstreamId upstream) {
    std::vector<LinkId> idle;
    for (const auto& [key, place] : places_) {
        if (key.first == upstream) idle.insert(idle.end(), place.idle.begin(), place.idle.end());
    }
    for (const LinkId id : idle) {
        actions_.push_back({PoolAction::Kind::close, id, {}, upstream, {}, Outcome::ok});
        forget(id);
    }
}

std::optional<PoolAction> Pool::next() {
    if (actions_.empty()) return std::nullopt;
    PoolAction action = std::move(actions_.front());
    actions_.pop_front();
    return action;
}

void Pool::forget(LinkId id) {
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    Link& link = found->second;
    Place& place = places_.at(link.place);
    --place.all;
    if (link.state == State::logging_in) {
        --place.logging_in;
        gate_.end(link.address);
    }
    std::erase(place.idle, id);
    links_.erase(found);
}

void Pool::forget_place(const PlaceKey& key) {
    const auto found = places_.find(key);
    if (found != places_.end() && found->second.all == 0 && found->second.line.empty()) places_.erase(found);
}

bool Pool::takes_work(const Link& link) const {
    const auto server = servers_.find(link.place.first);
    return server != servers_.end() && server->second.takes_work && server->second.address == link.address;
}

}  // namespace flaxdoor::pg
