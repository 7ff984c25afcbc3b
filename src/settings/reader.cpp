#include "settings/reader.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <map>
#include <system_error>

#include "settings/units.h"

// The only place that includes toml++.
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#define TOML_MAX_NESTED_VALUES 16
#include <toml++/toml.h>

namespace flaxdoor::settings {

namespace {

constexpr std::size_t key_parts_most = 8;
constexpr std::size_t text_most = 1024;  // bytes of one text in a list

Position position_of(const toml::source_position& at) {
    return {static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column)};
}
Position place_of(const toml::node& node) { return position_of(node.source().begin); }
Position place_of(const toml::key& key) { return position_of(key.source().begin); }

// Guards against a stack used up: toml++ 3.3 bounds how deep values nest, but not how many parts a dotted key
// has, and takes a table apart by recursion. Returns where a key has too many parts. Only quotes and comments
// need to be understood for that; where they are broken, toml++ stops as well.
std::optional<Position> overlong_key(std::string_view text) {
    Position at{1, 1};
    std::size_t dots = 0;
    const auto starts = [&](std::size_t i, char quote) {
        return text.substr(i, 3) == std::string_view(std::string(3, quote));
    };
    enum class In { keys, comment, text, long_text } in = In::keys;
    char quote = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        std::size_t further = 0;  // characters taken along with this one
        if (c == '\n') {
            if (in != In::long_text) in = In::keys;
            dots = 0;
        } else if (in == In::keys) {
            if (c == '#') {
                in = In::comment;
            } else if (c == '"' || c == '\'') {
                quote = c;
                in = starts(i, c) ? In::long_text : In::text;
                if (in == In::long_text) further = 2;
            } else if (c == '.') {
                if (++dots >= key_parts_most) return at;
            } else if (std::string_view("=,[]{}").find(c) != std::string_view::npos) {
                dots = 0;
            }
        } else if (in == In::text || in == In::long_text) {
            const bool escape = c == '\\' && quote == '"' && i + 1 < text.size() && text[i + 1] != '\n';
            if (escape) {
                further = 1;
            } else if (in == In::text && c == quote) {
                in = In::keys;
            } else if (in == In::long_text && starts(i, quote)) {
                further = 2;  // up to two more quotes belong to the text
                while (further < 4 && i + further + 1 < text.size() && text[i + further + 1] == quote)
                    ++further;
                in = In::keys;
            }
        }
        i += further;
        at.column += 1 + static_cast<std::uint32_t>(further);
        if (c == '\n') at = {at.line + 1, 1};
    }
    return std::nullopt;
}

// A value that can't be taken.
struct Trouble {
    std::string what;
    std::string mend;
};
using Taken = std::variant<Value, Trouble>;

std::string_view kind_of(const toml::node& node) {
    switch (node.type()) {
        case toml::node_type::table: return "a table";
        case toml::node_type::array: return "a list";
        case toml::node_type::string: return "a text";
        case toml::node_type::integer: return "a whole number";
        case toml::node_type::floating_point: return "a number with a fraction";
        case toml::node_type::boolean: return "true or false";
        default: return "a date or time";
    }
}

std::string wanted(const Setting& setting) {
    switch (setting.type) {
        case Type::boolean: return "true or false";
        case Type::integer: return "a whole number";
        case Type::real: return "a number";
        case Type::duration: return "a duration such as \"250ms\"";
        case Type::bytes: return "a size such as \"64KiB\"";
        case Type::text: return "a text";
        case Type::choice: return setting.range();
        case Type::address: return "an address HOST:PORT";
        case Type::path: return "a path";
        case Type::texts: return "a list of texts";
    }
    return {};
}

std::optional<double> number_in(const toml::node& node) {
    if (const auto* whole = node.as_integer()) return static_cast<double>(whole->get());
    if (const auto* real = node.as_floating_point()) return real->get();
    return std::nullopt;
}

