// The lab's command line: `flaxdoor lab ...` starts it.
//   0: done, and what was expected was met; 1: it was not, or a file has faults; 2: the command was not
//   understood; 3: stopped before all was done.
#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "budgets/draw.h"
#include "budgets/explore.h"
#include "budgets/figures.h"
#include "coordinator/wire.h"
#include "experiment/plan.h"
#include "explore/explore.h"
#include "hunt/hunt.h"
#include "judge/judge.h"
#include "judge/story.h"
#include "real/compare.h"
#include "real/play.h"
#include "report/report.h"
#include "run/runner.h"
#include "settings/page.h"
#include "trace/file.h"

namespace {

using namespace flaxdoor::lab;
namespace fs = std::filesystem;

constexpr int unmet = 1, not_understood = 2, stopped_early = 3;

std::atomic<bool> stop{false};
static_assert(std::atomic<bool>::is_always_lock_free);

std::string text_in(const fs::path& file) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// The plan, or nothing after its faults were told.
std::optional<Plan> plan_in(const std::string& file) {
    auto read = read_plan_file(file);
    if (const auto* const faults = std::get_if<flaxdoor::settings::Faults>(&read)) {
        std::cerr << faults->text(file);
        return std::nullopt;
    }
    return std::get<Plan>(std::move(read));
}

int check(const std::string& file) {
    const auto plan = plan_in(file);
    if (!plan) return unmet;
    std::cout << file << ": ok (" << plan->variants.size() << " variants, " << plan->seeds.size()
              << " seeds, " << plan->cells() << " worlds)\n";
    return 0;
}

// Whole lines of a file of JSON lines; none where there is no file.
std::vector<nlohmann::json> lines_in(const fs::path& file) {
    std::vector<nlohmann::json> all;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        auto one = nlohmann::json::parse(line, nullptr, false);
        if (!one.is_discarded()) all.push_back(std::move(one));
    }
    return all;
}

std::vector<nlohmann::json> cells_in(const fs::path& folder) {
    if (!fs::exists(folder / "cells.jsonl"))
        throw std::runtime_error((folder / "cells.jsonl").string() + ": no run is kept there");
    auto cells = lines_in(folder / "cells.jsonl");
    std::sort(cells.begin(), cells.end(), [](const auto& a, const auto& b) { return a["cell"] < b["cell"]; });
    return cells;
}

void write_report(const fs::path& folder, const std::vector<nlohmann::json>& cells) {
    const std::string text = text_in(folder / "plan.toml");
    std::string name = folder.string(), question;
    auto read = read_plan_text(text);
    if (const auto* const plan = std::get_if<Plan>(&read)) {
        name = plan->name;
        question = plan->question;
    }
    std::ofstream(folder / "report.html", std::ios::binary)
        << html_of(name, question, text, cells, lines_in(folder / "real.jsonl"));
    std::ofstream(folder / "cells.csv", std::ios::binary) << csv_of(cells);
}

// The daemon beside this program.
std::string balancer_beside() {
    std::error_code error;
    const fs::path self = fs::read_symlink("/proc/self/exe", error);
    return (self.parent_path() / "flaxdoor_balancer").string();
}

struct RealWords {
    std::string file, out, balancer = balancer_beside();
    bool traces = false, quiet = false;
    std::vector<std::uint64_t> seeds;
};

// Each variant with the first seed, or with those that were asked for, one after another; what came of them goes
// to real.jsonl.
int play_real(const Plan& plan, const RealWords& words) {
    if (!fs::exists(words.balancer)) {
        throw std::runtime_error(words.balancer +
                                 ": the balancer's program is not there; name it with --balancer");
    }
    std::ofstream lines;
    if (!words.out.empty()) {
        fs::create_directories(words.out);
        lines.open(fs::path(words.out) / "real.jsonl", std::ios::trunc);
        if (!lines) throw std::runtime_error(words.out + ": real.jsonl can't be written");
    }
    bool held = true;
    const std::size_t seeds = words.seeds.empty() ? 1 : plan.seeds.size(), all = plan.variants.size() * seeds;
    for (std::size_t n = 0; n < all; ++n) {
        const Experiment whole = plan.cell(n / seeds * plan.seeds.size() + n % seeds);
        real::PlayOptions options;
        options.program = words.balancer;
        options.stop = &stop;
        if (words.traces && !words.out.empty())
            options.trace_file = (fs::path(words.out) / ("real" + std::to_string(n) + ".trace")).string();
        if (!words.quiet) {
            options.progress = [&](double seconds, double of) {
                std::fprintf(stderr, "\rreal %zu of %zu: %.0f of %.0f s ", n + 1, all, seconds, of);
            };
        }
        const auto played = real::play(whole, options);
        if (!words.quiet) std::fputc('\n', stderr);
        if (!played) {
            std::cout << "stopped: " << n << " of " << all << " were played for real\n";
            return stopped_early;
        }
        const auto line = real::to_json(whole, *played);
        std::cout << real::table_of(line) << std::flush;
        if (lines.is_open()) lines << line.dump() << "\n" << std::flush;
        held &= real::holds(line);
    }
    return held ? 0 : unmet;
}

