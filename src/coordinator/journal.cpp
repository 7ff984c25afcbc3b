#include "coordinator/journal.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>

#include "coordinator/fields.h"

namespace flaxdoor::coordinator {

using budget::Change;
using budget::Record;
using store::Result;

namespace {

constexpr const char* space_name = "authority";
constexpr const char* head_key = "head";
constexpr std::string_view records_from = "record\n", records_to = "record\v";
constexpr std::uint64_t format = 1;
constexpr std::size_t stored_most = store::value_most;
constexpr std::size_t scanned_most = 256;
constexpr int steps_most = 64;  // of background work ahead of a write, where the store asks for it
constexpr std::size_t witness_most = 1024;

// Names hold no control characters.
std::string key_of(const std::string& holder, const std::string& instance) {
    return std::string(records_from) + holder + "\n" + instance;
}

Json json_of_all(const std::vector<std::pair<std::string, budget::Amount>>& shares) {
    Json list = Json::array();
    for (const auto& [budget, share] : shares)
        list.push_back({{"budget", budget}, {"share", json_of(share)}});
    return list;
}

std::string text_of(const Record& record) {
    Json given = Json::array(), in_use = Json::array();
    for (const Record::Given& each : record.given) {
        given.push_back({{"fence", Json::array({each.fence.epoch, each.fence.seq})},
                         {"until_us", each.until.count()},
                         {"shares", json_of_all(each.shares)}});
    }
    for (const auto& [budget, count] : record.in_use) {
        in_use.push_back({{"budget", budget}, {"count", count}});
    }
    return text_of_json({{"holder", record.holder},
                         {"instance", record.instance},
                         {"number", record.number},
                         {"heard_us", record.heard.count()},
                         {"given", std::move(given)},
                         {"in_use", std::move(in_use)},
                         {"reserves", json_of_all(record.reserves)}});
}

std::variant<Record, Malformed> record_of(const std::string& text) {
    const auto shares = [](const Fields& in, const char* name) {
        std::vector<std::pair<std::string, budget::Amount>> list;
        in.each(name, stored_most,
                [&](const Fields& each) { list.emplace_back(each.name("budget"), each.amount("share")); });
        return list;
    };
    return decode<Record>(text, stored_most, [&](const Fields& in, Record& record) {
        record.holder = in.name("holder");
        record.instance = in.name("instance");
        record.number = in.number("number");
        record.heard = in.time("heard_us");
        in.each("given", budget::Authority::grants_most, [&](const Fields& each) {
            record.given.push_back({each.fence("fence"), each.time("until_us"), shares(each, "shares")});
        });
        in.each("in_use", stored_most, [&](const Fields& each) {
            record.in_use.emplace_back(each.name("budget"), each.integer("count", 0, size_most));
        });
        record.reserves = shares(in, "reserves");
    });
}

std::string error_text(const char* what, int error) {
    return std::string(what) + ": " + std::strerror(error);
}

}  // namespace

// ------------------------------------------------------------------------------------------- the witness

int WitnessFile::read(std::string& text) {
    const int fd = ::open(path_.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return errno;
    char room[witness_most];
    const auto got = ::read(fd, room, sizeof room);
    const int error = got < 0 ? errno : 0;
    ::close(fd);
    if (error == 0) text.assign(room, static_cast<std::size_t>(got));
    return error;
}

int WitnessFile::write(const std::string& text) {
    const std::string fresh = path_ + ".new";
    const int fd = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (fd < 0) return errno;
    const auto wrote = ::write(fd, text.data(), text.size());
    int error = wrote < 0 ? errno : static_cast<std::size_t>(wrote) < text.size() ? ENOSPC : 0;
    if (::close(fd) != 0 && error == 0) error = errno;
    if (error == 0 && std::rename(fresh.c_str(), path_.c_str()) != 0) error = errno;
    if (error != 0) ::unlink(fresh.c_str());
    return error;
}

int WitnessFile::remove() {
    if (::unlink(path_.c_str()) == 0) return 0;
    return errno == ENOENT || errno == ENOTDIR ? 0 : errno;
}

// ------------------------------------------------------------------------------------------- the journal

std::string Journal::encode(const Head& head) {
    return text_of_json({{"format", format},
                         {"epoch", head.epoch},
                         {"commits", head.commits},
                         {"opening", head.opening},
                         {"boot", head.boot},
                         {"known_from_us", head.known_from.count()},
                         {"longest_term_us", head.longest_term.count()}});
}

Result Journal::read_head(std::optional<Head>& head) {
    std::optional<std::string> text;
    if (auto result = engine_->get(space_, head_key, text); !result) return result;
    if (!text) return Result::ok();
    std::uint64_t its_format = 0;
    auto read = decode<Head>(*text, stored_most, [&](const Fields& in, Head& all) {
        its_format = in.number("format");
        all.epoch = in.number("epoch");
        all.commits = in.number("commits");
        all.opening = in.name("opening");
        all.boot = in.name("boot");
        all.known_from = in.time("known_from_us");
        all.longest_term = in.span("longest_term_us");
    });
    if (its_format > format) return Result::refused("the authority's records are of a newer version");
    if (const auto* bad = std::get_if<Malformed>(&read)) {
        return Result::corrupt("the authority's head: " + bad->why);
    }
    head = std::get<Head>(std::move(read));
    return Result::ok();
}

Result Journal::open_engine() {
    engine_.reset();  // lets go of the files
    auto opened = store::Engine::open(*world_.files, {}, world_.chance);
    if (!opened.result) return opened.result;
    engine_ = std::move(opened.engine);
    return engine_->space(space_name, store::SpaceKind::keys, true, space_);
}

// After a write of which nobody knows whether it is there. Either is right: no reply went out.
Result Journal::open_again() {
    if (auto result = open_engine(); !result) return result;
    std::optional<Head> head;
    if (auto result = read_head(head); !result) return result;
    if (!head || head->opening != head_.opening || head->commits < head_.commits) {
        engine_.reset();
        return Result::refused("the store is not the one that was written to");
    }
    head_ = *head;
    return Result::ok();
}

Result Journal::read_records(std::vector<Record>& records) {
    std::string from(records_from);
    for (;;) {
        std::vector<store::Engine::Item> items;
        if (auto result = engine_->scan(space_, from, records_to, scanned_most, items); !result)
            return result;
        if (items.empty()) return Result::ok();
        for (const auto& item : items) {
            auto record = record_of(item.value);
            if (const auto* bad = std::get_if<Malformed>(&record)) {
                return Result::corrupt("a process's record: " + bad->why);
            }
            records.push_back(std::get<Record>(std::move(record)));
        }
        from = items.back().key + '\0';
    }
}

// In pieces: until all are gone the head says whose boot they are of.
Result Journal::forget_records() {
    for (;;) {
        std::vector<store::Engine::Item> items;
        if (auto result = engine_->scan(space_, records_from, records_to, scanned_most, items); !result) {
            return result;
        }
        if (items.empty()) return Result::ok();
        store::Batch batch;
        for (const auto& item : items) batch.erase(space_, item.key);
        const store::Batch* const all[] = {&batch};
        if (auto result = engine_->write(all, true).front().result; !result) return result;
    }
}

// Empty: it is.
std::string Journal::not_current(const Head& head) const {
    if (head.commits == 0) return "the store is empty";
    if (head.boot != world_.boot) return "the machine has been started since";
    if (head.known_from > world_.now) return "the start before this one did not know all either";
    if (!world_.witness) return "there is no witness";
    std::string text;
    if (const int error = world_.witness->read(text); error != 0) return error_text("the witness", error);
    std::string identity, opening, boot;
    const auto commits = decode<std::uint64_t>(text, witness_most, [&](const Fields& in, std::uint64_t& all) {
        identity = in.name("store");
        opening = in.name("opening");
        boot = in.name("boot");
        all = in.number("commits");
    });
    if (const auto* bad = std::get_if<Malformed>(&commits)) return "the witness: " + bad->why;
    if (identity != store::text_of(engine_->identity())) return "the witness is of another store";
    if (boot != world_.boot) return "the witness is of another boot";
    if (opening != head.opening) return "the witness is of another copy of the store";
    if (std::get<std::uint64_t>(commits) > head.commits) return "the store is an older copy";
    return {};
}

Journal::Opened Journal::open(World world) {
    Opened opened;
    std::unique_ptr<Journal> made(new Journal(std::move(world)));
    const auto failed = [&](Result result) {
        opened.result = std::move(result);
        return std::move(opened);
    };
    if (auto result = made->open_engine(); !result) return failed(std::move(result));
    std::optional<Head> before;
    if (auto result = made->read_head(before); !result) return failed(std::move(result));
    Head head = before.value_or(Head{});
    opened.why = made->not_current(head);
    opened.start.current = opened.why.empty();
    opened.start.longest_term = head.longest_term;
    opened.start.epoch = std::max(
        head.epoch + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(made->world_.unix_now.count(), 0)));
    if (head.boot == made->world_.boot) {
        if (auto result = made->read_records(opened.start.records); !result) return failed(std::move(result));
    } else if (auto result = made->forget_records(); !result) {  // their ends are times of another clock
        return failed(std::move(result));
    }
    head.epoch = opened.start.epoch;
    head.boot = made->world_.boot;
    head.opening.clear();
    for (int i = 0; i < 2; ++i) {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(made->world_.chance()));
        head.opening += text;
    }
    // The authority says it better with its first commit.
    if (!opened.start.current) head.known_from = Time(time_most);
    made->head_ = head;
    store::Batch batch;
    if (auto result = made->put(head, batch, true); !result) return failed(std::move(result));
    opened.journal = std::move(made);
    return opened;
}

