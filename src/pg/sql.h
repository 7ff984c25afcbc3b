// What a text of SQL may do, as far as it matters for a pooler: whether it can end a transaction otherwise
// than by rollback, whether it leaves behind something in its session. Never whether it is safe to repeat.
//
// Threading: any thread.   Errors: none; what can't be parsed is the worst case.
// Cost:      a plain text one pass over its bytes; any other is parsed by libpg_query (some 10 us and more).
// Source:    the grammar of PostgreSQL 15, as libpg_query has it.
//
// Plain is a text with one statement that begins with SELECT, INSERT, UPDATE, DELETE or VALUES and has no
// comment, no backslash, no dollar quote, no string with a letter in front (E'', U&''), no INTO but INSERT's,
// and no word that could matter. It is judged without the parser; a test holds the two against each other.
#pragma once

#include <cstddef>
#include <string_view>

namespace flaxdoor::pg {

struct SqlFacts {
    bool parsed = false;
    int statements = 0;
    // It may commit while a transaction is open: COMMIT and its kin, a string with transaction control among
    // other things, what commits by itself, what can't be parsed.
    bool may_commit = true;
    bool begins = false;  // one BEGIN or START TRANSACTION among its statements
    bool ends = false;    // one COMMIT, ROLLBACK or kin among them: what follows is another transaction
    bool leaves_failed =
        false;               // it is one COMMIT or ROLLBACK (without CHAIN), which ends a failed transaction
    bool copies_in = false;  // it is one COPY … FROM STDIN: it can't end before its CopyDone
    bool pins = true;        // it may leave behind what the server does not report
    bool discards = false;   // DISCARD ALL, DEALLOCATE
};

[[nodiscard]] SqlFacts facts_of(std::string_view text);

// For the test that holds them against each other: without the short way.
[[nodiscard]] SqlFacts facts_by_parser(std::string_view text);
[[nodiscard]] bool is_plain(std::string_view text);

}  // namespace flaxdoor::pg
