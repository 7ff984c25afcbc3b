#include "store/log.h"

#include <algorithm>

#include "store/coding.h"

namespace flaxdoor::store {

namespace {

constexpr std::string_view magic = "flaxslog";
constexpr std::uint32_t version = 1;

enum : std::uint8_t { kind_put = 1, kind_erase = 2 };

}  // namespace

std::string log_header(const Identity& identity, std::uint64_t number, std::uint64_t salt,
                       std::uint64_t synced) {
    std::string header(magic);
    put_u32(header, version);
    put_u32(header, 0);
    put_identity(header, identity);
    put_u64(header, number);
    put_u64(header, salt);
    put_u64(header, synced);
    put_u64(header, hash_of(header, 0));
    return header;
}

void RecordWriter::put(std::string_view key, std::string_view value) {
    payload_.push_back(static_cast<char>(kind_put));
    put_text(payload_, key);
    put_text(payload_, value);
    ++operations_;
}

void RecordWriter::erase(std::string_view key) {
    payload_.push_back(static_cast<char>(kind_erase));
    put_text(payload_, key);
    ++operations_;
}

void RecordWriter::finish(std::string& out, std::uint64_t salt, std::uint64_t first_sequence,
                          std::uint64_t synced) const {
    std::string record;
    record.reserve(record_header_bytes + payload_.size());
    put_u32(record, static_cast<std::uint32_t>(payload_.size()));
    put_u32(record, operations_);
    put_u64(record, first_sequence);
    put_u64(record, synced);
    record.append(payload_);
    put_u64(out, hash_of(record, salt));
    out.append(record);
    out.append((record_alignment - out.size() % record_alignment) % record_alignment, '\0');
}

bool read_operations(const Record& record, std::vector<LogOperation>& out) {
    out.clear();
    Reader reader(record.payload);
    for (std::uint32_t i = 0; i < record.operations; ++i) {
        LogOperation operation;
        const std::uint8_t kind = reader.u8();
        operation.put = kind == kind_put;
        operation.key = reader.text();
        if (operation.put) operation.value = reader.text();
        if (!reader.good() || operation.key.empty() || (kind != kind_put && kind != kind_erase)) return false;
        out.push_back(operation);
    }
    return reader.empty();
}

std::optional<Identity> identity_of_log(std::string_view bytes) {
    if (bytes.size() < log_header_bytes || bytes.substr(0, magic.size()) != magic) return std::nullopt;
    if (hash_of(bytes.substr(0, 56), 0) != u64_at(bytes, 56)) return std::nullopt;
    return identity_at(bytes, 16);
}

LogReader::LogReader(std::string_view bytes, const Identity& identity, std::uint64_t number) : bytes_(bytes) {
    if (bytes.size() < log_header_bytes || bytes.substr(0, magic.size()) != magic) return;
    if (hash_of(bytes.substr(0, 56), 0) != u64_at(bytes, 56)) return;
    newer_version_ = u32_at(bytes, 8) > version;
    if (!newer_version_ && (u32_at(bytes, 8) != version || u32_at(bytes, 12) != 0)) return;
    // Disk blocks that are reused may hold the header of a former file.
    if (identity_at(bytes, 16) != identity || u64_at(bytes, 32) != number) return;
    salt_ = u64_at(bytes, 40);
    synced_ = u64_at(bytes, 48);
    has_header_ = true;
}

std::uint64_t LogReader::stated_length(std::uint64_t offset) const { return u32_at(bytes_, offset + 8); }
std::uint64_t LogReader::stated_sequence(std::uint64_t offset) const { return u64_at(bytes_, offset + 16); }

std::optional<Record> LogReader::at(std::uint64_t offset) const {
    if (!has_header_ || newer_version_ || offset < log_header_bytes || offset > bytes_.size())
        return std::nullopt;
    const std::string_view rest = bytes_.substr(offset);
    if (rest.size() < record_header_bytes) return std::nullopt;
    Record record;
    record.offset = offset;
    const std::uint64_t length = u32_at(rest, 8);
    record.operations = u32_at(rest, 12);
    record.first_sequence = u64_at(rest, 16);
    record.synced = u64_at(rest, 24);
    if (length > rest.size() - record_header_bytes || length > max_record_bytes || record.operations == 0)
        return std::nullopt;
    const std::size_t record_bytes = record_header_bytes + length;
    if (hash_of(rest.substr(8, record_bytes - 8), salt_) != u64_at(rest, 0)) return std::nullopt;
    record.payload = rest.substr(record_header_bytes, length);
    const std::size_t padding = (record_alignment - record_bytes % record_alignment) % record_alignment;
    const std::string_view padding_bytes =
        rest.substr(record_bytes, std::min(padding, rest.size() - record_bytes));
    if (padding_bytes.size() != padding || padding_bytes.find_first_not_of('\0') != std::string_view::npos)
        return std::nullopt;
    record.end = offset + record_bytes + padding;
    return record;
}

}  // namespace flaxdoor::store
