// Determines what an SQL text may do, as far as a connection pooler needs to know: whether it can end a
// transaction other than by rollback, and whether it leaves session state behind. It never decides whether a
// text is safe to repeat.
//
// Threading: any thread. Errors: none; a text that can't be parsed gets the worst-case result.
// Cost:      a plain text takes one pass over its bytes; any other text is parsed by libpg_query (10 us and
//            more).
// Source:    the grammar of PostgreSQL 15, as implemented by libpg_query.
//
// A plain text is one statement that begins with SELECT, INSERT, UPDATE, DELETE or VALUES. It has no comment,
// backslash, dollar quote, string with a prefix letter (E'', U&''), INTO other than INSERT's, or word that
// could matter. It is analyzed without the parser; a test compares both analyses.
#pragma once

#include <cstddef>
#include <string_view>

namespace flaxdoor::pg {

struct SqlFacts {
    bool parsed = false;
    int statements = 0;
    // The text may commit while a transaction is open: COMMIT and its variants, several statements with
    // transaction control among them, a statement that commits by itself, or a text that can't be parsed.
    bool may_commit = true;
    bool begins = false;  // one statement is BEGIN or START TRANSACTION
    bool ends = false;  // one statement is COMMIT, ROLLBACK or a variant: what follows is another transaction
    // The text is a single COMMIT or ROLLBACK (without CHAIN), which ends a failed transaction.
    bool leaves_failed = false;
    bool copies_in = false;  // the text is a single COPY … FROM STDIN: it can't end before its CopyDone
    bool pins = true;        // the text may leave session state behind that the server does not report
    bool discards = false;   // one statement is DISCARD or DEALLOCATE
};

[[nodiscard]] SqlFacts facts_of(std::string_view text);

// For the test that compares both analyses: always uses the parser.
[[nodiscard]] SqlFacts facts_by_parser(std::string_view text);
[[nodiscard]] bool is_plain(std::string_view text);
// Returns an upper bound on the number of the text's tokens, in time proportional to its length. Strings and comments
// count as one token or, where they cannot be told from code without parsing, by their words and signs.
[[nodiscard]] std::size_t most_tokens(std::string_view text);

}  // namespace flaxdoor::pg