std::string write(const std::string& meant) { return meant.empty() ? std::string() : "write " + meant; }
std::string write_text(const std::string& meant) { return meant.empty() ? meant : "write \"" + meant + "\""; }

// A bare number that lacks its unit.
std::string with_unit(const Setting& setting, double number) {
    if (setting.type == Type::duration) {
        const auto least = std::get<Micros>(setting.least), most = std::get<Micros>(setting.most);
        const auto usual = setting.fallback ? std::get<Micros>(*setting.fallback) : least;
        return likely_duration(number, least, most, usual);
    }
    const auto least = std::get<Bytes>(setting.least), most = std::get<Bytes>(setting.most);
    const auto usual = setting.fallback ? std::get<Bytes>(*setting.fallback) : least;
    return likely_bytes(number, least, most, usual);
}

std::string mend_type(const Setting& setting, const toml::node& node) {
    const auto number = number_in(node);
    const auto* const text = node.as_string();
    switch (setting.type) {
        case Type::boolean: {
            const std::string word = text ? text->get() : number ? text_of(*number) : std::string();
            for (const char* yes : {"true", "yes", "on", "1", "True", "Yes", "On"}) {
                if (word == yes) return write("true");
            }
            for (const char* no : {"false", "no", "off", "0", "False", "No", "Off"}) {
                if (word == no) return write("false");
            }
            return {};
        }
        case Type::integer:
            if (number && *number == std::floor(*number) && std::abs(*number) < 1e15) {
                return write(std::to_string(static_cast<std::int64_t>(*number)));
            }
            [[fallthrough]];
        case Type::real: {
            if (!text || text->get().empty()) return {};
            const std::string& digits = text->get();
            const bool real = setting.type == Type::real;
            const bool numeric =
                digits.find_first_not_of(real ? "0123456789." : "0123456789") == std::string::npos;
            return numeric && digits.size() < 16 ? "write it without quotes" : "";
        }
        case Type::duration:
        case Type::bytes: return number ? write_text(with_unit(setting, *number)) : std::string();
        case Type::text:
        case Type::path: return number ? "write it in quotes" : "";
        case Type::texts: return text ? "write it as [" + in_quotes(text->get()) + "]" : std::string();
        case Type::choice:
        case Type::address: return {};
    }
    return {};
}

Taken wrong_type(const Setting& setting, const toml::node& node) {
    return Trouble{"wanted " + wanted(setting) + ", found " + std::string(kind_of(node)),
                   mend_type(setting, node)};
}

template <class T>
Taken within(const Setting& setting, T value, const std::string& shown) {
    const T least = std::get<T>(setting.least), most = std::get<T>(setting.most);
    if (value >= least && value <= most) return Value(std::move(value));
    return Trouble{
        shown + " is out of range " + setting.range(),
        write(value < least ? "at least " + toml_of(setting.least) : "at most " + toml_of(setting.most))};
}

Taken take_integer(const Setting& setting, const toml::node& node) {
    const auto* const whole = node.as_integer();
    if (!whole) return wrong_type(setting, node);
    return within<std::int64_t>(setting, whole->get(), std::to_string(whole->get()));
}

Taken take_real(const Setting& setting, const toml::node& node) {
    const auto number = number_in(node);
    if (!number) return wrong_type(setting, node);
    if (!std::isfinite(*number)) return Trouble{"wanted a number that is finite", {}};
    return within<double>(setting, *number, text_of(*number));
}

template <class T>
Taken take_with_unit(const Setting& setting, const toml::node& node,
                     std::variant<T, Unreadable> (*parse)(std::string_view)) {
    const auto* const text = node.as_string();
    if (!text) return wrong_type(setting, node);
    auto parsed = parse(text->get());
    if (const T* value = std::get_if<T>(&parsed)) return within<T>(setting, *value, in_quotes(text->get()));
    const auto& why = std::get<Unreadable>(parsed);
    const std::string meant = why.bare ? with_unit(setting, *why.bare) : why.meant;
    return Trouble{why.what, write_text(meant)};
}

