// The statements that the PostgreSQL stand-in understands: a small grammar of its own, after the manual's
// part "SQL Commands".
//
// Statements (words in any case; one, or several in a simple query, with ';' between):
//   BEGIN | START TRANSACTION           COMMIT | END           ROLLBACK | ABORT
//   CREATE [TEMP] TABLE t (a TYPE, …)   ALTER TABLE t ADD COLUMN b TYPE
//   INSERT INTO t [(a, …)] VALUES (x, …)   UPDATE t SET a = a + x [WHERE b = x]
//   SELECT x, …     SELECT * | x, … [FROM t [WHERE a = x]], with count(*) and sum(a)
//   COPY t [(a, …)] FROM STDIN          COPY t | (SELECT …) TO STDOUT; of `big`: rows without end
//   SET [SESSION | LOCAL] s TO | = x    RESET s     SHOW s      SELECT set_config('s', 'x', false)
//   LISTEN x, UNLISTEN x, NOTIFY x      DISCARD ALL
//   x: 1, 'text', E'text', $1, NULL, a, x::TYPE, (x), x + x (- * /), f(x, …)
//   f: repeat, pg_backend_pid, set_config, advisory locks (which lock nothing); rows(N, SIZE): N rows of
//      SIZE bytes; pg_sleep: ends by a cancel or Server::release() alone, whatever time it is given
// Anything else is a syntax error (42601).
// Threading: any thread.   Errors: a Problem is thrown.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace standins::pg {

struct Problem {
    std::string code, text, routine = "standin";
};

using Value = std::optional<std::string>;  // nothing: NULL

struct Column {
    std::string name;
    std::uint32_t type = 0;  // its number in the catalogue: see below
    bool operator==(const Column&) const = default;
};
constexpr std::uint32_t bigint = 20, integer = 23, text_type = 25, boolean = 16;

struct Expression {
    enum class Kind { literal, parameter, column, call, all, binary };
    Kind kind = Kind::literal;
    std::string name{};  // of a column, a function, an operator
    Value value{};
    std::uint32_t type = 25;  // of a literal or a cast; 0: of what it stands on
    std::size_t number = 0;   // of a parameter
    std::vector<Expression> of{};
};

struct Statement {
    enum class Kind {
        empty,
        begin,
        commit,
        rollback,
        create,
        add_column,
        insert,
        update,
        select,
        copy_in,
        copy_out,
        set,
        show,
        discard,
        nothing,
    };
    Kind kind = Kind::empty;
    std::string text{}, table{}, where{}, tag{};
    bool temporary = false, local = false, all = false;
    std::vector<Column> columns{};  // named, or defined
    std::vector<Expression> items{};
    std::optional<Expression> equals{};
    std::size_t parameters = 0;
    std::shared_ptr<const Statement> query{};  // of COPY (…)
};

using StatementPtr = std::shared_ptr<const Statement>;

// All of a text, or none of it: a string with an error anywhere runs nothing.
[[nodiscard]] std::vector<StatementPtr> parse_all(const std::string& text);
[[nodiscard]] std::string lower(std::string text);

}  // namespace standins::pg
