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
    for (auto& [key, user_pool] : user_pools_) {
        if (key.first == upstream) end_waiting(user_pool, Outcome::inconclusive, user_pool.queue.size());
    }
}

void Pool::remove_server(UpstreamId upstream) {
    close_idle(upstream);
    for (auto& [key, user_pool] : user_pools_) {
        if (key.first == upstream) end_waiting(user_pool, Outcome::inconclusive, user_pool.queue.size());
    }
    servers_.erase(upstream);
}

void Pool::request_connection(core::AttemptKey attempt, UpstreamId upstream, const std::string& user,
                              Time now) {
    now_ = now;
    const auto server = servers_.find(upstream);
    if (server == servers_.end() || !server->second.takes_work) {
        actions_.push_back({PoolAction::Kind::end, 0, attempt, upstream, user, Outcome::inconclusive});
        return;
    }
    const UserPoolKey key{upstream, user};
    UserPool& user_pool = user_pools_[key];
    if (user_pool.queue.size() >= limits_.line) {
        actions_.push_back({PoolAction::Kind::end, 0, attempt, upstream, user, Outcome::full});
        return;
    }
    user_pool.queue.push_back({attempt, now + limits_.wait});
    waiting_[attempt] = {key, std::prev(user_pool.queue.end())};
    serve(key, user_pool);
}

bool Pool::cancel_request(core::AttemptKey attempt) {
    const auto found = waiting_.find(attempt);
    if (found == waiting_.end()) return false;
    const UserPoolKey key = found->second.first;
    user_pools_.at(key).queue.erase(found->second.second);
    waiting_.erase(found);
    remove_if_unused(key);
    return true;
}

void Pool::serve(const UserPoolKey& key, UserPool& user_pool) {
    const auto server = servers_.find(key.first);
    if (server == servers_.end() || !server->second.takes_work) return;
    while (!user_pool.queue.empty() && !user_pool.idle.empty()) {
        const ConnectionId id = user_pool.idle.back();
        user_pool.idle.pop_back();
        connections_.at(id).state = State::busy;
        const core::AttemptKey attempt = user_pool.queue.front().attempt;
        user_pool.queue.pop_front();
        waiting_.erase(attempt);
        actions_.push_back({PoolAction::Kind::link, id, attempt, key.first, key.second, Outcome::ok});
    }
    while (now_ >= user_pool.login_backoff_until && user_pool.logging_in < user_pool.queue.size() &&
           user_pool.total < limits_.connections && gate_.begin(server->second.address)) {
        const ConnectionId id = ++last_id_;
        connections_[id] = {key, server->second.address, State::logging_in, now_, now_};
        ++user_pool.total;
        ++user_pool.logging_in;
        actions_.push_back({PoolAction::Kind::open, id, {}, key.first, key.second, Outcome::ok});
    }
}

void Pool::end_waiting(UserPool& user_pool, Outcome outcome, std::size_t count) {
    for (; count > 0 && !user_pool.queue.empty(); --count) {
        const core::AttemptKey attempt = user_pool.queue.front().attempt;
        user_pool.queue.pop_front();
        waiting_.erase(attempt);
        actions_.push_back({PoolAction::Kind::end, 0, attempt, 0, {}, outcome});
    }
}

void Pool::on_login(ConnectionId id, LoginResult result, Time now) {
    now_ = now;
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.state != State::logging_in) return;
    if (result == LoginResult::succeeded || result == LoginResult::reserved) {
        const std::string address = found->second.address;
        --user_pools_.at(found->second.key).logging_in;
        found->second.state = State::busy;
        found->second.logged_in_at = now;
        gate_.end(address);
        return result == LoginResult::succeeded ? on_free(id, now) : void();
    }
    const UserPoolKey key = found->second.key;
    remove_connection(id);
    const auto user_pool = user_pools_.find(key);
    if (user_pool == user_pools_.end()) return;
    if (result == LoginResult::unreachable) {
        end_waiting(user_pool->second, Outcome::connect_failed, user_pool->second.queue.size());
    } else if (user_pool->second.total == 0) {
        // All server connections belong to other users, so no connection of this user will become free.
        end_waiting(user_pool->second,
                    result == LoginResult::local_failure ? Outcome::inconclusive : Outcome::full,
                    user_pool->second.queue.size());
    }
    if (result != LoginResult::unreachable) user_pool->second.login_backoff_until = now + limits_.login_again;
    remove_if_unused(key);
}