// Guards the log and the page: what an operator wrote is shown in both.
std::optional<Trouble> unfit_text(const std::string& text, std::int64_t least, std::int64_t most) {
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20 || byte == 0x7F) return Trouble{"holds a control character", "leave it out"};
    }
    const auto size = static_cast<std::int64_t>(text.size());
    if (size == 0 && least > 0) return Trouble{"is empty", {}};
    if (size >= least && size <= most) return std::nullopt;
    return Trouble{"has " + std::to_string(size) + " bytes, out of range " + std::to_string(least) + ".." +
                       std::to_string(most) + " bytes",
                   {}};
}

Taken take_text(const Setting& setting, const toml::node& node) {
    const auto* const text = node.as_string();
    if (!text) return wrong_type(setting, node);
    auto trouble =
        unfit_text(text->get(), std::get<std::int64_t>(setting.least), std::get<std::int64_t>(setting.most));
    if (trouble) return Trouble{"the text " + trouble->what, trouble->mend};
    return Value(text->get());
}

Taken take_choice(const Setting& setting, const toml::node& node) {
    const auto* const text = node.as_string();
    if (!text) return wrong_type(setting, node);
    const std::string& word = text->get();
    if (std::find(setting.words.begin(), setting.words.end(), word) != setting.words.end())
        return Value(word);
    const auto meant = nearest(word, setting.words);
    return Trouble{in_quotes(word) + " is not " + setting.range(), write_text(meant.value_or(""))};
}

Taken take_address(const Setting& setting, const toml::node& node) {
    const auto* const text = node.as_string();
    if (!text) return wrong_type(setting, node);
    auto parsed = parse_address(text->get());
    if (const auto* why = std::get_if<Unreadable>(&parsed)) return Trouble{why->what, write_text(why->meant)};
    const auto& address = std::get<Address>(parsed);
    const auto least = std::get<std::int64_t>(setting.least), most = std::get<std::int64_t>(setting.most);
    if (address.port < least || address.port > most) {
        return Trouble{in_quotes(text->get()) + " is out of range " + setting.range(), {}};
    }
    return Value(text_of(address));
}

Taken take_texts(const Setting& setting, const toml::node& node) {
    const auto* const list = node.as_array();
    if (!list) return wrong_type(setting, node);
    std::vector<std::string> texts;
    for (const auto& entry : *list) {
        const std::string which = "entry " + std::to_string(texts.size() + 1);
        const auto* const text = entry.as_string();
        if (!text) return Trouble{which + " is " + std::string(kind_of(entry)) + ", wanted a text", {}};
        if (const auto trouble = unfit_text(text->get(), 1, text_most)) {
            return Trouble{which + " " + trouble->what, trouble->mend};
        }
        if (std::find(texts.begin(), texts.end(), text->get()) != texts.end()) {
            return Trouble{in_quotes(text->get()) + " is there twice", "leave one of them out"};
        }
        texts.push_back(text->get());
        // Also bounds the search for what is there twice.
        if (static_cast<std::int64_t>(texts.size()) > std::get<std::int64_t>(setting.most)) break;
    }
    const auto size = static_cast<std::int64_t>(texts.size());
    if (size < std::get<std::int64_t>(setting.least) || size > std::get<std::int64_t>(setting.most)) {
        return Trouble{std::to_string(list->size()) + " entries are out of range " + setting.range(), {}};
    }
    return Value(std::move(texts));
}

