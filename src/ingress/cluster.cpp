#include "ingress/cluster.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <optional>
#include <thread>

#include "gateway/controller.h"
#include "ingress/follow.h"
#include "ingress/reaper.h"
#include "kube/client.h"
#include "kube/json.h"
#include "log/events.h"

namespace flaxdoor::ingress {

namespace asio = boost::asio;
using boost::system::error_code;
using gateway::Json;
using gateway::KindOf;

namespace {

struct ResourceSource {
    KindOf kind;
    const char* group;  // API group with its version
    const char* plural;
    const char* selector;
    bool metadata_only;
    bool optional;  // access may be forbidden, or the kind not installed
};

constexpr ResourceSource resource_sources[] = {
    {KindOf::gateway_class, "/apis/gateway.networking.k8s.io/v1", "gatewayclasses", "", false, false},
    {KindOf::gateway, "/apis/gateway.networking.k8s.io/v1", "gateways", "", false, false},
    {KindOf::http_route, "/apis/gateway.networking.k8s.io/v1", "httproutes", "", false, false},
    {KindOf::reference_grant, "/apis/gateway.networking.k8s.io/v1beta1", "referencegrants", "", false, true},
    {KindOf::service, "/api/v1", "services", "", false, false},
    {KindOf::endpoint_slice, "/apis/discovery.k8s.io/v1", "endpointslices", "", false, false},
    {KindOf::kube_namespace, "/api/v1", "namespaces", "", false, true},
    {KindOf::secret, "/api/v1", "secrets", "fieldSelector=type%3Dkubernetes.io%2Ftls", false, true},
    {KindOf::custom_resource_definition, "/apis/apiextensions.k8s.io/v1", "customresourcedefinitions",
     "fieldSelector=metadata.name%3Dgatewayclasses.gateway.networking.k8s.io", true, true},
};

std::string target_of(KindOf kind, const std::string& key) {
    for (const ResourceSource& source : resource_sources) {
        if (source.kind != kind) continue;
        const auto slash = key.find('/');
        const std::string group = source.group;
        if (slash == std::string::npos) return group + "/" + source.plural + "/" + key;
        return group + "/namespaces/" + key.substr(0, slash) + "/" + source.plural + "/" +
               key.substr(slash + 1);
    }
    return {};
}

constexpr std::size_t max_write_response = 4 << 20;  // bytes of the response to a write

}  // namespace

class Cluster::Impl {
public:
    Impl(const loop::Executor& loop, core::Log& log, const loop::Clock& clock, ClusterOptions options,
         std::function<void(Change)> on_change)
        : loop_(loop),
          log_(log),
          clock_(clock),
          options_(std::move(options)),
          on_change_(std::move(on_change)),
          client_(io_.get_executor(), options_.server),
          controller_(with_ports(options_.plan), options_.guard),
          writer_(with_controller(options_)),
          lease_(options_.lease),
          random_(options_.seed),
          plan_timer_(io_),
          guard_timer_(io_),
          write_timer_(io_),
          lease_timer_(io_),
          work_(io_.get_executor()) {
        for (const ResourceSource& source : resource_sources) {
            kube::ReflectorOptions reflector_options;
            reflector_options.path = std::string(source.group) + "/" + source.plural;
            reflector_options.selector = source.selector;
            reflector_options.metadata_only = source.metadata_only;
            reflector_options.optional = source.optional;
            reflector_options.page = options_.page;
            reflector_options.watch_for = options_.watch_for;
            reflector_options.silence = options_.silence;
            reflector_options.min_backoff = options_.min_backoff;
            reflector_options.max_backoff = options_.max_backoff;
            const KindOf kind = source.kind;
            watchers_.push_back(std::make_unique<ResourceWatcher>(
                io_.get_executor(), client_, clock_, std::move(reflector_options), random_(),
                [this, kind](kube::Change change) { apply_change(kind, std::move(change)); },
                [this, kind](const std::string& error) {
                    const std::string name(gateway::name_of(kind));
                    if (error.empty()) return log_event(log::events::gateway_watch_back, name);
                    log_event(log::events::gateway_watch_failed, name, error);
                }));
        }
    }

