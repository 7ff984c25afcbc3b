#include "run/runner.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "fleet/world.h"
#include "judge/judge.h"

namespace flaxdoor::lab {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point from) {
    return std::chrono::duration<double>(Clock::now() - from).count();
}

// Passes records on to several sinks.
class FanOutSink final : public Sink {
public:
    void add(Sink& sink) { sinks_.push_back(&sink); }
    void put(const Record& record) override {
        for (Sink* const sink : sinks_) sink->put(record);
    }

private:
    std::vector<Sink*> sinks_;
};

// Buffers the records of a world until the real sink is attached. A world writes records in its constructor, but its
// terms, which the sinks need, are known only afterwards.
class BufferingSink final : public Sink {
public:
    void open(Sink& sink) {
        sink_ = &sink;
        for (const Record& record : buffered_) sink.put(record);
        buffered_ = {};
    }
    void put(const Record& record) override {
        if (sink_) return sink_->put(record);
        buffered_.push_back(record);
    }

private:
    Sink* sink_ = nullptr;
    std::vector<Record> buffered_;
};

// Returns whether a stored result belongs to the plan's world of that number.
bool belongs_to(const Plan& plan, std::size_t number, const json& cell) {
    return cell.value("variant", json()) == plan.variants[number / plan.seeds.size()].name &&
           cell.value("seed", json()) == plan.seeds[number % plan.seeds.size()];
}

// Returns whether a stored result has all current fields. A result of an older program version, or one edited by
// hand, may lack some.
bool is_complete(const json& cell) {
    const json current = to_json(Cell{});
    const auto has_all = [](const json& its, const json& names) {
        return its.is_object() && std::all_of(names.items().begin(), names.items().end(),
                                              [&](const auto& each) { return its.contains(each.key()); });
    };
    return has_all(cell, current) && has_all(cell["figures"], current["figures"]);
}

// The sinks that evaluate one world, and their results.
class Evaluation {
public:
    Evaluation(const Experiment& experiment, const Terms& terms, const std::string& trace_file)
        : experiment_(experiment),
          trace_file_(trace_file),
          judge_(terms),
          counter_(terms, static_cast<std::uint64_t>(experiment.settles.count())) {
        cell_.variant = experiment.variant;
        cell_.seed = experiment.seed;
        cell_.terms = terms;
        sinks.add(judge_);
        sinks.add(counter_);
        if (trace_file.empty()) {
            sinks.add(digest_);
        } else {
            file_.open(trace_file, std::ios::binary | std::ios::trunc);
            writer_.emplace(file_, terms);
            sinks.add(*writer_);
        }
    }

    // `faults` is the number of faults that the cores reported; 0 where there is no core to ask.
    Cell finish(std::uint64_t faults = 0) {
        if (writer_) {
            const auto done = writer_->finish();
            if (!done) throw std::runtime_error(trace_file_ + " cannot be written");
            cell_.digest = done->digest;
            cell_.records = done->records;
        } else {
            cell_.digest = digest_.finish();
            cell_.records = digest_.records();
        }
        cell_.findings = judge_.finish();
        cell_.figures = counter_.finish();
        cell_.figures.faults = faults;
        cell_.met = meets(experiment_, cell_.terms, cell_.figures, cell_.findings);
        cell_.real_seconds = seconds_since(started_at_);
        return std::move(cell_);
    }

    FanOutSink sinks;

private:
    const Clock::time_point started_at_ = Clock::now();
    const Experiment& experiment_;
    const std::string trace_file_;
    Cell cell_;
    Judge judge_;
    Counter counter_;
    DigestSink digest_;
    std::ofstream file_;
    std::optional<TraceWriter> writer_;
};

}  // namespace

bool Cell::all_met() const {
    return std::all_of(met.begin(), met.end(), [](const Met& each) { return each.met; });
}

std::optional<Cell> play_cell(const Experiment& experiment, const std::string& trace_file,
                              const std::atomic<bool>* stop, Sink* also) {
    BufferingSink buffer;
    World world(experiment, buffer);
    Evaluation evaluation(experiment, world.terms(), trace_file);
    if (also) evaluation.sinks.add(*also);
    buffer.open(evaluation.sinks);
    for (std::uint32_t steps = 0; world.step(); ++steps) {
        if ((steps & 0xFFFU) == 0 && stop && stop->load(std::memory_order_relaxed)) return std::nullopt;
    }
    const WorldFigures figures = world.figures();
    Cell cell = evaluation.finish(figures.cores.faults);
    cell.happenings = figures.happenings;
    return cell;
}

Cell cell_of(const Experiment& experiment, const Terms& terms, const std::vector<Record>& records,
             const std::string& trace_file) {
    Evaluation evaluation(experiment, terms, trace_file);
    for (const Record& record : records) evaluation.sinks.put(record);
    return evaluation.finish();
}