Taken take(const Setting& setting, const toml::node& node) {
    switch (setting.type) {
        case Type::boolean:
            if (const auto* truth = node.as_boolean()) return Value(truth->get());
            return wrong_type(setting, node);
        case Type::integer: return take_integer(setting, node);
        case Type::real: return take_real(setting, node);
        case Type::duration: return take_with_unit<Micros>(setting, node, parse_duration);
        case Type::bytes: return take_with_unit<Bytes>(setting, node, parse_bytes);
        case Type::text:
        case Type::path: return take_text(setting, node);
        case Type::choice: return take_choice(setting, node);
        case Type::address: return take_address(setting, node);
        case Type::texts: return take_texts(setting, node);
    }
    return Trouble{"a type that is not known", {}};
}

// As an operator may have meant a key: other programs write keys in capitals or with hyphens.
std::string as_key(std::string_view written) {
    std::string key(written.substr(0, 64));
    for (char& c : key) {
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
        if (c == '-') c = '_';
    }
    return key;
}

// A key for a message: as it is when it could be one, else quoted.
std::string shown_key(std::string_view key) { return is_key_name(key) ? std::string(key) : in_quotes(key); }

std::string header_of(const Table& table) {
    return table.kind == Kind::many ? "[[" + table.name + "]]" : "[" + table.name + "]";
}

void run_check(const Check& check, const Row& row, Faults& faults) {
    const auto slot_of = [&](const std::string& key) -> const Row::Slot& {
        return row.slots()[row.table().index_of(key)];
    };
    for (const std::string& key : check.keys) {
        if (slot_of(key).faulty) return;
    }
    const auto objection = check.run(row);
    if (!objection) return;
    auto blamed = std::find_if(check.keys.begin(), check.keys.end(),
                               [&](const std::string& key) { return slot_of(key).given; });
    const bool given = blamed != check.keys.end();
    if (!given) blamed = check.keys.begin();
    faults.add({given ? slot_of(*blamed).key : row.place(), objection->what, row.table().name + "." + *blamed,
                objection->mend});
}

void run_check(const SchemaCheck& check, const Values& values, Faults& faults) {
    const Row::Slot* blamed = nullptr;
    std::string key = check.keys.front();
    for (const std::string& named : check.keys) {
        const auto dot = named.find('.');
        const std::size_t table = values.schema().index_of(named.substr(0, dot));
        const std::size_t place = values.schema().tables()[table].index_of(named.substr(dot + 1));
        for (const Row& row : values.parts()[table].rows) {
            const Row::Slot& slot = row.slots()[place];
            if (slot.faulty) return;
            if (!slot.given || blamed) continue;
            blamed = &slot;
            key = named;
        }
    }
    const auto objection = check.run(values);
    if (objection) faults.add({blamed ? blamed->key : Position{}, objection->what, key, objection->mend});
}

void run_checks(const Values& values, Faults& faults) {
    for (const auto& part : values.parts()) {
        for (const Row& row : part.rows) {
            for (const Check& check : row.table().checks) run_check(check, row, faults);
        }
    }
    for (const SchemaCheck& check : values.schema().checks()) run_check(check, values, faults);
}

class Reader {
public:
    explicit Reader(const Schema& schema) : schema_(schema), values_(schema) {}

    Reading read(std::string_view text) {
        if (text.size() > file_most) return whole("larger than 1 MiB", "settings of this size are a mistake");
        if (const auto at = overlong_key(text)) {
            faults_.add({*at,
                         "a key of more than " + std::to_string(key_parts_most) + " parts",
                         {},
                         "no key has more than two; reading stopped there"});
            return std::move(faults_);
        }
        const toml::parse_result parsed = toml::parse(text);
        if (!parsed) return broken(parsed.error());
        for (const auto& [key, node] : parsed.table()) take_top(key, node);
        run_checks(values_, faults_);
        if (!faults_.empty()) return std::move(faults_);
        return std::move(values_);
    }

private:
    Reading whole(const std::string& what, const std::string& mend) {
        faults_.add({{}, what, {}, mend});
        return std::move(faults_);
    }