    void start() {
        thread_ = std::thread([this] {
            for (const auto& watcher : watchers_) watcher->start();
            if (options_.write_status) drive_lease();
            run();
        });
    }

    // After this returns nothing more is called on the loop.
    void stop() {
        {
            const std::lock_guard lock(published_->mutex);
            published_->stopped = true;
        }
        io_.stop();
        if (thread_.joinable()) thread_.join();
    }

    void set_ports(std::map<std::uint16_t, std::string> ports) {
        asio::post(io_, [this, ports = std::move(ports)] {
            controller_.set_ports(ports);
            schedule_plan();
        });
    }

    ClusterFigures figures() const {
        const std::lock_guard lock(published_->mutex);
        return published_->figures;
    }

private:
    struct Published {
        std::mutex mutex;
        bool stopped = false;
        ClusterFigures figures;
    };

    static gateway::StatusWriter::Options with_controller(const ClusterOptions& options) {
        auto writer_options = options.writer;
        writer_options.controller = options.plan.controller;
        return writer_options;
    }
    static gateway::PlanOptions with_ports(gateway::PlanOptions plan_options) {
        plan_options.ports_known = true;
        return plan_options;
    }

    // Logs exceptions and continues, since the end of the thread would stop all later changes.
    void run() {
        for (;;) {
            try {
                io_.run();
                return;
            } catch (const std::exception& error) {
                log_event(log::events::gateway_fault, std::string(error.what()));
            }
        }
    }

    template <typename Work>
    void on_loop(Work work) {
        asio::post(loop_, [published = published_, work = std::move(work)]() mutable {
            {
                const std::lock_guard lock(published->mutex);
                if (published->stopped) return;
            }
            work();
        });
    }

