// Trace files: what is written is read; what was cut or changed is told, and what is read before is a
// beginning.
#define XXH_INLINE_ALL
#include <gtest/gtest.h>
#include <xxhash.h>

#include <cstdlib>
#include <sstream>
#include <vector>

#include "random/stream.h"
#include "trace/file.h"
#include "world.h"

namespace flaxdoor::lab {
namespace {

// Records of all kinds, with small and with the largest numbers.
std::vector<Record> drawn(std::uint64_t seed, std::size_t n) {
    Stream stream(seed, Whose::hunt, 1);
    std::vector<Record> records;
    std::uint64_t at = 0;
    const auto number = [&] { return stream() >> stream.below(65) % 64; };
    for (std::size_t i = 0; i < n; ++i) {
        at += stream.chance(0.3) ? 0 : stream.below(1000);
        records.push_back({at, static_cast<Event>(stream.below(event_kinds)),
                           static_cast<std::uint32_t>(number()), static_cast<std::uint32_t>(number()),
                           stream.chance(0.2) ? 0 : number(), stream.chance(0.5) ? 0 : number(),
                           stream.chance(0.5) ? 0 : number()});
    }
    return records;
}

struct Written {
    std::string bytes;
    TraceWriter::Done done;
};

Written written(const Terms& terms, const std::vector<Record>& records) {
    std::ostringstream out;
    TraceWriter writer(out, terms);
    for (const Record& record : records) writer.put(record);
    const auto done = writer.finish();
    EXPECT_TRUE(done);
    return {out.str(), done.value_or(TraceWriter::Done{})};
}

struct Back {
    std::optional<Terms> terms;
    std::vector<Record> records;
    bool whole = false;
    Damage damage;
    Digest digest;
};

Back read_back(const std::string& bytes) {
    std::istringstream in(bytes);
    TraceReader reader(in);
    Back back;
    back.terms = reader.head();
    Record record;
    TraceReader::Next next;
    while ((next = reader.next(record)) == TraceReader::Next::record) back.records.push_back(record);
    back.whole = next == TraceReader::Next::end;
    EXPECT_EQ(reader.next(record), next) << "it stays so";
    back.damage = reader.damage();
    back.digest = reader.digest();
    return back;
}

// CI plays the short form of what takes long; FLAXDOOR_LAB_LONG=1 plays all of it.
bool in_full() {
    const char* const asked = std::getenv("FLAXDOOR_LAB_LONG");
    return asked && std::string_view(asked) == "1";
}

bool begins(const std::vector<Record>& all, const std::vector<Record>& beginning) {
    return beginning.size() <= all.size() && std::equal(beginning.begin(), beginning.end(), all.begin());
}

TEST(TraceFile, ReadsWhatWasWritten) {
    const Terms terms = terms_of_tests();
    for (const std::size_t n : {0U, 1U, 2U, 100U, 20000U}) {
        const std::vector<Record> records = drawn(n, n);
        const Written file = written(terms, records);
        const Back back = read_back(file.bytes);
        ASSERT_TRUE(back.whole) << n << ": " << back.damage.text();
        EXPECT_EQ(back.terms, terms);
        EXPECT_EQ(back.records, records) << n;
        EXPECT_EQ(back.digest, file.done.digest);
        EXPECT_EQ(file.done.records, n);
        EXPECT_EQ(file.done.bytes, file.bytes.size());

        DigestSink sink;
        for (const Record& record : records) sink.put(record);
        EXPECT_EQ(sink.finish(), file.done.digest);
        EXPECT_EQ(sink.records(), n);
    }
}

// Everywhere the same: a format that changed must say so by its version.
TEST(TraceFile, HasAKnownDigest) {
    DigestSink sink;
    for (const Record& record : drawn(7, 10000)) sink.put(record);
    EXPECT_EQ(sink.finish().text(), "e0f1aa04bbc804159ff1b889ebfd241c");
}

TEST(TraceFile, DigestTellsOneRecordFromAnother) {
    std::vector<Record> records = drawn(3, 50);
    const Digest digest = written({}, records).done.digest;
    records[20].b ^= 1;
    EXPECT_NE(written({}, records).done.digest, digest);
    EXPECT_NE(written({}, {}).done.digest, digest);
}

TEST(TraceFile, CutAtEveryByteIsTold) {
    const std::vector<Record> records = drawn(1, in_full() ? 300 : 80);
    const std::string whole = written(terms_of_tests(), records).bytes;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const Back back = read_back(whole.substr(0, size));
        ASSERT_FALSE(back.whole) << size;
        ASSERT_TRUE(begins(records, back.records)) << size;
        ASSERT_LE(back.damage.place, size);
        ASSERT_NE(back.damage.what, "");
    }
}

TEST(TraceFile, EveryFlippedByteIsTold) {
    const std::vector<Record> records = drawn(2, in_full() ? 100 : 30);
    const std::string whole = written(terms_of_tests(), records).bytes;
    for (std::size_t at = 0; at < whole.size(); ++at) {
        for (const int mask : {0x01, 0x80, 0xff}) {
            std::string bytes = whole;
            bytes[at] = static_cast<char>(bytes[at] ^ mask);
            const Back back = read_back(bytes);
            ASSERT_FALSE(back.whole) << at << " ^ " << mask;
            ASSERT_TRUE(begins(records, back.records)) << at;
            ASSERT_NE(back.damage.what, "");
        }
    }
}

// Blocks that change places, that come twice or that are left out, in a file of several.
TEST(TraceFile, BlocksInAnotherOrderAreTold) {
    const std::vector<Record> records = drawn(5, 20000);
    const std::string whole = written({}, records).bytes;
    const auto u32 = [&](std::size_t at) {
        std::uint32_t value = 0;
        for (unsigned i = 0; i < 4; ++i)
            value |= std::uint32_t{static_cast<unsigned char>(whole[at + i])} << 8 * i;
        return std::size_t{value};
    };
    const std::size_t first = 16 + u32(12) + 8;
    const std::size_t second = first + 16 + u32(first);
    const std::size_t third = second + 16 + u32(second);
    ASSERT_GT(u32(second), 0U) << "several blocks";
    const std::string head = whole.substr(0, first);
    const std::string one = whole.substr(first, second - first);
    const std::string two = whole.substr(second, third - second);
    const std::string rest = whole.substr(third);
    ASSERT_TRUE(read_back(head + one + two + rest).whole);
    const std::string changed[] = {head + two + one + rest,
                                   head + one + one + two + rest,
                                   head + one + rest,
                                   head + two + rest,
                                   whole + '\0',
                                   whole + whole};
    for (const std::string& bytes : changed) {
        const Back back = read_back(bytes);
        EXPECT_FALSE(back.whole);
        EXPECT_TRUE(begins(records, back.records));
    }
}

TEST(TraceFile, DamageNamesItsPlace) {
    const std::string whole = written({}, drawn(6, 20000)).bytes;
    std::string bytes = whole;
    bytes[bytes.size() / 2] ^= 1;
    const Back back = read_back(bytes);
    ASSERT_FALSE(back.whole);
    EXPECT_LE(back.damage.place, bytes.size() / 2);
    EXPECT_GT(back.damage.place, bytes.size() / 2 - (70U << 10U)) << "the block in which it lies";
    EXPECT_EQ(back.damage.text(), "byte " + std::to_string(back.damage.place) + ": the block is damaged");
}

TEST(TraceFile, WhatIsNotKnownIsRefused) {
    EXPECT_EQ(read_back("GIF89a and more of it").damage.text(),
              "byte 0: no trace: it does not begin with \"flaxtrac\"");
    std::string newer = written({}, {}).bytes;
    newer[8] = 2;
    EXPECT_EQ(read_back(newer).damage.text(),
              "byte 8: version 2 of the format; this program knows version 1");
    // A kind of a later program, in a block that is whole.
    const Back back = read_back(
        written({}, {{1, Event::asked}, {2, static_cast<Event>(event_kinds)}, {3, Event::over}}).bytes);
    EXPECT_FALSE(back.whole);
    EXPECT_EQ(back.records.size(), 1U);
    EXPECT_NE(back.damage.what.find("record 1 is of an unknown kind, " + std::to_string(event_kinds)),
              std::string::npos)
        << back.damage.what;
}

TEST(TraceFile, TermsSayWhatDoesNotFit) {
    const std::string good = to_json(terms_of_tests());
    std::string error;
    ASSERT_EQ(terms_of_json(good, error), terms_of_tests()) << error;
    const struct {
        const char *from, *to, *error;
    } cases[] = {
        {"\"clients\":10", "\"clients\":-1", "clients: a whole number that fits is wanted"},
        {"\"clients\":10", "\"clients\":4294967296", "clients: a whole number that fits is wanted"},
        {"\"clients\":10,", "", "clients: is not there"},
        {"\"clients\":10", "\"clients\":10,\"more\":1", "more: unknown"},
        {"\"effect\":\"keyed\"", "\"effect\":\"often\"",
         "classes[1].effect: safe, keyed or unsafe is wanted"},
        {"\"by_zone\":true", "\"by_zone\":1", "classes[2].by_zone: true or false is wanted"},
        {"\"tenants\":[\"acme\"]", "\"tenants\":[3]", "tenants[0]: a text is wanted"},
        {"\"ramp_us\":", "\"ramp_us\":x", "no JSON"},
    };
    for (const auto& one : cases) {
        std::string text = good;
        const std::size_t at = text.find(one.from);
        ASSERT_NE(at, std::string::npos) << one.from;
        text.replace(at, std::string(one.from).size(), one.to);
        EXPECT_EQ(terms_of_json(text, error), std::nullopt) << one.to;
        EXPECT_EQ(error, one.error);
    }
}

// A file made here by the page, of a block with these bytes: its checksums are right whatever they are.
std::string sealed(const std::string& block, std::uint32_t records) {
    const auto number = [](std::uint64_t value, unsigned size) {
        std::string bytes;
        for (unsigned i = 0; i < size; ++i) bytes.push_back(static_cast<char>(value >> 8 * i));
        return bytes;
    };
    const auto hash = [](const std::string& bytes, std::uint64_t seed) {
        return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
    };
    const std::string terms = to_json({});
    std::string head = "flaxtrac" + number(1, 4) + number(terms.size(), 4) + terms;
    head += number(hash(head, 0), 8);
    const std::string sizes = number(block.size(), 4) + number(records, 4);
    const std::string body = sizes + number(hash(block, hash(sizes, 0)), 8) + block;
    const std::string zeros(8, '\0');
    const XXH128_hash_t digest = XXH3_128bits(block.data(), block.size());
    const std::string sum = number(records, 8) + number(digest.high64, 8) + number(digest.low64, 8);
    return head + body + zeros + number(hash("", hash(zeros, 1)), 8) + sum + number(hash(sum, 1), 8);
}

TEST(TraceFile, IsAsItsPageSays) {
    const std::vector<Record> records{{5, Event::asked, 7, 0, 300, 100000, 0},
                                      {5, Event::repeats, 7, 0, 299, 1, 0},
                                      {205, Event::over, 0, 0, 0, 0, 0}};
    const std::string bytes =
        std::string("\x00\x0d\x05\x07\xd8\x04\xa0\x8d\x06", 9) +  // 1 + 4 + 8; 2 x 300; 100,000
        std::string("\x01\x0d\x00\x07\x01\x01", 6) +              // one back: 2 x 1 - 1
        std::string(1, static_cast<char>(Event::over)) + std::string("\x00\xc8\x01", 3);
    EXPECT_EQ(written({}, records).bytes, sealed(bytes, 3));
    EXPECT_EQ(read_back(sealed(bytes, 3)).records, records);
}

// Blocks whose checksum is right and whose bytes are anything: refused or read, and what is read can be
// written.
TEST(TraceFile, AnyBytesInAWholeBlockAreReadOrRefused) {
    const std::string good = [] {
        Blocks blocks;
        for (const Record& record : drawn(8, 20)) EXPECT_FALSE(blocks.add(record));
        return std::string(blocks.take().bytes);
    }();
    Stream stream(9, Whose::hunt, 1);
    std::size_t whole = 0, refused = 0;
    const int times = in_full() ? 20000 : 3000;
    for (int i = 0; i < times; ++i) {
        std::string bytes = good;
        for (std::uint64_t n = 1 + stream.below(3); n > 0; --n) {
            bytes[stream.below(bytes.size())] = static_cast<char>(stream.below(256));
        }
        if (stream.chance(0.2)) bytes.resize(1 + stream.below(bytes.size()));
        const auto records = static_cast<std::uint32_t>(stream.chance(0.9) ? 20 : 1 + stream.below(30));
        const Back back = read_back(sealed(bytes, records));
        ++(back.whole ? whole : refused);
        EXPECT_EQ(read_back(written({}, back.records).bytes).records, back.records);
        if (!back.whole) {
            EXPECT_NE(back.damage.what.find("the block is whole, but record"), std::string::npos)
                << back.damage.text();
        }
    }
    EXPECT_GT(whole, 150U);
    EXPECT_GT(refused, 150U);
}

// A stream that breaks: the writer says so at its end.
TEST(TraceFile, AWriterSaysThatItsStreamFailed) {
    std::ostringstream out;
    TraceWriter writer(out, {});
    writer.put({1, Event::asked});
    out.setstate(std::ios::badbit);
    writer.put({2, Event::over});
    EXPECT_EQ(writer.finish().has_value(), false);
}

}  // namespace
}  // namespace flaxdoor::lab
