#include "standins/pg_statement.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace standins::pg {

namespace {

struct Token {
    enum class Kind { word, quoted, number, text, parameter, symbol, end };
    Kind kind = Kind::end;
    std::string text{};
};

std::vector<Token> tokens_of(const std::string& sql) {
    std::vector<Token> all;
    std::size_t at = 0;
    const auto quoted = [&](char mark, bool escapes) {
        std::string out;
        for (++at;; ++at) {
            if (at >= sql.size()) throw Problem{"42601", "unterminated quoted string"};
            if (escapes && sql[at] == '\\' && at + 1 < sql.size()) {
                out += sql[++at];
            } else if (sql[at] != mark) {
                out += sql[at];
            } else if (at + 1 < sql.size() && sql[at + 1] == mark) {
                out += sql[++at];
            } else {
                ++at;
                return out;
            }
        }
    };
    const auto while_is = [&](auto is) {
        const std::size_t from = at;
        while (at < sql.size() && is(static_cast<unsigned char>(sql[at]))) ++at;
        return sql.substr(from, at - from);
    };
    const auto digit = [](unsigned char c) { return std::isdigit(c) != 0; };
    while (at < sql.size()) {
        const char c = sql[at];
        if (std::isspace(static_cast<unsigned char>(c))) {
            ++at;
        } else if (c == '\'') {
            all.push_back({Token::Kind::text, quoted('\'', false)});
        } else if ((c == 'E' || c == 'e') && at + 1 < sql.size() && sql[at + 1] == '\'') {
            ++at;
            all.push_back({Token::Kind::text, quoted('\'', true)});
        } else if (c == '"') {
            all.push_back({Token::Kind::quoted, quoted('"', false)});
        } else if (c == '$') {
            ++at;
            all.push_back({Token::Kind::parameter, while_is(digit)});
        } else if (digit(static_cast<unsigned char>(c))) {
            all.push_back({Token::Kind::number, while_is(digit)});
        } else if (std::isalpha(static_cast<unsigned char>(c)) || c == '_') {
            all.push_back({Token::Kind::word,
                           lower(while_is([](unsigned char x) { return std::isalnum(x) || x == '_'; }))});
        } else {
            const bool cast = sql.compare(at, 2, "::") == 0;
            all.push_back({Token::Kind::symbol, sql.substr(at, cast ? 2 : 1)});
            at += cast ? 2 : 1;
        }
    }
    all.push_back({});
    return all;
}

class Parser {
public:
    explicit Parser(const std::string& sql) : tokens_(tokens_of(sql)) {}

    Statement statement() {
        Statement made;
        parse(made);
        if (now().kind != Token::Kind::end) fail();
        made.parameters = parameters_;
        return made;
    }

private:
    using Kind = Statement::Kind;

    const Token& now() const { return tokens_[at_]; }
    [[noreturn]] void fail() const {
        throw Problem{"42601", now().kind == Token::Kind::end
                                   ? "syntax error at end of input"
                                   : "syntax error at or near \"" + now().text + "\""};
    }
    bool take(const std::string& text) {
        const bool is =
            now().text == text && (now().kind == Token::Kind::word || now().kind == Token::Kind::symbol);
        at_ += is;
        return is;
    }
    void want(const std::string& text) {
        if (!take(text)) fail();
    }
    std::string name() {
        if (now().kind != Token::Kind::word && now().kind != Token::Kind::quoted) fail();
        std::string said = tokens_[at_++].text;
        if (said == "pg_catalog" && take(".")) return name();
        return said;
    }
    std::uint32_t type() {
        const std::string said = name();
        if (said == "int" || said == "integer" || said == "int4") return integer;
        if (said == "bigint" || said == "int8") return bigint;
        if (said == "text") return text_type;
        throw Problem{"42704", "type \"" + said + "\" does not exist"};
    }
    // ( name [TYPE], … )
    std::vector<Column> columns(bool typed) {
        std::vector<Column> all;
        do {
            all.push_back({name(), 0});
            if (typed) all.back().type = type();
        } while (take(","));
        want(")");
        return all;
    }

    void parse(Statement& made) {
        if (now().kind == Token::Kind::end) return;
        if (take("begin")) {
            made.kind = Kind::begin;
        } else if (take("start")) {
            want("transaction");
            made.kind = Kind::begin;
        } else if (take("commit") || take("end")) {
            made.kind = Kind::commit;
        } else if (take("rollback") || take("abort")) {
            made.kind = Kind::rollback;
        } else if (take("create")) {
            made.kind = Kind::create;
            made.temporary = take("temp") || take("temporary");
            want("table");
            made.table = name();
            want("(");
            made.columns = columns(true);
        } else if (take("alter")) {
            made.kind = Kind::add_column;
            want("table");
            made.table = name();
            want("add");
            want("column");
            made.columns.push_back({name(), 0});
            made.columns.back().type = type();
        } else if (take("insert")) {
            made.kind = Kind::insert;
            want("into");
            made.table = name();
            if (take("(")) made.columns = columns(false);
            want("values");
            want("(");
            made.items = list();
            want(")");
        } else if (take("update")) {
            made.kind = Kind::update;
            made.table = name();
            want("set");
            made.columns.push_back({name(), 0});
            want("=");
            if (name() != made.columns[0].name) fail();
            want("+");
            made.items.push_back(sum());
            where(made);
        } else if (take("select")) {
            select(made);
        } else if (take("copy")) {
            copy(made);
        } else if (take("set")) {
            set(made);
        } else if (take("reset")) {
            made.kind = Kind::set;
            made.tag = "RESET";
            made.table = name();
        } else if (take("show")) {
            made.kind = Kind::show;
            made.table = name();
        } else if (take("discard")) {
            want("all");
            made.kind = Kind::discard;
        } else if (take("listen") || take("unlisten") || take("notify")) {
            made.kind = Kind::nothing;
            made.tag = tokens_[at_ - 1].text;
            for (char& c : made.tag) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
            (void)name();
        } else {
            fail();
        }
    }

