#include "pg/service.h"

#include <algorithm>

namespace flaxdoor::pg {

Service::Service(const loop::Executor& executor, core::Core& core, const loop::Clock& clock,
                 ServiceOptions options)
    : core_(core),
      alarms_(executor, clock),
      gate_(options.logins_at_once),
      role_again_(options.role_again),
      secrets_(std::move(options.secrets)) {
    budget_.most = options.servers_most;
    try {
        for (DatabaseOptions& each : options.databases) {
            Database& database = databases_[each.name];
            database.back = std::make_unique<Back>(executor, core_, clock, gate_, budget_, secrets_,
                                                   std::move(each.back));
            database.back->on_login_end([this] {
                for (auto& [name, other] : databases_) other.back->on_gate();
            });
            database.back->on_role(
                [this, &database](UpstreamId upstream, bool right) { on_role(database, upstream, right); });
            database.pool = core_.add_pool({"postgres/" + each.name, each.settings, options.seed},
                                           *database.back, nullptr);
            database.members = std::move(each.members);
            tell_members(database);
            give_front(options.front, each, database);
        }
        front_ = std::make_unique<Front>(executor, core_, clock, std::move(options.front));
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
    gate_.set_most(options.logins_at_once);
    budget_.most = options.servers_most;
    for (auto& [user, secret] : options.secrets) {
        ScramSecret& known = secrets_[user];
        if (known.password != secret.password) known = secret;
    }
    FrontOptions front = std::move(options.front);
    for (DatabaseOptions& each : options.databases) {
        const auto found = databases_.find(each.name);
        if (found == databases_.end()) continue;
        Database& database = found->second;
        core_.change_pool(database.pool, each.settings);
        give_front(front, each, database);
        database.back->set_options(std::move(each.back));
        database.members = std::move(each.members);
        tell_members(database);
    }
    front_->set_options(std::move(front));
}

void Service::give_front(FrontOptions& front, DatabaseOptions& options, Database& database) {
    FrontDatabase its = options.front;
    longest_ = std::max(longest_, its.deadline);
    its.pool = database.pool;
    its.back = database.back.get();
    front.databases[options.name] = std::make_shared<const FrontDatabase>(std::move(its));
}

// Who has the wrong role is not listed: to be listed as draining would drain it in every pool.
void Service::tell_members(Database& database) {
    core::MemberList list;
    list.kind = ListKind::full;
    list.version = ++database.version;
    for (const core::Member& member : database.members) {
        if (!database.wrong.contains(member.entry.id)) list.members.push_back(member);
    }
    core_.on_list(database.pool, std::move(list));
}

void Service::on_role(Database& database, UpstreamId upstream, bool right) {
    if (right) return list_again(database, upstream);
    auto& timer = database.wrong[upstream];
    const bool listed = !timer;
    if (listed) timer = std::make_unique<Alarms::One>(alarms_);
    timer->after(role_again_, [this, &database, upstream] { list_again(database, upstream); });
    if (listed) tell_members(database);
}

void Service::list_again(Database& database, UpstreamId upstream) {
    if (database.wrong.erase(upstream) > 0) tell_members(database);
}

}  // namespace flaxdoor::pg