int real_file(const RealWords& words) {
    auto plan = plan_in(words.file);
    if (!plan) return unmet;
    if (!plan->real) {
        std::cerr << words.file << ": experiment.real is not set; write real = true\n";
        return unmet;
    }
    if (!words.seeds.empty()) plan->seeds = words.seeds;
    std::signal(SIGINT, [](int) { stop = true; });
    std::signal(SIGTERM, [](int) { stop = true; });
    return play_real(*plan, words);
}

struct RunWords {
    std::string file, out, balancer = balancer_beside();
    unsigned threads = std::max(1U, std::thread::hardware_concurrency());
    bool resume = false, traces = false, quiet = false;
    std::vector<std::uint64_t> seeds;
};

int run_file(const RunWords& words) {
    auto plan = plan_in(words.file);
    if (!plan) return unmet;
    if (!words.seeds.empty()) plan->seeds = words.seeds;
    RunOptions options;
    options.folder = words.out;
    options.plan_text = text_in(words.file);
    options.threads = words.threads;
    options.resume = words.resume;
    options.traces = words.traces;
    options.stop = &stop;
    if (!words.quiet) {
        options.progress = [](std::size_t done, std::size_t all, double left) {
            std::fprintf(stderr, "\r%zu of %zu worlds, %.0f s left ", done, all, left);
        };
    }
    std::signal(SIGINT, [](int) { stop = true; });
    std::signal(SIGTERM, [](int) { stop = true; });
    const Run result = run(*plan, options);
    if (!words.quiet) std::fputc('\n', stderr);
    std::cout << table_of(result.cells);
    if (!words.out.empty()) {
        write_report(words.out, result.cells);
        std::cout << "report: " << (fs::path(words.out) / "report.html").string() << "\n";
    }
    bool met = true;
    for (const auto& cell : result.cells) {
        for (const auto& each : cell["met"]) {
            if (each["met"] == true) continue;
            met = false;
            std::cout << "not met (" << cell["variant"].get<std::string>() << " seed " << cell["seed"]
                      << "): " << each["expectation"].get<std::string>() << "; found "
                      << each["found"].get<std::string>() << "\n";
        }
        for (const auto& each : cell["broken"]) std::cout << each["what"].get<std::string>() << "\n";
    }
    if (result.stopped) {
        std::cout << "stopped: " << result.cells.size() << " of " << plan->cells()
                  << " worlds are done; go on with --resume\n";
        return stopped_early;
    }
    if (plan->real) {
        RealWords real;
        real.out = words.out;
        real.balancer = words.balancer;
        real.traces = words.traces;
        real.quiet = words.quiet;
        std::cout << "\nfor real:\n";
        const int came = play_real(*plan, real);
        if (!words.out.empty()) write_report(words.out, result.cells);
        if (came != 0) return came;
    }
    return met ? 0 : unmet;
}

int story(const std::string& trace, std::uint64_t call) {
    std::ifstream in(trace, std::ios::binary);
    if (!in) throw std::runtime_error(trace + ": can't be read");
    const Story told = tell_story(in, call, std::cout);
    if (told.damage) std::cerr << trace << ": " << told.damage->text() << "\n";
    if (told.calls.empty()) std::cerr << trace << ": no call " << call << "\n";
    return told.calls.empty() || told.damage ? unmet : 0;
}

