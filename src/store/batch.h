// A group of changes that takes effect completely or not at all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::store {

using SpaceId = std::uint32_t;  // identifies a named space; Engine::space() returns it

// Limits of one batch, in bytes.
inline constexpr std::size_t max_key = 1024;
inline constexpr std::size_t max_value = 1024 * 1024;
inline constexpr std::size_t max_batch = 4 * 1024 * 1024;  // sum of all keys and values
// Largest number of operations in one batch.
inline constexpr std::size_t max_operations = 10'000;

class Batch {
public:
    enum class Kind : std::uint8_t { put, erase, append, trim };
    struct Operation {
        Kind kind = Kind::put;
        SpaceId space = 0;
        std::string key;           // key, or name of the stream for append and trim
        std::string value;         // for put and append
        std::uint64_t before = 0;  // for trim: elements below this position are removed
    };

    void put(SpaceId space, std::string_view key, std::string_view value) {
        add({Kind::put, space, std::string(key), std::string(value), 0});
    }
    void erase(SpaceId space, std::string_view key) { add({Kind::erase, space, std::string(key), {}, 0}); }
    // Appends an element to the end of a stream. Engine::Written::positions returns its position.
    void append(SpaceId space, std::string_view stream, std::string_view value) {
        add({Kind::append, space, std::string(stream), std::string(value), 0});
    }
    // Removes the elements below position `before`. Their positions are never reused.
    void trim(SpaceId space, std::string_view stream, std::uint64_t before) {
        add({Kind::trim, space, std::string(stream), {}, before});
    }

    const std::vector<Operation>& operations() const { return operations_; }
    std::size_t bytes() const { return bytes_; }
    bool empty() const { return operations_.empty(); }

private:
    void add(Operation operation) {
        bytes_ += operation.key.size() + operation.value.size();
        operations_.push_back(std::move(operation));
    }
    std::vector<Operation> operations_;
    std::size_t bytes_ = 0;
};

}  // namespace flaxdoor::store
