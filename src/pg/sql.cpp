#include "pg/sql.h"

#include <pg_query.h>

#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "pg/text.h"

namespace flaxdoor::pg {

namespace {

using nlohmann::json;

// Texts beyond either limit that are not plain are not parsed. The parser runs on the event loop's thread. Its time, its
// memory and the depth of its recursion, which writes the parse tree, all grow with the number of tokens.
constexpr std::size_t max_parsed_bytes = 256 << 10;
constexpr std::size_t max_parsed_tokens = 2000;
// CURSOR_OPT_HOLD of PostgreSQL 15 (nodes/parsenodes.h).
constexpr int cursor_opt_hold = 0x20;

bool is_word_start(char c) { return (lower(c) >= 'a' && lower(c) <= 'z') || c == '_'; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_word_char(char c) { return is_word_start(c) || is_digit(c) || c == '$'; }
bool is_space(char c) { return c == ' ' || (c >= '\t' && c <= '\r'); }

bool equals_ignoring_case(std::string_view word, std::string_view lower_case) {
    return std::equal(word.begin(), word.end(), lower_case.begin(), lower_case.end(),
                      [](char a, char b) { return lower(a) == b; });
}

// Returns true for a function that leaves session state behind.
bool pinning_function(std::string_view name) {
    if (name == "set_config" || name == "setseed" || name.starts_with("dblink")) return true;
    return name.find("advisory") != std::string_view::npos && name.find("xact") == std::string_view::npos;
}

// Returns true for a word that a plain text must not contain, whatever the word means there.
bool might_matter(std::string_view word) {
    const std::string name = lower(word);
    if (name == "temp" || name == "temporary" || name == "pg_temp" || name.starts_with("pg_temp_"))
        return true;
    return name.find("advisory") != std::string::npos || pinning_function(name);
}

// Settings that the server reports and that are set again on another connection.
bool is_carried_over(std::string_view name) {
    static constexpr std::array names{"client_encoding", "datestyle",        "timezone",
                                      "intervalstyle",   "application_name", "standard_conforming_strings"};
    return std::any_of(names.begin(), names.end(),
                       [&](const char* n) { return equals_ignoring_case(name, n); });
}

// --- Plain texts ---

SqlFacts plain_facts() {
    SqlFacts facts;
    facts.parsed = true;
    facts.statements = 1;
    facts.may_commit = facts.pins = false;
    return facts;
}

// Skips a quoted part. Returns false if the part is not plain.
bool skip_quoted(std::string_view text, std::size_t& at) {
    const char quote = text[at];
    const std::size_t begin = ++at;
    while (at < text.size() && text[at] != quote) {
        if (text[at] == '\\') return false;
        ++at;
    }
    if (at == text.size()) return false;
    const std::string_view inside = text.substr(begin, at - begin);
    ++at;
    // A doubled quote counts as two adjacent strings here, which makes no difference; within a quoted name it
    // does.
    return quote == '\'' || ((at == text.size() || text[at] != '"') && !might_matter(inside));
}

}  // namespace

bool is_plain(std::string_view text) {
    std::size_t words = 0;
    bool insert = false;
    for (std::size_t at = 0; at < text.size();) {
        const char c = text[at];
        const char next = at + 1 < text.size() ? text[at + 1] : '\0';
        if (is_space(c)) {
            ++at;
        } else if (c == ';') {
            const auto rest = text.substr(at);
            return words > 0 &&
                   std::all_of(rest.begin(), rest.end(), [](char r) { return r == ';' || is_space(r); });
        } else if (is_word_start(c)) {
            const std::size_t begin = at;
            while (at < text.size() && is_word_char(text[at])) ++at;
            const std::string_view word = text.substr(begin, at - begin);
            if (at < text.size() && (text[at] == '\'' || static_cast<unsigned char>(text[at]) >= 0x80))
                return false;
            if (++words == 1) {
                insert = equals_ignoring_case(word, "insert");
                if (!insert && !equals_ignoring_case(word, "select") &&
                    !equals_ignoring_case(word, "update") && !equals_ignoring_case(word, "delete") &&
                    !equals_ignoring_case(word, "values")) {
                    return false;
                }
            } else if (equals_ignoring_case(word, "into") ? !insert || words != 2 : might_matter(word)) {
                return false;
            }
        } else if (words == 0) {
            return false;
        } else if (is_digit(c)) {
            while (at < text.size() && (is_digit(text[at]) || text[at] == '.')) ++at;
            if (at < text.size() && is_word_start(text[at])) return false;
        } else if (c == '\'' || c == '"') {
            if (at > 0 && text[at - 1] == '&') return false;
            if (!skip_quoted(text, at)) return false;
        } else if (c == '$') {
            if (!is_digit(next)) return false;
            for (++at; at < text.size() && is_digit(text[at]);) ++at;
            if (at < text.size() && (is_word_char(text[at]))) return false;
        } else if ((c == '-' && next == '-') || (c == '/' && next == '*')) {
            return false;
        } else if (std::string_view("+-*/<>=~!@#%^&|?,.()[]:").find(c) != std::string_view::npos) {
            ++at;
        } else {
            return false;
        }
    }
    return words > 0;
}

namespace {

// --- Tokens ---

// Whether a quote always begins or ends a string, and nothing else can hold one: no comments, escapes, quoted names or
// dollar quotes.
bool has_only_plain_strings(std::string_view text) {
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        const char next = at + 1 < text.size() ? text[at + 1] : '\0';
        if (c == '\\' || c == '"') return false;
        if ((c == '-' && next == '-') || (c == '/' && next == '*')) return false;
        if (c == '$' && !is_digit(next)) return false;
    }
    return true;
}

}  // namespace

std::size_t most_tokens(std::string_view text) {
    const bool skips_strings = has_only_plain_strings(text);
    std::size_t count = 0;
    for (std::size_t at = 0; at < text.size();) {
        const char c = text[at];
        if (is_space(c)) {
            ++at;
            continue;
        }
        ++count;
        if (c == '\'' && skips_strings) {
            at = std::min(text.find('\'', at + 1), text.size() - 1) + 1;
        } else if (is_word_char(c)) {
            while (at < text.size() && is_word_char(text[at])) ++at;
        } else {
            ++at;
        }
    }
    return count;
}

namespace {

// --- Parser ---

struct ParseResultDeleter {
    void operator()(PgQueryParseResult* result) const {
        pg_query_free_parse_result(*result);
        delete result;
    }
};

std::string text_at(const json& node, const char* key) {
    const auto found = node.find(key);
    return found != node.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool is_true(const json& node, const char* key) {
    const auto found = node.find(key);
    return found != node.end() && found->is_boolean() && found->get<bool>();
}

void analyze_transaction(const json& node, SqlFacts& facts) {
    const std::string kind = text_at(node, "kind");
    const bool chain = is_true(node, "chain");
    if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
        facts.begins = true;
    } else if (kind == "TRANS_STMT_ROLLBACK") {
        facts.ends = true;
        facts.leaves_failed = !chain;
    } else if (kind == "TRANS_STMT_COMMIT") {
        facts.ends = facts.may_commit = true;
        facts.leaves_failed = !chain;
    } else if (kind != "TRANS_STMT_SAVEPOINT" && kind != "TRANS_STMT_RELEASE" &&
               kind != "TRANS_STMT_ROLLBACK_TO") {
        facts.ends = facts.may_commit = true;  // PREPARE TRANSACTION, COMMIT PREPARED, ROLLBACK PREPARED
    }
}

bool commits_by_itself(const std::string& type, const json& node) {
    static constexpr std::array kinds{"CallStmt",
                                      "DoStmt",
                                      "VacuumStmt",
                                      "CreatedbStmt",
                                      "DropdbStmt",
                                      "AlterDatabaseStmt",
                                      "ReindexStmt",
                                      "ClusterStmt",
                                      "AlterSystemStmt",
                                      "CheckPointStmt",
                                      "DiscardStmt",
                                      "AlterEnumStmt",
                                      "CreateTableSpaceStmt",
                                      "DropTableSpaceStmt",
                                      "CreateSubscriptionStmt",
                                      "AlterSubscriptionStmt",
                                      "DropSubscriptionStmt"};
    if (is_true(node, "concurrent")) return true;
    return std::any_of(kinds.begin(), kinds.end(), [&](const char* kind) { return type == kind; });
}

bool sets_unreported(const json& node) {
    const std::string kind = text_at(node, "kind");
    const std::string name = text_at(node, "name");
    if (is_true(node, "is_local") || kind == "VAR_RESET" || kind == "VAR_RESET_ALL") return false;
    if (kind == "VAR_SET_MULTI") return name != "TRANSACTION";
    return !is_carried_over(name);
}

bool pins_by_kind(const std::string& type, const json& node) {
    static constexpr std::array kinds{"ListenStmt", "PrepareStmt", "LoadStmt", "DoStmt"};
    if (std::any_of(kinds.begin(), kinds.end(), [&](const char* kind) { return type == kind; })) return true;
    if (type == "VariableSetStmt") return sets_unreported(node);
    if (type != "DeclareCursorStmt") return false;
    const auto options = node.find("options");
    return options != node.end() && options->is_number_integer() &&
           (options->get<int>() & cursor_opt_hold) != 0;
}

void analyze_statement(const std::string& type, const json& node, SqlFacts& facts) {
    if (type == "TransactionStmt") analyze_transaction(node, facts);
    if (commits_by_itself(type, node)) facts.may_commit = true;
    if (pins_by_kind(type, node)) facts.pins = true;
    if (type == "DiscardStmt" || type == "DeallocateStmt") facts.discards = true;
    if (type == "CopyStmt" && is_true(node, "is_from") && text_at(node, "filename").empty()) {
        facts.copies_in = !is_true(node, "is_program");
    }
}

// Finds what may occur anywhere within a statement.
void analyze_nested(const json& root, SqlFacts& facts) {
    std::vector<const json*> pending{&root};
    while (!pending.empty()) {
        const json& node = *pending.back();
        pending.pop_back();
        if (node.is_object()) {
            if (text_at(node, "relpersistence") == "t") facts.pins = true;
            if (text_at(node, "schemaname").starts_with("pg_temp")) facts.pins = true;
            const auto name = node.find("funcname");
            if (name != node.end() && name->is_array() && !name->empty()) {
                const json& last = name->back();
                const auto string = last.find("String");
                if (string != last.end() &&
                    pinning_function(text_at(*string, string->contains("sval") ? "sval" : "str")))
                    facts.pins = true;
            }
        }
        for (const json& child : node) {
            if (child.is_structured()) pending.push_back(&child);
        }
    }
}

}  // namespace

SqlFacts facts_by_parser(std::string_view text) {
    SqlFacts facts;
    if (text.size() > max_parsed_bytes || text.find('\0') != std::string_view::npos) return facts;
    if (most_tokens(text) > max_parsed_tokens) return facts;
    const std::unique_ptr<PgQueryParseResult, ParseResultDeleter> result(
        new PgQueryParseResult(pg_query_parse(std::string(text).c_str())));
    if (result->error || !result->parse_tree) return facts;
    const json tree = json::parse(result->parse_tree, nullptr, false);
    if (tree.is_discarded()) return facts;
    facts.parsed = true;
    facts.may_commit = facts.pins = false;
    const auto statements = tree.find("stmts");
    if (statements == tree.end()) return facts;
    bool has_transaction_control = false;
    for (const json& each : *statements) {
        const auto statement = each.find("stmt");
        if (statement == each.end()) continue;
        ++facts.statements;
        for (const auto& [type, node] : statement->items()) {
            analyze_statement(type, node, facts);
            has_transaction_control |= type == "TransactionStmt";
        }
        analyze_nested(*statement, facts);
    }
    if (facts.statements > 1) {
        // A statement behind a ROLLBACK commits by itself, and which statement failed is not known.
        facts.may_commit |= has_transaction_control;
        facts.leaves_failed = facts.copies_in = false;
    }
    return facts;
}

SqlFacts facts_of(std::string_view text) {
    if (is_plain(text)) return plain_facts();
    return facts_by_parser(text);
}

}  // namespace flaxdoor::pg
