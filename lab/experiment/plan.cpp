#include "experiment/plan.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

#include "experiment/keys.h"
#include "settings/reader.h"
#include "settings/units.h"

namespace flaxdoor::lab {

namespace {

using settings::Fault;
using settings::Faults;
using settings::Objection;
using settings::Position;
using settings::Row;
using settings::Schema;
using settings::Table;
using settings::Value;
using settings::Values;

constexpr std::size_t cells_most = 10000;

Position place_of(const Row& row, std::string_view key) {
    const Row::Slot& slot = row.slots()[row.table().index_of(key)];
    return slot.given ? slot.place : row.place();
}

bool has_row(const Values& values, std::string_view table, const std::string& name) {
    const auto& rows = values.rows(table);
    return std::any_of(rows.begin(), rows.end(), [&](const Row& row) { return row.label() == name; });
}

std::vector<std::string> names_of(const Values& values, std::string_view table) {
    std::vector<std::string> names;
    for (const Row& row : values.rows(table)) names.push_back(row.label());
    return names;
}

// "no zone is called \"x\"", with the likeliest of those that there are.
Objection nobody(const Values& values, const char* table, const std::string& name, Position at) {
    const auto names = names_of(values, table);
    const auto meant = settings::nearest(name, names);
    std::string mend = "name one of the [[" + std::string(table) + "]] rows";
    if (meant) mend = "write " + settings::in_quotes(*meant);
    if (names.empty()) mend = "add a [[" + std::string(table) + "]] row";
    return {"no " + std::string(table) + " is called " + settings::in_quotes(name), mend, at};
}

std::optional<std::vector<double>> numbers(const std::string& text) {
    std::vector<double> all;
    std::istringstream words(text);
    for (std::string word; words >> word;) {
        double number = 0;
        const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
        if (error != std::errc{} || end != word.data() + word.size() || number < 0 || number > 1000)
            return std::nullopt;
        all.push_back(number);
    }
    if (all.empty()) return std::nullopt;
    return all;
}

// ------------------------------------------------------------------------------------------------- checks

template <const auto& low, const auto& high>
std::optional<Objection> ordered(const Row& row) {
    if (row.get(low) <= row.get(high)) return std::nullopt;
    return Objection{std::string(low.spec().name) + " exceeds " + std::string(high.spec().name),
                     "lower the one or raise the other"};
}

// Else nothing would be counted, and whatever is expected would be met.
std::optional<Objection> settles_first(const Row& row) {
    if (row.get(keys::experiment::settles) < row.get(keys::experiment::lasts)) return std::nullopt;
    return Objection{"nothing is counted: settles is no shorter than lasts",
                     "shorten settles, as to \"0s\", or lengthen lasts"};
}

std::optional<Objection> pareto_mean(const Row& row) {
    if (row.get(keys::of_class::law) != Law::pareto || row.get(keys::of_class::spread) > 1)
        return std::nullopt;
    return Objection{"a Pareto law has no mean with an exponent of 1 or less", "set spread above 1, as 2.1"};
}

std::optional<Objection> shape_read(const Row& row) {
    if (numbers(row.get(keys::clients::shape))) return std::nullopt;
    return Objection{"shape is not factors from 0 to 1000", "write them with spaces, as \"1 1.5 0.5\""};
}

std::optional<Objection> no_experiment(const Values& values) {
    if (values.given("experiment")) return std::nullopt;
    return Objection{"the file is no experiment", "add [experiment] with a name"};
}

std::optional<Objection> no_class(const Values& values) {
    if (!values.rows("class").empty()) return std::nullopt;
    return Objection{"there is no class of calls", "add a [[class]] row"};
}

std::optional<Objection> known_target(const Values& values) {
    for (const Row& row : values.rows("trouble")) {
        using Kind = Trouble::Kind;
        const std::string on = row.get(keys::trouble::on);
        const Position at = place_of(row, "on");
        const char* table = nullptr;
        switch (row.get(keys::trouble::kind)) {
            case Kind::zone_lost:
            case Kind::zone_cut: table = "zone"; break;
            case Kind::tenant_flood: table = "tenant"; break;
            case Kind::heavy: table = "class"; break;
            case Kind::slow:
            case Kind::failing:
            case Kind::hang:
            case Kind::crash:
            case Kind::drain:
            case Kind::replace: {
                if (on.empty()) continue;
                const auto count = values.get(keys::servers::count);
                std::int64_t number = -1;
                if (on.starts_with("server ")) {
                    const auto [end, error] = std::from_chars(on.data() + 7, on.data() + on.size(), number);
                    if (error != std::errc{} || end != on.data() + on.size()) number = -1;
                }
                if (number >= 0 && number < count) continue;
                return Objection{"no server is called " + settings::in_quotes(on),
                                 "name one from \"server 0\" to \"server " + std::to_string(count - 1) +
                                     "\", or leave it out and give share",
                                 at};
            }
            default: break;
        }
        if (table && !has_row(values, table, on)) return nobody(values, table, on, at);
    }
    for (const Row& row : values.rows("expect")) {
        const std::string on = row.get(keys::expect::on);
        const Position at = place_of(row, "on");
        using Of = Expectation::Of;
        const Of of = row.get(keys::expect::of);
        if (of == Of::recovers && !has_row(values, "trouble", on)) return nobody(values, "trouble", on, at);
        if (on.empty() || of == Of::recovers) continue;
        if (!has_row(values, "class", on) && !has_row(values, "tenant", on))
            return nobody(values, "class", on, at);
    }
    return std::nullopt;
}

std::optional<Objection> primary_to_lose(const Values& values) {
    for (const Row& row : values.rows("trouble")) {
        if (row.get(keys::trouble::kind) == Trouble::Kind::primary_lost &&
            values.get(keys::postgres::rate) <= 0) {
            return Objection{"there is no PostgreSQL primary to lose", "set rate in [postgres]", row.place()};
        }
    }
    return std::nullopt;
}

// What stand-ins on one machine can't play.
std::optional<Objection> real_can(const Values& values) {
    if (!values.get(keys::experiment::real)) return std::nullopt;
    const std::string mend = "or leave real out";
    const auto against = [&](const char* table, const char* key, const std::string& what,
                             const std::string& how) {
        return Objection{"real = true: " + what, how + ", " + mend,
                         values.given(table)
                             ? place_of(values.parts()[values.schema().index_of(table)].rows.front(), key)
                             : Position{}};
    };
    if (values.get(keys::experiment::grid) > Micros{0})
        return against("experiment", "grid", "the clock of a machine has no grid", "leave grid out");
    if (values.get(keys::fleet::door))
        return against("fleet", "door", "the daemons have no door here", "leave door out");
    if (values.get(keys::roster::mode) != RosterMode::pushed)
        return against("roster", "mode", "only a pushed roster is played", "write mode = \"pushed\"");
    if (values.get(keys::roster::nonsense) > 0)
        return against("roster", "nonsense", "nonsense of the roster is not played", "leave nonsense out");
    if (values.get(keys::postgres::rate) > 0)
        return against("postgres", "rate", "PostgreSQL is not played", "leave rate out");
    const auto servers = std::min(values.get(keys::servers::count), values.get(keys::real::servers));
    double factor = 1;
    for (const Row& row : values.rows("trouble")) {
        using Kind = Trouble::Kind;
        const Kind kind = row.get(keys::trouble::kind);
        switch (kind) {
            case Kind::zone_lost:
            case Kind::zone_cut:
            case Kind::answers_lost:
            case Kind::resets:
            case Kind::late_connect:
            case Kind::roster_silent:
            case Kind::roster_down:
            case Kind::primary_lost:
                return Objection{"real = true: stand-ins on one machine can't play " +
                                     settings::in_quotes(keys::trouble_words[static_cast<std::size_t>(kind)]),
                                 "leave this trouble out, " + mend, place_of(row, "kind")};
            case Kind::burst:
            case Kind::tenant_flood: factor *= std::max(1.0, row.get(keys::trouble::size)); break;
            default: break;
        }
        const std::string on = row.get(keys::trouble::on);
        if (!on.starts_with("server ")) continue;
        if (std::strtoll(on.c_str() + 7, nullptr, 10) >= servers) {
            return Objection{"real = true: " + settings::in_quotes(on) + " is not among the " +
                                 std::to_string(servers) + " that are real",
                             "raise real.servers, or name an earlier one", place_of(row, "on")};
        }
    }
    const Row* keyed = nullptr;
    for (const Row& row : values.rows("class")) {
        if (row.get(keys::of_class::effect) != Effect::keyed) continue;
        if (keyed && (keyed->get(keys::of_class::group) != row.get(keys::of_class::group) ||
                      keyed->get(keys::of_class::window) != row.get(keys::of_class::window))) {
            return Objection{"real = true: a stand-in node has one window for all keys",
                             "give all keyed classes one group and window, " + mend, place_of(row, "window")};
        }
        keyed = &row;
    }
    const double seconds =
        static_cast<double>(
            std::min(values.get(keys::experiment::lasts), values.get(keys::real::lasts)).count()) /
        1e6;
    const double calls = values.get(keys::clients::rate) * values.get(keys::real::rate_share) * factor *
                         seconds * static_cast<double>(servers) /
                         static_cast<double>(values.get(keys::servers::count));
    if (calls > static_cast<double>(real_calls_most)) {
        return against("real", "lasts",
                       "some " + std::to_string(static_cast<std::int64_t>(calls)) + " calls, at most " +
                           std::to_string(real_calls_most) + " are played",
                       "lower real.rate_share, real.servers or real.lasts");
    }
    return std::nullopt;
}

// ---------------------------------------------------------------------------------------------------- axes

std::optional<Objection> find_setting(const Values& values, const std::string& key, SettingPlace& place) {
    const Schema& schema = values.schema();
    const std::size_t first = key.find('.'), last = key.rfind('.');
    const auto table_names = [&] {
        std::vector<std::string> all;
        for (const Table& table : schema.tables()) all.push_back(table.name);
        return all;
    };
    const std::string table_name = key.substr(0, first);
    const Table* const table = schema.find(table_name);
    if (!table || first == std::string::npos || table_name == "axis" || table_name == "range") {
        const auto meant = settings::nearest(table_name, table_names());
        return Objection{
            "no setting is called " + settings::in_quotes(key),
            meant ? "write " + settings::in_quotes(*meant + key.substr(std::min(first, key.size())))
                  : "write TABLE.KEY, as \"fleet.balancers\", or TABLE.NAME.KEY, as \"class.book.worth\""};
    }
    const bool many = table->kind == settings::Kind::many;
    const std::string name = key.substr(last + 1);
    const settings::Setting* const setting = table->find(name);
    if (!setting || name == table->unique || many != (last > first)) {
        std::vector<std::string> names;
        for (const auto& each : table->settings) names.push_back(each.name);
        const auto meant = settings::nearest(name, names);
        return Objection{"no setting is called " + settings::in_quotes(key),
                         meant && *meant != name
                             ? "write " + settings::in_quotes(key.substr(0, last + 1) + *meant)
                         : many ? "write " + table->name + ".NAME.KEY with the name of a row"
                                : "see the settings of [" + table->name + "]"};
    }
    place.table = schema.index_of(table_name);
    place.setting = table->index_of(name);
    if (many) {
        place.row = key.substr(first + 1, last - first - 1);
        if (!has_row(values, table->name, *place.row)) {
            const auto names = names_of(values, table->name);
            const auto meant = settings::nearest(*place.row, names);
            return Objection{"no row of [[" + table->name + "]] is called " + settings::in_quotes(*place.row),
                             meant ? "write " + settings::in_quotes(table->name + "." + *meant + "." + name)
                                   : "name one of its rows"};
        }
    }
    return std::nullopt;
}

// A value as it would stand in the file, or what is wrong with it.
std::variant<Value, Fault> value_of(const Schema& schema, const SettingPlace& place,
                                    const std::string& written) {
    const Table& table = schema.tables()[place.table];
    const bool many = table.kind == settings::Kind::many;
    const std::string& name = table.settings[place.setting].name;
    // A row wants its label, and [experiment] its name, beside what is asked for.
    std::string head = many ? "[[" + table.name + "]]\n" : "[" + table.name + "]\n";
    if (table.find("name") && name != "name") head += "name = \"x\"\n";
    // Other tables may want keys that this little file does not have: only what stands here counts.
    const auto read = [&](const std::string& value) {
        return settings::read_text(head + name + " = " + value + "\n", Schema({table}));
    };
    settings::Reading reading = read(written);
    // Texts and durations need no quotes of their own here.
    if (std::holds_alternative<Faults>(reading)) {
        settings::Reading quoted = read("\"" + written + "\"");
        if (std::holds_alternative<Values>(quoted)) reading = std::move(quoted);
    }
    if (auto* const faults = std::get_if<Faults>(&reading)) return faults->first().front();
    const Row& row = std::get<Values>(reading).parts().front().rows.front();
    return *row.slots()[place.setting].value;
}

std::variant<Plan, Faults> plan_of(settings::Reading reading) {
    if (auto* const faults = std::get_if<Faults>(&reading)) return std::move(*faults);
    Values& values = std::get<Values>(reading);
    Faults faults;
    Plan plan;
    plan.name = values.get(keys::experiment::name);
    plan.question = values.get(keys::experiment::question);
    plan.real = values.get(keys::experiment::real);
    const auto first = static_cast<std::uint64_t>(values.get(keys::experiment::first_seed));
    for (std::int64_t i = 0; i < values.get(keys::experiment::seeds); ++i) {
        plan.seeds.push_back(first + static_cast<std::uint64_t>(i));
    }
    plan.variants.push_back({"", values});
    for (const Row& axis : values.rows("axis")) {
        SettingPlace place;
        if (const auto objection = find_setting(values, axis.get(keys::axis::key), place)) {
            faults.add({place_of(axis, "key"), objection->what, "axis.key", objection->mend});
            continue;
        }
        std::vector<Variant> next;
        for (const std::string& written : axis.get(keys::axis::values)) {
            auto value = value_of(values.schema(), place, written);
            if (const Fault* const fault = std::get_if<Fault>(&value)) {
                faults.add({place_of(axis, "values"), settings::in_quotes(written) + ": " + fault->what,
                            "axis.values", fault->remedy});
                continue;
            }
            if (plan.variants.size() * axis.get(keys::axis::values).size() * plan.seeds.size() > cells_most) {
                faults.add({axis.place(), "more than " + std::to_string(cells_most) + " worlds", "axis",
                            "take fewer values or seeds"});
                break;
            }
            for (const Variant& variant : plan.variants) {
                Variant more = variant;
                more.name += (more.name.empty() ? "" : " ") + axis.label() + "=" + written;
                set(more.values, place, std::get<Value>(value));
                const Faults against = settings::check_values(more.values);
                for (const Fault& fault : against.first()) {
                    faults.add({place_of(axis, "values"), settings::in_quotes(written) + ": " + fault.what,
                                "axis.values", fault.remedy});
                }
                next.push_back(std::move(more));
            }
        }
        if (!next.empty()) plan.variants = std::move(next);
    }
    for (const Row& row : values.rows("range")) {
        Range range{row.label(), {}, {}, {}};
        if (const auto objection = find_setting(values, row.get(keys::range::key), range.place)) {
            faults.add({place_of(row, "key"), objection->what, "range.key", objection->mend});
            continue;
        }
        const auto take = [&](const char* key, const std::string& written, Value& into) {
            auto value = value_of(values.schema(), range.place, written);
            if (const Fault* const fault = std::get_if<Fault>(&value)) {
                faults.add({place_of(row, key), settings::in_quotes(written) + ": " + fault->what,
                            "range." + std::string(key), fault->remedy});
            } else {
                into = std::get<Value>(std::move(value));
            }
        };
        take("least", row.get(keys::range::least), range.least);
        take("most", row.get(keys::range::most), range.most);
        const bool number = std::holds_alternative<std::int64_t>(range.least) ||
                            std::holds_alternative<double>(range.least) ||
                            std::holds_alternative<Micros>(range.least);
        if (faults.empty() && (!number || range.most < range.least)) {
            faults.add({row.place(),
                        number ? "least exceeds most" : "only numbers and durations have a range", "range",
                        number ? "lower the one or raise the other" : "use [[axis]] with values"});
        }
        plan.ranges.push_back(std::move(range));
    }
    if (!faults.empty()) return faults;
    return plan;
}

Draw draw_of(Law law, Micros mean, double spread) { return {law, mean, spread}; }

}  // namespace

Schema experiment_schema() {
    using settings::Kind;
    namespace k = keys;
    std::vector<Table> tables{
        {.name = "experiment",
         .kind = Kind::optional,
         .meaning = "What is asked, and how often it is played.",
         .settings = {k::experiment::name, k::experiment::question, k::experiment::lasts,
                      k::experiment::settles, k::experiment::first_seed, k::experiment::seeds,
                      k::experiment::grid, k::experiment::real},
         .checks = {{{"settles", "lasts"}, "settles is below lasts.", settles_first}}},
        {.name = "real",
         .meaning = "The part that real processes play, where experiment.real is set.",
         .settings = {k::real::balancers, k::real::servers, k::real::lasts, k::real::rate_share,
                      k::real::share_within, k::real::p50_within, k::real::p99_within, k::real::span_within}},
        {.name = "fleet",
         .meaning = "The balancers.",
         .settings = {k::fleet::balancers, k::fleet::front_notices, k::fleet::knows_start, k::fleet::door}},
        {.name = "zone",
         .kind = Kind::many,
         .meaning = "Where things stand; without a row there is one zone.",
         .settings = {k::zone::name, k::zone::traffic, k::zone::servers},
         .unique = "name",
         .most_rows = 64},
        {.name = "class",
         .kind = Kind::many,
         .meaning = "Classes of calls.",
         .settings = {k::of_class::name, k::of_class::share, k::of_class::aim, k::of_class::deadline,
                      k::of_class::worth, k::of_class::late_worth, k::of_class::effect, k::of_class::group,
                      k::of_class::window, k::of_class::work, k::of_class::law, k::of_class::spread},
         .checks = {{{"aim", "deadline"},
                     "aim is at most deadline.",
                     ordered<k::of_class::aim, k::of_class::deadline>},
                    {{"law", "spread"}, "A Pareto law has an exponent over 1.", pareto_mean}},
         .unique = "name",
         .most_rows = 64},
        {.name = "tenant",
         .kind = Kind::many,
         .meaning = "Whose calls they are.",
         .settings = {k::tenant::name, k::tenant::share, k::tenant::quota, k::tenant::fraction},
         .unique = "name"},
        {.name = "servers",
         .meaning = "The servers.",
         .settings = {k::servers::count, k::servers::cores, k::servers::speed_least, k::servers::speed_most,
                      k::servers::waiting_room, k::servers::connections, k::servers::handshake_work,
                      k::servers::thrash_from, k::servers::thrash_each, k::servers::cold_share,
                      k::servers::ramp, k::servers::fall_multiple, k::servers::fall_span,
                      k::servers::report_every},
         .checks = {{{"speed_least", "speed_most"},
                     "speed_least is at most speed_most.",
                     ordered<k::servers::speed_least, k::servers::speed_most>}}},
        {.name = "network",
         .meaning = "The ways between them.",
         .settings = {k::network::local, k::network::between, k::network::jitter, k::network::idle_close}},
        {.name = "roster",
         .meaning = "Where balancers hear of servers.",
         .settings = {k::roster::mode, k::roster::late_least, k::roster::late_most, k::roster::answers,
                      k::roster::nonsense},
         .checks = {{{"late_least", "late_most"},
                     "late_least is at most late_most.",
                     ordered<k::roster::late_least, k::roster::late_most>}}},
        {.name = "clients",
         .meaning = "The clients.",
         .settings = {k::clients::count, k::clients::rate, k::clients::patience, k::clients::repeats,
                      k::clients::repeats_most, k::clients::wait, k::clients::leave, k::clients::shape},
         .checks = {{{"shape"}, "shape is factors with spaces between them.", shape_read}}},
        {.name = "postgres",
         .meaning = "PostgreSQL's servers: one primary, and those that stand by.",
         .settings = {k::postgres::rate, k::postgres::standbys, k::postgres::work, k::postgres::deadline}},
        {.name = "module",
         .meaning = "What balancers are told beyond the rest of this file.",
         .settings = {k::module::max_attempts, k::module::parallel_attempts, k::module::may_cancel,
                      k::module::fair_share, k::module::connect_timeout, k::module::retry_after,
                      k::module::max_retry_after, k::module::drain_grace, k::module::answer_slack,
                      k::module::ask_within}},
        {.name = "trouble",
         .kind = Kind::many,
         .meaning = "What goes wrong, and when.",
         .settings = {k::trouble::name, k::trouble::kind, k::trouble::at, k::trouble::lasts,
                      k::trouble::share, k::trouble::size, k::trouble::by, k::trouble::on},
         .unique = "name",
         .most_rows = 100},
        {.name = "axis",
         .kind = Kind::many,
         .meaning = "What varies: every combination is a variant.",
         .settings = {k::axis::name, k::axis::key, k::axis::values},
         .unique = "name",
         .most_rows = 4},
        {.name = "range",
         .kind = Kind::many,
         .meaning = "What `hunt` draws.",
         .settings = {k::range::name, k::range::key, k::range::least, k::range::most},
         .unique = "name",
         .most_rows = 100},
        {.name = "expect",
         .kind = Kind::many,
         .meaning = "What must hold.",
         .settings = {k::expect::name, k::expect::of, k::expect::on, k::expect::least, k::expect::most,
                      k::expect::within},
         .unique = "name",
         .most_rows = 100}};
    return Schema(std::move(tables),
                  {{{"experiment.name"}, "The file says what is asked.", no_experiment},
                   {{"class.name"}, "There is a class of calls.", no_class},
                   {{"trouble.kind", "trouble.on", "expect.on", "servers.count"},
                    "What is named is there.",
                    known_target},
                   {{"trouble.kind", "postgres.rate"}, "A primary that is lost is there.", primary_to_lose},
                   {{"experiment.real", "experiment.lasts", "experiment.grid", "fleet.door", "trouble.kind",
                     "trouble.on", "trouble.size", "class.effect", "class.group", "class.window",
                     "servers.count", "clients.rate", "roster.mode", "roster.nonsense", "postgres.rate",
                     "real.servers", "real.lasts", "real.rate_share"},
                    "What is to be real can be played by stand-ins on one machine.",
                    real_can}});
}

std::variant<Plan, Faults> read_plan_text(std::string_view text) {
    return plan_of(settings::read_text(text, experiment_schema()));
}
std::variant<Plan, Faults> read_plan_file(const std::string& path) {
    return plan_of(settings::read_file(path, experiment_schema()));
}

void set(Values& values, const SettingPlace& place, Value value) {
    for (Row& row : values.parts()[place.table].rows) {
        if (place.row && row.label() != *place.row) continue;
        Row::Slot& slot = row.slots()[place.setting];
        slot.value = std::move(value);
        slot.given = true;
        return;
    }
}

std::string toml_of(const Values& values) {
    std::string text;
    const auto& tables = values.schema().tables();
    for (std::size_t t = 0; t < tables.size(); ++t) {
        const bool many = tables[t].kind == settings::Kind::many;
        for (const Row& row : values.parts()[t].rows) {
            std::string lines;
            for (std::size_t i = 0; i < row.slots().size(); ++i) {
                const Row::Slot& slot = row.slots()[i];
                if (!slot.given || !slot.value) continue;
                lines += tables[t].settings[i].name + " = " + settings::toml_of(*slot.value) + "\n";
            }
            if (lines.empty() && !many) continue;
            text += (text.empty() ? "" : "\n") + std::string(many ? "[[" : "[") + tables[t].name +
                    (many ? "]]\n" : "]\n") + lines;
        }
    }
    return text;
}

Experiment Plan::cell(std::size_t number) const {
    const Variant& variant = variants[number / seeds.size()];
    Experiment e = experiment_of(variant.values, seeds[number % seeds.size()]);
    e.variant = variant.name;
    return e;
}

Experiment experiment_of(const Values& values, std::uint64_t seed) {
    namespace k = keys;
    const auto whole = [&](const auto& key) { return static_cast<int>(values.get(key)); };
    Experiment e;
    e.name = values.get(k::experiment::name);
    e.question = values.get(k::experiment::question);
    e.seed = seed;
    e.lasts = values.get(k::experiment::lasts);
    e.settles = values.get(k::experiment::settles);
    e.grid = values.get(k::experiment::grid);
    e.real = values.get(k::experiment::real);
    e.real_part = {whole(k::real::balancers),         whole(k::real::servers),
                   values.get(k::real::lasts),        values.get(k::real::rate_share),
                   values.get(k::real::share_within), values.get(k::real::p50_within),
                   values.get(k::real::p99_within),   values.get(k::real::span_within)};
    e.fleet.balancers = whole(k::fleet::balancers);
    e.fleet.front_notices = values.get(k::fleet::front_notices);
    e.fleet.knows_start = values.get(k::fleet::knows_start);
    e.fleet.door = values.get(k::fleet::door);
    if (!values.rows("zone").empty()) e.fleet.zones.clear();
    for (const Row& row : values.rows("zone")) {
        e.fleet.zones.push_back(
            {row.get(k::zone::name), row.get(k::zone::traffic), row.get(k::zone::servers)});
    }
    for (const Row& row : values.rows("class")) {
        CallClass c;
        c.told.name = row.get(k::of_class::name);
        c.told.aim = row.get(k::of_class::aim);
        c.told.deadline = row.get(k::of_class::deadline);
        c.told.worth = row.get(k::of_class::worth);
        c.told.late_worth = row.get(k::of_class::late_worth);
        c.told.effect = row.get(k::of_class::effect);
        c.told.group = row.get(k::of_class::group);
        // Also of classes for which it means nothing: no guard may rest on its being zero there.
        c.told.window = row.get(k::of_class::window);
        c.share = row.get(k::of_class::share);
        c.work = draw_of(row.get(k::of_class::law), row.get(k::of_class::work), row.get(k::of_class::spread));
        e.classes.push_back(std::move(c));
    }
    for (const Row& row : values.rows("tenant")) {
        e.tenants.push_back(
            {{row.get(k::tenant::name), row.get(k::tenant::quota), row.get(k::tenant::fraction)},
             row.get(k::tenant::share)});
    }
    ServerModel& s = e.servers;
    s.count = whole(k::servers::count);
    s.cores = whole(k::servers::cores);
    s.speed_least = values.get(k::servers::speed_least);
    s.speed_most = values.get(k::servers::speed_most);
    s.waiting_room = whole(k::servers::waiting_room);
    s.connections = whole(k::servers::connections);
    s.handshake_work = values.get(k::servers::handshake_work);
    s.thrash_from = whole(k::servers::thrash_from);
    s.thrash_each = values.get(k::servers::thrash_each);
    s.cold_share = values.get(k::servers::cold_share);
    s.ramp = values.get(k::servers::ramp);
    s.fall_multiple = values.get(k::servers::fall_multiple);
    s.fall_span = values.get(k::servers::fall_span);
    s.report_every = values.get(k::servers::report_every);
    e.network = {values.get(k::network::local), values.get(k::network::between),
                 values.get(k::network::jitter), values.get(k::network::idle_close)};
    e.roster = {values.get(k::roster::mode), values.get(k::roster::late_least),
                values.get(k::roster::late_most), values.get(k::roster::answers),
                values.get(k::roster::nonsense)};
    ClientModel& c = e.clients;
    c.count = whole(k::clients::count);
    c.rate = values.get(k::clients::rate);
    c.patience_least = values.get(k::clients::patience);
    c.repeats = values.get(k::clients::repeats);
    c.repeats_most = whole(k::clients::repeats_most);
    c.wait = values.get(k::clients::wait);
    c.leave = values.get(k::clients::leave);
    c.shape = numbers(values.get(k::clients::shape)).value_or(std::vector<double>{1});
    e.postgres.rate = values.get(k::postgres::rate);
    e.postgres.standbys = whole(k::postgres::standbys);
    e.postgres.work.mean = values.get(k::postgres::work);
    e.postgres.deadline = values.get(k::postgres::deadline);
    Settings& m = e.module;
    m.max_attempts = whole(k::module::max_attempts);
    m.parallel_attempts = values.get(k::module::parallel_attempts);
    m.may_cancel = values.get(k::module::may_cancel);
    m.min_in_flight_per_upstream = values.get(k::module::fair_share);
    m.connect_timeout = values.get(k::module::connect_timeout);
    m.retry_after = values.get(k::module::retry_after);
    m.max_retry_after = values.get(k::module::max_retry_after);
    m.drain_grace = values.get(k::module::drain_grace);
    m.answer_slack = values.get(k::module::answer_slack);
    m.ask_within = values.get(k::module::ask_within);
    for (const Row& row : values.rows("trouble")) {
        e.troubles.push_back({row.get(k::trouble::name), row.get(k::trouble::kind), row.get(k::trouble::at),
                              row.get(k::trouble::lasts), row.get(k::trouble::share),
                              row.get(k::trouble::size), row.get(k::trouble::by), row.get(k::trouble::on)});
    }
    for (const Row& row : values.rows("expect")) {
        using Of = Expectation::Of;
        const Of of = row.get(k::expect::of);
        const bool least = of == Of::served || of == Of::answered;
        e.expectations.push_back({of, row.get(k::expect::on),
                                  least ? row.get(k::expect::least) : row.get(k::expect::most),
                                  row.get(k::expect::within)});
    }
    return e;
}

}  // namespace flaxdoor::lab
