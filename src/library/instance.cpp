#include "library/instance.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <stdexcept>
#include <unordered_set>

#include "http/calls.h"
#include "settings/product.h"
#include "settings/reader.h"
#include "settings/tables/core.h"

namespace flaxdoor::detail {

namespace asio = boost::asio;

namespace {

CallCause cause_of(core::Cause cause) {
    switch (cause) {
        case core::Cause::none: return CallCause::none;
        case core::Cause::no_room: return CallCause::no_room;
        case core::Cause::over_budget: return CallCause::over_budget;
        case core::Cause::turned_away: return CallCause::turned_away;
        case core::Cause::timed_out: return CallCause::timed_out;
        case core::Cause::broken: return CallCause::broken;
        case core::Cause::error:
        case core::Cause::broken_off: return CallCause::error;
        case core::Cause::overdue: return CallCause::overdue;
        case core::Cause::own_shortage: return CallCause::own_shortage;
        case core::Cause::pool_removed:
        case core::Cause::shutting_down: return CallCause::closed;
        case core::Cause::fault: return CallCause::fault;
    }
    return CallCause::fault;
}

CallVerdict verdict_of(core::Verdict verdict) {
    switch (verdict) {
        case core::Verdict::served: return CallVerdict::served;
        case core::Verdict::refused: return CallVerdict::refused;
        case core::Verdict::failed: return CallVerdict::failed;
    }
    return CallVerdict::failed;
}

std::vector<std::pair<std::string, std::string>> headers_of(const http::Fields& fields) {
    std::vector<std::pair<std::string, std::string>> headers;
    headers.reserve(fields.size());
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const auto [name, value] = fields.at(i);
        headers.emplace_back(name, value);
    }
    return headers;
}

// What a web client is told of what HTTP has words for.
HttpAnswer worded(http::Response message, CallResult result, bool close) {
    HttpAnswer answer;
    answer.status = message.status;
    answer.headers = headers_of(message.fields);
    answer.body = std::move(message.body);
    answer.close = close;
    answer.result = std::move(result);
    return answer;
}

// A call that ended here, without the core's final answer.
HttpAnswer ended(CallCause cause, bool may_have_run, std::string why = {},
                 http::NotTaken told = {http::failure(502)}) {
    CallResult result;
    result.cause = cause;
    result.may_have_run = may_have_run;
    result.why = std::move(why);
    if (cause == CallCause::cancelled) result.error = asio::error::operation_aborted;
    // Whoever is told of a refusal asks again: what may have run would run twice.
    if (cause == CallCause::closed && !may_have_run) told = {http::refusal({})};
    return worded(std::move(told.answer), std::move(result), told.last);
}

HttpAnswer misunderstood(std::string why) {
    http::NotTaken told{http::plain_answer(400, why), true};
    return ended(CallCause::bad_request, false, std::move(why), std::move(told));
}

HttpAnswer not_taken(core::Taken taken) {
    http::NotTaken told = http::answer_of(taken);
    switch (taken) {
        case core::Taken::name_open:
            return ended(CallCause::name_open, true, "a call of this id is open, or may still run",
                         std::move(told));
        case core::Taken::unknown_tenant:
            return ended(CallCause::bad_request, false, "tenant is none of the settings'", std::move(told));
        case core::Taken::bad_class:
            return ended(CallCause::bad_request, false, "class is none of the settings'", std::move(told));
        case core::Taken::too_many: {
            HttpAnswer answer =
                ended(CallCause::own_shortage, false, "as many calls are open as may be", std::move(told));
            answer.result.verdict = CallVerdict::refused;
            return answer;
        }
        case core::Taken::yes:
        case core::Taken::no_pool:
        case core::Taken::shutting_down: break;
    }
    return ended(CallCause::closed, false, "the instance takes no further calls");
}

bool addresses(const std::string& text) {
    try {
        return loop::parse_endpoint(text).port() != 0;
    } catch (const std::invalid_argument&) {
        return false;
    }
}

int place_of(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

core::Member member_of(const Server& server, const membership::ListNames& names) {
    if (server.name.empty()) throw std::invalid_argument("a server without a name");
    if (!(server.weight >= 0 && server.weight <= 1e9)) {
        throw std::invalid_argument(server.name + ": weight must be from 0 to 1e9");
    }
    core::Member member;
    member.name = server.name;
    member.address = server.address;
    if (!addresses(server.address)) {
        throw std::invalid_argument(server.name + ": address must be as 127.0.0.1:5000, not \"" +
                                    server.address + '"');
    }
    member.entry.id = membership::id_of(server.name);
    member.entry.zone = place_of(names.zones, server.zone);
    // A zone must be known: keyed calls are repeated only within it.
    if (member.entry.zone == static_cast<int>(names.zones.size())) {
        throw std::invalid_argument(server.name + ": zone \"" + server.zone + "\" is none of options.zones");
    }
    member.entry.kind = place_of(names.kinds, server.kind);
    member.entry.cell = server.cell;
    member.entry.weight = server.weight;
    member.entry.state = server.draining ? UpstreamState::draining : UpstreamState::ready;
    member.entry.started_at = server.started_at;
    return member;
}

core::MemberList list_of(const ServerList& servers, const membership::ListNames& names) {
    core::MemberList list;
    list.kind = servers.whole ? ListKind::full : ListKind::delta;
    list.version = servers.version;
    std::unordered_set<std::string_view> names_met;
    const auto meet = [&](const std::string& name) {
        if (name.empty()) throw std::invalid_argument("a server without a name");
        if (!names_met.insert(name).second) throw std::invalid_argument(name + ": named twice");
    };
    for (const Server& server : servers.servers) {
        meet(server.name);
        list.members.push_back(member_of(server, names));
    }
    for (const std::string& name : servers.gone) {
        meet(name);
        core::Member member;
        member.name = name;
        member.entry.id = membership::id_of(name);
        member.entry.state = UpstreamState::gone;
        list.members.push_back(std::move(member));
    }
    return list;
}

// Each option's own name before what is wrong with it.
template <typename Read>
auto option(const char* name, Read read) {
    try {
        return read();
    } catch (const std::exception& error) {
        const std::string what = error.what();
        const std::string its = std::string(name) + ": ";
        throw std::invalid_argument("options: " + (what.starts_with(its) ? "" : its) + what);
    }
}

settings::Values operators_of(const BalancerOptions& options) {
    if (options.operators.empty()) return settings::Values(settings::product_schema());
    auto reading = settings::read_text(options.operators, settings::product_schema());
    if (const auto* faults = std::get_if<settings::Faults>(&reading)) {
        std::string text = faults->text("operators");
        while (text.ends_with('\n')) text.pop_back();
        throw std::invalid_argument("options: " + text);
    }
    // Guards against a table that is thought to do something and does not.
    if (std::get<settings::Values>(reading).given("log") && !(options.sides && options.sides->on_operators))
        throw std::invalid_argument("options: [log] is the daemon's: a host has BalancerOptions::log");
    return std::get<settings::Values>(std::move(reading));
}

// Guards against two hosts that leave it and draw the same ids.
std::uint64_t seed_of(const BalancerOptions& options) {
    if (options.seed != 0) return options.seed;
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

// Of the table, where no number of calls is set.
constexpr std::size_t table_most = 100'000;

std::size_t open_calls_of(const BalancerOptions& options) {
    if (options.open_calls > 0) return options.open_calls;
    return static_cast<std::size_t>(operators_of(options).get(settings::core::max_open_calls));
}

engine::Config config_of(const BalancerOptions& options) {
    engine::Config config;
    config.name = options.name;
    config.settings = options.settings;
    config.sockets = options.descriptors;
    config.report_fields = options.report_fields;
    config.names = {options.zones, options.kinds};
    option("settings", [&] { return engine::check_settings(options.settings), 0; });
    if (options.report_fields.size() != options.settings.report_fields.size()) {
        throw std::invalid_argument("options: report_fields: one name for each of settings.report_fields");
    }
    if (!options.listen.empty()) {
        config.listen = option("listen", [&] { return loop::parse_endpoint(options.listen); });
    }
    if (!options.discovery.empty()) {
        config.discovery = option("discovery", [&] { return loop::parse_endpoint(options.discovery); });
    }
    config.known = option("servers", [&] { return list_of(options.servers, config.names); });
    // What is all there is to know is no old list.
    config.known.kind = options.discovery.empty() ? ListKind::full : ListKind::cached;
    return config;
}

asio::any_io_executor given(asio::any_io_executor executor) {
    if (!executor) throw std::invalid_argument("there is none");
    return executor;
}

}  // namespace

bool usable(const Server& server, const membership::ListNames& names) {
    try {
        (void)member_of(server, names);
        return true;
    } catch (const std::invalid_argument&) {
        return false;
    }
}

Instance::Instance(asio::any_io_executor executor, const BalancerOptions& options)
    : executor_(option("executor", [&] { return given(std::move(executor)); })),
      name_(options.name),
      log_(options.log),
      figures_sink_(options.figures),
      figures_every_(options.figures_every),
      seed_(seed_of(options)),
      names_{options.zones, options.kinds},
      open_calls_(open_calls_of(options)),
      keep_taking_(options.listen.empty() ? options.keep_taking : Micros{0}),
      figures_timer_(executor_),
      taking_timer_(executor_) {
    engine::EngineOptions its{config_of(options),         operators_of(options), !options.listen.empty(),
                              !options.discovery.empty(), open_calls_,           options.keep_taking};
    its.config.seed = seed_;
    if (options.sides) {
        its.sides = options.sides->makers;
        its.on_operators = options.sides->on_operators;
        events_ = options.sides->log;
    }
    engine_ = std::make_unique<engine::Engine>(executor_, *this, std::move(its));
    if (const auto listens = engine_->address()) address_ = loop::text_of(*listens);
}

Instance::~Instance() {
    if (loop_end_) loop_end_->remove(this);
}

void Instance::begin() {
    auto& loop = asio::query(executor_, asio::execution::context);
    loop_end_ = &asio::use_service<LoopEnd>(loop);
    loop_end_->add(this, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->loop_ends();
    });
    tell_figures();
}

// ------------------------------------------------------------------------------------------ from any thread

bool Instance::enter(std::uint64_t number, const std::string& id, bool web, bool head,
                     std::unique_ptr<Operation> operation) {
    ++library_calls_;
    HttpAnswer answer;
    {
        const std::lock_guard lock(mutex_);
        // Also those that the core has yet to hear of are bounded.
        if (!closed_ && pending_.size() < (open_calls_ > 0 ? open_calls_ : table_most)) {
            Pending pending;
            pending.operation = std::move(operation);
            pending.id = id;
            pending.web = web;
            pending.head = head;
            pending_.emplace(number, std::move(pending));
            return true;
        }
        answer = not_taken(closed_ ? core::Taken::shutting_down : core::Taken::too_many);
    }
    answer.result.id = id;
    answer.close = true;
    if (head) answer.body.clear();
    operation->complete(std::move(answer));
    return false;
}

template <typename Work>
void Instance::post(std::uint64_t number, Work work) {
    try {
        asio::post(executor_, std::move(work));
    } catch (...) {
        decltype(pending_)::node_type its;  // the handler's end may run the host's code: not under the lock
        const std::lock_guard lock(mutex_);
        its = pending_.extract(number);
        throw;
    }
}

void Instance::start(std::uint64_t number, CallRequest request, std::unique_ptr<Operation> operation) {
    if (request.id.empty()) request.id = draw_id(number);
    if (!enter(number, request.id, false, false, std::move(operation))) return;
    // On its way to the executor it is moved several times.
    auto kept = std::make_unique<CallRequest>(std::move(request));
    post(number, [self = shared_from_this(), number, request = std::move(kept)] {
        self->guarded(number, [&] { self->take(number, *request); });
    });
}

void Instance::start(std::uint64_t number, HttpRequest request, std::unique_ptr<Operation> operation) {
    if (!enter(number, {}, true, request.method == "HEAD", std::move(operation))) return;
    auto kept = std::make_unique<HttpRequest>(std::move(request));
    post(number, [self = shared_from_this(), number, request = std::move(kept)] {
        self->guarded(number, [&] { self->serve(number, *request); });
    });
}

void Instance::cancel(std::uint64_t number, asio::cancellation_type type) {
    if (!executor_) return;  // it went with its loop, and so did all that was open
    asio::post(executor_, [weak = weak_from_this(), number, type] {
        if (const auto self = weak.lock()) self->cancel_here(number, type);
    });
}

void Instance::end(bool orderly, std::unique_ptr<Operation> operation) {
    if (!orderly || keep_taking_ <= Micros{0}) take_no_more();
    {
        const std::lock_guard lock(mutex_);
        waiting_for_end_.push_back(std::move(operation));
    }
    if (!executor_) return tell_ended();
    asio::post(executor_, [self = shared_from_this(), orderly] {
        if (!self->engine_ || self->ended_) return self->tell_ended();
        if (!orderly) return self->take_down();
        if (!self->draining_ && self->keep_taking_ > Micros{0}) {
            self->taking_timer_->expires_after(self->keep_taking_);
            self->taking_timer_->async_wait([weak = self->weak_from_this()](boost::system::error_code error) {
                const auto its = weak.lock();
                if (its && !error) its->take_no_more();
            });
        }
        self->draining_ = true;
        self->engine_->drain([weak = self->weak_from_this()] {
            // Not from here: the engine is on the stack.
            const auto its = weak.lock();
            if (its) asio::post(its->executor_, [its] { its->take_down(); });
        });
    });
}

void Instance::abandon() {
    silent_ = true;
    complete_all(CallCause::closed);
    if (executor_) asio::post(executor_, [self = shared_from_this()] { self->take_down(); });
}

void Instance::reconfigure(const BalancerOptions& options) {
    auto config = config_of(options);
    auto operators = operators_of(options);
    asio::post(executor_,
               [self = shared_from_this(), config = std::move(config), operators = std::move(operators)] {
                   if (!self->engine_) return;
                   try {
                       self->engine_->reconfigure(config);
                       self->engine_->set_operators(operators);
                   } catch (const std::exception& error) {
                       self->tell(core::events::fault,
                                  "the configuration could not be taken: " + std::string(error.what()));
                   }
               });
}

void Instance::set_servers(ServerList servers) {
    auto list = option("servers", [&] { return list_of(servers, names_); });
    asio::post(executor_, [self = shared_from_this(), list = std::move(list)] {
        if (self->engine_) self->engine_->take_list(list);
    });
}

BalancerFigures Instance::figures() const {
    const std::lock_guard lock(mutex_);
    BalancerFigures figures = figures_;
    figures.library_calls = library_calls_;
    return figures;
}

std::string Instance::draw_id(std::uint64_t number) const {
    // Unlike at another start as far as the seed is: instances are told apart by it.
    std::uint64_t z = seed_ + number * 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    z ^= z >> 31;
    // As short as a string holds without the heap: an id is copied several times.
    static constexpr std::string_view letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    std::array<char, 15> text;
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::uint64_t& from = i < 11 ? z : number;
        text[i] = letters[from & 63];
        from >>= 6;
    }
    return {text.data(), text.size()};
}

