#include "coordinator/service.h"

#include <algorithm>
#include <cstring>

#include "log/events.h"

namespace flaxdoor::coordinator {

using budget::Verdict;
namespace events = log::events;

namespace {

http::Response json_answer(std::string body) {
    http::Response response;
    response.fields.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

}  // namespace

Service::Service(budget::BudgetConfig terms, Journal::Opened opened, const core::Clock& clock, core::Log& log,
                 GrantLog* grants)
    : clock_(clock),
      log_(log),
      grants_(grants),
      journal_(std::move(opened.journal)),
      authority_(std::move(terms), std::move(opened.start), clock.now()),
      longest_term_(std::max(authority_.terms().lease_term, opened.start.longest_term)) {
    const Micros wait_remaining = authority_.waits_until() - clock_.now();
    if (wait_remaining > Micros{0}) {
        log_.write(events::coordinator_waiting, wait_remaining.count() / 1000, opened.incomplete_reason);
    } else {
        log_.write(events::coordinator_current);
    }
}

std::variant<http::Handler::LocalResponse, http::Handler::Forward> Service::on_request(
    http::Request message, const ConnectionInfo& from) {
    const auto only = [&](std::string_view method, auto answer) {
        return message.method == method ? answer() : http::plain_answer(405);
    };
    http::Response response;
    if (message.target == "/v1/leases") {
        response = only("POST", [&] { return lease(message.body); });
    } else if (message.target == "/v1/budgets") {
        response = only("GET", [&] { return json_answer(encode(view())); });
    } else if (message.target == "/ready") {
        response = only("GET", [&] { return http::plain_answer(ready() && !from.draining ? 200 : 503); });
    } else {
        response = http::plain_answer(404);
    }
    return LocalResponse{std::move(response), false};
}

http::Response Service::on_final(core::FinalAnswer, http::RequestContext*) { return http::plain_answer(500); }

http::Handler::LocalResponse Service::on_call_rejected(core::AcceptResult, http::RequestContext*) {
    return {http::plain_answer(500), true};
}

http::Response Service::lease(const std::string& body) {
    const auto decoded = decode_request(body);
    if (const auto* malformed = std::get_if<Malformed>(&decoded))
        return http::plain_answer(400, malformed->why);
    const auto& request = std::get<budget::LeaseRequest>(decoded);
    const Time now = clock_.now();
    std::vector<budget::Change> changes;
    const budget::LeaseReply reply = authority_.on_request(request, now, changes);
    const bool committed = commit(changes);
    update_refused(request, reply, now);
    if (!committed) return http::plain_answer(503, trouble_);
    if (grants_) {
        const Time until = now + budget::lengthened_by_drift(reply.term, authority_.terms().max_clock_drift);
        if (const int error = grants_->write(request, reply, now, until); error != 0) {
            set_trouble(std::string("the grants log: ") + std::strerror(error));
            return http::plain_answer(503, trouble_);
        }
    }
    set_trouble({});
    return json_answer(encode(reply));
}

// An authority that has stepped down does not know the grants of its successor; nor does its next start.
Journal::Standing Service::standing() const {
    const Time waits_until = authority_.waits_until();
    Time known_from = waits_until;
    if (authority_.stepped_down()) {
        known_from = Time(max_time);
    } else if (waits_until > Time{}) {
        const budget::BudgetConfig& terms = authority_.terms();
        known_from =
            waits_until + budget::lengthened_by_drift(terms.max_attempt_duration, terms.max_clock_drift);
    }
    return {authority_.epoch(), known_from, longest_term_};
}

bool Service::commit(const std::vector<budget::Change>& changes) {
    const Journal::Standing current = standing();
    if (changes.empty() && !journal_->differs(current)) return true;
    const store::Result result = journal_->commit(current, changes);
    if (!result) {
        set_trouble("the store: " + result.why);
        return false;
    }
    if (journal_->witness_trouble() != witness_trouble_) {
        witness_trouble_ = journal_->witness_trouble();
        if (!witness_trouble_.empty()) log_.write(events::coordinator_witness, witness_trouble_);
    }
    return true;
}

void Service::set_trouble(std::string trouble) {
    if (trouble == trouble_) return;
    trouble_ = std::move(trouble);
    if (trouble_.empty()) {
        log_.write(events::coordinator_writes_again);
    } else {
        log_.write(events::coordinator_not_written, trouble_);
    }
}

// Logs each refusal once, and again when its reason changes, since a process sends several requests a term.
void Service::update_refused(const budget::LeaseRequest& request, const budget::LeaseReply& reply, Time now) {
    if (authority_.stepped_down()) {
        if (!logged_stepped_down_) log_.write(events::coordinator_stepped_down, request.holder);
        logged_stepped_down_ = true;
        return;
    }
    const Key key{request.holder, request.instance};
    if (reply.verdict == Verdict::granted) {
        refused_.erase(key);
        return;
    }
    if (reply.verdict == Verdict::waiting) return;  // all holders wait alike, or the request is a duplicate
    std::erase_if(refused_, [&](const auto& each) { return now - each.second.at > refused_retention; });
    const auto found = refused_.find(key);
    const bool is_new = found == refused_.end();
    if (is_new && refused_.size() >= max_refused) return;
    const bool logged = !is_new && found->second.verdict == reply.verdict;
    Refused& refused = refused_[key];
    refused = {reply.verdict, reply.why, now};
    if (!logged) log_refused(key, refused);
}

void Service::log_refused(const Key& key, const Refused& refused) {
    const auto& [holder, instance] = key;
    switch (refused.verdict) {
        case Verdict::name_taken:
            log_.write(events::coordinator_name_taken, holder, instance, refused.why);
            break;
        case Verdict::clock_off:
            log_.write(events::coordinator_clock_off, holder, instance, refused.why);
            break;
        default:
            log_.write(events::coordinator_refused, holder, instance, text_of(refused.verdict), refused.why);
            break;
    }
}

void Service::update_budgets(const budget::BudgetConfig& updated) {
    budget::BudgetConfig terms = authority_.terms();
    std::vector<budget::Budget> budgets;
    for (budget::Budget each : updated.budgets) {
        const auto existing = std::find_if(terms.budgets.begin(), terms.budgets.end(),
                                           [&](const budget::Budget& b) { return b.name == each.name; });
        if (existing != terms.budgets.end()) {
            each.counts = existing->counts;
            each.reserve = existing->reserve;
        }
        budgets.push_back(std::move(each));
    }
    terms.budgets = std::move(budgets);
    authority_.update_terms(std::move(terms), clock_.now());
}

bool Service::ready() const {
    return !authority_.stepped_down() && trouble_.empty() && clock_.now() >= authority_.waits_until();
}

View Service::view() const {
    const Time now = clock_.now();
    View view;
    view.epoch = authority_.epoch();
    view.waits = std::max(authority_.waits_until() - now, Micros{0});
    view.stepped_down = authority_.stepped_down();
    view.trouble = trouble_;
    budget::Authority::View authority = authority_.view(now);
    for (auto& sum : authority.sums) {
        view.sums.push_back({std::move(sum.budget), sum.counts, sum.whole, sum.reserved, sum.counted});
    }
    for (auto& held : authority.held) {
        if (view.held.size() == max_rows) {
            ++view.left_out;
            continue;
        }
        view.held.push_back({std::move(held.budget), std::move(held.holder), std::move(held.instance),
                             held.counted, held.share, held.wants, held.in_use,
                             held.until > Time{} ? held.until - now : Micros{0}, std::string(held.why)});
    }
    for (const auto& [key, refused] : refused_) {
        if (now - refused.at > refused_retention) continue;
        view.refused.push_back({key.first, key.second, refused.verdict, refused.why, now - refused.at});
    }
    return view;
}

}  // namespace flaxdoor::coordinator
