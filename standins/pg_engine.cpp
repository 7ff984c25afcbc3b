#include "standins/pg_engine.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace standins::pg {

namespace {

// Settings have their own spelling, and are found in any.
std::string setting_named(const std::map<std::string, std::string>& all, const std::string& name) {
    for (const auto& [known, value] : all) {
        if (lower(known) == lower(name)) return known;
    }
    return lower(name);
}

long number_of(const Value& value) {
    long number = 0;
    const std::string text = value.value_or("");
    const auto end = text.data() + text.size();
    if (const auto got = std::from_chars(text.data(), end, number); got.ec != std::errc() || got.ptr != end)
        throw Problem{"22P02", "invalid input syntax for type bigint: \"" + text + "\""};
    return number;
}

std::size_t index_of(const Table& table, const std::string& name) {
    for (std::size_t i = 0; i < table.columns.size(); ++i) {
        if (table.columns[i].name == name) return i;
    }
    throw Problem{"42703", "column \"" + name + "\" does not exist"};
}

std::uint32_t type_of(const Expression& x, const Table& table) {
    if (x.kind == Expression::Kind::column)
        return x.type != 0 ? x.type : table.columns[index_of(table, x.name)].type;
    if (x.kind != Expression::Kind::call || x.type != 0) return x.type;
    if (x.name == "count" || x.name == "sum") return bigint;
    return x.name == "pg_backend_pid" ? integer : text_type;
}

bool is_call(const Expression& x, const std::string& name) {
    return x.kind == Expression::Kind::call && x.name == name;
}

}  // namespace

Database::Database() {
    tables["t"] = {true, {{"a", bigint}}, {}};
    tables["changed"] = {true, {{"c", text_type}}, {{"x"}}};
    tables["big"] = {true, {{"a", text_type}}, {}};
}

struct Backend::Scope {
    const Row& parameters;
    const Table& table;
    const Row* row = nullptr;
};

Backend::Backend(std::shared_ptr<Database> database, Journal& journal, Identity identity,
                 std::map<std::string, std::string> settings)
    : database_(std::move(database)),
      journal_(journal),
      its_(std::move(identity)),
      at_login_(std::move(settings)),
      committed_settings_(at_login_),
      settings_(at_login_) {}
Backend::~Backend() { drop_temporary(); }

// A temporary table stands before one of the same name.
std::string Backend::key_of(const std::string& table) const {
    const std::string own = std::to_string(its_.process) + "@" + its_.server + "." + table;
    const bool changing =
        std::any_of(changes_.begin(), changes_.end(), [&](const Change& each) { return each.table == own; });
    return changing || database_->tables.contains(own) ? own : table;
}

Table Backend::view(const std::string& name, bool with_rows) const {
    if (name.empty()) return {true, {}, {}};
    if (name == "pg_stat_ssl")
        return {true,
                {{"pid", integer}, {"ssl", boolean}},
                {{std::to_string(its_.process), its_.tls ? "t" : "f"}}};
    const std::string key = key_of(name);
    const auto known = database_->tables.find(key);
    Table table;
    if (known != database_->tables.end()) {
        table.there = known->second.there;
        table.columns = known->second.columns;
        if (with_rows) table.rows = known->second.rows;
    }
    for (const Change& each : changes_) {
        if (each.table == key) each.apply(table);
    }
    if (!table.there) throw Problem{"42P01", "relation \"" + name + "\" does not exist"};
    return table;
}

void Backend::admit(const Statement& statement) const {
    const bool leaves =
        statement.kind == Statement::Kind::commit || statement.kind == Statement::Kind::rollback;
    if (status_ == 'E' && !leaves)
        throw Problem{"25P02",
                      "current transaction is aborted, commands ignored until end of transaction block"};
}

std::vector<Column> Backend::columns_of(const Statement& statement) const {
    if (statement.kind == Statement::Kind::show) return {{statement.table, text_type}};
    if (statement.kind != Statement::Kind::select) {
        if (!statement.table.empty() &&
            (statement.kind == Statement::Kind::insert || statement.kind == Statement::Kind::update))
            (void)shape(statement.table);
        return {};
    }
    const Table table = shape(statement.table);
    if (statement.all) return table.columns;
    std::vector<Column> columns;
    for (const Expression& x : statement.items)
        columns.push_back(
            {x.name.empty() || x.kind == Expression::Kind::binary ? "?column?" : x.name, type_of(x, table)});
    return columns;
}

