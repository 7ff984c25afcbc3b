// A coordinator's service over an in-memory disk and a clock set by the test.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "capturing_log.h"
#include "coordinator/service.h"
#include "model.h"
#include "sim_files.h"

namespace flaxdoor::coordinator::test {

// Forwards to files that the test owns, since a journal owns the files that it is given.
class BorrowedFiles final : public store::Files {
public:
    explicit BorrowedFiles(store::Files& files) : files_(files) {}
    int create(const std::string& name, std::unique_ptr<store::File>& file) override {
        return files_.create(name, file);
    }
    int open(const std::string& name, std::unique_ptr<store::File>& file) override {
        return files_.open(name, file);
    }
    int remove(const std::string& name) override { return files_.remove(name); }
    int list(std::vector<std::string>& names) override { return files_.list(names); }
    int sync_folder() override { return files_.sync_folder(); }
    int lock() override { return files_.lock(); }

private:
    store::Files& files_;
};

struct ManualClock final : core::Clock {
    Time now() const override { return at; }
    Time at{};
};

struct ServiceParts {
    static constexpr const char* boot_id = "boot-1";
    static constexpr Time start = std::chrono::hours(1);

    ServiceParts() { clock.at = start; }

    static budget::BudgetConfig terms() {
        budget::BudgetConfig terms;
        terms.lease_term = std::chrono::seconds(1);
        terms.max_attempt_duration = std::chrono::seconds(1);
        terms.expected_balancers = 3;
        terms.budgets = {{"b", budget::Counts::requests, "", "", "", {9000, 9}, {100, 1}}};
        return terms;
    }
    // Returns null if the store can't be opened.
    std::unique_ptr<Service> service(GrantLog* grants = nullptr) {
        Journal::Dependencies world;
        world.files = files ? std::move(files) : std::make_unique<store::test::SimFiles>();
        world.chance = store::test::counting(chance);
        world.witness = std::move(witness);
        world.boot = boot_id;
        world.now = clock.at;
        world.unix_now = Time(5);
        Journal::Opened opened = Journal::open(std::move(world));
        if (!opened.result) return nullptr;
        return std::make_unique<Service>(terms(), std::move(opened), clock, log, grants);
    }
    budget::LeaseRequest request(const std::string& holder, std::uint64_t number, std::int64_t rate) const {
        budget::LeaseRequest request;
        request.holder = holder;
        request.instance = holder + "-1";
        request.number = number;
        request.clock = clock.at;
        request.needs = {{"b", budget::Counts::requests, {rate, 1}, {}, {100, 1}, 0}};
        return request;
    }
    static http::Response send(Service& service, const std::string& method, const std::string& target,
                               const std::string& body = {}, bool draining = false) {
        http::Request message;
        message.method = method;
        message.target = target;
        message.body = body;
        http::Handler::ConnectionInfo from;
        from.draining = draining;
        return std::get<http::Handler::LocalResponse>(service.on_request(std::move(message), from)).message;
    }
    // Returns empty if the response is not a 200 with a valid reply.
    static std::optional<budget::LeaseReply> ask(Service& service, const budget::LeaseRequest& request) {
        const http::Response answer = send(service, "POST", "/v1/leases", encode(request));
        if (answer.status != 200) return std::nullopt;
        auto reply = decode_reply(answer.body);
        if (auto* const decoded = std::get_if<budget::LeaseReply>(&reply)) return std::move(*decoded);
        return std::nullopt;
    }

    std::uint64_t chance = 1;  // start of the sequence of random numbers
    ManualClock clock;
    flaxdoor::test::CapturingLog log;
    std::unique_ptr<store::Files> files;
    std::unique_ptr<Witness> witness;
};

}  // namespace flaxdoor::coordinator::test
