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
        case core::Cause::no_capacity: return CallCause::no_room;
        case core::Cause::over_budget: return CallCause::over_budget;
        case core::Cause::rejected_by_upstreams: return CallCause::turned_away;
        case core::Cause::timed_out: return CallCause::timed_out;
        case core::Cause::broken: return CallCause::broken;
        case core::Cause::error:
        case core::Cause::answer_truncated: return CallCause::error;
        case core::Cause::watchdog: return CallCause::overdue;
        case core::Cause::local_resources: return CallCause::own_shortage;
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

// Combines an HTTP response with the outcome of its call.
HttpAnswer http_answer(http::Response message, CallResult result, bool close) {
    HttpAnswer answer;
    answer.status = message.status;
    answer.headers = headers_of(message.fields);
    answer.body = std::move(message.body);
    answer.close = close;
    answer.result = std::move(result);
    return answer;
}

// The answer to a call that ends without a final answer of the core.
HttpAnswer local_answer(CallCause cause, bool may_have_run, std::string why = {},
                        http::CallRejection rejection = {http::error_response(502)}) {
    CallResult result;
    result.cause = cause;
    result.may_have_run = may_have_run;
    result.why = std::move(why);
    if (cause == CallCause::cancelled) result.error = asio::error::operation_aborted;
    // A client repeats a refused request, so a call that may have been executed must not be refused: it could
    // be executed twice.
    if (cause == CallCause::closed && !may_have_run) rejection = {http::rejection_response({})};
    return http_answer(std::move(rejection.answer), std::move(result), rejection.close_connection);
}

HttpAnswer bad_request_answer(std::string why) {
    http::CallRejection rejection{http::plain_answer(400, why), true};
    return local_answer(CallCause::bad_request, false, std::move(why), std::move(rejection));
}

HttpAnswer rejected_answer(core::AcceptResult taken) {
    http::CallRejection rejection = http::make_response(taken);
    switch (taken) {
        case core::AcceptResult::name_in_use:
            return local_answer(CallCause::name_open, true,
                                "a call with this id is open, or may still be executing",
                                std::move(rejection));
        case core::AcceptResult::unknown_tenant:
            return local_answer(CallCause::bad_request, false, "the settings have no such tenant",
                                std::move(rejection));
        case core::AcceptResult::bad_class:
            return local_answer(CallCause::bad_request, false, "the settings have no such class",
                                std::move(rejection));
        case core::AcceptResult::too_many: {
            HttpAnswer answer = local_answer(CallCause::own_shortage, false,
                                             "the limit of open calls is reached", std::move(rejection));
            answer.result.verdict = CallVerdict::refused;
            return answer;
        }
        case core::AcceptResult::accepted:
        case core::AcceptResult::no_pool:
        case core::AcceptResult::shutting_down: break;
    }
    return local_answer(CallCause::closed, false, "the instance accepts no further calls");
}

bool is_usable_address(const std::string& text) {
    try {
        return loop::parse_endpoint(text).port() != 0;
    } catch (const std::invalid_argument&) {
        return false;
    }
}