    // Logs on the loop's thread. Values are copied to it, so that texts have to be passed as std::string.
    template <std::size_t N, class... Values>
    void log_event(const core::EventOf<N>& event, Values... values) {
        on_loop([this, &event, ... values = std::move(values)] { log_.write(event, values...); });
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    // ------------------------------------------------------------------------------------------ Resources

    void apply_change(KindOf kind, kube::Change change) {
        ++figures_.changes;
        switch (change.kind) {
            case kube::Change::Kind::put:
                log_refused(controller_.put(clock_.now(), kind, change.object));
                break;
            case kube::Change::Kind::erase: controller_.erase(kind, gateway::key_of(change.object)); break;
            case kube::Change::Kind::list:
                ++figures_.lists;
                writer_.listed(kind);
                for (const auto& refused : controller_.list(clock_.now(), kind, change.objects))
                    log_refused(refused);
                if (!synced_ && std::all_of(watchers_.begin(), watchers_.end(),
                                            [](const auto& watcher) { return watcher->listed(); })) {
                    synced_ = true;
                    log_event(log::events::gateway_known);
                }
                break;
        }
        schedule_work();
    }

    void log_refused(const std::string& refused) {
        if (!refused.empty()) log_event(log::events::gateway_refused, refused);
    }

    // Schedules the work that a change has made necessary.
    void schedule_work() {
        if (controller_.dirty()) schedule_plan();
        if (controller_.take_status_written()) schedule_write();
        if (controller_.held() != held_text_) {
            held_text_ = controller_.held();
            if (held_text_.empty()) {
                log_event(log::events::gateway_released);
            } else {
                log_event(log::events::gateway_held_back, held_text_);
            }
        }
        const auto next = controller_.due();
        if (!next) return;
        guard_timer_.expires_at(clock_.steady(*next));
        guard_timer_.async_wait([this](error_code error) {
            if (error) return;
            controller_.tick(clock_.now());
            schedule_work();
        });
    }

    // ----------------------------------------------------------------------------------------------- Plans

    // Schedules a plan. Plans are at least apply_every apart, however many changes arrive.
    void schedule_plan() {
        if (plan_scheduled_ || !synced_) return;
        plan_scheduled_ = true;
        plan_timer_.expires_at(std::max(last_plan_at_ + options_.apply_every, loop::Clock::Steady::now()));
        plan_timer_.async_wait([this](error_code error) {
            if (error) return;
            plan_scheduled_ = false;
            plan();
            last_plan_at_ = loop::Clock::Steady::now();
        });
    }

    void plan() {
        reaper_->reap();
        auto updates = controller_.outcome();
        ++figures_.plans;
        Change change;
        if (updates.ports) change.ports = ports_of(std::move(*updates.ports));
        if (updates.statuses) writer_.want(std::move(*updates.statuses));
        for (auto& update : updates.pools) {
            PoolChange each;
            each.key = std::move(update.key);
            each.classes = {update.pool.classes.begin(), update.pool.classes.end()};
            for (std::size_t i = 0; i < update.endpoints.size(); ++i) {
                auto& endpoint = update.endpoints[i];
                each.servers.push_back({id_of(endpoint.id), std::move(endpoint.name),
                                        std::move(endpoint.address), std::move(endpoint.zone),
                                        endpoint.draining, update.since[i]});
            }
            change.pools.push_back(std::move(each));
        }
        change.gone = std::move(updates.gone);
        if (change.ports || !change.pools.empty() || !change.gone.empty()) {
            change.number = ++change_number_;
            on_loop([this, change = std::move(change)]() mutable { on_change_(std::move(change)); });
        }
        publish();
        write();
    }

    std::shared_ptr<const Ports> ports_of(std::map<std::uint16_t, gateway::PortPlan> plans) {
        auto out = std::make_shared<Ports>();
        for (auto& [number, plan] : plans) {
            Port port;
            auto built = routes::Table::build(std::move(plan.table));
            if (const auto* fault = std::get_if<std::string>(&built)) {
                // Single rules were validated when they were parsed, but their combination may exceed a
                // limit. The previous table stays in use.
                log_event(log::events::gateway_table_kept, number, *fault);
                if (const auto before = tables_.find(number); before != tables_.end())
                    out->emplace(number, before->second);
                continue;
            }
            port.table = reaper_->track(std::get<std::shared_ptr<const routes::Table>>(std::move(built)));
            if (plan.tls) port.tls = context_of(number, plan.certificates);
            out->emplace(number, std::move(port));
        }
        tables_ = *out;
        return out;
    }

    // Returns the TLS context of a port; creates a new one only if the certificates have changed.
    std::shared_ptr<const tls::Context> context_of(std::uint16_t port,
                                                   const std::vector<gateway::Certificate>& certificates) {
        auto& [used_certificates, context] = contexts_[port];
        if (context && used_certificates == certificates) return context;
        std::vector<tls::Context::Named> all;
        for (const auto& each : certificates) all.push_back({each.host, each.certificate, each.key});
        context = tls::Context::for_clients(all);
        used_certificates = certificates;
        return context;
    }

    // ---------------------------------------------------------------------------------------------- Status

    // Schedules a check of the statuses after one was written by this or another process. The plan is
    // unchanged.
    void schedule_write() {
        if (write_scheduled_) return;
        write_scheduled_ = true;
        asio::post(io_, [this] {
            write_scheduled_ = false;
            write();
        });
    }

    void write() {
        if (!options_.write_status) return;
        const Time now = clock_.now();
        auto next = writer_.next(now, lease_.holds(now), controller_.resources());
        if (!next) {
            if (const auto due = writer_.due(now)) {
                write_timer_.expires_at(clock_.steady(*due));
                write_timer_.async_wait([this](error_code error) {
                    if (!error) write();
                });
            }
            return;
        }
        kube::Client::Call call;
        call.method = "PATCH";
        call.target = target_of(next->kind, next->key) + "/status";
        call.content_type = "application/merge-patch+json";
        call.body = next->patch.dump(-1, ' ', false, Json::error_handler_t::replace);
        auto response = std::make_shared<std::pair<int, std::string>>();
        client_.start(
            std::move(call),
            {[response](int status, Micros) { response->first = status; },
             [response](std::string_view bytes) {
                 if (response->second.size() < max_write_response) response->second.append(bytes);
             },
             [this, response, kind = next->kind, key = next->key](bool complete, const std::string&) {
                 on_write_ended(kind, key, complete ? response->first : 0, response->second);
             }});
    }

    void on_write_ended(KindOf kind, const std::string& key, int status, const std::string& body) {
        using gateway::WriteResult;
        WriteResult result = WriteResult::retry;
        if (status >= 200 && status < 300) {
            result = WriteResult::done;
            // Stores the returned object before the watch delivers it, so that its event causes no further
            // work.
            const Json object = kube::read_json(body);
            if (object.is_object()) controller_.on_written(kind, key, object);
            schedule_work();
            ++figures_.written;
        } else if (status == 409) {
            result = WriteResult::conflict;
        } else if (status == 404) {
            result = WriteResult::gone;
        } else if (status >= 400 && status < 500 && status != 429 && status != 401 && status != 403) {
            result = WriteResult::refused;
            log_event(log::events::gateway_status_refused, std::string(gateway::name_of(kind)), key, status,
                      body.substr(0, 300));
        }
        writer_.ended(clock_.now(), result, chance());
        publish();
        write();
    }

    void drive_lease() {
        const Time now = clock_.now();
        if (auto next = lease_.next(now, now)) {
            kube::Client::Call call;
            call.method = next->method;
            call.target = next->target;
            call.body = next->body;
            call.limit = std::chrono::seconds(5);
            if (!call.body.empty()) call.content_type = "application/json";
            auto response = std::make_shared<std::pair<int, std::string>>();
            client_.start(std::move(call), {[response](int status, Micros) { response->first = status; },
                                            [response](std::string_view bytes) {
                                                if (response->second.size() < max_write_response)
                                                    response->second.append(bytes);
                                            },
                                            [this, response](bool complete, const std::string&) {
                                                const bool was_holder = lease_.holds(clock_.now());
                                                lease_.ended(clock_.now(), complete ? response->first : 0,
                                                             response->second);
                                                if (lease_.holds(clock_.now()) != was_holder) {
                                                    log_event(was_holder ? log::events::gateway_lease_lost
                                                                         : log::events::gateway_lease_ours);
                                                    publish();
                                                    write();
                                                }
                                                drive_lease();
                                            }});
            return;
        }
        if (const auto due = lease_.due()) {
            lease_timer_.expires_at(clock_.steady(*due));
            lease_timer_.async_wait([this](error_code error) {
                if (!error) drive_lease();
            });
        }
    }

    void publish() {
        figures_.synced = synced_;
        figures_.held = held_text_;
        figures_.holds_lease = lease_.holds(clock_.now());
        figures_.objects = 0;
        for (const KindOf kind : gateway::all_kinds) figures_.objects += controller_.resources().count(kind);
        const std::lock_guard lock(published_->mutex);
        published_->figures = figures_;
    }

    const loop::Executor loop_;
    core::Log& log_;
    const loop::Clock& clock_;
    ClusterOptions options_;
    const std::function<void(Change)> on_change_;  // called on the loop
    const std::shared_ptr<Published> published_ = std::make_shared<Published>();

    asio::io_context io_{1};
    kube::Client client_;
    gateway::Controller controller_;
    gateway::StatusWriter writer_;
    kube::Lease lease_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<ResourceWatcher>> watchers_;
    const std::shared_ptr<Reaper> reaper_ = std::make_shared<Reaper>();
    Ports tables_;  // as published last
    std::map<std::uint16_t, std::pair<std::vector<gateway::Certificate>, std::shared_ptr<const tls::Context>>>
        contexts_;
    std::string held_text_;
    bool synced_ = false, plan_scheduled_ = false, write_scheduled_ = false;
    loop::Clock::Steady::time_point last_plan_at_{};
    std::uint64_t change_number_ = 0;
    ClusterFigures figures_;
    asio::steady_timer plan_timer_, guard_timer_, write_timer_, lease_timer_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
};

Cluster::Cluster(const loop::Executor& loop, core::Log& log, const loop::Clock& clock, ClusterOptions options,
                 std::function<void(Change)> on_change)
    : impl_(std::make_shared<Impl>(loop, log, clock, std::move(options), std::move(on_change))) {
    impl_->start();
}
Cluster::~Cluster() { impl_->stop(); }
void Cluster::set_ports(std::map<std::uint16_t, std::string> ports) { impl_->set_ports(std::move(ports)); }
ClusterFigures Cluster::figures() const { return impl_->figures(); }

}  // namespace flaxdoor::ingress
