// A property test: random clients and traffic against servers that die, stall, drain and recover at random.
// Checks that each unit is answered, that no effect happens twice and that clients are told nothing false,
// against what the stand-ins counted.
#include <random>

#include "rig.h"

namespace flaxdoor::pg::test {
namespace {

struct Worker {
    std::shared_ptr<Client> client;
    std::vector<std::vector<long>> units;  // effects of each unit that was sent on this connection
    std::vector<long> open;                // effects of the transaction in progress
    std::vector<bool> in_transaction;      // state before each unit
    std::vector<char> kind;  // 'i' insert, 'b' begin, 'c' commit, 'r' rollback, 's' select, 'g' segment
};

class World {
public:
    explicit World(std::uint64_t seed) : random_(seed) {
        rig_.seed = seed;
        rig_.deadline = 300ms;
        rig_.line_wait = 300ms;
        rig_.pool.connections = 3;
        rig_.pool.login_again = 20ms;
        rig_.session.mode = pick(4) == 0 ? Mode::session : Mode::transaction;
        for (const char* name : {"a", "b", "c"}) rig_.add_server(name);
        rig_.begin();
    }

    void run(int steps) {
        for (int step = 0; step < steps; ++step) {
            switch (pick(12)) {
                case 0: cause_fault(); break;
                case 1:
                    if (workers_.size() < 8) connect();
                    break;
                case 2:
                    if (!workers_.empty() && pick(4) == 0) disconnect(pick(workers_.size()));
                    break;
                default:
                    if (!workers_.empty()) send_unit(workers_[pick(workers_.size())]);
            }
            rig_.settle(static_cast<int>(pick(4)));
        }
        for (const auto& server : rig_.servers) {
            server->stall(false);
            if (server->dead()) server->restart();
            server->release();
        }
        // Rule 1: each unit is answered, or the connection ends.
        for (Worker& worker : workers_) {
            EXPECT_TRUE(rig_.until([&] {
                for (const auto& server : rig_.servers) server->release();
                return worker.client->ended() || worker.client->readies() >= worker.units.size();
            })) << "an answer is missing";
            check_answers(worker);
        }
        // Rule 2: no effect happens twice.
        for (const auto& [number, effect] : rig_.journal.effects) {
            EXPECT_LE(effect.executed, 1) << number;
            EXPECT_LE(effect.committed, 1) << number;
        }
        for (const Worker& worker : workers_) worker.client->close();
        EXPECT_TRUE(rig_.until([&] { return rig_.service->figures().connections == 0; }));
        EXPECT_TRUE(rig_.until([&] { return rig_.core.figures().open == 0; }))
            << "a call is left in the core";
        EXPECT_EQ(rig_.core.figures().faults, 0u) << (rig_.log.lines.empty() ? "" : rig_.log.lines.front());
    }
    std::size_t units() const { return unit_count_; }

private:
    std::size_t pick(std::size_t below) { return random_() % below; }

    void connect() {
        Worker worker;
        worker.client = Client::logged_in(rig_);
        if (!worker.client->ended()) workers_.push_back(std::move(worker));
    }
    void disconnect(std::size_t i) {
        check_answers(workers_[i]);
        workers_[i].client->close();
        workers_.erase(workers_.begin() + static_cast<long>(i));
    }

    void send_unit(Worker& worker) {
        if (worker.client->ended()) return;
        // At most three units are pipelined without waiting for an answer.
        if (worker.units.size() - worker.client->readies() >= 3) return;
        const bool in_transaction = !worker.in_transaction.empty() && state_after(worker);
        std::vector<long> effects;
        std::string bytes;
        char kind = 's';
        const auto insert = [&] {
            effects.push_back(++last_number_);
            return "INSERT INTO t VALUES (" + std::to_string(last_number_) + ")";
        };
        switch (pick(8)) {
            case 0:
                kind = in_transaction ? 'c' : 'b';
                bytes = wire::query(in_transaction ? "COMMIT" : "BEGIN");
                break;
            case 1:
                kind = in_transaction ? 'r' : 's';
                bytes = wire::query(in_transaction ? "ROLLBACK" : "SELECT 1/0");
                break;
            case 2: bytes = wire::query("SELECT pg_sleep(1)"); break;
            case 3: bytes = wire::extended("SELECT rows(20, 3000)") + wire::sync(); break;
            case 4:
                kind = 'g';
                bytes = wire::extended(insert()) + wire::extended(insert()) + wire::sync();
                break;
            default:
                kind = 'i';
                bytes = pick(2) ? wire::query(insert()) : wire::extended(insert()) + wire::sync();
        }
        worker.in_transaction.push_back(in_transaction);
        worker.kind.push_back(kind);
        worker.units.push_back(effects);
        worker.client->send(bytes);
        ++unit_count_;
    }

    // The state as the client assumes it, without regard to the answers.
    static bool state_after(const Worker& worker) {
        const char kind = worker.kind.back();
        if (kind == 'b') return true;
        if (kind == 'c' || kind == 'r') return false;
        return worker.in_transaction.back();
    }

    // Compares what the client was told about single units outside of transactions with what the stand-ins
    // counted.
    void check_answers(const Worker& worker) {
        const auto answers = worker.client->answers();
        for (std::size_t i = 0; i < answers.size() && i < worker.units.size(); ++i) {
            const Answer& answer = answers[i];
            EXPECT_LE(answer.errors, 1u);
            const bool single = !worker.in_transaction[i] && (i == 0 || answers[i - 1].status == 'I');
            if (!single || answer.status == 0) continue;
            for (const long number : worker.units[i]) {
                const int committed = rig_.journal.effects[number].committed;
                if (answer.errors == 0) {
                    EXPECT_EQ(committed, 1) << "reported as committed: " << number;
                } else if (answer.code != "08007" && answer.code != "57014") {
                    EXPECT_EQ(committed, 0) << "told " << answer.code << ": " << number;
                }
            }
        }
    }

    void cause_fault() {
        wire::Server& server = *rig_.servers[pick(3)];
        switch (pick(7)) {
            case 0: server.die(pick(2) == 0); break;
            case 1:
                if (server.dead()) server.restart();
                break;
            case 2: server.release(); break;
            case 3: rig_.journal.send_left = pick(400); break;
            case 4: rig_.journal.receive_left = pick(400); break;
            case 5: {
                std::vector<UpstreamState> states;
                for (int i = 0; i < 3; ++i)
                    states.push_back(pick(3) ? UpstreamState::ready : UpstreamState::draining);
                rig_.update_servers(states);
                break;
            }
            default:
                if (!workers_.empty()) {
                    const auto& client = workers_[pick(workers_.size())].client;
                    const auto other = std::make_shared<Client>(rig_);
                    other->read();
                    other->send(wire::cancel(client->process, client->secret));
                }
        }
        for (const auto& each : rig_.servers) {
            if (each->dead() && pick(3) == 0) each->restart();
        }
    }

    std::mt19937_64 random_;
    Rig rig_;
    std::vector<Worker> workers_;
    long last_number_ = 0;
    std::size_t unit_count_ = 0;
};

// FLAXDOOR_SEEDS: the number of random worlds, for a long run.
TEST(Random, ClientsAreAnsweredCorrectly) {
    const char* const seeds_text = std::getenv("FLAXDOOR_SEEDS");
    const std::uint64_t seeds = seeds_text ? std::stoul(seeds_text) : 40;
    std::size_t units = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        World world(seed);
        world.run(200);
        units += world.units();
        if (HasFailure()) return;
    }
    std::cout << seeds << " worlds, " << units << " units\n";
}

}  // namespace
}  // namespace flaxdoor::pg::test