Value Backend::value_of(const Expression& x, const Scope& scope) {
    switch (x.kind) {
        case Expression::Kind::literal: return x.value;
        case Expression::Kind::parameter:
            if (x.number > scope.parameters.size()) throw Problem{"42P02", "there is no such parameter"};
            return scope.parameters[x.number - 1];
        case Expression::Kind::column: {
            const std::size_t i = index_of(scope.table, x.name);
            return scope.row ? scope.row->at(i) : Value{};
        }
        case Expression::Kind::binary: {
            const long a = number_of(value_of(x.of[0], scope)), b = number_of(value_of(x.of[1], scope));
            if (x.name == "/" && b == 0) throw Problem{"22012", "division by zero"};
            return std::to_string(x.name == "+"   ? a + b
                                  : x.name == "-" ? a - b
                                  : x.name == "*" ? a * b
                                                  : a / b);
        }
        default: break;
    }
    std::vector<Value> of;
    for (const Expression& each : x.of) of.push_back(value_of(each, scope));
    if (x.name == "pg_backend_pid") return std::to_string(its_.process);
    if (x.name == "repeat" && of.size() == 2) {
        std::string all;
        for (long n = number_of(of[1]); n > 0; --n) all += of[0].value_or("");
        return all;
    }
    if (x.name == "set_config" && of.size() == 3) {
        touched_ = true;
        settings_[setting_named(settings_, of[0].value_or(""))] = of[1].value_or("");
        return of[1];
    }
    if (x.name.starts_with("pg_advisory_")) return "";
    throw Problem{"42883", "function " + x.name + " does not exist"};
}

Result Backend::select(const Statement& statement, const Row& parameters) {
    Result result{Result::Kind::rows, columns_of(statement), {}, {}};
    const Table table = view(statement.table);
    const Scope outside{parameters, table};
    std::vector<const Row*> found;
    const Row none;
    if (statement.table.empty()) found.push_back(&none);
    for (const Row& row : table.rows) {
        if (statement.equals && row[index_of(table, statement.where)] != value_of(*statement.equals, outside))
            continue;
        found.push_back(&row);
    }
    const auto first = statement.items.empty() ? Expression{} : statement.items[0];
    if (is_call(first, "pg_sleep")) {
        result.kind = Result::Kind::sleep;
    } else if (is_call(first, "rows") && first.of.size() == 2) {
        const auto size = static_cast<std::size_t>(number_of(value_of(first.of[1], outside)));
        result.rows.assign(static_cast<std::size_t>(number_of(value_of(first.of[0], outside))),
                           {std::string(size, 'x')});
    } else if (is_call(first, "count") || is_call(first, "sum")) {
        long total = first.name == "count" ? static_cast<long>(found.size()) : 0;
        for (const Row* const row : found) {
            if (first.name == "sum") total += number_of(value_of(first.of.at(0), {parameters, table, row}));
        }
        result.rows.push_back({std::to_string(total)});
    } else {
        for (const Row* const row : found) {
            result.rows.emplace_back();
            if (statement.all) result.rows.back() = *row;
            for (const Expression& x : statement.items)
                result.rows.back().push_back(value_of(x, {parameters, table, row}));
        }
    }
    result.tag = "SELECT " + std::to_string(result.rows.size());
    return result;
}

void Backend::change(const std::string& table, std::function<void(Table&)> apply) {
    changes_.push_back({table, std::move(apply)});
}

void Backend::put(const Statement& statement, const Table& table, Row row) {
    if (!statement.columns.empty()) {
        if (row.size() != statement.columns.size())
            throw Problem{"42601", "more or fewer values than columns"};
        Row whole(table.columns.size());
        for (std::size_t i = 0; i < row.size(); ++i)
            whole[index_of(table, statement.columns[i].name)] = std::move(row[i]);
        row = std::move(whole);
    }
    if (row.size() > table.columns.size())
        throw Problem{"42601", "INSERT has more expressions than target columns"};
    row.resize(table.columns.size());
    for (std::size_t i = 0; i < row.size(); ++i) {
        if (row[i] && table.columns[i].type != text_type) (void)number_of(row[i]);
    }
    if (statement.table == "t") {
        const long number = number_of(row[0]);
        ++journal_.effects[number].executed;
        effects_.push_back(number);
    }
    change(key_of(statement.table), [row](Table& to) {
        to.rows.push_back(row);
        to.rows.back().resize(to.columns.size());
    });
}