void Pool::on_free(ConnectionId id, Time now) {
    now_ = now;
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    if (!takes_work(connection) || now - connection.logged_in_at > limits_.age) {
        const UserPoolKey key = connection.key;
        actions_.push_back({PoolAction::Kind::close, id, {}, key.first, {}, Outcome::ok});
        return on_closed(id);
    }
    connection.state = State::idle;
    connection.idle_since = now;
    UserPool& user_pool = user_pools_.at(connection.key);
    user_pool.idle.push_back(id);
    serve(connection.key, user_pool);
}

void Pool::on_closed(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    const UserPoolKey key = found->second.key;
    remove_connection(id);
    const auto user_pool = user_pools_.find(key);
    if (user_pool != user_pools_.end()) serve(key, user_pool->second);
    remove_if_unused(key);
}

bool Pool::reserve(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.state != State::idle) return false;
    found->second.state = State::busy;
    std::erase(user_pools_.at(found->second.key).idle, id);
    return true;
}

void Pool::on_gate() {
    for (auto& [key, user_pool] : user_pools_) serve(key, user_pool);
}

void Pool::on_time(Time now) {
    now_ = now;
    std::vector<ConnectionId> old;
    for (auto& [key, user_pool] : user_pools_) {
        // All attempts have the same time limit, so they expire in the order of their arrival.
        while (!user_pool.queue.empty() && user_pool.queue.front().until <= now)
            end_waiting(user_pool, Outcome::full, 1);
        for (const ConnectionId id : user_pool.idle) {
            if (connections_.at(id).idle_since + limits_.idle <= now) old.push_back(id);
        }
    }
    for (const ConnectionId id : old) {
        actions_.push_back({PoolAction::Kind::close, id, {}, 0, {}, Outcome::ok});
        on_closed(id);
    }
    for (auto& [key, user_pool] : user_pools_) serve(key, user_pool);
}

std::optional<Time> Pool::next_time() const {
    std::optional<Time> next;
    const auto take = [&](Time at) {
        if (!next || at < *next) next = at;
    };
    for (const auto& [key, user_pool] : user_pools_) {
        if (!user_pool.queue.empty()) take(user_pool.queue.front().until);
        if (!user_pool.queue.empty() && user_pool.login_backoff_until > now_)
            take(user_pool.login_backoff_until);
        if (!user_pool.idle.empty()) take(connections_.at(user_pool.idle.front()).idle_since + limits_.idle);
    }
    return next;
}

std::optional<ConnectionId> Pool::longest_idle() const {
    std::optional<ConnectionId> oldest;
    for (const auto& [key, user_pool] : user_pools_) {
        if (user_pool.idle.empty()) continue;
        const ConnectionId id = user_pool.idle.front();
        if (!oldest || connections_.at(id).idle_since < connections_.at(*oldest).idle_since) oldest = id;
    }
    return oldest;
}

void Pool::close_idle(UpstreamId upstream) {
    std::vector<ConnectionId> idle;
    for (const auto& [key, user_pool] : user_pools_) {
        if (key.first == upstream) idle.insert(idle.end(), user_pool.idle.begin(), user_pool.idle.end());
    }
    for (const ConnectionId id : idle) {
        actions_.push_back({PoolAction::Kind::close, id, {}, upstream, {}, Outcome::ok});
        remove_connection(id);
    }
}

std::optional<PoolAction> Pool::next() {
    if (actions_.empty()) return std::nullopt;
    PoolAction action = std::move(actions_.front());
    actions_.pop_front();
    return action;
}

void Pool::remove_connection(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    UserPool& user_pool = user_pools_.at(connection.key);
    --user_pool.total;
    if (connection.state == State::logging_in) {
        --user_pool.logging_in;
        gate_.end(connection.address);
    }
    std::erase(user_pool.idle, id);
    connections_.erase(found);
}

void Pool::remove_if_unused(const UserPoolKey& key) {
    const auto found = user_pools_.find(key);
    if (found != user_pools_.end() && found->second.total == 0 && found->second.queue.empty())
        user_pools_.erase(found);
}

bool Pool::takes_work(const Connection& connection) const {
    const auto server = servers_.find(connection.key.first);
    return server != servers_.end() && server->second.takes_work &&
           server->second.address == connection.address;
}

}  // namespace flaxdoor::pg
