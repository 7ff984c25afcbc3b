// What the fuzz targets share: splits made from the input itself, so that what was found is found again.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "fuzz/require.h"
#include "http/drive.h"

namespace flaxdoor::http::test {

using fuzz::require;

inline void require_same(const std::string& a, const std::string& b, const char* what) {
    if (a == b) return;
    std::fprintf(stderr, "broken: %s\n---\n%s\n---\n%s\n---\n", what, a.c_str(), b.c_str());
    std::abort();
}

// Some two-way splits, some with more pieces, and for what is short one byte after the other.
inline std::vector<Pieces> splits_of(std::string_view bytes) {
    constexpr std::size_t two_way = 4;
    constexpr std::size_t more = 6;
    constexpr std::size_t short_most = 1024;
    std::mt19937 chance(static_cast<unsigned>(std::hash<std::string_view>{}(bytes)));
    std::uniform_int_distribution<std::size_t> at(0, bytes.size());
    std::vector<Pieces> splits;
    for (std::size_t i = 0; i < two_way; ++i) splits.push_back(pieces_of(bytes, {at(chance)}));
    for (const std::size_t pieces : {std::size_t{3}, more}) {
        std::vector<std::size_t> cuts;
        for (std::size_t i = 1; i < pieces; ++i) cuts.push_back(at(chance));
        splits.push_back(pieces_of(bytes, std::move(cuts)));
    }
    if (bytes.size() <= short_most) splits.push_back(bytes_of(bytes));
    return splits;
}

}  // namespace flaxdoor::http::test