int judge(const std::string& trace) {
    std::ifstream in(trace, std::ios::binary);
    if (!in) throw std::runtime_error(trace + ": can't be read");
    std::unique_ptr<Judge> judge;
    const auto damage = read_trace(in, [&](const Terms& terms) -> Sink& {
        judge = std::make_unique<Judge>(terms);
        return *judge;
    });
    if (damage) std::cerr << trace << ": " << damage->text() << "\n";
    if (!judge) return unmet;
    const Findings& found = judge->finish();
    for (const Broken& each : found.broken()) std::cout << each.text() << "\n";
    std::cout << found.counts.taken << " calls taken, " << found.counts.sendings << " attempts, "
              << found.broken().size() << " broken rules\n";
    return found.broken().empty() && !damage ? 0 : unmet;
}

struct HuntWords {
    std::string file, out = "found.toml";
    HuntOptions options;
};

int hunt_file(HuntWords& words) {
    const auto plan = plan_in(words.file);
    if (!plan) return unmet;
    std::signal(SIGINT, [](int) { stop = true; });
    words.options.stop = &stop;
    words.options.tell = [](const std::string& what) { std::cerr << what << "\n"; };
    const Hunt found = hunt(*plan, words.options);
    if (!found.prey) {
        std::cout << "nothing wrong in " << found.drawn << " worlds\n";
        return stop ? stopped_early : 0;
    }
    std::ofstream out(words.out, std::ios::binary);
    for (const std::string& each : found.prey->wrong) {
        out << "# " << each << "\n";
        std::cout << each << "\n";
    }
    out << found.prey->file << std::flush;
    if (!out) throw std::runtime_error(words.out + " can't be written");
    std::cout << "world " << found.prey->draw << ", made smaller in " << found.prey->steps << " steps of "
              << found.played << " worlds: " << words.out << "\n";
    return unmet;
}

struct ExploreWords {
    std::string file;
    std::size_t paths = 100'000;
    unsigned seconds = 600;
    std::vector<std::uint32_t> path;
};

std::string text_of(const std::vector<std::uint32_t>& choices) {
    std::string text;
    for (const auto each : choices) text += (text.empty() ? "" : ",") + std::to_string(each);
    return text;
}

int explore_file(const ExploreWords& words) {
    const auto plan = plan_in(words.file);
    if (!plan) return unmet;
    if (!words.path.empty()) {
        const Findings found = follow(plan->cell(0), words.path);
        for (const Broken& each : found.broken()) std::cout << each.text() << "\n";
        return found.broken().empty() ? 0 : unmet;
    }
    std::signal(SIGINT, [](int) { stop = true; });
    bool wrong = false, whole = true;
    for (std::size_t n = 0; n < plan->cells(); ++n) {
        ExploreOptions options;
        options.paths_most = words.paths;
        options.enough = [until = std::chrono::steady_clock::now() + std::chrono::seconds(words.seconds)] {
            return stop || std::chrono::steady_clock::now() >= until;
        };
        options.progress = [](const Covered& now) {
            std::fprintf(stderr, "\r%llu orders, %llu states ", static_cast<unsigned long long>(now.paths),
                         static_cast<unsigned long long>(now.states));
        };
        const Experiment experiment = plan->cell(n);
        const Explored explored = explore(experiment, options);
        const Covered& c = explored.covered;
        std::cout << experiment.variant << (experiment.variant.empty() ? "" : " ") << "seed "
                  << experiment.seed << ": " << (c.all ? "all orders" : "not all orders") << ": " << c.paths
                  << " played, " << c.states << " states, " << c.met_again << " met again, up to "
                  << c.choices_most << " choices, " << c.happenings << " happenings\n";
        whole &= c.all;
        for (const WrongPath& path : explored.wrong) {
            wrong = true;
            std::cout << "--path " << text_of(path.choices) << ": " << path.broken.front().text() << "\n";
        }
    }
    return wrong ? unmet : whole ? 0 : stopped_early;
}

struct BudgetWords {
    std::string seeds = "1..200", world = "mixed";
    bool figures = false, orders = false;
    std::uint64_t spread = 10;
    budgets::SmallWorld small;
};

void print(const std::vector<budgets::Figure>& figures) {
    for (const budgets::Figure& f : figures) {
        std::printf("| %s | %.3g (%.3g to %.3g) %s |\n", f.name.c_str(), f.spread.middle, f.spread.least,
                    f.spread.most, f.unit.c_str());
    }
    std::fflush(stdout);
}

