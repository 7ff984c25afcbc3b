#include "ingress/router.h"

#include <algorithm>
#include <charconv>

#include "http/platform.h"

namespace flaxdoor::ingress {

using http::plain_answer;
using http::Request;
using http::Response;
using routes::CallClass;

namespace {

constexpr std::string_view budget_field = "X-Budget-Ms";

// Returns the time budget, shortened by the client's X-Budget-Ms. The field never extends it.
Micros shortened_budget(Micros budget, const http::Fields& fields) {
    const auto text = fields[budget_field];
    std::uint32_t ms = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (bad != std::errc{} || end != text.data() + text.size() || ms == 0) return budget;
    return std::min<Micros>(budget, std::chrono::milliseconds(ms));
}

CallClass class_of(const routes::Rule& rule, const Request& message) {
    CallClass call = rule.call;
    using Kind = CallClass::Kind;
    if (call.kind == Kind::by_method) {
        const bool safe = message.method == "GET" || message.method == "HEAD" || message.method == "OPTIONS";
        call.kind = safe ? Kind::safe : Kind::unsafe;
    }
    // Without a key the backend can't deduplicate retries.
    const bool has_key =
        message.fields.count("Idempotency-Key") == 1 && !message.fields["Idempotency-Key"].empty();
    if (call.kind == Kind::keyed && !has_key) call.kind = Kind::unsafe;
    if (call.kind != Kind::keyed) call.window = Micros{0};
    return call;
}

Response redirect_response(const routes::Hit& hit, const routes::Target& target,
                           const ClientConnection& client, const std::string& host) {
    Response out = plain_answer(hit.rule->redirect->status);
    out.fields.set("Location", routes::redirect_location({client.scheme, host, client.port}, target,
                                                         hit.match->path.value, *hit.rule->redirect));
    routes::apply_header_edit(out.fields, hit.rule->response);
    return out;
}

void set_forwarded_fields(Request& message, const ClientConnection& client, const std::string& host,
                          const std::optional<std::string>& new_host) {
    if (!client.peer.empty()) {
        std::string all;
        for (std::size_t i = 0; i < message.fields.size(); ++i) {
            const auto field = message.fields.at(i);
            if (http::equals_ignoring_case(field.name, "X-Forwarded-For"))
                all.append(field.value).append(", ");
        }
        message.fields.set("X-Forwarded-For", all + client.peer);
    }
    message.fields.set("X-Forwarded-Proto", client.scheme);
    if (!new_host) return;
    message.fields.set("X-Forwarded-Host", host);
    message.fields.set("Host", *new_host);
}

}  // namespace

std::variant<Response, Routed> route(std::shared_ptr<const routes::Table> table, Request message,
                                     const ClientConnection& client, double chance) {
    if (message.fields.count("Host") > 1) return plain_answer(400, "Host is there more than once");
    if (message.method == "CONNECT") return plain_answer(405, "CONNECT is not supported");
    std::string authority(message.fields["Host"]);
    if (!message.target.empty() && message.target.front() != '/') {
        // The authority of an absolute target takes precedence over Host (RFC 9112, 3.2.2).
        const auto scheme = message.target.find("://");
        if (scheme != std::string::npos) {
            const auto end = std::min(message.target.find('/', scheme + 3), message.target.size());
            authority = message.target.substr(scheme + 3, end - scheme - 3);
        }
    }
    if (authority.empty() && message.version >= 11) return plain_answer(400, "Host is missing");
    const std::string host = routes::host_of(authority);
    const routes::Target target = routes::split_target(message.target);
    if (!target.why.empty()) return plain_answer(400, target.why);

    const routes::Hit hit = table->match({message.method, host, target.path, target.query, &message.fields});
    if (!hit.listener) return plain_answer(404, "no listener has this host");
    if (!client.server_name.empty()) {
        // The connection presented the certificate of another listener.
        const std::string requested_host = routes::host_of(client.server_name);
        if (table->listener_of(requested_host) != hit.listener)
            return plain_answer(421, "this host is not served on this connection");
    }
    if (!hit.rule) return plain_answer(404, "no route");
    if (hit.rule->status) return plain_answer(*hit.rule->status, "the route's rule can't be used");
    if (hit.rule->redirect) return redirect_response(hit, target, client, host);
    const routes::Backend* const backend = routes::choose(*hit.rule, chance);
    if (!backend) return plain_answer(500, "the route has no backend");
    if (backend->pool.empty()) return plain_answer(backend->status, "the route's backend can't be used");

    Routed out;
    out.route = hit.route;
    out.rule = hit.rule;
    out.backend = backend;
    out.call = class_of(*hit.rule, message);
    out.budget = out.call.deadline;
    if (hit.rule->request_timeout > Micros{0}) out.budget = std::min(out.budget, hit.rule->request_timeout);
    out.budget = shortened_budget(out.budget, message.fields);
    out.head = message.method == "HEAD";
    out.table = std::move(table);
    routes::Rewrite rewrite = hit.rule->rewrite.value_or(routes::Rewrite{});
    message.target = routes::rewritten_target(target, hit.match->path.value, rewrite);
    static constexpr std::string_view kept[] = {"Idempotency-Key"};
    http::strip_hop_by_hop(message.fields, kept);
    message.version = 11;
    set_forwarded_fields(message, client, host, rewrite.host);
    routes::apply_header_edit(message.fields, hit.rule->request);
    routes::apply_header_edit(message.fields, backend->request);
    out.payload = std::make_shared<http::RequestPayload>(std::move(message));
    return out;
}

Response unavailable_response(Micros retry_after) {
    Response out = plain_answer(503);
    if (retry_after > Micros{0}) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
        out.fields.set("Retry-After", std::to_string(seconds));
    }
    return out;
}

Response client_response(core::FinalAnswer final, const Routed& routed) {
    const auto prepare_response = [&](Response message) {
        if (routed.head) message.head_content_length = message.fields["Content-Length"];
        http::strip_hop_by_hop(message.fields);
        message.version = 11;
        routes::apply_header_edit(message.fields, routed.rule->response);
        routes::apply_header_edit(message.fields, routed.backend->response);
        return message;
    };
    switch (final.verdict) {
        case core::Verdict::served:
            return prepare_response(std::move(static_cast<http::ResponsePayload&>(*final.answer).message));
        case core::Verdict::refused: return unavailable_response(final.retry_after);
        case core::Verdict::failed: break;
    }
    if (final.cause == core::Cause::watchdog || final.cause == core::Cause::timed_out)
        return plain_answer(504);
    auto& error = routed.payload->error_response;
    if (final.cause != core::Cause::error || !error) return plain_answer(502);
    Response message = prepare_response(std::move(*error));
    // A 503 of the balancer promises that the request was not executed. An upstream's 503 may follow an
    // executed request, so that it becomes a 502 without Retry-After.
    if (message.status == 503) {
        message.status = 502;
        message.reason.clear();
        message.fields.erase("Retry-After");
    }
    return message;
}

Outcome classify_response(const Response& answer) {
    if (answer.status < 500) return Outcome::ok;
    const bool may_be_rejection = answer.status == 503 || answer.status == 504;
    return may_be_rejection && answer.fields["X-Rejected"] == "1" ? Outcome::full : Outcome::error;
}

}  // namespace flaxdoor::ingress
