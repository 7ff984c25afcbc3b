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

// Identifies this start of the process: the coordinator tells apart two processes of one name by it.
std::array<unsigned char, 16> random_bytes() {
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::invalid_argument("[budget]: no random bytes available for the instance id");
    return bytes;
}

budget::Holder::Options options_of(const Config& config, const settings::Values& operators) {
    budget::Holder::Options options;
    options.terms = coordinator::terms_of(operators);
    options.name = config.name;
    if (!coordinator::valid_name(options.name))
        throw std::invalid_argument(
            "[budget]: the configuration's `name` is not valid for the coordinator: give this "
            "balancer a unique name of 1 to 64 bytes");
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
    const auto address = operators.get(keys::coordinator);  // validated when the file was read
    return loop::endpoint_of(address.host, address.port);
}

template <class Items>
bool has_name(const Items& items, const std::string& name) {
    return std::any_of(items.begin(), items.end(), [&](const auto& each) { return each.name == name; });
}

}  // namespace

FleetBudgets::FleetBudgets(const loop::Executor& executor, core::Log& log, const Config& config,
                           const settings::Values& operators)
    : holder_(options_of(config, operators), clock_.now()),
      agent_(executor, clock_, log, holder_, coordinator_of(operators)),
      admission_(holder_, clock_, [this] { agent_.on_want(); }) {
    // Warns of tenants and classes that the platform does not name. Other pools have their own classes and tenants, which
    // are not known here.
    for (const auto& each : holder_.terms().budgets) {
        const bool has_other_pools = operators.given("postgres") || operators.given("gateway");
        if (has_other_pools || !(each.pool.empty() || each.pool == "api")) continue;
        if (!each.tenant.empty() && !has_name(config.settings.tenants, each.tenant))
            log.write(log::events::budget_terms, each.name + ": the platform names no tenant " + each.tenant);
        if (!each.of_class.empty() && !has_name(config.settings.classes, each.of_class))
            log.write(log::events::budget_terms,
                      each.name + ": the platform names no class " + each.of_class);
    }
}

std::unique_ptr<FleetBudgets> make_fleet_budgets(const loop::Executor& executor, core::Log& log,
                                                 const Config& config, const settings::Values& operators) {
    if (!operators.given("budget")) return nullptr;
    return std::make_unique<FleetBudgets>(executor, log, config, operators);
}

}  // namespace flaxdoor::engine