int budget_orders(const budgets::SmallWorld& small) {
    const budgets::Orders orders = budgets::explore(small);
    std::cout << (orders.all ? "all orders: " : "not all orders: ") << orders.states << " states, "
              << orders.met_again << " met again, " << orders.steps << " steps\n";
    for (const std::string& each : orders.wrong) std::cout << "    " << each << "\n";
    return !orders.wrong.empty() ? unmet : orders.all ? 0 : stopped_early;
}

// Worlds by seed until one is broken, where it must not be.
int budget_seeds(const BudgetWords& words) {
    unsigned long long from = 0, to = 0;
    if (std::sscanf(words.seeds.c_str(), "%llu..%llu", &from, &to) != 2 || from > to) {
        std::cerr << "--seeds " << words.seeds << ": not a span like 1..200\n";
        return not_understood;
    }
    const auto kinds = budgets::kinds();
    const auto kind =
        std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return k.name == words.world; });
    const bool must_hold = kind == kinds.end() || kind->holds;
    unsigned long long played = 0, broken = 0, begun = 0, requests = 0;
    for (unsigned long long seed = from; seed <= to && !stop; ++seed) {
        const budgets::Played one = budgets::judged(budgets::draw(words.world, seed));
        ++played;
        begun += one.counts.begun;
        requests += one.counts.requests;
        if (one.broken.empty()) continue;
        ++broken;
        if (!must_hold) continue;
        std::cout << "seed " << seed << " of " << words.world << ", world " << played << ": "
                  << one.broken.front().text << "\n";
        for (const std::string& each : one.broken.front().story) std::cout << "    " << each << "\n";
        return unmet;
    }
    std::cout << words.world << ": " << played << " worlds, " << broken << " broken, " << begun
              << " attempts, " << requests << " requests to authorities\n";
    return stop ? stopped_early : 0;
}

int budget(const BudgetWords& words) {
    std::signal(SIGINT, [](int) { stop = true; });
    if (words.orders) return budget_orders(words.small);
    if (!words.figures) return budget_seeds(words);
    print(budgets::use_figures(words.spread));
    print(budgets::recovery_figures(words.spread));
    print(budgets::broken_figures(10 * words.spread));
    print(budgets::cost_figures(
        [] { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; },
        {[](const auto& request) { return flaxdoor::coordinator::encode(request).size(); },
         [](const auto& reply) { return flaxdoor::coordinator::encode(reply).size(); }}));
    return 0;
}

}  // namespace

