#include "standins/pg_conversation.h"

#include <utility>

namespace standins::pg {

namespace {

std::string row_of(const Row& values) {
    std::string body = int16(static_cast<int>(values.size()));
    for (const Value& value : values)
        body += value ? int32(static_cast<std::uint32_t>(value->size())) + *value : int32(~0u);
    return message('D', body);
}

std::string description(const std::vector<Column>& columns) {
    std::string body = int16(static_cast<int>(columns.size()));
    for (const Column& each : columns)
        body += text0(each.name) + int32(0) + int16(0) + int32(each.type) + int16(-1) + int32(~0u) + int16(0);
    return message('T', body);
}

// A row as COPY has it, with tabs between.
std::string line_of(const Row& values) {
    std::string all;
    for (const Value& value : values) all += (all.empty() ? "" : "\t") + value.value_or("\\N");
    return message('d', all + "\n");
}

// Bind's body: the portal, the statement, formats (text alone is understood), values, formats of the result.
struct Bind {
    explicit Bind(const std::string& body) : body_(body) {
        portal = word();
        statement = word();
        formats();
        for (std::size_t left = number16(); left > 0; --left) {
            const std::uint32_t size = int32_at(body_, at_);
            at_ += 4;
            values.emplace_back();
            if (size == ~0u) continue;
            values.back() = body_.substr(at_, size);
            at_ += size;
        }
        formats();
    }
    std::string portal, statement;
    Row values;

private:
    std::string word() {
        const std::size_t from = at_, end = body_.find('\0', at_);
        at_ = end + 1;
        return body_.substr(from, end - from);
    }
    std::size_t number16() {
        at_ += 2;
        return int32_at(std::string(2, '\0') + body_.substr(at_ - 2, 2), 0);
    }
    void formats() {
        for (std::size_t left = number16(); left > 0; --left) {
            if (number16() != 0) throw Problem{"0A000", "binary formats are not understood here"};
        }
    }
    const std::string& body_;
    std::size_t at_ = 0;
};

std::string texts(std::size_t count) {
    std::string all;
    for (; count > 0; --count) all += int32(25);
    return all;
}

}  // namespace

std::string error_message(const std::string& severity, const Problem& problem) {
    return message('E', 'S' + text0(severity) + 'V' + text0(severity) + 'C' + text0(problem.code) + 'M' +
                            text0(problem.text) + 'R' + text0(problem.routine) + '\0');
}

const Conversation::Prepared& Conversation::prepared(const std::string& name) const {
    const auto found = prepared_.find(name);
    if (found == prepared_.end()) throw Problem{"26000", "prepared statement does not exist"};
    return found->second;
}
Conversation::Portal& Conversation::portal(const std::string& name) {
    const auto found = portals_.find(name);
    if (found == portals_.end()) throw Problem{"34000", "portal does not exist"};
    return found->second;
}

void Conversation::take(const Message& m) {
    if (copying_) return take_copy(m);
    if (skipping_ && m.type != 'S') return;
    try {
        take_sound(m);
    } catch (const Problem& problem) {
        fail(problem);
        if (simple_) ready();
    }
}

void Conversation::take_sound(const Message& m) {
    switch (m.type) {
        case 'Q': return simple(m.body.substr(0, m.body.size() - 1));
        case 'P': return parse(m.body);
        case 'B': return bind(m.body);
        case 'D': return describe(m.body);
        case 'E': return execute(m.body);
        case 'C': {
            const std::string name = m.body.substr(1, m.body.size() - 2);
            (m.body[0] == 'S' ? void(prepared_.erase(name)) : void(portals_.erase(name)));
            out_ += message('3', "");
            return;
        }
        case 'H': return;  // what there is goes out anyway
        case 'S': extended_ = false; return ready();
        default: throw Problem{"08P01", "this message is not understood here"};
    }
}

void Conversation::parse(const std::string& body) {
    const std::size_t end = body.find('\0');
    const std::string name = body.substr(0, end);
    if (!name.empty() && prepared_.contains(name))
        throw Problem{"42P05", "prepared statement already exists"};
    auto all = parse_all(body.substr(end + 1, body.find('\0', end + 1) - end - 1));
    if (all.size() > 1) throw Problem{"42601", "cannot insert multiple commands into a prepared statement"};
    if (all.empty()) all.push_back(std::make_shared<const Statement>());
    backend_.admit(*all[0]);
    prepared_[name] = {all[0], backend_.columns_of(*all[0])};
    out_ += message('1', "");
}

void Conversation::bind(const std::string& body) {
    Bind said(body);
    const Prepared& known = prepared(said.statement);
    backend_.admit(*known.statement);
    if (said.values.size() != known.statement->parameters)
        throw Problem{"08P01", "bind message supplies other parameters than are wanted"};
    if (backend_.columns_of(*known.statement) != known.columns)
        throw Problem{"0A000", "cached plan must not change result type", "RevalidateCachedQuery"};
    portals_[said.portal] = {known.statement, std::move(said.values), {}, 0};
    out_ += message('2', "");
}

void Conversation::describe(const std::string& body) {
    const std::string name = body.substr(1, body.size() - 2);
    const Statement& meant = body[0] == 'S' ? *prepared(name).statement : *portal(name).statement;
    if (body[0] == 'S')
        out_ += message('t', int16(static_cast<int>(meant.parameters)) + texts(meant.parameters));
    const auto columns = backend_.columns_of(meant);
    out_ += columns.empty() ? message('n', "") : description(columns);
}

void Conversation::execute(const std::string& body) {
    const std::size_t end = body.find('\0');
    Portal& meant = portal(body.substr(0, end));
    extended_ = true;
    if (!meant.result) meant.result = run(meant.statement, meant.values);
    const std::size_t most = int32_at(body, end + 1);
    show(*meant.result, meant.at, most == 0 ? never : most);
}

// One statement after the other, of one implicit transaction.
void Conversation::simple(const std::string& sql) {
    extended_ = false;
    simple_ = true;
    prepared_.erase("");
    const auto all = parse_all(sql);
    if (all.empty()) out_ += message('I', "");
    for (const StatementPtr& each : all) {
        const Result& result = run(each, {});
        if (result.kind == Result::Kind::rows || result.kind == Result::Kind::sleep)
            out_ += description(result.columns);
        std::size_t at = 0;
        show(result, at, never);
        if (copying_ || sleeping_ || endless_) return;
    }
    ready();
}

const Result& Conversation::run(const StatementPtr& statement, const Row& values) {
    running_ = statement;
    result_ = backend_.run(*statement, values);
    if (statement->kind == Statement::Kind::discard) prepared_.clear();
    return result_;
}

void Conversation::show(const Result& result, std::size_t& at, std::size_t most) {
    using Kind = Result::Kind;
    const std::string formats = std::string(1, '\0') + int16(static_cast<int>(result.columns.size())) +
                                std::string(2 * result.columns.size(), '\0');
    switch (result.kind) {
        case Kind::empty: out_ += message('I', ""); return;
        case Kind::command: out_ += message('C', text0(result.tag)); return;
        case Kind::rows: {
            const std::size_t from = at;
            for (; at < result.rows.size() && at - from < most; ++at) out_ += row_of(result.rows[at]);
            // At its limit it does not know yet that nothing follows.
            if (at - from == most) {
                out_ += message('s', "");
            } else {
                const std::string rest = "SELECT " + std::to_string(at - from);
                out_ += message('C', text0(from == 0 ? result.tag : rest));
            }
            return;
        }
        case Kind::sleep: sleeping_ = true; return;
        case Kind::copy_in:
            out_ += message('G', formats);
            copying_ = true;
            copied_.clear();
            return;
        case Kind::copy_out:
            out_ += message('H', formats);
            for (const Row& each : result.rows) out_ += line_of(each);
            out_ += message('c', "") + message('C', text0(result.tag));
            return;
        case Kind::endless: out_ += message('H', formats); endless_ = true;
    }
}

void Conversation::take_copy(const Message& m) {
    if (m.type == 'd') copied_ += m.body;
    if (m.type != 'c' && m.type != 'f') return;  // Flush and Sync are not taken notice of
    copying_ = false;
    try {
        if (m.type == 'f') throw Problem{"57014", "COPY from stdin failed"};
        out_ += message('C', text0("COPY " + std::to_string(backend_.copy(*running_, copied_))));
    } catch (const Problem& problem) {
        fail(problem);
    }
    if (!extended_) ready();
}

void Conversation::interrupt() {
    if (!std::exchange(sleeping_, false)) return;
    fail({"57014", "canceling statement due to user request"});
    if (!extended_) ready();
}
void Conversation::wake() {
    if (!std::exchange(sleeping_, false)) return;
    out_ += row_of({""}) + message('C', text0("SELECT 1"));
    if (!extended_) ready();
}

void Conversation::fail(const Problem& problem) {
    out_ += error_message("ERROR", problem);
    backend_.failed();
    skipping_ = !simple_;
}

void Conversation::ready() {
    backend_.end_of_query();
    skipping_ = simple_ = false;
    if (backend_.status() == 'I') portals_.clear();
    // As PostgreSQL does: with the end of a query, never while it rests.
    backend_.set_standby(standby_);
    for (auto& [name, value] : told_) {
        const auto found = backend_.settings().find(name);
        const std::string now = name == "in_hot_standby"             ? standby_ ? "on" : "off"
                                : found == backend_.settings().end() ? ""
                                                                     : found->second;
        if (value == now) continue;
        value = now;
        out_ += message('S', text0(name) + text0(value));
    }
    out_ += message('Z', std::string(1, backend_.status()));
}

}  // namespace standins::pg
