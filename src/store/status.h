// Outcome of a store operation, classified by what the caller can do about it. Plain values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace flaxdoor::store {

enum class Status {
    ok,
    retry,    // nothing was done because the queue or the disk is full; a later try may succeed
    refused,  // nothing was done and a repetition fails as well; `why` states the reason
    unknown,  // a sync failed: the change may or may not be present after the next opening
    corrupt,  // stored data cannot be read; `why` names the file and the offset
};
[[nodiscard]] std::string_view text_of(Status status);

struct [[nodiscard]] Result {
    Status status = Status::ok;
    std::string why;

    explicit operator bool() const { return status == Status::ok; }
    static Result ok() { return {}; }
    static Result retry(std::string why) { return {Status::retry, std::move(why)}; }
    static Result refused(std::string why) { return {Status::refused, std::move(why)}; }
    static Result unknown(std::string why) { return {Status::unknown, std::move(why)}; }
    static Result corrupt(std::string why) { return {Status::corrupt, std::move(why)}; }
};

}  // namespace flaxdoor::store