bool Journal::differs(const Standing& standing) const {
    return standing.epoch != head_.epoch || standing.known_from != head_.known_from ||
           standing.longest_term != head_.longest_term;
}

Result Journal::commit(const Standing& standing, std::span<const Change> changes) {
    if (!engine_ || engine_->broken()) {
        if (auto result = open_again(); !result) return result;
    }
    for (int i = 0; i < steps_most && engine_->crowded(); ++i) {
        if (auto result = engine_->step(); !result) break;  // the write says what is wrong
    }
    store::Batch batch;
    for (const Change& change : changes) {
        std::string key = key_of(change.holder, change.instance);
        if (change.record) {
            to_erase_.erase(key);
            batch.put(space_, key, text_of(*change.record));
        } else {
            to_erase_.insert(std::move(key));
        }
    }
    std::vector<std::string> erased;
    for (auto at = to_erase_.begin(); at != to_erase_.end() && erased.size() < commit_most; ++at) {
        batch.erase(space_, *at);
        erased.push_back(*at);
    }
    Head head = head_;
    head.epoch = standing.epoch;
    head.known_from = standing.known_from;
    head.longest_term = standing.longest_term;
    Result result = put(std::move(head), batch, differs(standing));
    if (result) {
        for (const std::string& key : erased) to_erase_.erase(key);
    }
    return result;
}

// The head goes with every commit, so that it counts them.
Result Journal::put(Head head, store::Batch& batch, bool durable) {
    ++head.commits;
    batch.put(space_, head_key, encode(head));
    const store::Batch* const all[] = {&batch};
    if (auto result = engine_->write(all, durable).front().result; !result) return result;
    head_ = std::move(head);
    return show();
}

Result Journal::show() {
    if (!world_.witness) return Result::ok();
    const int error = world_.witness->write(text_of_json({{"store", store::text_of(engine_->identity())},
                                                          {"opening", head_.opening},
                                                          {"boot", head_.boot},
                                                          {"commits", head_.commits}}));
    witness_trouble_ = error == 0 ? std::string() : error_text("the witness can't be written", error);
    if (error == 0) return Result::ok();
    if (const int left = world_.witness->remove(); left != 0) {
        return Result::retry(witness_trouble_ + "; the old one can't be removed: " + std::strerror(left));
    }
    return Result::ok();
}

bool Journal::tidy() {
    if (!engine_ || engine_->broken() || !engine_->has_work()) return false;
    return static_cast<bool>(engine_->step()) && engine_->has_work();
}

}  // namespace flaxdoor::coordinator