int index_of(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

core::Member member_of(const Server& server, const membership::ListNames& names) {
    if (server.name.empty()) throw std::invalid_argument("a server has no name");
    if (!(server.weight >= 0 && server.weight <= 1e9)) {
        throw std::invalid_argument(server.name + ": weight must be from 0 to 1e9");
    }
    core::Member member;
    member.name = server.name;
    member.address = server.address;
    if (!is_usable_address(server.address)) {
        throw std::invalid_argument(server.name + ": address must have the form 127.0.0.1:5000, not \"" +
                                    server.address + '"');
    }
    member.entry.id = membership::upstream_id_of(server.name);
    member.entry.zone = index_of(names.zones, server.zone);
    // The zone must be known, because keyed calls are repeated only within their zone.
    if (member.entry.zone == static_cast<int>(names.zones.size())) {
        throw std::invalid_argument(server.name + ": zone \"" + server.zone + "\" is not in options.zones");
    }
    member.entry.kind = index_of(names.kinds, server.kind);
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
    std::unordered_set<std::string_view> seen_names;
    const auto add_name = [&](const std::string& name) {
        if (name.empty()) throw std::invalid_argument("a server has no name");
        if (!seen_names.insert(name).second) throw std::invalid_argument(name + ": the name occurs twice");
    };
    for (const Server& server : servers.servers) {
        add_name(server.name);
        list.members.push_back(member_of(server, names));
    }
    for (const std::string& name : servers.gone) {
        add_name(name);
        core::Member member;
        member.name = name;
        member.entry.id = membership::upstream_id_of(name);
        member.entry.state = UpstreamState::gone;
        list.members.push_back(std::move(member));
    }
    return list;
}

// Runs `read`. Prefixes the message of an exception with the name of the option.
template <typename Read>
auto option(const char* name, Read read) {
    try {
        return read();
    } catch (const std::exception& error) {
        const std::string what = error.what();
        const std::string prefix = std::string(name) + ": ";
        throw std::invalid_argument("options: " + (what.starts_with(prefix) ? "" : prefix) + what);
    }
}

settings::Values operator_config_of(const BalancerOptions& options) {
    if (options.operators.empty()) return settings::Values(settings::product_schema());
    auto reading = settings::read_text(options.operators, settings::product_schema());
    if (const auto* faults = std::get_if<settings::Faults>(&reading)) {
        std::string text = faults->text("operators");
        while (text.ends_with('\n')) text.pop_back();
        throw std::invalid_argument("options: " + text);
    }
    // The library does not use [log]. Rejects the table, since ignoring it would mislead the host.
    if (std::get<settings::Values>(reading).given("log") &&
        !(options.internal && options.internal->on_operator_settings))
        throw std::invalid_argument(
            "options: [log] applies to the daemon only; a host sets BalancerOptions::log");
    return std::get<settings::Values>(std::move(reading));
}

// A random seed by default: two hosts that don't set one must not generate the same ids.
std::uint64_t seed_of(const BalancerOptions& options) {
    if (options.seed != 0) return options.seed;
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

// Bound of the table of pending calls if no limit of open calls is set.
constexpr std::size_t max_pending_by_default = 100'000;

std::size_t open_calls_of(const BalancerOptions& options) {
    if (options.open_calls > 0) return options.open_calls;
    return static_cast<std::size_t>(operator_config_of(options).get(settings::core::max_open_calls));
}

engine::Config config_of(const BalancerOptions& options) {
    engine::Config config;
    config.name = options.name;
    config.settings = options.settings;
    config.sockets = options.descriptors;
    config.memory_bytes = options.memory_bytes;
    config.report_fields = options.report_fields;
    config.names = {options.zones, options.kinds};
    option("settings", [&] { return engine::check_settings(options.settings), 0; });
    if (options.report_fields.size() != options.settings.report_fields.size()) {
        throw std::invalid_argument(
            "options: report_fields: needs one name for each of settings.report_fields");
    }
    if (!options.listen.empty()) {
        config.listen = option("listen", [&] { return loop::parse_endpoint(options.listen); });
    }
    if (!options.discovery.empty()) {
        config.discovery = option("discovery", [&] { return loop::parse_endpoint(options.discovery); });
    }
    config.known = option("servers", [&] { return list_of(options.servers, config.names); });
    // Without service discovery the list is complete, and not an outdated copy.
    config.known.kind = options.discovery.empty() ? ListKind::full : ListKind::cached;
    return config;
}

asio::any_io_executor require_executor(asio::any_io_executor executor) {
    if (!executor) throw std::invalid_argument("must not be empty");
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
    : executor_(option("executor", [&] { return require_executor(std::move(executor)); })),
      name_(options.name),
      log_(options.log),
      figures_sink_(options.figures),
      figures_every_(options.figures_every),
      seed_(seed_of(options)),
      names_{options.zones, options.kinds},
      open_calls_(open_calls_of(options)),
      keep_taking_(options.listen.empty() ? options.keep_taking : Micros{0}),
      figures_timer_(executor_),
      drain_accept_timer_(executor_) {
    engine::EngineOptions engine_options{
        config_of(options), operator_config_of(options), !options.listen.empty(), !options.discovery.empty(),
        open_calls_,        options.keep_taking};
    engine_options.config.seed = seed_;
    if (options.internal) {
        engine_options.extensions = options.internal->extensions;
        engine_options.on_operator_settings = options.internal->on_operator_settings;
        events_ = options.internal->log;
    }
    engine_ = std::make_unique<engine::Engine>(executor_, *this, std::move(engine_options));
    if (const auto listen_address = engine_->address()) address_ = loop::text_of(*listen_address);
}

Instance::~Instance() {
    if (loop_shutdown_) loop_shutdown_->remove(this);
}

void Instance::begin() {
    auto& loop = asio::query(executor_, asio::execution::context);
    loop_shutdown_ = &asio::use_service<LoopShutdownService>(loop);
    loop_shutdown_->add(this, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->on_loop_shutdown();
    });
    report_figures();
}

// ------------------------------------------------------------------------ may be called from any thread

bool Instance::add_pending(std::uint64_t number, const std::string& id, bool web, bool head,
                           std::unique_ptr<Operation> operation) {
    ++library_calls_;
    HttpAnswer answer;
    {
        const std::lock_guard lock(mutex_);
        // Also bounds the calls that have been posted but have not reached the core.
        if (!closed_ && pending_.size() < (open_calls_ > 0 ? open_calls_ : max_pending_by_default)) {
            Pending pending;
            pending.operation = std::move(operation);
            pending.id = id;
            pending.web = web;
            pending.head = head;
            pending_.emplace(number, std::move(pending));
            return true;
        }
        answer = rejected_answer(closed_ ? core::AcceptResult::shutting_down : core::AcceptResult::too_many);
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
        // Declared before the lock: the handler's destructor may run the host's code, which must not run
        // under the lock.
        decltype(pending_)::node_type removed;
        const std::lock_guard lock(mutex_);
        removed = pending_.extract(number);
        throw;
    }
}

void Instance::start(std::uint64_t number, CallRequest request, std::unique_ptr<Operation> operation) {
    if (request.id.empty()) request.id = generate_id(number);
    if (!add_pending(number, request.id, false, false, std::move(operation))) return;
    // On the heap, because Asio moves the posted function several times.
    auto kept = std::make_unique<CallRequest>(std::move(request));
    post(number, [self = shared_from_this(), number, request = std::move(kept)] {
        self->run_guarded(number, [&] { self->start_call(number, *request); });
    });
}

void Instance::start(std::uint64_t number, HttpRequest request, std::unique_ptr<Operation> operation) {
    if (!add_pending(number, {}, true, request.method == "HEAD", std::move(operation))) return;
    auto kept = std::make_unique<HttpRequest>(std::move(request));
    post(number, [self = shared_from_this(), number, request = std::move(kept)] {
        self->run_guarded(number, [&] { self->start_http(number, *request); });
    });
}

void Instance::cancel(std::uint64_t number, asio::cancellation_type type) {
    if (!executor_) return;  // the loop has been destroyed, and open calls have ended with it
    asio::post(executor_, [weak = weak_from_this(), number, type] {
        if (const auto self = weak.lock()) self->cancel_on_executor(number, type);
    });
}

void Instance::end(bool orderly, std::unique_ptr<Operation> operation) {
    if (!orderly || keep_taking_ <= Micros{0}) stop_accepting();
    {
        const std::lock_guard lock(mutex_);
        end_operations_.push_back(std::move(operation));
    }
    if (!executor_) return complete_end_operations();
    asio::post(executor_, [self = shared_from_this(), orderly] {
        if (!self->engine_ || self->torn_down_) return self->complete_end_operations();
        if (!orderly) return self->tear_down();
        if (!self->draining_ && self->keep_taking_ > Micros{0}) {
            self->drain_accept_timer_->expires_after(self->keep_taking_);
            self->drain_accept_timer_->async_wait(
                [weak = self->weak_from_this()](boost::system::error_code error) {
                    const auto instance = weak.lock();
                    if (instance && !error) instance->stop_accepting();
                });
        }
        self->draining_ = true;
        self->engine_->drain([weak = self->weak_from_this()] {
            // Posts tear_down(), because it destroys the engine, which is on the stack here.
            const auto instance = weak.lock();
            if (instance) asio::post(instance->executor_, [instance] { instance->tear_down(); });
        });
    });
}

void Instance::abandon() {
    silent_ = true;
    complete_all(CallCause::closed);
    if (executor_) asio::post(executor_, [self = shared_from_this()] { self->tear_down(); });
}

void Instance::reconfigure(const BalancerOptions& options) {
    auto config = config_of(options);
    auto operators = operator_config_of(options);
    asio::post(executor_,
               [self = shared_from_this(), config = std::move(config), operators = std::move(operators)] {
                   if (!self->engine_) return;
                   try {
                       self->engine_->reconfigure(config);
                       self->engine_->apply_operator_settings(operators);
                   } catch (const std::exception& error) {
                       self->write(core::events::fault,
                                   "could not apply the configuration: " + std::string(error.what()));
                   }
               });
}

void Instance::set_servers(ServerList servers) {
    auto list = option("servers", [&] { return list_of(servers, names_); });
    asio::post(executor_, [self = shared_from_this(), list = std::move(list)] {
        if (self->engine_) self->engine_->apply_list(list);
    });
}

BalancerFigures Instance::figures() const {
    const std::lock_guard lock(mutex_);
    BalancerFigures figures = figures_;
    figures.library_calls = library_calls_;
    return figures;
}

std::string Instance::generate_id(std::uint64_t number) const {
    // The SplitMix64 finalizer over seed and number: ids of instances with different seeds differ.
    std::uint64_t mixed = seed_ + number * 0x9e3779b97f4a7c15ULL;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31;
    // 15 characters fit into std::string without an allocation; an id is copied several times.
    static constexpr std::string_view letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    std::array<char, 15> text;
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::uint64_t& bits = i < 11 ? mixed : number;
        text[i] = letters[bits & 63];
        bits >>= 6;
    }
    return {text.data(), text.size()};
}

// ----------------------------------------------------------------------- must be called on the executor

template <typename Work>
void Instance::run_guarded(std::uint64_t number, Work work) {
    try {
        work();
    } catch (const std::exception& error) {
        write(core::events::fault, error.what());
        bool sending = false;
        {
            const std::lock_guard lock(mutex_);
            const auto found = pending_.find(number);
            sending = found != pending_.end() && found->second.sending;
        }
        finish(number, local_answer(CallCause::fault, sending, error.what()));
    }
}

void Instance::start_call(std::uint64_t number, const CallRequest& request) {
    {
        const std::lock_guard lock(mutex_);
        if (!pending_.contains(number)) return;
    }
    if (!engine_) return finish(number, local_answer(CallCause::closed, false));
    const Settings* const settings = engine_->core().settings(engine_->pool());
    if (!settings) return finish(number, local_answer(CallCause::closed, false));
    http::LocalRequest own;
    own.class_name = request.class_name;
    own.id = request.id;
    const auto request_class = std::find_if(
        settings->classes.begin(), settings->classes.end(),
        [&](const ClassSettings& class_settings) { return class_settings.name == request.class_name; });
    const bool safe = request_class != settings->classes.end() && request_class->effect == Effect::safe;
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
    auto parsed = http::parse_client_request(own, *settings);
    if (auto* error = std::get_if<http::InvalidRequest>(&parsed)) {
        return finish(number, bad_request_answer(std::move(error->why)));
    }
    std::optional<UpstreamId> pinned;
    if (!request.pinned.empty()) pinned = membership::upstream_id_of(request.pinned);
    submit_to_core(number, std::get<http::ClientRequest>(std::move(parsed)), pinned, Micros{0});
}

void Instance::start_http(std::uint64_t number, HttpRequest& request) {
    if (const auto error = http::validate_header_syntax(request.method, request.target, request.headers);
        !error.empty()) {
        return finish(number, bad_request_answer(error));
    }
    if (const auto error = http::validate_framing(request.headers); !error.empty()) {
        return finish(number, bad_request_answer(error));
    }
    http::Request message;
    message.method = std::move(request.method);
    message.target = std::move(request.target);
    std::size_t size = 0;
    for (const auto& [name, value] : request.headers) size += name.size() + value.size();
    message.fields.reserve(request.headers.size() + 1,
                           size + 32);  // and room for the budget header of an attempt
    for (const auto& [name, value] : request.headers) message.fields.add(name, value);
    message.body = std::move(request.body);
    const auto reject = [&](int status, std::string why) {
        http::CallRejection rejection{http::plain_answer(status, why), true};
        finish(number, local_answer(CallCause::bad_request, false, std::move(why), std::move(rejection)));
    };
    if (message.body.size() > http::default_max_body_bytes) return reject(413, "body too large");
    switch (http::route_of(message)) {
        case http::Route::ready: {
            CallResult result;
            result.verdict = CallVerdict::served;
            result.cause = CallCause::none;
            return finish(number,
                          http_answer(http::readiness_response(!draining_), std::move(result), false));
        }
        case http::Route::unknown: return reject(404, "no such path");
        case http::Route::api: break;
    }
    const Settings* const settings = engine_ ? engine_->core().settings(engine_->pool()) : nullptr;
    if (!settings) return finish(number, rejected_answer(core::AcceptResult::no_pool));
    auto parsed = http::parse_client_request(std::move(message), *settings);
    if (auto* error = std::get_if<http::InvalidRequest>(&parsed)) {
        return finish(number, bad_request_answer(std::move(error->why)));
    }
    auto& client_request = std::get<http::ClientRequest>(parsed);
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(number);
        if (found == pending_.end()) return;
        found->second.id = client_request.call_id;
    }
    submit_to_core(number, std::move(client_request), std::nullopt, http::client_network_allowance);
}

