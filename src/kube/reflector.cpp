#include "kube/reflector.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "kube/json.h"

namespace flaxdoor::kube {

using Json = nlohmann::json;

namespace {

std::string text_at(const Json& object, const char* outer_name, const char* inner_name) {
    const auto outer = object.is_object() ? object.find(outer_name) : object.end();
    if (!object.is_object() || outer == object.end() || !outer->is_object()) return {};
    const auto inner = outer->find(inner_name);
    return inner == outer->end() || !inner->is_string() ? std::string() : inner->get<std::string>();
}

std::string key_of(const Json& object) {
    const std::string space = text_at(object, "metadata", "namespace");
    const std::string name = text_at(object, "metadata", "name");
    return space.empty() ? name : space + "/" + name;
}

// Resource versions are opaque by contract. All known servers use numbers; if both versions are numbers,
// their order distinguishes repeated events from new ones.
std::optional<std::uint64_t> number_of(const std::string& version) {
    std::uint64_t value = 0;
    const char* const end = version.data() + version.size();
    const auto [last, error] = std::from_chars(version.data(), end, value);
    return error == std::errc{} && last == end && !version.empty() ? std::optional(value) : std::nullopt;
}

bool older(const std::string& a, const std::string& b) {
    const auto first = number_of(a), second = number_of(b);
    return first && second && *first < *second;
}

std::string escaped(std::string_view text) {
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           c == '-' || c == '_' || c == '.' || c == '~';
        if (plain) {
            out += c;
        } else {
            const auto byte = static_cast<unsigned char>(c);
            out += '%';
            out += digits[byte >> 4];
            out += digits[byte & 15];
        }
    }
    return out;
}

}  // namespace

std::optional<Reflector::Call> Reflector::next(Time now, double chance) {
    if (calling_ || now < not_before_) return std::nullopt;
    Call call;
    call.watch = !relist_;
    call.target = options_.path + "?";
    if (!options_.selector.empty()) call.target += options_.selector + "&";
    if (call.watch) {
        // Randomizes the duration, so that the watches of many clients don't end at the same time.
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(options_.watch_for).count();
        const auto watch_seconds = seconds + static_cast<std::int64_t>(chance * static_cast<double>(seconds));
        call.target += "watch=1&allowWatchBookmarks=true&resourceVersion=" + escaped(version_) +
                       "&timeoutSeconds=" + std::to_string(std::max<std::int64_t>(watch_seconds, 1));
        call.limit = std::chrono::seconds(watch_seconds) + options_.silence;
    } else {
        call.target += "limit=" + std::to_string(options_.page);
        if (!continue_.empty()) call.target += "&continue=" + escaped(continue_);
        call.limit = options_.silence;
    }
    call.accept = "application/json";
    if (options_.metadata_only) {
        const std::string kind = call.watch ? "PartialObjectMetadata" : "PartialObjectMetadataList";
        call.accept = "application/json;as=" + kind + ";g=meta.k8s.io;v=v1,application/json";
    }
    calling_ = true;
    watch_call_ = call.watch;
    status_ = 0;
    retry_after_ = {};
    body_.clear();
    fault_.clear();
    progress_ = false;
    return call;
}

std::optional<Time> Reflector::due() const { return calling_ ? std::nullopt : std::optional(not_before_); }

void Reflector::on_status(int status, Micros retry_after) {
    status_ = status;
    retry_after_ = retry_after;
    watching_ = watch_call_ && status == 200;
    if (watching_) last_error_.clear();
}

void Reflector::on_body(std::string_view bytes) {
    if (!calling_ || !fault_.empty()) return;
    if (status_ != 200) {
        // Keeps only the first 4096 bytes of an error response.
        body_.append(bytes.substr(
            0, std::min<std::size_t>(bytes.size(), 4096 - std::min<std::size_t>(body_.size(), 4096))));
        return;
    }
    if (!watch_call_) {
        if (body_.size() + bytes.size() > options_.page_bytes) {
            fault_ = "a page of the list exceeds the size limit";
            return;
        }
        body_.append(bytes);
        return;
    }
    while (!bytes.empty() && fault_.empty()) {
        const auto end = bytes.find('\n');
        const auto piece = bytes.substr(0, end);
        if (body_.size() + piece.size() > options_.line_bytes) {
            fault_ = "an event exceeds the size limit";
            return;
        }
        body_.append(piece);
        if (end == std::string_view::npos) return;
        bytes.remove_prefix(end + 1);
        std::string line;
        line.swap(body_);
        if (!line.empty() && line != "\r") on_line(line);
    }
}

void Reflector::remember(const Json& object) {
    known_[key_of(object)] = {text_at(object, "metadata", "uid"),
                              text_at(object, "metadata", "resourceVersion")};
}

