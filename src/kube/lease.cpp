#include "kube/lease.h"

#include <cstdio>
#include <ctime>

#include "kube/json.h"

namespace flaxdoor::kube {

using Json = nlohmann::json;

namespace {

std::string micro_time(Time unix_now) {
    const auto seconds = static_cast<std::time_t>(unix_now.count() / 1'000'000);
    std::tm t{};
    gmtime_r(&seconds, &t);
    char date[32], text[48];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &t);
    std::snprintf(text, sizeof text, "%s.%06ldZ", date, static_cast<long>(unix_now.count() % 1'000'000));
    return text;
}

std::string text_of(const Json& object, const char* name) {
    if (!object.is_object()) return {};
    const auto found = object.find(name);
    return found == object.end() || !found->is_string() ? std::string() : found->get<std::string>();
}

}  // namespace

Json Lease::spec(Time unix_now, bool acquired) const {
    const Json before = seen_.is_object() ? seen_.value("spec", Json::object()) : Json::object();
    Json out = before.is_object() ? before : Json::object();
    const std::string now = micro_time(unix_now);
    out["holderIdentity"] = options_.identity;
    out["leaseDurationSeconds"] = std::chrono::duration_cast<std::chrono::seconds>(options_.duration).count();
    out["renewTime"] = now;
    if (acquired) {
        out["acquireTime"] = now;
        const auto changes = out.find("leaseTransitions");
        const bool counted = changes != out.end() && changes->is_number_integer();
        out["leaseTransitions"] = counted ? changes->get<std::int64_t>() + 1 : 0;
    }
    return out;
}

std::optional<Lease::Call> Lease::next(Time now, Time unix_now) {
    if (calling_ || now < not_before_) return std::nullopt;
    const std::string collection = "/apis/coordination.k8s.io/v1/namespaces/" + options_.space + "/leases";
    calling_ = true;
    called_ = now;
    switch (step_) {
        case Step::look: return Call{"GET", collection + "/" + options_.name, {}};
        case Step::create: {
            seen_ = Json();
            const Json object = {{"apiVersion", "coordination.k8s.io/v1"},
                                 {"kind", "Lease"},
                                 {"metadata", {{"name", options_.name}, {"namespace", options_.space}}},
                                 {"spec", spec(unix_now, true)}};
            return Call{"POST", collection, object.dump()};
        }
        case Step::update: break;
    }
    Json object = seen_;
    object["spec"] = spec(unix_now, holder_ != options_.identity);
    return Call{"PUT", collection + "/" + options_.name, object.dump()};
}

void Lease::ended(Time now, int status, const std::string& body) {
    if (!calling_) return;
    calling_ = false;
    not_before_ = now + options_.every;
    const Step step = step_;
    step_ = Step::look;
    if (step == Step::look && status == 404) {
        step_ = Step::create;
        not_before_ = now;
        return;
    }
    if (status < 200 || status > 299) return;  // also after a conflict: another process was first
    const Json object = read_json(body);
    if (!object.is_object()) return;
    const Json spec = object.value("spec", Json::object());
    holder_ = text_of(spec, "holderIdentity");
    const std::string renewal = holder_ + " " + text_of(spec, "renewTime") + " " +
                                text_of(object.value("metadata", Json::object()), "resourceVersion");
    if (renewal != seen_renewal_) {
        seen_renewal_ = renewal;
        seen_since_ = now;
    }
    seen_ = object;
    if (step != Step::look) {
        held_ = holder_ == options_.identity;
        // Counts from the start of the call, so that this process never uses the lease longer than the server
        // granted it.
        held_until_ = called_ + options_.renew_within;
        if (held_) step_ = Step::update;
        return;
    }
    const bool expired = holder_.empty() || now - seen_since_ >= options_.duration;
    if (holder_ == options_.identity || expired) {
        step_ = Step::update;
        not_before_ = now;
    } else {
        held_ = false;
    }
}

}  // namespace flaxdoor::kube
