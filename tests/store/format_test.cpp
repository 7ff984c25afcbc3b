// Compares the bytes of the files with the format in docs/store_format.md, encoded here by hand. Also reads
// a store that was written by format version 1 and is kept in golden/.
#include <gtest/gtest.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <filesystem>
#include <fstream>

#include "history.h"

namespace flaxdoor::store::test {
namespace {

std::string number(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = 0; i < bytes; ++i, value >>= 8) out.push_back(static_cast<char>(value & 0xff));
    return out;
}
std::string u8(std::uint64_t v) { return number(v, 1); }
std::string u32(std::uint64_t v) { return number(v, 4); }
std::string u64(std::uint64_t v) { return number(v, 8); }
std::string hash(const std::string& bytes, std::uint64_t seed = 0) {
    return u64(XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed));
}
std::string padded(std::string bytes) {
    while (bytes.size() % 8 != 0) bytes.push_back('\0');
    return bytes;
}

// Returns easily recognizable numbers: 0x0101..., 0x0202...
Engine::Chance recognizable_random(std::uint64_t first) {
    auto next = std::make_shared<std::uint64_t>(first);
    return [next] { return (*next)++ * 0x0101010101010101; };
}
std::uint64_t recognizable(std::uint64_t n) { return n * 0x0101010101010101; }

TEST(StoreFormat, ByteForByte) {
    const std::string zero(1, '\0'), one(1, '\1');
    SimFiles files;
    auto opened = Engine::open(files, {}, recognizable_random(1));
    ASSERT_TRUE(opened.result);
    SpaceId id = 0;
    ASSERT_TRUE(opened.engine->space("k", SpaceKind::keys, true, id));
    ASSERT_EQ(id, 1U);
    Batch batch;
    batch.put(id, "a", "value");
    batch.erase(id, "ab");
    ASSERT_TRUE(write(*opened.engine, batch).result);

    const Image first = files.disk().visible();
    ASSERT_EQ(first.size(), 3U);
    const std::string identity = u64(recognizable(1)) + u64(recognizable(2));
    std::string expected = "flaxstor" + u32(1) + u32(0) + identity;
    EXPECT_EQ(first.at("IDENTITY"), expected + hash(expected));

    // The log holds two records.
    expected = "flaxslog" + u32(1) + u32(0) + identity + u64(1) + u64(recognizable(3)) + u64(0);
    expected += hash(expected);
    const std::string space_key = zero + "nk";
    std::string payload = u8(1) + u8(3) + space_key + u8(2) + u8(1) + u8(1);
    std::string record = u32(payload.size()) + u32(1) + u64(1) + u64(0) + payload;
    expected += padded(hash(record, recognizable(3)) + record);
    payload = u8(1) + u8(2) + one + "a" + u8(5) + "value" + u8(2) + u8(3) + one + "ab";
    record = u32(payload.size()) + u32(2) + u64(2) + u64(1) + payload;
    expected += padded(hash(record, recognizable(3)) + record);
    EXPECT_EQ(first.at("0000000001.log"), expected);

    expected = "flaxsman" + u32(1) + u32(0) + identity + u64(2) + u64(1) + u64(0) + u64(0) + u64(3);
    EXPECT_EQ(first.at("0000000002.manifest"), expected + hash(expected));

    // After another opening the content of the log is in a run.
    opened.engine.reset();
    opened = Engine::open(files, {}, recognizable_random(7));
    ASSERT_TRUE(opened.result);
    const Image second = files.disk().visible();
    ASSERT_EQ(second.size(), 4U);
    const std::uint64_t salt = recognizable(7);
    const std::string block = u8(0) + u8(3) + u8(1 * 2 + 1) + u8(2) + space_key + u8(1) + u8(1) +  //
                              u8(0) + u8(2) + u8(2 * 2 + 1) + u8(5) + one + "a" + "value" +        //
                              u8(2) + u8(1) + u8(3 * 2) + "b";
    const std::string index = u8(3) + one + "ab" + u8(0) + u8(block.size());
    std::string bits(8, '\0');
    for (const std::string& key : {space_key, one + "a", one + "ab"}) {
        const std::uint64_t key_hash = XXH3_64bits_withSeed(key.data(), key.size(), 0);
        const std::uint64_t h1 = key_hash & 0xffffffff, h2 = (key_hash >> 32) | 1;
        for (std::uint64_t i = 0; i < 7; ++i) {
            const std::uint64_t bit = (h1 + i * h2) % 64;
            bits[bit / 8] = static_cast<char>(bits[bit / 8] | 1 << bit % 8);
        }
    }
    const std::string filter = u8(7) + bits;
    const std::string data = block + hash(block, salt);
    const std::string front = data + index + hash(index, salt) + filter + hash(filter, salt);
    std::string footer = u64(data.size()) + u64(index.size()) + u64(data.size() + index.size() + 8) +
                         u64(filter.size()) + u64(3) + u64(1) + u64(3) + u64(salt) + identity + u64(3) +
                         u32(1) + u32(0);
    footer += hash(footer) + "flaxsrun";
    ASSERT_EQ(footer.size(), 112U);
    EXPECT_EQ(second.at("0000000003.run"), front + footer);

    expected = "flaxslog" + u32(1) + u32(0) + identity + u64(4) + u64(recognizable(8)) + u64(1);
    EXPECT_EQ(second.at("0000000004.log"), expected + hash(expected));
    expected = "flaxsman" + u32(1) + u32(1) + identity + u64(5) + u64(4) + u64(3) + u64(3) + u64(6) +  //
               u64(3) + u8(0) + u64(front.size() + footer.size()) + u8(3) + space_key + u8(3) + one + "ab";
    EXPECT_EQ(second.at("0000000005.manifest"), expected + hash(expected));
}

// Golden files

std::string read_file(const std::filesystem::path& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

// Reads the committed folder. Its file "text" states the expected content.
TEST(StoreFormat, Version1IsRead) {
    const std::filesystem::path folder = STORE_GOLDEN "/1";
    Image image;
    std::string text;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        const std::string name = entry.path().filename();
        (name == "text" ? text : image[name]) = read_file(entry.path());
    }
    ASSERT_GE(image.size(), 5U);
    ASSERT_FALSE(text.empty());
    SimFiles files(image);
    auto opened = Engine::open(files, small_options(), counting(1));
    ASSERT_TRUE(opened.result) << opened.result.why;
    EXPECT_GT(opened.opening.records, 0U);
    EXPECT_EQ(text_of(*opened.engine, names()), text);
    EXPECT_TRUE(opened.engine->verify([](const std::string&) {}));
    // The store can be written.
    EXPECT_TRUE(write(*opened.engine, Changes{{Batch::Kind::put, "lists", "new", "x", 0}}).result);
    opened.engine->compact_all();
    ASSERT_TRUE(finish_work(*opened.engine));
}

}  // namespace
}  // namespace flaxdoor::store::test
