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

struct Where {
    KindOf kind;
    const char* group;  // with its version
    const char* plural;
    const char* selector;
    bool metadata_only;
    bool optional;  // may be forbidden, or not installed
};

constexpr Where places[] = {
    {KindOf::gateway_class, "/apis/gateway.networking.k8s.io/v1", "gatewayclasses", "", false, false},
    {KindOf::gateway, "/apis/gateway.networking.k8s.io/v1", "gateways", "", false, false},
    {KindOf::http_route, "/apis/gateway.networking.k8s.io/v1", "httproutes", "", false, false},
    {KindOf::reference_grant, "/apis/gateway.networking.k8s.io/v1beta1", "referencegrants", "", false, true},
    {KindOf::service, "/api/v1", "services", "", false, false},
    {KindOf::endpoint_slice, "/apis/discovery.k8s.io/v1", "endpointslices", "", false, false},
    {KindOf::space, "/api/v1", "namespaces", "", false, true},
    {KindOf::secret, "/api/v1", "secrets", "fieldSelector=type%3Dkubernetes.io%2Ftls", false, true},
    {KindOf::definition, "/apis/apiextensions.k8s.io/v1", "customresourcedefinitions",
     "fieldSelector=metadata.name%3Dgatewayclasses.gateway.networking.k8s.io", true, true},
};

std::string target_of(KindOf kind, const std::string& key) {
    for (const Where& where : places) {
        if (where.kind != kind) continue;
        const auto slash = key.find('/');
        const std::string group = where.group;
        if (slash == std::string::npos) return group + "/" + where.plural + "/" + key;
        return group + "/namespaces/" + key.substr(0, slash) + "/" + where.plural + "/" +
               key.substr(slash + 1);
    }
    return {};
}

constexpr std::size_t answer_most = 4 << 20;  // of a write

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
        for (const Where& where : places) {
            kube::ReflectorOptions its;
            its.path = std::string(where.group) + "/" + where.plural;
            its.selector = where.selector;
            its.metadata_only = where.metadata_only;
            its.optional = where.optional;
            its.page = options_.page;
            its.watch_for = options_.watch_for;
            its.silence = options_.silence;
            its.retry_least = options_.retry_least;
            its.retry_most = options_.retry_most;
            const KindOf kind = where.kind;
            follows_.push_back(std::make_unique<Follow>(
                io_.get_executor(), client_, clock_, std::move(its), random_(),
                [this, kind](kube::Change change) { take(kind, std::move(change)); },
                [this, kind](const std::string& trouble) {
                    const std::string name(gateway::name_of(kind));
                    if (trouble.empty()) return say(log::events::gateway_watch_back, name);
                    say(log::events::gateway_watch_failed, name, trouble);
                }));
        }
    }

    void start() {
        thread_ = std::thread([this] {
            for (const auto& follow : follows_) follow->start();
            if (options_.write_status) go_on_with_lease();
            run();
        });
    }

    // Nothing reaches the loop any more once this returns.
    void stop() {
        {
            const std::lock_guard lock(told_->mutex);
            told_->over = true;
        }
        io_.stop();
        if (thread_.joinable()) thread_.join();
    }

    void set_ports(std::map<std::uint16_t, std::string> ports) {
        asio::post(io_, [this, ports = std::move(ports)] {
            controller_.set_ports(ports);
            plan_soon();
        });
    }

    ClusterFigures figures() const {
        const std::lock_guard lock(told_->mutex);
        return told_->figures;
    }