    void select(Statement& made) {
        made.kind = Kind::select;
        made.all = take("*");
        if (!made.all) made.items = list();
        if (take("from")) made.table = name();
        where(made);
    }
    void where(Statement& made) {
        if (!take("where")) return;
        made.where = name();
        want("=");
        made.equals = sum();
    }
    void copy(Statement& made) {
        if (take("(")) {
            Statement query;
            want("select");
            select(query);
            want(")");
            made.query = std::make_shared<const Statement>(std::move(query));
        } else {
            made.table = name();
            if (take("(")) made.columns = columns(false);
        }
        if (!made.query && take("from")) {
            made.kind = Kind::copy_in;
            want("stdin");
        } else {
            made.kind = Kind::copy_out;
            want("to");
            want("stdout");
        }
    }
    void set(Statement& made) {
        made.kind = Kind::set;
        made.tag = "SET";
        made.local = take("local");
        if (!made.local) (void)take("session");
        made.table = name();
        if (!take("to")) want("=");
        Expression value;
        value.value.emplace();
        do {
            if (now().kind == Token::Kind::symbol || now().kind == Token::Kind::end) fail();
            *value.value += (value.value->empty() ? "" : ", ") + tokens_[at_++].text;
        } while (take(","));
        made.items.push_back(std::move(value));
    }

    std::vector<Expression> list() {
        std::vector<Expression> all;
        do {
            all.push_back(sum());
        } while (take(","));
        return all;
    }
    Expression sum() {
        return chain({"+", "-"}, [this] { return product(); });
    }
    Expression product() {
        return chain({"*", "/"}, [this] { return cast(); });
    }
    template <class Next>
    Expression chain(const std::vector<std::string>& operators, Next next) {
        Expression left = next();
        for (bool more = true; more;) {
            more = false;
            for (const auto& each : operators) {
                if (!take(each)) continue;
                Expression made{Expression::Kind::binary, each, {}, integer};
                made.of.push_back(std::move(left));
                made.of.push_back(next());
                left = std::move(made);
                more = true;
            }
        }
        return left;
    }
    Expression cast() {
        Expression made = term();
        while (take("::")) made.type = type();
        return made;
    }
    Expression term() {
        if (take("(")) {
            Expression inner = sum();
            want(")");
            return inner;
        }
        if (take("-")) {
            Expression made{Expression::Kind::binary, "-", {}, integer};
            made.of = {Expression{Expression::Kind::literal, "", "0", integer}, term()};
            return made;
        }
        const Token token = now();
        switch (token.kind) {
            case Token::Kind::number: ++at_; return {Expression::Kind::literal, "", token.text, integer};
            case Token::Kind::text: ++at_; return {Expression::Kind::literal, "", token.text};
            case Token::Kind::parameter: {
                ++at_;
                Expression made{Expression::Kind::parameter};
                if (token.text.empty() || token.text.size() > 3 || std::stoul(token.text) == 0) fail();
                made.number = std::stoul(token.text);
                parameters_ = std::max(parameters_, made.number);
                return made;
            }
            case Token::Kind::word:
            case Token::Kind::quoted: break;
            default: fail();
        }
        Expression made{Expression::Kind::column, name(), {}, 0};
        if (token.kind == Token::Kind::word &&
            (made.name == "null" || made.name == "true" || made.name == "false")) {
            made.kind = Expression::Kind::literal;
            made.type = text_type;
            if (made.name != "null") made.value = made.name;
            return made;
        }
        if (!take("(")) return made;
        made.kind = Expression::Kind::call;
        if (take("*")) {
            made.of.push_back({Expression::Kind::all});
        } else if (now().text != ")") {
            made.of = list();
        }
        want(")");
        return made;
    }

    std::vector<Token> tokens_;
    std::size_t at_ = 0, parameters_ = 0;
};

// At semicolons that stand in no quotes.
std::vector<std::string> pieces_of(const std::string& text) {
    std::vector<std::string> all(1);
    char inside = 0;
    for (const char c : text) {
        if (inside != 0) {
            inside = c == inside ? '\0' : inside;
        } else if (c == '\'' || c == '"') {
            inside = c;
        } else if (c == ';') {
            all.emplace_back();
            continue;
        }
        all.back() += c;
    }
    const auto blank = [](const std::string& each) {
        return std::all_of(each.begin(), each.end(), [](unsigned char c) { return std::isspace(c) != 0; });
    };
    all.erase(std::remove_if(all.begin(), all.end(), blank), all.end());
    return all;
}

}  // namespace

std::string lower(std::string text) {
    for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

std::vector<StatementPtr> parse_all(const std::string& text) {
    std::vector<StatementPtr> all;
    for (const std::string& piece : pieces_of(text)) {
        Statement made = Parser(piece).statement();
        made.text = piece;
        all.push_back(std::make_shared<const Statement>(std::move(made)));
    }
    return all;
}

}  // namespace standins::pg
