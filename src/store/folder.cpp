#include "store/folder.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "store/coding.h"

namespace flaxdoor::store {

Result file_error(std::string_view what, int error) {
    std::string why = std::string(what) + ": " + std::strerror(error);
    const bool permanent = error == EROFS || error == EACCES || error == EPERM;
    return permanent ? Result::refused(std::move(why)) : Result::retry(std::move(why));
}

Result read_file(Files& files, const std::string& name, std::uint64_t max_bytes, std::string& bytes) {
    std::unique_ptr<File> file;
    if (const int error = files.open(name, file); error != 0) return file_error(name, error);
    std::uint64_t size = 0;
    if (const int error = file->size(size); error != 0) return file_error(name, error);
    if (size > max_bytes)
        return Result::corrupt(name + ", offset " + std::to_string(max_bytes) + ": " + std::to_string(size) +
                               " bytes, " + std::to_string(max_bytes) + " at most");
    if (const int error = file->read(0, size, bytes); error != 0) return file_error(name, error);
    return bytes.size() == size ? Result::ok()
                                : Result::retry(name + ": file became shorter while it was read");
}

Result list_store_files(Files& files, FolderFiles& found, std::vector<std::string>* unknown_names) {
    std::vector<std::string> names;
    if (const int error = files.list(names); error != 0) return file_error("folder", error);
    for (const std::string& name : names) {
        if (name == "LOCK" || name == "lost+found" || name.ends_with(".lost")) continue;
        if (name == "IDENTITY") {
            found.identity = true;
            continue;
        }
        const auto parsed = parse_file_name(name);
        auto* const numbers = !parsed                      ? nullptr
                              : parsed->kind == "log"      ? &found.logs
                              : parsed->kind == "run"      ? &found.runs
                              : parsed->kind == "manifest" ? &found.manifests
                                                           : nullptr;
        if (numbers) {
            numbers->push_back(parsed->number);
            found.max_number = std::max(found.max_number, parsed->number);
        } else if (unknown_names) {
            unknown_names->push_back(name);
        } else {
            return Result::refused("no store: the folder holds " + name);
        }
    }
    for (auto* numbers : {&found.logs, &found.runs, &found.manifests})
        std::sort(numbers->begin(), numbers->end());
    return Result::ok();
}

Result load_current_manifest(Files& files, const FolderFiles& found, const std::optional<Identity>& identity,
                             std::optional<Manifest>& manifest) {
    for (auto number = found.manifests.rbegin(); number != found.manifests.rend(); ++number) {
        const std::string name = name_of(*number, "manifest");
        std::string bytes;
        if (auto result = read_file(files, name, max_manifest_bytes, bytes); !result) return result;
        auto decoded = decode_manifest(bytes);
        if (decoded.newer_version) return Result::refused(name + ": written by a newer version");
        if (!decoded.manifest || decoded.manifest->number != *number) continue;
        if (identity && decoded.manifest->identity != *identity) continue;
        manifest = std::move(decoded.manifest);
        return Result::ok();
    }
    return Result::ok();
}

Result read_logs(Files& files, const FolderFiles& found, std::uint64_t min_number,
                 std::vector<LogBytes>& logs) {
    std::uint64_t remaining_bytes = max_total_log_bytes;
    for (const std::uint64_t number : found.logs) {
        if (number < min_number) continue;
        logs.push_back({name_of(number, "log"), number, {}});
        if (auto result = read_file(files, logs.back().name, remaining_bytes, logs.back().bytes); !result)
            return result;
        remaining_bytes -= logs.back().bytes.size();
    }
    return Result::ok();
}

}  // namespace flaxdoor::store
