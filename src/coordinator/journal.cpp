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
constexpr std::string_view records_begin = "record\n", records_end = "record\v";
constexpr std::uint64_t format_version = 1;
constexpr std::size_t max_stored_size = store::max_value;
constexpr std::size_t max_scan_items = 256;
constexpr int max_background_steps = 64;  // of background work before a write if the store is behind with it
constexpr std::size_t max_witness_size = 1024;

// A newline separates holder and instance, since names hold no control characters.
std::string key_of(const std::string& holder, const std::string& instance) {
    return std::string(records_begin) + holder + "\n" + instance;
}

Json json_of_shares(const std::vector<std::pair<std::string, budget::Amount>>& shares) {
    Json list = Json::array();
    for (const auto& [budget, share] : shares)
        list.push_back({{"budget", budget}, {"share", json_of(share)}});
    return list;
}

std::string text_of(const Record& record) {
    Json allocations = Json::array(), in_use = Json::array();
    for (const Record::Allocation& each : record.allocations) {
        allocations.push_back({{"fence", Json::array({each.fence.epoch, each.fence.seq})},
                               {"until_us", each.until.count()},
                               {"shares", json_of_shares(each.shares)}});
    }
    for (const auto& [budget, count] : record.in_use) {
        in_use.push_back({{"budget", budget}, {"count", count}});
    }
    return text_of_json({{"holder", record.holder},
                         {"instance", record.instance},
                         {"number", record.number},
                         {"heard_us", record.last_request_at.count()},
                         {"given", std::move(allocations)},
                         {"in_use", std::move(in_use)},
                         {"reserves", json_of_shares(record.reserves)}});
}

std::variant<Record, Malformed> record_of(const std::string& text) {
    const auto shares = [](const Fields& in, const char* name) {
        std::vector<std::pair<std::string, budget::Amount>> list;
        in.for_each(name, max_stored_size, [&](const Fields& each) {
            list.emplace_back(each.name("budget"), each.amount("share"));
        });
        return list;
    };
    return decode<Record>(text, max_stored_size, [&](const Fields& in, Record& record) {
        record.holder = in.name("holder");
        record.instance = in.name("instance");
        record.number = in.number("number");
        record.last_request_at = in.time("heard_us");
        in.for_each("given", budget::Authority::max_open_grants, [&](const Fields& each) {
            record.allocations.push_back(
                {each.fence("fence"), each.time("until_us"), shares(each, "shares")});
        });
        in.for_each("in_use", max_stored_size, [&](const Fields& each) {
            record.in_use.emplace_back(each.name("budget"), each.integer("count", 0, max_size));
        });
        record.reserves = shares(in, "reserves");
    });
}

std::string error_text(const char* what, int error) {
    return std::string(what) + ": " + std::strerror(error);
}

}  // namespace

// ------------------------------------------------------------------------------------------- witness