void Instance::submit_to_core(std::uint64_t number, http::ClientRequest request,
                              std::optional<UpstreamId> pinned, Micros unseen) {
    core::Call call = http::make_call(std::move(request), engine_->pool(), unseen);
    call.pinned = pinned;
    core::CallId id = 0;
    const core::AcceptResult taken = engine_->core().accept_call(std::move(call), *this, number, &id);
    if (taken != core::AcceptResult::accepted) return finish(number, rejected_answer(taken));
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(number);
    if (found != pending_.end()) found->second.call = id;
}

// Returns false for a call that another thread has completed as closed and not executed: it must not be sent.
bool Instance::on_sending(std::uint64_t token) {
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(token);
    if (found == pending_.end()) return false;
    found->second.sending = true;
    return true;
}

void Instance::on_final(std::uint64_t token, core::FinalAnswer final) {
    const bool may_have_run = final.may_have_run;
    try {
        complete_final(token, std::move(final));
    } catch (const std::exception& error) {
        // The core reports a final answer once, so the caller would otherwise wait forever.
        finish(token, local_answer(CallCause::fault, may_have_run, error.what()));
        throw;
    }
}

void Instance::complete_final(std::uint64_t token, core::FinalAnswer final) {
    CallResult result;
    result.verdict = verdict_of(final.verdict);
    result.cause = cause_of(final.cause);
    result.may_have_run = final.may_have_run;
    result.retry_after = final.retry_after;
    bool web = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(token);
        if (found == pending_.end()) return;  // already completed
        web = found->second.web;
    }
    if (web)
        return finish(token, http_answer(http::make_response(std::move(final)), std::move(result), false));
    if (final.verdict == core::Verdict::served) {
        http::Response message = http::make_response(std::move(final));
        result.status = message.status;
        result.headers = headers_of(message.fields);
        result.body = std::move(message.body);
    }
    HttpAnswer answer;
    answer.result = std::move(result);
    finish(token, std::move(answer));
}

