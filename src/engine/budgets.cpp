#include "engine/budgets.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <stdexcept>

#include "coordinator/terms.h"
#include "coordinator/wire.h"
#include "log/events.h"
#include "loop/sockets.h"
#include "settings/tables/budget.h"

namespace flaxdoor::engine {

namespace {

namespace keys = settings::budget;

// Of this start: two processes of one name are told apart by it.
std::array<unsigned char, 16> random_bytes() {
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::invalid_argument("[budget]: no random bytes to be told apart by");
    return bytes;
}

budget::Holder::Options options_of(const Config& config, const settings::Values& operators) {
    budget::Holder::Options options;
    options.terms = coordinator::terms_of(operators);
    options.name = config.name;
    if (!coordinator::valid_name(options.name))
        throw std::invalid_argument(
            "[budget]: the configuration's `name` is no name for the coordinator: give this "
            "balancer one of its own, of 1 to 64 bytes");
    const auto bytes = random_bytes();
    for (const unsigned char byte : bytes) {
        constexpr std::string_view digits = "0123456789abcdef";
        options.instance += digits[byte >> 4];
        options.instance += digits[byte & 15];
        options.seed = options.seed * 256 + byte;
    }
    return options;
}

loop::tcp::endpoint coordinator_of(const settings::Values& operators) {
    const auto address = operators.get(keys::coordinator);  // checked with the file
    return loop::endpoint_of(address.host, address.port);
}

template <class Items>
bool named(const Items& items, const std::string& name) {
    return std::any_of(items.begin(), items.end(), [&](const auto& each) { return each.name == name; });
}

}  // namespace

Budgets::Budgets(const loop::Executor& executor, core::Log& log, const Config& config,
                 const settings::Values& operators)
    : holder_(options_of(config, operators), clock_.now()),
      agent_(executor, clock_, log, holder_, coordinator_of(operators)),
      admission_(holder_, clock_, [this] { agent_.on_want(); }) {
    // Pools other than this one have classes and tenants of their own.
    for (const auto& each : holder_.terms().budgets) {
        const bool elsewhere = operators.given("postgres") || operators.given("gateway");
        if (elsewhere || !(each.pool.empty() || each.pool == "api")) continue;
        if (!each.tenant.empty() && !named(config.settings.tenants, each.tenant))
            log.tell(log::events::budget_terms, each.name + ": the platform names no tenant " + each.tenant);
        if (!each.of_class.empty() && !named(config.settings.classes, each.of_class))
            log.tell(log::events::budget_terms, each.name + ": the platform names no class " + each.of_class);
    }
}

std::unique_ptr<Budgets> make_budgets(const loop::Executor& executor, core::Log& log, const Config& config,
                                      const settings::Values& operators) {
    if (!operators.given("budget")) return nullptr;
    return std::make_unique<Budgets>(executor, log, config, operators);
}

}  // namespace flaxdoor::engine