// ------------------------------------------------------------------------------------------ on the executor

template <typename Work>
void Instance::guarded(std::uint64_t number, Work work) {
    try {
        work();
    } catch (const std::exception& error) {
        tell(core::events::fault, error.what());
        bool sending = false;
        {
            const std::lock_guard lock(mutex_);
            const auto found = pending_.find(number);
            sending = found != pending_.end() && found->second.sending;
        }
        finish(number, ended(CallCause::fault, sending, error.what()));
    }
}

void Instance::take(std::uint64_t number, const CallRequest& request) {
    {
        const std::lock_guard lock(mutex_);
        if (!pending_.contains(number)) return;
    }
    if (!engine_) return finish(number, ended(CallCause::closed, false));
    const Settings* const settings = engine_->core().settings(engine_->pool());
    if (!settings) return finish(number, ended(CallCause::closed, false));
    http::OwnRequest own;
    own.class_name = request.class_name;
    own.id = request.id;
    const auto its_class = std::find_if(settings->classes.begin(), settings->classes.end(),
                                        [&](const ClassSettings& c) { return c.name == request.class_name; });
    const bool safe = its_class != settings->classes.end() && its_class->effect == Effect::safe;
    own.method = !request.method.empty() ? std::string_view(request.method) : safe ? "GET" : "POST";
    own.target = request.target;
    own.idempotency_key = request.idempotency_key;
    own.tenant = request.tenant;
    own.body = request.body;
    own.key = request.key;
    own.budget = request.budget;
    own.cost_hint = request.cost_hint;
    own.client_retry = request.client_retry;
    own.headers = &request.headers;
    auto understood = http::understand(own, *settings);
    if (auto* wrong = std::get_if<http::NotUnderstood>(&understood)) {
        return finish(number, misunderstood(std::move(wrong->why)));
    }
    std::optional<UpstreamId> pinned;
    if (!request.pinned.empty()) pinned = membership::id_of(request.pinned);
    hand_over(number, std::get<http::ClientRequest>(std::move(understood)), pinned, Micros{0});
}