void Instance::cancel_on_executor(std::uint64_t number, asio::cancellation_type type) {
    core::CallId call = 0;
    bool sending = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(number);
        if (found == pending_.end()) return;  // already completed
        call = found->second.call;
        sending = found->second.sending;
    }
    // `total` cancels only an operation without side effects, so not a call that is being sent.
    const bool unconditional =
        (type & (asio::cancellation_type::terminal | asio::cancellation_type::partial)) !=
        asio::cancellation_type::none;
    if (type == asio::cancellation_type::none || (!unconditional && sending)) return;
    const bool may_have_run = call != 0 && engine_ && engine_->core().abandon_call(call);
    finish(number, local_answer(CallCause::cancelled, may_have_run));
}

// Completes an operation unless other code has removed it from the table, and so completed it, already.
void Instance::finish(std::uint64_t number, HttpAnswer answer) {
    std::unique_ptr<Operation> operation;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(number);
        if (found != pending_.end()) {
            operation = std::move(found->second.operation);
            answer.result.id = std::move(found->second.id);
            answer.close = answer.close || closed_;  // no further request of the connection would be accepted
            // The client of a HEAD request would take a body for the next answer.
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
        write(core::events::fault, "a handler could not be posted: " + std::string(error.what()));
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
        HttpAnswer answer = local_answer(cause, pending.may_have_run.value_or(pending.sending));
        answer.result.id = std::move(pending.id);
        answer.close = true;  // as in finish()
        if (pending.head) answer.body.clear();
        complete(*pending.operation, std::move(answer));
    }
}

