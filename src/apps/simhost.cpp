// Adapter between the simulator and the policy: reads batches of events from standard input, passes each event to the Policy
// of its instance, and writes the replies with their actions to standard output.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <string>

#include "flaxdoor/decide.h"
#include "simwire/wire.h"

namespace {

using namespace flaxdoor;

// One simulated balancer: its policy, whose actions are written to the reply.
class Instance : public Actions {
public:
    Instance(std::uint32_t number, wire::ReplyWriter& reply) : number_(number), reply_(reply) {}

    void start(const wire::CreateEvent& create, Time now) {
        policy_.reset();
        policy_ = std::make_unique<Policy>(wire::parse_settings(create.settings), create.seed, now, *this);
    }
    void stop() { policy_.reset(); }
    Policy* policy() { return policy_.get(); }

    void submit(RequestId request, UpstreamId upstream, Micros timeout) override {
        reply_.submit(number_, request, upstream, timeout);
    }
    void reject(RequestId request, Micros retry_after) override {
        reply_.refuse(number_, request, retry_after);
    }
    void fail(RequestId request) override { reply_.fail(number_, request); }
    void cancel(RequestId request, int attempt) override { reply_.cancel(number_, request, attempt); }
    void probe(UpstreamId upstream) override { reply_.probe(number_, upstream); }
    void set_timer(Time at, std::uint64_t token) override { reply_.set_timer(number_, at, token); }
    void watch() override { reply_.watch(number_, true); }
    void unwatch() override { reply_.watch(number_, false); }
    void fetch() override { reply_.fetch(number_); }
    void close_idle(UpstreamId upstream) override { reply_.close_idle(number_, upstream); }
    void send_to_peer(std::optional<int> peer, std::string_view payload) override {
        reply_.tell(number_, peer, payload);
    }
    void log(std::string_view line) override { reply_.log(number_, line); }

private:
    std::uint32_t number_;
    wire::ReplyWriter& reply_;
    std::unique_ptr<Policy> policy_;
};

class Host {
public:
    // Processes a batch and returns the reply.
    std::string process(const wire::BatchHeader& header, std::string_view body) {
        decoder_.decode(header, body, [&](const wire::Event& event) { handle(header.now, event); });
        return reply_.finish(header.number);
    }

private:
    void handle(Time now, const wire::Event& event) {
        auto& instance = instances_[event.instance];
        if (!instance) instance = std::make_unique<Instance>(event.instance, reply_);
        try {
            std::visit([&](const auto& body) { deliver(now, *instance, body); }, event.body);
        } catch (const wire::WireError&) {
            throw;
        } catch (const std::exception& error) {
            reply_.fault(event.instance, error.what());
        }
    }

    static void deliver(Time now, Instance& instance, const wire::CreateEvent& body) {
        instance.start(body, now);
    }
    static void deliver(Time, Instance& instance, const wire::ExitEvent&) { instance.stop(); }
    static void deliver(Time now, Instance& instance, const wire::PeerEvent& body) {
        if (instance.policy()) instance.policy()->on_message(now, body.from, body.payload);
    }
    static void deliver(Time now, Instance& instance, const wire::ListEvent& body) {
        static const std::vector<UpstreamEntry> no_entries;
        if (instance.policy())
            instance.policy()->on_list(now, body.kind, body.entries ? *body.entries : no_entries,
                                       body.version);
    }
    static void deliver(Time now, Instance& instance, const Request& body) {
        if (instance.policy()) instance.policy()->on_request(now, body);
    }
    static void deliver(Time now, Instance& instance, const AttemptEnd& body) {
        if (instance.policy()) instance.policy()->on_attempt_end(now, body);
    }
    static void deliver(Time now, Instance& instance, const ProbeResult& body) {
        if (instance.policy()) instance.policy()->on_probe_result(now, body);
    }
    static void deliver(Time now, Instance& instance, const wire::TimerEvent& body) {
        if (instance.policy()) instance.policy()->on_timer(now, body.token);
    }
    static void deliver(Time now, Instance& instance, const AttemptStart& body) {
        if (instance.policy()) instance.policy()->on_started(now, body);
    }
    static void deliver(Time now, Instance& instance, const wire::ClientGoneEvent& body) {
        if (instance.policy()) instance.policy()->on_client_gone(now, body.request);
    }

    wire::Decoder decoder_;
    wire::ReplyWriter reply_;
    std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
};

// Reads exactly `size` bytes. Returns false if the input ends before the first byte and `may_end` is set. Reads in chunks,
// so that a false length does not allocate memory.
bool read_exactly(std::string& into, std::size_t size, const std::string& where, bool may_end = false) {
    constexpr std::size_t chunk_size = 1U << 20;
    into.clear();
    while (into.size() < size) {
        const std::size_t offset = into.size();
        const std::size_t chunk = std::min(chunk_size, size - offset);
        into.resize(offset + chunk);
        const std::size_t received = std::fread(into.data() + offset, 1, chunk, stdin);
        if (received == chunk) continue;
        if (offset + received == 0 && may_end) return false;
        throw wire::WireError("input cut off: " + std::to_string(offset + received) + " of " +
                              std::to_string(size) + " bytes" + where);
    }
    return true;
}

}  // namespace

int main() {
    try {
        Host host;
        std::string head;
        std::string body;
        std::string where = " (header of the first batch)";
        while (read_exactly(head, wire::batch_header_size, where, true)) {
            const auto header = wire::decode_header(head);
            const std::string batch = "batch " + std::to_string(header.number) + ")";
            read_exactly(body, header.body_size, " (" + batch);
            where = " (header after " + batch;
            const std::string reply = host.process(header, body);
            if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
                std::fflush(stdout) != 0) {
                throw wire::WireError("reply could not be written");
            }
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flaxdoor: %s\n", error.what());
        return 1;
    }
    return 0;
}
