#include "pg/service.h"

#include <algorithm>

namespace flaxdoor::pg {

Service::Service(const loop::Executor& executor, core::Core& core, const loop::Clock& clock,
                 ServiceOptions options, overload::MemoryBudget* memory)
    : core_(core),
      timers_(executor, clock),
      gate_(options.logins_at_once),
      role_again_(options.role_again),
      secrets_(std::move(options.secrets)) {
    budget_.most = options.max_servers;
    try {
        for (DatabaseOptions& database_options : options.databases) {
            Database& database = databases_[database_options.name];
            database.back = std::make_unique<ServerConnectionPool>(
                executor, core_, clock, gate_, budget_, secrets_, std::move(database_options.back));
            database.back->on_login_end([this] {
                for (auto& [name, other] : databases_) other.back->on_gate();
            });
            database.back->on_role(
                [this, &database](UpstreamId upstream, bool right) { on_role(database, upstream, right); });
            database.pool =
                core_.add_pool({"postgres/" + database_options.name, database_options.settings, options.seed},
                               *database.back, nullptr);
            database.members = std::move(database_options.members);
            publish_members(database);
            add_to_listener(options.front, database_options, database);
        }
        front_ = std::make_unique<Listener>(executor, core_, clock, std::move(options.front), memory);
        front_->listen(options.listen);
    } catch (...) {
        for (auto& [name, database] : databases_) {
            if (database.pool) core_.remove_pool(database.pool);
        }
        throw;
    }
}

Service::~Service() {
    front_->stop();
    front_.reset();
    for (auto& [name, database] : databases_) core_.remove_pool(database.pool);
}

void Service::change(ServiceOptions options) {
    gate_.set_max(options.logins_at_once);
    budget_.most = options.max_servers;
    for (auto& [user, secret] : options.secrets) {
        ScramSecret& known = secrets_[user];
        if (known.password != secret.password) known = secret;
    }
    ListenerOptions front = std::move(options.front);
    for (DatabaseOptions& database_options : options.databases) {
        const auto found = databases_.find(database_options.name);
        if (found == databases_.end()) continue;
        Database& database = found->second;
        core_.change_pool(database.pool, database_options.settings);
        add_to_listener(front, database_options, database);
        database.back->set_options(std::move(database_options.back));
        database.members = std::move(database_options.members);
        publish_members(database);
    }
    front_->set_options(std::move(front));
}

void Service::add_to_listener(ListenerOptions& front, DatabaseOptions& options, Database& database) {
    ListenerDatabase listener_database = options.front;
    longest_deadline_ = std::max(longest_deadline_, listener_database.deadline);
    listener_database.pool = database.pool;
    listener_database.back = database.back.get();
    front.databases[options.name] = std::make_shared<const ListenerDatabase>(std::move(listener_database));
}

// Leaves servers of the wrong role out of the list: listing them as draining would drain them in every pool.
void Service::publish_members(Database& database) {
    core::MemberList list;
    list.kind = ListKind::full;
    list.version = ++database.version;
    for (const core::Member& member : database.members) {
        if (!database.wrong_role.contains(member.entry.id)) list.members.push_back(member);
    }
    core_.on_list(database.pool, std::move(list));
}

void Service::on_role(Database& database, UpstreamId upstream, bool right) {
    if (right) return relist(database, upstream);
    auto& timer = database.wrong_role[upstream];
    const bool listed = !timer;
    if (listed) timer = std::make_unique<TimerSet::Timer>(timers_);
    timer->after(role_again_, [this, &database, upstream] { relist(database, upstream); });
    if (listed) publish_members(database);
}

void Service::relist(Database& database, UpstreamId upstream) {
    if (database.wrong_role.erase(upstream) > 0) publish_members(database);
}

}  // namespace flaxdoor::pg