void Instance::stop_accepting() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
}

void Instance::tear_down() {
    torn_down_ = true;
    withdraw_all_from_core();
    complete_all(CallCause::closed);
    update_figures();
    figures_timer_.reset();
    drain_accept_timer_.reset();
    engine_.reset();
    {
        const std::lock_guard lock(mutex_);
        figures_.open = figures_.servers = figures_.connections = 0;
    }
    complete_end_operations();
}

// Withdraws all calls from the core and notes which of them may have been executed. The core knows this
// better than Pending::sending does: an upstream may have rejected a call that was sent.
void Instance::withdraw_all_from_core() {
    if (!engine_) return;
    std::vector<std::pair<std::uint64_t, core::CallId>> calls;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [number, pending] : pending_) {
            if (pending.call != 0) calls.emplace_back(number, pending.call);
        }
    }
    for (const auto& [number, call] : calls) {
        const bool may_have_run = engine_->core().abandon_call(call);
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(number);
        if (found != pending_.end()) found->second.may_have_run = may_have_run;
    }
}

void Instance::complete_end_operations() {
    std::vector<std::unique_ptr<Operation>> operations;
    {
        const std::lock_guard lock(mutex_);
        operations.swap(end_operations_);
    }
    for (const auto& operation : operations) complete(*operation, {});
}