int main(int count, char** words) {
    CLI::App program("flaxdoor lab: a fleet of balancers under virtual time", "flaxdoor lab");
    program.require_subcommand(1);
    std::function<int()> todo;
    std::string file;
    RunWords run_words;
    std::uint64_t call = 0;

    CLI::App* const check_command =
        program.add_subcommand("check", "Say all that is wrong with an experiment's file");
    check_command->add_option("FILE", file)->required();
    check_command->callback([&] { todo = [&] { return check(file); }; });

    CLI::App* const run_command = program.add_subcommand("run", "Play an experiment's worlds");
    run_command->add_option("FILE", run_words.file)->required();
    run_command->add_option("-o,--out", run_words.out, "keep results and the report in this folder");
    run_command->add_option("-j,--threads", run_words.threads, "worlds at once")->check(CLI::Range(1, 1024));
    run_command->add_option("--seed", run_words.seeds, "these seeds in place of the file's");
    run_command->add_flag("--resume", run_words.resume, "go on with what is in the folder");
    run_command->add_flag("--traces", run_words.traces, "keep a trace of each world");
    run_command->add_flag("-q,--quiet", run_words.quiet, "no progress");
    run_command->add_option("--balancer", run_words.balancer, "where real = true: the daemon's program");
    run_command->callback([&] { todo = [&] { return run_file(run_words); }; });

    RealWords real_words;
    CLI::App* const real_command = program.add_subcommand(
        "real", "Play a part of an experiment (real = true) with the daemon as processes on loopback");
    real_command->add_option("FILE", real_words.file)->required();
    real_command->add_option("-o,--out", real_words.out, "keep results in this folder");
    real_command->add_option("--balancer", real_words.balancer, "the daemon's program");
    real_command->add_option("--seed", real_words.seeds, "these in place of the file's first");
    real_command->add_flag("--traces", real_words.traces, "keep a trace of each, for `judge` and `story`");
    real_command->add_flag("-q,--quiet", real_words.quiet, "no progress");
    real_command->callback([&] { todo = [&] { return real_file(real_words); }; });

    HuntWords hunt_words;
    hunt_words.options.threads = run_words.threads;
    CLI::App* const hunt_command = program.add_subcommand(
        "hunt", "Draw worlds from the file's ranges until one goes wrong, and make it smaller");
    hunt_command->add_option("FILE", hunt_words.file)->required();
    hunt_command->add_option("-o,--out", hunt_words.out, "the smallest world, as an experiment's file");
    hunt_command->add_option("--draws", hunt_words.options.draws, "worlds to draw at most");
    hunt_command->add_option("--shrinks", hunt_words.options.shrinks,
                             "worlds to play at most to make it smaller");
    hunt_command->add_option("--seed", hunt_words.options.seed, "of the drawing");
    hunt_command->add_option("-j,--threads", hunt_words.options.threads, "worlds at once")
        ->check(CLI::Range(1, 1024));
    hunt_command->callback([&] { todo = [&] { return hunt_file(hunt_words); }; });

    ExploreWords explore_words;
    CLI::App* const explore_command =
        program.add_subcommand("explore", "Play every order of events at equal standing in a small world");
    explore_command->add_option("FILE", explore_words.file, "wants experiment.grid")->required();
    explore_command->add_option("--paths", explore_words.paths, "orders to play at most, for each world");
    explore_command->add_option("--seconds", explore_words.seconds, "real time at most, for each world");
    explore_command->add_option("--path", explore_words.path, "play this one alone, as it was told")
        ->delimiter(',');
    explore_command->callback([&] { todo = [&] { return explore_file(explore_words); }; });

    BudgetWords budget_words;
    CLI::App* const budget_command =
        program.add_subcommand("budget", "Play drawn worlds of fleet-wide budgets until one is broken");
    budget_command->add_option("--seeds", budget_words.seeds, "FIRST..LAST");
    budget_command->add_option("--world", budget_words.world,
                               "what may go wrong; a wrong name tells them all");
    budget_command->add_flag("--figures", budget_words.figures, "use, recovery and cost in place of it");
    budget_command->add_option("--spread", budget_words.spread, "seeds of each figure")
        ->check(CLI::Range(1, 1000));
    budget_command->add_flag("--orders", budget_words.orders, "every order of a small world in place of it");
    budget_command->add_option("--ticks", budget_words.small.ticks, "its time, in thirds of a term");
    budget_command->add_option("--losses", budget_words.small.losses, "messages lost at most");
    budget_command->add_option("--deaths", budget_words.small.deaths, "whether the first holder may die");
    budget_command->add_option("--starts", budget_words.small.starts,
                               "starts of the authority after its first");
    budget_command->add_option("--under-way", budget_words.small.under_way_most,
                               "of each holder at once, at most");
    budget_command->add_option("--states", budget_words.small.states_most, "looked at, at most");
    budget_command->callback([&] { todo = [&] { return budget(budget_words); }; });

    CLI::App* const report_command = program.add_subcommand("report", "Write a run's page and CSV again");
    report_command->add_option("FOLDER", file)->required();
    report_command->callback([&] {
        todo = [&] {
            write_report(file, cells_in(file));
            return 0;
        };
    });

    CLI::App* const story_command = program.add_subcommand("story", "Tell all that happened to one call");
    story_command->add_option("TRACE", file, "as `run --traces` keeps it")->required();
    story_command->add_option("CALL", call)->required();
    story_command->callback([&] { todo = [&] { return story(file, call); }; });

    CLI::App* const judge_command = program.add_subcommand("judge", "Judge a trace by the four rules");
    judge_command->add_option("TRACE", file)->required();
    judge_command->callback([&] { todo = [&] { return judge(file); }; });

    CLI::App* const settings_command =
        program.add_subcommand("settings", "List what an experiment's file may say");
    settings_command->callback([&] {
        todo = [] {
            std::cout << flaxdoor::settings::listing(experiment_schema());
            return 0;
        };
    });
    try {
        program.parse(count, words);
        return todo();
    } catch (const CLI::ParseError& error) {
        return program.exit(error) == 0 ? 0 : not_understood;
    } catch (const std::exception& error) {
        std::cerr << "flaxdoor lab: " << error.what() << "\n";
        return unmet;
    }
}