    Reading broken(const toml::parse_error& error) {
        const std::string_view why = error.description();
        std::string mend = "reading stopped there: what comes after it is not checked yet";
        if (why.find("cannot redefine") != std::string_view::npos) mend = "leave one of the two out; " + mend;
        if (why.find("parsing decimal integer") != std::string_view::npos ||
            why.find("parsing floating-point") != std::string_view::npos) {
            mend = "a value with a unit is written in quotes, as in \"5s\"; " + mend;
        }
        faults_.add({position_of(error.source().begin), "not TOML: " + plain(why), {}, mend});
        return std::move(faults_);
    }

    // What the parser says, with nothing of the file in it that a terminal would obey.
    static std::string plain(std::string_view why) {
        std::string text;
        for (const char c : why.substr(0, 300)) text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        return text;
    }

    template <class Say>
    void fault(Position at, Say say) {
        if (!faults_.keeps(at)) return faults_.add_unworded();
        Fault fault = say();
        fault.at = at;
        faults_.add(std::move(fault));
    }

    void take_top(const toml::key& key, const toml::node& node) {
        const Table* const table = schema_.find(key.str());
        if (!table) return unknown_top(key, node);
        auto& part = values_.parts()[schema_.index_of(key.str())];
        part.given = true;
        const std::string header = header_of(*table);
        if (table->kind == Kind::many) {
            const auto* const rows = node.as_array();
            if (rows) return take_rows(*table, *rows, part.rows);
        } else if (const auto* const one = node.as_table()) {
            part.rows.front().set_place(place_of(key));
            return take_keys(*table, *one, part.rows.front());
        }
        for (Row& row : part.rows) {
            for (auto& slot : row.slots()) slot.faulty = true;
        }
        fault(place_of(key), [&] {
            const bool tables = node.is_array_of_tables() || node.is_table();
            return Fault{
                {},
                "wanted " + header + ", found " +
                    (node.is_array_of_tables() ? "[[" + table->name + "]]" : std::string(kind_of(node))),
                table->name,
                tables ? "write " + header : "its keys go below a line " + header};
        });
    }

    void take_rows(const Table& table, const toml::array& list, std::vector<Row>& rows) {
        std::map<std::string, Position> labels;
        const std::size_t unique = table.index_of(table.unique);
        std::size_t number = 0;
        for (const auto& entry : list) {
            const Position at = place_of(entry);
            const auto* const keys = entry.as_table();
            if (!keys) {
                fault(at, [&] {
                    return Fault{{},
                                 "wanted " + header_of(table) + ", found " + std::string(kind_of(entry)),
                                 table.name,
                                 "its keys go below a line " + header_of(table)};
                });
                continue;
            }
            if (++number > table.most_rows) {
                fault(at, [&] {
                    return Fault{
                        {}, "more than " + std::to_string(table.most_rows) + " rows", table.name, {}};
                });
                return;
            }
            Row& row = rows.emplace_back(schema_.share(schema_.index_of(table.name)));
            row.set_place(at);
            take_keys(table, *keys, row);
            const auto& slot = row.slots()[unique];
            if (slot.faulty) continue;
            const auto [first, fresh] = labels.emplace(row.label(), slot.key);
            if (fresh) continue;
            fault(slot.place, [&, first = first] {
                return Fault{
                    {},
                    in_quotes(first->first) + " is already in line " + std::to_string(first->second.line),
                    table.name + "." + table.unique,
                    "each " + header_of(table) + " needs its own"};
            });
        }
    }