void Instance::on_loop_shutdown() {
    silent_ = true;
    tear_down();
    executor_ = {};
    loop_shutdown_ = nullptr;
}

void Instance::update_figures() {
    if (!engine_) return;
    const core::Stats core_figures = engine_->figures();
    const std::lock_guard lock(mutex_);
    figures_.taken = core_figures.accepted;
    figures_.served = core_figures.served;
    figures_.refused = core_figures.refused;
    figures_.failed = core_figures.failed;
    figures_.left = core_figures.abandoned;
    figures_.attempts = core_figures.attempts;
    figures_.overdue = core_figures.watchdog_answers;
    figures_.faults = core_figures.faults;
    figures_.open = core_figures.open;
    figures_.servers = engine_->upstreams();
    figures_.connections = engine_->connections();
}

void Instance::report_figures() {
    if (!engine_ || figures_every_ <= Micros{0}) return;
    update_figures();
    figures_timer_->expires_after(figures_every_);
    figures_timer_->async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) self->report_figures();
    });
    if (!figures_sink_ || silent_) return;
    try {
        figures_sink_(name_, figures());
    } catch (...) {
        write(core::events::fault, "the figures sink threw an exception");
    }
}

// Drops an exception of a sink: a failing log loses a line, but must not keep a call from ending.
void Instance::event(const core::Event& event, std::span<const core::Value> values) noexcept {
    try {
        if (silent_) return;
        if (events_) events_->event(event, values);
        if (log_) log_(name_, core::text_of(event, values));
    } catch (...) {
    }
}

// ------------------------------------------------------------------- functions for the public header

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
    if (const auto self = instance.lock()) self->cancel(call, type);
}

void end(const InstancePointer& instance, bool orderly, std::unique_ptr<Operation> operation) {
    instance->end(orderly, std::move(operation));
}

asio::any_io_executor executor_of(const InstancePointer& instance) { return instance->executor(); }

}  // namespace flaxdoor::detail