void Instance::serve(std::uint64_t number, HttpRequest& request) {
    if (const auto wrong = http::unfit(request.method, request.target, request.headers); !wrong.empty()) {
        return finish(number, misunderstood(wrong));
    }
    if (const auto wrong = http::badly_framed(request.headers); !wrong.empty()) {
        return finish(number, misunderstood(wrong));
    }
    http::Request message;
    message.method = std::move(request.method);
    message.target = std::move(request.target);
    std::size_t size = 0;
    for (const auto& [name, value] : request.headers) size += name.size() + value.size();
    message.fields.reserve(request.headers.size() + 1, size + 32);  // and the budget of an attempt
    for (const auto& [name, value] : request.headers) message.fields.add(name, value);
    message.body = std::move(request.body);
    const auto turn_away = [&](int status, std::string why) {
        http::NotTaken told{http::plain_answer(status, why), true};
        finish(number, ended(CallCause::bad_request, false, std::move(why), std::move(told)));
    };
    if (message.body.size() > http::body_most) return turn_away(413, "body too large");
    switch (http::route_of(message)) {
        case http::Route::ready: {
            CallResult result;
            result.verdict = CallVerdict::served;
            result.cause = CallCause::none;
            return finish(number, worded(http::readiness(!draining_), std::move(result), false));
        }
        case http::Route::unknown: return turn_away(404, "no such path");
        case http::Route::api: break;
    }
    const Settings* const settings = engine_ ? engine_->core().settings(engine_->pool()) : nullptr;
    if (!settings) return finish(number, not_taken(core::Taken::no_pool));
    auto understood = http::understand(std::move(message), *settings);
    if (auto* wrong = std::get_if<http::NotUnderstood>(&understood)) {
        return finish(number, misunderstood(std::move(wrong->why)));
    }
    auto& its = std::get<http::ClientRequest>(understood);
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(number);
        if (found == pending_.end()) return;
        found->second.id = its.call_id;
    }
    hand_over(number, std::move(its), std::nullopt, http::client_ways);
}

