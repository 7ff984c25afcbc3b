#include "real/script.h"

#include <algorithm>
#include <cmath>

#include "fleet/parts.h"

namespace flaxdoor::lab::real {

void Script::put(const Record& r) {
    switch (r.event) {
        case Event::asked: {
            const Asked asked = Asked::unpacked(r.b);
            PlannedCall call{
                r.at, r.call >> 3U, r.who, asked.zone, part_.tenants.empty() ? -1 : asked.tenant, 0, 0, {}};
            const DrawnCall drawn = draw_call(part_, call.first);
            call.class_index = drawn.class_index;
            call.key = drawn.key;
            double work = static_cast<double>(drawn.work.count());
            for (const Trouble& trouble : part_.troubles) {
                const auto at = static_cast<std::uint64_t>(trouble.at.count());
                const auto lasts = static_cast<std::uint64_t>(trouble.lasts.count());
                if (trouble.kind == Trouble::Kind::heavy && r.at >= at && r.at < at + lasts &&
                    trouble.on == part_.classes[static_cast<std::size_t>(call.class_index)].told.name) {
                    work *= trouble.size;
                }
            }
            call.work = Micros(std::max<std::int64_t>(1, std::llround(work)));
            calls.push_back(call);
            return;
        }
        case Event::repeats: calls.pop_back(); return;  // the clients see to these
        case Event::fell:
            fell_at_ = r.at;
            fell_ = r.who;
            return;
        case Event::server_down:
            if (fell_at_ == r.at && fell_ == r.who) return;
            break;
        case Event::killed:
            if (killed_.size() <= r.who) killed_.resize(r.who + 1);
            killed_[r.who] = true;
            break;
        case Event::came_up:
            // Who ended by itself starts again when its real process has ended.
            if (r.who >= killed_.size() || !killed_[r.who]) return;
            killed_[r.who] = false;
            break;
        case Event::server_up:
        case Event::told_to_end:
        case Event::told:
        case Event::trouble: break;
        default: return;
    }
    events.push_back(r);
}

}  // namespace flaxdoor::lab::real