private:
    struct Told {
        std::mutex mutex;
        bool over = false;
        ClusterFigures figures;
    };

    static gateway::StatusWriter::Options with_controller(const ClusterOptions& options) {
        auto its = options.writer;
        its.controller = options.plan.controller;
        return its;
    }
    static gateway::PlanOptions with_ports(gateway::PlanOptions its) {
        its.ports_known = true;
        return its;
    }

    // Guards against a thread that ends, and with it every later change, for one thing that could not be
    // done.
    void run() {
        for (;;) {
            try {
                io_.run();
                return;
            } catch (const std::exception& error) {
                say(log::events::gateway_fault, std::string(error.what()));
            }
        }
    }

    template <typename Work>
    void on_loop(Work work) {
        asio::post(loop_, [told = told_, work = std::move(work)]() mutable {
            {
                const std::lock_guard lock(told->mutex);
                if (told->over) return;
            }
            work();
        });
    }

    // Values are copied to the other thread, so texts come as std::string.
    template <std::size_t N, class... Values>
    void say(const core::EventOf<N>& event, Values... values) {
        on_loop([this, &event, ... values = std::move(values)] { log_.tell(event, values...); });
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    // ------------------------------------------------------------------------------------------ resources

    void take(KindOf kind, kube::Change change) {
        ++figures_.changes;
        switch (change.kind) {
            case kube::Change::Kind::put: complain(controller_.put(clock_.now(), kind, change.object)); break;
            case kube::Change::Kind::erase: controller_.erase(kind, gateway::key_of(change.object)); break;
            case kube::Change::Kind::list:
                ++figures_.lists;
                writer_.listed(kind);
                for (const auto& refused : controller_.list(clock_.now(), kind, change.objects))
                    complain(refused);
                if (!synced_ && std::all_of(follows_.begin(), follows_.end(),
                                            [](const auto& follow) { return follow->listed(); })) {
                    synced_ = true;
                    say(log::events::gateway_known);
                }
                break;
        }
        settle();
    }

    void complain(const std::string& refused) {
        if (!refused.empty()) say(log::events::gateway_refused, refused);
    }

    // What has come of it is seen to soon.
    void settle() {
        if (controller_.dirty()) plan_soon();
        if (controller_.take_status_news()) write_soon();
        if (controller_.held() != held_) {
            held_ = controller_.held();
            if (held_.empty()) {
                say(log::events::gateway_released);
            } else {
                say(log::events::gateway_held_back, held_);
            }
        }
        const auto next = controller_.due();
        if (!next) return;
        guard_timer_.expires_at(clock_.steady(*next));
        guard_timer_.async_wait([this](error_code error) {
            if (error) return;
            controller_.tick(clock_.now());
            settle();
        });
    }

    // ----------------------------------------------------------------------------------------------- plans

    // However much changes, not oftener than it should.
    void plan_soon() {
        if (plan_set_ || !synced_) return;
        plan_set_ = true;
        plan_timer_.expires_at(std::max(planned_ + options_.apply_every, loop::Clock::Steady::now()));
        plan_timer_.async_wait([this](error_code error) {
            if (error) return;
            plan_set_ = false;
            plan();
            planned_ = loop::Clock::Steady::now();
        });
    }

    void plan() {
        reaper_->reap();
        auto made = controller_.outcome();
        ++figures_.plans;
        Change change;
        if (made.ports) change.ports = ports_of(std::move(*made.ports));
        if (made.statuses) writer_.want(std::move(*made.statuses));
        for (auto& news : made.pools) {
            PoolChange each;
            each.key = std::move(news.key);
            each.classes = {news.pool.classes.begin(), news.pool.classes.end()};
            for (std::size_t i = 0; i < news.endpoints.size(); ++i) {
                auto& endpoint = news.endpoints[i];
                each.servers.push_back({id_of(endpoint.id), std::move(endpoint.name),
                                        std::move(endpoint.address), std::move(endpoint.zone),
                                        endpoint.draining, news.since[i]});
            }
            change.pools.push_back(std::move(each));
        }
        change.gone = std::move(made.gone);
        if (change.ports || !change.pools.empty() || !change.gone.empty()) {
            change.number = ++number_;
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
                // What a rule says was looked at when it was read; together it may still be too much.
                say(log::events::gateway_table_kept, number, *fault);
                if (const auto before = tables_.find(number); before != tables_.end())
                    out->emplace(number, before->second);
                continue;
            }
            port.table = reaper_->lend(std::get<std::shared_ptr<const routes::Table>>(std::move(built)));
            if (plan.tls) port.tls = context_of(number, plan.certificates);
            out->emplace(number, std::move(port));
        }
        tables_ = *out;
        return out;
    }

    // Made anew only where a certificate is another.
    std::shared_ptr<const tls::Context> context_of(std::uint16_t port,
                                                   const std::vector<gateway::Certificate>& certificates) {
        auto& [held, context] = contexts_[port];
        if (context && held == certificates) return context;
        std::vector<tls::Context::Named> all;
        for (const auto& each : certificates) all.push_back({each.host, each.certificate, each.key});
        context = tls::Context::for_clients(all);
        held = certificates;
        return context;
    }

    // ---------------------------------------------------------------------------------------------- status

    // A status has changed, ours or another's: what there should be has not.
    void write_soon() {
        if (write_set_) return;
        write_set_ = true;
        asio::post(io_, [this] {
            write_set_ = false;
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
        auto answer = std::make_shared<std::pair<int, std::string>>();
        client_.start(std::move(call),
                      {[answer](int status, Micros) { answer->first = status; },
                       [answer](std::string_view bytes) {
                           if (answer->second.size() < answer_most) answer->second.append(bytes);
                       },
                       [this, answer, kind = next->kind, key = next->key](bool whole, const std::string&) {
                           written(kind, key, whole ? answer->first : 0, answer->second);
                       }});
    }

    void written(KindOf kind, const std::string& key, int status, const std::string& body) {
        using gateway::Written;
        Written how = Written::retry;
        if (status >= 200 && status < 300) {
            how = Written::done;
            // The newest there is, ahead of the watch: so that its event finds nothing to do.
            const Json object = kube::read_json(body);
            if (object.is_object()) controller_.written(kind, key, object);
            settle();
            ++figures_.written;
        } else if (status == 409) {
            how = Written::conflict;
        } else if (status == 404) {
            how = Written::gone;
        } else if (status >= 400 && status < 500 && status != 429 && status != 401 && status != 403) {
            how = Written::refused;
            say(log::events::gateway_status_refused, std::string(gateway::name_of(kind)), key, status,
                body.substr(0, 300));
        }
        writer_.ended(clock_.now(), how, chance());
        publish();
        write();
    }

    void go_on_with_lease() {
        const Time now = clock_.now();
        if (auto next = lease_.next(now, now)) {
            kube::Client::Call call;
            call.method = next->method;
            call.target = next->target;
            call.body = next->body;
            call.limit = std::chrono::seconds(5);
            if (!call.body.empty()) call.content_type = "application/json";
            auto answer = std::make_shared<std::pair<int, std::string>>();
            client_.start(
                std::move(call),
                {[answer](int status, Micros) { answer->first = status; },
                 [answer](std::string_view bytes) {
                     if (answer->second.size() < answer_most) answer->second.append(bytes);
                 },
                 [this, answer](bool whole, const std::string&) {
                     const bool held = lease_.holds(clock_.now());
                     lease_.ended(clock_.now(), whole ? answer->first : 0, answer->second);
                     if (lease_.holds(clock_.now()) != held) {
                         say(held ? log::events::gateway_lease_lost : log::events::gateway_lease_ours);
                         publish();
                         write();
                     }
                     go_on_with_lease();
                 }});
            return;
        }
        if (const auto due = lease_.due()) {
            lease_timer_.expires_at(clock_.steady(*due));
            lease_timer_.async_wait([this](error_code error) {
                if (!error) go_on_with_lease();
            });
        }
    }

    void publish() {
        figures_.synced = synced_;
        figures_.held = held_;
        figures_.holds_lease = lease_.holds(clock_.now());
        figures_.objects = 0;
        for (const KindOf kind : gateway::all_kinds) figures_.objects += controller_.resources().count(kind);
        const std::lock_guard lock(told_->mutex);
        told_->figures = figures_;
    }

    const loop::Executor loop_;
    core::Log& log_;
    const loop::Clock& clock_;
    ClusterOptions options_;
    const std::function<void(Change)> on_change_;  // on the loop
    const std::shared_ptr<Told> told_ = std::make_shared<Told>();

    asio::io_context io_{1};
    kube::Client client_;
    gateway::Controller controller_;
    gateway::StatusWriter writer_;
    kube::Lease lease_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Follow>> follows_;
    const std::shared_ptr<Reaper> reaper_ = std::make_shared<Reaper>();
    Ports tables_;  // as told last
    std::map<std::uint16_t, std::pair<std::vector<gateway::Certificate>, std::shared_ptr<const tls::Context>>>
        contexts_;
    std::string held_;
    bool synced_ = false, plan_set_ = false, write_set_ = false;
    loop::Clock::Steady::time_point planned_{};
    std::uint64_t number_ = 0;
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
