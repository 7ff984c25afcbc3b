#include "door/explain.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <sstream>

namespace flaxdoor::door {

namespace {

constexpr Micros max_span = std::chrono::seconds(600);
constexpr std::size_t max_loads = 64;
constexpr double max_requests = 2e6;

bool parse_number(std::string_view text, double& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value >= 0;
}

bool parse_span(std::string_view text, Micros& span) {
    double unit = 0;
    if (text.ends_with("ms")) {
        unit = 1e3;
        text.remove_suffix(2);
    } else if (text.ends_with("s")) {
        unit = 1e6;
        text.remove_suffix(1);
    }
    double value = 0;
    if (unit == 0 || !parse_number(text, value) || value * unit > static_cast<double>(max_span.count()))
        return false;
    span = Micros(static_cast<Micros::rep>(value * unit));
    return true;
}

// Adds the words of a line to the script. Returns the error, if there is one.
std::optional<ScriptFault> parse_line(const std::vector<std::string>& words, Script& script) {
    const auto fault = [](std::string what, std::string mend) {
        return ScriptFault{0, std::move(what), std::move(mend)};
    };
    double number = 0;
    if (words[0] == "seed" || words[0] == "servers") {
        const bool servers = words[0] == "servers";
        if (words.size() != 2 || !parse_number(words[1], number) || number < 1 || number > 1e6)
            return fault(words[0] + " takes one number from 1 to 1000000", "write " + words[0] + " 8");
        if (servers) {
            script.servers = static_cast<std::size_t>(number);
        } else {
            script.seed = static_cast<std::uint64_t>(number);
        }
        return std::nullopt;
    }
    if (words[0] == "slow") {
        if (words.size() != 6 || !parse_number(words[1], script.slowed) || script.slowed < 0.01 ||
            words[2] != "from" || !parse_span(words[3], script.slow_from) || words[4] != "to" ||
            !parse_span(words[5], script.slow_to) || script.slow_to <= script.slow_from)
            return fault("invalid slow statement", "write slow 2 from 3s to 8s");
        return std::nullopt;
    }
    if (words[0] != "load") return fault("unknown: " + words[0], "write seed, servers, slow or load");
    Script::Load load;
    for (std::size_t i = 1; i < words.size(); ++i) {
        const auto at = words[i].find('=');
        const std::string key = words[i].substr(0, at);
        const std::string value = at == std::string::npos ? "" : words[i].substr(at + 1);
        const std::map<std::string, Micros*> spans{
            {"service", &load.service}, {"deadline", &load.deadline}, {"from", &load.from}, {"to", &load.to}};
        if (key == "tenant" || key == "class") {
            if (value.empty()) return fault(key + " has no name", "write " + key + "=NAME");
            (key == "tenant" ? load.tenant : load.class_name) = value;
        } else if (key == "rate" || key == "clients") {
            if (!parse_number(value, number) || number <= 0 || number > 1e6)
                return fault(key + "=" + value + " is not a number above 0", "write " + key + "=100");
            if (key == "rate") {
                load.per_s = number;
            } else {
                load.clients = std::max<std::size_t>(1, static_cast<std::size_t>(number));
            }
        } else if (const auto span = spans.find(key); span != spans.end()) {
            if (!parse_span(value, *span->second))
                return fault(key + "=" + value + " is not a time span of at most 600s",
                             "write " + key + "=10ms, or 2s");
        } else {
            return fault("unknown: " + words[i],
                         "a load has tenant, rate, clients, class, service, deadline, from, to");
        }
    }
    if (load.tenant.empty()) return fault("the load has no tenant", "add tenant=NAME");
    if (load.per_s <= 0) return fault("the load has no rate", "add rate=100");
    if (load.to <= load.from) return fault("the load ends before it begins", "make to later than from");
    if (load.service <= Micros{}) return fault("the service time is zero", "write service=10ms");
    if (script.loads.size() == max_loads) return fault("more than 64 loads", "merge some of them");
    script.loads.push_back(std::move(load));
    return std::nullopt;
}

}  // namespace

std::variant<Script, std::vector<ScriptFault>> read_script(std::string_view text) {
    Script script;
    std::vector<ScriptFault> faults;
    std::istringstream lines{std::string(text)};
    std::string line;
    std::size_t number = 0;
    while (std::getline(lines, line)) {
        ++number;
        std::istringstream words{line.substr(0, line.find('#'))};
        std::vector<std::string> all;
        for (std::string word; words >> word;) all.push_back(word);
        if (all.empty()) continue;
        if (auto fault = parse_line(all, script); fault && faults.size() < 20) {
            fault->line = number;
            faults.push_back(*std::move(fault));
        }
    }
    double requests = 0;
    for (const auto& each : script.loads)
        requests += each.per_s * static_cast<double>((each.to - each.from).count()) / 1e6;
    if (faults.empty() && script.loads.empty())
        faults.push_back({number, "no load", "add a line: load tenant=NAME rate=100"});
    if (requests > max_requests)
        faults.push_back(
            {number, "more than 2 million requests", "lower the rates or shorten the time spans"});
    if (!faults.empty()) return faults;
    return script;
}

namespace {

// Simulates the loads, the admission queue and the module. Events are processed in the order of their virtual
// times.
class Simulation {
public:
    Simulation(const Terms& terms, const Script& script)
        : terms_(terms),
          script_(script),
          queue_(terms, now_, script.seed, {}),
          random_(script.seed),
          free_servers_(script.servers),
          rows_(terms.tenants.size() + 1),
          totals_(rows_.size()) {}