void Reflector::on_line(std::string_view line) {
    Json event = read_json(line);
    if (event.is_discarded() || !event.is_object() || !event.contains("object")) {
        fault_ = "received an invalid event";
        relist_ = true;  // the content of the event is lost
        return;
    }
    const auto type = event.find("type");
    const std::string event_type = type != event.end() && type->is_string() ? type->get<std::string>() : "";
    Json& object = event["object"];
    if (event_type == "ERROR") {
        const bool expired = object.is_object() && object.value("code", Json(0)) == 410;
        fault_ =
            expired ? "the server no longer has resource version " + version_ : "the server ended the watch";
        relist_ = true;
        continue_.clear();
        if (expired) progress_ = true;  // an expired version is no failure
        return;
    }
    const std::string version = text_at(object, "metadata", "resourceVersion");
    if (version.empty()) {
        fault_ = "received an event without a resourceVersion";
        relist_ = true;
        return;
    }
    progress_ = true;
    if (event_type == "BOOKMARK") {
        if (!older(version, version_)) version_ = version;
        return;
    }
    const std::string key = key_of(object);
    const std::string uid = text_at(object, "metadata", "uid");
    const auto known = known_.find(key);
    const bool same_object = known != known_.end() && known->second.uid == uid;
    if (event_type == "DELETED") {
        // An old event: an earlier object of this name was deleted, and the current object exists.
        if (!same_object && older(version, version_)) return;
        known_.erase(key);
        changes_.push_back({Change::Kind::erase, std::move(object), {}});
    } else if (event_type == "ADDED" || event_type == "MODIFIED") {
        if (same_object && known->second.version == version) return;  // repeated event
        if (older(version, version_) || (same_object && older(version, known->second.version))) {
            // The object has changed or was deleted since, or the server has another history. A new list
            // resolves it.
            fault_ = "received an older resource version";
            relist_ = true;
            return;
        }
        if (known == known_.end() && known_.size() >= options_.objects) {
            fault_ = "there are more than " + std::to_string(options_.objects) + " objects";
            return;
        }
        remember(object);
        changes_.push_back({Change::Kind::put, std::move(object), {}});
    } else {
        fault_ = "received an event of an unknown type";
        relist_ = true;
        return;
    }
    if (!older(version, version_)) version_ = version;
}

void Reflector::on_page() {
    Json page = read_json(body_);
    body_.clear();
    const auto items = page.is_object() ? page.find("items") : page.end();
    const bool readable = page.is_object() && items != page.end() && (items->is_array() || items->is_null());
    const std::string version = text_at(page, "metadata", "resourceVersion");
    if (!readable || version.empty()) {
        fault_ = "received an invalid list";
        return;
    }
    if (items->is_array()) {
        if (pages_.size() + items->size() > options_.objects) {
            fault_ = "there are more than " + std::to_string(options_.objects) + " objects";
            return;
        }
        for (Json& each : *items) pages_.push_back(std::move(each));
    }
    progress_ = true;
    if (list_version_.empty()) list_version_ = version;
    continue_ = text_at(page, "metadata", "continue");
    if (!continue_.empty()) return;
    // All pages belong to the version of the last page.
    version_ = version;
    list_version_.clear();
    known_.clear();
    for (const Json& each : pages_) remember(each);
    changes_.push_back({Change::Kind::list, {}, std::move(pages_)});
    pages_.clear();
    relist_ = false;
    listed_ = true;
    ++lists_;
}

void Reflector::call_ended(Time now, bool complete, const std::string& error, double chance) {
    if (!calling_) return;
    calling_ = watching_ = false;
    if (status_ == 410) {
        // The version or the continue token has expired. Lists again, the first time without delay.
        relist_ = true;
        continue_.clear();
        pages_.clear();
        list_version_.clear();
        version_.clear();
        if (failures_ == 0) {
            ++failures_;
            not_before_ = now;
            last_error_ = "the resource version has expired";
            return;
        }
        return fail(now, "the resource version has expired", chance);
    }
    if (status_ == 200 && fault_.empty() && complete && !watch_call_) on_page();
    if (status_ == 200 && fault_.empty() && (complete || watch_call_)) {
        // Watches normally end this way. An incomplete last line of a watch is discarded.
        if (!watch_call_ || progress_ || complete) failures_ = progress_ || !watch_call_ ? 0 : failures_;
        body_.clear();
        if (watch_call_ && !progress_ && !complete) return fail(now, error, chance);
        // Limits the rate of new watches if something ends each watch immediately.
        not_before_ = watch_call_ ? now + options_.min_backoff / 5 : now;
        last_error_.clear();
        return;
    }
    if (status_ != 200 && status_ != 0) {
        const bool unavailable = options_.optional && (status_ == 403 || status_ == 404);
        if (unavailable && !listed_) {
            // Counts as an empty list; the next attempt follows after max_backoff.
            listed_ = true;
            changes_.push_back({Change::Kind::list, {}, {}});
            ++lists_;
        }
        fail(now, "status " + std::to_string(status_), chance);
        if (unavailable) not_before_ = now + options_.max_backoff;
        return;
    }
    // The server was unreachable. When it returns it may have another history, to whose versions `version_`
    // doesn't belong.
    if (watch_call_ && status_ == 0) relist_ = true;
    if (!watch_call_ && !continue_.empty() && pages_.empty()) continue_.clear();
    fail(now, fault_.empty() ? error : fault_, chance);
}

void Reflector::fail(Time now, std::string error, double chance) {
    last_error_ = error.empty() ? "the call failed" : std::move(error);
    if (progress_) failures_ = 0;
    const double max_wait = static_cast<double>(options_.max_backoff.count());
    double wait = std::min(
        max_wait, static_cast<double>(options_.min_backoff.count()) * std::pow(2.0, std::min(failures_, 20)));
    ++failures_;
    wait *= 0.5 + chance / 2;
    not_before_ = now + std::max(Micros(static_cast<std::int64_t>(wait)), retry_after_);
    // A failed list starts again from its first page, because its pages must belong to one version.
    if (relist_) {
        continue_.clear();
        pages_.clear();
        list_version_.clear();
    }
}

std::optional<Change> Reflector::take() {
    if (taken_ == changes_.size()) {
        changes_.clear();
        taken_ = 0;
        return std::nullopt;
    }
    return std::move(changes_[taken_++]);
}

}  // namespace flaxdoor::kube