void Instance::hand_over(std::uint64_t number, http::ClientRequest request, std::optional<UpstreamId> pinned,
                         Micros unseen) {
    core::Call call = http::call_of(std::move(request), engine_->pool(), unseen);
    call.pinned = pinned;
    core::CallId id = 0;
    const core::Taken taken = engine_->core().take(std::move(call), *this, number, &id);
    if (taken != core::Taken::yes) return finish(number, not_taken(taken));
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(number);
    if (found != pending_.end()) found->second.call = id;
}

// Guards against a call that is told "closed, it has not run" by another thread and then goes out.
bool Instance::on_sending(std::uint64_t token) {
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(token);
    if (found == pending_.end()) return false;
    found->second.sending = true;
    return true;
}

void Instance::on_final(std::uint64_t token, core::Final final) {
    const bool may_have_run = final.may_have_run;
    try {
        tell_final(token, std::move(final));
    } catch (const std::exception& error) {
        // The core tells it once: a caller that waits on would wait for ever.
        finish(token, ended(CallCause::fault, may_have_run, error.what()));
        throw;
    }
}

void Instance::tell_final(std::uint64_t token, core::Final final) {
    CallResult result;
    result.verdict = verdict_of(final.verdict);
    result.cause = cause_of(final.cause);
    result.may_have_run = final.may_have_run;
    result.retry_after = final.retry_after;
    bool web = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(token);
        if (found == pending_.end()) return;  // over, or cancelled before
        web = found->second.web;
    }
    if (web) return finish(token, worded(http::answer_of(std::move(final)), std::move(result), false));
    if (final.verdict == core::Verdict::served) {
        http::Response message = http::answer_of(std::move(final));
        result.status = message.status;
        result.headers = headers_of(message.fields);
        result.body = std::move(message.body);
    }
    HttpAnswer answer;
    answer.result = std::move(result);
    finish(token, std::move(answer));
}