    std::string run() {
        for (std::size_t i = 0; i < script_.loads.size(); ++i)
            events_.push({begin + script_.loads[i].from, ++order_, Kind::arrive, i});
        events_.push({begin + std::chrono::seconds(1), ++order_, Kind::row, 0});
        text_ = "   second  tenant            came  served waiting  refused (retry s)\n";
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            if (event.kind == Kind::arrive) arrive(event.what);
            if (event.kind == Kind::end) end(event.what);
            if (event.kind == Kind::row) append_row();
            run_queue();
        }
        append_summary();
        return text_;
    }

private:
    static constexpr Time begin = std::chrono::seconds(1000);
    enum class Kind { arrive, end, due, row };
    struct Event {
        Time at{};
        std::uint64_t order = 0;
        Kind kind = Kind::arrive;
        std::uint64_t what = 0;
        bool operator<(const Event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct Row {
        std::size_t came = 0, served = 0;
        std::map<Reason, std::size_t> refused;
        double shortest_retry = 1e9, longest_retry = 0, waited = 0, longest_wait = 0;
    };
    struct Open {
        std::size_t load = 0, tenant = 0;
        Time came{};
    };

    void arrive(std::size_t load_index) {
        const Script::Load& load = script_.loads[load_index];
        std::exponential_distribution<double> interarrival(load.per_s);
        const Time next = now_ + Micros(1 + static_cast<Micros::rep>(interarrival(random_) * 1e6));
        if (next < begin + load.to) events_.push({next, ++order_, Kind::arrive, load_index});
        Request request;
        const auto index_of = [](const auto& list, const std::string& name) {
            const auto found =
                std::find_if(list.begin(), list.end(), [&](const auto& each) { return each.name == name; });
            return static_cast<std::size_t>(found - list.begin());
        };
        request.tenant = index_of(terms_.tenants, load.tenant);
        const std::size_t class_index = index_of(terms_.classes, load.class_name);
        request.class_index = class_index < terms_.classes.size() ? static_cast<int>(class_index) : 0;
        const std::string client =
            std::to_string(load_index) + "/" + std::to_string(random_() % load.clients);
        request.client = client;
        request.deadline = now_ + load.deadline;
        request.bytes = 1000;
        const std::size_t tenant = std::min(request.tenant, rows_.size() - 1);
        ++rows_[tenant].came;
        const auto arrival = queue_.enqueue(now_, request);
        if (arrival.refused) return record_refusal(tenant, *arrival.refused);
        open_[arrival.ticket] = {load_index, tenant, now_};
        if (arrival.handed) dispatch(arrival.ticket);
    }

    void record_refusal(std::size_t tenant, const Refusal& refusal) {
        const double seconds = static_cast<double>(refusal.retry_after.count()) / 1e6;
        Row& row = rows_[tenant];
        ++row.refused[refusal.reason];
        row.shortest_retry = std::min(row.shortest_retry, seconds);
        row.longest_retry = std::max(row.longest_retry, seconds);
    }

    void dispatch(Ticket ticket) {
        const Open& open = open_.at(ticket);
        const double waited = static_cast<double>((now_ - open.came).count()) / 1e3;
        rows_[open.tenant].waited += waited;
        rows_[open.tenant].longest_wait = std::max(rows_[open.tenant].longest_wait, waited);
        module_queue_.push_back(ticket);
        start_calls();
    }

    void start_calls() {
        for (; free_servers_ > 0 && !module_queue_.empty(); module_queue_.pop_front()) {
            --free_servers_;
            const Ticket ticket = module_queue_.front();
            queue_.on_first_byte(ticket, now_);
            const bool slow = now_ >= begin + script_.slow_from && now_ < begin + script_.slow_to;
            const auto service = static_cast<double>(script_.loads[open_.at(ticket).load].service.count());
            events_.push({now_ + Micros(static_cast<Micros::rep>(service * (slow ? script_.slowed : 1))),
                          ++order_, Kind::end, ticket});
        }
    }

    void end(Ticket ticket) {
        ++free_servers_;
        ++rows_[open_.at(ticket).tenant].served;
        open_.erase(ticket);
        (void)queue_.end(ticket, now_, ConcurrencyWindow::End::served);
        start_calls();
    }

    void run_queue() {
        while (const auto step = queue_.next(now_)) {
            if (!step->refused) {
                dispatch(step->ticket);
                continue;
            }
            record_refusal(open_.at(step->ticket).tenant, *step->refused);
            open_.erase(step->ticket);
        }
        if (const auto due = queue_.next_deadline(now_); due && (deadline_ <= now_ || *due < deadline_)) {
            deadline_ = *due;
            events_.push({deadline_, ++order_, Kind::due, 0});
        }
    }

    const std::string& tenant_name(std::size_t tenant) const {
        return tenant < terms_.tenants.size() ? terms_.tenants[tenant].name : terms_.others.name;
    }

    void append_row() {
        const Figures figures = queue_.figures(now_);
        for (std::size_t i = 0; i < rows_.size(); ++i) {
            Row& row = rows_[i];
            Row& sum = totals_[i];
            if (row.came + row.served > 0 || !row.refused.empty() || figures.tenants[i].waiting > 0) {
                char line[160];
                std::snprintf(line, sizeof line, "%9.0f  %-16.16s%6zu %7zu %7zu ",
                              static_cast<double>((now_ - begin).count()) / 1e6, tenant_name(i).c_str(),
                              row.came, row.served, figures.tenants[i].waiting);
                text_ += line;
                for (const auto& [reason, count] : row.refused)
                    text_ += std::string(" ") + text_of(reason) + " " + std::to_string(count);
                if (!row.refused.empty()) {
                    std::snprintf(line, sizeof line, " (%.3f to %.3f)", row.shortest_retry,
                                  row.longest_retry);
                    text_ += line;
                }
                text_ += '\n';
            }
            sum.came += row.came;
            sum.served += row.served;
            for (const auto& [reason, count] : row.refused) sum.refused[reason] += count;
            sum.waited += row.waited;
            sum.longest_wait = std::max(sum.longest_wait, row.longest_wait);
            row = {};
        }
        if (!open_.empty() || !events_.empty())
            events_.push({now_ + std::chrono::seconds(1), ++order_, Kind::row, 0});
    }

    void append_summary() {
        std::size_t served = 0;
        for (const Row& each : totals_) served += each.served;
        text_ += "\ntenant            weight    came  served   share  wait ms mean  longest  refused\n";
        for (std::size_t i = 0; i < totals_.size(); ++i) {
            const Row& sum = totals_[i];
            if (sum.came == 0) continue;
            char line[200];
            std::snprintf(
                line, sizeof line, "%-16.16s%8.3g%8zu%8zu%7.1f%%%14.1f%9.1f ", tenant_name(i).c_str(),
                i < terms_.tenants.size() ? terms_.tenants[i].weight : terms_.others.weight, sum.came,
                sum.served,
                100.0 * static_cast<double>(sum.served) / std::max<double>(1, static_cast<double>(served)),
                sum.waited / std::max<double>(1, static_cast<double>(sum.served)), sum.longest_wait);
            text_ += line;
            for (const auto& [reason, count] : sum.refused)
                text_ += std::string(" ") + text_of(reason) + " " + std::to_string(count);
            text_ += '\n';
        }
        const Figures figures = queue_.figures(now_);
        text_ += "retry times assigned: " + std::to_string(figures.promised) +
                 ", of them above the estimated capacity: " + std::to_string(figures.excess) + "\n";
    }

    const Terms& terms_;
    const Script& script_;
    Time now_ = begin;
    AdmissionQueue queue_;
    std::mt19937_64 random_;
    std::size_t free_servers_;
    std::vector<Row> rows_, totals_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    std::deque<Ticket> module_queue_;
    std::map<Ticket, Open> open_;
    Time deadline_{};
    std::string text_;
};

}  // namespace

std::string explain(const Terms& terms, const Script& script) { return Simulation(terms, script).run(); }

}  // namespace flaxdoor::door
