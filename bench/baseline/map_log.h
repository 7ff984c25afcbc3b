// The floor of a store: a log that is appended to and synced, and a std::map under a lock. Nothing is checked
// when it is read back, nothing is ever taken out of the log, and all of it is in memory.
//
// Threading: any thread.   Ownership: its file.   Errors: std::system_error.
// Durable writes of several threads share a sync: one of them writes and syncs all that has come, the others
// wait. Format: a record is two lengths of 32 bits in the machine's order, the key, the value.
#pragma once

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace flaxdoor::bench {

class MapLog {
public:
    explicit MapLog(const std::string& folder) {
        std::filesystem::create_directories(folder);
        fd_ =
            checked(::open((folder + "/log").c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600), "open");
        read_back();
    }
    ~MapLog() { ::close(fd_); }
    MapLog(const MapLog&) = delete;
    MapLog& operator=(const MapLog&) = delete;

    void write(const std::vector<std::pair<std::string, std::string>>& pairs, bool durable) {
        std::unique_lock lock(mutex_);
        for (const auto& [key, value] : pairs) {
            const std::uint32_t sizes[] = {static_cast<std::uint32_t>(key.size()),
                                           static_cast<std::uint32_t>(value.size())};
            coming_.append(reinterpret_cast<const char*>(sizes), sizeof sizes);
            coming_ += key;
            coming_ += value;
            map_[key] = value;
        }
        const std::uint64_t mine = ++given_;
        sync_wanted_ = sync_wanted_ || durable;
        while (done_ < mine) {
            if (at_work_) {
                changed_.wait(lock);
            } else {
                hand_over(lock);
            }
        }
    }

    bool read(const std::string& key, std::string& value) {
        const std::lock_guard lock(mutex_);
        const auto found = map_.find(key);
        if (found == map_.end()) return false;
        value = found->second;
        return true;
    }

    std::uint64_t records() const { return records_; }

private:
    static int checked(int result, const char* call) {
        if (result < 0) throw std::system_error(errno, std::generic_category(), call);
        return result;
    }

    void hand_over(std::unique_lock<std::mutex>& lock) {
        at_work_ = true;
        const bool sync = std::exchange(sync_wanted_, false);
        const std::uint64_t all = given_;
        std::string bytes;
        bytes.swap(coming_);
        lock.unlock();
        for (std::string_view rest = bytes; !rest.empty();) {
            const auto wrote = ::write(fd_, rest.data(), rest.size());
            if (wrote < 0) throw std::system_error(errno, std::generic_category(), "write");
            rest.remove_prefix(static_cast<std::size_t>(wrote));
        }
        if (sync) checked(::fdatasync(fd_), "fdatasync");
        lock.lock();
        at_work_ = false;
        done_ = all;
        changed_.notify_all();
    }

    void read_back() {
        struct stat facts {};
        checked(::fstat(fd_, &facts), "fstat");
        std::string bytes(static_cast<std::size_t>(facts.st_size), '\0');
        for (std::size_t at = 0; at < bytes.size();) {
            const auto got = ::pread(fd_, bytes.data() + at, bytes.size() - at, static_cast<off_t>(at));
            if (got <= 0) throw std::system_error(errno, std::generic_category(), "pread");
            at += static_cast<std::size_t>(got);
        }
        std::uint32_t sizes[2];
        for (std::size_t at = 0; at + sizeof sizes <= bytes.size(); ++records_) {
            std::memcpy(sizes, bytes.data() + at, sizeof sizes);
            at += sizeof sizes;
            if (std::uint64_t{sizes[0]} + sizes[1] > bytes.size() - at) break;
            map_[bytes.substr(at, sizes[0])] = bytes.substr(at + sizes[0], sizes[1]);
            at += sizes[0] + sizes[1];
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::string> map_;
    std::string coming_;
    std::uint64_t given_ = 0, done_ = 0, records_ = 0;  // writes; writes whose bytes are where they should be
    bool at_work_ = false, sync_wanted_ = false;
    int fd_ = -1;
};

}  // namespace flaxdoor::bench
