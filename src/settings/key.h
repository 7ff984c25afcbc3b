// Declares one setting as a constant. The parser, the checks, the settings page and the typed values are all
// derived from this declaration.
//
//     inline constexpr Key<Micros> idle_timeout{{.table = "http", .name = "idle_timeout",
//                                                .fallback = std::chrono::minutes(5), .least = ..., .most =
//                                                ..., .takes = Takes::reload, .meaning = "..."}};
//
// T is bool, std::int64_t, double, Micros, Bytes, std::string, Address, Path, std::vector<std::string>, or an
// enum. For an enum, `words` holds the name of each enumerator in order; the enumerators are numbered from 0.
// A contradictory declaration does not compile.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "settings/types.h"

namespace flaxdoor::settings {

struct Unbounded {
    friend constexpr auto operator<=>(const Unbounded&, const Unbounded&) = default;
};

// Describes how a constant stores a value of T and how its range is expressed. The primary template covers
// enums.
template <class T>
struct SettingTraits {
    static_assert(std::is_enum_v<T>, "settings do not support this type");
    using Stored = T;
    using Bound = Unbounded;
    static constexpr Type type = Type::choice;
    static constexpr Bound least{}, most{};
    static constexpr bool in_range(const Stored&, const Bound&, const Bound&) { return true; }
};

template <class T, Type of>
struct NumberTraits {
    using Stored = T;
    using Bound = T;
    static constexpr Type type = of;
    static constexpr bool in_range(const Stored& value, const Bound& least, const Bound& most) {
        return value >= least && value <= most;
    }
};

template <>
struct SettingTraits<bool> {
    using Stored = bool;
    using Bound = Unbounded;
    static constexpr Type type = Type::boolean;
    static constexpr Bound least{}, most{};
    static constexpr bool in_range(const Stored&, const Bound&, const Bound&) { return true; }
};
template <>
struct SettingTraits<std::int64_t> : NumberTraits<std::int64_t, Type::integer> {
    static constexpr Bound least = 0, most = 1'000'000'000;
};
template <>
struct SettingTraits<double> : NumberTraits<double, Type::real> {
    static constexpr Bound least = 0, most = 1e9;
};
template <>
struct SettingTraits<Micros> : NumberTraits<Micros, Type::duration> {
    static constexpr Bound least{0}, most = std::chrono::hours(24);
};
template <>
struct SettingTraits<Bytes> : NumberTraits<Bytes, Type::bytes> {
    static constexpr Bound least{0}, most = mebibytes(1024);
};

// The range of a text is its length in bytes.
template <Type of>
struct TextTraits {
    using Stored = std::string_view;
    using Bound = std::int64_t;
    static constexpr Type type = of;
    static constexpr Bound least = 1, most = 1024;
    static constexpr bool in_range(const Stored& value, const Bound& least, const Bound& most) {
        return static_cast<Bound>(value.size()) >= least && static_cast<Bound>(value.size()) <= most;
    }
};
template <>
struct SettingTraits<std::string> : TextTraits<Type::text> {};
template <>
struct SettingTraits<Path> : TextTraits<Type::path> {};

// The range of an address is its port.
template <>
struct SettingTraits<Address> {
    using Stored = std::string_view;
    using Bound = std::int64_t;
    static constexpr Type type = Type::address;
    static constexpr Bound least = 1, most = 65535;
    static constexpr bool in_range(const Stored& value, const Bound&, const Bound&) {
        return value.find(':') != std::string_view::npos;
    }
};

// The range of a list is its number of entries. Each entry is a text of 1 to 1024 bytes.
template <>
struct SettingTraits<std::vector<std::string>> {
    using Stored = std::span<const std::string_view>;
    using Bound = std::int64_t;
    static constexpr Type type = Type::texts;
    static constexpr Bound least = 0, most = 64;
    static constexpr bool in_range(const Stored& value, const Bound& least, const Bound& most) {
        return static_cast<Bound>(value.size()) >= least && static_cast<Bound>(value.size()) <= most;
    }
};

template <class T>
struct Spec {
    std::string_view table{};
    std::string_view name{};
    std::optional<typename SettingTraits<T>::Stored> fallback{};  // the default value
    typename SettingTraits<T>::Bound least = SettingTraits<T>::least;
    typename SettingTraits<T>::Bound most = SettingTraits<T>::most;
    std::span<const std::string_view> words{};  // the allowed values of a choice
    std::string_view unit{};                    // the unit of an integer or a real number
    Takes takes = Takes::restart;
    std::string_view meaning{};  // one sentence
};

constexpr bool is_key_name(std::string_view name) {
    if (name.empty() || name.size() > 40) return false;
    for (const char c : name) {
        if (!(c >= 'a' && c <= 'z') && !(c >= '0' && c <= '9') && c != '_') return false;
    }
    return name.front() >= 'a';
}

// Checks a declaration. As all declarations are constants, the compiler evaluates these checks.
template <class T>
constexpr void check_spec(const Spec<T>& spec) {
    if (!is_key_name(spec.table) || !is_key_name(spec.name)) throw "names must be lower_case";
    if (spec.least > spec.most) throw "the range is empty";
    if (spec.fallback && !SettingTraits<T>::in_range(*spec.fallback, spec.least, spec.most))
        throw "default out of range";
    if (spec.meaning.size() < 2 || spec.meaning.back() != '.') throw "the meaning must be a sentence";
    if ((SettingTraits<T>::type == Type::choice) == spec.words.empty())
        throw "a choice, and no other type, must have words";
    if constexpr (std::is_enum_v<T>) {
        if (spec.fallback && static_cast<std::size_t>(*spec.fallback) >= spec.words.size()) {
            throw "the default has no word";
        }
    }
}

// A setting that always has a value. If it has no default, the file must set it in every [[row]], or in its
// table if the file has that table.
template <class T>
class Key {
public:
    constexpr explicit Key(const Spec<T>& spec) : spec_(spec) { check_spec(spec); }
    constexpr const Spec<T>& spec() const { return spec_; }
    // Returns "table.name".
    std::string text() const { return std::string(spec_.table) + "." + std::string(spec_.name); }

private:
    Spec<T> spec_;
};

// A setting that may be omitted and then has no value.
template <class T>
class OptionalKey {
public:
    constexpr explicit OptionalKey(const Spec<T>& spec) : spec_(spec) {
        check_spec(spec);
        if (spec.fallback) throw "an optional setting has no default";
    }
    constexpr const Spec<T>& spec() const { return spec_; }
    std::string text() const { return std::string(spec_.table) + "." + std::string(spec_.name); }

private:
    Spec<T> spec_;
};

}  // namespace flaxdoor::settings