void Instance::cancel_here(std::uint64_t number, asio::cancellation_type type) {
    core::CallId call = 0;
    bool sending = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(number);
        if (found == pending_.end()) return;  // over, or cancelled before
        call = found->second.call;
        sending = found->second.sending;
    }
    // `total` promises that nothing has happened.
    const bool any = (type & (asio::cancellation_type::terminal | asio::cancellation_type::partial)) !=
                     asio::cancellation_type::none;
    if (type == asio::cancellation_type::none || (!any && sending)) return;
    const bool may_have_run = call != 0 && engine_ && engine_->core().leave(call);
    finish(number, ended(CallCause::cancelled, may_have_run));
}

// Whoever takes the operation out completes it.
void Instance::finish(std::uint64_t number, HttpAnswer answer) {
    std::unique_ptr<Operation> operation;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(number);
        if (found != pending_.end()) {
            operation = std::move(found->second.operation);
            answer.result.id = std::move(found->second.id);
            answer.close = answer.close || closed_;  // nothing that follows on its connection would be taken
            // Its client would take one for the next answer.
            if (found->second.head) answer.body.clear();
            pending_.erase(found);
        }
    }
    if (operation) complete(*operation, std::move(answer));
}

void Instance::complete(Operation& operation, HttpAnswer answer) {
    try {
        operation.complete(std::move(answer));
    } catch (const std::exception& error) {
        tell(core::events::fault, "a handler could not be posted: " + std::string(error.what()));
    }
}