Result Backend::run(const Statement& s, const Row& parameters) {
    using Kind = Statement::Kind;
    journal_.texts.push_back(its_.server + ": " + s.text);
    admit(s);
    const bool writes = s.kind == Kind::create || s.kind == Kind::add_column || s.kind == Kind::insert ||
                        s.kind == Kind::update || s.kind == Kind::copy_in;
    if (its_.standby && writes && !s.temporary)
        throw Problem{"25006", "cannot execute this in a read-only transaction"};
    const auto done = [](const std::string& tag) { return Result{Result::Kind::command, {}, {}, tag}; };
    switch (s.kind) {
        case Kind::empty: return {Result::Kind::empty, {}, {}, {}};
        case Kind::begin: status_ = 'T'; return done("BEGIN");
        case Kind::commit: {
            const bool failed = status_ == 'E';
            status_ = 'I';
            if (failed) return done("ROLLBACK");
            commit();
            return done("COMMIT");
        }
        case Kind::rollback:
            forget_changes();
            status_ = 'I';
            return done("ROLLBACK");
        case Kind::create: {
            std::string key = s.table;
            if (s.temporary) key = std::to_string(its_.process) + "@" + its_.server + "." + key;
            const auto known = database_->tables.find(key);
            if (known != database_->tables.end() && known->second.there)
                throw Problem{"42P07", "relation \"" + s.table + "\" already exists"};
            change(key, [columns = s.columns](Table& to) { to = {true, columns, {}}; });
            return done("CREATE TABLE");
        }
        case Kind::add_column:
            (void)shape(s.table);
            change(key_of(s.table), [column = s.columns[0]](Table& to) {
                to.columns.push_back(column);
                for (Row& row : to.rows) row.emplace_back();
            });
            return done("ALTER TABLE");
        case Kind::insert: {
            const Table table = shape(s.table);
            Row row;
            for (const Expression& x : s.items) row.push_back(value_of(x, {parameters, table}));
            put(s, table, std::move(row));
            return done("INSERT 0 1");
        }
        case Kind::update: {
            const Table table = view(s.table);
            const long by = number_of(value_of(s.items[0], {parameters, table}));
            const Value equals = s.equals ? value_of(*s.equals, {parameters, table}) : Value{};
            const std::size_t at = index_of(table, s.columns[0].name);
            const std::size_t where = s.equals ? index_of(table, s.where) : at;
            const auto meant = [where, equals, all = !s.equals](const Row& row) {
                return all || row[where] == equals;
            };
            change(key_of(s.table), [at, by, meant](Table& to) {
                for (Row& row : to.rows) {
                    if (meant(row)) row[at] = std::to_string(number_of(row[at]) + by);
                }
            });
            return done("UPDATE " +
                        std::to_string(std::count_if(table.rows.begin(), table.rows.end(), meant)));
        }
        case Kind::select: return select(s, parameters);
        case Kind::copy_in: {
            const Table table = shape(s.table);
            return {Result::Kind::copy_in, s.columns.empty() ? table.columns : s.columns, {}, {}};
        }
        case Kind::copy_out: {
            if (s.table == "big") return {Result::Kind::endless, {{"a", text_type}}, {}, {}};
            Statement whole;
            whole.kind = Kind::select;
            whole.table = s.table;
            whole.all = true;
            Result result = select(s.query ? *s.query : whole, parameters);
            result.kind = Result::Kind::copy_out;
            result.tag = "COPY " + std::to_string(result.rows.size());
            return result;
        }
        case Kind::set: {
            touched_ = true;
            const std::string name = setting_named(settings_, s.table);
            const auto before = at_login_.find(name);
            settings_[name] = !s.items.empty()            ? *s.items[0].value
                              : before != at_login_.end() ? before->second
                                                          : "";
            if (s.local) local_.push_back(name);
            return done(s.tag);
        }
        case Kind::show: {
            const auto known = settings_.find(setting_named(settings_, s.table));
            if (known == settings_.end())
                throw Problem{"42704", "unrecognized configuration parameter \"" + s.table + "\""};
            return {Result::Kind::rows, columns_of(s), {{known->second}}, "SHOW"};
        }
        case Kind::discard:
            if (status_ != 'I') throw Problem{"25001", "DISCARD ALL cannot run inside a transaction block"};
            touched_ = true;
            settings_ = at_login_;
            drop_temporary();
            return done("DISCARD ALL");
        case Kind::nothing: return done(s.tag);
    }
    return {};
}

std::size_t Backend::copy(const Statement& statement, const std::string& data) {
    const Table table = shape(statement.table);
    std::size_t rows = 0, at = 0;
    for (std::size_t end; (end = data.find('\n', at)) != std::string::npos; at = end + 1) {
        const std::string line = data.substr(at, end - at);
        if (line == "\\.") break;
        Row row(1, std::string());
        for (std::size_t i = 0; i < line.size(); ++i) {
            if (line[i] == '\t') {
                row.emplace_back(std::string());
            } else if (line.compare(i, 2, "\\N") == 0) {
                row.back().reset();
                ++i;
            } else {
                if (line[i] == '\\') ++i;
                if (row.back() && i < line.size()) *row.back() += line[i];
            }
        }
        put(statement, table, std::move(row));
        ++rows;
    }
    return rows;
}

void Backend::commit() {
    if (changes_.empty() && !touched_) return;
    for (const Change& each : changes_) each.apply(database_->tables[each.table]);
    for (const long number : effects_) ++journal_.effects[number].committed;
    for (const std::string& name : local_) {
        const auto before = committed_settings_.find(name);
        if (before == committed_settings_.end()) {
            settings_.erase(name);
        } else {
            settings_[name] = before->second;
        }
    }
    committed_settings_ = settings_;
    forget_changes();
}

void Backend::forget_changes() {
    changes_.clear();
    effects_.clear();
    local_.clear();
    if (std::exchange(touched_, false)) settings_ = committed_settings_;
}

void Backend::failed() {
    forget_changes();
    if (status_ == 'T') status_ = 'E';
}

void Backend::end_of_query() {
    if (status_ == 'I') commit();
}

void Backend::drop_temporary() {
    const std::string own = std::to_string(its_.process) + "@" + its_.server + ".";
    std::erase_if(database_->tables, [&](const auto& each) { return each.first.starts_with(own); });
}

}  // namespace standins::pg
