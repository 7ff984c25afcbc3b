#include "coordinator/grant_log.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

#include "coordinator/fields.h"

namespace flaxdoor::coordinator {

GrantLog::~GrantLog() {
    if (fd_ >= 0) ::close(fd_);
}

int GrantLog::open(const std::string& path) {
    fd_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    return fd_ < 0 ? errno : 0;
}

int GrantLog::write(const budget::LeaseRequest& request, const budget::LeaseReply& reply, Time now,
                    Time until) {
    std::string lines;
    for (const budget::Grant& grant : reply.grants) {
        lines += text_of_json({{"time_us", now.count()},
                               {"holder", request.holder},
                               {"instance", request.instance},
                               {"epoch", reply.epoch},
                               {"seq", reply.seq},
                               {"until_us", until.count()},
                               {"budget", grant.budget},
                               {"share", json_of(grant.share)}}) +
                 "\n";
    }
    if (lines.empty()) return 0;
    struct stat before {};
    if (::fstat(fd_, &before) != 0) return errno;
    const auto written = ::write(fd_, lines.data(), lines.size());
    if (written == static_cast<ssize_t>(lines.size())) return 0;
    const int error = written < 0 ? errno : ENOSPC;
    if (written > 0 && ::ftruncate(fd_, before.st_size) != 0) return errno;
    return error;
}

}  // namespace flaxdoor::coordinator
