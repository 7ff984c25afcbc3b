// A folder with anything in it: the store opens or says why not; what opens can be read, written, merged and
// checked without a crash or an end; and salvage makes a store that opens of whatever is there.
//
// The input is a list of changes to a good store, so that what lies deeper is reached: hashes are put right
// again where it says so.
#include <cstdint>
#include <memory>
#include <string>

#include "fuzz/require.h"
#include "store/coding.h"
#include "store/engine.h"
#include "store/log.h"
#include "store/sim_files.h"

using namespace flaxdoor::store;
using flaxdoor::store::test::Image;
using flaxdoor::store::test::SimFiles;

using flaxdoor::fuzz::require;

namespace {

Engine::Chance counting() {
    auto next = std::make_shared<std::uint64_t>(1);
    return [next] { return *next += 0x9e3779b97f4a7c15; };
}

EngineOptions small() {
    EngineOptions options;
    options.memory_table = 2000;
    options.log = 4000;
    options.cache = 4000;
    options.run_bytes = 700;
    options.step_bytes = 2000;
    options.merge_at = 3;
    options.level_bytes = 2000;
    return options;
}

// Runs on two levels and two logs with records.
Image good_store() {
    SimFiles files;
    auto opened = Engine::open(files, small(), counting());
    Engine& engine = *opened.engine;
    SpaceId keys = 0, streams = 0;
    require(bool(engine.space("keys", SpaceKind::keys, true, keys)), "space");
    require(bool(engine.space("streams", SpaceKind::streams, true, streams)), "space");
    for (int i = 0; i < 44; ++i) {
        Batch batch;
        batch.put(keys, "key" + std::to_string(i % 20), std::string(static_cast<std::size_t>(i), 'v'));
        batch.erase(keys, "key" + std::to_string(i % 7));
        batch.append(streams, "s", std::to_string(i));
        if (i % 6 == 5) batch.trim(streams, "s", static_cast<std::uint64_t>(i / 2));
        const Batch* const one = &batch;
        (void)engine.write(std::span(&one, 1), true);
        if (i < 36) {
            while (engine.has_work()) (void)engine.step().status;
        }
    }
    return files.disk().visible();
}

void restate(std::string& bytes, std::size_t from, std::size_t to, std::size_t at, std::uint64_t seed) {
    if (from > to || to > bytes.size() || at > bytes.size() || bytes.size() - at < 8) return;
    std::string hash;
    put_u64(hash, hash_of(std::string_view(bytes).substr(from, to - from), seed));
    bytes.replace(at, 8, hash);
}

// Hashes of what could be read of the file, made right.
void mend(const std::string& name, std::string& bytes) {
    const std::size_t size = bytes.size();
    if (name == "IDENTITY") restate(bytes, 0, 32, 32, 0);
    if (name.ends_with(".manifest") && size >= 8) restate(bytes, 0, size - 8, size - 8, 0);
    if (name.ends_with(".log") && size >= log_header_bytes) {
        restate(bytes, 0, 56, 56, 0);
        const std::uint64_t salt = u64_at(bytes, 40);
        for (std::size_t at = log_header_bytes; at + record_header_bytes <= size;) {
            const std::size_t end = at + record_header_bytes + u32_at(bytes, at + 8);
            if (end > size) break;
            restate(bytes, at + 8, end, at, salt);
            at = (end + 7) / 8 * 8;
        }
    }
    if (name.ends_with(".run") && size >= 112) {
        const std::size_t footer = size - 112;
        restate(bytes, footer, footer + 96, footer + 96, 0);
        const std::uint64_t salt = u64_at(bytes, footer + 56);
        const auto piece = [&](std::uint64_t at, std::uint64_t length) {
            if (at < size && length < size - at) restate(bytes, at, at + length, at + length, salt);
        };
        const std::uint64_t index_at = u64_at(bytes, footer), index_length = u64_at(bytes, footer + 8);
        if (index_at < size && index_length < size - index_at) {
            const std::string index = bytes.substr(index_at, index_length);
            Reader reader(index);
            while (reader.good() && !reader.empty()) {
                (void)reader.text();
                const std::uint64_t at = reader.varint();
                const std::uint64_t length = reader.varint();
                if (reader.good()) piece(at, length);
            }
        }
        piece(index_at, index_length);
        piece(u64_at(bytes, footer + 16), u64_at(bytes, footer + 24));
    }
}

// Each change: what, which file, where, with what.
Image changed(const Image& good, std::string_view input) {
    Image image = good;
    Reader reader(input);
    while (reader.good() && !reader.empty() && !image.empty()) {
        const std::uint8_t what = reader.u8();
        auto at_file = image.begin();
        std::advance(at_file, reader.u8() % image.size());
        const std::string name = at_file->first;
        std::string& bytes = at_file->second;
        const std::size_t at = bytes.empty() ? 0 : reader.u32() % 0x10000 % (bytes.size() + 1);
        const std::string_view with = reader.bytes(std::min<std::size_t>(reader.u8(), reader.left()));
        switch (what % 10) {
            case 0: bytes.replace(at, std::min(with.size(), bytes.size() - at), with); break;
            case 1: bytes.insert(at, with); break;
            case 2: bytes.resize(at); break;
            case 3: bytes.erase(at, with.size()); break;
            case 4: image.erase(name); break;
            case 5: image[name_of(at % 200, with.size() % 2 == 0 ? "log" : "manifest")] = bytes; break;
            case 6: image[name_of(at % 200, "run")] = bytes; break;
            case 7: bytes += bytes.substr(at); break;
            case 8: image[std::string(with)] = "x"; break;
            case 9: mend(name, bytes); break;
        }
        if (what >= 128 && image.contains(name)) mend(name, image[name]);
        if (image.size() > 60) break;
    }
    return image;
}

void use(Engine& engine) {
    for (const auto& [name, kind] :
         {std::pair{"keys", SpaceKind::keys}, std::pair{"streams", SpaceKind::streams}}) {
        SpaceId id = 0;
        if (!engine.space(name, kind, true, id)) continue;
        Batch batch;
        if (kind == SpaceKind::keys) {
            std::vector<Engine::Item> items;
            (void)engine.scan(id, "", "", 1000, items).status;
            std::optional<std::string> value;
            (void)engine.get(id, "key3", value).status;
            batch.put(id, "key5", "new");
        } else {
            std::vector<Engine::Element> elements;
            (void)engine.read_stream(id, "s", 0, 1000, elements).status;
            batch.append(id, "s", "new");
            batch.trim(id, "s", 60);
        }
        const Batch* const one = &batch;
        (void)engine.write(std::span(&one, 1), true);
    }
    engine.compact_all();
    int steps = 0;
    while (engine.has_work() && engine.step()) require(++steps < 10'000, "background work without an end");
    (void)engine.verify([](const std::string&) {}).status;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const Image good = good_store();
    const std::string input(reinterpret_cast<const char*>(data), size);
    const Image image = changed(good, input);
    {
        SimFiles files(image);
        auto opened = Engine::open(files, small(), counting());
        require(bool(opened.result) == bool(opened.engine), "an engine, or an error");
        if (opened.result.status == Status::corrupt) {
            require(files.operations().empty(), "a damaged store was changed: " + opened.result.why);
            require(opened.result.why.find(", offset ") != std::string::npos,
                    "no offset: " + opened.result.why);
        }
        if (opened.engine) {
            use(*opened.engine);
            opened.engine.reset();
            // What it has written, it can read.
            opened = Engine::open(files, small(), counting());
            require(bool(opened.result), "it does not open again: " + opened.result.why);
        }
    }
    SimFiles from(image), to;
    std::size_t lines = 0;
    const Result result = salvage(from, to, counting(), [&](const std::string&) { ++lines; });
    require(result || result.status == Status::refused, "salvage: " + result.why);
    require(from.operations().empty(), "salvage has changed what it reads");
    if (!result) return 0;
    auto opened = Engine::open(to, small(), counting());
    require(bool(opened.result), "what was salvaged does not open: " + opened.result.why);
    const Result verified = opened.engine->verify([](const std::string&) {});
    require(bool(verified), "what was salvaged is damaged: " + verified.why);
    use(*opened.engine);
    return 0;
}