int WitnessFile::read(std::string& text) {
    const int fd = ::open(path_.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return errno;
    char buffer[max_witness_size];
    const auto received = ::read(fd, buffer, sizeof buffer);
    const int error = received < 0 ? errno : 0;
    ::close(fd);
    if (error == 0) text.assign(buffer, static_cast<std::size_t>(received));
    return error;
}

int WitnessFile::write(const std::string& text) {
    const std::string temporary = path_ + ".new";
    const int fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (fd < 0) return errno;
    const auto written = ::write(fd, text.data(), text.size());
    int error = written < 0 ? errno : static_cast<std::size_t>(written) < text.size() ? ENOSPC : 0;
    if (::close(fd) != 0 && error == 0) error = errno;
    if (error == 0 && std::rename(temporary.c_str(), path_.c_str()) != 0) error = errno;
    if (error != 0) ::unlink(temporary.c_str());
    return error;
}

int WitnessFile::remove() {
    if (::unlink(path_.c_str()) == 0) return 0;
    return errno == ENOENT || errno == ENOTDIR ? 0 : errno;
}

// ------------------------------------------------------------------------------------------- journal

std::string Journal::encode(const Head& head) {
    return text_of_json({{"format", format_version},
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
    std::uint64_t stored_format = 0;
    auto read = decode<Head>(*text, max_stored_size, [&](const Fields& in, Head& all) {
        stored_format = in.number("format");
        all.epoch = in.number("epoch");
        all.commits = in.number("commits");
        all.opening = in.name("opening");
        all.boot = in.name("boot");
        all.known_from = in.time("known_from_us");
        all.longest_term = in.span("longest_term_us");
    });
    if (stored_format > format_version)
        return Result::refused("the authority's records have a newer version");
    if (const auto* malformed = std::get_if<Malformed>(&read)) {
        return Result::corrupt("malformed head of the authority's records: " + malformed->why);
    }
    head = std::get<Head>(std::move(read));
    return Result::ok();
}

Result Journal::open_engine() {
    engine_.reset();  // releases the files
    auto opened = store::Engine::open(*world_.files, {}, world_.chance);
    if (!opened.result) return opened.result;
    engine_ = std::move(opened.engine);
    return engine_->space(space_name, store::SpaceKind::keys, true, space_);
}

// Reopens the store after a write whose result is unknown. Either result is consistent, since no reply was
// sent.
Result Journal::reopen() {
    if (auto result = open_engine(); !result) return result;
    std::optional<Head> head;
    if (auto result = read_head(head); !result) return result;
    if (!head || head->opening != head_.opening || head->commits < head_.commits) {
        engine_.reset();
        return Result::refused("the store is not the one written before");
    }
    head_ = *head;
    return Result::ok();
}

Result Journal::read_records(std::vector<Record>& records) {
    std::string from(records_begin);
    for (;;) {
        std::vector<store::Engine::Item> items;
        if (auto result = engine_->scan(space_, from, records_end, max_scan_items, items); !result)
            return result;
        if (items.empty()) return Result::ok();
        for (const auto& item : items) {
            auto record = record_of(item.value);
            if (const auto* malformed = std::get_if<Malformed>(&record)) {
                return Result::corrupt("malformed record of a process: " + malformed->why);
            }
            records.push_back(std::get<Record>(std::move(record)));
        }
        from = items.back().key + '\0';
    }
}

// Erases all records in several batches. The head keeps the boot id of the records until all are erased.
Result Journal::erase_records() {
    for (;;) {
        std::vector<store::Engine::Item> items;
        if (auto result = engine_->scan(space_, records_begin, records_end, max_scan_items, items); !result) {
            return result;
        }
        if (items.empty()) return Result::ok();
        store::Batch batch;
        for (const auto& item : items) batch.erase(space_, item.key);
        const store::Batch* const all[] = {&batch};
        if (auto result = engine_->write(all, true).front().result; !result) return result;
    }
}

// Returns why the records may be incomplete; empty if they are complete.
std::string Journal::incomplete_reason(const Head& head) const {
    if (head.commits == 0) return "the store is empty";
    if (head.boot != world_.boot) return "the machine was restarted";
    if (head.known_from > world_.now) return "the previous start had incomplete records as well";
    if (!world_.witness) return "there is no witness";
    std::string text;
    if (const int error = world_.witness->read(text); error != 0) return error_text("the witness", error);
    std::string identity, opening, boot;
    const auto commits =
        decode<std::uint64_t>(text, max_witness_size, [&](const Fields& in, std::uint64_t& all) {
            identity = in.name("store");
            opening = in.name("opening");
            boot = in.name("boot");
            all = in.number("commits");
        });
    if (const auto* malformed = std::get_if<Malformed>(&commits)) return "the witness: " + malformed->why;
    if (identity != store::text_of(engine_->identity())) return "the witness belongs to another store";
    if (boot != world_.boot) return "the witness belongs to another boot";
    if (opening != head.opening) return "the witness belongs to another copy of the store";
    if (std::get<std::uint64_t>(commits) > head.commits) return "the store is an older copy";
    return {};
}

Journal::Opened Journal::open(Dependencies world) {
    Opened opened;
    std::unique_ptr<Journal> journal(new Journal(std::move(world)));
    const auto failed = [&](Result result) {
        opened.result = std::move(result);
        return std::move(opened);
    };
    if (auto result = journal->open_engine(); !result) return failed(std::move(result));
    std::optional<Head> previous_head;
    if (auto result = journal->read_head(previous_head); !result) return failed(std::move(result));
    Head head = previous_head.value_or(Head{});
    opened.incomplete_reason = journal->incomplete_reason(head);
    opened.start.complete = opened.incomplete_reason.empty();
    opened.start.longest_term = head.longest_term;
    opened.start.epoch =
        std::max(head.epoch + 1,
                 static_cast<std::uint64_t>(std::max<std::int64_t>(journal->world_.unix_now.count(), 0)));
    if (head.boot == journal->world_.boot) {
        if (auto result = journal->read_records(opened.start.records); !result)
            return failed(std::move(result));
    } else if (auto result = journal->erase_records(); !result) {  // its times belong to another clock
        return failed(std::move(result));
    }
    head.epoch = opened.start.epoch;
    head.boot = journal->world_.boot;
    head.opening.clear();
    for (int i = 0; i < 2; ++i) {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx",
                      static_cast<unsigned long long>(journal->world_.chance()));
        head.opening += text;
    }
    // The authority's first commit replaces this by an exact time.
    if (!opened.start.complete) head.known_from = Time(max_time);
    journal->head_ = head;
    store::Batch batch;
    if (auto result = journal->write_head(head, batch, true); !result) return failed(std::move(result));
    opened.journal = std::move(journal);
    return opened;
}

bool Journal::differs(const Standing& standing) const {
    return standing.epoch != head_.epoch || standing.known_from != head_.known_from ||
           standing.longest_term != head_.longest_term;
}

Result Journal::commit(const Standing& standing, std::span<const Change> changes) {
    if (!engine_ || engine_->broken()) {
        if (auto result = reopen(); !result) return result;
    }
    for (int i = 0; i < max_background_steps && engine_->crowded(); ++i) {
        if (auto result = engine_->step(); !result) break;  // the write reports the error
    }
    store::Batch batch;
    for (const Change& change : changes) {
        std::string key = key_of(change.holder, change.instance);
        if (change.record) {
            pending_erasures_.erase(key);
            batch.put(space_, key, text_of(*change.record));
        } else {
            pending_erasures_.insert(std::move(key));
        }
    }
    std::vector<std::string> erased;
    for (auto key = pending_erasures_.begin();
         key != pending_erasures_.end() && erased.size() < max_commit_records; ++key) {
        batch.erase(space_, *key);
        erased.push_back(*key);
    }
    Head head = head_;
    head.epoch = standing.epoch;
    head.known_from = standing.known_from;
    head.longest_term = standing.longest_term;
    Result result = write_head(std::move(head), batch, differs(standing));
    if (result) {
        for (const std::string& key : erased) pending_erasures_.erase(key);
    }
    return result;
}

// Writes the head with a batch. Every commit writes it, since it counts the commits.
Result Journal::write_head(Head head, store::Batch& batch, bool durable) {
    ++head.commits;
    batch.put(space_, head_key, encode(head));
    const store::Batch* const all[] = {&batch};
    if (auto result = engine_->write(all, durable).front().result; !result) return result;
    head_ = std::move(head);
    return update_witness();
}

Result Journal::update_witness() {
    if (!world_.witness) return Result::ok();
    const int error = world_.witness->write(text_of_json({{"store", store::text_of(engine_->identity())},
                                                          {"opening", head_.opening},
                                                          {"boot", head_.boot},
                                                          {"commits", head_.commits}}));
    witness_trouble_ = error == 0 ? std::string() : error_text("the witness can't be written", error);
    if (error == 0) return Result::ok();
    if (const int remove_error = world_.witness->remove(); remove_error != 0) {
        return Result::retry(witness_trouble_ +
                             "; the old one can't be removed: " + std::strerror(remove_error));
    }
    return Result::ok();
}

bool Journal::run_background_step() {
    if (!engine_ || engine_->broken() || !engine_->has_work()) return false;
    return static_cast<bool>(engine_->step()) && engine_->has_work();
}

}  // namespace flaxdoor::coordinator