json to_json(const Cell& cell) {
    json broken = json::array();
    for (const Broken& each : cell.findings.broken()) {
        broken.push_back(
            {{"rule", text_of(each.rule)}, {"at_us", each.at}, {"call", each.call}, {"what", each.text()}});
        if (broken.size() >= 20) break;
    }
    json met = json::array();
    for (const Met& each : cell.met) {
        met.push_back({{"expectation", each.expectation}, {"met", each.met}, {"found", each.found}});
    }
    json troubles = json::array();
    for (const auto& each : cell.terms.troubles) {
        troubles.push_back({{"name", each.name}, {"at_us", each.at_us}, {"lasts_us", each.lasts_us}});
    }
    std::uint64_t rules_broken = 0;
    for (const auto count : cell.findings.counts.broken) rules_broken += count;
    return {{"cell", cell.number},
            {"variant", cell.variant},
            {"seed", cell.seed},
            {"digest", cell.digest.text()},
            {"records", cell.records},
            {"happenings", cell.happenings},
            {"real_seconds", cell.real_seconds},
            {"lasts_us", cell.terms.lasts_us},
            {"troubles", std::move(troubles)},
            {"rules_broken", rules_broken},
            {"broken", std::move(broken)},
            {"met", std::move(met)},
            {"figures", to_json(cell.figures, cell.terms)}};
}

Run run(const Plan& plan, const RunOptions& options) {
    namespace fs = std::filesystem;
    std::map<std::size_t, json> done;
    std::ofstream lines;
    if (!options.folder.empty()) {
        std::error_code error;
        fs::create_directories(options.folder, error);
        if (error) throw std::runtime_error(options.folder + ": " + error.message());
        const fs::path plan_file = fs::path(options.folder) / "plan.toml";
        const fs::path lines_file = fs::path(options.folder) / "cells.jsonl";
        std::string stored_plan;
        if (std::ifstream in(plan_file, std::ios::binary); in) {
            std::ostringstream text;
            text << in.rdbuf();
            stored_plan = text.str();
        }
        if (options.resume && !stored_plan.empty() && stored_plan != options.plan_text) {
            throw std::runtime_error(options.folder +
                                     " belongs to another experiment; choose another folder");
        }
        if (!options.resume && fs::exists(lines_file)) {
            throw std::runtime_error(
                options.folder + " already has results; continue with --resume, or choose another folder");
        }
        std::ofstream(plan_file, std::ios::binary) << options.plan_text;
        std::string complete_lines;  // an incomplete last line is left out
        std::ifstream in(lines_file);
        for (std::string line; std::getline(in, line) && !in.eof();) {
            json cell = json::parse(line, nullptr, false);
            if (cell.is_discarded() || !cell.contains("cell")) continue;
            // Worlds are identified by their position in the plan, so other seeds make another plan.
            const json& place = cell["cell"];
            if (!place.is_number_unsigned()) continue;
            const auto number = place.get<std::size_t>();
            if (number >= plan.cells() || !belongs_to(plan, number, cell)) {
                throw std::runtime_error(options.folder +
                                         " has results of other seeds; choose another folder");
            }
            if (!is_complete(cell)) continue;
            complete_lines += line + "\n";
            done.emplace(number, std::move(cell));
        }
        in.close();
        lines.open(lines_file, std::ios::trunc);
        lines << complete_lines << std::flush;
        if (!lines) throw std::runtime_error(lines_file.string() + " cannot be written");
    }
    const std::size_t all = plan.cells();
    std::vector<std::size_t> pending;
    for (std::size_t n = 0; n < all; ++n) {
        if (!done.contains(n)) pending.push_back(n);
    }
    const std::size_t before = done.size();
    const auto from = Clock::now();
    std::atomic<std::size_t> next = 0;
    std::mutex mutex;
    std::exception_ptr failure;
    const auto work = [&] {
        try {
            for (std::size_t i = next++; i < pending.size(); i = next++) {
                if (options.stop && options.stop->load()) return;
                const std::string trace =
                    options.traces && !options.folder.empty()
                        ? (fs::path(options.folder) / (std::to_string(pending[i]) + ".trace")).string()
                        : "";
                auto cell = play_cell(plan.cell(pending[i]), trace, options.stop);
                if (!cell) return;
                cell->number = pending[i];
                json line = to_json(*cell);
                const std::lock_guard lock(mutex);
                if (lines.is_open()) lines << line.dump() << "\n" << std::flush;
                done.emplace(pending[i], std::move(line));
                const std::size_t now_done = done.size() - before;
                const double left = seconds_since(from) / static_cast<double>(now_done) *
                                    static_cast<double>(pending.size() - now_done);
                if (options.progress) options.progress(done.size(), all, left);
            }
        } catch (...) {
            const std::lock_guard lock(mutex);
            if (!failure) failure = std::current_exception();
            next = pending.size();
        }
    };
    std::vector<std::jthread> threads;
    for (unsigned t = 1; t < std::min<std::size_t>(options.threads, pending.size()); ++t)
        threads.emplace_back(work);
    work();
    threads.clear();
    if (failure) std::rethrow_exception(failure);
    Run result;
    result.stopped = done.size() < all;
    for (auto& [number, cell] : done) result.cells.push_back(std::move(cell));
    return result;
}

}  // namespace flaxdoor::lab
