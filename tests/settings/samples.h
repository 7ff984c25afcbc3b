// A schema with every type of setting and every kind of table, independent of the product's schema, and test
// helpers.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "settings/reader.h"

namespace flaxdoor::settings::samples {

enum class Colour { red, green, dark_blue };
inline constexpr std::array<std::string_view, 3> colours{"red", "green", "dark_blue"};
inline constexpr std::array<std::string_view, 2> two_names{"left", "right"};

inline constexpr Key<bool> on{
    {.table = "all", .name = "on", .fallback = true, .takes = Takes::reload, .meaning = "A truth."}};
inline constexpr Key<std::int64_t> least{
    {.table = "all", .name = "least", .fallback = 1, .least = -5, .most = 100, .meaning = "A number."}};
inline constexpr Key<std::int64_t> most{{.table = "all",
                                         .name = "most",
                                         .fallback = 10,
                                         .least = -5,
                                         .most = 100,
                                         .takes = Takes::reload,
                                         .meaning = "A number."}};
inline constexpr Key<double> ratio{{.table = "all",
                                    .name = "ratio",
                                    .fallback = 0.5,
                                    .least = -1,
                                    .most = 2,
                                    .takes = Takes::reload,
                                    .meaning = "A ratio."}};
inline constexpr Key<Micros> pause{{.table = "all",
                                    .name = "pause",
                                    .fallback = std::chrono::seconds(3),
                                    .least = std::chrono::milliseconds(1),
                                    .most = std::chrono::hours(1),
                                    .takes = Takes::reload,
                                    .meaning = "A span."}};
inline constexpr Key<Bytes> room{{.table = "all",
                                  .name = "room",
                                  .fallback = kibibytes(64),
                                  .least = kibibytes(1),
                                  .most = mebibytes(1),
                                  .meaning = "A size."}};
inline constexpr Key<std::string> label{
    {.table = "all", .name = "label", .fallback = "one", .least = 1, .most = 5, .meaning = "A text."}};
inline constexpr Key<Colour> colour{
    {.table = "all", .name = "colour", .fallback = Colour::green, .words = colours, .meaning = "A choice."}};
inline constexpr Key<Address> peer{
    {.table = "all", .name = "peer", .fallback = "127.0.0.1:5432", .meaning = "An address."}};
inline constexpr Key<Path> file{{.table = "all", .name = "file", .fallback = "a/b", .meaning = "A path."}};
inline constexpr Key<std::vector<std::string>> names{
    {.table = "all", .name = "names", .fallback = two_names, .least = 1, .most = 3, .meaning = "Names."}};
inline constexpr OptionalKey<Micros> limit{{.table = "all", .name = "limit", .meaning = "A span or none."}};

inline constexpr Key<Address> server{{.table = "store", .name = "server", .meaning = "Must be given."}};
inline constexpr Key<std::int64_t> links{
    {.table = "store", .name = "links", .fallback = 2, .takes = Takes::reload, .meaning = "A number."}};

inline constexpr Key<std::string> name{
    {.table = "route", .name = "name", .most = 20, .meaning = "Its name."}};
inline constexpr Key<std::int64_t> share{
    {.table = "route", .name = "share", .fallback = 1, .takes = Takes::reload, .meaning = "Its share."}};
inline constexpr Key<Path> prefix{
    {.table = "route", .name = "prefix", .fallback = "/", .meaning = "Its path."}};

inline std::optional<Objection> check_order(const Row& row) {
    if (row.get(least) <= row.get(most)) return std::nullopt;
    return Objection{"least must not exceed most", "raise most"};
}

inline std::optional<Objection> check_shares(const Values& values) {
    std::int64_t sum = 0;
    for (const Row& row : values.rows("route")) sum += row.get(share);
    if (sum <= 100 * values.get(most)) return std::nullopt;
    return Objection{"the shares exceed a hundred times all.most", "lower a share"};
}

inline Schema schema(Takes presence = Takes::reload) {
    Table all{.name = "all",
              .meaning = "Every type.",
              .settings = {on, least, most, ratio, pause, room, label, colour, peer, file, names, limit},
              .checks = {{{"least", "most"}, "`least` must not exceed `most`.", check_order}}};
    Table store{.name = "store",
                .kind = Kind::optional,
                .meaning = "May be off.",
                .settings = {server, links},
                .presence_takes = presence};
    Table route{.name = "route",
                .kind = Kind::many,
                .meaning = "Rows.",
                .settings = {name, share, prefix},
                .presence_takes = presence,
                .unique = "name",
                .most_rows = 4};
    return Schema({all, store, route}, {{{"route.share", "all.most"}, "Shares fit.", check_shares}});
}

inline Values read(const std::string& text, const Schema& schema) {
    Reading reading = read_text(text, schema);
    if (const auto* faults = std::get_if<Faults>(&reading)) {
        ADD_FAILURE() << "not accepted:\n" << text << "\n" << faults->text("it");
        return Values(schema);
    }
    return std::get<Values>(std::move(reading));
}

// Returns all faults as lines, with "F" as the file name; empty if the text is accepted.
inline std::string faults_of(const std::string& text, const Schema& schema) {
    const Reading reading = read_text(text, schema);
    const auto* faults = std::get_if<Faults>(&reading);
    return faults ? faults->text("F") : std::string();
}

inline std::string content_of(const std::filesystem::path& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) ADD_FAILURE() << "cannot read " << path;
    return {std::istreambuf_iterator<char>(in), {}};
}

inline std::vector<std::filesystem::path> files_in(const std::filesystem::path& folder) {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".toml") files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

}  // namespace flaxdoor::settings::samples