void Instance::complete_all(CallCause cause) {
    std::unordered_map<std::uint64_t, Pending> all;
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        all.swap(pending_);
    }
    for (auto& [number, pending] : all) {
        HttpAnswer answer = ended(cause, pending.may_have_run.value_or(pending.sending));
        answer.result.id = std::move(pending.id);
        answer.close = true;  // as finish() has it
        if (pending.head) answer.body.clear();
        complete(*pending.operation, std::move(answer));
    }
}

void Instance::take_no_more() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
}

void Instance::take_down() {
    ended_ = true;
    leave_all();
    complete_all(CallCause::closed);
    take_figures();
    figures_timer_.reset();
    taking_timer_.reset();
    engine_.reset();
    {
        const std::lock_guard lock(mutex_);
        figures_.open = figures_.servers = figures_.connections = 0;
    }
    tell_ended();
}

// The core knows better than the table whether a call may have run: what was out may have been turned away.
void Instance::leave_all() {
    if (!engine_) return;
    std::vector<std::pair<std::uint64_t, core::CallId>> taken;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [number, pending] : pending_) {
            if (pending.call != 0) taken.emplace_back(number, pending.call);
        }
    }
    for (const auto& [number, call] : taken) {
        const bool may_have_run = engine_->core().leave(call);
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(number);
        if (found != pending_.end()) found->second.may_have_run = may_have_run;
    }
}

void Instance::tell_ended() {
    std::vector<std::unique_ptr<Operation>> all;
    {
        const std::lock_guard lock(mutex_);
        all.swap(waiting_for_end_);
    }
    for (const auto& operation : all) complete(*operation, {});
}

void Instance::loop_ends() {
    silent_ = true;
    take_down();
    executor_ = {};
    loop_end_ = nullptr;
}

void Instance::take_figures() {
    if (!engine_) return;
    const core::Figures f = engine_->figures();
    const std::lock_guard lock(mutex_);
    figures_.taken = f.taken;
    figures_.served = f.served;
    figures_.refused = f.refused;
    figures_.failed = f.failed;
    figures_.left = f.left;
    figures_.attempts = f.attempts;
    figures_.overdue = f.overdue;
    figures_.faults = f.faults;
    figures_.open = f.open;
    figures_.servers = engine_->servers();
    figures_.connections = engine_->connections();
}

void Instance::tell_figures() {
    if (!engine_ || figures_every_ <= Micros{0}) return;
    take_figures();
    figures_timer_->expires_after(figures_every_);
    figures_timer_->async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) self->tell_figures();
    });
    if (!figures_sink_ || silent_) return;
    try {
        figures_sink_(name_, figures());
    } catch (...) {
        tell(core::events::fault, "the sink of figures threw");
    }
}

// Guards against a call without an end for want of a log: a sink that throws has lost its line, no more.
void Instance::event(const core::Event& event, std::span<const core::Value> values) noexcept {
    try {
        if (silent_) return;
        if (events_) events_->event(event, values);
        if (log_) log_(name_, core::text_of(event, values));
    } catch (...) {
    }
}

// -------------------------------------------------------------------------------------------------- seams

std::uint64_t reserve(const InstancePointer& instance) { return instance->reserve(); }

void start(const InstancePointer& instance, std::uint64_t call, CallRequest request,
           std::unique_ptr<Operation> operation) {
    instance->start(call, std::move(request), std::move(operation));
}

void start(const InstancePointer& instance, std::uint64_t call, HttpRequest request,
           std::unique_ptr<Operation> operation) {
    instance->start(call, std::move(request), std::move(operation));
}

void cancel(const std::weak_ptr<Instance>& instance, std::uint64_t call, asio::cancellation_type type) {
    if (const auto its = instance.lock()) its->cancel(call, type);
}

void end(const InstancePointer& instance, bool orderly, std::unique_ptr<Operation> operation) {
    instance->end(orderly, std::move(operation));
}

asio::any_io_executor executor_of(const InstancePointer& instance) { return instance->executor(); }

}  // namespace flaxdoor::detail