    void take_keys(const Table& table, const toml::table& keys, Row& row) {
        for (const auto& [key, node] : keys) {
            const Setting* const setting = table.find(key.str());
            if (!setting) {
                unknown_key(table, key);
                continue;
            }
            Row::Slot& slot = row.slots()[table.index_of(key.str())];
            slot.given = true;
            slot.key = place_of(key);
            slot.place = place_of(node);
            Taken taken = take(*setting, node);
            if (auto* value = std::get_if<Value>(&taken)) {
                slot.value = std::move(*value);
                continue;
            }
            slot.faulty = true;
            fault(slot.place, [&] {
                auto& trouble = std::get<Trouble>(taken);
                return Fault{{}, std::move(trouble.what), setting->text(), std::move(trouble.mend)};
            });
        }
        for (std::size_t i = 0; i < table.settings.size(); ++i) {
            if (!table.settings[i].required || row.slots()[i].given) continue;
            row.slots()[i].faulty = true;
            fault(row.place(), [&] {
                return Fault{{},
                             header_of(table) + " lacks " + table.settings[i].name,
                             table.settings[i].text(),
                             "it has no default; give it"};
            });
        }
    }

    // The table of a key of this name, when it is the only one.
    const Table* home_of(std::string_view key) const {
        const Table* home = nullptr;
        for (const Table& table : schema_.tables()) {
            if (!table.find(key)) continue;
            if (home) return nullptr;
            home = &table;
        }
        return home;
    }

    void unknown_key(const Table& table, const toml::key& key) {
        fault(place_of(key), [&] {
            const std::string written = as_key(key.str());
            std::vector<std::string> names;
            for (const Setting& setting : table.settings) names.push_back(setting.name);
            std::string mend = "`flaxdoor settings` lists the keys that there are";
            if (const Table* const home = home_of(written)) mend = "it belongs below " + header_of(*home);
            if (const auto meant = nearest(written, names)) mend = "did you mean " + *meant + "?";
            return Fault{{}, "unknown key", table.name + "." + shown_key(key.str()), mend};
        });
    }

    void unknown_top(const toml::key& key, const toml::node& node) {
        fault(place_of(key), [&] {
            const bool table = node.is_table() || node.is_array_of_tables();
            const std::string written = as_key(key.str());
            std::vector<std::string> names;
            for (const Table& known : schema_.tables()) names.push_back(known.name);
            std::string mend = "`flaxdoor settings` lists the tables that there are";
            const auto meant = nearest(written, names);
            const Table* const home = home_of(written);
            if (meant) mend = "did you mean " + header_of(*schema_.find(*meant)) + "?";
            if (!table && home) mend = "it belongs below " + header_of(*home);
            return Fault{
                {}, table ? "unknown table" : "unknown key outside of any table", shown_key(key.str()), mend};
        });
    }

    const Schema& schema_;
    Values values_;
    Faults faults_;
};

class File {
public:
    explicit File(const std::string& path)
        : descriptor_(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)) {}
    ~File() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }
    File(const File&) = delete;
    File& operator=(const File&) = delete;

    int descriptor() const { return descriptor_; }

private:
    const int descriptor_;
};

Reading unreadable(const std::string& why) {
    Faults faults;
    faults.add({{}, why, {}, {}});
    return faults;
}

std::string reason(int error) { return "cannot be read: " + std::generic_category().message(error); }

}  // namespace

Reading read_text(std::string_view text, const Schema& schema) { return Reader(schema).read(text); }

Reading read_file(const std::string& path, const Schema& schema) {
    const File file(path);
    if (file.descriptor() < 0) return unreadable(reason(errno));
    struct stat about {};
    if (::fstat(file.descriptor(), &about) != 0) return unreadable(reason(errno));
    // A pipe could keep the program waiting for ever.
    if (!S_ISREG(about.st_mode)) return unreadable("cannot be read: it is not a regular file");
    std::string text(file_most + 1, '\0');
    std::size_t size = 0;
    while (size < text.size()) {
        const ssize_t got = ::read(file.descriptor(), text.data() + size, text.size() - size);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) return unreadable(reason(errno));
        if (got == 0) break;
        size += static_cast<std::size_t>(got);
    }
    text.resize(size);
    return read_text(text, schema);
}

Faults check_values(const Values& values) {
    Faults faults;
    run_checks(values, faults);
    return faults;
}

}  // namespace flaxdoor::settings
