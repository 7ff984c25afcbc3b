#include "store/manifest.h"

#include "store/coding.h"

namespace flaxdoor::store {

namespace {

constexpr std::string_view manifest_magic = "flaxsman";
constexpr std::uint32_t version = 1;
constexpr std::size_t min_bytes = 80;

}  // namespace

std::string encode(const Manifest& manifest) {
    std::string out(manifest_magic);
    put_u32(out, version);
    put_u32(out, static_cast<std::uint32_t>(manifest.runs.size()));
    put_identity(out, manifest.identity);
    put_u64(out, manifest.number);
    put_u64(out, manifest.log);
    put_u64(out, manifest.sequence);
    put_u64(out, manifest.synced);
    put_u64(out, manifest.next_file);
    for (const RunMetadata& run : manifest.runs) {
        put_u64(out, run.number);
        out.push_back(static_cast<char>(run.level));
        put_u64(out, run.size);
        put_text(out, run.first);
        put_text(out, run.last);
    }
    put_u64(out, hash_of(out, 0));
    return out;
}

Decoded decode_manifest(std::string_view bytes) {
    Decoded decoded;
    if (bytes.size() < min_bytes || bytes.substr(0, manifest_magic.size()) != manifest_magic) return decoded;
    const std::string_view body = bytes.substr(0, bytes.size() - 8);
    if (hash_of(body, 0) != u64_at(bytes, body.size())) return decoded;
    if (u32_at(bytes, 8) > version) {
        decoded.newer_version = true;
        return decoded;
    }
    if (u32_at(bytes, 8) != version) return decoded;
    Manifest manifest;
    Reader reader(body.substr(manifest_magic.size() + 4));
    const std::uint32_t run_count = reader.u32();
    manifest.identity = identity_at(reader.bytes(16), 0);
    manifest.number = reader.u64();
    manifest.log = reader.u64();
    manifest.sequence = reader.u64();
    manifest.synced = reader.u64();
    manifest.next_file = reader.u64();
    for (std::uint32_t i = 0; i < run_count && reader.good(); ++i) {
        RunMetadata run;
        run.number = reader.u64();
        run.level = reader.u8();
        run.size = reader.u64();
        run.first = reader.text();
        run.last = reader.text();
        manifest.runs.push_back(std::move(run));
    }
    if (reader.good() && reader.empty()) decoded.manifest = std::move(manifest);
    return decoded;
}

}  // namespace flaxdoor::store
